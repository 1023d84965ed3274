//! Which peer member gets a request that this member can't serve at once.
//!
//! *Load pattern:* callers' connections, and so requests, fall unevenly on members; each owns some
//! racks, and knows the others' load from reports that are up to a second old. *Without it:* the
//! peer that the last report called least loaded is sent everything by every member until the next
//! report, which calls it the most loaded: load swings from peer to peer, full while others idle.
//!
//! *Choice:* two random peers with room by their last report, and of these the less loaded. What
//! this member sent since the report counts as load for as long as it is expected to run. It counts
//! once for each member that sends likewise, as each has the same report: all of them, until the
//! reports show that the peers have less than that.
//!
//! *Availability zones:* a peer in the same availability zone saves 1.5 ms each way. It is taken
//! until more than 60% of its slots are taken and a fifth more than of the other choice's; from
//! there on the others' part grows with the excess. A switch at one threshold would swing.

use {
    crate::{
        Time,
        ids::{Incarnation, Zone},
        messages::ServiceLoad,
    },
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// The load, as a part of the slots, that a peer in the same availability zone may have more than
/// others: at 8 slots, two more taken, which is less than the chance variation of one report.
const MARGIN: f64 = 0.2;
/// The load up to which a peer in the same availability zone is taken whatever the others': of 16
/// slots at 60%, one request in twenty finds none free.
const EASY: f64 = 0.6;
/// The excess over which requests go over to other availability zones.
const RAMP: f64 = 0.3;
/// A peer whose report is older is not sent anything: it reports a few times a second, so several
/// reports in a row were lost, and likely it is gone.
const OLDEST: Duration = Duration::from_secs(3);
/// A peer without a free slot is worth it where its wait is this many times shorter than here:
/// both waits are estimates, and a request is forwarded once only.
const WORTH: u32 = 2;
/// The way there and back to another availability zone, which the wait must be shorter by as well.
const TRIP: Duration = Duration::from_millis(3);
/// The weight of a report of one peer in what the peers have for each request of this member's: a
/// few seconds' count, so that a burst, seen here before the reports show it, doesn't mislead.
const GAIN: f64 = 0.1;
/// The longest wait that is believed, in milliseconds, so that no report makes the sums overflow.
const LONGEST: u64 = 3_600_000;

/// The peers that serve one service, and what they report.
pub struct Spread {
    zone: Zone,
    rng: fastrand::Rng,
    peers: BTreeMap<Incarnation, Peer>,
    /// The mean of the requests at a peer.
    seen: f64,
    /// The mean of this member's requests at a peer.
    own: f64,
}

struct Peer {
    zone: Zone,
    load: ServiceLoad,
    /// When the report was true.
    at: Time,
    /// The mean of the requests there over some seconds of reports.
    usual: f64,
    /// Requests sent by this member that the report doesn't have: when, and their expected end.
    sent: VecDeque<(Time, Time)>,
    /// Whether it has refused a request since the report.
    full: bool,
}

impl Spread {
    /// The spread of a member in `zone`; `rng` draws the choices.
    pub fn new(zone: Zone, rng: fastrand::Rng) -> Self {
        Spread { zone, rng, peers: BTreeMap::new(), seen: 0.0, own: 0.0 }
    }

    /// Takes in a peer's report that was true `age` ago.
    pub fn report(
        &mut self,
        peer: Incarnation,
        zone: &Zone,
        load: ServiceLoad,
        age: Duration,
        now: Time,
    ) {
        let at = now - age;
        let before = self.peers.remove(&peer);
        let (mut sent, usual) = before.map(|p| (p.sent, Some(p.usual))).unwrap_or_default();
        let own = sent.iter().filter(|&&(_, end)| end > now).count() as f64;
        sent.retain(|&(t, _)| t > at);
        let peers = self.peers.len() as f64 + 1.0;
        let reported = reported(&load);
        let usual = usual.map_or(reported, |usual| usual + GAIN * (reported - usual));
        self.own += GAIN / peers * (own - self.own);
        self.seen += GAIN / peers * (reported - self.seen);
        let zone = zone.clone();
        self.peers.insert(peer, Peer { zone, load, at, usual, sent, full: false });
    }

    /// Whether some peer has slots of the service.
    pub fn served(&self) -> bool {
        self.peers.values().any(|p| p.load.slots > 0)
    }

    /// Forgets a peer that is stopping or gone.
    pub fn forget(&mut self, peer: Incarnation) {
        self.peers.remove(&peer);
    }

    /// Records that a peer had no slot for a request; it is sent none until its next report.
    pub fn refused(&mut self, peer: Incarnation) {
        if let Some(p) = self.peers.get_mut(&peer) {
            p.full = true;
        }
    }

    /// Chooses a peer for a request that would wait `wait` here and runs `run`, and counts it there;
    /// none where no peer is expected to serve it sooner.
    pub fn pick(&mut self, wait: Duration, run: Duration, now: Time) -> Option<Incarnation> {
        let senders = self.senders();
        let (mut near, mut far) = (Vec::new(), Vec::new());
        for (&id, peer) in &mut self.peers {
            peer.sent.retain(|&(_, end)| end > now);
            let load = peer.load(run, senders, now);
            if peer.takes(wait, load, now) {
                let side = if peer.zone == self.zone { &mut near } else { &mut far };
                side.push((load, id));
            }
        }
        let id = match (self.better(&near), self.better(&far)) {
            (Some(near), Some(far)) => {
                let excess = (near.0 - EASY).min(near.0 - far.0 - MARGIN);
                if self.rng.f64() < excess / RAMP { far.1 } else { near.1 }
            }
            (near, far) => near.or(far)?.1,
        };
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.sent.push_back((now, now + run));
        }
        Some(id)
    }

    /// How many members send as much as this one, itself included.
    fn senders(&self) -> f64 {
        let most = self.peers.len() as f64;
        if self.seen >= self.own * most { most } else { (self.seen / self.own).max(1.0) }
    }

    /// The less loaded of two random ones.
    fn better(&mut self, peers: &[(f64, Incarnation)]) -> Option<(f64, Incarnation)> {
        let mut two = self.rng.choose_multiple(peers, 2).into_iter();
        let (first, second) = (two.next()?, two.next());
        let second = second.filter(|s| s.0 < first.0);
        Some(*second.unwrap_or(first))
    }
}

impl Peer {
    /// Requests running and waiting there for each slot.
    ///
    /// Of those in the report, the ones that have ended since are taken to be replaced by the usual
    /// number, as what one old report has more or less is over. What was sent since counts where it
    /// is more, not on top, or a steady load would count twice.
    fn load(&self, run: Duration, senders: f64, now: Time) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        let stay = (-age / run.as_secs_f64().max(1e-6)).exp();
        let sent = self.sent.len() as f64 * senders;
        let there = reported(&self.load) * stay + sent.max(self.usual * (1.0 - stay));
        there / f64::from(self.load.slots.max(1))
    }

    /// Whether a request is expected to wait far less there than `wait`, at this load.
    fn takes(&self, wait: Duration, load: f64, now: Time) -> bool {
        if self.full || self.load.slots == 0 || now.since(self.at) > OLDEST {
            return false;
        }
        if load < 1.0 {
            return true;
        }
        let grown = load * f64::from(self.load.slots) / reported(&self.load).max(1.0);
        let there = Duration::from_millis(self.load.wait.clamp(1, LONGEST)).mul_f64(grown);
        there.saturating_mul(WORTH) + TRIP < wait
    }
}

/// Requests running and waiting by a report.
fn reported(load: &ServiceLoad) -> f64 {
    f64::from(load.slots.saturating_sub(load.free)) + f64::from(load.waiting)
}
