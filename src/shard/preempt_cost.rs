//! Preemption in deployments with customers: runs are stopped only if that costs less than it
//! gains. [`crate::decide::headroom`] has the decision.
//!
//! The capacity that becomes free by itself is computed once per round for each worker. Steps that
//! wait for it are counted against it in the order of the round, so that no two of them rely on the
//! end of the same run.

use {
    crate::{
        decide::{
            fit::Room,
            headroom::{
                CheckpointAge, Gain, StopCost, Victim, max_preemptions, preemption_pays,
                tolerable_wait,
            },
            rank::job_objective,
        },
        shard::{
            customer_cap::CustomerNo,
            preempt::max_slots,
            prefetch::expected_end,
            reservation::GangReservation,
            round::{Releases, Round, Turn},
            state_machine::Shard,
            workers::{Run, RunPhase, WorkerNo, millis},
        },
        time::Time,
        units::Size,
        work::{Step, StepKey, TaskKey},
    },
    std::{cmp::Reverse, collections::BinaryHeap, time::Duration},
};

/// How long a long-running task may wait for runs to end, of the 6 s within which it must run
/// again: the advice call and the stop take up to 4 s.
const LONG_RUNNING_SLACK: Duration = Duration::from_secs(2);

/// A run that is stopped for more urgent work.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlannedStop {
    pub no: WorkerNo,
    pub task: TaskKey,
    pub cost: StopCost,
    pub size: Size,
}

/// A worker at which runs may be stopped for a step.
struct StopSource {
    no: WorkerNo,
    /// The resources that will be free in time without a stop.
    free: Size,
    /// The resources that others use of these.
    claimed: Size,
    /// The runs that may be stopped, those that lose most first.
    victims: Vec<(Victim, PlannedStop)>,
    /// How many tasks of the step may still be placed there.
    slots: u64,
}

impl StopSource {
    /// Returns the stops that free the room of one more task, if there is a way.
    fn next_slot(&mut self, need: &Size) -> Option<Vec<PlannedStop>> {
        self.slots = self.slots.checked_sub(1)?;
        self.claimed += *need;
        let mut stops = vec![];
        while !self.claimed.fits(&self.free) {
            let (_, stop) = self.victims.pop()?;
            self.free += stop.size;
            stops.push(stop);
        }
        Some(stops)
    }
}

/// Returns the cost of a group of stops for a task of this size.
fn combined_cost(stops: &[PlannedStop], need: &Size) -> StopCost {
    let each: Vec<(StopCost, Size)> = stops.iter().map(|s| (s.cost, s.size)).collect();
    StopCost::combined(&each, need)
}

impl Shard {
    /// Returns whether stops are decided by their cost.
    pub(super) fn weighs_stop_cost(&self) -> bool {
        self.queues.customers.is_some()
    }

    /// Returns the latest end of a step's runs at which its job is still in time.
    pub(super) fn latest_end(&self, key: &StepKey) -> Time {
        let find = || {
            let job = self.jobs.get(&key.job)?;
            let queue = self.queue_configs.get(&job.queue)?;
            let objective = job_objective(queue, job.objective_time(key.time));
            let estimate = Duration::from_millis(job.step(key)?.estimate);
            let chain = job.chain_lengths.get(usize::from(key.step)).copied().unwrap_or_default();
            let due = job.submitted_ms.max(job.due_ms(key.time)).saturating_add(millis(objective));
            let end = due.saturating_sub(millis(chain.saturating_sub(estimate)));
            Some(Time::from_millis(end.saturating_sub(self.setup.unix_ms).min(u64::MAX / 1_000)))
        };
        find().unwrap_or(Time::NEVER)
    }

    /// Returns whether a task has been stopped as often as it may be.
    pub(super) fn is_stopped_too_often(&self, task: &TaskKey, step: &Step) -> bool {
        let part = self.step_state(&task.step);
        let state = part.and_then(|p| p.tasks.get(task.index as usize));
        let most = max_preemptions(Duration::from_millis(step.estimate));
        self.weighs_stop_cost() && state.is_some_and(|t| t.preemptions >= most)
    }

    /// Returns how long a step can wait and still end in time; `None` if it can't be in time.
    pub(super) fn step_slack(&self, key: &StepKey, now: Time) -> Option<Duration> {
        let rank = self.ranks.get(key).filter(|r| r.class() == 0)?;
        let job = self.jobs.get(&key.job)?;
        if job.step(key)?.lasts {
            let waited = self.step_state(key)?.ready_since.map_or(Duration::ZERO, |t| now - t);
            let left = LONG_RUNNING_SLACK.saturating_sub(waited);
            return Some(left.max(self.setup.bounds.stop_time));
        }
        let chain = job.chain_lengths.get(usize::from(key.step)).copied().unwrap_or_default();
        let end = self.unix_ms(now).saturating_add(millis(chain));
        rank.due_ms().checked_sub(end).map(Duration::from_millis)
    }

    /// Returns the time until which a step with this slack waits for room that becomes free without
    /// further stops. A stop takes `stop_time`, so room that is free by then is never too late. An
    /// earlier time would leave out the runs that are stopping already, and stop others as well.
    fn room_deadline(&self, slack: Duration, now: Time) -> Time {
        now + tolerable_wait(slack).max(self.setup.bounds.stop_time)
    }

    /// Returns the cost of stopping a run, and what decides whether it is stopped rather than
    /// others.
    fn victim(&self, run: &Run, now: Time) -> Victim {
        let bounds = &self.setup.bounds;
        let age = CheckpointAge {
            since_checkpoint: now - run.checkpoint_at,
            since_checkpoint_at_report: run.reported_at - run.checkpoint_at,
            has_checkpoint: !run.checkpoint.is_empty(),
        };
        let cost = StopCost::of_run(
            bounds.stop_time,
            bounds.restore_time,
            bounds.checkpoint_interval,
            age,
        );
        let ends_at = expected_end(run, now).max(now);
        Victim { cost, ends_at, due_at: run.due_at, percent: run.progress_percent.1 }
    }

    /// Returns the runs of a worker that may be stopped for work of this priority and would not end
    /// by themselves until `by`, those that lose most first; only runs of `customer` if it is given.
    fn victims(
        &self,
        no: WorkerNo,
        customer: Option<CustomerNo>,
        priority: u8,
        by: Time,
        now: Time,
    ) -> Vec<(Victim, PlannedStop)> {
        let worker = &self.workers[no.0];
        // A worker that is being emptied goes down for upkeep once its remaining runs have stopped,
        // so they are not stopped for other work.
        if worker.is_draining() {
            return vec![];
        }
        let may = |r: &Run| {
            r.phase == RunPhase::Running
                && r.preempt_priority.is_some_and(|p| p > priority)
                && (customer.is_none() || r.customer == customer)
        };
        let candidates = worker.runs.iter().filter(|(_, r)| may(r));
        let mut all: Vec<_> = candidates
            .map(|(task, r)| {
                let victim = self.victim(r, now);
                (victim, PlannedStop { no, task: *task, cost: victim.cost, size: r.size })
            })
            .filter(|(v, _)| v.ends_at > by && !v.becomes_late())
            .collect();
        all.sort_unstable_by_key(|(v, s)| Reverse((v.loss(), s.task)));
        all
    }

    /// Returns the expected ends of a worker's runs, which are computed once per round.
    fn round_releases(&self, no: WorkerNo, round: &mut Round, now: Time) -> Releases {
        if let Some(known) = &round.releases[no.0] {
            return known.clone();
        }
        let all: Releases = self.expected_releases(no, None, now).into();
        round.releases[no.0] = Some(all.clone());
        all
    }

    /// Returns the earliest times at which `count` tasks of a step are expected to have room without
    /// a stop, and the workers.
    fn earliest_room(
        &self,
        turn: &Turn,
        count: usize,
        good: &[Room],
        round: &mut Round,
        now: Time,
    ) -> Vec<(Time, WorkerNo)> {
        let size = turn.step.reserved();
        let asker = self.requester(turn, round, false, now);
        let mut offers = vec![];
        for room in good {
            let no = WorkerNo(room.index);
            let claimed = round.unavailable(no, &asker) + round.awaited[no.0];
            let most = max_slots(turn.step.apart, room).min(count as u64);
            let releases = self.round_releases(no, round, now);
            let (mut free, mut known) = (self.workers[no.0].free(), 0);
            let ends = [(now, Size::default())].into_iter().chain(releases.iter().copied());
            for (at, freed) in ends {
                free += freed;
                let slots = size.count(&free.saturating_sub(&claimed)).min(most);
                offers.extend((known..slots).map(|_| (at, no)));
                known = slots.max(known);
                if known == most {
                    break;
                }
            }
        }
        offers.sort_unstable();
        offers.truncate(count);
        offers
    }

    /// Stops runs for the waiting tasks of a step if that pays, and returns the workers that will
    /// have room for some of the tasks within the time that a stop takes.
    ///
    /// A step in one wave gains only if all its tasks start in time, so nothing is stopped for a part
    /// of them.
    pub(super) fn preempt_by_cost(
        &mut self,
        turn: &Turn,
        count: usize,
        good: &[Room],
        round: &mut Round,
        now: Time,
    ) -> Vec<WorkerNo> {
        let Some(slack) = self.step_slack(turn.key, now) else { return vec![] };
        let size = turn.step.reserved();
        let (by, soon) = (self.room_deadline(slack, now), now + self.setup.bounds.stop_time);
        let offers = self.earliest_room(turn, count, good, round, now);
        let in_time = offers.partition_point(|o| o.0 <= by);
        let expected_wait =
            if offers.len() < count { Duration::MAX } else { offers[count - 1].0 - now };
        let (missing, gain) = (count - in_time, Gain { expected_wait, slack });
        let stops = match missing {
            0 => vec![],
            _ => self.plan_stops(turn, missing, good, &offers[..in_time], gain, round, now),
        };
        let mut places = vec![];
        for (at, no) in offers.into_iter().take(if stops.is_empty() { count } else { in_time }) {
            match () {
                // The caller requests tickets for room that is free now.
                () if at <= now => {}
                () if at <= soon => places.push(no),
                () => round.awaited[no.0] += size,
            }
        }
        for (no, slot) in stops {
            for stop in slot {
                self.preempt_run(&stop, ("urgent", "more urgent work"), now);
            }
            round.releases[no.0] = None;
            places.push(no);
        }
        places
    }

    /// Returns the stops that make room for `count` tasks of a step, for each task the worker and its
    /// stops, the cheapest first; none if that doesn't pay.
    #[expect(clippy::too_many_arguments, reason = "the state of one search")]
    fn plan_stops(
        &self,
        turn: &Turn,
        count: usize,
        good: &[Room],
        in_time: &[(Time, WorkerNo)],
        gain: Gain,
        round: &mut Round,
        now: Time,
    ) -> Vec<(WorkerNo, Vec<PlannedStop>)> {
        let (size, by) = (turn.step.reserved(), self.room_deadline(gain.slack, now));
        let asker = self.requester(turn, round, false, now);
        let (mut sources, mut next) = (vec![], BinaryHeap::new());
        for room in good {
            let no = WorkerNo(room.index);
            let victims = self.victims(no, None, turn.priority, by, now);
            if victims.is_empty() {
                continue;
            }
            let releases = self.round_releases(no, round, now);
            let free = releases.iter().take_while(|r| r.0 <= by);
            let own = in_time.iter().filter(|o| o.1 == no).count() as u64;
            let mut source = StopSource {
                no,
                free: free.fold(self.workers[no.0].free(), |sum, r| sum + r.1),
                claimed: round.unavailable(no, &asker) + round.awaited[no.0] + size.times(own),
                victims,
                slots: max_slots(turn.step.apart, room).saturating_sub(own),
            };
            if let Some(stops) = source.next_slot(&size) {
                let cost = combined_cost(&stops, &size);
                next.push(Reverse((cost.total(), sources.len())));
                sources.push((source, stops, cost));
            }
        }
        let mut chosen = vec![];
        while chosen.len() < count
            && let Some(Reverse((_, at))) = next.pop()
        {
            let (source, stops, cost) = &mut sources[at];
            if !preemption_pays(*cost, gain) {
                break;
            }
            chosen.push((source.no, std::mem::take(stops)));
            if let Some(more) = source.next_slot(&size) {
                (*cost, *stops) = (combined_cost(&more, &size), more);
                next.push(Reverse((cost.total(), at)));
            }
        }
        if chosen.len() < count && self.is_all_or_nothing(turn) {
            return vec![];
        }
        chosen
    }

    /// Returns whether a step gains from stops only if all its tasks start in time.
    fn is_all_or_nothing(&self, turn: &Turn) -> bool {
        let job = self.jobs.get(&turn.key.job);
        let waves = job.and_then(|j| j.waves.get(usize::from(turn.key.step)).copied());
        turn.step.gang || (!turn.step.lasts && waves.is_none_or(|w| w <= 1))
    }

    /// Stops runs of a customer for a step that its cap holds back, if that pays.
    pub(super) fn preempt_for_cap_by_cost(
        &mut self,
        turn: &Turn,
        customer: CustomerNo,
        short: Size,
        round: &mut Round,
        now: Time,
    ) {
        let Some(slack) = self.step_slack(turn.key, now) else { return };
        // A stop would come too late, so the search is left to other steps.
        if slack < self.setup.bounds.stop_time || !round.try_deep_search(false) {
            return;
        }
        let by = self.room_deadline(slack, now);
        let withheld = round.cap_withheld.get(&customer).copied().unwrap_or_default();
        let wanted = short + withheld;
        let (mut ends, mut victims) = (vec![], vec![]);
        for no in (0..self.workers.len()).map(WorkerNo) {
            let of_customer = |r: &&Run| r.customer == Some(customer);
            let runs = &self.workers[no.0].runs;
            if !runs.values().any(|r| of_customer(&r)) {
                continue;
            }
            for (task, run) in runs.iter().filter(|(_, r)| of_customer(r)) {
                match run.phase {
                    RunPhase::Stopping => {
                        ends.push((run.sent_at + self.setup.bounds.stop_time, run.charge));
                    }
                    _ if self.is_long_running(task) => {}
                    _ => ends.push((expected_end(run, now).max(now), run.charge)),
                }
            }
            let own = self.victims(no, Some(customer), turn.priority, by, now);
            victims.extend(own.into_iter().filter_map(|(v, stop)| {
                Some((v, PlannedStop { size: runs.get(&stop.task)?.charge, ..stop }))
            }));
        }
        ends.sort_unstable_by_key(|e| e.0);
        let (mut freed, mut free_in_time, mut fits_at) = (Size::default(), Size::default(), None);
        for (at, charge) in ends {
            freed += charge;
            if at <= by {
                free_in_time = freed;
            }
            if wanted.fits(&freed) {
                fits_at = Some(at);
                break;
            }
        }
        if fits_at.is_some_and(|at| at <= by) {
            return;
        }
        victims.sort_unstable_by_key(|(v, s)| (v.loss(), s.task));
        let mut stops = vec![];
        for (_, stop) in victims {
            if wanted.fits(&free_in_time) {
                break;
            }
            free_in_time += stop.size;
            stops.push(stop);
        }
        let expected_wait = fits_at.map_or(Duration::MAX, |at| at - now);
        let pays = preemption_pays(combined_cost(&stops, &short), Gain { expected_wait, slack });
        // A step wider than the cap runs in several waves.
        let whole = turn.step.size.times(turn.step.count.into());
        let in_one_wave = whole.fits(&self.caps.customers[customer.0].cap);
        let all_or_nothing = in_one_wave && self.is_all_or_nothing(turn);
        if !pays || (all_or_nothing && !wanted.fits(&free_in_time)) {
            return;
        }
        for stop in stops {
            round.releases[stop.no.0] = None;
            self.preempt_run(&stop, ("cap", "more urgent work under its customer's cap"), now);
        }
    }

    /// Stops runs on the workers reserved for a gang if that pays, given the time at which they are
    /// expected to have room without a stop. Returns the time at which they have room then.
    pub(super) fn preempt_for_gang(
        &mut self,
        turn: &Turn,
        reserve: &GangReservation,
        room_at: Option<Time>,
        round: &Round,
        now: Time,
    ) -> Option<Time> {
        let slack = self.step_slack(turn.key, now)?;
        let expected_wait = room_at.map_or(Duration::MAX, |t| t - now);
        if expected_wait <= tolerable_wait(slack) {
            return None;
        }
        let (mut stops, mut size) = (vec![], Size::default());
        for (no, count) in &reserve.members {
            let need = reserve.size.times((*count).into());
            let wanted = need + round.withheld_before(*no, turn.key);
            stops.extend(self.gang_stops(*no, wanted, reserve.priority, now)?);
            size += need;
        }
        if stops.is_empty()
            || !preemption_pays(combined_cost(&stops, &size), Gain { expected_wait, slack })
        {
            return None;
        }
        for stop in stops {
            self.preempt_run(&stop, ("gang", "room for a gang"), now);
        }
        Some(now + self.setup.bounds.stop_time)
    }

    /// Returns the stops that free the resources `wanted` of a worker for a gang; `None` if there
    /// are too few runs that may be stopped.
    fn gang_stops(
        &self,
        no: WorkerNo,
        wanted: Size,
        priority: u8,
        now: Time,
    ) -> Option<Vec<PlannedStop>> {
        let soon = now + self.setup.bounds.stop_time;
        let mut source = StopSource {
            no,
            free: self.free_by(no, None, soon, now),
            claimed: Size::default(),
            victims: self.victims(no, None, priority, soon, now),
            slots: 1,
        };
        source.next_slot(&wanted)
    }

    /// Stops a run for more urgent work, and counts the stop by its cause: a label and a text.
    pub(super) fn preempt_run(
        &mut self,
        stop: &PlannedStop,
        (label, text): (&'static str, &str),
        now: Time,
    ) {
        let PlannedStop { no, task, cost, size } = *stop;
        self.log_stop(no, &task, text);
        let cost_ms = millis(cost.total());
        log::debug!(target: "shard", did = "preempt", job:% = task.step.job, task:% = task, cause = label, cost_ms, lost_ms = millis(cost.lost_work), size:% = size; "Run is preempted.");
        *self.stats.preemptions.entry(label).or_default() += 1;
        self.stats.preemption_cost += cost.total().as_secs_f64() * size.cores.0 as f64 / 1_000.0;
        let state = self.jobs.get_mut(&task.step.job).and_then(|j| j.task(&task));
        if let Some(state) = state {
            state.preemptions = state.preemptions.saturating_add(1);
        }
        self.stop_run(no, &task, now);
    }

    /// Returns the planned stop of a run that was chosen without regard to its cost.
    pub(super) fn unweighed_stop(&self, no: WorkerNo, task: &TaskKey, now: Time) -> PlannedStop {
        let run = self.workers[no.0].runs.get(task);
        let (cost, size) = run.map(|r| (self.victim(r, now).cost, r.size)).unwrap_or_default();
        PlannedStop { no, task: *task, cost, size }
    }
}
