//! The ledger of resources and slots in use on the workers of a member.

use {
    arbtest::{arbitrary, arbtest},
    dogwoodreach::{
        Time,
        ids::{Attempt, Epoch, JobId, PoolId, RackId, RequestId, TaskId, TaskIndex, WorkerId},
        ledger::{Held, Ledger, Load, Refusal},
        messages::{Report, TaskReport, TaskRow, TaskState},
        units::Size,
    },
    std::{collections::BTreeMap, time::Duration},
};

const LAG: Duration = Duration::from_secs(5);
const WORKERS: u32 = 3;

fn task(n: u32) -> TaskId {
    TaskId { job: JobId::from("nightly"), index: TaskIndex(n) }
}

fn worker(n: u32) -> WorkerId {
    WorkerId::from(&*format!("w{n}"))
}

fn secs(n: u64) -> Time {
    Time::from_millis(n * 1000)
}

fn ledger() -> Ledger {
    let mut ledger = Ledger::new(LAG);
    for n in 0..WORKERS {
        let (pool, rack) = (PoolId::from("quoting"), RackId::from("r0"));
        ledger.add(&worker(n), &pool, &rack, Size::new(16, 65536, 0), 8);
    }
    ledger
}

fn report(age: Duration, tasks: &[(u32, TaskState)], requests: &[u128]) -> Report {
    Report {
        age: age.as_millis() as u64,
        epoch: Epoch(1),
        requests: requests.iter().map(|r| RequestId(*r)).collect(),
        tasks: tasks
            .iter()
            .map(|(n, state)| TaskReport {
                task: task(*n),
                attempt: Attempt(1),
                state: *state,
                used: Size::new(1, 1024, 0),
            })
            .collect(),
    }
}

fn intent(n: u32, size: Size) -> TaskRow {
    TaskRow {
        attempt: Attempt(1),
        epoch: None,
        rack: None,
        reason: None,
        size,
        state: TaskState::Intent,
        task: task(n),
        tries: None,
        worker: Some(worker(0)),
    }
}

/// A reference model: a plain list of accepted holds, summed up again for every query.
#[derive(Default)]
struct Recount {
    held: BTreeMap<Held, (u32, Load, Time)>,
}

impl Recount {
    fn used(&self, n: u32) -> Load {
        let mine = || self.held.values().filter(|h| h.0 == n).map(|h| &h.1);
        Load { size: mine().map(|l| l.size).sum(), slots: mine().map(|l| l.slots).sum() }
    }

    /// The refusal that a new hold on this worker would get, if any.
    fn verdict(&self, held: &Held, n: u32, load: &Load) -> Result<(), Refusal> {
        let mut used = self.used(n);
        if let Some((at, old, _)) = self.held.get(held) {
            if *at != n {
                return Err(Refusal::Elsewhere);
            }
            used.size = used.size.saturating_sub(&old.size);
            used.slots -= old.slots;
        }
        if !(used.size + load.size).fits(&Size::new(16, 65536, 0)) {
            return Err(Refusal::Room);
        }
        if used.slots + load.slots > 8 { Err(Refusal::Slots) } else { Ok(()) }
    }

    fn put(&mut self, held: Held, n: u32, load: Load, ends: Time) {
        let ends = self.held.get(&held).map_or(ends, |h| h.2.max(ends));
        self.held.insert(held, (n, load, ends));
    }
}

fn step(
    u: &mut arbitrary::Unstructured<'_>,
    ledger: &mut Ledger,
    plain: &mut Recount,
    now: Time,
) -> arbitrary::Result<()> {
    let n = u.int_in_range(0..=WORKERS - 1)?;
    let id = u.int_in_range(0..=39u32)?;
    let ends = now + Duration::from_secs(u.int_in_range(1..=150)?);
    let held = Held::Task(task(id), Attempt(1));
    let request = Held::Request(RequestId(id.into()));
    match u.int_in_range(0..=7)? {
        0 | 1 => {
            let size = Size::new(u.int_in_range(0..=9)?, u.int_in_range(0..=40_000)?, 0);
            let load = Load { size, ..Load::default() };
            let want = plain.verdict(&held, n, &load);
            assert_eq!(ledger.reserve(&task(id), Attempt(1), &worker(n), size, ends), want);
            if want.is_ok() {
                plain.put(held, n, load, ends);
            }
        }
        2 => {
            let known = plain.held.get_mut(&held).map(|h| h.2 = Time::NEVER).is_some();
            assert_eq!(ledger.confirm(&task(id), Attempt(1), now), known);
        }
        3 => {
            let known = plain.held.remove(&held).is_some();
            assert_eq!(ledger.release(&task(id), Attempt(1), now), known);
            assert!(!ledger.release(&task(id), Attempt(1), now));
        }
        4..=6 => {
            let load = Load { slots: 1, ..Load::default() };
            let want = plain.verdict(&request, n, &load);
            assert_eq!(ledger.take_slot(RequestId(id.into()), &worker(n), ends), want);
            if want.is_ok() {
                plain.held.insert(request, (n, load, ends));
            }
        }
        _ => {
            let known = plain.held.remove(&request).is_some();
            assert_eq!(ledger.free_slot(RequestId(id.into()), now), known);
        }
    }
    Ok(())
}

#[test]
fn no_worker_is_over_its_limits_in_any_order_of_calls() {
    for seed in 0..200u64 {
        arbtest(|u| {
            let (mut ledger, mut plain, mut now) = (ledger(), Recount::default(), Time::ZERO);
            while !u.is_empty() {
                now = now + Duration::from_millis(u.int_in_range(0..=900)?);
                let lapsed = ledger.expire(now);
                let due = plain.held.len();
                plain.held.retain(|_, h| h.2 > now);
                assert_eq!(lapsed.len(), due - plain.held.len());
                step(u, &mut ledger, &mut plain, now)?;
                let mut free = 0;
                for n in 0..WORKERS {
                    let account = ledger.worker(&worker(n)).unwrap();
                    assert_eq!(*account.used(), plain.used(n));
                    assert!(!account.over());
                    free += account.free();
                }
                assert_eq!(ledger.slots(&PoolId::from("quoting")), (8 * WORKERS, free));
                let most = ledger.workers().map(|(_, w)| w.free()).max();
                let idlest = ledger.idlest(&PoolId::from("quoting"));
                let found = idlest.and_then(|w| ledger.worker(w)).map_or(0, |w| w.free());
                assert_eq!(Some(found), most);
            }
            Ok(())
        })
        .seed(seed << 32 | 4096);
    }
}

// Guards against two tasks in the room of one: a member dies just after it sent a start, and the new
// owner reads a report older than the start, which doesn't list the task, and reuses its room.
#[test]
fn an_intent_is_counted_though_a_young_report_lacks_it() {
    let mut ledger = ledger();
    let size = Size::new(10, 1024, 0);
    let none = report(Duration::from_secs(1), &[], &[]);
    assert!(ledger.adopt(&worker(0), &none, &[intent(1, size)], secs(100)).is_empty());
    let other = ledger.reserve(&task(2), Attempt(1), &worker(0), size, secs(200));
    assert_eq!(other, Err(Refusal::Room));
    assert!(ledger.adopt(&worker(0), &none, &[], secs(105)).is_empty());
    assert_eq!(ledger.adopt(&worker(0), &none, &[], secs(106)), [(task(1), Attempt(1))]);
    assert!(ledger.reserve(&task(2), Attempt(1), &worker(0), size, secs(200)).is_ok());
}

// A worker's load exceeds its limit: the former owner placed a task with a wrong declared size
// together with an intent that was recorded but is not yet reported; their sum is over the limit.
#[test]
fn an_over_full_worker_has_no_room_until_it_fits() {
    let mut ledger = ledger();
    let size = Size::new(10, 1024, 0);
    let rows = [intent(1, size), intent(2, size)];
    let running = report(Duration::ZERO, &[(1, TaskState::Running), (3, TaskState::Running)], &[7]);
    ledger.adopt(&worker(0), &running, &rows, secs(100));
    let account = ledger.worker(&worker(0)).unwrap();
    let used = Load { size: Size::new(21, 3072, 0), slots: 1 };
    assert_eq!((account.used(), account.room(), account.free()), (&used, Size::default(), 0));
    let none = Size::default();
    let refused = ledger.reserve(&task(4), Attempt(1), &worker(0), none, secs(200));
    assert_eq!(refused, Err(Refusal::Room));
    assert_eq!(ledger.take_slot(RequestId(8), &worker(0), secs(101)), Err(Refusal::Slots));
    let ended = report(Duration::ZERO, &[(1, TaskState::Ended), (3, TaskState::Running)], &[7]);
    assert_eq!(ledger.adopt(&worker(0), &ended, &[], secs(101)), [(task(1), Attempt(1))]);
    assert_eq!(ledger.worker(&worker(0)).unwrap().room(), Size::new(5, 63488, 0));
    assert!(ledger.take_slot(RequestId(8), &worker(0), secs(101)).is_ok());
}

// Guards against room that is never freed: a report that is a second old still lists a task and a
// request that have ended since; if they were counted again, nothing would free them.
#[test]
fn an_old_report_does_not_bring_back_what_has_ended() {
    let mut ledger = ledger();
    ledger.reserve(&task(1), Attempt(1), &worker(0), Size::new(4, 1024, 0), secs(11)).unwrap();
    assert!(ledger.confirm(&task(1), Attempt(1), secs(10)));
    ledger.take_slot(RequestId(1), &worker(0), secs(30)).unwrap();
    ledger.release(&task(1), Attempt(1), secs(20));
    ledger.free_slot(RequestId(1), secs(20));
    let old = report(Duration::from_secs(1), &[(1, TaskState::Running)], &[1]);
    ledger.adopt(&worker(0), &old, &[intent(1, Size::new(4, 1024, 0))], secs(20));
    assert_eq!(ledger.worker(&worker(0)).unwrap().used(), &Load::default());
    ledger.adopt(&worker(0), &old, &[], secs(22));
    assert_eq!(ledger.worker(&worker(0)).unwrap().used().slots, 1);
}

#[test]
fn a_lapsed_reservation_cannot_be_started() {
    let mut ledger = ledger();
    ledger.reserve(&task(1), Attempt(1), &worker(0), Size::new(4, 1024, 0), secs(11)).unwrap();
    assert_eq!(ledger.expire(secs(11)), [Held::Task(task(1), Attempt(1))]);
    assert!(!ledger.confirm(&task(1), Attempt(1), secs(11)));
}

#[test]
fn a_cordoned_worker_gets_nothing_new_and_keeps_what_it_has() {
    let mut ledger = ledger();
    let size = Size::new(4, 1024, 0);
    ledger.reserve(&task(1), Attempt(1), &worker(0), size, secs(11)).unwrap();
    ledger.cordon(&worker(0), true);
    let refused = ledger.reserve(&task(2), Attempt(1), &worker(0), size, secs(11));
    assert_eq!(refused, Err(Refusal::Cordoned));
    assert_eq!(ledger.take_slot(RequestId(1), &worker(0), secs(9)), Err(Refusal::Cordoned));
    assert!(ledger.confirm(&task(1), Attempt(1), secs(10)));
    assert_eq!(ledger.remove(&worker(0)), [Held::Task(task(1), Attempt(1))]);
    assert_eq!(ledger.slots(&PoolId::from("quoting")), (16, 16));
}

// Guards against overcommitted workers: the owner changes repeatedly, starts are in flight for up to
// a second, and each owner sees only reports that are up to three seconds old.
#[test]
fn no_worker_is_over_its_size_when_owners_change_and_reports_lag() {
    for seed in 0..100u64 {
        arbtest(|u| {
            let (mut owner, mut intents) = (ledger(), Vec::<TaskRow>::new());
            let (mut flights, mut running, mut past) = (Vec::new(), Vec::<TaskRow>::new(), vec![]);
            let mut now = secs(100);
            for n in 0..1500 {
                now = now + Duration::from_millis(100);
                let quiet = n >= 1300;
                let arrived = flights.extract_if(.., |(at, _)| *at <= now);
                running.extend(arrived.map(|(_, row): (Time, TaskRow)| row));
                let used: Size = running.iter().map(|r| r.size).sum();
                assert!(used.fits(&Size::new(16, 65536, 0)), "{used} is in use");
                if !quiet && !running.is_empty() && u.ratio(1, 20)? {
                    running.swap_remove(u.choose_index(running.len())?);
                }
                past.push(running.iter().map(|r| (r.task.index.0, TaskState::Running)).collect());
                let age = u.int_in_range(0..=30usize)?.min(n as usize);
                let seen: &Vec<_> = &past[n as usize - age];
                let seen = report(Duration::from_millis(100 * age as u64), seen, &[]);
                if !quiet && u.ratio(1, 40)? {
                    owner = ledger();
                    owner.adopt(&worker(0), &seen, &intents, now);
                } else if u.ratio(1, 4)? {
                    let ended = owner.adopt(&worker(0), &seen, &[], now);
                    intents.retain(|r| ended.iter().all(|(task, _)| r.task != *task));
                }
                let size = Size::new(u.int_in_range(3..=9)?, 1024, 0);
                let expires = now + Duration::from_secs(1);
                if !quiet && owner.reserve(&task(n), Attempt(1), &worker(0), size, expires).is_ok()
                {
                    assert!(owner.confirm(&task(n), Attempt(1), now));
                    intents.push(intent(n, size));
                    let flight = Duration::from_millis(u.int_in_range(0..=1000)?);
                    flights.push((now + flight, intent(n, size)));
                }
            }
            let used: Size = running.iter().map(|r| r.size).sum();
            assert_eq!(owner.worker(&worker(0)).unwrap().used().size, used);
            Ok(())
        })
        .seed(seed << 32 | 32768);
    }
}
