//! Tests of the holder of maintenance waves, in virtual time.

mod wave;

use {
    dogwoodreach::{
        Time,
        ports::{VmReply, VmState},
    },
    std::time::Duration,
    wave::{OrderFate, WaveSim, store::CallOutcome, wave},
};

/// Longest time until a holder's death is noticed, in milliseconds.
const TAKEOVER_MS: u64 = 3_500;

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

/// Checks that every VM had its maintenance once and that no worker is closed any more.
fn assert_finished(sim: &mut WaveSim) {
    sim.run(1_000);
    assert!(sim.upkeeps().values().all(|n| *n == 1), "{:?}", sim.upkeeps());
    assert!(sim.closing().turns.is_empty(), "{:?}", sim.closing());
}

#[test]
fn a_wave_is_done_in_time_with_as_many_down_as_allowed() {
    let mut sim = WaveSim::new(6);
    sim.order(wave(6, 30, 2));
    sim.until("told", 500, |y| y.wave_state() == Some(false));
    sim.until("completed", 30_000, WaveSim::completed);
    assert_eq!(sim.most_down, 2);
    assert_finished(&mut sim);
}

#[test]
fn without_a_wave_no_calls_are_made() {
    // Most sites have no wave on most days. Each call to the store is billed, so a holder that
    // polls its ledger without need costs more than all its decisions.
    let mut sim = WaveSim::new(3);
    sim.run(60_000);
    sim.take_over();
    sim.run(60_000);
    assert_eq!(sim.calls, 0);
    assert!(!sim.holders[1].upkeep.has_work());
}

#[test]
fn a_completed_wave_causes_no_calls() {
    let mut sim = WaveSim::new(2);
    sim.order(wave(2, 20, 1));
    sim.until("completed", 20_000, WaveSim::completed);
    sim.run(2_000);
    let calls = sim.calls;
    sim.run(60_000);
    assert_eq!(sim.calls, calls);
    sim.holders[0].gone = true;
    sim.take_over();
    sim.run(60_000);
    assert_eq!(sim.calls, calls + 1, "the ledger is read once");
    assert!(sim.completed());
}

#[test]
fn a_holder_that_dies_at_any_moment_leaves_nothing_half_done() {
    // The holder dies in the middle of a wave: while VMs are being emptied, between an order and
    // its answer, or while VMs are down. The successor knows only the store and the list of VMs,
    // which is out of date, and might order a VM twice or take down more VMs than allowed.
    for at in (0..18_000).step_by(250) {
        let mut sim = WaveSim::new(5);
        sim.order(wave(5, 30, 2));
        sim.run(at);
        sim.holders[0].gone = true;
        sim.run(TAKEOVER_MS);
        sim.take_over();
        sim.until(&format!("completed, death at {at}"), 40_000, WaveSim::completed);
        assert_finished(&mut sim);
    }
}

#[test]
fn an_order_without_an_answer_counts_until_it_is_settled() {
    // An order gets no answer and is carried out at once, seconds later or never. If the holder
    // takes it for lost, its VM goes down beside those that were ordered after it. If the holder
    // takes it for done, it reports the wave as completed although the VM has not begun.
    let all = [
        OrderFate::Unanswered,
        OrderFate::Lost,
        OrderFate::Late(secs(3)),
        OrderFate::Late(secs(11)),
    ];
    for first in all {
        for second in all {
            let mut sim = WaveSim::new(4);
            sim.order_fates = [first, second, OrderFate::Answered, first].into();
            sim.order(wave(4, 40, 1));
            sim.until(&format!("{first:?} {second:?}"), 40_000, WaveSim::completed);
            sim.run(12_000);
            assert_eq!(sim.most_down, 1);
            assert_finished(&mut sim);
        }
    }
}

#[test]
fn an_order_without_an_answer_is_settled_by_the_next_holder() {
    // An order gets no answer, the holder dies, and the order is carried out seconds later, while
    // the successor is already at work.
    for late in [0, 2, 4, 6, 8, 11] {
        for at in (2_000..7_000).step_by(500) {
            let mut sim = WaveSim::new(4);
            sim.order_fates = [OrderFate::Late(secs(late))].into();
            sim.order(wave(4, 40, 1));
            sim.run(at);
            sim.holders[0].gone = true;
            sim.run(TAKEOVER_MS);
            sim.take_over();
            sim.until(&format!("late {late}, at {at}"), 60_000, WaveSim::completed);
            assert_eq!(sim.most_down, 1, "late {late}, at {at}");
            assert_finished(&mut sim);
        }
    }
}

#[test]
fn a_wave_that_is_too_large_for_its_time_is_late_and_never_above_its_cap() {
    // Ten VMs need two seconds each, one at a time, and the limit for the wave is twelve seconds.
    // The limit can't be met: more VMs down at once would break the cap, and a holder that gave up
    // would leave the operators with a wave that never ends.
    let mut sim = WaveSim::new(10);
    sim.order(wave(10, 12, 1));
    let over = sim.until("completed", 60_000, WaveSim::completed);
    assert_eq!(sim.most_down, 1);
    // Nothing is waited for: each VM takes its two seconds plus the delay of the list.
    assert!(over < Time::ZERO + secs(40), "{over}");
    assert_finished(&mut sim);
}

#[test]
fn tasks_are_waited_for_as_long_as_the_time_allows() {
    // Tasks of nine seconds run on each VM. Stopping them at once would lose their work, although
    // the operators allow two minutes for four VMs.
    let mut sim = WaveSim::new(4);
    sim.vms.iter_mut().for_each(|m| m.emptying_times = (secs(9), Duration::from_millis(600)));
    sim.order(wave(4, 120, 1));
    let first = sim.until("first VM down", 20_000, |y| y.most_down > 0);
    assert!(first >= Time::ZERO + secs(9), "{first}");
    sim.until("completed", 120_000, WaveSim::completed);
    assert_finished(&mut sim);
}

#[test]
fn a_vm_that_is_gone_needs_no_upkeep() {
    // A VM of the wave is removed before its turn or while it is being emptied. Its maintenance
    // never begins, and the wave would never end.
    for at in [0, 1_500, 3_000] {
        let mut sim = WaveSim::new(3);
        sim.order(wave(3, 30, 1));
        sim.run(at);
        let gone = sim
            .vms
            .iter()
            .rposition(|m| m.begun.is_empty())
            .expect("a VM whose maintenance has not begun");
        sim.vms[gone].there = false;
        sim.until("completed", 30_000, WaveSim::completed);
        let n = sim.vms.iter().filter(|m| m.begun.len() == 1).count();
        assert_eq!(n, 2);
    }
}

#[test]
fn a_vm_that_is_down_is_waited_for() {
    // A VM of the wave has crashed and is up again after six seconds, with a new incarnation of its
    // worker that has tasks of its own. It still needs its maintenance and has to be emptied again.
    let mut sim = WaveSim::new(3);
    let back = sim.now + secs(6);
    sim.vms[1].down(VmState::Down, back);
    sim.order(wave(3, 30, 1));
    sim.until("completed", 30_000, WaveSim::completed);
    assert!(sim.vms[1].begun[0] > back);
    assert_finished(&mut sim);
}

#[test]
fn a_vm_that_crashes_while_it_is_emptied_is_emptied_anew() {
    let mut sim = WaveSim::new(1);
    sim.order(wave(1, 30, 1));
    sim.run(1_000);
    let back = sim.now + secs(1);
    sim.vms[0].down(VmState::Down, back);
    sim.until("completed", 30_000, WaveSim::completed);
    assert_finished(&mut sim);
}

#[test]
fn a_refused_order_is_repeated() {
    // The platform refuses orders for a moment because of overload. A refused order has no effect,
    // so the VM stays closed until an order is accepted.
    let mut sim = WaveSim::new(2);
    sim.order_fates = [OrderFate::Refused; 4].into();
    sim.order(wave(2, 30, 1));
    sim.until("completed", 30_000, WaveSim::completed);
    assert_eq!(sim.orders.len(), 2, "the holder pauses after a refused call");
    assert_finished(&mut sim);
}

#[test]
fn a_vm_that_the_platform_has_in_no_wave_is_left_after_some_tries() {
    let mut sim = WaveSim::new(2);
    sim.vms[0].foreign = true;
    sim.order(wave(2, 30, 1));
    sim.until("completed", 30_000, WaveSim::completed);
    let tries = sim.orders.iter().filter(|o| o.3 == VmReply::OtherWave).count();
    assert_eq!(tries, 3);
}

#[test]
fn a_holder_that_was_paused_orders_nothing_any_more() {
    // The holder is paused for twelve seconds, another takes over, and the first one continues
    // where it stopped. It has to detect its successor by itself instead of repeating orders that
    // are refused.
    for at in (0..10_000).step_by(500) {
        let mut sim = WaveSim::new(4);
        sim.order(wave(4, 40, 1));
        sim.run(at);
        sim.pause(0, true);
        sim.run(TAKEOVER_MS);
        sim.take_over();
        sim.run(8_000);
        sim.pause(0, false);
        sim.until("completed", 60_000, WaveSim::completed);
        let old = sim.orders.iter().filter(|o| o.1 == 1 && o.3 == VmReply::Fence).count();
        assert_eq!(old, 0, "orders were refused, paused at {at}");
        assert_finished(&mut sim);
    }
}

#[test]
fn lost_writes_are_settled_by_reading() {
    // The answers of the store are lost, and its writes are done at once, late or never.
    for late in [0, 700, 3_000] {
        let lost = CallOutcome::AnswerLost(Duration::from_millis(late));
        let mut sim = WaveSim::new(3);
        sim.write_fates = [
            lost,
            CallOutcome::Answered,
            CallOutcome::Unanswered,
            CallOutcome::Refused,
            lost,
            lost,
            lost,
            lost,
        ]
        .into();
        sim.order(wave(3, 40, 1));
        sim.until("completed", 60_000, WaveSim::completed);
        sim.run(5_000);
        assert_finished(&mut sim);
    }
}

#[test]
fn a_wave_that_is_taken_back_opens_its_workers() {
    // The operators withdraw a wave, and the holder has just died. Unless a successor reopens the
    // workers that were being emptied, their room is lost for good.
    for dies in [false, true] {
        let mut sim = WaveSim::new(3);
        sim.vms.iter_mut().for_each(|m| m.emptying_times = (secs(20), secs(20)));
        sim.order(wave(3, 60, 1));
        sim.until("closing", 2_000, |y| !y.closing().turns.is_empty());
        sim.holders[0].gone = dies;
        sim.waves.clear();
        sim.run(TAKEOVER_MS);
        if dies {
            sim.take_over();
        }
        sim.send_waves();
        sim.until("open", 2_000, |y| y.closing().turns.is_empty());
        assert!(sim.orders.is_empty());
    }
}

#[test]
fn a_wave_that_grows_goes_on() {
    // The operators add a VM to a wave that is already completed.
    let mut sim = WaveSim::new(3);
    sim.order(wave(2, 30, 1));
    sim.until("completed", 30_000, WaveSim::completed);
    sim.order(wave(3, 30, 1));
    sim.until("running again", 1_000, |y| !y.completed());
    sim.until("completed", 30_000, WaveSim::completed);
    assert_finished(&mut sim);
}
