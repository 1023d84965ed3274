//! Tests gangs as wide as their pool allows, when few of its workers may run them and tickets
//! expire soon.

mod yard;

use {
    dogwoodreach::{
        units::Size,
        work::{AdviceCost, JobNo, JobState, Queue, QueueConfig, Step},
    },
    std::{sync::Arc, time::Duration},
    yard::{ShardSim, job, step, worker::Worker},
};

/// Number of workers in the pool.
const WORKERS: usize = 350;
/// Number of members that can call for advice.
const MEMBERS: u64 = 40;
/// Size of a worker, in cores and megabytes.
const WORKER_SIZE: (u64, u64) = (64, 131_072);

/// Wide gangs are submitted to `review`, which is less urgent than `quick` and more urgent than
/// `check`.
fn queues() -> Arc<QueueConfig> {
    let old = yard::queues();
    let ms = Duration::from_millis;
    let valid = ms(2_000);
    let queue = |name, priority, stretch, cost| Queue {
        stretch,
        slack: ms(1_000),
        attempts: 4,
        ..yard::queue(name, priority, Some(cost))
    };
    let cost =
        |base, micros| AdviceCost { base: ms(base), each: Duration::from_micros(micros), valid };
    let all = vec![
        queue("quick", 0, 1.5, cost(12, 170)),
        queue("review", 1, 2.2, cost(310, 4_400)),
        queue("check", 2, 4.0, cost(104, 1_430)),
    ];
    Arc::new(QueueConfig { queues: all, ..(*old).clone() })
}

/// Creates the pool; three in ten workers may run a step.
fn pool(seed: u64) -> ShardSim {
    let one = |i: usize| {
        let rack = format!("r{}", i / 8);
        Worker::new("open", &rack, Size::new(WORKER_SIZE.0, WORKER_SIZE.1, 0))
    };
    let mut yard = ShardSim::with(seed, queues(), (0..WORKERS).map(one).collect(), MEMBERS);
    yard.world.advice.share = 30;
    yard.time_step = Duration::from_millis(5);
    yard
}

/// A gang of this many tasks, each of which takes nearly half a worker.
fn gang(count: u32) -> Step {
    Step { gang: true, saves: true, size: Size::new(30, 26_000, 0), ..step(count, 4_000) }
}

/// Submits small tasks from the start until `until`, more than there is room for, so that they fill
/// every gap.
fn submit_small_jobs(yard: &mut ShardSim, until: u64) {
    let small = Step { saves: true, size: Size::new(7, 10_000, 0), ..step(30, 2_200) };
    for (no, at) in (0..until).step_by(25).enumerate() {
        let small = small.clone();
        yard.at(at, move |y| y.submit(1_000 + no as u64, "check", job([small])));
    }
}

/// Whether a job is stored as done.
fn done(yard: &ShardSim, no: u64) -> bool {
    yard.stored_state(no) == Some(JobState::Done)
}

/// Advances time until these jobs are done, and returns when the last one was, in milliseconds.
fn until_done(yard: &mut ShardSim, jobs: std::ops::Range<u64>, bound: u64) -> u64 {
    loop {
        let now = yard.now.0 / 1_000;
        let open: Vec<u64> = jobs.clone().filter(|no| !done(yard, *no)).collect();
        if open.is_empty() {
            return now;
        }
        assert!(now < bound, "not done after {now} ms: {open:?}");
        yard.run_until(now + 100);
    }
}

/// Number of cores in use.
fn used_cores(yard: &ShardSim) -> u64 {
    (0..WORKERS).map(|at| yard.world.used(at).cores.0 / 1_000).sum()
}

#[test]
fn a_wide_gang_starts_where_its_pool_could_hold_it() {
    // A gang of 87 tasks arrives at an idle pool in which 105 workers may run it. A call names 100
    // workers at most and later calls ten each, so the tickets of the first calls expired before
    // those of the last arrived, and the gang waited for ever.
    for width in [35, 87] {
        let mut yard = pool(1);
        yard.at(1_000, move |y| y.submit(1, "review", job([gang(width)])));
        let over = until_done(&mut yard, 1..2, 60_000);
        assert!(over < 9_000, "{width} tasks: {over} ms");
    }
}

#[test]
fn a_wide_gang_starts_beside_small_tasks_that_take_each_bit_of_room() {
    // Small tasks of less urgent jobs fill every gap, and more of them wait. The gang needs 44
    // workers that are half empty at the same time, with tickets for all of them.
    for width in [35, 87] {
        let mut yard = pool(2);
        submit_small_jobs(&mut yard, 10_000);
        yard.at(4_000, move |y| y.submit(1, "review", job([gang(width)])));
        let over = until_done(&mut yard, 1..2, 60_000);
        // 2.2 times its work and 1 s after its submission.
        assert!(over < 4_000 + 9_800, "{width} tasks: {over} ms");
    }
}

#[test]
fn twenty_wide_gangs_end_in_bounded_time_and_the_room_is_used() {
    // Twenty wide gangs arrive at once, which need three times the pool. If each reserved room that
    // another needs, none would become complete, and half of the pool would be idle.
    let mut yard = pool(3);
    for no in 1..21 {
        let width = if no % 4 == 0 { 87 } else { 35 };
        yard.at(1_000, move |y| y.submit(no, "review", job([gang(width)])));
    }
    let (mut samples, mut idle) = (0, 0);
    while !(1..21).all(|no| done(&yard, no)) {
        let now = yard.now.0 / 1_000;
        assert!(now < 90_000, "not done after {now} ms");
        let many = (1..21).filter(|no| !done(&yard, *no)).count() > 5;
        if many && now > 3_000 {
            samples += 1;
            // Less than a third of the 60 of 64 cores per worker that gangs can use.
            idle += u64::from(used_cores(&yard) < WORKERS as u64 * 60 / 3);
        }
        yard.run_until(now + 100);
    }
    let over = yard.now.0 / 1_000;
    println!("over at {over} ms, idle in {idle} of {samples} samples");
    assert!(over < 45_000, "{over} ms");
    assert!(idle * 2 < samples, "idle in {idle} of {samples} samples");
}

#[test]
fn a_wide_gang_that_loses_a_member_starts_again_soon() {
    // A worker is lost while a wide gang runs. All its tasks end, and it has to gather workers a
    // second time among small tasks that have taken the room meanwhile.
    let mut yard = pool(4);
    submit_small_jobs(&mut yard, 10_000);
    yard.at(4_000, move |y| y.submit(1, "review", job([gang(35)])));
    yard.fault(8_500, |y| {
        let of = |at: &usize| {
            y.world.workers[*at].runs.iter().any(|r| r.start.task.step.job == JobNo(1))
        };
        let at = (0..WORKERS).find(of).expect("it runs");
        y.world.crash(at);
    });
    let over = until_done(&mut yard, 1..2, 60_000);
    assert!(over < 20_000, "{over} ms");
}
