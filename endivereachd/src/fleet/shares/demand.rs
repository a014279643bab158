//! What homes tell the first home of a group about the connections that they could use.

use crate::fleet::node::Node;
use endivereach_core::ids::GroupName;
use endivereach_core::ids::ProxyName;
use endivereach_wire::http::Reply;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// The path of [`DemandReport`] calls. The answer is `()`.
pub(crate) const PATH_DEMAND: &str = "/fleet/demand";

/// How long a report counts. Reports are repeated several times within it.
const REPORT_KEPT: Duration = Duration::from_secs(15);

endivereach_core::data! {
    /// How many connections per server one proxy could use, for the groups that changed.
    pub struct DemandReport {
        /// Who reports.
        pub from: ProxyName,
        /// The groups.
        pub groups: Vec<GroupDemand>,
    }

    /// How many connections per server one proxy could use for one group.
    pub struct GroupDemand {
        /// The group.
        pub group: GroupName,
        /// Connections per server that would be used if there were no limit.
        pub wanted: u32,
    }
}

/// A report and when it arrived.
#[derive(Clone, Copy, Debug)]
struct Reported {
    wanted: u32,
    at: Instant,
}

/// The reports of the other homes, by group.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    by_group: Mutex<BTreeMap<GroupName, BTreeMap<ProxyName, Reported>>>,
}

impl Reports {
    /// Returns what a home could use of a group, or `None` when it reported nothing of late.
    pub(super) fn wanted(&self, group: &GroupName, home: &ProxyName, now: Instant) -> Option<u32> {
        let by_group = self.by_group.lock().unwrap_or_else(PoisonError::into_inner);
        let reported = by_group.get(group)?.get(home)?;
        let is_recent = now.saturating_duration_since(reported.at) < REPORT_KEPT;
        is_recent.then_some(reported.wanted)
    }

    fn take(&self, report: DemandReport, now: Instant) {
        let mut by_group = self.by_group.lock().unwrap_or_else(PoisonError::into_inner);
        for demand in report.groups {
            let homes = by_group.entry(demand.group).or_default();
            homes.retain(|_, reported| now.saturating_duration_since(reported.at) < REPORT_KEPT);
            let reported = Reported {
                wanted: demand.wanted,
                at: now,
            };
            homes.insert(report.from.clone(), reported);
        }
    }
}

/// Takes in a home's report.
pub(crate) fn take_report(node: &Node, report: DemandReport) -> Reply {
    node.reports.take(report, Instant::now());
    Reply::value(&())
}
