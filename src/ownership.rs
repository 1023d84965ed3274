//! The ownership of racks and buckets: takeover, release, and when an owner may act.
//!
//! Every row (a rack's workers, or a bucket of jobs and keys) has one owner at a time. The table is
//! stored in the key-value service and changes by compare-and-swap; rendezvous hashing over the live
//! members determines who should own a row. Each change of a row's owner increments its epoch, and a
//! worker refuses dispatches of a lower epoch than the highest it has seen.

use {
    crate::{
        ids::{Epoch, Incarnation, Revision, RowId, Zone},
        messages::{MemberRecord, OwnersRecord, Row},
        time::Time,
    },
    rendezvous_hash::{IdNode, Node, NodeHasher, RendezvousNodes},
    std::{
        collections::{BTreeMap, BTreeSet},
        hash::{Hash, Hasher},
        time::Duration,
    },
    xxhash_rust::xxh3::Xxh3Default,
};

/// How long a member's lease at the key-value service lasts.
///
/// It is short because a dead member's racks stay idle that long. A renewal is sent every quarter of
/// it, so that two may be lost and the remaining time always exceeds the delivery of a task's start.
pub const LEASE: Duration = Duration::from_secs(4);
/// How much of the lease an owner leaves unused.
///
/// Covers the drift of two clocks over one lease and the longest delivery of a dispatch to a worker.
pub const MARGIN: Duration = Duration::from_millis(600);
/// How long a member waits, after the service answers again, before it takes over from others.
///
/// No member can renew during an outage. The first member to reach the service again would otherwise
/// see every lease lapsed and take over all rows.
pub const GRACE: Duration = Duration::from_secs(3);
/// How long the service may leave calls unanswered before this counts as an outage.
///
/// A shorter silence can't make a lease lapse, since renewals still fall into the remaining half of
/// the lease. After a longer one, a member that renewed just before the outage may still have its
/// lease while those of the others have lapsed; without a pause it would take over all their rows.
const OUTAGE: Duration = Duration::from_secs(2);
/// How long after its call was given up an unanswered write may still take effect.
const LATE_WRITE_MAX: Duration = Duration::from_secs(1);

/// One record of the table: the rows of an availability zone, or all buckets.
#[derive(Default)]
struct Table {
    revision: Revision,
    rows: BTreeMap<RowId, Row>,
    wanted: BTreeSet<RowId>,
    zone: Option<Zone>,
    write: Write,
}

#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Write {
    #[default]
    None,
    InFlight,
    /// The answer was lost: read before the next write, but not before this time.
    Unsure(Time),
}

/// A compare-and-swap of one table to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Swap {
    /// The table's name.
    pub table: Box<str>,
    /// The version that it must still have.
    pub expect: Revision,
    /// The new rows.
    pub record: OwnersRecord,
}

/// The outcome of a swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It took effect and made this version.
    Done(Revision),
    /// Another write took effect first.
    Refused,
    /// No answer: it may have taken effect.
    Unknown,
}

/// A change of this member's rows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// This member now owns the row, with this epoch.
    Gained(RowId, Epoch),
    /// This member owned the row with this epoch; the given member, if any, owns it now.
    Lost(RowId, Epoch, Option<Incarnation>),
}

/// The ownership table as one member knows it.
pub struct Ownership {
    me: Incarnation,
    members: BTreeMap<Incarnation, MemberRecord>,
    tables: BTreeMap<Box<str>, Table>,
    renewed: Option<Time>,
    answered: Option<Time>,
    resumed: Time,
}

impl Ownership {
    /// Creates an ownership table without members or rows.
    pub fn new(me: Incarnation) -> Self {
        Ownership {
            me,
            members: BTreeMap::new(),
            tables: BTreeMap::new(),
            renewed: None,
            answered: None,
            resumed: Time::ZERO,
        }
    }

    /// The owner of a row and its epoch, if it has one.
    pub fn owner(&self, row: &RowId) -> Option<(Incarnation, Epoch)> {
        let row = self.tables.values().find_map(|t| t.rows.get(row))?;
        Some((row.owner?, row.epoch))
    }

    /// Whether this member's lease lets it act as an owner.
    ///
    /// The lease is counted from before the renewal was sent: the service counts from a later time, so
    /// its lease ends later, and no member takes over before this one has stopped acting. If a member
    /// is paused between this check and its send, the worker rejects the message by its epoch.
    pub fn leased(&self, now: Time) -> bool {
        self.renewed.is_some_and(|r| now + MARGIN < r + LEASE)
    }

    /// The time until which no member takes over from this one; `None` if it never had a lease.
    pub fn leased_until(&self) -> Option<Time> {
        self.renewed.map(|r| r + LEASE - MARGIN)
    }

    /// The live members, this one included once it is registered.
    pub fn members(&self) -> &BTreeMap<Incarnation, MemberRecord> {
        &self.members
    }

    /// The number of rows that this member owns.
    pub fn count(&self) -> usize {
        self.rows(self.me) as usize
    }

    /// The number of rows that a member owns.
    pub fn rows(&self, member: Incarnation) -> u32 {
        let rows = self.tables.values().flat_map(|t| t.rows.values());
        rows.filter(|r| r.owner == Some(member)).map(|_| 1).sum()
    }

    /// The time since the key-value service last answered.
    pub fn store_silence(&self, now: Time) -> Duration {
        self.answered.map_or(Duration::MAX, |a| now - a)
    }

    /// When the key-value service last answered, if it has.
    pub fn contact(&self) -> Option<Time> {
        self.answered
    }

    /// Records that a renewal sent at `sent` succeeded.
    pub fn renewed(&mut self, sent: Time) {
        self.renewed = self.renewed.max(Some(sent));
    }

    /// Records that the service answered a call.
    pub fn answered(&mut self, now: Time) {
        if self.store_silence(now) > OUTAGE {
            self.resumed = now;
        }
        self.answered = Some(now);
    }

    /// Records that a member registered or changed its record.
    pub fn joined(&mut self, record: MemberRecord) {
        self.members.insert(record.incarnation, record);
    }

    /// Removes a member whose record is gone: its lease lapsed, or it stopped.
    pub fn left(&mut self, member: Incarnation) {
        self.members.remove(&member);
    }

    /// Sets the rows that a table should have, and their availability zone.
    pub fn want(&mut self, table: &str, zone: Option<Zone>, rows: BTreeSet<RowId>) {
        let t = self.tables.entry(table.into()).or_default();
        t.wanted = rows;
        t.zone = zone;
    }

    /// The names of all tables. A table whose VMs are all gone keeps its rows, but none is wanted.
    pub fn tables(&self) -> impl Iterator<Item = &str> {
        self.tables.keys().map(|k| &**k)
    }

    /// Applies a table read from the service.
    ///
    /// An older version than the one held is a stale read and changes nothing.
    pub fn read(&mut self, table: &str, revision: Revision, record: OwnersRecord) -> Vec<Change> {
        let me = self.me;
        let t = self.tables.entry(table.into()).or_default();
        if matches!(t.write, Write::Unsure(_)) {
            t.write = Write::None;
        }
        if revision <= t.revision {
            return vec![];
        }
        let mut changes = vec![];
        let mut rows: BTreeMap<RowId, Row> =
            record.rows.into_iter().map(|(k, v)| (RowId(k.into()), v)).collect();
        // Guards against a table that lost rows: if claimed again, they would start at epoch 1, and
        // every worker that knows a higher epoch would refuse the owner permanently.
        for (id, row) in &t.rows {
            rows.entry(id.clone()).or_insert(Row { owner: None, epoch: row.epoch });
        }
        for (id, row) in &rows {
            let before = t.rows.get(id).filter(|r| r.owner == Some(me)).map(|r| r.epoch);
            let after = (row.owner == Some(me)).then_some(row.epoch);
            if before == after {
                continue;
            }
            if let Some(epoch) = before {
                changes.push(Change::Lost(id.clone(), epoch, row.owner));
            }
            if let Some(epoch) = after {
                changes.push(Change::Gained(id.clone(), epoch));
            }
        }
        t.revision = revision;
        t.rows = rows;
        changes
    }

    /// The swaps to send now: rows to take over, to claim for the first time, and to hand over.
    ///
    /// `busy` returns whether a row of this member can't be handed over yet.
    pub fn step(&mut self, now: Time, busy: impl Fn(&RowId) -> bool) -> Vec<Swap> {
        if !self.leased(now) || now < self.resumed + GRACE && !self.owners_registered() {
            return vec![];
        }
        let names: Vec<Box<str>> = self.tables.keys().cloned().collect();
        names.iter().filter_map(|name| self.swap(name, &busy)).collect()
    }

    /// The tables to read again, after a write whose answer was lost.
    pub fn unsure(&self, now: Time) -> Vec<Box<str>> {
        let unsure = |t: &Table| matches!(t.write, Write::Unsure(at) if at <= now);
        self.tables.iter().filter(|(_, t)| unsure(t)).map(|(n, _)| n.clone()).collect()
    }

    /// Processes the outcome of a swap.
    pub fn swapped(&mut self, swap: Swap, fate: Fate, now: Time) -> Vec<Change> {
        let Some(t) = self.tables.get_mut(&swap.table) else { return vec![] };
        t.write = match fate {
            Fate::Unknown => Write::Unsure(now + LATE_WRITE_MAX),
            _ => Write::None,
        };
        match fate {
            Fate::Done(revision) => self.read(&swap.table, revision, swap.record),
            _ => vec![],
        }
    }

    /// The member that should own a row.
    pub fn desired(&self, row: &RowId, zone: Option<&Zone>) -> Option<Incarnation> {
        let able: Vec<&MemberRecord> = self.members.values().filter(|m| !m.draining).collect();
        let near: Vec<&MemberRecord> =
            able.iter().copied().filter(|m| zone.is_none_or(|z| *z == m.zone)).collect();
        let nodes = if near.is_empty() { able } else { near };
        let mut ring = RendezvousNodes::new(Rendezvous);
        nodes.iter().for_each(|m| {
            ring.insert(IdNode::new(m.incarnation));
        });
        ring.calc_candidates(row).next().map(|n| *n.node_id())
    }

    /// Whether every owner in the tables is registered, so that no member is still missing after an
    /// outage.
    fn owners_registered(&self) -> bool {
        let mut owners = self.tables.values().flat_map(|t| t.rows.values()).filter_map(|r| r.owner);
        owners.all(|o| self.members.contains_key(&o))
    }

    fn swap(&mut self, name: &str, busy: &impl Fn(&RowId) -> bool) -> Option<Swap> {
        let t = self.tables.get(name)?;
        if t.write != Write::None {
            return None;
        }
        let mut rows = t.rows.clone();
        let mut changed = false;
        for id in t.wanted.iter().chain(t.rows.keys().filter(|k| !t.wanted.contains(*k))) {
            let to = self.desired(id, t.zone.as_ref())?;
            let row = rows.get(id);
            let owner = row.and_then(|r| r.owner);
            let orphan = owner.is_none_or(|o| !self.members.contains_key(&o));
            let take = orphan && to == self.me;
            let give = owner == Some(self.me) && to != self.me && !busy(id);
            if take || give {
                let epoch = Epoch(row.map_or(0, |r| r.epoch.0) + 1);
                rows.insert(id.clone(), Row { owner: Some(to), epoch });
                changed = true;
            }
        }
        if !changed {
            return None;
        }
        let rows = rows.into_iter().map(|(k, v)| (k.0.into(), v)).collect();
        let expect = t.revision;
        self.tables.get_mut(name)?.write = Write::InFlight;
        Some(Swap { table: name.into(), expect, record: OwnersRecord { rows } })
    }
}

/// Hashes with a function whose values are the same in every build, since all members must agree.
pub(crate) struct Rendezvous;

impl<N: Hash> NodeHasher<N> for Rendezvous {
    fn hash<T: Hash>(&self, node: &N, item: &T) -> u64 {
        let mut h = Xxh3Default::new();
        node.hash(&mut h);
        item.hash(&mut h);
        h.finish()
    }
}
