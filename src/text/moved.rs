//! Jobs that a new text gives to another team.

use {
    super::{Fault, Plan},
    crate::ids::JobId,
};

impl Plan {
    /// The faults of this plan, read from `text`, as the one that follows `old`: jobs whose team has
    /// changed.
    ///
    /// All jobs of a team belong to one bucket, and a job that changes its team to another one, maybe
    /// with another owner. That owner would start its tasks while the former one still stops them,
    /// and they would run in two places. So a job keeps its team for as long as it is listed.
    pub fn moved(&self, old: &Plan, text: &str) -> Vec<Fault> {
        let team = |name: &JobId| old.jobs.get(name).map(|j| &j.team);
        let moved = self.jobs.iter().filter(|(name, j)| team(name).is_some_and(|t| *t != j.team));
        let fault = |(name, _): (&JobId, _)| Fault {
            line: line(text, name),
            cause: format!("the job {:?} changes its team", name.as_str()).into(),
            remedy: "submit a text without it, wait until its tasks have stopped, then list it"
                .into(),
        };
        moved.map(fault).collect()
    }
}

/// The line of a job's section, or the first where it can't be told.
fn line(text: &str, name: &JobId) -> u32 {
    let head = |line: &str| {
        let inner = line.trim().strip_prefix('[')?.strip_suffix(']')?;
        let (kind, rest) = inner.trim().split_once([' ', '\t'])?;
        Some(["replicas", "batch", "gang"].contains(&kind) && rest.trim() == name.as_str())
    };
    let found = text.lines().position(|line| head(line) == Some(true));
    found.and_then(|n| u32::try_from(n + 1).ok()).unwrap_or(1)
}
