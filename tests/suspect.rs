//! Tests that bad workers are distinguished from bad jobs, compared with a baseline that retries
//! for ever.

use {
    dogwoodreach::{
        Time,
        decide::suspect::{AttemptOutcome, Fault, FaultTracker, TaskVerdict, Trust},
        ids::{TaskId, TaskIndex, WorkerId},
    },
    fastrand::Rng,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
        time::Duration,
    },
};

/// Number of slots of a worker in the simulation.
const SLOTS: u32 = 4;

/// A pool that simulates tasks in virtual time: a task runs for 10 s, a failing one for 100 ms.
struct Simulation {
    suspects: FaultTracker,
    judged: bool,
    workers: Vec<(WorkerId, bool, u32)>,
    rng: Rng,
    now: Time,
    ends: BinaryHeap<Reverse<(Time, u32, u32, usize)>>,
    waits: BinaryHeap<Reverse<(Time, u32, u32)>>,
    bad_jobs: Vec<u32>,
    /// When the bad jobs start to succeed.
    recovered_at: Time,
    failures: u32,
    done: u32,
    given_up: BTreeMap<u32, Fault>,
}

fn id(job: u32, index: u32) -> TaskId {
    TaskId { job: format!("job{job}").as_str().into(), index: TaskIndex(index) }
}

impl Simulation {
    fn new(workers: usize, bad: &[usize], judged: bool) -> Self {
        let mut suspects = FaultTracker::new(7);
        let name = |i: usize| WorkerId::from(format!("w{i:03}").as_str());
        for i in 0..workers {
            suspects.add_worker(
                &name(i),
                &"pool".into(),
                &format!("rack{}", i / 5).as_str().into(),
            );
        }
        let workers = (0..workers).map(|i| (name(i), bad.contains(&i), 0)).collect();
        Simulation {
            suspects,
            judged,
            workers,
            rng: Rng::with_seed(11),
            now: Time::ZERO,
            ends: BinaryHeap::new(),
            waits: BinaryHeap::new(),
            bad_jobs: Vec::new(),
            recovered_at: Time::NEVER,
            failures: 0,
            done: 0,
            given_up: BTreeMap::new(),
        }
    }

    fn submit(&mut self, job: u32, tasks: u32) {
        (0..tasks).for_each(|i| self.waits.push(Reverse((self.now, job, i))));
    }

    fn fails(&self, job: u32, i: usize) -> bool {
        self.workers[i].1 || (self.bad_jobs.contains(&job) && self.now < self.recovered_at)
    }

    fn free(&self, job: u32, index: u32) -> Vec<usize> {
        let task = id(job, index);
        let open = |i: &usize| {
            let (worker, _, busy) = &self.workers[*i];
            let most = match self.suspects.worker_trust(self.now, worker) {
                _ if !self.judged => SLOTS,
                Trust::Full => SLOTS,
                Trust::Probe => 1,
                Trust::Blocked(_) => 0,
            };
            *busy < most && !(self.judged && self.suspects.failed_on(&task).contains(worker))
        };
        (0..self.workers.len()).filter(open).collect()
    }

    fn start_waiting(&mut self) {
        let mut held = Vec::new();
        while let Some(&Reverse((at, job, index))) = self.waits.peek() {
            if at > self.now {
                break;
            }
            self.waits.pop();
            match self.suspects.job_trust(self.now, &id(job, index).job) {
                Trust::Blocked(Time::NEVER) if self.judged => continue,
                Trust::Blocked(until) if self.judged => {
                    self.waits.push(Reverse((until, job, index)));
                    continue;
                }
                _ => {}
            }
            let free = self.free(job, index);
            if free.is_empty() {
                held.push(Reverse((at, job, index)));
                if held.len() > 8 {
                    break;
                }
                continue;
            }
            let i = free[self.rng.usize(..free.len())];
            self.workers[i].2 += 1;
            self.suspects.record_start(self.now, &id(job, index), &self.workers[i].0);
            let bad = self.fails(job, i);
            let run = Duration::from_millis(if bad { 100 } else { 10_000 });
            self.ends.push(Reverse((self.now + run, job, index, i)));
        }
        self.waits.extend(held);
    }

    fn end(&mut self, job: u32, index: u32, i: usize) {
        self.workers[i].2 -= 1;
        let failed = self.fails(job, i);
        self.failures += u32::from(failed);
        self.done += u32::from(!failed);
        let outcome = if failed { AttemptOutcome::Failed } else { AttemptOutcome::Done };
        let verdict =
            self.suspects.record_end(self.now, &id(job, index), &self.workers[i].0, outcome);
        match verdict {
            _ if !self.judged && failed => self.waits.push(Reverse((self.now, job, index))),
            TaskVerdict::Retry(at) => self.waits.push(Reverse((at, job, index))),
            TaskVerdict::GiveUp(fault) => drop(self.given_up.insert(job, fault)),
            TaskVerdict::Completed => {}
        }
    }

    /// Runs until nothing is left, or until `end`.
    fn play(&mut self, end: Time) {
        while self.now < end {
            self.start_waiting();
            let next_end = self.ends.peek().map(|Reverse(e)| e.0);
            let later = self.waits.iter().map(|Reverse(w)| w.0).filter(|t| *t > self.now).min();
            let held = self.waits.peek().map(|_| self.now + Duration::from_secs(1));
            let Some(next) = [next_end, later, held].into_iter().flatten().min() else { return };
            self.now = next;
            while self.ends.peek().is_some_and(|Reverse(e)| e.0 <= next) {
                let Some(Reverse((_, job, index, i))) = self.ends.pop() else { break };
                self.end(job, index, i);
            }
        }
    }
}

// One worker of 35 fails every task within 100 ms, so its slots are the first to be free and it
// gets most of the starts. If its tasks were retried for ever, they would return to it again and
// again, and batches would fail or crawl. Compared with its peers, it is quarantined after a few
// failures.
#[test]
fn a_black_hole_worker_is_quarantined_and_no_job_is_blamed() {
    let play = |judged| {
        let mut f = Simulation::new(35, &[3], judged);
        (0..8).for_each(|job| f.submit(job, 100));
        f.play(Time::from_millis(3_600_000));
        f
    };
    let (judged, plain) = (play(true), play(false));
    println!("failures: judged {}, retried for ever {}", judged.failures, plain.failures);
    assert_eq!((judged.done, judged.given_up.len()), (800, 0));
    assert_eq!(judged.suspects.quarantined_workers(), [&WorkerId::from("w003")]);
    // No task ends on its peers for 10 s; without spacing of starts it would fail 400 tasks until
    // then.
    assert!(judged.failures < 20 && judged.failures * 50 < plain.failures);
}

// One job of eight fails wherever it runs, so each worker has failures. Counted alone, these would
// make every worker suspect. Retried for ever, the job would take starts from the others.
#[test]
fn a_bad_job_is_given_up_and_no_worker_is_blamed() {
    let play = |judged| {
        let mut f = Simulation::new(35, &[], judged);
        f.bad_jobs = vec![5];
        (0..8).for_each(|job| f.submit(job, 100));
        f.play(Time::from_millis(if judged { 900_000 } else { 60_000 }));
        f
    };
    let (judged, plain) = (play(true), play(false));
    println!("failures: judged {}, retried for ever {}", judged.failures, plain.failures);
    assert_eq!(judged.done, 700);
    assert!(matches!(judged.given_up.get(&5), Some(Fault::Job(n)) if *n >= 4));
    assert_eq!(judged.given_up.len(), 1);
    assert!(judged.suspects.quarantined_workers().is_empty());
    assert!(judged.failures * 5 < plain.failures);
}

// The database of a job restarts for two minutes, during which each of its tasks fails on good
// workers. The job must not be given up for good, and its tasks must not use up the starts of the
// cell meanwhile.
#[test]
fn a_job_whose_database_is_back_in_minutes_is_not_given_up() {
    let mut f = Simulation::new(35, &[], true);
    (f.bad_jobs, f.recovered_at) = (vec![5], Time::from_millis(120_000));
    (0..8).for_each(|job| f.submit(job, 100));
    f.play(Time::from_millis(3_600_000));
    println!("failures {}, over at {} s", f.failures, f.now.0 / 1_000_000);
    assert_eq!((f.done, f.given_up.len(), f.suspects.quarantined_workers().len()), (800, 0, 0));
    assert!(
        f.failures < 100 && f.now < Time::from_millis(200_000),
        "the trial did not end with the first success"
    );
}

// Black holes that attract most starts, and jobs that fail on every worker, at the same time.
#[test]
fn a_bad_worker_and_a_bad_job_at_once_are_told_apart() {
    let mut f = Simulation::new(35, &[0, 17], true);
    f.bad_jobs = vec![2, 6];
    (0..8).for_each(|job| f.submit(job, 200));
    f.play(Time::from_millis(3_600_000));
    println!("failures {}, given up {:?}", f.failures, f.given_up);
    assert_eq!(f.done, 1200);
    assert_eq!(f.given_up.keys().copied().collect::<Vec<_>>(), [2, 6]);
    assert_eq!(
        f.suspects.quarantined_workers(),
        [&WorkerId::from("w000"), &WorkerId::from("w017")]
    );
    assert_eq!(f.suspects.worker_trust(f.now, &"w001".into()), Trust::Full);
}

// In a cell that runs nothing else, no worker can be shown to be good. The job is still given up,
// and the reason says what is not known.
#[test]
fn a_bad_job_alone_on_the_cell_is_given_up_too() {
    let mut f = Simulation::new(35, &[], true);
    f.bad_jobs = vec![0];
    f.submit(0, 1);
    f.play(Time::from_millis(7_200_000));
    assert_eq!(f.given_up.get(&0), Some(&Fault::Attempts(12)));
    assert_eq!(f.failures, 12);
}

fn probe(s: &mut FaultTracker, at: Time, index: u32, outcome: AttemptOutcome) {
    let w = WorkerId::from("w0");
    assert_eq!(s.worker_trust(at, &w), Trust::Probe);
    s.record_start(at, &id(0, index), &w);
    assert_eq!(s.worker_trust(at, &w), Trust::Blocked(Time::NEVER), "a second probe was allowed");
    s.record_end(at, &id(0, index), &w, outcome);
}

fn pool_with_bad(n: usize, bad: usize) -> FaultTracker {
    let mut s = FaultTracker::new(1);
    for i in 0..n {
        let w = WorkerId::from(format!("w{i}").as_str());
        s.add_worker(&w, &"p".into(), &format!("r{}", i % 2).as_str().into());
    }
    for round in 0..12u32 {
        for i in (0..n).rev() {
            let w = WorkerId::from(format!("w{i}").as_str());
            let outcome = if i < bad { AttemptOutcome::Failed } else { AttemptOutcome::Done };
            s.record_end(Time::ZERO, &id(0, round * 100 + i as u32), &w, outcome);
        }
    }
    s
}

// A worker is repaired while it is quarantined. Probes must return it to service; while it is
// broken, the probes must become less frequent.
#[test]
fn probes_bring_a_mended_worker_back_and_grow_rare_for_a_broken_one() {
    let mut s = pool_with_bad(10, 1);
    let w = WorkerId::from("w0");
    assert_eq!(s.worker_trust(Time::ZERO, &w), Trust::Blocked(Time::from_millis(30_000)));
    let mut at = Time::from_millis(30_000);
    let mut waits = Vec::new();
    for i in 0..8 {
        probe(&mut s, at, 9000 + i, AttemptOutcome::Failed);
        let Trust::Blocked(next) = s.worker_trust(at, &w) else { panic!("still broken") };
        waits.push((next - at).as_secs());
        at = next;
    }
    assert_eq!(waits, [60, 120, 240, 480, 960, 1800, 1800, 1800]);
    probe(&mut s, at, 9100, AttemptOutcome::Stopped);
    (0..3).for_each(|i| probe(&mut s, at, 9200 + i, AttemptOutcome::Done));
    assert_eq!(s.worker_trust(at, &w), Trust::Full);
}

// A mount that half of the pool needs is gone. Quarantining all failing workers would leave too few
// for the work that still runs.
#[test]
fn no_more_than_a_fifth_of_a_pool_is_quarantined() {
    let s = pool_with_bad(20, 6);
    assert_eq!(s.quarantined_workers().len(), 4);
    assert!(s.spared_failures() > 0);
    assert_eq!(pool_with_bad(5, 1).quarantined_workers().len(), 1);
}

// A rack's switch fails, and its five workers fail everything they start before any of them is
// judged. The first job that starts there must not be blamed.
#[test]
fn failures_in_one_rack_alone_do_not_blame_a_job() {
    let mut s = pool_with_bad(10, 0);
    for i in [0, 2, 4, 6, 8] {
        let w = WorkerId::from(format!("w{i}").as_str());
        assert!(matches!(
            s.record_end(Time::ZERO, &id(1, 0), &w, AttemptOutcome::Failed),
            TaskVerdict::Retry(_)
        ));
    }
    let late = Time::from_millis(600_000);
    assert!(matches!(
        s.record_end(late, &id(1, 0), &"w8".into(), AttemptOutcome::Failed),
        TaskVerdict::Retry(_)
    ));
    let last = s.record_end(late, &id(1, 0), &"w1".into(), AttemptOutcome::Failed);
    assert_eq!(last, TaskVerdict::GiveUp(Fault::Task(6)));
}

// Four broken workers in quarantine each pass one probe by chance and then fail a good new job,
// which must not be blamed for them.
#[test]
fn failures_on_quarantined_workers_do_not_blame_a_job() {
    let mut s = pool_with_bad(20, 4);
    let at = Time::from_millis(30_000);
    for i in 0..8 {
        let w = WorkerId::from(format!("w{}", i % 4).as_str());
        s.record_start(at, &id(0, 5000), &w);
        s.record_end(at, &id(0, 5000), &w, AttemptOutcome::Done);
        let later = at + Duration::from_secs(600) * (i / 4);
        assert!(matches!(
            s.record_end(later, &id(1, 0), &w, AttemptOutcome::Failed),
            TaskVerdict::Retry(_)
        ));
    }
}

// Without a back-off, a task that fails within 100 ms is retried at once and takes starts from all
// others.
#[test]
fn the_wait_between_attempts_doubles_with_jitter_up_to_five_minutes() {
    let mut s = pool_with_bad(10, 0);
    for full in [2, 4, 8, 16, 32, 64, 128, 256, 300, 300, 300] {
        let TaskVerdict::Retry(at) =
            s.record_end(Time::ZERO, &id(1, 0), &"w1".into(), AttemptOutcome::Failed)
        else {
            panic!("a single worker does not prove a fault of the job");
        };
        let wait = at - Time::ZERO;
        assert!(wait * 2 >= Duration::from_secs(full) && wait <= Duration::from_secs(full));
    }
}

// A worker that was repaired at once passes its probes within a minute. The next failure must not
// quarantine it because of its old failures.
#[test]
fn a_returned_worker_is_judged_by_new_evidence() {
    let mut s = pool_with_bad(10, 1);
    let at = Time::from_millis(30_000);
    (0..3).for_each(|i| probe(&mut s, at, 9200 + i, AttemptOutcome::Done));
    s.record_end(at, &id(0, 9300), &"w0".into(), AttemptOutcome::Failed);
    assert_eq!(s.worker_trust(at, &"w0".into()), Trust::Full);
}
