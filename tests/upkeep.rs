//! The holder of waves of upkeep, in virtual time.

mod wave;

use {
    dogwoodreach::{
        Time,
        ports::{VmReply, VmState},
    },
    std::time::Duration,
    wave::{Luck, Yard, store::Fate, wave},
};

/// The longest that a holder's death goes unnoticed.
const DEATH: u64 = 3_500;

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

/// All VMs have had their upkeep once, and nothing is closed any more.
fn whole(yard: &mut Yard) {
    yard.run(1_000);
    assert!(yard.upkeeps().values().all(|n| *n == 1), "{:?}", yard.upkeeps());
    assert!(yard.closing().turns.is_empty(), "{:?}", yard.closing());
}

#[test]
fn a_wave_is_done_in_time_with_as_many_down_as_allowed() {
    let mut yard = Yard::new(6);
    yard.order(wave(6, 30, 2));
    yard.until("told", 500, |y| y.told() == Some(false));
    yard.until("completed", 30_000, Yard::completed);
    assert_eq!(yard.down, 2);
    whole(&mut yard);
}

#[test]
fn without_a_wave_nothing_is_called() {
    // Story: most sites have no wave on most days. Each call is paid for, and a holder that looks for
    // its ledger now and then costs more than all its decisions.
    let mut yard = Yard::new(3);
    yard.run(60_000);
    yard.take_over();
    yard.run(60_000);
    assert_eq!(yard.calls, 0);
    assert!(!yard.holders[1].upkeep.busy());
}

#[test]
fn what_is_completed_costs_nothing_any_more() {
    let mut yard = Yard::new(2);
    yard.order(wave(2, 20, 1));
    yard.until("completed", 20_000, Yard::completed);
    yard.run(2_000);
    let calls = yard.calls;
    yard.run(60_000);
    assert_eq!(yard.calls, calls);
    yard.holders[0].gone = true;
    yard.take_over();
    yard.run(60_000);
    assert_eq!(yard.calls, calls + 1, "the ledger is read once");
    assert!(yard.completed());
}

#[test]
fn a_holder_that_dies_at_any_moment_leaves_nothing_half_done() {
    // Story: the holder dies in the middle of a wave: while VMs are emptied, after its order
    // and before the answer, while they are down. The next one knows only the store and the list,
    // which is behind: a VM is ordered twice, or more are down than allowed.
    for at in (0..18_000).step_by(250) {
        let mut yard = Yard::new(5);
        yard.order(wave(5, 30, 2));
        yard.run(at);
        yard.holders[0].gone = true;
        yard.run(DEATH);
        yard.take_over();
        yard.until(&format!("completed, death at {at}"), 40_000, Yard::completed);
        whole(&mut yard);
    }
}

#[test]
fn an_order_without_an_answer_counts_until_it_is_settled() {
    // Story: an order has no answer, and is carried out at once, seconds later or never. Taken for
    // lost, its VM goes down beside those that were ordered after it; taken for done, the
    // wave is said to be completed, and the VM has not begun.
    let all = [Luck::Unheard, Luck::Lost, Luck::Late(secs(3)), Luck::Late(secs(11))];
    for first in all {
        for second in all {
            let mut yard = Yard::new(4);
            yard.luck = [first, second, Luck::Fine, first].into();
            yard.order(wave(4, 40, 1));
            yard.until(&format!("{first:?} {second:?}"), 40_000, Yard::completed);
            yard.run(12_000);
            assert_eq!(yard.down, 1);
            whole(&mut yard);
        }
    }
}

#[test]
fn an_order_without_an_answer_is_settled_by_the_next_holder() {
    // Story: the order goes unanswered, the holder dies, and the order is carried out seconds later,
    // when the next holder is at work.
    for late in [0, 2, 4, 6, 8, 11] {
        for at in (2_000..7_000).step_by(500) {
            let mut yard = Yard::new(4);
            yard.luck = [Luck::Late(secs(late))].into();
            yard.order(wave(4, 40, 1));
            yard.run(at);
            yard.holders[0].gone = true;
            yard.run(DEATH);
            yard.take_over();
            yard.until(&format!("late {late}, at {at}"), 60_000, Yard::completed);
            assert_eq!(yard.down, 1, "late {late}, at {at}");
            whole(&mut yard);
        }
    }
}

#[test]
fn a_wave_that_is_too_large_for_its_time_is_late_and_never_above_its_cap() {
    // Story: ten VMs, one at a time, two seconds each and twelve seconds in all. Nothing makes
    // that possible; more down at once would break a rule, and a holder that gives up leaves the
    // operators with a wave that never ends.
    let mut yard = Yard::new(10);
    yard.order(wave(10, 12, 1));
    let over = yard.until("completed", 60_000, Yard::completed);
    assert_eq!(yard.down, 1);
    // Nothing is waited for: each takes its two seconds and what the list is behind.
    assert!(over < Time::ZERO + secs(40), "{over}");
    whole(&mut yard);
}

#[test]
fn tasks_are_waited_for_as_long_as_the_time_allows() {
    // Story: tasks of nine seconds run on each VM. Stopped at once they lose their work, though
    // the operators gave two minutes for four VMs.
    let mut yard = Yard::new(4);
    yard.vms.iter_mut().for_each(|m| m.empties = (secs(9), Duration::from_millis(600)));
    yard.order(wave(4, 120, 1));
    let first = yard.until("the first", 20_000, |y| y.down > 0);
    assert!(first >= Time::ZERO + secs(9), "{first}");
    yard.until("completed", 120_000, Yard::completed);
    whole(&mut yard);
}

#[test]
fn a_vm_that_is_gone_needs_no_upkeep() {
    // Story: a VM of the wave is taken away before its turn, or while it is emptied. It will
    // never begin, and the wave would never end.
    for at in [0, 1_500, 3_000] {
        let mut yard = Yard::new(3);
        yard.order(wave(3, 30, 1));
        yard.run(at);
        let gone = yard.vms.iter().rposition(|m| m.begun.is_empty()).expect("one is left");
        yard.vms[gone].there = false;
        yard.until("completed", 30_000, Yard::completed);
        let n = yard.vms.iter().filter(|m| m.begun.len() == 1).count();
        assert_eq!(n, 2);
    }
}

#[test]
fn a_vm_that_is_down_is_waited_for() {
    // Story: a VM of the wave has crashed and is back after six seconds, as another life with
    // tasks of its own. It stays, so it needs its upkeep, and must be emptied anew.
    let mut yard = Yard::new(3);
    let back = yard.now + secs(6);
    yard.vms[1].down(VmState::Down, back);
    yard.order(wave(3, 30, 1));
    yard.until("completed", 30_000, Yard::completed);
    assert!(yard.vms[1].begun[0] > back);
    whole(&mut yard);
}

#[test]
fn a_vm_that_crashes_while_it_is_emptied_is_emptied_anew() {
    let mut yard = Yard::new(1);
    yard.order(wave(1, 30, 1));
    yard.run(1_000);
    let back = yard.now + secs(1);
    yard.vms[0].down(VmState::Down, back);
    yard.until("completed", 30_000, Yard::completed);
    whole(&mut yard);
}

#[test]
fn refusals_are_not_the_end() {
    // Story: the platform has too many calls for a moment. Nothing was done, and the VM stays
    // emptied until the order is taken.
    let mut yard = Yard::new(2);
    yard.luck = [Luck::Refused; 4].into();
    yard.order(wave(2, 30, 1));
    yard.until("completed", 30_000, Yard::completed);
    assert_eq!(yard.orders.len(), 2, "refused calls pause in between");
    whole(&mut yard);
}

#[test]
fn a_vm_that_the_platform_has_in_no_wave_is_left_after_some_tries() {
    let mut yard = Yard::new(2);
    yard.vms[0].foreign = true;
    yard.order(wave(2, 30, 1));
    yard.until("completed", 30_000, Yard::completed);
    let tries = yard.orders.iter().filter(|o| o.3 == VmReply::OtherWave).count();
    assert_eq!(tries, 3);
}

#[test]
fn a_holder_that_was_paused_orders_nothing_any_more() {
    // Story: the holder stands still for twelve seconds, another takes over, and the first goes on
    // where it was. It must find out by itself, and not order again and again what is refused.
    for at in (0..10_000).step_by(500) {
        let mut yard = Yard::new(4);
        yard.order(wave(4, 40, 1));
        yard.run(at);
        yard.pause(0, true);
        yard.run(DEATH);
        yard.take_over();
        yard.run(8_000);
        yard.pause(0, false);
        yard.until("completed", 60_000, Yard::completed);
        let old = yard.orders.iter().filter(|o| o.1 == 1 && o.3 == VmReply::Fence).count();
        assert_eq!(old, 0, "orders were refused, paused at {at}");
        whole(&mut yard);
    }
}

#[test]
fn lost_writes_are_settled_by_reading() {
    // Story: the store's answers are lost, and the writes are done at once, late or never.
    for late in [0, 700, 3_000] {
        let lost = Fate::Lost(Duration::from_millis(late));
        let mut yard = Yard::new(3);
        yard.fates =
            [lost, Fate::Answered, Fate::Unheard, Fate::Refused, lost, lost, lost, lost].into();
        yard.order(wave(3, 40, 1));
        yard.until("completed", 60_000, Yard::completed);
        yard.run(5_000);
        whole(&mut yard);
    }
}

#[test]
fn a_wave_that_is_taken_back_opens_its_workers() {
    // Story: the operators take a wave back, and just then the holder has died. Nobody would ever
    // open the workers that were being emptied, and their room would be lost for good.
    for dies in [false, true] {
        let mut yard = Yard::new(3);
        yard.vms.iter_mut().for_each(|m| m.empties = (secs(20), secs(20)));
        yard.order(wave(3, 60, 1));
        yard.until("closing", 2_000, |y| !y.closing().turns.is_empty());
        yard.holders[0].gone = dies;
        yard.waves.clear();
        yard.run(DEATH);
        if dies {
            yard.take_over();
        }
        yard.hear_waves();
        yard.until("open", 2_000, |y| y.closing().turns.is_empty());
        assert!(yard.orders.is_empty());
    }
}

#[test]
fn a_wave_that_grows_goes_on() {
    // Story: the operators add a VM to a wave that was completed already.
    let mut yard = Yard::new(3);
    yard.order(wave(2, 30, 1));
    yard.until("completed", 30_000, Yard::completed);
    yard.order(wave(3, 30, 1));
    yard.until("running again", 1_000, |y| !y.completed());
    yard.until("completed", 30_000, Yard::completed);
    whole(&mut yard);
}
