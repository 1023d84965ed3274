//! Tests tickets that have expired, are refused, or never arrive.

mod hand;

use {
    dogwoodreach::{
        Time,
        ports::{EndReason, Start, WorkerCall, WorkerRefusal, WorkerReply as Reply},
        work::Step,
    },
    hand::{
        Harness, job, step, task,
        worker::{Hook, NORMAL, Worker},
    },
    std::time::Duration,
};

/// The worker refuses every start that carries a ticket, because of the ticket.
const REFUSE_TICKET: Hook = |call| match call {
    WorkerCall::Start(Start { ticket: Some(_), .. }) => {
        Some(Ok(Reply::Refused(0, WorkerRefusal::Ticket)))
    }
    _ => None,
};

/// Time at which the ticket of a start was issued.
fn issued_at(start: &Start) -> Time {
    let ticket = start.ticket.as_ref().expect("a ticket");
    Time::from_millis(ticket.parse().expect("a time"))
}

/// Starts of job 1, with the issue times of their tickets.
fn starts(hand: &Harness) -> Vec<(Time, Time)> {
    hand.starts_of(1).iter().map(|s| (s.0, issued_at(&s.2))).collect()
}

#[test]
fn an_expired_ticket_is_not_used() {
    // Tickets are valid for 2 s, and the pool is full for longer. When there is room, a start with
    // the old ticket would be refused by its worker, and each refusal has a cost.
    let mut hand = Harness::new(1);
    hand.submit(9, "plain", job(step(1, 4)));
    hand.run(300);
    hand.submit(1, "advised", job(step(1, 1)));
    hand.run(5_000);
    assert!(starts(&hand).is_empty());
    hand.end(task(9, 0), EndReason::Done);
    hand.run_until("a start", 500, |h| !starts(h).is_empty());
    let (at, issued_at) = starts(&hand)[0];
    assert!(at < issued_at + Duration::from_secs(2), "at {at}, with a ticket of {issued_at}");
}

#[test]
fn a_refused_ticket_is_replaced_by_a_new_one() {
    // A worker refuses a ticket that should still be valid. If the start were repeated with the
    // same ticket, it would be refused for ever.
    let mut hand = Harness::new(1);
    hand.workers[0].hook = REFUSE_TICKET;
    hand.submit(1, "advised", job(step(1, 1)));
    hand.run_until("a start", 500, |h| starts(h).len() == 1);
    hand.run_until("another", 1_000, |h| starts(h).len() == 2);
    let all = starts(&hand);
    assert!(all[1].1 > all[0].0, "a ticket from before the refusal: {all:?}");
    hand.workers[0].hook = NORMAL;
    hand.run_until("it runs", 1_000, |h| h.workers_running(task(1, 0)) == [0]);
}

#[test]
fn advice_that_never_comes_holds_up_nothing_else() {
    // The advice service is down. Steps that need no advice and a step that has its tickets must
    // still start, and the others once the service works again.
    let mut hand = Harness::new(1);
    hand.submit(1, "advised", job(step(5, 1)));
    hand.run_until("its starts", 500, |h| h.starts_of(1).len() == 4);
    hand.advice_up = false;
    hand.submit(2, "advised", job(step(1, 1)));
    hand.run(300);
    hand.end(task(1, 0), EndReason::Done);
    hand.run_until("its last", 300, |h| h.starts_of(1).len() == 5);
    hand.submit(3, "plain", job(step(1, 1)));
    hand.end(task(1, 1), EndReason::Done);
    hand.run_until("one without advice", 300, |h| h.starts_of(3).len() == 1);
    hand.end(task(1, 2), EndReason::Done);
    hand.run(8_000);
    assert!(hand.starts_of(2).is_empty());
    hand.advice_up = true;
    hand.run_until("it has advice", 5_000, |h| h.starts_of(2).len() == 1);
}

#[test]
fn a_worker_that_comes_later_is_asked_about() {
    // A lasting job has two tasks, at most one per worker, and only one worker may run it; then
    // another suitable worker joins. As one suitable worker was known already, nobody asked about
    // the new one, and the second task stayed absent to the end of the day.
    let mut hand = Harness::new(1);
    let two = Step { apart: 1, lasts: true, ..step(2, 1) };
    hand.submit(1, "advised", job(two));
    hand.run_until("a start", 500, |h| starts(h).len() == 1);
    hand.run(3_000);
    assert_eq!(starts(&hand).len(), 1);
    hand.workers.push(Worker::new(1));
    hand.deliver_list();
    hand.run_until("the other task at the new worker", 3_000, |h| {
        h.workers_running(task(1, 1)) == [1]
    });
}

#[test]
fn a_wide_step_is_asked_about_beyond_one_call() {
    // A shard has more workers than one call for advice may name, and a step that allows one task
    // per worker has more tasks than one call finds workers for. The other tasks never ran although
    // workers were idle.
    let mut hand = Harness::new(150);
    hand.submit(1, "advised", job(Step { apart: 1, ..step(120, 1) }));
    hand.run_until("all run", 3_000, |h| h.starts_of(1).len() == 120);
}
