//! Decides when a VM of a standby pool is lent to a pool with waiting work, and when it is
//! returned.
//!
//! *Load pattern:* a pool is full for some seconds or minutes, several times a day, while VMs of a
//! standby pool, which cost nothing, are idle. *Without it:* work waits although these VMs are
//! free. *Without hysteresis:* in a busy pool each end of a task looks like spare room and each
//! start like a shortage. VMs move back and forth, each move costs money, and a moving VM is of no
//! use.
//!
//! *Thresholds:* a VM is lent once the oldest work that could start in a pool has waited for
//! [`LOAN_WAIT`]. Tasks end every few seconds, so most work finds room in its own pool sooner than
//! that, and a move takes half as long. One VM is lent at a time, and the next only
//! [`LOAN_INTERVAL`] later: the previous VM has to arrive and fill up before the remaining wait is
//! meaningful. A VM is returned when nothing has waited for more than [`SHORT_WAIT`] during
//! [`QUIET_PERIOD`], and the VM has been empty for [`IDLE_PERIOD`]. A move there and back costs
//! about as much as running a VM for ten seconds, so returning a VM sooner costs more than keeping
//! it if the pool needs it again.

use {crate::Time, std::time::Duration};

/// Minimum wait of a pool's oldest work after which a VM is lent to the pool.
pub const LOAN_WAIT: Duration = Duration::from_secs(3);
/// Minimum interval between two loans of VMs to the same pool.
pub const LOAN_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum wait of a pool's oldest work at which no work counts as waiting.
pub const SHORT_WAIT: Duration = Duration::from_millis(500);
/// Minimum time without waiting work in a pool before a VM lent to it is returned.
pub const QUIET_PERIOD: Duration = Duration::from_secs(10);
/// Minimum time that a lent VM must have run no task before it is returned.
pub const IDLE_PERIOD: Duration = Duration::from_secs(5);

/// Recent waits of a pool's work, which show whether the pool needs more VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolDemand {
    /// Time since which no work has waited, or `None` if some waits now.
    no_wait_since: Option<Time>,
    /// Time for which the oldest waiting work has waited.
    longest_wait: Duration,
    /// Time at which a VM was last lent to the pool.
    last_loan_at: Option<Time>,
}

impl PoolDemand {
    /// Records the time for which the pool's oldest waiting work has waited.
    pub fn record_wait(&mut self, wait: Duration, now: Time) {
        self.longest_wait = wait;
        if wait > SHORT_WAIT {
            self.no_wait_since = None;
        } else {
            self.no_wait_since.get_or_insert(now);
        }
    }

    /// Returns whether any work has waited for longer than [`SHORT_WAIT`].
    pub fn is_waiting(&self) -> bool {
        self.longest_wait > SHORT_WAIT
    }

    /// Returns whether a VM is to be lent now, and records the loan if so.
    pub fn should_lend(&mut self, now: Time) -> bool {
        let too_soon = self.last_loan_at.is_some_and(|at| now - at < LOAN_INTERVAL);
        let wanted = self.longest_wait >= LOAN_WAIT && !too_soon;
        if wanted {
            self.last_loan_at = Some(now);
        }
        wanted
    }

    /// Returns whether a VM that has been empty since `empty_since` is to be returned.
    pub fn should_return(&self, empty_since: Time, now: Time) -> bool {
        now - empty_since >= IDLE_PERIOD
            && self.no_wait_since.is_some_and(|at| now - at >= QUIET_PERIOD)
    }
}
