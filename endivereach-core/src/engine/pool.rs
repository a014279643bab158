//! The connection pool of each target, and this process's connection limit.

use super::Effect;
use super::Engine;
use super::caller::Caller;
use super::outstanding::CommandKind;
use super::statement::Body;
use super::statement::CallerId;
use super::statement::Command;
use super::statement::ConnectionId;
use super::statement::PreparedStatement;
use super::target::Connection;
use super::target::Target;
use crate::homes::RESERVED_CONNECTIONS;
use crate::homes::home_count;
use crate::ids::GroupName;
use crate::ids::MemberId;
use crate::tenants::TenantName;
use std::time::Duration;
use std::time::Instant;

/// The maximum number of connections beyond this process's share while the target has spare
/// connections.
pub(super) const CONNECTIONS_ABOVE_SHARE_MAX: usize = 2;

/// The number of connections to a target that a process opens if it isn't a home of the group. More
/// than one, so that a transaction doesn't hold up all other sessions.
pub(super) const CONNECTIONS_OUTSIDE_HOMES: usize = 2;

/// The used part of a primary's connections, in percent, below which processes may exceed their
/// share.
const PRIMARY_SPARE_BELOW_PERCENT: u32 = 75;

/// The used part of a replica's connections, in percent, below which processes may exceed their
/// share.
const REPLICA_SPARE_BELOW_PERCENT: u32 = 40;

/// The part of a replica's connections, in percent, that is divided among the processes.
/// Connections of VMs that lost power stay in use for seconds, and VMs that restart need free ones
/// in the meantime.
const REPLICA_SHARED_PERCENT: u32 = 50;

/// The time after which a connection with an unanswered command counts as stuck: several times the
/// run time of a long statement.
const STUCK_TIMEOUT: Duration = Duration::from_millis(250);

impl Engine {
    /// Returns how many connections one server of a group accepts from all proxies together.
    pub fn connections_per_server(&self, group: &GroupName) -> Option<u32> {
        let group = self.groups.get(group)?;
        Some(group.limits.connections_per_server)
    }

    /// Returns the idle connections to a target that run the statements of a tenant.
    pub(super) fn idle_connections<'e>(
        &'e self,
        target: &'e Target,
        tenant: Option<&'e TenantName>,
    ) -> impl Iterator<Item = (ConnectionId, &'e Connection)> {
        let connections = target.connections.iter();
        connections
            .filter_map(|id| self.connections.get(id).map(|connection| (*id, connection)))
            .filter(move |(_, connection)| {
                connection.is_idle() && connection.tenant.as_ref() == tenant
            })
    }

    /// Returns an idle connection to a target, preferably one that already has the caller's session
    /// state.
    pub(super) fn idle_connection_for(
        &self,
        member: &MemberId,
        id: CallerId,
    ) -> Option<ConnectionId> {
        let target = self.targets.get(member)?;
        let caller = self.callers.get(&id)?;
        let body = &caller.pending.as_ref()?.statement.body;
        let mismatch = |connection: &Connection| {
            let is_prepared = match required_definition(caller, body) {
                Some(definition) => connection.prepared.contains_key(definition),
                None => true,
            };
            (
                connection.session_values != caller.session_values,
                !is_prepared,
            )
        };
        self.idle_connections(target, caller.tenant.as_ref())
            .min_by_key(|(_, connection)| mismatch(connection))
            .map(|(id, _)| id)
    }

    /// Opens one more connection to a target for callers of a tenant, if this process's limit allows
    /// it and none is being opened for them.
    pub(super) fn open_if_allowed(
        &mut self,
        now: Instant,
        member: &MemberId,
        tenant: Option<&TenantName>,
    ) {
        let Some(target) = self.targets.get(member) else {
            return;
        };
        if self.has_tenants() {
            let decision = self.decide_opening(now, target, tenant, &[target]);
            let is_limit_uncertain = self.is_limit_uncertain(now, target, tenant);
            let name = target.entry.group.clone();
            self.apply_opening(now, member, tenant, decision);
            if is_limit_uncertain {
                self.request_floor_probes(now, &name);
            }
            return;
        }
        let is_opening = target
            .connections
            .iter()
            .filter_map(|id| self.connections.get(id))
            .any(|connection| !connection.is_open && connection.tenant.as_ref() == tenant);
        if is_opening || target.connections.len() >= self.connection_limit(now, target, tenant) {
            return;
        }
        self.open(now, member, tenant.cloned());
    }

    /// Returns the maximum number of connections that this process may have to a target. With
    /// tenants, it is the limit for those that use the group at present, and for `tenant`.
    ///
    /// Stuck connections, which have probably lost an answer, are replaced by additional ones up to
    /// twice the limit, so that other statements can still run.
    pub(super) fn connection_limit(
        &self,
        now: Instant,
        target: &Target,
        tenant: Option<&TenantName>,
    ) -> usize {
        if self.has_tenants() {
            return self.process_limit(now, target, tenant);
        }
        let Some(group) = self.groups.get(&target.entry.group) else {
            return 0;
        };
        let limit = group.limits.connections_per_server;
        let homes = (home_count(limit) as u32).min(self.proxy_count);
        let is_primary = group.primary_id() == Some(&target.entry.id);
        let (divided_connections, spare_below_percent) = if is_primary {
            (limit, PRIMARY_SPARE_BELOW_PERCENT)
        } else {
            let divided_connections = limit * REPLICA_SHARED_PERCENT / 100;
            (divided_connections, REPLICA_SPARE_BELOW_PERCENT)
        };
        let divided_connections = divided_connections.saturating_sub(RESERVED_CONNECTIONS);
        let share = (divided_connections / homes.max(1)).max(1) as usize;
        let has_spare_connections = target
            .probe
            .as_ref()
            .is_some_and(|probe| probe.status.connections * 100 < limit * spare_below_percent);
        let connections = target.connections.iter();
        let stuck = connections
            .filter_map(|id| self.connections.get(id))
            .filter(|connection| is_stuck(now, connection))
            .count();
        // A process that isn't a home has no share. It serves sessions only while it reaches no
        // home, and many processes may do so at the same time.
        let is_outside_homes = !group.is_home && self.proxy_count > homes;
        let base_limit = if is_outside_homes {
            CONNECTIONS_OUTSIDE_HOMES
        } else if has_spare_connections {
            share + CONNECTIONS_ABOVE_SHARE_MAX
        } else {
            share
        };
        base_limit + stuck.min(base_limit)
    }

    /// Opens a connection to a target, unless the delay after a failed attempt hasn't passed.
    pub(super) fn open(&mut self, now: Instant, member: &MemberId, tenant: Option<TenantName>) {
        let Some(target) = self.targets.get_mut(member) else {
            return;
        };
        if now < target.reconnect_at {
            return;
        }
        self.last_connection_id += 1;
        let id = ConnectionId::new(self.last_connection_id);
        let group = target.entry.group.clone();
        let connection = Connection::new(member.clone(), group.clone(), tenant.clone(), now);
        target.connections.push(id);
        self.connections.insert(id, connection);
        self.counters.connections_opened += 1;
        self.effects.push(Effect::Open {
            connection: id,
            addr: target.entry.addr,
            group,
            member: member.clone(),
            tenant,
        });
    }

    /// Sends a command and records the reply that it expects.
    pub(super) fn send(
        &mut self,
        now: Instant,
        id: ConnectionId,
        command: Command,
        kind: CommandKind,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.outstanding.push(kind, now);
        self.effects.push(Effect::Send {
            connection: id,
            command,
        });
    }

    pub(super) fn target_of(&mut self, connection: ConnectionId) -> Option<&mut Target> {
        let member = &self.connections.get(&connection)?.member;
        self.targets.get_mut(member)
    }
}

/// Returns whether a connection has probably lost an answer.
pub(super) fn is_stuck(now: Instant, connection: &Connection) -> bool {
    let since = connection.waiting_since();
    connection.is_open && since.is_some_and(|since| now >= since + STUCK_TIMEOUT)
}

/// Returns the prepared statement that a statement runs.
pub(super) fn required_definition<'c>(
    caller: &'c Caller,
    body: &Body,
) -> Option<&'c PreparedStatement> {
    match body {
        Body::Execute { name, .. } => caller.prepared.get(name),
        _ => None,
    }
}
