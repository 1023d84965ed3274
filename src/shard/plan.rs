//! What starts next, and where.

use {
    crate::{
        decide::{
            fit::{Room, best},
            rank::{Facts, Rank, rank},
            sound::{Verdict, most_held},
        },
        ids::PoolId,
        ports::{Start, WorkerCall},
        shard::{
            event::Order,
            hear::ORDER,
            jobs::At,
            machine::Shard,
            workers::{Phase, Run, Worker, WorkerNo, millis},
        },
        time::Time,
        units::Size,
        work::{AdviceCost, JobNo, Step, StepKey, TaskKey},
    },
    rustc_hash::{FxHashMap, FxHashSet},
    std::{mem, time::Duration},
};

/// The most steps that one round looks at.
const LOOK: usize = 400;
/// How long a gang waits for room before room is kept for it.
const PATIENCE: Duration = Duration::from_millis(300);
/// How long a step waits before it comes first: in a pool with room to spare, and in a busy one where
/// it is too late for any worth.
const STARVED: (Duration, Duration) = (Duration::from_secs(4), Duration::from_secs(30));
/// How many such steps come first at once.
const STARVING: usize = 3;
/// Up to how many hundredths of each dimension are in use in a pool with room to spare.
const QUIET: u64 = 55;
/// How many gangs without room are kept supplied with valid tickets.
const FRESH: usize = 3;
/// The runs of a job that former owners may have started are numbered from here on, for each owner.
const RUNS: u64 = 1000;

/// What stopping less urgent runs of a worker would bring.
struct Eviction {
    no: WorkerNo,
    /// What is free, or will be without more stops.
    free: Size,
    /// How many tasks would have room in all.
    slots: u64,
    /// The runs that could be stopped, and what each takes.
    victims: Vec<(TaskKey, Size)>,
}

/// What a round has found out about the pools.
#[derive(Default)]
struct Round {
    usable: FxHashMap<PoolId, Vec<WorkerNo>>,
    /// Pools with room to spare.
    quiet: FxHashSet<PoolId>,
    /// Steps that come first because they have waited too long.
    starving: Vec<StepKey>,
    /// What is kept at workers for steps that come first.
    kept: FxHashMap<WorkerNo, Size>,
    /// What waits for each worker, in hundredths of a task.
    demand: FxHashMap<WorkerNo, u32>,
    /// How many gangs have been given new tickets while they wait.
    fresh: usize,
}

/// Chooses a room for as many of these tasks as there is, and takes it from the rooms.
fn choose(step: &Step, tasks: &[u32], rooms: &mut [Room]) -> Vec<(u32, WorkerNo)> {
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
    /// Looks over which steps of a job are ready.
    pub(super) fn review(&mut self, no: JobNo, now: Time) {
        let Some(job) = self.jobs.get(&no) else { return };
        let Some(queue) = self.known.get(&job.queue) else { return };
        let unix = self.unix(now);
        let mut ranks: Vec<(StepKey, Option<Rank>)> = vec![];
        for ((time, step), part) in &job.parts {
            let key = StepKey { job: no, time: *time, step: *step };
            let Some(s) = job.step(&key) else { continue };
            let whole = !s.gang || part.waiting == s.count;
            let open = part.waiting > 0 && whole && !job.state.over() && job.free(*time, *step);
            let facts = Facts {
                came: job.came.max(job.due(*time)),
                chain: job.chain(),
                left: job.tails.get(usize::from(*step)).copied().unwrap_or_default(),
                lasts: s.lasts,
            };
            ranks.push((key, open.then(|| rank(queue, facts, unix))));
        }
        for (key, rank) in ranks {
            match rank {
                Some(rank) => self.make_ready(key, rank, now),
                None => self.unready(&key),
            }
        }
    }

    fn make_ready(&mut self, key: StepKey, rank: Rank, now: Time) {
        match self.ranks.insert(key, rank) {
            Some(old) if old == rank => return,
            Some(old) => drop(self.ready.remove(&(old, key))),
            None => {
                if let Some(part) =
                    self.jobs.get_mut(&key.job).and_then(|j| j.parts.get_mut(&(key.time, key.step)))
                {
                    part.ready.get_or_insert(now);
                }
                self.stir = true;
            }
        }
        self.ready.insert((rank, key));
    }

    /// A step has nothing to be started.
    pub(super) fn unready(&mut self, key: &StepKey) {
        if let Some(rank) = self.ranks.remove(key) {
            self.ready.remove(&(rank, *key));
        }
    }

    /// As [`Self::unready`], where all its tasks are placed.
    pub(super) fn unready_if_placed(&mut self, key: &StepKey) {
        let part = self.jobs.get(&key.job).and_then(|j| j.parts.get(&(key.time, key.step)));
        if part.is_none_or(|p| p.waiting == 0) {
            self.unready(key);
        }
    }

    /// Makes the order anew.
    pub(super) fn rank_again(&mut self, now: Time) {
        let jobs: FxHashSet<JobNo> = self.ranks.keys().map(|k| k.job).collect();
        for no in jobs {
            self.review(no, now);
        }
    }

    /// Starts what has room, in order.
    pub(super) fn dispatch(&mut self, now: Time) {
        if !mem::take(&mut self.stir) || self.ready.is_empty() || !self.may_act(now) {
            return;
        }
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

    /// Whether a pool has room to spare in each dimension.
    fn quiet(&self, all: &[WorkerNo]) -> bool {
        let sum = |size: fn(&Worker) -> Size| {
            all.iter().fold(Size::default(), |sum, n| sum + size(&self.workers[n.0]))
        };
        let used = sum(|w| w.used);
        let total = sum(|w| w.listed.as_ref().map_or(Size::default(), |l| l.size));
        used.times(100).fits(&total.times(QUIET))
    }

    /// Steps that have waited so long that they come first now: in a pool with room to spare any, in a
    /// busy one those too late for any worth.
    ///
    /// Guards against large tasks that only one or two workers may run: smaller ones with worth take
    /// these again and again, and a job that was taken in would never end. As long as its pool is
    /// busy that costs others their worth, so it waits longer then.
    fn starving(&self, round: &Round, now: Time) -> Vec<StepKey> {
        let mut all = vec![];
        for (rank, key) in self.ready.iter().rev() {
            let Some(job) = self.jobs.get(&key.job) else { continue };
            let Some(queue) = self.known.get(&job.queue) else { continue };
            let quiet = round.quiet.contains(&queue.pool);
            if !quiet && rank.class() < 2 {
                continue;
            }
            let patience = if quiet { STARVED.0 } else { STARVED.1 };
            let part = job.parts.get(&(key.time, key.step));
            if let Some(since) = part.and_then(|p| p.ready).filter(|t| *t + patience <= now) {
                all.push((since, *key));
            }
        }
        all.sort_unstable();
        all.truncate(STARVING);
        all.into_iter().map(|(_, key)| key).collect()
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

    /// Whether a chosen worker may really get the task: of a worker that is tried out, one.
    fn allowed(&mut self, no: WorkerNo, now: Time) -> bool {
        let sound = &mut self.workers[no.0].sound;
        !matches!(sound.verdict(now), Verdict::Quarantined { .. }) || sound.probe(now)
    }

    /// Counts what waits of a step at each worker that may run it.
    fn demand(&self, key: &StepKey, sign: i64, round: &mut Round) {
        let part = self.jobs.get(&key.job).and_then(|j| j.parts.get(&(key.time, key.step)));
        let Some(part) = part else { return };
        let good = || part.tickets.good.keys().filter_map(|id| self.ids.get(id));
        let count = good().count() as i64;
        if count == 0 {
            return;
        }
        let each = sign * 100 * i64::from(part.waiting.min(8)) / count;
        for no in good() {
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
            let Some(mut room) = self.room(*no, key, &step, now) else { continue };
            room.demand = round.demand.get(no).copied().unwrap_or(0);
            if let Some(kept) = round.kept.get(no) {
                room.free = room.free.saturating_sub(kept);
            }
            match part.tickets.good.get(&self.workers[no.0].id) {
                _ if advice.is_none() => valid.push(room),
                None => {}
                Some((_, until)) if *until > now => valid.push(room),
                Some(_) => stale.push(room),
            }
        }
        let waiting: Vec<u32> =
            (0..).zip(&part.tasks).filter(|(_, t)| t.at == At::Waiting).map(|(i, _)| i).collect();
        if step.gang {
            return self.place_gang(key, &step, &waiting, (valid, stale), advice, round, now);
        }
        let good: Vec<Room> = valid.iter().chain(&stale).copied().collect();
        let chosen = choose(&step, &waiting, &mut valid);
        let rest = &waiting[chosen.len()..];
        if !rest.is_empty() && !step.fills {
            let good: Vec<Room> = valid.iter().chain(&stale).copied().collect();
            let places = self.evict(key, &step, rest, &good, now);
            self.keep(&step, &places, round);
        }
        if let (false, Some(cost)) = (rest.is_empty(), advice) {
            let later = choose(&step, rest, &mut stale);
            self.keep(&step, &later, round);
            let wanted: Vec<WorkerNo> = later.iter().map(|c| c.1).collect();
            self.ask_again(key, &wanted, &usable, cost, now);
        }
        if chosen.is_empty() && round.starving.contains(key) {
            let wish = self.wish(key, &step, &good, now);
            self.keep(&step, &wish, round);
        }
        self.start_all(key, &step, &chosen, now);
    }

    /// Starts a gang if there is room for all of it at once, and keeps room for it if not.
    ///
    /// Guards against a gang that waits for ever: each end frees room for one of its members at the
    /// most, and a step of smaller tasks behind it would take that at once; and while it asks for new
    /// tickets, the room that it was found would be gone.
    #[allow(clippy::too_many_arguments)]
    fn place_gang(
        &mut self,
        key: &StepKey,
        step: &Step,
        waiting: &[u32],
        (mut valid, mut stale): (Vec<Room>, Vec<Room>),
        advice: Option<AdviceCost>,
        round: &mut Round,
        now: Time,
    ) {
        let mut good = valid.clone();
        let chosen = choose(step, waiting, &mut valid);
        if chosen.len() == waiting.len() {
            return self.start_all(key, step, &chosen, now);
        }
        good.append(&mut stale);
        let mut all = good.clone();
        let mut later = choose(step, waiting, &mut all);
        let room = later.len() == waiting.len();
        if !room {
            round.fresh += 1;
            if round.fresh > FRESH {
                return;
            }
            later = self.evict(key, step, waiting, &good, now);
            if later.is_empty() {
                later = self.wish(key, step, &good, now);
            }
        }
        self.keep(step, &later, round);
        let Some(cost) = advice else { return };
        let mut wanted: Vec<WorkerNo> = later.iter().map(|c| c.1).collect();
        wanted.sort_unstable();
        wanted.dedup();
        // Of those without room a few are kept ready to start, so that room is used when it comes.
        if !room {
            let soon = |n: &WorkerNo| self.expires(key, *n, now + cost.base + cost.each * 10);
            wanted.retain(soon);
        }
        let queue = self.jobs.get(&key.job).and_then(|j| self.known.get(&j.queue));
        let usable = queue.and_then(|q| round.usable.get(&q.pool)).cloned().unwrap_or_default();
        self.ask_again(key, &wanted, &usable, cost, now);
    }

    /// Makes room for tasks that could be in time, by stopping less urgent work.
    fn evict(
        &mut self,
        key: &StepKey,
        step: &Step,
        waiting: &[u32],
        good: &[Room],
        now: Time,
    ) -> Vec<(u32, WorkerNo)> {
        let queue = self.jobs.get(&key.job).and_then(|j| self.known.get(&j.queue));
        let Some(priority) = queue.map(|q| q.priority) else { return vec![] };
        let part = self.jobs.get(&key.job).and_then(|j| j.parts.get(&(key.time, key.step)));
        let waited = part.and_then(|p| p.ready).is_some_and(|t| t + PATIENCE <= now);
        if !waited || self.ranks.get(key).is_none_or(|r| r.class() > 0) {
            return vec![];
        }
        let places = self.make_room(step, waiting.len(), good, priority, now);
        waiting.iter().copied().zip(places).collect()
    }

    /// The priority under which a run of a step may be stopped for more urgent work, if it may.
    pub(super) fn yields(&self, key: &StepKey, step: &Step) -> Option<u8> {
        let plain = step.saves && !step.gang && !step.lasts && !step.fills;
        let queue = self.jobs.get(&key.job).and_then(|j| self.known.get(&j.queue));
        queue.filter(|_| plain).map(|q| q.priority)
    }

    /// Stops runs of less urgent queues, so that so many tasks find room; returns where.
    ///
    /// What is stopped goes on elsewhere from its checkpoint. Room that is coming already, from runs
    /// that are being stopped, is counted first.
    fn make_room(
        &mut self,
        step: &Step,
        count: usize,
        good: &[Room],
        priority: u8,
        now: Time,
    ) -> Vec<WorkerNo> {
        let size = step.counted();
        let mut plans: Vec<Eviction> =
            good.iter().filter_map(|r| self.eviction(r, &size, step.apart, priority)).collect();
        plans.sort_by_key(|p| (p.victims.len(), std::cmp::Reverse(p.slots)));
        let slots: u64 = plans.iter().map(|p| p.slots).sum();
        if slots == 0 || (step.gang && slots < count as u64) {
            return vec![];
        }
        let mut places = vec![];
        for plan in plans {
            let wanted = (count - places.len()) as u64;
            if wanted == 0 {
                break;
            }
            let take = wanted.min(plan.slots);
            let mut free = plan.free;
            for (task, freed) in plan.victims {
                if size.times(take).fits(&free) {
                    break;
                }
                free += freed;
                self.stop(plan.no, &task, now);
            }
            places.extend((0..take).map(|_| plan.no));
        }
        places
    }

    /// What stopping less urgent runs of a worker would bring.
    fn eviction(&self, room: &Room, size: &Size, apart: u32, priority: u8) -> Option<Eviction> {
        let worker = &self.workers[room.index];
        let mut free = room.free;
        let mut victims = vec![];
        for (task, run) in &worker.runs {
            match (run.phase, run.yields) {
                (Phase::Stopping, _) => free += run.size,
                (Phase::Running, Some(p)) if p > priority => {
                    victims.push((run.percent.1, *task, run.size));
                }
                _ => {}
            }
        }
        // Those that have done least first: the others end soon anyway.
        victims.sort_unstable_by_key(|v| (v.0, v.1));
        let all = victims.iter().fold(free, |sum, v| sum + v.2);
        let most = if apart > 0 { apart.saturating_sub(room.same).into() } else { u64::MAX };
        let slots = size.count(&all).min(most);
        let victims = victims.into_iter().map(|v| (v.1, v.2)).collect();
        (slots > 0).then_some(Eviction { no: WorkerNo(room.index), free, slots, victims })
    }

    /// Where a gang without room would best wait for it: the workers with the most room.
    fn wish(&self, key: &StepKey, step: &Step, good: &[Room], now: Time) -> Vec<(u32, WorkerNo)> {
        let part = self.jobs.get(&key.job).and_then(|j| j.parts.get(&(key.time, key.step)));
        if part.and_then(|p| p.ready).is_none_or(|t| t + PATIENCE > now) {
            return vec![];
        }
        let size = step.counted();
        let mut all: Vec<&Room> = good.iter().filter(|r| size.fits(&r.total)).collect();
        all.sort_by_key(|r| std::cmp::Reverse((r.free.accels, r.free.cores)));
        let mut wish = vec![];
        for room in all {
            let most = size.count(&room.total);
            let cap = if step.apart > 0 { most.min(step.apart.into()) } else { most };
            for _ in 0..cap {
                let index = wish.len() as u32;
                if index >= step.count {
                    return wish;
                }
                wish.push((index, WorkerNo(room.index)));
            }
        }
        // Guards against a gang for which all its workers together are too small: it would wait for
        // ever, and the room kept for a part of it would keep all behind it waiting as long.
        if step.gang { vec![] } else { wish }
    }

    /// Keeps room for tasks that can't start yet from the steps behind.
    fn keep(&self, step: &Step, places: &[(u32, WorkerNo)], round: &mut Round) {
        for (_, no) in places {
            *round.kept.entry(*no).or_default() += step.counted();
        }
    }

    /// Whether the ticket for a worker ends before a time.
    fn expires(&self, key: &StepKey, no: WorkerNo, by: Time) -> bool {
        let part = self.jobs.get(&key.job).and_then(|j| j.parts.get(&(key.time, key.step)));
        let ticket = part.and_then(|p| p.tickets.good.get(&self.workers[no.0].id));
        ticket.is_none_or(|(_, until)| *until <= by)
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
            fillers: w.runs.values().filter(|r| r.fills).count() as u32,
            same: same as u32,
            suspect: w.sound.verdict(now) != Verdict::Sound,
            demand: 0,
        })
    }

    /// Starts tasks of one step; those of a gang share a run.
    fn start_all(&mut self, key: &StepKey, step: &Step, chosen: &[(u32, WorkerNo)], now: Time) {
        if chosen.is_empty() {
            return;
        }
        let allowed: Vec<u32> =
            chosen.iter().filter(|(_, no)| self.allowed(*no, now)).map(|c| c.0).collect();
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let floor = if job.old {
            u32::try_from((self.setup.token - 1) * RUNS).unwrap_or(u32::MAX / 2)
        } else {
            0
        };
        let last = |i: u32, job: &mut super::jobs::Active| {
            job.task(&TaskKey { step: *key, index: i }).map_or(0, |t| t.run)
        };
        let gang = step.gang.then(|| (0..step.count).map(|i| last(i, job)).max().unwrap_or(0));
        let mut all = vec![];
        for (index, no) in chosen.iter().filter(|c| gang.is_some() || allowed.contains(&c.0)) {
            let run = gang.unwrap_or_else(|| last(*index, job)).max(floor) + 1;
            all.push((TaskKey { step: *key, index: *index }, *no, run));
        }
        self.tell_start(key, &all, now);
        for (task, no, run) in all {
            self.start(task, no, run, step, now);
        }
        self.review(key.job, now);
    }

    fn start(&mut self, task: TaskKey, no: WorkerNo, run: u32, step: &Step, now: Time) {
        let yields = self.yields(&task.step, step);
        let worker = &mut self.workers[no.0];
        let Some(until) = worker.lease(&self.setup.bounds, now) else { return };

        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let part = job.parts.get(&(task.step.time, task.step.step));
        let ticket = part.and_then(|p| p.tickets.good.get(&worker.id)).map(|t| t.0.clone());
        let text = job.job.text.clone();
        job.put(&task, At::There(no));
        let Some(t) = job.task(&task) else { return };
        t.run = run;
        let saved = t.saved.clone();
        worker.add(
            task,
            Run {
                run,
                size: step.counted(),
                blind: false,
                phase: Phase::Starting,
                sent: now,
                known: None,
                began: now,
                tries: 1,
                percent: (0, 0),
                saved: saved.clone(),
                load: 0,
                pace: 100,
                target: step.target,
                fills: step.fills,
                yields,
                estimate: Duration::from_millis(step.estimate),
                mark: (now, 0),
            },
        );
        let start = Start { task, run, text, until, token: self.setup.token, saved, ticket };
        self.out.push(Order::Worker {
            worker: worker.id.clone(),
            addr: worker.addr,
            call: Box::new(WorkerCall::Start(start)),
            limit: ORDER,
        });
    }

    /// Forgets jobs that have been over for long; the store's rows go with the next write.
    pub(super) fn trim(&mut self, now: Time) {
        let unix = self.unix(now);
        let old = millis(self.setup.bounds.keep) * 2;
        if self.purge.front().is_some_and(|(at, _)| at + old < unix) {
            log::warn!(target: "shard", "Shard {} is behind with its clean-up.", self.setup.shard);
        }
    }
}
