//! Gangs among the tasks: picked whole, broken up when one of them fails, and begun anew whole.

use {
    super::Tasks,
    crate::{
        Time,
        decide::{
            order,
            quota::{Ask, Grant},
        },
        ids::{JobId, TaskId},
    },
};

impl Tasks {
    /// All tasks of a gang, if its team may hold them all.
    pub(super) fn gang(&mut self, name: &JobId, now: Time) -> Option<Vec<(Ask, Grant)>> {
        let job = self.listed.get(name)?.clone();
        let asks = self.order.asks(name);
        // Those that still run, or wait out a pause, come first: half a gang must not start.
        if asks.len() < job.tasks as usize || asks.is_empty() {
            return None;
        }
        let mut taken: Vec<(Ask, Grant)> = vec![];
        for ask in asks {
            let pick = order::Pick { grant: self.quotas.grant(&ask), ask: ask.clone() };
            let grant = self.order.take(now, &pick, &mut self.quotas);
            let task = ask.task.clone();
            if grant != Grant::Wait {
                taken.push((ask, grant));
            }
            if grant == Grant::Wait || !self.hold_asked(&task, &job, None) {
                for (ask, _) in taken {
                    self.release(&ask.task);
                    self.back(&ask.task, now);
                }
                return None;
            }
        }
        taken.iter().for_each(|(ask, _)| {
            self.urgent.remove(&ask.task);
        });
        Some(taken)
    }

    /// Stops what runs of a gang, and lets what has ended of it wait again: its other tasks can do
    /// nothing without the one that is lost, and what has ended worked with them.
    pub(super) fn break_up(&mut self, name: &JobId, now: Time) {
        let running = self.holds(name).filter(|(_, h)| h.began.is_some()).map(|(t, _)| t.clone());
        let running: Vec<TaskId> = running.collect();
        self.stops.extend(running);
        let done = self.done.remove(name).unwrap_or_default();
        for index in done.iter() {
            self.paused.insert((now, TaskId { job: name.clone(), index }));
        }
    }
}
