//! Gangs whose run time depends on the racks of their members.

use {
    crate::{
        decide::{fit::Room, locality::Plan},
        shard::{
            dispatch::choose_workers,
            round::{Round, Turn},
            state_machine::Shard,
            workers::WorkerNo,
        },
        time::Time,
        work::Step,
    },
    std::collections::{BTreeMap, BTreeSet},
};

impl Shard {
    /// Returns the rack of a worker.
    pub(in crate::shard) fn rack_of(&self, no: WorkerNo) -> &str {
        let worker = &self.workers[no.0];
        worker.list_entry.as_ref().map_or(worker.id.as_str(), |l| l.rack())
    }

    /// Returns how many times as long a gang takes on one rack, or on several for `None`, as on the
    /// best rack.
    pub(in crate::shard) fn rack_factor(&self, step: &Step, rack: Option<&str>) -> f64 {
        let factor = self.setup.bounds.remote_factor.max(1.0);
        let far = step.near.as_ref().is_some_and(|near| rack != Some(near.as_str()));
        let parted = step.tight && rack.is_none();
        (if far { factor } else { 1.0 }) * if parted { factor } else { 1.0 }
    }

    /// Returns how many times as long a gang takes on these workers as on the best rack.
    pub(super) fn gang_factor(&self, step: &Step, chosen: &[(u32, WorkerNo)]) -> f64 {
        let racks: BTreeSet<&str> = chosen.iter().map(|(_, no)| self.rack_of(*no)).collect();
        self.rack_factor(step, racks.first().filter(|_| racks.len() == 1).copied())
    }

    /// Chooses workers for a gang among those that have room now, on one rack where possible: on
    /// the rack that it requests, or else on the one with the least room beyond.
    pub(in crate::shard) fn choose_gang_workers(
        &self,
        turn: &Turn,
        mut valid: Vec<Room>,
    ) -> Vec<(u32, WorkerNo)> {
        let Turn { ref step, ref waiting, .. } = *turn;
        if self.seeks_rack(step) {
            let mut racks: BTreeMap<&str, Vec<Room>> = BTreeMap::new();
            for room in &valid {
                racks.entry(self.rack_of(WorkerNo(room.index))).or_default().push(*room);
            }
            let size = step.reserved();
            let slots = |rooms: &[Room]| {
                rooms.iter().map(|r| size.count(&r.free).min(r.max_new.into())).sum::<u64>()
            };
            let mut fitting: Vec<_> =
                racks.into_iter().filter(|r| slots(&r.1) >= waiting.len() as u64).collect();
            let requested = |rack| step.near.as_ref().is_some_and(|near| near.as_str() == rack);
            fitting.sort_by_cached_key(|(rack, rooms)| (!requested(*rack), slots(rooms)));
            for (_, mut rooms) in fitting {
                let chosen = choose_workers(step, waiting, &mut rooms);
                if chosen.len() == waiting.len() {
                    return chosen;
                }
            }
        }
        choose_workers(step, waiting, &mut valid)
    }

    /// Decides whether a gang that could start on `chosen` waits for workers on which it ends
    /// earlier.
    pub(in crate::shard) fn gang_waits(
        &mut self,
        turn: &Turn,
        chosen: &[(u32, WorkerNo)],
        round: &mut Round,
        now: Time,
    ) -> bool {
        let Turn { key, ref step, .. } = *turn;
        let factor = self.gang_factor(step, chosen);
        if !self.seeks_rack(step) || factor <= 1.0 {
            return false;
        }
        let reserved = self.reservations.get(key).map(|r| (r.ready_at, r.members.clone()));
        let places = match reserved {
            Some(places) => Some(places),
            None if round.locality.try_examine() => {
                self.best_places(turn, round, now).map(|p| (p.available_at, p.member_counts))
            }
            None => None,
        };
        let (Some((at, members)), Some(terms)) = (places, self.terms(turn, factor, now)) else {
            return false;
        };
        let members: Vec<(u32, WorkerNo)> = members.into_iter().map(|(no, n)| (n, no)).collect();
        let better = self.gang_factor(step, &members);
        let Some((_, first)) = members.first().filter(|_| better < factor) else {
            self.reservations.remove(key);
            return false;
        };
        // A longer run there counts like a longer wait.
        let wait = (at - now) + terms.run.mul_f64(better - 1.0);
        let plan = Plan { waiting: chosen.len(), wait, ..Plan::default() };
        let outcome = match () {
            () if !terms.pays(wait) => "crowded",
            () if !self.may_wait(turn, wait, round, now) => "overdue",
            () => {
                let rack = self.rack_of(*first).to_owned();
                self.begin_wait(key, &rack, &terms, plan, now);
                return true;
            }
        };
        self.end_wait(key, outcome, now);
        self.reservations.remove(key);
        false
    }
}
