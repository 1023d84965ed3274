//! The ledger: the state of maintenance waves and loans in the store.

use {
    crate::{
        ids::{PoolId, VmId, WaveNo},
        ports::Rev,
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// Key of the ledger.
pub const LEDGER_KEY: &str = "dwr/u";

/// The state of all waves and loans, as the holder has stored it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    /// Token of the holder that wrote the ledger. A holder that reads a higher token than its own
    /// has been deposed.
    pub token: u64,
    /// The waves by number.
    pub waves: BTreeMap<WaveNo, WaveEntry>,
    /// The VMs that are lent, or that an unanswered order may have lent.
    #[serde(default)]
    pub loans: BTreeMap<VmId, LoanEntry>,
}

/// A VM that is lent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoanEntry {
    /// The pool from which the VM was lent.
    pub home: PoolId,
    /// The pool to which it is lent.
    pub to: PoolId,
    /// Whether the VM is to return to its home pool.
    pub back: bool,
    /// Number of orders that were sent for the VM or are about to be sent.
    pub tries: u32,
}

/// The progress of one wave.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WaveEntry {
    /// Revision of the operators' item with which the wave was started.
    pub rev: Rev,
    /// Start of the wave, in milliseconds of Unix time.
    pub since: u64,
    /// The VMs for which an order may be under way, with the number of orders that were sent or are
    /// about to be.
    pub out: BTreeMap<VmId, u32>,
    /// The VMs whose maintenance has begun.
    pub done: BTreeSet<VmId>,
    /// Whether the wave is completed.
    pub over: bool,
}
