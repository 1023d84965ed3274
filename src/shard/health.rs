//! Derives the health of a worker from its runs: failures, speed, runs without progress, and the
//! slowdown of serving tasks by fillers.

use {
    crate::{
        decide::{health::is_stuck, pace},
        ports::{EndReason, EndedRun, WorkerCall},
        shard::{
            event::Order,
            orders::ORDER_TIMEOUT,
            state_machine::Shard,
            workers::{FULL_PACE_PERCENT, FULL_PROGRESS_PERCENT, Run, RunPhase, WorkerNo},
        },
        time::Time,
        work::TaskKey,
    },
    std::time::Duration,
};

/// Minimum interval between two progress reports of a run that are compared.
const MIN_READING_INTERVAL: Duration = Duration::from_millis(2200);
/// Minimum number of completed runs of a step from which the expected duration of a run is
/// estimated.
pub(super) const MIN_DURATION_SAMPLES: usize = 3;
/// Minimum expected duration of a run from which a worker's speed is measured; in shorter runs, the
/// transit time of orders distorts the result.
const MIN_MEASURED_RUN: Duration = Duration::from_millis(200);

impl Shard {
    /// Updates a worker's health from the outcome of a run.
    pub(super) fn record_outcome(&mut self, no: WorkerNo, end: &EndedRun, run: &Run, now: Time) {
        let key = end.task.step;
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let before = job.failures();
        let Some(step) = job.step(&key) else { return };
        let plain = !step.gang && !step.fills && !step.lasts && run.progress_percent.0 == 0;
        let full_run = plain && run.checkpoint.is_empty() && run.pace == Some(FULL_PACE_PERCENT);
        let health = &mut self.workers[no.0].health;
        match end.reason {
            EndReason::Failed => health.record_end(key.job, false, before, now),
            EndReason::Done => {
                health.record_end(key.job, true, before, now);
                let duration = now - run.started_at;
                if let (true, Some(part)) = (plain, job.step_states.get_mut(&(key.time, key.step)))
                {
                    if let Some(expected) = part
                        .expected_duration(MIN_DURATION_SAMPLES)
                        .filter(|e| *e >= MIN_MEASURED_RUN)
                    {
                        health.record_speed(
                            expected.as_secs_f64() / duration.as_secs_f64().max(0.01),
                            now,
                        );
                    }
                    if full_run || run.progress_percent.0 == 0 {
                        part.add_duration(duration);
                    }
                }
            }
            _ => {}
        }
    }

    /// Stops a run that makes no progress, or is so slow that another run elsewhere would finish
    /// sooner.
    pub(super) fn stop_if_stuck(&mut self, no: WorkerNo, task: &TaskKey, now: Time) {
        let key = task.step;
        let Some(job) = self.jobs.get(&key.job) else { return };
        let Some(step) = job.step(&key) else { return };
        if step.lasts {
            return self.count_uptime(no, task, now);
        }
        if step.fills || step.gang {
            return;
        }
        let peers = job
            .step_states
            .get(&(key.time, key.step))
            .and_then(|p| p.expected_duration(MIN_DURATION_SAMPLES));
        let Some(run) = self.workers[no.0].runs.get_mut(task) else { return };
        let elapsed = now - run.earlier_report.0;
        if run.phase != RunPhase::Running || elapsed < MIN_READING_INTERVAL {
            return;
        }
        let expected = peers.unwrap_or(run.estimate);
        let (previous, percent) = (run.earlier_report.1, run.progress_percent.1);
        if percent > previous {
            run.earlier_report = (now, percent);
        }
        if is_stuck(previous, percent, elapsed, expected, step.saves) {
            if self.copy_may_replace(no, task, now) {
                return self.workers[no.0].health.record_speed(0.0, now);
            }
            let Some(run) = self.workers[no.0].runs.get(task) else { return };
            log::info!(target: "shard", did = "stop", job:% = key.job, task:% = task, run = run.run, percent, since_ms = super::workers::millis(elapsed), expected_ms = super::workers::millis(expected), cause = "stands still"; "Run is stopped.");
            let health = &mut self.workers[no.0].health;
            health.record_speed(0.0, now);
            self.stop_run(no, task, now);
        }
    }

    /// Counts the time for which a long-running task has been fully running as evidence that its
    /// worker is healthy.
    fn count_uptime(&mut self, no: WorkerNo, task: &TaskKey, now: Time) {
        let worker = &mut self.workers[no.0];
        let working = |r: &&Run| {
            r.phase == RunPhase::Running && r.progress_percent.1 >= FULL_PROGRESS_PERCENT
        };
        if let Some(began) = worker.runs.get(task).filter(working).map(|r| r.started_at) {
            worker.health.record_running(began, now);
        }
    }

    /// Sets the pace of a worker's fillers according to the tail latency of its serving tasks.
    pub(super) fn adjust_filler_pace(&mut self, no: WorkerNo, now: Time) {
        let worker = &mut self.workers[no.0];
        if !worker.runs.values().any(|r| r.is_filler) {
            return;
        }
        let ratio = |r: &Run| match r.tail_latency_ms {
            0 => pace::UNMEASURED_TAIL_RATIO,
            tail => tail as f64 / r.latency_target_ms as f64,
        };
        let serving = worker
            .runs
            .values()
            .filter(|r| r.latency_target_ms > 0 && r.phase != RunPhase::Stopping);
        let worst = serving.map(ratio).max_by(f64::total_cmp);
        let wanted = worker.pace.update(worst, now);
        let change =
            |r: &&Run| r.is_filler && r.phase == RunPhase::Running && r.pace != Some(wanted);
        let calls: Vec<WorkerCall> = worker
            .runs
            .iter()
            .filter(|(_, r)| change(r))
            .map(|(task, r)| WorkerCall::Pace {
                task: *task,
                run: r.run,
                percent: wanted,
                token: self.setup.token,
            })
            .collect();
        for call in calls {
            self.orders.push(Order::Worker {
                worker: worker.id.clone(),
                addr: worker.addr,
                call: Box::new(call),
                limit: ORDER_TIMEOUT,
            });
        }
    }
}
