//! Tests of which VMs of a wave are drained, and when their tasks are stopped.

use {
    dogwoodreach::decide::upkeep::{Plan, Stage, VmStatus, WaveLimits, plan, stoppable_tasks},
    std::time::Duration,
};

const DOWN: Duration = Duration::from_secs(2);

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn due(brief: u32, lasting: u32) -> VmStatus {
    VmStatus { stage: Stage::Due, available: true, brief, long_running: lasting }
}

fn at(stage: Stage) -> VmStatus {
    VmStatus { stage, available: true, ..VmStatus::default() }
}

fn allowed(left: u64, cap: u32) -> WaveLimits {
    WaveLimits { left: secs(left), cap, down: DOWN }
}

#[test]
fn where_there_is_time_as_many_are_emptied_as_may_be_down_the_emptiest_first() {
    let vms = [due(3, 2), due(1, 0), due(0, 1), due(4, 0)];
    let want = Plan { drain: vec![1, 3], force_stop: vec![] };
    assert_eq!(plan(&vms, allowed(100, 2)), want);
    let going = [at(Stage::Down), at(Stage::Draining(secs(1))), due(0, 0)];
    assert_eq!(plan(&going, allowed(100, 2)), Plan::default());
}

#[test]
fn where_there_is_little_time_the_next_are_emptied_while_the_ones_before_are_down() {
    // Otherwise each round would need the time of the maintenance and of the draining in sequence.
    let vms = [at(Stage::Down), due(0, 0), due(0, 0), due(0, 0)];
    assert_eq!(plan(&vms, allowed(20, 1)).drain, [1]);
    assert!(plan(&vms, allowed(200, 1)).drain.is_empty());
}

#[test]
fn the_time_that_is_left_is_shared_among_the_rounds() {
    // Ten rounds in 140 s have 12 s each, of which maintenance and moves take 6 s.
    let mut vms = vec![due(0, 0); 9];
    vms.push(at(Stage::Draining(secs(5))));
    assert!(plan(&vms, allowed(140, 1)).force_stop.is_empty());
    vms[9] = at(Stage::Draining(secs(6)));
    assert_eq!(plan(&vms, allowed(140, 1)).force_stop, [9]);
    // A late wave does not wait for tasks.
    vms[9] = at(Stage::Draining(Duration::ZERO));
    assert_eq!(plan(&vms, allowed(0, 1)).force_stop, [9]);
}

#[test]
fn a_vm_that_is_not_able_is_passed_over() {
    let vms = [VmStatus { available: false, ..due(0, 0) }, due(9, 9)];
    assert_eq!(plan(&vms, allowed(100, 1)).drain, [1]);
    assert_eq!(plan(&[at(Stage::Done), at(Stage::Down)], allowed(100, 1)), Plan::default());
}

#[test]
fn a_vm_that_cannot_be_emptied_keeps_no_other_back() {
    // The only task of a step that may not miss any runs on the first VM. If this VM kept the only
    // slot of the wave, the others would wait for ever.
    let vms = [at(Stage::Draining(secs(120))), due(0, 0), due(0, 0)];
    assert_eq!(plan(&vms, allowed(0, 1)).drain, [1, 2]);
    let fresh = [at(Stage::Draining(secs(1))), due(0, 0), due(0, 0)];
    assert_eq!(plan(&fresh, allowed(100, 1)).drain, [0usize; 0]);
}

#[test]
fn no_more_of_a_step_are_away_than_it_may_miss() {
    for away in 0..4 {
        assert_eq!(stoppable_tasks(Some(2), away), 2u32.saturating_sub(away));
        assert_eq!(stoppable_tasks(Some(0), away), 0);
        // Without a setting, the tasks of a step move one at a time.
        assert_eq!(stoppable_tasks(None, away), u32::from(away == 0));
    }
}
