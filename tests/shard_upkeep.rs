//! Tests how the owner of a shard empties workers for maintenance.

mod hand;

use {
    dogwoodreach::{
        ids::WorkerId,
        ports::EndReason,
        shard::{
            event::Event,
            record::{Closing, UpkeepTurn},
        },
        work::Step,
    },
    hand::{Harness, job, step, task},
    std::{collections::BTreeMap, sync::Arc},
};

/// Sends these turns of workers to the owner, as version `number` of the closing list.
fn set_turns(hand: &mut Harness, number: u64, turns: &[(usize, UpkeepTurn)]) {
    let turns = turns.iter().map(|(at, turn)| (hand.workers[*at].id.clone(), *turn));
    let closing =
        Closing { version: (1, number), turns: turns.collect::<BTreeMap<WorkerId, UpkeepTurn>>() };
    hand.deliver(Event::Closing(Arc::new(closing)));
}

/// Whether the owner reports a worker as clear.
fn clear(hand: &Harness, at: usize) -> bool {
    let held = hand.shard.occupancy(&[hand.workers[at].id.clone()]);
    held.len() == 1 && held[0].is_vacant()
}

/// Marks all tasks as working, which the next hold calls show.
fn mark_working(hand: &mut Harness) {
    for worker in &mut hand.workers {
        worker.running.iter_mut().for_each(|r| r.percent = 100);
    }
    hand.run(100);
}

#[test]
fn a_worker_that_is_emptied_gets_nothing_new_and_its_tasks_may_end() {
    // The VM of a worker is due for maintenance. A task that starts there now would be lost with
    // the VM; a task that ends within seconds would lose its work if it were stopped at once.
    let mut hand = Harness::new(2);
    hand.submit(1, "plain", job(step(1, 1)));
    hand.run(100);
    let at = hand.workers_running(task(1, 0))[0];
    set_turns(&mut hand, 1, &[(at, UpkeepTurn::Closing)]);
    hand.submit(2, "plain", job(step(6, 1)));
    hand.run(5_000);
    assert!(hand.stops().is_empty(), "the task may finish");
    assert!(hand.starts_of(2).iter().all(|s| s.1 != at));
    assert_eq!(hand.starts_of(2).len(), 4, "the rest waits");
    assert!(!clear(&hand, at));
    hand.end(task(1, 0), EndReason::Done);
    hand.run_until("clear", 200, |h| clear(h, at));
    set_turns(&mut hand, 2, &[]);
    hand.run_until("the rest starts", 200, |h| h.starts_of(2).len() == 6);
    assert!(!clear(&hand, at));
}

#[test]
fn a_stopped_task_continues_elsewhere_from_its_checkpoint() {
    // The wave would be late if the VM waited for a long task. The task is stopped, and must
    // continue from its checkpoint instead of beginning anew.
    let mut hand = Harness::new(2);
    hand.submit(1, "plain", job(Step { saves: true, ..step(1, 1) }));
    hand.run(100);
    let at = hand.workers_running(task(1, 0))[0];
    hand.workers[at].row_mut(&task(1, 0)).checkpoint = "a7".into();
    hand.run(100);
    set_turns(&mut hand, 1, &[(at, UpkeepTurn::Forced)]);
    hand.run_until("it goes on", 500, |h| h.workers_running(task(1, 0)) == [1 - at]);
    assert_eq!(&*hand.starts_of(1)[1].2.checkpoint, "a7");
    hand.run_until("clear", 500, |h| clear(h, at));
}

#[test]
fn lasting_tasks_move_one_by_one_and_wait_until_the_one_before_is_at_work() {
    // Three tasks of a step that may miss one are on the VM. If the second is stopped after the
    // first has started elsewhere but before that one works, two are absent where only one may be.
    let mut hand = Harness::new(2);
    let lasting = Step { lasts: true, may_miss: Some(1), ..step(3, 1) };
    hand.submit(1, "plain", job(lasting));
    hand.run(100);
    let at = hand.workers_running(task(1, 0))[0];
    assert_eq!(hand.workers[at].running.len(), 3, "all tasks run on one worker");
    mark_working(&mut hand);
    set_turns(&mut hand, 1, &[(at, UpkeepTurn::Forced)]);
    for moved in 1..=3 {
        hand.run_until("the next has moved", 500, |h| h.starts_of(1).len() == 3 + moved);
        hand.run(3_000);
        assert_eq!(hand.stops().len(), moved, "its successor isn't at work yet");
        assert_eq!(clear(&hand, at), moved == 3);
        mark_working(&mut hand);
    }
}

#[test]
fn a_step_that_may_miss_none_is_never_stopped() {
    // The wave is late, and the only task of a step that may miss none is on the VM. A late wave
    // costs something, but an absent task breaks a promise.
    let mut hand = Harness::new(2);
    hand.submit(1, "plain", job(Step { lasts: true, may_miss: Some(0), ..step(1, 1) }));
    hand.run(100);
    let at = hand.workers_running(task(1, 0))[0];
    mark_working(&mut hand);
    set_turns(&mut hand, 1, &[(at, UpkeepTurn::Forced)]);
    hand.run(20_000);
    assert!(hand.stops().is_empty());
    assert!(!clear(&hand, at));
}

#[test]
fn a_step_with_all_its_tasks_on_vms_of_the_wave_waits_for_room() {
    // Both VMs are to be emptied, and no third one has room. If the tasks were stopped at once,
    // they would be absent until a VM returns. The first VM with room takes one of them.
    let mut hand = Harness::new(3);
    hand.workers[2].listed = false;
    hand.deliver_list();
    let lasting = Step { lasts: true, may_miss: Some(1), apart: 1, ..step(2, 1) };
    hand.submit(1, "plain", job(lasting));
    hand.run(100);
    mark_working(&mut hand);
    set_turns(&mut hand, 1, &[(0, UpkeepTurn::Closing), (1, UpkeepTurn::Closing)]);
    hand.run(5_000);
    assert!(hand.stops().is_empty(), "no other worker has room");
    hand.workers[2].listed = true;
    hand.deliver_list();
    hand.run_until("one moves", 2_500, |h| {
        h.workers_running(task(1, 0)) == [2] || h.workers_running(task(1, 1)) == [2]
    });
    assert_eq!(hand.stops().len(), 1);
}

#[test]
fn an_older_closing_list_does_not_reopen_a_worker() {
    // An owner begins with the newest closing list, and an older one, in which the worker wasn't
    // closing, arrives late. If the owner followed it, tasks would start on a worker that was
    // reported clear and be lost with its VM.
    let mut hand = Harness::new(1);
    set_turns(&mut hand, 2, &[(0, UpkeepTurn::Closing)]);
    hand.run_until("clear", 200, |h| clear(h, 0));
    set_turns(&mut hand, 1, &[]);
    hand.submit(1, "plain", job(step(1, 1)));
    hand.run(1_000);
    assert!(hand.starts().is_empty());
    assert!(clear(&hand, 0));
}

#[test]
fn what_lasts_avoids_a_vm_whose_turn_is_yet_to_come() {
    // Placement prefers the fuller worker, but the VM of that worker is due for maintenance within
    // seconds. A lasting task placed there would soon be moved a second time.
    let mut hand = Harness::new(2);
    hand.submit(1, "plain", job(step(1, 2)));
    hand.run(100);
    let at = hand.workers_running(task(1, 0))[0];
    set_turns(&mut hand, 1, &[(at, UpkeepTurn::Due)]);
    hand.submit(2, "plain", job(Step { lasts: true, ..step(1, 1) }));
    hand.submit(3, "plain", job(step(1, 1)));
    hand.run(200);
    assert_eq!(hand.workers_running(task(2, 0)), [1 - at]);
    assert_eq!(hand.workers_running(task(3, 0)), [at], "tasks that don't last still start there");
}

#[test]
fn what_lasts_is_not_stopped_for_room_that_is_kept_for_a_gang() {
    // A worker with a lasting task and a long task is being emptied. The only other room is
    // reserved for a gang. That room counted as free, so the lasting task was stopped. It could not
    // start there, started again on the worker that was being emptied, and was stopped again, for
    // as long as the gang waited.
    let mut hand = Harness::new(3);
    hand.submit(9, "plain", job(step(1, 4)));
    hand.run(300);
    hand.submit(1, "plain", job(Step { lasts: true, ..step(1, 1) }));
    hand.run(300);
    let at = hand.workers_running(task(1, 0))[0];
    hand.submit(2, "plain", job(step(1, 2)));
    hand.run(300);
    assert_eq!(hand.workers_running(task(2, 0)), [at], "a fuller worker is taken first");
    hand.submit(3, "plain", job(Step { gang: true, ..step(2, 4) }));
    hand.run(300);
    set_turns(&mut hand, 1, &[(at, UpkeepTurn::Closing)]);
    for _ in 0..20 {
        mark_working(&mut hand);
        hand.run(400);
    }
    assert_eq!(hand.starts_of(1).len(), 1);
    assert_eq!(hand.workers_running(task(1, 0)), [at]);
}
