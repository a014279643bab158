//! Which waiting statement goes to which connection.

use super::Engine;
use super::caller::Caller;
use super::caller::Pending;
use super::caller::Stage;
use super::caller::Transaction;
use super::group::ProbeScope;
use super::pool::wanted_shape;
use super::sessions::is_read;
use super::statement::Body;
use super::statement::CallerId;
use super::statement::Command;
use super::statement::ConnectionId;
use super::target::Connection;
use super::target::Expected;
use super::target::Target;
use crate::ids::GroupName;
use crate::ids::MemberId;
use crate::ids::Position;
use crate::queue::Ticket;
use crate::routing::Candidate;
use crate::routing::Distance;
use crate::routing::choose_target;
use crate::treatment::Freshness;
use std::collections::BTreeMap;
use std::time::Instant;

/// Idle connections to a primary that reads leave to statements that only a primary can run.
const PRIMARY_CONNECTIONS_RESERVED: usize = 1;

/// What a statement needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Need {
    /// The primary.
    Primary {
        /// The position that its log must include, where that isn't proved otherwise.
        floor: Option<Position>,
    },
    /// Any target whose log includes the position.
    Any {
        /// The position.
        floor: Position,
    },
    /// A floor that isn't known yet.
    Floor,
}

/// What became of an attempt to place a statement.
enum Placed {
    Yes,
    NeedsPrimary,
    NeedsTarget,
    NeedsFloor,
}

impl Engine {
    /// Places the waiting statements of a group, in order, as far as connections go.
    pub(super) fn dispatch(&mut self, now: Instant, name: &GroupName) {
        let Some(group) = self.groups.get(name) else {
            return;
        };
        let waiting: Vec<(Ticket, CallerId)> = group
            .queue
            .in_order(now)
            .into_iter()
            .map(|(ticket, id)| (ticket, *id))
            .collect();
        let mut primary_full = false;
        let mut targets_full = false;
        for (ticket, id) in waiting {
            match self.place(now, name, id, primary_full, targets_full) {
                Placed::Yes => {
                    if let Some(group) = self.groups.get_mut(name) {
                        group.queue.remove(ticket);
                    }
                }
                Placed::NeedsPrimary => primary_full = true,
                Placed::NeedsTarget => targets_full = true,
                Placed::NeedsFloor => {}
            }
            if primary_full && targets_full {
                break;
            }
        }
    }

    fn place(
        &mut self,
        now: Instant,
        name: &GroupName,
        id: CallerId,
        primary_full: bool,
        targets_full: bool,
    ) -> Placed {
        match self.need(now, id) {
            Need::Floor => Placed::NeedsFloor,
            Need::Primary { .. } if primary_full => Placed::NeedsPrimary,
            Need::Any { .. } if targets_full => Placed::NeedsTarget,
            Need::Primary { floor } => {
                let primary = self.groups.get(name).and_then(|group| group.primary_id());
                let Some(member) = primary.cloned() else {
                    return Placed::NeedsPrimary;
                };
                match self.available(&member, id) {
                    Some(connection) => {
                        self.assign(now, id, connection, floor);
                        Placed::Yes
                    }
                    None => {
                        self.open_if_allowed(now, &member);
                        Placed::NeedsPrimary
                    }
                }
            }
            Need::Any { floor } => match self.choose(now, name, id, floor) {
                Some(connection) => {
                    self.assign(now, id, connection, Some(floor));
                    Placed::Yes
                }
                None => Placed::NeedsTarget,
            },
        }
    }

    /// Returns what a caller's statement needs now.
    fn need(&mut self, now: Instant, id: CallerId) -> Need {
        let Some(caller) = self.callers.get(&id) else {
            return Need::Floor;
        };
        let Some(pending) = &caller.pending else {
            return Need::Floor;
        };
        let (needs_primary, reads_data, since) = match caller.transaction {
            Transaction::Declared {
                read_only,
                begun_at,
                ..
            } => (!read_only, true, begun_at),
            _ => {
                let reads = is_read(caller, &pending.statement.body);
                (!reads, reads, pending.received_at)
            }
        };
        let max_age = match pending.route.freshness {
            Freshness::Latest => return Need::Primary { floor: None },
            Freshness::Age { max_age } => Some(max_age),
            Freshness::Session => pending.route.max_age,
        };
        if !reads_data {
            return Need::Primary { floor: None };
        }
        let own = caller.own;
        let name = pending.route.group.clone();
        let aged = match (max_age, self.groups.get_mut(&name)) {
            (None, _) => Some(Position::default()),
            (Some(max_age), Some(group)) => group.samples.floor(since, max_age),
            (Some(_), None) => None,
        };
        let Some(aged) = aged else {
            self.want_first_floor(now, &name);
            return Need::Floor;
        };
        let floor = aged.max(own);
        if needs_primary {
            Need::Primary { floor: Some(floor) }
        } else {
            Need::Any { floor }
        }
    }

    /// Returns an idle connection of the target that is expected to answer a read first.
    fn choose(
        &mut self,
        now: Instant,
        name: &GroupName,
        id: CallerId,
        floor: Position,
    ) -> Option<ConnectionId> {
        let group = self.groups.get(name)?;
        let avoid = &self.callers.get(&id)?.pending.as_ref()?.avoid;
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
                && !avoid.contains(&target.entry.id)
                && !is_lagging(target)
        };
        let has_replica = (0..targets.len()).any(|i| may_serve(i) && !candidates[i].is_primary);
        let idle: Vec<usize> = targets
            .iter()
            .map(|target| self.idle_connections(target).count())
            .collect();
        let is_full = |index: usize| {
            let reserved = if candidates[index].is_primary && has_replica {
                PRIMARY_CONNECTIONS_RESERVED
            } else {
                0
            };
            idle[index] <= reserved
        };
        let turn = self.turn;
        let any = Position::default();
        let chosen = choose_target(&candidates, any, |i| !may_serve(i) || is_full(i), turn);
        let wanted = choose_target(&candidates, any, |i| !may_serve(i), turn);
        // When everything is avoided or lagging, the first one that answers at all has to do.
        let fallback = choose_target(&candidates, any, |i| idle[i] == 0, turn);
        let nobody_fits = wanted.is_none();
        let index = if nobody_fits { fallback } else { chosen };
        let member = index.map(|index| targets[index].entry.id.clone());
        let wanted = wanted.map(|index| targets[index].entry.id.clone());
        self.turn = self.turn.wrapping_add(1);
        if let Some(wanted) = wanted
            && member.as_ref() != Some(&wanted)
        {
            self.open_if_allowed(now, &wanted);
        }
        self.available(&member?, id)
    }

    fn candidate(&self, target: &Target, primary: Option<&MemberId>) -> Candidate {
        Candidate {
            is_primary: primary == Some(&target.entry.id),
            is_leaving: target.entry.leaving,
            is_reachable: target.is_reachable(),
            applied: target.applied,
            in_flight: target.in_flight,
            slots: target.entry.slots,
            distance: if target.entry.zone == self.location.zone {
                Distance::SameZone
            } else {
                Distance::OtherZone
            },
            service_time: target.response_time,
        }
    }

    /// Gives a connection to a caller, and brings it into the state of the caller's session.
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
        if let Some(open) = self.connections.get_mut(&connection) {
            open.owner = Some(id);
        }
        self.prepare(now, id, connection);
    }

    /// Sends on a statement of an open transaction.
    pub(super) fn send_in_transaction(
        &mut self,
        now: Instant,
        id: CallerId,
        connection: ConnectionId,
    ) {
        self.prepare(now, id, connection);
    }

    /// Sends what the connection lacks of the session's state, then the statement.
    fn prepare(&mut self, now: Instant, id: CallerId, connection: ConnectionId) {
        let Some(open) = self.connections.get_mut(&connection) else {
            return;
        };
        let Some(caller) = self.callers.get(&id) else {
            return;
        };
        let Some(pending) = &caller.pending else {
            return;
        };
        let mut commands = missing_state(open, caller, &pending.statement.body);
        if let Transaction::Declared {
            request, read_only, ..
        } = &caller.transaction
        {
            // A plain transaction shows that its target leads.
            let is_plain = !read_only || pending.route.freshness == Freshness::Latest;
            let is_unchanged = is_plain != *read_only;
            let command = Command::Begin {
                request: is_unchanged.then(|| request.clone()),
                floor: pending.floor,
                read_only: !is_plain,
            };
            commands.push((command, Expected::Begin));
        }
        if commands.is_empty() {
            self.send_statement(now, id, connection);
            return;
        }
        for (command, expected) in commands {
            self.send(now, connection, command, expected);
        }
        self.set_stage(id, Stage::Preparing(connection));
    }

    /// Sends the caller's statement itself.
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
                let shape = caller.prepared.get(name);
                let open = self.connections.get(&connection);
                let known = shape.and_then(|shape| open?.prepared.get(shape));
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
            statements, wrote, ..
        } = &mut caller.transaction
        {
            *statements += 1;
            *wrote |= writes && !is_commit;
        }
        self.send(now, connection, command, Expected::Statement);
        if let Some(target) = self.target_of(connection) {
            target.in_flight += 1;
        }
        if needs_proof {
            self.want_probes(now, &name, ProbeScope::Quorum);
        }
    }

    pub(super) fn set_stage(&mut self, id: CallerId, stage: Stage) {
        if let Some(pending) = self.callers.get_mut(&id).and_then(|c| c.pending.as_mut()) {
            pending.stage = stage;
        }
    }
}

/// Returns whether the caller's statement reads and must see everything acknowledged before.
pub(super) fn is_latest_read(caller: &Caller) -> bool {
    let is_read = |pending: &Pending| {
        pending.route.freshness == Freshness::Latest && is_read(caller, &pending.statement.body)
    };
    caller.pending.as_ref().is_some_and(is_read)
}

/// Returns the commands that give a connection the session's state, and takes them as carried out.
///
/// A connection on which one of them fails is closed, so that its recorded state never matters.
fn missing_state(open: &mut Connection, caller: &Caller, body: &Body) -> Vec<(Command, Expected)> {
    let mut commands = Vec::new();
    let has_foreign = open
        .values
        .keys()
        .any(|name| !caller.values.contains_key(name));
    if has_foreign {
        commands.push((Command::Reset, Expected::Preparation));
        open.values = BTreeMap::new();
        open.prepared = BTreeMap::new();
    }
    for (name, value) in &caller.values {
        if open.values.get(name) != Some(value) {
            let (name, value) = (name.clone(), value.clone());
            open.values.insert(name.clone(), value.clone());
            commands.push((Command::Set { name, value }, Expected::Preparation));
        }
    }
    if let Some(shape) = wanted_shape(caller, body)
        && !open.prepared.contains_key(shape)
    {
        let name: Box<str> = format!("p{}", open.prepared.len()).into();
        open.prepared.insert(shape.clone(), name.clone());
        let shape = shape.clone();
        commands.push((Command::Prepare { name, shape }, Expected::Preparation));
    }
    commands
}
