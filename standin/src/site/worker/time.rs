//! Progress of the simulated workers over time: leases lapse, runs advance and end, gangs
//! assemble.

use {
    super::{Note, Run, TIME_STEP, World, saved},
    dogwoodreach::{
        Time,
        ports::{EndReason, EndedRun},
        work::{StepKey, TaskKey},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

impl World {
    /// Advances virtual time to `to`.
    pub fn advance(&mut self, to: Time) {
        while self.now < to {
            let next = to.min(self.now + TIME_STEP);
            let ms = next.since(self.now).as_secs_f64() * 1e3;
            self.now = next;
            (0..self.workers.len()).for_each(|at| self.expire(at));
            self.advance_runs(ms);
            self.advance_gangs(ms);
        }
    }

    fn expire(&mut self, at: usize) {
        let (now, grey) = (self.now, self.workers[at].failing);
        let w = &mut self.workers[at];
        if !w.lease_lapsed && w.clock(now) >= w.lease_end {
            w.lease_lapsed = true;
            w.ended.iter_mut().for_each(|(_, lapsed)| *lapsed = true);
            self.end_where(at, EndReason::Lapsed, |_| true);
        }
        self.end_where(at, EndReason::Stopped, |r| r.stops_at.is_some_and(|s| s <= now));
        let fail_after = Duration::from_millis(300);
        self.end_where(at, EndReason::Failed, |r| {
            grey && r.stops_at.is_none() && now >= r.started_at + fail_after
        });
    }

    pub(super) fn end_where(&mut self, at: usize, how: EndReason, which: impl Fn(&Run) -> bool) {
        while let Some(i) = self.workers[at].runs.iter().position(&which) {
            self.end(at, i, how);
        }
    }

    /// Ends a run. If a gang member's run ends in any other way than completion, the rest of its
    /// gang ends as broken.
    fn end(&mut self, at: usize, i: usize, how: EndReason) {
        let run = self.workers[at].runs.remove(i);
        let (task, number) = (run.start.task, run.start.run);
        let step = self.step(task.step).cloned().unwrap_or_default();
        let w = &mut self.workers[at];
        w.last_end += 1;
        let barred = w.barred.entry(task).or_default();
        *barred = number.max(*barred);
        let saved = saved(&run, &step);
        let end =
            EndedRun { number: w.last_end, task, run: number, reason: how, checkpoint: saved };
        w.ended.push((end.clone(), false));
        self.notes.push(Note::End { at: self.now, end });
        if step.gang && how != EndReason::Broken && how != EndReason::Done {
            self.break_gang(task.step, number);
        }
    }

    pub(super) fn break_gang(&mut self, step: StepKey, run: u32) {
        let of = |r: &Run| r.start.task.step == step && r.start.run == run && r.stops_at.is_none();
        (0..self.workers.len()).for_each(|at| self.end_where(at, EndReason::Broken, of));
    }

    /// Speed of a run relative to a healthy worker that is near the run's data.
    fn speed(&self, at: usize, run: &Run) -> f64 {
        let w = &self.workers[at];
        let Some(step) = self.step(run.start.task.step) else { return 0.0 };
        if w.unresponsive || run.stops_at.is_some() || self.now < run.ready_at {
            return 0.0;
        }
        let far = step.near.as_ref().is_some_and(|r| *r != w.rack);
        let room = || w.size.cores.0.saturating_sub(self.used(at).cores.0) as f64;
        let share = if step.fills { room() / step.size.cores.0.max(1) as f64 } else { 1.0 };
        let slower = if far { self.bounds.remote_factor } else { 1.0 };
        w.speed * w.machine_speed * f64::from(run.percent) / 100.0 * share.min(1.0) / slower
    }

    fn is_gang(&self, run: &Run) -> bool {
        self.step(run.start.task.step).is_some_and(|s| s.gang)
    }

    fn advance_runs(&mut self, ms: f64) {
        for at in 0..self.workers.len() {
            for i in (0..self.workers[at].runs.len()).rev() {
                let run = &self.workers[at].runs[i];
                if !self.is_gang(run) {
                    let gain = ms * self.speed(at, run);
                    self.gain(at, i, gain);
                }
            }
        }
    }

    /// Adds work to a run, and ends the run once its work is complete.
    fn gain(&mut self, at: usize, i: usize, gain: f64) {
        let save = self.bounds.checkpoint_interval.as_secs_f64() * 1e3;
        let run = &mut self.workers[at].runs[i];
        run.work += gain;
        while run.work - run.saved_work >= save {
            run.saved_work += save;
        }
        let (task, work) = (run.start.task, run.work);
        let need = self.task_work(task);
        let fails = self.failing_steps.contains(&(task.step.job, task.step.step));
        let lasts = self.step(task.step).is_some_and(|s| s.lasts);
        let end = if fails { need / 2.0 } else { need };
        if gain <= 0.0 || (lasts && !fails) || work < end {
            return;
        }
        self.end(at, i, if fails { EndReason::Failed } else { EndReason::Done });
    }

    fn advance_gangs(&mut self, ms: f64) {
        let mut all: BTreeMap<(StepKey, u32), Vec<(usize, TaskKey)>> = BTreeMap::new();
        for (at, w) in self.workers.iter().enumerate() {
            for r in w.runs.iter().filter(|r| self.is_gang(r)) {
                let members = all.entry((r.start.task.step, r.start.run)).or_default();
                members.push((at, r.start.task));
            }
        }
        for ((step, run), members) in all {
            self.advance_gang(step, run, &members, ms);
        }
    }

    fn run_index(&self, at: usize, task: TaskKey, run: u32) -> Option<usize> {
        self.workers[at].runs.iter().position(|r| r.start.task == task && r.start.run == run)
    }

    fn advance_gang(&mut self, key: StepKey, run: u32, members: &[(usize, TaskKey)], ms: f64) {
        let Some(step) = self.step(key).cloned() else { return };
        let names: BTreeSet<_> = members.iter().map(|m| m.1).collect();
        if names.len() < step.count as usize {
            return self.end_incomplete(run, members);
        }
        let racks: BTreeSet<_> = members.iter().map(|m| &self.workers[m.0].rack).collect();
        let apart = if step.tight && racks.len() > 1 { self.bounds.remote_factor } else { 1.0 };
        let run_of = |m: &(usize, TaskKey)| {
            self.run_index(m.0, m.1, run).map(|i| (m.0, &self.workers[m.0].runs[i]))
        };
        let speeds = members.iter().filter_map(run_of).map(|(at, r)| self.speed(at, r));
        let gain = ms * speeds.fold(f64::MAX, f64::min) / apart;
        let saved: BTreeSet<_> =
            members.iter().filter_map(run_of).map(|m| m.1.start.checkpoint.clone()).collect();
        if saved.len() > 1 {
            self.notes.push(Note::Violation(format!("{key} run {run}: checkpoints {saved:?}")));
        }
        for m in members {
            let Some(i) = self.run_index(m.0, m.1, run) else { continue };
            self.workers[m.0].runs[i].assembled = true;
            self.gain(m.0, i, gain);
        }
    }

    fn end_incomplete(&mut self, run: u32, members: &[(usize, TaskKey)]) {
        let (now, wait) = (self.now, self.bounds.gang_timeout);
        for m in members {
            let over = |r: &Run| !r.assembled && r.stops_at.is_none() && now >= r.started_at + wait;
            let Some(i) = self.run_index(m.0, m.1, run) else { continue };
            if over(&self.workers[m.0].runs[i]) {
                self.end(m.0, i, EndReason::Alone);
            }
        }
    }
}
