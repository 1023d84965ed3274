//! Cancellation of many tasks at once.

use {
    dogwoodreach::{
        Time,
        decide::cancel::{Cancels, StillRunning},
        ids::{TaskId, TaskIndex},
    },
    std::{collections::VecDeque, time::Duration},
};

const TICK: Duration = Duration::from_millis(10);

fn task(job: &str, index: u32) -> TaskId {
    TaskId { job: job.into(), index: TaskIndex(index) }
}

// An operator removes a text with 5,000 tasks, of which 1,000 run, while starts continue from a
// queue that also holds cancelled tasks. If stops were only queued and starts not checked, tasks
// further back would be started after their cancellation, and their work would be wasted.
#[test]
fn a_wave_is_stopped_in_bounded_ticks_and_starts_nothing() {
    let mut c = Cancels::default();
    let mut waiting: VecDeque<_> = (1000..5000).map(|i| task("wave", i)).collect();
    assert!((0..1000).all(|i| c.try_start(&task("wave", i))));
    let mut stopped = VecDeque::from_iter(["wave".into()]);
    c.cancel_job(&stopped.pop_front().unwrap());
    let (mut stops, mut ticks, mut started, mut plain) = (0, 0, 0, 0);
    let mut now = Time::ZERO;
    while stops < 1000 {
        let sent = c.tick(now);
        assert!(sent.len() <= 64 && !sent.is_empty());
        stops += sent.len();
        sent.iter().for_each(|t| c.record_end(t));
        // Baseline: ten starts per tick from the queue without the check.
        for t in waiting.drain(..10) {
            plain += 1;
            started += u32::from(c.try_start(&t));
        }
        now = now + TICK;
        ticks += 1;
    }
    assert_eq!((started, plain, ticks), (0, 160, 16));
    assert!(c.tick(now).is_empty());
    assert_eq!(c.clear_marks(&"wave".into()), Ok(()));
    assert!(c.try_start(&task("wave", 7)));
}

// A stop order is lost with its connection. If it were sent only once, the task would run on for
// hours.
#[test]
fn a_lost_stop_is_sent_again_until_the_task_has_ended() {
    let mut c = Cancels::default();
    assert!(c.try_start(&task("a", 1)) && c.try_start(&task("a", 2)));
    c.cancel_task(&task("a", 1));
    assert_eq!(c.tick(Time::ZERO), [task("a", 1)]);
    assert!(c.tick(Time::from_millis(1999)).is_empty());
    assert_eq!(c.tick(Time::from_millis(2000)), [task("a", 1)]);
    assert_eq!(c.clear_marks(&"a".into()), Err(StillRunning(2)));
    c.record_end(&task("a", 1));
    assert!(c.tick(Time::from_millis(9000)).is_empty());
    assert_eq!(c.pending_count(), 0);
    assert!(!c.try_start(&task("a", 1)), "cancelled, so no second attempt");
}

// A wave must delay the stop of a single later task only by its own ticks, and ended tasks in the
// queue must not be walked over without bound.
#[test]
fn a_single_cancel_behind_a_wave_waits_for_the_waves_ticks_only() {
    let mut c = Cancels::default();
    assert!((0..640).all(|i| c.try_start(&task("wave", i))) && c.try_start(&task("one", 0)));
    (0..640).for_each(|i| c.cancel_task(&task("wave", i)));
    c.cancel_task(&task("one", 0));
    (0..640).for_each(|i| c.record_end(&task("wave", i)));
    let sent: Vec<_> = (0..11).map(|_| c.tick(Time::ZERO)).collect();
    assert_eq!(sent[10], [task("one", 0)]);
    assert!(sent[..10].iter().all(Vec::is_empty));
}
