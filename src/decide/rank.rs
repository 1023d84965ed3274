//! Decides the order in which steps of jobs get room.
//!
//! Load: more work than room, with short urgent jobs among long ones, for minutes. If jobs were
//! ordered by due time alone, a queue that can't keep up would complete every job just after its
//! objective and earn little with any of them. If they were ordered by priority alone, urgent jobs
//! that are already late would delay others that could still be in time. So jobs that can still
//! meet their objective go first, then late jobs that still have value, then the rest. Within each
//! class, the queue's priority decides, then the due time.
//!
//! Load: steps that are so wide that they run in several rounds, and tasks that fail by their own
//! fault. The objective allows for both. Otherwise a job that still has most of its time would be
//! considered late, be ordered behind all jobs that could be in time, and become late for that
//! reason.
//!
//! A job still has value until three times its objective has passed; the second class ends there.
//!
//! Load: customers that compete for a pool. Jobs beyond a customer's quota go behind all others that
//! still have value. Within a class and priority, the work of customers above their share goes behind
//! that of the others; [`crate::decide::share`] and [`crate::decide::arrivals`] decide both. Steps
//! whose job may lose value soon come before these classes, and the due time decides only between jobs
//! with about the same work for their value; see [`crate::decide::utility`].

use {
    crate::{
        decide::{
            share::Standing,
            utility::{Deadlines, Lateness, Outlook, Stake, outlook},
        },
        work::Queue,
    },
    std::time::Duration,
};

/// Multiple of a job's objective, counted from its arrival, after which the job has no value.
const VALUE_FACTOR: u64 = 3;

/// Number of classes.
pub const CLASS_COUNT: usize = 4;

/// Divisor of a pool's room that gives the maximum number of tasks of a step in one round. A wider
/// step runs in several rounds, and its objective allows for them.
const ROUND_DIVISOR: u64 = 4;

/// Class of a step in the order of starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Class {
    /// Its job may lose value soon.
    Urgent,
    /// Its job can wait and still be in time.
    InTime,
    /// Its job is late and can wait without losing more value.
    Late,
    /// Its job is beyond its customer's quota.
    OverQuota,
    /// Its job is too late to have value.
    TooLate,
}

/// Rank of a step in the order of starts; the lowest starts first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank {
    class: Class,
    /// The queue's priority.
    priority: u8,
    /// Whether the customer holds more than its share of the pool.
    above_share: bool,
    /// Level of the remaining work for the value at stake; 0 unless the step is urgent.
    work_level: i8,
    lateness: Lateness,
    /// Due time, in milliseconds since the Unix epoch.
    due_ms: u64,
    /// Whether the step may preempt less urgent runs. The keys above determine it, so it does not
    /// change the order.
    preempts: bool,
}

impl Rank {
    /// Returns 0 for a step that can be in time, 1 for a late one, 2 for one of a job beyond its
    /// customer's quota, 3 for one too late to have value. Urgent steps count by their lateness.
    pub fn class(&self) -> usize {
        match (self.class, self.lateness) {
            (Class::TooLate, _) => 3,
            (Class::OverQuota, _) => 2,
            (_, Lateness::InTime) => 0,
            _ => 1,
        }
    }

    /// Returns whether the job may lose value soon. Always false without customers.
    pub fn is_urgent(&self) -> bool {
        self.class == Class::Urgent
    }

    /// Returns whether the step is too late to have value.
    pub fn is_without_value(&self) -> bool {
        self.class == Class::TooLate
    }

    /// Returns whether the step may stop runs of less urgent queues: with customers if it is urgent,
    /// without customers if it can be in time.
    ///
    /// Prevents repeated preemption with customers: a step that can wait would stop runs of a step
    /// that is urgent, is ordered before it and takes the freed room back.
    pub fn may_preempt(&self) -> bool {
        self.preempts
    }

    /// Returns the due time, in milliseconds since the Unix epoch.
    pub fn due_ms(&self) -> u64 {
        self.due_ms
    }
}

/// Times of a job from which the rank of one of its steps is computed.
#[derive(Clone, Copy, Debug)]
pub struct JobTiming {
    /// Arrival of the job or its occurrence, in milliseconds since the Unix epoch.
    pub arrived_ms: u64,
    /// Length of the critical path of the job, including rounds and failed runs.
    pub critical_path: Duration,
    /// Remaining run time on the critical path up to the end of this step.
    pub remaining_time: Duration,
    /// Whether the step runs until it is cancelled.
    pub long_running: bool,
    /// What the job can lose by waiting; `None` if the deployment has no customers.
    pub stake: Option<Stake>,
}

/// Returns the number of rounds that the objective allows for `count` tasks in a pool with room for
/// `room` of them.
pub fn round_count(count: u32, room: u64) -> u32 {
    let round_size = (room / ROUND_DIVISOR).max(1);
    u32::try_from(u64::from(count).div_ceil(round_size)).unwrap_or(u32::MAX)
}

/// Returns the objective of a job: how long it may take from its arrival; `Duration::MAX` on
/// overflow.
pub fn job_objective(queue: &Queue, critical_path: Duration) -> Duration {
    let stretched = critical_path.as_secs_f64() * queue.stretch.max(0.0);
    Duration::try_from_secs_f64(stretched).unwrap_or(Duration::MAX).saturating_add(queue.slack)
}

/// Returns the value that a job of this queue earned if it took this long from its arrival.
pub fn outcome(queue: &Queue, critical_path: Duration, took: Duration) -> Lateness {
    let objective = job_objective(queue, critical_path);
    if took <= objective {
        Lateness::InTime
    } else if took.as_secs_f64() <= objective.as_secs_f64() * VALUE_FACTOR as f64 {
        Lateness::Late
    } else {
        Lateness::TooLate
    }
}

/// Returns the rank of a step at `now`, in milliseconds since the Unix epoch. Without customers,
/// `standing` is the default.
pub fn rank(queue: &Queue, timing: JobTiming, standing: Standing, now: u64) -> Rank {
    let ms = |d: Duration| u64::try_from(d.as_millis()).unwrap_or(u64::MAX);
    let objective = ms(job_objective(queue, timing.critical_path));
    let due = timing.arrived_ms.saturating_add(objective);
    let end = now.saturating_add(ms(timing.remaining_time));
    let value_end = timing.arrived_ms.saturating_add(objective.saturating_mul(VALUE_FACTOR));
    let outlook = match &timing.stake {
        // Its task must run again within seconds. Waiting gains nothing, and its work has no end by
        // which it could be compared, so it goes first in its priority.
        Some(_) if timing.long_running => {
            Outlook { lateness: Lateness::InTime, urgent_level: Some(i8::MIN) }
        }
        Some(stake) => {
            let (arrived, remaining) = (timing.arrived_ms, timing.remaining_time);
            outlook(stake, &Deadlines { arrived, due, value_end, remaining }, now)
        }
        None => {
            let lateness = if timing.long_running || end <= due {
                Lateness::InTime
            } else if end <= value_end {
                Lateness::Late
            } else {
                Lateness::TooLate
            };
            Outlook { lateness, urgent_level: None }
        }
    };
    let class = match (outlook.urgent_level, outlook.lateness) {
        (_, Lateness::TooLate) => Class::TooLate,
        _ if standing.over_quota => Class::OverQuota,
        (Some(_), _) => Class::Urgent,
        (None, Lateness::InTime) => Class::InTime,
        (None, Lateness::Late) => Class::Late,
    };
    Rank {
        class,
        priority: queue.priority,
        above_share: standing.above_share,
        work_level: outlook.urgent_level.unwrap_or(0),
        lateness: outlook.lateness,
        due_ms: due,
        preempts: match timing.stake {
            Some(_) => class == Class::Urgent,
            None => class == Class::InTime,
        },
    }
}
