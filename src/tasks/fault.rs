//! Tasks and jobs that are given up, with the reason shown to operators.

use {
    super::Tasks,
    crate::{
        decide::suspect::Fault,
        ids::{JobId, TaskId},
        text::{Job, JobKind},
    },
};

impl Tasks {
    /// Why a job was given up; `None` if it was not.
    pub fn fault(&self, name: &JobId) -> Option<&str> {
        self.faults.get(name).map(|f| &**f)
    }

    /// Gives up a task. If the fault concerns the whole job, or the job is a gang, gives up the
    /// job: a gang can't work without one of its tasks.
    pub(super) fn give_up(&mut self, task: &TaskId, job: &Job, fault: Fault) {
        let reason: Box<str> = fault.to_string().into();
        if matches!(fault, Fault::Job(_)) || job.kind == JobKind::Gang {
            return self.abandon(&task.job, reason);
        }
        self.abandoned.insert(task.clone(), reason);
    }

    /// Gives up a job: none of its tasks are started any more; those that run continue.
    pub(super) fn abandon(&mut self, name: &JobId, reason: Box<str>) {
        self.order.remove(name, &mut self.quotas);
        self.delayed.retain(|(_, t)| t.job != *name);
        self.urgent.drop_job(name);
        self.faults.insert(name.clone(), reason);
    }
}
