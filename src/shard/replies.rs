//! Processes the replies of workers and updates the state of the runs that they report.

use {
    crate::{
        ids::WorkerId,
        ports::{Fault, Held, MAX_ENDS, WorkerCall, WorkerRefusal, WorkerReply},
        shard::{
            jobs::Placement,
            orders::{ORDER_TIMEOUT, UNWELL_PAUSE, was_given_up},
            state_machine::Shard,
            stats::LossCause,
            workers::{Run, RunPhase, Worker, WorkerNo},
        },
        time::Time,
        work::{JobState, TaskKey},
    },
    rustc_hash::FxHashSet,
    std::time::Duration,
};

/// The interval between two hold calls to a worker that lists only its first ends, while too few of
/// them can be acknowledged for it to list many others.
const CUT_OFF_HOLD_INTERVAL: Duration = Duration::from_millis(900);
/// The minimum and the maximum interval between two hold calls to a worker while ends of its runs
/// wait to be stored. Such a worker answers at once.
const UNSTORED_HOLD_INTERVAL: (Duration, Duration) =
    (Duration::from_millis(120), Duration::from_millis(900));
/// The average interval between these calls to all workers.
const UNSTORED_HOLD_SPACING: Duration = Duration::from_millis(4);
/// The pause before the next call to a silent worker for each unanswered call, and the maximum
/// pause.
const SILENT_PAUSE: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(900));

impl Shard {
    /// Processes a worker's reply.
    pub(super) fn on_worker_reply(
        &mut self,
        id: &WorkerId,
        sent: Time,
        call: WorkerCall,
        reply: Result<WorkerReply, Fault>,
        now: Time,
    ) {
        let Some(no) = self.worker_numbers.get(id).copied() else { return };
        let worker = &mut self.workers[no.0];
        if worker.gone {
            return;
        }
        if let Ok(WorkerReply::Held(held)) = &reply
            && self.observe_restart(no, held, now)
        {
            let worker = &mut self.workers[no.0];
            (worker.hold_sent, worker.next_hold) = (None, now);
            return;
        }
        let worker = &mut self.workers[no.0];
        match &reply {
            Ok(WorkerReply::Other) => return self.end_worker(no, now),
            Ok(WorkerReply::Refused(_, WorkerRefusal::Fence)) => return self.depose(),
            Ok(WorkerReply::Done(clock) | WorkerReply::Refused(clock, _)) => {
                worker.record_answer(*clock, sent, now);
            }
            Ok(WorkerReply::Held(held)) => {
                worker.record_answer(held.clock_ms, sent, now);
                worker.unanswered_calls = 0;
            }
            Ok(WorkerReply::Unwell) => worker.paused_until = now + UNWELL_PAUSE,
            Err(Fault::Unsent) => worker.unanswered_calls += 1,
            // The call is made again early. It is no sign of a silent worker, unless that has not
            // answered any other call for as long as an order may take either.
            Err(_)
                if was_given_up(&call, now - sent)
                    && worker.last_answer.is_some_and(|at| now - at < ORDER_TIMEOUT * 2) => {}
            Err(_) => {
                worker.unanswered_orders += 1;
                let hold = matches!(call, WorkerCall::Hold { .. });
                // A single unanswered order may merely be slow. Two unanswered orders or an
                // unanswered hold suggest that the worker is gone.
                worker.unanswered_calls += u32::from(hold || worker.unanswered_orders > 1);
            }
        }
        match call {
            WorkerCall::Hold { .. } => self.on_hold_reply(no, sent, reply, now),
            WorkerCall::Start(start) => self.on_start_reply(no, &start, sent, reply, now),
            WorkerCall::Stop { task, run, .. } => self.on_stop_reply(no, &task, run, &reply, now),
            WorkerCall::Pace { task, run, percent, .. } => {
                if let (Ok(WorkerReply::Done(_)), Some(r)) =
                    (reply, self.workers[no.0].runs.get_mut(&task))
                    && r.run == run
                {
                    r.pace = Some(percent);
                }
            }
        }
    }

    fn on_hold_reply(
        &mut self,
        no: WorkerNo,
        sent: Time,
        reply: Result<WorkerReply, Fault>,
        now: Time,
    ) {
        let worker = &mut self.workers[no.0];
        worker.hold_sent = None;
        worker.hold_failed = !matches!(reply, Ok(WorkerReply::Held(_)));
        let Ok(WorkerReply::Held(held)) = reply else {
            // All jobs from before a takeover wait for these workers.
            let calls = match self.unsettled_workers.contains(&no) {
                true => 1,
                // The call was given up early and is made again at once.
                false if reply.is_err() && worker.unanswered_calls == 0 => 0,
                false => worker.unanswered_calls.max(1),
            };
            worker.next_hold = now + (SILENT_PAUSE.0 * calls).min(SILENT_PAUSE.1);
            return;
        };
        worker.next_hold = now;
        let complete = held.ended.len() < MAX_ENDS;
        self.record_cut_off(no, !complete);
        let worker = &mut self.workers[no.0];
        if !worker.fenced {
            worker.inherit_lease(held.clock_ms, &self.setup.bounds);
        }
        let first = !worker.fenced;
        worker.fenced = true;
        worker.is_known |= complete;
        for end in &held.ended {
            if end.number > self.workers[no.0].last_end_number {
                self.workers[no.0].last_end_number = end.number;
                self.on_run_end(no, end, now);
            }
        }
        self.observe_runs(no, &held, now);
        self.remove_missing_runs(no, sent, &held, complete, now);
        self.adjust_filler_pace(no, now);
        let pause = self.unstored_hold_interval(no);
        let worker = &mut self.workers[no.0];
        if !worker.unstored_ends.is_empty() {
            worker.next_hold = match () {
                () if complete => now + pause,
                () if worker.can_list_more() => now,
                () => now + CUT_OFF_HOLD_INTERVAL,
            };
        }
        if first {
            self.round_due = true;
        }
    }

    /// Returns the interval between two hold calls to a worker whose ends wait to be stored.
    ///
    /// It grows with the number of such workers, because the calls delay the writes that they wait
    /// for. A worker that leaves or is stopping a run is called often: its next end frees resources
    /// that others wait for, or is lost with the worker.
    fn unstored_hold_interval(&self, no: WorkerNo) -> Duration {
        let worker = &self.workers[no.0];
        let stopping = worker.runs.values().any(|r| r.phase == RunPhase::Stopping);
        if worker.leaves_at.is_some() || stopping {
            return UNSTORED_HOLD_INTERVAL.0;
        }
        let waiting = self.workers.iter().filter(|w| !w.unstored_ends.is_empty()).count();
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        let spaced = UNSTORED_HOLD_SPACING.saturating_mul(waiting);
        spaced.clamp(UNSTORED_HOLD_INTERVAL.0, UNSTORED_HOLD_INTERVAL.1)
    }

    /// Processes the list of runs that a worker reports.
    fn observe_runs(&mut self, no: WorkerNo, held: &Held, now: Time) {
        for row in &held.running {
            let worker = &mut self.workers[no.0];
            match worker.runs.get_mut(&row.task) {
                Some(run) if run.run == row.run => {
                    let starting = matches!(run.phase, RunPhase::Starting | RunPhase::Unsure);
                    Worker::update_run(run, row, now);
                    if starting {
                        self.mark_running(&row.task);
                    }
                    self.forget_crashes(no, &row.task, now);
                    self.stop_if_stuck(no, &row.task, now);
                }
                _ => self.adopt_run(no, row, now),
            }
        }
    }

    /// Adopts a run that a former owner has started, or stops it if it is not wanted.
    fn adopt_run(&mut self, no: WorkerNo, row: &crate::ports::PresentRun, now: Time) {
        let job = self.jobs.get_mut(&row.task.step.job);
        let wanted = job.filter(|j| !j.state.is_final()).and_then(|j| {
            let step = j.step(&row.task.step)?.clone();
            j.step_state_mut(row.task.step.time, row.task.step.step);
            let task = j.task(&row.task)?;
            let fits = task.placement == Placement::Waiting && row.run >= task.run;
            Some((step, fits, !task.crashed_runs.is_empty()))
        });
        let customer = self.jobs.get(&row.task.step.job).and_then(|j| j.customer);
        let blind = wanted.is_none();
        let (step, keep, crash_suspect) = wanted.unwrap_or_default();
        let (yields, due_at) = self.preemptible_at(&row.task, &step);
        let run = Run {
            run: row.run,
            size: step.reserved(),
            size_unknown: blind,
            customer: customer.filter(|_| !blind),
            charge: step.size,
            adopted: true,
            phase: RunPhase::Running,
            sent_at: now,
            absence_from: Some(now),
            stop_answered: false,
            was_seen: true,
            settled: true,
            crash_suspect,
            started_at: now,
            start_count: 1,
            progress_percent: (row.percent, row.percent),
            reported_at: now,
            checkpoint: row.checkpoint.clone(),
            tail_latency_ms: row.load,
            // The former owner may have changed the pace of the run, so it is unknown.
            pace: None,
            latency_target_ms: step.target,
            is_filler: step.fills,
            preempt_priority: yields,
            due_at,
            checkpoint_at: now,
            ended_by: None,
            estimate: Duration::from_millis(step.estimate),
            earlier_report: (now, row.percent),
        };
        self.add_run(no, row.task, run);
        if !keep {
            if !blind {
                self.stray_tasks.insert(row.task);
            }
            self.log_stop(no, &row.task, "unwanted");
            return self.stop_run(no, &row.task, now);
        }
        if let Some(job) = self.jobs.get_mut(&row.task.step.job) {
            job.set_placement(&row.task, Placement::Assigned(no));
            if let Some(task) = job.task(&row.task) {
                task.run = row.run;
            }
        }
        self.mark_running(&row.task);
        self.unready_if_placed(&row.task.step);
    }

    /// Removes the runs that the worker must know of, since they were listed before the request was
    /// sent, but that its reply reports neither as running nor as ended.
    ///
    /// They are lost if the reply lists all ends. A worker that lists only its first ends may have
    /// completed them; their tasks then wait for the ends. A long-running task has to run again
    /// however its run has ended, so it doesn't wait.
    fn remove_missing_runs(
        &mut self,
        no: WorkerNo,
        sent: Time,
        held: &Held,
        complete: bool,
        now: Time,
    ) {
        let present: FxHashSet<(TaskKey, u32)> =
            held.running.iter().map(|row| (row.task, row.run)).collect();
        let worker = &self.workers[no.0];
        let missing = worker.runs.iter().filter(|(t, r)| {
            r.absence_from.is_some_and(|from| from < sent) && !present.contains(&(**t, r.run))
        });
        let mut missing: Vec<_> = missing.map(|(t, r)| (*t, r.run)).collect();
        if complete {
            missing.extend(worker.unlisted_ends.iter().map(|(t, r)| (*t, r.run)));
        }
        for (task, run) in missing {
            if complete || self.is_long_running(&task) {
                self.on_run_lost(no, &task, run, LossCause::Unreported, now);
            } else {
                self.await_end(no, &task, run, now);
            }
        }
    }

    /// Frees the resources of a run that has certainly ended, and keeps the run until the worker
    /// lists its end.
    fn await_end(&mut self, no: WorkerNo, task: &TaskKey, run: u32, now: Time) {
        let Some(run) = self.remove_run(no, task, run) else { return };
        self.round_due = true;
        let run = Run { ended_by: Some(now), ..run };
        self.workers[no.0].unlisted_ends.insert(*task, run);
    }

    /// Marks the job of a task as running if it is still queued.
    pub(super) fn mark_running(&mut self, task: &TaskKey) {
        if let Some(job) = self.jobs.get_mut(&task.step.job)
            && job.state == JobState::Queued
        {
            job.state = JobState::Running;
        }
    }
}
