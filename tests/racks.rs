//! The racks of a member with workers that are delayed, paused, cut off, or lose answers.

#[path = "racks/bench.rs"]
mod bench;
#[path = "racks/cost.rs"]
mod cost;
#[path = "racks/fake.rs"]
mod fake;
#[path = "racks/marks.rs"]
mod marks;
#[path = "racks/owner.rs"]
mod owner;
#[path = "racks/random.rs"]
mod random;
#[path = "racks/reused.rs"]
mod reused;

use {
    bench::Bench,
    dogwoodreach::{
        Time,
        attempts::LEASE,
        event::Order,
        http::Failure,
        ids::{Attempt, Epoch},
        messages::{
            ProbeAsk, ProbeItem, ProbeRow, Report, ReserveRow, StartReply, TaskReport, TaskState,
            VmState, WorkerAsk, WorkerReply,
        },
        racks::Racks,
        units::Size,
    },
    fake::{BUCKET, rack, reserve_ask, start, stop, task, vm, worker},
    std::{collections::BTreeMap, time::Duration},
};

/// A test bench with one worker on which task 0 runs.
fn running() -> (Bench, ReserveRow) {
    let mut b = Bench::new(1);
    b.run(1000);
    let row = place(&mut b, 0, 0);
    b.run(1000);
    assert!(runs(&mut b, 0));
    (b, row)
}

fn place(b: &mut Bench, member: usize, n: u32) -> ReserveRow {
    let now = b.now;
    let row = b.members[member].reserve(&reserve_ask(n, 1, 1), now).rows.pop().expect("room");
    let reply = b.members[member].start(start(&row, 1), now).expect("the rack's owner");
    assert!(reply.refused.is_empty());
    row
}

fn runs(b: &mut Bench, n: u32) -> bool {
    b.fake(0).runs.contains_key(&(task(n), Attempt(1)))
}

fn told(racks: &mut Racks) -> Vec<TaskState> {
    racks
        .pending_reports()
        .remove(&BUCKET)
        .unwrap_or_default()
        .into_iter()
        .map(|i| i.state)
        .collect()
}

fn probe(b: &mut Bench, member: usize, row: &ReserveRow) -> ProbeRow {
    let (task, worker) = (row.task.clone(), row.worker.clone());
    let items = vec![ProbeItem { attempt: row.attempt, task, worker }];
    let ask = ProbeAsk { bucket: BUCKET, rack: rack(), items };
    let now = b.now;
    b.members[member].probe(&ask, now).expect("the rack's owner").rows.remove(0)
}

fn open(b: &mut Bench) -> bool {
    let now = b.now;
    !b.members[0].reserve(&reserve_ask(99, 1, 1), now).rows.is_empty()
}

#[test]
fn a_worker_that_was_cut_off_comes_back() {
    // A switch fails for 40 s. The task behind it is reported as lost, which must be true by then.
    // The worker must get work again afterwards, so an unresponsive worker must still be polled.
    let (mut b, _) = running();
    b.fake(0).cut_off = true;
    let lost = |b: &mut Bench| told(&mut b.members[0]).contains(&TaskState::Lost);
    for _ in 0..400 {
        b.run(100);
        assert!(!(lost(&mut b) && runs(&mut b, 0)), "told as lost and running");
    }
    assert!(lost(&mut b));
    assert!(!open(&mut b));
    b.fake(0).cut_off = false;
    b.run(2000);
    assert!(open(&mut b));
}

#[test]
fn a_lapse_covers_renewals_whose_answers_were_lost() {
    // A worker's answers are lost, and its owner reports when its leases have lapsed. A renewal takes
    // up to a second to arrive and extends the lease from then: a lapse counted from the time of
    // sending was reported while the task still ran.
    let (mut b, row) = running();
    b.order_delay = Duration::from_millis(900);
    b.run(12_000);
    b.fake(0).loses_answers = true;
    while probe(&mut b, 0, &row).cut.is_none() {
        b.run(20);
        assert!(b.now < Time::from_millis(120_000));
    }
    assert!(!runs(&mut b, 0));
}

#[test]
fn a_lapse_is_not_announced_by_an_owner_that_may_die_before() {
    // A rack's owner finds a worker unresponsive, announces when its leases lapse, and dies. The
    // worker recovers, the next owner renews its leases, and the bucket's owner starts the task
    // elsewhere at the announced time.
    let (mut b, row) = running();
    b.fake(0).loses_answers = true;
    let mut announced = Time::NEVER;
    for _ in 0..150 {
        b.run(100);
        if let Some(cut) = probe(&mut b, 0, &row).cut {
            announced = announced.min(b.now + Duration::from_millis(cut));
        }
    }
    b.fake(0).loses_answers = false;
    b.members[0] = Racks::new(3);
    let now = b.now;
    b.members[1].gained(&rack(), Epoch(2), now);
    for _ in 0..200 {
        b.run(100);
        probe(&mut b, 1, &row);
        assert!(b.now < announced || !runs(&mut b, 0));
    }
}

#[test]
fn a_lapse_is_not_announced_for_a_worker_that_the_list_shows_late() {
    // A member starts, takes over a rack, and gets the list of its workers later. When probed in
    // between, it treated the worker as gone, reported its leases as lapsed, and then renewed them.
    let (mut b, row) = running();
    b.members[1] = Racks::new(3);
    let now = b.now;
    b.members[0].lost(&rack(), Epoch(1));
    b.members[1].gained(&rack(), Epoch(2), now);
    let cut = probe(&mut b, 1, &row).cut;
    b.list_vms();
    b.run(25_000);
    assert!(cut.is_none() || !runs(&mut b, 0));
}

#[test]
fn a_worker_that_died_with_its_owner_gives_its_tasks_back() {
    // A member and a worker fail together. The next owner never reaches the worker, which stays in
    // the platform's list. Its tasks were not restarted while it stayed there.
    let (mut b, row) = running();
    b.fake(0).cut_off = true;
    let now = b.now;
    b.members[0] = Racks::new(3);
    b.members[1].gained(&rack(), Epoch(2), now);
    for _ in 0..400 {
        b.run(100);
        assert!(probe(&mut b, 1, &row).cut.is_none() || !runs(&mut b, 0));
    }
    assert_eq!(probe(&mut b, 1, &row).cut, Some(0));
}

#[test]
fn a_late_handover_ends_nothing() {
    // The former owner's handover arrives five seconds after the new owner got the worker's report.
    // It was treated as a newer report without tasks, which freed the room of a running task.
    let (mut b, row) = running();
    let now = b.now;
    let over = b.members[0].lost(&rack(), Epoch(1));
    b.members[1].gained(&rack(), Epoch(2), now);
    b.run(6000);
    let now = b.now;
    assert!(b.members[1].handover(&over, now));
    assert!(
        !b.members[1]
            .reserve(&reserve_ask(1, 1, 16), now)
            .rows
            .iter()
            .any(|r| r.worker == row.worker)
    );
}

#[test]
fn a_leaving_worker_gets_no_start() {
    // A worker begins to leave between the reservation and the start, or while a start waits for
    // orders in flight. Both starts were sent seconds after the list showed the worker as leaving.
    let mut b = Bench::new(1);
    b.run(1000);
    let now = b.now;
    place(&mut b, 0, 0);
    let row = b.members[0].reserve(&reserve_ask(1, 1, 1), now).rows.pop().unwrap();
    b.vms.get_mut(&worker(0)).unwrap().state = VmState::Leaving;
    b.list_vms();
    assert_eq!(b.members[0].start(start(&row, 1), now).unwrap().refused.len(), 1);
    b.run(2000);
    assert!(b.fake(0).starts.is_empty());
    assert_eq!(told(&mut b.members[0]), [TaskState::Lost]);
}

#[test]
fn a_start_of_more_than_is_reserved_puts_no_worker_over_its_size() {
    // The estimate of a task grows between the reservation and the attempt.
    let mut b = Bench::new(1);
    b.run(1000);
    let now = b.now;
    let mut racks = |cores| b.members[0].reserve(&reserve_ask(0, 1, cores), now).rows.pop();
    let row = racks(10).expect("room");
    assert!(racks(6).is_some());
    let other = b.members[0].reserve(&reserve_ask(1, 1, 8), now).rows.pop();
    let refused = |reply: StartReply| reply.refused.len();
    let first = b.members[0].start(start(&row, 10), now).expect("the rack's owner");
    // Only one of the two fits: a worker has fewer than 10 + 8 cores.
    let second = other.map_or(1, |row| {
        refused(b.members[0].start(start(&row, 8), now).expect("the rack's owner"))
    });
    assert_eq!(refused(first) + second, 1);
    b.run(2000);
    let used: Size = b.fake(0).runs.values().map(|r| r.size).sum();
    assert!(used.fits(&vm(0).size), "{used:?}");
}

#[test]
fn a_start_of_more_than_is_reserved_goes_where_there_is_room() {
    let mut b = Bench::new(1);
    b.run(1000);
    let now = b.now;
    let row = b.members[0].reserve(&reserve_ask(0, 1, 6), now).rows.pop().expect("room");
    let reply = b.members[0].start(start(&row, 10), now).expect("the rack's owner");
    assert!(reply.refused.is_empty());
    let left = b.members[0].reserve(&reserve_ask(1, 1, 7), now).rows;
    assert!(left.is_empty(), "what was started is counted as it is");
}

#[test]
fn a_stop_does_not_overtake_its_start() {
    // A task is stopped before its start was sent. Both orders were sent together; the worker
    // confirmed that nothing ran and then started the task, whose room was given to others.
    let mut b = Bench::new(1);
    b.run(1000);
    let row = place(&mut b, 0, 0);
    let now = b.now;
    b.members[0].start(stop(&row), now);
    b.run(2000);
    assert!(!runs(&mut b, 0));
}

#[test]
fn a_stop_waits_until_its_start_is_too_late() {
    // A start is unanswered and may still be in flight. The stop overtakes it and is confirmed.
    let (mut b, row, ask) = sent();
    let now = b.now;
    b.members[0].ordered(&row.worker, &ask, now, Err(Failure::Timeout), now);
    b.members[0].start(stop(&row), now);
    let later = now + Duration::from_millis(300);
    let ask = orders(&mut b.members[0], later);
    assert_eq!((ask.start.len(), ask.stop.len()), (0, 0));
    b.members[0].ordered(&row.worker, &ask, later, Err(Failure::Timeout), later);
    let ask = orders(&mut b.members[0], now + Duration::from_secs(2));
    assert_eq!((ask.start.len(), ask.stop.len()), (0, 1));
}

/// A test bench with one worker, to which the start of task 0 was just sent.
fn sent() -> (Bench, ReserveRow, WorkerAsk) {
    let mut b = Bench::new(1);
    b.run(1000);
    let row = place(&mut b, 0, 0);
    let now = b.now;
    let ask = orders(&mut b.members[0], now);
    assert_eq!(ask.start.len(), 1);
    (b, row, ask)
}

/// The orders that are sent now; empty if there are none.
fn orders(racks: &mut Racks, now: Time) -> WorkerAsk {
    let mut out = vec![];
    racks.tick(now, true, &mut out);
    let found = out.into_iter().find_map(|o| match o {
        Order::Worker(_, _, ask, _) => Some(*ask),
        _ => None,
    });
    let (epoch, start, stop, renew) = (Epoch(1), vec![], vec![], vec![]);
    found.unwrap_or(WorkerAsk { epoch, lease: 0, renew, start, stop, until: 0 })
}

#[test]
fn a_refused_repeat_ends_nothing() {
    // A start arrives and its answer is lost. The repeated start is too late and is refused; the
    // task runs nevertheless, and was reported as lost.
    let (mut b, row, ask) = sent();
    let now = b.now;
    b.members[0].ordered(&row.worker, &ask, now, Err(Failure::Timeout), now);
    let now = now + Duration::from_millis(300);
    let ask = orders(&mut b.members[0], now);
    let reply = WorkerReply { epoch: Epoch(1), refused: ask.start.clone(), stopped: vec![] };
    b.members[0].ordered(&row.worker, &ask, now, Ok(reply), now);
    assert_eq!(told(&mut b.members[0]), []);
}

#[test]
fn an_end_is_not_covered_by_a_late_start() {
    // A short task ends at once, and the report of its end arrives before the answer to its start.
    // The state "running" from that answer replaced the end, and the task was run again.
    let (mut b, row, ask) = sent();
    let now = b.now;
    let later = now + Duration::from_secs(1);
    orders(&mut b.members[0], later);
    let (task, state, used) = (task(0), TaskState::Ended, Size::default());
    let tasks = vec![TaskReport { attempt: Attempt(1), state, task, used }];
    let report = Report { age: 0, epoch: Epoch(1), requests: vec![], tasks };
    b.members[0].reported(&row.worker, Ok(report), later);
    let reply = WorkerReply { epoch: Epoch(1), refused: vec![], stopped: vec![] };
    b.members[0].ordered(&row.worker, &ask, now, Ok(reply), later);
    assert_eq!(told(&mut b.members[0]), [TaskState::Ended]);
}

#[test]
fn a_member_that_had_no_lease_takes_nobody_as_silent() {
    // The key-value service is out for 15 s, and the member polls no worker meanwhile. When it had a
    // lease again, it found all workers unresponsive and let the leases of all tasks lapse.
    let (mut b, _) = running();
    b.leased[0] = false;
    b.run(15_000);
    b.leased[0] = true;
    b.run(30_000);
    assert!(runs(&mut b, 0));
}

#[test]
fn a_vm_that_is_gone_is_forgotten() {
    // 880 VMs are replaced per day. Each left its link and account in memory permanently.
    let (mut b, _) = running();
    b.fake(0).cut_off = true;
    b.vms = BTreeMap::from([(worker(1), vm(1))]);
    b.workers.entry(worker(1)).or_default();
    b.list_vms();
    b.run(30_000);
    assert_eq!(told(&mut b.members[0]), [TaskState::Lost]);
    assert_eq!(b.members[0].show().len(), 1);
}

#[test]
fn a_rack_is_lost_with_the_workers_that_left_the_list() {
    // A VM is missing from the list by mistake, and its rack changes owners. The former owner kept
    // its link, and later reported as lost what the new owner had renewed.
    let (mut b, _) = running();
    b.vms.clear();
    b.list_vms();
    assert_eq!(b.members[0].lost(&rack(), Epoch(1)).tasks.len(), 1);
    b.run(30_000);
    assert!(!told(&mut b.members[0]).contains(&TaskState::Lost));
}

#[test]
fn stops_of_unknown_attempts_end() {
    // A worker confirms only stops of attempts that it knows. The stop of an attempt that had ended
    // was repeated without end.
    let (mut b, row) = running();
    b.fake(0).strict = true;
    let gone = ReserveRow { task: task(5), ..row };
    let now = b.now;
    b.members[0].start(stop(&gone), now);
    b.run(5000);
    let later = b.now + LEASE / 5;
    let ask = orders(&mut b.members[0], later);
    assert_eq!((ask.renew.len(), ask.stop.len()), (1, 0));
}

#[test]
fn a_report_proves_nothing_of_a_start_on_its_way() {
    // A bucket's owner probes an attempt whose start is still in flight to the rack's owner. It took
    // the attempt's absence from the report as proof of its end, and made the next attempt before
    // that start arrived.
    let (mut b, row) = running();
    let now = b.now;
    let next = b.members[0].reserve(&reserve_ask(1, 1, 1), now).rows.pop().unwrap();
    b.run(2000);
    assert_eq!(probe(&mut b, 0, &next).age, None);
    assert!(probe(&mut b, 0, &row).age.is_some());
}

#[test]
fn a_worker_that_forgot_its_epoch_is_fenced_again() {
    // A worker's agent restarts and knows no epoch. Until an order raised its epoch, it accepted a
    // delayed start of a former owner.
    let (mut b, _) = running();
    b.fake(0).epoch = Epoch(0);
    b.fake(0).runs.clear();
    b.run(1200);
    assert_eq!(b.fake(0).epoch, Epoch(1));
}
