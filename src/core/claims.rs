//! Claims on the keys of this member's requests: requests for claims, their replies, and notices of
//! their ends.

use {
    super::Core,
    crate::{
        error::Kind,
        event::{Call, Ticket, Verdict},
        ids::{RequestId, bucket_of},
        messages::{ClaimAsk, ClaimEnd, ClaimReply, ClaimVerdict},
        requests::{Claim, END_RETRY, OWN_END_MARK, REASK_MARK, Stage, digest, end, stored_answer},
        time::Time,
    },
    std::time::Duration,
};

/// The pause before a request is claimed or routed again.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(100);

impl Core {
    /// Requests the claim from the owner of a request's key.
    pub(super) fn claim(&mut self, request: RequestId, now: Time) {
        let Some(p) = self.requests.table.get(&request) else { return };
        let Some(claim) = &p.claim else { return };
        let ask =
            ClaimAsk { key: claim.key.clone(), digest: digest(&p.ask).into(), request: claim.ask };
        self.requests.keys.deadlines.insert((p.deadline, request));
        match self.bucket_owner(bucket_of(ask.key.as_str())) {
            Some(owner) if owner == self.me() => self.jobs.claim(ask, now),
            Some(owner) => self.call(owner, Call::Claim(ask)),
            None => {
                let verdict = ClaimVerdict::Unowned;
                let reply = ClaimReply { verdict, status: None, answer: None };
                self.claimed(ask.request, Some(reply), now);
            }
        }
    }

    /// Handles the reply to a claim request; `None` if the reply was lost.
    pub(crate) fn claimed(&mut self, ask: RequestId, reply: Option<ClaimReply>, now: Time) {
        let request = self.requests.keys.asks.get(&ask).copied().unwrap_or(ask);
        let Some(p) = self.requests.table.get_mut(&request) else { return };
        let Some(claim) = p.claim.as_ref().filter(|c| c.ask == ask) else { return };
        if p.stage != Stage::Claiming {
            return;
        }
        let verdict = reply.as_ref().map_or(ClaimVerdict::Unowned, |r| r.verdict);
        let kind = match verdict {
            ClaimVerdict::Granted => return self.route(request, now),
            ClaimVerdict::Answered => {
                p.claim = None;
                let verdict = reply.map_or_else(|| Err(Kind::KeyUnknown.into()), stored_answer);
                return self.finish(request, verdict, now);
            }
            ClaimVerdict::Running => Kind::KeyRunning,
            ClaimVerdict::Unknown => Kind::KeyUnknown,
            ClaimVerdict::Mismatch => Kind::KeyMismatch,
            ClaimVerdict::Unowned => Kind::KeyUnowned,
            ClaimVerdict::KvDown | ClaimVerdict::Full => Kind::KvDown,
        };
        let mine = kind == Kind::KeyRunning && self.requests.keys.maybe_claimed(&claim.key);
        if (kind == Kind::KeyUnowned || mine) && p.may_retry(now) {
            return self.retry_claim(request, kind == Kind::KeyUnowned, now);
        }
        if !matches!(kind, Kind::KeyUnowned | Kind::KvDown) {
            p.claim = None;
        }
        self.finish(request, Err(kind.into()), now);
    }

    /// Handles the reply to the notice of a claim's end.
    pub(crate) fn end_replied(&mut self, end: &ClaimEnd, taken: bool) {
        if taken {
            self.requests.keys.ends.remove(&(end.key.clone(), end.request));
        }
    }

    /// Handles the commit of a claim's end that this member, as the key's owner, recorded itself.
    pub(crate) fn end_committed(&mut self, ticket: Ticket) {
        if let Some(at) = self.requests.keys.ack_tickets.remove(&ticket) {
            self.requests.keys.ends.remove(&at);
        }
    }

    /// Tells the key's owner how a claimed request ended.
    pub(super) fn end_claim(&mut self, claim: Claim, verdict: &Verdict, now: Time) {
        self.requests.keys.asks.remove(&claim.ask);
        self.tell_end(end(claim, verdict), now);
    }

    /// Fails the requests whose claim was not decided in time.
    pub(super) fn expire_claims(&mut self, now: Time) {
        while self.requests.keys.deadlines.first().is_some_and(|(at, _)| *at <= now) {
            let Some((_, id)) = self.requests.keys.deadlines.pop_first() else { break };
            if self.requests.table.get(&id).is_some_and(|p| p.stage == Stage::Claiming) {
                self.finish(id, Err(Kind::KeyUnowned.into()), now);
            }
        }
    }

    /// Sends again the notices of ends that are not confirmed as committed.
    pub(super) fn resend_ends(&mut self, now: Time) {
        let ends = self.requests.keys.ends.values_mut();
        let due: Vec<ClaimEnd> = ends
            .filter(|(_, at)| *at <= now)
            .map(|(end, at)| {
                *at = now + END_RETRY;
                end.clone()
            })
            .collect();
        for end in due {
            self.tell_end(end, now);
        }
    }

    /// Schedules another claim request. It uses a new id if the last one may have been committed.
    fn retry_claim(&mut self, request: RequestId, doubt: bool, now: Time) {
        let me = u128::from(self.me().0) << 64;
        let Some(p) = self.requests.table.get_mut(&request) else { return };
        let Some(claim) = &mut p.claim else { return };
        self.requests.retries.insert((now + RETRY_DELAY, request));
        if !doubt {
            return;
        }
        let keys = &mut self.requests.keys;
        keys.ask_count += 1;
        let ask = RequestId(me | REASK_MARK | keys.ask_count);
        let old = Claim { key: claim.key.clone(), ask: claim.ask };
        claim.ask = ask;
        keys.asks.insert(ask, request);
        self.end_claim(old, &Err(Kind::KeyUnowned.into()), now);
    }

    fn tell_end(&mut self, end: ClaimEnd, now: Time) {
        let at = (end.key.clone(), end.request);
        let keys = &mut self.requests.keys;
        keys.ends.insert(at.clone(), (end.clone(), now + END_RETRY));
        match self.bucket_owner(bucket_of(end.key.as_str())) {
            Some(owner) if owner == self.me() => {
                let keys = &mut self.requests.keys;
                keys.ack_tickets.retain(|_, t| *t != at);
                keys.last_own_ticket += 1;
                let ticket = OWN_END_MARK | keys.last_own_ticket;
                keys.ack_tickets.insert(ticket, at);
                self.jobs.claim_end(end, ticket);
            }
            Some(owner) => self.call(owner, Call::ClaimEnd(end)),
            None => {}
        }
    }
}
