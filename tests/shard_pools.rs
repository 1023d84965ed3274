//! Tests pools whose steps need advice, with fewer members than their calls need.

mod yard;

use {
    dogwoodreach::{
        units::Size,
        work::{AdviceCost, Queue, QueueConfig, Step},
    },
    std::{sync::Arc, time::Duration},
    yard::{ShardSim, job, step, worker::Worker},
};

/// Number of members that can call for advice.
const MEMBERS: u64 = 7;

/// Two queues, each with its own pool; an advice call on 10 workers takes 0.6 s. `first` is the
/// more urgent queue.
fn queues() -> Arc<QueueConfig> {
    let old = yard::queues();
    let us = Duration::from_micros;
    let cost = AdviceCost { base: us(550_000), each: us(5_000), valid: Duration::from_secs(2) };
    let queue = |name: &str, pool: &str, priority| Queue {
        name: name.into(),
        prefix: format!("/{name}/").into(),
        priority,
        advice: Some(cost),
        ..old.queue_by_name(pool).expect("a queue").clone()
    };
    let all = vec![queue("first", "plain", 0), queue("second", "open", 1)];
    Arc::new(QueueConfig { queues: all, ..(*old).clone() })
}

/// Six workers in the pool of `first`, twelve in the other.
fn pools(seed: u64) -> ShardSim {
    let one = |at: usize| {
        let pool = if at.is_multiple_of(3) { "guarded" } else { "open" };
        Worker::new(pool, ["r1", "r2"][at % 2], Size::new(4, 16_384, 1))
    };
    ShardSim::with(seed, queues(), (0..18).map(one).collect(), MEMBERS)
}

#[test]
fn steps_of_a_pool_with_room_are_asked_for_beside_a_pool_that_is_full() {
    // Under several times the usual traffic, jobs wait for advice and never start although their
    // pool runs empty. Another pool is full and its backlog is more urgent, so each free member
    // makes a call for that backlog, and the tickets expire unused.
    for seed in 1..4 {
        let mut yard = pools(seed);
        for no in 0..400 {
            yard.at(1_000 + no * 10, move |y| {
                let whole = Step { size: Size::new(4, 512, 0), ..step(2, 5_000) };
                y.submit(1 + no, "first", job([whole]));
            });
        }
        for no in 0..40 {
            yard.at(6_000 + no * 250, move |y| {
                y.submit(1_001 + no, "second", job([step(2, 1_000)]));
            });
        }
        yard.run_until(20_000);
    }
}
