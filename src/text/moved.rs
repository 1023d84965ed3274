//! The check that a new text moves no job to another team.

use {
    super::{Fault, Plan},
    crate::ids::JobId,
};

impl Plan {
    /// The faults of this plan, parsed from `text`, as the successor of `old`: jobs whose team has
    /// changed.
    ///
    /// All jobs of a team belong to one bucket. A job that changes its team moves to another
    /// bucket, which may have another owner. That owner would start the job's tasks while the
    /// previous owner still stops them, and they would run twice. A job therefore keeps its team
    /// while it is listed.
    pub fn team_changes(&self, old: &Plan, text: &str) -> Vec<Fault> {
        let team = |name: &JobId| old.jobs.get(name).map(|j| &j.team);
        let moved = self.jobs.iter().filter(|(name, j)| team(name).is_some_and(|t| *t != j.team));
        let fault = |(name, _): (&JobId, _)| Fault {
            line: section_line(text, name),
            cause: format!("the job {:?} changes its team", name.as_str()).into(),
            remedy: "submit a text without it, wait until its tasks have stopped, then list it"
                .into(),
        };
        moved.map(fault).collect()
    }
}

/// The line of a job's section, or 1 if it isn't found.
fn section_line(text: &str, name: &JobId) -> u32 {
    let head = |line: &str| {
        let inner = line.trim().strip_prefix('[')?.strip_suffix(']')?;
        let (kind, rest) = inner.trim().split_once([' ', '\t'])?;
        Some(["replicas", "batch", "gang"].contains(&kind) && rest.trim() == name.as_str())
    };
    let found = text.lines().position(|line| head(line) == Some(true));
    found.and_then(|n| u32::try_from(n + 1).ok()).unwrap_or(1)
}
