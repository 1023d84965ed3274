//! Tasks and jobs that are given up, with the reason that operators are shown.

use {
    super::Tasks,
    crate::{
        decide::suspect::Fault,
        ids::{JobId, TaskId},
        text::{Job, JobKind},
    },
};

impl Tasks {
    /// Why a job is given up, if it is.
    pub fn fault(&self, name: &JobId) -> Option<&str> {
        self.faults.get(name).map(|f| &**f)
    }

    /// Gives a task up, or its whole job: a gang is of no use without one of its tasks.
    pub(super) fn give_up(&mut self, task: &TaskId, job: &Job, fault: Fault) {
        let reason: Box<str> = fault.to_string().into();
        if matches!(fault, Fault::Job(_)) || job.kind == JobKind::Gang {
            return self.abandon(&task.job, reason);
        }
        self.given.insert(task.clone(), reason);
    }

    /// Gives a job up: nothing of it is started any more; what runs of it goes on.
    pub(super) fn abandon(&mut self, name: &JobId, reason: Box<str>) {
        self.order.remove(name, &mut self.quotas);
        self.paused.retain(|(_, t)| t.job != *name);
        self.urgent.drop_job(name);
        self.faults.insert(name.clone(), reason);
    }
}
