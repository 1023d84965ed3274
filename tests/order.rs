//! Order of waiting tasks, compared with first come, first served; and preemption by urgent work.

use {
    dogwoodreach::{
        Time,
        decide::{
            order::{WaitingJob, WaitingTasks},
            quota::{QuotaGrant, Quotas, ReclaimMethod},
            urgent::{self, CandidateWorker, RunningTask, TaskKind, UrgentAllowances},
        },
        ids::{JobId, TaskId, TaskIndex},
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

fn job(team: &str, id: &str, tasks: u32, run: u32) -> WaitingJob {
    WaitingJob {
        id: id.into(),
        team: team.into(),
        deadline: Time::NEVER,
        priority: 0,
        run_time: MINUTE * run,
        width: 100,
        tasks,
        size: Size::new(1, 1024, 0),
        reclaim: ReclaimMethod::Checkpoint,
    }
}

/// Simulates slots that run jobs in virtual time, by `WaitingTasks` or first come, first served.
struct Fake {
    order: WaitingTasks,
    quotas: Quotas,
    first: Option<VecDeque<(TaskId, Duration)>>,
    runs: BTreeMap<JobId, Duration>,
    ends: BinaryHeap<Reverse<(Time, TaskId)>>,
    slots: usize,
    finished_at: BTreeMap<JobId, Time>,
    starts: Vec<(Time, TaskId)>,
}

impl Fake {
    fn new(slots: usize, fair: bool, teams: &[(&str, u64, u32)]) -> Self {
        let mut quotas = Quotas::default();
        for (team, size, weight) in teams {
            quotas.set_quota(&(*team).into(), Size::new(*size, size * 1024, 0), *weight);
        }
        Fake {
            order: WaitingTasks::default(),
            quotas,
            first: (!fair).then(VecDeque::new),
            runs: BTreeMap::new(),
            ends: BinaryHeap::new(),
            slots,
            finished_at: BTreeMap::new(),
            starts: Vec::new(),
        }
    }

    fn push(&mut self, now: Time, job: WaitingJob) {
        self.runs.insert(job.id.clone(), job.run_time);
        let Some(first) = &mut self.first else {
            return self.order.push(now, job, &mut self.quotas);
        };
        let task = |i| TaskId { job: job.id.clone(), index: TaskIndex(i) };
        first.extend((0..job.tasks).map(|i| (task(i), job.run_time)));
    }

    fn next(&mut self, now: Time) -> Option<TaskId> {
        if let Some(first) = &mut self.first {
            return first.pop_front().map(|(task, _)| task);
        }
        let pick = self.order.next(now, &self.quotas)?;
        assert_ne!(self.order.take(now, &pick, &mut self.quotas), QuotaGrant::Wait);
        Some(pick.quota_request.task)
    }

    fn fill(&mut self, now: Time) {
        self.order.requeue_parked(now, &self.quotas);
        while self.ends.len() < self.slots {
            let Some(task) = self.next(now) else { break };
            self.starts.push((now, task.clone()));
            self.ends.push(Reverse((now + self.runs[&task.job], task)));
        }
    }

    /// Plays until `end` and leaves the tasks running that end later.
    fn play(&mut self, mut now: Time, end: Time) {
        self.fill(now);
        while let Some(Reverse((at, _))) = self.ends.peek() {
            if *at > end {
                return;
            }
            now = *at;
            while self.ends.peek().is_some_and(|Reverse((at, _))| *at == now) {
                let Some(Reverse((_, task))) = self.ends.pop() else { break };
                self.quotas.record_end(&task);
                self.order.record_end(now, &task, &mut self.quotas);
                self.finished_at.insert(task.job, now);
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

// One team submits 5,000 tasks in the evening. A branch's batch of 200 arrives a minute later and
// must end before a fixed hour. First come, first served, it ends after the 5,000, eight hours
// late.
#[test]
fn a_branchs_batch_is_over_before_the_ministrys_hour() {
    let hour = minutes(120);
    let play = |fair| {
        let mut f = Fake::new(100, fair, &[("big", 50, 1), ("branch", 50, 1)]);
        f.push(Time::ZERO, job("big", "big", 5000, 10));
        f.push(minutes(1), WaitingJob { deadline: hour, ..job("branch", "branch", 200, 10) });
        f.play(minutes(1), minutes(2000));
        f.finished_at[&"branch".into()]
    };
    let (fair, first) = (play(true), play(false));
    println!(
        "batch over after {} min, first come {} min",
        fair.0 / 60_000_000,
        first.0 / 60_000_000
    );
    assert!(fair <= hour && first > hour);
}

// In one team, a long batch with a far deadline arrived first, and a short batch has a near
// deadline; both could be in time. In order of arrival the short one is late. A corrected run time
// moves a job forward.
#[test]
fn least_slack_goes_first_within_a_team_by_corrected_run_times() {
    let play = |fair, run| {
        let mut f = Fake::new(10, fair, &[("t", 10, 1)]);
        f.push(
            Time::ZERO,
            WaitingJob { deadline: minutes(230), width: 10, ..job("t", "far", 100, 10) },
        );
        let near = WaitingJob { deadline: minutes(60), width: 10, ..job("t", "near", 20, 10) };
        f.push(Time::ZERO, near);
        f.order.set_run_time(Time::ZERO, &"far".into(), MINUTE * run, &f.quotas);
        f.play(Time::ZERO, minutes(1000));
        f
    };
    let (fair, first) = (play(true, 10), play(false, 10));
    assert!(
        fair.finished_at[&"near".into()] <= minutes(60)
            && first.finished_at[&"near".into()] > minutes(60)
    );
    assert!(fair.finished_at[&"far".into()] <= minutes(230));
    assert_eq!(play(true, 20).starts[0].1.job, "far".into(), "with twice the work it goes first");
}

// A batch waits while another team's work runs, until by its estimate it can no longer be in time.
// By slack it would still go first, and make the batch behind it late as well.
#[test]
fn a_batch_that_has_lost_its_deadline_does_not_make_the_next_one_late() {
    let play = |fair| {
        let mut f = Fake::new(10, fair, &[("other", 10, 1), ("t", 10, 1)]);
        f.push(Time::ZERO, job("other", "other", 10, 30));
        f.fill(Time::ZERO);
        f.push(
            Time::ZERO,
            WaitingJob { deadline: minutes(60), width: 10, ..job("t", "lost", 40, 10) },
        );
        f.push(
            Time::ZERO,
            WaitingJob { deadline: minutes(100), width: 10, ..job("t", "near", 40, 10) },
        );
        f.play(Time::ZERO, minutes(1000));
        (f.finished_at[&"lost".into()], f.finished_at[&"near".into()])
    };
    assert_eq!((play(true), play(false).1), ((minutes(110), minutes(70)), minutes(110)));
}

// Two teams with weights 3 and 1 both have more work than fits. The shares must follow the weights,
// not the number of submitted tasks; first come, first served gives all slots to the first team.
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

// A team's services occupy much of the cell, so its share is never the least while others have work
// all day, and its batch would wait for ever. The starts by age must serve it.
#[test]
fn a_team_with_a_great_share_is_not_starved() {
    let mut f = Fake::new(100, true, &[("held", 100, 1), ("busy", 100, 1)]);
    f.push(Time::ZERO, job("held", "held-services", 60, 5000));
    f.fill(Time::ZERO);
    f.push(Time::ZERO, job("held", "held-batch", 10, 1));
    f.push(Time::ZERO, job("busy", "busy", 40_000, 1));
    f.play(Time::ZERO, minutes(1000));
    let waited = f.finished_at[&"held-batch".into()];
    println!("batch of a team with a great share over after {} min", waited.0 / 60_000_000);
    // All simulated tasks end at the same instants, one per minute, and each instant gives one
    // start by age.
    assert!(waited <= minutes(240 + 12));
}

// In one team, jobs with deadlines arrive without end, each close to its deadline or past it. A job
// without deadline must still run within its patience, and one of higher priority earlier.
#[test]
fn dated_work_does_not_starve_undated_work_of_its_team() {
    let mut f = Fake::new(1, true, &[("t", 1, 1)]);
    f.push(Time::ZERO, job("t", "undated", 1, 1));
    f.push(Time::ZERO, WaitingJob { priority: 3, ..job("t", "preferred", 1, 1) });
    for i in 0..300 {
        let now = minutes(i);
        f.push(now, WaitingJob { deadline: now + MINUTE, ..job("t", &format!("dated{i}"), 2, 1) });
        f.play(now, now);
    }
    f.play(minutes(300), minutes(1000));
    let (last, first) = (f.finished_at[&"undated".into()], f.finished_at[&"preferred".into()]);
    println!("undated {} min, preferred {} min", last.0 / 60_000_000, first.0 / 60_000_000);
    assert!(last > first && last <= minutes(2 * 240 + 2) && first <= minutes(2 * 60 + 2));
}

// A large task waits for its team's own quota, and small ones of the same team arrive without end.
// If they took the quota as it is freed, the large one would never run.
#[test]
fn small_tasks_do_not_take_the_room_that_a_large_one_waits_for() {
    let mut f = Fake::new(100, true, &[("t", 10, 1), ("idle", 4, 1)]);
    f.push(Time::ZERO, job("t", "running", 5, 5));
    f.push(Time::ZERO, job("t", "longer", 5, 8));
    f.fill(Time::ZERO);
    let large = WaitingJob {
        size: Size::new(8, 8192, 0),
        reclaim: ReclaimMethod::Never,
        ..job("t", "large", 1, 5)
    };
    f.push(Time::ZERO, large);
    f.push(minutes(2), job("t", "small", 500, 4));
    f.play(minutes(2), minutes(60));
    let small = f.starts.iter().filter(|(at, task)| *at < minutes(8) && task.job == "small".into());
    assert_eq!(small.count(), 4, "the idle team's quota is borrowed meanwhile");
    assert!(
        f.starts.contains(&(minutes(8), TaskId { job: "large".into(), index: Default::default() }))
    );
}

/// Returns 16 full workers of 16 cores. Each runs a service, a gang member, a long batch task that
/// can't be checkpointed, and two tasks that can. On every second worker one of the two uses
/// borrowed quota.
fn full_cell(now: Time) -> Vec<CandidateWorker> {
    let mut rng = fastrand::Rng::with_seed(9);
    let task = |w: u32, i| TaskId { job: format!("w{w}").as_str().into(), index: TaskIndex(i) };
    let mut worker = |w: u32| {
        let mut running = |i, kind, borrowed, cores| RunningTask {
            task: task(w, i),
            size: Size::new(cores, cores * 4096, 0),
            kind,
            is_borrowed: borrowed,
            last_checkpoint: now - Duration::from_secs(rng.u64(60..7200)),
            checkpoint_time: Duration::from_millis(if w == 0 { 900 } else { 300 }),
        };
        let running = vec![
            running(0, TaskKind::Service, false, 4),
            running(1, TaskKind::Gang, false, 4),
            running(2, TaskKind::Plain, true, 2),
            running(3, TaskKind::Checkpoint, w.is_multiple_of(2), 4),
            running(4, TaskKind::Checkpoint, false, 2),
        ];
        CandidateWorker { worker: format!("w{w}").as_str().into(), free: Size::default(), running }
    };
    (0..16).map(&mut worker).collect()
}

// All workers are full when an urgent task arrives for a customer who waits. Without preemption it
// would wait minutes to hours for the end of a batch task. If the first running tasks were chosen
// as victims, a service or a gang member would be stopped. The victims must be tasks that can be
// checkpointed in time and that lose least, with borrowed room first.
#[test]
fn urgent_work_starts_at_once_at_the_least_cost() {
    let now = minutes(600);
    let places = full_cell(now);
    let need = Size::new(4, 8192, 0);
    let plan = urgent::plan_preemption(now, need, &places).expect("there are victims");
    let place = places.iter().find(|p| p.worker == plan.worker).unwrap();
    let victim = place.running.iter().find(|r| r.task == plan.victims[0]).unwrap();
    assert_eq!((plan.victims.len(), plan.cost.own_quota), (1, 0));
    assert!(victim.kind == TaskKind::Checkpoint && victim.is_borrowed);
    let lost =
        |r: &RunningTask| now.since(r.last_checkpoint).as_secs() * r.size.cores.0 / 1000 + 30;
    let fit = |r: &&RunningTask| {
        r.kind == TaskKind::Checkpoint && r.is_borrowed && r.checkpoint_time.as_millis() < 700
    };
    let all: Vec<_> = places.iter().flat_map(|p| p.running.iter().filter(fit).map(lost)).collect();
    assert_eq!(plan.cost.lost_work, *all.iter().min().unwrap());
    println!("lost {} core-seconds, first found {}", plan.cost.lost_work, all[0]);
    assert!(plan.cost.lost_work < all[0], "first found");
    assert_eq!(urgent::plan_preemption(now, need, &places[..1]), None, "w0 checkpoints too slowly");
    assert_eq!(
        urgent::plan_preemption(now, Size::new(8, 8192, 0), &places),
        None,
        "services and gangs stay"
    );
    let both =
        urgent::plan_preemption(now, Size::new(6, 8192, 0), &places).expect("two victims suffice");
    assert_eq!((both.victims.len(), both.cost.own_quota), (2, 1));
}

// A small victim is chosen, and then a large one is needed too that makes enough room alone. The
// small one must not be stopped without need, and none must be stopped if there is room.
#[test]
fn no_victim_is_stopped_without_need() {
    let now = minutes(600);
    let mut places = full_cell(now).split_off(15);
    places[0].running[4].is_borrowed = true;
    let plan = urgent::plan_preemption(now, Size::new(4, 8192, 0), &places).unwrap();
    assert_eq!(plan.victims, [places[0].running[3].task.clone()]);
    (places[0].running[3].is_borrowed, places[0].running[4].last_checkpoint) = (false, Time::ZERO);
    let plan = urgent::plan_preemption(now, Size::new(2, 8192, 0), &places).unwrap();
    assert_eq!(plan.victims, [places[0].running[4].task.clone()], "borrowed, though more is lost");
    places[0].free = Size::new(4, 8192, 0);
    assert!(
        urgent::plan_preemption(now, Size::new(4, 8192, 0), &places).unwrap().victims.is_empty()
    );
}

// A team marks its nightly batch of 5,000 tasks as urgent. Without an allowance it would preempt
// every other team.
#[test]
fn a_team_that_marks_all_its_work_urgent_preempts_little() {
    let (mut a, team) = (UrgentAllowances::default(), "t".into());
    let (size, quota) = (Size::new(1, 1024, 0), Size::new(500, 512_000, 0));
    let mut started = [0; 3];
    for second in 0..300 {
        let now = Time::from_millis(second * 1000);
        let n = (0..5000).filter(|_| a.admit_start(now, &team, size, quota)).count();
        started[(second / 100) as usize] += n;
    }
    println!("urgent starts in each 100 s: {started:?}");
    assert_eq!(started, [39, 11, 0], "a burst, then one in 5 s, at most a tenth of the quota");
    a.record_end(&team, size);
    assert!(a.admit_start(minutes(10), &team, size, quota));
    assert!(!a.admit_start(minutes(10), &team, Size::new(80, 0, 0), quota));
}
