//! Starts tasks: numbers the runs, adds them to their workers and sends the orders to start them.

use {
    crate::{
        decide::crash::ISOLATION_TIME,
        ports::{Start, WorkerCall},
        shard::{
            event::Order,
            jobs::{ActiveJob, Placement},
            orders::ORDER_TIMEOUT,
            state_machine::Shard,
            workers::{FULL_PACE_PERCENT, Run, RunPhase, WorkerNo},
        },
        time::Time,
        work::{Step, StepKey, TaskKey},
    },
    std::time::Duration,
};

/// Number of run numbers set aside for each owner. In jobs of which former owners may have started
/// tasks, an owner's run numbers are thereby higher than those of former owners.
const RUNS_PER_OWNER: u64 = 1000;

impl Shard {
    /// Starts tasks of one step; the members of a gang share one run number.
    pub(super) fn start_tasks(
        &mut self,
        key: &StepKey,
        step: &Step,
        chosen: &[(u32, WorkerNo)],
        now: Time,
    ) {
        if chosen.is_empty() {
            return;
        }
        for (_, no) in chosen {
            let health = &mut self.workers[no.0].health;
            if health.allows_start(step.lasts, now) {
                health.record_start(now);
            }
        }
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let floor = if job.inherited {
            u32::try_from((self.setup.token - 1) * RUNS_PER_OWNER).unwrap_or(u32::MAX / 2)
        } else {
            0
        };
        let last = |i: u32, job: &mut ActiveJob| {
            job.task(&TaskKey { step: *key, index: i }).map_or(0, |t| t.last_run())
        };
        let gang = step.gang.then(|| (0..step.count).map(|i| last(i, job)).max().unwrap_or(0));
        let mut all = vec![];
        for (index, no) in chosen {
            let run = gang.unwrap_or_else(|| last(*index, job)).max(floor) + 1;
            all.push((TaskKey { step: *key, index: *index }, *no, run));
        }
        if let Some(stats) =
            self.jobs.get(&key.job).and_then(|j| self.advice_stats.get_mut(&j.queue))
        {
            stats.started_tasks += all.len() as u64;
        }
        self.log_start(key, &all, now);
        for (task, no, run) in all {
            self.start_task(task, no, run, step, now);
        }
        self.update_ready(key.job, now);
    }

    fn start_task(&mut self, task: TaskKey, no: WorkerNo, run: u32, step: &Step, now: Time) {
        let saved = self.jobs.get_mut(&task.step.job).and_then(|j| j.task(&task));
        let Some(saved) = saved.map(|t| t.checkpoint.clone()) else { return };
        if !self.launch(task, no, run, step, saved, now) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        job.set_placement(&task, Placement::Assigned(no));
        let Some(t) = job.task(&task) else { return };
        t.run = run;
        if !t.crashed_runs.is_empty() {
            // A successor must know that this run is in progress.
            self.mark_changed(task.step.job);
        }
    }

    /// Adds a run to its worker and orders the start; returns false if the owner may start nothing, the
    /// worker has no valid lease, or the customer's cap does not allow the run.
    pub(super) fn launch(
        &mut self,
        task: TaskKey,
        no: WorkerNo,
        run: u32,
        step: &Step,
        saved: Box<str>,
        now: Time,
    ) -> bool {
        let (yields, due_at) = self.preemptible_at(&task, step);
        let Some(from) = self.lease_start(now).filter(|_| self.knows_cancels(now)) else {
            return false;
        };
        let Some(job) = self.jobs.get(&task.step.job) else { return false };
        if !self.cap_allows(job.customer, &step.size) {
            return false;
        }
        let worker = &mut self.workers[no.0];
        let Some(until) = worker.extend_lease(&self.setup.bounds, from, now) else { return false };
        let step_state = job.step_states.get(&(task.step.time, task.step.step));
        let ticket = step_state.and_then(|p| p.tickets.eligible.get(&no)).map(|t| t.0.clone());
        let tried =
            step_state.is_some_and(|p| !p.tasks[task.index as usize].crashed_runs.is_empty());
        let text = job.job.text.clone();
        let started = Run {
            run,
            size: step.reserved(),
            size_unknown: false,
            customer: job.customer,
            charge: step.size,
            adopted: false,
            phase: RunPhase::Starting,
            sent_at: now,
            absence_from: None,
            stop_answered: false,
            was_seen: false,
            settled: false,
            crash_suspect: tried,
            started_at: now,
            start_count: 1,
            progress_percent: (0, 0),
            reported_at: now,
            checkpoint: saved.clone(),
            tail_latency_ms: 0,
            pace: Some(FULL_PACE_PERCENT),
            latency_target_ms: step.target,
            is_filler: step.fills,
            preempt_priority: yields,
            due_at,
            checkpoint_at: now,
            ended_by: None,
            estimate: Duration::from_millis(step.estimate),
            earlier_report: (now, 0),
        };
        self.add_run(no, task, started);
        let worker = &mut self.workers[no.0];
        if tried {
            worker.isolated_until = now + ISOLATION_TIME;
        }
        let start = Start {
            task,
            run,
            payload: text,
            lease_end_ms: until,
            token: self.setup.token,
            checkpoint: saved,
            ticket,
        };
        self.orders.push(Order::Worker {
            worker: worker.id.clone(),
            addr: worker.addr,
            call: Box::new(WorkerCall::Start(start)),
            limit: self.answers.resend_delay(ORDER_TIMEOUT),
        });
        true
    }
}
