//! Clients of the outside: the store, the workers and the advice service.
//!
//! Each call goes out once, with a deadline, and is counted by its kind and answer. Repeats are the
//! caller's: only it knows whether a call that may have been done may be made again.

use {
    crate::{
        contact::{Contact, News, Speed, Tempo},
        decide::relay::Way,
        http::{Client, Failure, Patience, uri},
        ids::WorkerId,
        metrics::Metrics,
        ports::{
            Advice, AdviceCall, Fault, Forms, Item, Rev, Site, StoreCall, StoreReply, Vm, VmCall,
            VmReply, VmState, Wire, WorkerCall, WorkerReply,
        },
        relay::{Answer, Relayed, Relayer, Ways},
        time::Time,
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::Request,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
    tokio::sync::watch,
};

/// How long a call that doesn't wait at the store may take.
pub const CALL: Duration = Duration::from_millis(1200);
/// How much longer than its wait a call that waits may take.
pub const MARGIN: Duration = Duration::from_millis(700);
/// How long between two parts of an answer that is read whole.
const PART: Duration = Duration::from_millis(700);
/// How long an answer may take that is read whole: 10 MB over a link of 10 Mbit/s.
const WHOLE: Duration = Duration::from_secs(10);
/// Sorts behind all that keys have after their prefix.
const LAST: char = '~';
/// The most bytes of a write's answer that are read.
const SMALL: usize = 64 * 1024;
/// The most unused connections that are kept to one address.
const IDLE: usize = 4;
/// The longest that a call may take on the direct way while that is lost.
const PROBE: Duration = Duration::from_millis(250);
/// The least time that a call needs to be relayed.
const RELAY: Duration = Duration::from_millis(50);

/// Speaks to the outside by a form.
///
/// Belongs to one thread: its connections live on the runtime that opened them.
#[derive(Clone)]
pub struct Outside {
    client: Client,
    forms: &'static Forms,
    site: watch::Receiver<Arc<Site>>,
    metrics: Arc<Metrics>,
    heard: Arc<dyn Fn() + Send + Sync>,
    contacts: Arc<Contacts>,
    ways: Option<(Arc<Ways>, Relayer)>,
}

/// Whether the services answer this thread.
struct Contacts {
    begun: Instant,
    store: Mutex<Contact>,
    advice: Mutex<Contact>,
    speed: Mutex<Speed>,
}

impl Outside {
    /// Clients of the addresses that the settings have at each call; `heard` is called at each
    /// answer of the store.
    pub fn new(
        forms: &'static Forms,
        site: watch::Receiver<Arc<Site>>,
        metrics: Arc<Metrics>,
        heard: Arc<dyn Fn() + Send + Sync>,
    ) -> Self {
        let (store, advice, speed) = Default::default();
        let contacts = Contacts { begun: Instant::now(), store, advice, speed };
        let (client, contacts) = (Client::new(IDLE), Arc::new(contacts));
        Outside { client, forms, site, metrics, heard, contacts, ways: None }
    }

    /// The same clients, whose calls of the store other members relay while it doesn't serve this one.
    pub fn with_relay(self, ways: Arc<Ways>, relayer: Relayer) -> Self {
        Outside { ways: Some((ways, relayer)), ..self }
    }

    /// Calls the store; `limit` is how long until the answer of a range or a watch begins, and until a
    /// whole answer of other calls.
    ///
    /// # Errors
    ///
    /// [`Fault::Unsent`] and [`Fault::Refused`] say that nothing was done and nothing will be;
    /// [`Fault::Unknown`] that it may have been done, or may be later.
    pub async fn store(&self, call: &StoreCall, limit: Duration) -> Result<StoreReply, Fault> {
        let (begin, name, wire) = (Instant::now(), store_name(call), (self.forms.ask_store)(call));
        let answer = match &self.ways {
            None => self.direct(call, &wire, limit).await,
            Some((ways, relayer)) => self.routed(call, wire, limit, ways, relayer).await,
        };
        let bytes = answer.as_ref().map_or(0, |(_, body)| body.len());
        let reply = answer.and_then(|(status, body)| (self.forms.store)(call, status, &body));
        self.metrics.received(name, store_answer(&reply), bytes);
        let answered = !matches!(reply, Err(Fault::Unsent | Fault::Unknown));
        if answered {
            (self.heard)();
        }
        // A watch takes as long as nothing happens, and a range as long as the link is narrow.
        let waits = matches!(call, StoreCall::Watch { .. });
        if answered && !waits {
            self.metrics.answered_in(name, begin.elapsed());
        }
        if answered && !waits && !matches!(call, StoreCall::Range { .. }) {
            self.contacts.took(begin.elapsed());
        }
        self.contacts.called(&self.contacts.store, "store", answered);
        self.metrics.called(name, store_answer(&reply));
        reply
    }

    /// Makes a call of the store by the way that works.
    async fn routed(
        &self,
        call: &StoreCall,
        wire: Wire,
        limit: Duration,
        ways: &Ways,
        relayer: &Relayer,
    ) -> Answer {
        let (begun, sent) = (Instant::now(), ways.now());
        let repeats = call.repeats();
        let direct = match ways.way(repeats) {
            Way::Relayed => None,
            Way::Probe => Some(self.direct(call, &wire, PROBE.min(limit / 2)).await),
            Way::Direct if matches!(call, StoreCall::Watch { .. }) => Some(tokio::select! {
                answer = self.direct(call, &wire, limit) => answer,
                () = ways.lost() => Err(Fault::Unknown),
            }),
            // Half of the time is left for a relay.
            Way::Direct if repeats => Some(self.direct(call, &wire, limit / 2).await),
            Way::Direct => Some(self.direct(call, &wire, limit).await),
        };
        let fault = direct.map(|answer| {
            let reply = answer.clone().and_then(|(s, body)| (self.forms.store)(call, s, &body));
            let fault = reply.err().filter(|f| !matches!(f, Fault::Bad(_) | Fault::TooLarge));
            ways.direct(sent, fault.as_ref());
            (answer, fault)
        });
        let done = match &fault {
            None => false,
            Some((_, None)) => true,
            // What may have been done must not be done twice.
            Some((_, Some(Fault::Unknown))) => !repeats,
            Some(_) => false,
        };
        let left = limit.saturating_sub(begun.elapsed());
        if !done
            && left >= RELAY
            && ways.open()
            && let Some(answer) = relayer(wire.clone(), repeats, left).await
        {
            return answer;
        }
        match fault {
            Some((answer, _)) => answer,
            // There is nobody who could relay it.
            None => self.direct(call, &wire, left).await,
        }
    }

    /// Makes a call of the store from this VM.
    ///
    /// Guards against an answer that the link can't carry within a fixed time: given up and asked for
    /// anew from its beginning, it would never come, and would leave the link to nothing else.
    async fn direct(&self, call: &StoreCall, wire: &Wire, limit: Duration) -> Answer {
        let addr = self.site.borrow().store;
        let patience = match call {
            StoreCall::Range { .. } | StoreCall::Watch { .. } => {
                Patience { part: PART, whole: limit + WHOLE, ..Patience::new(limit) }
            }
            StoreCall::Txn(_) => Patience { most: SMALL, ..Patience::new(limit) },
            _ => Patience::new(limit),
        };
        self.carry(request(addr, wire)?, &patience).await
    }

    /// Makes a call of the store for another member, as it has written it; `repeats` says whether it
    /// may be made twice.
    ///
    /// # Errors
    ///
    /// As [`Outside::store`].
    pub async fn relay(&self, asked: Relayed, repeats: bool, limit: Duration) -> Answer {
        let addr = self.site.borrow().store;
        let mut b = Request::builder().method(&*asked.method).uri(uri(addr, &asked.path));
        for (name, value) in &asked.headers {
            b = b.header(&**name, &**value);
        }
        let body = Bytes::from(asked.body.into_string());
        let request = b.body(Full::new(body)).map_err(|_| Fault::Unsent)?;
        let most = if repeats { usize::MAX } else { SMALL };
        let answer = self.carry(request, &Patience { most, ..Patience::new(limit) }).await;
        self.metrics.called("store_relay", answer.as_ref().map_or_else(fault_name, |_| "done"));
        answer
    }

    /// Reads one item.
    ///
    /// # Errors
    ///
    /// As [`Outside::store`]; [`Fault::Bad`] where the answer is of another kind.
    pub async fn get(&self, key: &str, limit: Duration) -> Result<Option<Item>, Fault> {
        match self.store(&StoreCall::Get { key: key.into() }, limit).await? {
            StoreReply::Item(item) => Ok(item.filter(|i| i.value.is_some())),
            _ => Err(Fault::Bad("not an item".into())),
        }
    }

    /// Reads all items of a prefix, page by page, and the revision of the first page.
    ///
    /// Pages are not a snapshot: whoever goes on from the first page's revision misses no change.
    ///
    /// # Errors
    ///
    /// As [`Outside::get`].
    pub async fn all(&self, prefix: &str, stale: bool) -> Result<(Vec<Item>, Rev), Fault> {
        let (mut items, mut first, mut after) = (vec![], None, Box::<str>::from(""));
        loop {
            let call = StoreCall::Range { prefix: prefix.into(), after, stale };
            let StoreReply::Page(page, more, rev) = self.store(&call, CALL).await? else {
                return Err(Fault::Bad("not a page".into()));
            };
            let rev = *first.get_or_insert(rev);
            let last = page.last().map(|i| i.key.clone());
            items.extend(page);
            match last {
                Some(last) if more => after = last,
                _ => return Ok((items, rev)),
            }
        }
    }

    /// Reads the store's revision, by a page behind the last item of a prefix.
    ///
    /// # Errors
    ///
    /// As [`Outside::get`].
    pub async fn revision(&self, prefix: &str) -> Result<Rev, Fault> {
        let after = format!("{prefix}{LAST}").into();
        let call = StoreCall::Range { prefix: prefix.into(), after, stale: false };
        match self.store(&call, CALL).await? {
            StoreReply::Page(_, _, rev) => Ok(rev),
            _ => Err(Fault::Bad("not a page".into())),
        }
    }

    /// Calls a worker.
    ///
    /// # Errors
    ///
    /// As [`Outside::store`].
    pub async fn worker(
        &self,
        addr: SocketAddr,
        worker: &WorkerId,
        call: &WorkerCall,
        limit: Duration,
    ) -> Result<WorkerReply, Fault> {
        let begin = Instant::now();
        let answer = self.send(addr, (self.forms.ask_worker)(worker, call), limit).await;
        let reply = answer.and_then(|(status, body)| (self.forms.worker)(call, status, &body));
        let said = match &reply {
            Ok(WorkerReply::Done(_) | WorkerReply::Held(_)) => "done",
            Ok(WorkerReply::Refused(..)) => "refused",
            Ok(WorkerReply::Other) => "other",
            Ok(WorkerReply::Unwell) => "unwell",
            Err(fault) => fault_name(fault),
        };
        let name = match call {
            WorkerCall::Start(_) => "worker_start",
            WorkerCall::Stop { .. } => "worker_stop",
            WorkerCall::Hold { .. } => "worker_hold",
            WorkerCall::Pace { .. } => "worker_pace",
        };
        self.metrics.called(name, said);
        if matches!(reply, Err(Fault::Unknown)) {
            self.metrics.unanswered(name);
        } else if !matches!(call, WorkerCall::Hold { .. }) {
            // A hold waits for an end.
            self.metrics.answered_in(name, begin.elapsed());
        }
        reply
    }

    /// Calls for advice.
    ///
    /// # Errors
    ///
    /// As [`Outside::store`]; [`Fault::Unsent`] where there is no advice service.
    pub async fn advice(&self, call: &AdviceCall, limit: Duration) -> Result<Advice, Fault> {
        let addr = self.site.borrow().advice.ok_or(Fault::Unsent)?;
        let begin = Instant::now();
        let answer = self.send(addr, (self.forms.ask_advice)(call), limit).await;
        let reply = answer.and_then(|(status, body)| (self.forms.advice)(status, &body));
        let answered = !matches!(reply, Err(Fault::Unsent | Fault::Unknown));
        self.contacts.called(&self.contacts.advice, "advice", answered);
        if answered {
            self.metrics.answered_in("advice", begin.elapsed());
        }
        self.metrics.called("advice", reply.as_ref().map_or_else(fault_name, |_| "done"));
        reply
    }

    /// Reads which lives of workers are there, page by page.
    ///
    /// # Errors
    ///
    /// As [`Outside::vms`].
    pub async fn lives(&self, limit: Duration) -> Result<Vec<WorkerId>, Fault> {
        let all = self.vms(limit).await?;
        let up = all.into_iter().filter(|m| m.state == VmState::Up);
        Ok(up.filter_map(|m| m.worker).collect())
    }

    /// Reads the list of VMs, page by page.
    ///
    /// # Errors
    ///
    /// As [`Outside::store`]; [`Fault::Unsent`] where there is no list of VMs.
    pub async fn vms(&self, limit: Duration) -> Result<Vec<Vm>, Fault> {
        let addr = self.site.borrow().vms.ok_or(Fault::Unsent)?;
        let (mut all, mut token) = (vec![], Box::<str>::from(""));
        loop {
            let answer = self.send(addr, (self.forms.ask_vms)(&token), limit).await;
            let page = answer.and_then(|(status, body)| (self.forms.vms)(status, &body));
            self.metrics.called("vms", page.as_ref().map_or_else(fault_name, |_| "done"));
            let page = page?;
            all.extend(page.all);
            match page.next {
                Some(next) => token = next,
                None => return Ok(all),
            }
        }
    }

    /// Orders something for a VM.
    ///
    /// # Errors
    ///
    /// As [`Outside::vms`].
    pub async fn vm(&self, call: &VmCall, limit: Duration) -> Result<VmReply, Fault> {
        let addr = self.site.borrow().vms.ok_or(Fault::Unsent)?;
        let answer = self.send(addr, (self.forms.ask_vm)(call), limit).await;
        let reply = answer.and_then(|(status, body)| (self.forms.vm)(status, &body));
        let said = match &reply {
            Ok(VmReply::Begun) => "done",
            Ok(_) => "refused",
            Err(fault) => fault_name(fault),
        };
        self.metrics.called("vm", said);
        reply
    }

    async fn send(&self, addr: SocketAddr, wire: Wire, limit: Duration) -> Answer {
        self.carry(request(addr, &wire)?, &Patience::new(limit)).await
    }

    async fn carry(&self, request: Request<Full<Bytes>>, patience: &Patience) -> Answer {
        match self.client.send_patient(request, patience).await {
            Ok((head, body)) => Ok((head.status.as_u16(), body)),
            Err(Failure::TooLarge(status)) => Ok((status, Bytes::new())),
            Err(Failure::Unsent) => Err(Fault::Unsent),
            Err(Failure::Broken | Failure::Timeout) => Err(Fault::Unknown),
        }
    }
}

impl Contacts {
    /// Takes in a call, and tells where a service is lost or back.
    fn called(&self, contact: &Mutex<Contact>, service: &str, answered: bool) {
        let now = Time::ZERO + self.begun.elapsed();
        let news = contact.lock().unwrap_or_else(PoisonError::into_inner).called(answered, now);
        match news {
            Some(News::Lost(since)) => {
                let ms = (now - since).as_millis() as u64;
                log::warn!(target: "outside", service, since_ms = ms; "Service is lost.");
            }
            Some(News::Back(after)) => {
                let ms = after.as_millis() as u64;
                log::info!(target: "outside", service, after_ms = ms; "Service answers again.");
            }
            None => {}
        }
    }

    /// Takes in how long an answer of the store took, and tells where it is slow or quick again.
    fn took(&self, time: Duration) {
        let tempo = self.speed.lock().unwrap_or_else(PoisonError::into_inner).answered(time);
        match tempo {
            Some(Tempo::Slow(median)) => {
                let median_ms = median.as_millis() as u64;
                log::warn!(target: "outside", median_ms; "Store is slow.");
            }
            Some(Tempo::Quick(median)) => {
                let median_ms = median.as_millis() as u64;
                log::info!(target: "outside", median_ms; "Store is quick again.");
            }
            None => {}
        }
    }
}

fn request(addr: SocketAddr, wire: &Wire) -> Result<Request<Full<Bytes>>, Fault> {
    let mut b = Request::builder().method(wire.method).uri(uri(addr, &wire.path));
    for (name, value) in &wire.headers {
        b = b.header(*name, &**value);
    }
    b.body(Full::new(wire.body.clone())).map_err(|_| Fault::Unsent)
}

fn store_name(call: &StoreCall) -> &'static str {
    match call {
        StoreCall::Get { .. } => "store_get",
        StoreCall::Range { stale: true, .. } => "store_range_stale",
        StoreCall::Range { .. } => "store_range",
        StoreCall::Watch { .. } => "store_watch",
        StoreCall::Txn(_) => "store_txn",
        StoreCall::Lease { .. } => "store_lease",
        StoreCall::Keep { .. } => "store_keep",
        StoreCall::EndLease { .. } => "store_end_lease",
    }
}

fn store_answer(reply: &Result<StoreReply, Fault>) -> &'static str {
    match reply {
        Ok(StoreReply::Conflict(_)) => "conflict",
        Ok(StoreReply::Forgotten) => "forgotten",
        Ok(StoreReply::NoLease) => "no_lease",
        Ok(_) => "done",
        Err(fault) => fault_name(fault),
    }
}

/// The label of a fault in counters.
pub fn fault_name(fault: &Fault) -> &'static str {
    match fault {
        Fault::Refused => "refused",
        Fault::Unsent => "unsent",
        Fault::Unknown => "unknown",
        Fault::TooLarge => "too_large",
        Fault::Bad(_) => "bad",
    }
}
