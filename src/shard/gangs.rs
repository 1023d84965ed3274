//! Gangs: all members start at once or none.
//!
//! Load: gangs whose members take half a worker or a whole one, among small tasks that take each bit of
//! room as it comes. Without room kept for it a gang waits for ever.

use crate::{
    decide::fit::Room,
    shard::{
        evict::PATIENCE,
        machine::Shard,
        plan::{Round, Turn, choose},
        workers::WorkerNo,
    },
    time::Time,
    work::StepKey,
};

/// How many gangs without room are kept supplied with valid tickets.
const FRESH: usize = 3;

impl Shard {
    /// Starts a gang if there is room for all of it at once, and keeps room for it if not.
    ///
    /// Guards against a gang that waits for ever: each end frees room for one of its members at the
    /// most, and a step of smaller tasks behind it would take that at once; and while it asks for new
    /// tickets, the room that it was found would be gone.
    pub(super) fn place_gang(
        &mut self,
        turn: &Turn,
        mut valid: Vec<Room>,
        mut stale: Vec<Room>,
        round: &mut Round,
        now: Time,
    ) {
        let Turn { key, step, ref waiting, usable, advice } = *turn;
        let mut good = valid.clone();
        let chosen = choose(step, waiting, &mut valid);
        if chosen.len() == waiting.len() {
            return self.start_all(key, step, &chosen, now);
        }
        good.append(&mut stale);
        let mut all = good.clone();
        let mut later = choose(step, waiting, &mut all);
        let room = later.len() == waiting.len();
        if !room {
            round.fresh += 1;
            if round.fresh > FRESH {
                return;
            }
            later = self.evict(turn, waiting, &good, now);
            if later.is_empty() {
                later = self.wish(turn, &good, now);
            }
        }
        self.keep(step, &later, round);
        let Some(cost) = advice else { return };
        let mut wanted: Vec<WorkerNo> = later.iter().map(|c| c.1).collect();
        wanted.sort_unstable();
        wanted.dedup();
        // Of those without room a few are kept ready to start, so that room is used when it comes.
        if !room {
            let soon = |n: &WorkerNo| self.expires(key, *n, now + cost.base + cost.each * 10);
            wanted.retain(soon);
            wanted.extend(self.coming(turn, &good, cost, round, now));
            wanted.sort_unstable();
            wanted.dedup();
        }
        self.ask_again(key, &wanted, usable, cost, now);
    }

    /// Where a gang without room would best wait for it: the workers with the most room.
    pub(super) fn wish(&self, turn: &Turn, good: &[Room], now: Time) -> Vec<(u32, WorkerNo)> {
        let Turn { key, step, .. } = *turn;
        let part = self.jobs.get(&key.job).and_then(|j| j.parts.get(&(key.time, key.step)));
        if part.and_then(|p| p.ready).is_none_or(|t| t + PATIENCE > now) {
            return vec![];
        }
        let size = step.counted();
        let mut all: Vec<&Room> = good.iter().filter(|r| size.fits(&r.total)).collect();
        all.sort_by_key(|r| std::cmp::Reverse((r.free.accels, r.free.cores)));
        let mut wish = vec![];
        for room in all {
            let most = size.count(&room.total);
            let cap = if step.apart > 0 { most.min(step.apart.into()) } else { most };
            for _ in 0..cap {
                let index = wish.len() as u32;
                if index >= step.count {
                    return wish;
                }
                wish.push((index, WorkerNo(room.index)));
            }
        }
        // Guards against a gang for which all its workers together are too small: it would wait for
        // ever, and the room kept for a part of it would keep all behind it waiting as long.
        if step.gang && wish.len() < step.count as usize { vec![] } else { wish }
    }

    /// Whether the ticket for a worker ends before a time.
    fn expires(&self, key: &StepKey, no: WorkerNo, by: Time) -> bool {
        self.valid_until(key, no).is_none_or(|until| until <= by)
    }
}
