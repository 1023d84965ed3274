//! Workers with more ends of runs than one of their answers lists.

mod hand;

use {
    dogwoodreach::{
        ports::{EndReason, MAX_ENDS, WorkerCall},
        units::Size,
        work::{Job, Step, TaskKey},
    },
    hand::{
        Harness, job, step, task,
        worker::{NORMAL, SILENT},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// A step whose tasks are so small that a worker has room for thousands.
fn small(count: u32) -> Step {
    Step { size: Size::new(0, 1, 0), ..step(count, 0) }
}

/// An owner with workers that run all tasks of jobs 1 to `jobs`, `tasks` each.
fn with_jobs(workers: usize, jobs: u64, tasks: u32) -> Harness {
    let mut hand = Harness::new(workers);
    for no in 1..=jobs {
        hand.submit(no, "plain", job(small(tasks)));
    }
    let all = jobs as usize * tasks as usize;
    hand.run_until("all run", 2_000, |h| {
        h.workers.iter().map(|w| w.running.len()).sum::<usize>() == all
    });
    hand.run(500);
    hand
}

/// Ends all runs of all workers.
fn end_all(hand: &mut Harness, how: EndReason) {
    for worker in &mut hand.workers {
        let tasks: Vec<TaskKey> = worker.running.iter().map(|r| r.task).collect();
        tasks.iter().for_each(|t| assert!(worker.end(t, how)));
    }
}

/// The number of tasks that were started more than once.
fn repeated(hand: &Harness) -> usize {
    let mut runs = BTreeMap::<TaskKey, BTreeSet<u32>>::new();
    for (_, _, start) in hand.starts() {
        runs.entry(start.task).or_default().insert(start.run);
    }
    runs.values().filter(|r| r.len() > 1).count()
}

/// Whether jobs 1 to `jobs` are stored as over and every end is acknowledged.
fn all_over(hand: &Harness, jobs: u64) -> bool {
    (1..=jobs).all(|no| hand.stored_progress(no).state.is_final())
        && hand.workers.iter().all(|w| w.ends.is_empty())
}

/// The number of hold calls to a worker.
fn hold_count(hand: &Harness, worker: usize) -> usize {
    let is_hold = |c: &WorkerCall| matches!(c, WorkerCall::Hold { .. });
    hand.call_log.iter().filter(|(_, w, call)| *w == worker && is_hold(call)).count()
}

// Guards against tasks that start again although they are done: the store was down, so the worker
// went on listing its first ends, and a run whose end came after these was taken for lost.
#[test]
fn an_end_after_the_listed_ones_is_no_lost_run() {
    let mut hand = with_jobs(1, 3, 400);
    hand.store_up = false;
    end_all(&mut hand, EndReason::Done);
    hand.run(4_500);
    assert_eq!(repeated(&hand), 0);
    hand.store_up = true;
    hand.run_until("all is over", 3_000, |h| all_over(h, 3));
    assert_eq!(repeated(&hand), 0);
}

// Guards against the same with thousands of ends at each worker, while the store is down twice; and
// against polls that learn nothing while the worker can list no further end.
#[test]
fn thousands_of_ends_wait_for_a_store_that_is_down_twice() {
    let mut hand = with_jobs(3, 12, 1_000);
    hand.store_up = false;
    end_all(&mut hand, EndReason::Done);
    hand.run(1_000);
    let before = hold_count(&hand, 0);
    hand.run(10_000);
    let polls = hold_count(&hand, 0) - before;
    assert!(polls <= 20, "{polls} polls in 10 s");
    hand.store_up = true;
    hand.run(200);
    assert!(!all_over(&hand, 12));
    hand.store_up = false;
    hand.run(4_500);
    assert_eq!(repeated(&hand), 0);
    hand.store_up = true;
    hand.run_until("all is over", 5_000, |h| all_over(h, 12));
    assert_eq!(repeated(&hand), 0);
}

// Guards against a task that isn't done and doesn't run again, as its end was listed late.
#[test]
fn a_run_that_was_not_done_is_repeated_once_its_end_is_listed() {
    let mut hand = with_jobs(1, 2, 400);
    hand.store_up = false;
    end_all(&mut hand, EndReason::Lapsed);
    hand.run(4_500);
    let listed = hand.starts().iter().filter(|s| s.2.run > 1).count();
    assert_eq!(listed, MAX_ENDS, "only the runs whose ends are listed");
    hand.store_up = true;
    hand.run_until("all run again", 3_000, |h| h.workers[0].running.len() == 800);
    end_all(&mut hand, EndReason::Done);
    hand.run_until("all is over", 3_000, |h| all_over(h, 2));
}

// Guards against a long-running task that stays away until the store is back: it has to run again
// however its run has ended.
#[test]
fn a_long_running_task_restarts_before_its_end_is_listed() {
    let mut hand = with_jobs(1, 2, 400);
    hand.submit(3, "plain", job(Step { lasts: true, ..small(1) }));
    hand.run(500);
    hand.store_up = false;
    end_all(&mut hand, EndReason::Done);
    hand.run_until("it runs again", 1_000, |h| h.workers_running(task(3, 0)) == [0]);
    hand.store_up = true;
    hand.run_until("the others are over", 3_000, |h| all_over(h, 2));
    assert_eq!((hand.starts_of(3).len(), repeated(&hand)), (2, 1));
}

// Guards against work that waits for the room of runs that have ended.
#[test]
fn the_room_of_a_run_is_free_before_its_end_is_listed() {
    let mut hand = Harness::new(1);
    hand.submit(1, "plain", job(Step { size: Size::new(0, 16, 0), ..small(1_000) }));
    hand.submit(2, "plain", job(Step { size: Size::new(0, 1_024, 0), ..small(1) }));
    hand.run(500);
    assert!(hand.starts_of(2).is_empty(), "the worker is full");
    hand.store_up = false;
    end_all(&mut hand, EndReason::Done);
    hand.run_until("a start", 1_000, |h| h.starts_of(2).len() == 1);
    hand.run(2_000);
    assert_eq!(repeated(&hand), 0);
}

// Guards against ends that go missing with a cancelled job, and are listed for ever.
#[test]
fn a_cancelled_job_ends_with_unlisted_ends() {
    let mut hand = with_jobs(1, 2, 600);
    hand.store_up = false;
    end_all(&mut hand, EndReason::Done);
    hand.run(1_000);
    hand.cancel(2);
    hand.run(1_000);
    hand.store_up = true;
    hand.run_until("both are over", 3_000, |h| all_over(h, 2));
    assert_eq!(repeated(&hand), 0);
}

// Guards against runs that are awaited for ever: a worker that has restarted lists no end of before.
#[test]
fn a_restart_of_the_worker_ends_the_wait_for_its_ends() {
    let mut hand = with_jobs(1, 2, 400);
    hand.store_up = false;
    end_all(&mut hand, EndReason::Done);
    hand.run(1_000);
    let now = hand.now;
    hand.workers[0].restart(now);
    hand.deliver_list();
    hand.store_up = true;
    hand.run_until("the others run again", 3_000, |h| h.workers[0].running.len() == 800 - MAX_ENDS);
    end_all(&mut hand, EndReason::Done);
    hand.run_until("all is over", 3_000, |h| all_over(h, 2));
}

// Guards against a VM that goes down for its upkeep with ends that the owner hasn't heard.
#[test]
fn a_worker_with_unlisted_ends_is_not_empty() {
    let mut hand = with_jobs(1, 2, 400);
    hand.store_up = false;
    end_all(&mut hand, EndReason::Done);
    hand.run(1_000);
    let worker = [hand.workers[0].id.clone()];
    let count = |h: &Harness| h.shard.occupancy(&worker)[0].finite_count;
    assert_eq!(count(&hand), 800 - MAX_ENDS as u32);
    hand.store_up = true;
    hand.run_until("all is over", 3_000, |h| all_over(h, 2));
    assert_eq!(count(&hand), 0);
}

/// Jobs whose second step waits while thousands of runs of the first end without an owner.
fn ownerless(workers: usize, jobs: u64, tasks: u32) -> Harness {
    let mut hand = Harness::new(workers);
    for no in 1..=jobs {
        let next = Step { after: [0].into(), ..small(2) };
        hand.submit(no, "plain", Job { steps: [small(tasks), next].into(), ..job(small(1)) });
    }
    let all = jobs as usize * tasks as usize;
    let running = |h: &Harness| h.workers.iter().map(|w| w.running.len()).sum::<usize>();
    hand.run_until("all run", 2_000, |h| running(h) == all);
    hand.run(500);
    end_all(&mut hand, EndReason::Done);
    hand
}

/// Ends what runs, until all jobs are over.
fn finish(hand: &mut Harness, jobs: u64, ms: u64) {
    let deadline = hand.now + Duration::from_millis(ms);
    while !all_over(hand, jobs) {
        assert!(hand.now < deadline, "not all is over after {ms} ms");
        hand.run(200);
        end_all(hand, EndReason::Done);
    }
    assert_eq!(repeated(hand), 0);
}

// Guards against jobs that never go on: the successor took a list that was cut off for no answer,
// and acknowledged no end as long as a worker had not answered.
#[test]
fn a_successor_reads_lists_that_are_cut_off_to_their_end() {
    let mut hand = ownerless(3, 3, 600);
    hand.take_over();
    hand.submit(9, "plain", job(small(3)));
    hand.run_until("a new job starts", 500, |h| h.starts_of(9).len() == 3);
    finish(&mut hand, 3, 5_000);
}

// Guards against the same at thousands of ends, while the owner changes again and the store is away.
#[test]
fn another_successor_goes_on_where_the_first_one_ended() {
    let mut hand = ownerless(4, 12, 1_000);
    let left = |h: &Harness| h.workers.iter().map(|w| w.ends.len()).sum::<usize>();
    for _ in 0..2 {
        let before = left(&hand);
        hand.take_over();
        hand.run_until("ends are acknowledged", 1_000, |h| left(h) < before);
    }
    hand.store_up = false;
    hand.run(4_500);
    assert!(hand.workers.iter().any(|w| w.ends.len() > MAX_ENDS));
    assert_eq!(hand.starts().iter().filter(|s| s.2.task.step.step == 1).count(), 0);
    hand.store_up = true;
    finish(&mut hand, 12, 10_000);
}

// Guards against tasks that are done and start again: their ends were not listed yet as the leases of
// the former owner were over.
#[test]
fn old_jobs_wait_for_a_list_that_is_cut_off_for_longer_than_a_lease() {
    let mut hand = ownerless(3, 3, 600);
    hand.store_up = false;
    hand.take_over();
    hand.run(30_000);
    assert_eq!(repeated(&hand), 0);
    hand.store_up = true;
    finish(&mut hand, 3, 5_000);
}

// Guards against runs that end with their lease while the new owner still reads ends.
#[test]
fn leases_are_renewed_while_a_list_is_cut_off() {
    let mut hand = with_jobs(1, 2, 600);
    let ended: Vec<TaskKey> = (0..600).map(|i| task(1, i)).collect();
    ended.iter().for_each(|t| hand.end(*t, EndReason::Done));
    hand.take_over();
    hand.call_log.clear();
    hand.store_up = false;
    hand.run(3_000);
    assert!(hand.workers[0].ends.len() > MAX_ENDS);
    let last = hand.leases(0).last().map(|l| l.0);
    assert!(last.is_some_and(|at| hand.now - at < Duration::from_secs(1)), "{last:?}");
}

// Guards against old jobs that wait for ever for a worker that falls silent with unlisted ends.
#[test]
fn a_worker_that_falls_silent_with_unlisted_ends_is_given_up_after_its_lease() {
    let mut hand = ownerless(3, 3, 600);
    hand.store_up = false;
    hand.take_over();
    hand.run(1_000);
    hand.workers[0].hook = SILENT;
    hand.store_up = true;
    hand.run(15_000);
    assert_eq!(repeated(&hand), 0, "its lease isn't over");
    hand.run_until("its tasks run again", 15_000, |h| repeated(h) > 0);
    hand.workers[0].hook = NORMAL;
    for _ in 0..25 {
        hand.run(200);
        end_all(&mut hand, EndReason::Done);
    }
    assert!(all_over(&hand, 3));
}

// Guards against a successor that doesn't wait for the ends of a worker which the list lacks and on
// which nothing runs.
#[test]
fn a_worker_with_unlisted_ends_stays_in_the_roster() {
    let mut hand = with_jobs(2, 2, 600);
    hand.store_up = false;
    end_all(&mut hand, EndReason::Done);
    hand.run(1_000);
    hand.workers[0].listed = false;
    hand.deliver_list();
    hand.workers[0].hook = SILENT;
    hand.store_up = true;
    hand.run(1_000);
    hand.take_over();
    hand.run(10_000);
    assert_eq!(repeated(&hand), 0);
    hand.workers[0].hook = NORMAL;
    hand.workers[0].listed = true;
    hand.deliver_list();
    finish(&mut hand, 2, 5_000);
}
