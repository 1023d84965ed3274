//! Bad workers found within a task's attempts, bad jobs not taken for them, and stuck runs.

use {
    dogwoodreach::{
        Time,
        decide::sound::{Sound, Verdict, most_held, stuck},
        work::JobNo,
    },
    fastrand::Rng,
    std::time::Duration,
};

const WORKERS: usize = 20;
/// Tasks that a worker has room for.
const ROOM: usize = 8;
const ATTEMPTS: usize = 3;
/// The worker that is bad, from this time on, in milliseconds.
const BAD: usize = 7;
const FROM: u64 = 5000;
const END: u64 = 30_000;
/// A failing task ends after so long.
const FAILS: u64 = 100;

/// A day: jobs of alike tasks at a pool, each task at the idlest worker that it hasn't failed on.
#[derive(Clone, Copy)]
struct Day {
    judged: bool,
    /// Whether the bad worker fails all, and how many times slower it is.
    fails: bool,
    slower: u64,
    /// The chance that a job fails everywhere, and that a task fails by itself.
    poison: f64,
    flaky: f64,
    /// A job comes every so many milliseconds, has so many tasks, each as long.
    every: u64,
    tasks: usize,
    work: u64,
}

const PLAIN: Day = Day {
    judged: true,
    fails: false,
    slower: 1,
    poison: 0.03,
    flaky: 0.005,
    every: 80,
    tasks: 6,
    work: 700,
};

#[derive(Debug, Default)]
struct Seen {
    /// Jobs that could be done and failed.
    lost: usize,
    /// Ends at the bad worker since it is bad, and its failures.
    at_bad: usize,
    failed_at_bad: usize,
    /// The part of the time for which the others were in quarantine, in hundredths.
    wronged: f64,
    /// The same, had two failures on end held a worker until a success.
    wronged_by_two: f64,
    /// How long after it turned bad it was first held, in milliseconds.
    found: Option<u64>,
}

struct Task {
    job: usize,
    failed: Vec<usize>,
}

fn play(day: Day) -> Seen {
    let (mut rng, mut seen) = (Rng::with_seed(9), Seen::default());
    let mut sounds = vec![Sound::new(); WORKERS];
    let mut on_end = [0; WORKERS];
    // Of each job: whether it is poison, whether it is lost, and where its tasks failed.
    let mut jobs: Vec<(bool, bool, Vec<usize>)> = Vec::new();
    let mut queue: Vec<Task> = Vec::new();
    let mut runs: Vec<(u64, u64, usize, bool, Task)> = Vec::new();
    for t in (0..END).step_by(10) {
        let now = Time::from_millis(t);
        if t % day.every == 0 {
            jobs.push((rng.f64() < day.poison, false, Vec::new()));
            let job = jobs.len() - 1;
            queue.extend((0..day.tasks).map(|_| Task { job, failed: Vec::new() }));
        }
        while let Some(i) = runs.iter().position(|r| r.1 <= t) {
            let (start, _, w, ok, mut task) = runs.swap_remove(i);
            let (poison, lost, failed) = &mut jobs[task.job];
            let elsewhere = failed.iter().filter(|f| **f != w).count() as u32;
            on_end[w] = if ok { 0 } else { on_end[w] + 1 };
            sounds[w].ended(JobNo(task.job as u64), ok, elsewhere, now);
            if ok {
                sounds[w].moved(day.work as f64 / (t - start) as f64, now);
            } else {
                failed.push(w);
                task.failed.push(w);
                *lost |= task.failed.len() >= ATTEMPTS && !*poison;
                if task.failed.len() < ATTEMPTS {
                    queue.push(task);
                }
            }
            if w == BAD && start >= FROM {
                seen.at_bad += 1;
                seen.failed_at_bad += usize::from(!ok);
            }
        }
        if t % 1500 == 0 {
            for &(start, _, w, ..) in runs.iter().filter(|r| t > r.0 + 1000) {
                let rough = 2.0_f64.powf(rng.f64() * 2.0 - 1.0);
                let slower = if w == BAD && start >= FROM { day.slower } else { 1 };
                sounds[w].moved(rough / slower as f64, now);
            }
        }
        let held = |s: &Sound| matches!(s.verdict(now), Verdict::Quarantined { .. });
        let all = sounds.iter().filter(|s| held(s)).count();
        if held(&sounds[BAD]) && t >= FROM {
            seen.found = seen.found.or(Some(t - FROM));
        }
        let wrong = all - usize::from(held(&sounds[BAD]));
        let part = 100.0 / (WORKERS - 1) as f64 / (END / 10) as f64;
        seen.wronged += wrong as f64 * part;
        let two = (0..WORKERS).filter(|w| *w != BAD && on_end[*w] >= 2).count();
        seen.wronged_by_two += two as f64 * part;
        let judged = day.judged && all <= most_held(WORKERS);
        let mut busy = [0; WORKERS];
        runs.iter().for_each(|r| busy[r.2] += 1);
        let mut room = true;
        queue.retain_mut(|task| {
            if !room {
                return true;
            }
            let mut fit: Vec<_> = (0..WORKERS)
                .filter(|w| !task.failed.contains(w) && busy[*w] < ROOM)
                .map(|w| {
                    let suspect = judged && sounds[w].verdict(now) == Verdict::Suspect;
                    (suspect, busy[w], rng.u32(..), w)
                })
                .collect();
            fit.sort();
            let w = fit.iter().map(|f| f.3).find(|w| !judged || sounds[*w].probe(now));
            room = busy.iter().any(|b| *b < ROOM);
            let Some(w) = w else { return true };
            busy[w] += 1;
            let bad = w == BAD && t >= FROM;
            let fails = jobs[task.job].0 || rng.f64() < day.flaky || (bad && day.fails);
            let lasts = if bad { day.work * day.slower } else { day.work };
            let task = Task { job: task.job, failed: std::mem::take(&mut task.failed) };
            runs.push((t, t + if fails { FAILS } else { lasts }, w, !fails, task));
            false
        });
    }
    seen.lost = jobs.iter().filter(|j| j.1).count();
    println!("judged {}: {seen:?}", day.judged);
    seen
}

/// The day judged, and not.
fn both(day: Day) -> [Seen; 2] {
    [true, false].map(|judged| play(Day { judged, ..day }))
}

// A worker fails all that it starts, at once, so it is always the idlest and draws tasks without
// end. Each of these has lost an attempt of three.
#[test]
fn failing_worker_is_found_at_once() {
    let [ours, all] = both(Day { fails: true, ..PLAIN });
    assert!(ours.found.is_some_and(|ms| ms <= 8000), "{ours:?}");
    assert!(ours.failed_at_bad * 10 < all.failed_at_bad, "{ours:?} {all:?}");
    assert!(ours.wronged < 1.0 && ours.lost <= all.lost, "{ours:?}");
}

// The same where one task in ten fails by itself: two failures on end are nothing unusual, and
// sound workers must stay in use.
#[test]
fn failing_worker_among_flaky_tasks() {
    let [ours, all] = both(Day { fails: true, flaky: 0.1, ..PLAIN });
    assert!(ours.found.is_some_and(|ms| ms <= 20_000), "{ours:?}");
    assert!(ours.failed_at_bad * 5 < all.failed_at_bad && ours.lost < all.lost, "{ours:?}");
    assert!(ours.wronged < 3.0, "{ours:?}");
}

// A third of all jobs can never be done. Whoever counts failures alone holds every worker.
#[test]
fn storm_of_poison_leaves_workers_in_use() {
    let ours = play(Day { poison: 0.33, ..PLAIN });
    assert!(ours.wronged < 1.0 && ours.lost == 0, "{ours:?}");
    assert!(ours.wronged_by_two > 10.0, "{ours:?}");
}

// Few jobs take all of the load, 40 tasks of 4 s each, so that a worker has tasks of one or two jobs
// only: what fails there at once is of one job, and the next job comes seconds later.
#[test]
fn failing_worker_under_few_large_jobs() {
    let [ours, all] = both(Day { fails: true, every: 2000, tasks: 40, work: 4000, ..PLAIN });
    assert!(ours.failed_at_bad * 3 < all.failed_at_bad, "{ours:?} {all:?}");
    assert!(ours.wronged < 1.0, "{ours:?}");
}

// A worker turns six times slower. It is busier for it and so gets less, but what it gets holds its
// job up for four seconds.
#[test]
fn slow_worker_is_held() {
    let [ours, all] = both(Day { slower: 6, ..PLAIN });
    assert!(ours.found.is_some_and(|ms| ms <= 8000), "{ours:?}");
    assert!(ours.at_bad * 2 < all.at_bad && ours.wronged < 1.0, "{ours:?} {all:?}");
}

// The pool is full: there is no idle worker to turn to, and more come than can run.
#[test]
fn saturated_pool_still_holds_the_bad_one() {
    let [ours, all] = both(Day { fails: true, every: 20, ..PLAIN });
    assert!(ours.failed_at_bad * 10 < all.failed_at_bad, "{ours:?} {all:?}");
    assert!(ours.lost <= all.lost, "{ours:?} {all:?}");
}

#[test]
fn quarantine_doubles_and_a_success_ends_it() {
    let (mut sound, mut now) = (Sound::new(), Time::ZERO);
    sound.ended(JobNo(1), false, 0, now);
    assert_eq!(sound.verdict(now), Verdict::Suspect);
    sound.ended(JobNo(1), false, 0, now);
    sound.ended(JobNo(2), false, 3, now);
    assert_eq!(sound.verdict(now), Verdict::Suspect, "one job, and one that fails elsewhere");
    sound.ended(JobNo(3), false, 0, now);
    for (n, secs) in [2, 4, 8, 16, 16].into_iter().enumerate() {
        let until = now + Duration::from_secs(secs);
        assert_eq!(sound.verdict(now), Verdict::Quarantined { until });
        assert!(!sound.probe(now));
        now = until;
        assert!(sound.probe(now) && !sound.probe(now), "one probe");
        sound.ended(JobNo(9 + n as u64), false, 0, now);
    }
    now = now + Duration::from_secs(16);
    assert!(sound.probe(now));
    sound.ended(JobNo(5), true, 0, now);
    assert_eq!(sound.verdict(now), Verdict::Sound);
}

/// How long after it went to `speed` a run that was at `percent` is found stuck, with a figure
/// every 1.5 s, each compared with that of 3 s before.
fn found(speed: f64, percent: f64, work: f64, estimate: f64, saves: bool) -> Option<u64> {
    let at = |t: u64| (percent + speed * t as f64 / work / 10.0).min(100.0) as u8;
    let figures = (3000..120_000).step_by(1500);
    let mut running = figures.take_while(|t| at(*t) < 100);
    running.find(|&t| {
        let elapsed = if speed == 0.0 { t } else { 3000 };
        let expected = Duration::from_secs_f64(estimate);
        stuck(at(t - elapsed), at(t), Duration::from_millis(elapsed), expected, saves)
    })
}

// Runs of all lengths go at half the expected speed, as estimates are off by two: none is stopped.
// Those that stand still are found, and slow ones only where starting anew ends sooner.
#[test]
fn stuck_runs_are_told_from_rough_estimates() {
    for (work, percent) in [0.7, 3.6, 5.6, 60.0].into_iter().zip([0.0, 10.0, 50.0, 90.0]) {
        for saves in [false, true] {
            assert_eq!(found(1.0, percent, work, work / 2.0, saves), None, "{work} s");
            assert_eq!(found(0.5, percent, work, work, saves), None, "{work} s");
        }
    }
    let still = [0.7, 5.6].map(|work| found(0.0, 50.0, work, work, true));
    println!("standing still: found after {still:?} ms");
    assert!(still.iter().all(|ms| ms.is_some_and(|ms| ms <= 4500)), "{still:?}");
    assert!(found(1.0 / 8.0, 10.0, 5.6, 5.6, false).is_some_and(|ms| ms <= 4500));
    assert_eq!(found(1.0 / 8.0, 80.0, 5.6, 5.6, false), None, "nearly done");
    assert!(found(1.0 / 8.0, 50.0, 60.0, 60.0, true).is_some(), "goes on from its checkpoint");
}

// Only one large job is there to probe with, whose tasks also fail elsewhere now and then. Taken as
// telling nothing, each probe would be followed by the next at once, and the worker fails them all.
#[test]
fn probes_of_one_job_are_far_apart() {
    for elsewhere in [0, 3] {
        let (mut sound, mut probes) = (Sound::new(), 0);
        sound.ended(JobNo(1), false, 0, Time::ZERO);
        sound.ended(JobNo(2), false, 0, Time::ZERO);
        for now in (0..60_000).step_by(100).map(Time::from_millis) {
            if sound.probe(now) {
                probes += 1;
                sound.ended(JobNo(1), false, elsewhere, now);
            }
        }
        println!("failed elsewhere {elsewhere}: {probes} probes in 60 s");
        assert!(probes <= if elsewhere == 0 { 6 } else { 30 });
    }
}

// One figure of a run is poor, and then the worker is given nothing, as others have room: it must
// not be a suspect for good, nor held for poor figures that lie minutes apart.
#[test]
fn single_slow_figures_are_forgotten() {
    let mut sound = Sound::new();
    for now in (0..6).map(|n| Time::from_millis(n * 60_000)) {
        sound.moved(0.2, now);
        assert_eq!(sound.verdict(now), Verdict::Suspect);
        assert_eq!(sound.verdict(now + Duration::from_secs(10)), Verdict::Sound);
    }
}

// Estimates are off by two, so a run that seems to go at half speed may be a sound one. Whatever its
// length and the time between two figures, stopping it would only throw its work away.
#[test]
fn half_speed_is_never_stuck() {
    let (mut rng, mut slower) = (Rng::with_seed(2), 0);
    for _ in 0..100_000 {
        let work = 0.5 + 600.0 * rng.f64().powi(3);
        let elapsed = 1.5 + work * rng.f64();
        let from = 100.0 * rng.f64();
        let stuck_at = |speed: f64| {
            let to = from + 100.0 * speed * elapsed / work;
            let [elapsed, work] = [elapsed, work].map(Duration::from_secs_f64);
            to < 100.0 && stuck(from as u8, to as u8, elapsed, work, true)
        };
        assert!(!stuck_at(0.5), "{work} s, {elapsed} s from {from}");
        slower += u32::from(stuck_at(0.15));
    }
    println!("at 0.15 of the speed {slower} of 100000 are stuck");
    assert!(slower > 20_000);
}
