//! The ends of runs, and what they mean for their tasks.

use crate::{
    ports::{End, How},
    shard::{
        jobs::At,
        machine::Shard,
        workers::{Phase, WorkerNo},
    },
    time::Time,
    work::{State, TaskKey},
};

impl Shard {
    /// Takes in the end of a run.
    pub(super) fn ended(&mut self, no: WorkerNo, end: &End, now: Time) {
        self.tell_end(no, end, now);
        let run = self.workers[no.0].take(&end.task, end.run);
        self.stir = true;
        let saved = match (&run, &*end.saved) {
            (Some(r), "") => r.saved.clone(),
            _ => end.saved.clone(),
        };
        let mine = self.at(&end.task, no, end.run);
        if let Some(run) = &run {
            self.judge(no, end, run, now);
        }
        self.close(&end.task, end.run, end.how, saved, mine, now);
        if mine {
            self.note_left(&end.task, now);
        }
        let place = self.touch(end.task.step.job);
        self.workers[no.0].pending.push_back((end.number, end.task.step.job, place));
        self.finish_if_done(end.task.step.job, now);
    }

    /// A run is gone without a word of its end.
    pub(super) fn lost(&mut self, no: WorkerNo, task: &TaskKey, run: u32, now: Time) {
        self.tell_lost(no, task, run, now);
        let Some(old) = self.workers[no.0].take(task, run) else { return };
        self.stir = true;
        let mine = self.at(task, no, run);
        if mine {
            self.close(task, run, How::Stopped, old.saved, true, now);
        }
        if mine && old.ran {
            self.note_left(task, now);
        }
        if old.tried {
            // A successor would count a run that it doesn't find for a crash.
            self.touch(task.step.job);
        }
    }

    /// Notes when a task's run has ended, if none goes on.
    fn note_left(&mut self, task: &TaskKey, now: Time) {
        let task = self.jobs.get_mut(&task.step.job).and_then(|j| j.task(task));
        if let Some(task) = task.filter(|t| t.at == At::Waiting) {
            task.left = Some(now);
        }
    }

    /// What a run's end means for its task.
    fn close(
        &mut self,
        task: &TaskKey,
        run: u32,
        how: How,
        saved: Box<str>,
        mine: bool,
        now: Time,
    ) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let Some(step) = job.step(&task.step).cloned() else { return };
        job.part(task.step.time, task.step.step);
        if job.state.over() {
            return;
        }
        let Some(t) = job.task(task) else { return };
        if t.former == run {
            t.former = 0;
        }
        let over = t.at == At::Done;
        // Of copies, that of another run must not be taken for that which is there.
        let there = step.copies && matches!(t.at, At::There(_));
        let highest = if there { &mut t.top } else { &mut t.run };
        *highest = run.max(*highest);
        // An end that its owner has given up counts while nothing else has begun; of copies, the first.
        let counts = mine || t.at == At::Waiting || there;
        if counts && !saved.is_empty() {
            job.keep(task, &saved);
        }
        // A copy that fails after another run was done fails nothing.
        let late = step.copies && over;
        if mine {
            job.leave(task, run);
        }
        match how {
            How::Done if counts && !step.lasts => {
                self.done(task, step.gang, run);
                if step.copies {
                    self.stop_copies(task, now);
                }
            }
            How::Failed if !late => self.failed(task, run, now),
            _ => {}
        }
        if mine && how != How::Done && step.gang {
            self.gather(task, run, now);
        }
        self.review(task.step.job, now);
    }

    /// A task's work is done; of a gang, that of all its members.
    fn done(&mut self, task: &TaskKey, gang: bool, run: u32) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        if !gang {
            if let Some(t) = job.task(task) {
                t.copy = None;
            }
            return job.put(task, At::Done);
        }
        let count = job.step(&task.step).map_or(0, |s| s.count);
        for index in 0..count {
            let key = TaskKey { step: task.step, index };
            let same = job.task(&key).is_some_and(|t| t.run <= run);
            if same {
                job.put(&key, At::Done);
            }
        }
    }

    /// A run has failed; counts once, for all members of a gang as well.
    ///
    /// Guards against an end that is told twice: a new owner hears of ends again that the store has
    /// and the worker was not told so, and a job would be called failed before its time.
    pub(super) fn failed(&mut self, task: &TaskKey, run: u32, now: Time) {
        let no = task.step.job;
        let Some(job) = self.jobs.get_mut(&no) else { return };
        let Some(step) = job.step(&task.step).cloned() else { return };
        let attempts = self.known.get(&job.queue).map_or(u32::MAX, |q| q.attempts.max(1));
        let key = if step.gang { TaskKey { step: task.step, index: 0 } } else { *task };
        let Some(t) = job.task(&key) else { return };
        if t.fails.contains(&run) {
            return;
        }
        t.fails.push(run);
        if t.fails.len() >= attempts as usize && !step.lasts && !job.state.over() {
            self.end(no, State::Failed, now);
        }
    }

    /// One member of a gang has ended: the others of its run are stopped, so that none waits alone.
    fn gather(&mut self, task: &TaskKey, run: u32, now: Time) {
        let Some(job) = self.jobs.get(&task.step.job) else { return };
        let Some(part) = job.parts.get(&(task.step.time, task.step.step)) else { return };
        let mut there = vec![];
        for (index, t) in (0..).zip(&part.tasks) {
            if let At::There(at) = t.at
                && t.run == run
            {
                there.push((at, TaskKey { step: task.step, index }));
            }
        }
        for (at, key) in there {
            if self.workers[at.0].runs.get(&key).is_some_and(|r| r.phase != Phase::Stopping) {
                self.tell_stop(at, &key, "gang member ended");
                self.stop(at, &key, now);
            }
        }
    }
}
