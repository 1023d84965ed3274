//! Attempts of tasks under random orders of events. The invariant is named as in the model.

mod bucket;

use {
    arbtest::arbitrary::{Result, Unstructured},
    bucket::{Kv, Member, runs},
    dogwoodreach::{
        Time,
        attempts::{CLOCK_DRIFT, LEASE, MAX_TRANSIT, Place, Refused},
        bucket::Order,
        ids::{Attempt, Epoch, TaskId, TaskIndex, WorkerId},
        messages::{EndItem, ProbeItem, TaskReport, TaskRow, TaskState},
        units::Size,
    },
    std::{cell::Cell, collections::BTreeSet, time::Duration},
};

const TASKS: u32 = 2;
const WORKERS: [&str; 2] = ["w0", "w1"];

struct Run {
    row: TaskRow,
    lease: Time,
}

/// Messages in transit to or from the rack's owner, or lost. They arrive in any order, some of them
/// twice.
#[derive(Clone)]
enum Message {
    Start(TaskRow, Time),
    Stop(TaskRow),
    End(EndItem),
    Report(Vec<ProbeItem>, Time, Vec<TaskReport>),
}

#[derive(Default)]
struct World {
    now: Time,
    kv: Kv,
    members: Vec<Member>,
    /// The end of the newest member's lease on the bucket.
    lease_end: Time,
    epoch: u64,
    messages: Vec<Message>,
    running: Vec<Run>,
    /// Attempts that the rack's owner will no longer start or renew.
    refused: Vec<(TaskId, Attempt)>,
    cut: Vec<(TaskId, Attempt)>,
    /// All names that attempts were given.
    names: BTreeSet<(TaskId, Attempt)>,
    /// The tasks that have been started.
    begun: BTreeSet<TaskId>,
    starts: u32,
    repeats: u32,
}

fn task(i: u32) -> TaskId {
    TaskId { job: "audit".into(), index: TaskIndex(i) }
}

fn place(i: u32, worker: usize) -> Place {
    let worker = WORKERS[worker].into();
    Place { task: task(i), worker, rack: "r".into(), epoch: Epoch(1), size: Size::new(1, 1, 0) }
}

fn end_item(row: &TaskRow, state: TaskState) -> EndItem {
    let worker = row.worker.clone().expect("it was placed");
    EndItem { attempt: row.attempt, state, task: row.task.clone(), used: None, worker }
}

fn end_notice(row: &TaskRow, state: TaskState) -> Message {
    Message::End(end_item(row, state))
}

fn probe_item(row: &TaskRow) -> ProbeItem {
    let worker = row.worker.clone().expect("it was placed");
    ProbeItem { attempt: row.attempt, task: row.task.clone(), worker }
}

impl World {
    fn newest(&mut self) -> &mut Member {
        self.members.last_mut().expect("there is a member")
    }

    fn carry(&mut self, order: Order) {
        match order {
            Order::Start { row, until } => self.messages.push(Message::Start(row, until)),
            Order::Stop { row } => self.messages.push(Message::Stop(row)),
            _ => {}
        }
    }

    fn drain(&mut self) {
        for m in 0..self.members.len() {
            for order in self.members[m].orders(self.now) {
                self.carry(order);
            }
        }
    }

    fn pass(&mut self, time: Duration) {
        self.now = self.now + time;
        // The worker's clock is as slow as the allowance permits.
        self.running.retain(|run| self.now < run.lease + CLOCK_DRIFT);
    }

    fn start(&mut self, row: TaskRow, until: Time) {
        if self.now > until || self.refused.contains(&(row.task.clone(), row.attempt)) {
            return;
        }
        let other = self.running.iter().find(|run| run.row.task == row.task);
        assert!(other.is_none(), "OneAttempt: {row:?} beside {:?}", other.map(|t| &t.row));
        self.starts += 1;
        self.repeats += u32::from(!self.begun.insert(row.task.clone()));
        self.messages.push(end_notice(&row, TaskState::Running));
        self.running.push(Run { row, lease: self.now + LEASE });
    }

    fn stop(&mut self, row: &TaskRow) {
        self.refused.push((row.task.clone(), row.attempt));
        self.running.retain(|run| run.row.task != row.task || run.row.attempt != row.attempt);
        self.messages.push(end_notice(row, TaskState::Checkpointed));
    }

    fn deliver(&mut self, mail: Message, m: usize) {
        let bucket = &mut self.members[m].bucket;
        match mail {
            Message::Start(row, until) => self.start(row, until),
            Message::Stop(row) => self.stop(&row),
            Message::End(item) => bucket.update_attempt(&item),
            Message::Report(asked, taken, tasks) => bucket.report(&asked, taken, &tasks),
        }
    }

    fn report(&mut self, worker: usize) {
        let worker = WorkerId::from(WORKERS[worker]);
        let at_worker = self.running.iter().filter(|run| run.row.worker.as_ref() == Some(&worker));
        let tasks = at_worker
            .map(|run| TaskReport {
                attempt: run.row.attempt,
                state: TaskState::Running,
                task: run.row.task.clone(),
                used: run.row.size,
            })
            .collect();
        let rows = self.members.iter().flat_map(|m| m.bucket.attempts().rows());
        let asked = rows.filter(|r| r.worker.as_ref() == Some(&worker)).map(probe_item).collect();
        self.messages.push(Message::Report(asked, self.now, tasks));
    }

    /// The rack's owner gives up an attempt: it stops renewing it and reports how long it may still
    /// run.
    fn give_up(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let i = u.int_in_range(0..=TASKS - 1)?;
        let now = self.now;
        let Some(row) = self.newest().bucket.attempts().get(&task(i)).cloned() else {
            return Ok(());
        };
        let same = |run: &&Run| run.row.task == row.task && run.row.attempt == row.attempt;
        let until = self.running.iter().find(same).map_or(now, |run| run.lease);
        self.cut.push((row.task.clone(), row.attempt));
        self.newest().bucket.cap_lease(&row.task, row.attempt, until);
        Ok(())
    }

    /// The bucket changes owner, either by a release, after which the old owner does nothing, or by
    /// a takeover after its lease, while it continues to work.
    fn move_owner(&mut self, release: bool) {
        if release {
            self.members.pop();
        } else if self.now < self.lease_end + CLOCK_DRIFT {
            return;
        }
        self.epoch += 1;
        self.members.push(Member::new(self.epoch));
        self.renew();
    }

    fn renew(&mut self) {
        let lease_end = self.now + Duration::from_secs(6);
        self.lease_end = lease_end;
        self.newest().bucket.renew(lease_end);
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let m = u.choose_index(self.members.len())?;
        match u.int_in_range(0..=23)? {
            0..=2 => {
                let (i, worker) = (u.int_in_range(0..=TASKS - 1)?, u.choose_index(2)?);
                let now = self.now;
                if let Ok(attempt) = self.members[m].bucket.place(place(i, worker), now) {
                    let new = self.names.insert((task(i), attempt));
                    assert!(new, "OneName: {} attempt {attempt}", task(i));
                }
            }
            3..=7 if !self.messages.is_empty() => {
                let i = u.choose_index(self.messages.len())?;
                let start = matches!(self.messages[i], Message::Start(..));
                let again = !start && u.ratio(1, 4)?;
                let mail = if again { self.messages[i].clone() } else { self.messages.remove(i) };
                self.deliver(mail, m);
            }
            8 if !self.messages.is_empty() => {
                let _lost = self.messages.remove(u.choose_index(self.messages.len())?);
            }
            9 if !self.running.is_empty() => {
                let run = self.running.remove(u.choose_index(self.running.len())?);
                let state = *u.choose(&[TaskState::Ended, TaskState::Failed])?;
                self.messages.push(end_notice(&run.row, state));
            }
            10 => self.report(u.choose_index(2)?),
            11 => self.members[m].bucket.stop(&task(u.int_in_range(0..=TASKS - 1)?)),
            12 if u.ratio(1, 4)? => self.give_up(u)?,
            13 => {
                let cut = &self.cut;
                for run in &mut self.running {
                    if !cut.contains(&(run.row.task.clone(), run.row.attempt)) {
                        run.lease = self.now + LEASE;
                    }
                }
            }
            14 if u.ratio(1, 2)? => self.move_owner(u.ratio(1, 3)?),
            15 => self.renew(),
            16 => self.kv.down = u.ratio(1, 4)?,
            17 if u.ratio(1, 20)? => self.pass(LEASE),
            17..=18 => self.pass(Duration::from_millis(u.int_in_range(0..=900)?)),
            _ => self.members[m].turn(u, &mut self.kv, self.now)?,
        }
        Ok(())
    }

    /// After all failures are over and each worker has reported twice, every task can be placed
    /// again.
    fn finish(&mut self) {
        self.kv.down = false;
        self.messages.clear();
        self.running.clear();
        for _ in 0..2 {
            let (kv, now) = (&mut self.kv, &mut self.now);
            self.members.last_mut().expect("there is a member").settle(kv, now);
            self.pass(MAX_TRANSIT * 2);
            for worker in 0..WORKERS.len() {
                self.report(worker);
            }
            for mail in std::mem::take(&mut self.messages) {
                self.deliver(mail, self.members.len() - 1);
            }
        }
        for i in 0..TASKS {
            let now = self.now;
            let placed = self.newest().bucket.place(place(i, 0), now);
            assert!(placed.is_ok(), "task {i} can never run again: {placed:?}");
        }
    }
}

// A task that pays a grant is placed. Its bucket's owner dies, pauses beyond its lease or hands
// over; the key-value store loses replies; reports lag and notices of ends are late. The next owner
// must not start the task while an attempt may be running, or the grant would be paid twice.
#[test]
fn one_attempt() {
    let seen = [const { Cell::new(0) }; 3];
    runs(2000, 2000, |u| {
        let mut world = World { members: vec![Member::new(1)], epoch: 1, ..World::default() };
        world.renew();
        while !u.is_empty() {
            world.step(u)?;
            world.drain();
        }
        world.finish();
        let news = [world.starts, world.repeats, world.epoch as u32 - 1];
        for (total, n) in seen.iter().zip(news) {
            total.set(total.get() + n);
        }
        Ok(())
    });
    for (what, n) in ["starts", "repeats", "owners"].iter().zip(&seen) {
        assert!(n.get() > 1000, "{} {what} in all runs", n.get());
    }
}

// An owner commits an intent and dies before or after it sends the start; the next owner can't tell
// which. It must not start the task while the start may be in transit, and may start it after a
// newer report shows that the task does not run.
#[test]
fn intent_of_a_dead_owner_may_be_running() {
    for sent in [true, false] {
        let (mut kv, mut now, mut old) = (Kv::default(), Time::ZERO, Member::new(1));
        old.bucket.renew(Time::NEVER);
        old.settle(&mut kv, &mut now);
        let first = old.bucket.place(place(0, 0), now).expect("no attempt runs");
        if sent {
            let orders = old.settle(&mut kv, &mut now);
            assert!(matches!(&orders[..], [Order::Start { .. }]), "{orders:?}");
        } else {
            assert_eq!(old.orders(now), []);
            old.effect_then_lose(&mut kv, now);
        }
        let mut next = Member::new(2);
        assert_eq!(next.bucket.place(place(0, 1), now), Err(Refused::Unowned));
        next.settle(&mut kv, &mut now);
        assert_eq!(next.bucket.place(place(0, 1), now), Err(Refused::Live));
        let asked =
            [probe_item(next.bucket.attempts().get(&task(0)).expect("it is in the record"))];
        next.bucket.report(&asked, Time::ZERO, &[]);
        assert_eq!(next.bucket.place(place(0, 1), now), Err(Refused::Live));
        next.bucket.report(&asked, now + MAX_TRANSIT + CLOCK_DRIFT, &[]);
        let second = next.bucket.place(place(0, 1), now).expect("no attempt runs");
        assert!(second > first, "{first}, then {second}");
    }
}

// An owner's write of an intent takes effect, and the process is paused before it reads the reply.
// Its lease ends; another member takes over, sees that the worker runs nothing, and starts the task
// elsewhere. When the first owner resumes and reads the successful reply, it must not send the
// start.
#[test]
fn paused_owner_sends_no_start() {
    let (mut kv, mut now, mut old) = (Kv::default(), Time::ZERO, Member::new(1));
    old.settle(&mut kv, &mut now);
    let lease_end = now + MAX_TRANSIT * 2;
    old.bucket.renew(lease_end);
    assert!(old.bucket.place(place(0, 0), now).is_ok());
    assert_eq!(old.orders(now), []);
    old.effect(&mut kv);
    now = lease_end + CLOCK_DRIFT;
    old.deliver(now);
    assert_eq!(old.orders(now), [], "a start went out without a lease");
}

// An owner numbers an attempt and its write of the intent does not take effect; the bucket passes
// on. Its next owner gave the number again, so that whatever others still knew of the first attempt,
// such as a reservation or a record of its end, counted for the second.
#[test]
fn a_number_that_was_not_committed_is_not_given_again() {
    let (mut kv, mut now, mut old) = (Kv::default(), Time::ZERO, Member::new(1));
    old.bucket.renew(Time::NEVER);
    old.settle(&mut kv, &mut now);
    let first = old.bucket.place(place(0, 0), now).expect("no attempt runs");
    let mut next = Member::new(2);
    next.settle(&mut kv, &mut now);
    assert!(next.bucket.attempts().get(&task(0)).is_none(), "the intent was committed");
    let second = next.bucket.place(place(0, 1), now).expect("no attempt runs");
    assert!(second > first, "{first}, then {second}");
}

// A batch is removed from the configuration after it has ended, and listed again. Its tasks were
// numbered from 1 again, and a late message about the earlier run of a task ended the later one,
// which was started once more or never ran.
#[test]
fn a_number_is_not_given_again_after_its_task_was_forgotten() {
    let (mut kv, mut now) = (Kv::default(), Time::ZERO);
    let mut given = vec![];
    for epoch in 1..=3 {
        let mut member = Member::new(epoch);
        member.bucket.renew(Time::NEVER);
        for _ in 0..2 {
            member.settle(&mut kv, &mut now);
            given.push(member.bucket.place(place(0, 0), now).expect("no attempt runs"));
            member.settle(&mut kv, &mut now);
            member.bucket.stop(&task(0));
            let row = member.bucket.attempts().get(&task(0)).cloned().expect("it was placed");
            member.bucket.update_attempt(&end_item(&row, TaskState::Checkpointed));
            assert_eq!(member.bucket.remove_task(&task(0)), Ok(()));
            member.settle(&mut kv, &mut now);
        }
    }
    assert!(given.is_sorted_by(|a, b| a < b), "{given:?}");
}

// Room is requested for a task while others of its batch end. If that changed the task's number, the
// room would be returned and the task would wait for the next scan, again and again in a bucket of
// short tasks.
#[test]
fn a_number_stays_while_other_tasks_end() {
    let (mut kv, mut now, mut member) = (Kv::default(), Time::ZERO, Member::new(1));
    member.bucket.renew(Time::NEVER);
    member.settle(&mut kv, &mut now);
    member.bucket.add_job(&task(0).job, 0);
    member.bucket.place(place(0, 0), now).expect("no attempt runs");
    member.settle(&mut kv, &mut now);
    let asked = member.bucket.attempts().next_number(&task(1));
    let row = member.bucket.attempts().get(&task(0)).cloned().expect("it was placed");
    member.bucket.update_attempt(&end_item(&row, TaskState::Ended));
    member.bucket.mark_ended(&task(0));
    assert!(member.bucket.attempts().get(&task(0)).is_none(), "its row is removed");
    assert_eq!(member.bucket.place(place(1, 0), now), Ok(asked));
    // Once the job is removed, a task of it that is listed again gets a new number.
    member.bucket.remove_job(&task(0).job);
    assert!(member.bucket.attempts().next_number(&task(0)) > row.attempt);
}
