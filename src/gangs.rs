//! Gangs that are being placed: each requests its room from the owners of racks, one after another.
//!
//! Owns the requests and the reserved room of these gangs. Calls only
//! [`decide::gang`](crate::decide::gang); called by [`jobs`](crate::jobs).
//!
//! A reply may arrive after its round was given up, with rows for a rack that is asked again. If
//! these rows counted for the new round, the gang would start although part of its room had been
//! released meanwhile. A gang therefore sends a new request only after its last one was answered or
//! is known to be lost, and room that a late reply reserved is released.

use {
    crate::{
        Time,
        decide::gang::{Action, Claim},
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

/// The tasks of a gang, by the rack from which their room is requested.
type Parts = BTreeMap<RackId, Vec<ReserveItem>>;

struct Gang {
    claim: Claim,
    pool: PoolId,
    parts: Parts,
    reserved: Vec<ReserveRow>,
    round: u32,
    retry_at: Time,
    /// Whether a request awaits its reply.
    in_flight: bool,
    /// Whether that request belongs to a round that was given up.
    late: bool,
    /// Whether the gang is no longer wanted.
    cancelled: bool,
}

/// The next step for a gang.
pub enum Step {
    /// Request room from the owner of a rack.
    Ask(ReserveAsk),
    /// All tasks have room: create their attempts.
    Place(Vec<ReserveRow>),
    /// Release this room and requeue the tasks.
    Release(Vec<ReserveRow>, Vec<TaskId>),
    /// Do nothing now.
    Wait,
}

impl Gangs {
    /// Creates an empty set; `seed` determines the jitter of the back-off.
    pub fn new(seed: u64) -> Self {
        Gangs { all: BTreeMap::new(), rng: Rng::with_seed(seed) }
    }

    /// Starts to place a gang. Its tasks are requeued if the racks together have too little room
    /// now.
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
            reserved: vec![],
            round: 0,
            retry_at: Time::ZERO,
            in_flight: false,
            late: false,
            cancelled: false,
        };
        let gang = self.all.entry(job.clone()).or_insert_with(new);
        let tasks = items.iter().map(|i| i.task.clone()).collect();
        if gang.retry_at > now || gang.in_flight {
            return Step::Release(vec![], tasks);
        }
        let Some(parts) = divide(items, pool, racks) else { return Step::Release(vec![], tasks) };
        gang.parts = parts;
        gang.reserved.clear();
        let order = gang.claim.begin_round(gang.parts.keys().cloned().collect(), now);
        gang.step(order)
    }

    /// Handles the reply of a rack's owner; `None` if there was none.
    pub fn answered(&mut self, ask: &ReserveAsk, reply: Option<ReserveReply>, now: Time) -> Step {
        let Some(job) = ask.items.first().map(|i| i.task.job.clone()) else { return Step::Wait };
        let (Some(gang), Some(rack)) = (self.all.get_mut(&job), &ask.rack) else {
            return Step::Release(reply.map_or_else(Vec::new, |r| r.rows), vec![]);
        };
        let rows = reply.map_or_else(Vec::new, |r| r.rows);
        gang.in_flight = false;
        if std::mem::take(&mut gang.late) {
            if gang.cancelled {
                self.all.remove(&job);
            }
            return Step::Release(rows, vec![]);
        }
        let order = if rows.len() == ask.items.len() {
            gang.reserved.extend(rows);
            gang.claim.record_grant(rack, gang.round, now)
        } else {
            gang.reserved.extend(rows);
            gang.claim.record_refusal(rack, gang.round, now, &mut self.rng)
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
        self.all.iter().filter(|(_, g)| !g.cancelled).map(|(job, _)| job)
    }

    /// Removes a gang that is no longer wanted; returns its tasks and the room to release.
    pub fn remove(&mut self, job: &JobId) -> (Vec<TaskId>, Vec<ReserveRow>) {
        let Some(gang) = self.all.get_mut(job) else { return (vec![], vec![]) };
        let tasks = gang.tasks();
        let got = std::mem::take(&mut gang.reserved);
        if gang.in_flight {
            (gang.late, gang.cancelled) = (true, true);
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

    fn step(&mut self, order: Action) -> Step {
        match order {
            Action::Reserve(rack, _, round) => {
                self.round = round;
                self.in_flight = true;
                let items = self.parts.get(&rack).cloned().unwrap_or_default();
                Step::Ask(ReserveAsk {
                    pool: self.pool.clone(),
                    rack: Some(rack),
                    items,
                    whole: true,
                    tried: vec![],
                })
            }
            Action::Start => Step::Place(std::mem::take(&mut self.reserved)),
            Action::Release(_, again) => {
                self.retry_at = again;
                self.late = self.in_flight;
                Step::Release(std::mem::take(&mut self.reserved), self.tasks())
            }
            Action::Nothing => Step::Wait,
        }
    }
}

/// Divides a gang over as few racks as possible; `None` if together they have too little room.
///
/// The reported load of a rack may be out of date; the rack's owner decides. If there is no room
/// for an urgent gang, a rack's owner can make room for one task on each of its workers by
/// checkpoints.
fn divide(items: Vec<ReserveItem>, pool: &PoolId, racks: &[RackLoad]) -> Option<Parts> {
    let first = items.first()?;
    let (size, urgent) = (first.size, first.urgent);
    let free = spread(items.len(), pool, racks, |rack| room(&size, rack));
    let made = || spread(items.len(), pool, racks, |rack| u64::from(rack.workers));
    let counts = free.or_else(|| if urgent { made() } else { None })?;
    let mut items = items.into_iter();
    Some(counts.into_iter().map(|(rack, n)| (rack, items.by_ref().take(n).collect())).collect())
}

/// How many of `tasks` each rack takes, those with the most room first; `None` if the racks can't
/// take all.
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

/// Upper bound of the tasks of this size for which a rack has room.
fn room(size: &Size, rack: &RackLoad) -> u64 {
    size.count(&rack.free).min(size.count(&rack.widest).saturating_mul(u64::from(rack.workers)))
}
