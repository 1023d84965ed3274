//! Work whose only free capacity is on workers that are being drained for VM maintenance.

mod yard;

use {
    dogwoodreach::{shard::record::UpkeepTurn, units::Size, work::Step},
    yard::{ShardSim, job, queues, step, worker::Worker},
};

/// Three workers have the label that a long-running step requires. The step's tasks run on one of
/// them, whose index is returned. The other two are being drained for VM maintenance and run a long
/// task each.
fn draining(seed: u64) -> (ShardSim, usize) {
    let new_worker = |at: usize| {
        let mut w = Worker::new("open", ["r1", "r2"][at % 2], Size::new(4, 16_384, 1));
        w.labels.extend((at < 3).then(|| "gpu".into()));
        w
    };
    let mut yard = ShardSim::with(seed, queues(), (0..9).map(new_worker).collect(), 2);
    yard.resend_list = true;
    let needs_gpu = |step: Step| Step { needs: Some("gpu".into()), ..step };
    yard.submit(1, "open", job([needs_gpu(Step { apart: 1, ..step(3, 40_000) })]));
    yard.submit(2, "open", job([needs_gpu(Step { lasts: true, ..step(2, 1_000) })]));
    yard.run_until(2_000);
    let long_running = |w: &Worker| w.runs.iter().any(|r| r.start.task.step.job.0 == 2);
    let host =
        yard.world.workers.iter().position(long_running).expect("the long-running task must run");
    let rest: Vec<_> =
        (0..3).filter(|at| *at != host).map(|at| (at, UpkeepTurn::Closing)).collect();
    yard.at(4_000, move |y| y.set_closing(&rest));
    (yard, host)
}

#[test]
fn long_running_task_of_a_leaving_worker_fits_only_on_draining_workers() {
    // Two workers are due for VM maintenance; their drain waits for a long task on each. A third
    // worker, with long-running tasks, leaves as planned. Guards against stopping these tasks at
    // once while nothing may start on the first two until their maintenance is over: the tasks
    // would run nowhere although there is capacity.
    for seed in 1..4 {
        let (mut yard, host) = draining(seed);
        yard.at(5_000, move |y| y.world.workers[host].leaving_since = Some(y.now));
        yard.run_until(25_000);
    }
}

#[test]
fn long_running_task_of_a_lost_worker_fits_only_on_draining_workers() {
    // As above, but the third worker is lost. Guards against long-running tasks that wait although
    // the two workers that are being drained stay available for as long as their long tasks take.
    for seed in 1..4 {
        let (mut yard, host) = draining(seed);
        yard.fault(5_000, move |y| y.lose_worker(host));
        yard.run_until(25_000);
    }
}

#[test]
fn small_jobs_fit_only_on_a_draining_worker() {
    // Two of three workers leave as planned and stay for another 20 s. The third is due for VM
    // maintenance. Its long-running task fits nowhere else, so the worker is not drained until
    // other workers have come. Guards against small jobs that wait all that time although this
    // worker is nearly idle. It was seen for 3 s in the simulation of seed 20163 in
    // tests/shard_course.rs ("waits for leaving workers: usable: 0, all: 5, out: {Leaving: 4,
    // Closing: 1}").
    for seed in 1..4 {
        let new_worker =
            |at: usize| Worker::new("open", ["r1", "r2"][at % 2], Size::new(4, 16_384, 1));
        let mut yard = ShardSim::with(seed, queues(), (0..3).map(new_worker).collect(), 2);
        yard.resend_list = true;
        yard.submit(1, "open", job([Step { lasts: true, ..step(1, 1_000) }]));
        yard.run_until(2_000);
        let host = yard
            .world
            .workers
            .iter()
            .position(|w| !w.runs.is_empty())
            .expect("the long-running task must run");
        yard.at(3_000, move |y| {
            for at in (0..3).filter(|at| *at != host) {
                y.world.workers[at].leaving_since = Some(y.now);
            }
        });
        yard.at(4_000, move |y| y.set_closing(&[(host, UpkeepTurn::Closing)]));
        for no in 2..12 {
            let queue = if no % 2 == 0 { "open" } else { "advised" };
            yard.at(4_000 + 500 * no, move |y| y.submit(no, queue, job([step(2, 400)])));
        }
        yard.run_until(20_000);
    }
}
