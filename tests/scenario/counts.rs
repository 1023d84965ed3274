//! Counts: answers that members gave to callers and owners that a rack had since a mark, and texts
//! in force.

use {
    super::{Args, Cell},
    std::collections::BTreeSet,
};

impl Cell {
    /// Marks how often a rack has had an owner.
    pub(super) fn mark_gained(&mut self, args: &mut Args) -> String {
        let rack = args.required("rack");
        let times = self.gained(&rack);
        self.gain_marks.insert(rack, times);
        "".into()
    }

    /// How often a rack has had an owner since the mark.
    pub(super) fn gained_since_mark(&mut self, args: &mut Args) -> String {
        let rack = args.required("rack");
        let before = self.gain_marks.get(&rack).copied().unwrap_or(0);
        (self.gained(&rack) - before).to_string()
    }

    /// Marks how many answers each member has given for a reason.
    pub(super) fn mark_verdicts(&mut self, args: &mut Args) -> String {
        let reason = args.required("reason");
        for member in args.list("at") {
            let count = self.verdict_count(&member, &reason);
            self.verdict_marks.insert((member, reason.clone()), count);
        }
        "".into()
    }

    /// How many answers for this reason each member has given since the mark, or since it started.
    pub(super) fn verdicts(&mut self, args: &mut Args) -> String {
        let reason = args.required("reason");
        let counts = args.list("at").into_iter().map(|member| {
            let count = self.verdict_count(&member, &reason);
            let key = (member, reason.clone());
            let before = self.verdict_marks.get(&key).copied().unwrap_or(0);
            format!("{} {}", key.0, count - before)
        });
        counts.collect::<Vec<_>>().join(", ")
    }

    fn verdict_count(&mut self, member: &str, reason: &str) -> u64 {
        let name = format!("dwr_verdicts_total{{reason=\"{reason}\"}}");
        let count = self.counter(member, &name);
        count.unwrap_or_else(|| panic!("{member} does not show {name}"))
    }

    /// The value of a counter on a member's metrics page.
    pub(super) fn counter(&mut self, member: &str, name: &str) -> Option<u64> {
        let page = format!("{}/metrics", self.process(member).value("metrics"));
        self.page(&page)?.lines().find_map(|l| l.strip_prefix(name)?.trim().parse().ok())
    }

    pub(super) fn same_text(&mut self, args: &mut Args) -> String {
        let shows = args.list("at").into_iter().filter_map(|m| self.show(&m));
        let texts: BTreeSet<String> = shows.map(|s| s["text"].to_string()).collect();
        format!("{} text in force", texts.len())
    }
}
