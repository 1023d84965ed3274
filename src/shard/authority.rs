//! Whether this owner may act: answers while the store is silent, and former owners' runs.

use {
    crate::{
        shard::{
            machine::Shard,
            workers::{MARGIN, SLOW, Worker, millis},
        },
        time::Time,
        work::JobNo,
    },
    std::time::Duration,
};

/// For how long a confirmed renewal counts, from when it was sent: shorter than the shortest lease.
const FRESH: Duration = Duration::from_millis(1900);
/// For how long an answer of a worker counts, from when it was given.
const HEARD: Duration = Duration::from_millis(2600);

impl Shard {
    /// Whether this owner may start work and renew leases.
    pub(super) fn may_act(&self, now: Time) -> bool {
        self.acts_from(now).is_some()
    }

    /// From when the leases count that this owner gives now; nothing where it may give none.
    ///
    /// Guards against an owner that is cut off from the store and goes on beside its successor:
    /// while the store is silent it needs answers from most of its workers, and a successor needs
    /// the same before it counts others' leases as ended, so that at least one worker has seen both
    /// and refuses the older one. Its leases count from when most had answered, which was before
    /// any successor had heard most: so the successor need not wait for longer than a lease.
    pub(super) fn acts_from(&self, now: Time) -> Option<Time> {
        if self.fresh(now) {
            return Some(now);
        }
        let listed = self.workers.iter().filter(|w| w.listed.is_some() && !w.gone);
        let mut heard: Vec<Option<Time>> = listed.map(|w| w.heard).collect();
        heard.sort_unstable();
        // More than half of them have answered since then.
        let most = heard.len().checked_sub(1)? / 2;
        heard[most].filter(|at| now - *at <= HEARD)
    }

    /// Whether what this owner knows may be told to others.
    ///
    /// Guards against an owner that stood still or is cut off, and has a successor: callers who were
    /// told that a job is completed were told by it that the job is queued, and the duty of upkeep
    /// that a worker is empty. Nobody takes a shard over before its owner's lease has ended, and the
    /// lease lasts for longer than this from the renewal that the store has confirmed. Answers of
    /// workers are not enough: a successor may have completed a job between two of them.
    pub fn may_tell(&self, now: Time) -> bool {
        self.fresh(now)
    }

    /// Whether the store has confirmed this member's lease so lately that it has not ended.
    pub(super) fn fresh(&self, now: Time) -> bool {
        now - self.confirmed <= FRESH
    }

    /// Whether no other owner can have started anything of a job that is not known here.
    ///
    /// Guards against a task that is started by an owner that was taken over and by its successor. What
    /// was there at the takeover the successor finds in the store, and starts none of it before the
    /// shard is settled. What has come since it starts at once, so that a former owner, who may hear of
    /// it as well, must not: it waits for a renewal that shows that the shard was still its own when it
    /// heard of the job.
    pub(super) fn is_sole(&self, no: &JobNo) -> bool {
        let Some(job) = self.jobs.get(no) else { return false };
        if job.old { self.unsettled.is_empty() } else { job.heard <= self.confirmed + FRESH }
    }

    /// Takes in that the store has confirmed this member's lease by a renewal that was sent then.
    pub(super) fn confirm(&mut self, sent: Time, now: Time) {
        self.stir |= !self.fresh(now);
        self.confirmed = self.confirmed.max(sent);
    }

    /// Whether what former owners have started is known.
    ///
    /// Guards against a second run of what goes on at a worker that can't be asked: until all that
    /// may run something have answered, or their leases have ended, no job from before starts. No
    /// former owner gives a lease that counts from later than when most have answered this one.
    pub(super) fn settle(&mut self, now: Time) {
        if self.unsettled.is_empty() {
            return;
        }
        let fenced = |w: &Worker| w.fenced || w.gone;
        let rostered = || self.workers.iter().filter(|w| w.rostered);
        let most = rostered().filter(|w| fenced(w)).count() * 2 > rostered().count();
        if most && self.most.is_none() {
            self.most = Some(now);
        }
        let lease = self.setup.bounds.hold.div_f64(SLOW) + MARGIN;
        // A former owner of whose lease nothing is known may have been confirmed until now.
        let former = if self.lapsed { self.begun } else { self.begun + FRESH };
        let since = self.most.map(|t| t.max(former));
        let lapsed = since.is_some_and(|t| t + lease <= now);
        let workers = &self.workers;
        self.unsettled.retain(|n| !lapsed && !fenced(&workers[n.0]));
        if self.unsettled.is_empty() {
            self.told.settled = Some(now);
            log::info!(target: "shard", did = "settled", shard:% = self.setup.shard, token = self.setup.token, after_ms = millis(now - self.begun), by_lapse = lapsed; "Shard is settled.");
            if !lapsed {
                self.count_former(now);
            }
            self.stir = true;
            self.note(now);
        }
    }
}
