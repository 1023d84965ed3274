//! The configuration under races, lost replies and stale reads. The messages of the assertions give
//! the invariants by their names in the formal model.

use {
    arbtest::arbitrary::{Result, Unstructured},
    dogwoodreach::{
        Time,
        config::{Config, SUBMIT_TIMEOUT, Step},
        ids::{Revision, SubmissionId, Version},
        messages::{ConfigRecord, KvEntry, KvPutReply, Submit, SubmitReply},
        text::Plan,
    },
    std::time::Duration,
};

/// A message in transit between a member and the store.
enum Message {
    Write(Revision, ConfigRecord),
    Read,
    Written(KvPutReply),
    Entry(Option<(Revision, ConfigRecord)>),
    Lost(bool),
}

#[derive(Default)]
struct Member {
    config: Config,
    messages: Vec<Message>,
    /// The highest version that was in force at this member.
    highest: Version,
    /// The submission that waits for its reply, and when it was made.
    submitted: Option<(Submit, Time)>,
}

/// Two members and the stored record with all its versions.
#[derive(Default)]
struct World {
    now: Time,
    history: Vec<ConfigRecord>,
    members: [Member; 2],
    submissions: u64,
    unknown: u32,
    lost: u32,
}

fn text(n: u64) -> Box<str> {
    format!("[pool p]\ncores = 4\nmemory = 16GB\nworkers = {}\n", n + 1).into()
}

impl World {
    fn current(&self) -> Option<(Revision, ConfigRecord)> {
        let last = self.history.last()?;
        Some((Revision(self.history.len() as u64), last.clone()))
    }

    /// Submits a text to a member, edited from the version that it shows or an older one.
    fn submit(&mut self, m: usize, older: bool) {
        let member = &mut self.members[m];
        if member.submitted.is_some() {
            return;
        }
        self.submissions += 1;
        let base = Version(member.config.version().0.saturating_sub(u64::from(older)));
        let submission = SubmissionId(self.submissions);
        let ask = Submit { base, by: "operator".into(), submission, text: text(self.submissions) };
        member.submitted = Some((ask.clone(), self.now));
        let step = member.config.submit(7, ask, self.now);
        self.step(m, Some(step));
    }

    fn step(&mut self, m: usize, step: Option<Step>) {
        match step {
            None => {}
            Some(Step::Write(expect, record)) => {
                self.members[m].messages.push(Message::Write(expect, record));
            }
            Some(Step::Read) => self.members[m].messages.push(Message::Read),
            Some(Step::Answer(ticket, reply)) => {
                assert_eq!(ticket, 7);
                self.check_reply(m, reply);
            }
        }
        let version = self.members[m].config.version();
        assert!(version >= self.members[m].highest, "NoRevert: {version} after higher");
        self.members[m].highest = version;
    }

    fn check_reply(&mut self, m: usize, reply: Option<SubmitReply>) {
        let (ask, since) = self.members[m].submitted.take().expect("a submission is open");
        let stored = self.history.iter().find(|r| r.submission == ask.submission);
        match reply {
            Some(r) if r.accepted => {
                let record = stored.expect("Accepted: it is in the store");
                assert!(
                    r.version >= record.version
                        && self.members[m].config.version() >= record.version
                );
            }
            Some(r) => {
                assert!(stored.is_none(), "Refused: it took effect");
                let known = self.members[m].config.record().map(|(_, r)| r.text.clone());
                assert_eq!(r.text, known, "the loser gets the winner's text");
                self.lost += 1;
            }
            None => {
                assert!(self.now - since > SUBMIT_TIMEOUT, "Unknown: too soon");
                self.unknown += 1;
            }
        }
    }

    /// Delivers one message; the reply may be lost, and a read may return an earlier version.
    fn deliver(&mut self, m: usize, at: usize, lose: bool, stale: usize) {
        let now = self.now;
        let message = self.members[m].messages.remove(at);
        match message {
            Message::Write(expect, record) => {
                let done = expect.0 == self.history.len() as u64;
                if done {
                    self.history.push(record);
                }
                let revision = Revision(self.history.len() as u64);
                let back = Message::Written(KvPutReply { done, revision });
                self.members[m].messages.push(if lose { Message::Lost(true) } else { back });
            }
            Message::Read => {
                let n = self.history.len().saturating_sub(stale);
                let found = self.history[..n].last().cloned().map(|r| (Revision(n as u64), r));
                let back = Message::Entry(found);
                self.members[m].messages.push(if lose { Message::Lost(false) } else { back });
            }
            Message::Written(reply) => {
                let step = self.members[m].config.written(Some(reply), now);
                self.step(m, step);
            }
            Message::Entry(found) => {
                let entry = found.map(|(revision, record)| KvEntry {
                    key: "shared/config".into(),
                    revision,
                    value: serde_json::to_string(&record)
                        .expect("the record is serializable")
                        .into(),
                });
                let step = self.members[m].config.read(entry, now);
                self.step(m, step);
            }
            Message::Lost(true) => {
                let step = self.members[m].config.written(None, now);
                self.step(m, step);
            }
            Message::Lost(false) => {
                let step = self.members[m].config.read(None, now);
                self.step(m, step);
            }
        }
    }

    fn tick(&mut self, m: usize) {
        let step = self.members[m].config.tick(self.now);
        self.step(m, step);
    }

    fn random_action(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let m = u.choose_index(2)?;
        match u.int_in_range(0..=11)? {
            0 => self.submit(m, false),
            1 => self.submit(m, u.ratio(1, 4)?),
            2 => self.now = self.now + Duration::from_millis(u.int_in_range(10..=900)?),
            3 | 4 => self.tick(m),
            // A watch event or a peer's message with the current or an earlier record.
            5 if !self.history.is_empty() => {
                let n = u.choose_index(self.history.len())?;
                let record = self.history[n].clone();
                self.members[m].config.take(Revision(n as u64 + 1), record);
                self.step(m, None);
            }
            n if !self.members[m].messages.is_empty() => {
                let at = u.choose_index(self.members[m].messages.len())?;
                self.deliver(m, at, n < 8, u.int_in_range(0..=2)?);
            }
            _ => {}
        }
        Ok(())
    }

    /// Delivers all messages without loss until the members have settled.
    fn settle(&mut self) {
        for _ in 0..40 {
            self.now = self.now + Duration::from_millis(200);
            for m in 0..2 {
                self.tick(m);
                while !self.members[m].messages.is_empty() {
                    self.deliver(m, 0, false, 0);
                }
                if let Some((revision, record)) = self.current() {
                    self.members[m].config.take(revision, record);
                }
            }
        }
    }
}

// Two operators submit through two members at the same time. Replies are lost after the write took
// effect, reads are stale, and messages with old versions arrive late. The version in force never
// decreases, a submission reported as accepted is stored, a refused one gets the text in force, and
// every submission gets a reply.
#[test]
fn any_order_keeps_the_configuration() {
    let (unknown, lost) = (std::cell::Cell::new(0), std::cell::Cell::new(0));
    for seed in 0..400u64 {
        let mixed = (seed + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        let property = |u: &mut Unstructured<'_>| {
            let mut world = World::default();
            while !u.is_empty() {
                world.random_action(u)?;
            }
            world.settle();
            unknown.set(unknown.get() + world.unknown);
            lost.set(lost.get() + world.lost);
            for m in &world.members {
                assert!(m.submitted.is_none(), "each is answered");
                assert_eq!(m.config.version().0, world.history.len() as u64);
            }
            Ok(())
        };
        arbtest::arbtest(property).seed(mixed << 32 | 1200);
    }
    assert!(unknown.get() > 10 && lost.get() > 100, "{} {}", unknown.get(), lost.get());
}

// An operator moves a job to another team in one submission. The new team's bucket may have another
// owner, which would start the job's tasks while the previous owner still stops them.
#[test]
fn a_job_keeps_its_team() {
    let one = "[pool p]\ncores = 4\nmemory = 16GB\nworkers = 4\n[team a]\n[team b]\n[batch nightly]\n\
        team = a\npool = p\ntasks = 2\ncores = 1\nmemory = 1GB\nrun = 1m\n";
    let two = one.replace("team = a", "team = b");
    let (old, new) = (Plan::read(one).expect("sound"), Plan::read(&two).expect("sound"));
    let faults: Vec<String> = new.team_changes(&old, &two).iter().map(|f| f.to_string()).collect();
    assert_eq!(faults.len(), 1);
    assert!(faults[0].starts_with("line 7: the job \"nightly\" changes its team"), "{faults:?}");
    assert_eq!(old.team_changes(&old, one), []);
}
