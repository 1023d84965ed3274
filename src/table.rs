//! Who is alive and who owns each shard, and when this member takes a shard over.
//!
//! The table stands in the store under [`record::TABLE`]. A member is
//! alive while its row is there: the row ends with its lease. A shard whose owner is gone is taken
//! over by one conditional write; who writes first is decided by rendezvous hashing and a wait for
//! each rank, so that members rarely meet. The state machine has no clock and does no I/O.

use {
    crate::{
        decide::lanes::Peers,
        ids::Incarnation,
        ownership::Rendezvous,
        ports::{Item, Rev},
        shard::record::{
            self, CLOSING, Closing, LAYOUT, Layout, MEMBERS, MemberRow, OWNERS, OwnerRow, ShardNo,
        },
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

/// How long an owner's row has to be missing before its shards are taken over.
///
/// After an outage of the store every lease may have ended. Without it, the first member back would
/// take over all shards from owners that are about to register again.
pub const GRACE: Duration = Duration::from_secs(1);
/// How much longer each further candidate waits.
pub const RANK: Duration = Duration::from_millis(300);
/// How much longer a member waits that the store serves through others only: those that it serves may
/// hear late of a shard without an owner.
pub const RELAYED: Duration = Duration::from_secs(2);
/// How long the store may be silent before this member takes nothing over.
pub const SILENT: Duration = Duration::from_millis(1500);
/// The least share of a processor that counts; one that isn't told counts as this.
const LEAST: f64 = 0.01;
/// How long a takeover that failed waits for its repeat.
const AGAIN: Duration = Duration::from_millis(200);

/// The table as one member knows it.
pub struct Table {
    me: Incarnation,
    rev: Rev,
    loaded: bool,
    layout: Option<Arc<Layout>>,
    closing: (Rev, Arc<Closing>),
    members: BTreeMap<Incarnation, (Rev, MemberRow)>,
    owners: BTreeMap<ShardNo, (Rev, OwnerRow)>,
    /// Shards without a live owner: which one they had, and since when.
    free: BTreeMap<ShardNo, Free>,
    /// Shards that this member runs, with their tokens.
    running: BTreeMap<ShardNo, u64>,
    flying: BTreeSet<ShardNo>,
    held: BTreeMap<ShardNo, Time>,
    stopping: bool,
    /// Whether the store serves this member through others only.
    relayed: bool,
    answered: Option<Time>,
    resumed: Time,
}

/// A shard without a live owner.
#[derive(Clone, Copy, PartialEq)]
struct Free {
    /// The owner that it had.
    owner: Option<Incarnation>,
    /// Whether that process is known to be over.
    over: bool,
    since: Time,
}

/// A takeover to be written.
#[derive(Clone, Debug, PartialEq)]
pub struct Take {
    /// The shard.
    pub shard: ShardNo,
    /// The revision that the owner's row must still have; 0 where there must be none.
    pub row: Rev,
    /// The new token; more where the commit row has seen a higher one.
    pub token: u64,
    /// The former owner, whose lease must have ended.
    pub gone: Option<Incarnation>,
    /// Whether the former owner can't take itself for confirmed any more.
    pub lapsed: bool,
}

/// What became of a takeover.
#[derive(Clone, Debug, PartialEq)]
pub enum Fate {
    /// It was done, with this revision and token.
    Done(Rev, u64),
    /// Nothing was done: how the items stand.
    Lost(Vec<Item>),
    /// Nothing was done, and nothing will be.
    Not,
    /// No answer; the owner's row as it was read after, where that could be read.
    Unclear(Option<Item>),
}

impl Fate {
    /// What the log says of it.
    pub fn name(&self) -> &'static str {
        match self {
            Fate::Done(..) => "done",
            Fate::Lost(_) => "lost to another",
            Fate::Not => "not done",
            Fate::Unclear(_) => "unclear",
        }
    }
}

/// The table as other duties see it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// The table's revision.
    pub rev: Rev,
    /// The layout, once there is one.
    pub layout: Option<Arc<Layout>>,
    /// The workers that are to be emptied.
    pub closing: Arc<Closing>,
    /// The live members.
    pub members: BTreeMap<Incarnation, MemberRow>,
    /// The owner of each shard that has one.
    pub owners: BTreeMap<ShardNo, Incarnation>,
}

impl View {
    /// The owner of a shard, where it is alive.
    pub fn owner(&self, shard: ShardNo) -> Option<(Incarnation, SocketAddr)> {
        let owner = self.owners.get(&shard)?;
        Some((*owner, self.members.get(owner)?.control))
    }

    /// The members through which a shard may call for advice.
    ///
    /// Guards against shards that meet at one member: each knows only of its own calls, and a short
    /// one that comes behind another's long one waits for up to two seconds, while other members
    /// have nothing to do. Each shard has a part of the members; the first half of it no other uses.
    pub fn peers(&self, shard: ShardNo) -> Peers {
        let able = self.able();
        let shards = usize::from(self.shards().max(1));
        let no = usize::from(shard.0) % shards;
        let mut peers = Peers::default();
        for part in (no..shards).chain(0..no) {
            let part = &able[able.len() * part / shards..able.len() * (part + 1) / shards];
            let half = if shards > 1 { part.len().div_ceil(2) } else { part.len() };
            if peers.own.is_empty() {
                peers.own.extend(&part[..half]);
            }
            peers.shared.extend(&part[half..]);
        }
        if peers.own.is_empty() {
            peers.own = able;
        }
        peers
    }

    /// A member's place among those alive, by their numbers.
    pub fn place(&self, me: Incarnation) -> usize {
        self.members.keys().take_while(|m| **m < me).count()
    }

    /// How many shards there are; 0 where it isn't known.
    pub fn shards(&self) -> u16 {
        self.layout.as_ref().map_or(0, |l| l.shards)
    }

    /// The members that may be asked for something.
    pub fn able(&self) -> Vec<Incarnation> {
        self.members.iter().filter(|(_, m)| !m.draining).map(|(i, _)| *i).collect()
    }

    /// The members that a member may ask to relay a call of the store.
    ///
    /// Guards against a member that is cut off just as others are served again and has not heard so:
    /// where by its table the store serves nobody directly, it asks all.
    pub fn relays(&self, me: Incarnation) -> Vec<Incarnation> {
        let able: Vec<Incarnation> = self.able().into_iter().filter(|m| *m != me).collect();
        let served: Vec<Incarnation> =
            able.iter().copied().filter(|m| !self.members[m].relayed).collect();
        if served.is_empty() { able } else { served }
    }

    /// Whether a member that registered at a revision must do so again: its row is gone.
    pub fn lost(&self, me: Incarnation, registered: Rev) -> bool {
        self.rev > registered && !self.members.contains_key(&me)
    }
}

impl Table {
    /// A table in which nothing is known yet.
    pub fn new(me: Incarnation) -> Self {
        Table {
            me,
            rev: 0,
            loaded: false,
            layout: None,
            closing: Default::default(),
            members: BTreeMap::new(),
            owners: BTreeMap::new(),
            free: BTreeMap::new(),
            running: BTreeMap::new(),
            flying: BTreeSet::new(),
            held: BTreeMap::new(),
            stopping: false,
            relayed: false,
            answered: None,
            resumed: Time::ZERO,
        }
    }

    /// Takes in the whole table, as it was read from this revision on; returns the shards that this
    /// member no longer owns.
    pub fn load(&mut self, items: Vec<Item>, rev: Rev, now: Time) -> Vec<ShardNo> {
        let there: BTreeSet<Box<str>> = items.iter().map(|i| i.key.clone()).collect();
        // What changed after the reading began is not undone by it.
        self.members.retain(|id, (r, _)| *r > rev || there.contains(&*member_key(*id)));
        self.owners.retain(|s, (r, _)| *r > rev || there.contains(&s.owner()));
        self.loaded = true;
        self.changed(items, rev, now)
    }

    /// Takes in changes up to a revision; returns the shards that this member no longer owns.
    pub fn changed(&mut self, items: Vec<Item>, rev: Rev, now: Time) -> Vec<ShardNo> {
        items.into_iter().for_each(|i| self.put(i));
        self.rev = self.rev.max(rev);
        self.refresh(now);
        self.drop_lost()
    }

    /// The store answered a call.
    pub fn answered(&mut self, now: Time) {
        if self.answered.is_none_or(|a| now - a > SILENT) {
            self.resumed = now;
        }
        self.answered = Some(now);
    }

    /// From now on this member takes nothing over.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Whether the store serves this member through others only: it takes a shard over after all others.
    pub fn relayed(&mut self, relayed: bool) {
        self.relayed = relayed;
    }

    /// The takeovers to be written now.
    pub fn step(&mut self, now: Time) -> Vec<Take> {
        let mut takes = vec![];
        while let Some(shard) = self.due(now) {
            self.flying.insert(shard);
            let (row, token) = self.owners.get(&shard).map_or((0, 0), |(r, o)| (*r, o.token));
            let over = self.free.get(&shard).is_some_and(|f| f.over);
            let former = self.owners.get(&shard).and_then(|(_, o)| o.owner);
            let gone = former.filter(|o| *o != self.me && !over);
            takes.push(Take { shard, row, token: token + 1, gone, lapsed: !over });
        }
        takes
    }

    /// What became of a takeover; returns the shards that this member no longer owns.
    pub fn taken(&mut self, take: &Take, fate: Fate, now: Time) -> Vec<ShardNo> {
        let shard = take.shard;
        self.flying.remove(&shard);
        self.held.insert(shard, now + AGAIN);
        match fate {
            Fate::Done(rev, token) => {
                let row = OwnerRow { owner: Some(self.me), token, control: self.control() };
                self.running.insert(shard, token);
                if self.owners.get(&shard).is_none_or(|(r, _)| *r < rev) {
                    self.owners.insert(shard, (rev, row));
                }
            }
            Fate::Lost(items) => items.into_iter().for_each(|i| self.put(i)),
            // Where the row names this member, the next step takes it again with a higher token:
            // what the lost write made of the commit row is not guessed.
            Fate::Unclear(Some(item)) => self.put(item),
            Fate::Not | Fate::Unclear(None) => {}
        }
        self.refresh(now);
        self.drop_lost()
    }

    /// This member no longer runs a shard.
    pub fn dropped(&mut self, shard: ShardNo, now: Time) {
        self.running.remove(&shard);
        self.held.insert(shard, now + AGAIN);
        self.refresh(now);
    }

    /// The row of a shard that this member runs, with its revision, so that it can be released.
    pub fn mine(&self, shard: ShardNo) -> Option<(Rev, OwnerRow)> {
        self.running.get(&shard)?;
        self.owners.get(&shard).cloned()
    }

    /// The shards that this member runs, with their tokens.
    pub fn running(&self) -> &BTreeMap<ShardNo, u64> {
        &self.running
    }

    /// Whether a takeover is under way.
    pub fn flying(&self) -> bool {
        !self.flying.is_empty()
    }

    /// Whether a shard has no live owner.
    pub fn waits(&self) -> bool {
        !self.free.is_empty()
    }

    /// Whether the table has been read, and has no layout.
    pub fn bare(&self) -> bool {
        self.loaded && self.layout.is_none()
    }

    /// What other duties see.
    pub fn view(&self) -> View {
        let owned = |(s, (_, o)): (&ShardNo, &(Rev, OwnerRow))| Some((*s, o.owner?));
        View {
            rev: self.rev,
            layout: self.layout.clone(),
            closing: self.closing.1.clone(),
            members: self.living().map(|(i, m)| (*i, m.clone())).collect(),
            owners: self.owners.iter().filter_map(owned).collect(),
        }
    }

    /// The members but for those whose address a later one has: they were killed and are back.
    ///
    /// Guards against asking a machine twice: after the loss of all members each stood in the table
    /// twice until the old leases had ended, and of two long calls to one machine one ran out of time.
    fn living(&self) -> impl Iterator<Item = (&Incarnation, &MemberRow)> {
        let mut last: BTreeMap<SocketAddr, Rev> = BTreeMap::new();
        for (rev, m) in self.members.values() {
            let known = last.entry(m.control).or_default();
            *known = (*known).max(*rev);
        }
        let there = move |(_, (rev, m)): &(_, &(Rev, MemberRow))| last[&m.control] == *rev;
        self.members.iter().filter(there).map(|(i, (_, m))| (i, m))
    }

    /// Takes in one item, unless a later change of it is known.
    fn put(&mut self, item: Item) {
        let value = item.value.as_deref();
        if let Some(id) = item.key.strip_prefix(MEMBERS).and_then(|i| i.parse().ok()) {
            place(&mut self.members, id, item.rev, value.and_then(record::read));
        } else if let Some(no) = item.key.strip_prefix(OWNERS).and_then(|n| n.parse().ok()) {
            place(&mut self.owners, ShardNo(no), item.rev, value.and_then(record::read));
        } else if &*item.key == LAYOUT && self.layout.is_none() {
            self.layout = value.and_then(record::read).map(Arc::new);
        } else if &*item.key == CLOSING && self.closing.0 < item.rev {
            let closing = value.and_then(record::read).unwrap_or_default();
            self.closing = (item.rev, Arc::new(closing));
        }
    }

    /// Notes which shards have no live owner, and since when.
    fn refresh(&mut self, now: Time) {
        for shard in (0..self.layout.as_ref().map_or(0, |l| l.shards)).map(ShardNo) {
            let row = self.owners.get(&shard).map(|(_, o)| o);
            let owner = row.and_then(|o| o.owner);
            let over = row.is_some_and(|o| self.over(o));
            let held = match owner {
                Some(me) if me == self.me => self.running.contains_key(&shard),
                Some(owner) => self.members.contains_key(&owner) && !over,
                None => false,
            };
            let known = self.free.get(&shard).filter(|f| f.owner == owner);
            let since = known.map_or(now, |f| f.since);
            if held {
                self.free.remove(&shard);
            } else {
                self.free.insert(shard, Free { owner, over, since });
            }
        }
    }

    /// Whether the process that a row names is known to be over: another one has its address, and
    /// registered after the row was written by it.
    ///
    /// Guards against waiting for the lease of a process that was killed and is back: its shards
    /// would stand still for three seconds although it can't do anything any more. It is no proof
    /// for what must not happen, which rests on the tokens alone.
    fn over(&self, row: &OwnerRow) -> bool {
        let Some(owner) = row.owner else { return false };
        let known = self.members.get(&owner);
        let control = row.control.or(known.map(|(_, m)| m.control));
        let since = known.map_or(0, |(rev, _)| *rev);
        let other = |(id, (rev, m)): (&Incarnation, &(Rev, MemberRow))| {
            *id != owner && Some(m.control) == control && *rev > since
        };
        self.members.iter().any(other)
    }

    /// Where this member takes calls of others, as its row says.
    pub fn control(&self) -> Option<SocketAddr> {
        self.members.get(&self.me).map(|(_, m)| m.control)
    }

    fn drop_lost(&mut self) -> Vec<ShardNo> {
        let mine = |shard: &ShardNo, token: u64| {
            let row = self.owners.get(shard).map(|(_, o)| o);
            row.is_some_and(|o| o.owner == Some(self.me) && o.token == token)
        };
        let lost: Vec<ShardNo> =
            self.running.iter().filter(|(s, t)| !mine(s, **t)).map(|(s, _)| *s).collect();
        for shard in &lost {
            self.running.remove(shard);
        }
        lost
    }

    /// A shard that this member takes over now.
    fn due(&self, now: Time) -> Option<ShardNo> {
        let heard = self.answered.is_some_and(|a| now - a <= SILENT);
        let able = self.members.get(&self.me).is_some_and(|(_, m)| !m.draining);
        if !self.loaded || !heard || !able || self.stopping {
            return None;
        }
        let mut free = self.free.iter().filter(|(s, _)| !self.flying.contains(s));
        free.find(|(s, f)| self.wait(**s, f) <= now).map(|(s, _)| *s)
    }

    /// When this member takes over a free shard.
    fn wait(&self, shard: ShardNo, free: &Free) -> Time {
        let held = self.held.get(&shard).copied().unwrap_or(Time::ZERO);
        if free.owner == Some(self.me) {
            return held;
        }
        let since = free.since.max(self.resumed);
        let sure = free.owner.is_none() || free.over;
        let grace = if sure { Duration::ZERO } else { GRACE };
        let late = if self.relayed { RELAYED } else { Duration::ZERO };
        let Some(rank) = self.rank(shard) else { return Time::NEVER };
        (since + grace + late + RANK * rank).max(held)
    }

    /// This member's place among those that could take a shard: who would own fewer for its share of
    /// a processor comes first, and among equals the hash decides.
    ///
    /// Guards against an owner that can't read its shard: one that the store serves through others only
    /// comes behind all that it serves.
    fn rank(&self, shard: ShardNo) -> Option<u32> {
        let mut counts: BTreeMap<Incarnation, usize> = BTreeMap::new();
        for owner in self.owners.values().filter_map(|(_, o)| o.owner) {
            *counts.entry(owner).or_default() += 1;
        }
        *counts.entry(self.me).or_default() += self.flying.len();
        let mut ring = RendezvousNodes::new(Rendezvous);
        for (id, _) in self.living().filter(|(_, m)| !m.draining) {
            ring.insert(IdNode::new(*id));
        }
        let mut order: Vec<Incarnation> =
            ring.calc_candidates(&shard).map(|n| *n.node_id()).collect();
        let load = |id: &Incarnation| {
            let share = self.members.get(id).map_or(0.0, |(_, m)| m.cores).max(LEAST);
            (counts.get(id).copied().unwrap_or(0) + 1) as f64 / share
        };
        let relayed = |id: &Incarnation| match *id == self.me {
            true => self.relayed,
            false => self.members.get(id).is_some_and(|(_, m)| m.relayed),
        };
        order.sort_by(|a, b| relayed(a).cmp(&relayed(b)).then_with(|| load(a).total_cmp(&load(b))));
        order.iter().position(|id| *id == self.me).and_then(|p| u32::try_from(p).ok())
    }
}

/// The key of a member's row.
pub fn member_key(member: Incarnation) -> Box<str> {
    format!("{MEMBERS}{member}").into()
}

/// Puts a row in its place, unless a later one is there.
fn place<K: Ord, V>(rows: &mut BTreeMap<K, (Rev, V)>, key: K, rev: Rev, value: Option<V>) {
    if rows.get(&key).is_some_and(|(known, _)| *known > rev) {
        return;
    }
    match value {
        Some(value) => rows.insert(key, (rev, value)),
        None => rows.remove(&key),
    };
}
