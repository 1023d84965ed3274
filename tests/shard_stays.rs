//! Tests sequences of events in which lasting tasks might be absent although there is room. The
//! rules of the simulation check how long they may be absent.

mod yard;

use {
    dogwoodreach::{
        units::Size,
        work::{QueueConfig, Step},
    },
    std::{ops::Range, sync::Arc, time::Duration},
    yard::{ShardSim, job, queues, step, worker::Worker},
};

const SEEDS: Range<u64> = 1..4;

fn lasting(count: u32) -> Step {
    Step { lasts: true, may_miss: Some(1), ..step(count, 1_000) }
}

/// Nine workers of one pool; the first three have the label `gpu`.
fn open(seed: u64) -> ShardSim {
    let one = |at: usize| {
        let mut w = Worker::new("open", ["r1", "r2"][at % 2], Size::new(4, 16_384, 1));
        w.labels.extend((at < 3).then(|| "gpu".into()));
        w
    };
    let mut yard = ShardSim::with(seed, queues(), (0..9).map(one).collect(), 2);
    yard.resend_list = true;
    yard
}

/// The workers that run tasks of a job.
fn workers_running(yard: &ShardSim, no: u64) -> Vec<usize> {
    let runs = |w: &Worker| w.runs.iter().any(|r| r.start.task.step.job.0 == no);
    let all = yard.world.workers.iter().enumerate();
    all.filter(|(_, w)| runs(w)).map(|(at, _)| at).collect()
}

/// Submits a small job every 100 ms until `to`.
fn submit_small_jobs(yard: &mut ShardSim, to: u64) {
    for no in 0..to / 100 {
        yard.at(100 * no, move |y| y.submit(1_000 + no, "open", job([step(4, 600)])));
    }
}

#[test]
fn a_shard_is_given_back_while_workers_leave() {
    // Two workers leave on purpose. As one of them ends with long tasks, which the roster counts,
    // the shard is released just after the lasting tasks of the other were stopped. The next owner
    // starts no earlier task until it knows that the first worker has ended.
    for seed in SEEDS {
        for lead in [0, 200, 400, 600, 800, 1_000, 1_300] {
            let mut yard = open(seed);
            yard.vm_list_lag = Duration::from_millis(900);
            yard.submit(1, "open", job([lasting(3)]));
            yard.run_until(500);
            yard.submit(2, "open", job([step(16, 60_000)]));
            yard.run_until(2_000);
            let home = workers_running(&yard, 1)[0];
            let other = *workers_running(&yard, 2).iter().find(|at| **at != home).expect("another");
            yard.at(3_000, move |y| y.world.workers[other].leaving_since = Some(y.now));
            yard.at(6_000 - lead, move |y| y.world.workers[home].leaving_since = Some(y.now));
            yard.at(6_000, move |y| y.replace_worker(other, Duration::from_secs(20)));
            yard.at(6_000, |y| y.release_shard(Duration::from_millis(300)));
            yard.run_until(20_000);
        }
    }
}

#[test]
fn an_owner_is_killed_and_a_worker_lost() {
    // A worker is lost for good at about the time its owner is killed. Another owner takes over 3.5
    // s later and finds the worker in its roster, while the VM list lags behind.
    for seed in SEEDS {
        for before in [0, 200, 500, 1_000, 1_500, 2_000] {
            let mut yard = open(seed);
            yard.vm_list_lag = Duration::from_millis(900);
            yard.submit(1, "open", job([lasting(3)]));
            yard.run_until(2_000);
            let home = workers_running(&yard, 1)[0];
            yard.fault(5_000 - before, move |y| y.lose_worker(home));
            yard.fault(5_000, ShardSim::kill_owner);
            yard.fault(8_500, ShardSim::take_over);
            yard.run_until(25_000);
        }
    }
}

#[test]
fn a_queue_is_missing_for_a_while_as_the_shard_is_given_back() {
    // A version of the configuration lacks a queue, and the next owner has never received that
    // queue. A worker with lasting tasks of that queue leaves; the queue returns 5 s later.
    for seed in SEEDS {
        let mut yard = open(seed);
        yard.submit(1, "open", job([lasting(3)]));
        yard.run_until(2_000);
        let home = workers_running(&yard, 1)[0];
        let version = |y: &ShardSim, version, name: &str| {
            let all = y.world.queues.queues.iter().filter(|q| &*q.name != name).cloned().collect();
            Arc::new(QueueConfig { version, queues: all, ..QueueConfig::clone(&y.world.queues) })
        };
        yard.at(3_000, move |y| y.configure(version(y, 2, "open")));
        yard.at(4_000, |y| y.release_shard(Duration::from_millis(300)));
        yard.at(6_000, move |y| y.world.workers[home].leaving_since = Some(y.now));
        yard.at(11_000, move |y| y.configure(version(y, 3, "")));
        yard.run_until(25_000);
    }
}

#[test]
fn all_workers_of_a_pool_fail_for_a_while() {
    // All starts on all workers fail for a time and then succeed again. By then each worker is due
    // to be in quarantine for up to 16 s.
    for duration in [5_000, 20_000] {
        let mut yard = open(1);
        yard.submit(1, "open", job([lasting(3)]));
        submit_small_jobs(&mut yard, 20_000 + duration);
        yard.fault(3_000, |y| y.world.workers.iter_mut().for_each(|w| w.failing = true));
        yard.fault(3_000 + duration, |y| {
            y.world.workers.iter_mut().for_each(|w| w.failing = false)
        });
        yard.run_until(20_000 + duration);
    }
}

/// A lasting step needs one of three workers, two of which are unhealthy for a time. When they
/// recover, the third is lost.
fn play_unhealthy(seed: u64, duration: u64, set: fn(&mut Worker, bool)) {
    let mut yard = open(seed);
    yard.run_until(1_000);
    yard.submit(1, "open", job([Step { needs: Some("gpu".into()), ..lasting(2) }]));
    yard.run_until(2_000);
    let home = workers_running(&yard, 1)[0];
    submit_small_jobs(&mut yard, 20_000 + duration);
    for at in (0..3).filter(|at| *at != home) {
        yard.fault(3_000, move |y| set(&mut y.world.workers[at], true));
        yard.fault(3_000 + duration, move |y| set(&mut y.world.workers[at], false));
    }
    yard.fault(3_000 + duration, move |y| y.lose_worker(home));
    yard.run_until(20_000 + duration);
}

#[test]
fn the_workers_that_a_task_needs_have_failed_for_long() {
    // Two workers fail everything they start for so long that they are in quarantine for 16 s. They
    // have recovered when a lasting task needs them, but it waited for the end of the quarantine.
    for seed in SEEDS {
        for duration in [5_000, 20_000] {
            play_unhealthy(seed, duration, |w, on| w.failing = on);
        }
    }
}

#[test]
fn the_workers_that_a_task_needs_have_been_slow() {
    // Two workers are slow for a time and go into quarantine. They have recovered when a lasting
    // task needs them. It gives no measure of their speed, and nothing else is sent there while it
    // is the trial.
    for seed in SEEDS {
        for duration in [5_000, 20_000] {
            play_unhealthy(seed, duration, |w, on| w.speed = if on { 0.25 } else { 1.0 });
        }
    }
}
