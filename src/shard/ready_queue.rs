//! The ready queue: the steps that have a task to start, in the order in which rounds examine them.
//!
//! More steps may wait than there is room for, some of them for a long time. The order is that of
//! [`crate::decide::rank`], except for steps that would never start by it, such as large tasks that
//! only one or two workers may run. These starving steps come first.

use {
    crate::{
        decide::{
            fit::Room,
            rank::{JobTiming, Rank, rank, round_count},
            utility::{RatioHistory, Ratios, Stake, task_work},
        },
        shard::{
            dispatch::MAX_ROUND_STEPS,
            jobs::{ActiveJob, Placement},
            preempt::MIN_ROOM_WAIT,
            round::{Round, Turn},
            state_machine::Shard,
            workers::{Run, RunPhase, WorkerNo},
        },
        time::Time,
        units::Size,
        work::{JobNo, Step, StepKey, TaskKey},
    },
    rustc_hash::FxHashSet,
    std::{cmp::Reverse, time::Duration},
};

/// The minimum wait after which a step counts as starving: first in an underused pool, then in a
/// busy pool, where only steps count that are too late to have any value.
const MIN_STARVING_WAIT: (Duration, Duration) = (Duration::from_secs(4), Duration::from_secs(30));
/// The maximum number of starving steps, other than long-running ones, that come first in a round.
const MAX_STARVING_STEPS: usize = 3;
/// The time for which a long-running task may be away before its step comes first: a third of the
/// 6 s within which it must run again, since an advice call takes up to 2 s and freeing capacity
/// takes another 2 s.
const AWAY_LIMIT: Duration = Duration::from_secs(2);
/// The maximum number of steps with an away long-running task that come first in a round: a quarter
/// of the steps that a round examines, since each of them requires a look at all runs on the
/// workers that may run it.
const MAX_AWAY_STEPS: usize = MAX_ROUND_STEPS / 4;

/// Returns the work of the tasks of an occurrence that are not done.
fn remaining_work(job: &ActiveJob, time: u32) -> f64 {
    let steps = job.step_states.range((time, 0)..=(time, u16::MAX));
    let work = |step: u16| job.task_works.get(usize::from(step)).copied().unwrap_or_default();
    steps.map(|((_, step), state)| f64::from(state.unfinished_count) * work(*step)).sum()
}

impl Shard {
    /// Updates which steps of a job are ready, and their ranks.
    pub(super) fn update_ready(&mut self, no: JobNo, now: Time) {
        self.compute_waves(no);
        self.update_quota(no, now);
        let Some(job) = self.jobs.get(&no) else { return };
        let (Some(queue), Some(pool)) = (self.queue_configs.get(&job.queue), &job.pool) else {
            return;
        };
        let unix = self.unix_ms(now);
        let ratios = self.run_ratios(&job.queue);
        let (mut ranks, mut work): (Vec<(StepKey, Option<Rank>)>, _) = (vec![], (None, 0.0));
        for ((time, step), step_state) in &job.step_states {
            let key = StepKey { job: no, time: *time, step: *step };
            let Some(s) = job.step(&key) else { continue };
            let whole = !s.gang || step_state.waiting_count == s.count;
            let open = step_state.waiting_count > 0
                && whole
                && !job.state.is_final()
                && job.is_unblocked(*time, *step);
            if ratios.is_some() && work.0 != Some(*time) {
                work = (Some(*time), remaining_work(job, *time));
            }
            let facts = JobTiming {
                arrived_ms: job.submitted_ms.max(job.due_ms(*time)),
                critical_path: job.objective_time(*time),
                remaining_time: job
                    .chain_lengths
                    .get(usize::from(*step))
                    .copied()
                    .unwrap_or_default(),
                long_running: s.lasts,
                stake: ratios.map(|ratios| Stake { ratios, work: work.1 }),
            };
            let standing = || self.standing(job, &key, pool);
            ranks.push((key, open.then(|| rank(queue, facts, standing(), unix))));
        }
        for (key, rank) in ranks {
            match rank {
                Some(rank) => self.make_ready(key, rank, now),
                None => self.unready(&key),
            }
        }
    }

    /// Computes how many successive waves each step's tasks need, and with customers the work of a
    /// task of each step, once the workers are known.
    fn compute_waves(&mut self, no: JobNo) {
        let by_value = self.queues.customers.is_some();
        let missing = |j: &ActiveJob| {
            j.waves.is_empty() || (by_value && j.task_works.len() < j.job.steps.len())
        };
        let Some(job) = self.jobs.get_mut(&no).filter(|j| missing(j)) else { return };
        let Some(pool) = job.pool.as_ref().and_then(|p| self.pools.get(p)) else { return };
        let listed = pool.iter().filter_map(|n| self.workers[n.0].list_entry.as_ref());
        let sizes: Vec<Size> = listed.map(|l| l.capacity).collect();
        let room = |s: &Step| {
            sizes.iter().fold(0, |sum: u64, size| sum.saturating_add(s.reserved().count(size)))
        };
        if job.waves.is_empty() {
            job.waves = job.job.steps.iter().map(|s| round_count(s.count, room(s))).collect();
        }
        if !by_value {
            return;
        }
        let total = sizes.iter().fold(Size::default(), |sum, s| sum.saturating_add(s));
        let work = |s: &Step| task_work(&s.reserved(), &total, Duration::from_millis(s.estimate));
        job.task_works = job.job.steps.iter().map(work).collect();
    }

    /// Returns the ratios of observed to estimated run time of a queue; `None` if the deployment has
    /// no customers.
    pub fn run_ratios(&self, queue: &str) -> Option<Ratios> {
        self.queues.customers.as_ref()?;
        Some(self.ratio_histories.get(queue).map(RatioHistory::ratios).unwrap_or_default())
    }

    /// Records the run time of a step whose last task was done by a run of this duration.
    pub(super) fn record_step_time(&mut self, key: &StepKey, last: Duration) {
        let (Some(job), Some(_)) = (self.jobs.get(&key.job), &self.queues.customers) else {
            return;
        };
        let (Some(step), Some(state)) = (job.step(key), self.step_state(key)) else { return };
        if state.unfinished_count > 0 || step.fills || step.lasts {
            return;
        }
        let longest = state.run_durations.last().copied().unwrap_or_default().max(last);
        let estimate = Duration::from_millis(step.estimate);
        let history = self.ratio_histories.entry(job.queue.clone()).or_default();
        if history.record(longest, estimate) {
            let Ratios { low, high } = history.ratios();
            log::info!(target: "shard", did = "ratios", shard:% = self.setup.shard, queue = &*job.queue, low, high; "Run times differ from the estimates by other ratios than before.");
        }
    }

    fn make_ready(&mut self, key: StepKey, rank: Rank, now: Time) {
        match self.ranks.insert(key, rank) {
            Some(old) if old == rank => return,
            Some(old) => drop(self.ready.remove(&(old, key))),
            None => {
                if let Some(step_state) = self
                    .jobs
                    .get_mut(&key.job)
                    .and_then(|j| j.step_states.get_mut(&(key.time, key.step)))
                {
                    step_state.ready_since.get_or_insert(now);
                }
                self.round_due = true;
            }
        }
        self.ready.insert((rank, key));
    }

    /// Removes a step from the ready queue.
    pub(super) fn unready(&mut self, key: &StepKey) {
        if let Some(rank) = self.ranks.remove(key) {
            self.ready.remove(&(rank, *key));
        }
    }

    /// Removes a step from the ready queue if all its tasks are placed.
    pub(super) fn unready_if_placed(&mut self, key: &StepKey) {
        let step_state =
            self.jobs.get(&key.job).and_then(|j| j.step_states.get(&(key.time, key.step)));
        if step_state.is_none_or(|p| p.waiting_count == 0) {
            self.unready(key);
        }
    }

    /// Recomputes the rank of all ready steps.
    pub(super) fn rerank_ready(&mut self, now: Time) {
        let jobs: FxHashSet<JobNo> = self.ranks.keys().map(|k| k.job).collect();
        for no in jobs {
            self.update_ready(no, now);
        }
    }

    /// Returns the steps that come first in this round: those with a long-running task that is
    /// away, then those that have waited too long. In an underused pool any step can be among the
    /// latter; in a busy pool only those that are too late to have any value.
    ///
    /// Without the first rule, a long-running task would stay away as long as more urgent work
    /// arrives: each new step could still be on time, goes first, and takes all capacity that
    /// becomes free.
    ///
    /// Without the second rule, a large task that only one or two workers may run would never
    /// start, because smaller tasks that are still of value to their queue take these workers again
    /// and again. In a busy pool the exception makes such tasks late, so the step waits longer
    /// there.
    pub(super) fn starving_steps(&self, round: &Round, now: Time) -> Vec<StepKey> {
        let (mut all, mut absent) = (vec![], vec![]);
        for (rank, key) in self.ready.iter().rev() {
            let Some(job) = self.jobs.get(&key.job) else { continue };
            if job.step(key).is_some_and(|s| s.lasts) {
                let since = self.away_since(key);
                absent.extend(since.filter(|t| *t + AWAY_LIMIT <= now).map(|t| (t, *key)));
                continue;
            }
            let quiet = job.pool.as_ref().is_some_and(|p| round.underused.contains(p));
            if !quiet && !rank.is_without_value() {
                continue;
            }
            let min_wait = if quiet { MIN_STARVING_WAIT.0 } else { MIN_STARVING_WAIT.1 };
            let step_state = job.step_states.get(&(key.time, key.step));
            if let Some(since) =
                step_state.and_then(|p| p.ready_since).filter(|t| *t + min_wait <= now)
            {
                all.push((since, *key));
            }
        }
        let first = |mut steps: Vec<(Time, StepKey)>, max_checked: usize, most: usize| {
            steps.sort_unstable();
            let keys = steps.into_iter().take(max_checked).map(|(_, key)| key);
            keys.filter(|key| self.can_ever_start(key, round, now)).take(most).collect::<Vec<_>>()
        };
        [
            first(absent, MAX_AWAY_STEPS, MAX_AWAY_STEPS),
            first(all, MAX_AWAY_STEPS, MAX_STARVING_STEPS),
        ]
        .concat()
    }

    /// Returns whether a step will have enough capacity after all runs that are not long-running
    /// have ended, as far as its workers are known.
    ///
    /// A step that waits for workers which do not exist yet must not come before all others.
    fn can_ever_start(&self, key: &StepKey, round: &Round, now: Time) -> bool {
        if self.is_cap_blocked(key) {
            return false;
        }
        let (Some(turn), Some(step_state)) = (self.turn(key, round, now), self.step_state(key))
        else {
            return false;
        };
        let asked = &step_state.tickets.asked_workers;
        let wanted = if turn.step.gang { u64::from(turn.step.count) } else { 1 };
        let more = turn.advice.is_some() && turn.usable.iter().any(|n| !asked.contains(n));
        more || self.eventual_slots(&turn) >= wanted
    }

    /// Returns how many tasks of a step fit on the workers that may run it, after all runs that are
    /// not long-running have ended.
    pub(super) fn eventual_slots(&self, turn: &Turn) -> u64 {
        let step = &turn.step;
        let slots = |no: WorkerNo| {
            let Some(listed) = &self.workers[no.0].list_entry else { return 0 };
            if step.needs.as_ref().is_some_and(|label| !listed.has_label(label)) {
                return 0;
            }
            let all = step.reserved().count(&self.eventual_free(no));
            match step.apart {
                0 => all,
                apart => all.min(apart.saturating_sub(self.task_count(no, turn.key)).into()),
            }
        };
        self.permitted_workers(turn).into_iter().fold(0, |sum, no| slots(no).saturating_add(sum))
    }

    /// Returns the time since which the longest-waiting task of a step has waited: the end of its
    /// last run, or else the time at which the step became ready.
    fn away_since(&self, key: &StepKey) -> Option<Time> {
        let step_state = self.step_state(key)?;
        let waiting = step_state.tasks.iter().filter(|t| t.placement == Placement::Waiting);
        waiting.filter_map(|t| t.ended_at.or(step_state.ready_since)).min()
    }

    /// Withholds room for a starving step, beginning with the workers that have most free, where its
    /// tasks can start once runs have ended.
    ///
    /// Room that other steps can use until then without delaying it stays free: what those runs
    /// release needn't be withheld. Two steps that need the same worker in turn would otherwise
    /// withhold more than it has, and small steps would wait beside it.
    pub(super) fn withhold_preferred(
        &self,
        turn: &Turn,
        good: &[Room],
        round: &mut Round,
        now: Time,
    ) {
        let Turn { key, ref step, .. } = *turn;
        if self.step_state(key).and_then(|p| p.ready_since).is_none_or(|t| t + MIN_ROOM_WAIT > now)
        {
            return;
        }
        let size = step.reserved();
        let mut all: Vec<&Room> = good.iter().collect();
        all.sort_by_key(|r| Reverse((r.free.accels, r.free.cores)));
        let mut left = turn.waiting.len();
        for room in all {
            let no = WorkerNo(room.index);
            let most = match step.apart {
                0 => room.max_new,
                apart => room.max_new.min(apart.saturating_sub(room.same_step)),
            };
            let releases = self.expected_releases(no, None, now);
            for _ in 0..most {
                if left == 0 {
                    return;
                }
                let claimed = round.claimed(no) + size;
                let Some(released) = self.release_for(no, &claimed, &releases) else { break };
                round.claim(no, size, &released);
                left -= 1;
            }
        }
    }

    /// Returns what runs of a worker release until it has room for `size`; `None` if it will not.
    fn release_for(&self, no: WorkerNo, size: &Size, releases: &[(Time, Size)]) -> Option<Size> {
        let free = self.workers[no.0].free();
        let mut released = Size::default();
        let mut next = releases.iter();
        while !size.fits(&(free + released)) {
            released += next.next()?.1;
        }
        Some(released)
    }

    /// Returns the resources of a worker that long-running tasks do not use.
    pub(super) fn eventual_free(&self, no: WorkerNo) -> Size {
        let worker = &self.workers[no.0];
        let stays =
            |(t, r): &(&TaskKey, &Run)| r.phase != RunPhase::Stopping && self.is_long_running(t);
        let stay = worker.runs.iter().filter(stays).map(|(_, r)| r.size).sum();
        worker.list_entry.as_ref().map_or(Size::default(), |l| l.capacity.saturating_sub(&stay))
    }
}
