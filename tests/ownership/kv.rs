//! A fake key-value service and the members that use it, on one virtual clock.

use {
    dogwoodreach::{
        Time,
        ids::{Epoch, Incarnation, Revision, RowId, Zone},
        messages::{MemberRecord, OwnersRecord},
        ownership::{Fate, LEASE, Ownership, Swap},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

pub const MEMBERS: usize = 4;
/// How often a member renews its lease.
pub const RENEW: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(20);
/// How often a member checks the ownership of rows.
const OWN: Duration = Duration::from_millis(100);
/// The timeout of a call.
const CALL: Duration = Duration::from_millis(800);
const TABLES: [&str; 3] = ["Westlands", "Embakasi", "buckets"];
const ROWS: usize = 6;

pub fn secs(n: u64) -> Time {
    Time::from_millis(n * 1000)
}

fn table_rows(table: &str) -> BTreeSet<RowId> {
    (0..ROWS).map(|n| RowId(format!("{table}:{n}").into())).collect()
}

pub fn rows() -> BTreeSet<RowId> {
    TABLES.iter().flat_map(|t| table_rows(t)).collect()
}

fn table(row: &RowId) -> &str {
    row.as_str().split(':').next().expect("a row names its table")
}

pub fn zone(row: &RowId) -> Option<Zone> {
    Some(table(row)).filter(|t| *t != "buckets").map(Zone::from)
}

/// The changes that a watch reports, in order.
#[derive(Clone)]
enum Word {
    Joined(MemberRecord),
    Left(Incarnation),
    Table(&'static str, Revision, OwnersRecord),
}

/// The fake key-value service.
#[derive(Default)]
pub struct Kv {
    tables: BTreeMap<&'static str, Vec<(Revision, OwnersRecord)>>,
    leases: BTreeMap<Incarnation, (MemberRecord, Time)>,
    log: Vec<(Time, Word)>,
    revision: u64,
    down: Time,
    lapsing: bool,
}

impl Kv {
    /// Answers no call until then; its leases lapse meanwhile, or are frozen.
    pub fn outage(&mut self, until: Time, lapsing: bool) {
        (self.down, self.lapsing) = (until, lapsing);
    }

    /// Empties all tables.
    pub fn empty(&mut self) {
        let at = self.log.last().map_or(Time::ZERO, |(at, _)| *at);
        for name in TABLES {
            self.write(name, OwnersRecord { rows: Default::default() }, at);
        }
    }

    fn step(&mut self, now: Time) {
        if now < self.down {
            for (_, until) in self.leases.values_mut().filter(|_| !self.lapsing) {
                *until = *until + STEP;
            }
            return;
        }
        let gone: Vec<_> = self.leases.extract_if(.., |_, (_, until)| *until <= now).collect();
        self.log.extend(gone.into_iter().map(|(id, _)| (now, Word::Left(id))));
    }

    fn renew(&mut self, record: MemberRecord, now: Time) {
        let old = self.leases.insert(record.incarnation, (record.clone(), now + LEASE));
        if old.is_none_or(|(r, _)| r != record) {
            self.log.push((now, Word::Joined(record)));
        }
    }

    fn read(&self, name: &str, back: usize) -> (Revision, OwnersRecord) {
        let versions = self.tables.get(name).map_or(&[][..], |v| v);
        let none = (Revision(0), OwnersRecord { rows: Default::default() });
        versions.iter().rev().nth(back).or(versions.first()).cloned().unwrap_or(none)
    }

    fn write(&mut self, name: &'static str, record: OwnersRecord, now: Time) -> Revision {
        self.revision += 1;
        let revision = Revision(self.revision);
        self.tables.entry(name).or_default().push((revision, record.clone()));
        self.log.push((now, Word::Table(name, revision, record)));
        revision
    }

    fn swap(&mut self, swap: &Swap, now: Time) -> Fate {
        let name = TABLES.iter().find(|t| **t == &*swap.table).expect("a known table");
        match self.read(name, 0).0 == swap.expect {
            true => Fate::Done(self.write(name, swap.record.clone(), now)),
            false => Fate::Refused,
        }
    }
}

/// A call in flight to the service, or its answer in flight back.
enum Wire {
    Renew(Time),
    Renewed(Time),
    Swap(Swap),
    Swapped(Swap, Fate),
    Read(Box<str>),
    Got(Box<str>, Revision, OwnersRecord),
}

/// A member under test.
pub struct Member {
    pub id: Incarnation,
    pub own: Ownership,
    pub paused: Time,
    /// The time until which its answers are lost.
    pub losing: Time,
    pub slow: Duration,
    /// The delay of its watch and its reads.
    pub lag: Duration,
    pub renew: Time,
    pub draining: bool,
    cursor: usize,
    wire: Vec<(Time, Wire)>,
}

impl Member {
    fn new(id: u64) -> Self {
        let mut own = Ownership::new(Incarnation(id));
        for name in TABLES {
            own.want(name, zone(&RowId(name.into())), table_rows(name));
        }
        let (paused, losing, renew) = (Time::ZERO, Time::ZERO, Time::ZERO);
        let (slow, lag) = (Duration::ZERO, Duration::ZERO);
        let (draining, cursor, wire) = (false, 0, vec![]);
        let id = Incarnation(id);
        Member { id, own, paused, losing, slow, lag, renew, draining, cursor, wire }
    }

    fn record(&self) -> MemberRecord {
        let addr = "10.0.0.1:80".parse().expect("an address");
        let zone = Zone::from(TABLES[self.id.0 as usize % 2]);
        let (draining, incarnation) = (self.draining, self.id);
        MemberRecord { bodies: addr, callers: addr, control: addr, draining, incarnation, zone }
    }

    fn send(&mut self, at: Time, wire: Wire) {
        self.wire.push((at, wire));
    }

    /// Removes and returns the calls and answers that have arrived by `now`.
    fn due(&mut self, now: Time) -> Vec<Wire> {
        self.wire.extract_if(.., |(at, _)| *at <= now).map(|(_, wire)| wire).collect()
    }

    fn watch(&mut self, log: &[(Time, Word)], now: Time) {
        let lag = self.lag;
        while let Some((_, word)) = log.get(self.cursor).filter(|(at, _)| *at + lag <= now) {
            self.cursor += 1;
            self.own.answered(now);
            match word.clone() {
                Word::Joined(record) => self.own.joined(record),
                Word::Left(id) => self.own.left(id),
                Word::Table(name, revision, record) => {
                    self.own.read(name, revision, record);
                }
            }
        }
    }

    fn work(&mut self, now: Time) {
        let at = now + self.slow;
        if self.renew <= now {
            self.renew = now + RENEW;
            self.send(at, Wire::Renew(now));
        }
        if !now.0.is_multiple_of(OWN.as_micros() as u64) {
            return;
        }
        for swap in self.own.step(now, |_| false) {
            self.send(at, Wire::Swap(swap));
        }
        for name in self.own.unsure(now) {
            self.send(at, Wire::Read(name));
        }
    }
}

/// The members and the service on one virtual clock.
pub struct Cell {
    pub now: Time,
    pub kv: Kv,
    pub members: Vec<Member>,
    /// The member that last wrote each row.
    pub writers: BTreeMap<RowId, Incarnation>,
    next: u64,
}

impl Cell {
    pub fn new() -> Self {
        let members = (1..=MEMBERS as u64).map(Member::new).collect();
        let (now, next) = (secs(100), MEMBERS as u64);
        Cell { now, kv: Kv::default(), members, writers: BTreeMap::new(), next }
    }

    /// The rows as stored in the service.
    pub fn rows(&self) -> impl Iterator<Item = (RowId, Option<Incarnation>, Epoch)> {
        let records = TABLES.iter().map(|t| self.kv.read(t, 0).1);
        records.flat_map(|r| {
            r.rows.into_iter().map(|(id, row)| (RowId(id.into()), row.owner, row.epoch))
        })
    }

    pub fn drain(&mut self, n: usize) {
        if self.members.iter().filter(|m| !m.draining).count() > 2 {
            self.members[n].draining = true;
        }
    }

    /// Replaces a member that died by a new one.
    pub fn restart(&mut self, n: usize) {
        self.next += 1;
        self.members[n] = Member::new(self.next);
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.kv.down = self.now;
        for m in &mut self.members {
            (m.paused, m.losing) = (self.now, self.now);
            (m.slow, m.lag) = (Duration::ZERO, Duration::ZERO);
        }
    }

    pub fn step(&mut self) {
        self.now = self.now + STEP;
        let now = self.now;
        self.kv.step(now);
        for n in 0..self.members.len() {
            for wire in self.members[n].due(now) {
                self.deliver(n, wire);
            }
            if self.members[n].paused > now {
                continue;
            }
            if self.kv.down <= now {
                self.members[n].watch(&self.kv.log, now);
            }
            self.members[n].work(now);
        }
    }

    fn deliver(&mut self, n: usize, wire: Wire) {
        let (now, down) = (self.now, self.kv.down > self.now);
        let m = &mut self.members[n];
        let late = m.paused.max(now);
        let lost = m.losing > now;
        let at = now + m.slow;
        match wire {
            Wire::Renewed(_) | Wire::Swapped(..) | Wire::Got(..) if late > now => {
                m.send(late, wire);
            }
            Wire::Renew(_) | Wire::Read(_) if down => {}
            Wire::Swap(swap) if down => m.send(now + CALL, Wire::Swapped(swap, Fate::Unknown)),
            Wire::Renew(sent) => {
                let record = m.record();
                self.kv.renew(record, now);
                if !lost {
                    m.send(at, Wire::Renewed(sent));
                }
            }
            Wire::Swap(swap) => {
                let fate = self.kv.swap(&swap, now);
                self.note(n, &swap, fate);
                let fate = if lost { Fate::Unknown } else { fate };
                self.members[n].send(at, Wire::Swapped(swap, fate));
            }
            Wire::Read(name) => {
                let (revision, record) = self.kv.read(&name, usize::from(m.lag > CALL));
                m.send(at, Wire::Got(name, revision, record));
            }
            Wire::Renewed(sent) => {
                m.own.answered(now);
                m.own.renewed(sent);
            }
            Wire::Swapped(swap, fate) => {
                m.own.swapped(swap, fate, now);
            }
            Wire::Got(name, revision, record) => {
                m.own.answered(now);
                m.own.read(&name, revision, record);
            }
        }
    }

    /// Records which member changed which rows.
    fn note(&mut self, n: usize, swap: &Swap, fate: Fate) {
        if !matches!(fate, Fate::Done(_)) {
            return;
        }
        let before = self.kv.read(&swap.table, 1).1;
        for (id, row) in &swap.record.rows {
            if before.rows.get(id) != Some(row) {
                self.writers.insert(RowId(id.as_str().into()), self.members[n].id);
            }
        }
    }
}
