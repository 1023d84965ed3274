//! Waves of upkeep: which VM is emptied next, when what runs there is stopped, and which
//! lasting tasks may be moved.
//!
//! *Load pattern:* the operators want upkeep of some VMs within some seconds, a few at once, while
//! the workload goes on: tasks of seconds that are lost or go on from a checkpoint when they are
//! stopped, and lasting tasks of which only a few of a step may be away. *Without it:* all VMs
//! emptied at once take the room of the others' work and too many tasks of a step away; one after the
//! other, each waited for until its longest task ends, makes the wave late; and a lasting task moves
//! from VM to VM of the same wave.
//!
//! *Thresholds:* a seventh of the time is kept in hand, for a takeover or an order without an answer.
//! What is left is shared among the rounds that are left, so that the first VMs wait for their
//! tasks' ends no longer than the last. A round needs the upkeep itself, up to a second until the list
//! of VMs shows its end, and `EMPTY` for lasting tasks to start elsewhere. Where a round has
//! less than twice that, the next VMs are emptied while the ones before are down; that takes
//! twice the room away, so it is not done where there is time.

use std::time::Duration;

/// How far the list of VMs is behind, at most.
pub const LAG: Duration = Duration::from_secs(1);
/// About how long it takes to move what lasts: a stop, a start elsewhere, and to be at work there.
const EMPTY: Duration = Duration::from_secs(3);
/// The part of the time that is planned with.
const PLANNED: f64 = 6.0 / 7.0;
/// How many tasks may be away of a step that doesn't say.
const UNSAID: u32 = 1;

/// A VM of a wave, as the plan sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Facts {
    /// How far it is.
    pub stage: Stage,
    /// Whether its worker is there and not leaving.
    pub able: bool,
    /// How many tasks run there that end by themselves.
    pub brief: u32,
    /// How many that don't.
    pub lasting: u32,
}

/// How far a VM of a wave is.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Stage {
    /// Its turn is yet to come.
    #[default]
    Due,
    /// It is being emptied, for so long already.
    Closing(Duration),
    /// It is down, or may go down at any moment.
    Down,
    /// It has had its upkeep, or is not there any more.
    Over,
}

/// What a wave allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowed {
    /// The time that is left.
    pub left: Duration,
    /// How many VMs may be down at once.
    pub cap: u32,
    /// How long one is down.
    pub down: Duration,
}

/// What follows now, by the places of the VMs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// To be emptied from now on.
    pub close: Vec<usize>,
    /// Where the tasks that end by themselves are waited for no longer.
    pub force: Vec<usize>,
}

/// What follows now for the VMs of a wave.
pub fn plan(vms: &[Facts], allowed: Allowed) -> Plan {
    let cap = allowed.cap.max(1) as usize;
    let count = |is: fn(&Stage) -> bool| vms.iter().filter(|m| is(&m.stage)).count();
    let closing = count(|s| matches!(s, Stage::Closing(_)));
    let open = count(|s| matches!(s, Stage::Due)) + closing;
    if open == 0 {
        return Plan::default();
    }
    let rounds = u32::try_from(open.div_ceil(cap)).unwrap_or(u32::MAX);
    let turn = allowed.left.mul_f64(PLANNED) / rounds;
    let down = allowed.down + LAG;
    let short = turn < (down + EMPTY) * 2;
    let most = if short { cap * 2 } else { cap };
    let patience = (turn * if short { 2 } else { 1 }).saturating_sub(down + EMPTY);
    // One that can't be emptied, since its steps may miss no more, must not keep the others back.
    let moving = |m: &&Facts| matches!(m.stage, Stage::Closing(d) if d < patience + EMPTY * 2);
    let moving = vms.iter().filter(moving).count();
    let slots = most.saturating_sub(moving + count(|s| matches!(s, Stage::Down)));
    let mut due: Vec<usize> =
        (0..vms.len()).filter(|i| vms[*i].stage == Stage::Due && vms[*i].able).collect();
    // What is nearly empty costs the least, and its room is back by the time that others need it.
    due.sort_by_key(|i| (vms[*i].lasting, vms[*i].brief, *i));
    due.truncate(slots);
    let waited = |m: &Facts| matches!(m.stage, Stage::Closing(since) if since >= patience);
    let force = (0..vms.len()).filter(|i| waited(&vms[*i])).collect();
    Plan { close: due, force }
}

/// How many tasks of a lasting step may be stopped now, of which so many are not at work.
///
/// Guards against a step that is away for its users: a task that was stopped counts as away until
/// another run of it is at work, so the next one waits for that, however late the wave is.
pub fn may_stop(may_miss: Option<u32>, away: u32) -> u32 {
    may_miss.unwrap_or(UNSAID).saturating_sub(away)
}
