//! Simulations of one shard in virtual time. `yard` checks the invariants after every step.

mod yard;

use {
    arbtest::{arbitrary::Unstructured, arbtest},
    dogwoodreach::{
        units::Size,
        work::{Job, JobNo, JobState, Occurrences, Step},
    },
    std::time::Duration,
    yard::{ShardSim, job, rules::UNIX_START_MS, step, store::Mode},
};

const SEEDS: std::ops::Range<u64> = 1..4;

/// Submits small jobs with these numbers, one every 100 ms.
fn submit_small(yard: &mut ShardSim, queue: &'static str, numbers: std::ops::Range<u64>) {
    for no in numbers {
        let steps = [step(2, 600), Step { after: [0].into(), ..step(3, 400) }];
        yard.at(100 * (no % 1_000), move |y| y.submit(no, queue, job(steps)));
    }
}

fn gang(count: u32, estimate: u64) -> Step {
    Step { gang: true, tight: true, saves: true, ..step(count, estimate) }
}

fn checkpointing(count: u32, estimate: u64) -> Step {
    Step { saves: true, ..step(count, estimate) }
}

fn long_running(count: u32) -> Step {
    Step { lasts: true, target: 100, image: "web".into(), may_miss: Some(1), ..step(count, 1) }
}

/// One job of each kind of step.
fn jobs_of_each_kind() -> Vec<Job> {
    let times = Some(Occurrences { count: 3, first: UNIX_START_MS + 2_000, every: 1_500 });
    let fills = Step { fills: true, image: "sift".into(), ..step(2, 1_000) };
    vec![
        job([step(1, 300), Step { after: [0].into(), ..step(6, 500) }]),
        job([checkpointing(4, 3_000)]),
        job([gang(4, 2_000)]),
        job([Step { needs: Some("gpu".into()), size: Size::new(1, 512, 1), ..step(3, 700) }]),
        job([Step { near: Some("r2".into()), ..step(3, 700) }]),
        job([Step { apart: 1, ..step(2, 800) }]),
        job([Step { copies: true, ..step(4, 600) }]),
        job([long_running(2)]),
        job([fills]),
        Job { times, ..job([step(2, 300)]) },
    ]
}

#[test]
fn no_faults() {
    // No faults. Callers submit a job of each kind of step to each kind of queue. Every job must be
    // shown as queued, running and completed within its bounds, jobs with a start time must not
    // start before it, and long-running tasks must keep running.
    for seed in SEEDS {
        let mut yard = ShardSim::new(seed, 12);
        for (no, job) in (1..).zip(jobs_of_each_kind()) {
            let queue = ["plain", "open", "urgent"][no as usize % 3];
            yard.at(50 * no, move |y| y.submit(no, queue, job));
        }
        submit_small(&mut yard, "advised", 1_001..1_006);
        yard.run_until(1_000);
        yard.run_until_settled(30_000);
        yard.run_until(32_000);
        assert_eq!(yard.owner().shard.queued_jobs("plain"), 0, "seed {seed}");
    }
}

#[test]
fn worker_crashes() {
    // A worker's process crashes while checkpointing tasks and a gang run on it. It restarts at the
    // same address under another id, without any state. Its tasks must start again elsewhere from
    // their checkpoints, and every job must be completed.
    for seed in SEEDS {
        let mut yard = ShardSim::new(seed, 8);
        yard.submit(1, "plain", job([checkpointing(8, 4_000)]));
        yard.submit(2, "plain", job([gang(4, 4_000)]));
        yard.fault(2_500, |y| y.crash_worker(0, Duration::from_secs(4)));
        yard.run_until(3_000);
        yard.run_until_settled(45_000);
    }
}

#[test]
fn worker_cut_off() {
    // A worker can't be reached for 42 s. It keeps working until its leases expire, and reports the
    // ends of its tasks when it is reachable again. Its clock is 2% slow. Its tasks must start
    // elsewhere as soon as they can't run on it any more, every job must be completed before the
    // worker is back, and nothing may be done twice afterwards.
    for seed in SEEDS {
        let mut yard = ShardSim::new(seed, 8);
        yard.world.workers[0].clock_rate = 0.98;
        yard.submit(1, "plain", job([checkpointing(10, 12_000)]));
        submit_small(&mut yard, "plain", 1_000..1_020);
        yard.fault(3_000, |y| y.world.workers[0].cut_off = true);
        yard.fault(45_000, |y| y.world.workers[0].cut_off = false);
        yard.run_until(4_000);
        yard.run_until_settled(44_000);
        yard.run_until(50_000);
    }
}

#[test]
fn late_orders() {
    // One of eight orders gets no answer and is carried out 2 to 12 s later, after newer ones. Jobs
    // may take longer, but no task may run twice, and none may start after it was done.
    for seed in SEEDS {
        let mut yard = ShardSim::new(seed, 8);
        yard.late_one_in = 8;
        yard.rules.record_fault(yard.now);
        submit_small(&mut yard, "plain", 1_000..1_020);
        submit_small(&mut yard, "open", 2_000..2_020);
        yard.submit(1, "plain", job([gang(3, 1_500)]));
        yard.at(30_000, |y| y.late_one_in = 0);
        yard.run_until(2_000);
        yard.run_until_settled(90_000);
    }
}

#[test]
fn owner_killed() {
    // The member that owns the shard is killed. After 4 s, when its lease has expired, another
    // member takes over with the stored state and a higher token. Running tasks must continue,
    // provided that the new owner renews their leases in time, and tasks that ended in between must
    // count.
    for seed in SEEDS {
        let mut yard = ShardSim::new(seed, 8);
        yard.submit(
            1,
            "plain",
            job([checkpointing(6, 6_000), Step { after: [0].into(), ..step(4, 500) }]),
        );
        yard.submit(2, "open", job([long_running(3)]));
        submit_small(&mut yard, "open", 1_000..1_030);
        yard.fault(2_000, ShardSim::kill_owner);
        yard.fault(6_000, ShardSim::take_over);
        yard.run_until(6_100);
        yard.run_until_settled(60_000);
    }
}

#[test]
fn old_owner_wakes() {
    // The owner's process is paused for 8 s, and another member takes over in the meantime. When
    // the former owner resumes, it processes all pending events and still believes that it owns the
    // shard. Its orders and writes must have no effect, and it must give up the shard.
    for seed in SEEDS {
        let mut yard = ShardSim::new(seed, 8);
        submit_small(&mut yard, "plain", 1_000..1_060);
        yard.submit(1, "plain", job([checkpointing(4, 9_000)]));
        yard.fault(2_000, |y| y.pause_owner(0, true));
        yard.fault(6_000, ShardSim::take_over);
        yard.fault(10_000, |y| y.pause_owner(0, false));
        yard.run_until(20_000);
        yard.run_until_settled(60_000);
        assert!(yard.owners[0].ended, "seed {seed}: the former owner must give up the shard");
    }
}

#[test]
fn store_down() {
    // The store is down for 5 s: it refuses some calls and doesn't answer the others. Running tasks
    // must continue, and jobs that are submitted during the outage must be accepted after it and
    // completed.
    for seed in SEEDS {
        let mut yard = ShardSim::new(seed, 8);
        submit_small(&mut yard, "plain", 1_000..1_060);
        yard.submit(1, "open", job([long_running(4)]));
        yard.fault(2_000, |y| y.store.health = Mode::Down);
        yard.fault(7_000, |y| y.store.health = Mode::Up);
        yard.run_until(8_000);
        yard.run_until_settled(60_000);
    }
}

#[test]
fn lost_answers() {
    // For 20 s one of four answers of the store is lost. The call takes effect at once, or within 6
    // s if its condition still holds. The owner must find out from the commit row which writes took
    // effect, and nothing may be lost or done twice.
    for seed in SEEDS {
        let mut yard = ShardSim::new(seed, 8);
        submit_small(&mut yard, "plain", 1_000..1_060);
        yard.fault(500, |y| y.store.health = Mode::Losing(4));
        yard.fault(20_500, |y| y.store.health = Mode::Up);
        yard.run_until(21_000);
        yard.run_until_settled(75_000);
        assert!(!yard.owners[0].ended, "seed {seed}: the owner must not give up the shard");
    }
}

#[test]
fn worker_drains() {
    // A worker announces that it is leaving and stops 10 s later with all that runs on it. From 2 s
    // after the announcement nothing may start on it, and tasks that can't end in time must start
    // elsewhere.
    for seed in SEEDS {
        let mut yard = ShardSim::new(seed, 8);
        submit_small(&mut yard, "plain", 1_000..1_060);
        yard.submit(1, "plain", job([checkpointing(4, 15_000)]));
        yard.at(2_000, |y| y.world.workers[0].leaving_since = Some(y.now));
        yard.fault(12_000, |y| y.crash_worker(0, Duration::from_secs(60)));
        yard.run_until(13_000);
        yard.run_until_settled(70_000);
    }
}

#[test]
fn grey_worker_and_hopeless_job() {
    // On one worker every task fails after 300 ms, so that the worker always seems to have
    // capacity. In addition, every task of one job fails on any worker. This job must be shown as
    // failed after its third attempt, no other job may fail, and the worker must be avoided.
    for seed in SEEDS {
        let mut yard = ShardSim::new(seed, 12);
        yard.world.failing_steps.insert((JobNo(1), 0));
        yard.submit(1, "plain", job([step(2, 800)]));
        yard.fault(0, |y| y.world.workers[0].failing = true);
        submit_small(&mut yard, "plain", 1_000..1_040);
        yard.run_until(5_000);
        yard.run_until_settled(60_000);
        let progress = yard.progress();
        let failed = progress.iter().filter(|(_, p)| p.state == JobState::Failed);
        assert_eq!(failed.map(|f| f.0.0).collect::<Vec<_>>(), [1], "seed {seed}");
    }
}

#[test]
fn cancel_wave() {
    // Callers cancel 22 jobs at once: some are waiting, some are running, one is a gang, and one is
    // long-running. None of their tasks may start later than 2 s afterwards, running ones must be
    // stopped, and their capacity must go to the jobs that were not cancelled.
    for seed in SEEDS {
        let mut yard = ShardSim::new(seed, 8);
        submit_small(&mut yard, "plain", 1_000..1_060);
        yard.submit(1, "plain", job([gang(4, 60_000)]));
        yard.submit(2, "plain", job([long_running(3)]));
        yard.at(3_000, |y| [1, 2].into_iter().chain(1_010..1_030).for_each(|no| y.cancel(no)));
        yard.run_until(7_000);
        assert_eq!(yard.run_count(JobNo(1)) + yard.run_count(JobNo(2)), 0, "seed {seed}");
        yard.run_until_settled(45_000);
    }
}

#[test]
fn gang_among_small_work() {
    // A gang that needs half of the pool is submitted while small jobs keep the pool full, and more
    // of them arrive for another 15 s. Capacity must be reserved for the gang, its members must
    // start together, and no member may wait alone.
    for seed in SEEDS {
        let mut yard = ShardSim::new(seed, 8);
        submit_small(&mut yard, "plain", 1_000..1_150);
        yard.at(3_000, |y| y.submit(1, "plain", job([gang(8, 2_000)])));
        yard.run_until(4_000);
        yard.run_until_settled(75_000);
    }
}

#[test]
fn tickets_expire() {
    // The advice for a queue allows each step half of the workers. Tickets are valid for 3 s, and
    // the pool is so full that many expire before there is capacity. For 4 s the advice service is
    // down. No other worker may be tried, and every job must be completed.
    for seed in SEEDS {
        let mut yard = ShardSim::new(seed, 16);
        submit_small(&mut yard, "advised", 1_000..1_040);
        yard.at(10, |y| y.submit(1, "advised", job([step(60, 1_500)])));
        yard.fault(5_000, |y| y.world.advice.down = true);
        yard.fault(9_000, |y| y.world.advice.down = false);
        yard.run_until(10_000);
        yard.run_until_settled(90_000);
    }
}

/// Schedules one fault at `at`, which ends within 11 s.
fn add_fault(
    yard: &mut ShardSim,
    u: &mut Unstructured<'_>,
    at: u64,
) -> arbtest::arbitrary::Result<()> {
    let worker = u.choose_index(8)?;
    let end = at + 1_000 * u.int_in_range(1..=10)?;
    match u.int_in_range(0..=9)? {
        0 => yard.fault(at, move |y| y.crash_worker(worker, Duration::from_secs(3))),
        1 => {
            yard.fault(at, move |y| y.world.workers[worker].cut_off = true);
            yard.fault(end, move |y| y.world.workers[worker].cut_off = false);
        }
        2 => {
            yard.fault(at, move |y| y.world.workers[worker].unresponsive = true);
            yard.fault(end, move |y| y.world.workers[worker].unresponsive = false);
        }
        3 => {
            yard.fault(at, move |y| y.world.workers[worker].speed = 0.2);
            yard.fault(end, move |y| y.world.workers[worker].speed = 1.0);
        }
        4 => {
            yard.fault(at, move |y| y.world.workers[worker].unwell = true);
            yard.fault(end, move |y| y.world.workers[worker].unwell = false);
        }
        5 => {
            yard.fault(at, |y| y.store.health = Mode::Down);
            yard.fault(end, |y| y.store.health = Mode::Up);
        }
        6 => {
            yard.fault(at, |y| y.store.health = Mode::Losing(4));
            yard.fault(end, |y| y.store.health = Mode::Up);
        }
        7 => {
            yard.fault(at, |y| y.late_one_in = 8);
            yard.fault(end, |y| y.late_one_in = 0);
        }
        8 => {
            yard.fault(at, ShardSim::kill_owner);
            yard.fault(at + 4_000, ShardSim::take_over);
        }
        _ => {
            yard.fault(at, |y| {
                let old = y.owners.len() - 1;
                y.pause_owner(old, true);
                y.at(y.now.0 / 1_000 + 4_000, ShardSim::take_over);
                y.at(y.now.0 / 1_000 + 7_000, move |y| y.pause_owner(old, false));
            });
        }
    }
    Ok(())
}

#[test]
fn mixed_faults() {
    // Up to six faults of any kind, one after another or at once, in a simulation with a job of
    // each kind, small jobs, and some cancellations. In whichever order events arrive, the
    // invariants must hold, and every job that can be completed must be completed within two
    // minutes.
    let simulate = |u: &mut Unstructured<'_>| {
        let mut yard = ShardSim::new(u.arbitrary()?, 12);
        for (no, job) in (1..).zip(jobs_of_each_kind()) {
            let queue = ["plain", "open", "urgent"][u.choose_index(3)?];
            yard.at(u.int_in_range(0..=10_000)?, move |y| y.submit(no, queue, job));
        }
        submit_small(&mut yard, "advised", 1_000..1_010);
        submit_small(&mut yard, "plain", 2_000..2_030);
        for _ in 0..u.int_in_range(0..=3)? {
            let no = u.int_in_range(1..=10)?;
            yard.at(u.int_in_range(10_500..=20_000)?, move |y| y.cancel(no));
        }
        for _ in 0..u.int_in_range(1..=6)? {
            let at = u.int_in_range(500..=20_000)?;
            add_fault(&mut yard, u, at)?;
        }
        yard.run_until(35_000);
        yard.run_until_settled(120_000);
        Ok(())
    };
    for seed in 1..=20_u64 {
        arbtest(simulate).seed(seed << 32 | 0x400).run();
    }
}
