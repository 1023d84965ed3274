//! Jobs under changes of the configuration, takeovers and failures, and gangs.

mod cell;

use {
    arbtest::arbitrary::{Result, Unstructured},
    cell::{Cell, TEXT_HEAD, job, task},
    dogwoodreach::{
        Time,
        gangs::{Gangs, Step},
        ids::{Attempt, team_bucket},
        jobs::Balance,
        messages::{EndItem, ProbeAsk, ProbeItem, ReserveItem, TaskState},
        units::Size,
    },
    std::{collections::BTreeSet, time::Duration},
};

// Replicas are reduced from six to three, and the remaining ones run forever. Guards against taking
// the job in again only after all six have ended: a replica that died later was never replaced.
#[test]
fn shrunk_replicas_are_still_replaced() {
    let mut cell = Cell::new(&job("replicas", "feed", 6, ""));
    cell.advance_secs(3);
    assert_eq!(cell.running("feed"), 6);
    cell.submit(&job("replicas", "feed", 3, ""));
    cell.advance_secs(5);
    assert_eq!(cell.running("feed"), 3);
    cell.end(&task("feed", 0), TaskState::Failed);
    cell.advance_secs(10);
    assert_eq!(cell.running("feed"), 3);
}

// A batch is removed from the configuration after it has ended and listed again later. Guards
// against old rows that remain in the record, because of which no task of the new job ran.
#[test]
fn a_job_that_is_listed_again_runs_again() {
    let mut cell = Cell::new(&job("batch", "nightly", 3, ""));
    cell.finish(5);
    cell.submit("");
    cell.advance_secs(3);
    cell.submit(&job("batch", "nightly", 3, ""));
    cell.finish(5);
    assert_eq!(cell.racks.starts.len(), 6);
}

// A rack's owner stands still before its notice of an attempt's end is delivered. Meanwhile the batch
// ends, is removed from the configuration and is listed again. The notice must not end the attempt
// of the new batch, or its task would run in two places.
#[test]
fn a_notice_about_a_removed_job_does_not_end_a_new_one() {
    let mut cell = Cell::new(&job("batch", "nightly", 3, ""));
    cell.advance_secs(3);
    let (task, attempt) = cell.racks.starts[0].clone();
    cell.finish(5);
    cell.submit("");
    cell.advance_secs(3);
    cell.submit(&job("batch", "nightly", 3, ""));
    cell.advance_secs(3);
    assert_eq!(cell.running("nightly"), 3);
    let (worker, bucket) = ("w0".into(), team_bucket(&"quoting".into()));
    let notice = EndItem { task, attempt, state: TaskState::Lost, worker, used: None };
    let now = cell.now;
    assert!(cell.jobs().update_attempts(bucket, &[notice], now));
    cell.advance_secs(3);
    assert_eq!((cell.running("nightly"), cell.racks.starts.len()), (3, 6));
}

// A bucket's owner probes a task, starts another one on the same worker, and stands still for two
// seconds. The probe's answer, which it then reads, is from before that start: it was taken for a
// new report on the worker, and the second task, which it did not list, was started once more.
#[test]
fn a_probes_answer_says_nothing_of_later_starts() {
    let mut cell = Cell::new(&job("batch", "nightly", 1, ""));
    cell.advance_secs(3);
    let (task, attempt) = cell.racks.starts[0].clone();
    let worker = cell.racks.runs[&cell.racks.starts[0]].worker.clone();
    let items = vec![ProbeItem { task, attempt, worker }];
    let ask = ProbeAsk { bucket: team_bucket(&"quoting".into()), items, rack: "r0".into() };
    let reply = cell.racks.probe(&ask);
    cell.submit(&job("batch", "nightly", 2, ""));
    cell.advance_secs(2);
    let workers: BTreeSet<_> = cell.racks.runs.values().map(|r| r.worker.clone()).collect();
    assert_eq!((cell.running("nightly"), workers.len()), (2, 1));
    let now = cell.now;
    cell.jobs().probed(&ask, reply, now);
    cell.advance_secs(2);
    assert_eq!((cell.running("nightly"), cell.racks.starts.len()), (2, 2));
}

// Part of the configuration is removed while its tasks are still stopping, and restored at once.
#[test]
fn a_job_listed_again_waits_for_its_old_tasks() {
    let mut cell = Cell::new(&job("batch", "nightly", 3, ""));
    cell.advance_secs(3);
    cell.submit("");
    cell.tick();
    cell.submit(&job("batch", "nightly", 3, ""));
    cell.finish(8);
    assert!(cell.show(&task("nightly", 2)).is_some_and(|s| &*s.state == "ended"));
}

// A job is resized while rack owners still look for room for its tasks. Guards against a late reply
// that counts a task twice against its team's quota, where the second count was never returned.
#[test]
fn a_job_resized_while_room_is_asked_leaves_no_count() {
    let mut cell = Cell::new(&job("batch", "nightly", 6, ""));
    cell.advance(cell::STEP);
    cell.advance(cell::STEP);
    for n in 0..20 {
        cell.tick();
        let text = job("batch", "nightly", 6, &format!("priority = {}", n % 2));
        cell.submit(&text);
        cell.tick();
        cell.advance(cell::STEP * 3);
    }
    cell.finish(10);
    cell.submit("");
    cell.advance_secs(3);
    cell.submit(&job("gang", "model", 8, ""));
    cell.advance_secs(5);
    assert_eq!(cell.running("model"), 8, "the team's whole quota is free");
}

// Two teams' buckets pass to another member while tasks that are no longer listed are still
// stopping.
#[test]
fn a_lost_bucket_leaves_no_count() {
    let mut cell = Cell::new(&job("batch", "nightly", 8, ""));
    cell.advance_secs(3);
    cell.submit("");
    cell.tick();
    cell.takeover();
    cell.advance_secs(5);
    assert_eq!(cell.racks.runs.len(), 0);
    cell.give_buckets(0);
    cell.submit(&job("gang", "model", 8, ""));
    cell.advance_secs(5);
    assert_eq!(cell.running("model"), 8, "the team's whole quota is free");
}

// A member gains buckets before it has a configuration. It must not regard the running tasks as
// unlisted and stop them.
#[test]
fn an_owner_without_a_text_stops_nothing() {
    let mut cell = Cell::new(&job("replicas", "feed", 4, ""));
    cell.advance_secs(3);
    let plan = std::mem::take(&mut cell.plan);
    cell.takeover_unplanned();
    cell.advance_secs(3);
    assert_eq!(cell.running("feed"), 4);
    cell.plan = plan.clone();
    cell.jobs().set_plan(&plan);
    cell.advance_secs(5);
    assert_eq!((cell.running("feed"), cell.racks.starts.len()), (4, 4));
}

// A gang runs on eight cores; one task fails after another has ended. Guards against restarting the
// gang without the task that had ended.
#[test]
fn a_gang_that_fails_starts_anew_whole() {
    let mut cell = Cell::new(&job("gang", "model", 4, ""));
    cell.advance_secs(3);
    cell.end(&task("model", 0), TaskState::Ended);
    cell.advance_secs(1);
    cell.end(&task("model", 1), TaskState::Failed);
    cell.advance_secs(10);
    assert_eq!(cell.running("model"), 4);
    cell.finish(5);
    assert_eq!(cell.racks.starts.len(), 8);
}

// A task of a gang is lost with its worker's process. The bucket's owner records that and dies
// before it has stopped the others: the new owner finds an incomplete gang.
#[test]
fn half_a_gang_is_stopped_by_a_new_owner() {
    let mut cell = Cell::new(&job("gang", "model", 4, ""));
    cell.advance_secs(3);
    cell.racks.end_unreported(&task("model", 1));
    while !cell.store.values().any(|(_, text)| text.contains("lost")) {
        cell.advance(cell::STEP);
    }
    cell.messages.clear();
    cell.takeover();
    let before = cell.racks.starts.len();
    cell.advance_secs(15);
    assert_eq!(cell.running("model"), 4);
    let starts = &cell.racks.starts[before..];
    let again: BTreeSet<u32> = starts.iter().map(|(t, _)| t.index.0).collect();
    assert_eq!((before, starts.len(), again.len()), (4, 4, 4), "{starts:?}");
}

// One team's allowance of urgent starts is used up. It must not block another team's urgent work.
#[test]
fn urgent_work_does_not_wait_for_another_teams_allowance() {
    let urgent = |name: &str, team: &str| {
        let text = job("batch", name, 12, "urgent = yes").replace("cores = 1", "cores = 0.1");
        text.replace("memory = 1GB", "memory = 100MB").replace("quoting", team)
    };
    let mut cell = Cell::new("");
    cell.advance_secs(1);
    cell.submit(&(urgent("aaa", "quoting") + &urgent("bbb", "audit")));
    cell.tick();
    let asked = cell.urgent_jobs();
    assert!(asked.contains(&"aaa".into()) && asked.contains(&"bbb".into()), "{asked:?}");
}

// A job that has never run successfully is on trial, with one start at a time. Guards against
// starting all of its tasks at once.
#[test]
fn a_job_on_trial_starts_one_task_at_a_time() {
    let good: String = (0..4).map(|n| job("replicas", &format!("feed{n}"), 1, "")).collect();
    let mut cell = Cell::new(&(good + &job("batch", "bad", 4, "")));
    for _ in 0..20 {
        cell.end_all("bad", TaskState::Failed);
        cell.end_all("feed", TaskState::Ended);
        cell.advance_secs(2);
    }
    let starts =
        |cell: &Cell| cell.racks.starts.iter().filter(|(t, _)| t.job.as_str() == "bad").count();
    let all = starts(&cell);
    for _ in 0..60 {
        let before = starts(&cell);
        cell.end_all("bad", TaskState::Failed);
        cell.advance_secs(1);
        let n = starts(&cell) - before;
        assert!(n <= 1, "{n} starts at once of a job on trial");
    }
    let n = starts(&cell) - all;
    assert!((2..=7).contains(&n), "{n} starts in a minute, not one each ten seconds");
}

// A team is removed from the configuration. Its quota must not be lent to other teams forever.
#[test]
fn a_team_that_is_gone_lends_nothing() {
    let mut cell = Cell::new("");
    cell.advance_secs(1);
    let one = TEXT_HEAD.replace("[team audit]\ncores = 8\nmemory = 32GB\n", "");
    cell.put(&(one + &job("batch", "nightly", 16, "")));
    cell.advance_secs(5);
    assert_eq!(cell.running("nightly"), 8, "the quota, and nothing lent");
}

// A batch has more tasks than a record has space for rows, and its bucket changes owner midway.
// Each task must run once. Guards against a record that is full of ended tasks, so that the batch
// stalls.
#[test]
fn a_batch_larger_than_the_record_ends() {
    let small = job("batch", "branch", 4000, "").replace("cores = 1", "cores = 0.01");
    let mut cell = Cell::new(&small.replace("1GB", "10MB"));
    for n in 0..60 {
        cell.racks.end_all();
        cell.advance(cell::STEP * 8);
        if n == 10 {
            cell.takeover();
        }
    }
    let rows = cell.jobs().show();
    let ended = rows.iter().filter(|r| &*r.state == "ended").count();
    assert_eq!((ended, cell.racks.starts.len()), (4000, 4000));
}

// A batch with a deadline of one hour has waited for fifty minutes when its bucket changes owner.
// Guards against restarting the hour there, which put newly arrived work first.
#[test]
fn a_deadline_outlasts_a_takeover() {
    let block = job("replicas", "block", 8, "");
    let old = job("batch", "old", 8, "deadline = 60m");
    let fresh = job("batch", "fresh", 8, "deadline = 30m");
    let head = TEXT_HEAD.replace("[team audit]\ncores = 8\nmemory = 32GB\n", "");
    let mut cell = Cell::new("");
    cell.put(&format!("{head}{block}"));
    cell.advance_secs(3);
    cell.put(&format!("{head}{block}{old}"));
    cell.advance_secs(3);
    cell.now = cell.now + Duration::from_secs(50 * 60);
    cell.takeover();
    cell.put(&format!("{head}{block}{old}{fresh}"));
    cell.advance_secs(3);
    cell.put(&format!("{head}{old}{fresh}"));
    cell.advance_secs(5);
    let first = cell.racks.starts.iter().find(|(t, _)| t.job.as_str() != "block");
    assert_eq!(first.map(|(t, _)| t.job.as_str()), Some("old"));
}

// A rack's owner is slow: its reply arrives after the gang has given up the round and asks again.
// The late reply must not count for the new round, and its room must be released.
#[test]
fn a_late_answer_counts_for_no_other_round() {
    let at = |secs| Time::ZERO + Duration::from_secs(secs);
    let floor = cell::FakeRacks::new();
    let item = |index| ReserveItem {
        attempt: Attempt(1),
        avoid: vec![],
        size: Size::new(4, 1024, 0),
        spread: false,
        task: task("model", index),
        urgent: false,
    };
    let items: Vec<_> = (0..4).map(item).collect();
    let (job, pool) = ("model".into(), "p".into());
    let mut gangs = Gangs::new(1);
    let first = gangs.begin(&job, &pool, items.clone(), &floor.loads(), at(0));
    let Step::Ask(ask) = first else { panic!("it asks") };
    assert!(
        matches!(&gangs.tick(at(6))[..], [Step::Release(rows, tasks)] if rows.is_empty() && tasks.len() == 4)
    );
    let again = gangs.begin(&job, &pool, items.clone(), &floor.loads(), at(20));
    assert!(matches!(again, Step::Release(..)), "its ask is not answered");
    let reply = cell::FakeRacks::new().reserve(&ask, at(21));
    let late = gangs.answered(&ask, Some(reply), at(21));
    assert!(matches!(late, Step::Release(rows, tasks) if rows.len() == 2 && tasks.is_empty()));
    assert!(matches!(gangs.begin(&job, &pool, items, &floor.loads(), at(22)), Step::Ask(_)));
}

/// A configuration with some of five jobs, each with some number of tasks.
fn text(u: &mut Unstructured<'_>) -> Result<String> {
    let mut text = String::new();
    for (kind, name, more) in [
        ("batch", "nightly", ""),
        ("gang", "model", ""),
        ("gang", "other", "after = nightly"),
        ("replicas", "feed", ""),
        ("batch", "rush", "urgent = yes"),
    ] {
        let known = !more.contains("nightly") || text.contains("nightly");
        if known && u.ratio(3, 4)? {
            text += &job(kind, name, u.int_in_range(1..=5)?, more);
        }
    }
    Ok(text)
}

/// Applies one random event to the cell.
fn step(cell: &mut Cell, u: &mut Unstructured<'_>) -> Result<()> {
    let running: Vec<_> = cell.racks.runs.keys().map(|(t, _)| t.clone()).collect();
    match u.int_in_range(0..=59)? {
        0 => cell.submit(&text(u)?),
        1 if cell.owners.len() < 4 => cell.takeover(),
        2 => {
            let owner = u.choose_index(cell.owners.len())?;
            cell.give_buckets(owner);
        }
        3..=8 if !running.is_empty() => {
            let state = [TaskState::Ended, TaskState::Failed];
            cell.end(u.choose(&running)?, *u.choose(&state)?);
        }
        9 if !running.is_empty() => cell.racks.end_unreported(u.choose(&running)?),
        _ => cell.random_step(u)?,
    }
    Ok(())
}

// Configurations, ends, failures, takeovers, lost calls and late replies in any order.
// `OneAttempt`, `ListedWorker`, `Message` and `NoOvercommit` are checked at each step. When all is over,
// every listed job has ended; once nothing is listed any more, nothing is counted or recorded.
#[test]
fn any_order_keeps_the_invariants() {
    let starts = std::cell::Cell::new(0);
    cell::run_seeds(150, 4000, |u| {
        let mut cell = Cell::new(&text(u)?);
        while !u.is_empty() {
            step(&mut cell, u)?;
        }
        starts.set(starts.get() + cell.racks.starts.len());
        cell.submit(
            &(job("batch", "nightly", 3, "") + &job("gang", "model", 2, "after = nightly")),
        );
        cell.finish(40);
        for t in [task("nightly", 0), task("nightly", 2), task("model", 1)] {
            let show = cell.show(&t).expect("it is listed");
            assert_eq!(&*show.state, "ended", "{show:?}");
        }
        cell.submit("");
        cell.finish(40);
        for owner in &cell.owners {
            assert_eq!(owner.balance(), Balance::default());
        }
        for (_, record) in cell.store.values() {
            assert!(record.contains("\"tasks\":[]") && !record.contains("\"jobs\""), "{record}");
        }
        Ok(())
    });
    assert!(starts.get() > 1500, "{} starts are too few to mean much", starts.get());
}
