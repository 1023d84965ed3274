//! Whether the jobs of the simulation have reached their expected final states.

use super::*;

impl ShardSim {
    /// Advances time until every job is over or, for a job with lasting tasks, all of them run.
    /// Panics with the seed and the unfinished jobs if that takes longer than `bound` milliseconds.
    pub fn run_until_settled(&mut self, bound: u64) {
        while !self.unfinished().is_empty() && self.now < Time::from_millis(bound) {
            self.run_until(self.now.0 / 1_000 + 100);
        }
        let (unfinished, seed) = (self.unfinished(), self.rules.seed);
        assert!(unfinished.is_empty(), "seed {seed}: unfinished after {bound} ms: {unfinished:?}");
    }

    /// State of a job in the store.
    pub fn stored_state(&self, no: u64) -> Option<JobState> {
        let item = self.store.get(&SHARD.progress_key(JobNo(no)))?;
        Some(decode::<Progress>(&item.value?)?.state)
    }

    /// Jobs that have not reached their expected final state.
    pub fn unfinished(&self) -> Vec<(JobNo, Option<JobState>)> {
        let progress = self.progress();
        let state = |j: &JobNo| progress.get(j).map(|p| p.state);
        let unfinished = self.world.jobs.keys().filter(|j| !self.is_final(**j, state(j)));
        unfinished.map(|j| (*j, state(j))).collect()
    }

    fn is_final(&self, job: JobNo, state: Option<JobState>) -> bool {
        let steps = &self.world.jobs[&job].job.steps;
        if self.rules.cancels.contains_key(&job) {
            return state.is_some_and(JobState::is_final) && self.run_count(job) == 0;
        }
        let lasting: u32 = steps.iter().filter(|s| s.lasts).map(|s| s.count).sum();
        let crashing = self.world.crashing_tasks.iter().filter(|t| t.step.job == job);
        let (long_running, finite): (Vec<&TaskKey>, Vec<&TaskKey>) =
            crashing.partition(|t| steps[usize::from(t.step.step)].lasts);
        if finite.is_empty() && !long_running.is_empty() {
            // Its other tasks run, and it is never given up.
            let others = lasting as usize - long_running.len();
            return self.run_count(job) >= others && !state.is_some_and(JobState::is_final);
        }
        if !finite.is_empty() || self.world.failing_steps.iter().any(|h| h.0 == job) {
            return state == Some(JobState::Failed);
        }
        match lasting {
            0 => state == Some(JobState::Done),
            count => self.run_count(job) == count as usize,
        }
    }

    /// Number of runs of a job that exist on workers.
    pub fn run_count(&self, job: JobNo) -> usize {
        self.world.run_count(job)
    }
}
