//! Opens connections for tenants: gathers what [`tenant_connections`] decides from, and carries its
//! decisions out.

use super::Engine;
use super::group::Group;
use super::pool::is_stuck;
use super::statement::CallerId;
use super::statement::ConnectionId;
use super::target::Connection;
use super::target::Target;
use super::tenant_connections;
use super::tenant_connections::Decision;
use super::tenant_connections::IdleConnection;
use super::tenant_connections::REPLACE_AGE_MIN;
use super::tenant_connections::Requester;
use super::tenant_connections::ServerState;
use super::tenant_connections::Usage;
use crate::ids::MemberId;
use crate::ids::Position;
use crate::logfmt::LogValue;
use crate::routing::Candidate;
use crate::routing::choose_target;
use crate::tenants::TenantName;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

impl Engine {
    /// Returns the target that a connection for a tenant's read is opened to, if one is.
    ///
    /// With an idle connection to `chosen`, one is opened only to a target that is faster by more
    /// than the time that opening takes, and no other tenant's connection is closed for it. But a
    /// tenant whose reads would stay on the primary gets a connection to a replica: the primary's
    /// slots are needed by what only it can run.
    pub(super) fn choose_opening(
        &self,
        now: Instant,
        id: CallerId,
        candidates: &[Candidate],
        targets: &[&Target],
        may_serve: impl Fn(usize) -> bool,
        chosen: Option<usize>,
    ) -> Option<(MemberId, Decision<ConnectionId>)> {
        let tenant = self.caller_tenant(id);
        let (usable, alternatives): (Vec<usize>, Vec<&Target>) = (0..targets.len())
            .filter(|index| may_serve(*index))
            .map(|index| (index, targets[index]))
            .unzip();
        let is_of_replica = |index: &&usize| !candidates[**index].is_primary;
        let has_replica_connection = usable.iter().filter(is_of_replica).any(|index| {
            let mut connections = self.tenant_connections(targets[*index], tenant);
            connections.next().is_some()
        });
        let leaves_primary = |chosen: usize, index: usize| {
            candidates[chosen].is_primary
                && !candidates[index].is_primary
                && !has_replica_connection
        };
        let completion = |index: usize| candidates[index].expected_completion();
        let decision = |index: usize| {
            let target = targets[index];
            match chosen {
                None => self.decide_opening(now, target, tenant, &alternatives),
                Some(chosen)
                    if leaves_primary(chosen, index)
                        || completion(index) + target.opening_time < completion(chosen) =>
                {
                    match self.decide_opening(now, target, tenant, &[target]) {
                        Decision::Open => Decision::Open,
                        Decision::Wait | Decision::Replace(_) => Decision::Wait,
                    }
                }
                Some(_) => Decision::Wait,
            }
        };
        let is_skipped = |index: usize| {
            !usable.contains(&index)
                || !targets[index].admits_statement(now)
                || decision(index) == Decision::Wait
        };
        let any_position = Position::default();
        let opened = choose_target(candidates, any_position, is_skipped, self.rotation)?;
        Some((targets[opened].entry.id.clone(), decision(opened)))
    }

    /// Returns the expected wait for one of the tenant's connections to `targets`, or `None` if none
    /// of them can be expected to become idle.
    fn expected_wait(
        &self,
        now: Instant,
        targets: &[&Target],
        tenant: Option<&TenantName>,
    ) -> Option<Duration> {
        let group = self.groups.get(&targets.first()?.entry.group)?;
        let usage = group.usage.get(&tenant.cloned());
        let response_time = targets.iter().map(|target| target.response_time).max();
        let hold_time = usage.and_then(Usage::hold_time).or(response_time)?;
        let waiting = usage.map_or(1, |usage| usage.waiting.max(1));
        let connections = targets
            .iter()
            .flat_map(|target| self.tenant_connections(target, tenant))
            .filter(|connection| !is_stuck(now, connection));
        let mut probed = 0;
        let mut releases_per_s = 0.0;
        for connection in connections {
            probed += usize::from(connection.awaits_only_probes());
            // A transaction that is open for longer than usual is expected to stay open as long
            // again.
            let held_for = connection
                .assigned_at
                .map(|since| now.saturating_duration_since(since));
            let remaining = hold_time.max(held_for.unwrap_or_default());
            releases_per_s += 1.0 / remaining.as_secs_f64().max(f64::EPSILON);
        }
        if probed >= waiting {
            return Some(Duration::ZERO);
        }
        Duration::try_from_secs_f64(waiting as f64 / releases_per_s).ok()
    }

    /// Decides whether a connection to a target is opened for a tenant whose statement waits.
    /// `alternatives` are the targets, including this one, that can run the statement.
    pub(super) fn decide_opening<'e>(
        &'e self,
        now: Instant,
        target: &'e Target,
        tenant: Option<&'e TenantName>,
        alternatives: &[&'e Target],
    ) -> Decision<ConnectionId> {
        let Some(group) = self.groups.get(&target.entry.group) else {
            return Decision::Wait;
        };
        let is_elsewhere = |other: &&&Target| other.entry.id != target.entry.id;
        let elsewhere = alternatives
            .iter()
            .filter(is_elsewhere)
            .map(|other| self.tenant_connections(other, tenant).count())
            .sum();
        let mut connections = self.tenant_connections(target, tenant);
        let requester = Requester {
            is_opening: connections.any(|connection| !connection.is_open),
            connections: self.tenant_connections(target, tenant).count(),
            elsewhere,
            part: self.tenant_part(group, tenant),
            limit: self.tenant_limit(now, target, tenant),
            expected_wait: self.expected_wait(now, alternatives, tenant),
        };
        let server = ServerState {
            may_grow: target.may_grow(now),
            may_open_first: target.may_open_first(now),
            may_replace: now >= target.replace_from,
            opening_time: target.opening_time,
        };
        tenant_connections::decide(
            now,
            requester,
            server,
            self.replaceable(now, group, target, tenant),
        )
    }

    /// Returns, for each tenant other than `tenant`, the idle connection to a target that it is
    /// expected to need last.
    fn replaceable<'e>(
        &'e self,
        now: Instant,
        group: &'e Group,
        target: &'e Target,
        tenant: Option<&'e TenantName>,
    ) -> impl Iterator<Item = IdleConnection<ConnectionId>> {
        let mut by_tenant: BTreeMap<Option<&TenantName>, Vec<(ConnectionId, &Connection)>> =
            BTreeMap::new();
        for id in &target.connections {
            if let Some(connection) = self.connections.get(id)
                && connection.tenant.as_ref() != tenant
            {
                let connections = by_tenant.entry(connection.tenant.as_ref());
                connections.or_default().push((*id, connection));
            }
        }
        by_tenant.into_iter().filter_map(move |(owner, of_owner)| {
            let is_idle = |(_, connection): &&(_, &Connection)| connection.is_idle();
            let (id, last) = of_owner
                .iter()
                .filter(is_idle)
                .min_by_key(|(_, connection)| {
                    let is_new = now < connection.opened_at + REPLACE_AGE_MIN;
                    (is_new, connection.used_at)
                })?;
            let idle = of_owner.iter().filter(is_idle).count();
            let usage = group.usage.get(&last.tenant);
            let needed_in = usage.map_or(Duration::MAX, |usage| {
                usage.needed_in(now, of_owner.len() - 1, idle - 1)
            });
            Some(IdleConnection {
                id: *id,
                opened_at: last.opened_at,
                needed_in,
                connections: of_owner.len(),
                part: self.tenant_part(group, owner),
            })
        })
    }

    /// Carries out a decision for a tenant.
    pub(super) fn apply_opening(
        &mut self,
        now: Instant,
        member: &MemberId,
        tenant: Option<&TenantName>,
        decision: Decision<ConnectionId>,
    ) {
        match decision {
            Decision::Wait => {}
            Decision::Open => self.open(now, member, tenant.cloned()),
            Decision::Replace(replaced) => {
                let is_delayed = |target: &Target| now < target.reconnect_at;
                if self.targets.get(member).is_none_or(is_delayed) {
                    return;
                }
                if let Some(connection) = self.connections.get(&replaced) {
                    log::info!(
                        target: "belief",
                        "event=connection-replaced target={} tenant={} of={}",
                        LogValue(member),
                        LogValue(tenant.map_or("none", TenantName::as_str)),
                        LogValue(connection.tenant.as_ref().map_or("none", TenantName::as_str))
                    );
                }
                self.counters.connections_replaced += 1;
                self.close_connection(now, replaced);
                self.open(now, member, tenant.cloned());
                if let Some(target) = self.targets.get_mut(member) {
                    target.replaced_at = Some(now);
                }
            }
        }
    }

    /// Opens a connection to a target for a probe, because none can carry it. Returns `false` if the
    /// probe has to wait for a connection.
    ///
    /// The connection belongs to the tenant that used the group last, so that it can also run its
    /// statements. Without waiting statements, only the homes of the group open one: a process with
    /// a few tenants would reopen closed connections just to probe.
    pub(super) fn open_for_probe(&mut self, now: Instant, member: &MemberId) -> bool {
        let Some(target) = self.targets.get(member) else {
            return true;
        };
        let Some(group) = self.groups.get(&target.entry.group) else {
            return true;
        };
        let is_needed = group.is_home
            || !group.queue.is_empty()
            || !group.awaiting_proof.is_empty()
            || group.failover.needs_probes();
        if !is_needed {
            return true;
        }
        let is_opening = |id: &ConnectionId| self.connections.get(id).is_some_and(|c| !c.is_open);
        if !target.connections.iter().any(is_opening) && target.may_grow(now) {
            let name = target.entry.group.clone();
            let tenant = self.recent_tenant(now, &name);
            self.open(now, member, tenant);
        }
        false
    }
}
