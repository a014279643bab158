//! Reports to operators about the rules of this process.

use super::messages::Topic;
use super::messages::age_ms;
use super::node::Node;
use endivereach_wire::operator::RulesReport;
use std::time::Instant;

/// Returns a report on the rules that this process applies.
pub(crate) fn rules_report(node: &Node) -> RulesReport {
    let now = Instant::now();
    let evidence = node.evidence(Topic::Rules);
    RulesReport {
        proxy: node.context.id.clone(),
        version: node.rules.version(),
        state: node.rules.state(now),
        confirmed_ago_ms: evidence.map_or(u64::MAX, |latest| age_ms(latest.age(now))),
        refused: node.rules.refused(),
    }
}
