//! Starting of tasks: numbers the runs, adds them to their workers and orders the starts.

use {
    crate::{
        decide::crash::ALONE,
        ports::{Start, WorkerCall},
        shard::{
            event::Order,
            jobs::{Active, At},
            machine::Shard,
            orders::ORDER,
            workers::{FULL, Phase, Run, WorkerNo},
        },
        time::Time,
        work::{Step, StepKey, TaskKey},
    },
    std::time::Duration,
};

/// Each owner gets a block of this many run numbers for jobs of which former owners may have
/// started tasks, so that its numbers are higher than theirs.
const RUNS_PER_OWNER: u64 = 1000;

impl Shard {
    /// Starts tasks of one step; the members of a gang share one run number.
    pub(super) fn start_all(
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
            let sound = &mut self.workers[no.0].sound;
            if sound.tries(step.lasts, now) {
                sound.tried(now);
            }
        }
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let floor = if job.old {
            u32::try_from((self.setup.token - 1) * RUNS_PER_OWNER).unwrap_or(u32::MAX / 2)
        } else {
            0
        };
        let last = |i: u32, job: &mut Active| {
            job.task(&TaskKey { step: *key, index: i }).map_or(0, |t| t.last())
        };
        let gang = step.gang.then(|| (0..step.count).map(|i| last(i, job)).max().unwrap_or(0));
        let mut all = vec![];
        for (index, no) in chosen {
            let run = gang.unwrap_or_else(|| last(*index, job)).max(floor) + 1;
            all.push((TaskKey { step: *key, index: *index }, *no, run));
        }
        if let Some(asked) = self.jobs.get(&key.job).and_then(|j| self.asked.get_mut(&j.queue)) {
            asked.starts += all.len() as u64;
        }
        self.log_start(key, &all, now);
        for (task, no, run) in all {
            self.start_task(task, no, run, step, now);
        }
        self.review(key.job, now);
    }

    fn start_task(&mut self, task: TaskKey, no: WorkerNo, run: u32, step: &Step, now: Time) {
        let saved = self.jobs.get_mut(&task.step.job).and_then(|j| j.task(&task));
        let Some(saved) = saved.map(|t| t.saved.clone()) else { return };
        if !self.launch(task, no, run, step, saved, now) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        job.put(&task, At::There(no));
        let Some(t) = job.task(&task) else { return };
        t.run = run;
        if !t.crashes.is_empty() {
            // A successor must know that this run is in progress.
            self.touch(task.step.job);
        }
    }

    /// Adds a run to its worker and orders the start; returns false if the owner or the worker has
    /// no valid lease.
    pub(super) fn launch(
        &mut self,
        task: TaskKey,
        no: WorkerNo,
        run: u32,
        step: &Step,
        saved: Box<str>,
        now: Time,
    ) -> bool {
        let yields = self.yields(&task.step, step);
        let Some(from) = self.acts_from(now) else { return false };
        let worker = &mut self.workers[no.0];
        let Some(until) = worker.extend_lease(&self.setup.bounds, from, now) else { return false };
        let Some(job) = self.jobs.get(&task.step.job) else { return false };
        let step_state = job.parts.get(&(task.step.time, task.step.step));
        let ticket = step_state.and_then(|p| p.tickets.good.get(&no)).map(|t| t.0.clone());
        let tried = step_state.is_some_and(|p| !p.tasks[task.index as usize].crashes.is_empty());
        let text = job.job.text.clone();
        worker.add(
            task,
            Run {
                run,
                size: step.counted(),
                blind: false,
                phase: Phase::Starting,
                sent: now,
                known: None,
                ran: false,
                settled: false,
                tried,
                began: now,
                tries: 1,
                percent: (0, 0),
                looked: now,
                saved: saved.clone(),
                load: 0,
                pace: Some(FULL),
                target: step.target,
                fills: step.fills,
                yields,
                estimate: Duration::from_millis(step.estimate),
                mark: (now, 0),
            },
        );
        if tried {
            worker.alone = now + ALONE;
        }
        let start = Start { task, run, text, until, token: self.setup.token, saved, ticket };
        self.out.push(Order::Worker {
            worker: worker.id.clone(),
            addr: worker.addr,
            call: Box::new(WorkerCall::Start(start)),
            limit: ORDER,
        });
        true
    }
}
