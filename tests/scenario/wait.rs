//! Conditions that a scenario waits for, by what members, workers and callers show.

use {
    super::{Args, Cell},
    serde_json::Value,
    std::{
        sync::atomic::Ordering,
        time::{Duration, Instant},
    },
    tokio::time::interval,
};

/// How long a condition may take; the longest that is waited for takes some fifteen seconds.
const BOUND: Duration = Duration::from_secs(60);
/// How often it is looked at.
const LOOK: Duration = Duration::from_millis(50);

/// Whether a condition holds now, and what was seen.
type Look = Box<dyn FnMut(&mut Cell) -> (bool, String)>;

impl Cell {
    /// Waits until a condition holds; fails with what was last seen.
    pub(super) fn wait(&mut self, args: &mut Args) -> String {
        let mut look = condition(args);
        let begun = Instant::now();
        let entered = self.runtime.enter();
        let mut ticks = interval(LOOK);
        drop(entered);
        loop {
            let (holds, seen) = look(self);
            if holds {
                return "".into();
            }
            let dir = &self.dir;
            assert!(begun.elapsed() < BOUND, "never held; last seen: {seen}; logs in {dir:?}");
            self.runtime.block_on(ticks.tick());
        }
    }

    /// The members that show a worker of a rack as theirs.
    fn owners(&mut self, rack: &str) -> Vec<String> {
        let owns = |show: &Value| rows(show, "workers").any(|w| w["rack"] == *rack);
        let awake = self.awake();
        awake.into_iter().filter(|m| self.show(m).is_some_and(|s| owns(&s))).collect()
    }

    pub(super) fn all_shown(&mut self, what: &str) -> Vec<Value> {
        let awake = self.awake();
        let shows = awake.iter().filter_map(|m| self.show(m));
        shows.flat_map(|s| rows(&s, what).cloned().collect::<Vec<_>>()).collect()
    }

    fn awake(&mut self) -> Vec<String> {
        let members: Vec<String> = self.members.iter().cloned().collect();
        members.into_iter().filter(|m| self.process(m).awake()).collect()
    }
}

fn rows<'a>(show: &'a Value, what: &str) -> impl Iterator<Item = &'a Value> {
    show[what].as_array().into_iter().flatten()
}

fn condition(args: &mut Args) -> Look {
    let count: u64 = args.take("count").map_or(1, |n| n.parse().expect("a number"));
    let at = args.list("at");
    if args.0.contains_key("ready") {
        return ready(args.list("ready"));
    }
    if let Some(version) = args.take("version").map(|v| v.parse::<u64>().expect("a number")) {
        return each(at, move |s| s["version"].as_u64() == Some(version));
    }
    if let Some(members) = args.take("members").map(|v| v.parse::<usize>().expect("a number")) {
        return each(at, move |s| rows(s, "members").count() == members);
    }
    if let Some(job) = args.take("job") {
        return tasks(job, args.need("state"), args.take("reason"), count);
    }
    if let Some(workers) = args.take("workers").map(|v| v.parse::<usize>().expect("a number")) {
        return Box::new(move |cell| {
            let shown = cell.all_shown("workers");
            (
                shown.iter().filter(|w| w["state"] == "ready").count() == workers,
                format!("{shown:?}"),
            )
        });
    }
    if let Some(job) = args.take("elsewhere") {
        let worker = args.need("worker");
        return Box::new(move |cell| {
            let all = cell.all_shown("tasks");
            let runs = |t: &&Value| t["state"] == "running" && t["worker"] != *worker;
            let own = all.iter().filter(|t| t["task"]["job"] == *job).filter(runs);
            (own.count() as u64 == count, format!("{all:?}"))
        });
    }
    if let Some(worker) = args.take("worker") {
        let state = args.need("state");
        return Box::new(move |cell| {
            let workers = cell.all_shown("workers");
            let mut own = workers.iter().filter(|w| w["worker"] == *worker);
            (own.any(|w| w["state"] == *state), format!("{workers:?}"))
        });
    }
    if let Some(rack) = args.take("rack") {
        let (is, not) = (args.take("owner"), args.take("owner-not"));
        return Box::new(move |cell| {
            let owners = cell.owners(&rack);
            let one = owners.len() == 1;
            let right = is.as_ref().is_none_or(|m| owners.contains(m));
            let wrong = not.as_ref().is_some_and(|m| owners.contains(m));
            (one && right && !wrong, format!("{owners:?}"))
        });
    }
    if let Some(call) = args.take("kv-failed") {
        return kv_failed(call, at, count);
    }
    if let Some(load) = args.take("answered") {
        let mut from = None;
        return Box::new(move |cell| {
            let n = cell.loads[&load].answered.load(Ordering::Relaxed);
            let from = *from.get_or_insert(n);
            (n - from >= count, format!("{} more answers", n - from))
        });
    }
    if let Some(key) = args.take("ran") {
        return Box::new(move |cell| (cell.ran().contains(&key), "not yet run".into()));
    }
    if let Some(reason) = args.take("reply") {
        let (via, call) = (args.need("via"), args.call());
        return Box::new(move |cell| {
            let fate = cell.send(&via, &call);
            let whole = fate.status == Some(200) && fate.body == call.body;
            let answered = if whole { "answered" } else { &fate.reason };
            (answered == reason, format!("{fate:?}"))
        });
    }
    if args.flag("idle") {
        return Box::new(move |cell| {
            let pools = cell.pools();
            let counts = pools.iter().map(|p| cell.get(&format!("{p}/running")));
            let counts: Vec<Option<Value>> = counts.collect();
            (counts.iter().all(|n| *n == Some(0.into())), format!("{counts:?} tasks"))
        });
    }
    if let Some(what) = args.take("witness") {
        return Box::new(move |cell| {
            let pools = cell.pools();
            let counts = pools.iter().filter_map(|p| cell.get(&format!("{p}/witness")));
            let n: u64 = counts.filter_map(|w| w[&what].as_u64()).sum();
            (n >= count, n.to_string())
        });
    }
    if let Some(name) = args.take("gone") {
        return Box::new(move |cell| {
            let ended = cell.process(&name).ended();
            (ended.is_some_and(|s| s.success()), format!("{ended:?}"))
        });
    }
    panic!("no condition in {:?}", args.0);
}

fn ready(members: Vec<String>) -> Look {
    Box::new(move |cell| {
        let pages = members.iter().map(|m| format!("{}/ready", cell.process(m).word("metrics")));
        let pages: Vec<String> = pages.collect();
        let ready: Vec<bool> = pages.iter().map(|p| cell.page(p).is_some()).collect();
        (ready.iter().all(|r| *r), format!("{ready:?}"))
    })
}

fn each(members: Vec<String>, holds: impl Fn(&Value) -> bool + 'static) -> Look {
    Box::new(move |cell| {
        let shows: Vec<Option<Value>> = members.iter().map(|m| cell.show(m)).collect();
        let all = shows.iter().all(|s| s.as_ref().is_some_and(&holds));
        (all, format!("{shows:?}"))
    })
}

fn tasks(job: String, state: String, reason: Option<String>, count: u64) -> Look {
    Box::new(move |cell| {
        let all = cell.all_shown("tasks");
        let own: Vec<&Value> = all.iter().filter(|t| t["task"]["job"] == *job).collect();
        let fits = |t: &&&Value| {
            let why = t["reason"].as_str().unwrap_or("");
            t["state"] == *state && reason.as_ref().is_none_or(|r| why.contains(&**r))
        };
        (own.iter().filter(fits).count() as u64 == count, format!("{own:?}"))
    })
}

/// Calls of the key-value service that have failed at each member since its start.
fn kv_failed(call: String, members: Vec<String>, count: u64) -> Look {
    let line = format!("dwr_kv_calls_total{{call=\"{call}_failed\"}}");
    Box::new(move |cell| {
        let mut failed: Vec<u64> = vec![];
        for member in &members {
            let page = format!("{}/metrics", cell.process(member).word("metrics"));
            let page = cell.page(&page).unwrap_or_default();
            let found = page.lines().find_map(|l| l.strip_prefix(&line)?.trim().parse().ok());
            failed.push(found.unwrap_or(0));
        }
        (failed.iter().all(|n| *n >= count), format!("{failed:?}"))
    })
}
