//! Work whose only room is at workers that are being emptied.

mod yard;

use {
    dogwoodreach::{shard::record::Turn, units::Size, work::Step},
    yard::{Yard, job, queues, step, worker::Worker},
};

/// Three workers have the label that a lasting step needs; its tasks are at one, and the other two are
/// being emptied, with a long task on each. Returns the first.
fn emptied(seed: u64) -> (Yard, usize) {
    let one = |at: usize| {
        let mut w = Worker::new("open", ["r1", "r2"][at % 2], Size::new(4, 16_384, 1));
        w.labels.extend((at < 3).then(|| "gpu".into()));
        w
    };
    let mut yard = Yard::with(seed, queues(), (0..9).map(one).collect(), 2);
    yard.often = true;
    let gpu = |step: Step| Step { needs: Some("gpu".into()), ..step };
    yard.submit(1, "open", job([gpu(Step { apart: 1, ..step(3, 40_000) })]));
    yard.submit(2, "open", job([gpu(Step { lasts: true, ..step(2, 1_000) })]));
    yard.run_until(2_000);
    let lasts = |w: &Worker| w.runs.iter().any(|r| r.start.task.step.job.0 == 2);
    let home = yard.world.workers.iter().position(lasts).expect("a place");
    let rest: Vec<_> = (0..3).filter(|at| *at != home).map(|at| (at, Turn::Closing)).collect();
    yard.at(4_000, move |y| y.close(&rest));
    (yard, home)
}

#[test]
fn a_lasting_task_leaves_and_its_room_is_being_emptied() {
    // Story: two workers are to have their upkeep and are emptied, which waits for a long task on
    // each. By plan a third leaves, and its lasting tasks were stopped there at once; nothing starts at
    // the other two until their upkeep is over, and the tasks were away beside their room.
    for seed in 1..4 {
        let (mut yard, home) = emptied(seed);
        yard.at(5_000, move |y| y.world.workers[home].draining = Some(y.now));
        yard.run_until(25_000);
    }
}

#[test]
fn a_lasting_task_is_lost_and_its_room_is_being_emptied() {
    // Story: as above, and the third worker is lost. Its lasting tasks wait beside two workers that
    // are there for as long as the long tasks take.
    for seed in 1..4 {
        let (mut yard, home) = emptied(seed);
        yard.fault(5_000, move |y| y.lose(home));
        yard.run_until(25_000);
    }
}

#[test]
fn small_work_comes_and_the_only_room_is_being_emptied() {
    // Story: two of three workers leave by plan, and stay for 20 s yet. The third is to have its upkeep;
    // its lasting task has room nowhere else, so it is not emptied until others have come. Small jobs wait
    // for all that time beside a worker that is nearly idle. What settled it: "waits for leaving workers:
    // usable: 0, all: 5, out: {Leaving: 4, Closing: 1}" in the day of seed 20163 (shard_course), 3 s on end.
    for seed in 1..4 {
        let one = |at: usize| Worker::new("open", ["r1", "r2"][at % 2], Size::new(4, 16_384, 1));
        let mut yard = Yard::with(seed, queues(), (0..3).map(one).collect(), 2);
        yard.often = true;
        yard.submit(1, "open", job([Step { lasts: true, ..step(1, 1_000) }]));
        yard.run_until(2_000);
        let home = yard.world.workers.iter().position(|w| !w.runs.is_empty()).expect("a place");
        yard.at(3_000, move |y| {
            for at in (0..3).filter(|at| *at != home) {
                y.world.workers[at].draining = Some(y.now);
            }
        });
        yard.at(4_000, move |y| y.close(&[(home, Turn::Closing)]));
        for no in 2..12 {
            let queue = if no % 2 == 0 { "open" } else { "advised" };
            yard.at(4_000 + 500 * no, move |y| y.submit(no, queue, job([step(2, 400)])));
        }
        yard.run_until(20_000);
    }
}
