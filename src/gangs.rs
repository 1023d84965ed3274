//! The gangs that are being placed: each asks the owners of racks, one after another, for its room.
//!
//! Owns what gangs have asked for and got so far. Calls [`decide::gang`](crate::decide::gang) alone;
//! [`jobs`](crate::jobs) calls it.
//!
//! An answer may come when its round was given up: it shows as rows for a rack that is asked anew.
//! Counted there, the gang would start on room that was released meanwhile, one half of it without
//! room. So a gang asks again only once its last ask was answered, or is known to be lost, and what
//! a late answer has reserved is released.

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

/// The wishes of a gang, by the rack that is asked for them.
type Parts = BTreeMap<RackId, Vec<ReserveItem>>;

struct Gang {
    claim: Claim,
    pool: PoolId,
    parts: Parts,
    got: Vec<ReserveRow>,
    round: u32,
    again: Time,
    /// Whether an ask is not answered yet.
    flying: bool,
    /// Whether that ask is of a round that was given up.
    late: bool,
    /// Whether the gang is no longer wanted.
    gone: bool,
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
            flying: false,
            late: false,
            gone: false,
        };
        let gang = self.all.entry(job.clone()).or_insert_with(new);
        let tasks = items.iter().map(|i| i.task.clone()).collect();
        if gang.again > now || gang.flying {
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
        gang.flying = false;
        if std::mem::take(&mut gang.late) {
            if gang.gone {
                self.all.remove(&job);
            }
            return Step::Drop(rows, vec![]);
        }
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

    /// The gangs that are being placed.
    pub fn jobs(&self) -> impl Iterator<Item = &JobId> {
        self.all.iter().filter(|(_, g)| !g.gone).map(|(job, _)| job)
    }

    /// A gang is no longer wanted; returns its tasks, and the room to release.
    pub fn forget(&mut self, job: &JobId) -> (Vec<TaskId>, Vec<ReserveRow>) {
        let Some(gang) = self.all.get_mut(job) else { return (vec![], vec![]) };
        let tasks = gang.tasks();
        let got = std::mem::take(&mut gang.got);
        if gang.flying {
            (gang.late, gang.gone) = (true, true);
            gang.claim = Claim::new(Time::ZERO);
            gang.parts.clear();
        } else {
            self.all.remove(job);
        }
        (tasks, got)
    }
}

impl Gang {
    fn tasks(&self) -> Vec<TaskId> {
        self.parts.values().flatten().map(|i| i.task.clone()).collect()
    }

    fn step(&mut self, order: Order) -> Step {
        match order {
            Order::Reserve(rack, _, round) => {
                self.round = round;
                self.flying = true;
                let items = self.parts.get(&rack).cloned().unwrap_or_default();
                Step::Ask(ReserveAsk {
                    pool: self.pool.clone(),
                    rack: Some(rack),
                    items,
                    whole: true,
                    tried: vec![],
                })
            }
            Order::Start => Step::Place(std::mem::take(&mut self.got)),
            Order::Release(_, again) => {
                self.again = again;
                self.late = self.flying;
                Step::Drop(std::mem::take(&mut self.got), self.tasks())
            }
            Order::Nothing => Step::Wait,
        }
    }
}

/// Divides a gang over racks, as few as can be; none where they have not the room together.
///
/// What a rack told of itself may be old; its owner has the last word. Where nobody has room for an
/// urgent gang, a rack's owner can make some for a task on each of its workers, by checkpoints.
fn divide(items: Vec<ReserveItem>, pool: &PoolId, racks: &[RackLoad]) -> Option<Parts> {
    let first = items.first()?;
    let (size, urgent) = (first.size, first.urgent);
    let free = spread(items.len(), pool, racks, |rack| room(&size, rack));
    let made = || spread(items.len(), pool, racks, |rack| u64::from(rack.workers));
    let counts = free.or_else(|| if urgent { made() } else { None })?;
    let mut items = items.into_iter();
    Some(counts.into_iter().map(|(rack, n)| (rack, items.by_ref().take(n).collect())).collect())
}

/// How many of `tasks` each rack takes, those with the most room first; none where that is too few.
fn spread(
    mut tasks: usize,
    pool: &PoolId,
    racks: &[RackLoad],
    room: impl Fn(&RackLoad) -> u64,
) -> Option<Vec<(RackId, usize)>> {
    let here = racks.iter().filter(|r| r.pool == *pool);
    let mut rooms: Vec<(u64, &RackId)> = here.map(|r| (room(r), &r.rack)).collect();
    rooms.sort_by(|a, b| b.cmp(a));
    let mut counts = vec![];
    for (n, rack) in rooms {
        let n = usize::try_from(n).unwrap_or(usize::MAX).min(tasks);
        if n > 0 {
            counts.push((rack.clone(), n));
            tasks -= n;
        }
    }
    (tasks == 0).then_some(counts)
}

/// How many tasks of this size a rack may have room for, at the most.
fn room(size: &Size, rack: &RackLoad) -> u64 {
    size.count(&rack.free).min(size.count(&rack.widest).saturating_mul(u64::from(rack.workers)))
}
