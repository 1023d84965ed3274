//! Decides which workers are kept for a gang until all its tasks can start, and about which workers
//! it asks for advice.
//!
//! *Load pattern:* gangs of up to a hundred tasks, several per second, each allowed on few of the
//! workers, in a pool that smaller work fills completely. Tickets expire after two seconds, and the
//! calls for them take half a second or more. *Without it:* each gang chooses its workers again in
//! every round. The room that it had kept is then gone, other workers are emptied for it in vain,
//! and no two of its tickets are valid at a moment when there is room; twenty gangs at the same
//! time never finish.
//!
//! So a gang gets its workers once: those that have room for it soonest, counting runs that end
//! there, runs that are being stopped and runs that may be stopped for it. They are kept for the
//! gang until it starts.
//!
//! *Thresholds:* at most a third of a pool is kept for gangs that are gathering workers. With 5 s
//! of work after 1.2 s of gathering, gangs that take half of a pool keep an eighth, and twice that
//! in a burst. For gangs that are already late, which earn a fifth, it is a tenth. A gang that has
//! not started after 4 s gets new workers, because the expected ends there were wrong. It asks
//! about workers for half as many tasks again as it has, because other work takes some of the room
//! during the call.

use {
    crate::Time,
    std::{cmp::Reverse, collections::BTreeMap, time::Duration},
};

/// Divisor of a pool's size that gives the maximum part reserved for gangs that can still be in
/// time.
pub const MAX_RESERVED_DIVISOR: u64 = 3;
/// Divisor of a busy pool's size that gives the maximum part reserved for late gangs.
pub const MAX_RESERVED_LATE_DIVISOR: u64 = 10;
/// Minimum ratio of the tasks that the known workers could hold if empty to the tasks of the gang.
/// Below it advice is requested about more workers.
pub const MIN_CAPACITY_RATIO: u64 = 2;
/// Maximum time until a gang's room is complete for which room is always kept for it. This is the
/// time of a stop and an advice call.
pub const MAX_NEAR_WAIT: Duration = Duration::from_millis(2000);
/// Maximum number of gangs for which room is kept although it is complete only after
/// [`MAX_NEAR_WAIT`]. Later gangs start on any workers that have room meanwhile.
pub const MAX_FAR_GANGS: usize = 4;
/// Maximum time for which workers are kept for a gang that does not start.
pub const MAX_KEEP_TIME: Duration = Duration::from_secs(4);
/// Number of tasks for which advice is requested, in percent of the gang's tasks without a worker.
const ASKED_PERCENT: u64 = 150;
/// Assumed share of workers that may run a step, in percent, before any answer, and the number of
/// answers that this assumption counts as.
const PRIOR_SHARE: (u64, u64) = (40, 50);
/// Minimum and maximum number of workers that each of several parallel calls names.
const CALL_SIZE_RANGE: (u64, u64) = (10, 100);

/// Additional room that becomes available at a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer<W> {
    /// The worker.
    pub worker: W,
    /// When the room becomes available.
    pub available_at: Time,
    /// Number of additional members that the worker has room for from that time.
    pub slots: u32,
}

/// The workers of a gang, and when all of them have room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement<W> {
    /// The chosen workers, each with its number of members.
    pub member_counts: Vec<(W, u32)>,
    /// When there is room for all members.
    pub available_at: Time,
}

/// Chooses workers for `count` members so that the gang can start soonest; `None` if the offers
/// don't suffice.
///
/// Among offers of the same time those with the most slots come first, so that few workers are
/// needed.
pub fn soonest_placement<W: Copy + Ord>(
    mut offers: Vec<Offer<W>>,
    count: u32,
) -> Option<Placement<W>> {
    offers.sort_by_key(|o| (o.available_at, Reverse(o.slots), o.worker));
    let mut sum = 0;
    let enough = offers.iter().position(|o| {
        sum += u64::from(o.slots);
        sum >= u64::from(count)
    })?;
    let at = offers[enough].available_at;
    // Takes the latest offers that are in time, so that earlier room stays available to other work
    // until then.
    offers.truncate(offers.iter().rposition(|o| o.available_at == at)? + 1);
    offers.sort_by_key(|o| (Reverse(o.available_at), Reverse(o.slots), o.worker));
    let mut each: BTreeMap<W, u32> = BTreeMap::new();
    let mut left = count;
    for offer in offers {
        let slots = offer.slots.min(left);
        if slots > 0 {
            *each.entry(offer.worker).or_default() += slots;
            left -= slots;
        }
        if left == 0 {
            return Some(Placement { member_counts: each.into_iter().collect(), available_at: at });
        }
    }
    None
}

/// Chooses workers for `count` members so that the gang ends soonest: within one rack, or on any
/// workers. Each offer comes with the number of its rack. `run` is the run time on one rack, or that
/// on several for `None`.
///
/// *Load pattern:* gangs whose members exchange data, which takes longer between racks, in a pool in
/// which the room of several racks together is complete seconds before that of one. *Without it:*
/// the gang starts on all of these racks and takes `remote_factor` times as long.
pub fn earliest_end<W: Copy + Ord>(
    offers: Vec<(usize, Offer<W>)>,
    count: u32,
    run: impl Fn(Option<usize>) -> Duration,
) -> Option<Placement<W>> {
    let mut racks: BTreeMap<Option<usize>, Vec<Offer<W>>> = BTreeMap::new();
    for (rack, offer) in &offers {
        racks.entry(Some(*rack)).or_default().push(*offer);
    }
    racks.insert(None, offers.into_iter().map(|o| o.1).collect());
    let places = racks.into_iter().filter_map(|(rack, offers)| {
        let place = soonest_placement(offers, count)?;
        Some((place.available_at + run(rack), rack.is_none(), place))
    });
    places.min_by_key(|p| (p.0, p.1)).map(|p| p.2)
}

/// Statistics of the advice for a queue: how many workers the calls named, and how many of them
/// may run the step.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdviceShare {
    total: u64,
    good: u64,
}

impl AdviceShare {
    /// Adds the result of one call.
    pub fn record(&mut self, named: usize, good: usize) {
        self.total += named as u64;
        self.good += good as u64;
    }

    /// Returns the share of workers that may run a step, in percent; at least 1.
    fn percent(&self) -> u64 {
        let (percent, weight) = PRIOR_SHARE;
        ((self.good * 100 + percent * weight) / (self.total + weight)).max(1)
    }

    /// Returns the number of workers to request advice about so that `missing` members find room.
    /// `slots` has the number of members that each worker has room for.
    pub fn workers_to_ask(&self, slots: impl Iterator<Item = u32>, missing: u32) -> usize {
        let wanted = u64::from(missing) * ASKED_PERCENT / self.percent();
        let mut found = 0;
        let fewer = |slots: &u32| {
            let before = found;
            found += u64::from(*slots);
            before < wanted
        };
        slots.take_while(fewer).count()
    }
}

/// Returns how many workers each of several parallel calls names. With so many, a call takes half
/// as long again as its base time.
pub fn call_size(base: Duration, each: Duration) -> usize {
    let half = base.as_micros() / (2 * each.as_micros()).max(1);
    u64::try_from(half).unwrap_or(u64::MAX).clamp(CALL_SIZE_RANGE.0, CALL_SIZE_RANGE.1) as usize
}
