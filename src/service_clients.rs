//! Clients of the services outside the member: the store, the workers, the advice service and the
//! list of VMs.
//!
//! Each call is sent once, with a time limit, and is counted by its kind and result. Retries are left
//! to the callers of this module: only they know whether a call that may have taken effect may be
//! made again. A call to the store that fails on the direct connection may be relayed by another
//! member.

use {
    crate::{
        decide::relay::StorePath,
        http::{CallLimits, Client, Failure, uri},
        ids::WorkerId,
        metrics::Metrics,
        ports::{
            Advice, AdviceCall, Codec, Fault, Item, Rev, SiteSettings, StoreCall, StoreReply, Vm,
            VmCall, VmReply, VmState, WireRequest, WorkerCall, WorkerReply,
        },
        relay::{RelayedCall, Relayer, StoreRoutes, WireReply},
        service_health::ServiceHealth,
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::Request,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::watch,
};

/// Time limit of a call to the store, other than a watch.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1200);
/// Extra time limit of a watch call beyond the time for which it waits for changes.
pub const WATCH_MARGIN: Duration = Duration::from_millis(700);
/// Maximum pause between two parts of the body of a large reply.
const PART_TIMEOUT: Duration = Duration::from_millis(700);
/// Time limit for the transfer of a large reply: 10 MB over a link of 10 Mbit/s.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit for the transfer of a worker's list of runs and ends. Shorter than a lease, which the
/// next call renews.
const LIST_TIMEOUT: Duration = Duration::from_secs(3);
/// A character that sorts after all characters of keys; it ends the range of a prefix.
const RANGE_END_CHAR: char = '~';
/// Maximum length of the reply to a write, in bytes.
const MAX_WRITE_REPLY_BYTES: usize = 64 * 1024;
/// Maximum number of idle connections that are kept open to one address.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Time limit of a direct call to the store while the direct connection is lost.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Minimum remaining time of a call that is relayed.
const MIN_RELAY_TIME: Duration = Duration::from_millis(50);

/// Makes calls of the services in the wire format of [`Codec`].
///
/// Belongs to one thread: its connections live on the runtime that opened them.
#[derive(Clone)]
pub struct ServiceClients {
    client: Client,
    codec: &'static Codec,
    site: watch::Receiver<Arc<SiteSettings>>,
    metrics: Arc<Metrics>,
    on_answer: Arc<dyn Fn() + Send + Sync>,
    health: Arc<ServiceHealth>,
    routes: Option<(Arc<StoreRoutes>, Relayer)>,
}

impl ServiceClients {
    /// Creates clients that read the addresses from the settings at each call.
    ///
    /// `on_answer` is called at each answer of the store.
    pub fn new(
        codec: &'static Codec,
        site: watch::Receiver<Arc<SiteSettings>>,
        metrics: Arc<Metrics>,
        on_answer: Arc<dyn Fn() + Send + Sync>,
    ) -> Self {
        let (client, health) = (Client::new(MAX_IDLE_CONNECTIONS), Arc::default());
        ServiceClients { client, codec, site, metrics, on_answer, health, routes: None }
    }

    /// Sets up relaying: other members make the calls to the store while the store doesn't serve
    /// this member.
    pub fn with_relay(self, routes: Arc<StoreRoutes>, relayer: Relayer) -> Self {
        ServiceClients { routes: Some((routes, relayer)), ..self }
    }

    /// Calls the store.
    ///
    /// `limit` is the time until the first byte of the reply to a range or a watch, and until the end
    /// of the reply to other calls.
    ///
    /// # Errors
    ///
    /// [`Fault::Unsent`] and [`Fault::Refused`]: the call had no effect and will have none.
    /// [`Fault::Unknown`]: it may have taken effect, or may do so later.
    pub async fn call_store(&self, call: &StoreCall, limit: Duration) -> Result<StoreReply, Fault> {
        let (begin, name, wire) =
            (Instant::now(), store_call_name(call), (self.codec.encode_store)(call));
        let answer = match &self.routes {
            None => self.call_direct(call, &wire, limit).await,
            Some((routes, relayer)) => self.call_routed(call, wire, limit, routes, relayer).await,
        };
        let bytes = answer.as_ref().map_or(0, |(_, body)| body.len());
        let reply =
            answer.and_then(|(status, body)| (self.codec.decode_store)(call, status, &body));
        self.metrics.count_received(name, store_result_name(&reply), bytes);
        let answered = !matches!(reply, Err(Fault::Unsent | Fault::Unknown));
        if answered {
            (self.on_answer)();
        }
        // The duration of a watch depends on when something changes, and that of a range on the
        // bandwidth of the link: neither shows how fast the store is.
        let waits = matches!(call, StoreCall::Watch { .. });
        if answered && !waits {
            self.metrics.observe_call(name, begin.elapsed());
        }
        if answered && !waits && !matches!(call, StoreCall::Range { .. }) {
            self.health.record_latency(begin.elapsed());
        }
        self.health.record_store_call(answered);
        self.metrics.count_call(name, store_result_name(&reply));
        reply
    }

    /// Makes a call to the store directly or through another member, as [`StoreRoutes`] chooses.
    async fn call_routed(
        &self,
        call: &StoreCall,
        wire: WireRequest,
        limit: Duration,
        routes: &StoreRoutes,
        relayer: &Relayer,
    ) -> WireReply {
        let (start, sent, was_lost) = (Instant::now(), routes.now(), routes.is_direct_lost());
        let (repeats, watches) = (call.is_repeatable(), matches!(call, StoreCall::Watch { .. }));
        let direct = match routes.choose(repeats) {
            StorePath::Relayed => None,
            StorePath::Probe => {
                Some(self.call_direct(call, &wire, PROBE_TIMEOUT.min(limit / 2)).await)
            }
            StorePath::Direct if watches => Some(tokio::select! {
                answer = self.call_direct(call, &wire, limit) => answer,
                () = routes.wait_direct_lost() => Err(Fault::Unknown),
            }),
            // Half of the time is reserved for relaying the call.
            StorePath::Direct if repeats => Some(self.call_direct(call, &wire, limit / 2).await),
            StorePath::Direct => Some(self.call_direct(call, &wire, limit).await),
        };
        let fault = direct.map(|answer| {
            let reply =
                answer.clone().and_then(|(s, body)| (self.codec.decode_store)(call, s, &body));
            let fault = reply.err().filter(|f| !matches!(f, Fault::Bad(_) | Fault::TooLarge));
            routes.record_direct(sent, fault.as_ref());
            (answer, fault)
        });
        let done = match &fault {
            Some((_, None)) => true,
            // A call that may have taken effect must not be made twice.
            Some((_, Some(Fault::Unknown))) => !repeats,
            _ => false,
        };
        let left = limit.saturating_sub(start.elapsed());
        let detour = async {
            if !done
                && left >= MIN_RELAY_TIME
                && routes.may_relay()
                && let Some(answer) = relayer(wire.clone(), repeats, left).await
            {
                return answer;
            }
            match fault {
                Some((answer, _)) => answer,
                // No other member could be asked to relay the call.
                None => self.call_direct(call, &wire, left).await,
            }
        };
        let lost = was_lost || routes.is_direct_lost();
        if lost && watches { routes.until_restored(detour).await } else { detour.await }
    }

    /// Makes a call to the store from this VM.
    ///
    /// Ranges and watches get extra time as long as parts of the reply keep arriving: with a fixed
    /// limit, a reply that is too large for a slow link would be abandoned and requested again from
    /// its beginning, would never complete, and would take the link's whole bandwidth.
    async fn call_direct(
        &self,
        call: &StoreCall,
        wire: &WireRequest,
        limit: Duration,
    ) -> WireReply {
        let addr = self.site.borrow().store_addr;
        let limits = match call {
            StoreCall::Range { .. } | StoreCall::Watch { .. } => CallLimits {
                frame_timeout: PART_TIMEOUT,
                total_timeout: limit + BODY_TIMEOUT,
                ..CallLimits::new(limit)
            },
            StoreCall::Txn(_) => {
                CallLimits { max_body: MAX_WRITE_REPLY_BYTES, ..CallLimits::new(limit) }
            }
            _ => CallLimits::new(limit),
        };
        self.exchange(request(addr, wire)?, &limits).await
    }

    /// Makes a call to the store for another member, as that member has encoded it.
    ///
    /// `repeats` says whether the call may be made twice.
    ///
    /// # Errors
    ///
    /// As [`ServiceClients::call_store`].
    pub async fn relay(&self, call: RelayedCall, repeats: bool, limit: Duration) -> WireReply {
        let addr = self.site.borrow().store_addr;
        let mut b = Request::builder().method(&*call.method).uri(uri(addr, &call.path));
        for (name, value) in &call.headers {
            b = b.header(&**name, &**value);
        }
        let body = Bytes::from(call.body.into_string());
        let request = b.body(Full::new(body)).map_err(|_| Fault::Unsent)?;
        let most = if repeats { usize::MAX } else { MAX_WRITE_REPLY_BYTES };
        let answer =
            self.exchange(request, &CallLimits { max_body: most, ..CallLimits::new(limit) }).await;
        self.metrics
            .count_call("store_relay", answer.as_ref().map_or_else(fault_label, |_| "done"));
        answer
    }

    /// Reads one item; `None` if it doesn't exist.
    ///
    /// # Errors
    ///
    /// As [`ServiceClients::call_store`]; [`Fault::Bad`] if the reply is of another kind.
    pub async fn get(&self, key: &str, limit: Duration) -> Result<Option<Item>, Fault> {
        match self.call_store(&StoreCall::Get { key: key.into() }, limit).await? {
            StoreReply::Item(item) => Ok(item.filter(|i| i.value.is_some())),
            _ => Err(Fault::Bad("the store answered a get with another kind of reply".into())),
        }
    }

    /// Reads all items of a prefix, page by page, and the revision of the first page.
    ///
    /// The pages together are not a snapshot. A watch that starts at the first page's revision misses
    /// no change. `stale` allows the store to answer from a copy that may be seconds old.
    ///
    /// # Errors
    ///
    /// As [`ServiceClients::get`]; [`Fault::Bad`] also if an empty page isn't the last one.
    pub async fn read_prefix(&self, prefix: &str, stale: bool) -> Result<(Vec<Item>, Rev), Fault> {
        let (mut items, mut first, mut after) = (vec![], None, Box::<str>::from(""));
        loop {
            let call = StoreCall::Range { prefix: prefix.into(), after, stale };
            let StoreReply::Page(page, more, rev) = self.call_store(&call, CALL_TIMEOUT).await?
            else {
                return Err(Fault::Bad(
                    "the store answered a range with another kind of reply".into(),
                ));
            };
            let rev = *first.get_or_insert(rev);
            let last = page.last().map(|i| i.key.clone());
            items.extend(page);
            match last {
                Some(last) if more => after = last,
                // Without a last key the next page can't be requested.
                None if more => return Err(Fault::Bad("an empty page isn't the last one".into())),
                _ => return Ok((items, rev)),
            }
        }
    }

    /// Reads the store's current revision by requesting the empty page after the last item of a
    /// prefix.
    ///
    /// # Errors
    ///
    /// As [`ServiceClients::get`].
    pub async fn revision(&self, prefix: &str) -> Result<Rev, Fault> {
        let after = format!("{prefix}{RANGE_END_CHAR}").into();
        let call = StoreCall::Range { prefix: prefix.into(), after, stale: false };
        match self.call_store(&call, CALL_TIMEOUT).await? {
            StoreReply::Page(_, _, rev) => Ok(rev),
            _ => Err(Fault::Bad("the store answered a range with another kind of reply".into())),
        }
    }

    /// Calls a worker.
    ///
    /// `limit` is the time until the first byte of the reply to a hold, and until the end of the reply
    /// to other calls. A worker with thousands of runs and ends behind a slow link answers a hold for
    /// longer; it would count as silent.
    ///
    /// # Errors
    ///
    /// As [`ServiceClients::call_store`].
    pub async fn call_worker(
        &self,
        addr: SocketAddr,
        worker: &WorkerId,
        call: &WorkerCall,
        limit: Duration,
    ) -> Result<WorkerReply, Fault> {
        let begin = Instant::now();
        let wire = (self.codec.encode_worker)(worker, call);
        let limits = match call {
            WorkerCall::Hold { .. } => CallLimits {
                frame_timeout: PART_TIMEOUT,
                total_timeout: limit + LIST_TIMEOUT,
                ..CallLimits::new(limit)
            },
            _ => CallLimits::new(limit),
        };
        let answer = self.send(addr, wire, &limits).await;
        let reply =
            answer.and_then(|(status, body)| (self.codec.decode_worker)(call, status, &body));
        let result = match &reply {
            Ok(WorkerReply::Done(_) | WorkerReply::Held(_)) => "done",
            Ok(WorkerReply::Refused(..)) => "refused",
            Ok(WorkerReply::Other) => "other",
            Ok(WorkerReply::Unwell) => "unwell",
            Err(fault) => fault_label(fault),
        };
        let name = match call {
            WorkerCall::Start(_) => "worker_start",
            WorkerCall::Stop { .. } => "worker_stop",
            WorkerCall::Hold { .. } => "worker_hold",
            WorkerCall::Pace { .. } => "worker_pace",
        };
        self.metrics.count_call(name, result);
        if matches!(reply, Err(Fault::Unknown)) {
            self.metrics.count_unanswered(name);
        } else if !matches!(call, WorkerCall::Hold { .. }) {
            // A hold waits for the end of a run, so its duration says nothing of the worker's speed.
            self.metrics.observe_call(name, begin.elapsed());
        }
        reply
    }

    /// Calls the advice service.
    ///
    /// # Errors
    ///
    /// As [`ServiceClients::call_store`]; [`Fault::Unsent`] if the settings name no advice service.
    pub async fn call_advice(&self, call: &AdviceCall, limit: Duration) -> Result<Advice, Fault> {
        let addr = self.site.borrow().advice_addr.ok_or(Fault::Unsent)?;
        let begin = Instant::now();
        let answer =
            self.send(addr, (self.codec.encode_advice)(call), &CallLimits::new(limit)).await;
        let reply = answer.and_then(|(status, body)| (self.codec.decode_advice)(status, &body));
        let answered = !matches!(reply, Err(Fault::Unsent | Fault::Unknown));
        self.health.record_advice_call(answered);
        if answered {
            self.metrics.observe_call("advice", begin.elapsed());
        }
        self.metrics.count_call("advice", reply.as_ref().map_or_else(fault_label, |_| "done"));
        reply
    }

    /// Reads the workers that run on the VMs that are up, page by page.
    ///
    /// A worker that has been restarted has another [`WorkerId`].
    ///
    /// # Errors
    ///
    /// As [`ServiceClients::list_vms`].
    pub async fn live_workers(&self, limit: Duration) -> Result<Vec<WorkerId>, Fault> {
        let all = self.list_vms(limit).await?;
        let up = all.into_iter().filter(|vm| vm.state == VmState::Up);
        Ok(up.filter_map(|vm| vm.worker).collect())
    }

    /// Reads the list of VMs, page by page.
    ///
    /// # Errors
    ///
    /// As [`ServiceClients::call_store`]; [`Fault::Unsent`] if the settings name no VM service.
    pub async fn list_vms(&self, limit: Duration) -> Result<Vec<Vm>, Fault> {
        let addr = self.site.borrow().vms_addr.ok_or(Fault::Unsent)?;
        let (mut all, mut token) = (vec![], Box::<str>::from(""));
        loop {
            let answer =
                self.send(addr, (self.codec.encode_vms)(&token), &CallLimits::new(limit)).await;
            let page = answer.and_then(|(status, body)| (self.codec.decode_vms)(status, &body));
            self.metrics.count_call("vms", page.as_ref().map_or_else(fault_label, |_| "done"));
            let page = page?;
            all.extend(page.vms);
            match page.next_token {
                Some(next) => token = next,
                None => return Ok(all),
            }
        }
    }

    /// Makes a call that changes one VM.
    ///
    /// # Errors
    ///
    /// As [`ServiceClients::list_vms`].
    pub async fn call_vm(&self, call: &VmCall, limit: Duration) -> Result<VmReply, Fault> {
        let addr = self.site.borrow().vms_addr.ok_or(Fault::Unsent)?;
        let answer = self.send(addr, (self.codec.encode_vm)(call), &CallLimits::new(limit)).await;
        let reply = answer.and_then(|(status, body)| (self.codec.decode_vm)(status, &body));
        let result = match &reply {
            Ok(VmReply::Begun) => "done",
            Ok(_) => "refused",
            Err(fault) => fault_label(fault),
        };
        self.metrics.count_call("vm", result);
        reply
    }

    /// Sends a call and returns the reply.
    async fn send(&self, addr: SocketAddr, wire: WireRequest, limits: &CallLimits) -> WireReply {
        self.exchange(request(addr, &wire)?, limits).await
    }

    async fn exchange(&self, request: Request<Full<Bytes>>, limits: &CallLimits) -> WireReply {
        match self.client.send_with_limits(request, limits).await {
            Ok((head, body)) => Ok((head.status.as_u16(), body)),
            Err(Failure::TooLarge(status)) => Ok((status, Bytes::new())),
            Err(Failure::Unsent) => Err(Fault::Unsent),
            Err(Failure::Broken | Failure::Timeout) => Err(Fault::Unknown),
        }
    }
}

fn request(addr: SocketAddr, wire: &WireRequest) -> Result<Request<Full<Bytes>>, Fault> {
    let mut b = Request::builder().method(wire.method).uri(uri(addr, &wire.path));
    for (name, value) in &wire.headers {
        b = b.header(*name, &**value);
    }
    b.body(Full::new(wire.body.clone())).map_err(|_| Fault::Unsent)
}

/// Returns the label of a call in metrics.
fn store_call_name(call: &StoreCall) -> &'static str {
    match call {
        StoreCall::Get { .. } => "store_get",
        StoreCall::Range { stale: true, .. } => "store_range_stale",
        StoreCall::Range { .. } => "store_range",
        StoreCall::Watch { .. } => "store_watch",
        StoreCall::Txn(_) => "store_txn",
        StoreCall::CreateLease { .. } => "store_lease",
        StoreCall::RenewLease { .. } => "store_keep",
        StoreCall::EndLease { .. } => "store_end_lease",
    }
}

/// Returns the label of the result of a call in metrics.
fn store_result_name(reply: &Result<StoreReply, Fault>) -> &'static str {
    match reply {
        Ok(StoreReply::Conflict(_)) => "conflict",
        Ok(StoreReply::Forgotten) => "forgotten",
        Ok(StoreReply::NoLease) => "no_lease",
        Ok(_) => "done",
        Err(fault) => fault_label(fault),
    }
}

/// Returns the label of a fault in metrics.
pub fn fault_label(fault: &Fault) -> &'static str {
    match fault {
        Fault::Refused => "refused",
        Fault::Unsent => "unsent",
        Fault::Unknown => "unknown",
        Fault::TooLarge => "too_large",
        Fault::Bad(_) => "bad",
    }
}
