//! Simulates slots that run the jobs in virtual time under one of the scheduling orders.

use {
    super::{CORE, Options, USERS, jobs::Work},
    dogwoodreach::{
        Time,
        decide::{
            order::{WaitingJob, WaitingTasks},
            quota::{QuotaGrant, Quotas, ReclaimMethod},
        },
        ids::{JobId, TaskId, TaskIndex, TeamId},
        units::Size,
    },
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, VecDeque},
    },
};

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Policy {
    First,
    Fair,
    Paper,
    /// Equal shares of the users; within a user, only the least slack counts.
    Slack,
    Own,
    Shares,
}

#[derive(Clone, Default)]
struct User {
    running: usize,
    /// Jobs with waiting tasks, in order of arrival.
    open: Vec<usize>,
    /// Jobs that have not ended.
    active: Vec<usize>,
    share: f64,
    in_order: bool,
    sizes: Moments,
    run_times: Moments,
}

/// Running mean and coefficient of variation, computed by Welford's algorithm.
#[derive(Clone, Copy, Default)]
struct Moments {
    n: f64,
    mean: f64,
    squares: f64,
}

impl Moments {
    fn add(&mut self, x: f64) {
        self.n += 1.0;
        let delta = x - self.mean;
        self.mean += delta / self.n;
        self.squares += delta * (x - self.mean);
    }

    fn variation(&self) -> f64 {
        if self.mean == 0.0 { 0.0 } else { (self.squares / self.n).sqrt() / self.mean }
    }
}

#[derive(Clone, Copy)]
struct Remaining {
    waiting: u32,
    running: usize,
    ended: u32,
}

pub(super) struct Sim<'a> {
    work: &'a [Work],
    policy: Policy,
    slots: usize,
    users: Vec<User>,
    remaining: Vec<Remaining>,
    queue: VecDeque<usize>,
    order: WaitingTasks,
    quotas: Quotas,
    ends: BinaryHeap<Reverse<(Time, usize, u32)>>,
    ended_at: Vec<Time>,
}

impl<'a> Sim<'a> {
    pub(super) fn new(o: &Options, work: &'a [Work], policy: Policy) -> Self {
        let mut quotas = Quotas::default();
        (0..USERS).for_each(|u| quotas.set_quota(&team(u), quota(o.slots), 100));
        let remaining = |w: &Work| Remaining { waiting: w.tasks, running: 0, ended: 0 };
        Sim {
            work,
            policy,
            slots: o.slots,
            users: vec![User::default(); USERS],
            remaining: work.iter().map(remaining).collect(),
            queue: VecDeque::new(),
            order: WaitingTasks::default(),
            quotas,
            ends: BinaryHeap::new(),
            ended_at: vec![Time::ZERO; work.len()],
        }
    }

    fn uses_order(&self) -> bool {
        matches!(self.policy, Policy::Own | Policy::Shares)
    }

    pub(super) fn play(mut self) -> Vec<Time> {
        let mut next = 0;
        loop {
            let arrival = self.work.get(next).map(|w| w.arrival);
            let end = self.ends.peek().map(|Reverse(e)| e.0);
            let Some(now) = [arrival, end].into_iter().flatten().min() else {
                return self.ended_at;
            };
            if arrival == Some(now) {
                self.arrive(now, next);
                next += 1;
            } else if let Some(Reverse((_, i, task))) = self.ends.pop() {
                self.end(now, i, task);
            }
            self.order.requeue_parked(now, &self.quotas);
            while self.ends.len() < self.slots {
                let Some((i, task)) = self.pick(now) else { break };
                self.start(now, i, task);
            }
        }
    }

    fn arrive(&mut self, now: Time, i: usize) {
        let w = &self.work[i];
        self.users[w.user].open.push(i);
        self.users[w.user].active.push(i);
        self.queue.push_back(i);
        if matches!(self.policy, Policy::Paper | Policy::Shares) {
            self.assign_shares(w.user);
        }
        if !self.uses_order() {
            return;
        }
        let new = WaitingJob {
            id: job(i),
            team: team(w.user),
            deadline: w.deadline,
            priority: 0,
            run_time: w.declared,
            width: self.slots.div_ceil(USERS) as u32,
            tasks: w.tasks,
            size: CORE,
            reclaim: ReclaimMethod::Checkpoint,
        };
        self.order.push(now, new, &mut self.quotas);
    }

    /// Sets the shares of all users by Eq. 7 and 8 of the paper, and the order within the user whose
    /// job arrived by its Algorithm 3.
    fn assign_shares(&mut self, arrived: usize) {
        let size = |i: &usize| f64::from(self.work[*i].tasks) * self.estimated_run(*i);
        let inverse = |u: &User| {
            let sum: f64 = u.active.iter().map(size).sum();
            if u.active.is_empty() { 0.0 } else { u.active.len() as f64 / sum }
        };
        let inverses: Vec<_> = self.users.iter().map(inverse).collect();
        let mut now = Moments::default();
        self.users[arrived].active.iter().map(size).for_each(|s| now.add(s));
        let total: f64 = inverses.iter().sum();
        for (u, inverse) in self.users.iter_mut().zip(inverses) {
            u.share = self.slots as f64 * inverse / total;
        }
        let user = &mut self.users[arrived];
        let (past, present) = (user.sizes.variation(), now.variation());
        user.in_order = past < 1.0 && present < 1.0;
        if (past < 1.0) != (present < 1.0) {
            user.sizes = Moments::default();
        }
        if self.policy == Policy::Shares {
            self.set_weights();
        }
    }

    fn set_weights(&mut self) {
        for (i, u) in self.users.iter().enumerate() {
            let weight = (u.share * 100.0 * USERS as f64 / self.slots as f64).max(1.0) as u32;
            self.quotas.set_quota(&team(i), quota(self.slots), weight);
        }
        self.order.recompute_ranks(&self.quotas);
    }

    /// A task's run time as estimated in the paper: from the job's ended tasks, otherwise from the
    /// user's ended tasks, otherwise as declared.
    fn estimated_run(&self, i: usize) -> f64 {
        let w = &self.work[i];
        let run_times = &self.users[w.user].run_times;
        match self.remaining[i].ended {
            0 if run_times.n == 0.0 => w.declared.as_secs_f64(),
            0 => run_times.mean,
            _ => w.run.as_secs_f64(),
        }
    }

    fn pick(&mut self, now: Time) -> Option<(usize, u32)> {
        let i = match self.policy {
            Policy::First => *self.queue.front()?,
            Policy::Fair | Policy::Slack => self.neediest_job(|u| -(u.running as f64))?,
            Policy::Paper => self.neediest_job(|u| u.share - u.running as f64)?,
            Policy::Own | Policy::Shares => {
                let pick = self.order.next(now, &self.quotas)?;
                let grant = self.order.take(now, &pick, &mut self.quotas);
                assert_ne!(grant, QuotaGrant::Wait, "a pick is granted");
                let i = pick.quota_request.task.job.as_str()[1..].parse().ok()?;
                return Some((i, pick.quota_request.task.index.0));
            }
        };
        Some((i, self.remaining[i].waiting))
    }

    /// A job of the user with the largest `deficit`; among this user's jobs in order of arrival or by
    /// equal shares.
    fn neediest_job(&self, deficit: impl Fn(&User) -> f64) -> Option<usize> {
        let open = self.users.iter().filter(|u| !u.open.is_empty());
        let user = open.max_by(|a, b| {
            deficit(a).total_cmp(&deficit(b)).then_with(|| b.open[0].cmp(&a.open[0]))
        })?;
        if self.policy == Policy::Slack {
            return user.open.iter().copied().min_by_key(|i| self.latest_start(*i));
        }
        if user.in_order {
            return user.open.first().copied();
        }
        user.open.iter().copied().min_by_key(|i| (self.remaining[*i].running, *i))
    }

    fn latest_start(&self, i: usize) -> Time {
        let (w, remaining) = (&self.work[i], &self.remaining[i]);
        let rounds = (w.tasks - remaining.ended).div_ceil(self.slots as u32 / 4);
        let work = w.declared * rounds;
        w.deadline - (work + work / 2)
    }

    fn start(&mut self, now: Time, i: usize, task: u32) {
        let w = &self.work[i];
        let remaining = &mut self.remaining[i];
        remaining.waiting -= 1;
        remaining.running += 1;
        self.users[w.user].running += 1;
        if remaining.waiting == 0 {
            self.users[w.user].open.retain(|j| *j != i);
            self.queue.retain(|j| *j != i);
        }
        self.ends.push(Reverse((now + w.run, i, task)));
    }

    fn end(&mut self, now: Time, i: usize, task: u32) {
        let w = &self.work[i];
        let (remaining, user) = (&mut self.remaining[i], &mut self.users[w.user]);
        remaining.running -= 1;
        remaining.ended += 1;
        user.running -= 1;
        user.run_times.add(w.run.as_secs_f64());
        if remaining.ended == w.tasks {
            user.active.retain(|j| *j != i);
            user.sizes.add(f64::from(w.tasks) * w.run.as_secs_f64());
            self.ended_at[i] = now;
        }
        if self.uses_order() {
            let id = TaskId { job: job(i), index: TaskIndex(task) };
            self.quotas.record_end(&id);
            self.order.record_end(now, &id, &mut self.quotas);
        }
    }
}

pub(super) fn team(user: usize) -> TeamId {
    format!("t{user:04}").as_str().into()
}

pub(super) fn job(index: usize) -> JobId {
    format!("j{index}").as_str().into()
}

/// An equal share of the slots for each user, rounded up.
fn quota(slots: usize) -> Size {
    let cores = slots.div_ceil(USERS) as u64;
    Size::new(cores, cores * 1024, 0)
}
