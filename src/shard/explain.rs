//! Why a job stands as it does, in words for who asks.

use {
    crate::{
        shard::{jobs::At, machine::Shard},
        time::Time,
        work::{JobNo, StepKey, TaskKey},
    },
    std::fmt::Write,
};

impl Shard {
    /// What each step of a job that is not over waits for, and where its tasks are.
    pub fn explain(&self, no: JobNo, now: Time) -> Box<str> {
        let Some(job) = self.jobs.get(&no) else { return "not known here, or over".into() };
        let mut text = format!("job {no} of queue {} is {}", job.queue, job.state);
        if job.old && !self.unsettled.is_empty() {
            let _ = write!(text, "; {} workers of former owners are silent", self.unsettled.len());
        }
        if !self.known.contains_key(&job.queue) {
            text.push_str("; its queue is not known");
        }
        for ((time, step), part) in &job.parts {
            let key = StepKey { job: no, time: *time, step: *step };
            let t = &part.tickets;
            let _ = write!(
                text,
                "\n  step {key}: {} left, {} wait, free {}, in order {}; advice: {} asked, {} good, {} valid, asking {}",
                part.left,
                part.waiting,
                job.free(*time, *step),
                self.ranks.contains_key(&key),
                t.asked.len(),
                t.good.len(),
                t.good.values().filter(|(_, until)| *until > now).count(),
                t.asking,
            );
            for (index, task) in (0..).zip(&part.tasks) {
                let At::There(at) = task.at else { continue };
                let worker = &self.workers[at.0];
                let phase = worker.runs.get(&TaskKey { step: key, index }).map(|r| r.phase);
                let _ =
                    write!(text, "\n    task {index} run {} at {}: {phase:?}", task.run, worker.id);
            }
        }
        text.into()
    }
}
