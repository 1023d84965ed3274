//! When a VM of a standby pool is lent to a pool whose work waits, and when it goes back.
//!
//! *Load pattern:* a pool is full for some seconds or minutes, several times a day, while VMs that cost
//! nothing stand by. *Without it:* work waits beside them. *Without hysteresis:* each end of a task in a
//! busy pool looks like room to spare and each start like a lack of it; VMs go back and forth, each
//! move is paid for, and a VM is of no use to anybody on its way.
//!
//! *Thresholds:* work that could start has to wait for [`WAIT`] on end: ends of tasks come every few
//! seconds, so that below it most work finds room by itself, and a move takes half as long. One VM is lent
//! at a time, and the next only [`EFFECT`] after: the one before has to arrive and to be filled before
//! what still waits says anything. A VM goes back when nothing has waited for more than [`SHORT`] for
//! [`CALM`], and it was empty for [`IDLE`]: a move there and back costs about as much as ten seconds
//! of a VM, so one that is given back sooner and wanted again would have been cheaper to keep.

use {crate::Time, std::time::Duration};

/// How long work waits before a VM is lent.
pub const WAIT: Duration = Duration::from_secs(3);
/// The pause after a loan, until the next.
pub const EFFECT: Duration = Duration::from_secs(5);
/// A wait that is none.
pub const SHORT: Duration = Duration::from_millis(500);
/// How long nothing has to have waited before a VM goes back.
pub const CALM: Duration = Duration::from_secs(10);
/// How long it has to have been empty.
pub const IDLE: Duration = Duration::from_secs(5);

/// How a pool's work has waited of late.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tide {
    /// Since when nothing has waited.
    calm: Option<Time>,
    /// How long the oldest that waits does so.
    waits: Duration,
    /// When a VM was lent last.
    lent: Option<Time>,
}

impl Tide {
    /// Takes in how long the oldest work that waits does so.
    pub fn seen(&mut self, waits: Duration, now: Time) {
        self.waits = waits;
        if waits > SHORT {
            self.calm = None;
        } else {
            self.calm.get_or_insert(now);
        }
    }

    /// Whether anything waits.
    pub fn waits(&self) -> bool {
        self.waits > SHORT
    }

    /// Whether a VM is to be lent now; it counts as lent then.
    pub fn borrow(&mut self, now: Time) -> bool {
        let soon = self.lent.is_some_and(|at| now - at < EFFECT);
        let wanted = self.waits >= WAIT && !soon;
        if wanted {
            self.lent = Some(now);
        }
        wanted
    }

    /// Whether a VM that has been empty since then is to go back.
    pub fn give_back(&self, empty: Time, now: Time) -> bool {
        now - empty >= IDLE && self.calm.is_some_and(|at| now - at >= CALM)
    }
}
