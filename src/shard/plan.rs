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
            workers::{Phase, Run, WorkerNo, millis},
        },
        time::Time,
        units::Size,
        work::{JobNo, Step, StepKey, TaskKey},
    },
    rustc_hash::{FxHashMap, FxHashSet},
    std::{mem, time::Duration},
};

/// The most steps that one round looks at.
const LOOK: usize = 400;
/// How long a gang waits for room before room is kept for it.
const PATIENCE: Duration = Duration::from_millis(300);
/// The runs of a job that former owners may have started are numbered from here on, for each owner.
const RUNS: u64 = 1000;

/// What a round has found out about the pools.
#[derive(Default)]
struct Round {
    usable: FxHashMap<PoolId, Vec<WorkerNo>>,
    most: FxHashMap<PoolId, Size>,
    kept: FxHashSet<WorkerNo>,
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
            let most = usable.iter().fold(Size::default(), |m, n| m.max(&self.workers[n.0].free()));
            round.most.insert(pool.clone(), most);
            round.usable.insert(pool.clone(), usable);
        }
        let keys: Vec<StepKey> = self.ready.iter().take(LOOK).map(|(_, k)| *k).collect();
        for key in keys {
            self.place(&key, &mut round, now);
        }
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
        if !step.counted().fits(&round.most[&pool]) {
            if step.gang {
                self.keep_room(key, &step, &usable, round, now);
            }
            return;
        }
        let mut rooms = vec![];
        let mut stale = vec![];
        for no in usable.iter().copied().filter(|n| !round.kept.contains(n)) {
            let Some(room) = self.room(no, key, &step, now) else { continue };
            if advice.is_some() {
                match part.tickets.good.get(&self.workers[no.0].id) {
                    None => continue,
                    Some((_, until)) if *until <= now => {
                        if step.counted().fits(&room.free) {
                            stale.push(no);
                        }
                        continue;
                    }
                    Some(_) => {}
                }
            }
            rooms.push(room);
        }
        let waiting: Vec<u32> =
            (0..).zip(&part.tasks).filter(|(_, t)| t.at == At::Waiting).map(|(i, _)| i).collect();
        let mut chosen = vec![];
        for index in &waiting {
            let Some(at) = best(&step, &rooms) else { break };
            let room = &mut rooms[at];
            room.free = room.free.saturating_sub(&step.counted());
            room.same += 1;
            room.fillers += u32::from(step.fills);
            chosen.push((*index, WorkerNo(room.index)));
        }
        let short = chosen.len() < waiting.len();
        if step.gang && short {
            chosen.clear();
        }
        if short && let Some(cost) = advice {
            self.ask_again(key, &stale, &usable, cost, now);
        }
        if step.gang && short {
            return self.keep_room(key, &step, &usable, round, now);
        }
        self.start_all(key, &step, &chosen, now);
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
        })
    }

    /// Keeps the workers with the most room for a gang that has waited.
    ///
    /// Guards against a gang that waits for ever: each end frees room for one of its members at the
    /// most, and a step of smaller tasks behind it would take that at once.
    fn keep_room(
        &mut self,
        key: &StepKey,
        step: &Step,
        usable: &[WorkerNo],
        round: &mut Round,
        now: Time,
    ) {
        let Some(part) = self.jobs.get(&key.job).and_then(|j| j.parts.get(&(key.time, key.step)))
        else {
            return;
        };
        if part.ready.is_none_or(|t| t + PATIENCE > now) {
            return;
        }
        let size = step.counted();
        let good = |n: &&WorkerNo| {
            let w = &self.workers[n.0];
            !round.kept.contains(n)
                && (part.tickets.good.is_empty() || part.tickets.good.contains_key(&w.id))
                && w.listed.as_ref().is_some_and(|l| size.fits(&l.size))
        };
        let mut all: Vec<_> = usable.iter().filter(good).copied().collect();
        all.sort_by_key(|n| {
            let free = self.workers[n.0].free();
            std::cmp::Reverse((free.accels, free.cores))
        });
        let mut wanted = u64::from(step.count);
        for no in all {
            if wanted == 0 || round.kept.len() * 2 >= usable.len() {
                break;
            }
            let Some(listed) = &self.workers[no.0].listed else { continue };
            wanted = wanted.saturating_sub(size.count(&listed.size));
            round.kept.insert(no);
        }
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
