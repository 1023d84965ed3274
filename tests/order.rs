//! Whose task is next, against first come, first served.

use {
    dogwoodreach::{
        Time,
        decide::{
            order::{Job, Order},
            quota::{Back, Grant, Quotas},
        },
        ids::{JobId, TaskId},
        units::Size,
    },
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap, VecDeque},
        time::Duration,
    },
};

const MINUTE: Duration = Duration::from_secs(60);

fn minutes(n: u32) -> Time {
    Time::ZERO + MINUTE * n
}

fn job(team: &str, id: &str, tasks: u32, run: u32) -> Job {
    Job {
        id: id.into(),
        team: team.into(),
        deadline: Time::NEVER,
        priority: 0,
        run: MINUTE * run,
        width: 100,
        tasks,
        size: Size::new(1, 1024, 0),
        back: Back::Checkpoint,
    }
}

/// Slots that play jobs in virtual time, by `Order` or first come, first served.
struct Fake {
    order: Order,
    quotas: Quotas,
    first: Option<VecDeque<(TaskId, Duration)>>,
    runs: BTreeMap<JobId, Duration>,
    ends: BinaryHeap<Reverse<(Time, TaskId)>>,
    slots: usize,
    over: BTreeMap<JobId, Time>,
    starts: Vec<(Time, TaskId)>,
}

impl Fake {
    fn new(slots: usize, fair: bool, teams: &[(&str, u64, u32)]) -> Self {
        let mut quotas = Quotas::default();
        for (team, size, weight) in teams {
            quotas.set(&(*team).into(), Size::new(*size, size * 1024, 0), *weight);
        }
        Fake {
            order: Order::default(),
            quotas,
            first: (!fair).then(VecDeque::new),
            runs: BTreeMap::new(),
            ends: BinaryHeap::new(),
            slots,
            over: BTreeMap::new(),
            starts: Vec::new(),
        }
    }

    fn push(&mut self, now: Time, job: Job) {
        self.runs.insert(job.id.clone(), job.run);
        let Some(first) = &mut self.first else {
            return self.order.push(now, job, &mut self.quotas);
        };
        let task = |i| TaskId { job: job.id.clone(), index: dogwoodreach::ids::TaskIndex(i) };
        first.extend((0..job.tasks).map(|i| (task(i), job.run)));
    }

    fn next(&mut self, now: Time) -> Option<TaskId> {
        if let Some(first) = &mut self.first {
            return first.pop_front().map(|(task, _)| task);
        }
        let pick = self.order.next(now, &self.quotas)?;
        assert_ne!(self.order.take(now, &pick, &mut self.quotas), Grant::Wait);
        Some(pick.ask.task)
    }

    fn fill(&mut self, now: Time) {
        self.order.wake(&self.quotas);
        while self.ends.len() < self.slots {
            let Some(task) = self.next(now) else { break };
            self.starts.push((now, task.clone()));
            self.ends.push(Reverse((now + self.runs[&task.job], task)));
        }
    }

    /// Plays until `end`, when the next tasks to end are left running.
    fn play(&mut self, mut now: Time, end: Time) {
        self.fill(now);
        while let Some(Reverse((at, _))) = self.ends.peek() {
            if *at > end {
                return;
            }
            now = *at;
            while self.ends.peek().is_some_and(|Reverse((at, _))| *at == now) {
                let Some(Reverse((_, task))) = self.ends.pop() else { break };
                self.quotas.ended(&task);
                self.order.ended(&task, &self.quotas);
                self.over.insert(task.job, now);
            }
            self.fill(now);
        }
    }

    fn running(&self, team: &str) -> usize {
        let of =
            |Reverse((_, task)): &&Reverse<(Time, TaskId)>| task.job.as_str().starts_with(team);
        self.ends.iter().filter(of).count()
    }
}

// One team submits 5,000 tasks in the evening; a branch's batch of 200 comes a minute later and must be
// over by the ministry's hour. First come, first served, it is over after the 5,000, eight hours late.
#[test]
fn a_branchs_batch_is_over_before_the_ministrys_hour() {
    let hour = minutes(120);
    let play = |fair| {
        let mut f = Fake::new(100, fair, &[("big", 50, 1), ("branch", 50, 1)]);
        f.push(Time::ZERO, job("big", "big", 5000, 10));
        f.push(minutes(1), Job { deadline: hour, ..job("branch", "branch", 200, 10) });
        f.play(minutes(1), minutes(2000));
        f.over[&"branch".into()]
    };
    let (fair, first) = (play(true), play(false));
    println!(
        "batch over after {} min, first come {} min",
        fair.0 / 60_000_000,
        first.0 / 60_000_000
    );
    assert!(fair <= hour && first > hour);
}

// Within one team: a long batch with a far deadline came first, a short one has a near deadline, and
// both could be in time. By arrival the short one is late. A corrected run time moves a job forward.
#[test]
fn least_slack_goes_first_within_a_team_by_corrected_run_times() {
    let play = |fair, run| {
        let mut f = Fake::new(10, fair, &[("t", 10, 1)]);
        f.push(Time::ZERO, Job { deadline: minutes(230), width: 10, ..job("t", "far", 100, 10) });
        let near = Job { deadline: minutes(60), width: 10, ..job("t", "near", 20, 10) };
        f.push(Time::ZERO, near);
        f.order.correct(&"far".into(), MINUTE * run, &f.quotas);
        f.play(Time::ZERO, minutes(1000));
        f
    };
    let (fair, first) = (play(true, 10), play(false, 10));
    assert!(fair.over[&"near".into()] <= minutes(60) && first.over[&"near".into()] > minutes(60));
    assert!(fair.over[&"far".into()] <= minutes(230));
    assert_eq!(play(true, 20).starts[0].1.job, "far".into(), "twice the work has no slack");
}

// Weights 3 and 1, both with more work than fits. Fair shares must follow the weights, not how many
// tasks each submits; first come, first served gives all to the first.
#[test]
fn shares_follow_the_weights() {
    let play = |fair| {
        let mut f = Fake::new(100, fair, &[("a", 100, 1), ("b", 100, 3)]);
        f.push(Time::ZERO, job("a", "a", 5000, 10));
        f.push(Time::ZERO, job("b", "b", 1000, 7));
        f.play(Time::ZERO, minutes(60));
        (f.running("a"), f.running("b"))
    };
    let (fair, first) = (play(true), play(false));
    println!("running: fair {fair:?}, first come {first:?}");
    assert!((22..=28).contains(&fair.0) && fair.0 + fair.1 == 100);
    assert_eq!(first, (100, 0));
}

// A team holds much of the cell by its services, so its share is never the least while others have
// work all day, and its batch would wait for ever. By age it gets its part of the starts.
#[test]
fn a_team_with_a_great_share_is_not_starved() {
    let mut f = Fake::new(100, true, &[("held", 100, 1), ("busy", 100, 1)]);
    f.push(Time::ZERO, job("held", "held-services", 60, 5000));
    f.fill(Time::ZERO);
    f.push(Time::ZERO, job("held", "held-batch", 10, 1));
    f.push(Time::ZERO, job("busy", "busy", 40_000, 1));
    f.play(Time::ZERO, minutes(1000));
    let waited = f.over[&"held-batch".into()];
    println!("batch of a team with a great share over after {} min", waited.0 / 60_000_000);
    // All slots of the fake end in the same instants, one a minute, and each gives one start by age.
    assert!(waited <= minutes(240 + 12));
}

// In one team, dated jobs come without end and each is close to its deadline, or past it. An undated
// job must still run within its patience, and a higher priority one earlier.
#[test]
fn dated_work_does_not_starve_undated_work_of_its_team() {
    let mut f = Fake::new(1, true, &[("t", 1, 1)]);
    f.push(Time::ZERO, job("t", "undated", 1, 1));
    f.push(Time::ZERO, Job { priority: 3, ..job("t", "preferred", 1, 1) });
    for i in 0..300 {
        let now = minutes(i);
        f.push(now, Job { deadline: now + MINUTE, ..job("t", &format!("dated{i}"), 2, 1) });
        f.play(now, now);
    }
    f.play(minutes(300), minutes(1000));
    let (last, first) = (f.over[&"undated".into()], f.over[&"preferred".into()]);
    println!("undated {} min, preferred {} min", last.0 / 60_000_000, first.0 / 60_000_000);
    assert!(last > first && last <= minutes(2 * 240 + 2) && first <= minutes(2 * 60 + 2));
}

// A large task waits for its team's own quota; small ones of the same team come without end. If they
// took what frees, the large one would never run.
#[test]
fn small_tasks_do_not_take_the_room_that_a_large_one_waits_for() {
    let mut f = Fake::new(100, true, &[("t", 10, 1), ("idle", 4, 1)]);
    f.push(Time::ZERO, job("t", "running", 5, 5));
    f.push(Time::ZERO, job("t", "longer", 5, 8));
    f.fill(Time::ZERO);
    let large = Job { size: Size::new(8, 8192, 0), back: Back::Never, ..job("t", "large", 1, 5) };
    f.push(Time::ZERO, large);
    f.push(minutes(2), job("t", "small", 500, 4));
    f.play(minutes(2), minutes(60));
    let small = f.starts.iter().filter(|(at, task)| *at < minutes(8) && task.job == "small".into());
    assert_eq!(small.count(), 4, "the idle team's quota is borrowed meanwhile");
    assert!(
        f.starts.contains(&(minutes(8), TaskId { job: "large".into(), index: Default::default() }))
    );
}
