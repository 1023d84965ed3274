//! Days of one shard in virtual time; the yard checks the rules after every step.

mod yard;

use {
    arbtest::{arbitrary::Unstructured, arbtest},
    dogwoodreach::{
        units::Size,
        work::{Job, JobNo, State, Step, Times},
    },
    std::time::Duration,
    yard::{Yard, job, rules::UNIX, step, store::Mode},
};

const SEEDS: std::ops::Range<u64> = 1..4;

/// So many jobs of a few tasks each, one every 100 ms.
fn small(yard: &mut Yard, queue: &'static str, numbers: std::ops::Range<u64>) {
    for no in numbers {
        let steps = [step(2, 600), Step { after: [0].into(), ..step(3, 400) }];
        yard.at(100 * (no % 1_000), move |y| y.submit(no, queue, job(steps)));
    }
}

fn gang(count: u32, estimate: u64) -> Step {
    Step { gang: true, tight: true, saves: true, ..step(count, estimate) }
}

fn saving(count: u32, estimate: u64) -> Step {
    Step { saves: true, ..step(count, estimate) }
}

fn lasting(count: u32) -> Step {
    Step { lasts: true, target: 100, image: "web".into(), may_miss: Some(1), ..step(count, 1) }
}

/// One job of each kind of step.
fn kinds() -> Vec<Job> {
    let times = Some(Times { count: 3, first: UNIX + 2_000, every: 1_500 });
    let fills = Step { fills: true, image: "sift".into(), ..step(2, 1_000) };
    vec![
        job([step(1, 300), Step { after: [0].into(), ..step(6, 500) }]),
        job([saving(4, 3_000)]),
        job([gang(4, 2_000)]),
        job([Step { needs: Some("gpu".into()), size: Size::new(1, 512, 1), ..step(3, 700) }]),
        job([Step { near: Some("r2".into()), ..step(3, 700) }]),
        job([Step { apart: 1, ..step(2, 800) }]),
        job([Step { copies: true, ..step(4, 600) }]),
        job([lasting(2)]),
        job([fills]),
        Job { times, ..job([step(2, 300)]) },
    ]
}

#[test]
fn calm_day() {
    // Callers hand in a job of each kind of step, on each kind of queue, and nothing is amiss.
    // Each job is shown as queued, running and completed in its time, and timed ones wait for
    // their time; the lasting ones stay at work.
    for seed in SEEDS {
        let mut yard = Yard::new(seed, 12);
        for (no, job) in (1..).zip(kinds()) {
            let queue = ["plain", "open", "urgent"][no as usize % 3];
            yard.at(50 * no, move |y| y.submit(no, queue, job));
        }
        small(&mut yard, "advised", 1_001..1_006);
        yard.run_until(1_000);
        yard.settle(30_000);
        yard.run_until(32_000);
        assert_eq!(yard.owner().shard.waiting("plain"), 0, "seed {seed}");
    }
}

#[test]
fn worker_crashes() {
    // A worker's process ends while tasks that checkpoint and a gang run on it; it comes back
    // under another id, at the same address, and knows of nothing.
    // What ran there starts again elsewhere, from its checkpoint, and each job is completed.
    for seed in SEEDS {
        let mut yard = Yard::new(seed, 8);
        yard.submit(1, "plain", job([saving(8, 4_000)]));
        yard.submit(2, "plain", job([gang(4, 4_000)]));
        yard.fault(2_500, |y| y.crash(0, Duration::from_secs(4)));
        yard.run_until(3_000);
        yard.settle(45_000);
    }
}

#[test]
fn worker_cut_off() {
    // A worker can't be reached for 42 s; it works on until its leases end, and its ends are
    // listed when it is back.
    // Its tasks start elsewhere as soon as they can't run there any more, on a clock 2% slow, and
    // each job is completed before the worker is back; then nothing is done twice.
    for seed in SEEDS {
        let mut yard = Yard::new(seed, 8);
        yard.world.workers[0].rate = 0.98;
        yard.submit(1, "plain", job([saving(10, 12_000)]));
        small(&mut yard, "plain", 1_000..1_020);
        yard.fault(3_000, |y| y.world.workers[0].cut = true);
        yard.fault(45_000, |y| y.world.workers[0].cut = false);
        yard.run_until(4_000);
        yard.settle(44_000);
        yard.run_until(50_000);
    }
}

#[test]
fn late_orders() {
    // One of eight orders gets no answer and is carried out 2 to 12 s later, after newer ones.
    // Callers see jobs that take longer; no task runs twice, and none starts after it was done.
    for seed in SEEDS {
        let mut yard = Yard::new(seed, 8);
        yard.late = 8;
        yard.rules.fault(yard.now);
        small(&mut yard, "plain", 1_000..1_020);
        small(&mut yard, "open", 2_000..2_020);
        yard.submit(1, "plain", job([gang(3, 1_500)]));
        yard.at(30_000, |y| y.late = 0);
        yard.run_until(2_000);
        yard.settle(90_000);
    }
}

#[test]
fn owner_killed() {
    // The member that owns the shard ends without a word; 4 s later, when its lease is over,
    // another takes over with what the store has and a higher token.
    // What runs works on, if the new owner renews it in time; what ended meanwhile counts.
    for seed in SEEDS {
        let mut yard = Yard::new(seed, 8);
        yard.submit(
            1,
            "plain",
            job([saving(6, 6_000), Step { after: [0].into(), ..step(4, 500) }]),
        );
        yard.submit(2, "open", job([lasting(3)]));
        small(&mut yard, "open", 1_000..1_030);
        yard.fault(2_000, Yard::kill);
        yard.fault(6_000, Yard::take_over);
        yard.run_until(6_100);
        yard.settle(60_000);
    }
}

#[test]
fn old_owner_wakes() {
    // The owner's process stands still for 8 s. Meanwhile another takes over.
    // The old one wakes, hears at once all that came, and still believes that it owns the shard:
    // neither its orders nor its writes have an effect, and it forgets the shard.
    for seed in SEEDS {
        let mut yard = Yard::new(seed, 8);
        small(&mut yard, "plain", 1_000..1_060);
        yard.submit(1, "plain", job([saving(4, 9_000)]));
        yard.fault(2_000, |y| y.pause(0, true));
        yard.fault(6_000, Yard::take_over);
        yard.fault(10_000, |y| y.pause(0, false));
        yard.run_until(20_000);
        yard.settle(60_000);
        assert!(yard.owners[0].gone, "seed {seed}: the old owner goes on");
    }
}

#[test]
fn store_down() {
    // The store does nothing for 5 s: some calls are refused, of others nothing is heard.
    // What runs works on; jobs handed in meanwhile come in when it is back, and all are completed.
    for seed in SEEDS {
        let mut yard = Yard::new(seed, 8);
        small(&mut yard, "plain", 1_000..1_060);
        yard.submit(1, "open", job([lasting(4)]));
        yard.fault(2_000, |y| y.store.mode = Mode::Down);
        yard.fault(7_000, |y| y.store.mode = Mode::Up);
        yard.run_until(8_000);
        yard.settle(60_000);
    }
}

#[test]
fn lost_answers() {
    // For 20 s one of four of the store's answers is lost; what was asked is done at once, or up
    // to 6 s later if its condition still holds.
    // The owner settles by a look at the commit row what was done, and nothing is lost or doubled.
    for seed in SEEDS {
        let mut yard = Yard::new(seed, 8);
        small(&mut yard, "plain", 1_000..1_060);
        yard.fault(500, |y| y.store.mode = Mode::Losing(4));
        yard.fault(20_500, |y| y.store.mode = Mode::Up);
        yard.run_until(21_000);
        yard.settle(75_000);
        assert!(!yard.owners[0].gone, "seed {seed}: the owner has deposed itself");
    }
}

#[test]
fn worker_drains() {
    // A worker says that it is leaving, and goes 10 s later with all that runs there.
    // From 2 s after its word nothing starts there; what couldn't end in time starts elsewhere.
    for seed in SEEDS {
        let mut yard = Yard::new(seed, 8);
        small(&mut yard, "plain", 1_000..1_060);
        yard.submit(1, "plain", job([saving(4, 15_000)]));
        yard.at(2_000, |y| y.world.workers[0].draining = Some(y.now));
        yard.fault(12_000, |y| y.crash(0, Duration::from_secs(60)));
        yard.run_until(13_000);
        yard.settle(70_000);
    }
}

#[test]
fn grey_worker_and_hopeless_job() {
    // On one worker every task fails after 300 ms, so that it always looks free; besides, each
    // task of one job fails wherever it runs.
    // The job is shown as failed after its third attempt; no other is, and the worker is avoided.
    for seed in SEEDS {
        let mut yard = Yard::new(seed, 12);
        yard.world.hopeless.insert((JobNo(1), 0));
        yard.submit(1, "plain", job([step(2, 800)]));
        yard.fault(0, |y| y.world.workers[0].grey = true);
        small(&mut yard, "plain", 1_000..1_040);
        yard.run_until(5_000);
        yard.settle(60_000);
        let progress = yard.progress();
        let failed = progress.iter().filter(|(_, p)| p.state == State::Failed);
        assert_eq!(failed.map(|f| f.0.0).collect::<Vec<_>>(), [1], "seed {seed}");
    }
}

#[test]
fn cancel_wave() {
    // Callers cancel 22 jobs at once: some wait, some run, one is a gang, and one lasts.
    // None of their tasks starts later than 2 s after, those that run are stopped, and the room
    // goes to the jobs that were not cancelled.
    for seed in SEEDS {
        let mut yard = Yard::new(seed, 8);
        small(&mut yard, "plain", 1_000..1_060);
        yard.submit(1, "plain", job([gang(4, 60_000)]));
        yard.submit(2, "plain", job([lasting(3)]));
        yard.at(3_000, |y| [1, 2].into_iter().chain(1_010..1_030).for_each(|no| y.cancel(no)));
        yard.run_until(7_000);
        assert_eq!(yard.running(JobNo(1)) + yard.running(JobNo(2)), 0, "seed {seed}");
        yard.settle(45_000);
    }
}

#[test]
fn gang_among_small_work() {
    // A gang that needs half of the pool is handed in while small jobs keep it full and go on
    // coming in for 15 s.
    // Room is gathered for it; its members start together, and none waits alone.
    for seed in SEEDS {
        let mut yard = Yard::new(seed, 8);
        small(&mut yard, "plain", 1_000..1_150);
        yard.at(3_000, |y| y.submit(1, "plain", job([gang(8, 2_000)])));
        yard.run_until(4_000);
        yard.settle(75_000);
    }
}

#[test]
fn tickets_expire() {
    // A queue's policy lets each step run on half of the workers; tickets are valid for 3 s, and
    // the pool is so full that many expire before there is room. For 4 s there is no advice.
    // No other worker is tried, and each job is completed.
    for seed in SEEDS {
        let mut yard = Yard::new(seed, 16);
        small(&mut yard, "advised", 1_000..1_040);
        yard.at(10, |y| y.submit(1, "advised", job([step(60, 1_500)])));
        yard.fault(5_000, |y| y.world.advice.down = true);
        yard.fault(9_000, |y| y.world.advice.down = false);
        yard.run_until(10_000);
        yard.settle(90_000);
    }
}

/// One fault, over after at most 11 s.
fn mix(yard: &mut Yard, u: &mut Unstructured<'_>, at: u64) -> arbtest::arbitrary::Result<()> {
    let worker = u.choose_index(8)?;
    let over = at + 1_000 * u.int_in_range(1..=10)?;
    match u.int_in_range(0..=9)? {
        0 => yard.fault(at, move |y| y.crash(worker, Duration::from_secs(3))),
        1 => {
            yard.fault(at, move |y| y.world.workers[worker].cut = true);
            yard.fault(over, move |y| y.world.workers[worker].cut = false);
        }
        2 => {
            yard.fault(at, move |y| y.world.workers[worker].hung = true);
            yard.fault(over, move |y| y.world.workers[worker].hung = false);
        }
        3 => {
            yard.fault(at, move |y| y.world.workers[worker].speed = 0.2);
            yard.fault(over, move |y| y.world.workers[worker].speed = 1.0);
        }
        4 => {
            yard.fault(at, move |y| y.world.workers[worker].unwell = true);
            yard.fault(over, move |y| y.world.workers[worker].unwell = false);
        }
        5 => {
            yard.fault(at, |y| y.store.mode = Mode::Down);
            yard.fault(over, |y| y.store.mode = Mode::Up);
        }
        6 => {
            yard.fault(at, |y| y.store.mode = Mode::Losing(4));
            yard.fault(over, |y| y.store.mode = Mode::Up);
        }
        7 => {
            yard.fault(at, |y| y.late = 8);
            yard.fault(over, |y| y.late = 0);
        }
        8 => {
            yard.fault(at, Yard::kill);
            yard.fault(at + 4_000, Yard::take_over);
        }
        _ => {
            yard.fault(at, |y| {
                let old = y.owners.len() - 1;
                y.pause(old, true);
                y.at(y.now.0 / 1_000 + 4_000, Yard::take_over);
                y.at(y.now.0 / 1_000 + 7_000, move |y| y.pause(old, false));
            });
        }
    }
    Ok(())
}

#[test]
fn mixed_days() {
    // Up to six faults of any kind, one after the other or at once, on a day with a job of each
    // kind, small ones, and cancels of some; whatever comes in whichever order, the rules hold and
    // within two minutes every job that can be is completed.
    let day = |u: &mut Unstructured<'_>| {
        let mut yard = Yard::new(u.arbitrary()?, 12);
        for (no, job) in (1..).zip(kinds()) {
            let queue = ["plain", "open", "urgent"][u.choose_index(3)?];
            yard.at(u.int_in_range(0..=10_000)?, move |y| y.submit(no, queue, job));
        }
        small(&mut yard, "advised", 1_000..1_010);
        small(&mut yard, "plain", 2_000..2_030);
        for _ in 0..u.int_in_range(0..=3)? {
            let no = u.int_in_range(1..=10)?;
            yard.at(u.int_in_range(10_500..=20_000)?, move |y| y.cancel(no));
        }
        for _ in 0..u.int_in_range(1..=6)? {
            let at = u.int_in_range(500..=20_000)?;
            mix(&mut yard, u, at)?;
        }
        yard.run_until(35_000);
        yard.settle(120_000);
        Ok(())
    };
    for seed in 1..=20_u64 {
        arbtest(day).seed(seed << 32 | 0x400).run();
    }
}
