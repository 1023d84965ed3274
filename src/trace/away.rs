//! Finds the absences of long-running steps in the logs of their owners, the longest first.

use {
    crate::{logs::format_time, trace::Line},
    serde::Serialize,
    std::{
        cmp::Reverse,
        collections::BTreeMap,
        fmt,
        time::{Duration, UNIX_EPOCH},
    },
};

/// The maximum difference between the beginnings that two lines about one absence imply: a line is
/// written up to this long after its time without a run was determined.
const MAX_DEVIATION_MS: i64 = 500;
/// The times of the test bed's prefixes are below this, Unix times in milliseconds above.
const MIN_UNIX_MS: i64 = 10_000_000_000;

/// A time during which a task of a long-running step was away, as far as one owner knew.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Absence {
    /// How long the task had been away at the last line.
    pub away_ms: u64,
    /// The beginning, in milliseconds of Unix time or of the test bed's time.
    pub since_ms: i64,
    /// The node of the owner.
    pub node: Box<str>,
    /// The step.
    pub step: Box<str>,
    /// The cause in the last line.
    pub cause: Box<str>,
    /// How long each cause lasted, in milliseconds. The cause in a line counts from the line before
    /// it, the first one from the beginning.
    pub causes_ms: BTreeMap<Box<str>, u64>,
    /// The inputs in the last line, from which the cause was derived.
    pub inputs: Box<str>,
}

/// All absences in a set of logs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Absences {
    /// Whether the input has log lines.
    pub ok: bool,
    /// The absences, the longest first.
    pub absences: Vec<Absence>,
    /// How many lines about absences are cut off or malformed.
    pub malformed: u64,
    /// How many log lines the rate limit left out, of those that are known to be about absences.
    pub left_out: u64,
}

impl Absence {
    /// Begins an absence with its first line, or returns `None` if the line is incomplete.
    fn new(line: &Line) -> Option<Self> {
        let (step, cause) = (line.get("step")?, line.get("cause")?);
        let away_ms: u64 = line.get("away_ms")?.parse().ok()?;
        let since_ms = line.at.checked_sub(i64::try_from(away_ms).ok()?)?;
        // The owner writes this key last.
        line.get("unsettled")?;
        let inputs = line.text.split_once(&format!(" step={step} "))?.1;
        Some(Absence {
            away_ms,
            since_ms,
            node: line.node.clone(),
            step: step.into(),
            cause: cause.into(),
            causes_ms: BTreeMap::from([(cause.into(), away_ms)]),
            inputs: inputs.into(),
        })
    }

    /// Whether a later line is about this absence.
    fn includes(&self, later: &Absence) -> bool {
        later.away_ms >= self.away_ms && (later.since_ms - self.since_ms).abs() <= MAX_DEVIATION_MS
    }

    fn extend(&mut self, later: Absence) {
        *self.causes_ms.entry(later.cause.clone()).or_default() += later.away_ms - self.away_ms;
        let causes_ms = std::mem::take(&mut self.causes_ms);
        *self = Absence { causes_ms, since_ms: self.since_ms, ..later };
    }
}

/// Collects the absences of all long-running steps.
pub fn absences(mut lines: Vec<Line>) -> Absences {
    let ok = !lines.is_empty();
    lines.retain(|l| l.did() == "away");
    lines.sort_by_key(|l| l.at);
    let (mut malformed, mut left_out) = (0, 0);
    let mut by_step: BTreeMap<(Box<str>, Box<str>), Vec<Absence>> = BTreeMap::new();
    for line in &lines {
        left_out += line.number("left_out");
        let Some(absence) = Absence::new(line) else {
            malformed += 1;
            continue;
        };
        let of_step = by_step.entry((absence.node.clone(), absence.step.clone())).or_default();
        match of_step.last_mut() {
            Some(last) if last.includes(&absence) => last.extend(absence),
            _ => of_step.push(absence),
        }
    }
    let mut absences: Vec<Absence> = by_step.into_values().flatten().collect();
    absences.sort_by_key(|a| (Reverse(a.away_ms), a.since_ms));
    Absences { ok, absences, malformed, left_out }
}

impl fmt::Display for Absence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let since = match u64::try_from(self.since_ms) {
            Ok(ms) if self.since_ms >= MIN_UNIX_MS => {
                format_time(UNIX_EPOCH + Duration::from_millis(ms))
            }
            _ => format!("{:.3} s", self.since_ms as f64 / 1000.0),
        };
        let Absence { away_ms, node, step, cause, inputs, .. } = self;
        write!(f, "{away_ms:>6} ms since {since}  {node}  {step}  {cause} (")?;
        for (n, (cause, ms)) in self.causes_ms.iter().enumerate() {
            write!(f, "{}{cause} {ms} ms", if n > 0 { ", " } else { "" })?;
        }
        write!(f, ")  {inputs}")
    }
}

impl fmt::Display for Absences {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.absences.iter().try_for_each(|a| writeln!(f, "{a}"))?;
        let longest = self.absences.first().map_or(0, |a| a.away_ms);
        write!(f, "{} absences, the longest of {longest} ms", self.absences.len())?;
        if self.left_out > 0 {
            write!(f, "; {} lines were left out by the rate limit", self.left_out)?;
        }
        if self.malformed > 0 {
            write!(f, "; {} lines are malformed", self.malformed)?;
        }
        f.write_str(".")
    }
}
