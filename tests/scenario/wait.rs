//! Conditions that a scenario waits for, checked against the state that members, workers and
//! callers report.

use {
    super::{Args, Cell},
    serde_json::Value,
    std::{
        sync::atomic::Ordering,
        time::{Duration, Instant},
    },
    tokio::time::interval,
};

/// The time-out of a condition; the slowest condition in the scenarios takes about 15 s.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);
/// The interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A check of a condition: whether the condition holds now, and the state that was observed.
type Check = Box<dyn FnMut(&mut Cell) -> (bool, String)>;

impl Cell {
    /// Waits until a condition holds; panics with the last observed state after the time-out.
    pub(super) fn wait(&mut self, args: &mut Args) -> String {
        let mut check = condition(args);
        let begun = Instant::now();
        let guard = self.runtime.enter();
        let mut ticks = interval(POLL_INTERVAL);
        drop(guard);
        loop {
            let (holds, observed) = check(self);
            if holds {
                return "".into();
            }
            let dir = &self.dir;
            assert!(
                begun.elapsed() < CONDITION_TIMEOUT,
                "never held; last seen: {observed}; logs in {dir:?}"
            );
            self.runtime.block_on(ticks.tick());
        }
    }

    /// The running members that list a worker of the rack among their own.
    fn owners(&mut self, rack: &str) -> Vec<String> {
        let owns = |show: &Value| rows(show, "workers").any(|w| w["rack"] == *rack);
        let running = self.running_members();
        running.into_iter().filter(|m| self.show(m).is_some_and(|s| owns(&s))).collect()
    }

    pub(super) fn all_rows(&mut self, what: &str) -> Vec<Value> {
        let running = self.running_members();
        let shows = running.iter().filter_map(|m| self.show(m));
        shows.flat_map(|s| rows(&s, what).cloned().collect::<Vec<_>>()).collect()
    }

    fn running_members(&mut self) -> Vec<String> {
        let members: Vec<String> = self.members.iter().cloned().collect();
        members.into_iter().filter(|m| self.process(m).is_running()).collect()
    }
}

fn rows<'a>(show: &'a Value, what: &str) -> impl Iterator<Item = &'a Value> {
    show[what].as_array().into_iter().flatten()
}

fn condition(args: &mut Args) -> Check {
    let count: u64 = args.optional("count").map_or(1, |n| n.parse().expect("a number"));
    let at = args.list("at");
    if args.0.contains_key("ready") {
        return members_ready(args.list("ready"));
    }
    if let Some(version) = args.optional("version").map(|v| v.parse::<u64>().expect("a number")) {
        return each_shows(at, move |s| s["version"].as_u64() == Some(version));
    }
    if let Some(members) = args.optional("members").map(|v| v.parse::<usize>().expect("a number")) {
        return each_shows(at, move |s| rows(s, "members").count() == members);
    }
    if let Some(job) = args.optional("job") {
        return tasks(job, args.required("state"), args.optional("reason"), count);
    }
    if let Some(workers) = args.optional("workers").map(|v| v.parse::<usize>().expect("a number")) {
        return Box::new(move |cell| {
            let shown = cell.all_rows("workers");
            (
                shown.iter().filter(|w| w["state"] == "ready").count() == workers,
                format!("{shown:?}"),
            )
        });
    }
    if let Some(job) = args.optional("elsewhere") {
        let worker = args.required("worker");
        return Box::new(move |cell| {
            let all = cell.all_rows("tasks");
            let runs = |t: &&Value| t["state"] == "running" && t["worker"] != *worker;
            let matching = all.iter().filter(|t| t["task"]["job"] == *job).filter(runs);
            (matching.count() as u64 == count, format!("{all:?}"))
        });
    }
    if let Some(worker) = args.optional("worker") {
        let state = args.required("state");
        return Box::new(move |cell| {
            let workers = cell.all_rows("workers");
            let mut matching = workers.iter().filter(|w| w["worker"] == *worker);
            (matching.any(|w| w["state"] == *state), format!("{workers:?}"))
        });
    }
    if let Some(rack) = args.optional("rack") {
        let (is, not) = (args.optional("owner"), args.optional("owner-not"));
        return Box::new(move |cell| {
            let owners = cell.owners(&rack);
            let one = owners.len() == 1;
            let right = is.as_ref().is_none_or(|m| owners.contains(m));
            let wrong = not.as_ref().is_some_and(|m| owners.contains(m));
            (one && right && !wrong, format!("{owners:?}"))
        });
    }
    if let Some(rack) = args.optional("free") {
        return free_cores(rack, args.required("cores").parse().expect("a number"));
    }
    if let Some(rack) = args.optional("handed-over") {
        return handed_over(&rack, at);
    }
    if let Some(rack) = args.optional("left-out") {
        return left_out(&rack, at, count);
    }
    if let Some(prefix) = args.optional("stored") {
        return stored_records(prefix, count);
    }
    if args.flag("held") {
        return held_writes(count);
    }
    if let Some(call) = args.optional("kv-failed") {
        return kv_failed(call, at, count);
    }
    if let Some(load) = args.optional("answered") {
        let mut base = None;
        return Box::new(move |cell| {
            let n = cell.loads[&load].answered.load(Ordering::Relaxed);
            let base = *base.get_or_insert(n);
            (n - base >= count, format!("{} more answers", n - base))
        });
    }
    if let Some(key) = args.optional("ran") {
        return Box::new(move |cell| (cell.ran_ids().contains(&key), "not yet run".into()));
    }
    if let Some(reason) = args.optional("reply") {
        let (via, call) = (args.required("via"), args.call());
        return Box::new(move |cell| {
            let result = cell.send(&via, &call);
            let correct = result.status == Some(200) && result.body == call.body;
            let answered = if correct { "answered" } else { &result.reason };
            (answered == reason, format!("{result:?}"))
        });
    }
    if args.flag("idle") {
        return Box::new(move |cell| {
            let pools = cell.pool_controls();
            let counts = pools.iter().map(|p| cell.get(&format!("{p}/running")));
            let counts: Vec<Option<Value>> = counts.collect();
            (counts.iter().all(|n| *n == Some(0.into())), format!("{counts:?} tasks"))
        });
    }
    if let Some(what) = args.optional("witness") {
        return Box::new(move |cell| {
            let pools = cell.pool_controls();
            let counts = pools.iter().filter_map(|p| cell.get(&format!("{p}/witness")));
            let n: u64 = counts.filter_map(|w| w[&what].as_u64()).sum();
            (n >= count, n.to_string())
        });
    }
    if let Some(name) = args.optional("gone") {
        return Box::new(move |cell| {
            let exit = cell.process(&name).exit_status();
            (exit.is_some_and(|s| s.success()), format!("{exit:?}"))
        });
    }
    panic!("no condition in {:?}", args.0);
}

fn members_ready(members: Vec<String>) -> Check {
    Box::new(move |cell| {
        let pages = members.iter().map(|m| format!("{}/ready", cell.process(m).value("metrics")));
        let pages: Vec<String> = pages.collect();
        let ready: Vec<bool> = pages.iter().map(|p| cell.page(p).is_some()).collect();
        (ready.iter().all(|r| *r), format!("{ready:?}"))
    })
}

fn each_shows(members: Vec<String>, holds: impl Fn(&Value) -> bool + 'static) -> Check {
    Box::new(move |cell| {
        let shows: Vec<Option<Value>> = members.iter().map(|m| cell.show(m)).collect();
        let all = shows.iter().all(|s| s.as_ref().is_some_and(&holds));
        (all, format!("{shows:?}"))
    })
}

/// Checks that each member has received the handover of a rack, according to its log.
fn handed_over(rack: &str, members: Vec<String>) -> Check {
    let line = format!("Takes over {rack} ");
    Box::new(move |cell| {
        let logs: Vec<String> = members.iter().map(|m| cell.log(m)).collect();
        (logs.iter().all(|log| log.contains(&line)), "not in the log".into())
    })
}

/// Checks that each member has left at least this many reservations on a rack out of its handovers,
/// according to its log.
fn left_out(rack: &str, members: Vec<String>, count: u64) -> Check {
    let line = format!("Reservations on {rack}-");
    Box::new(move |cell| {
        let logs = members.iter().map(|m| cell.log(m));
        let named = logs.map(|log| {
            let lines = log.lines().filter(|l| l.contains(&line));
            lines.map(|l| l.matches('#').count() as u64).sum()
        });
        let named: Vec<u64> = named.collect();
        (named.iter().all(|n| *n >= count), format!("{named:?} reservations"))
    })
}

/// Checks that the store has this many records whose keys begin with the prefix.
fn stored_records(prefix: String, count: u64) -> Check {
    Box::new(move |cell| {
        let kv = cell.process("platform").value("kv").to_owned();
        let list = cell.get(&format!("{kv}/v1/watch?prefix={prefix}&after=0&wait=0"));
        let n = list.map_or(0, |l| rows(&l, "entries").count() as u64);
        (n == count, format!("{n} records"))
    })
}

/// Checks that the store has held at least this many writes since it started.
fn held_writes(count: u64) -> Check {
    Box::new(move |cell| {
        let kv = cell.process("platform").value("kv").to_owned();
        let n = cell.get(&format!("{kv}/calls")).and_then(|c| c["held"].as_u64());
        (n.is_some_and(|n| n >= count), format!("{n:?} writes"))
    })
}

/// Checks that the workers of a rack are ready and have this many cores free in total.
fn free_cores(rack: String, cores: u64) -> Check {
    Box::new(move |cell| {
        let shown = cell.all_rows("workers");
        let ours: Vec<&Value> = shown.iter().filter(|w| w["rack"] == *rack).collect();
        let ready = ours.iter().all(|w| w["state"] == "ready");
        // Shown in thousandths.
        let free: u64 = ours.iter().filter_map(|w| w["room"]["cores"].as_u64()).sum();
        (ready && free == cores * 1000, format!("{ours:?}"))
    })
}

fn tasks(job: String, state: String, reason: Option<String>, count: u64) -> Check {
    Box::new(move |cell| {
        let all = cell.all_rows("tasks");
        let matching: Vec<&Value> = all.iter().filter(|t| t["task"]["job"] == *job).collect();
        let matches = |t: &&&Value| {
            let why = t["reason"].as_str().unwrap_or("");
            t["state"] == *state && reason.as_ref().is_none_or(|r| why.contains(&**r))
        };
        (matching.iter().filter(matches).count() as u64 == count, format!("{matching:?}"))
    })
}

/// Checks that at least `count` store calls of a kind have failed at each member since it started.
fn kv_failed(call: String, members: Vec<String>, count: u64) -> Check {
    let line = format!("dwr_kv_calls_total{{call=\"{call}_failed\"}}");
    Box::new(move |cell| {
        let failed: Vec<u64> =
            members.iter().map(|m| cell.counter(m, &line).unwrap_or(0)).collect();
        (failed.iter().all(|n| *n >= count), format!("{failed:?}"))
    })
}
