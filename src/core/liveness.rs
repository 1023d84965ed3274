//! Contact between members: the beats, and whether this member may serve and dispatch.

use {
    super::{BEAT_INTERVAL, CONTACT_TIMEOUT, CUT_OFF_LAG, Core, Peer, READY_TIMEOUT},
    crate::{
        event::Call,
        ids::Incarnation,
        messages::{Beat, BeatReply, ServiceLoad},
        time::{Time, millis},
    },
    std::{mem, time::Duration},
};

impl Core {
    /// Whether this member may serve callers.
    pub fn ready(&self, now: Time) -> bool {
        !self.draining() && self.ready_at.is_some_and(|at| at <= now) && self.current(now)
    }

    /// Marks this member as ready once it knows endpoints of every service.
    ///
    /// Without this, a new member would report ready as soon as it has the configuration. For about
    /// a second it knows neither workers nor its peers' endpoints, so every rolling replacement
    /// would refuse callers with `no_endpoint`. Later losses of endpoints don't count: they are the
    /// same for all members, and a load balancer without any ready member could not even pass the
    /// refusals on.
    pub(super) fn warm_up(&mut self, now: Time) {
        if self.config.version().0 == 0 {
            return;
        }
        let latest = *self.ready_at.get_or_insert(now + READY_TIMEOUT);
        let known = |id, pool| self.racks.slots(pool, now).0 > 0 || self.requests.served(id);
        if latest > now && self.config.plan().services.iter().all(|(id, s)| known(id, &s.pool)) {
            self.ready_at = Some(now);
        }
    }

    /// Whether the configuration held here may still be the one in force.
    ///
    /// Without this, a member that is cut off would serve by a replaced configuration for as long
    /// as the cut lasts. The member is in contact if, within `CONTACT_TIMEOUT`, the key-value store
    /// has answered it, or has answered a peer that this member hears. During an outage of the
    /// store it is enough to hear half of the other members, as no configuration can have been
    /// accepted then.
    pub(crate) fn current(&self, now: Time) -> bool {
        if self.ownership.store_silence(now) < CONTACT_TIMEOUT {
            return true;
        }
        let heard = self.peers.values().filter(|p| now - p.last_heard < CONTACT_TIMEOUT);
        let by_peer = |p: &Peer| {
            let age = p.beat.as_ref().map_or(Duration::MAX, |b| Duration::from_millis(b.kv));
            age < CONTACT_TIMEOUT
                && p.beat.as_ref().is_some_and(|b| b.version <= self.config.version())
        };
        let (mut count, mut linked) = (0, false);
        for peer in heard {
            count += 1;
            linked |= by_peer(peer);
        }
        let others = self.ownership.members().len().saturating_sub(1);
        linked || (others > 0 && 2 * count >= others)
    }

    /// Logs, once until the configuration is current again, that requests are refused because the
    /// configuration may be old.
    pub(super) fn log_stale(&mut self, now: Time) {
        if mem::replace(&mut self.stale_logged, true) {
            return;
        }
        let (member, version) = (self.me(), self.config.version());
        let silent_ms = millis(self.ownership.store_silence(now));
        let heard_ms: Vec<u64> = self.peers.values().map(|p| millis(now - p.last_heard)).collect();
        log::warn!(target: "requests", member:% = member, version:% = version, silent_ms, heard_ms:? = heard_ms; "Requests are refused: the configuration may have been replaced.");
    }

    /// Whether this member may dispatch to its workers.
    ///
    /// It may if its lease runs, or if the key-value store answers no member, as then no member can
    /// take over either. A peer that the store has answered well after it last answered here shows
    /// that only this member is cut off. In addition, a worker refuses a dispatch whose epoch is
    /// older than the highest that it has seen.
    pub(crate) fn may_dispatch(&self, now: Time) -> bool {
        if self.ownership.leased(now) {
            return true;
        }
        let Some(mine) = self.ownership.contact() else { return false };
        let others = self.ownership.members().keys().filter(|m| **m != self.me());
        let mut silent = 0;
        for member in others {
            match self.peers.get(member).filter(|p| now - p.last_heard < CONTACT_TIMEOUT) {
                Some(peer) if peer.kv_contact > mine + CUT_OFF_LAG => return false,
                Some(_) => {}
                None => silent += 1,
            }
        }
        silent * 2 <= self.ownership.members().len()
    }

    pub(super) fn beats(&mut self, now: Time) {
        let others: Vec<Incarnation> =
            self.ownership.members().keys().copied().filter(|m| *m != self.me()).collect();
        let mut beat = None;
        for id in others {
            let peer = self.peers.entry(id).or_insert_with(|| Peer::new(now));
            if peer.in_flight || peer.due > now {
                continue;
            }
            peer.in_flight = true;
            peer.due = now + BEAT_INTERVAL;
            let beat = beat.get_or_insert_with(|| self.beat(now)).clone();
            self.call(id, Call::Beat(beat));
        }
    }

    pub(super) fn beat(&self, now: Time) -> Beat {
        let services = self.config.plan().services.iter().map(|(id, s)| {
            let (slots, free) = self.racks.slots(&s.pool, now);
            let waiting = self.requests.waiting(id);
            ServiceLoad {
                service: id.clone(),
                slots,
                free: free.saturating_sub(u32::try_from(waiting).unwrap_or(u32::MAX)),
                waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
                wait: millis(self.requests.wait(id, s, now)),
            }
        });
        Beat {
            from: self.me(),
            version: self.config.version(),
            kv: millis(self.ownership.store_silence(now)),
            draining: self.draining(),
            services: services.collect(),
            racks: self.racks.loads(),
            done: self.jobs.done(),
        }
    }

    pub(super) fn on_beat(&mut self, mut beat: Beat, now: Time) -> BeatReply {
        let from = beat.from;
        self.jobs.add_remote_ended(mem::take(&mut beat.done));
        self.fetch_newer(from, beat.version, now);
        if let Some(record) = self.ownership.members().get(&from).filter(|_| !beat.draining) {
            self.requests.report(record, &self.me, &beat.services, now);
        }
        let peer = self.peers.entry(from).or_insert_with(|| Peer::new(now));
        peer.last_heard = now;
        peer.kv_contact = peer.kv_contact.max(now - Duration::from_millis(beat.kv));
        peer.beat = Some(beat);
        BeatReply { version: self.config.version(), kv: millis(self.ownership.store_silence(now)) }
    }

    /// Fetches the configuration from a peer that holds a newer version.
    pub(super) fn fetch_newer(
        &mut self,
        from: Incarnation,
        version: crate::ids::Version,
        now: Time,
    ) {
        if version > self.config.version()
            && (!self.fetching || self.fetched_at + CONTACT_TIMEOUT < now)
        {
            self.fetching = true;
            self.fetched_at = now;
            self.call(from, Call::Config());
        }
    }
}
