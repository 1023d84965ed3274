//! What the store keeps of waves of upkeep.

use {
    crate::{
        ids::{PoolId, VmId, WaveNo},
        ports::Rev,
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// The key of the ledger.
pub const LEDGER: &str = "dwr/u";

/// How far each wave is, as its holder has stored it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    /// The holder's token: whoever finds a higher one than its own is not the holder any more.
    pub token: u64,
    /// The waves.
    pub waves: BTreeMap<WaveNo, Entry>,
    /// The VMs that are lent, or may be.
    #[serde(default)]
    pub loans: BTreeMap<VmId, Lent>,
}

/// A VM that is lent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lent {
    /// The pool that it came from.
    pub home: PoolId,
    /// The pool that it is lent to.
    pub to: PoolId,
    /// Whether it is to go back.
    pub back: bool,
    /// How many orders were given for it or are about to be.
    pub tries: u32,
}

/// How far a wave is.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The revision of the wave's item that it was begun with.
    pub rev: Rev,
    /// When it was begun, in milliseconds of the Unix clock.
    pub since: u64,
    /// The VMs for which an order may be under way, and how many were given or are about to be.
    pub out: BTreeMap<VmId, u32>,
    /// Those that have begun their upkeep.
    pub done: BTreeSet<VmId>,
    /// Whether it is completed.
    pub over: bool,
}
