//! The example cluster of the tests and the soak: time limits, queues, workers, and helpers
//! that build jobs.

use {
    crate::site::{judge::CANCEL_GRACE, worker::Worker},
    dogwoodreach::{
        ports::{Bounds, VmLimits},
        units::Size,
        work::{AdviceCost, Job, Pool, Queue, QueueConfig, Step},
    },
    std::{sync::Arc, time::Duration},
};

/// Limits of the orders to the platform's VM interface.
pub fn fleet() -> VmLimits {
    let ms = Duration::from_millis;
    VmLimits {
        order_rate: 60.0,
        upkeep_time: ms(2_000),
        move_time: ms(1_500),
        holder_gap: ms(3_000),
    }
}

/// Time limits with the ratios of a real deployment.
pub fn bounds() -> Bounds {
    let ms = Duration::from_millis;
    Bounds {
        max_lease: ms(8_000),
        stop_time: ms(1_000),
        gang_timeout: ms(5_000),
        state_retention: ms(300_000),
        remote_factor: 1.5,
        checkpoint_interval: ms(1_000),
        restore_time: ms(500),
        target_grace: ms(4_000),
        serving_delay: ms(2_000),
        config_lag: ms(3_000),
        cancel_lag: CANCEL_GRACE,
        drain_time: ms(2_000),
        stop_grace: ms(10_000),
        min_ttl: ms(3_000),
        share_window: ms(5_000),
    }
}

/// Four queues: `plain` and `urgent` on the pool `guarded`, whose workers check their room, and
/// `open` and `advised` on the pool `open`, whose workers don't. Steps of `advised` need advice.
pub fn queues() -> Arc<QueueConfig> {
    let queue = |name: &str, pool: &str, priority| Queue {
        name: name.into(),
        host: "".into(),
        prefix: format!("/{name}/").into(),
        pool: pool.into(),
        priority,
        attempts: 3,
        stretch: 2.0,
        slack: Duration::from_secs(5),
        advice: None,
        public: false,
    };
    let ms = Duration::from_millis;
    let cost = AdviceCost { base: ms(20), each: ms(2), valid: ms(3_000) };
    let pool = |name: &str, guards| Pool { name: name.into(), checks_room: guards, standby: false };
    Arc::new(QueueConfig {
        version: 1,
        queues: vec![
            queue("plain", "guarded", 1),
            queue("urgent", "guarded", 0),
            queue("open", "open", 1),
            Queue { advice: Some(cost), ..queue("advised", "open", 1) },
        ],
        pools: vec![pool("guarded", true), pool("open", false)],
        max_body: 1 << 20,
        customers: None,
        revision: 0,
    })
}

/// Creates `count` workers of 4 cores on two racks. Of each four workers, two are in the pool
/// `guarded`, and every second worker has the label `gpu`.
pub fn workers(count: usize) -> Vec<Worker> {
    let one = |i: usize| {
        let pool = if i % 4 < 2 { "guarded" } else { "open" };
        let mut w = Worker::new(pool, ["r1", "r2"][i % 2], Size::new(4, 16_384, 1));
        w.clock_rate = [1.0, 0.98, 0.99][i % 3];
        w.clock_offset = 1_000 * (1 + i as u64);
        if i.is_multiple_of(2) {
            w.labels.push("gpu".into());
        }
        w
    };
    (0..count).map(one).collect()
}

/// A step of `count` tasks of one core, with an estimate of `estimate` milliseconds each.
pub fn step(count: u32, estimate: u64) -> Step {
    Step { count, estimate, size: Size::new(1, 512, 0), ..Step::default() }
}

/// A job of these steps.
pub fn job(steps: impl Into<Box<[Step]>>) -> Job {
    Job { text: "do it".into(), steps: steps.into(), times: None }
}
