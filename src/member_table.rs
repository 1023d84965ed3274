//! The member table: which members are alive, which member owns each shard, and when this member
//! takes over a shard.
//!
//! The store holds the table under [`record::TABLE_PREFIX`]. A member is alive as long as its row exists;
//! the store deletes the row when the member's lease ends. A shard whose owner is gone is taken
//! over with one conditional write. Rendezvous hashing and a delay for each rank decide which
//! member writes first, so that members rarely compete for a shard. The state machine has no clock
//! and does no I/O.

use {
    crate::{
        ids::Incarnation,
        ownership::Rendezvous,
        ports::{Item, Rev},
        shard::record::{
            self, CLOSING_KEY, Closing, LAYOUT_KEY, Layout, MEMBERS_PREFIX, MemberRow,
            OWNERS_PREFIX, OwnerRow, ShardNo,
        },
        table_view::TableView,
        time::Time,
    },
    rendezvous_hash::{IdNode, Node, RendezvousNodes},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
};

/// Time for which an owner's row must be missing before its shards are taken over.
///
/// After an outage of the store every lease may have ended. Without this delay, the first member to
/// reach the store again would take over all shards from owners that are about to register again.
pub const TAKEOVER_GRACE: Duration = Duration::from_secs(1);
/// Additional delay of a takeover for each rank of the candidate.
pub const RANK_DELAY: Duration = Duration::from_millis(300);
/// Additional delay of a member that reaches the store only through other members, or was too slow
/// for its shards. The other members may learn late that a shard has no owner.
pub const UNFIT_DELAY: Duration = Duration::from_secs(2);
/// Maximum time since the store's last answer for a member that takes over shards.
pub const MAX_STORE_SILENCE: Duration = Duration::from_millis(1500);
/// Minimum number of cores assumed for a member, also for one that reports none.
const MIN_CORES: f64 = 0.01;
/// Delay before this member tries to take over the same shard again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The table as one member knows it.
pub struct MemberTable {
    me: Incarnation,
    rev: Rev,
    loaded: bool,
    layout: Option<Arc<Layout>>,
    closing: (Rev, Arc<Closing>),
    members: BTreeMap<Incarnation, (Rev, MemberRow)>,
    owners: BTreeMap<ShardNo, (Rev, OwnerRow)>,
    /// Shards without a live owner.
    unowned: BTreeMap<ShardNo, Unowned>,
    /// Shards that this member owns, with their tokens.
    owned: BTreeMap<ShardNo, u64>,
    /// Shards whose takeover is being written.
    pending_takeovers: BTreeSet<ShardNo>,
    /// Earliest time at which a takeover of a shard may be tried again.
    retry_at: BTreeMap<ShardNo, Time>,
    stopping: bool,
    /// Whether this member reaches the store only through other members.
    relayed: bool,
    /// Whether this member was recently too slow for its shards.
    slow: bool,
    last_answer: Option<Time>,
    /// Since when the store has answered without a gap of [`MAX_STORE_SILENCE`].
    answering_since: Time,
}

/// A shard without a live owner.
#[derive(Clone, Copy, PartialEq)]
struct Unowned {
    /// The last owner, if the row names one.
    owner: Option<Incarnation>,
    /// Whether the process of that owner is known to have ended.
    process_ended: bool,
    since: Time,
}

/// A takeover that has to be written to the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Takeover {
    /// The shard to take over.
    pub shard: ShardNo,
    /// The revision that the owner row must still have; 0 if the row must not exist.
    pub owner_rev: Rev,
    /// The new token. The writer raises it if the commit row holds a token that is at least as
    /// high.
    pub token: u64,
    /// The former owner if its lease must have ended: the write requires that its member row is
    /// gone.
    pub former_owner: Option<Incarnation>,
    /// Whether the former owner can't consider its ownership confirmed any more, because its lease
    /// has ended or it has released the shard. False if the takeover comes early because the former
    /// owner's process is known to have ended.
    pub former_lapsed: bool,
}

/// The outcome of a takeover.
#[derive(Clone, Debug, PartialEq)]
pub enum TakeoverOutcome {
    /// The takeover was written, with this revision and token.
    Done(Rev, u64),
    /// Nothing was written because a row had changed; holds the present items.
    Conflict(Vec<Item>),
    /// Nothing was written, and the write can't take effect later.
    NotWritten,
    /// The store did not answer. Holds the owner row as it was read afterwards, if that succeeded.
    Unclear(Option<Item>),
}

impl TakeoverOutcome {
    /// Returns the name of the outcome for the log.
    pub fn name(&self) -> &'static str {
        match self {
            TakeoverOutcome::Done(..) => "done",
            TakeoverOutcome::Conflict(_) => "lost to another",
            TakeoverOutcome::NotWritten => "not done",
            TakeoverOutcome::Unclear(_) => "unclear",
        }
    }
}

impl MemberTable {
    /// Creates an empty table for this member.
    pub fn new(me: Incarnation) -> Self {
        MemberTable {
            me,
            rev: 0,
            loaded: false,
            layout: None,
            closing: Default::default(),
            members: BTreeMap::new(),
            owners: BTreeMap::new(),
            unowned: BTreeMap::new(),
            owned: BTreeMap::new(),
            pending_takeovers: BTreeSet::new(),
            retry_at: BTreeMap::new(),
            stopping: false,
            relayed: false,
            slow: false,
            last_answer: None,
            answering_since: Time::ZERO,
        }
    }

    /// Applies a read of the whole table that began at this revision. Returns the shards that this
    /// member no longer owns.
    pub fn load_snapshot(&mut self, items: Vec<Item>, rev: Rev, now: Time) -> Vec<ShardNo> {
        let present: BTreeSet<Box<str>> = items.iter().map(|i| i.key.clone()).collect();
        // Rows that changed after the read began are newer than the read and stay.
        self.members.retain(|id, (r, _)| *r > rev || present.contains(&*member_key(*id)));
        self.owners.retain(|s, (r, _)| *r > rev || present.contains(&s.owner_key()));
        self.loaded = true;
        self.apply_changes(items, rev, now)
    }

    /// Applies changes up to a revision. Returns the shards that this member no longer owns.
    pub fn apply_changes(&mut self, items: Vec<Item>, rev: Rev, now: Time) -> Vec<ShardNo> {
        items.into_iter().for_each(|i| self.apply(i));
        self.rev = self.rev.max(rev);
        self.update_unowned(now);
        self.remove_lost_shards()
    }

    /// Records that the store answered a call at `now`.
    pub fn record_answer(&mut self, now: Time) {
        if self.last_answer.is_none_or(|a| now - a > MAX_STORE_SILENCE) {
            self.answering_since = now;
        }
        self.last_answer = Some(now);
    }

    /// Stops taking over shards, as this member is shutting down.
    pub fn stop_takeovers(&mut self) {
        self.stopping = true;
    }

    /// Records whether this member reaches the store only through other members. If so, it takes
    /// over a shard only after all others had the chance to.
    pub fn set_relayed(&mut self, relayed: bool) {
        self.relayed = relayed;
    }

    /// Records whether this member was recently too slow for its shards. If so, it takes over a
    /// shard only after all others had the chance to.
    pub fn set_slow(&mut self, slow: bool) {
        self.slow = slow;
    }

    /// Returns the takeovers that have to be written now.
    pub fn due_takeovers(&mut self, now: Time) -> Vec<Takeover> {
        let mut takeovers = vec![];
        while let Some(shard) = self.next_due_shard(now) {
            self.pending_takeovers.insert(shard);
            let (owner_rev, token) = self.owners.get(&shard).map_or((0, 0), |(r, o)| (*r, o.token));
            let ended = self.unowned.get(&shard).is_some_and(|u| u.process_ended);
            let last = self.owners.get(&shard).and_then(|(_, o)| o.owner);
            let former = last.filter(|o| *o != self.me && !ended);
            takeovers.push(Takeover {
                shard,
                owner_rev,
                token: token + 1,
                former_owner: former,
                former_lapsed: !ended,
            });
        }
        takeovers
    }

    /// Applies the outcome of a takeover. Returns the shards that this member no longer owns.
    pub fn finish_takeover(
        &mut self,
        takeover: &Takeover,
        outcome: TakeoverOutcome,
        now: Time,
    ) -> Vec<ShardNo> {
        let shard = takeover.shard;
        self.pending_takeovers.remove(&shard);
        self.retry_at.insert(shard, now + RETRY_DELAY);
        match outcome {
            TakeoverOutcome::Done(rev, token) => {
                let row = OwnerRow { owner: Some(self.me), token, control: self.control_addr() };
                self.owned.insert(shard, token);
                if self.owners.get(&shard).is_none_or(|(r, _)| *r < rev) {
                    self.owners.insert(shard, (rev, row));
                }
            }
            TakeoverOutcome::Conflict(items) => items.into_iter().for_each(|i| self.apply(i)),
            // If the row names this member, the next step takes the shard over again with a higher
            // token, because it is unknown whether the unanswered write changed the commit row.
            TakeoverOutcome::Unclear(Some(item)) => self.apply(item),
            TakeoverOutcome::NotWritten | TakeoverOutcome::Unclear(None) => {}
        }
        self.update_unowned(now);
        self.remove_lost_shards()
    }

    /// Records that this member no longer owns a shard.
    pub fn remove_owned(&mut self, shard: ShardNo, now: Time) {
        self.owned.remove(&shard);
        self.retry_at.insert(shard, now + RETRY_DELAY);
        self.update_unowned(now);
    }

    /// Returns the owner row of a shard that this member owns, with the row's revision; used to
    /// release the shard.
    pub fn owner_row(&self, shard: ShardNo) -> Option<(Rev, OwnerRow)> {
        self.owned.get(&shard)?;
        self.owners.get(&shard).cloned()
    }

    /// Returns the shards that this member owns, with their tokens.
    pub fn owned(&self) -> &BTreeMap<ShardNo, u64> {
        &self.owned
    }

    /// Returns whether the outcome of a takeover is outstanding.
    pub fn has_pending_takeover(&self) -> bool {
        !self.pending_takeovers.is_empty()
    }

    /// Returns whether at least one shard has no live owner.
    pub fn has_unowned(&self) -> bool {
        !self.unowned.is_empty()
    }

    /// Returns whether the table has been read and holds no layout.
    pub fn lacks_layout(&self) -> bool {
        self.loaded && self.layout.is_none()
    }

    /// Takes a snapshot for the other threads and tasks of this member.
    pub fn view(&self) -> TableView {
        let owned = |(s, (_, o)): (&ShardNo, &(Rev, OwnerRow))| Some((*s, o.owner?));
        TableView {
            rev: self.rev,
            layout: self.layout.clone(),
            closing: self.closing.1.clone(),
            members: self.live_members().map(|(i, m)| (*i, m.clone())).collect(),
            owners: self.owners.iter().filter_map(owned).collect(),
        }
    }

    /// Returns the members except those whose address a later process has registered: such a member
    /// was killed and restarted.
    ///
    /// Guards against calling one machine twice. After all members had been killed, the table
    /// listed each machine twice until the old leases had ended, and of two long calls to one
    /// machine one timed out.
    fn live_members(&self) -> impl Iterator<Item = (&Incarnation, &MemberRow)> {
        let mut last: BTreeMap<SocketAddr, Rev> = BTreeMap::new();
        for (rev, m) in self.members.values() {
            let known = last.entry(m.control).or_default();
            *known = (*known).max(*rev);
        }
        let latest = move |(_, (rev, m)): &(_, &(Rev, MemberRow))| last[&m.control] == *rev;
        self.members.iter().filter(latest).map(|(i, (_, m))| (i, m))
    }

    /// Applies one item, unless a later change of it is known.
    fn apply(&mut self, item: Item) {
        let value = item.value.as_deref();
        if let Some(id) = item.key.strip_prefix(MEMBERS_PREFIX).and_then(|i| i.parse().ok()) {
            insert_newer(&mut self.members, id, item.rev, value.and_then(record::decode));
        } else if let Some(no) = item.key.strip_prefix(OWNERS_PREFIX).and_then(|n| n.parse().ok()) {
            insert_newer(&mut self.owners, ShardNo(no), item.rev, value.and_then(record::decode));
        } else if &*item.key == LAYOUT_KEY && self.layout.is_none() {
            self.layout = value.and_then(record::decode).map(Arc::new);
        } else if &*item.key == CLOSING_KEY && self.closing.0 < item.rev {
            let closing = value.and_then(record::decode).unwrap_or_default();
            self.closing = (item.rev, Arc::new(closing));
        }
    }

    /// Updates which shards have no live owner, and since when.
    fn update_unowned(&mut self, now: Time) {
        for shard in (0..self.layout.as_ref().map_or(0, |l| l.shards)).map(ShardNo) {
            let row = self.owners.get(&shard).map(|(_, o)| o);
            let owner = row.and_then(|o| o.owner);
            let ended = row.is_some_and(|o| self.has_ended(o));
            let held = match owner {
                Some(me) if me == self.me => self.owned.contains_key(&shard),
                Some(owner) => self.members.contains_key(&owner) && !ended,
                None => false,
            };
            let known = self.unowned.get(&shard).filter(|u| u.owner == owner);
            let since = known.map_or(now, |u| u.since);
            if held {
                self.unowned.remove(&shard);
            } else {
                self.unowned.insert(shard, Unowned { owner, process_ended: ended, since });
            }
        }
    }

    /// Returns whether the process that an owner row names is known to have ended: another process
    /// has registered its address after it.
    ///
    /// Guards against waiting for the lease of a process that was killed and restarted: its shards
    /// would have no working owner for three seconds although that process can't act any more. This
    /// is only a hint to act early. Exclusive ownership rests on the tokens alone.
    fn has_ended(&self, row: &OwnerRow) -> bool {
        let Some(owner) = row.owner else { return false };
        let known = self.members.get(&owner);
        let control = row.control.or(known.map(|(_, m)| m.control));
        let since = known.map_or(0, |(rev, _)| *rev);
        let successor = |(id, (rev, m)): (&Incarnation, &(Rev, MemberRow))| {
            *id != owner && Some(m.control) == control && *rev > since
        };
        self.members.iter().any(successor)
    }

    /// Returns the address at which this member accepts calls of other members, according to its
    /// row.
    pub fn control_addr(&self) -> Option<SocketAddr> {
        self.members.get(&self.me).map(|(_, m)| m.control)
    }

    fn remove_lost_shards(&mut self) -> Vec<ShardNo> {
        let mine = |shard: &ShardNo, token: u64| {
            let row = self.owners.get(shard).map(|(_, o)| o);
            row.is_some_and(|o| o.owner == Some(self.me) && o.token == token)
        };
        let lost: Vec<ShardNo> =
            self.owned.iter().filter(|(s, t)| !mine(s, **t)).map(|(s, _)| *s).collect();
        for shard in &lost {
            self.owned.remove(shard);
        }
        lost
    }

    /// Returns the next shard that this member has to take over now.
    fn next_due_shard(&self, now: Time) -> Option<ShardNo> {
        let in_touch = self.last_answer.is_some_and(|a| now - a <= MAX_STORE_SILENCE);
        let eligible = self.members.get(&self.me).is_some_and(|(_, m)| !m.draining);
        if !self.loaded || !in_touch || !eligible || self.stopping {
            return None;
        }
        let mut unowned = self.unowned.iter().filter(|(s, _)| !self.pending_takeovers.contains(s));
        unowned.find(|(s, u)| self.takeover_at(**s, u) <= now).map(|(s, _)| *s)
    }

    /// Returns the time at which this member may take over a shard that has no live owner.
    fn takeover_at(&self, shard: ShardNo, unowned: &Unowned) -> Time {
        let not_before = self.retry_at.get(&shard).copied().unwrap_or(Time::ZERO);
        if unowned.owner == Some(self.me) {
            return not_before;
        }
        let since = unowned.since.max(self.answering_since);
        let skips_grace = unowned.owner.is_none() || unowned.process_ended;
        let grace = if skips_grace { Duration::ZERO } else { TAKEOVER_GRACE };
        let delay = if self.relayed || self.slow { UNFIT_DELAY } else { Duration::ZERO };
        let Some(rank) = self.takeover_rank(shard) else { return Time::NEVER };
        (since + grace + delay + RANK_DELAY * rank).max(not_before)
    }

    /// Returns this member's rank among the candidates for a shard. The member that would own the
    /// fewest shards per core comes first; the rendezvous hash breaks ties.
    ///
    /// Members that reach the store only through others, and those that were too slow for their
    /// shards, rank behind all others. Guards against an owner that can't read its shard, and
    /// against a shard that returns to the slow member that has just given it up.
    fn takeover_rank(&self, shard: ShardNo) -> Option<u32> {
        let mut counts: BTreeMap<Incarnation, usize> = BTreeMap::new();
        for owner in self.owners.values().filter_map(|(_, o)| o.owner) {
            *counts.entry(owner).or_default() += 1;
        }
        *counts.entry(self.me).or_default() += self.pending_takeovers.len();
        let mut ring = RendezvousNodes::new(Rendezvous);
        for (id, _) in self.live_members().filter(|(_, m)| !m.draining) {
            ring.insert(IdNode::new(*id));
        }
        let mut order: Vec<Incarnation> =
            ring.calc_candidates(&shard).map(|n| *n.node_id()).collect();
        let load = |id: &Incarnation| {
            let share = self.members.get(id).map_or(0.0, |(_, m)| m.cores).max(MIN_CORES);
            (counts.get(id).copied().unwrap_or(0) + 1) as f64 / share
        };
        let unfit = |id: &Incarnation| match *id == self.me {
            true => self.relayed || self.slow,
            false => self.members.get(id).is_some_and(|(_, m)| m.relayed || m.slow),
        };
        order.sort_by(|a, b| unfit(a).cmp(&unfit(b)).then_with(|| load(a).total_cmp(&load(b))));
        order.iter().position(|id| *id == self.me).and_then(|p| u32::try_from(p).ok())
    }
}

/// Returns the key of a member's row in the store.
pub fn member_key(member: Incarnation) -> Box<str> {
    format!("{MEMBERS_PREFIX}{member}").into()
}

/// Sets or removes a row, unless a later revision of it is known.
fn insert_newer<K: Ord, V>(rows: &mut BTreeMap<K, (Rev, V)>, key: K, rev: Rev, value: Option<V>) {
    if rows.get(&key).is_some_and(|(known, _)| *known > rev) {
        return;
    }
    match value {
        Some(value) => rows.insert(key, (rev, value)),
        None => rows.remove(&key),
    };
}
