//! The configuration in force: the version that a member holds, and the outcome of a submission.
//!
//! A submission is accepted if its compare-and-swap took effect in the key-value service. Members
//! learn of a version from their watch or from a peer, whichever is first, and never return to an
//! older one.

use {
    crate::{
        event::Ticket,
        ids::{Revision, SubmissionId, Version},
        messages::{ConfigRecord, KvEntry, KvPutReply, Submit, SubmitReply},
        text::Plan,
        time::Time,
    },
    std::{rc::Rc, time::Duration},
};

/// The record's key.
pub const KEY: &str = "shared/config";
/// How long a submission may stay undecided before its outcome is reported as unknown.
pub const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a write may stay unanswered. A call's answer or failure arrives in under a second, so
/// this is exceeded only if the event was dropped inside the member.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// The pause before a record is read again after a failed or undecided read.
const READ_RETRY: Duration = Duration::from_millis(300);

/// The configuration that a member holds.
#[derive(Default)]
pub struct Config {
    revision: Revision,
    record: Option<ConfigRecord>,
    plan: Rc<Plan>,
    pending: Option<Pending>,
}

struct Pending {
    ticket: Ticket,
    record: ConfigRecord,
    base: Version,
    since: Time,
    stage: Stage,
    fate: Fate,
}

/// What is known about a submission's write.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fate {
    Open,
    /// It was refused and never takes effect.
    Refused,
    /// Its record was seen in force.
    Seen,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    Writing,
    /// The write's answer was lost; a read is due at this time.
    Unsure(Time),
    Reading,
}

/// The next action of a submission.
#[derive(Debug)]
pub enum Step {
    /// Write the record if it has this version.
    Write(Revision, ConfigRecord),
    /// Read the record.
    Read,
    /// Answer the operator; `None` means that the outcome is unknown.
    Answer(Ticket, Option<SubmitReply>),
}

impl Config {
    /// The version in force here.
    pub fn version(&self) -> Version {
        self.record.as_ref().map_or(Version(0), |r| r.version)
    }

    /// The plan in force here.
    pub fn plan(&self) -> &Rc<Plan> {
        &self.plan
    }

    /// The record in force here and its revision.
    pub fn record(&self) -> Option<(Revision, &ConfigRecord)> {
        self.record.as_ref().map(|r| (self.revision, r))
    }

    /// Applies a record from the service or a peer; returns whether it is newer and now in force.
    ///
    /// Guards against stale reads and slow peers, which would put an older text back in force, so
    /// that operators would see a change undone. Versions only grow; an older record is ignored.
    pub fn take(&mut self, revision: Revision, record: ConfigRecord) -> bool {
        if record.version <= self.version() {
            return false;
        }
        match Plan::read(&record.text) {
            Ok(plan) => self.plan = Rc::new(plan),
            Err(faults) => {
                // Written by a newer release with another grammar: keep the current plan.
                log::error!(target: "config", "Version {} cannot be read: {} errors.", record.version, faults.len());
                return false;
            }
        }
        if let Some(p) = self.pending.as_mut().filter(|p| p.record.submission == record.submission)
        {
            p.fate = Fate::Seen;
        }
        self.revision = revision;
        self.record = Some(record);
        true
    }

    /// Starts a submission whose text was parsed without errors.
    pub fn submit(&mut self, ticket: Ticket, ask: Submit, now: Time) -> Step {
        if self.record.as_ref().is_some_and(|r| r.submission == ask.submission) {
            return Step::Answer(ticket, Some(self.reply(true)));
        }
        if ask.base != self.version() || self.pending.is_some() {
            return Step::Answer(ticket, Some(self.reply(false)));
        }
        let record = ConfigRecord {
            version: Version(self.version().0 + 1),
            submission: ask.submission,
            by: ask.by,
            text: ask.text,
        };
        let stage = Stage::Writing;
        let (base, copy) = (ask.base, record.clone());
        self.pending = Some(Pending { ticket, record, base, since: now, stage, fate: Fate::Open });
        Step::Write(self.revision, copy)
    }

    /// Processes the answer to the write, `None` if it was lost.
    ///
    /// A write whose answer was lost may have taken effect. A blind repeat would then be refused, and
    /// the operator would get a conflict with their own text; so the record is read instead.
    pub fn written(&mut self, reply: Option<KvPutReply>, now: Time) -> Option<Step> {
        let p = self.pending.as_mut().filter(|p| p.stage == Stage::Writing)?;
        match reply {
            Some(r) if r.done => {
                let p = self.pending.take()?;
                self.take(r.revision, p.record);
                Some(Step::Answer(p.ticket, Some(self.reply(true))))
            }
            Some(_) => {
                p.fate = Fate::Refused;
                p.stage = Stage::Reading;
                Some(Step::Read)
            }
            None => {
                p.stage = Stage::Unsure(now + READ_RETRY);
                None
            }
        }
    }

    /// Processes the answer to a read.
    ///
    /// If the write's answer was lost, a version later than the write's own does not show its outcome:
    /// the write may have taken effect and been replaced since, by an operator who saw it. If it were
    /// reported as a conflict, it would be submitted again and undo the later changes. So the
    /// submission stays open until [`SUBMIT_TIMEOUT`] is over, unless its record is seen meanwhile.
    pub fn read(&mut self, entry: Option<KvEntry>, now: Time) -> Option<Step> {
        let entry = entry.and_then(|e| {
            let record: ConfigRecord = serde_json::from_str(&e.value).ok()?;
            Some((e.revision, record))
        });
        if let Some((revision, record)) = entry {
            self.take(revision, record);
        }
        let p = self.pending.as_mut().filter(|p| p.stage == Stage::Reading)?;
        let version = self.record.as_ref().map_or(Version(0), |r| r.version);
        let accepted = match p.fate {
            Fate::Seen => Some(true),
            Fate::Refused => (version > p.base).then_some(false),
            Fate::Open => (version == p.record.version).then_some(false),
        };
        if let Some(accepted) = accepted {
            let p = self.pending.take()?;
            return Some(Step::Answer(p.ticket, Some(self.reply(accepted))));
        }
        // The write may still be in flight, or the read is stale.
        p.stage = Stage::Unsure(now + READ_RETRY);
        None
    }

    /// Returns the action that is due, if any.
    pub fn tick(&mut self, now: Time) -> Option<Step> {
        // The submission stays pending until its write is answered, normally within the deadline of a
        // call: the answer of this write could otherwise be taken for that of the next submission's.
        let open = |p: &&mut Pending| p.stage != Stage::Writing || now - p.since > WRITE_TIMEOUT;
        let p = self.pending.as_mut().filter(open)?;
        if p.fate == Fate::Seen {
            let p = self.pending.take()?;
            return Some(Step::Answer(p.ticket, Some(self.reply(true))));
        }
        if now - p.since > SUBMIT_TIMEOUT {
            let p = self.pending.take()?;
            return Some(Step::Answer(p.ticket, None));
        }
        match p.stage {
            Stage::Unsure(at) if at <= now => {
                p.stage = Stage::Reading;
                Some(Step::Read)
            }
            _ => None,
        }
    }

    /// Whether this submission is the one in force.
    pub fn holds(&self, submission: SubmissionId) -> bool {
        self.record.as_ref().is_some_and(|r| r.submission == submission)
    }

    fn reply(&self, accepted: bool) -> SubmitReply {
        let text = self.record.as_ref().filter(|_| !accepted).map(|r| r.text.clone());
        SubmitReply { accepted, version: self.version(), errors: vec![], text }
    }
}
