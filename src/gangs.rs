//! The gangs that are being placed: each asks the owners of racks, one after another, for its room.

use {
    crate::{
        Time,
        decide::gang::{Claim, Order},
        ids::{JobId, PoolId, RackId, TaskId},
        messages::{RackLoad, ReserveAsk, ReserveItem, ReserveReply, ReserveRow},
        units::Size,
    },
    fastrand::Rng,
    std::collections::BTreeMap,
};

/// The gangs that are being placed.
pub struct Gangs {
    all: BTreeMap<JobId, Gang>,
    rng: Rng,
}

struct Gang {
    claim: Claim,
    pool: PoolId,
    parts: BTreeMap<RackId, Vec<ReserveItem>>,
    got: Vec<ReserveRow>,
    round: u32,
    again: Time,
}

/// What follows for a gang.
pub enum Step {
    /// Ask the owner of a rack.
    Ask(ReserveAsk),
    /// All its tasks have room: make their attempts.
    Place(Vec<ReserveRow>),
    /// Release this room; the tasks wait again.
    Drop(Vec<ReserveRow>, Vec<TaskId>),
    /// Nothing now.
    Wait,
}

impl Gangs {
    /// No gangs; `seed` sets the jitter of the back-off.
    pub fn new(seed: u64) -> Self {
        Gangs { all: BTreeMap::new(), rng: Rng::with_seed(seed) }
    }

    /// Begins to place a gang; its tasks wait on where the racks together have not the room now.
    pub fn begin(
        &mut self,
        job: &JobId,
        pool: &PoolId,
        items: Vec<ReserveItem>,
        racks: &[RackLoad],
        now: Time,
    ) -> Step {
        let new = || Gang {
            claim: Claim::new(now),
            pool: pool.clone(),
            parts: BTreeMap::new(),
            got: vec![],
            round: 0,
            again: Time::ZERO,
        };
        let gang = self.all.entry(job.clone()).or_insert_with(new);
        let tasks = items.iter().map(|i| i.task.clone()).collect();
        if gang.again > now {
            return Step::Drop(vec![], tasks);
        }
        let Some(parts) = divide(items, pool, racks) else { return Step::Drop(vec![], tasks) };
        gang.parts = parts;
        gang.got.clear();
        let order = gang.claim.begin(gang.parts.keys().cloned().collect(), now);
        gang.step(order)
    }

    /// Takes the answer of a rack's owner; none where it gave none.
    pub fn answered(&mut self, ask: &ReserveAsk, reply: Option<ReserveReply>, now: Time) -> Step {
        let Some(job) = ask.items.first().map(|i| i.task.job.clone()) else { return Step::Wait };
        let (Some(gang), Some(rack)) = (self.all.get_mut(&job), &ask.rack) else {
            return Step::Drop(reply.map_or_else(Vec::new, |r| r.rows), vec![]);
        };
        let rows = reply.map_or_else(Vec::new, |r| r.rows);
        let order = if rows.len() == ask.items.len() {
            gang.got.extend(rows);
            gang.claim.granted(rack, gang.round, now)
        } else {
            gang.got.extend(rows);
            gang.claim.refused(rack, gang.round, now, &mut self.rng)
        };
        gang.step(order)
    }

    /// Gives up the rounds that have taken too long.
    pub fn tick(&mut self, now: Time) -> Vec<Step> {
        let rng = &mut self.rng;
        let steps = self.all.values_mut().map(|gang| {
            let order = gang.claim.tick(now, rng);
            gang.step(order)
        });
        steps.filter(|s| !matches!(s, Step::Wait)).collect()
    }

    /// A gang has its attempts, or is no longer wanted.
    pub fn forget(&mut self, job: &JobId) {
        self.all.remove(job);
    }
}

impl Gang {
    fn step(&mut self, order: Order) -> Step {
        match order {
            Order::Reserve(rack, _, round) => {
                self.round = round;
                let items = self.parts.get(&rack).cloned().unwrap_or_default();
                Step::Ask(ReserveAsk {
                    pool: self.pool.clone(),
                    rack: Some(rack),
                    items,
                    whole: true,
                })
            }
            Order::Start => Step::Place(std::mem::take(&mut self.got)),
            Order::Release(_, again) => {
                self.again = again;
                let tasks = self.parts.values().flatten().map(|i| i.task.clone()).collect();
                Step::Drop(std::mem::take(&mut self.got), tasks)
            }
            Order::Nothing => Step::Wait,
        }
    }
}

/// Divides a gang over racks, as few as can be; none where they have not the room together.
///
/// What a rack told of itself may be old; its owner has the last word.
fn divide(
    mut items: Vec<ReserveItem>,
    pool: &PoolId,
    racks: &[RackLoad],
) -> Option<BTreeMap<RackId, Vec<ReserveItem>>> {
    let size = items.first()?.size;
    let mut rooms: Vec<(u64, &RackId)> = racks
        .iter()
        .filter(|r| r.pool == *pool)
        .map(|r| (room(&size, r), &r.rack))
        .filter(|(n, _)| *n > 0)
        .collect();
    rooms.sort_by(|a, b| b.cmp(a));
    let mut parts = BTreeMap::new();
    for (n, rack) in rooms {
        if items.is_empty() {
            break;
        }
        let n = usize::try_from(n).unwrap_or(usize::MAX).min(items.len());
        parts.insert(rack.clone(), items.drain(..n).collect());
    }
    items.is_empty().then_some(parts)
}

/// How many tasks of this size a rack may have room for, at the most.
fn room(size: &Size, rack: &RackLoad) -> u64 {
    size.count(&rack.free).min(size.count(&rack.widest).saturating_mul(u64::from(rack.workers)))
}
