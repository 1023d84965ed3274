//! Decides when an unanswered call to a worker is made again.
//!
//! *Load pattern:* wide steps of short tasks with little slack, while a few calls in a hundred get
//! no answer and are carried out seconds later. *Without it:* a lost start is noticed only after the
//! timeout of an order, and a lost hold, which is to report the ends of runs, only after the time
//! that the worker may hold it and a margin on top. Either is more than the slack of a short job,
//! and with 14 tasks every second job has such a task.
//!
//! A start that is sent twice is one start, and so is a hold, so the only cost is a call. The first
//! sending of a start is given up when it takes far longer than usual, by the estimate that TCP uses
//! for its retransmissions: the smoothed answer time plus four times its mean deviation. While
//! starts are lost, workers hold calls for a shorter time, and these are given up as early.
//!
//! *Thresholds:* workers answer within some milliseconds. Below 100 ms, a pause of the owner or a
//! single lost packet would cause many needless calls. If answers take long because the owner or
//! the network is overloaded, so does the estimate, and the extra calls cease. A worker that has
//! ended loses a few starts too, so it takes `LOSSES` of them within `LOSS_MEMORY` until calls
//! count as being lost. Holds of 300 ms are not much shorter than the usual time between two ends at
//! a busy worker, and the rest of the slack of a short job.

use {
    crate::Time,
    std::{collections::VecDeque, time::Duration},
};

/// Minimum time before a start is sent again.
pub const MIN_RESEND_DELAY: Duration = Duration::from_millis(100);
/// Time for which a worker may hold a call while calls are being lost.
pub const SHORT_HOLD: Duration = Duration::from_millis(300);
/// Number of lost starts after which calls count as being lost.
const LOSSES: usize = 4;
/// Time within which these starts must have been lost.
const LOSS_MEMORY: Duration = Duration::from_secs(2);
/// Divisor of the weight of a new answer time in the smoothed one.
const MEAN_DIVISOR: u32 = 8;
/// Divisor of the weight of a new deviation in the mean deviation.
const DEVIATION_DIVISOR: u32 = 4;
/// Multiple of the mean deviation that is added to the smoothed answer time.
const DEVIATION_FACTOR: u32 = 4;

/// The usual time in which workers answer a start, and the starts that were lost.
#[derive(Clone, Debug, Default)]
pub struct AnswerMonitor {
    mean: Duration,
    deviation: Duration,
    /// The times of the last [`LOSSES`] lost starts.
    losses: VecDeque<Time>,
}

impl AnswerMonitor {
    /// Records an answer at `now` to a start that was sent at `sent`.
    pub fn record_answer(&mut self, sent: Time, now: Time) {
        let time = now - sent;
        let deviation = self.mean.abs_diff(time);
        self.deviation =
            self.deviation - self.deviation / DEVIATION_DIVISOR + deviation / DEVIATION_DIVISOR;
        self.mean = self.mean - self.mean / MEAN_DIVISOR + time / MEAN_DIVISOR;
    }

    /// Records at `now` that a start was not answered in time.
    pub fn record_loss(&mut self, now: Time) {
        self.losses.push_back(now);
        if self.losses.len() > LOSSES {
            self.losses.pop_front();
        }
    }

    /// Returns whether calls are being lost.
    pub fn is_losing(&self, now: Time) -> bool {
        self.losses.len() == LOSSES && self.losses.iter().all(|at| now - *at <= LOSS_MEMORY)
    }

    /// Returns the time after which an unanswered call is made again, at most `timeout`.
    pub fn resend_delay(&self, timeout: Duration) -> Duration {
        (self.mean + self.deviation * DEVIATION_FACTOR).clamp(MIN_RESEND_DELAY, timeout)
    }
}
