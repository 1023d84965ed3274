//! Sizes and run times of a job's tasks, corrected from what was observed.
//!
//! The load: declared sizes and run times are often far off. Reserved as declared, tasks that need
//! more drive a worker over its memory, where the kernel kills whichever it likes, also a neighbour's;
//! deadlines reckoned from a declared time of a third of the true one are missed, and nobody is warned.
//!
//! Memory can't be shared out twice, so it is reserved by the peak over the job's tasks with a margin.
//! Processors can, so they are reserved by a high quantile. Both never below what is declared: an
//! operator may know of a need that has not come yet. Run times are an average that follows, plus
//! twice the mean deviation, from the third task on.
//!
//! A task that outgrows its reservation of processors is let be. For memory it is given more where
//! its worker has room; else it is checkpointed and stopped, and its next attempt reserves half as
//! much again, so that it does not meet the same end. A job whose reservation has so grown beyond any
//! worker has its true reason in that; the caller refuses it as it would at submission.

use {
    crate::{
        ids::JobId,
        units::{Cores, Memory, Size},
    },
    rustc_hash::FxHashMap,
    std::time::Duration,
};

/// Ended tasks from which observed run times replace the declared one; two can both be odd.
const ENOUGH: u32 = 3;
/// The weight of a new run time, one in so many, as in TCP's round-trip estimate, which has the same
/// task: follow a change in some ten samples and ride out a single odd one.
const FOLLOW: i64 = 8;
/// The weight of a new deviation, one in so many, as there.
const SPREAD: i64 = 4;
/// Mean deviations added to the average: two are 1.6 standard deviations of a normal distribution, of
/// which 5% lie above; of any distribution at most half (Markov).
const MARGIN: i64 = 2;
/// What is added to the memory peak, one part in so many: reports lag and miss the true peak.
const HEADROOM: u64 = 10;
/// What an overgrown task's next attempt adds, one part in so many.
const GROWTH: u64 = 2;
/// The step by which a higher use of processors raises their estimate, one part in so many of the
/// estimate, and the part of that by which a lower one lowers it: balance stands where one task in
/// `QUANTILE + 1` uses more, the 90th percentile.
const STEP: u64 = 20;
const QUANTILE: u64 = 9;

/// What is known of each job's tasks.
#[derive(Debug, Default)]
pub struct Estimates {
    jobs: FxHashMap<JobId, History>,
}

/// What to do with a task by its last report of use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// It keeps to its reservation of memory.
    Keep,
    /// Raise its reservation to this, on the same worker.
    Raise(Size),
    /// Checkpoint and stop it; its next attempt reserves more.
    Stop,
}

#[derive(Debug, Default)]
struct History {
    ended: u32,
    /// Microseconds.
    mean: i64,
    deviation: i64,
    cores: Cores,
    peak: Memory,
}

impl Estimates {
    /// Takes a task that ended well: how long it ran and the most that it used.
    pub fn ended(&mut self, job: &JobId, run: Duration, used: Size) {
        let h = self.jobs.entry(job.clone()).or_default();
        let run = i64::try_from(run.as_micros()).unwrap_or(i64::MAX / 16);
        if h.ended == 0 {
            (h.mean, h.deviation, h.cores) = (run, run / 2, used.cores);
        } else {
            let off = run - h.mean;
            h.mean += off / FOLLOW;
            h.deviation += (off.abs() - h.deviation) / SPREAD;
            h.cores = follow(h.cores, used.cores);
        }
        h.ended = h.ended.saturating_add(1);
        h.peak = h.peak.max(used.memory);
    }

    /// What a task of the job reserves: in each dimension the greater of declared and observed.
    pub fn reserve(&self, job: &JobId, declared: Size) -> Size {
        let Some(h) = self.jobs.get(job) else { return declared };
        let memory = Memory(h.peak.0 + h.peak.0.div_ceil(HEADROOM));
        declared.max(&Size { cores: h.cores, memory, accels: declared.accels })
    }

    /// How long a task of the job is expected to run.
    pub fn run(&self, job: &JobId, declared: Duration) -> Duration {
        let Some(h) = self.jobs.get(job).filter(|h| h.ended >= ENOUGH) else { return declared };
        Duration::from_micros(u64::try_from(h.mean + MARGIN * h.deviation).unwrap_or(0))
    }

    /// What to do with a running task that uses `used` of its `reserved` on a worker with `room` free.
    pub fn check(&mut self, job: &JobId, used: Size, reserved: Size, room: Size) -> Action {
        match used.memory > reserved.memory {
            true => self.outgrown(job, used, reserved, room),
            false => Action::Keep,
        }
    }

    /// Removes a job that the text no longer lists.
    pub fn forget(&mut self, job: &JobId) {
        self.jobs.remove(job);
    }

    fn outgrown(&mut self, job: &JobId, used: Size, reserved: Size, room: Size) -> Action {
        let grown = Memory(used.memory.0 + used.memory.0 / GROWTH);
        let h = self.jobs.entry(job.clone()).or_default();
        let more = Size { memory: grown, ..reserved };
        if more.saturating_sub(&reserved).fits(&room) {
            h.peak = h.peak.max(used.memory);
            return Action::Raise(more);
        }
        h.peak = h.peak.max(grown);
        Action::Stop
    }
}

/// Moves an estimate towards a quantile of what is seen, without keeping samples.
fn follow(old: Cores, seen: Cores) -> Cores {
    let step = (old.0 / STEP).max(QUANTILE);
    if seen > old {
        Cores((old.0 + step).min(seen.0))
    } else {
        Cores(old.0.saturating_sub(step / QUANTILE).max(seen.0))
    }
}
