//! Claims room for gangs, jobs whose tasks must all start together, on the racks of several owners.
//!
//! *Load pattern:* gangs that need much room at the same time as other gangs. *Without it:* two
//! gangs that each reserve what they find and keep it wait for each other for ever, and half a gang
//! that has started only occupies its room.
//!
//! The member that runs the job asks the owners of the racks one after another, in the order of the
//! rack names, for reservations that expire. The claim is all or nothing: at the first refusal it
//! releases its reservations and backs off. Every gang asks in the same order and none waits while
//! it holds reservations, so gangs can't deadlock: among the gangs that hold something, the one
//! whose next rack is last in order is refused by none of the others. The longer a refused gang has
//! waited, the sooner it retries, so that an old gang overtakes young ones. No room is kept free
//! for it: a steady stream of small work can keep a large gang waiting.

use {
    crate::{Time, ids::RackId},
    std::{mem, time::Duration},
};

/// Time for which a claim holds its reservations while it collects the remaining ones.
///
/// It is long compared with calls to some tens of owners, one after another, and short compared
/// with the run time of other work that could use the room meanwhile.
const CLAIM_HOLD: Duration = Duration::from_secs(5);
/// Maximum time that a start takes to reach an owner. No start is sent if less time than this
/// is left before the reservations expire.
const MAX_START_LATENCY: Duration = Duration::from_secs(1);
/// Length of the first back-off: the time of a few calls, so that the competing claim has
/// progressed.
const FIRST_BACK_OFF: Duration = Duration::from_millis(100);
/// Maximum back-off; short compared with the time in which room for a gang becomes free.
const MAX_BACK_OFF: Duration = Duration::from_secs(10);
/// Waiting time after which the back-offs of a gang are halved. After twice this time they are
/// divided by three, and so on.
const HALVING_WAIT: Duration = Duration::from_secs(30);

/// What the caller must do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask this rack's owner to reserve the gang's room there for this duration, in this round.
    ///
    /// The owner counts the duration from the arrival of the request, so its reservation outlasts
    /// the hold of this claim.
    Reserve(RackId, Duration, u32),
    /// All racks are reserved: commit the intents and start on every rack.
    Start,
    /// Release the reservations on these racks, and begin the next round at this time.
    Release(Vec<RackId>, Time),
    /// Do nothing.
    Nothing,
}

/// The claim of one gang on all its racks.
#[derive(Clone, Debug)]
pub struct Claim {
    waiting_since: Time,
    racks: Vec<RackId>,
    reserved_count: usize,
    expires_at: Time,
    round: u32,
    awaiting_answer: bool,
}

impl Claim {
    /// Creates a claim for a gang that has waited since the given time.
    pub fn new(waiting_since: Time) -> Self {
        Claim {
            waiting_since,
            racks: Vec::new(),
            reserved_count: 0,
            expires_at: Time::ZERO,
            round: 0,
            awaiting_answer: false,
        }
    }

    /// Begins a round on these racks, after the releases of the previous round were answered.
    pub fn begin_round(&mut self, mut racks: Vec<RackId>, now: Time) -> Action {
        racks.sort_unstable();
        racks.dedup();
        (self.racks, self.reserved_count, self.expires_at, self.awaiting_answer) =
            (racks, 0, now + CLAIM_HOLD, true);
        self.ask(now)
    }

    /// Records that an owner has reserved the room in this round.
    ///
    /// Answers of an earlier round are ignored: that room has been released since, and counting it
    /// would start the gang without it.
    pub fn record_grant(&mut self, rack: &RackId, round: u32, now: Time) -> Action {
        if !self.awaits(rack, round) {
            return Action::Nothing;
        }
        self.reserved_count += 1;
        self.ask(now)
    }

    /// Records that an owner has refused or can't be reached.
    ///
    /// The rack is released as well, because its owner may have reserved the room if its answer was
    /// lost.
    pub fn record_refusal(
        &mut self,
        rack: &RackId,
        round: u32,
        now: Time,
        rng: &mut fastrand::Rng,
    ) -> Action {
        if self.awaits(rack, round) { self.abandon(now, rng) } else { Action::Nothing }
    }

    /// Abandons a round that has expired because an owner doesn't answer.
    pub fn tick(&mut self, now: Time, rng: &mut fastrand::Rng) -> Action {
        if self.awaiting_answer && now >= self.expires_at {
            self.abandon(now, rng)
        } else {
            Action::Nothing
        }
    }

    fn awaits(&self, rack: &RackId, round: u32) -> bool {
        self.awaiting_answer
            && round == self.round
            && self.racks.get(self.reserved_count) == Some(rack)
    }

    fn ask(&mut self, now: Time) -> Action {
        if let Some(rack) = self.racks.get(self.reserved_count) {
            return Action::Reserve(rack.clone(), self.expires_at - now, self.round);
        }
        if now + MAX_START_LATENCY > self.expires_at {
            // A start that arrives after a reservation has expired would be refused there and run
            // elsewhere, so only half of the gang would run. Hence no start is sent, and the next
            // tick releases all reservations.
            return Action::Nothing;
        }
        self.awaiting_answer = false;
        Action::Start
    }

    fn abandon(&mut self, now: Time, rng: &mut fastrand::Rng) -> Action {
        self.racks.truncate(self.reserved_count + 1);
        let retry_at = now + self.back_off(now, rng);
        (self.reserved_count, self.awaiting_answer) = (0, false);
        self.round += 1;
        Action::Release(mem::take(&mut self.racks), retry_at)
    }

    /// Returns the back-off, which doubles with each round and shrinks with the gang's waiting
    /// time. It is drawn at random from the upper half of the range, so that two gangs that were
    /// refused together don't retry together.
    fn back_off(&self, now: Time, rng: &mut fastrand::Rng) -> Duration {
        let base = FIRST_BACK_OFF.saturating_mul(1 << self.round.min(10)).min(MAX_BACK_OFF);
        let age = 1.0 + now.since(self.waiting_since).as_secs_f64() / HALVING_WAIT.as_secs_f64();
        base.mul_f64((0.5 + 0.5 * rng.f64()) / age)
    }
}
