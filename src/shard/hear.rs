//! Processes the replies of workers and what they show about runs.

use {
    crate::{
        ids::WorkerId,
        ports::{ENDS, Fault, Held, Refusal, WorkerCall, WorkerReply},
        shard::{
            jobs::At,
            machine::Shard,
            orders::UNWELL,
            workers::{Phase, Run, Worker, WorkerNo},
        },
        time::Time,
        work::{State, TaskKey},
    },
    std::time::Duration,
};

/// The interval between holds while ends wait to be stored.
const UNSTORED_INTERVAL: Duration = Duration::from_millis(120);
/// The pause between calls to a silent worker per missed call, and the longest pause.
const SILENT_PAUSE: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(900));

impl Shard {
    /// Processes a worker's reply.
    pub(super) fn hear(
        &mut self,
        id: &WorkerId,
        sent: Time,
        call: WorkerCall,
        reply: Result<WorkerReply, Fault>,
        now: Time,
    ) {
        let Some(no) = self.ids.get(id).copied() else { return };
        let worker = &mut self.workers[no.0];
        if worker.gone {
            return;
        }
        match &reply {
            Ok(WorkerReply::Other) => return self.end_worker(no, now),
            Ok(WorkerReply::Refused(_, Refusal::Fence)) => return self.depose(),
            Ok(WorkerReply::Done(clock) | WorkerReply::Refused(clock, _)) => {
                worker.answered(*clock, sent, now);
            }
            Ok(WorkerReply::Held(held)) => {
                worker.answered(held.clock, sent, now);
                worker.silent = 0;
            }
            Ok(WorkerReply::Unwell) => worker.unwell = now + UNWELL,
            Err(Fault::Unsent) => worker.silent += 1,
            Err(_) => {
                worker.unsure += 1;
                let hold = matches!(call, WorkerCall::Hold { .. });
                // A single unanswered order may merely be slow. Two unanswered orders or an
                // unanswered hold suggest that the worker is gone.
                worker.silent += u32::from(hold || worker.unsure > 1);
            }
        }
        match call {
            WorkerCall::Hold { .. } => self.on_hold_reply(no, sent, reply, now),
            WorkerCall::Start(start) => self.started(no, &start, reply, now),
            WorkerCall::Stop { task, run, .. } => self.stopped(no, &task, run, &reply, now),
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
        worker.holding = None;
        let Ok(WorkerReply::Held(held)) = reply else {
            let pause = (SILENT_PAUSE.0 * worker.silent.max(1)).min(SILENT_PAUSE.1);
            worker.next = now + pause;
            return;
        };
        worker.next = now;
        let complete = held.ended.len() < ENDS;
        if !worker.fenced {
            worker.inherit(held.clock, &self.setup.bounds);
        }
        let first = !worker.fenced && complete;
        worker.fenced |= complete;
        for end in &held.ended {
            if end.number > self.workers[no.0].got {
                self.workers[no.0].got = end.number;
                self.on_run_end(no, end, now);
            }
        }
        self.observe_runs(no, &held, now);
        self.drop_missing(no, sent, &held, now);
        self.adjust_filler_pace(no, now);
        let worker = &mut self.workers[no.0];
        if !worker.pending.is_empty() {
            worker.next = now + UNSTORED_INTERVAL;
        }
        if first {
            self.stir = true;
        }
    }

    /// Processes the list of runs that a worker reports.
    fn observe_runs(&mut self, no: WorkerNo, held: &Held, now: Time) {
        for row in &held.running {
            let worker = &mut self.workers[no.0];
            match worker.runs.get_mut(&row.task) {
                Some(run) if run.run == row.run => {
                    let starting = matches!(run.phase, Phase::Starting | Phase::Unsure);
                    Worker::look(run, row, now);
                    if starting {
                        self.begun(&row.task);
                    }
                    self.stop_if_stuck(no, &row.task, now);
                }
                _ => self.adopt(no, row, now),
            }
        }
    }

    /// Adopts a run that a former owner has started, or stops it if it is not wanted.
    fn adopt(&mut self, no: WorkerNo, row: &crate::ports::Row, now: Time) {
        let job = self.jobs.get_mut(&row.task.step.job);
        let wanted = job.filter(|j| !j.state.over()).and_then(|j| {
            let step = j.step(&row.task.step)?.clone();
            j.part(row.task.step.time, row.task.step.step);
            let task = j.task(&row.task)?;
            let fits = task.at == At::Waiting && row.run >= task.run;
            Some((step, fits))
        });
        let blind = wanted.is_none();
        let (step, keep) = wanted.unwrap_or_default();
        let yields = self.yields(&row.task.step, &step);
        let run = Run {
            run: row.run,
            size: step.counted(),
            blind,
            phase: if keep { Phase::Running } else { Phase::Stopping },
            sent: now,
            known: Some(now),
            ran: true,
            settled: true,
            tried: false,
            began: now,
            tries: 1,
            percent: (row.percent, row.percent),
            looked: now,
            saved: row.saved.clone(),
            load: row.load,
            // The former owner may have slowed it down.
            pace: None,
            target: step.target,
            fills: step.fills,
            yields,
            estimate: Duration::from_millis(step.estimate),
            mark: (now, row.percent),
        };
        self.workers[no.0].add(row.task, run);
        if !keep {
            if !blind {
                self.strays.insert(row.task);
            }
            self.tell_stop(no, &row.task, "unwanted");
            return self.stop(no, &row.task, now);
        }
        if let Some(job) = self.jobs.get_mut(&row.task.step.job) {
            job.put(&row.task, At::There(no));
            if let Some(task) = job.task(&row.task) {
                task.run = row.run;
            }
        }
        self.begun(&row.task);
        self.unready_if_placed(&row.task.step);
    }

    /// Processes runs that were known before the request was sent and that the reply reports
    /// neither as running nor as ended: they are gone.
    fn drop_missing(&mut self, no: WorkerNo, sent: Time, held: &Held, now: Time) {
        let there =
            |t: &TaskKey, r: u32| held.running.iter().any(|row| row.task == *t && row.run == r);
        let gone: Vec<_> = self.workers[no.0]
            .runs
            .iter()
            .filter(|(t, r)| r.known.is_some_and(|k| k < sent) && !there(t, r.run))
            .map(|(t, r)| (*t, r.run))
            .collect();
        for (task, run) in gone {
            self.lost(no, &task, run, now);
        }
    }

    /// Records that work on a task has begun.
    pub(super) fn begun(&mut self, task: &TaskKey) {
        if let Some(job) = self.jobs.get_mut(&task.step.job)
            && job.state == State::Queued
        {
            job.state = State::Running;
        }
    }
}
