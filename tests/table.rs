//! Which member takes over a shard, and when, in virtual time.

#[path = "table/mod.rs"]
mod cell;

use {
    cell::{Cell, address, id},
    dogwoodreach::{
        decide::lanes::Peers,
        ids::{Incarnation, Zone},
        member_table::{
            MAX_STORE_SILENCE, RANK_DELAY, TAKEOVER_GRACE, TakeoverOutcome, UNFIT_DELAY, member_key,
        },
        ports::Item,
        shard::record::{self, MemberRow, OwnerRow, ShardNo},
    },
    std::{collections::BTreeSet, time::Duration},
};

const SETTLE_TIME: Duration = Duration::from_secs(60);

#[test]
fn free_shards_are_spread_at_once() {
    // All members start together and no shard has an owner. If the hash alone decided, some members
    // would own several shards and others none, and the ticks would cost more than needed.
    let mut cell = Cell::new(6, 6);
    cell.advance(Duration::from_millis(200));
    let owners: BTreeSet<_> =
        (0..6).map(|s| cell.owner(ShardNo(s)).expect("owned").owner).collect();
    assert_eq!(owners.len(), 6);
    for s in 0..6 {
        assert_eq!(cell.owner(ShardNo(s)).expect("owned").token, 1);
    }
}

#[test]
fn a_lost_owner_is_followed_after_the_grace_and_with_a_higher_token() {
    // An owner's machine loses power. Its shard has no working owner until another member takes it
    // over. A takeover that is too early would take it from an owner that is only registering
    // again.
    let mut cell = Cell::new(1, 3);
    cell.advance(SETTLE_TIME);
    let first = cell.owner(ShardNo(0)).expect("owned").owner.expect("a member");
    cell.leave(first);
    cell.advance(TAKEOVER_GRACE - Duration::from_millis(40));
    assert_eq!(cell.owner(ShardNo(0)).expect("owned").owner, Some(first));
    cell.advance(Duration::from_millis(100));
    let row = cell.owner(ShardNo(0)).expect("owned");
    assert_ne!(row.owner, Some(first));
    assert_eq!(row.token, 2);
}

#[test]
fn an_owner_whose_address_another_process_has_is_not_waited_for() {
    // An owner is killed and its machine restarts it at once. The new process registers the same
    // address while the old lease runs for two more seconds. The takeover must not wait for that
    // lease and the grace period, as the old process can't act any more.
    let mut cell = Cell::new(1, 3);
    cell.advance(SETTLE_TIME);
    let first = cell.owner(ShardNo(0)).expect("owned").owner.expect("a member");
    cell.tables.remove(&first);
    cell.advance(TAKEOVER_GRACE * 2);
    assert_eq!(cell.owner(ShardNo(0)).expect("owned").owner, Some(first), "its row is there");
    cell.join_at(id(9), address(first), false, 1.0);
    cell.advance(RANK_DELAY * 3);
    let row = cell.owner(ShardNo(0)).expect("owned");
    assert_ne!(row.owner, Some(first));
    assert_eq!(row.token, 2);
}

#[test]
fn after_all_were_killed_the_owner_s_row_tells_where_it_was() {
    // All processes are killed, and their leases end before the new ones have read the table. The
    // old owner has no member row any more, but the owner row of the shard holds its address; a new
    // process at that address proves that the old one has ended.
    let mut cell = Cell::new(1, 2);
    cell.advance(SETTLE_TIME);
    let first = cell.owner(ShardNo(0)).expect("owned").owner.expect("a member");
    let other = if first == id(1) { id(2) } else { id(1) };
    cell.leave(first);
    cell.leave(other);
    cell.join_at(id(9), address(first), false, 1.0);
    cell.start(id(9));
    cell.advance(TAKEOVER_GRACE / 4);
    assert_eq!(cell.owner(ShardNo(0)).expect("owned").owner, Some(id(9)));
}

#[test]
fn an_older_process_at_the_same_address_proves_nothing() {
    // A process was killed, and its successor at the same address owns a shard. The row of the
    // first process exists until its lease ends; it must not make the live one count as ended.
    let mut cell = Cell::new(1, 1);
    cell.join_at(id(2), address(id(1)), false, 100.0);
    cell.tables.remove(&id(1));
    cell.start(id(2));
    cell.advance(TAKEOVER_GRACE);
    assert_eq!(cell.owner(ShardNo(0)).expect("owned").owner, Some(id(2)));
    cell.join(id(3), false);
    cell.start(id(3));
    cell.advance(TAKEOVER_GRACE * 3);
    assert_eq!(cell.owner(ShardNo(0)).expect("owned").owner, Some(id(2)));
}

#[test]
fn a_machine_that_is_back_is_asked_once() {
    // All processes are killed and restart at once. Until the old leases have ended, the table has
    // two rows for each machine. An owner that sends advice calls to both makes every second one
    // time out, as a machine makes one call after the other.
    let mut cell = Cell::new(4, 3);
    for n in 1..=3 {
        cell.join_at(id(10 + n), address(id(n)), false, 1.0);
    }
    cell.start(id(11));
    let view = cell.table(id(11)).view();
    let back: Vec<_> = (11..=13).map(id).collect();
    assert_eq!(view.available_members(), back);
    let mut asked = BTreeSet::new();
    for shard in (0..4).map(ShardNo) {
        let Peers { unshared: own, shared } = view.advice_members(shard);
        let all: Vec<_> = own.into_iter().chain(shared).collect();
        let each: BTreeSet<_> = all.iter().copied().collect();
        assert_eq!(all.len(), each.len(), "once");
        asked.extend(each);
    }
    assert_eq!(asked, back.into_iter().collect());
}

#[test]
fn shards_prefer_different_members_for_their_calls() {
    // Four shards make calls that take over a second each, without knowing each other's. If all
    // start with the same members, calls queue there while other members are idle.
    let mut cell = Cell::new(4, 42);
    let view = cell.table(id(1)).view();
    let mut first = BTreeSet::new();
    for shard in (0..4).map(ShardNo) {
        let Peers { unshared: own, shared } = view.advice_members(shard);
        assert!(own.len() >= 5);
        for other in (0..4).map(ShardNo).filter(|s| *s != shard) {
            let Peers { unshared: others, .. } = view.advice_members(other);
            assert!(!others.iter().any(|m| own.contains(m) || shared.contains(m)));
        }
        first.extend(own.into_iter().chain(shared).take(10));
    }
    assert_eq!(first.len(), 40);
}

#[test]
fn shards_go_to_members_with_processors_first() {
    // Six machines have half a core and 36 an eighth. An owner needs more than an eighth of a core,
    // so that the small ones may own a shard only when the others have several.
    let mut cell = Cell::new(6, 0);
    let strong: Vec<_> = (1..=42).filter(|n| n % 7 == 0).map(id).collect();
    for n in (1..=42).map(id) {
        cell.join_at(n, address(n), false, if strong.contains(&n) { 0.5 } else { 0.12 });
    }
    (1..=42).for_each(|n| cell.start(id(n)));
    cell.advance(Duration::from_secs(1));
    let owners: BTreeSet<_> =
        (0..6).map(|s| cell.owner(ShardNo(s)).expect("owned").owner.expect("a member")).collect();
    assert_eq!(owners, strong.into_iter().collect());
}

#[test]
fn a_dead_first_candidate_is_not_waited_for_forever() {
    // The first candidate has a row, but its process hangs and never writes. The second candidate
    // has to take the shard over after its own delay, and not before.
    let mut cell = Cell::new(1, 3);
    let frozen: Vec<_> = (1..=3).map(id).filter(|m| takes_over_at_once(&mut cell, *m)).collect();
    assert_eq!(frozen.len(), 1, "one member is first");
    cell.tables.remove(&frozen[0]);
    cell.advance(RANK_DELAY - Duration::from_millis(40));
    assert_eq!(cell.owner(ShardNo(0)), None);
    cell.advance(Duration::from_millis(100));
    assert!(cell.owner(ShardNo(0)).is_some());
}

/// Whether a member would take over shard 0 now; the takeover is not written.
fn takes_over_at_once(cell: &mut Cell, member: Incarnation) -> bool {
    let now = cell.now;
    let takeovers = cell.table(member).due_takeovers(now);
    for takeover in &takeovers {
        cell.table(member).finish_takeover(takeover, TakeoverOutcome::NotWritten, now);
    }
    !takeovers.is_empty()
}

#[test]
fn a_released_shard_is_taken_without_a_grace() {
    // During a planned stop the owner releases its shard while its row still exists, as draining.
    // The takeover must not wait for the lease to end.
    let mut cell = Cell::new(1, 2);
    cell.advance(SETTLE_TIME);
    let first = cell.owner(ShardNo(0)).expect("owned").owner.expect("a member");
    let now = cell.now;
    cell.table(first).stop_takeovers();
    cell.join(first, true);
    let row = OwnerRow { owner: None, token: 1, control: None };
    cell.write(ShardNo(0).owner_key(), record::encode(&row));
    cell.table(first).remove_owned(ShardNo(0), now);
    cell.advance(Duration::from_millis(20));
    let row = cell.owner(ShardNo(0)).expect("owned");
    assert!(row.owner.is_some_and(|o| o != first));
    assert_eq!(row.token, 2);
}

#[test]
fn a_member_that_the_store_is_silent_to_takes_nothing() {
    // A member is cut off from the store and knows an old table. The shards it would take over may
    // have other owners by now, and a delayed write could arrive later.
    let mut cell = Cell::new(1, 1);
    let late = cell.now + MAX_STORE_SILENCE + Duration::from_millis(1);
    assert!(cell.table(id(1)).due_takeovers(late).is_empty());
    cell.table(id(1)).record_answer(late);
    assert_eq!(cell.table(id(1)).due_takeovers(late).len(), 1);
}

#[test]
fn after_an_outage_owners_get_their_grace_again() {
    // The store was down and all leases have ended. The first member that reaches it again sees no
    // live owner, but the owners are about to register again: the grace period has to start anew.
    let mut cell = Cell::new(1, 2);
    cell.advance(SETTLE_TIME);
    let owner = cell.owner(ShardNo(0)).expect("owned").owner.expect("a member");
    let other = if owner == id(1) { id(2) } else { id(1) };
    cell.put(member_key(owner), None);
    // The other member gets no answer for longer than the grace period.
    cell.now = cell.now + TAKEOVER_GRACE + MAX_STORE_SILENCE * 2;
    let now = cell.now;
    cell.table(other).record_answer(now);
    assert!(cell.table(other).due_takeovers(now).is_empty());
    cell.join(owner, false);
    cell.advance(SETTLE_TIME);
    assert_eq!(
        cell.owner(ShardNo(0)).expect("owned"),
        OwnerRow { owner: Some(owner), token: 1, control: Some(address(owner)) }
    );
}

#[test]
fn a_member_without_its_row_takes_nothing_and_must_register() {
    // This member's lease has ended without its notice. Other members may not see it, so that it
    // must not take over a shard before its row exists again.
    let mut cell = Cell::new(1, 1);
    let registered = cell.rev;
    assert!(!cell.table(id(1)).view().must_register(id(1), registered));
    cell.put(member_key(id(1)), None);
    assert!(cell.table(id(1)).view().must_register(id(1), registered));
    cell.advance(Duration::from_secs(1));
    assert_eq!(cell.owner(ShardNo(0)), None);
    cell.join(id(1), false);
    cell.advance(Duration::from_secs(1));
    assert!(cell.owner(ShardNo(0)).is_some());
}

#[test]
fn a_takeover_whose_answer_was_lost_is_made_again_with_a_higher_token() {
    // The store applied the takeover but the answer was lost. The member reads its own id in the
    // owner row. It doesn't know the commit row, so it takes the shard over again with a new token.
    let mut cell = Cell::new(1, 1);
    let now = cell.now;
    let takeover = cell.table(id(1)).due_takeovers(now).remove(0);
    cell.apply(id(1), &takeover);
    let read = cell.items.get(&ShardNo(0).owner_key()).cloned();
    cell.table(id(1)).finish_takeover(&takeover, TakeoverOutcome::Unclear(read), now);
    assert!(cell.table(id(1)).owned().is_empty(), "nothing is assumed");
    cell.advance(Duration::from_secs(1));
    assert_eq!(cell.table(id(1)).owned().get(&ShardNo(0)), Some(&2));
}

#[test]
fn a_takeover_that_lands_after_the_reading_is_found_by_the_watch() {
    // The answer was lost and the row was read back unchanged; then the write was applied after
    // all. Two writes are under way, and only one of them may count.
    let mut cell = Cell::new(1, 1);
    let now = cell.now;
    let takeover = cell.table(id(1)).due_takeovers(now).remove(0);
    cell.table(id(1)).finish_takeover(&takeover, TakeoverOutcome::Unclear(None), now);
    cell.apply(id(1), &takeover);
    cell.advance(Duration::from_secs(1));
    let row = cell.owner(ShardNo(0)).expect("owned");
    assert_eq!(cell.table(id(1)).owned().get(&ShardNo(0)), Some(&row.token));
    assert_eq!(row.token, 2);
}

#[test]
fn a_deposed_owner_learns_it_from_the_table() {
    // An owner was frozen, and another member has taken over its shard. When the owner resumes, the
    // table is the first to show this; the owner must drop the shard and not take it back.
    let mut cell = Cell::new(1, 2);
    cell.advance(SETTLE_TIME);
    let owner = cell.owner(ShardNo(0)).expect("owned").owner.expect("a member");
    let other = if owner == id(1) { id(2) } else { id(1) };
    cell.rev += 1;
    let row = OwnerRow { owner: Some(other), token: 2, control: None };
    let item =
        Item { key: ShardNo(0).owner_key(), value: Some(record::encode(&row)), rev: cell.rev };
    let (now, rev) = (cell.now, cell.rev);
    assert_eq!(cell.table(owner).apply_changes(vec![item], rev, now), [ShardNo(0)]);
    assert!(cell.table(owner).owned().is_empty());
    assert!(cell.table(owner).due_takeovers(now + TAKEOVER_GRACE * 2).is_empty());
}

#[test]
fn an_older_item_changes_nothing() {
    // A range that was read before this member's takeover arrives after it. It must not take the
    // shard away from this member.
    let mut cell = Cell::new(1, 1);
    let row = OwnerRow { owner: None, token: 4, control: None };
    cell.write(ShardNo(0).owner_key(), record::encode(&row));
    let old: Vec<Item> = cell.items.values().cloned().collect();
    let rev = cell.rev;
    cell.advance(Duration::from_secs(1));
    let now = cell.now;
    assert!(cell.table(id(1)).load_snapshot(old, rev, now).is_empty());
    assert_eq!(cell.table(id(1)).owned().get(&ShardNo(0)), Some(&5));
    let bare: Vec<Item> =
        cell.items.values().filter(|i| i.key != ShardNo(0).owner_key()).cloned().collect();
    assert!(cell.table(id(1)).load_snapshot(bare, rev, now).is_empty());
    assert_eq!(cell.table(id(1)).owned().get(&ShardNo(0)), Some(&5));
}

/// A cell of five members: returns the owner of the shard, the one other member that the store
/// serves directly, and the three that know that it doesn't serve them.
fn cut_off() -> (Cell, Incarnation, Incarnation, Vec<Incarnation>) {
    let mut cell = Cell::new(1, 5);
    cell.advance(SETTLE_TIME);
    let first = cell.owner(ShardNo(0)).expect("owned").owner.expect("a member");
    let mut cut: Vec<Incarnation> = cell.tables.keys().copied().filter(|m| *m != first).collect();
    let served = cut.pop().expect("four others");
    for member in &cut {
        cell.table(*member).set_relayed(true);
    }
    (cell, first, served, cut)
}

#[test]
fn a_member_that_the_store_does_not_serve_takes_a_shard_over_after_all_others() {
    // Reading the shard through other members took 11 s, and the shard had no working owner
    // meanwhile.
    let (mut cell, first, served, cut) = cut_off();
    cell.leave(first);
    cell.advance(TAKEOVER_GRACE + RANK_DELAY * 4);
    assert_eq!(cell.owner(ShardNo(0)).expect("owned").owner, Some(served));
    cell.leave(served);
    // Each member knows only its own state, so that it waits for all that are left.
    cell.advance(TAKEOVER_GRACE + UNFIT_DELAY + RANK_DELAY * 2 + Duration::from_millis(60));
    assert!(cut.contains(&cell.owner(ShardNo(0)).expect("owned").owner.expect("a member")));
}

#[test]
fn rows_that_say_so_put_a_member_that_is_not_served_behind_at_once() {
    let (mut cell, first, served, cut) = cut_off();
    for member in cut {
        let (control, zone) = (address(member), Zone::from("z"));
        let row =
            MemberRow { control, zone, draining: false, cores: 1.0, relayed: true, slow: false };
        cell.write(member_key(member), record::encode(&row));
    }
    cell.leave(first);
    cell.advance(TAKEOVER_GRACE + Duration::from_millis(60));
    assert_eq!(cell.owner(ShardNo(0)).expect("owned").owner, Some(served));
}

/// Releases the shard of a cell whose owner counts as slow; returns the cell and the former owner.
fn given_up(members: u64) -> (Cell, Incarnation) {
    let mut cell = Cell::new(1, members);
    cell.advance(SETTLE_TIME);
    let row = cell.owner(ShardNo(0)).expect("owned");
    let slow = row.owner.expect("a member");
    let now = cell.now;
    cell.table(slow).set_slow(true);
    let (control, zone) = (address(slow), Zone::from("z"));
    let member =
        MemberRow { control, zone, draining: false, cores: 100.0, relayed: false, slow: true };
    cell.write(member_key(slow), record::encode(&member));
    let released = OwnerRow { owner: None, token: row.token, control: None };
    cell.write(ShardNo(0).owner_key(), record::encode(&released));
    cell.table(slow).remove_owned(ShardNo(0), now);
    (cell, slow)
}

#[test]
fn a_shard_that_a_slow_member_gives_up_goes_to_another_at_once() {
    // Guards against a shard that returns to the member with the most cores, which has no shard now
    // but is too slow for one.
    let (mut cell, slow) = given_up(5);
    cell.advance(Duration::from_millis(60));
    let owner = cell.owner(ShardNo(0)).expect("owned").owner;
    assert!(owner.is_some_and(|o| o != slow), "{owner:?}");
}

#[test]
fn a_slow_member_that_is_alone_takes_its_shard_back() {
    // Guards against a shard without an owner while no other member is left.
    let (mut cell, slow) = given_up(1);
    cell.advance(UNFIT_DELAY + RANK_DELAY + Duration::from_secs(1));
    assert_eq!(cell.owner(ShardNo(0)).expect("owned").owner, Some(slow));
}
