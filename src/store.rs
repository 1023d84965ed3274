//! Clients of the outside: the store, the workers and the advice service.
//!
//! Each call goes out once, with a deadline, and is counted by its kind and answer. Repeats are the
//! caller's: only it knows whether a call that may have been done may be made again.

use {
    crate::{
        contact::{Contact, News, Speed, Tempo},
        http::{Client, Failure, uri},
        ids::WorkerId,
        metrics::Metrics,
        ports::{
            Advice, AdviceCall, Fault, Forms, Item, Rev, Site, StoreCall, StoreReply, Wire,
            WorkerCall, WorkerReply,
        },
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
/// The most unused connections that are kept to one address.
const IDLE: usize = 4;

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
}

/// Whether the services answer this thread.
struct Contacts {
    begun: Instant,
    store: Mutex<Contact>,
    /// Whether the store serves this member where it answers.
    serves: Mutex<Contact>,
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
        let (store, serves, advice, speed) = Default::default();
        let contacts = Contacts { begun: Instant::now(), store, serves, advice, speed };
        let (client, contacts) = (Client::new(IDLE), Arc::new(contacts));
        Outside { client, forms, site, metrics, heard, contacts }
    }

    /// Calls the store.
    ///
    /// # Errors
    ///
    /// [`Fault::Unsent`] and [`Fault::Refused`] say that nothing was done and nothing will be;
    /// [`Fault::Unknown`] that it may have been done, or may be later.
    pub async fn store(&self, call: &StoreCall, limit: Duration) -> Result<StoreReply, Fault> {
        let (addr, begin, name) = (self.site.borrow().store, Instant::now(), store_name(call));
        let answer = self.send(addr, (self.forms.ask_store)(call), limit).await;
        let reply = answer.and_then(|(status, body)| (self.forms.store)(call, status, &body));
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
        if answered {
            self.contacts.served(!matches!(reply, Err(Fault::Refused)));
        }
        self.metrics.called(name, store_answer(&reply));
        reply
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
    /// As [`Outside::store`]; [`Fault::Unsent`] where there is no list of machines.
    pub async fn lives(&self, limit: Duration) -> Result<Vec<WorkerId>, Fault> {
        let addr = self.site.borrow().lives.ok_or(Fault::Unsent)?;
        let (mut ids, mut token) = (vec![], Box::<str>::from(""));
        loop {
            let answer = self.send(addr, (self.forms.ask_lives)(&token), limit).await;
            let page = answer.and_then(|(status, body)| (self.forms.lives)(status, &body));
            self.metrics.called("lives", page.as_ref().map_or_else(fault_name, |_| "done"));
            let page = page?;
            ids.extend(page.ids);
            match page.next {
                Some(next) => token = next,
                None => return Ok(ids),
            }
        }
    }

    async fn send(
        &self,
        addr: SocketAddr,
        wire: Wire,
        limit: Duration,
    ) -> Result<(u16, Bytes), Fault> {
        let mut b = Request::builder().method(wire.method).uri(uri(addr, &wire.path));
        for (name, value) in &wire.headers {
            b = b.header(*name, &**value);
        }
        let request = b.body(Full::new(wire.body)).map_err(|_| Fault::Unsent)?;
        match self.client.send(request, limit).await {
            Ok((head, body)) => Ok((head.status.as_u16(), body)),
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

    /// Takes in whether the store has served a call that it answered, and tells of a change.
    ///
    /// Guards against a cause that nobody sees: a store that refuses one member and serves the others
    /// is not lost to it, and the jobs of its shard stand still until its lease has ended.
    fn served(&self, served: bool) {
        let now = Time::ZERO + self.begun.elapsed();
        let news = self.serves.lock().unwrap_or_else(PoisonError::into_inner).called(served, now);
        match news {
            Some(News::Lost(since)) => {
                let ms = (now - since).as_millis() as u64;
                log::warn!(target: "outside", since_ms = ms; "Store refuses this member.");
            }
            Some(News::Back(after)) => {
                let ms = after.as_millis() as u64;
                log::info!(target: "outside", after_ms = ms; "Store serves this member again.");
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
        Fault::Bad(_) => "bad",
    }
}
