//! The status of this process, for operators.

use super::Sources;
use crate::groups::GroupView;
use crate::groups::MemberView;
use endivereach_core::ids::Position;
use endivereach_wire::operator::Counter;
use endivereach_wire::operator::GroupStatus;
use endivereach_wire::operator::MemberSummary;
use endivereach_wire::operator::ProxyStatus;

/// Returns the status of this process.
pub fn status(sources: &Sources) -> ProxyStatus {
    let settings = &sources.context.settings;
    let caller_counters = sources.caller_server.counters();
    let groups = sources.groups.all();
    ProxyStatus {
        proxy: sources.context.id.clone(),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        uptime_ms: sources.started_at.elapsed().as_millis() as u64,
        draining: sources.phase.is_draining(),
        platform_reachable: sources.fleet.is_platform_reachable(),
        rules: sources.fleet.rules_report(),
        callers: caller_counters.callers_now.get(),
        in_flight: caller_counters.requests_now.get(),
        peers: sources.fleet.peer_count(),
        groups: groups
            .iter()
            .map(|group| group_status(sources, &group.view()))
            .collect(),
        counters: counters(sources),
    }
}

/// Returns every counter of the process, in a fixed order.
pub(super) fn counters(sources: &Sources) -> Vec<Counter> {
    let mut counters = Vec::new();
    let mut add = |name: &str, value| {
        counters.push(Counter {
            name: name.into(),
            value,
        });
    };
    sources.caller_server.counters().visit(&mut add);
    sources.fleet.counters().visit(&mut add);
    let children = sources.supervisor.counts();
    let restarts = children.iter().map(|child| child.restarts).sum();
    let stalls = children.iter().map(|child| child.stalls).sum();
    add("thread_restarts", restarts);
    add("thread_stalls", stalls);
    counters
}

fn group_status(sources: &Sources, view: &GroupView) -> GroupStatus {
    let primary = view.primary.as_ref();
    let primary_end = view
        .members
        .iter()
        .find(|member| Some(&member.member.id) == primary)
        .and_then(|member| member.status.as_ref())
        .map(|status| status.durable);
    let own_id = sources.context.id.to_string();
    GroupStatus {
        name: view.name.clone(),
        term: view.term,
        primary: view.primary.clone(),
        members: view
            .members
            .iter()
            .map(|member| member_summary(member, primary_end, &own_id))
            .collect(),
        share: sources.fleet.share(&view.name),
        // No queue is counted; the field is part of the interface.
        queued: 0,
    }
}

fn member_summary(
    member: &MemberView,
    primary_end: Option<Position>,
    own_id: &str,
) -> MemberSummary {
    let status = member.status.as_ref();
    let applied = status.map(|status| status.applied);
    let lag = primary_end
        .zip(applied)
        .map_or(0, |(primary_end, applied)| {
            primary_end.index.get().saturating_sub(applied.index.get())
        });
    let counts = status.map_or(&[][..], |status| &status.connections);
    let mine = counts.iter().filter(|count| &*count.holder == own_id);
    MemberSummary {
        id: member.member.id.clone(),
        zone: member.member.zone.clone(),
        reachable: member.reachable,
        leaving: member.member.leaving,
        in_rotation: member.reachable && !member.member.leaving,
        lag_entries: lag,
        connections: mine.map(|count| count.count).sum(),
    }
}
