//! How a gang comes together: which workers are kept for it, and which it asks about.
//!
//! *Load pattern:* gangs of up to a hundred tasks, several a second, each on few of the workers, in a
//! pool that smaller work fills to the last bit; tickets that end after two seconds, and calls for
//! them that take half a second or more. *Without it:* each gang chooses its workers anew with each
//! look, so that the room which it had kept is gone, others are emptied for it in vain, and no two of
//! its tickets are valid at the moment at which there is room; twenty gangs at once never end.
//!
//! So a gang is given its workers once: those at which it has room soonest, counted from what ends
//! there, what is being stopped and what may be stopped for it. They are kept for it until it starts.
//!
//! *Thresholds:* a third of a pool is kept for gangs that come together at the most: with 5 s of work
//! after 1.2 s of gathering, gangs that take half of a pool keep an eighth, and twice that in a burst.
//! A tenth for those that are late already, which earn a fifth. A gang that has not started after 4 s
//! gets its workers anew: what ends there was reckoned wrongly. It asks about workers for half as
//! many tasks more than it has, as room goes to others while the call is made.

use {
    crate::Time,
    std::{cmp::Reverse, collections::BTreeMap, time::Duration},
};

/// The part of a pool that is kept for gangs which could be in time: one in so many.
pub const KEPT: u64 = 3;
/// And for late ones, where the pool is busy.
pub const KEPT_LATE: u64 = 10;
/// Further workers are asked about while those that are known would hold a gang less than so often
/// if they were empty.
pub const CHOICE: u64 = 2;
/// How soon all of a gang's room has to be there so that it is kept for any gang: a stop and a call.
pub const NEAR: Duration = Duration::from_millis(2000);
/// How many gangs keep room that is there later; those behind them start where they can meanwhile.
pub const FAR: usize = 4;
/// How long workers are kept for a gang that does not start.
pub const LONGEST: Duration = Duration::from_secs(4);
/// For how many tasks workers are asked about, in hundredths of those that it has.
const MORE: u64 = 150;
/// The share of workers that may run a step before any was asked about, in hundredths, and how many
/// answers that guess is worth.
const GUESS: (u64, u64) = (40, 50);
/// The least and the most workers that one of several calls names.
const NAMED: (u64, u64) = (10, 100);

/// From a time on a worker has room for so many members more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer<W> {
    /// The worker.
    pub worker: W,
    /// From when on.
    pub at: Time,
    /// For how many more members than before.
    pub slots: u32,
}

/// The places of a gang, by worker, and when all of them are there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Places<W> {
    /// How many members each worker gets.
    pub each: Vec<(W, u32)>,
    /// When there is room for all.
    pub at: Time,
}

/// The places that are there soonest for so many members; nothing where there are not enough.
///
/// Of those that are there at the same time the widest come first, so that few workers are needed.
pub fn soonest<W: Copy + Ord>(mut offers: Vec<Offer<W>>, count: u32) -> Option<Places<W>> {
    offers.sort_by_key(|o| (o.at, Reverse(o.slots), o.worker));
    let mut sum = 0;
    let enough = offers.iter().position(|o| {
        sum += u64::from(o.slots);
        sum >= u64::from(count)
    })?;
    let at = offers[enough].at;
    // Of those that are there in time the last, as the others have room for someone else until then.
    offers.truncate(offers.iter().rposition(|o| o.at == at)? + 1);
    offers.sort_by_key(|o| (Reverse(o.at), Reverse(o.slots), o.worker));
    let mut each: BTreeMap<W, u32> = BTreeMap::new();
    let mut left = count;
    for offer in offers {
        let slots = offer.slots.min(left);
        if slots > 0 {
            *each.entry(offer.worker).or_default() += slots;
            left -= slots;
        }
        if left == 0 {
            return Some(Places { each: each.into_iter().collect(), at });
        }
    }
    None
}

/// What was learnt of a queue's advice: how many workers were named, and how many were good.
#[derive(Clone, Copy, Debug, Default)]
pub struct Share {
    named: u64,
    good: u64,
}

impl Share {
    /// Learns from an answer.
    pub fn learn(&mut self, named: usize, good: usize) {
        self.named += named as u64;
        self.good += good as u64;
    }

    /// The share of the workers that may run a step, in hundredths; 1 at least.
    fn percent(&self) -> u64 {
        let (guess, worth) = GUESS;
        ((self.good * 100 + guess * worth) / (self.named + worth)).max(1)
    }

    /// How many of these workers, of which each has room for so many members, are asked about so
    /// that `missing` members find room.
    pub fn named(&self, slots: impl Iterator<Item = u32>, missing: u32) -> usize {
        let wanted = u64::from(missing) * MORE / self.percent();
        let mut found = 0;
        let fewer = |slots: &u32| {
            let before = found;
            found += u64::from(*slots);
            before < wanted
        };
        slots.take_while(fewer).count()
    }
}

/// How many workers each of several calls at once names: with these its time is by half more than
/// with one.
pub fn chunk(base: Duration, each: Duration) -> usize {
    let half = base.as_micros() / (2 * each.as_micros()).max(1);
    u64::try_from(half).unwrap_or(u64::MAX).clamp(NAMED.0, NAMED.1) as usize
}
