//! Describes in text why jobs are in their present state, for operators.

use {
    crate::{
        decide::rank::CLASS_COUNT,
        shard::{jobs::Placement, state_machine::Shard},
        time::Time,
        work::{JobNo, StepKey, TaskKey},
    },
    std::{collections::BTreeMap, fmt::Write},
};

impl Shard {
    /// Summarizes in one line what the waiting steps wait for and how full the pools are.
    pub(super) fn summary(&self, now: Time) -> Box<str> {
        let (mut steps, mut tasks, mut unadvised, mut stale) = ([0; CLASS_COUNT], 0, 0, 0);
        let mut without: BTreeMap<&str, u32> = BTreeMap::new();
        for (rank, key) in &self.ready {
            steps[rank.class()] += 1;
            let part =
                self.jobs.get(&key.job).and_then(|j| j.step_states.get(&(key.time, key.step)));
            let Some(part) = part else { continue };
            tasks += part.waiting_count;
            let advised = self.jobs.get(&key.job).is_some_and(|j| {
                self.queue_configs.get(&j.queue).is_some_and(|q| q.advice.is_some())
            });
            if let Some(job) =
                self.jobs.get(&key.job).filter(|_| advised && part.tickets.eligible.is_empty())
            {
                unadvised += 1;
                *without.entry(&job.queue).or_default() += 1;
            }
            let valid = part.tickets.eligible.values().any(|(_, until)| *until > now);
            stale += u32::from(advised && !part.tickets.eligible.is_empty() && !valid);
        }
        let mut text = format!(
            "jobs {}, ready steps {steps:?} with {tasks} tasks, {unadvised} without advice, {stale} with expired tickets, lanes {}",
            self.jobs.len(),
            self.lanes.total_calls(),
        );
        for (pool, all) in &self.pools {
            let sum = |f: fn(&super::workers::Worker) -> u64| {
                all.iter().map(|n| f(&self.workers[n.0])).sum::<u64>()
            };
            let usable = all.iter().filter(|n| self.workers[n.0].is_usable(now)).count();
            let _ = write!(
                text,
                "; {pool}: {usable} of {} workers, cores {} of {}, accelerators {} of {}",
                all.len(),
                sum(|w| w.used.cores.0) / 1000,
                sum(|w| w.list_entry.as_ref().map_or(0, |l| l.capacity.cores.0)) / 1000,
                sum(|w| w.used.accels.0),
                sum(|w| w.list_entry.as_ref().map_or(0, |l| l.capacity.accels.0)),
            );
        }
        for (queue, stats) in &self.advice_stats {
            let total = stats.expected_time.as_secs_f64();
            let _ = write!(
                text,
                "; advice {queue}: {} calls, {} named, {total:.1} s, {} without room, {} tasks started, {} steps without",
                stats.call_count,
                stats.named_workers,
                stats.without_room,
                stats.started_tasks,
                without.get(&**queue).copied().unwrap_or_default(),
            );
        }
        let reserved: u32 = self.reservations.values().flat_map(|r| &r.members).map(|e| e.1).sum();
        let _ = write!(
            text,
            "; room reserved for {} gangs of {reserved} tasks",
            self.reservations.len()
        );
        text.into()
    }

    /// Describes what each step of a job that has not ended waits for, and where its tasks are.
    pub fn explain(&self, no: JobNo, now: Time) -> Box<str> {
        let Some(job) = self.jobs.get(&no) else { return "unknown here, or over".into() };
        let mut text = format!("job {no} of queue {} is {}", job.queue, job.state);
        if job.inherited && !self.unsettled_workers.is_empty() {
            let _ = write!(
                text,
                "; {} workers of former owners have not listed all their ends, {} of them have not replied",
                self.unsettled_workers.len(),
                self.unsettled_workers.iter().filter(|n| !self.workers[n.0].fenced).count(),
            );
        }
        if !self.queue_configs.contains_key(&job.queue) {
            text.push_str("; its queue is not known");
        }
        let keys = job.step_states.keys().map(|(time, step)| StepKey {
            job: no,
            time: *time,
            step: *step,
        });
        let sights =
            self.diagnose_steps(&keys.filter(|k| self.ranks.contains_key(k)).collect(), now);
        for ((time, step), part) in &job.step_states {
            let key = StepKey { job: no, time: *time, step: *step };
            let t = &part.tickets;
            let _ = write!(
                text,
                "\n  step {key}: {} left, {} wait, free {}, in order {}; advice: {} asked, {} good, {} valid, asking {}",
                part.unfinished_count,
                part.waiting_count,
                job.is_unblocked(*time, *step),
                self.ranks.contains_key(&key),
                t.asked_workers.len(),
                t.eligible.len(),
                t.eligible.values().filter(|(_, until)| *until > now).count(),
                t.is_pending(),
            );
            if let Some((behind, sight)) = sights.get(&key) {
                let _ =
                    write!(text, "; behind {behind} steps, waits for {}: {sight:?}", sight.cause());
            }
            if let Some(s) = job.step(&key) {
                let worker = |no: &super::workers::WorkerNo| &self.workers[no.0];
                let of = |w: &super::workers::Worker| format!("{} {}", w.id, w.free());
                let good: Vec<_> = t.eligible.keys().map(|no| of(worker(no))).collect();
                let (count, gang, size) = (s.count, s.gang, s.reserved());
                let _ = write!(text, "; {count} tasks, gang {gang}, each {size}; good {good:?}");
            }
            for (index, task) in (0..).zip(&part.tasks) {
                let Placement::Assigned(at) = task.placement else { continue };
                let worker = &self.workers[at.0];
                let key = TaskKey { step: key, index };
                let _ = write!(text, "\n    task {index} run {} at {}: ", task.run, worker.id);
                let _ = match (worker.runs.get(&key), worker.unlisted_ends.get(&key)) {
                    (Some(run), _) => write!(text, "{:?}", run.phase),
                    (_, Some(_)) => write!(text, "ended, and its end is not listed yet"),
                    _ => write!(text, "unknown"),
                };
            }
        }
        text.into()
    }
}
