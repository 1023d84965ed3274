//! Tasks that crash the workers on which they start.

mod hand;

use {
    dogwoodreach::{
        decide::crash::RESTART_PAUSE,
        shard::event::Event,
        work::{JobState, QueueConfig, Step, TaskKey},
    },
    hand::{Harness, job, queues, step, task},
    std::{sync::Arc, time::Duration},
};

/// Upper bound on the starts of a task that crashes its workers: three crashes, and fewer than
/// three further starts.
const MAX_STARTS: usize = 5;

/// How long a long-running task may be away beside room, in milliseconds.
const MAX_ABSENCE_MS: u64 = 6_000;

/// Crashes the worker of a task whenever the task has started, until the job has failed. Returns
/// the number of crashes.
fn crash_until_over(harness: &mut Harness, task: TaskKey) -> usize {
    for crashes in 0..=MAX_STARTS {
        let over = |h: &Harness| h.state(task.step.job.0) == Some(JobState::Failed);
        harness.run_until("a start or the end of the job", 20_000, |h| {
            over(h) || !h.workers_running(task).is_empty()
        });
        if over(harness) {
            return crashes;
        }
        let at = harness.workers_running(task)[0];
        // Leaves time for other tasks of the same scheduling round to start on the worker.
        harness.run(100);
        harness.crash(at);
    }
    panic!("still started after {MAX_STARTS} crashes")
}

#[test]
fn a_task_that_crashes_its_workers_is_given_up() {
    let mut harness = Harness::new(6);
    harness.submit(1, "plain", job(step(1, 1)));
    assert_eq!(crash_until_over(&mut harness, task(1, 0)), 3);
    let starts = harness.starts_of(1).len();
    harness.run(5_000);
    assert_eq!(harness.starts_of(1).len(), starts);
}

#[test]
fn gang_and_speculative_tasks_that_crash_are_given_up() {
    let steps = [Step { gang: true, ..step(3, 1) }, Step { copies: true, ..step(2, 1) }];
    for step in steps {
        let mut harness = Harness::new(6);
        harness.submit(1, "plain", job(step));
        assert_eq!(crash_until_over(&mut harness, task(1, 1)), 3);
    }
}

#[test]
fn a_successor_goes_on_counting_crashes() {
    let mut harness = Harness::new(6);
    harness.submit(1, "plain", job(step(1, 1)));
    for _ in 0..2 {
        harness.run_until("a start", 20_000, |h| !h.workers_running(task(1, 0)).is_empty());
        let at = harness.workers_running(task(1, 0))[0];
        harness.crash(at);
        harness.run(300);
    }
    harness.take_over();
    assert!(crash_until_over(&mut harness, task(1, 0)) <= 2);
}

#[test]
fn work_beside_a_task_that_crashes_its_worker_is_done() {
    // Tasks that ran before the crashing task are not blamed. Tasks that started together with it
    // are placed apart from it afterwards.
    let mut harness = Harness::new(6);
    harness.submit(1, "plain", job(Step { lasts: true, ..step(4, 1) }));
    harness.submit(2, "plain", job(step(4, 1)));
    harness.run(3_000);
    harness.submit(3, "plain", job(step(1, 1)));
    harness.submit(4, "plain", job(step(3, 1)));
    assert_eq!(crash_until_over(&mut harness, task(3, 0)), 3);
    harness.run(5_000);
    for (no, count) in [(1, 4), (2, 4), (4, 3)] {
        assert_ne!(harness.state(no), Some(JobState::Failed), "job {no}");
        let running =
            (0..count).filter(|i| !harness.workers_running(task(no, *i)).is_empty()).count();
        assert_eq!(running as u32, count, "tasks of job {no}");
    }
}

#[test]
fn a_worker_that_leaves_or_is_cut_off_is_no_crash() {
    let mut harness = Harness::new(3);
    harness.submit(1, "plain", job(Step { lasts: true, ..step(1, 1) }));
    for _ in 0..MAX_STARTS {
        harness.run_until("a start", 30_000, |h| !h.workers_running(task(1, 0)).is_empty());
        let at = harness.workers_running(task(1, 0))[0];
        harness.workers[at].leaves_in = Some(Duration::ZERO);
        harness.deliver_list();
        harness.crash(at);
    }
    harness.run(1_000);
    assert_eq!(harness.state(1), Some(JobState::Running));
}

#[test]
fn a_crash_between_two_owners_is_counted() {
    // Guards against owners that change as often as workers crash and therefore restart such a task
    // without end.
    let mut harness = Harness::new(6);
    harness.submit(1, "plain", job(step(1, 1)));
    for crashes in 1..=3 {
        harness.run_until("a start", 20_000, |h| !h.workers_running(task(1, 0)).is_empty());
        harness.run(300);
        let at = harness.workers_running(task(1, 0))[0];
        if crashes == 2 {
            harness.restart(at);
            harness.take_over();
        } else {
            harness.crash(at);
            harness.run(300);
        }
    }
    assert_eq!(harness.state(1), Some(JobState::Failed));
}

#[test]
fn task_blamed_for_a_crash_starts_apart_from_tasks_that_have_just_started() {
    // Tasks that start together on a worker are blamed together for its crash.
    let mut harness = Harness::new(4);
    harness.submit(1, "plain", job(Step { lasts: true, ..step(1, 3) }));
    harness.run(2_000);
    harness.submit(2, "plain", job(step(1, 1)));
    harness.run_until("a start on the same worker", 1_000, |h| {
        h.workers_running(task(2, 0)) == h.workers_running(task(1, 0))
    });
    harness.submit(3, "plain", job(step(1, 2)));
    harness.run_until("a start elsewhere", 1_000, |h| !h.workers_running(task(3, 0)).is_empty());
    harness.crash(harness.workers_running(task(2, 0))[0]);
    harness.run_until("another start", 1_000, |h| !h.workers_running(task(2, 0)).is_empty());
    harness.run(100);
    let at = harness.workers_running(task(2, 0));
    assert!(
        at != harness.workers_running(task(1, 0)) && at != harness.workers_running(task(3, 0)),
        "at {at:?}"
    );
}

#[test]
fn run_known_to_be_gone_is_not_counted_as_a_crash_by_a_successor() {
    let mut harness = Harness::new(3);
    harness.submit(1, "plain", job(step(1, 1)));
    harness.run_until("a start", 1_000, |h| !h.workers_running(task(1, 0)).is_empty());
    harness.run(100);
    harness.crash(harness.workers_running(task(1, 0))[0]);
    harness.run_until("another start", 1_000, |h| !h.workers_running(task(1, 0)).is_empty());
    harness.run(300);
    // No further task can start, and the worker no longer has the run.
    harness.workers.iter_mut().for_each(|w| w.listed = false);
    harness.deliver_list();
    let at = harness.workers_running(task(1, 0))[0];
    harness.workers[at].running.clear();
    harness.run(500);
    harness.take_over();
    harness.run(500);
    let crashes: Vec<usize> =
        harness.stored_progress(1).crashes.iter().map(|c| c.3.len()).collect();
    assert_eq!(crashes, [1]);
}

#[test]
fn a_long_running_job_is_not_given_up_when_its_workers_crash() {
    // Guards against a long-running job that is shown as failed, and whose tasks no longer run,
    // after three crashes of workers on which one of them had just started.
    let mut harness = Harness::new(6);
    harness.submit(1, "plain", job(Step { lasts: true, ..step(2, 1) }));
    for crashes in 0..=2 * MAX_STARTS {
        harness.run_until("a start or the end of the job", 20_000, |h| {
            h.state(1) == Some(JobState::Failed) || !h.workers_running(task(1, 1)).is_empty()
        });
        assert_eq!(harness.state(1), Some(JobState::Running), "after {crashes} crashes");
        let at = harness.workers_running(task(1, 1))[0];
        harness.run(100);
        harness.crash(at);
    }
}

#[test]
fn a_long_running_task_that_crashes_its_workers_is_restarted_after_a_pause() {
    // Guards against a long-running task that takes down one worker after the other without end.
    let mut harness = Harness::new(6);
    harness.submit(1, "plain", job(Step { lasts: true, ..step(1, 1) }));
    for crashes in 1..=3 * MAX_STARTS {
        harness.run_until("a start", MAX_ABSENCE_MS, |h| !h.workers_running(task(1, 0)).is_empty());
        let at = harness.workers_running(task(1, 0))[0];
        harness.run(100);
        harness.crash(at);
        let crashed_at = harness.now;
        harness.run_until("a start", MAX_ABSENCE_MS, |h| h.starts_of(1).len() > crashes);
        if crashes >= 3 {
            assert!(harness.now >= crashed_at + RESTART_PAUSE, "after {crashes} crashes");
        }
    }
}

#[test]
fn a_long_running_task_that_has_run_is_restarted_at_once() {
    // Guards against a pause for a task that has run long since its workers crashed.
    let mut harness = Harness::new(6);
    harness.submit(1, "plain", job(Step { lasts: true, ..step(1, 1) }));
    for _ in 0..3 {
        harness.run_until("a start", MAX_ABSENCE_MS, |h| !h.workers_running(task(1, 0)).is_empty());
        let at = harness.workers_running(task(1, 0))[0];
        harness.crash(at);
        harness.run(300);
    }
    harness.run_until("a start", MAX_ABSENCE_MS, |h| !h.workers_running(task(1, 0)).is_empty());
    harness.run(3_000);
    harness.take_over();
    harness.run(3_000);
    assert_eq!(harness.stored_progress(1).crashes, []);
    let starts = harness.starts_of(1).len();
    let at = harness.workers_running(task(1, 0))[0];
    let crashed_at = harness.now;
    harness.crash(at);
    harness.run_until("a start", MAX_ABSENCE_MS, |h| h.starts_of(1).len() > starts);
    assert!(harness.now < crashed_at + RESTART_PAUSE);
}

#[test]
fn a_task_whose_workers_crash_gets_the_attempts_of_its_queue() {
    // Guards against jobs that are given up before their queue's attempts are used up, or for two
    // crashes, which may be accidents.
    for (attempts, crashes) in [(2, 3), (4, 4)] {
        let mut harness = Harness::new(6);
        let mut config: QueueConfig = (*queues()).clone();
        config.version += 1;
        config.queues.iter_mut().for_each(|q| q.attempts = attempts);
        harness.deliver(Event::Queues(Arc::new(config)));
        harness.submit(1, "plain", job(step(1, 1)));
        assert_eq!(crash_until_over(&mut harness, task(1, 0)), crashes);
    }
}
