//! The list of VMs, orders for them, and waves of upkeep.

use {
    crate::ids::{PoolId, VmId, WaveNo, WorkerId},
    std::time::Duration,
};

/// One page of the list of VMs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Vms {
    /// The VMs; the life of a worker that is not on any page is over, unless it is newer than
    /// the list.
    pub all: Vec<Vm>,
    /// The token of the next page; none on the last.
    pub next: Option<Box<str>>,
}

/// A VM, which has one life of a worker after the other.
#[derive(Clone, Debug, PartialEq)]
pub struct Vm {
    /// Its name, the same for all its lives.
    pub id: VmId,
    /// The pool that it is in.
    pub pool: PoolId,
    /// How it stands.
    pub state: VmState,
    /// The life of its worker.
    pub worker: Option<WorkerId>,
}

/// How a VM stands.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub enum VmState {
    /// Its worker is there.
    #[display("up")]
    Up,
    /// It is on its way to another pool.
    #[display("moving")]
    Moving,
    /// It has its upkeep.
    #[display("upkeep")]
    Upkeep,
    /// It is down.
    #[display("down")]
    Down,
}

/// An order for one VM; what runs there ends at once.
#[derive(Clone, Debug, PartialEq)]
pub struct VmCall {
    /// The VM.
    pub vm: VmId,
    /// What is to be done.
    pub deed: Deed,
    /// Who orders it.
    pub holder: Box<str>,
    /// Its token: lower ones than the highest seen for this VM are refused.
    pub token: u64,
}

/// What is to be done with a VM.
#[derive(Clone, Debug, PartialEq)]
pub enum Deed {
    /// Its upkeep, as a part of a wave.
    Upkeep(WaveNo),
    /// It changes to another pool.
    Move(PoolId),
}

/// What became of an order for a VM.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub enum VmReply {
    /// It has begun, now or before.
    #[display("begun")]
    Begun,
    /// Another holder has used a higher token.
    #[display("fence")]
    Fence,
    /// It is not up, or leaving.
    #[display("busy")]
    Busy,
    /// It is not of that wave.
    #[display("other_wave")]
    OtherWave,
    /// There is no such VM, or it can't go there.
    #[display("none")]
    None,
}

/// A wave of upkeep, as the operators order it.
#[derive(Clone, Debug, PartialEq)]
pub struct Wave {
    /// Its number.
    pub no: WaveNo,
    /// Its VMs; each needs its upkeep once.
    pub vms: Vec<VmId>,
    /// How long it may take in all.
    pub within: Duration,
    /// How many of them may be down for it at once.
    pub cap: u32,
}
