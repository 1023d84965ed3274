//! The expected room on a rack, as one round sees it.

use {
    crate::{
        decide::ahead,
        shard::{
            advice::chunk_duration,
            gangs::MIN_REMAINING_TIME,
            preempt::MIN_ROOM_WAIT,
            rack_state::{RackForecast, Release},
            round::{Round, Turn},
            state_machine::Shard,
            workers::{Run, RunPhase, WorkerNo},
        },
        time::Time,
        units::Size,
        work::TaskKey,
    },
    std::time::Duration,
};

/// The maximum number of tasks that are assumed to fit on one worker. Tasks of size zero would fit
/// any number of times.
const MAX_SLOTS: u64 = 256;

/// Returns how many tasks of this size need at least the resources of `total`.
fn tasks_in(total: &Size, each: &Size) -> usize {
    let tasks = |total: u64, each: u64| if each == 0 { 0 } else { total.div_ceil(each) };
    let most = tasks(total.cores.0, each.cores.0)
        .max(tasks(total.memory.0, each.memory.0))
        .max(tasks(total.accels.0, each.accels.0));
    usize::try_from(most).unwrap_or(usize::MAX)
}

impl Shard {
    /// Computes the forecast of a rack if no earlier step of the round has needed it.
    pub(super) fn ensure_forecast(&self, turn: &Turn, rack: &str, round: &mut Round, now: Time) {
        let place = (turn.pool.clone(), Box::from(rack));
        if round.locality.racks.contains_key(&place) {
            return;
        }
        let on_rack = turn.usable.iter().filter(|n| self.is_on_rack(**n, rack));
        let releases = on_rack.map(|n| (*n, self.corrected_releases(*n, now))).collect();
        round.locality.racks.insert(place, RackForecast { releases, claimed: Size::default() });
    }

    /// Returns, in ascending order, the times until there is room on a rack for one more task of a
    /// step. Room that the step can use at once counts as 0. If `stops` is given, runs that may be
    /// stopped for work of that priority count as ending after a stop.
    pub(super) fn slot_waits(
        &self,
        turn: &Turn,
        rack: &str,
        stops: Option<u8>,
        round: &mut Round,
        now: Time,
    ) -> Vec<Duration> {
        self.ensure_forecast(turn, rack, round, now);
        let place = (turn.pool.clone(), Box::from(rack));
        let Some(forecast) = round.locality.racks.get(&place) else { return vec![] };
        let Some(state) = self.step_state(turn.key) else { return vec![] };
        let (size, step) = (turn.step.reserved(), &turn.step);
        let requester = self.requester(turn, round, false, now);
        let may_stop_at = state.ready_since.map_or(now, |t| t + MIN_ROOM_WAIT).max(now);
        let stopped = may_stop_at + self.setup.bounds.stop_time;
        let mut waits = vec![];
        for (no, releases) in &forecast.releases {
            let ticket = state.tickets.eligible.get(no);
            let earliest = match (turn.advice, ticket) {
                (None, _) => Duration::ZERO,
                (Some(_), None) => continue,
                (Some(_), Some((_, until))) if *until > now => Duration::ZERO,
                (Some(cost), Some(_)) => chunk_duration(cost),
            };
            let Some(room) = self.room(*no, turn.key, step, now) else { continue };
            let apart = step.apart.saturating_sub(room.same_step);
            let most = if step.apart > 0 { apart.min(room.max_new) } else { room.max_new };
            let kept = round.unavailable(*no, &requester);
            let (mut free, mut known) = (room.free, 0);
            let mut add = |wait: Duration, free: &Size| {
                let slots = size.count(&free.saturating_sub(&kept)).min(most.into()).min(MAX_SLOTS);
                waits.extend((known..slots).map(|_| wait.max(earliest)));
                known = slots.max(known);
            };
            add(Duration::ZERO, &free);
            let end = |r: &Release| match (stops, r.preempt_priority) {
                (Some(urgent), Some(priority)) if priority > urgent => r.at.min(stopped),
                _ => r.at,
            };
            let mut ends: Vec<(Time, Size)> = releases.iter().map(|r| (end(r), r.size)).collect();
            ends.sort_unstable_by_key(|e| e.0);
            for (at, freed) in ends {
                free += freed;
                add(self.locality.wait_error.corrected(at - now, now), &free);
            }
        }
        waits.sort_unstable();
        waits
    }

    /// Returns the times at which the runs of a worker should end, with estimates corrected by the
    /// run times of their kind.
    fn corrected_releases(&self, no: WorkerNo, now: Time) -> Vec<Release> {
        let ends = |(task, run): (&TaskKey, &Run)| {
            let end = match run.phase {
                RunPhase::Stopping => run.sent_at + self.setup.bounds.stop_time,
                _ => {
                    let job = self.jobs.get(&task.step.job)?;
                    let step = job.step(&task.step).filter(|s| !s.lasts)?;
                    let known = self.locality.run_times.expected(&job.queue, run.estimate);
                    ahead::expected_end(ahead::Progress {
                        started_at: run.started_at,
                        initial_percent: run.progress_percent.0,
                        percent: run.progress_percent.1,
                        checked_at: run.reported_at,
                        estimate: known.mul_f64(self.slowdown(&task.step, step, no)),
                    })
                }
            };
            let at = end.max(now + MIN_REMAINING_TIME);
            let running = run.phase == RunPhase::Running;
            let preempt_priority = run.preempt_priority.filter(|_| running);
            Some(Release { at, size: run.size, preempt_priority })
        };
        self.workers[no.0].runs.iter().filter_map(ends).collect()
    }

    /// Returns how many tasks of a step's size the work ahead of it takes of a rack's next room:
    /// what earlier steps wait for there, and the rack's part of what others need anywhere.
    pub(super) fn tasks_ahead(&self, turn: &Turn, rack: &str, round: &Round) -> usize {
        let place = (turn.pool.clone(), Box::from(rack));
        let Some(forecast) = round.locality.racks.get(&place) else { return 0 };
        let size = turn.step.reserved();
        let all = round.locality.unplaced.get(&turn.pool).copied().unwrap_or_default();
        let part = tasks_in(&all, &size).saturating_mul(forecast.releases.len());
        tasks_in(&forecast.claimed, &size).saturating_add(part / turn.usable.len().max(1))
    }
}
