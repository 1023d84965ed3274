//! Values of other programs that parse and are absurd: sizes, times and numbers near the largest.

mod hand;

use {
    arbtest::{
        arbitrary::{Result, Unstructured},
        arbtest,
    },
    dogwoodreach::{
        ports::{EndReason, EndedRun, Fault, Held, PresentRun, WorkerCall, WorkerReply as Reply},
        shard::event::Event,
        units::{Accels, Cores, Memory, Size},
        work::{AdviceCost, Job, Occurrences, Queue, QueueConfig, Step},
    },
    hand::{
        Harness, job, queues, step, task,
        worker::{Hook, NORMAL, SILENT, Worker},
    },
    std::{sync::Arc, time::Duration},
};

/// Plays of each test.
const PLAYS: u64 = 40;
/// Size of the input of a play, in bytes.
const INPUT_LEN: u64 = 512;
/// Longest time in a message: 100 years.
const MAX_TIME: Duration = Duration::from_secs(100 * 365 * 24 * 3600);
/// Reports numbers near the largest.
const ABSURD: Hook = |call| {
    let (task, run) = (task(u64::MAX, u32::MAX), u32::MAX);
    Some(Ok(match call {
        WorkerCall::Hold { .. } => Reply::Held(Held {
            clock_ms: u64::MAX,
            born_ms: Some(u64::MAX),
            running: vec![PresentRun {
                task,
                run,
                checkpoint: "".into(),
                percent: 100,
                load: u64::MAX,
            }],
            ended: vec![EndedRun {
                number: u64::MAX,
                task,
                run,
                reason: EndReason::Failed,
                checkpoint: "".into(),
            }],
        }),
        _ => Reply::Done(u64::MAX),
    }))
};

fn amount(u: &mut Unstructured<'_>) -> Result<u64> {
    u.choose(&[0, 1, 1 << 53, i64::MAX as u64, u64::MAX / 1_000, u64::MAX]).copied()
}

fn time(u: &mut Unstructured<'_>) -> Result<Duration> {
    Ok(Duration::from_millis(amount(u)?).min(MAX_TIME))
}

fn size(u: &mut Unstructured<'_>) -> Result<Size> {
    Ok(Size { cores: Cores(amount(u)?), memory: Memory(amount(u)?), accels: Accels(amount(u)?) })
}

fn odd_worker(at: usize, capacity: Size, leaves_in: Option<Duration>, hook: Hook) -> Worker {
    let mut worker = Worker::new(at);
    (worker.capacity, worker.leaves_in, worker.hook) = (capacity, leaves_in, hook);
    worker
}

fn odd_step(u: &mut Unstructured<'_>, at: u16) -> Result<Step> {
    Ok(Step {
        count: u.int_in_range(1..=40)?,
        size: if u.arbitrary()? { size(u)? } else { Size::new(0, 1, 0) },
        estimate: amount(u)?,
        after: if at > 0 && u.arbitrary()? { [at - 1].into() } else { [].into() },
        saves: u.arbitrary()?,
        gang: u.arbitrary()?,
        tight: u.arbitrary()?,
        near: if u.arbitrary()? { Some("rack".into()) } else { None },
        apart: *u.choose(&[0, 1, u32::MAX])?,
        copies: u.arbitrary()?,
        lasts: u.arbitrary()?,
        target: amount(u)?,
        fills: u.arbitrary()?,
        may_miss: *u.choose(&[None, Some(0), Some(u32::MAX)])?,
        ..Step::default()
    })
}

fn odd_job(u: &mut Unstructured<'_>) -> Result<Job> {
    let steps = (0..u.int_in_range(1..=3)?).map(|at| odd_step(u, at)).collect::<Result<_>>()?;
    let times = match u.arbitrary()? {
        true => Some(Occurrences { count: 2, first: amount(u)?, every: amount(u)? }),
        false => None,
    };
    Ok(Job { text: "odd".into(), steps, times })
}

fn odd_queue(u: &mut Unstructured<'_>) -> Result<Queue> {
    let cost = AdviceCost { base: time(u)?, each: time(u)?, valid: time(u)? };
    Ok(Queue {
        name: "odd".into(),
        attempts: *u.choose(&[0, 1, u32::MAX])?,
        stretch: *u.choose(&[0.0, 2.0, 1e300, f64::MAX, -1.0])?,
        slack: time(u)?,
        advice: if u.arbitrary()? { Some(cost) } else { None },
        ..queues().queues[0].clone()
    })
}

/// Runs `play` with different inputs, and then checks that a new job starts on a sound worker.
fn check(play: impl Fn(&mut Harness, &mut Unstructured<'_>) -> Result<()>) {
    for seed in 0..PLAYS {
        let whole = |u: &mut Unstructured<'_>| {
            let mut hand = Harness::new(3);
            hand.submit(1, "plain", job(step(2, 1)));
            hand.run(200);
            play(&mut hand, u)?;
            hand.run(1_000);
            hand.submit(2, "plain", job(Step { gang: true, ..step(2, 1) }));
            hand.run_until("a job starts beside absurd values", 5_000, |h| {
                (0..2).all(|i| h.workers_running(task(2, i)).iter().any(|w| *w < 3))
            });
            assert!((0..2).all(|i| still_runs(&hand, i)), "the first job still runs");
            Ok(())
        };
        arbtest(whole).seed(seed << 32 | INPUT_LEN).run();
    }
}

fn still_runs(hand: &Harness, index: u32) -> bool {
    hand.workers_running(task(1, index)).len() == 1
}

#[test]
fn workers_of_absurd_size_stop_no_other() {
    // Guards against sums over workers that overflow and end the owner.
    check(|hand, u| {
        for at in 3..u.int_in_range(4..=6)? {
            let hook = *u.choose(&[SILENT, ABSURD])?;
            let (capacity, leaves_in) = (size(u)?, u.arbitrary::<bool>()?);
            let leaves_in = if leaves_in { Some(time(u)?) } else { None };
            hand.workers.push(odd_worker(at, capacity, leaves_in, hook));
        }
        hand.deliver_list();
        Ok(())
    });
}

#[test]
fn an_entry_that_comes_and_goes_stops_no_other() {
    // Guards against an owner that ends or starts nothing while an entry appears and disappears.
    check(|hand, u| {
        hand.workers.push(odd_worker(3, size(u)?, None, SILENT));
        for round in 0..20 {
            hand.workers[3].listed = round % 2 == 0;
            hand.deliver_list();
            hand.run(100);
        }
        Ok(())
    });
}

#[test]
fn an_absurd_entry_under_the_id_of_a_living_worker_stops_no_other() {
    // Guards against an owner that ends as a worker with runs seems to grow or shrink.
    check(|hand, u| {
        let former = hand.workers[0].capacity;
        hand.workers[0].capacity = size(u)?;
        hand.deliver_list();
        hand.run(500);
        hand.workers[0].capacity = former;
        hand.deliver_list();
        Ok(())
    });
}

#[test]
fn jobs_of_absurd_size_or_estimate_stop_no_other() {
    // Guards against an owner that ends over an estimate near the largest number.
    check(|hand, u| {
        for no in 10..u.int_in_range(11..=14)? {
            let queue = *u.choose(&["plain", "advised"])?;
            hand.submit(no, queue, odd_job(u)?);
            hand.run(100);
        }
        hand.take_over();
        Ok(())
    });
}

#[test]
fn a_queue_of_absurd_limits_stops_no_other() {
    // Guards against an owner that ends over a time or factor in the configuration.
    check(|hand, u| {
        let mut config = QueueConfig::clone(&queues());
        config.queues.push(odd_queue(u)?);
        hand.deliver(Event::Queues(Arc::new(config)));
        for no in 10..13 {
            hand.submit(no, "odd", job(step(1, 1)));
            hand.run(200);
        }
        hand.submit(13, "odd", odd_job(u)?);
        Ok(())
    });
}

#[test]
fn a_living_worker_that_reports_absurd_numbers_stops_no_other() {
    // Guards against clocks, ends and runs near the largest number, reported once.
    check(|hand, _| {
        hand.workers.push(Worker::new(3));
        hand.deliver_list();
        hand.run(500);
        hand.workers[3].hook = ABSURD;
        hand.run(1_000);
        hand.workers[3].hook = NORMAL;
        hand.run(500);
        Ok(())
    });
}

#[test]
fn an_unanswered_worker_of_absurd_size_stops_no_other() {
    // Guards against an owner that ends when such a worker is lost.
    check(|hand, u| {
        hand.workers.push(odd_worker(3, size(u)?, None, NORMAL));
        hand.deliver_list();
        hand.run(500);
        hand.workers[3].hook = |_| Some(Err(Fault::Unknown));
        hand.run(10_000);
        Ok(())
    });
}
