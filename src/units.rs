//! Sizes of workers and tasks.

use {
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::{
        fmt,
        iter::Sum,
        ops::{Add, AddAssign},
        str::FromStr,
    },
};

/// Processors, in thousandths of a core.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Cores(pub u64);

/// Memory, in mebibytes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Memory(pub u64);

/// Accelerators.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
    derive_more::FromStr,
)]
#[serde(transparent)]
pub struct Accels(pub u64);

/// The resources that a task needs or a worker has. Sums saturate at the largest value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Size {
    /// Processors.
    pub cores: Cores,
    /// Memory.
    pub memory: Memory,
    /// Accelerators.
    pub accels: Accels,
}

/// The part of a size that could not be parsed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum SizeError {
    /// cores are a number like 2, 0.5 or 500m
    Cores,
    /// memory is a whole number with MB or GB, like 512MB or 64GB
    Memory,
}

impl std::error::Error for SizeError {}

impl Size {
    /// Creates a size from whole cores, mebibytes and accelerators.
    pub const fn new(cores: u64, memory: u64, accels: u64) -> Self {
        Size { cores: Cores(cores * 1000), memory: Memory(memory), accels: Accels(accels) }
    }

    /// Whether this size fits into `room` in every dimension.
    pub fn fits(&self, room: &Size) -> bool {
        self.cores <= room.cores && self.memory <= room.memory && self.accels <= room.accels
    }

    /// Subtracts `taken`, or returns `None` if `taken` is larger in any dimension.
    pub fn checked_sub(&self, taken: &Size) -> Option<Size> {
        Some(Size {
            cores: Cores(self.cores.0.checked_sub(taken.cores.0)?),
            memory: Memory(self.memory.0.checked_sub(taken.memory.0)?),
            accels: Accels(self.accels.0.checked_sub(taken.accels.0)?),
        })
    }

    /// Subtracts `taken`; dimensions do not fall below zero.
    pub fn saturating_sub(&self, taken: &Size) -> Size {
        Size {
            cores: Cores(self.cores.0.saturating_sub(taken.cores.0)),
            memory: Memory(self.memory.0.saturating_sub(taken.memory.0)),
            accels: Accels(self.accels.0.saturating_sub(taken.accels.0)),
        }
    }

    /// Adds `more`, saturating at the largest value.
    pub fn saturating_add(&self, more: &Size) -> Size {
        Size {
            cores: Cores(self.cores.0.saturating_add(more.cores.0)),
            memory: Memory(self.memory.0.saturating_add(more.memory.0)),
            accels: Accels(self.accels.0.saturating_add(more.accels.0)),
        }
    }

    /// Multiplies every dimension by `n`, saturating at the largest value.
    pub fn times(&self, n: u64) -> Size {
        Size {
            cores: Cores(self.cores.0.saturating_mul(n)),
            memory: Memory(self.memory.0.saturating_mul(n)),
            accels: Accels(self.accels.0.saturating_mul(n)),
        }
    }

    /// How many times this size fits into `room`.
    pub fn count(&self, room: &Size) -> u64 {
        let times = |need: u64, room: u64| room.checked_div(need).unwrap_or(u64::MAX);
        times(self.cores.0, room.cores.0)
            .min(times(self.memory.0, room.memory.0))
            .min(times(self.accels.0, room.accels.0))
    }

    /// The maximum of both sizes in each dimension.
    pub fn max(&self, other: &Size) -> Size {
        Size {
            cores: self.cores.max(other.cores),
            memory: self.memory.max(other.memory),
            accels: self.accels.max(other.accels),
        }
    }
}

impl Add for Size {
    type Output = Size;
    fn add(self, more: Size) -> Size {
        self.saturating_add(&more)
    }
}

impl AddAssign for Size {
    fn add_assign(&mut self, more: Size) {
        *self = *self + more;
    }
}

impl Sum for Cores {
    fn sum<I: Iterator<Item = Cores>>(cores: I) -> Cores {
        Cores(cores.fold(0, |sum, c| sum.saturating_add(c.0)))
    }
}

impl Sum for Size {
    fn sum<I: Iterator<Item = Size>>(sizes: I) -> Size {
        sizes.fold(Size::default(), Size::add)
    }
}

impl fmt::Display for Cores {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_multiple_of(1000) {
            write!(f, "{}", self.0 / 1000)
        } else {
            write!(f, "{}m", self.0)
        }
    }
}

impl fmt::Display for Memory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_multiple_of(1024) {
            write!(f, "{}GB", self.0 / 1024)
        } else {
            write!(f, "{}MB", self.0)
        }
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} cores, {}, {} accelerators", self.cores, self.memory, self.accels)
    }
}

impl FromStr for Cores {
    type Err = SizeError;

    /// Parses `2`, `0.5` or `500m`; errs on anything else and on more than three decimals.
    fn from_str(s: &str) -> Result<Self, SizeError> {
        if let Some(m) = s.strip_suffix('m') {
            return digits(m).map(Cores).ok_or(SizeError::Cores);
        }
        let (whole, part) = s.split_once('.').unwrap_or((s, "0"));
        let (Some(whole), Some(milli)) = (digits(whole), digits(part)) else {
            return Err(SizeError::Cores);
        };
        let scale = match part.len() {
            1 => 100,
            2 => 10,
            3 => 1,
            _ => return Err(SizeError::Cores),
        };
        let total = whole.checked_mul(1000).and_then(|w| w.checked_add(milli * scale));
        total.map(Cores).ok_or(SizeError::Cores)
    }
}

impl FromStr for Memory {
    type Err = SizeError;

    /// Parses `512MB` or `64GB`; errs if the unit is missing or another one.
    fn from_str(s: &str) -> Result<Self, SizeError> {
        let (number, scale) = match (s.strip_suffix("GB"), s.strip_suffix("MB")) {
            (Some(n), _) => (n, 1024),
            (_, Some(n)) => (n, 1),
            _ => return Err(SizeError::Memory),
        };
        let total = digits(number.trim_end()).and_then(|n| n.checked_mul(scale));
        total.map(Memory).ok_or(SizeError::Memory)
    }
}

/// Parses a number of digits only; `u64::from_str` would accept a sign as well.
fn digits(s: &str) -> Option<u64> {
    if s.bytes().all(|b| b.is_ascii_digit()) { s.parse().ok() } else { None }
}
