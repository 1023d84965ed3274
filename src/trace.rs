//! Traces one job through the logs of many processes, and lists the absences of long-running steps.
//!
//! The input has the lines of [`logs`](crate::logs), either plain or prefixed with a time in
//! seconds and the name of a node, as the test bed prints them. Lines that can't be parsed are
//! skipped, because files have gaps and the last line of a process that died is cut off. The clocks
//! of nodes differ: if a node's line shows an effect before its cause on another node, all lines of
//! the first node are shifted, so that their own order is kept.

use {
    crate::work::JobNo,
    serde::Serialize,
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt,
    },
};

mod away;
mod read;
mod sum;

use sum::summarize;
pub use {
    away::{Absence, Absences, absences},
    read::{Line, read},
};

/// Values of `did` in the records about a job that only the owner of its shard writes.
const OWNER_EVENTS: [&str; 10] = [
    "known",
    "start",
    "again",
    "end",
    "lost",
    "stop",
    "refused_start",
    "over",
    "cancelled",
    "away",
];

/// The subject of a trace: a job, a step or a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Id {
    job: Box<str>,
    /// The whole name, if it names more than the job.
    target: Option<Box<str>>,
}

impl Id {
    /// Parses the number of a job or the name of a step or task; returns `None` for anything else.
    pub fn read(word: &str) -> Option<Self> {
        let (job, rest) = word.split_once('.').unwrap_or((word, ""));
        job.parse::<JobNo>().ok()?;
        let parts: Vec<&str> = rest.split('.').filter(|p| !p.is_empty()).collect();
        let numbers = parts.iter().all(|p| p.parse::<u32>().is_ok());
        let well_formed = rest.is_empty() || parts.join(".") == rest;
        let target = (!parts.is_empty()).then(|| word.into());
        (numbers && well_formed && parts.len() <= 3 && !word.ends_with('.'))
            .then(|| Id { job: job.into(), target })
    }

    /// Whether a line concerns this id: the job as a whole, the named step or task, one that
    /// contains it, or one that it contains.
    fn matches(&self, line: &Line) -> bool {
        if line.get("job") != Some(&self.job) {
            return false;
        }
        let named = line.get("task").or(line.get("step"));
        let (Some(target), Some(named)) = (&self.target, named) else { return true };
        let within =
            |a: &str, b: &str| a == b || a.strip_prefix(b).is_some_and(|r| r.starts_with('.'));
        within(named, target) || within(target, named)
    }
}

/// The trace of one id.
#[derive(Clone, Debug, Serialize)]
pub struct Trace {
    /// Whether any line concerns the id.
    pub ok: bool,
    /// A summary that states how the time was spent.
    pub sentence: Box<str>,
    /// Time from the first line to the last, in milliseconds.
    pub total_ms: i64,
    /// Time that the steps waited before their first start, in milliseconds by reason.
    pub waited_ms: BTreeMap<Box<str>, u64>,
    /// Work of runs that were lost, failed or stopped, in milliseconds.
    pub lost_ms: u64,
    /// The lines in order.
    pub lines: Vec<Line>,
}

impl fmt::Display for Trace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let first = self.lines.first().map_or(0, |l| l.at);
        for line in &self.lines {
            writeln!(f, "{:>8} ms  {:<20} {}", line.at - first, line.node, line.text)?;
        }
        write!(f, "{}", self.sentence)
    }
}

/// Selects the lines of an id, together with those about its shard and its workers in that time,
/// and orders them.
pub fn trace(id: &Id, mut all: Vec<Line>) -> Trace {
    let shift = clock_shifts(all.iter().filter(|l| id.matches(l)));
    for line in &mut all {
        line.at += shift.get(&line.node).copied().unwrap_or(0);
    }
    let mine: Vec<&Line> = all.iter().filter(|l| id.matches(l)).collect();
    let (Some(from), Some(to)) = (mine.iter().map(|l| l.at).min(), mine.iter().map(|l| l.at).max())
    else {
        let sentence = "No line names it.".into();
        let (waited_ms, lines) = Default::default();
        return Trace { ok: false, sentence, total_ms: 0, waited_ms, lost_ms: 0, lines };
    };
    let values = |key| mine.iter().filter_map(|l| l.get(key)).collect::<BTreeSet<&str>>();
    let (shards, workers) = (values("shard"), values("worker"));
    let concerns = |l: &&Line| {
        let named = |key, of: &BTreeSet<&str>| l.get(key).is_some_and(|v| of.contains(v));
        let other = l.get("job").is_none() && (from..=to).contains(&l.at);
        other && (named("shard", &shards) || named("worker", &workers))
    };
    let mut lines: Vec<Line> =
        all.iter().filter(|l| id.matches(l) || concerns(l)).cloned().collect();
    lines.sort_by_key(|l| (l.at, l.rank()));
    // A line about a shard or worker that a node repeats is kept only once, at its first place.
    let mut seen = BTreeSet::new();
    lines.retain(|l| id.matches(l) || seen.insert((l.node.clone(), l.text.clone())));
    summarize(lines, to - from)
}

/// By how many milliseconds each node's clock has to be shifted so that no effect precedes its
/// cause.
fn clock_shifts<'a>(lines: impl Iterator<Item = &'a Line>) -> BTreeMap<Box<str>, i64> {
    let lines: Vec<&Line> = lines.collect();
    let taken = lines.iter().find(|l| l.did() == "taken");
    let mut shift: BTreeMap<Box<str>, i64> = BTreeMap::new();
    let mut raise = |node: &str, ms: i64| {
        if ms > 0 {
            let all = shift.entry(node.into()).or_default();
            *all = (*all).max(ms);
        }
    };
    let Some(taken) = taken else { return shift };
    for line in lines.iter().filter(|l| OWNER_EVENTS.contains(&l.did()) && l.node != taken.node) {
        raise(&line.node, taken.at - line.at);
    }
    let moved = |l: &Line| l.at + shift.get(&l.node).copied().unwrap_or(0);
    // After a takeover, one owner may start a step and the next one finish the job: the end must
    // not precede the start.
    let over = lines.iter().find(|l| l.did() == "over");
    let started = lines.iter().filter(|l| l.did() == "start").map(|l| moved(l)).max();
    if let (Some(over), Some(started)) = (over, started)
        && started > moved(over)
    {
        let ms = shift.get(&over.node).copied().unwrap_or(0) + started - moved(over);
        shift.insert(over.node.clone(), ms);
    }
    shift
}
