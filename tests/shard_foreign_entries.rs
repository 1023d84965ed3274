//! Entries of the worker list that other programs have written.

mod hand;

use {
    dogwoodreach::{ids::PoolId, shard::event::Event, work::ListedWorker},
    hand::{Harness, job, step, task},
};

/// Adds to the list an entry of a pool that the configuration does not name.
fn deliver_foreign_list(hand: &mut Harness) {
    let mut listed: Vec<ListedWorker> = hand.workers.iter().filter_map(|w| w.entry()).collect();
    let mut foreign = listed[0].clone();
    (foreign.id, foreign.pool) = ("foreign".into(), PoolId::from("elsewhere"));
    foreign.addr.set_port(1);
    listed.push(foreign);
    hand.deliver(Event::Listed(listed));
}

#[test]
fn a_worker_of_an_unknown_pool_is_not_called() {
    // Guards against calls to the address of an entry that another program has written, and against
    // a new owner that waits for this worker's answer before it starts jobs.
    let mut hand = Harness::new(2);
    deliver_foreign_list(&mut hand);
    hand.submit(1, "plain", job(step(2, 1)));
    hand.run(1_000);
    assert_eq!(hand.workers_running(task(1, 0)).len(), 1);
    hand.submit(2, "plain", job(step(2, 8)));
    hand.run(100);
    hand.take_over();
    deliver_foreign_list(&mut hand);
    hand.submit(3, "plain", job(step(1, 1)));
    hand.run(1_000);
    assert_eq!(hand.workers_running(task(3, 0)).len(), 1);
}

#[test]
fn a_worker_whose_entry_is_lost_keeps_its_tasks() {
    // Guards against tasks that are started a second time because the entry of their worker was
    // overwritten while the worker still runs them.
    let mut hand = Harness::new(2);
    hand.submit(1, "plain", job(step(1, 1)));
    hand.run(200);
    let [at] = hand.workers_running(task(1, 0))[..] else { panic!("one run") };
    hand.workers[at].listed = false;
    hand.deliver_list();
    hand.run(3_000);
    assert_eq!(hand.workers_running(task(1, 0)), [at]);
    assert_eq!(hand.starts_of(1).len(), 1);
    hand.workers[at].listed = true;
    hand.deliver_list();
    hand.submit(2, "plain", job(step(4, 2)));
    hand.run(500);
    assert!(!hand.workers_running(task(2, 0)).is_empty());
}
