//! What starts next, and where: one round over the steps that wait.

use {
    crate::{
        decide::{
            ahead::Line,
            fit::{Room, best},
            sound::{Verdict, most_held},
        },
        ids::PoolId,
        shard::{
            jobs::At,
            machine::Shard,
            workers::{Phase, Worker, WorkerNo},
        },
        time::Time,
        units::Size,
        work::{AdviceCost, Step, StepKey, TaskKey},
    },
    rustc_hash::{FxHashMap, FxHashSet},
    std::mem,
};

/// The most steps that one round looks at.
const LOOK: usize = 400;
/// Up to how many hundredths of each dimension are in use in a pool with room to spare.
const QUIET: u64 = 55;

/// What a round has found out about the pools.
#[derive(Default)]
pub(super) struct Round {
    pub(super) usable: FxHashMap<PoolId, Vec<WorkerNo>>,
    /// Pools with room to spare.
    pub(super) quiet: FxHashSet<PoolId>,
    /// Steps that come first because they have waited too long.
    pub(super) starving: Vec<StepKey>,
    /// What is kept at workers for steps that come first.
    pub(super) kept: FxHashMap<WorkerNo, Size>,
    /// What waits for each worker, in hundredths of a task.
    pub(super) demand: FxHashMap<WorkerNo, u32>,
    /// The steps that will have room at a worker soon.
    pub(super) line: Line<WorkerNo>,
    /// How many gangs have been given new tickets while they wait.
    pub(super) fresh: usize,
}

/// One step's turn in a round.
pub(super) struct Turn<'a> {
    pub(super) key: &'a StepKey,
    pub(super) step: &'a Step,
    /// Its tasks that wait.
    pub(super) waiting: Vec<u32>,
    /// The workers of its pool that may get starts.
    pub(super) usable: &'a [WorkerNo],
    /// What advice on it costs, if it needs any.
    pub(super) advice: Option<AdviceCost>,
}

/// Chooses a room for as many of these tasks as there is, and takes it from the rooms.
pub(super) fn choose(step: &Step, tasks: &[u32], rooms: &mut [Room]) -> Vec<(u32, WorkerNo)> {
    let mut chosen = vec![];
    for index in tasks {
        let Some(at) = best(step, rooms) else { break };
        let room = &mut rooms[at];
        room.free = room.free.saturating_sub(&step.counted());
        room.same += 1;
        room.fillers += u32::from(step.fills);
        chosen.push((*index, WorkerNo(room.index)));
    }
    chosen
}

impl Shard {
    /// Starts what has room, in order.
    pub(super) fn dispatch(&mut self, now: Time) {
        if !mem::take(&mut self.stir) || self.ready.is_empty() || !self.may_act(now) {
            return;
        }
        self.forget_strays();
        let mut round = Round::default();
        for (pool, all) in &self.pools {
            let usable = self.sound_ones(all, now);
            if self.quiet(all) {
                round.quiet.insert(pool.clone());
            }
            round.usable.insert(pool.clone(), usable);
        }
        let starving = self.starving(&round, now);
        let mut keys: Vec<StepKey> = starving.clone();
        let rest = self.ready.iter().take(LOOK).map(|(_, k)| *k);
        keys.extend(rest.filter(|k| !starving.contains(k)));
        round.starving = starving;
        for key in &keys {
            self.demand(key, 1, &mut round);
        }
        for key in keys {
            self.place(&key, &mut round, now);
        }
    }

    /// Forgets the runs besides those that count which have ended.
    ///
    /// Guards against a task that runs twice: one whose run is lost could start again while another
    /// run of it, which a former owner has begun, is still stopping.
    fn forget_strays(&mut self) {
        let workers = &self.workers;
        let stopping = |t: &TaskKey, w: &Worker| {
            !w.gone && w.runs.get(t).is_some_and(|r| r.phase == Phase::Stopping)
        };
        self.strays.retain(|t| workers.iter().any(|w| stopping(t, w)));
    }

    /// Whether a pool has room to spare in each dimension.
    fn quiet(&self, all: &[WorkerNo]) -> bool {
        let sum = |size: fn(&Worker) -> Size| {
            all.iter().fold(Size::default(), |sum, n| sum + size(&self.workers[n.0]))
        };
        let used = sum(|w| w.used);
        let total = sum(|w| w.listed.as_ref().map_or(Size::default(), |l| l.size));
        used.times(100).fits(&total.times(QUIET))
    }

    /// The workers of a pool that may get starts: those that are sound, and those out of quarantine,
    /// for a probe each.
    ///
    /// Guards against a pool that holds most of its workers: where over a third looks bad, the cause
    /// is something else, and the others are used all the same.
    fn sound_ones(&self, all: &[WorkerNo], now: Time) -> Vec<WorkerNo> {
        let usable = all.iter().copied().filter(|n| self.workers[n.0].usable(now));
        let mut held = most_held(all.len());
        let fine = |n: &WorkerNo| match self.workers[n.0].sound.verdict(now) {
            Verdict::Quarantined { until } if until > now && held > 0 => {
                held -= 1;
                false
            }
            _ => true,
        };
        usable.filter(fine).collect()
    }

    /// Counts what waits of a step at each worker that may run it.
    fn demand(&self, key: &StepKey, sign: i64, round: &mut Round) {
        let part = self.jobs.get(&key.job).and_then(|j| j.parts.get(&(key.time, key.step)));
        let Some(part) = part else { return };
        let count = part.tickets.good.len() as i64;
        if count == 0 {
            return;
        }
        let each = sign * 100 * i64::from(part.waiting.min(8)) / count;
        for no in part.tickets.good.keys() {
            let known = round.demand.entry(*no).or_default();
            *known = (i64::from(*known) + each).max(0) as u32;
        }
    }

    /// Starts what has room of one step.
    fn place(&mut self, key: &StepKey, round: &mut Round, now: Time) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        if job.old && !self.unsettled.is_empty() {
            return;
        }
        let Some(queue) = self.known.get(&job.queue) else { return };
        let Some(step) = job.step(key).cloned() else { return };
        let Some(part) = job.parts.get(&(key.time, key.step)) else { return };
        let (pool, advice) = (queue.pool.clone(), queue.advice);
        let Some(usable) = round.usable.get(&pool).cloned() else { return };
        if let Some(cost) = advice
            && part.tickets.good.is_empty()
        {
            return self.ask_all(key, &usable, cost, now);
        }
        // Its own demand must not keep it away.
        self.demand(key, -1, round);
        let mut valid = vec![];
        let mut stale = vec![];
        for no in &usable {
            let ticket = part.tickets.good.get(no);
            if advice.is_some() && ticket.is_none() {
                continue;
            }
            let Some(mut room) = self.room(*no, key, &step, now) else { continue };
            room.demand = round.demand.get(no).copied().unwrap_or(0);
            if let Some(kept) = round.kept.get(no) {
                room.free = room.free.saturating_sub(kept);
            }
            match ticket {
                Some((_, until)) if advice.is_some() && *until <= now => stale.push(room),
                _ => valid.push(room),
            }
        }
        let waiting = (0..).zip(&part.tasks).filter(|(_, t)| t.at == At::Waiting);
        let mut waiting: Vec<u32> = waiting.map(|(i, _)| i).collect();
        let all = waiting.len();
        waiting.retain(|i| !self.strays.contains(&TaskKey { step: *key, index: *i }));
        if waiting.is_empty() || (step.gang && waiting.len() < all) {
            return;
        }
        let turn = Turn { key, step: &step, waiting, usable: &usable, advice };
        if step.gang {
            return self.place_gang(&turn, valid, stale, round, now);
        }
        let good: Vec<Room> = valid.iter().chain(&stale).copied().collect();
        let chosen = choose(&step, &turn.waiting, &mut valid);
        let rest = &turn.waiting[chosen.len()..];
        if !rest.is_empty() && !step.fills {
            let good: Vec<Room> = valid.iter().chain(&stale).copied().collect();
            let places = self.evict(&turn, rest, &good, now);
            self.keep(&step, &places, round);
        }
        if let (false, Some(cost)) = (rest.is_empty(), advice) {
            let later = choose(&step, rest, &mut stale);
            self.keep(&step, &later, round);
            let mut wanted: Vec<WorkerNo> = later.iter().map(|c| c.1).collect();
            wanted.extend(self.coming(&turn, &good, cost, round, now));
            wanted.sort_unstable();
            wanted.dedup();
            self.ask_again(key, &wanted, &usable, cost, now);
        }
        if chosen.is_empty() && round.starving.contains(key) {
            let wish = self.wish(&turn, &good, now);
            self.keep(&step, &wish, round);
        }
        self.start_all(key, &step, &chosen, now);
    }

    /// Keeps room for tasks that can't start yet from the steps behind.
    pub(super) fn keep(&self, step: &Step, places: &[(u32, WorkerNo)], round: &mut Round) {
        for (_, no) in places {
            *round.kept.entry(*no).or_default() += step.counted();
        }
    }

    /// A worker's room as a task of this step sees it; nothing where it must not go.
    fn room(&self, no: WorkerNo, key: &StepKey, step: &Step, now: Time) -> Option<Room> {
        let w = &self.workers[no.0];
        let listed = w.listed.as_ref()?;
        if step.needs.as_ref().is_some_and(|label| !listed.has(label)) {
            return None;
        }
        let same =
            if step.apart > 0 { w.runs.keys().filter(|t| t.step == *key).count() } else { 0 };
        Some(Room {
            index: no.0,
            free: w.free(),
            total: listed.size,
            near: step.near.as_ref().is_some_and(|r| listed.has(r.as_str())),
            serves: step.fills && w.serves(),
            fillers: w.fillers,
            same: same as u32,
            suspect: w.sound.verdict(now) != Verdict::Sound,
            demand: 0,
        })
    }
}
