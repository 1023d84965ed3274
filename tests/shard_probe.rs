//! Tests the placement of lasting tasks on workers that were in quarantine.

mod yard;

use {
    dogwoodreach::{units::Size, work::Step},
    yard::{ShardSim, job, queues, step, worker::Worker},
};

/// Nine workers of one pool; the first three have the label that a lasting step needs.
fn labelled(seed: u64) -> ShardSim {
    let one = |at: usize| {
        let mut w = Worker::new("open", ["r1", "r2"][at % 2], Size::new(4, 16_384, 1));
        w.labels.extend((at < 3).then(|| "gpu".into()));
        w
    };
    ShardSim::with(seed, queues(), (0..9).map(one).collect(), 2)
}

fn lasting(count: u32) -> Step {
    Step { lasts: true, needs: Some("gpu".into()), may_miss: Some(1), ..step(count, 1) }
}

#[test]
fn lasting_tasks_share_a_worker_that_was_in_quarantine() {
    // Two workers fail everything they start for 3 s and then work again. Then the worker that runs
    // three lasting tasks is lost, and these tasks fit only on the other two. Each of the two gets
    // one task as a trial. A lasting task never ends, so the trial has no result, and the third
    // task was absent for 10 s more although there was room.
    for seed in 1..4 {
        let mut yard = labelled(seed);
        yard.submit(1, "open", job([lasting(3)]));
        yard.run_until(1_000);
        let home = yard.world.workers.iter().position(|w| !w.runs.is_empty()).expect("it runs");
        for no in 0..60 {
            yard.at(1_000 + 100 * no, move |y| y.submit(100 + no, "open", job([step(4, 600)])));
        }
        for at in (0..3).filter(|at| *at != home) {
            yard.fault(1_500, move |y| y.world.workers[at].failing = true);
            yard.fault(4_500, move |y| y.world.workers[at].failing = false);
        }
        yard.fault(7_500, move |y| y.lose_worker(home));
        yard.run_until(25_000);
    }
}

#[test]
fn a_worker_that_was_in_quarantine_takes_no_task_from_all_the_others() {
    // Filler tasks run on all workers but one, which failed everything it started and is in
    // quarantine. Then the worker that runs three serving tasks is lost. Each of them prefers a
    // worker without fillers, which is only the quarantined one. It gets one task as a trial; a
    // lasting task gives no result, so the others waited for 10 s more beside six healthy workers.
    for seed in 1..4 {
        let mut yard = labelled(seed);
        let serving = Step { needs: None, target: 100, image: "web".into(), ..lasting(3) };
        yard.submit(1, "open", job([serving]));
        yard.run_until(1_000);
        let home = yard.world.workers.iter().position(|w| !w.runs.is_empty()).expect("it runs");
        let quarantined = if home == 8 { 0 } else { 8 };
        yard.fault(1_000, move |y| y.world.workers[quarantined].failing = true);
        for no in 0..20 {
            yard.at(1_000 + 100 * no, move |y| y.submit(100 + no, "open", job([step(6, 600)])));
        }
        let fills = Step { fills: true, image: "sift".into(), ..step(24, 60_000) };
        yard.at(7_000, move |y| y.submit(2, "open", job([fills])));
        yard.fault(5_000, move |y| y.world.workers[quarantined].failing = false);
        yard.fault(9_000, move |y| y.lose_worker(home));
        yard.run_until(25_000);
    }
}
