//! The workers of a shard: what is known to run on each, what it has room for, and its lease.

use {
    crate::{
        decide::{crash::SETTLED, pace::Pace, sound::Sound},
        ids::{PoolId, WorkerId},
        ports::{Bounds, Row},
        shard::record::Turn,
        time::Time,
        units::Size,
        work::{JobNo, Listed, TaskKey},
    },
    rustc_hash::FxHashMap,
    std::{collections::VecDeque, net::SocketAddr, time::Duration},
};

/// The slowest that a worker's clock runs.
pub const SLOW: f64 = 0.98;
/// Added to a bound on another machine's clock, for the way and the rounding.
pub const MARGIN: Duration = Duration::from_millis(250);
/// A run's percent from which on a lasting task is at work.
pub const AT_WORK: u8 = 100;
/// The pace at which a run begins, in hundredths.
pub const FULL: u8 = 100;
/// How much shorter than allowed a lease is asked for, so that it is never cut.
const SHORTER: Duration = Duration::from_millis(200);
/// The longest lease that is asked for: as long as a lasting task may be away. Where nothing says that
/// a lost worker is over, what ran there waits for the end of its lease.
const LONGEST: Duration = Duration::from_secs(6);

/// The number of a worker's life within one owner's reign; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
pub struct WorkerNo(pub usize);

/// What is known of a run at a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Its start was sent.
    Starting,
    /// Its start had no answer: it may be there, or come later.
    Unsure,
    /// It is there.
    Running,
    /// It has to end, and counts until it has.
    Stopping,
}

/// A run at a worker.
#[derive(Clone, Debug)]
pub struct Run {
    /// Its number.
    pub run: u32,
    /// What it takes.
    pub size: Size,
    /// Whether what it takes is not known.
    pub blind: bool,
    /// What is known of it.
    pub phase: Phase,
    /// When the last order on it went out.
    pub sent: Time,
    /// Since when an answer without it shows that it is gone.
    pub known: Option<Time>,
    /// Whether it was seen to be there.
    pub ran: bool,
    /// Whether it was seen long enough after its start not to have crashed its worker by that.
    pub settled: bool,
    /// Whether another worker has crashed under its task.
    pub tried: bool,
    /// When it was started.
    pub began: Time,
    /// How often its start was sent.
    pub tries: u32,
    /// How much of its work was done at its start and at the last look, in hundredths.
    pub percent: (u8, u8),
    /// When it was last looked at.
    pub looked: Time,
    /// Its last checkpoint.
    pub saved: Box<str>,
    /// Of a serving task, its tail in milliseconds.
    pub load: u64,
    /// Its pace, in hundredths, as far as it is known.
    pub pace: Option<u8>,
    /// Whether it serves others under a target, in milliseconds.
    pub target: u64,
    /// Whether it lives on what others leave.
    pub fills: bool,
    /// Its queue's priority, if it may be stopped for work of a lower number: it loses little.
    pub yields: Option<u8>,
    /// What its work is expected to take.
    pub estimate: Duration,
    /// A look some seconds ago: when, and how much was done.
    pub mark: (Time, u8),
}

/// One life of a worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its id.
    pub id: WorkerId,
    /// Where it takes orders.
    pub addr: SocketAddr,
    /// As the list has it; nothing once it has left the list.
    pub listed: Option<Listed>,
    /// Whether it has answered to this owner's token.
    pub fenced: bool,
    /// Whether the store knows that something of this shard may run there.
    pub rostered: bool,
    /// Whether nothing can run there any more.
    pub gone: bool,
    /// When it was first heard of.
    pub since: Time,
    /// When it ends, if it is leaving.
    pub leaving: Option<Time>,
    /// Its turn in a wave of upkeep.
    pub turn: Turn,
    /// What runs or may run there.
    pub runs: FxHashMap<TaskKey, Run>,
    /// The sum of what runs there.
    pub used: Size,
    /// How many of its runs live on what others leave.
    pub fillers: u32,
    /// How many of its runs serve others under a target.
    pub servers: u32,
    /// How many runs there are of which it isn't known what they take.
    pub blind: usize,
    /// The number of the last end that was taken in.
    pub got: u64,
    /// The number of the last end that is stored.
    pub seen: u64,
    /// Ends that are taken in and not stored yet: their numbers, jobs and places in the journal.
    pub pending: VecDeque<(u64, JobNo, u64)>,
    /// When the hold that is out was sent.
    pub holding: Option<Time>,
    /// When the next hold is due, if none is out.
    pub next: Time,
    /// When the last answer was given.
    pub heard: Option<Time>,
    /// Calls without an answer since then.
    pub silent: u32,
    /// Orders without an answer since the last one.
    pub unsure: u32,
    /// Its clock in milliseconds, and when that was read at the latest.
    clock: Option<(u64, Time)>,
    /// Its clock at the last answer, and when that was given.
    dated: Option<(u64, Time)>,
    /// The longest lease that was asked for, on its clock.
    until: u64,
    /// When the list of machines, asked for then, first lacked it.
    pub missed: Option<Time>,
    /// No start before.
    pub unwell: Time,
    /// No start before, as a task has just begun there under which another worker has crashed.
    pub alone: Time,
    /// What its failures and its speed say of it.
    pub sound: Sound,
    /// How fast fillers may work there.
    pub pace: Pace,
    /// What was last told of it.
    pub told: Told,
}

/// What was last told of a worker, so that it is told once.
#[derive(Clone, Copy, Debug, Default)]
pub struct Told {
    /// Whether it is in quarantine.
    pub held: bool,
    /// Whether it is silent.
    pub silent: bool,
}

impl Worker {
    /// A worker of which nothing but its place is known.
    pub fn new(id: WorkerId, addr: SocketAddr, now: Time) -> Self {
        Worker {
            id,
            addr,
            listed: None,
            fenced: false,
            rostered: false,
            gone: false,
            since: now,
            leaving: None,
            turn: Turn::Open,
            runs: FxHashMap::default(),
            used: Size::default(),
            fillers: 0,
            servers: 0,
            blind: 0,
            got: 0,
            seen: 0,
            pending: VecDeque::new(),
            holding: None,
            next: now,
            heard: None,
            silent: 0,
            unsure: 0,
            clock: None,
            dated: None,
            until: 0,
            missed: None,
            unwell: Time::ZERO,
            alone: Time::ZERO,
            sound: Sound::new(),
            pace: Pace::new(),
            told: Told::default(),
        }
    }

    /// Whether it may get starts.
    ///
    /// Guards against a worker that is given more than it has room for by a new owner: runs of jobs
    /// that are over go on until they are stopped, and what these take is known to nobody.
    pub fn usable(&self, now: Time) -> bool {
        self.able(now) && !self.closed()
    }

    /// Whether a task that lasts and has room nowhere else may start there while it is emptied.
    ///
    /// Guards against a start where the VM goes down at once: one where nothing ran may have been found
    /// clear, and as nothing else starts there, one where something runs never was.
    pub fn shelters(&self, now: Time) -> bool {
        self.able(now) && self.turn == Turn::Closing && !self.runs.is_empty()
    }

    fn able(&self, now: Time) -> bool {
        self.fenced
            && self.rostered
            && !self.gone
            && self.leaving.is_none()
            && self.listed.is_some()
            && self.silent == 0
            && self.blind == 0
            && self.unwell <= now
    }

    /// Whether its turn in a wave of upkeep is yet to come.
    pub fn due(&self) -> bool {
        self.turn == Turn::Due
    }

    /// Whether it is being emptied.
    pub fn closed(&self) -> bool {
        matches!(self.turn, Turn::Closing | Turn::Forced)
    }

    /// Whether the store has to know that something may run there.
    pub fn counts(&self) -> bool {
        let live = self.listed.is_some() && self.leaving.is_none() && self.silent < 3;
        !self.gone && (live || !self.runs.is_empty() || !self.fenced)
    }

    /// Its pool.
    pub fn pool(&self) -> Option<&PoolId> {
        self.listed.as_ref().map(|l| &l.pool)
    }

    /// What is left of its room.
    pub fn free(&self) -> Size {
        self.listed.as_ref().map_or(Size::default(), |l| l.size.saturating_sub(&self.used))
    }

    /// Takes in an answer to a call that was sent then; `clock` is what its clock showed, 0 where the
    /// answer didn't say.
    ///
    /// Guards against an owner that stood still and takes what its workers answered before for fresh:
    /// it would act as one that most of them heed, beside its successor. What an answer shows of the
    /// worker's clock tells how old the answer is, and a call is not answered before it is sent.
    pub fn answered(&mut self, clock: u64, sent: Time, now: Time) {
        self.unsure = 0;
        let given = match self.dated {
            Some((before, at)) if clock > 0 => {
                let gone = Duration::from_millis(clock.saturating_sub(before) + 1);
                (at + gone.div_f64(SLOW)).max(sent).min(now)
            }
            _ => sent,
        };
        self.heard = self.heard.max(Some(given));
        if clock > 0 {
            self.dated = Some((clock, given));
        }
        if clock > 0 && self.clock.is_none_or(|(c, _)| clock >= c) {
            self.clock = Some((clock, now));
        }
    }

    /// A lease that counts from a time on, on its clock; nothing before its clock is known.
    pub fn lease(&mut self, bounds: &Bounds, from: Time, now: Time) -> Option<u64> {
        let (clock, at) = self.clock?;
        let length = bounds.hold.saturating_sub(SHORTER).min(LONGEST).saturating_sub(now - from);
        let until = clock + millis(now - at) + millis(length);
        self.until = self.until.max(until);
        Some(self.until)
    }

    /// Counts the lease that a former owner may have given until its clock showed this.
    ///
    /// Guards against a new owner that stands still before it has renewed the lease itself: with no
    /// lease known it would take what runs there for lapsed, and start it a second time. Later than
    /// this no former owner's order is heeded, as the worker has seen the new token.
    pub fn inherit(&mut self, clock: u64, bounds: &Bounds) {
        self.until = self.until.max(clock + millis(bounds.hold));
    }

    /// When the lease of all that runs there has certainly ended.
    ///
    /// Guards against a second run beside one that is cut off and goes on: leases are times on the
    /// worker's own clock, which may be slow, so the bound counts from when its clock was last read
    /// and holds whenever the renewals that had no answer arrive.
    pub fn lapse(&self, bounds: &Bounds) -> Time {
        let Some((clock, at)) = self.clock else {
            return self.since + bounds.hold.div_f64(SLOW) + MARGIN;
        };
        let left = Duration::from_millis(self.until.saturating_sub(clock));
        at + left.div_f64(SLOW) + MARGIN
    }

    /// Counts a run.
    pub fn add(&mut self, task: TaskKey, run: Run) {
        self.used += run.size;
        self.blind += usize::from(run.blind);
        self.fillers += u32::from(run.fills);
        self.servers += u32::from(run.target > 0);
        if let Some(old) = self.runs.insert(task, run) {
            self.uncount(&old);
        }
    }

    /// Forgets a run; returns it.
    pub fn take(&mut self, task: &TaskKey, run: u32) -> Option<Run> {
        if self.runs.get(task)?.run != run {
            return None;
        }
        let old = self.runs.remove(task)?;
        self.uncount(&old);
        Some(old)
    }

    fn uncount(&mut self, run: &Run) {
        self.used = self.used.saturating_sub(&run.size);
        self.blind -= usize::from(run.blind);
        self.fillers -= u32::from(run.fills);
        self.servers -= u32::from(run.target > 0);
    }

    /// Whether a serving task is there.
    pub fn serves(&self) -> bool {
        self.servers > 0
    }

    /// Takes in what a look at a run has shown.
    pub fn look(run: &mut Run, row: &Row, now: Time) {
        if matches!(run.phase, Phase::Starting | Phase::Unsure) {
            run.phase = Phase::Running;
        }
        run.known.get_or_insert(now);
        run.ran = true;
        run.settled |= now - run.began >= SETTLED;
        run.percent.1 = row.percent;
        run.looked = now;
        run.load = row.load;
        if !row.saved.is_empty() {
            run.saved = row.saved.clone();
        }
    }
}

/// Whole milliseconds of a duration.
pub fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}
