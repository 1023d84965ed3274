//! The clocks of a member: the monotonic clock that its threads share, and the Unix time.
//!
//! Calls no other module but [`time`](crate::time). Also holds whether the member is draining.

use {
    crate::time::Time,
    nix::time::{ClockId, clock_gettime},
    std::{
        sync::atomic::{AtomicBool, Ordering},
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// The monotonic clock that all threads of a member share.
///
/// It counts the time for which the machine was suspended, which `std::time::Instant` leaves out:
/// an owner whose lease had ended meanwhile would take it for valid.
#[derive(Clone, Copy)]
pub(crate) struct Clock {
    start: Duration,
}

/// Whether the member is stopping.
static DRAINING: AtomicBool = AtomicBool::new(false);

impl Clock {
    /// Creates a clock that reads [`Time::ZERO`] now.
    pub fn start() -> Self {
        Clock { start: boot_time() }
    }

    /// Returns the time since the clock was started.
    pub fn now(&self) -> Time {
        Time::ZERO + (boot_time() - self.start)
    }

    /// Returns whether the member is stopping.
    pub fn is_draining(&self) -> bool {
        DRAINING.load(Ordering::Relaxed)
    }

    /// Marks the member as stopping, for all clocks of this process.
    pub fn start_draining(&self) {
        DRAINING.store(true, Ordering::Relaxed);
    }
}

/// Returns the time since the machine was started, including the time for which it was suspended.
pub(crate) fn boot_time() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has this clock").into()
}

/// Returns the Unix time; zero if the machine's clock is set to before 1970.
pub(crate) fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
