//! Runs the shards that this member owns: passes them events, and passes their orders on to the tasks
//! that carry them out.
//!
//! Each shard is a state machine without network or clock. This module takes events from one bounded
//! queue, drives the shards by a tick, and sends their orders to another bounded queue. Before a shard
//! is released, it may finish its writes, so that its next owner finds no change half done.

use {
    crate::{
        decide::pace_monitor::PaceMonitor,
        ids::WorkerId,
        ports::Fault,
        shard::{
            Cause, Gauges, Occupancy, PoolWait, Setup, Shard, Stats,
            event::{Event, Order, Snapshot},
            record::ShardNo,
            report::JobReport,
            view::ShardView,
        },
        shared_state::SharedState,
        time::{Time, millis},
        work::JobNo,
    },
    async_channel::{Receiver, Sender, TrySendError},
    std::{collections::BTreeMap, mem, sync::Arc, time::Duration},
    tokio::{
        sync::oneshot,
        task::yield_now,
        time::{MissedTickBehavior, interval},
    },
};

/// Interval of the shards' [`Event::Tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// How often the metrics are updated.
const METRICS_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum time that shards get to finish their writes before they are released.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1200);
/// Maximum time that shards get to finish their writes if this member is too slow for them. Their next
/// owner learns from the workers what has not been written.
const SLOW_RELEASE_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of further inputs processed before the shards' orders are passed on.
const MAX_BATCH: usize = 64;

/// An input of [`ShardRunner`].
pub(crate) enum ShardInput {
    /// This member now owns a shard, with this token and this loaded state.
    Own(ShardNo, u64, Box<Snapshot>),
    /// An event for a shard; ignored if this member doesn't own the shard with this token.
    Event(ShardNo, u64, Event),
    /// An event that another member sent for a shard. It reaches the shard whatever token this
    /// member owns it with.
    PeerEvent(ShardNo, Event),
    /// An event for all shards.
    Broadcast(Event),
    /// The members that may make advice calls for the shards have changed.
    PeersChanged,
    /// Another member owns this shard.
    Lost(ShardNo),
    /// A command to finish the writes of all shards and to report each shard with
    /// [`ShardOutput::Releasable`].
    Release,
    /// A request for the states of jobs. The reply is `None` for an unknown job.
    JobStates(Box<[(ShardNo, JobNo)]>, oneshot::Sender<Vec<Option<JobReport>>>),
    /// A request for the tasks on these workers of these shards, and for how long tasks wait. The
    /// reply is `None` if this member may no longer own one of the shards.
    HeldTasks(
        Box<[WorkerId]>,
        Box<[ShardNo]>,
        oneshot::Sender<Option<(Vec<Occupancy>, Vec<PoolWait>)>>,
    ),
    /// A request for the number of jobs of a queue that have not begun in these shards. The reply
    /// is `None` if this member may no longer own one of the shards.
    QueueLength(Box<str>, Box<[ShardNo]>, oneshot::Sender<Option<u64>>),
    /// A request for what operators see of all shards.
    View(oneshot::Sender<Vec<ShardView>>),
}

/// An output of [`ShardRunner`].
pub(crate) enum ShardOutput {
    /// An order of a shard that is owned with this token.
    Order(ShardNo, u64, Order),
    /// A shard can be released; holds the number of jobs whose writes are unfinished.
    Releasable(ShardNo, usize),
    /// This member has lost a shard to another owner.
    Deposed(ShardNo),
    /// This member is too slow for its shards and gives them up.
    Slow,
}

/// A shard that this member owns.
struct OwnedShard {
    token: u64,
    since: Time,
    /// Whether the shard has processed an event since its last round.
    has_new_events: bool,
    shard: Shard,
}

/// Runs the shards that this member owns.
pub(crate) struct ShardRunner {
    common: Arc<SharedState>,
    input: Receiver<ShardInput>,
    /// The results of writes, which are processed before all other inputs.
    written: Receiver<ShardInput>,
    orders: Sender<ShardOutput>,
    writes: Sender<ShardOutput>,
    notices: Sender<ShardOutput>,
    shards: BTreeMap<ShardNo, OwnedShard>,
    /// Failure events of orders that were dropped because the queue was full; processed with the
    /// next tick.
    deferred_events: Vec<(ShardNo, u64, Event)>,
    pace: PaceMonitor,
    /// Duration of the longest pass since the last update of the metrics.
    longest_pass: Duration,
    /// The time of the latest [`Event::Confirmed`].
    confirmed_at: Option<Time>,
    /// Time of the next update of the metrics.
    next_metrics: Time,
    /// Time until which the shards may finish their writes; `None` unless they are to be released.
    release_by: Option<Time>,
}

impl ShardRunner {
    /// Creates a runner without shards.
    ///
    /// Inputs come from `input`, results of writes from `written`, so that none of them waits behind
    /// replies of workers: callers wait for the ends of their jobs to be stored, and each end that is
    /// not stored causes further calls.
    ///
    /// Writes of shards go to `writes`, their other orders to `orders`, news of released and lost
    /// shards to `notices`.
    pub fn new(
        common: Arc<SharedState>,
        (input, written): (Receiver<ShardInput>, Receiver<ShardInput>),
        orders: Sender<ShardOutput>,
        writes: Sender<ShardOutput>,
        notices: Sender<ShardOutput>,
    ) -> Self {
        let (shards, deferred_events) = (BTreeMap::new(), vec![]);
        let next_metrics = Time::ZERO;
        let pace = PaceMonitor::new(common.now());
        ShardRunner {
            common,
            input,
            written,
            orders,
            writes,
            notices,
            shards,
            deferred_events,
            pace,
            longest_pass: Duration::ZERO,
            confirmed_at: None,
            next_metrics,
            release_by: None,
        }
    }

    /// Processes inputs until their queue is closed.
    ///
    /// There are no ticks while this member owns no shard, so that an idle member uses no processor
    /// time.
    pub async fn run(mut self) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let input = tokio::select! {
                biased;
                _ = ticks.tick(), if !self.shards.is_empty() => None,
                Ok(written) = self.written.recv() => Some(written),
                received = self.input.recv() => match received {
                    Ok(input) => Some(input),
                    Err(_) => return,
                },
            };
            let Some(input) = input else {
                self.tick().await;
                self.run_rounds().await;
                self.check_pace().await;
                continue;
            };
            self.process(input).await;
            for _ in 0..MAX_BATCH {
                let Ok(input) = self.written.try_recv().or_else(|_| self.input.try_recv()) else {
                    break;
                };
                self.process(input).await;
            }
            self.run_rounds().await;
            self.check_pace().await;
            // The queue of inputs may be full again at once: the tasks that carry out the orders have to
            // run in between.
            yield_now().await;
        }
    }

    /// Measures the pass that has just ended, and gives all shards up if this member is too slow for
    /// them and may do so.
    async fn check_pace(&mut self) {
        let now = self.common.now();
        self.longest_pass = self.longest_pass.max(self.pace.record_pass(now));
        let Some(since) = self.shards.values().map(|o| o.since).max() else { return };
        let may_give_up = self.release_by.is_none() && *self.common.may_give_up.borrow();
        if may_give_up && self.pace.is_slow(since, now) {
            self.pace = PaceMonitor::new(now);
            self.release_by = Some(now + SLOW_RELEASE_TIMEOUT);
            let _ = self.notices.send(ShardOutput::Slow).await;
            self.release_settled().await;
        }
    }

    async fn process(&mut self, input: ShardInput) {
        match input {
            ShardInput::Own(shard, token, load) => self.start_shard(shard, token, *load).await,
            ShardInput::Event(shard, token, event) => self.process_event(shard, token, event),
            ShardInput::PeerEvent(shard, event) => {
                if let Some(token) = self.shards.get(&shard).map(|s| s.token) {
                    self.process_event(shard, token, event);
                }
            }
            ShardInput::Broadcast(event) => self.broadcast(event).await,
            ShardInput::PeersChanged => self.update_peers().await,
            ShardInput::Lost(shard) => {
                self.shards.remove(&shard);
            }
            ShardInput::Release => {
                self.release_by = Some(self.common.now() + RELEASE_TIMEOUT);
                self.release_settled().await;
            }
            ShardInput::JobStates(jobs, reply) => {
                let now = self.common.now();
                let report =
                    |(no, job): &(ShardNo, JobNo)| self.shards.get(no)?.shard.report(*job, now);
                let _ = reply.send(jobs.iter().map(report).collect());
            }
            ShardInput::HeldTasks(workers, shards, reply) => {
                let now = self.common.now();
                let one = |s| {
                    let shard = self.certain_shard(s, now)?;
                    Some((shard.occupancy(&workers), shard.pool_waits(now)))
                };
                let all: Option<Vec<_>> = shards.iter().map(one).collect();
                let all = all.map(|a| a.into_iter().unzip::<_, _, Vec<_>, Vec<_>>());
                let _ = reply.send(all.map(|(held, needs)| (held.concat(), needs.concat())));
            }
            ShardInput::QueueLength(queue, shards, reply) => {
                let now = self.common.now();
                let one = |s| self.certain_shard(s, now).map(|shard| shard.queued_jobs(&queue));
                let _ = reply.send(shards.iter().map(one).sum());
            }
            // A requester that timed out has dropped its receiver.
            ShardInput::View(reply) if reply.is_closed() => {}
            ShardInput::View(reply) => {
                let now = self.common.now();
                let _ = reply.send(self.shards.values().map(|o| o.shard.view(now)).collect());
            }
        }
    }

    /// Returns a shard if this member certainly owns it and may therefore report its state to
    /// others.
    fn certain_shard(&self, no: &ShardNo, now: Time) -> Option<&Shard> {
        self.shards.get(no).map(|o| &o.shard).filter(|s| s.may_report(now))
    }

    /// Starts a shard that this member now owns.
    async fn start_shard(&mut self, no: ShardNo, token: u64, load: Snapshot) {
        if self.shards.is_empty() && !self.common.is_stopping() {
            // All shards of an earlier release have been released.
            self.release_by = None;
        }
        if self.release_by.is_some() {
            let _ = self.notices.send(ShardOutput::Releasable(no, 0)).await;
            return;
        }
        let bounds = self.common.site.borrow().bounds;
        let (me, unix) = (self.common.me, self.common.start_unix_ms);
        let setup = Setup { shard: no, member: me, token, bounds, unix_ms: unix };
        let since = self.common.now();
        if self.shards.is_empty() {
            self.pace = PaceMonitor::new(since);
        }
        let shard = Shard::new(setup, load, since);
        self.shards.insert(no, OwnedShard { token, since, has_new_events: true, shard });
        let config = self.common.config.borrow().clone();
        if let Some(config) = config {
            self.process_event(no, token, Event::Queues(config.queues));
        }
        let view = self.common.view.borrow().clone();
        self.process_event(no, token, Event::Peers(view.advice_members(no)));
        self.process_event(no, token, Event::Closing(view.closing.clone()));
        if let Some(at) = self.confirmed_at {
            self.process_event(no, token, Event::Confirmed(at));
        }
    }

    /// Passes an event to all shards.
    async fn broadcast(&mut self, event: Event) {
        if let Event::Confirmed(at) = &event {
            self.confirmed_at = self.confirmed_at.max(Some(*at));
        }
        let all: Vec<_> = self.shards.iter().map(|(s, o)| (*s, o.token)).collect();
        for (shard, token) in all {
            self.process_event(shard, token, event.clone());
        }
    }

    /// Tells each shard which members may make advice calls for it.
    async fn update_peers(&mut self) {
        let view = self.common.view.borrow().clone();
        let all: Vec<_> = self.shards.iter().map(|(s, o)| (*s, o.token)).collect();
        for (shard, token) in all {
            self.process_event(shard, token, Event::Peers(view.advice_members(shard)));
        }
    }

    async fn tick(&mut self) {
        for (shard, token, event) in std::mem::take(&mut self.deferred_events) {
            self.process_event(shard, token, event);
        }
        if self.release_by.is_some() {
            self.start_final_writes();
            self.release_settled().await;
        } else {
            self.broadcast(Event::Tick).await;
        }
        self.update_metrics();
    }

    /// Updates the metrics with the shards' counters and levels, if that is due.
    fn update_metrics(&mut self) {
        let now = self.common.now();
        let metrics = &self.common.metrics;
        if now < self.next_metrics {
            return;
        }
        self.next_metrics = now + METRICS_INTERVAL;
        let mut waiting: BTreeMap<u8, usize> = BTreeMap::new();
        let mut away: BTreeMap<Cause, Duration> = BTreeMap::new();
        let (mut oldest, mut inbox_age) = (Duration::ZERO, Duration::ZERO);
        let (mut waiting_customers, mut above_share) = (0, 0);
        let (mut unwritten, mut end_age) = (0, Duration::ZERO);
        let (inputs, pass) = (self.input.len(), mem::take(&mut self.longest_pass));
        for (shard, owned) in &mut self.shards {
            let tally = owned.shard.take_stats();
            metrics.add_tally(&tally);
            let levels = owned.shard.gauges(now);
            log_work(*shard, &tally, &levels, inputs, pass);
            unwritten += levels.unwritten_jobs;
            end_age = end_age.max(levels.unstored_end_age);
            levels.waiting_tasks.iter().for_each(|(p, n)| *waiting.entry(*p).or_default() += n);
            for (cause, time) in levels.longest_absence {
                let longest = away.entry(cause).or_default();
                *longest = time.max(*longest);
            }
            oldest = oldest.max(levels.worker_list_age);
            inbox_age = inbox_age.max(levels.inbox_age);
            waiting_customers += levels.waiting_customers;
            above_share += levels.customers_above_share;
        }
        metrics.set_waiting(&waiting);
        metrics.set_away(&away);
        metrics.set_customers(waiting_customers, above_share);
        metrics.set_age("workers", oldest);
        metrics.set_age("inbox", inbox_age);
        metrics.set_age("unstored_end", end_age);
        metrics.set_age("pass", pass);
        metrics.set_level("shard_inputs", inputs);
        metrics.set_level("unwritten_jobs", unwritten);
    }

    /// Passes an event to its shard; the next [`Self::run_rounds`] passes the shard's orders on.
    ///
    /// A shard that is to be released gets only the results of its writes: anything else that it
    /// started now would be left half done to its next owner.
    fn process_event(&mut self, no: ShardNo, token: u64, event: Event) {
        let write_result = matches!(event, Event::Stored(..) | Event::CommitRead(_));
        if self.release_by.is_some() && !write_result {
            return;
        }
        let Some(owned) = self.shards.get_mut(&no).filter(|o| o.token == token) else { return };
        owned.shard.apply(event, self.common.now());
        owned.has_new_events = true;
    }

    /// Runs a round of each shard that has processed events, and passes its orders on.
    async fn run_rounds(&mut self) {
        let pending: Vec<_> = self
            .shards
            .iter()
            .filter(|(_, o)| o.has_new_events)
            .map(|(s, o)| (*s, o.token))
            .collect();
        for (no, token) in pending {
            let Some(owned) = self.shards.get_mut(&no) else { continue };
            owned.has_new_events = false;
            for order in owned.shard.run_round(self.common.now()) {
                let writes = matches!(order, Order::Store(..) | Order::ReadCommit | Order::Deposed);
                if self.release_by.is_some() && !writes {
                    continue;
                }
                if order == Order::Deposed {
                    self.shards.remove(&no);
                    let _ = self.notices.send(ShardOutput::Deposed(no)).await;
                    break;
                }
                self.pass_order(no, token, order);
            }
        }
    }

    /// Starts the remaining writes of the shards that are to be released.
    fn start_final_writes(&mut self) {
        let now = self.common.now();
        let each = self.shards.iter_mut().map(|(s, o)| (*s, o.token, o.shard.flush_rest(now)));
        let all: Vec<_> = each.collect();
        for (no, token, orders) in all {
            orders.into_iter().for_each(|order| self.pass_order(no, token, order));
        }
    }

    /// Passes an order on. If the queue is full, the shard gets an event with the next tick that the
    /// order was not carried out.
    fn pass_order(&mut self, no: ShardNo, token: u64, order: Order) {
        let (queue, name) = match order {
            Order::Store(..) | Order::ReadCommit => (&self.writes, "writes"),
            _ => (&self.orders, "orders"),
        };
        let Err(e) = queue.try_send(ShardOutput::Order(no, token, order)) else { return };
        let (TrySendError::Full(out) | TrySendError::Closed(out)) = e;
        self.common.metrics.ring_full.with_label_values(&[name]).inc();
        let ShardOutput::Order(_, _, order) = out else { return };
        if let Some(event) = unsent_result(order, self.common.now()) {
            self.deferred_events.push((no, token, event));
        }
    }

    /// Releases the shards that have no writes left, and all shards once `release_by` has passed.
    async fn release_settled(&mut self) {
        let overdue = self.release_by.is_some_and(|until| self.common.now() >= until);
        let done: Vec<(ShardNo, usize)> = self
            .shards
            .iter()
            .filter(|(_, o)| overdue || o.shard.is_flushed())
            .map(|(s, o)| (*s, o.shard.unwritten_jobs()))
            .collect();
        for (shard, left) in done {
            self.shards.remove(&shard);
            let _ = self.notices.send(ShardOutput::Releasable(shard, left)).await;
        }
    }
}

/// Logs the work of a shard's owner since the last update of the metrics, and what waits.
fn log_work(shard: ShardNo, tally: &Stats, levels: &Gauges, inputs: usize, pass: Duration) {
    let (writes, changes, ends) = (tally.writes, tally.written_changes, tally.end_delays.len());
    if writes == 0 && levels.unwritten_jobs == 0 {
        return;
    }
    let stored_ms = tally.end_delays.iter().max().map_or(0, |t| millis(*t));
    let (pass_ms, end_ms) = (millis(pass), millis(levels.unstored_end_age));
    log::info!(target: "owner", did = "work", shard:% = shard, inputs, pass_ms, writes, ends, changes, polls = tally.unstored_polls, stored_ms, unwritten = levels.unwritten_jobs, end_ms; "Owner's work.");
}

/// Returns the event that reports an order as not sent.
fn unsent_result(order: Order, now: Time) -> Option<Event> {
    match order {
        Order::Worker { worker, call, .. } => {
            Some(Event::Worker { worker, sent: now, call, reply: Err(Fault::Unsent) })
        }
        Order::Advise { via, call, sent, .. } => {
            Some(Event::Advised { call, via, sent, reply: Err(Fault::Unsent) })
        }
        Order::Store(number, _) => Some(Event::Stored(number, Err(Fault::Unsent))),
        Order::ReadCommit => Some(Event::CommitRead(Err(Fault::Unsent))),
        Order::Divide { customer, .. } => Some(Event::Divided(customer, Err(Fault::Unsent))),
        Order::ReadDivisions => Some(Event::Divisions { sent: now, reply: Err(Fault::Unsent) }),
        Order::ReadMachines => Some(Event::Machines { sent: now, reply: Err(Fault::Unsent) }),
        Order::ReportUsage(_) | Order::Deposed => None,
    }
}
