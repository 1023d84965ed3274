//! The configuration under races, lost answers and stale reads; the invariants as the model names them.

use {
    arbtest::arbitrary::{Result, Unstructured},
    dogwoodreach::{
        Time,
        config::{Config, SETTLE, Step},
        ids::{Revision, SubmissionId, Version},
        messages::{ConfigRecord, KvEntry, KvPutReply, Submit, SubmitReply},
        text::Plan,
    },
    std::time::Duration,
};

/// What is on its way between a member and the store.
enum Mail {
    Write(Revision, ConfigRecord),
    Read,
    Written(KvPutReply),
    Entry(Option<(Revision, ConfigRecord)>),
    Lost(bool),
}

#[derive(Default)]
struct Member {
    config: Config,
    mail: Vec<Mail>,
    /// The highest version that was in force here.
    seen: Version,
    /// The submission that waits for its answer, and since when.
    asked: Option<(Submit, Time)>,
}

/// Two members and one record with all its versions.
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

    /// An operator edits what a member shows, or an older text, and submits it there.
    fn submit(&mut self, m: usize, older: bool) {
        let member = &mut self.members[m];
        if member.asked.is_some() {
            return;
        }
        self.submissions += 1;
        let base = Version(member.config.version().0.saturating_sub(u64::from(older)));
        let submission = SubmissionId(self.submissions);
        let ask = Submit { base, by: "operator".into(), submission, text: text(self.submissions) };
        member.asked = Some((ask.clone(), self.now));
        let step = member.config.submit(7, ask, self.now);
        self.step(m, Some(step));
    }

    fn step(&mut self, m: usize, step: Option<Step>) {
        match step {
            None => {}
            Some(Step::Write(expect, record)) => {
                self.members[m].mail.push(Mail::Write(expect, record));
            }
            Some(Step::Read) => self.members[m].mail.push(Mail::Read),
            Some(Step::Answer(ticket, reply)) => {
                assert_eq!(ticket, 7);
                self.answered(m, reply);
            }
        }
        let version = self.members[m].config.version();
        assert!(version >= self.members[m].seen, "NoRevert: {version} after higher");
        self.members[m].seen = version;
    }

    fn answered(&mut self, m: usize, reply: Option<SubmitReply>) {
        let (ask, since) = self.members[m].asked.take().expect("it was asked");
        let stands = self.history.iter().find(|r| r.submission == ask.submission);
        match reply {
            Some(r) if r.accepted => {
                let record = stands.expect("Accepted: it is in the store");
                assert!(
                    r.version >= record.version
                        && self.members[m].config.version() >= record.version
                );
            }
            Some(r) => {
                assert!(stands.is_none(), "Refused: it took effect");
                let known = self.members[m].config.record().map(|(_, r)| r.text.clone());
                assert_eq!(r.text, known, "the loser gets the winner's text");
                self.lost += 1;
            }
            None => {
                assert!(self.now - since > SETTLE, "Unknown: too soon");
                self.unknown += 1;
            }
        }
    }

    /// Lets one mail come; a read may give what stood there before.
    fn deliver(&mut self, m: usize, at: usize, lose: bool, stale: usize) {
        let now = self.now;
        let mail = self.members[m].mail.remove(at);
        match mail {
            Mail::Write(expect, record) => {
                let done = expect.0 == self.history.len() as u64;
                if done {
                    self.history.push(record);
                }
                let revision = Revision(self.history.len() as u64);
                let back = Mail::Written(KvPutReply { done, revision });
                self.members[m].mail.push(if lose { Mail::Lost(true) } else { back });
            }
            Mail::Read => {
                let n = self.history.len().saturating_sub(stale);
                let found = self.history[..n].last().cloned().map(|r| (Revision(n as u64), r));
                let back = Mail::Entry(found);
                self.members[m].mail.push(if lose { Mail::Lost(false) } else { back });
            }
            Mail::Written(reply) => {
                let step = self.members[m].config.written(Some(reply), now);
                self.step(m, step);
            }
            Mail::Entry(found) => {
                let entry = found.map(|(revision, record)| KvEntry {
                    key: "shared/config".into(),
                    revision,
                    value: serde_json::to_string(&record).expect("it is a record").into(),
                });
                let step = self.members[m].config.read(entry, now);
                self.step(m, step);
            }
            Mail::Lost(true) => {
                let step = self.members[m].config.written(None, now);
                self.step(m, step);
            }
            Mail::Lost(false) => {
                let step = self.members[m].config.read(None, now);
                self.step(m, step);
            }
        }
    }

    fn tick(&mut self, m: usize) {
        let step = self.members[m].config.tick(self.now);
        self.step(m, step);
    }

    fn turn(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let m = u.choose_index(2)?;
        match u.int_in_range(0..=11)? {
            0 => self.submit(m, false),
            1 => self.submit(m, u.ratio(1, 4)?),
            2 => self.now = self.now + Duration::from_millis(u.int_in_range(10..=900)?),
            3 | 4 => self.tick(m),
            // The watch, or a peer's word, of the record now or before.
            5 if !self.history.is_empty() => {
                let n = u.choose_index(self.history.len())?;
                let record = self.history[n].clone();
                self.members[m].config.take(Revision(n as u64 + 1), record);
                self.step(m, None);
            }
            n if !self.members[m].mail.is_empty() => {
                let at = u.choose_index(self.members[m].mail.len())?;
                self.deliver(m, at, n < 8, u.int_in_range(0..=2)?);
            }
            _ => {}
        }
        Ok(())
    }

    /// Lets everything through.
    fn settle(&mut self) {
        for _ in 0..40 {
            self.now = self.now + Duration::from_millis(200);
            for m in 0..2 {
                self.tick(m);
                while !self.members[m].mail.is_empty() {
                    self.deliver(m, 0, false, 0);
                }
                if let Some((revision, record)) = self.current() {
                    self.members[m].config.take(revision, record);
                }
            }
        }
    }
}

// Two operators submit through two members at once; answers are lost after the write took effect,
// reads are stale, words of old versions come late. Nothing goes back, who is told "accepted" is, who
// is told otherwise gets the text in force, and each submission is answered.
#[test]
fn any_order_keeps_the_configuration() {
    let (unknown, lost) = (std::cell::Cell::new(0), std::cell::Cell::new(0));
    for seed in 0..400u64 {
        let mixed = (seed + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        let property = |u: &mut Unstructured<'_>| {
            let mut world = World::default();
            while !u.is_empty() {
                world.turn(u)?;
            }
            world.settle();
            unknown.set(unknown.get() + world.unknown);
            lost.set(lost.get() + world.lost);
            for m in &world.members {
                assert!(m.asked.is_none(), "each is answered");
                assert_eq!(m.config.version().0, world.history.len() as u64);
            }
            Ok(())
        };
        arbtest::arbtest(property).seed(mixed << 32 | 1200);
    }
    assert!(unknown.get() > 10 && lost.get() > 100, "{} {}", unknown.get(), lost.get());
}

// An operator gives a job to another team in one step. The new team's bucket has another owner, which
// would start the job's tasks while the former owner still stops them.
#[test]
fn a_job_keeps_its_team() {
    let one = "[pool p]\ncores = 4\nmemory = 16GB\nworkers = 4\n[team a]\n[team b]\n[batch nightly]\n\
        team = a\npool = p\ntasks = 2\ncores = 1\nmemory = 1GB\nrun = 1m\n";
    let two = one.replace("team = a", "team = b");
    let (old, new) = (Plan::read(one).expect("sound"), Plan::read(&two).expect("sound"));
    let faults: Vec<String> = new.moved(&old, &two).iter().map(|f| f.to_string()).collect();
    assert_eq!(faults.len(), 1);
    assert!(faults[0].starts_with("line 7: the job \"nightly\" changes its team"), "{faults:?}");
    assert_eq!(old.moved(&old, one), []);
}
