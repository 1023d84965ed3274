//! Chooses the peer member that gets a request which this member can't serve at once.
//!
//! *Load pattern:* callers' connections, and so requests, are distributed unevenly over members.
//! Each member owns some racks and knows the load of the others from reports that are up to a
//! second old. *Without it:* all members send everything to the peer that the last report showed as
//! least loaded, until the next report shows it as the most loaded. The load oscillates between
//! peers; some are full while others are idle.
//!
//! *Choice:* the less loaded of two random peers that had room by their last report. Requests that
//! this member sent since the report count as load for their expected run time. They are multiplied
//! by the number of members that send as much as this one, since all of them see the same report.
//! This is assumed to be every member, unless the reports show that the peers have fewer requests
//! than that.
//!
//! *Availability zones:* a peer in the same availability zone saves 1.5 ms each way. It is
//! preferred until more than 60% of its slots are taken and its load exceeds that of the other
//! choice by a fifth of the slots. Above that, the share of other zones grows with the excess;
//! switching at a single threshold would cause oscillation.

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

/// Fraction of its slots by which a peer in the same availability zone may be more loaded than a
/// peer elsewhere and still be preferred. With 8 slots, this is two slots, less than the random
/// variation of one report.
const ZONE_LOAD_MARGIN: f64 = 0.2;
/// Maximum load per slot at which a peer in the same availability zone is always preferred. With 16
/// slots at a load of 60%, one request in twenty finds no free slot.
const MAX_LOCAL_LOAD: f64 = 0.6;
/// Range of excess load over which requests gradually move to other availability zones.
const SPILL_RANGE: f64 = 0.3;
/// Maximum age of a report. A peer reports a few times a second, so an older report means that
/// several in a row were lost, and the peer is probably gone.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);
/// Minimum ratio of the wait at this member to the wait at a peer without a free slot for which a
/// request is forwarded. Both waits are estimates, and a request is forwarded only once.
const MIN_WAIT_RATIO: u32 = 2;
/// Round-trip time to another availability zone, which is added to the wait at a peer.
const CROSS_ZONE_RTT: Duration = Duration::from_millis(3);
/// Weight of one report in the moving averages, which span a few seconds, so that a burst that this
/// member sees before the reports show it doesn't distort the ratio of the averages.
const REPORT_WEIGHT: f64 = 0.1;
/// Maximum reported wait, in milliseconds; larger values are capped to prevent overflow.
const MAX_WAIT_MS: u64 = 3_600_000;

/// The peers that serve one service, and their reported load.
pub struct PeerSelector {
    zone: Zone,
    rng: fastrand::Rng,
    peers: BTreeMap<Incarnation, Peer>,
    /// Moving average of the number of requests that a peer reports, over all peers.
    mean_reported: f64,
    /// Moving average of the number of this member's requests at a peer, over all peers.
    mean_sent: f64,
}

struct Peer {
    zone: Zone,
    load: ServiceLoad,
    /// Time at which the peer's last report was current.
    reported_at: Time,
    /// Moving average of the number of requests that this peer reports.
    mean_requests: f64,
    /// Send time and expected end of each request sent by this member since the peer's last report.
    sent: VecDeque<(Time, Time)>,
    /// Whether the peer has refused a request since its last report.
    refused: bool,
}

impl PeerSelector {
    /// Creates a selector for a member in `zone`; `rng` draws the random choices.
    pub fn new(zone: Zone, rng: fastrand::Rng) -> Self {
        PeerSelector { zone, rng, peers: BTreeMap::new(), mean_reported: 0.0, mean_sent: 0.0 }
    }

    /// Records a report of a peer's load that is `age` old.
    pub fn record_report(
        &mut self,
        peer: Incarnation,
        zone: &Zone,
        load: ServiceLoad,
        age: Duration,
        now: Time,
    ) {
        let at = now - age;
        let before = self.peers.remove(&peer);
        let (mut sent, mean) = before.map(|p| (p.sent, Some(p.mean_requests))).unwrap_or_default();
        let own = sent.iter().filter(|&&(_, end)| end > now).count() as f64;
        sent.retain(|&(t, _)| t > at);
        let peers = self.peers.len() as f64 + 1.0;
        let reported = reported_requests(&load);
        let mean = mean.map_or(reported, |mean| mean + REPORT_WEIGHT * (reported - mean));
        self.mean_sent += REPORT_WEIGHT / peers * (own - self.mean_sent);
        self.mean_reported += REPORT_WEIGHT / peers * (reported - self.mean_reported);
        let zone = zone.clone();
        self.peers.insert(
            peer,
            Peer { zone, load, reported_at: at, mean_requests: mean, sent, refused: false },
        );
    }

    /// Returns whether any peer has slots for the service, free or taken.
    pub fn has_slots(&self) -> bool {
        self.peers.values().any(|p| p.load.slots > 0)
    }

    /// Removes a peer that is stopping or gone.
    pub fn remove_peer(&mut self, peer: Incarnation) {
        self.peers.remove(&peer);
    }

    /// Records that a peer had no slot for a request. It gets no requests until its next report.
    pub fn record_refusal(&mut self, peer: Incarnation) {
        if let Some(p) = self.peers.get_mut(&peer) {
            p.refused = true;
        }
    }

    /// Chooses a peer for a request that would wait `wait` here and runs for `run`, and counts the
    /// request there. Returns `None` if no peer is expected to serve it sooner.
    pub fn pick_peer(&mut self, wait: Duration, run: Duration, now: Time) -> Option<Incarnation> {
        let senders = self.sender_count();
        let (mut near, mut far) = (Vec::new(), Vec::new());
        for (&id, peer) in &mut self.peers {
            peer.sent.retain(|&(_, end)| end > now);
            let load = peer.load_per_slot(run, senders, now);
            if peer.has_shorter_wait(wait, load, now) {
                let side = if peer.zone == self.zone { &mut near } else { &mut far };
                side.push((load, id));
            }
        }
        let id = match (self.less_loaded(&near), self.less_loaded(&far)) {
            (Some(near), Some(far)) => {
                let excess = (near.0 - MAX_LOCAL_LOAD).min(near.0 - far.0 - ZONE_LOAD_MARGIN);
                if self.rng.f64() < excess / SPILL_RANGE { far.1 } else { near.1 }
            }
            (near, far) => near.or(far)?.1,
        };
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.sent.push_back((now, now + run));
        }
        Some(id)
    }

    /// Estimates how many members send as much as this one, including this one.
    fn sender_count(&self) -> f64 {
        let most = self.peers.len() as f64;
        if self.mean_reported >= self.mean_sent * most {
            most
        } else {
            (self.mean_reported / self.mean_sent).max(1.0)
        }
    }

    /// Returns the less loaded of two peers chosen at random from `peers`.
    fn less_loaded(&mut self, peers: &[(f64, Incarnation)]) -> Option<(f64, Incarnation)> {
        let mut two = self.rng.choose_multiple(peers, 2).into_iter();
        let (first, second) = (two.next()?, two.next());
        let second = second.filter(|s| s.0 < first.0);
        Some(*second.unwrap_or(first))
    }
}

impl Peer {
    /// Estimates the number of requests running and waiting at the peer, per slot.
    ///
    /// Reported requests that have probably ended since are assumed to be replaced by the average
    /// number, since the deviation of a single old report does not last. Requests sent since the
    /// report replace that part if they are more. They are not added to it, or a steady load would
    /// count twice.
    fn load_per_slot(&self, run: Duration, senders: f64, now: Time) -> f64 {
        let age = now.since(self.reported_at).as_secs_f64();
        let remaining = (-age / run.as_secs_f64().max(1e-6)).exp();
        let sent = self.sent.len() as f64 * senders;
        let expected = reported_requests(&self.load) * remaining
            + sent.max(self.mean_requests * (1.0 - remaining));
        expected / f64::from(self.load.slots.max(1))
    }

    /// Returns whether a request is expected to wait far less than `wait` at the peer with this
    /// load.
    fn has_shorter_wait(&self, wait: Duration, load: f64, now: Time) -> bool {
        if self.refused || self.load.slots == 0 || now.since(self.reported_at) > MAX_REPORT_AGE {
            return false;
        }
        if load < 1.0 {
            return true;
        }
        let growth = load * f64::from(self.load.slots) / reported_requests(&self.load).max(1.0);
        let expected = Duration::from_millis(self.load.wait.clamp(1, MAX_WAIT_MS)).mul_f64(growth);
        expected.saturating_mul(MIN_WAIT_RATIO) + CROSS_ZONE_RTT < wait
    }
}

/// Returns the number of requests running and waiting according to a report.
fn reported_requests(load: &ServiceLoad) -> f64 {
    f64::from(load.slots.saturating_sub(load.free)) + f64::from(load.waiting)
}
