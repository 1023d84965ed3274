//! Decides which of the workers with room gets a task of a step.
//!
//! *Load pattern:* small tasks among large ones and gangs, on workers that are four fifths full.
//! *Without it:* small tasks that are spread evenly leave a little room on every worker and none
//! for a large task. So a task goes to the fullest worker that has room for it. Fillers use the
//! remaining processors, so they go to the emptiest worker, and away from serving tasks, whose
//! response times they degrade.
//!
//! *Load pattern:* steps that only some workers may run, sometimes a single one. *Without it:* a
//! step with many choices that is placed by fullness alone takes the only worker of another step,
//! which then waits for its end. So the demand of waiting steps counts as a cost at each worker.

use crate::{units::Size, work::Step};

/// Free resources of a worker, with the properties that decide whether a task of one step goes
/// there.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// Index of the worker in the caller's list.
    pub index: usize,
    /// Free resources.
    pub free: Size,
    /// Total resources.
    pub total: Size,
    /// Whether the worker is on the rack where the task runs fastest; never if there is none.
    pub near: bool,
    /// Whether serving tasks with a latency target run on the worker.
    pub serving: bool,
    /// Number of fillers on the worker.
    pub fillers: u32,
    /// Number of tasks of the same step on the worker.
    pub same_step: u32,
    /// Maximum number of tasks that the worker may get now, whatever its room; one if it is on
    /// trial.
    pub max_new: u32,
    /// Whether the worker is suspected of a fault.
    pub suspect: bool,
    /// Number of waiting tasks of other steps that need this worker, multiplied by 100: a task
    /// that may run on four workers counts 25 at each.
    pub demand: u32,
}

/// Cost of placing a filler beside a serving task. Like the other costs, in percent of a worker.
const INTERFERENCE_COST: u64 = 100_000;
/// Cost of a worker that is suspected of a fault.
const SUSPECT_COST: u64 = 10_000;
/// Cost of a worker outside the rack where the task runs fastest. It exceeds the costs of demand,
/// fillers and fit together. For a step without such a rack, all workers have it.
const FAR_RACK_COST: u64 = 1_000;
/// Cost per waiting task that needs the worker. A worker that only one step may use is worth more
/// free than full.
const DEMAND_COST: u64 = 60;
/// Cost per filler whose processors the task would take.
const FILLER_COST: u64 = 20;

/// Returns the index in `rooms` of the best room for a task of the step.
pub fn best_room(step: &Step, rooms: &[Room]) -> Option<usize> {
    let size = step.reserved();
    let fits = |r: &Room| {
        size.fits(&r.free) && r.max_new > 0 && (step.apart == 0 || r.same_step < step.apart)
    };
    let all = rooms.iter().enumerate().filter(|(_, r)| fits(r));
    all.min_by_key(|(_, r)| cost(step, &size, r)).map(|(i, _)| i)
}

/// Returns the cost of a room; the lowest is the best.
fn cost(step: &Step, size: &Size, room: &Room) -> u64 {
    let mut cost = 0;
    if room.suspect {
        cost += SUSPECT_COST;
    }
    if !room.near {
        cost += FAR_RACK_COST;
    }
    if step.fills {
        if room.serving {
            cost += INTERFERENCE_COST;
        }
        // Prefers the room with the largest share of free processors per filler, counting the
        // filler to be placed.
        let share = share(room.free.cores.0, room.total.cores.0) / u64::from(room.fillers + 1);
        return cost + 300 - share.min(300);
    }
    if step.target > 0 && room.fillers > 0 {
        cost += INTERFERENCE_COST;
    }
    cost += FILLER_COST * u64::from(room.fillers.min(4));
    cost += DEMAND_COST * u64::from(room.demand.min(1000)) / 100;
    let left = room.free.saturating_sub(size);
    cost + share(left.cores.0, room.total.cores.0)
        + share(left.memory.0, room.total.memory.0)
        + share(left.accels.0, room.total.accels.0)
}

/// Returns `part` as a percentage of `whole`.
fn share(part: u64, whole: u64) -> u64 {
    (part * 100).checked_div(whole).unwrap_or(0)
}
