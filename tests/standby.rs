//! Tests of when VMs of a standby pool are lent, and how they are returned.

mod wave;

use {
    dogwoodreach::{Time, decide::standby::PoolDemand},
    std::time::Duration,
    wave::{OrderFate, WaveSim, store::CallOutcome, unit::SPARE, wave},
};

/// Maximum time in milliseconds until the death of a holder is noticed.
const DETECTION_MS: u64 = 3_500;

/// Creates a yard with `count` VMs, the last `spare` of which belong to the standby pool.
fn yard(count: usize, spare: usize) -> WaveSim {
    let mut yard = WaveSim::new(count);
    yard.add_standby(spare);
    yard
}

/// Replaces the last holder, which dies, by a new one.
fn replace_holder(yard: &mut WaveSim) {
    let last = yard.holders.len() - 1;
    yard.holders[last].gone = true;
    yard.run(DETECTION_MS);
    yard.take_over();
    yard.send_pools();
}

#[test]
fn work_that_waits_gets_a_vm_and_gives_it_back() {
    let mut yard = yard(4, 2);
    yard.run(5_000);
    assert!(yard.orders.is_empty());
    yard.set_wait(3_500);
    let lent = yard.until("lent", 3_000, |y| y.lent() == 1);
    yard.set_wait(0);
    let back = yard.until("given back", 30_000, |y| y.lent() == 0);
    assert!(
        back - lent >= Duration::from_secs(10),
        "the VM was returned before the quiet period had passed"
    );
    yard.run(30_000);
    assert_eq!(yard.orders.len(), 2);
    assert!(yard.closing().turns.is_empty());
}

#[test]
fn where_work_goes_on_waiting_one_after_the_other_is_lent() {
    let mut yard = yard(5, 3);
    yard.set_wait(4_000);
    yard.run(4_000);
    assert_eq!(yard.lent(), 1, "a second VM was lent before the first had arrived");
    yard.run(20_000);
    assert_eq!(yard.lent(), 3);
}

#[test]
fn a_vm_with_tasks_stays_until_they_have_ended() {
    let mut yard = yard(2, 1);
    yard.set_wait(4_000);
    yard.until("lent", 3_000, |y| y.lent() == 1);
    yard.vms[1].busy = true;
    yard.set_wait(0);
    yard.run(60_000);
    assert_eq!(yard.lent(), 1);
    yard.vms[1].busy = false;
    yard.until("given back", 10_000, |y| y.lent() == 0);
}

#[test]
fn a_task_that_starts_just_then_keeps_its_vm() {
    // The VM has been empty for long enough, but a task starts between the owner's report and the
    // order. If the VM were moved now, the task would move with it.
    let mut yard = yard(2, 1);
    yard.set_wait(4_000);
    yard.until("lent", 3_000, |y| y.lent() == 1);
    yard.set_wait(0);
    yard.until("closing", 30_000, |y| !y.closing().turns.is_empty());
    yard.vms[1].busy = true;
    yard.vms[1].emptying_times = (Duration::from_secs(600), Duration::from_secs(600));
    yard.until("open again", 8_000, |y| y.closing().turns.is_empty());
    assert_eq!(yard.lent(), 1);
}

#[test]
fn a_holder_that_dies_at_any_moment_forgets_no_loan() {
    // The holder dies while a VM is being lent, in use or being returned. If the loan were
    // forgotten, the VM would never be returned, and cost money until an operator noticed.
    for at in (0..22_000).step_by(500) {
        let mut yard = yard(3, 1);
        yard.set_wait(4_000);
        yard.run(1_500);
        yard.set_wait(0);
        yard.run(at);
        replace_holder(&mut yard);
        yard.run(45_000);
        assert_eq!(yard.lent(), 0, "death at {at}: {:?}", yard.orders);
        assert_eq!(yard.vms[2].moves.len(), 2, "death at {at}");
        assert!(yard.closing().turns.is_empty(), "death at {at}");
    }
}

#[test]
fn orders_without_an_answer_are_settled() {
    let all = [
        OrderFate::Unanswered,
        OrderFate::Lost,
        OrderFate::Refused,
        OrderFate::Late(Duration::from_secs(3)),
        OrderFate::Late(Duration::from_secs(11)),
    ];
    for first in all {
        for second in all {
            let mut yard = yard(3, 1);
            yard.order_fates = [first, OrderFate::Answered, second].into();
            yard.set_wait(4_000);
            yard.until("lent", 20_000, |y| y.lent() == 1);
            yard.run(12_000);
            yard.set_wait(0);
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
    yard.vms[2].immovable = true;
    yard.set_wait(4_000);
    yard.until("the other", 20_000, |y| y.lent() == 1);
    yard.run(20_000);
    let asked = yard.orders.iter().filter(|o| o.2.as_str() == "m2").count();
    assert_eq!(asked, 1);
}

#[test]
fn a_lost_write_is_settled_by_reading() {
    for late in [0, 700, 3_000] {
        let mut yard = yard(3, 1);
        let lost = CallOutcome::AnswerLost(Duration::from_millis(late));
        yard.write_fates = [lost, CallOutcome::Unanswered, CallOutcome::Refused, lost, lost].into();
        yard.set_wait(4_000);
        yard.until("lent", 40_000, |y| y.lent() == 1);
        yard.set_wait(0);
        yard.until("given back", 60_000, |y| y.lent() == 0);
        assert_eq!(yard.vms[2].moves.len(), 2);
    }
}

#[test]
fn a_wave_and_a_loan_go_side_by_side() {
    let mut yard = yard(5, 1);
    yard.order(wave(4, 40, 1));
    yard.set_wait(4_000);
    yard.until("lent", 20_000, |y| y.lent() == 1);
    yard.set_wait(0);
    yard.until("completed", 60_000, WaveSim::completed);
    yard.until("given back", 60_000, |y| y.lent() == 0);
    assert_eq!(yard.vms[4].pool.as_str(), SPARE);
}

#[test]
fn with_vms_that_stand_by_and_nothing_to_do_no_list_is_read() {
    // Each call for the VM list costs money, and a site has standby VMs all day.
    let mut yard = yard(4, 2);
    yard.run(2_000);
    let calls = yard.store.writes;
    yard.run(60_000);
    assert_eq!(yard.store.writes, calls);
    assert_eq!(yard.list_reads, 0);
}

/// Returns the number of moves of a VM over `seconds` seconds, for a pool whose oldest work has
/// waited for `set_wait(second)` milliseconds: under the policy, and without hysteresis, when each
/// wait borrows a VM and each second without one returns it.
fn moves(seconds: u64, waits: impl Fn(u64) -> u64) -> (u32, u32) {
    let (mut demand, mut lent, mut moves_made) = (PoolDemand::default(), false, 0);
    let (mut baseline, mut baseline_moves) = (false, 0);
    let mut empty = Time::ZERO;
    for s in 0..seconds {
        let now = Time::from_millis(s * 1_000);
        let ms = waits(s);
        demand.record_wait(Duration::from_millis(ms), now);
        empty = if ms > 0 { now } else { empty };
        let change = if lent { demand.should_return(empty, now) } else { demand.should_lend(now) };
        if change {
            (lent, moves_made) = (!lent, moves_made + 1);
        }
        if baseline != (ms > 0) {
            (baseline, baseline_moves) = (!baseline, baseline_moves + 1);
        }
    }
    (moves_made, baseline_moves)
}

#[test]
fn short_waits_move_nothing_and_waits_by_turns_move_once() {
    // Work waits for one second in four, as tasks end every few seconds.
    assert_eq!(moves(600, |s| if s % 4 == 0 { 1_000 } else { 0 }).0, 0);
    // Work waits for four seconds in eight, for five minutes, and then not at all.
    let alternating = |s| if s < 300 && s % 8 < 4 { 1_000 * (s % 8 + 1) } else { 0 };
    let (moves_made, baseline) = moves(600, alternating);
    assert_eq!(moves_made, 2, "one move there and one back");
    assert!(baseline > 70, "without hysteresis {baseline}");
}
