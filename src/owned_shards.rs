//! Does the I/O for the shards that this member owns: loads each from the store, watches its inbox,
//! reads the list of workers, and carries out the shards' orders.

use {
    crate::{
        decide::allotment::Division,
        ids::{CustomerId, Incarnation},
        member_rpc::{PeerClients, advise_locally},
        ports::{Advice, AdviceCall, Fault, Item, Rev, StoreCall, StoreReply, Txn, WorkerCall},
        prefix_watch::{Backoff, PrefixWatch, WatchUpdate},
        service_clients::{CALL_TIMEOUT, ServiceClients, fault_label},
        shard::{
            UsageReport,
            event::{CancelSource, DivisionReply, Event, Order, Snapshot},
            record::{self, CancelRecord, DIVISIONS_PREFIX, ShardNo, division_key},
        },
        shard_runner::{ShardInput, ShardOutput},
        shared_state::{Config, SharedState},
        time::Time,
        usage_exchange::{UsageExchange, recipients},
        wave_driver::{WAVE_SHARD, WaveDriver},
        work::{JobNo, ListedWorker},
        worker_list::{Unreadable, WorkerList},
    },
    async_channel::{Receiver, Sender},
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        sync::Notify,
        task::{AbortHandle, JoinSet},
        time::timeout,
    },
};

/// Number of watches of an inbox that fit into the bound on starts after a cancel: if one of them gets
/// no answer, the next one still completes in time.
const WATCHES_PER_CANCEL_LAG: u32 = 4;
/// Maximum time for which the store holds a watch of the divisions open without a change.
const DIVISIONS_WATCH_WAIT: Duration = Duration::from_secs(10);
/// Time-out of reading a page of the list of machines.
const MACHINES_TIMEOUT: Duration = Duration::from_millis(800);
/// Time-out of a report of customers' usage to another owner; the next one makes it obsolete.
const USAGE_TIMEOUT: Duration = Duration::from_millis(500);
/// The interval at which the list of workers is read.
const LIST_INTERVAL: Duration = Duration::from_millis(600);

/// The shards that this member owns, with the clients that their orders need.
#[derive(Clone)]
pub(crate) struct OwnedShards {
    common: Arc<SharedState>,
    services: ServiceClients,
    peers: PeerClients,
    shard_inputs: Sender<ShardInput>,
    /// The owned shards, each with its task that loads it and follows its inbox.
    owned: Arc<Mutex<BTreeMap<ShardNo, OwnedShard>>>,
    /// Notified when a shard has been loaded.
    loaded: Arc<Notify>,
    /// The reports of customers' usage that wait to be sent to other owners.
    usage: Arc<Mutex<UsageExchange>>,
}

struct OwnedShard {
    token: u64,
    task: AbortHandle,
    /// All cancels that were acknowledged before this time have been delivered; `None` until the shard
    /// has been loaded.
    inbox_seen: Option<Time>,
}

/// What a shard knows of its inbox.
pub(crate) struct InboxView {
    pub shard: ShardNo,
    /// The token of the shard's owner.
    pub token: u64,
    /// All cancels that were acknowledged before this time have been delivered to the shard.
    pub seen: Time,
}

impl OwnedShards {
    /// Creates a set without shards.
    pub fn new(
        common: Arc<SharedState>,
        services: ServiceClients,
        peers: PeerClients,
        shard_inputs: Sender<ShardInput>,
    ) -> Self {
        let (owned, loaded, usage) = Default::default();
        OwnedShards { common, services, peers, shard_inputs, owned, loaded, usage }
    }

    /// Starts to own a shard. `commit_revision` is the revision at which the takeover wrote the
    /// commit row. `lapsed` says whether the former owner's lease had ended or it had released the
    /// shard.
    pub fn begin_owning(&self, shard: ShardNo, token: u64, commit: Rev, lapsed: bool) {
        let this = self.clone();
        let run = async move { this.run_shard(shard, token, commit, lapsed).await };
        let task = tokio::spawn(self.common.duties.clone().run("shard", run));
        let owned = OwnedShard { token, task: task.abort_handle(), inbox_seen: None };
        let previous = self.owned.lock().expect("no holder panics").insert(shard, owned);
        if let Some(previous) = previous {
            previous.task.abort();
        }
    }

    /// Stops owning a shard.
    pub async fn end_owning(&self, shard: ShardNo) {
        let previous = self.owned.lock().expect("no holder panics").remove(&shard);
        if let Some(previous) = previous {
            previous.task.abort();
        }
        let _ = self.shard_inputs.send(ShardInput::Lost(shard)).await;
    }

    /// Loads a shard, then follows its inbox; the owner of [`WAVE_SHARD`] also drives the waves.
    async fn run_shard(self, shard: ShardNo, token: u64, commit: Rev, lapsed: bool) {
        let mut pause = Backoff::default();
        let (mut load, rev) = loop {
            match self.load_shard(shard, commit).await {
                Ok(loaded) => break loaded,
                Err(fault) => {
                    let name = fault_label(&fault);
                    log::warn!(target: "owner", shard:% = shard, token, fault = name; "Shard can't be read; the read will be repeated.");
                    pause.wait().await;
                }
            }
        };
        load.lapsed = lapsed;
        let read_at = load.read_at;
        log::info!(target: "owner", did = "owned", shard:% = shard, token, jobs = load.jobs.len(), roster = load.roster.workers.len(), rev; "Shard is owned.");
        let _ = self.shard_inputs.send(ShardInput::Own(shard, token, Box::new(load))).await;
        self.record_inbox_seen(shard, token, read_at);
        self.loaded.notify_one();
        if shard != WAVE_SHARD {
            tokio::join!(self.follow_inbox(shard, token, rev), self.follow_divisions(shard, token));
            return;
        }
        // These futures are dropped when this member no longer owns the shard.
        let driver = WaveDriver {
            common: self.common.clone(),
            services: self.services.clone(),
            peers: self.peers.clone(),
            shard_inputs: self.shard_inputs.clone(),
        };
        tokio::join!(
            self.follow_inbox(shard, token, rev),
            self.follow_divisions(shard, token),
            driver.drive(token)
        );
    }

    /// Sends the divisions of customers' caps to a shard as they change, once there are customers.
    async fn follow_divisions(&self, shard: ShardNo, token: u64) {
        let mut config = self.common.config.subscribe();
        let has_customers =
            |c: &Option<Config>| c.as_ref().is_some_and(|c| c.queues.customers.is_some());
        if config.wait_for(has_customers).await.is_err() {
            return;
        }
        let services = self.services.clone();
        let mut follow =
            PrefixWatch::from_shared_prefix(services, DIVISIONS_PREFIX, DIVISIONS_WATCH_WAIT);
        loop {
            let (WatchUpdate::Snapshot(items, _) | WatchUpdate::Changes(items, _)) =
                follow.next().await;
            for (customer, rev, division) in items.iter().filter_map(parse_division) {
                let event = Event::Division(customer, rev, division);
                let _ = self.shard_inputs.send(ShardInput::Event(shard, token, event)).await;
            }
        }
    }

    /// Reads the divisions of customers' caps; none if the deployment is known to have no customers.
    async fn read_divisions(&self) -> Result<Vec<(CustomerId, Rev, Division)>, Fault> {
        let config = self.common.config.borrow().clone();
        if config.is_some_and(|c| c.queues.customers.is_none()) {
            return Ok(vec![]);
        }
        let (items, _) = self.services.read_prefix(DIVISIONS_PREFIX, false).await?;
        Ok(items.iter().filter_map(parse_division).collect())
    }

    /// Writes the division of a customer's cap, on the condition that the configuration with the cap
    /// is in force.
    async fn write_division(
        &self,
        customer: &CustomerId,
        mut txn: Txn,
        config_rev: Rev,
    ) -> Result<DivisionReply, Fault> {
        txn.expected_revs.push((self.common.codec.config_key.into(), config_rev));
        match self.services.call_store(&StoreCall::Txn(txn), CALL_TIMEOUT).await? {
            StoreReply::Done(rev) => Ok(DivisionReply::Done(rev)),
            StoreReply::Conflict(items) => {
                let key = division_key(customer);
                let item = items.iter().find(|i| i.key == key);
                let (_, rev, division) = item
                    .and_then(parse_division)
                    .unwrap_or_else(|| (customer.clone(), 0, Division::default()));
                Ok(DivisionReply::Conflict(rev, division))
            }
            _ => Err(Fault::Bad("not a reply to a write".into())),
        }
    }

    /// Sends the items of a shard's inbox to the shard as they are written.
    async fn follow_inbox(&self, shard: ShardNo, token: u64, rev: Rev) {
        let inbox = shard.inbox_prefix();
        let wait = self.common.site.borrow().bounds.cancel_lag / WATCHES_PER_CANCEL_LAG;
        let mut follow = PrefixWatch::from_revision(self.services.clone(), &inbox, wait, rev);
        let mut reported = None;
        loop {
            let update = follow.poll().await;
            let (items, source) = match &update {
                Some(WatchUpdate::Snapshot(items, _)) => (&items[..], CancelSource::Reread),
                Some(WatchUpdate::Changes(items, _)) => (&items[..], CancelSource::Watch),
                None => (&[][..], CancelSource::Watch),
            };
            for event in items.iter().filter_map(|i| inbox_event(&inbox, i, source)) {
                let _ = self.shard_inputs.send(ShardInput::Event(shard, token, event)).await;
            }
            let seen = follow.complete_at().filter(|at| reported.replace(*at) != Some(*at));
            if let Some(at) = seen {
                self.report_inbox_seen(shard, token, self.common.time_of(at)).await;
            }
        }
    }

    /// Tells a shard that all cancels that were acknowledged before `seen` have been delivered to it.
    pub(crate) async fn report_inbox_seen(&self, shard: ShardNo, token: u64, seen: Time) {
        let event = Event::InboxSeen(seen);
        let _ = self.shard_inputs.send(ShardInput::Event(shard, token, event)).await;
        self.record_inbox_seen(shard, token, seen);
    }

    fn record_inbox_seen(&self, shard: ShardNo, token: u64, seen: Time) {
        let mut owned = self.owned.lock().expect("no holder panics");
        if let Some(owned) = owned.get_mut(&shard).filter(|o| o.token == token) {
            owned.inbox_seen = owned.inbox_seen.max(Some(seen));
        }
    }

    /// Returns what the loaded shards that this member owns know of their inboxes.
    pub(crate) fn inbox_views(&self) -> Vec<InboxView> {
        let owned = self.owned.lock().expect("no holder panics");
        let view = |(shard, o): (&ShardNo, &OwnedShard)| {
            Some(InboxView { shard: *shard, token: o.token, seen: o.inbox_seen? })
        };
        owned.iter().filter_map(view).collect()
    }

    /// Reads the stored state of a shard. Returns it with the revision from which its inbox has to
    /// be followed.
    ///
    /// The reads run concurrently, as the shard makes no progress for as long as they take
    /// with a slow store. This is safe because only the owner writes the progress and the roster.
    async fn load_shard(&self, shard: ShardNo, commit: Rev) -> Result<(Snapshot, Rev), Fault> {
        let (inbox, begun, roster) =
            (shard.inbox_prefix(), shard.progress_prefix(), shard.roster_key());
        let read_at = self.common.now();
        let (arrived, begun, roster, divisions) = tokio::try_join!(
            self.services.read_prefix(&inbox, false),
            self.services.read_prefix(&begun, false),
            self.services.get(&roster, CALL_TIMEOUT),
            self.read_divisions(),
        )?;
        let mut load =
            Snapshot { commit_revision: commit, divisions, read_at, ..Snapshot::default() };
        let changes = arrived.0.iter().filter_map(|i| inbox_event(&inbox, i, CancelSource::Load));
        for event in changes {
            match event {
                Event::Job(job, record) => load.jobs.push((job, *record)),
                Event::Cancel(job, record, _) => load.cancels.push((job, record)),
                _ => {}
            }
        }
        let progress = |i: &Item| Some((job_number(&i.key)?, record::decode(i.value.as_ref()?)?));
        load.progress = begun.0.iter().filter_map(progress).collect();
        if let Some(item) = roster {
            let value = item.value.unwrap_or_default();
            load.roster = record::decode(&value).ok_or(Fault::Bad("not a roster".into()))?;
        }
        // The watch delivers what was stored after the takeover's commit row, and the range
        // contains all that was stored before it: no change can fall between the two.
        Ok((load, commit))
    }

    /// Reads the list of workers periodically while this member owns any shard.
    pub async fn poll_workers(self) {
        let mut list = WorkerList::default();
        loop {
            let owned: Vec<(ShardNo, u64)> = {
                let owned = self.owned.lock().expect("no holder panics");
                owned.iter().map(|(s, o)| (*s, o.token)).collect()
            };
            if owned.is_empty() {
                list.clear();
                self.loaded.notified().await;
                continue;
            }
            if let Ok((items, _)) =
                self.services.read_prefix(self.common.codec.worker_prefix, false).await
            {
                self.report_unreadable(list.update(items, self.common.codec));
                self.send_listed(&owned, &list).await;
            }
            // A shard that has just been loaded gets the list at once.
            let _ = timeout(LIST_INTERVAL, self.loaded.notified()).await;
        }
    }

    fn report_unreadable(&self, unreadable: Unreadable) {
        for _ in 0..unreadable.count {
            self.common.metrics.count_call("worker_entry", "bad");
        }
        for error in unreadable.new {
            log::warn!(target: "owner", did = "unreadable_entry", error:% = error; "Entry of the worker list is unreadable; it names no worker.");
        }
    }

    async fn send_listed(&self, owned: &[(ShardNo, u64)], list: &WorkerList) {
        let Some(layout) = self.common.view.borrow().layout.clone() else { return };
        let mut by_shard: BTreeMap<ShardNo, Vec<ListedWorker>> = BTreeMap::new();
        for worker in list.workers() {
            by_shard.entry(layout.worker_shard(worker)).or_default().push(worker.clone());
        }
        for (shard, token) in owned {
            let mut workers = by_shard.remove(shard).unwrap_or_default();
            workers.sort_by(|a, b| a.id.cmp(&b.id));
            let event = Event::Listed(workers);
            let _ = self.shard_inputs.send(ShardInput::Event(*shard, *token, event)).await;
        }
    }

    /// Carries out orders until their channel is closed.
    pub async fn run_orders(self, orders: Receiver<ShardOutput>) {
        while let Ok(out) = orders.recv().await {
            let ShardOutput::Order(shard, token, order) = out else { continue };
            let this = self.clone();
            tokio::spawn(async move {
                let Some(event) = this.execute_order(shard, order).await else { return };
                let _ = this.shard_inputs.send(ShardInput::Event(shard, token, event)).await;
            });
        }
    }

    async fn execute_order(&self, shard: ShardNo, order: Order) -> Option<Event> {
        let sent = self.common.now();
        match order {
            Order::Worker { worker, call, .. } if self.is_outdated(shard, &call, sent) => {
                Some(Event::Worker { worker, sent, call, reply: Err(Fault::Unsent) })
            }
            Order::Worker { worker, addr, call, limit } => {
                let reply = self.services.call_worker(addr, &worker, &call, limit).await;
                Some(Event::Worker { worker, sent, call, reply })
            }
            Order::Advise { via, call, sent, expected: takes, limit } => {
                let reply = if via == self.common.me {
                    advise_locally(&self.common, &self.services, &call, takes, limit).await
                } else {
                    self.advise(via, &call, takes, limit).await
                };
                Some(Event::Advised { call, via, sent, reply })
            }
            Order::ReadMachines => {
                let reply = self.services.live_workers(MACHINES_TIMEOUT).await;
                Some(Event::Machines { sent, reply })
            }
            Order::Divide { customer, txn, config_rev } => {
                let reply = self.write_division(&customer, txn, config_rev).await;
                Some(Event::Divided(customer, reply))
            }
            Order::ReadDivisions => {
                Some(Event::Divisions { sent, reply: self.read_divisions().await })
            }
            Order::ReportUsage(report) => {
                self.report_usage(report).await;
                None
            }
            // `shard_writes` carries out the writes.
            Order::Store(..) | Order::ReadCommit | Order::Deposed => None,
        }
    }

    /// Returns whether the order is a start that must not be sent any more, because the shard may have missed
    /// a cancel since it was given.
    ///
    /// Guards against a member that is suspended between the decision to start a task and the call.
    fn is_outdated(&self, shard: ShardNo, call: &WorkerCall, now: Time) -> bool {
        let owned = self.owned.lock().expect("no holder panics");
        let seen = owned.get(&shard).and_then(|o| o.inbox_seen);
        let bound = self.common.site.borrow().bounds.cancel_lag;
        matches!(call, WorkerCall::Start(_)) && seen.is_none_or(|seen| now - seen > bound)
    }

    /// Passes a report of customers' usage to the other shards of this member, and sends the reports
    /// of its shards to the owners of other shards if that is due.
    ///
    /// A lost report affects only the order of starts, so no report is sent again.
    async fn report_usage(&self, report: Arc<UsageReport>) {
        if self.owned.lock().expect("no holder panics").len() > 1 {
            let event = Event::Usage([UsageReport::clone(&report)].into());
            let _ = self.shard_inputs.try_send(ShardInput::Broadcast(event));
        }
        let due = self.usage.lock().expect("no holder panics").add(report);
        let Some(reports) = due else { return };
        let recipients = recipients(&self.common.view.borrow(), self.common.me);
        let mut calls = JoinSet::new();
        for addr in recipients {
            let (peers, reports) = (self.peers.clone(), reports.clone());
            calls.spawn(async move { peers.report_usage(addr, reports, USAGE_TIMEOUT).await });
        }
        calls.join_all().await;
    }

    async fn advise(
        &self,
        via: Incarnation,
        call: &AdviceCall,
        takes: Duration,
        limit: Duration,
    ) -> Result<Advice, Fault> {
        let addr = self.common.view.borrow().members.get(&via).map(|m| m.control);
        self.peers.advise(addr.ok_or(Fault::Unsent)?, call, takes, limit).await
    }
}

/// Returns the customer and the division in an item; none if it was removed or can't be parsed.
fn parse_division(item: &Item) -> Option<(CustomerId, Rev, Division)> {
    let customer = CustomerId::from(item.key.strip_prefix(DIVISIONS_PREFIX)?);
    let division = record::decode(item.value.as_ref()?);
    if division.is_none() {
        log::error!(target: "owner", customer:% = customer, rev = item.rev; "The division of a customer's cap can't be parsed.");
    }
    Some((customer, item.rev, division?))
}

/// Returns the job number at the end of a key.
fn job_number(key: &str) -> Option<JobNo> {
    key.rsplit('/').next()?.parse().ok()
}

/// Returns the event for an item of an inbox; none if the item was removed. `source` says where the
/// item comes from.
fn inbox_event(inbox: &str, item: &Item, source: CancelSource) -> Option<Event> {
    let value = item.value.as_ref()?;
    let (kind, _) = item.key.strip_prefix(inbox)?.split_once('/')?;
    let job = job_number(&item.key)?;
    match kind {
        "j" => {
            let record = record::decode(value);
            if record.is_none() {
                log::error!(target: "owner", job:% = job, rev = item.rev; "The record of a job can't be parsed.");
            }
            Some(Event::Job(job, Box::new(record?)))
        }
        "c" => {
            let record: Option<CancelRecord> = record::decode(value);
            if record.is_none() {
                log::error!(target: "owner", job:% = job, rev = item.rev; "The record of a cancel can't be parsed; the job is cancelled all the same.");
            }
            Some(Event::Cancel(job, record.unwrap_or_default(), source))
        }
        _ => None,
    }
}
