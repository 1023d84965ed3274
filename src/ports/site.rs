//! The settings of a process: addresses, limits and time bounds.

use {
    crate::{ids::Zone, ports::ClientLimits},
    std::{net::SocketAddr, time::Duration},
};

/// The settings that a process reads at its start and on a reload.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteSettings {
    /// Name of this VM.
    pub node: Box<str>,
    /// Availability zone of this VM.
    pub zone: Zone,
    /// Number of cores that this process may use; may be fractional.
    pub cores: f64,
    /// Address on which callers are served.
    pub caller_addr: SocketAddr,
    /// Address on which the load balancer asks whether this member is ready.
    pub ready_addr: SocketAddr,
    /// Address on which other members call.
    pub control_addr: SocketAddr,
    /// Candidate addresses for the metrics endpoint; the first free one is used.
    pub metrics_addrs: Box<[SocketAddr]>,
    /// Address of the store.
    pub store_addr: SocketAddr,
    /// Reads per second that the store serves to all members together.
    pub read_rate: f64,
    /// Address of the advice service, if there is one.
    pub advice_addr: Option<SocketAddr>,
    /// Address of the list of VMs, if there is one.
    pub vms_addr: Option<SocketAddr>,
    /// Limits for VM orders.
    pub vm_limits: VmLimits,
    /// Time bounds of the deployment.
    pub bounds: Bounds,
    /// What clients may make this member hold.
    pub clients: ClientLimits,
}

/// Limits for VM orders.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VmLimits {
    /// Maximum number of VM orders per second, of all members together.
    pub order_rate: f64,
    /// Time from the start of a VM's maintenance until a new incarnation of its worker joins.
    pub upkeep_time: Duration,
    /// Time from the start of a VM's move until a new incarnation of its worker joins.
    pub move_time: Duration,
    /// Minimum time between the orders of two holders for the same VM.
    pub holder_gap: Duration,
}

/// The bounds of a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Maximum duration of the lease for the runs at a worker.
    pub max_lease: Duration,
    /// Maximum time that stopping a run takes.
    pub stop_time: Duration,
    /// Time for which the members of a gang wait for each other.
    pub gang_timeout: Duration,
    /// Time for which the state of a finished job is kept.
    pub state_retention: Duration,
    /// Factor by which a task takes longer on a rack other than its preferred one.
    pub remote_factor: f64,
    /// Interval between two checkpoints of a task.
    pub checkpoint_interval: Duration,
    /// Time that restoring a task from a checkpoint takes.
    pub restore_time: Duration,
    /// Time for which a long-running task may exceed its latency target.
    pub target_grace: Duration,
    /// Maximum time from the start of a long-running task until it serves requests.
    pub serving_delay: Duration,
    /// Maximum delay until an acknowledged change of the configuration is visible.
    pub config_lag: Duration,
    /// Time for which tasks of a job may still start after its cancel was acknowledged.
    pub cancel_lag: Duration,
    /// Time for which a worker may still get tasks after it has announced that it leaves.
    pub drain_time: Duration,
    /// Maximum time that stopping this process may take.
    pub stop_grace: Duration,
    /// Minimum duration of a lease that the store grants.
    pub min_ttl: Duration,
    /// Time over which the jobs of a customer are counted against its weight; zero if they are not
    /// counted.
    pub share_window: Duration,
}
