//! Tickets for the long-running tasks of a worker that is lost for good.

mod yard;

use {
    dogwoodreach::work::{AdviceCost, JobNo, Queue, QueueConfig, Step},
    std::{sync::Arc, time::Duration},
    yard::{ShardSim, job, step, worker::Worker, workers},
};

/// The duration of the shortest advice call.
const CALL: Duration = Duration::from_millis(700);
/// The number of tasks of each job.
const TASK_COUNT: u32 = 8;

/// The default queues, and a queue `feed` whose advice calls take [`CALL`] or longer.
fn queues() -> Arc<QueueConfig> {
    let defaults = yard::queues();
    let cost = AdviceCost { base: CALL, each: CALL / 50, valid: Duration::from_secs(2) };
    let feed = Queue {
        name: "feed".into(),
        prefix: "/feed/".into(),
        advice: Some(cost),
        ..defaults.queue_by_name("open").expect("a queue").clone()
    };
    let queues = defaults.queues.iter().cloned().chain([feed]).collect();
    Arc::new(QueueConfig { queues, ..(*defaults).clone() })
}

#[test]
fn tickets_are_ready_when_a_worker_is_known_to_be_lost() {
    // A worker is lost, which its owner learns a second later from the VM list. Guards against an
    // advice call that begins only then.
    for seed in 0..5 {
        let mut all = workers(12);
        all.iter_mut().for_each(|w| w.pool = "open".into());
        let mut yard = ShardSim::with(seed, queues(), all, 3);
        yard.time_step = Duration::from_millis(1);
        yard.world.advice.share = 100;
        let long_running = Step { lasts: true, apart: 1, ..step(TASK_COUNT, 1_000) };
        for (no, queue) in [(1, "feed"), (2, "open")] {
            let job = job([long_running.clone()]);
            yard.at(1_000, move |y| y.submit(no, queue, job));
        }
        yard.run_until(8_000);
        let counts = |y: &ShardSim| (y.run_count(JobNo(1)), y.run_count(JobNo(2)));
        assert_eq!(counts(&yard), (8, 8), "seed {seed}");
        let runs_both = |w: &Worker| w.runs.len() == 2;
        let at = yard.world.workers.iter().position(runs_both).expect("a worker with two tasks");
        yard.fault(8_000, move |y| y.lose_worker(at));
        yard.run_until(8_100);
        assert_eq!(counts(&yard), (7, 7), "seed {seed}");
        while counts(&yard).1 < 8 {
            yard.run_until(yard.now.0 / 1_000 + 10);
        }
        let without_advice = yard.now;
        while counts(&yard).0 < 8 {
            yard.run_until(yard.now.0 / 1_000 + 10);
        }
        let later = yard.now - without_advice;
        assert!(later < CALL, "seed {seed}: {later:?} later than a task without advice");
    }
}
