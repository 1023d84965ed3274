//! Tests tasks that crash every worker that starts them, among ordinary jobs; the load is random.

#[path = "yard/mod.rs"]
mod yard;

use {
    dogwoodreach::work::{JobNo, JobState, Step, StepKey, TaskKey},
    std::time::Duration,
    yard::{ShardSim, job, step},
};

/// Bound for all jobs to finish, in milliseconds.
const SETTLE_MS: u64 = 90_000;
/// Highest number of an ordinary job.
const LAST_ORDINARY_JOB: u64 = 24;
/// Number of jobs with a task that crashes workers.
const POISONED_JOBS: u64 = 4;

/// Runs one load. The rules allow few starts of a task that crashes workers, and each ordinary job
/// must finish.
fn play(seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut yard = ShardSim::new(seed, 16);
    yard.vm_list_lag = Duration::from_millis(rng.u64(0..900));
    yard.submit(1, "open", job([Step { lasts: true, ..step(3, 1_000) }]));
    for no in 2..=LAST_ORDINARY_JOB {
        let (at, count) = (rng.u64(0..12_000), rng.u32(1..5));
        let size = step(count, rng.u64(300..3_000));
        let size = Step { gang: rng.u32(0..4) == 0, copies: rng.u32(0..5) == 0, ..size };
        yard.at(at, move |y| y.submit(no, "open", job([size])));
    }
    for no in 100..100 + POISONED_JOBS {
        let (at, kind) = (rng.u64(1_000..8_000), rng.u32(0..4));
        let poisoned = step(3, 1_500);
        let poisoned = match kind {
            0 => Step { lasts: true, ..poisoned },
            1 => Step { gang: true, ..poisoned },
            2 => Step { copies: true, ..poisoned },
            _ => poisoned,
        };
        let key = StepKey { job: JobNo(no), time: 0, step: 0 };
        yard.world.crashing_tasks.insert(TaskKey { step: key, index: rng.u32(0..3) });
        yard.at(at, move |y| y.submit(no, "open", job([poisoned])));
    }
    for _ in 0..rng.u32(0..3) {
        yard.fault(rng.u64(2_000..14_000), |y| {
            y.kill_owner();
            let over = (y.now + Duration::from_secs(3)).0 / 1_000;
            y.at(over, ShardSim::take_over);
        });
    }
    yard.run_until(15_000);
    yard.run_until_settled(SETTLE_MS);
    for no in 2..=LAST_ORDINARY_JOB {
        assert_eq!(yard.stored_state(no), Some(JobState::Done), "seed {seed}: job {no}");
    }
}

#[test]
fn tasks_that_crash_workers_are_given_up_and_sound_ones_done() {
    (1..=40).for_each(play);
}
