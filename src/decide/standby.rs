//! Decides when a VM of a standby pool is lent to a pool with waiting work, and when it is
//! returned.
//!
//! *Load pattern:* a pool is full for some seconds or minutes, several times a day, while VMs of a
//! standby pool, which cost nothing, are idle. *Without it:* work waits although these VMs are
//! free. *Without hysteresis:* in a busy pool each end of a task looks like spare room and each
//! start like a shortage. VMs move back and forth, each move costs money, and a moving VM is of no
//! use.
//!
//! *Thresholds:* a VM is lent after work that could start has waited for [`LOAN_WAIT`] without a
//! break. Tasks end every few seconds, so most work finds room by itself sooner, and a move takes
//! half as long. One VM is lent at a time, and the next only [`LOAN_INTERVAL`] later: the previous
//! VM has to arrive and fill up before the remaining wait is meaningful. A VM is returned when
//! nothing has waited for more than [`SHORT_WAIT`] during [`QUIET_PERIOD`], and the VM has been
//! empty for [`IDLE_PERIOD`]. A move there and back costs about as much as ten seconds of a VM, so
//! a VM that is returned sooner and needed again would have been cheaper to keep.

use {crate::Time, std::time::Duration};

/// How long work must wait before a VM is lent.
pub const LOAN_WAIT: Duration = Duration::from_secs(3);
/// Minimum time between two loans to a pool.
pub const LOAN_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum wait that does not count as waiting.
pub const SHORT_WAIT: Duration = Duration::from_millis(500);
/// How long nothing may have waited before a VM is returned.
pub const QUIET_PERIOD: Duration = Duration::from_secs(10);
/// How long a VM must have been empty before it is returned.
pub const IDLE_PERIOD: Duration = Duration::from_secs(5);

/// Recent waits of the work of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolDemand {
    /// Since when nothing has waited.
    quiet_since: Option<Time>,
    /// Wait of the oldest waiting work.
    longest_wait: Duration,
    /// When a VM was last lent to the pool.
    last_loan: Option<Time>,
}

impl PoolDemand {
    /// Records how long the oldest waiting work has waited.
    pub fn record_wait(&mut self, waits: Duration, now: Time) {
        self.longest_wait = waits;
        if waits > SHORT_WAIT {
            self.quiet_since = None;
        } else {
            self.quiet_since.get_or_insert(now);
        }
    }

    /// Returns whether any work waits.
    pub fn is_waiting(&self) -> bool {
        self.longest_wait > SHORT_WAIT
    }

    /// Returns whether a VM is to be lent now, and records the loan if so.
    pub fn should_lend(&mut self, now: Time) -> bool {
        let too_soon = self.last_loan.is_some_and(|at| now - at < LOAN_INTERVAL);
        let wanted = self.longest_wait >= LOAN_WAIT && !too_soon;
        if wanted {
            self.last_loan = Some(now);
        }
        wanted
    }

    /// Returns whether a VM that has been empty since `empty` is to be returned.
    pub fn should_return(&self, empty: Time, now: Time) -> bool {
        now - empty >= IDLE_PERIOD && self.quiet_since.is_some_and(|at| now - at >= QUIET_PERIOD)
    }
}
