//! The decisions' duty: the shards that this member owns, and the rings to and from them.

use {
    crate::{
        common::Common,
        ids::WorkerId,
        ports::Fault,
        shard::{
            Cause, Held, Need, Setup, Shard,
            event::{Event, Load, Order},
            record::ShardNo,
        },
        time::Time,
        work::{JobNo, State},
    },
    async_channel::{Receiver, Sender, TrySendError},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    tokio::{
        sync::oneshot,
        task::yield_now,
        time::{MissedTickBehavior, interval},
    },
};

/// How often time is let pass for the shards.
const TICK: Duration = Duration::from_millis(20);
/// How often the metrics are brought up to date.
const SHOW: Duration = Duration::from_millis(500);
/// How long a shard may take to settle its writes before it is released.
const SETTLE: Duration = Duration::from_millis(1200);
/// The most that is taken in between two looks at the clock.
const BURST: usize = 64;

/// What the decisions are told.
pub(crate) enum Told {
    /// This member owns a shard, with this token.
    Own(ShardNo, u64, Box<Load>),
    /// Something for a shard that is owned with this token.
    Event(ShardNo, u64, Event),
    /// Word of another member for a shard, whichever token it is owned with.
    Word(ShardNo, Event),
    /// Something for all shards.
    All(Event),
    /// Other members may be asked than before.
    Peers,
    /// Another member owns a shard.
    Forget(ShardNo),
    /// Settle what is written of all shards, and tell when that is done.
    Release,
    /// How jobs stand; nothing for one that isn't known here, or may be known better elsewhere, unless
    /// who asks is sure of the owner.
    States(Box<[(ShardNo, JobNo)]>, bool, oneshot::Sender<Vec<Option<State>>>),
    /// What is at these workers, as far as they are of these shards, and how long work waits; nothing
    /// where one isn't here for certain.
    Held(Box<[WorkerId]>, Box<[ShardNo]>, oneshot::Sender<Option<(Vec<Held>, Vec<Need>)>>),
    /// How many jobs of a queue have not begun, of these shards; nothing where one isn't here for certain.
    Waiting(Box<str>, Box<[ShardNo]>, oneshot::Sender<Option<u64>>),
}

/// What the decisions order.
pub(crate) enum Out {
    /// Something of a shard that is owned with this token.
    Order(ShardNo, u64, Order),
    /// A shard has settled its writes but for so many jobs, and can be released.
    Settled(ShardNo, usize),
    /// A shard was taken away.
    Deposed(ShardNo),
}

struct Running {
    token: u64,
    /// Whether it was told something since its last round.
    told: bool,
    shard: Shard,
}

/// The decisions.
pub(crate) struct Decisions {
    common: Arc<Common>,
    told: Receiver<Told>,
    out: Sender<Out>,
    notes: Sender<Out>,
    shards: BTreeMap<ShardNo, Running>,
    /// What follows from orders that found their ring full; taken in with the next tick.
    later: Vec<(ShardNo, u64, Event)>,
    confirmed: Option<Time>,
    /// When the levels are shown next.
    show: Time,
    /// Until when the shards may settle, once they are to be released.
    release: Option<Time>,
}

impl Decisions {
    /// Decisions over no shard; orders go to `out`, what concerns owning to `notes`.
    pub fn new(
        common: Arc<Common>,
        told: Receiver<Told>,
        out: Sender<Out>,
        notes: Sender<Out>,
    ) -> Self {
        let (shards, later) = (BTreeMap::new(), vec![]);
        let show = Time::ZERO;
        Decisions { common, told, out, notes, shards, later, confirmed: None, show, release: None }
    }

    /// Takes in what it is told until the ring is closed.
    ///
    /// A member that owns nothing has no ticks: it costs nothing but what it is told.
    pub async fn run(mut self) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let told = tokio::select! {
                biased;
                _ = ticks.tick(), if !self.shards.is_empty() => None,
                told = self.told.recv() => match told {
                    Ok(told) => Some(told),
                    Err(_) => return,
                },
            };
            let Some(told) = told else {
                self.tick().await;
                self.round().await;
                continue;
            };
            self.take(told).await;
            for _ in 0..BURST {
                let Ok(told) = self.told.try_recv() else { break };
                self.take(told).await;
            }
            self.round().await;
            // The ring may be full again at once: what the shards ordered has to get its turn.
            yield_now().await;
        }
    }

    async fn take(&mut self, told: Told) {
        match told {
            Told::Own(shard, token, load) => self.own(shard, token, *load).await,
            Told::Event(shard, token, event) => self.event(shard, token, event),
            Told::Word(shard, event) => {
                if let Some(token) = self.shards.get(&shard).map(|r| r.token) {
                    self.event(shard, token, event);
                }
            }
            Told::All(event) => self.all(event).await,
            Told::Peers => self.peers().await,
            Told::Forget(shard) => {
                self.shards.remove(&shard);
            }
            Told::Release => {
                self.release = Some(self.common.now() + SETTLE);
                self.settle().await;
            }
            Told::States(jobs, sure, to) => {
                let now = self.common.now();
                let state = |(no, job): &(ShardNo, JobNo)| {
                    let shard = &self.shards.get(no)?.shard;
                    if sure { shard.known_state(*job) } else { shard.state(*job, now) }
                };
                let _ = to.send(jobs.iter().map(state).collect());
            }
            Told::Held(workers, shards, to) => {
                let now = self.common.now();
                let one = |s| {
                    let shard = self.telling(s, now)?;
                    Some((shard.held_at(&workers), shard.needs(now)))
                };
                let all: Option<Vec<_>> = shards.iter().map(one).collect();
                let all = all.map(|a| a.into_iter().unzip::<_, _, Vec<_>, Vec<_>>());
                let _ = to.send(all.map(|(held, needs)| (held.concat(), needs.concat())));
            }
            Told::Waiting(queue, shards, to) => {
                let now = self.common.now();
                let one = |s| self.telling(s, now).map(|shard| shard.waiting(&queue));
                let _ = to.send(shards.iter().map(one).sum());
            }
        }
    }

    /// A shard of which this member may tell others.
    fn telling(&self, no: &ShardNo, now: Time) -> Option<&Shard> {
        self.shards.get(no).map(|r| &r.shard).filter(|s| s.may_tell(now))
    }

    async fn own(&mut self, no: ShardNo, token: u64, load: Load) {
        if self.shards.is_empty() && !self.common.stopping() {
            // A release that this member was told before is over.
            self.release = None;
        }
        if self.release.is_some() {
            let _ = self.notes.send(Out::Settled(no, 0)).await;
            return;
        }
        let bounds = self.common.site.borrow().bounds;
        let (me, unix) = (self.common.me, self.common.unix);
        let setup = Setup { shard: no, me, token, bounds, unix };
        let shard = Shard::new(setup, load, self.common.now());
        self.shards.insert(no, Running { token, told: true, shard });
        let config = self.common.config.borrow().clone();
        if let Some(config) = config {
            self.event(no, token, Event::Queues(config.queues));
        }
        let view = self.common.view.borrow().clone();
        self.event(no, token, Event::Peers(view.peers(no)));
        self.event(no, token, Event::Closing(view.closing.clone()));
        if let Some(at) = self.confirmed {
            self.event(no, token, Event::Confirmed(at));
        }
    }

    async fn all(&mut self, event: Event) {
        if let Event::Confirmed(at) = &event {
            self.confirmed = self.confirmed.max(Some(*at));
        }
        let all: Vec<_> = self.shards.iter().map(|(s, r)| (*s, r.token)).collect();
        for (shard, token) in all {
            self.event(shard, token, event.clone());
        }
    }

    async fn peers(&mut self) {
        let view = self.common.view.borrow().clone();
        let all: Vec<_> = self.shards.iter().map(|(s, r)| (*s, r.token)).collect();
        for (shard, token) in all {
            self.event(shard, token, Event::Peers(view.peers(shard)));
        }
    }

    async fn tick(&mut self) {
        for (shard, token, event) in std::mem::take(&mut self.later) {
            self.event(shard, token, event);
        }
        if self.release.is_some() {
            self.write_rest();
            self.settle().await;
        } else {
            self.all(Event::Tick).await;
        }
        self.show();
    }

    /// Shows what the shards have done, and how they stand, in the metrics.
    fn show(&mut self) {
        let now = self.common.now();
        let metrics = &self.common.metrics;
        if now < self.show {
            return;
        }
        self.show = now + SHOW;
        let mut waiting: BTreeMap<u8, usize> = BTreeMap::new();
        let mut away: BTreeMap<Cause, Duration> = BTreeMap::new();
        let mut oldest = Duration::ZERO;
        for running in self.shards.values_mut() {
            metrics.tally(&running.shard.tally());
            let levels = running.shard.levels(now);
            levels.waiting.iter().for_each(|(p, n)| *waiting.entry(*p).or_default() += n);
            for (cause, time) in levels.away {
                let longest = away.entry(cause).or_default();
                *longest = time.max(*longest);
            }
            oldest = oldest.max(levels.list);
        }
        metrics.waiting(&waiting);
        metrics.away(&away);
        metrics.age("workers", oldest);
    }

    /// Passes an event to its shard; what follows comes with the next round.
    ///
    /// A shard that is to be released learns only what settles its writes: whatever else it began
    /// now would be left to its next owner half done.
    fn event(&mut self, no: ShardNo, token: u64, event: Event) {
        let settles = matches!(event, Event::Stored(..) | Event::Reread(_));
        if self.release.is_some() && !settles {
            return;
        }
        let Some(running) = self.shards.get_mut(&no).filter(|r| r.token == token) else { return };
        running.shard.take(event, self.common.now());
        running.told = true;
    }

    /// Passes what follows from all that the shards were told to their rings.
    async fn round(&mut self) {
        let told: Vec<_> =
            self.shards.iter().filter(|(_, r)| r.told).map(|(s, r)| (*s, r.token)).collect();
        for (no, token) in told {
            let Some(running) = self.shards.get_mut(&no) else { continue };
            running.told = false;
            for order in running.shard.round(self.common.now()) {
                let writes = matches!(order, Order::Store(..) | Order::Reread | Order::Deposed);
                if self.release.is_some() && !writes {
                    continue;
                }
                if order == Order::Deposed {
                    self.shards.remove(&no);
                    let _ = self.notes.send(Out::Deposed(no)).await;
                    break;
                }
                self.order(no, token, order);
            }
        }
    }

    /// Has the shards that are to be released write what is left.
    fn write_rest(&mut self) {
        let now = self.common.now();
        let each = self.shards.iter_mut().map(|(s, r)| (*s, r.token, r.shard.write_rest(now)));
        let all: Vec<_> = each.collect();
        for (no, token, orders) in all {
            orders.into_iter().for_each(|order| self.order(no, token, order));
        }
    }

    /// Passes an order on; what its duty can't take comes back with the next tick.
    fn order(&mut self, no: ShardNo, token: u64, order: Order) {
        let Err(e) = self.out.try_send(Out::Order(no, token, order)) else { return };
        let (TrySendError::Full(out) | TrySendError::Closed(out)) = e;
        self.common.metrics.full.with_label_values(&["orders"]).inc();
        let Out::Order(_, _, order) = out else { return };
        if let Some(event) = bounced(order, self.common.now()) {
            self.later.push((no, token, event));
        }
    }

    /// Tells of the shards that have nothing left to write, or no more time for it.
    async fn settle(&mut self) {
        let over = self.release.is_some_and(|until| self.common.now() >= until);
        let done: Vec<(ShardNo, usize)> = self
            .shards
            .iter()
            .filter(|(_, r)| over || r.shard.idle_commit())
            .map(|(s, r)| (*s, r.shard.unwritten()))
            .collect();
        for (shard, left) in done {
            self.shards.remove(&shard);
            let _ = self.notes.send(Out::Settled(shard, left)).await;
        }
    }
}

/// What follows from an order that was never carried out.
fn bounced(order: Order, now: Time) -> Option<Event> {
    match order {
        Order::Worker { worker, call, .. } => {
            Some(Event::Worker { worker, sent: now, call, reply: Err(Fault::Unsent) })
        }
        Order::Advise { via, call, sent, .. } => {
            Some(Event::Advised { call, via, sent, reply: Err(Fault::Unsent) })
        }
        Order::Store(number, _) => Some(Event::Stored(number, Err(Fault::Unsent))),
        Order::Reread => Some(Event::Reread(Err(Fault::Unsent))),
        Order::Lives => Some(Event::Lives { sent: now, reply: Err(Fault::Unsent) }),
        Order::Deposed => None,
    }
}
