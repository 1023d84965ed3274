//! Tests how long a long-running task is away while orders to workers get no answer and are carried
//! out late.

mod yard;

use {
    dogwoodreach::{
        units::Size,
        work::{JobNo, Step, StepKey, TaskKey},
    },
    std::collections::BTreeSet,
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

/// All tasks fail at once, and from then on one in `late` orders is late. Returns the tasks that
/// have not run again within [`MAX_ABSENCE_MS`].
fn missing_tasks(seed: u64, late: u32) -> BTreeSet<TaskKey> {
    let one = |at: usize| Worker::new("open", ["r1", "r2"][at % 2], Size::new(4, 16_384, 1));
    let mut yard = ShardSim::with(seed, queues(), (0..10).map(one).collect(), 4);
    yard.submit(1, "open", job([Step { lasts: true, ..step(TASKS, 1_000) }]));
    yard.run_until_settled(5_000);
    let step = StepKey { job: JobNo(1), time: 0, step: 0 };
    let mut missing: BTreeSet<_> = (0..TASKS).map(|index| TaskKey { step, index }).collect();
    missing.iter().for_each(|t| yard.world.fail_task(*t));
    yard.late_one_in = late;
    let from = yard.now.0 / 1_000;
    for ms in (0..=MAX_ABSENCE_MS).step_by(100) {
        yard.rules.record_fault(yard.now);
        yard.run_until(from + ms);
        let back = running(&yard);
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
        let missing = missing_tasks(seed, 4);
        assert!(missing.is_empty(), "seed {seed}: {missing:?}");
    }
}
