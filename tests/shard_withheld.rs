//! Room that the longest-waiting long-running step cannot use yet.

mod hand;

use {
    dogwoodreach::{
        ports::EndReason,
        shard::event::Event,
        work::{AdviceCost, Job, Queue, QueueConfig, Step},
    },
    hand::{Harness, job, queues, step, task},
    std::{sync::Arc, time::Duration},
};

/// Validity of the tickets of the queue `fresh`.
const LONG_VALIDITY: Duration = Duration::from_secs(20);

/// The queues of the harness, and a queue `fresh` whose tickets are valid for long.
fn with_fresh() -> Arc<QueueConfig> {
    let defaults = queues();
    let advised = defaults.queue_by_name("advised").expect("a queue");
    let cost = advised.advice.map(|a| AdviceCost { valid: LONG_VALIDITY, ..a });
    let fresh =
        Queue { name: "fresh".into(), prefix: "/fresh/".into(), advice: cost, ..advised.clone() };
    let queues = defaults.queues.iter().cloned().chain([fresh]).collect();
    Arc::new(QueueConfig { version: defaults.version + 1, queues, ..(*defaults).clone() })
}

/// A long-running task that needs a whole worker.
fn long_running() -> Job {
    job(Step { lasts: true, ..step(1, 4) })
}

// Guards against room that is withheld for the duration of an advice call for the step that has
// waited longest, while another one that has waited too long holds a valid ticket.
#[test]
fn a_step_with_a_valid_ticket_does_not_wait_for_the_tickets_of_an_earlier_one() {
    let mut harness = Harness::new(1);
    harness.deliver(Event::Queues(with_fresh()));
    harness.submit(9, "plain", job(step(1, 4)));
    harness.run(300);
    harness.submit(1, "advised", long_running());
    harness.run(100);
    harness.submit(2, "fresh", long_running());
    harness.run(4_000);
    assert_eq!((harness.starts_of(1).len(), harness.starts_of(2).len()), (0, 0));
    harness.advice_up = false;
    harness.end(task(9, 0), EndReason::Done);
    harness.run_until("a start", 1_000, |h| !h.starts_of(2).is_empty());
}
