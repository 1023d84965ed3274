//! In which order steps of jobs get room.
//!
//! Load: more work than room, short urgent jobs among long ones, for minutes on end. Served by due
//! time alone, a queue that can't keep up serves every job just after its objective and earns
//! little with any; served by priority alone, urgent jobs that are late already hold up others that
//! could still be in time. So what can still meet its objective goes first, then what is late but
//! earns something, then the rest; within these by the queue's priority, then by due time.
//!
//! Load: steps so wide that they run in waves, and tasks that fail by their own fault. The objective
//! allows for both. Reckoned without them, a job that has most of its time left is taken for late and
//! comes behind all that could be in time, and so it is late.
//!
//! A job that is up to three times its objective late still earns: the second class ends there.

use {crate::work::Queue, std::time::Duration};

/// Up to how many objectives after its coming a job is worth anything.
const LATE: u64 = 3;

/// A step that is wider than this part of the room runs in waves, and its objective allows for them.
const PART: u64 = 4;

/// A place in the order; the least comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank {
    /// 0 can be in time, 1 late, 2 later than that.
    class: u8,
    /// The queue's.
    priority: u8,
    /// When it is due, in milliseconds of the Unix clock.
    due: u64,
}

impl Rank {
    /// 0 can be in time, 1 late, 2 later than that.
    pub fn class(&self) -> usize {
        usize::from(self.class)
    }

    /// When it is due, in milliseconds of the Unix clock.
    pub fn due(&self) -> u64 {
        self.due
    }
}

/// What a rank is made of.
#[derive(Clone, Copy, Debug)]
pub struct Facts {
    /// When the job, or its occurrence, came, in milliseconds of the Unix clock.
    pub came: u64,
    /// Its longest chain of work, in waves and with the runs that failed.
    pub chain: Duration,
    /// What of it is ahead of this step's end, this step included.
    pub left: Duration,
    /// Whether the step runs until it is cancelled.
    pub lasts: bool,
}

/// In how many waves so many tasks run, as the objective counts them, where a pool has room for
/// `room` of them.
pub fn waves(count: u32, room: u64) -> u32 {
    let wave = (room / PART).max(1);
    u32::try_from(u64::from(count).div_ceil(wave)).unwrap_or(u32::MAX)
}

/// The objective of a job: how long it may take.
pub fn objective(queue: &Queue, chain: Duration) -> Duration {
    chain.mul_f64(queue.stretch.max(0.0)) + queue.slack
}

/// Where a step stands in the order at `now`, in milliseconds of the Unix clock.
pub fn rank(queue: &Queue, facts: Facts, now: u64) -> Rank {
    let ms = |d: Duration| u64::try_from(d.as_millis()).unwrap_or(u64::MAX);
    let objective = ms(objective(queue, facts.chain));
    let due = facts.came.saturating_add(objective);
    let end = now.saturating_add(ms(facts.left));
    let class = if facts.lasts || end <= due {
        0
    } else if end <= facts.came.saturating_add(objective.saturating_mul(LATE)) {
        1
    } else {
        2
    };
    Rank { class, priority: queue.priority, due }
}
