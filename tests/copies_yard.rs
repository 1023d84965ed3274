//! Duration of jobs beside a slow worker, with and without copies of their tasks.

#[path = "yard/mod.rs"]
mod yard;

use {
    dogwoodreach::work::{JobNo, JobState, Step},
    yard::{ShardSim, job, step},
};

/// Runs five jobs one after the other, each with five tasks on workers of their own and another
/// slow worker. Returns their total duration in milliseconds and the number of starts.
fn play(seed: u64, copies: bool, speed: f64) -> (u64, usize) {
    let mut yard = ShardSim::new(seed, 12);
    let (mut elapsed, mut now) = (0, 500);
    yard.run_until(now);
    for no in 1..=5 {
        for (i, w) in yard.world.workers.iter_mut().enumerate() {
            w.speed = if i == [2, 3, 6, 7, 10][no as usize - 1] { speed } else { 1.0 };
        }
        let tasks = Step { copies, apart: 1, ..step(5, 2_000) };
        yard.submit(no, "open", job([tasks]));
        let started_at = now;
        let done =
            |y: &ShardSim| y.progress().get(&JobNo(no)).is_some_and(|p| p.state == JobState::Done);
        while !done(&yard) {
            now += 50;
            assert!(now < started_at + 60_000, "seed {seed}: job {no} is not done");
            yard.run_until(now);
        }
        elapsed += now - started_at;
        now += 1_000;
        yard.run_until(now);
    }
    (elapsed, yard.rules.start_count as usize)
}

#[test]
fn jobs_beside_a_slow_worker_end_sooner_than_without_copies() {
    let (mut with, mut without, mut starts) = (0, 0, (0, 0));
    for seed in 1..=8 {
        let (a, b) = (play(seed, true, 0.15), play(seed, false, 0.15));
        (with, without) = (with + a.0, without + b.0);
        starts = (starts.0 + a.1, starts.1 + b.1);
    }
    println!(
        "with copies {with} ms, {} starts; without {without} ms, {} starts",
        starts.0, starts.1
    );
    assert!(with * 100 < without * 85, "{with} ms with, {without} ms without");
    assert!(starts.0 <= starts.1 * 125 / 100, "{starts:?}");
}

#[test]
fn where_no_worker_is_slow_there_is_no_copy() {
    for seed in 1..=4 {
        assert_eq!(play(seed, true, 1.0).1, 25, "seed {seed}");
    }
}
