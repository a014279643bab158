//! The connections that this process has to each target, and how many it may have.

use super::Effect;
use super::Engine;
use super::caller::Caller;
use super::statement::Body;
use super::statement::CallerId;
use super::statement::Command;
use super::statement::ConnectionId;
use super::statement::Shape;
use super::target::Connection;
use super::target::Expected;
use super::target::Outstanding;
use super::target::Target;
use crate::homes::RESERVED_CONNECTIONS;
use crate::homes::home_count;
use crate::ids::MemberId;
use std::time::Duration;
use std::time::Instant;

/// Connections that a process may hold beyond its share while a target has plenty.
const CONNECTIONS_BORROWED_MAX: usize = 2;

/// The use of a primary's connections, in percent, up to which shares may be passed.
const PRIMARY_BORROW_BELOW_PERCENT: u32 = 75;

/// The use of a replica's connections, in percent, up to which shares may be passed.
const REPLICA_BORROW_BELOW_PERCENT: u32 = 40;

/// The part of a replica's connections that is shared out, in percent. Connections of VMs that lost
/// power stay taken for seconds; the VMs that come back need others meanwhile.
const REPLICA_SHARED_PERCENT: u32 = 50;

/// How long a command may be unanswered before its connection counts as stuck: several times a long
/// statement's work.
const STUCK_AFTER: Duration = Duration::from_millis(250);

impl Engine {
    pub(super) fn idle_connections<'e>(
        &'e self,
        target: &'e Target,
    ) -> impl Iterator<Item = (ConnectionId, &'e Connection)> {
        let connections = target.connections.iter();
        connections
            .filter_map(|id| self.connections.get(id).map(|connection| (*id, connection)))
            .filter(|(_, connection)| connection.is_idle())
    }

    /// Returns an idle connection to a target, one in the caller's state if there is one.
    pub(super) fn available(&self, member: &MemberId, id: CallerId) -> Option<ConnectionId> {
        let target = self.targets.get(member)?;
        let caller = self.callers.get(&id)?;
        let body = &caller.pending.as_ref()?.statement.body;
        let mismatch = |connection: &Connection| {
            let is_prepared = match wanted_shape(caller, body) {
                Some(shape) => connection.prepared.contains_key(shape),
                None => true,
            };
            (connection.values != caller.values, !is_prepared)
        };
        self.idle_connections(target)
            .min_by_key(|(_, connection)| mismatch(connection))
            .map(|(id, _)| id)
    }

    /// Opens one more connection to a target, if the process's share allows it.
    pub(super) fn open_if_allowed(&mut self, now: Instant, member: &MemberId) {
        let Some(target) = self.targets.get(member) else {
            return;
        };
        let is_opening = target
            .connections
            .iter()
            .filter_map(|id| self.connections.get(id))
            .any(|connection| !connection.is_open);
        if is_opening || target.connections.len() >= self.connection_limit(now, target) {
            return;
        }
        self.open(now, member);
    }

    /// Returns how many connections this process may have to a target.
    ///
    /// Connections that seem to have lost an answer don't count at once: others have work to do.
    fn connection_limit(&self, now: Instant, target: &Target) -> usize {
        let Some(group) = self.groups.get(&target.entry.group) else {
            return 0;
        };
        let limit = group.limits.connections_per_server;
        let homes = (home_count(limit) as u32).min(self.fleet_size);
        let is_primary = group.primary_id() == Some(&target.entry.id);
        let (shared, borrow_below_percent) = if is_primary {
            (limit, PRIMARY_BORROW_BELOW_PERCENT)
        } else {
            let shared = limit * REPLICA_SHARED_PERCENT / 100;
            (shared, REPLICA_BORROW_BELOW_PERCENT)
        };
        let shared = shared.saturating_sub(RESERVED_CONNECTIONS);
        let share = (shared / homes.max(1)).max(1) as usize;
        let has_plenty = target
            .probe
            .as_ref()
            .is_some_and(|probe| probe.status.connections * 100 < limit * borrow_below_percent);
        let is_stuck = |connection: &Connection| {
            let since = connection.waiting_since();
            connection.is_open && since.is_some_and(|since| now >= since + STUCK_AFTER)
        };
        let connections = target.connections.iter();
        let stuck = connections
            .filter_map(|id| self.connections.get(id))
            .filter(|connection| is_stuck(connection))
            .count();
        let usual = if has_plenty {
            share + CONNECTIONS_BORROWED_MAX
        } else {
            share
        };
        usual + stuck.min(usual)
    }

    /// Opens a connection to a target, unless it failed a moment ago.
    pub(super) fn open(&mut self, now: Instant, member: &MemberId) {
        let Some(target) = self.targets.get_mut(member) else {
            return;
        };
        if now < target.open_again_at {
            return;
        }
        self.next_connection += 1;
        let id = ConnectionId::new(self.next_connection);
        let group = target.entry.group.clone();
        let connection = Connection::new(member.clone(), group.clone(), now);
        target.connections.push(id);
        self.connections.insert(id, connection);
        self.counters.connections_opened += 1;
        self.effects.push(Effect::Open {
            connection: id,
            addr: target.entry.addr,
            group,
            member: member.clone(),
        });
    }

    /// Sends a command and notes what its reply is for.
    pub(super) fn send(
        &mut self,
        now: Instant,
        id: ConnectionId,
        command: Command,
        expected: Expected,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.outstanding.push_back(Outstanding {
            expected,
            sent_at: now,
        });
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

/// Returns the prepared statement that a statement runs.
pub(super) fn wanted_shape<'c>(caller: &'c Caller, body: &Body) -> Option<&'c Shape> {
    match body {
        Body::Execute { name, .. } => caller.prepared.get(name),
        _ => None,
    }
}
