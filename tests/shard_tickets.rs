//! Tickets that are too old, are refused, or never come.

mod hand;

use {
    dogwoodreach::{
        Time,
        ports::{How, Refusal, Start, WorkerCall, WorkerReply as Reply},
        work::Step,
    },
    hand::{
        Hand, job, step, task,
        worker::{FINE, Hook, Worker},
    },
    std::time::Duration,
};

/// Starts with a ticket are refused for it.
const OLD: Hook = |call| match call {
    WorkerCall::Start(Start { ticket: Some(_), .. }) => {
        Some(Ok(Reply::Refused(0, Refusal::Ticket)))
    }
    _ => None,
};

/// When a start's ticket was given.
fn given(start: &Start) -> Time {
    let ticket = start.ticket.as_ref().expect("a ticket");
    Time::from_millis(ticket.parse().expect("a time"))
}

/// The starts of job 1, with the times of their tickets.
fn starts(hand: &Hand) -> Vec<(Time, Time)> {
    hand.starts_of(1).iter().map(|s| (s.0, given(&s.2))).collect()
}

#[test]
fn an_expired_ticket_is_not_used() {
    // Story: tickets are valid for 2 s, and the pool is full for longer. The start that has room at
    // last carries the old ticket; its worker refuses it, and each refusal costs.
    let mut hand = Hand::new(1);
    hand.submit(9, "plain", job(step(1, 4)));
    hand.run(300);
    hand.submit(1, "advised", job(step(1, 1)));
    hand.run(5_000);
    assert!(starts(&hand).is_empty());
    hand.end(task(9, 0), How::Done);
    hand.until("a start", 500, |h| !starts(h).is_empty());
    let (at, given) = starts(&hand)[0];
    assert!(at < given + Duration::from_secs(2), "at {at}, with a ticket of {given}");
}

#[test]
fn after_a_refusal_it_is_asked_for_anew() {
    // Story: a worker refuses a ticket that should be valid still. Tried again with the same one,
    // the start is refused for ever.
    let mut hand = Hand::new(1);
    hand.workers[0].hook = OLD;
    hand.submit(1, "advised", job(step(1, 1)));
    hand.until("a start", 500, |h| starts(h).len() == 1);
    hand.until("another", 1_000, |h| starts(h).len() == 2);
    let all = starts(&hand);
    assert!(all[1].1 > all[0].0, "a ticket from before the refusal: {all:?}");
    hand.workers[0].hook = FINE;
    hand.until("it runs", 1_000, |h| h.places(task(1, 0)) == [0]);
}

#[test]
fn advice_that_never_comes_holds_up_nothing_else() {
    // Story: the service of advice is down. Steps that need none, and a step that has its tickets,
    // must go on; and when it is back the others must as well.
    let mut hand = Hand::new(1);
    hand.submit(1, "advised", job(step(5, 1)));
    hand.until("its starts", 500, |h| h.starts_of(1).len() == 4);
    hand.advises = false;
    hand.submit(2, "advised", job(step(1, 1)));
    hand.run(300);
    hand.end(task(1, 0), How::Done);
    hand.until("its last", 300, |h| h.starts_of(1).len() == 5);
    hand.submit(3, "plain", job(step(1, 1)));
    hand.end(task(1, 1), How::Done);
    hand.until("one without advice", 300, |h| h.starts_of(3).len() == 1);
    hand.end(task(1, 2), How::Done);
    hand.run(8_000);
    assert!(hand.starts_of(2).is_empty());
    hand.advises = true;
    hand.until("it has advice", 5_000, |h| h.starts_of(2).len() == 1);
}

#[test]
fn a_worker_that_comes_later_is_asked_about() {
    // Story: a lasting job has two tasks, at most one on a worker, and only one worker may run it;
    // then another comes that may as well. As there was a worker that may, nobody asked about the
    // new one, and the second task stayed away to the end of the day.
    let mut hand = Hand::new(1);
    let two = Step { apart: 1, lasts: true, ..step(2, 1) };
    hand.submit(1, "advised", job(two));
    hand.until("a start", 500, |h| starts(h).len() == 1);
    hand.run(3_000);
    assert_eq!(starts(&hand).len(), 1);
    hand.workers.push(Worker::new(1));
    hand.list();
    hand.until("the other task at the new worker", 3_000, |h| h.places(task(1, 1)) == [1]);
}

#[test]
fn a_wide_step_is_asked_about_beyond_one_call() {
    // Story: a shard has more workers than one call for advice may name, and a step has more tasks, one
    // on a worker, than one call finds workers for. Its other tasks never ran beside idle workers.
    let mut hand = Hand::new(150);
    hand.submit(1, "advised", job(Step { apart: 1, ..step(120, 1) }));
    hand.until("all run", 3_000, |h| h.starts_of(1).len() == 120);
}
