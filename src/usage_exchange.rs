//! Collects the usage reports of the shards that this member owns until they are due to be sent to
//! the owners of other shards.
//!
//! All shards of a member share one message, so that the number of calls between two members does
//! not grow with the number of their shards.

use {
    crate::{
        ids::Incarnation,
        shard::{REPORT_INTERVAL, UsageReport, record::ShardNo},
        table_view::TableView,
        time::millis,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::Arc,
    },
};

/// The reports that wait to be sent.
#[derive(Debug, Default)]
pub struct UsageExchange {
    reports: BTreeMap<ShardNo, Arc<UsageReport>>,
    /// When the last message was due, in milliseconds of the Unix clock.
    sent_ms: Option<u64>,
}

impl UsageExchange {
    /// Adds a report. Returns the reports that are to be sent now, if any: with two owners that send
    /// to each other, there are at most four messages per second between them.
    pub fn add(&mut self, report: Arc<UsageReport>) -> Option<Vec<Arc<UsageReport>>> {
        let at_ms = report.at_ms;
        self.reports.insert(report.shard, report);
        let waits = |sent: u64| (sent..sent + millis(REPORT_INTERVAL)).contains(&at_ms);
        if self.sent_ms.is_some_and(waits) {
            return None;
        }
        self.sent_ms = Some(at_ms);
        Some(std::mem::take(&mut self.reports).into_values().collect())
    }
}

/// Returns the addresses of the other members that own a shard.
pub fn recipients(view: &TableView, me: Incarnation) -> BTreeSet<SocketAddr> {
    let owners = view.owners.values().filter(|o| **o != me);
    owners.filter_map(|o| Some(view.members.get(o)?.control)).collect()
}
