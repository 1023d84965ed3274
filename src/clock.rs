//! The clocks of a member: the one that all its duties share, and the Unix time. Calls no other module but [`time`](crate::time).

use {
    crate::time::Time,
    std::{
        sync::atomic::{AtomicBool, Ordering},
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// The clock that all duties of a member share.
#[derive(Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
}

static DRAINING: AtomicBool = AtomicBool::new(false);

impl Clock {
    /// A clock that begins now, at [`Time::ZERO`].
    pub fn start() -> Self {
        Clock { start: Instant::now() }
    }

    /// The present time.
    pub fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    /// Whether the member is stopping.
    pub fn draining(&self) -> bool {
        DRAINING.load(Ordering::Relaxed)
    }

    /// Notes that the member is stopping.
    pub fn drain(&self) {
        DRAINING.store(true, Ordering::Relaxed);
    }
}

/// The Unix time, zero where the machine's clock stands before it.
pub(crate) fn unix() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
