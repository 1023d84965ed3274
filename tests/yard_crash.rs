//! Tasks that crash each worker that starts them, among work that is sound, drawn.

#[path = "yard/mod.rs"]
mod yard;

use {
    dogwoodreach::work::{JobNo, State, Step, StepKey, TaskKey},
    std::time::Duration,
    yard::{Yard, job, step},
};

/// How long a day's jobs may take, in milliseconds.
const LONG: u64 = 90_000;
/// The numbers of the sound jobs, and of those with a task that crashes workers.
const SOUND: u64 = 24;
const POISON: u64 = 4;

/// Plays a day: its judge allows few starts of what crashes workers, and each sound job is done.
fn play(seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut yard = Yard::new(seed, 16);
    yard.behind = Duration::from_millis(rng.u64(0..900));
    yard.submit(1, "open", job([Step { lasts: true, ..step(3, 1_000) }]));
    for no in 2..=SOUND {
        let (at, count) = (rng.u64(0..12_000), rng.u32(1..5));
        let size = step(count, rng.u64(300..3_000));
        let size = Step { gang: rng.u32(0..4) == 0, copies: rng.u32(0..5) == 0, ..size };
        yard.at(at, move |y| y.submit(no, "open", job([size])));
    }
    for no in 100..100 + POISON {
        let (at, kind) = (rng.u64(1_000..8_000), rng.u32(0..4));
        let bad = step(3, 1_500);
        let bad = match kind {
            0 => Step { lasts: true, ..bad },
            1 => Step { gang: true, ..bad },
            2 => Step { copies: true, ..bad },
            _ => bad,
        };
        let key = StepKey { job: JobNo(no), time: 0, step: 0 };
        yard.world.poison.insert(TaskKey { step: key, index: rng.u32(0..3) });
        yard.at(at, move |y| y.submit(no, "open", job([bad])));
    }
    for _ in 0..rng.u32(0..3) {
        yard.fault(rng.u64(2_000..14_000), |y| {
            y.kill();
            let over = (y.now + Duration::from_secs(3)).0 / 1_000;
            y.at(over, Yard::take_over);
        });
    }
    yard.run_until(15_000);
    yard.settle(LONG);
    for no in 2..=SOUND {
        assert_eq!(yard.stored(no), Some(State::Done), "seed {seed}: job {no}");
    }
}

#[test]
fn tasks_that_crash_workers_are_given_up_and_sound_ones_done() {
    (1..=40).for_each(play);
}
