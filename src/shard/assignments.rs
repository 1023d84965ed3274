//! Lists what the owner believes to run, so that a test can compare it with the workers.

use {
    crate::{
        ids::WorkerId,
        shard::{
            jobs::Placement,
            state_machine::Shard,
            workers::{RunPhase, WorkerNo},
        },
        work::{StepKey, TaskKey},
    },
    std::collections::BTreeMap,
};

/// A run whose resources the owner counts at a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CountedRun {
    /// The task.
    pub task: TaskKey,
    /// The run's number.
    pub run: u32,
    /// The worker.
    pub worker: WorkerId,
    /// Whether the owner takes the run for running, not for one that starts or is being stopped.
    pub is_running: bool,
    /// Whether the worker has answered the last order for this run.
    pub is_answered: bool,
}

/// Where the owner's row of a task says that the task is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskPlace {
    /// The task waits, and its step is in the ready queue.
    Ready,
    /// The task waits, and its step is not in the ready queue.
    NotReady,
    /// The task is assigned to this worker, in the run of this number.
    Assigned(WorkerId, u32),
}

impl Shard {
    /// Returns the runs that the owner counts at workers that have not ended.
    pub fn counted_runs(&self) -> Vec<CountedRun> {
        let workers = self.workers.iter().filter(|w| !w.gone);
        let runs = workers.flat_map(|w| w.runs.iter().map(move |(task, run)| (w, task, run)));
        runs.map(|(worker, task, run)| CountedRun {
            task: *task,
            run: run.run,
            worker: worker.id.clone(),
            is_running: run.phase == RunPhase::Running,
            is_answered: run.absence_from.is_some(),
        })
        .collect()
    }

    /// Returns the place of each long-running task whose job has not ended and whose step may run.
    pub fn long_running_tasks(&self) -> BTreeMap<TaskKey, TaskPlace> {
        let mut places = BTreeMap::new();
        for (no, job) in self.jobs.iter().filter(|(_, j)| !j.state.is_final()) {
            let lasts = |s: u16| job.job.steps.get(usize::from(s)).is_some_and(|s| s.lasts);
            for ((time, step), step_state) in &job.step_states {
                if !lasts(*step) || !job.is_unblocked(*time, *step) {
                    continue;
                }
                let key = StepKey { job: *no, time: *time, step: *step };
                for (index, task) in (0..).zip(&step_state.tasks) {
                    let place = match task.placement {
                        Placement::Waiting if self.ranks.contains_key(&key) => TaskPlace::Ready,
                        Placement::Waiting => TaskPlace::NotReady,
                        Placement::Assigned(WorkerNo(no)) => {
                            TaskPlace::Assigned(self.workers[no].id.clone(), task.run)
                        }
                        Placement::Done => continue,
                    };
                    places.insert(TaskKey { step: key, index }, place);
                }
            }
        }
        places
    }
}
