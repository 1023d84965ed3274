//! Who takes over a shard, and when, in virtual time.

use {
    dogwoodreach::{
        Time,
        decide::lanes::Peers,
        ids::{Incarnation, Zone},
        ports::{Item, Rev},
        shard::record::{self, LAYOUT, Layout, MemberRow, OwnerRow, ShardNo},
        table::{Fate, GRACE, RANK, RELAYED, SILENT, Table, Take, member_key},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

const LONG: Duration = Duration::from_secs(60);

fn ms(n: u64) -> Time {
    Time::from_millis(n)
}

fn id(n: u64) -> Incarnation {
    Incarnation(n)
}

fn address(member: Incarnation) -> SocketAddr {
    format!("127.0.0.1:{}", member.0).parse().expect("an address")
}

/// The store's table, and the members that follow it.
struct Cell {
    now: Time,
    rev: Rev,
    items: BTreeMap<Box<str>, Item>,
    tables: BTreeMap<Incarnation, Table>,
}

impl Cell {
    /// A cell with so many shards, whose members 1 to `members` are registered and have read it.
    fn new(shards: u16, members: u64) -> Self {
        let (items, tables) = Default::default();
        let mut cell = Cell { now: ms(5000), rev: 0, items, tables };
        cell.write(
            LAYOUT.into(),
            record::write(&Layout {
                shards,
                secret: "s".into(),
                homes: vec![],
                pools: BTreeMap::new(),
            }),
        );
        for n in 1..=members {
            cell.join(id(n), false);
        }
        for n in 1..=members {
            cell.start(id(n));
        }
        cell
    }

    fn write(&mut self, key: Box<str>, value: bytes::Bytes) -> Rev {
        self.put(key, Some(value))
    }

    /// Changes an item, and tells all that follow.
    fn put(&mut self, key: Box<str>, value: Option<bytes::Bytes>) -> Rev {
        self.rev += 1;
        let item = Item { key: key.clone(), value, rev: self.rev };
        for table in self.tables.values_mut() {
            table.changed(vec![item.clone()], self.rev, self.now);
        }
        if item.value.is_some() {
            self.items.insert(key, item)
        } else {
            self.items.remove(&key)
        };
        self.rev
    }

    fn join(&mut self, member: Incarnation, draining: bool) {
        self.join_at(member, address(member), draining, 1.0);
    }

    fn join_at(&mut self, member: Incarnation, control: SocketAddr, draining: bool, cores: f64) {
        let row = MemberRow { control, zone: Zone::from("z"), draining, cores, relayed: false };
        self.write(member_key(member), record::write(&row));
    }

    /// A member begins to follow.
    fn start(&mut self, member: Incarnation) {
        let mut table = Table::new(member);
        table.answered(self.now);
        table.load(self.items.values().cloned().collect(), self.rev, self.now);
        self.tables.insert(member, table);
    }

    /// A member is gone, and after it its row.
    fn leave(&mut self, member: Incarnation) {
        self.tables.remove(&member);
        self.put(member_key(member), None);
    }

    fn owner(&self, shard: ShardNo) -> Option<OwnerRow> {
        record::read(self.items.get(&shard.owner())?.value.as_ref()?)
    }

    /// The store's part of a takeover.
    fn land(&mut self, member: Incarnation, take: &Take) -> Fate {
        let rev = self.items.get(&take.shard.owner()).map_or(0, |i| i.rev);
        if rev != take.row {
            return Fate::Lost(self.items.get(&take.shard.owner()).cloned().into_iter().collect());
        }
        let row =
            OwnerRow { owner: Some(member), token: take.token, control: Some(address(member)) };
        let rev = self.write(take.shard.owner(), record::write(&row));
        Fate::Done(rev, take.token)
    }

    /// Lets time pass in steps of 20 ms, all members in touch, and lands what they take.
    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + Duration::from_millis(20);
            for member in self.tables.keys().copied().collect::<Vec<_>>() {
                let now = self.now;
                self.table(member).answered(now);
                self.step(member);
            }
        }
    }

    fn step(&mut self, member: Incarnation) {
        let now = self.now;
        for take in self.table(member).step(now) {
            let fate = self.land(member, &take);
            self.table(member).taken(&take, fate, now);
        }
    }

    fn table(&mut self, member: Incarnation) -> &mut Table {
        self.tables.get_mut(&member).expect("a member")
    }
}

#[test]
fn free_shards_are_spread_at_once() {
    // Story: all members start together and nobody owns anything. Were the hash alone to decide,
    // some would own several shards and others none, and every tick would be paid for more often
    // than needed.
    let mut cell = Cell::new(6, 6);
    cell.pass(Duration::from_millis(200));
    let owners: BTreeSet<_> =
        (0..6).map(|s| cell.owner(ShardNo(s)).expect("owned").owner).collect();
    assert_eq!(owners.len(), 6);
    for s in 0..6 {
        assert_eq!(cell.owner(ShardNo(s)).expect("owned").token, 1);
    }
}

#[test]
fn a_lost_owner_is_followed_after_the_grace_and_with_a_higher_token() {
    // Story: an owner's machine loses power. Its shard stands still until another member takes it,
    // and one that takes it too early would take it from an owner that is only registering again.
    let mut cell = Cell::new(1, 3);
    cell.pass(LONG);
    let first = cell.owner(ShardNo(0)).expect("owned").owner.expect("a member");
    cell.leave(first);
    cell.pass(GRACE - Duration::from_millis(40));
    assert_eq!(cell.owner(ShardNo(0)).expect("owned").owner, Some(first));
    cell.pass(Duration::from_millis(100));
    let row = cell.owner(ShardNo(0)).expect("owned");
    assert_ne!(row.owner, Some(first));
    assert_eq!(row.token, 2);
}

#[test]
fn an_owner_whose_address_another_process_has_is_not_waited_for() {
    // Story: an owner is killed and its machine starts it again at once. The new process registers
    // at the same address while the old one's lease goes on for two seconds: the shard must not
    // wait for that lease and the grace after it, as the old process can't do anything any more.
    let mut cell = Cell::new(1, 3);
    cell.pass(LONG);
    let first = cell.owner(ShardNo(0)).expect("owned").owner.expect("a member");
    cell.tables.remove(&first);
    cell.pass(GRACE * 2);
    assert_eq!(cell.owner(ShardNo(0)).expect("owned").owner, Some(first), "its row is there");
    cell.join_at(id(9), address(first), false, 1.0);
    cell.pass(RANK * 3);
    let row = cell.owner(ShardNo(0)).expect("owned");
    assert_ne!(row.owner, Some(first));
    assert_eq!(row.token, 2);
}

#[test]
fn after_all_were_killed_the_owner_s_row_tells_where_it_was() {
    // Story: all processes are killed, and their leases end before the new ones have read the
    // table. No row of the old owner is left to compare with, but the shard's own row says where
    // it was; the new process at that address is the proof.
    let mut cell = Cell::new(1, 2);
    cell.pass(LONG);
    let first = cell.owner(ShardNo(0)).expect("owned").owner.expect("a member");
    let other = if first == id(1) { id(2) } else { id(1) };
    cell.leave(first);
    cell.leave(other);
    cell.join_at(id(9), address(first), false, 1.0);
    cell.start(id(9));
    cell.pass(GRACE / 4);
    assert_eq!(cell.owner(ShardNo(0)).expect("owned").owner, Some(id(9)));
}

#[test]
fn an_older_process_at_the_same_address_proves_nothing() {
    // Story: a process was killed, and its successor at the same address owns a shard; the row of
    // the first is still there until its lease ends. The live one must not be taken for dead.
    let mut cell = Cell::new(1, 1);
    cell.join_at(id(2), address(id(1)), false, 100.0);
    cell.tables.remove(&id(1));
    cell.start(id(2));
    cell.pass(GRACE);
    assert_eq!(cell.owner(ShardNo(0)).expect("owned").owner, Some(id(2)));
    cell.join(id(3), false);
    cell.start(id(3));
    cell.pass(GRACE * 3);
    assert_eq!(cell.owner(ShardNo(0)).expect("owned").owner, Some(id(2)));
}

#[test]
fn a_machine_that_is_back_is_asked_once() {
    // Story: all processes are killed and start again at once. Until the old leases have ended the
    // table has two rows for each machine; the owner sends calls for advice to both, and a machine
    // makes one after the other, so that every second one runs out of time.
    let mut cell = Cell::new(4, 3);
    for n in 1..=3 {
        cell.join_at(id(10 + n), address(id(n)), false, 1.0);
    }
    cell.start(id(11));
    let view = cell.table(id(11)).view();
    let back: Vec<_> = (11..=13).map(id).collect();
    assert_eq!(view.able(), back);
    let mut asked = BTreeSet::new();
    for shard in (0..4).map(ShardNo) {
        let Peers { own, shared } = view.peers(shard);
        let all: Vec<_> = own.into_iter().chain(shared).collect();
        let each: BTreeSet<_> = all.iter().copied().collect();
        assert_eq!(all.len(), each.len(), "once");
        asked.extend(each);
    }
    assert_eq!(asked, back.into_iter().collect());
}

#[test]
fn shards_prefer_different_members_for_their_calls() {
    // Story: four shards make calls that take over a second each, and none knows of the others'.
    // All began with the same members, and calls waited there while others had nothing to do.
    let mut cell = Cell::new(4, 42);
    let view = cell.table(id(1)).view();
    let mut first = BTreeSet::new();
    for shard in (0..4).map(ShardNo) {
        let Peers { own, shared } = view.peers(shard);
        assert!(own.len() >= 5);
        for other in (0..4).map(ShardNo).filter(|s| *s != shard) {
            let Peers { own: others, .. } = view.peers(other);
            assert!(!others.iter().any(|m| own.contains(m) || shared.contains(m)));
        }
        first.extend(own.into_iter().chain(shared).take(10));
    }
    assert_eq!(first.len(), 40);
}

#[test]
fn shards_go_to_members_with_processors_first() {
    // Story: six machines of half a core and 36 of an eighth. An owner's work doesn't fit on an
    // eighth of a core, so these may own a shard only when the others have several.
    let mut cell = Cell::new(6, 0);
    let strong: Vec<_> = (1..=42).filter(|n| n % 7 == 0).map(id).collect();
    for n in (1..=42).map(id) {
        cell.join_at(n, address(n), false, if strong.contains(&n) { 0.5 } else { 0.12 });
    }
    (1..=42).for_each(|n| cell.start(id(n)));
    cell.pass(Duration::from_secs(1));
    let owners: BTreeSet<_> =
        (0..6).map(|s| cell.owner(ShardNo(s)).expect("owned").owner.expect("a member")).collect();
    assert_eq!(owners, strong.into_iter().collect());
}

#[test]
fn a_dead_first_candidate_is_not_waited_for_forever() {
    // Story: the member that is first in line has a row, but its process hangs and never writes.
    // The second in line has to take the shard after its own wait, and not before.
    let mut cell = Cell::new(1, 3);
    let frozen: Vec<_> = (1..=3).map(id).filter(|m| takes_at_once(&mut cell, *m)).collect();
    assert_eq!(frozen.len(), 1, "one member is first");
    cell.tables.remove(&frozen[0]);
    cell.pass(RANK - Duration::from_millis(40));
    assert_eq!(cell.owner(ShardNo(0)), None);
    cell.pass(Duration::from_millis(100));
    assert!(cell.owner(ShardNo(0)).is_some());
}

/// Whether a member would take shard 0 now; what it would write is not landed.
fn takes_at_once(cell: &mut Cell, member: Incarnation) -> bool {
    let now = cell.now;
    let takes = cell.table(member).step(now);
    for take in &takes {
        cell.table(member).taken(take, Fate::Not, now);
    }
    !takes.is_empty()
}

#[test]
fn a_released_shard_is_taken_without_a_grace() {
    // Story: a planned stop. The owner releases its shard and its row stays for a while, draining;
    // the shard must not wait for a lease to end.
    let mut cell = Cell::new(1, 2);
    cell.pass(LONG);
    let first = cell.owner(ShardNo(0)).expect("owned").owner.expect("a member");
    let now = cell.now;
    cell.table(first).stop();
    cell.join(first, true);
    let row = OwnerRow { owner: None, token: 1, control: None };
    cell.write(ShardNo(0).owner(), record::write(&row));
    cell.table(first).dropped(ShardNo(0), now);
    cell.pass(Duration::from_millis(20));
    let row = cell.owner(ShardNo(0)).expect("owned");
    assert!(row.owner.is_some_and(|o| o != first));
    assert_eq!(row.token, 2);
}

#[test]
fn a_member_that_the_store_is_silent_to_takes_nothing() {
    // Story: a member is cut off from the store and remembers an old table. What it would take
    // over may long have another owner, and its write, held up on the way, could arrive later.
    let mut cell = Cell::new(1, 1);
    let late = cell.now + SILENT + Duration::from_millis(1);
    assert!(cell.table(id(1)).step(late).is_empty());
    cell.table(id(1)).answered(late);
    assert_eq!(cell.table(id(1)).step(late).len(), 1);
}

#[test]
fn after_an_outage_owners_get_their_grace_again() {
    // Story: the store was down and all leases have ended. The first member that reaches it again
    // sees no owner alive, but they are all about to register: it must give them their second.
    let mut cell = Cell::new(1, 2);
    cell.pass(LONG);
    let owner = cell.owner(ShardNo(0)).expect("owned").owner.expect("a member");
    let other = if owner == id(1) { id(2) } else { id(1) };
    cell.put(member_key(owner), None);
    // The other hears nothing for long enough that the grace alone would be over.
    cell.now = cell.now + GRACE + SILENT * 2;
    let now = cell.now;
    cell.table(other).answered(now);
    assert!(cell.table(other).step(now).is_empty());
    cell.join(owner, false);
    cell.pass(LONG);
    assert_eq!(
        cell.owner(ShardNo(0)).expect("owned"),
        OwnerRow { owner: Some(owner), token: 1, control: Some(address(owner)) }
    );
}

#[test]
fn a_member_without_its_row_takes_nothing_and_must_register() {
    // Story: this member's lease has ended without its noticing. Others may not see it, so it must
    // not take anything before its row is back.
    let mut cell = Cell::new(1, 1);
    let registered = cell.rev;
    assert!(!cell.table(id(1)).view().lost(id(1), registered));
    cell.put(member_key(id(1)), None);
    assert!(cell.table(id(1)).view().lost(id(1), registered));
    cell.pass(Duration::from_secs(1));
    assert_eq!(cell.owner(ShardNo(0)), None);
    cell.join(id(1), false);
    cell.pass(Duration::from_secs(1));
    assert!(cell.owner(ShardNo(0)).is_some());
}

#[test]
fn a_takeover_whose_answer_was_lost_is_made_again_with_a_higher_token() {
    // Story: the store did the takeover and its answer was lost. The member reads its own name in
    // the row; what stands in the commit row it doesn't know, so it begins with a token of its own.
    let mut cell = Cell::new(1, 1);
    let now = cell.now;
    let take = cell.table(id(1)).step(now).remove(0);
    cell.land(id(1), &take);
    let read = cell.items.get(&ShardNo(0).owner()).cloned();
    cell.table(id(1)).taken(&take, Fate::Unclear(read), now);
    assert!(cell.table(id(1)).running().is_empty(), "nothing is assumed");
    cell.pass(Duration::from_secs(1));
    assert_eq!(cell.table(id(1)).running().get(&ShardNo(0)), Some(&2));
}

#[test]
fn a_takeover_that_lands_after_the_reading_is_found_by_the_watch() {
    // Story: the answer was lost and the row read back unchanged; then the write landed after all.
    // Two writes are under way, and only one of them may count.
    let mut cell = Cell::new(1, 1);
    let now = cell.now;
    let take = cell.table(id(1)).step(now).remove(0);
    cell.table(id(1)).taken(&take, Fate::Unclear(None), now);
    cell.land(id(1), &take);
    cell.pass(Duration::from_secs(1));
    let row = cell.owner(ShardNo(0)).expect("owned");
    assert_eq!(cell.table(id(1)).running().get(&ShardNo(0)), Some(&row.token));
    assert_eq!(row.token, 2);
}

#[test]
fn a_deposed_owner_learns_it_from_the_table() {
    // Story: an owner was frozen, and another has taken its shard. When it thaws, the table is
    // the first to tell it; it must drop the shard and not take it back.
    let mut cell = Cell::new(1, 2);
    cell.pass(LONG);
    let owner = cell.owner(ShardNo(0)).expect("owned").owner.expect("a member");
    let other = if owner == id(1) { id(2) } else { id(1) };
    cell.rev += 1;
    let row = OwnerRow { owner: Some(other), token: 2, control: None };
    let item = Item { key: ShardNo(0).owner(), value: Some(record::write(&row)), rev: cell.rev };
    let (now, rev) = (cell.now, cell.rev);
    assert_eq!(cell.table(owner).changed(vec![item], rev, now), [ShardNo(0)]);
    assert!(cell.table(owner).running().is_empty());
    assert!(cell.table(owner).step(now + GRACE * 2).is_empty());
}

#[test]
fn an_older_item_changes_nothing() {
    // Story: a range that was read before this member's takeover arrives after it. Taken at its
    // word, it would take the shard away from the one who has just got it.
    let mut cell = Cell::new(1, 1);
    let row = OwnerRow { owner: None, token: 4, control: None };
    cell.write(ShardNo(0).owner(), record::write(&row));
    let old: Vec<Item> = cell.items.values().cloned().collect();
    let rev = cell.rev;
    cell.pass(Duration::from_secs(1));
    let now = cell.now;
    assert!(cell.table(id(1)).load(old, rev, now).is_empty());
    assert_eq!(cell.table(id(1)).running().get(&ShardNo(0)), Some(&5));
    let bare: Vec<Item> =
        cell.items.values().filter(|i| i.key != ShardNo(0).owner()).cloned().collect();
    assert!(cell.table(id(1)).load(bare, rev, now).is_empty());
    assert_eq!(cell.table(id(1)).running().get(&ShardNo(0)), Some(&5));
}

/// A cell of five whose owner is about to leave: the owner, the one member that the store serves, and
/// the three that know that it doesn't serve them.
fn cut_off() -> (Cell, Incarnation, Incarnation, Vec<Incarnation>) {
    let mut cell = Cell::new(1, 5);
    cell.pass(LONG);
    let first = cell.owner(ShardNo(0)).expect("owned").owner.expect("a member");
    let mut cut: Vec<Incarnation> = cell.tables.keys().copied().filter(|m| *m != first).collect();
    let served = cut.pop().expect("four others");
    for member in &cut {
        cell.table(*member).relayed(true);
    }
    (cell, first, served, cut)
}

#[test]
fn a_member_that_the_store_does_not_serve_takes_a_shard_over_after_all_others() {
    // It took 11 s to read the shard through others, and nobody owned it meanwhile.
    let (mut cell, first, served, cut) = cut_off();
    cell.leave(first);
    cell.pass(GRACE + RANK * 4);
    assert_eq!(cell.owner(ShardNo(0)).expect("owned").owner, Some(served));
    cell.leave(served);
    // Each knows of itself alone, so that it waits for all that are left.
    cell.pass(GRACE + RELAYED + RANK * 2 + Duration::from_millis(60));
    assert!(cut.contains(&cell.owner(ShardNo(0)).expect("owned").owner.expect("a member")));
}

#[test]
fn rows_that_say_so_put_a_member_that_is_not_served_behind_at_once() {
    let (mut cell, first, served, cut) = cut_off();
    for member in cut {
        let (control, zone) = (address(member), Zone::from("z"));
        let row = MemberRow { control, zone, draining: false, cores: 1.0, relayed: true };
        cell.write(member_key(member), record::write(&row));
    }
    cell.leave(first);
    cell.pass(GRACE + Duration::from_millis(60));
    assert_eq!(cell.owner(ShardNo(0)).expect("owned").owner, Some(served));
}
