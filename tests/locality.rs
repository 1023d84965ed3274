//! How long tasks wait for the rack on which they run fastest, compared with a start elsewhere at
//! once and with a fixed wait.

use {
    dogwoodreach::{
        Time,
        decide::{
            gather::{Offer, earliest_end},
            locality::{Plan, RunTimes, Terms, Wait, WaitError},
        },
    },
    std::time::Duration,
};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[derive(Clone, Copy)]
enum Policy {
    AtOnce,
    Fixed(u64),
    ExpectedGain,
}

/// A load on a rack and the rest of a pool.
#[derive(Clone, Copy)]
struct Load {
    /// Number of tasks that run at the same time on the rack, and elsewhere.
    slots: (usize, usize),
    /// Run time on the rack, and the factor elsewhere.
    run: u64,
    factor: f64,
    /// Interval between two steps, which have ten tasks each and all request the rack.
    every: u64,
    /// How long each slot of the rack is occupied by other work at first.
    busy: u64,
}

/// A step of ten tasks in [`play`].
struct Job {
    arrived: u64,
    left: usize,
    end: u64,
    wait: Option<Wait>,
}

/// Starts up to `most` tasks of a job in the free ones of these slots.
fn start(job: &mut Job, slots: &mut [u64], most: usize, run: u64, now: u64) {
    for slot in slots.iter_mut().filter(|t| **t <= now).take(most) {
        *slot = now + run;
        (job.end, job.left) = (now + run, job.left - 1);
    }
}

/// Plays 5.5 s of a load. Returns the value of the jobs in percent (a late job counts a fifth) and
/// the mean time from their arrival to their end in milliseconds.
fn play(load: Load, policy: Policy) -> (u64, u64) {
    let Load { run, slots: (near_count, far_count), .. } = load;
    let far_run = (run as f64 * load.factor) as u64;
    let objective = run * 3 / 2 + 250;
    let mut near: Vec<u64> =
        (1..=near_count).map(|i| load.busy * i as u64 / near_count as u64).collect();
    let mut far = vec![0; far_count];
    let mut jobs: Vec<Job> = vec![];
    for now in (0..40_000).step_by(20) {
        if now <= 5_500 && now % load.every == 0 {
            jobs.push(Job { arrived: now, left: 10, end: 0, wait: None });
        }
        let (mut claimed, time) = (0, Time::from_millis(now));
        for job in jobs.iter_mut().filter(|j| j.left > 0) {
            let mut slots: Vec<Duration> = near.iter().map(|t| ms(t.saturating_sub(now))).collect();
            slots.sort_unstable();
            let slack = [1, 3].map(|n| (job.arrived + objective * n).checked_sub(now + run));
            let slack = ms(slack[0].or(slack[1]).unwrap_or(0));
            let terms = Terms { run: ms(run), factor: load.factor, slack };
            let waiting = match policy {
                Policy::AtOnce => 0,
                Policy::Fixed(wait) => {
                    if now < job.arrived + wait {
                        job.left
                    } else {
                        0
                    }
                }
                Policy::ExpectedGain => {
                    let plan = terms.plan(&slots, claimed, job.left, false);
                    let wait = job.wait.get_or_insert_with(|| Wait::begin(&terms, plan.wait, time));
                    if time < wait.limit { plan.waiting } else { 0 }
                }
            };
            let left = job.left;
            start(job, &mut near, left, run, now);
            let elsewhere = job.left.saturating_sub(waiting);
            start(job, &mut far, elsewhere, far_run, now);
            claimed += waiting;
        }
    }
    let value = |j: &Job| match j.end - j.arrived {
        t if t <= objective => 100,
        t if t <= 3 * objective => 20,
        _ => 0,
    };
    assert!(jobs.iter().all(|j| j.left == 0), "all tasks start");
    let count = jobs.len() as u64;
    let times: u64 = jobs.iter().map(|j| j.end - j.arrived).sum();
    (jobs.iter().map(value).sum::<u64>() / count, times / count)
}

#[test]
fn expected_gain_earns_no_less_than_the_alternatives_on_any_load() {
    // Ten tasks each time, on a rack with 20 slots. A start elsewhere at once makes every job late
    // at a factor of 3 once the rack is full. A fixed wait of 500 ms makes jobs late at a factor of
    // 1.5 where the rack is crowded or occupied by long tasks, and is of no use to long tasks.
    let (mut sums, mut worse) = ([0; 4], [false; 4]);
    for factor in [3.0, 1.5] {
        for (name, every, run, busy) in [
            ("crowded", 260, 700, 700),
            ("just full", 360, 700, 700),
            ("moderate", 520, 700, 700),
            ("long tasks before", 520, 700, 4_500),
            ("long tasks", 2_600, 4_500, 4_500),
        ] {
            let load = Load { slots: (20, 60), run, factor, every, busy };
            let all =
                [Policy::AtOnce, Policy::Fixed(200), Policy::Fixed(500), Policy::ExpectedGain]
                    .map(|policy| play(load, policy));
            println!("factor {factor}, {name}: {all:?}");
            assert!(all.iter().all(|r| r.0 <= all[3].0), "factor {factor}, {name}: {all:?}");
            for (i, (value, _)) in all.iter().enumerate() {
                sums[i] += value;
                worse[i] |= *value + 20 < all[3].0;
            }
        }
    }
    assert_eq!(worse, [true, true, true, false], "{sums:?}");
}

fn terms(run: u64, factor: f64, slack: u64) -> Terms {
    Terms { run: ms(run), factor, slack: ms(slack) }
}

#[test]
fn a_task_waits_while_the_wait_and_the_run_are_shorter_than_a_run_elsewhere() {
    let slots = [0, 0, 300, 900, 1_500].map(ms);
    let waits = |terms: &Terms, ahead, count, whole| {
        let plan = terms.plan(&slots, ahead, count, whole);
        (plan.now, plan.waiting, plan.wait)
    };
    // Each slot is free again after the task: 0, 0, 300, 700, 700, 900, 1000, 1400 ms.
    let long = terms(700, 3.0, 10_000);
    assert_eq!(waits(&long, 0, 5, false), (2, 3, ms(700)));
    assert_eq!(waits(&long, 0, 8, false), (2, 5, ms(1_000)), "1.4 s are no gain");
    assert_eq!(waits(&long, 0, 8, true), (2, 0, ms(0)), "all or none");
    assert_eq!(waits(&long, 3, 4, false), (2, 2, ms(1_000)), "three are ahead");
    assert_eq!(waits(&terms(700, 1.5, 10_000), 0, 5, false), (2, 1, ms(300)));
    assert_eq!(waits(&terms(700, 3.0, 500), 0, 5, false), (2, 1, ms(300)), "the slack is 500 ms");
    assert_eq!(waits(&terms(400, 9.0, 10_000), 0, 7, true), (2, 5, ms(800)));
    assert_eq!(long.plan(&[], 0, 3, false), Plan::default(), "a rack without workers");
}

#[test]
fn a_wait_is_bounded_by_its_cost_and_its_expectation_and_errors_are_remembered_for_seconds() {
    let limit = |terms: &Terms, expected| Wait::begin(terms, ms(expected), Time::ZERO).limit;
    assert_eq!(limit(&terms(4_500, 3.0, 60_000), 400), Time::from_millis(900));
    assert_eq!(limit(&terms(700, 3.0, 60_000), 1_300), Time::from_millis(1_400));
    assert_eq!(limit(&terms(700, 3.0, 600), 400), Time::from_millis(600));
    let mut error = WaitError::default();
    for at in (1_000..=8_000).step_by(1_000) {
        let begun = Wait::begin(&terms(4_500, 3.0, 60_000), ms(400), Time::from_millis(at - 1_000));
        error.record(&begun, Time::from_millis(at));
    }
    let at = |ms_at| error.corrected(ms(400), Time::from_millis(ms_at));
    assert!(at(8_000) > ms(550) && at(8_000) < ms(1_600), "{:?}", at(8_000));
    assert!(at(40_000) < ms(410), "{:?}", at(40_000));
}

#[test]
fn estimates_are_corrected_by_the_run_times_of_their_kind() {
    // Estimates are off by up to 0.9 of the run time: one of 70 ms stands for 700 ms.
    let mut times = RunTimes::default();
    for i in 0..20 {
        assert_eq!(times.expected(&"quick", ms(70)), ms(if i < 5 { 70 } else { 700 }));
        times.record(&"quick", ms([70, 700, 1_330][i % 3]), ms(700));
    }
    assert_eq!(times.expected(&"quick", ms(1_330)), ms(700));
    assert_eq!(times.expected(&"settlement", ms(4_500)), ms(4_500), "another kind");
}

#[test]
fn stopping_others_pays_only_if_it_saves_more_than_the_stop_costs() {
    let pays = |run, stop| {
        let terms = terms(run, 3.0, 60_000);
        terms.stop_pays(terms.elsewhere(), ms(stop), ms(600), ms(500))
    };
    assert!(pays(700, 200), "1.2 s saved for 1.05 s");
    assert!(!pays(700, 400) && !pays(400, 200) && pays(4_500, 1_000));
}

#[test]
fn a_gang_takes_one_rack_if_it_ends_earlier_there() {
    let on = |rack, worker, at, slots| {
        (rack, Offer { worker, available_at: Time::from_millis(at), slots })
    };
    let offers = vec![on(0, 1, 0, 2), on(1, 2, 0, 2), on(1, 3, 1_900, 2)];
    let chosen = |run: u64| {
        let times = move |rack: Option<usize>| ms(if rack.is_some() { run } else { 3 * run });
        earliest_end(offers.clone(), 4, times).expect("there are four").member_counts
    };
    assert_eq!(chosen(1_000), vec![(2, 2), (3, 2)], "2.9 s instead of 3 s");
    assert_eq!(chosen(900), vec![(1, 2), (2, 2)], "2.7 s instead of 2.8 s");
}
