//! Gangs: all tasks are picked together, and after a failure all are stopped and started again.

use {
    super::Tasks,
    crate::{
        Time,
        decide::{
            order,
            quota::{QuotaGrant, QuotaRequest},
        },
        ids::{JobId, TaskId},
    },
};

impl Tasks {
    /// Picks all tasks of a gang, if the team's quota admits all of them.
    pub(super) fn gang(
        &mut self,
        name: &JobId,
        now: Time,
    ) -> Option<Vec<(QuotaRequest, QuotaGrant)>> {
        let job = self.listed.get(name)?.clone();
        let asks = self.order.quota_requests(name);
        // Some tasks still run or wait for a delay to end; part of a gang must not start.
        if asks.len() < job.tasks as usize || asks.is_empty() {
            return None;
        }
        let mut taken: Vec<(QuotaRequest, QuotaGrant)> = vec![];
        for ask in asks {
            let pick = order::Pick { grant: self.quotas.grant(&ask), quota_request: ask.clone() };
            let grant = self.order.take(now, &pick, &mut self.quotas);
            let task = ask.task.clone();
            if grant != QuotaGrant::Wait {
                taken.push((ask, grant));
            }
            if grant == QuotaGrant::Wait || !self.hold_pending(&task, &job, None) {
                for (ask, _) in taken {
                    self.release(&ask.task);
                    self.requeue(&ask.task, now);
                }
                return None;
            }
        }
        taken.iter().for_each(|(ask, _)| {
            self.urgent.remove(&ask.task);
        });
        Some(taken)
    }

    /// Stops the running tasks of a gang and requeues those that have ended. The remaining tasks
    /// can't work without the lost one, and the results of the ended tasks depended on it.
    pub(super) fn restart_gang(&mut self, name: &JobId, now: Time) {
        let running =
            self.held_of(name).filter(|(_, h)| h.placed_at.is_some()).map(|(t, _)| t.clone());
        let running: Vec<TaskId> = running.collect();
        self.stops.extend(running);
        let done = self.done.remove(name).unwrap_or_default();
        for index in done.iter() {
            self.delayed.insert((now, TaskId { job: name.clone(), index }));
        }
    }
}
