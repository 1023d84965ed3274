//! The room that workers have for a step's tasks, whether or not a task fits now.

use crate::{
    decide::fit::Room,
    shard::{
        round::{Requester, Round, Turn},
        state_machine::Shard,
        workers::WorkerNo,
    },
    time::Time,
};

impl Shard {
    /// Returns all workers that may run a step, including full ones.
    pub(super) fn all_rooms(&self, turn: &Turn, round: &Round, now: Time) -> Vec<Room> {
        let Some(step_state) = self.step_state(turn.key) else { return vec![] };
        let may =
            |no: &&WorkerNo| turn.advice.is_none() || step_state.tickets.eligible.contains_key(no);
        let requester = self.requester(turn, round, false, now);
        let all = turn.usable.iter().filter(may);
        all.filter_map(|no| self.open_room(turn, *no, &requester, round, now)).collect()
    }

    /// Returns the part of a worker's capacity that a step may use now.
    pub(super) fn open_room(
        &self,
        turn: &Turn,
        no: WorkerNo,
        requester: &Requester,
        round: &Round,
        now: Time,
    ) -> Option<Room> {
        let mut room = self.room(no, turn.key, &turn.step, now)?;
        room.free = room.free.saturating_sub(&round.unavailable(no, requester));
        room.demand = round.demand[no.0];
        Some(room)
    }
}
