//! Jobs that need all their tasks at once: their room on the racks of several owners.
//!
//! Load answered: gangs that need much room together, beside other gangs that do. Two gangs that each
//! take what they find and keep it wait for each other for ever, and half a gang that has started
//! does nothing but hold its room.
//!
//! The job's member asks the racks' owners one after another, in the order of the racks' names, for
//! reservations that expire. All or nothing: at the first refusal it releases what it holds and
//! backs off. As every gang asks in the same order and none waits while it holds, gangs can't wait
//! for each other in a circle: of those that hold something, the one whose next rack is last in
//! order is refused by none of the others. A gang that was refused comes back the sooner the longer
//! it has waited, so that an old gang gets ahead of young ones. Nothing is kept free for it: a steady
//! stream of small work can keep a large gang waiting.

use {
    crate::{Time, ids::RackId},
    std::{mem, time::Duration},
};

/// How long a claim holds its reservations before it has them all.
///
/// Long against a call to each of some tens of owners, one after another; short against the run
/// time of anything that the room could serve meanwhile.
const HOLD: Duration = Duration::from_secs(5);
/// The longest way of a start to an owner: no start is sent closer to the expiry.
const FLIGHT: Duration = Duration::from_secs(1);
/// The first back-off: a few calls' time, so that the other claim has gone on.
const FIRST: Duration = Duration::from_millis(100);
/// The longest back-off: short against the time in which a gang's room comes free.
const LONGEST: Duration = Duration::from_secs(10);
/// The wait after which a gang's back-offs are halved, then a third, and so on.
const AGE: Duration = Duration::from_secs(30);

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Ask this rack's owner for the gang's room there, for so long, in this round.
    ///
    /// The owner counts from when it hears of it, so its reservation outlasts this claim's hold.
    Reserve(RackId, Duration, u32),
    /// All is reserved: commit the intents and start on every rack.
    Start,
    /// Release what is reserved on these racks, and begin again at the time.
    Release(Vec<RackId>, Time),
    /// Nothing.
    Nothing,
}

/// A gang's way to all its racks.
#[derive(Clone, Debug)]
pub struct Claim {
    since: Time,
    racks: Vec<RackId>,
    got: usize,
    until: Time,
    round: u32,
    asking: bool,
}

impl Claim {
    /// A claim for a gang that waits since then.
    pub fn new(since: Time) -> Self {
        Claim { since, racks: Vec::new(), got: 0, until: Time::ZERO, round: 0, asking: false }
    }

    /// Begins to ask these racks' owners, after the former round's releases were answered.
    pub fn begin(&mut self, mut racks: Vec<RackId>, now: Time) -> Order {
        racks.sort_unstable();
        racks.dedup();
        (self.racks, self.got, self.until, self.asking) = (racks, 0, now + HOLD, true);
        self.ask(now)
    }

    /// An owner has reserved the room that it was asked for in this round.
    ///
    /// An answer of a former round does nothing: its room was released since, and to count it would
    /// start the gang without that room.
    pub fn granted(&mut self, rack: &RackId, round: u32, now: Time) -> Order {
        if !self.awaits(rack, round) {
            return Order::Nothing;
        }
        self.got += 1;
        self.ask(now)
    }

    /// An owner has refused, or can't be reached.
    ///
    /// A rack whose answer is lost may have reserved the room, so it is released as well.
    pub fn refused(
        &mut self,
        rack: &RackId,
        round: u32,
        now: Time,
        rng: &mut fastrand::Rng,
    ) -> Order {
        if self.awaits(rack, round) { self.abandon(now, rng) } else { Order::Nothing }
    }

    /// Gives up a round that has taken too long, because an owner doesn't answer.
    pub fn tick(&mut self, now: Time, rng: &mut fastrand::Rng) -> Order {
        if self.asking && now >= self.until { self.abandon(now, rng) } else { Order::Nothing }
    }

    fn awaits(&self, rack: &RackId, round: u32) -> bool {
        self.asking && round == self.round && self.racks.get(self.got) == Some(rack)
    }

    fn ask(&mut self, now: Time) -> Order {
        if let Some(rack) = self.racks.get(self.got) {
            return Order::Reserve(rack.clone(), self.until - now, self.round);
        }
        if now + FLIGHT > self.until {
            // A start that arrives after a reservation has lapsed would be refused there and run
            // elsewhere: half a gang. So it isn't sent, and the next tick releases all.
            return Order::Nothing;
        }
        self.asking = false;
        Order::Start
    }

    fn abandon(&mut self, now: Time, rng: &mut fastrand::Rng) -> Order {
        self.racks.truncate(self.got + 1);
        let again = now + self.back_off(now, rng);
        (self.got, self.asking) = (0, false);
        self.round += 1;
        Order::Release(mem::take(&mut self.racks), again)
    }

    /// Doubles with each round, shrinks with the gang's age, and is drawn from its upper half so that
    /// two gangs that were refused together don't come back together.
    fn back_off(&self, now: Time, rng: &mut fastrand::Rng) -> Duration {
        let long = FIRST.saturating_mul(1 << self.round.min(10)).min(LONGEST);
        let age = 1.0 + now.since(self.since).as_secs_f64() / AGE.as_secs_f64();
        long.mul_f64((0.5 + 0.5 * rng.f64()) / age)
    }
}
