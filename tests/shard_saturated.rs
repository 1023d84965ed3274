//! Tests an owner whose thread has too little processor time for a burst of jobs.

mod yard;

use {
    dogwoodreach::{
        Time,
        units::Size,
        work::{JobNo, Step},
    },
    std::time::Duration,
    yard::{ShardSim, job, saturated::*, step, worker::Worker},
};

/// Time between two jobs at the usual load; during the burst, four times as many arrive.
const JOB_GAP: Duration = Duration::from_micros(32_500);
/// Time from which the usual load is measured.
const SETTLED: Time = Time(2_000_000);
/// Begin and end of the burst.
const BURST: (Time, Time) = (Time(6_000_000), Time(10_000_000));
/// End of the load.
const END: Time = Time(34_000_000);
/// Time within which the ends of jobs are stored as soon as before, once no tasks are left over.
const RECOVERY: Duration = Duration::from_secs(5);
/// Minimum interval between two writes of a shard.
const WRITE_INTERVAL: Duration = Duration::from_millis(20);

/// The median time from the end of a job's last task to its end being stored, of the jobs whose last
/// task ended in a span; of jobs whose end isn't stored, the time until [`END`] counts.
fn delay(thread: &OwnerThread, from: Time, to: Time) -> Duration {
    let within = thread.ended.iter().filter(|(_, at)| (from..to).contains(at));
    let delay = |(no, at): (&JobNo, &Time)| thread.stored.get(no).unwrap_or(&END).since(*at);
    let mut all: Vec<Duration> = within.map(delay).collect();
    all.sort_unstable();
    all.get(all.len() / 2).copied().unwrap_or_default()
}

/// What the owner did and the delays, by window.
fn report(thread: &OwnerThread) -> String {
    let line = |(n, a): (&u32, &Activity)| {
        let from = Time::ZERO + WINDOW * *n;
        let holds = f64::from(a.holds) / f64::from(a.starts.max(1));
        let delay = delay(thread, from, from + WINDOW);
        format!("{from:?}: {a:?}, {holds:.2} holds a start, delay {delay:?}\n")
    };
    thread.windows.iter().map(line).collect()
}

// Guards against an owner that stays saturated after a burst: ends that wait to be stored cost polls
// and questions, and these delay the writes.
#[test]
fn ends_are_stored_as_soon_as_before_once_a_burst_is_over() {
    let one = |i: usize| Worker::new("guarded", &format!("r{}", i / 8), Size::new(16, 32_768, 0));
    let mut yard = ShardSim::with(1, yard::queues(), (0..240).map(one).collect(), 2);
    yard.time_step = Duration::from_millis(5);
    yard.limit_owner(Duration::from_micros(750));
    let (mut at, mut submitted) = (Time::from_millis(1_000), Vec::new());
    while at < END {
        submitted.push(at);
        let no = submitted.len() as u64;
        let small = Step { size: Size::new(1, 512, 0), ..step(7, 800) };
        yard.at(at.0 / 1_000, move |y| y.submit(no, "plain", job([small])));
        at = at + JOB_GAP / if (BURST.0..BURST.1).contains(&at) { 4 } else { 1 };
    }
    yard.run_until(END.0 / 1_000);

    let thread = yard.thread.as_ref().expect("the owner is limited");
    let seen = report(thread);
    let usual = thread.windows.range(window(SETTLED)..window(BURST.0));
    let busy: Duration = usual.map(|(_, a)| a.busy).sum();
    let load = busy.as_secs_f64() / BURST.0.since(SETTLED).as_secs_f64();
    assert!((0.6..0.75).contains(&load), "the usual load is {load:.2}\n{seen}");
    // The number of jobs with tasks that have not ended.
    let open = |at: &Time| {
        let begun = submitted.iter().filter(|s| *s < at).count();
        begun - thread.ended.values().filter(|e| *e < at).count()
    };
    let samples = |from: Time, to: Time| (from.0..to.0).step_by(100_000).map(Time);
    let most = samples(SETTLED, BURST.0).map(|at| open(&at)).max();
    let drained = samples(BURST.1, END).find(|at| Some(open(at)) <= most).unwrap_or(END);
    let mut from = drained + RECOVERY;
    assert!(from + WINDOW <= END, "tasks are left over until {drained:?}\n{seen}");
    let before = delay(thread, SETTLED, BURST.0);
    while from + WINDOW <= END {
        let after = delay(thread, from, from + WINDOW);
        assert!(
            after <= before * 2 + WRITE_INTERVAL,
            "{after:?} from {from:?} on, {before:?} before the burst; no tasks left over at {drained:?}\n{seen}",
        );
        from = from + WINDOW;
    }
}
