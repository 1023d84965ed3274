//! Tests how soon a lasting step learns of room on workers that its first advice call did not name.

mod yard;

use {
    dogwoodreach::{
        units::Size,
        work::{AdviceCost, JobNo, QueueConfig, Step, StepKey},
    },
    std::{sync::Arc, time::Duration},
    yard::{ShardSim, job, queue, step, worker::Worker},
};

/// Number of workers; the last `LATE` of them have room only after the step's first call.
const WORKERS: usize = 252;
/// Number of workers whose room opens late; three in ten of them may run the step.
const LATE: usize = 80;
/// Number of members that can call for advice.
const MEMBERS: u64 = 24;
/// Size of a worker, in cores and megabytes.
const WORKER_SIZE: (u64, u64) = (16, 65_536);
/// The lasting job. Its number makes the late workers the last ones in its order.
const LASTING: u64 = 252;
/// The job that occupies the late workers.
const OCCUPIER: u64 = 2;
/// Longest time in which a lasting task must run where there is room for it, in milliseconds.
const MAX_AWAY_MS: u64 = 6_000;

/// Lasting tasks (`feed`) need advice: 728 ms for a call and 10.4 ms for each worker.
fn queues() -> Arc<QueueConfig> {
    let old = yard::queues();
    let us = Duration::from_micros;
    let cost = AdviceCost { base: us(728_000), each: us(10_400), valid: Duration::from_secs(2) };
    let all = vec![queue("quote", 0, None), queue("feed", 1, Some(cost)), queue("accum", 2, None)];
    Arc::new(QueueConfig { queues: all, ..(*old).clone() })
}

/// Tasks that take a whole worker with this label each.
fn whole(count: usize, ms: u64, label: &str) -> Step {
    let size = Size::new(WORKER_SIZE.0, WORKER_SIZE.1, 0);
    Step { size, needs: Some(label.into()), ..step(count as u32, ms) }
}

/// Creates a full pool, in which each worker runs one long task. The tasks of the late workers are
/// stopped at 2 s, as a lasting step of this many tasks, one a worker, arrives. Those of the other
/// workers end one after the other, at this interval.
fn full_pool(seed: u64, tasks: u32, ends_every: u64) -> ShardSim {
    let one = |i: usize| {
        let size = Size::new(WORKER_SIZE.0, WORKER_SIZE.1, 0);
        let mut worker = Worker::new("open", &format!("r{}", i / 8), size);
        worker.labels.push(if i + LATE < WORKERS { "early" } else { "late" }.into());
        worker
    };
    let mut yard = ShardSim::with(seed, queues(), (0..WORKERS).map(one).collect(), MEMBERS);
    yard.time_step = Duration::from_millis(5);
    yard.world.advice.share = 30;
    yard.at(500, move |y| {
        y.submit(OCCUPIER, "accum", job([whole(LATE, 60_000, "late")]));
        for no in 0..(WORKERS - LATE) as u64 {
            y.submit(1_000 + no, "accum", job([whole(1, 3_000 + no * ends_every, "early")]));
        }
    });
    let lasting = Step {
        lasts: true,
        image: "web".into(),
        size: Size::new(4, 16_384, 0),
        apart: 1,
        ..step(tasks, 1)
    };
    yard.at(2_000, move |y| {
        y.submit(LASTING, "feed", job([lasting]));
        y.cancel(OCCUPIER);
    });
    yard
}

/// Number of late workers that may run the lasting step and don't, and of tasks that don't run.
fn missing(yard: &ShardSim, tasks: usize) -> (usize, usize) {
    let key = StepKey { job: JobNo(LASTING), time: 0, step: 0 };
    let mine = |at: &usize| {
        yard.world.workers[*at].runs.iter().any(|r| r.start.task.step.job == JobNo(LASTING))
    };
    let late = WORKERS - LATE..WORKERS;
    let good = late.filter(|at| yard.world.advice.good(key, &yard.world.id(*at)));
    (good.filter(|at| !mine(at)).count(), tasks - yard.run_count(JobNo(LASTING)))
}

/// Advances time until all tasks of the lasting step run, or one at each late worker that may run
/// it; returns how long that took from the time at which the late workers had room.
fn time_beside_room(yard: &mut ShardSim, tasks: usize) -> u64 {
    let mut room_at = None;
    loop {
        let now = yard.now.0 / 1_000;
        if now > 2_000 && yard.run_count(JobNo(OCCUPIER)) == 0 {
            room_at.get_or_insert(now);
        }
        let (unused, absent) = missing(yard, tasks);
        if unused == 0 || absent == 0 {
            return now - room_at.expect("the late workers have room");
        }
        assert!(now < 60_000, "not running by {now} ms");
        yard.run_until(now + 50);
    }
}

#[test]
fn a_wide_lasting_step_finds_room_that_opens_after_its_first_call() {
    // While room opened at one known worker after the other, each call renewed a ticket or two and
    // named few further workers, in the order of the list. Those with room came last.
    for seed in 0..4 {
        let mut yard = full_pool(seed, 60, 60);
        let took = time_beside_room(&mut yard, 60);
        println!("seed {seed}: {took} ms, {:?}", yard.advice_calls);
        assert!(took < MAX_AWAY_MS, "seed {seed}: {took} ms");
    }
}

#[test]
fn a_lost_advice_call_does_not_hold_back_calls_about_other_workers() {
    // While a lost call was pending, the step asked about no other worker, and members were idle.
    for seed in 0..4 {
        let mut yard = full_pool(seed, 9, 60_000);
        yard.at(3_000, |y| y.world.advice.down = true);
        yard.at(3_400, |y| y.world.advice.down = false);
        let took = time_beside_room(&mut yard, 9);
        println!("seed {seed}: {took} ms, {:?}", yard.advice_calls);
        assert!(took < MAX_AWAY_MS, "seed {seed}: {took} ms");
    }
}
