//! Tests that bad workers are found within the attempts of a task, that bad jobs are not mistaken
//! for bad workers, and that stuck runs are found.

use {
    dogwoodreach::{
        Time,
        decide::health::{Verdict, WorkerHealth, is_stuck, max_quarantined},
        work::JobNo,
    },
    fastrand::Rng,
    std::time::Duration,
};

const WORKERS: usize = 20;
/// Number of tasks that a worker has room for.
const SLOTS: usize = 8;
const ATTEMPTS: usize = 3;
/// Index of the bad worker.
const BAD_WORKER: usize = 7;
/// Time in milliseconds from which the worker is bad.
const FAULT_START: u64 = 5000;
const END: u64 = 30_000;
/// Time in milliseconds after which a failing task ends.
const FAILURE_TIME: u64 = 100;

/// A workload of jobs with equal tasks on one pool. Each task goes to the least busy worker on
/// which it has not failed.
#[derive(Clone, Copy)]
struct Scenario {
    /// Whether verdicts are used for placement.
    judged: bool,
    /// Whether the bad worker fails all tasks.
    fails: bool,
    /// How many times slower the bad worker is.
    slowdown: u64,
    /// Probability that a job fails on every worker.
    failing_jobs: f64,
    /// Probability that a task fails by itself.
    failure_rate: f64,
    /// Interval between jobs in milliseconds.
    interval: u64,
    /// Tasks per job.
    tasks: usize,
    /// Run time of a task in milliseconds.
    work: u64,
}

const DEFAULT: Scenario = Scenario {
    judged: true,
    fails: false,
    slowdown: 1,
    failing_jobs: 0.03,
    failure_rate: 0.005,
    interval: 80,
    tasks: 6,
    work: 700,
};

#[derive(Debug, Default)]
struct Summary {
    /// Jobs that could have succeeded but failed.
    lost: usize,
    /// Ends on the bad worker since it became bad.
    at_bad: usize,
    /// Failures among these.
    failed_at_bad: usize,
    /// Percentage of the time for which the other workers were quarantined.
    quarantined_share: f64,
    /// The same if two failures in a row quarantined a worker until its next success.
    naive_share: f64,
    /// Time in milliseconds from the fault to the first quarantine.
    found: Option<u64>,
}

struct Task {
    job: usize,
    failed: Vec<usize>,
}

fn simulate(scenario: Scenario) -> Summary {
    let (mut rng, mut summary) = (Rng::with_seed(9), Summary::default());
    let mut sounds = vec![WorkerHealth::new(); WORKERS];
    let mut failure_streaks = [0; WORKERS];
    // For each job: whether it fails everywhere, whether it is lost, and on which workers its tasks
    // failed.
    let mut jobs: Vec<(bool, bool, Vec<usize>)> = Vec::new();
    let mut queue: Vec<Task> = Vec::new();
    let mut runs: Vec<(u64, u64, usize, bool, Task)> = Vec::new();
    for t in (0..END).step_by(10) {
        let now = Time::from_millis(t);
        if t % scenario.interval == 0 {
            jobs.push((rng.f64() < scenario.failing_jobs, false, Vec::new()));
            let job = jobs.len() - 1;
            queue.extend((0..scenario.tasks).map(|_| Task { job, failed: Vec::new() }));
        }
        while let Some(i) = runs.iter().position(|r| r.1 <= t) {
            let (start, _, w, ok, mut task) = runs.swap_remove(i);
            let (fails_everywhere, lost, failed) = &mut jobs[task.job];
            let elsewhere = failed.iter().filter(|f| **f != w).count() as u32;
            failure_streaks[w] = if ok { 0 } else { failure_streaks[w] + 1 };
            sounds[w].record_end(JobNo(task.job as u64), ok, elsewhere, now);
            if ok {
                sounds[w].record_speed(scenario.work as f64 / (t - start) as f64, now);
            } else {
                failed.push(w);
                task.failed.push(w);
                *lost |= task.failed.len() >= ATTEMPTS && !*fails_everywhere;
                if task.failed.len() < ATTEMPTS {
                    queue.push(task);
                }
            }
            if w == BAD_WORKER && start >= FAULT_START {
                summary.at_bad += 1;
                summary.failed_at_bad += usize::from(!ok);
            }
        }
        if t % 1500 == 0 {
            for &(start, _, w, ..) in runs.iter().filter(|r| t > r.0 + 1000) {
                let rough = 2.0_f64.powf(rng.f64() * 2.0 - 1.0);
                let slowdown =
                    if w == BAD_WORKER && start >= FAULT_START { scenario.slowdown } else { 1 };
                sounds[w].record_speed(rough / slowdown as f64, now);
            }
        }
        let held = |s: &WorkerHealth| matches!(s.verdict(now), Verdict::Quarantined { .. });
        let all = sounds.iter().filter(|s| held(s)).count();
        if held(&sounds[BAD_WORKER]) && t >= FAULT_START {
            summary.found = summary.found.or(Some(t - FAULT_START));
        }
        let others = all - usize::from(held(&sounds[BAD_WORKER]));
        let part = 100.0 / (WORKERS - 1) as f64 / (END / 10) as f64;
        summary.quarantined_share += others as f64 * part;
        let in_streak =
            (0..WORKERS).filter(|w| *w != BAD_WORKER && failure_streaks[*w] >= 2).count();
        summary.naive_share += in_streak as f64 * part;
        let judged = scenario.judged && all <= max_quarantined(WORKERS);
        let mut busy = [0; WORKERS];
        runs.iter().for_each(|r| busy[r.2] += 1);
        let mut room = true;
        queue.retain_mut(|task| {
            if !room {
                return true;
            }
            let mut fit: Vec<_> = (0..WORKERS)
                .filter(|w| !task.failed.contains(w) && busy[*w] < SLOTS)
                .map(|w| {
                    let suspect = judged && sounds[w].verdict(now) == Verdict::Suspect;
                    (suspect, busy[w], rng.u32(..), w)
                })
                .collect();
            fit.sort();
            let w = fit.iter().map(|f| f.3).find(|w| !judged || sounds[*w].try_probe(now));
            room = busy.iter().any(|b| *b < SLOTS);
            let Some(w) = w else { return true };
            busy[w] += 1;
            let bad = w == BAD_WORKER && t >= FAULT_START;
            let fails =
                jobs[task.job].0 || rng.f64() < scenario.failure_rate || (bad && scenario.fails);
            let lasts = if bad { scenario.work * scenario.slowdown } else { scenario.work };
            let task = Task { job: task.job, failed: std::mem::take(&mut task.failed) };
            runs.push((t, t + if fails { FAILURE_TIME } else { lasts }, w, !fails, task));
            false
        });
    }
    summary.lost = jobs.iter().filter(|j| j.1).count();
    println!("judged {}: {summary:?}", scenario.judged);
    summary
}

/// Runs the workload with and without verdicts.
fn with_and_without(scenario: Scenario) -> [Summary; 2] {
    [true, false].map(|judged| simulate(Scenario { judged, ..scenario }))
}

// Guards against a worker that fails every task at once, so that it is always the least busy one
// and attracts more and more tasks, each of which loses one of its three attempts.
#[test]
fn failing_worker_is_found_at_once() {
    let [with, without] = with_and_without(Scenario { fails: true, ..DEFAULT });
    assert!(with.found.is_some_and(|ms| ms <= 8000), "{with:?}");
    assert!(with.failed_at_bad * 10 < without.failed_at_bad, "{with:?} {without:?}");
    assert!(with.quarantined_share < 1.0 && with.lost <= without.lost, "{with:?}");
}

// The same with one task in ten failing by itself. Two failures in a row are then not unusual, and
// healthy workers must stay in use.
#[test]
fn failing_worker_among_flaky_tasks() {
    let [with, without] = with_and_without(Scenario { fails: true, failure_rate: 0.1, ..DEFAULT });
    assert!(with.found.is_some_and(|ms| ms <= 20_000), "{with:?}");
    assert!(with.failed_at_bad * 5 < without.failed_at_bad && with.lost < without.lost, "{with:?}");
    assert!(with.quarantined_share < 3.0, "{with:?}");
}

// A third of all jobs can never succeed. Counting failures alone would quarantine every worker.
#[test]
fn storm_of_poison_leaves_workers_in_use() {
    let with = simulate(Scenario { failing_jobs: 0.33, ..DEFAULT });
    assert!(with.quarantined_share < 1.0 && with.lost == 0, "{with:?}");
    assert!(with.naive_share > 10.0, "{with:?}");
}

// A few jobs make up the whole load, 40 tasks of 4 s each, so that each worker runs tasks of only
// one or two jobs. Failures close together belong to one job, and the next job arrives seconds
// later.
#[test]
fn failing_worker_under_few_large_jobs() {
    let [with, without] = with_and_without(Scenario {
        fails: true,
        interval: 2000,
        tasks: 40,
        work: 4000,
        ..DEFAULT
    });
    assert!(with.failed_at_bad * 3 < without.failed_at_bad, "{with:?} {without:?}");
    assert!(with.quarantined_share < 1.0, "{with:?}");
}

// A worker becomes six times slower. It is busier and so gets fewer tasks, but each of these delays
// its job by four seconds.
#[test]
fn slow_worker_is_held() {
    let [with, without] = with_and_without(Scenario { slowdown: 6, ..DEFAULT });
    assert!(with.found.is_some_and(|ms| ms <= 8000), "{with:?}");
    assert!(
        with.at_bad * 2 < without.at_bad && with.quarantined_share < 1.0,
        "{with:?} {without:?}"
    );
}

// The pool is full: there is no idle worker, and more tasks arrive than can run.
#[test]
fn saturated_pool_still_holds_the_bad_one() {
    let [with, without] = with_and_without(Scenario { fails: true, interval: 20, ..DEFAULT });
    assert!(with.failed_at_bad * 10 < without.failed_at_bad, "{with:?} {without:?}");
    assert!(with.lost <= without.lost, "{with:?} {without:?}");
}

#[test]
fn quarantine_doubles_and_a_success_ends_it() {
    let (mut sound, mut now) = (WorkerHealth::new(), Time::ZERO);
    sound.record_end(JobNo(1), false, 0, now);
    assert_eq!(sound.verdict(now), Verdict::Suspect);
    sound.record_end(JobNo(1), false, 0, now);
    sound.record_end(JobNo(2), false, 3, now);
    assert_eq!(
        sound.verdict(now),
        Verdict::Suspect,
        "failures of one job, and of a job that fails elsewhere"
    );
    sound.record_end(JobNo(3), false, 0, now);
    for (n, secs) in [2, 4, 8, 16, 16].into_iter().enumerate() {
        let until = now + Duration::from_secs(secs);
        assert_eq!(sound.verdict(now), Verdict::Quarantined { until });
        assert!(!sound.try_probe(now));
        now = until;
        assert!(sound.try_probe(now) && !sound.try_probe(now), "a second probe was allowed");
        sound.record_end(JobNo(9 + n as u64), false, 0, now);
    }
    now = now + Duration::from_secs(16);
    assert!(sound.try_probe(now));
    sound.record_end(JobNo(5), true, 0, now);
    assert_eq!(sound.verdict(now), Verdict::Sound);
}

/// Returns after how many milliseconds a run that changed to `speed` at `percent` is found stuck,
/// with a report every 1.5 s, each compared with that of 3 s before.
fn found(speed: f64, percent: f64, work: f64, estimate: f64, saves: bool) -> Option<u64> {
    let at = |t: u64| (percent + speed * t as f64 / work / 10.0).min(100.0) as u8;
    let figures = (3000..120_000).step_by(1500);
    let mut running = figures.take_while(|t| at(*t) < 100);
    running.find(|&t| {
        let elapsed = if speed == 0.0 { t } else { 3000 };
        let expected = Duration::from_secs_f64(estimate);
        is_stuck(at(t - elapsed), at(t), Duration::from_millis(elapsed), expected, saves)
    })
}

// Runs of all lengths progress at half of the expected speed, as estimates are off by a factor of
// two: none of them may be stopped. Runs without progress must be found, and slow ones only if a
// restart ends sooner.
#[test]
fn stuck_runs_are_told_from_rough_estimates() {
    for (work, percent) in [0.7, 3.6, 5.6, 60.0].into_iter().zip([0.0, 10.0, 50.0, 90.0]) {
        for saves in [false, true] {
            assert_eq!(found(1.0, percent, work, work / 2.0, saves), None, "{work} s");
            assert_eq!(found(0.5, percent, work, work, saves), None, "{work} s");
        }
    }
    let stopped = [0.7, 5.6].map(|work| found(0.0, 50.0, work, work, true));
    println!("standing still: found after {stopped:?} ms");
    assert!(stopped.iter().all(|ms| ms.is_some_and(|ms| ms <= 4500)), "{stopped:?}");
    assert!(found(1.0 / 8.0, 10.0, 5.6, 5.6, false).is_some_and(|ms| ms <= 4500));
    assert_eq!(found(1.0 / 8.0, 80.0, 5.6, 5.6, false), None, "nearly done");
    assert!(
        found(1.0 / 8.0, 50.0, 60.0, 60.0, true).is_some(),
        "a restart continues from the checkpoint"
    );
}

// The only job to probe with is a large one, whose tasks sometimes fail on other workers too. If
// its failures counted as inconclusive, each probe would be followed by the next at once, and the
// worker would fail them all.
#[test]
fn probes_of_one_job_are_far_apart() {
    for elsewhere in [0, 3] {
        let (mut sound, mut probes) = (WorkerHealth::new(), 0);
        sound.record_end(JobNo(1), false, 0, Time::ZERO);
        sound.record_end(JobNo(2), false, 0, Time::ZERO);
        for now in (0..60_000).step_by(100).map(Time::from_millis) {
            if sound.try_probe(now) {
                probes += 1;
                sound.record_end(JobNo(1), false, elsewhere, now);
            }
        }
        println!("failed elsewhere {elsewhere}: {probes} probes in 60 s");
        assert!(probes <= if elsewhere == 0 { 6 } else { 30 });
    }
}

// A run reports one slow figure, and then the worker gets no tasks, as others have room. It must
// not stay suspect for ever, nor be quarantined for slow reports that are minutes apart.
#[test]
fn single_slow_figures_are_forgotten() {
    let mut sound = WorkerHealth::new();
    for now in (0..6).map(|n| Time::from_millis(n * 60_000)) {
        sound.record_speed(0.2, now);
        assert_eq!(sound.verdict(now), Verdict::Suspect);
        assert_eq!(sound.verdict(now + Duration::from_secs(10)), Verdict::Sound);
    }
}

// Estimates are off by a factor of two, so a run that seems to progress at half speed may be
// healthy. Whatever its length and the time between two reports, stopping it would only discard its
// work.
#[test]
fn half_speed_is_never_stuck() {
    let (mut rng, mut stuck_runs) = (Rng::with_seed(2), 0);
    for _ in 0..100_000 {
        let work = 0.5 + 600.0 * rng.f64().powi(3);
        let elapsed = 1.5 + work * rng.f64();
        let from = 100.0 * rng.f64();
        let stuck_at = |speed: f64| {
            let to = from + 100.0 * speed * elapsed / work;
            let [elapsed, work] = [elapsed, work].map(Duration::from_secs_f64);
            to < 100.0 && is_stuck(from as u8, to as u8, elapsed, work, true)
        };
        assert!(!stuck_at(0.5), "{work} s, {elapsed} s from {from}");
        stuck_runs += u32::from(stuck_at(0.15));
    }
    println!("at 0.15 of the speed {stuck_runs} of 100000 are stuck");
    assert!(stuck_runs > 20_000);
}
