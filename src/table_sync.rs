//! Follows the member table and the operators' items in the store, and carries out takeovers and
//! releases of shards.
//!
//! [`MemberTable`] decides about takeovers; [`crate::table_writes`] makes the calls. The watches of
//! the table are spaced out by the number of members, as members of a large site that start and
//! stop together could otherwise overload the store.

use {
    crate::{
        decide::pace_monitor::SpeedMonitor,
        ids::Incarnation,
        layout::MAX_LIST_WAIT,
        member_table::{MemberTable, Takeover, TakeoverOutcome},
        membership::RENEW_INTERVAL,
        owned_shards::OwnedShards,
        prefix_watch::{PrefixWatch, WatchUpdate},
        service_clients::ServiceClients,
        shard::{
            event::Event,
            record::{ShardNo, TABLE_PREFIX},
        },
        shard_runner::{ShardInput, ShardOutput},
        shared_state::SharedState,
        table_writes::{log_takeover, make_layout, take_over, write_release},
        time::Time,
        work::QueueConfig,
    },
    async_channel::{Receiver, Sender},
    sha2::{Digest, Sha256},
    std::{
        collections::BTreeSet,
        hint::black_box,
        mem,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::{sleep, timeout},
};

/// Maximum time for which the store holds a watch of the table open without a change.
const TABLE_WATCH_WAIT: Duration = Duration::from_secs(10);
/// Number of watches of the configuration that fit into its maximum age: if one of them gets no
/// answer, the next one still completes in time.
const WATCHES_PER_CONFIG_AGE: u32 = 2;
/// Interval of checks of the table while a shard has no live owner or the store doesn't serve this
/// member.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of attempts to write the release of a shard while the outcome is unknown.
const RELEASE_ATTEMPTS: u32 = 3;
/// Minimum interval at which a member gives up its shards because the store doesn't serve it or it
/// is too slow. If it owns shards again by then, no other member was able to take them over.
const GIVE_UP_INTERVAL: Duration = Duration::from_secs(10);
/// Number of bytes that are hashed to measure the speed of the processor: some tens of microseconds,
/// which is little for each half a second and long against the resolution of the clock.
const COMPUTATION_BYTES: usize = 32 << 10;
/// How long a member counts as slow after it has given up its shards for that reason. Without
/// shards it can't measure its pace.
const SLOW_PERIOD: Duration = Duration::from_secs(10);

/// Pause between two watches of the table, per member: all members together make at most 500
/// watches per second.
const WATCH_PAUSE_PER_MEMBER: Duration = Duration::from_millis(2);

/// Follows the items that the operators write: the configuration and the maintenance waves.
pub(crate) async fn follow_config(
    common: Arc<SharedState>,
    services: ServiceClients,
    shard_inputs: Sender<ShardInput>,
) {
    let wait = common.site.borrow().bounds.config_lag / WATCHES_PER_CONFIG_AGE;
    let mut follow = PrefixWatch::from_snapshot(services, common.codec.operator_prefix, wait);
    let mut sent: Option<Arc<QueueConfig>> = None;
    loop {
        match follow.poll().await {
            Some(seen) => apply_operator_items(&common, &seen),
            // A write has shown that the store has a newer configuration than the watch has
            // delivered.
            None if common.config_outdated() => follow.restart(),
            None => {}
        }
        if let Some(at) = follow.complete_at() {
            common.record_confirmed(common.time_of(at));
        }
        // The thread that serves callers may have applied this configuration already, so compare
        // with what was last sent to the shards.
        let queues = common.config.borrow().as_ref().map(|c| c.queues.clone());
        let Some(queues) = queues else { continue };
        if !sent.as_ref().is_some_and(|s| Arc::ptr_eq(s, &queues)) {
            sent = Some(queues.clone());
            let _ = shard_inputs.send(ShardInput::Broadcast(Event::Queues(queues))).await;
        }
    }
}

/// Applies the maintenance waves and the last configuration among the operators' items.
fn apply_operator_items(common: &SharedState, seen: &WatchUpdate) {
    common.apply_waves(seen);
    let (WatchUpdate::Snapshot(items, _) | WatchUpdate::Changes(items, _)) = seen;
    // Many versions may arrive per second, so that only the last one is parsed.
    let last = items.iter().filter(|i| &*i.key == common.codec.config_key).max_by_key(|i| i.rev);
    if let Some(item) = last {
        common.apply_config(item);
    }
}

/// Follows the table at a rate that the store sustains for all members together.
///
/// Guards against watches that keep members from renewing their leases. Each change answers the
/// watch of every member, and each member watches again at once. With 300 members that started and
/// stopped one by one, these calls used the whole capacity of the store; leases ended because they
/// could not be renewed, and each end was one more change.
async fn follow_table(
    common: Arc<SharedState>,
    mut follow: PrefixWatch,
    seen: Sender<SyncMessage>,
) {
    loop {
        if seen.send(SyncMessage::TableUpdate(follow.next().await)).await.is_err() {
            return;
        }
        let members = u32::try_from(common.view.borrow().members.len()).unwrap_or(u32::MAX);
        sleep(WATCH_PAUSE_PER_MEMBER.saturating_mul(members)).await;
    }
}

/// The task that applies changes of the table and carries out takeovers and releases.
pub(crate) struct TableSync {
    common: Arc<SharedState>,
    services: ServiceClients,
    owned_shards: OwnedShards,
    table: MemberTable,
    shard_inputs: Sender<ShardInput>,
    /// Sends messages to this task itself.
    sender: Sender<SyncMessage>,
    /// Whether a task is creating the layout.
    making_layout: bool,
    /// Time at which this member was told to stop; `None` while it runs on.
    stopping_since: Option<Time>,
    /// Last time at which this member gave up its shards while it was not stopping.
    last_give_up: Option<Time>,
    /// Time until which this member counts as too slow for shards.
    slow_until: Option<Time>,
    /// The speed of this member while it owns no shards.
    speed: SpeedMonitor,
    next_computation: Time,
}

/// The messages to the [`TableSync`].
enum SyncMessage {
    /// An update from the watch of the table.
    TableUpdate(WatchUpdate),
    TakeoverDone(Takeover, TakeoverOutcome),
    /// The attempt to create the layout has ended.
    LayoutDone,
    /// The release of a shard has been written or given up; holds the number of jobs whose writes
    /// are unfinished.
    Released(ShardNo, usize),
    /// A shard can be released, or this member has lost it.
    Notice(ShardOutput),
    /// This member has to stop.
    Stop,
}

impl TableSync {
    /// Runs until this member has been told to stop and owns no shards.
    pub async fn run(
        common: Arc<SharedState>,
        services: ServiceClients,
        owned_shards: OwnedShards,
        shard_inputs: Sender<ShardInput>,
        notices: Receiver<ShardOutput>,
    ) {
        let (sender, messages) = async_channel::bounded(256);
        let follow =
            PrefixWatch::from_shared_prefix(services.clone(), TABLE_PREFIX, TABLE_WATCH_WAIT);
        let follow = follow_table(common.clone(), follow, sender.clone());
        tokio::spawn(common.duties.clone().run("table watch", follow));
        let notice_tx = sender.clone();
        tokio::spawn(async move {
            while let Ok(out) = notices.recv().await {
                let _ = notice_tx.send(SyncMessage::Notice(out)).await;
            }
        });
        let (stop, stopping) = (sender.clone(), common.clone());
        tokio::spawn(async move {
            stopping.wait_for_stop().await;
            let _ = stop.send(SyncMessage::Stop).await;
        });
        let table = MemberTable::new(common.me);
        let (making_layout, stopping, last_give_up, slow_until) = (false, None, None, None);
        let this = TableSync {
            common,
            services,
            owned_shards,
            table,
            shard_inputs,
            sender,
            making_layout,
            stopping_since: stopping,
            last_give_up,
            slow_until,
            speed: SpeedMonitor::default(),
            next_computation: Time::ZERO,
        };
        this.run_loop(messages).await;
    }

    async fn run_loop(mut self, messages: Receiver<SyncMessage>) {
        loop {
            let unsettled = self.table.has_unowned() || self.common.store_routes.is_direct_lost();
            let interval = if unsettled { CHECK_INTERVAL } else { RENEW_INTERVAL };
            let received = timeout(interval, messages.recv()).await;
            if let Some(at) = self.common.last_answer() {
                self.table.record_answer(at);
            }
            if let Ok(Ok(message)) = received {
                self.handle(message).await;
            }
            self.table.set_relayed(self.common.store_routes.is_direct_lost());
            self.update_slow();
            self.give_up_unserved().await;
            let may_give_up = self.may_give_up(self.common.now());
            self.common
                .may_give_up
                .send_if_modified(|m| mem::replace(m, may_give_up) != may_give_up);
            let takeovers = self.table.due_takeovers(self.common.now());
            takeovers.into_iter().for_each(|t| self.spawn_takeover(t));
            if self.table.lacks_layout() && !self.making_layout && self.stopping_since.is_none() {
                self.making_layout = true;
                self.spawn_layout();
            }
            if self.stopping_since.is_some()
                && self.table.owned().is_empty()
                && !self.table.has_pending_takeover()
            {
                return;
            }
        }
    }

    async fn handle(&mut self, message: SyncMessage) {
        let now = self.common.now();
        match message {
            SyncMessage::TableUpdate(WatchUpdate::Snapshot(items, rev)) => {
                let lost = self.table.load_snapshot(items, rev, now);
                self.publish(lost).await;
            }
            SyncMessage::TableUpdate(WatchUpdate::Changes(items, rev)) => {
                let lost = self.table.apply_changes(items, rev, now);
                self.publish(lost).await;
            }
            SyncMessage::TakeoverDone(takeover, outcome) => {
                let lost = self.table.finish_takeover(&takeover, outcome.clone(), now);
                if let TakeoverOutcome::Done(rev, token) = outcome
                    && self.table.owned().contains_key(&takeover.shard)
                {
                    self.common.metrics.count_move("taken_over");
                    self.owned_shards.begin_owning(
                        takeover.shard,
                        token,
                        rev,
                        takeover.former_lapsed,
                    );
                }
                self.publish(lost).await;
            }
            SyncMessage::LayoutDone => self.making_layout = false,
            SyncMessage::Notice(ShardOutput::Releasable(shard, left)) => self.release(shard, left),
            SyncMessage::Notice(ShardOutput::Deposed(shard)) => {
                self.table.remove_owned(shard, now);
                self.publish(vec![shard]).await;
            }
            SyncMessage::Notice(ShardOutput::Slow) => self.mark_slow(),
            SyncMessage::Notice(ShardOutput::Order(..)) => {}
            SyncMessage::Released(shard, left) => {
                self.table.remove_owned(shard, now);
                self.common.metrics.count_move("released");
                let after_ms = self.stopping_since.map_or(0, |s| (now - s).as_millis() as u64);
                log::info!(target: "table", did = "released", shard:% = shard, after_ms, unwritten = left; "Shard is released.");
                self.owned_shards.end_owning(shard).await;
            }
            SyncMessage::Stop => {
                self.stopping_since = self.stopping_since.or(Some(now));
                self.table.stop_takeovers();
                let _ = self.shard_inputs.send(ShardInput::Release).await;
            }
        }
    }

    /// Returns whether this member may give up its shards: it owns some, hasn't given up any of
    /// late, and others can take them over.
    fn may_give_up(&self, now: Time) -> bool {
        let allowed = self.last_give_up.is_none_or(|at| at + GIVE_UP_INTERVAL <= now);
        let owns = self.stopping_since.is_none() && !self.table.owned().is_empty();
        owns && allowed && !self.common.view.borrow().relay_candidates(self.common.me).is_empty()
    }

    fn record_give_up(&mut self, now: Time) {
        self.last_give_up = Some(now);
        self.common.metrics.count_move("given_up");
    }

    /// Gives up all shards while the store serves other members directly, but not this one.
    async fn give_up_unserved(&mut self) {
        let now = self.common.now();
        if self.common.store_routes.yields_shards() && self.may_give_up(now) {
            let shards = self.table.owned().len();
            log::warn!(target: "table", did = "yields", shards; "The store doesn't serve this member; its shards are given up.");
            self.record_give_up(now);
            let _ = self.shard_inputs.send(ShardInput::Release).await;
        }
    }

    /// Marks this member as slow, because it gives up its shards as too slow for them.
    fn mark_slow(&mut self) {
        let now = self.common.now();
        let shards = self.table.owned().len();
        log::warn!(target: "table", did = "slow", shards; "This member is too slow for its shards; they are given up.");
        self.slow_until = Some(now + SLOW_PERIOD);
        self.update_slow();
        self.record_give_up(now);
    }

    /// Updates whether this member counts as slow: for some time after it has given up its shards, and
    /// while it has no shards and computes more slowly than before.
    fn update_slow(&mut self) {
        let now = self.common.now();
        if self.table.owned().is_empty() && self.next_computation <= now {
            self.next_computation = now + RENEW_INTERVAL;
            self.speed.record_computation(time_computation());
        }
        self.slow_until = self.slow_until.filter(|until| *until > now);
        let slow =
            self.slow_until.is_some() || (self.table.owned().is_empty() && self.speed.is_slow());
        self.table.set_slow(slow);
        self.common.slow.send_if_modified(|s| mem::replace(s, slow) != slow);
    }

    /// Publishes the changed table and notifies the tasks that the change concerns.
    async fn publish(&mut self, lost: Vec<ShardNo>) {
        for shard in lost {
            self.common.metrics.count_move("passed");
            log::info!(target: "table", did = "passed", shard:% = shard, to:? = self.table.view().owners.get(&shard); "Shard is no longer owned by this member.");
            self.owned_shards.end_owning(shard).await;
        }
        let view = self.table.view();
        self.record_members(&view.members.keys().copied().collect());
        self.common.metrics.set_level("shards", self.table.owned().len());
        self.common.metrics.set_level("members", view.members.len());
        let peers = view.available_members();
        let (before, old) = {
            let old = self.common.view.borrow();
            (old.available_members(), old.closing.clone())
        };
        let closing = view.closing.clone();
        self.common.view.send_replace(Arc::new(view));
        if closing != old {
            let _ = self.shard_inputs.send(ShardInput::Broadcast(Event::Closing(closing))).await;
        }
        if peers != before {
            let _ = self.shard_inputs.send(ShardInput::PeersChanged).await;
        }
    }

    /// Records and logs members that have registered or whose rows are gone.
    fn record_members(&self, now: &BTreeSet<Incarnation>) {
        let (view, members) = (self.common.view.borrow(), now.len());
        for gone in view.members.keys().filter(|m| !now.contains(m)) {
            self.common.record_member_gone();
            log::info!(target: "table", member:% = gone, members, rev = view.rev; "Member is gone.");
        }
        for joined in now.iter().filter(|m| !view.members.contains_key(m)) {
            log::info!(target: "table", member:% = joined, members, rev = view.rev; "Member has joined.");
        }
    }

    fn spawn_takeover(&self, takeover: Takeover) {
        let (services, sender, me) = (self.services.clone(), self.sender.clone(), self.common.me);
        let control = self.table.control_addr();
        let task = async move {
            let outcome = take_over(&services, me, control, &takeover).await;
            log_takeover(me, &takeover, &outcome);
            let _ = sender.send(SyncMessage::TakeoverDone(takeover, outcome)).await;
        };
        tokio::spawn(self.common.duties.clone().run("takeover", task));
    }

    /// Writes the release of a shard. The token stays in the row, so that the next owner has a
    /// higher one.
    fn release(&self, shard: ShardNo, left: usize) {
        let (services, sender) = (self.services.clone(), self.sender.clone());
        let row = self.table.owner_row(shard);
        let attempts = if self.stopping_since.is_some() { 1 } else { RELEASE_ATTEMPTS };
        let task = async move {
            if let Some((rev, row)) = row {
                write_release(&services, shard, rev, row, attempts).await;
            }
            let _ = sender.send(SyncMessage::Released(shard, left)).await;
        };
        tokio::spawn(self.common.duties.clone().run("release", task));
    }

    /// Creates the layout, unless another member does.
    fn spawn_layout(&self) {
        let (services, sender) = (self.services.clone(), self.sender.clone());
        let common = self.common.clone();
        let task = async move {
            // Members that start together have to see each other first. Two members count the
            // workers, in case one of them fails; the others wait, as each read of the list costs
            // capacity of the store and one layout is enough.
            sleep(RENEW_INTERVAL).await;
            let rank = common.view.borrow().id_rank(common.me);
            if rank > 1 {
                sleep(MAX_LIST_WAIT + CHECK_INTERVAL * u32::try_from(rank.min(50)).unwrap_or(50))
                    .await;
            }
            if common.view.borrow().layout.is_none() {
                make_layout(&services, &common).await;
                sleep(RENEW_INTERVAL).await;
            }
            let _ = sender.send(SyncMessage::LayoutDone).await;
        };
        tokio::spawn(self.common.duties.clone().run("layout", task));
    }
}

/// Returns how long a fixed computation takes.
fn time_computation() -> Duration {
    let begun = Instant::now();
    black_box(Sha256::digest(black_box([0_u8; COMPUTATION_BYTES])));
    begun.elapsed()
}
