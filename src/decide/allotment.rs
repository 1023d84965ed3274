//! Decides how a customer's cap is divided among the shards that start its tasks.
//!
//! Load: a customer at its cap whose work moves between pools, and a cap that is lowered far below
//! what runs. Each shard starts tasks only within its allotment, so the customer stays within its cap
//! whatever the owners know of each other. With a fixed division, work would wait in one shard while
//! another one holds an unused part of the cap; so a shard that lacks some says how much, and the
//! others pass on what they don't use. Where all of them could use more, the one that has waited
//! longest goes first.
//!
//! The sum of the allotments bounds what the customer has running. An allotment is raised only while
//! the sum stays within the cap, and lowered only by its own shard, and only as far as its runs
//! allow. After the cap was lowered, the sum may exceed it until enough runs have ended; meanwhile no
//! shard may start a task of the customer.

use {
    crate::units::{Accels, Cores, Memory, Size},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Divisor of the unallotted part of a cap that gives what a shard takes beyond its need.
const HEADROOM_DIVISOR: u64 = 2;

/// The part of a customer's cap that one shard has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Allotment {
    /// The most that the shard may have running.
    pub allotted: Size,
    /// What the shard lacks for the tasks that could start otherwise.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub wanted: Size,
}

/// The division of a customer's cap.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Division {
    /// The cap by which the division was last changed; it holds on when the customer is no longer
    /// in the configuration.
    pub cap: Size,
    /// The allotments, by the number of the shard.
    pub shards: BTreeMap<u16, Allotment>,
}

/// What a shard needs of a customer's cap.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Need {
    /// What the shard has running or may have running.
    pub in_use: Size,
    /// What the tasks need that its cap alone keeps from starting.
    pub waiting: Size,
    /// Whether another shard has waited longer.
    pub yields: bool,
}

impl Division {
    /// Returns the sum of the allotments.
    pub fn total(&self) -> Size {
        self.shards.values().fold(Size::default(), |sum, a| sum + a.allotted)
    }

    /// Returns the allotment of a shard.
    pub fn allotment(&self, shard: u16) -> Allotment {
        self.shards.get(&shard).copied().unwrap_or_default()
    }

    /// Returns the sum of what the other shards lack.
    pub fn wanted_by_others(&self, shard: u16) -> Size {
        let others = self.shards.iter().filter(|(no, _)| **no != shard);
        others.fold(Size::default(), |sum, (_, a)| sum + a.wanted)
    }

    /// Returns what a shard may start now, if it has this much of the cap.
    pub fn startable(&self, shard: u16, allotted: &Size, cap: &Size, need: &Need) -> Size {
        if !self.total().fits(cap) {
            return Size::default();
        }
        let reserved = if need.yields { self.wanted_by_others(shard) } else { Size::default() };
        allotted.saturating_sub(&need.in_use).saturating_sub(&reserved)
    }

    /// Returns the division that a shard should write; `None` if this one suits it.
    pub fn next(&self, shard: u16, cap: &Size, need: &Need) -> Option<Division> {
        let mut next = Division { cap: *cap, ..self.clone() };
        let mut mine = next.allotment(shard);
        if self.total().fits(cap) {
            mine = next.raise(mine, cap, need);
            mine = next.pass_on(shard, mine, need);
        } else {
            mine = next.trim(mine, cap, need);
        }
        if mine != self.allotment(shard) {
            next.shards.insert(shard, mine);
        }
        (next.shards != self.shards).then_some(next)
    }

    /// Raises an allotment by what its shard lacks and by a part of what then is left, so that the
    /// next starts need no further write.
    fn raise(&self, mut mine: Allotment, cap: &Size, need: &Need) -> Allotment {
        let lacking = (need.in_use + need.waiting).saturating_sub(&mine.allotted);
        let free = cap.saturating_sub(&self.total());
        let take = combine(&lacking, &free, |lacking, free| match lacking {
            0 => 0,
            _ if free <= lacking => free,
            _ => lacking + (free - lacking) / HEADROOM_DIVISOR,
        });
        mine.allotted += take;
        mine.wanted = lacking.saturating_sub(&take);
        mine
    }

    /// Gives the shards that lack some what this one doesn't use.
    fn pass_on(&mut self, shard: u16, mut mine: Allotment, need: &Need) -> Allotment {
        let kept = if need.yields { need.in_use } else { need.in_use + need.waiting };
        for other in self.shards.iter_mut().filter(|(no, _)| **no != shard).map(|(_, a)| a) {
            let spare = mine.allotted.saturating_sub(&kept);
            let given = combine(&spare, &other.wanted, u64::min);
            mine.allotted = mine.allotted.saturating_sub(&given);
            other.allotted += given;
            other.wanted = other.wanted.saturating_sub(&given);
        }
        mine
    }

    /// Lowers an allotment to what its shard has running, where the sum exceeds the cap.
    fn trim(&self, mut mine: Allotment, cap: &Size, need: &Need) -> Allotment {
        let excess = self.total().saturating_sub(cap);
        let unused = mine.allotted.saturating_sub(&need.in_use);
        let surplus = combine(&excess, &unused, |excess, unused| match excess {
            0 => 0,
            _ => unused,
        });
        mine.allotted = mine.allotted.saturating_sub(&surplus);
        mine
    }
}

/// Combines two sizes in each dimension.
fn combine(a: &Size, b: &Size, each: impl Fn(u64, u64) -> u64) -> Size {
    Size {
        cores: Cores(each(a.cores.0, b.cores.0)),
        memory: Memory(each(a.memory.0, b.memory.0)),
        accels: Accels(each(a.accels.0, b.accels.0)),
    }
}

fn is_zero(size: &Size) -> bool {
    *size == Size::default()
}
