//! Owners whose calls for advice take long, and the long-running jobs that need their tickets.

use {
    super::{Harness, job, queues, step, worker::Hook},
    dogwoodreach::{
        ports::{Fault, WorkerCall, WorkerReply as Reply},
        shard::event::Event,
        work::{AdviceCost, Job, Queue, QueueConfig, Step},
    },
    std::{sync::Arc, time::Duration},
};

/// The duration of an advice call that names five workers.
pub const CALL: Duration = Duration::from_millis(1_200);

/// Starts get no answer; other calls do.
pub const NO_STARTS: Hook =
    |call| matches!(call, WorkerCall::Start(_)).then_some(Err(Fault::Unknown));
/// The worker accepts stops, which have no effect.
pub const STOPS_WITHOUT_EFFECT: Hook =
    |call| matches!(call, WorkerCall::Stop { .. }).then_some(Ok(Reply::Done(0)));

/// The queues of the harness, with advice calls that take [`CALL`].
pub fn slow_advice() -> Arc<QueueConfig> {
    let us = Duration::from_micros;
    let cost = AdviceCost { base: CALL * 9 / 10, each: CALL / 50, valid: us(2_000_000) };
    let defaults = queues();
    let slow = |q: &Queue| Queue { advice: q.advice.map(|_| cost), ..q.clone() };
    Arc::new(QueueConfig {
        queues: defaults.queues.iter().map(slow).collect(),
        ..(*defaults).clone()
    })
}

/// An owner with this many workers, whose advice calls take [`CALL`].
pub fn with_slow_advice(workers: usize) -> Harness {
    let mut hand = Harness::new(workers);
    hand.advice_delay = CALL;
    hand.deliver(Event::Queues(slow_advice()));
    hand
}

/// A job of `count` long-running tasks, at most one on each worker.
pub fn long_running(count: u32) -> Job {
    job(Step { lasts: true, apart: 1, ..step(count, 1) })
}

impl Harness {
    /// Lets the first worker of job 1 leave, where stops have no effect; returns its index.
    pub fn leave_without_effect(&mut self) -> usize {
        let at = self.workers_running(super::task(1, 0))[0];
        self.workers[at].hook = STOPS_WITHOUT_EFFECT;
        self.workers[at].leaves_in = Some(Duration::from_secs(600));
        self.deliver_list();
        self.run(30_000);
        assert!(!self.stops().is_empty());
        at
    }
}
