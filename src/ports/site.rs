//! What a process learns at its start: addresses and bounds.

use {
    crate::ids::Zone,
    std::{net::SocketAddr, time::Duration},
};

/// What a process learns at its start and on a reload.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// This VM's name.
    pub node: Box<str>,
    /// Its availability zone.
    pub zone: Zone,
    /// Its share of a processor, in cores.
    pub cores: f64,
    /// Where callers come in.
    pub callers: SocketAddr,
    /// Where the balancer asks whether this member is ready.
    pub ready: SocketAddr,
    /// Where other members call.
    pub control: SocketAddr,
    /// Where metrics are shown: at the first of these that is free.
    pub metrics: Box<[SocketAddr]>,
    /// The store.
    pub store: SocketAddr,
    /// How many reads a second the store serves to all members together.
    pub reads: f64,
    /// The advice service, where there is one.
    pub advice: Option<SocketAddr>,
    /// The list of VMs, where there is one.
    pub vms: Option<SocketAddr>,
    /// What orders for VMs may take, and how many there may be.
    pub fleet: Fleet,
    /// Bounds.
    pub bounds: Bounds,
}

/// The bounds of orders for VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fleet {
    /// The most orders a second, of all members together.
    pub rate: f64,
    /// How long an upkeep takes, until a new life of the worker joins.
    pub upkeep: Duration,
    /// How long a move takes, until then.
    pub moved: Duration,
    /// The least time between orders of two holders for one VM.
    pub turn: Duration,
}

/// The bounds of a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The longest lease of what runs at a worker.
    pub hold: Duration,
    /// The longest that a stop takes.
    pub stop: Duration,
    /// How long a gang's members wait for each other.
    pub gang: Duration,
    /// How long the state of a job that is over is kept.
    pub keep: Duration,
    /// How much longer work takes away from its rack.
    pub remote: f64,
    /// The work between two checkpoints.
    pub save: Duration,
    /// How long a start from a checkpoint takes.
    pub restore: Duration,
    /// How long a lasting task may be over its target.
    pub harm: Duration,
    /// How long after a start a lasting task may not be at work yet.
    pub notice: Duration,
    /// How long after an acknowledged change of it the configuration may be behind.
    pub config: Duration,
    /// How long after its notice a leaving worker may still get work.
    pub drain: Duration,
    /// How long a stop of this process may take.
    pub grace: Duration,
    /// The shortest lease of the store.
    pub ttl: Duration,
}
