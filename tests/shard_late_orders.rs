//! Tests how long a long-running task is away while orders to workers get no answer and are carried
//! out late.

mod yard;

use {
    dogwoodreach::{
        units::Size,
        work::{JobNo, Step, StepKey, TaskKey},
    },
    std::{collections::BTreeSet, time::Duration},
    yard::{ShardSim, job, queues, step, worker::Worker},
};

/// Number of long-running tasks.
const TASKS: u32 = 8;
/// How long a task may be away beside room, in milliseconds.
const MAX_ABSENCE_MS: u64 = 6_000;
/// The longest time after which a late order is carried out, in milliseconds.
const MAX_LATENESS_MS: u64 = 12_000;

fn running(yard: &ShardSim) -> BTreeSet<TaskKey> {
    yard.world.workers.iter().flat_map(|w| &w.runs).map(|r| r.start.task).collect()
}

/// A site with `count` workers and a job whose tasks all run, at most one on each worker if `apart`.
fn with_running_tasks(seed: u64, count: usize, apart: u32) -> ShardSim {
    let one = |at: usize| Worker::new("open", ["r1", "r2"][at % 2], Size::new(4, 16_384, 1));
    let mut yard = ShardSim::with(seed, queues(), (0..count).map(one).collect(), 4);
    yard.submit(1, "open", job([Step { lasts: true, apart, ..step(TASKS, 1_000) }]));
    yard.run_until_settled(5_000);
    yard
}

/// These tasks fail, and from then on one in `late` orders is late. Returns the tasks that have not
/// run again within [`MAX_ABSENCE_MS`].
fn missing_tasks(yard: &mut ShardSim, count: u32, late: u32) -> BTreeSet<TaskKey> {
    let step = StepKey { job: JobNo(1), time: 0, step: 0 };
    let mut missing: BTreeSet<_> = (0..count).map(|index| TaskKey { step, index }).collect();
    missing.iter().for_each(|t| yard.world.fail_task(*t));
    yard.late_one_in = late;
    let from = yard.now.0 / 1_000;
    for ms in (0..=MAX_ABSENCE_MS).step_by(100) {
        yard.rules.record_fault(yard.now);
        yard.run_until(from + ms);
        let back = running(yard);
        missing.retain(|t| !back.contains(t));
    }
    // The late orders must not let a task run twice.
    yard.late_one_in = 0;
    yard.rules.record_fault(yard.now);
    yard.run_until(from + MAX_ABSENCE_MS + MAX_LATENESS_MS + 1_000);
    missing
}

#[test]
fn a_task_is_back_although_its_start_and_its_stop_are_late() {
    // A start was given up and stopped while its worker answered other calls, and one lost order
    // after the other kept the task away.
    for seed in 1..=150 {
        let mut yard = with_running_tasks(seed, 10, 0);
        let missing = missing_tasks(&mut yard, TASKS, 4);
        assert!(missing.is_empty(), "seed {seed}: {missing:?}");
    }
}

#[test]
fn a_task_is_back_although_the_calls_of_a_new_owner_are_late() {
    // A task ends as its shard is released. The new owner starts nothing before each worker has
    // answered, and it asked a worker again ever more rarely.
    for seed in 1..=40 {
        let mut yard = with_running_tasks(seed, 40, 1);
        yard.release_shard(Duration::from_millis(300));
        let missing = missing_tasks(&mut yard, 1, 3);
        assert!(missing.is_empty(), "seed {seed}: {missing:?}");
    }
}
