//! The reports that homes send to the first home of a group about the connections they could use.

use crate::fleet::node::Node;
use endivereach_core::ids::GroupName;
use endivereach_core::ids::ProxyName;
use endivereach_wire::http::Reply;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// The path of [`DemandReport`] calls, whose answer is `()`.
pub(crate) const PATH_DEMAND: &str = "/fleet/demand";

/// How long a report is valid. Homes repeat their reports several times within this period.
const REPORT_AGE_MAX: Duration = Duration::from_secs(15);

endivereach_core::data! {
    /// The connections per server that one proxy could use, for the groups whose demand changed.
    pub struct DemandReport {
        /// The reporting proxy.
        pub from: ProxyName,
        /// The demand for each group.
        pub groups: Vec<GroupDemand>,
    }

    /// The connections per server that one proxy could use for one group.
    pub struct GroupDemand {
        /// The group.
        pub group: GroupName,
        /// The number of connections per server that it would use without a limit.
        #[serde(rename = "wanted")]
        pub connections_wanted: u32,
    }
}

/// The demand of one home and when its report arrived.
#[derive(Clone, Copy, Debug)]
struct ReceivedDemand {
    connections_wanted: u32,
    at: Instant,
}

/// The reports of the other homes of each group.
#[derive(Debug, Default)]
pub(crate) struct DemandReports {
    by_group: Mutex<BTreeMap<GroupName, BTreeMap<ProxyName, ReceivedDemand>>>,
}

impl DemandReports {
    /// Returns a home's demand for a group, or `None` if it has sent no recent report.
    pub(super) fn connections_wanted(
        &self,
        group: &GroupName,
        home: &ProxyName,
        now: Instant,
    ) -> Option<u32> {
        let by_group = self.by_group.lock().unwrap_or_else(PoisonError::into_inner);
        let reported = by_group.get(group)?.get(home)?;
        let is_recent = now.saturating_duration_since(reported.at) < REPORT_AGE_MAX;
        is_recent.then_some(reported.connections_wanted)
    }

    fn record(&self, report: DemandReport, now: Instant) {
        let mut by_group = self.by_group.lock().unwrap_or_else(PoisonError::into_inner);
        for demand in report.groups {
            let homes = by_group.entry(demand.group).or_default();
            homes.retain(|_, reported| now.saturating_duration_since(reported.at) < REPORT_AGE_MAX);
            let reported = ReceivedDemand {
                connections_wanted: demand.connections_wanted,
                at: now,
            };
            homes.insert(report.from.clone(), reported);
        }
    }
}

/// Records a home's report and returns the reply.
pub(crate) fn record_report(node: &Node, report: DemandReport) -> Reply {
    node.demand_reports.record(report, Instant::now());
    Reply::value(&())
}
