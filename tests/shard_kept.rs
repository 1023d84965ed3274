//! Reservations for gangs that get no advice because all members are busy.

mod yard;

use {
    dogwoodreach::{
        units::Size,
        work::{AdviceCost, Queue, QueueConfig, Step},
    },
    std::{sync::Arc, time::Duration},
    yard::{ShardSim, job, step, worker::Worker},
};

/// The number of members that can call for advice.
const MEMBERS: u64 = 8;
const WORKERS: usize = 40;

/// Steps of `gangs` are more urgent, late after 3 s and worthless after 9 s. Steps of `tasks` can
/// still be in time.
fn queues() -> Arc<QueueConfig> {
    let defaults = yard::queues();
    let ms = Duration::from_millis;
    let cost = |base| AdviceCost { base: ms(base), each: ms(2), valid: ms(2_000) };
    let queue = |name, priority, slack, base| Queue {
        stretch: 1.0,
        slack: ms(slack),
        ..yard::queue(name, priority, Some(cost(base)))
    };
    let open = defaults.queue_by_name("open").expect("a queue").clone();
    let all = vec![queue("gangs", 0, 0, 900), queue("tasks", 1, 30_000, 280), open];
    Arc::new(QueueConfig { queues: all, ..(*defaults).clone() })
}

/// The longest time that a worker may be idle while steps wait: a gang holds a reservation for at
/// most 4 s, and the gang's own calls for advice take up to 2 s.
const MAX_IDLE: Duration = Duration::from_secs(6);

#[test]
fn reservations_for_gangs_are_used_or_released() {
    // After a time with several times the usual traffic 550 jobs wait, and a pool becomes empty
    // nonetheless. Gangs had got reservations while they were among the first 400 steps in the
    // order or starved. Then more urgent steps came before them, and the scheduling rounds no
    // longer reached them: nobody called for their tickets, and nobody released their reservations.
    // The log showed a gang with the cause "room that is kept for it" for 5 s, and then the same
    // gang with "its place in the order".
    for seed in 1..4 {
        let new_worker =
            |at: usize| Worker::new("open", ["r1", "r2"][at % 2], Size::new(16, 65_536, 8));
        let mut yard =
            ShardSim::with(seed, queues(), (0..WORKERS).map(new_worker).collect(), MEMBERS);
        yard.time_step = Duration::from_millis(1);
        yard.world.advice.share = 50;
        yard.world.spread = 0.0;
        let whole_worker = |count, ms| Step { size: Size::new(16, 4_096, 1), ..step(count, ms) };
        yard.submit(1, "open", job([whole_worker(40, 12_000)]));
        for no in 0..6 {
            let gang = Step { gang: true, ..whole_worker(4, 3_000) };
            yard.at(1_000 + no * 10, move |y| y.submit(2 + no, "gangs", job([gang])));
        }
        for no in 0..600 {
            let wide = Step { size: Size::new(2, 4_096, 1), ..step(10, 5_000) };
            yard.at(8_000 + no, move |y| y.submit(101 + no, "tasks", job([wide])));
        }
        yard.at(11_000, move |y| y.submit(10, "open", job([whole_worker(26, 3_000)])));
        let mut busy_at = vec![yard.now; WORKERS];
        for ms in (100..26_000).step_by(100) {
            yard.run_until(ms);
            for (at, since) in busy_at.iter_mut().enumerate() {
                if !yard.world.workers[at].runs.is_empty() {
                    *since = yard.now;
                }
                assert!(
                    yard.now < *since + MAX_IDLE,
                    "seed {seed}: worker {at} is idle since {since}"
                );
            }
        }
    }
}
