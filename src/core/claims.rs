//! Claims on the keys of this member's requests: requests for claims, their replies, notices of their
//! ends, and queries for them.

use {
    super::Core,
    crate::{
        error::{Error, Kind},
        event::{Call, HolderState, Ticket, Verdict},
        ids::{RequestId, bucket_of},
        messages::{ClaimAsk, ClaimEnd, ClaimFate, ClaimProbe, ClaimReply, ClaimVerdict},
        requests::{
            Claim, END_RETRY, OWN_END_MARK, Pending, REASK_MARK, Stage, digest, end, stored_answer,
        },
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
                let reply = ClaimReply { verdict, status: None, answer: None, holder: None };
                self.claimed(ask.request, Some(reply), now);
            }
        }
    }

    /// Handles the reply to a claim request; `None` if the reply was lost.
    pub(crate) fn claimed(&mut self, ask: RequestId, reply: Option<ClaimReply>, now: Time) {
        let Some((request, p)) = self.claiming(ask) else { return };
        let verdict = reply.as_ref().map_or(ClaimVerdict::Unowned, |r| r.verdict);
        let holder = reply.as_ref().and_then(|r| r.holder);
        let kind = match verdict {
            ClaimVerdict::Granted => return self.route(request, now),
            ClaimVerdict::Answered => {
                p.claim = None;
                let (status, answer) = reply.map_or((None, None), |r| (r.status, r.answer));
                return self.finish(request, stored_answer(status, answer), now);
            }
            ClaimVerdict::Running if let Some(holder) = holder => {
                return self.probe_holder(request, holder, now);
            }
            ClaimVerdict::Running => Kind::KeyRunning,
            ClaimVerdict::Unknown => Kind::KeyUnknown,
            ClaimVerdict::Mismatch => Kind::KeyMismatch,
            ClaimVerdict::Unowned => Kind::KeyUnowned,
            ClaimVerdict::KvDown | ClaimVerdict::Full => Kind::KvDown,
        };
        if kind == Kind::KeyUnowned && p.may_retry(now) {
            return self.retry_claim(request, true, now);
        }
        if !matches!(kind, Kind::KeyUnowned | Kind::KvDown) {
            p.claim = None;
        }
        self.finish(request, Err(kind.into()), now);
    }

    /// Handles what the member that claimed a key knows of the claimed request; `None` if the reply
    /// was lost.
    pub(super) fn holder_replied(&mut self, ask: RequestId, state: Option<HolderState>, now: Time) {
        let Some((request, p)) = self.claiming(ask) else { return };
        let verdict = match state {
            Some(HolderState::Ended(end)) if end.fate == ClaimFate::Answered => {
                stored_answer(end.status, end.answer)
            }
            Some(HolderState::Ended(end)) if end.fate == ClaimFate::Unknown => {
                Err(Kind::KeyUnknown.into())
            }
            // The owner that was asked has not heard of the end, or does not own the key any more.
            Some(HolderState::Ended(_) | HolderState::Acknowledged) if p.may_retry(now) => {
                return self.retry_claim(request, false, now);
            }
            Some(HolderState::Ended(_) | HolderState::Acknowledged) => {
                let why = "it is over, and the key's owner has not heard how it ended";
                Err(Error::new(Kind::OutcomeUnknown, why).with_retry_after(END_RETRY))
            }
            Some(HolderState::Running) | None => Err(Kind::KeyRunning.into()),
        };
        p.claim = None;
        self.finish(request, verdict, now);
    }

    /// What this member knows of a request that it claimed a key for; `None` if it did not.
    pub(super) fn holder_state(&self, probe: &ClaimProbe) -> Option<HolderState> {
        if probe.holder.entry() != self.me() {
            return None;
        }
        let keys = &self.requests.keys;
        if let Some((end, _)) = keys.ends.get(&(probe.key.clone(), probe.holder)) {
            return Some(HolderState::Ended(end.clone()));
        }
        let request = keys.asks.get(&probe.holder).unwrap_or(&probe.holder);
        let claim = self.requests.table.get(request).and_then(|p| p.claim.as_ref());
        Some(match claim {
            Some(claim) if claim.ask == probe.holder => HolderState::Running,
            _ => HolderState::Acknowledged,
        })
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

    /// Asks the member that claimed a request's key whether the claimed request has ended.
    ///
    /// The key's owner hears of an end only after the caller did. Without this, a caller that was
    /// answered would hear from another member that its request is running.
    fn probe_holder(&mut self, request: RequestId, holder: RequestId, now: Time) {
        let Some(p) = self.requests.table.get(&request) else { return };
        let Some(claim) = &p.claim else { return };
        let probe = ClaimProbe { key: claim.key.clone(), holder, request: claim.ask };
        if holder.entry() != self.me() {
            return self.call(holder.entry(), Call::ClaimProbe(probe));
        }
        let state = self.holder_state(&probe);
        self.holder_replied(probe.request, state, now);
    }

    /// The request whose claim was last asked for under this id, if it awaits the verdict.
    fn claiming(&mut self, ask: RequestId) -> Option<(RequestId, &mut Pending)> {
        let id = self.requests.keys.asks.get(&ask).copied().unwrap_or(ask);
        let p = self.requests.table.get_mut(&id)?;
        let awaited = p.stage == Stage::Claiming && p.claim.as_ref().is_some_and(|c| c.ask == ask);
        awaited.then_some((id, p))
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
