//! Tests of which VMs of a wave are drained, and when their tasks are stopped.

use {
    dogwoodreach::decide::upkeep::{
        UpkeepStage, VmStatus, WaveLimits, WavePlan, plan_wave, stoppable_count,
    },
    std::time::Duration,
};

const DOWN: Duration = Duration::from_secs(2);

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn due(brief: u32, lasting: u32) -> VmStatus {
    VmStatus { stage: UpkeepStage::Due, available: true, brief_tasks: brief, long_tasks: lasting }
}

fn at(stage: UpkeepStage) -> VmStatus {
    VmStatus { stage, available: true, ..VmStatus::default() }
}

fn allowed(left: u64, cap: u32) -> WaveLimits {
    WaveLimits { remaining_time: secs(left), max_down: cap, down_time: DOWN }
}

#[test]
fn where_there_is_time_as_many_are_emptied_as_may_be_down_the_emptiest_first() {
    let vms = [due(3, 2), due(1, 0), due(0, 1), due(4, 0)];
    let want = WavePlan { drain: vec![1, 3], force_stop: vec![] };
    assert_eq!(plan_wave(&vms, allowed(100, 2)), want);
    let going = [at(UpkeepStage::Down), at(UpkeepStage::Draining(secs(1))), due(0, 0)];
    assert_eq!(plan_wave(&going, allowed(100, 2)), WavePlan::default());
}

#[test]
fn where_there_is_little_time_the_next_are_emptied_while_the_ones_before_are_down() {
    // Otherwise each round would need the time of the maintenance and of the draining in sequence.
    let vms = [at(UpkeepStage::Down), due(0, 0), due(0, 0), due(0, 0)];
    assert_eq!(plan_wave(&vms, allowed(20, 1)).drain, [1]);
    assert!(plan_wave(&vms, allowed(200, 1)).drain.is_empty());
}

#[test]
fn the_time_that_is_left_is_shared_among_the_rounds() {
    // Ten rounds in 140 s have 12 s each, of which maintenance and moves take 6 s.
    let mut vms = vec![due(0, 0); 9];
    vms.push(at(UpkeepStage::Draining(secs(5))));
    assert!(plan_wave(&vms, allowed(140, 1)).force_stop.is_empty());
    vms[9] = at(UpkeepStage::Draining(secs(6)));
    assert_eq!(plan_wave(&vms, allowed(140, 1)).force_stop, [9]);
    // A late wave does not wait for tasks.
    vms[9] = at(UpkeepStage::Draining(Duration::ZERO));
    assert_eq!(plan_wave(&vms, allowed(0, 1)).force_stop, [9]);
}

#[test]
fn a_vm_that_is_not_able_is_passed_over() {
    let vms = [VmStatus { available: false, ..due(0, 0) }, due(9, 9)];
    assert_eq!(plan_wave(&vms, allowed(100, 1)).drain, [1]);
    assert_eq!(
        plan_wave(&[at(UpkeepStage::Done), at(UpkeepStage::Down)], allowed(100, 1)),
        WavePlan::default()
    );
}

#[test]
fn a_vm_that_cannot_be_emptied_keeps_no_other_back() {
    // The only task of a step that may not miss any runs on the first VM. If this VM kept the only
    // slot of the wave, the others would wait for ever.
    let vms = [at(UpkeepStage::Draining(secs(120))), due(0, 0), due(0, 0)];
    assert_eq!(plan_wave(&vms, allowed(0, 1)).drain, [1, 2]);
    let fresh = [at(UpkeepStage::Draining(secs(1))), due(0, 0), due(0, 0)];
    assert_eq!(plan_wave(&fresh, allowed(100, 1)).drain, [0usize; 0]);
}

#[test]
fn no_more_of_a_step_are_away_than_it_may_miss() {
    for away in 0..4 {
        assert_eq!(stoppable_count(Some(2), away), 2u32.saturating_sub(away));
        assert_eq!(stoppable_count(Some(0), away), 0);
        // Without a setting, the tasks of a step move one at a time.
        assert_eq!(stoppable_count(None, away), u32::from(away == 0));
    }
}
