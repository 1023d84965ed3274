//! The list of VMs, orders for VMs, and maintenance waves.

use {
    crate::ids::{PoolId, VmId, WaveNo, WorkerId},
    std::time::Duration,
};

/// One page of the list of VMs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VmPage {
    /// The VMs of this page. A worker incarnation that is on no page has ended, unless it is newer
    /// than the list.
    pub vms: Vec<Vm>,
    /// Token of the next page; `None` on the last page.
    pub next_token: Option<Box<str>>,
}

/// A VM. Over time it has a sequence of worker incarnations.
#[derive(Clone, Debug, PartialEq)]
pub struct Vm {
    /// Id of the VM, the same for all incarnations of its worker.
    pub id: VmId,
    /// The pool that the VM is in.
    pub pool: PoolId,
    /// State of the VM.
    pub state: VmState,
    /// The present incarnation of its worker, if there is one.
    pub worker: Option<WorkerId>,
}

/// The state of a VM.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub enum VmState {
    /// The worker is present.
    #[display("up")]
    Up,
    /// The VM is moving to another pool.
    #[display("moving")]
    Moving,
    /// The VM is under maintenance.
    #[display("upkeep")]
    Upkeep,
    /// The VM is down.
    #[display("down")]
    Down,
}

/// An order for one VM, which ends everything that runs there at once.
#[derive(Clone, Debug, PartialEq)]
pub struct VmCall {
    /// Id of the VM.
    pub vm: VmId,
    /// The requested change.
    pub action: VmAction,
    /// Name of the holder that orders it.
    pub holder: Box<str>,
    /// Token of the holder; tokens below the highest that this VM has seen are refused.
    pub token: u64,
}

/// The change that is ordered for a VM.
#[derive(Clone, Debug, PartialEq)]
pub enum VmAction {
    /// Maintenance, as part of this wave.
    Upkeep(WaveNo),
    /// A move to this pool.
    Move(PoolId),
}

/// The platform's answer to an order for a VM.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub enum VmReply {
    /// The change has begun, now or earlier.
    #[display("begun")]
    Begun,
    /// Another holder has used a higher token.
    #[display("fence")]
    Fence,
    /// The VM is not up, or is leaving.
    #[display("busy")]
    Busy,
    /// The VM is not part of that wave.
    #[display("other_wave")]
    OtherWave,
    /// The VM does not exist, or can't move to that pool.
    #[display("none")]
    None,
}

/// A maintenance wave, as the operators order it.
#[derive(Clone, Debug, PartialEq)]
pub struct Wave {
    /// Number of the wave.
    pub number: WaveNo,
    /// The VMs to be maintained, each once.
    pub vms: Vec<VmId>,
    /// Time limit for the whole wave.
    pub time_limit: Duration,
    /// Maximum number of VMs that may be down for the wave at once.
    pub max_down: u32,
}
