//! The present time, which all scheduling code takes as an argument, so that tests can set it.

use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::{
        ops::{Add, Sub},
        time::Duration,
    },
};

/// A reading of one process's monotonic clock, in microseconds since that process started.
///
/// Readings of different processes are not comparable; messages carry [`Duration`]s instead.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{_0}us")]
#[serde(transparent)]
pub struct Time(pub u64);

impl Time {
    /// The start of the process.
    pub const ZERO: Time = Time(0);
    /// A time that is never reached.
    pub const NEVER: Time = Time(u64::MAX);

    /// The time `ms` milliseconds after the start.
    pub const fn from_millis(ms: u64) -> Self {
        Time(ms * 1000)
    }

    /// The time elapsed since `earlier`; zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;
    fn add(self, d: Duration) -> Time {
        Time(self.0.saturating_add(u64::try_from(d.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;
    fn sub(self, d: Duration) -> Time {
        Time(self.0.saturating_sub(u64::try_from(d.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl Sub for Time {
    type Output = Duration;
    fn sub(self, earlier: Time) -> Duration {
        self.since(earlier)
    }
}

/// A duration in whole milliseconds, as messages carry it; `u64::MAX` on overflow.
pub fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}
