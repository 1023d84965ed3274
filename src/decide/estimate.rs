//! Estimates sizes and run times of a job's tasks from observed ones.
//!
//! *Load pattern:* declared sizes and run times are often far off. *Without it:* if tasks that need
//! more memory than declared are reserved as declared, they exceed their worker's memory, and the
//! kernel kills any task there, including a neighbour. Deadlines computed from a declared time of a
//! third of the true one are missed without a warning.
//!
//! Memory can't be oversubscribed, so it is reserved by the peak over the job's tasks plus a
//! margin. Processors can, so they are reserved by a high quantile. Neither is ever below the
//! declared value, because an operator may know of a need that has not occurred yet. Run times are
//! a moving average plus twice the mean deviation, from the third task on.
//!
//! A task that exceeds its reservation of processors keeps running. If it exceeds its reservation
//! of memory, the reservation is raised if its worker has room. Otherwise the task is checkpointed
//! and stopped, and its next attempt reserves half as much again, so that the same does not happen
//! again. If a job's reservation grows beyond any worker, the caller refuses the job as it would at
//! submission.

use {
    crate::{
        ids::JobId,
        units::{Cores, Memory, Size},
    },
    rustc_hash::FxHashMap,
    std::time::Duration,
};

/// Minimum number of finished tasks from which observed run times replace the declared one. Two
/// tasks can both be unusual.
const MIN_RUNS: u32 = 3;
/// Weight of a new run time, as a divisor. As in TCP's round-trip estimate, which has the same
/// purpose, it follows a change within some ten samples and tolerates a single outlier.
const MEAN_DIVISOR: i64 = 8;
/// Weight of a new deviation, as a divisor; also as in TCP.
const DEVIATION_DIVISOR: i64 = 4;
/// Number of mean deviations added to the average run time. Two are 1.6 standard deviations of a
/// normal distribution, of which 5% lie above; of any distribution at most half lies above
/// (Markov).
const DEVIATION_COUNT: i64 = 2;
/// Divisor of the memory peak that gives the margin added to the peak: reports lag and miss the
/// true peak.
const HEADROOM_DIVISOR: u64 = 10;
/// Divisor of a task's memory that gives the memory added for its next attempt after the task
/// exceeded its reservation.
const GROWTH_DIVISOR: u64 = 2;
/// A higher use of processors raises their estimate by one part in `STEP_DIVISOR`; a lower use
/// lowers it by one part in `QUANTILE_ODDS` of that step. The estimate is stable when one task in
/// `QUANTILE_ODDS + 1` uses more, which is the 90th percentile.
const STEP_DIVISOR: u64 = 20;
const QUANTILE_ODDS: u64 = 9;

/// Observed sizes and run times by job.
#[derive(Debug, Default)]
pub struct Estimates {
    jobs: FxHashMap<JobId, History>,
}

/// What to do with a task after a report of its resource use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Keep the reservation: the task is within its reserved memory.
    Keep,
    /// Raise the reservation to this size, on the same worker.
    Raise(Size),
    /// Checkpoint and stop the task; its next attempt reserves more.
    Stop,
}

#[derive(Debug, Default)]
struct History {
    run_count: u32,
    /// Mean run time in microseconds, like `deviation_us`.
    mean_us: i64,
    deviation_us: i64,
    cores: Cores,
    peak_memory: Memory,
}

impl Estimates {
    /// Records a task that ended successfully, with its run time and its peak use.
    pub fn record_end(&mut self, job: &JobId, run: Duration, used: Size) {
        let h = self.jobs.entry(job.clone()).or_default();
        let run = i64::try_from(run.as_micros()).unwrap_or(i64::MAX / 16);
        if h.run_count == 0 {
            (h.mean_us, h.deviation_us, h.cores) = (run, run / 2, used.cores);
        } else {
            let off = run - h.mean_us;
            h.mean_us += off / MEAN_DIVISOR;
            h.deviation_us += (off.abs() - h.deviation_us) / DEVIATION_DIVISOR;
            h.cores = track_quantile(h.cores, used.cores);
        }
        h.run_count = h.run_count.saturating_add(1);
        h.peak_memory = h.peak_memory.max(used.memory);
    }

    /// Returns the size that a task of the job reserves: in each dimension the greater of the
    /// declared and the observed value.
    pub fn reservation_size(&self, job: &JobId, declared: Size) -> Size {
        let Some(h) = self.jobs.get(job) else { return declared };
        let memory = Memory(h.peak_memory.0 + h.peak_memory.0.div_ceil(HEADROOM_DIVISOR));
        declared.max(&Size { cores: h.cores, memory, accels: declared.accels })
    }

    /// Returns the expected run time of a task of the job.
    pub fn expected_run_time(&self, job: &JobId, declared: Duration) -> Duration {
        let Some(h) = self.jobs.get(job).filter(|h| h.run_count >= MIN_RUNS) else {
            return declared;
        };
        Duration::from_micros(
            u64::try_from(h.mean_us + DEVIATION_COUNT * h.deviation_us).unwrap_or(0),
        )
    }

    /// Decides what to do with a running task that uses `used` of its `reserved` size, on a worker
    /// with `room` free.
    pub fn check_use(&mut self, job: &JobId, used: Size, reserved: Size, room: Size) -> Action {
        match used.memory > reserved.memory {
            true => self.grow(job, used, reserved, room),
            false => Action::Keep,
        }
    }

    /// Removes the observations of a job that the job text no longer lists.
    pub fn forget(&mut self, job: &JobId) {
        self.jobs.remove(job);
    }

    fn grow(&mut self, job: &JobId, used: Size, reserved: Size, room: Size) -> Action {
        let grown = Memory(used.memory.0 + used.memory.0 / GROWTH_DIVISOR);
        let h = self.jobs.entry(job.clone()).or_default();
        let more = Size { memory: grown, ..reserved };
        if more.saturating_sub(&reserved).fits(&room) {
            h.peak_memory = h.peak_memory.max(used.memory);
            return Action::Raise(more);
        }
        h.peak_memory = h.peak_memory.max(grown);
        Action::Stop
    }
}

/// Moves an estimate towards a quantile of the observed values, without storing samples.
fn track_quantile(old: Cores, observed: Cores) -> Cores {
    let step = (old.0 / STEP_DIVISOR).max(QUANTILE_ODDS);
    if observed > old {
        Cores((old.0 + step).min(observed.0))
    } else {
        Cores(old.0.saturating_sub(step / QUANTILE_ODDS).max(observed.0))
    }
}
