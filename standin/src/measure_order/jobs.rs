//! Generates the jobs on which the scheduling orders are compared.

use {
    super::{LARGE_USERS, Options, USERS},
    dogwoodreach::Time,
    fastrand::Rng,
    std::time::Duration,
};

#[derive(Clone, Copy, Debug)]
pub(super) enum Load {
    /// All users have the same load, with 10 to 30 tasks per job.
    Uniform,
    /// All users have the same load; the tasks per job follow a bounded Pareto distribution (shape
    /// 1.1, from 4 to 4,000).
    Heavy,
    /// All users have the same load, with 10 to 100 tasks per job. A third of the jobs are due after
    /// twice the time that they need in their user's share of the slots; the others have no deadline.
    Dated,
    /// Three users submit half of the work in jobs of 500 to 1,500 tasks; the jobs of the others have
    /// 2 to 10 tasks.
    Unlike,
}

#[derive(Clone, Debug)]
pub(super) struct Work {
    pub(super) user: usize,
    pub(super) arrival: Time,
    pub(super) tasks: u32,
    pub(super) run: Duration,
    /// The operator's estimate of `run`, wrong by up to a factor of two in either direction.
    pub(super) declared: Duration,
    pub(super) deadline: Time,
}

/// Generates jobs of each user at random times until the user's share of the work is reached.
pub(super) fn generate(o: &Options, load: Load, seed: u64) -> Vec<Work> {
    let mut rng = Rng::with_seed(seed);
    let horizon = o.hours * 3600;
    let total = o.load * o.slots as f64 * horizon as f64;
    let mut work = Vec::new();
    for user in 0..USERS {
        let share = match load {
            Load::Unlike if user < LARGE_USERS => 0.5 / LARGE_USERS as f64,
            Load::Unlike => 0.5 / (USERS - LARGE_USERS) as f64,
            Load::Uniform | Load::Heavy | Load::Dated => 1.0 / USERS as f64,
        };
        let mut remaining = total * share;
        while remaining > 0.0 {
            let w = draw(&mut rng, load, user, horizon, o.slots);
            remaining -= f64::from(w.tasks) * w.run.as_secs_f64();
            work.push(w);
        }
    }
    work.sort_by_key(|w| (w.arrival, w.user));
    work
}

fn draw(rng: &mut Rng, load: Load, user: usize, horizon: u64, slots: usize) -> Work {
    let tasks = match load {
        Load::Uniform => rng.u32(10..=30),
        Load::Dated => rng.u32(10..=100),
        Load::Heavy => (4.0 / (1.0 - rng.f64()).powf(1.0 / 1.1)).min(4000.0) as u32,
        Load::Unlike if user < LARGE_USERS => rng.u32(500..=1500),
        Load::Unlike => rng.u32(2..=10),
    };
    let arrival = Time(rng.u64(0..horizon * 1_000_000));
    let run = Duration::from_millis(rng.u64(30_000..90_000));
    let declared = run.mul_f64(2f64.powf(rng.f64() * 2.0 - 1.0));
    let rounds = |slots: usize| tasks.div_ceil(slots as u32);
    let deadline = match load {
        Load::Dated if rng.u8(0..3) > 0 => Time::NEVER,
        Load::Dated => arrival + run * rounds(slots.div_ceil(USERS)) * 2,
        _ => arrival + run * rounds(slots / 4) * 2 + Duration::from_secs(600),
    };
    Work { user, arrival, tasks, run, declared, deadline }
}
