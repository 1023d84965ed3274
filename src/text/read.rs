//! A text read into a [`Plan`], section by section.

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

/// The most tasks of a job, so that one line of text cannot fill a member's memory.
const TASKS: u32 = 100_000;
/// The most workers of a pool; the fleet planned for has 3,900.
const WORKERS: u32 = 100_000;
/// Slots of a worker where the text names none: what both users' services offer.
const SLOTS: u32 = 8;
/// Connections of a worker where the text names none: what both users' services offer.
const CONNECTIONS: u32 = 64;
/// The most slots and connections of a worker: the ports of one address.
const PORTS: u32 = 65_535;
/// The highest weight and priority; a thousand steps tell any two teams or jobs apart.
const STEPS: u32 = 1000;

const KINDS: [&str; 6] = ["pool", "team", "service", "replicas", "batch", "gang"];
const POOL: [&str; 6] = ["cores", "memory", "accelerators", "workers", "slots", "connections"];
const TEAM: [&str; 4] = ["weight", "cores", "memory", "accelerators"];
const SERVICE: [&str; 5] = ["team", "pool", "deadline", "run", "after"];
const REPLICAS: [&str; 9] =
    ["team", "pool", "tasks", "cores", "memory", "accelerators", "priority", "urgent", "after"];
const JOB: [&str; 11] = [
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
/// set, as `after` names both.
#[derive(Default)]
pub(super) struct Names<'a> {
    pools: BTreeMap<&'a str, u32>,
    teams: BTreeMap<&'a str, u32>,
    pub works: BTreeMap<&'a str, u32>,
}

impl Plan {
    /// Reads and checks a text.
    ///
    /// # Errors
    ///
    /// All faults of the text, by line; there is at least one. Of more than [`MAX_FAULTS`](super::FAULTS)
    /// the rest are counted in one last fault.
    pub fn read(text: &str) -> Result<Plan, Vec<Fault>> {
        Plan::read_bytes(text.as_bytes())
    }

    /// Reads and checks a text that may not be UTF-8.
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
    let heads: Vec<_> = sections.iter().map(|s| names.head(s, faults)).collect();
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
                let mut keys = Keys::new(section, &SERVICE, faults);
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
    check::sizes(&plan, &places, faults);
    check::cycles(&plan, &places, faults);
    plan
}

/// The kind of a job's section, and the keys that it knows.
fn job_kind(kind: &str) -> (JobKind, &'static [&'static str]) {
    match kind {
        "replicas" => (JobKind::Replicas, &REPLICAS),
        "batch" => (JobKind::Batch, &JOB),
        _ => (JobKind::Gang, &JOB),
    }
}

impl<'a> Names<'a> {
    /// The kind and name of a section, entered among the names; nothing where it is at fault.
    fn head(&mut self, section: &Section<'a>, faults: &mut Faults) -> Option<(&'a str, &'a str)> {
        let Section { line, head, .. } = *section;
        let (kind, name) = head.split_once([' ', '\t']).unwrap_or((head, ""));
        let name = ini_core::trim(name);
        if !KINDS.contains(&kind) {
            let remedy = faults.hint(kind, KINDS.iter().copied());
            faults.add(line, format!("no section is called {:?}", truncated(kind)), remedy);
            return None;
        }
        if !sound(name) {
            let cause = format!("a {kind} cannot be named {:?}", truncated(name));
            faults.add(line, cause, NAMES);
            return None;
        }
        let set = match kind {
            "pool" => &mut self.pools,
            "team" => &mut self.teams,
            _ => &mut self.works,
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

const NAMES: &str = "1 to 63 ASCII letters, digits, and -, _ or . within them";

fn sound(name: &str) -> bool {
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
    let mut keys = Keys::new(section, &POOL, faults);
    let size = keys.size();
    let workers = keys.number("workers", 1..=WORKERS, "35");
    let slots = keys.number_or("slots", 1..=PORTS, SLOTS);
    let connections = keys.number_or("connections", 1..=PORTS, CONNECTIONS);
    Some(Pool { size: size?, workers: workers?, slots: slots?, connections: connections? })
}

fn team(section: &Section<'_>, faults: &mut Faults) -> Option<Team> {
    let mut keys = Keys::new(section, &TEAM, faults);
    let weight = keys.number_or("weight", 1..=STEPS, 1);
    let limited = ["cores", "memory", "accelerators"].iter().any(|k| keys.has(k));
    let quota = if limited { Some(keys.size()?) } else { None };
    Some(Team { weight: weight?, quota })
}

fn service(keys: &mut Keys<'_, '_>, names: &Names<'_>) -> Option<Service> {
    let owner = owner(keys, names);
    let deadline = keys.duration("deadline", "2s");
    let run = keys.duration("run", "200ms");
    let after = after(keys, names);
    let (team, pool) = owner?;
    let (deadline, run) = (deadline?, run?);
    in_time(keys, run, Some(deadline))?;
    Some(Service { team, pool, deadline, run, after: after? })
}

fn job(keys: &mut Keys<'_, '_>, kind: JobKind, names: &Names<'_>) -> Option<Job> {
    let owner = owner(keys, names);
    let tasks = keys.number("tasks", 1..=TASKS, "1");
    let size = keys.size();
    let run = match kind {
        JobKind::Replicas => Some(Duration::ZERO),
        JobKind::Batch | JobKind::Gang => keys.duration("run", "30s"),
    };
    let deadline = match keys.has("deadline") {
        true => keys.duration("deadline", "4h").map(Some),
        false => Some(None),
    };
    let priority = keys.number_or("priority", 0..=STEPS, 0);
    let urgent = keys.yes("urgent");
    let after = after(keys, names);
    let (team, pool) = owner?;
    let (run, deadline) = (run?, deadline?);
    in_time(keys, run, deadline)?;
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

/// Refuses a deadline that even work that starts at once would miss.
fn in_time(keys: &mut Keys<'_, '_>, run: Duration, deadline: Option<Duration>) -> Option<()> {
    match deadline {
        Some(d) if d < run => keys.refuse("deadline", "no less than run, or nothing ends in time"),
        _ => Some(()),
    }
}

fn owner(keys: &mut Keys<'_, '_>, names: &Names<'_>) -> Option<(TeamId, PoolId)> {
    let team = known(keys, "team", &names.teams);
    let pool = known(keys, "pool", &names.pools);
    Some((TeamId::from(team?), PoolId::from(pool?)))
}

fn known<'a>(keys: &mut Keys<'a, '_>, key: &str, set: &BTreeMap<&str, u32>) -> Option<&'a str> {
    let name = keys.need(key, "NAME")?;
    if set.contains_key(name) {
        return Some(name);
    }
    unknown(keys, key, key, name, set);
    None
}

fn unknown(keys: &mut Keys<'_, '_>, key: &str, what: &str, name: &str, set: &BTreeMap<&str, u32>) {
    let remedy = keys.faults.hint(name, set.keys().copied());
    let line = keys.line(key);
    keys.faults.add(line, format!("unknown {what} {:?}", truncated(name)), remedy);
}

/// The names of `after`, each of them declared and named once.
fn after(keys: &mut Keys<'_, '_>, names: &Names<'_>) -> Option<Vec<Box<str>>> {
    let list = keys.list("after");
    let mut seen = BTreeMap::new();
    for name in &list {
        if !names.works.contains_key(name) {
            unknown(keys, "after", "job or service", name, &names.works);
        } else if seen.insert(*name, ()).is_some() {
            let line = keys.line("after");
            keys.faults.add(line, format!("{name:?} stands twice in after"), "name it once");
        }
    }
    (seen.len() == list.len()).then(|| list.into_iter().map(Box::from).collect())
}
