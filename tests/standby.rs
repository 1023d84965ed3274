//! VMs that stand by: when they are lent, and how they go back.

mod wave;

use {
    dogwoodreach::{Time, decide::standby::Tide},
    std::time::Duration,
    wave::{Luck, Yard, store::Fate, unit::SPARE, wave},
};

/// The longest that a holder's death goes unnoticed.
const DEATH: u64 = 3_500;

/// A yard with so many VMs of which the last stand by.
fn yard(count: usize, spare: usize) -> Yard {
    let mut yard = Yard::new(count);
    yard.stand_by(spare);
    yard
}

/// Another holder takes over from the last one.
fn succeed(yard: &mut Yard) {
    let last = yard.holders.len() - 1;
    yard.holders[last].gone = true;
    yard.run(DEATH);
    yard.take_over();
    yard.hear_pools();
}

#[test]
fn work_that_waits_gets_a_vm_and_gives_it_back() {
    let mut yard = yard(4, 2);
    yard.run(5_000);
    assert!(yard.orders.is_empty());
    yard.waits(3_500);
    let lent = yard.until("lent", 3_000, |y| y.lent() == 1);
    yard.waits(0);
    let back = yard.until("given back", 30_000, |y| y.lent() == 0);
    assert!(back - lent >= Duration::from_secs(10), "no sooner than it is sure");
    yard.run(30_000);
    assert_eq!(yard.orders.len(), 2);
    assert!(yard.closing().turns.is_empty());
}

#[test]
fn where_work_goes_on_waiting_one_after_the_other_is_lent() {
    let mut yard = yard(5, 3);
    yard.waits(4_000);
    yard.run(4_000);
    assert_eq!(yard.lent(), 1, "the first has to arrive before what waits says anything");
    yard.run(20_000);
    assert_eq!(yard.lent(), 3);
}

#[test]
fn a_vm_with_tasks_stays_until_they_have_ended() {
    let mut yard = yard(2, 1);
    yard.waits(4_000);
    yard.until("lent", 3_000, |y| y.lent() == 1);
    yard.vms[1].busy = true;
    yard.waits(0);
    yard.run(60_000);
    assert_eq!(yard.lent(), 1);
    yard.vms[1].busy = false;
    yard.until("given back", 10_000, |y| y.lent() == 0);
}

#[test]
fn a_task_that_starts_just_then_keeps_its_vm() {
    // Story: the VM was empty for long enough. Between the owner's word and the order a task starts;
    // moved now, the VM takes it along.
    let mut yard = yard(2, 1);
    yard.waits(4_000);
    yard.until("lent", 3_000, |y| y.lent() == 1);
    yard.waits(0);
    yard.until("closing", 30_000, |y| !y.closing().turns.is_empty());
    yard.vms[1].busy = true;
    yard.vms[1].empties = (Duration::from_secs(600), Duration::from_secs(600));
    yard.until("open again", 8_000, |y| y.closing().turns.is_empty());
    assert_eq!(yard.lent(), 1);
}

#[test]
fn a_holder_that_dies_at_any_moment_forgets_no_loan() {
    // Story: the holder dies while a VM is on its way, at work or on its way back. Forgotten, it is
    // never given back, and paid for until somebody looks.
    for at in (0..22_000).step_by(500) {
        let mut yard = yard(3, 1);
        yard.waits(4_000);
        yard.run(1_500);
        yard.waits(0);
        yard.run(at);
        succeed(&mut yard);
        yard.run(45_000);
        assert_eq!(yard.lent(), 0, "death at {at}: {:?}", yard.orders);
        assert_eq!(yard.vms[2].moves.len(), 2, "death at {at}");
        assert!(yard.closing().turns.is_empty(), "death at {at}");
    }
}

#[test]
fn orders_without_an_answer_are_settled() {
    let all = [
        Luck::Unheard,
        Luck::Lost,
        Luck::Refused,
        Luck::Late(Duration::from_secs(3)),
        Luck::Late(Duration::from_secs(11)),
    ];
    for first in all {
        for second in all {
            let mut yard = yard(3, 1);
            yard.luck = [first, Luck::Fine, second].into();
            yard.waits(4_000);
            yard.until("lent", 20_000, |y| y.lent() == 1);
            yard.run(12_000);
            yard.waits(0);
            yard.until("given back", 60_000, |y| y.lent() == 0);
            yard.run(20_000);
            assert_eq!(yard.vms[2].moves.len(), 2, "{first:?} {second:?}: {:?}", yard.vms[2].moves);
            assert!(yard.closing().turns.is_empty());
        }
    }
}

#[test]
fn a_vm_that_cannot_go_there_is_not_asked_for_again() {
    let mut yard = yard(4, 2);
    yard.vms[2].bound = true;
    yard.waits(4_000);
    yard.until("the other", 20_000, |y| y.lent() == 1);
    yard.run(20_000);
    let asked = yard.orders.iter().filter(|o| o.2.as_str() == "m2").count();
    assert_eq!(asked, 1);
}

#[test]
fn a_lost_write_is_settled_by_reading() {
    for late in [0, 700, 3_000] {
        let mut yard = yard(3, 1);
        let lost = Fate::Lost(Duration::from_millis(late));
        yard.fates = [lost, Fate::Unheard, Fate::Refused, lost, lost].into();
        yard.waits(4_000);
        yard.until("lent", 40_000, |y| y.lent() == 1);
        yard.waits(0);
        yard.until("given back", 60_000, |y| y.lent() == 0);
        assert_eq!(yard.vms[2].moves.len(), 2);
    }
}

#[test]
fn a_wave_and_a_loan_go_side_by_side() {
    let mut yard = yard(5, 1);
    yard.order(wave(4, 40, 1));
    yard.waits(4_000);
    yard.until("lent", 20_000, |y| y.lent() == 1);
    yard.waits(0);
    yard.until("completed", 60_000, Yard::completed);
    yard.until("given back", 60_000, |y| y.lent() == 0);
    assert_eq!(yard.vms[4].pool.as_str(), SPARE);
}

#[test]
fn with_vms_that_stand_by_and_nothing_to_do_no_list_is_read() {
    // Story: each list of VMs is paid for, and a site with VMs that stand by has them all day.
    let mut yard = yard(4, 2);
    yard.run(2_000);
    let calls = yard.store.writes;
    yard.run(60_000);
    assert_eq!(yard.store.writes, calls);
    assert_eq!(yard.lists, 0);
}

/// How many moves a pool makes whose oldest work waits as long as `waits` says, second by second, under
/// the policy and where each wait borrows and each second without one gives back.
fn moves(seconds: u64, waits: impl Fn(u64) -> u64) -> (u32, u32) {
    let (mut tide, mut lent, mut made) = (Tide::default(), false, 0);
    let (mut plain, mut plain_made) = (false, 0);
    let mut empty = Time::ZERO;
    for s in 0..seconds {
        let now = Time::from_millis(s * 1_000);
        let ms = waits(s);
        tide.seen(Duration::from_millis(ms), now);
        empty = if ms > 0 { now } else { empty };
        let change = if lent { tide.give_back(empty, now) } else { tide.borrow(now) };
        if change {
            (lent, made) = (!lent, made + 1);
        }
        if plain != (ms > 0) {
            (plain, plain_made) = (!plain, plain_made + 1);
        }
    }
    (made, plain_made)
}

#[test]
fn short_waits_move_nothing_and_waits_by_turns_move_once() {
    // A second of waiting in four: the end of a task is due any moment.
    assert_eq!(moves(600, |s| if s % 4 == 0 { 1_000 } else { 0 }).0, 0);
    // Four seconds of waiting in eight, for five minutes, then none.
    let tidal = |s| if s < 300 && s % 8 < 4 { 1_000 * (s % 8 + 1) } else { 0 };
    let (made, plain) = moves(600, tidal);
    assert_eq!(made, 2, "there and back");
    assert!(plain > 70, "without hysteresis {plain}");
}
