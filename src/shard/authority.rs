//! Decides whether this owner may start work and renew leases while the store does not answer, whether
//! it may have missed a cancel, and which jobs it may start while runs of former owners may still exist.

use {
    crate::{
        shard::{
            state_machine::Shard,
            workers::{CLOCK_MARGIN, MIN_CLOCK_RATE, Worker, WorkerNo, millis},
        },
        time::Time,
        work::JobNo,
    },
    std::time::Duration,
};

/// Time after sending a renewal of the member's lease during which its confirmation proves that the
/// lease is valid; shorter than the shortest lease.
const RENEWAL_VALID: Duration = Duration::from_millis(1900);
/// Divisor of the bound on starts after a cancel that gives the safety margin. The margin covers the
/// time limit of a start and clocks that differ.
const CANCEL_MARGIN_DIVISOR: u32 = 6;
/// Maximum age of a worker's reply that still shows that the worker obeys this owner.
const REPLY_VALID: Duration = Duration::from_millis(2600);

impl Shard {
    /// Returns whether this owner may start tasks.
    pub(super) fn may_start(&self, now: Time) -> bool {
        self.may_act(now) && self.knows_cancels(now)
    }

    /// Returns whether this owner knows of every cancel that was acknowledged so long ago that no task
    /// of its job may start any more.
    ///
    /// Guards against starting tasks of a cancelled job: the store may serve the member that was asked
    /// to cancel it, but not this owner's watch, while this owner's lease is confirmed.
    pub(super) fn knows_cancels(&self, now: Time) -> bool {
        let bound = self.setup.bounds.cancel_lag;
        now - self.inbox_seen <= bound - bound / CANCEL_MARGIN_DIVISOR
    }

    /// Records that all cancels that were acknowledged before `seen` have been delivered.
    pub(super) fn on_inbox_seen(&mut self, seen: Time, now: Time) {
        self.round_due |= !self.knows_cancels(now);
        self.inbox_seen = self.inbox_seen.max(seen);
    }

    /// Returns whether this owner may act and renew leases.
    pub(super) fn may_act(&self, now: Time) -> bool {
        self.lease_start(now).is_some()
    }

    /// Returns the time from which the length of a lease granted now is counted, or `None` if this
    /// owner may grant none.
    ///
    /// Guards against an owner that is cut off from the store and continues beside its successor.
    /// While the store does not answer, an owner needs replies from more than half of the stored
    /// roster's workers. A successor needs the same, of the roster that it has read, before it
    /// treats leases of others as expired, so at least one worker has seen both owners and rejects
    /// the older one. Which workers are listed does not matter: the two owners may have read
    /// different lists. The owner's leases are counted from the time at which more than half of
    /// these workers had replied. No successor can have heard from more than half of them earlier,
    /// so a successor need not wait longer than the length of one lease.
    pub(super) fn lease_start(&self, now: Time) -> Option<Time> {
        if self.is_confirmed(now) {
            return Some(now);
        }
        let heard = self.rosters.iter().map(|r| self.majority_reply(r)).min()?;
        heard.filter(|at| now - *at <= REPLY_VALID)
    }

    /// Returns the latest time such that more than half of a roster's workers have replied at or
    /// after it; `None` if fewer have replied.
    fn majority_reply(&self, roster: &[WorkerNo]) -> Option<Time> {
        let mut reply_times: Vec<Option<Time>> =
            roster.iter().map(|n| self.workers[n.0].last_answer).collect();
        reply_times.sort_unstable();
        reply_times[reply_times.len().checked_sub(1)? / 2]
    }

    /// Returns whether the store has confirmed this member's lease recently enough that it cannot
    /// have expired.
    pub(super) fn is_confirmed(&self, now: Time) -> bool {
        now - self.confirmed_at <= RENEWAL_VALID
    }

    /// Returns whether no former owner can start a task any more: every worker that it may use has
    /// answered this owner, is over, or has no lease left.
    pub(super) fn excludes_former_owners(&self) -> bool {
        let excludes = |w: &Worker| w.fenced || w.gone;
        self.unsettled_workers.iter().all(|n| excludes(&self.workers[n.0]))
    }

    /// Returns whether no other owner can have started a task of the job without this owner knowing
    /// of it.
    ///
    /// Guards against a task that is started both by a former owner and by its successor. For jobs
    /// that existed at the takeover, the successor finds them in the store and starts none of them
    /// before the shard is settled. It starts jobs that arrived later at once, so a former owner
    /// that also hears of such a job must not start it. The former owner therefore waits for a
    /// renewal which shows that it still owned the shard when it heard of the job.
    pub(super) fn is_sole_starter(&self, no: &JobNo) -> bool {
        let Some(job) = self.jobs.get(no) else { return false };
        if job.inherited {
            self.unsettled_workers.is_empty()
        } else {
            job.known_since <= self.confirmed_at + RENEWAL_VALID
        }
    }

    /// Records that the store has confirmed the lease renewal sent at `sent`.
    pub(super) fn on_renewal_confirmed(&mut self, sent: Time, now: Time) {
        self.round_due |= !self.is_confirmed(now);
        self.confirmed_at = self.confirmed_at.max(sent);
    }

    /// Removes workers from `unsettled_workers` once it is known what former owners started there; the
    /// shard is settled when none is left.
    ///
    /// Guards against a second run of a task that still runs at an unreachable worker, or that has
    /// ended on a worker which has not listed that end yet: no job from before the takeover starts
    /// until every worker that may run something has listed all its ends, or until all leases of
    /// former owners have expired. Once more than half of the former roster's workers
    /// have replied to this owner, no former owner can grant a lease that counts from a later time.
    pub(super) fn settle(&mut self, now: Time) {
        if self.unsettled_workers.is_empty() {
            return;
        }
        let workers = &self.workers;
        let fenced = |n: &WorkerNo| workers[n.0].fenced || workers[n.0].gone;
        let most = |r: &[WorkerNo]| r.iter().filter(|n| fenced(n)).count() * 2 > r.len();
        if self.majority_at.is_none() && self.rosters.iter().all(|r| most(r)) {
            self.majority_at = Some(now);
        }
        let lease = self.setup.bounds.max_lease.div_f64(MIN_CLOCK_RATE) + CLOCK_MARGIN;
        // If it is not certain that the former owner's lease had expired, the store may have
        // confirmed it until the takeover, and a confirmation counts for `RENEWAL_VALID`.
        let former_until =
            if self.former_lapsed { self.owned_since } else { self.owned_since + RENEWAL_VALID };
        let since = self.majority_at.map(|t| t.max(former_until));
        // A successor of this owner may have renewed the leases since.
        let lapsed = since.is_some_and(|t| t + lease <= now) && self.is_confirmed(now);
        let bounds = &self.setup.bounds;
        // This owner has renewed the leases of a worker that has answered it.
        let has_lapsed = |w: &Worker| {
            lapsed && (!w.fenced || (w.unanswered_calls > 0 && w.lease_end(bounds) <= now))
        };
        let by_lapse = &mut self.settled_by_lapse;
        self.unsettled_workers.retain(|n| {
            let worker = &workers[n.0];
            let is_known = worker.gone || worker.is_known;
            *by_lapse |= !is_known && has_lapsed(worker);
            !is_known && !has_lapsed(worker)
        });
        if self.unsettled_workers.is_empty() {
            self.reported.settled_at = Some(now);
            log::info!(target: "shard", did = "settled", shard:% = self.setup.shard, token = self.setup.token, after_ms = millis(now - self.owned_since), by_lapse = self.settled_by_lapse; "Shard is settled.");
            if !self.settled_by_lapse {
                self.count_former_crashes(now);
            }
            self.round_due = true;
            self.acknowledge_ends(now);
        }
    }
}
