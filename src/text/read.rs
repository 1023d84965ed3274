//! Parses a text into a [`Plan`], section by section.

use {
    super::{
        check,
        keys::Keys,
        places::{Lines, Places},
        plan::{Job, JobKind, Plan, Pool, Service, Team},
    },
    crate::{
        ids::{JobId, PoolId, ServiceId, TeamId},
        ini::{self, Fault, Faults, MAX_NAME_BYTES, Section, truncated},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// The maximum number of tasks of a job, so that one line of text can't exhaust a member's memory.
const MAX_TASKS: u32 = 100_000;
/// The maximum number of workers of a pool; the largest planned fleet has 3,900.
const MAX_WORKERS: u32 = 100_000;
/// Slots of a worker if the text gives none: the services of both user organizations offer 8.
const DEFAULT_SLOTS: u32 = 8;
/// Connections of a worker if the text gives none: the services of both user organizations accept
/// 64.
const DEFAULT_CONNECTIONS: u32 = 64;
/// The maximum number of slots and connections of a worker: the ports of one address.
const MAX_PORTS: u32 = 65_535;
/// The maximum weight and priority; a thousand values are enough to rank all teams or jobs.
const MAX_LEVEL: u32 = 1000;

const SECTION_KINDS: [&str; 6] = ["pool", "team", "service", "replicas", "batch", "gang"];
const POOL_KEYS: [&str; 6] = ["cores", "memory", "accelerators", "workers", "slots", "connections"];
const TEAM_KEYS: [&str; 4] = ["weight", "cores", "memory", "accelerators"];
const SERVICE_KEYS: [&str; 5] = ["team", "pool", "deadline", "run", "after"];
const REPLICAS_KEYS: [&str; 9] =
    ["team", "pool", "tasks", "cores", "memory", "accelerators", "priority", "urgent", "after"];
const JOB_KEYS: [&str; 11] = [
    "team",
    "pool",
    "tasks",
    "cores",
    "memory",
    "accelerators",
    "run",
    "deadline",
    "priority",
    "urgent",
    "after",
];

/// The names that a text declares, with the lines of their sections. Services and jobs share one
/// namespace, since `after` refers to both.
#[derive(Default)]
pub(super) struct Names<'a> {
    pools: BTreeMap<&'a str, u32>,
    teams: BTreeMap<&'a str, u32>,
    pub workloads: BTreeMap<&'a str, u32>,
}

impl Plan {
    /// Parses and checks a text.
    ///
    /// # Errors
    ///
    /// All faults of the text in order of lines; there is at least one. If there are more than
    /// [`MAX_FAULTS`](super::MAX_FAULTS), a last fault gives the number of those not listed.
    pub fn read(text: &str) -> Result<Plan, Vec<Fault>> {
        Plan::read_bytes(text.as_bytes())
    }

    /// Parses and checks a text that may not be valid UTF-8.
    ///
    /// # Errors
    ///
    /// As [`Plan::read`].
    pub fn read_bytes(bytes: &[u8]) -> Result<Plan, Vec<Fault>> {
        let mut faults = Faults::new();
        let Some(text) = ini::decode(bytes, &mut faults) else { return Err(faults.finish()) };
        ini::check_record(&text, &mut faults);
        let sections = ini::sections(&text, &mut faults);
        if sections.is_empty() && faults.is_empty() {
            faults.add(1, "the text is empty", "declare at least one section like [pool NAME]");
        }
        let plan = plan(&sections, &mut faults);
        if faults.is_empty() { Ok(plan) } else { Err(faults.finish()) }
    }
}

fn plan(sections: &[Section<'_>], faults: &mut Faults) -> Plan {
    let mut names = Names::default();
    let heads: Vec<_> = sections.iter().map(|s| names.declare(s, faults)).collect();
    let mut plan = Plan::default();
    let mut places = Places::new();
    for (section, head) in sections.iter().zip(heads) {
        match head {
            None => {}
            Some(("pool", name)) => {
                let pool = pool(section, faults).map(|p| (PoolId::from(name), p));
                plan.pools.extend(pool);
            }
            Some(("team", name)) => {
                let team = team(section, faults).map(|t| (TeamId::from(name), t));
                plan.teams.extend(team);
            }
            Some(("service", name)) => {
                let mut keys = Keys::new(section, &SERVICE_KEYS, faults);
                places.insert(name, lines(&keys, section));
                let service = service(&mut keys, &names).map(|s| (ServiceId::from(name), s));
                plan.services.extend(service);
            }
            Some((kind, name)) => {
                let (kind, known) = job_kind(kind);
                let mut keys = Keys::new(section, known, faults);
                places.insert(name, lines(&keys, section));
                let job = job(&mut keys, kind, &names).map(|j| (JobId::from(name), j));
                plan.jobs.extend(job);
            }
        }
    }
    check::check_sizes(&plan, &places, faults);
    check::check_cycles(&plan, &places, faults);
    plan
}

/// The kind of a job's section, and its known keys.
fn job_kind(kind: &str) -> (JobKind, &'static [&'static str]) {
    match kind {
        "replicas" => (JobKind::Replicas, &REPLICAS_KEYS),
        "batch" => (JobKind::Batch, &JOB_KEYS),
        _ => (JobKind::Gang, &JOB_KEYS),
    }
}

impl<'a> Names<'a> {
    /// Declares a section's name and returns its kind and name; `None` if the head has a fault.
    fn declare(
        &mut self,
        section: &Section<'a>,
        faults: &mut Faults,
    ) -> Option<(&'a str, &'a str)> {
        let Section { line, head, .. } = *section;
        let (kind, name) = head.split_once([' ', '\t']).unwrap_or((head, ""));
        let name = ini_core::trim(name);
        if !SECTION_KINDS.contains(&kind) {
            let remedy = faults.hint(kind, SECTION_KINDS.iter().copied());
            faults.add(line, format!("no section is called {:?}", truncated(kind)), remedy);
            return None;
        }
        if !is_valid_name(name) {
            let cause = format!("a {kind} cannot be named {:?}", truncated(name));
            faults.add(line, cause, NAME_RULE);
            return None;
        }
        let set = match kind {
            "pool" => &mut self.pools,
            "team" => &mut self.teams,
            _ => &mut self.workloads,
        };
        if let Some(first) = set.get(name) {
            let cause = format!("{name:?} is declared here and in line {first}");
            faults.add(line, cause, "remove or rename one of the two");
            return None;
        }
        set.insert(name, line);
        Some((kind, name))
    }
}

const NAME_RULE: &str = "1 to 63 ASCII letters, digits, and -, _ or . within them";

fn is_valid_name(name: &str) -> bool {
    let edge = |b: Option<&u8>| b.is_some_and(u8::is_ascii_alphanumeric);
    let bytes = name.as_bytes();
    edge(bytes.first())
        && edge(bytes.last())
        && bytes.len() <= MAX_NAME_BYTES
        && bytes.iter().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(b))
}

fn lines(keys: &Keys<'_, '_>, section: &Section<'_>) -> Lines {
    Lines {
        head: section.line,
        cores: keys.line("cores"),
        memory: keys.line("memory"),
        accels: keys.line("accelerators"),
        tasks: keys.line("tasks"),
        after: keys.line("after"),
    }
}

fn pool(section: &Section<'_>, faults: &mut Faults) -> Option<Pool> {
    let mut keys = Keys::new(section, &POOL_KEYS, faults);
    let size = keys.size();
    let workers = keys.number("workers", 1..=MAX_WORKERS, "35");
    let slots = keys.number_or("slots", 1..=MAX_PORTS, DEFAULT_SLOTS);
    let connections = keys.number_or("connections", 1..=MAX_PORTS, DEFAULT_CONNECTIONS);
    Some(Pool { size: size?, workers: workers?, slots: slots?, connections: connections? })
}

fn team(section: &Section<'_>, faults: &mut Faults) -> Option<Team> {
    let mut keys = Keys::new(section, &TEAM_KEYS, faults);
    let weight = keys.number_or("weight", 1..=MAX_LEVEL, 1);
    let limited = ["cores", "memory", "accelerators"].iter().any(|k| keys.has(k));
    let quota = if limited { Some(keys.size()?) } else { None };
    Some(Team { weight: weight?, quota })
}

fn service(keys: &mut Keys<'_, '_>, names: &Names<'_>) -> Option<Service> {
    let team_and_pool = team_and_pool(keys, names);
    let deadline = keys.duration("deadline", "2s");
    let run = keys.duration("run", "200ms");
    let after = after(keys, names);
    let (team, pool) = team_and_pool?;
    let (deadline, run) = (deadline?, run?);
    check_deadline(keys, run, Some(deadline))?;
    Some(Service { team, pool, deadline, run, after: after? })
}

fn job(keys: &mut Keys<'_, '_>, kind: JobKind, names: &Names<'_>) -> Option<Job> {
    let team_and_pool = team_and_pool(keys, names);
    let tasks = keys.number("tasks", 1..=MAX_TASKS, "1");
    let size = keys.size();
    let run = match kind {
        JobKind::Replicas => Some(Duration::ZERO),
        JobKind::Batch | JobKind::Gang => keys.duration("run", "30s"),
    };
    let deadline = match keys.has("deadline") {
        true => keys.duration("deadline", "4h").map(Some),
        false => Some(None),
    };
    let priority = keys.number_or("priority", 0..=MAX_LEVEL, 0);
    let urgent = keys.flag("urgent");
    let after = after(keys, names);
    let (team, pool) = team_and_pool?;
    let (run, deadline) = (run?, deadline?);
    check_deadline(keys, run, deadline)?;
    Some(Job {
        kind,
        team,
        pool,
        tasks: tasks?,
        size: size?,
        run,
        deadline,
        priority: priority?,
        urgent: urgent?,
        after: after?,
    })
}

/// Refuses a deadline shorter than the run time, which would be missed even without waiting.
fn check_deadline(
    keys: &mut Keys<'_, '_>,
    run: Duration,
    deadline: Option<Duration>,
) -> Option<()> {
    match deadline {
        Some(d) if d < run => keys.refuse("deadline", "no less than run, or nothing ends in time"),
        _ => Some(()),
    }
}

fn team_and_pool(keys: &mut Keys<'_, '_>, names: &Names<'_>) -> Option<(TeamId, PoolId)> {
    let team = declared_name(keys, "team", &names.teams);
    let pool = declared_name(keys, "pool", &names.pools);
    Some((TeamId::from(team?), PoolId::from(pool?)))
}

fn declared_name<'a>(
    keys: &mut Keys<'a, '_>,
    key: &str,
    set: &BTreeMap<&str, u32>,
) -> Option<&'a str> {
    let name = keys.require(key, "NAME")?;
    if set.contains_key(name) {
        return Some(name);
    }
    add_unknown(keys, key, key, name, set);
    None
}

fn add_unknown(
    keys: &mut Keys<'_, '_>,
    key: &str,
    what: &str,
    name: &str,
    set: &BTreeMap<&str, u32>,
) {
    let remedy = keys.faults.hint(name, set.keys().copied());
    let line = keys.line(key);
    keys.faults.add(line, format!("unknown {what} {:?}", truncated(name)), remedy);
}

/// The names of `after`; each must be declared and listed once.
fn after(keys: &mut Keys<'_, '_>, names: &Names<'_>) -> Option<Vec<Box<str>>> {
    let list = keys.list("after");
    let mut seen = BTreeMap::new();
    for name in &list {
        if !names.workloads.contains_key(name) {
            add_unknown(keys, "after", "job or service", name, &names.workloads);
        } else if seen.insert(*name, ()).is_some() {
            let line = keys.line("after");
            keys.faults.add(line, format!("{name:?} stands twice in after"), "name it once");
        }
    }
    (seen.len() == list.len()).then(|| list.into_iter().map(Box::from).collect())
}
