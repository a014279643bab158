//! Assigns waiting statements to connections.

use super::Engine;
use super::caller::Caller;
use super::caller::Pending;
use super::caller::Stage;
use super::caller::Transaction;
use super::contention::FullTargets;
use super::group::ProbeScope;
use super::outstanding::CommandKind;
use super::pool::required_definition;
use super::regions::ReadTarget;
use super::regions::admits_far_read;
use super::sessions::is_read;
use super::statement::Body;
use super::statement::CallerId;
use super::statement::Command;
use super::statement::ConnectionId;
use super::target::Connection;
use super::target::Target;
use crate::ids::GroupName;
use crate::ids::MemberId;
use crate::ids::Position;
use crate::queue::Ticket;
use crate::routing::Candidate;
use crate::routing::choose_target;
use crate::tenants::TenantName;
use crate::treatment::Freshness;
use std::collections::BTreeMap;
use std::time::Instant;

/// The number of idle connections to a primary that are reserved for statements that only a primary
/// can run. Reads that a replica can run don't use them.
const PRIMARY_CONNECTIONS_RESERVED: usize = 1;

/// Which targets can run a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Requirement {
    /// Only the primary.
    Primary {
        /// The position that the primary's log must include, or `None` if none is required: only
        /// the current primary can run a write, and a read of the latest data is proved afterwards.
        floor: Option<Position>,
    },
    /// Any target whose log includes the position.
    Any {
        /// The position that the target's log must include.
        floor: Position,
    },
    /// No target can be chosen yet, because the position that its log must include is unknown.
    UnknownFloor,
}

/// The result of trying to assign a statement to a connection.
enum Placement {
    /// The statement was assigned to a connection.
    Assigned,
    /// The statement needs the primary, and no connection of its tenant to it is idle.
    NoPrimaryConnection,
    /// No connection of its tenant to a target that can run the statement is idle.
    NoConnection,
    /// The position that the target's log must include is unknown.
    FloorUnknown,
}

impl Engine {
    /// Assigns the waiting statements of a group to idle connections of their tenants, in queue order,
    /// until no connection is left.
    pub(super) fn dispatch(&mut self, now: Instant, name: &GroupName) {
        let Some(group) = self.groups.get(name) else {
            return;
        };
        // While replicas lag, reads compete for the primary with what only the primary can run.
        let do_replicas_lag = group.lagging_until.is_some_and(|until| now < until);
        let is_primary_first = do_replicas_lag && self.has_tenants();
        let mut waiting: Vec<(Ticket, CallerId)> = group
            .queue
            .in_order_with(now, |id| is_primary_first && self.needs_primary(*id))
            .into_iter()
            .map(|(ticket, id)| (ticket, *id))
            .collect();
        let is_contended = group.queue.share().waiting_tenants() > 1;
        self.order_by_tenant(name, &mut waiting);
        let mut full = FullTargets::default();
        self.dispatch_waiting(now, name, &waiting, &mut full, is_contended);
        if is_contended {
            self.dispatch_beyond_share(now, name, &waiting, &full);
        }
    }

    /// Assigns statements in the given order. With `bounded`, no tenant exceeds its bound at a target.
    pub(super) fn dispatch_waiting(
        &mut self,
        now: Instant,
        name: &GroupName,
        waiting: &[(Ticket, CallerId)],
        full: &mut FullTargets,
        bounded: bool,
    ) {
        for &(ticket, id) in waiting {
            let tenant = self.caller_tenant(id).cloned();
            let is_primary_full = full.primary.contains(&tenant);
            let are_targets_full = full.targets.contains(&tenant);
            if is_primary_full && are_targets_full {
                continue;
            }
            match self.try_assign(now, name, id, is_primary_full, are_targets_full, bounded) {
                Placement::Assigned => {
                    if let Some(group) = self.groups.get_mut(name) {
                        group.queue.serve(now, ticket);
                    }
                }
                Placement::NoPrimaryConnection => {
                    full.primary.insert(tenant);
                }
                Placement::NoConnection => {
                    full.targets.insert(tenant);
                }
                Placement::FloorUnknown => {}
            }
        }
    }

    pub(super) fn caller_tenant(&self, id: CallerId) -> Option<&TenantName> {
        self.callers.get(&id)?.tenant.as_ref()
    }

    fn try_assign(
        &mut self,
        now: Instant,
        name: &GroupName,
        id: CallerId,
        primary_full: bool,
        targets_full: bool,
        bounded: bool,
    ) -> Placement {
        match self.requirement(now, id) {
            Requirement::UnknownFloor => Placement::FloorUnknown,
            Requirement::Primary { .. } if primary_full => Placement::NoPrimaryConnection,
            Requirement::Any { .. } if targets_full => Placement::NoConnection,
            Requirement::Primary { floor } => {
                let primary = self.groups.get(name).and_then(|group| group.primary_id());
                let Some(member) = primary.cloned() else {
                    return Placement::NoPrimaryConnection;
                };
                let tenant = self.caller_tenant(id);
                let is_at_bound = |target| bounded && self.is_tenant_at_bound(target, tenant);
                if !self.admits_statement(now, &member)
                    || self.targets.get(&member).is_some_and(is_at_bound)
                {
                    return Placement::NoPrimaryConnection;
                }
                match self.idle_connection_for(&member, id) {
                    Some(connection) => {
                        self.assign(now, id, connection, floor);
                        Placement::Assigned
                    }
                    None => {
                        let tenant = self.caller_tenant(id).cloned();
                        self.open_if_allowed(now, &member, tenant.as_ref());
                        Placement::NoPrimaryConnection
                    }
                }
            }
            Requirement::Any { floor } => {
                match self.choose_connection(now, name, id, floor, bounded) {
                    Some(connection) => {
                        self.assign(now, id, connection, Some(floor));
                        Placement::Assigned
                    }
                    None => Placement::NoConnection,
                }
            }
        }
    }

    fn admits_statement(&self, now: Instant, member: &MemberId) -> bool {
        let target = self.targets.get(member);
        target.is_some_and(|target| target.admits_statement(now))
    }

    /// Returns which targets can run a caller's statement now.
    fn requirement(&mut self, now: Instant, id: CallerId) -> Requirement {
        let Some(caller) = self.callers.get(&id) else {
            return Requirement::UnknownFloor;
        };
        let Some(pending) = &caller.pending else {
            return Requirement::UnknownFloor;
        };
        let (needs_primary, reads_data, since) = match caller.transaction {
            Transaction::Deferred {
                read_only,
                begun_at,
                ..
            // A transaction may read data, so it requires a floor like a read.
            } => (!read_only, true, begun_at),
            _ => {
                let reads = is_read(caller, &pending.statement.body);
                (!reads, reads, pending.received_at)
            }
        };
        let max_age = match pending.route.freshness {
            Freshness::Latest => return Requirement::Primary { floor: None },
            Freshness::Age { max_age } => Some(max_age),
            Freshness::Session => pending.route.max_age,
        };
        if !reads_data {
            return Requirement::Primary { floor: None };
        }
        let last_commit = caller.last_commit_position;
        let name = pending.route.group.clone();
        let age_floor = match (max_age, self.groups.get_mut(&name)) {
            (None, _) => Some(Position::default()),
            (Some(max_age), Some(group)) => group.samples.floor(since, max_age),
            (Some(_), None) => None,
        };
        let Some(age_floor) = age_floor else {
            self.request_floor_probes(now, &name);
            return Requirement::UnknownFloor;
        };
        let floor = age_floor.max(last_commit);
        if needs_primary {
            Requirement::Primary { floor: Some(floor) }
        } else {
            Requirement::Any { floor }
        }
    }

    /// Returns an idle connection to the target that is expected to answer a read first.
    fn choose_connection(
        &mut self,
        now: Instant,
        name: &GroupName,
        id: CallerId,
        floor: Position,
        bounded: bool,
    ) -> Option<ConnectionId> {
        let group = self.groups.get(name)?;
        let pending = self.callers.get(&id)?.pending.as_ref()?;
        let excluded_members = &pending.excluded_members;
        let waited = now.saturating_duration_since(pending.received_at);
        let primary = group.primary_id();
        let members: Vec<&MemberId> = group.members.iter().collect();
        let targets: Vec<&Target> = members
            .iter()
            .filter_map(|member| self.targets.get(*member))
            .collect();
        let candidates: Vec<Candidate> = targets
            .iter()
            .map(|target| self.candidate(target, primary))
            .collect();
        let is_lagging = |target: &Target| target.applied < floor && now < target.lagging_until;
        let may_serve = |index: usize| {
            let target = targets[index];
            candidates[index].is_reachable
                && !candidates[index].is_leaving
                && !excluded_members.contains(&target.entry.id)
                && !is_lagging(target)
        };
        let has_replica = (0..targets.len()).any(|i| may_serve(i) && !candidates[i].is_primary);
        let idle: Vec<usize> = targets
            .iter()
            .map(|target| {
                self.idle_connections(target, self.caller_tenant(id))
                    .count()
            })
            .collect();
        let is_at_bound = |index: usize| {
            bounded && self.is_tenant_at_bound(targets[index], self.caller_tenant(id))
        };
        // Each tenant has few connections, so reserving one for each is too many.
        let has_tenants = self.has_tenants();
        let is_full = |index: usize| {
            if !targets[index].admits_statement(now) || is_at_bound(index) {
                return true;
            }
            let reserved = if candidates[index].is_primary && has_replica && !has_tenants {
                PRIMARY_CONNECTIONS_RESERVED
            } else {
                0
            };
            idle[index] <= reserved
        };
        let rotation = self.rotation;
        let read_targets: Vec<ReadTarget> = (0..targets.len())
            .map(|index| ReadTarget {
                candidate: candidates[index],
                is_far: self.is_far(targets[index]),
                may_serve: may_serve(index),
                is_full: is_full(index),
            })
            .collect();
        let mut far_reads = group.far_reads;
        let is_far_admitted = admits_far_read(now, name, &mut far_reads, waited, &read_targets);
        let may_choose =
            |index: usize| may_serve(index) && (is_far_admitted || !read_targets[index].is_far);
        // `is_lagging` checks the positions instead.
        let any_position = Position::default();
        let chosen = choose_target(
            &candidates,
            any_position,
            |i| !may_choose(i) || is_full(i),
            rotation,
        );
        let preferred = choose_target(&candidates, any_position, |i| !may_choose(i), rotation);
        // If every target is excluded, unreachable or leaving, the choice is among all targets with
        // an idle connection that don't lag.
        let is_unavailable =
            |i: usize| idle[i] == 0 || !targets[i].admits_statement(now) || is_lagging(targets[i]);
        let fallback = choose_target(&candidates, any_position, is_unavailable, rotation);
        let no_target_fits = preferred.is_none();
        let index = if no_target_fits { fallback } else { chosen };
        let member = index.map(|index| targets[index].entry.id.clone());
        if has_tenants {
            let may_open = |index: usize| may_serve(index) && !is_at_bound(index);
            let opening = self.choose_opening(now, id, &candidates, &targets, may_open, index);
            self.rotation = self.rotation.wrapping_add(1);
            if let Some((opened, decision)) = opening {
                let tenant = self.caller_tenant(id).cloned();
                self.apply_opening(now, &opened, tenant.as_ref(), decision);
            }
            return self.idle_connection_for(&member?, id);
        }
        let preferred = preferred.map(|index| targets[index].entry.id.clone());
        let is_unused_far = |i: usize| is_far_admitted && read_targets[i].is_far && idle[i] == 0;
        let far = choose_target(
            &candidates,
            any_position,
            |i| !may_serve(i) || !is_unused_far(i),
            rotation,
        );
        let far = far.map(|index| targets[index].entry.id.clone());
        if let Some(group) = self.groups.get_mut(name) {
            group.far_reads = far_reads;
        }
        self.rotation = self.rotation.wrapping_add(1);
        if let Some(preferred) = preferred
            && member.as_ref() != Some(&preferred)
            && self.admits_statement(now, &preferred)
        {
            let tenant = self.caller_tenant(id).cloned();
            self.open_if_allowed(now, &preferred, tenant.as_ref());
        }
        if let (None, Some(far)) = (&member, far) {
            let tenant = self.caller_tenant(id).cloned();
            self.open_if_allowed(now, &far, tenant.as_ref());
        }
        self.idle_connection_for(&member?, id)
    }

    fn candidate(&self, target: &Target, primary: Option<&MemberId>) -> Candidate {
        let (distance, service_time) = self.distance(target);
        Candidate {
            is_primary: primary == Some(&target.entry.id),
            is_leaving: target.entry.leaving,
            is_reachable: target.is_reachable(),
            applied: target.applied,
            in_flight: target.in_flight,
            slots: target.entry.slots,
            distance,
            service_time,
        }
    }

    /// Assigns a connection to a caller, and sets the connection to the state of the caller's
    /// session.
    fn assign(
        &mut self,
        now: Instant,
        id: CallerId,
        connection: ConnectionId,
        floor: Option<Position>,
    ) {
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        let Some(pending) = &mut caller.pending else {
            return;
        };
        pending.floor = floor;
        if pending.attempts == 0 {
            let wait = now.saturating_duration_since(pending.received_at);
            let counts = &mut self.counters.overload;
            counts.record_wait(pending.route.priority, wait);
        }
        pending.holds_token = false;
        if let Some(target_connection) = self.connections.get_mut(&connection) {
            target_connection.owner = Some(id);
            target_connection.assigned_at = Some(now);
        }
        self.prepare(now, id, connection);
    }

    /// Sends a statement of an open transaction on the transaction's connection.
    pub(super) fn send_in_transaction(
        &mut self,
        now: Instant,
        id: CallerId,
        connection: ConnectionId,
    ) {
        self.prepare(now, id, connection);
    }

    /// Sends the commands that set the connection to the session's state, then the statement.
    ///
    /// A statement is sent right behind the preparation of its definition: if the preparation fails,
    /// its name is unknown to the target, which then doesn't run it. Behind other commands it would
    /// run in the wrong state if one of them failed, so it waits for their answers.
    fn prepare(&mut self, now: Instant, id: CallerId, connection: ConnectionId) {
        let Some(target_connection) = self.connections.get_mut(&connection) else {
            return;
        };
        let Some(caller) = self.callers.get(&id) else {
            return;
        };
        let Some(pending) = &caller.pending else {
            return;
        };
        let mut commands =
            missing_state_commands(target_connection, caller, &pending.statement.body);
        if let Transaction::Deferred {
            request, read_only, ..
        } = &caller.transaction
        {
            // Only the primary accepts a transaction that isn't read-only, so its success shows
            // that the target leads.
            let is_read_write = !read_only || pending.route.freshness == Freshness::Latest;
            let is_unchanged = is_read_write != *read_only;
            let command = Command::Begin {
                request: is_unchanged.then(|| request.clone()),
                floor: pending.floor,
                read_only: !is_read_write,
            };
            commands.push((command, CommandKind::Begin));
        }
        if commands.is_empty() {
            self.send_statement(now, id, connection);
            return;
        }
        let is_safe_to_follow = commands
            .iter()
            .all(|(command, _)| matches!(command, Command::Prepare { .. }));
        for (command, kind) in commands {
            self.send(now, connection, command, kind);
        }
        if is_safe_to_follow {
            self.send_statement(now, id, connection);
        } else {
            self.set_stage(id, Stage::Preparing(connection));
        }
    }

    /// Sends the caller's statement on a connection that has the session's state.
    pub(super) fn send_statement(&mut self, now: Instant, id: CallerId, connection: ConnectionId) {
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        let in_transaction = caller.transaction_connection().is_some();
        let needs_proof = is_latest_read(caller);
        let Some(pending) = &caller.pending else {
            return;
        };
        let reads = is_read(caller, &pending.statement.body);
        let Some(pending) = &mut caller.pending else {
            return;
        };
        let floor = if in_transaction { None } else { pending.floor };
        let request = pending.statement.request.clone();
        let command = match &pending.statement.body {
            Body::Run { text, .. } => Command::Run {
                request,
                floor,
                text: text.clone(),
            },
            Body::Execute { name, arguments } => {
                let definition = caller.prepared.get(name);
                let target_connection = self.connections.get(&connection);
                let known =
                    definition.and_then(|definition| target_connection?.prepared.get(definition));
                let Some(name) = known.cloned() else {
                    return;
                };
                Command::Execute {
                    request,
                    floor,
                    name,
                    arguments: arguments.clone(),
                }
            }
            _ => Command::Commit { request },
        };
        let writes = !reads;
        pending.attempts += 1;
        pending.sent_at = Some(now);
        pending.stage = Stage::Running(connection);
        let name = pending.route.group.clone();
        let is_commit = pending.statement.body == Body::Commit;
        if let Transaction::Open {
            statements_sent,
            wrote,
            ..
        } = &mut caller.transaction
        {
            *statements_sent += 1;
            *wrote |= writes && !is_commit;
        }
        self.send(now, connection, command, CommandKind::Statement);
        if let Some(target) = self.target_of(connection) {
            target.in_flight += 1;
        }
        let tenant = self.caller_tenant(id).cloned();
        if let Some(group) = self.groups.get_mut(&name) {
            group.queue.share_mut().record_start(&tenant);
        }
        if needs_proof {
            let term = self
                .groups
                .get(&name)
                .and_then(|group| group.primary.as_ref())
                .map(|primary| primary.term);
            let is_leader_known =
                in_transaction || term.is_some_and(|term| self.led_on_connection(connection, term));
            let scope = if is_leader_known {
                ProbeScope::Others
            } else {
                ProbeScope::Quorum
            };
            self.request_probes(now, &name, scope);
        }
    }

    pub(super) fn set_stage(&mut self, id: CallerId, stage: Stage) {
        if let Some(pending) = self.callers.get_mut(&id).and_then(|c| c.pending.as_mut()) {
            pending.stage = stage;
        }
    }
}

/// Returns whether the caller's statement is a read that must include every commit acknowledged
/// before it.
pub(super) fn is_latest_read(caller: &Caller) -> bool {
    let is_read = |pending: &Pending| {
        pending.route.freshness == Freshness::Latest && is_read(caller, &pending.statement.body)
    };
    caller.pending.as_ref().is_some_and(is_read)
}

/// Returns the commands that set a connection to the session's state, and records them as done.
///
/// If one of the commands fails, the connection is closed, so the wrong record isn't used.
fn missing_state_commands(
    target_connection: &mut Connection,
    caller: &Caller,
    body: &Body,
) -> Vec<(Command, CommandKind)> {
    let mut commands = Vec::new();
    let has_extra_values = target_connection
        .session_values
        .keys()
        .any(|name| !caller.session_values.contains_key(name));
    if has_extra_values {
        commands.push((Command::Reset, CommandKind::Preparation));
        target_connection.session_values = BTreeMap::new();
        target_connection.prepared = BTreeMap::new();
    }
    for (name, value) in &caller.session_values {
        if target_connection.session_values.get(name) != Some(value) {
            let (name, value) = (name.clone(), value.clone());
            target_connection
                .session_values
                .insert(name.clone(), value.clone());
            commands.push((Command::Set { name, value }, CommandKind::Preparation));
        }
    }
    if let Some(definition) = required_definition(caller, body)
        && !target_connection.prepared.contains_key(definition)
    {
        let name: Box<str> = format!("p{}", target_connection.prepared.len()).into();
        target_connection
            .prepared
            .insert(definition.clone(), name.clone());
        let definition = definition.clone();
        commands.push((
            Command::Prepare { name, definition },
            CommandKind::Preparation,
        ));
    }
    commands
}
