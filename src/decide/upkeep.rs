//! Plans a maintenance wave: which VM is drained next, when the tasks that still run there are
//! stopped, and which long-running tasks may be moved.
//!
//! *Load pattern:* operators want maintenance of some VMs within some seconds, a few at a time,
//! while the workload continues: tasks of seconds, which are lost or continue from a checkpoint
//! when they are stopped, and long-running tasks, of which a step may miss only a few. *Without
//! it:* draining all VMs at once takes the room of other work and stops too many tasks of a step.
//! Draining one VM after the other, and waiting for the longest task on each, makes the wave late.
//! A long-running task moves from one VM of the wave to another.
//!
//! *Thresholds:* a seventh of the time is reserved for a takeover or an order without an answer.
//! The rest is divided among the remaining rounds, so that the first VMs wait no longer for the end
//! of their tasks than the last. A round needs the maintenance itself, up to a second until the VM
//! list shows its end, and `DRAIN_TIME` for long-running tasks to start elsewhere. If a round has
//! less than twice that time, the next VMs are drained while the previous ones are down. That
//! removes twice as much room, so it is not done if there is enough time.

use std::time::Duration;

/// Maximum delay until the VM list shows that a VM's maintenance has ended.
pub const LIST_DELAY: Duration = Duration::from_secs(1);
/// Approximate time to move long-running tasks: a stop, and a start elsewhere until they run.
const DRAIN_TIME: Duration = Duration::from_secs(3);
/// Fraction of the remaining time of a wave that is divided among its rounds.
const PLANNED_FRACTION: f64 = 6.0 / 7.0;
/// Default maximum number of tasks of a long-running step that may be missing at once.
const DEFAULT_MAY_MISS: u32 = 1;

/// State of one VM of a maintenance wave.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct VmStatus {
    /// Stage of the VM's maintenance.
    pub stage: UpkeepStage,
    /// Whether the VM's worker is present and not leaving.
    pub available: bool,
    /// Number of tasks on the VM that end by themselves.
    pub brief_tasks: u32,
    /// Number of long-running tasks on the VM.
    pub long_tasks: u32,
}

/// Stage of the maintenance of a VM.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum UpkeepStage {
    /// The VM is waiting for its turn.
    #[default]
    Due,
    /// The VM has been draining for this long.
    Draining(Duration),
    /// The VM is down, or may go down at any moment.
    Down,
    /// The VM has had its maintenance, or no longer exists.
    Done,
}

/// Time and number of VMs to which a maintenance wave is limited.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaveLimits {
    /// Time that remains until the wave must be complete.
    pub remaining_time: Duration,
    /// Maximum number of VMs that are down at once.
    pub max_down: u32,
    /// Time for which a VM is down for its maintenance.
    pub down_time: Duration,
}

/// Next actions of a maintenance wave, as indexes into the list of its VMs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WavePlan {
    /// VMs whose drain starts now.
    pub drain: Vec<usize>,
    /// VMs on which the tasks that would end by themselves are stopped.
    pub force_stop: Vec<usize>,
}

/// Returns the next actions for the VMs of a wave.
pub fn plan_wave(vms: &[VmStatus], limits: WaveLimits) -> WavePlan {
    let cap = limits.max_down.max(1) as usize;
    let count = |is: fn(&UpkeepStage) -> bool| vms.iter().filter(|m| is(&m.stage)).count();
    let closing = count(|s| matches!(s, UpkeepStage::Draining(_)));
    let open = count(|s| matches!(s, UpkeepStage::Due)) + closing;
    if open == 0 {
        return WavePlan::default();
    }
    let rounds = u32::try_from(open.div_ceil(cap)).unwrap_or(u32::MAX);
    let round_time = limits.remaining_time.mul_f64(PLANNED_FRACTION) / rounds;
    let down = limits.down_time + LIST_DELAY;
    let short = round_time < (down + DRAIN_TIME) * 2;
    let max_active = if short { cap * 2 } else { cap };
    let max_wait = (round_time * if short { 2 } else { 1 }).saturating_sub(down + DRAIN_TIME);
    // A VM that can't be drained, since its steps may not miss more tasks, must not block the
    // others.
    let draining = |m: &&VmStatus| matches!(m.stage, UpkeepStage::Draining(d) if d < max_wait + DRAIN_TIME * 2);
    let draining = vms.iter().filter(draining).count();
    let free_slots =
        max_active.saturating_sub(draining + count(|s| matches!(s, UpkeepStage::Down)));
    let mut due: Vec<usize> =
        (0..vms.len()).filter(|i| vms[*i].stage == UpkeepStage::Due && vms[*i].available).collect();
    // Nearly empty VMs cost the least, and their room is available again when others need it.
    due.sort_by_key(|i| (vms[*i].long_tasks, vms[*i].brief_tasks, *i));
    due.truncate(free_slots);
    let overdue =
        |m: &VmStatus| matches!(m.stage, UpkeepStage::Draining(since) if since >= max_wait);
    let force = (0..vms.len()).filter(|i| overdue(&vms[*i])).collect();
    WavePlan { drain: due, force_stop: force }
}

/// Returns how many tasks of a long-running step may be stopped now if `away` of them are not
/// running.
///
/// Without this, a step may become unavailable to its users. A stopped task counts as away until
/// another run of it has started, so the next one waits for that, however late the wave is.
pub fn stoppable_count(may_miss: Option<u32>, away: u32) -> u32 {
    may_miss.unwrap_or(DEFAULT_MAY_MISS).saturating_sub(away)
}
