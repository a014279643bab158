//! Caller events: connecting, starting a session, sending statements and disconnecting.

use super::Effect;
use super::Engine;
use super::caller::Caller;
use super::caller::Pending;
use super::caller::Stage;
use super::caller::Transaction;
use super::outstanding::CommandKind;
use super::overload_counts::RefusalReason;
use super::statement::Access;
use super::statement::Answer;
use super::statement::Body;
use super::statement::CallerId;
use super::statement::ConnectionId;
use super::statement::DatabaseName;
use super::statement::Failure;
use super::statement::Outcome;
use super::statement::SessionState;
use super::statement::Statement;
use super::topology::Route;
use super::withdrawal::withdrawn_answer;
use crate::ids::MemberId;
use crate::logfmt::LogText;
use crate::logfmt::LogValue;
use crate::queue::Capacity;
use crate::queue::QueueEntry;
use crate::queue::Ticket;
use crate::queue::WaitLimits;
use crate::tenants::KeyDigest;
use crate::tenants::TenantName;
use crate::treatment::Freshness;
use std::time::Duration;
use std::time::Instant;

/// The longest wait for a connection, in percent of the statement timeout. The rest is reserved for
/// running the statement, or for the caller to try again.
const QUEUE_TIMEOUT_PERCENT: u32 = 50;

/// The longest wait before newer statements are dispatched first, in percent of the operation's
/// latency goal. The rest is reserved for running the statement and the operation's other
/// statements.
const QUEUE_GOAL_PERCENT: u32 = 50;

/// The initial retry budget: how many overdue reads may be retried before statements have earned
/// more retries.
pub(super) const RETRY_BURST: u32 = 20;

/// The initial retry budget of each tenant.
pub(super) const TENANT_RETRY_BURST: u32 = 5;

/// The retry delay sent to callers whose write is refused because no commit can be acknowledged:
/// about the time that the replacement of a primary takes.
const RETRY_AFTER_STALLED: Duration = Duration::from_millis(500);

/// The maximum number of times that one statement is sent to a target.
pub(super) const ATTEMPTS_MAX: u32 = 6;

/// The result of [`Engine::caller_started`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionStart {
    /// The session can start.
    Accepted,
    /// No route has this database name.
    NoDatabase,
    /// No tenant of the current routes holds the caller's key.
    UnknownKey,
    /// The routes aren't loaded yet. Call [`Engine::caller_started`] again after
    /// [`Engine::set_routes`].
    Wait,
}

impl Engine {
    /// Adds a caller that connected.
    pub fn caller_opened(&mut self, now: Instant, id: CallerId) {
        self.callers.insert(id, Caller::new(now));
    }

    /// Sets the database of a caller and returns whether its session can start.
    ///
    /// The key identifies the caller's tenant, unless the route is public or the routes have no
    /// tenants.
    pub fn caller_started(
        &mut self,
        id: CallerId,
        database: DatabaseName,
        key: Option<KeyDigest>,
    ) -> SessionStart {
        if self.routes.is_none() {
            return SessionStart::Wait;
        }
        let is_known = self.route(&database).is_some();
        let identity = self.identify(&database, key.as_ref());
        // A start with an unknown key may be repeated, so nothing is recorded for it.
        if let (Some(caller), Some(tenant)) = (self.callers.get_mut(&id), &identity) {
            caller.database = Some(database);
            caller.key = key;
            caller.tenant = tenant.clone();
        }
        match (is_known, identity) {
            (false, _) => SessionStart::NoDatabase,
            (true, None) => SessionStart::UnknownKey,
            (true, Some(_)) => SessionStart::Accepted,
        }
    }

    /// Returns the tenant of a caller that uses a database: `Some(None)` if the caller needs none, or
    /// `None` if its key isn't known.
    pub fn identify(
        &self,
        database: &DatabaseName,
        key: Option<&KeyDigest>,
    ) -> Option<Option<TenantName>> {
        let tenants = self.routes.as_ref().and_then(|r| r.tenants.as_ref());
        let is_public = self.route(database).is_some_and(|route| route.is_public);
        match tenants {
            Some(tenants) if !is_public => tenants.holder(key?).cloned().map(Some),
            _ => Some(None),
        }
    }

    pub(super) fn route(&self, database: &DatabaseName) -> Option<&Route> {
        self.routes.as_ref()?.databases.get(database)
    }

    /// Processes a statement of a caller, after the caller's earlier statements.
    pub fn caller_statement(&mut self, now: Instant, id: CallerId, statement: Statement) {
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        caller.last_active_at = now;
        if caller.pending.is_some() || !caller.pipelined.is_empty() {
            caller.pipelined.push_back(statement);
            return;
        }
        self.handle_statement(now, id, statement);
    }

    /// Removes a caller that disconnected, and rolls its transaction back.
    pub fn caller_disconnected(&mut self, now: Instant, id: CallerId) {
        self.refund_operation(now, id);
        let Some(caller) = self.callers.remove(&id) else {
            return;
        };
        if let Some(pending) = caller.pending {
            self.remove_from_queues(id, &pending);
            match pending.stage {
                Stage::Running(connection) => self.abandon_statement(connection),
                Stage::Preparing(connection) => self.release_connection(now, connection),
                _ => {}
            }
        }
        if let Transaction::Open { connection, .. } = caller.transaction {
            self.abort_transaction(now, connection);
        }
    }

    /// Removes a caller's statement from its group's wait queue and from the statements that await a
    /// proof.
    fn remove_from_queues(&mut self, id: CallerId, pending: &Pending) {
        if let Some(group) = self.groups.get_mut(&pending.route.group) {
            if let Stage::Queued(ticket) = pending.stage {
                group.queue.remove(ticket);
            }
            group.awaiting_proof.remove(&id);
        }
    }

    /// Answers a statement that needs no target, or passes it on to be routed.
    fn handle_statement(&mut self, now: Instant, id: CallerId, statement: Statement) {
        if self.refuse_if_stopping(now, id, &statement) {
            return;
        }
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        let state = caller.state();
        let answer = match &statement.body {
            Body::Unparsable => Some(Answer::failed(
                Failure::Malformed,
                "not a statement: see the list of query texts",
                state,
            )),
            Body::Rollback => {
                let transaction = std::mem::replace(&mut caller.transaction, Transaction::None);
                if let Transaction::Open { connection, .. } = transaction {
                    self.abort_transaction(now, connection);
                }
                Some(Answer::done(SessionState::Idle))
            }
            Body::Commit if caller.transaction == Transaction::Failed => {
                caller.transaction = Transaction::None;
                Some(Answer::failed(
                    Failure::Aborted,
                    "the transaction had failed and nothing of it is kept; run it again",
                    SessionState::Idle,
                ))
            }
            _ if state == SessionState::Failed => Some(Answer::failed(
                Failure::Malformed,
                "the transaction failed; end it first",
                state,
            )),
            Body::Begin { .. } if state == SessionState::InTransaction => Some(Answer::failed(
                Failure::Malformed,
                "a transaction is open already; end it first",
                state,
            )),
            Body::Begin { read_only } => {
                caller.transaction = Transaction::Deferred {
                    request: statement.request.clone(),
                    read_only: *read_only,
                    begun_at: now,
                };
                Some(Answer::done(SessionState::InTransaction))
            }
            Body::Set { name, value } => {
                caller.session_values.insert(name.clone(), value.clone());
                Some(Answer::done(state))
            }
            Body::Prepare { name, definition } => {
                caller.prepared.insert(name.clone(), definition.clone());
                Some(Answer::done(state))
            }
            Body::Deallocate { name } => {
                caller.prepared.remove(name);
                Some(Answer::done(state))
            }
            Body::Execute { name, .. } if !caller.prepared.contains_key(name) => {
                Some(Answer::failed(
                    Failure::UnknownPrepared,
                    "no statement of this name is prepared in this session",
                    state,
                ))
            }
            Body::Execute { .. } | Body::Run { .. } | Body::Commit => None,
        };
        match answer {
            Some(answer) => self.answer(now, id, answer),
            None => self.route_statement(now, id, statement),
        }
    }

    /// Finds the route of a statement, and queues it or sends it on its transaction's connection.
    fn route_statement(&mut self, now: Instant, id: CallerId, statement: Statement) {
        let Some(caller) = self.callers.get(&id) else {
            return;
        };
        self.retry_budgets.earn(&caller.tenant);
        let state = caller.state();
        let current_route = caller.database.as_ref().and_then(|name| self.route(name));
        let connection = caller.transaction_connection();
        // An open transaction keeps its route. Changed routes apply from the next transaction on.
        let route = match (connection, &caller.transaction_route) {
            (Some(_), Some(route)) => Some(route.clone()),
            _ => current_route.cloned(),
        };
        let Some(route) = route else {
            let message = "no route leads to this database any more";
            self.answer(now, id, Answer::failed(Failure::NoDatabase, message, state));
            return;
        };
        let pending = Pending {
            statement,
            route,
            received_at: now,
            sent_at: None,
            attempts: 0,
            holds_token: false,
            excluded_members: Vec::new(),
            stage: Stage::Queued(Ticket::default()),
            floor: None,
        };
        let are_keys_valid = self.keys_valid_until.is_none_or(|until| now < until);
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        caller.pending = Some(pending);
        if caller.tenant.is_some() && !are_keys_valid {
            self.refuse_unconfirmed_key(now, id);
            return;
        }
        match connection {
            Some(connection) => self.send_in_transaction(now, id, connection),
            None => self.admit_operation(now, id),
        }
    }

    /// Returns whether a caller's pending statement, or its transaction, may write.
    pub(super) fn may_write(&self, id: CallerId) -> bool {
        let Some(caller) = self.callers.get(&id) else {
            return false;
        };
        let writes = |pending: &Pending| !is_read(caller, &pending.statement.body);
        match caller.transaction {
            Transaction::Deferred { read_only, .. } => !read_only,
            _ => caller.pending.as_ref().is_some_and(writes),
        }
    }

    /// Returns the rate at which this process can run statements like a caller's pending one.
    ///
    /// By Little's law, each target answers as many statements at a time as this process may have
    /// in flight there, in its average response time, which includes the wait in its own queue.
    fn capacity_for(&self, now: Instant, id: CallerId) -> Capacity {
        let pending = self.callers.get(&id).and_then(|c| c.pending.as_ref());
        let group = pending.and_then(|pending| self.groups.get(&pending.route.group));
        let (Some(pending), Some(group)) = (pending, group) else {
            return Capacity::default();
        };
        let tenant = self.caller_tenant(id);
        let needs_primary = pending.route.freshness == Freshness::Latest || self.may_write(id);
        let can_run = |member: &&MemberId| !needs_primary || group.primary_id() == Some(*member);
        let targets = group
            .members
            .iter()
            .filter(can_run)
            .filter_map(|member| self.targets.get(member))
            .filter(|target| target.is_reachable() && !target.entry.leaving);
        let statements_per_s: f64 = targets
            .map(|target| {
                let connections = self.connection_limit(now, target, tenant) as f64;
                let limit = target.concurrency.get().map_or(f64::INFINITY, f64::from);
                connections.min(limit) / target.response_time.as_secs_f64().max(f64::EPSILON)
            })
            .sum();
        if statements_per_s == 0.0 {
            // No such target is known at present. One may appear before the deadline.
            return Capacity::default();
        }
        Capacity {
            parallel: 1,
            service_time: Duration::from_secs_f64(1.0 / statements_per_s),
        }
    }

    /// Queues a caller's statement, or refuses it at once if it can't run in time.
    pub(super) fn enqueue(&mut self, now: Instant, id: CallerId) {
        let pending = self
            .callers
            .get(&id)
            .and_then(|caller| caller.pending.as_ref());
        let name = pending.map(|pending| pending.route.group.clone());
        let is_new = pending.is_some_and(|pending| pending.sent_at.is_none());
        if self.callers.get(&id).is_some_and(|c| c.is_withdrawn) {
            self.refuse(now, id, withdrawn_answer());
            return;
        }
        let is_stalled = name
            .as_ref()
            .is_some_and(|name| self.is_write_stalled(now, name));
        if is_stalled && self.may_write(id) {
            let reason = "no replica receives from the primary at present";
            let delay = self.return_delay(now, id, RETRY_AFTER_STALLED);
            let counts = &mut self.counters.overload;
            counts.record_refusal(RefusalReason::WriteStalled);
            let answer = busy_answer(delay.max(RETRY_AFTER_STALLED), reason, SessionState::Idle);
            self.refuse(now, id, answer);
            return;
        }
        if let Some(answer) = self.refusal_without_primary(now, id) {
            self.refuse_without_primary(now, id, answer);
            return;
        }
        if let Some(name) = &name
            && is_new
        {
            self.record_arrival(now, id, name);
        }
        let has_tenants = self.has_tenants();
        let capacity = if has_tenants {
            // `enqueue_of_tenant` estimates the wait from other figures.
            Capacity::default()
        } else {
            self.capacity_for(now, id)
        };
        let tenant = self.caller_tenant(id).cloned();
        let began_at = has_tenants.then(|| self.operation_began_at(now, id));
        let Some(pending) = self.callers.get_mut(&id).and_then(|c| c.pending.as_mut()) else {
            return;
        };
        let began_at = began_at.flatten().unwrap_or(pending.received_at);
        let name = pending.route.group.clone();
        let Some(group) = self.groups.get_mut(&name) else {
            let answer =
                Answer::failed(Failure::Busy, "no server is known yet", SessionState::Idle);
            let counts = &mut self.counters.overload;
            counts.record_refusal(RefusalReason::NoServer);
            self.refuse(now, id, answer);
            return;
        };
        group.last_used_at = Some(now);
        let wait_limits = WaitLimits {
            deadline: queue_deadline(pending),
            goal: began_at + pending.route.latency_goal * QUEUE_GOAL_PERCENT / 100,
        };
        // Half of the goal remains at least, also where statements take longer than that.
        let service_time = group.queue.share().average_service_time();
        let service_time = service_time.min(pending.route.latency_goal / 2);
        let goal = began_at + pending.route.latency_goal;
        let entry = QueueEntry {
            priority: pending.route.priority,
            tenant,
            limits: wait_limits,
            last_start: goal.checked_sub(service_time).filter(|_| has_tenants),
        };
        if has_tenants {
            self.enqueue_of_tenant(now, id, entry);
            return;
        }
        match group.queue.push_entry(entry, now, capacity, id) {
            Ok(ticket) => {
                pending.stage = Stage::Queued(ticket);
                self.changed_groups.insert(name);
            }
            Err(rejection) => {
                let counts = &mut self.counters.overload;
                counts.record_refusal(RefusalReason::Overload);
                let answer = busy_answer(
                    rejection.retry_after,
                    "too many statements wait",
                    SessionState::Idle,
                );
                self.refuse(now, id, answer);
            }
        }
    }

    /// Refuses a statement because no primary is in reach. The group stays in use, so that its
    /// servers are still probed.
    pub(super) fn refuse_without_primary(&mut self, now: Instant, id: CallerId, answer: Answer) {
        let pending = self.callers.get(&id).and_then(|c| c.pending.as_ref());
        if let Some(group) = pending.and_then(|p| self.groups.get_mut(&p.route.group)) {
            group.last_used_at = Some(now);
        }
        self.counters.refused_without_primary += 1;
        self.refuse(now, id, answer);
    }

    /// Answers a statement that hasn't run, and fails its transaction.
    pub(super) fn refuse(&mut self, now: Instant, id: CallerId, mut answer: Answer) {
        if answer.failure() == Some(&Failure::Busy) {
            self.record_refused_operation(now, id);
        }
        self.refund_operation(now, id);
        if let Some(caller) = self.callers.get_mut(&id) {
            let is_commit = caller
                .pending
                .as_ref()
                .is_some_and(|pending| pending.statement.body == Body::Commit);
            if caller.transaction != Transaction::None {
                caller.transaction = if is_commit {
                    Transaction::None
                } else {
                    Transaction::Failed
                };
            }
            answer.state = caller.state();
        }
        self.answer(now, id, answer);
    }

    /// Sends an answer to a caller, and processes the caller's next pipelined statement.
    pub(super) fn answer(&mut self, now: Instant, id: CallerId, answer: Answer) {
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        caller.last_active_at = now;
        if let Some(pending) = caller.pending.take() {
            let latency = now.saturating_duration_since(pending.received_at);
            match &answer.outcome {
                Outcome::Done { .. } => {
                    caller.served_statements += 1;
                    caller.refused = None;
                    self.counters.served += 1;
                    self.latencies.push(latency);
                }
                Outcome::Failed { failure, message } => {
                    match failure {
                        Failure::InDoubt | Failure::Timeout => self.counters.in_doubt += 1,
                        Failure::Failed => self.counters.failed += 1,
                        _ => self.counters.refused += 1,
                    }
                    log::info!(
                        target: "request",
                        "event=failed request={} caller={id} group={} outcome={} state={:?} waited_ms={} sent_ms_ago={} attempts={} stage={:?} reason={}",
                        LogValue(&pending.statement.request),
                        LogValue(&pending.route.group),
                        LogValue(failure),
                        answer.state,
                        latency.as_millis(),
                        pending.sent_at.map_or(0, |at| now.saturating_duration_since(at).as_millis()),
                        pending.attempts,
                        stage_name(&pending.stage),
                        LogText(message),
                    );
                }
            }
            self.remove_from_queues(id, &pending);
        }
        self.effects.push(Effect::Answer { caller: id, answer });
        if self.callers.get(&id).is_some_and(|c| c.is_withdrawn) {
            self.end_session(now, id, withdrawn_answer);
            return;
        }
        let next = self
            .callers
            .get_mut(&id)
            .and_then(|c| c.pipelined.pop_front());
        if let Some(statement) = next {
            self.handle_statement(now, id, statement);
        }
    }

    /// Returns the connection on which a caller's transaction is open.
    pub(super) fn transaction_connection(&self, id: CallerId) -> Option<ConnectionId> {
        self.callers.get(&id)?.transaction_connection()
    }

    /// Rolls back the transaction on a connection that its caller no longer uses.
    pub(super) fn abort_transaction(&mut self, now: Instant, connection: ConnectionId) {
        let Some(target_connection) = self.connections.get(&connection) else {
            return;
        };
        let is_busy = target_connection
            .outstanding
            .iter()
            .any(|outstanding| outstanding.kind != CommandKind::Status);
        if is_busy {
            // Closing the connection rolls the transaction back without waiting for the outstanding
            // answer.
            self.close_connection(now, connection);
        } else {
            self.release_connection(now, connection);
        }
    }
}

/// Returns the time until which a statement may wait for a connection.
pub(super) fn queue_deadline(pending: &Pending) -> Instant {
    pending.received_at + pending.route.statement_timeout * QUEUE_TIMEOUT_PERCENT / 100
}

/// Returns the answer that refuses a statement that hasn't run, with a retry delay.
pub(super) fn busy_answer(retry_after: Duration, reason: &str, state: SessionState) -> Answer {
    let message = format!("{reason}; retry after {} ms", retry_after.as_millis());
    Answer::failed(Failure::Busy, message, state)
}

/// Returns whether a statement only reads data.
pub(super) fn is_read(caller: &Caller, body: &Body) -> bool {
    match body {
        Body::Run { access, .. } => *access == Access::Read,
        Body::Execute { name, .. } => {
            let definition = caller.prepared.get(name);
            definition.is_some_and(|definition| definition.access == Access::Read)
        }
        _ => false,
    }
}

fn stage_name(stage: &Stage) -> &'static str {
    match stage {
        Stage::AwaitingAllowance => "awaiting-allowance",
        Stage::Queued(_) => "queued",
        Stage::Preparing(_) => "preparing",
        Stage::Running(_) => "running",
        Stage::Retrying(_) => "retrying",
        Stage::AwaitingProof { .. } => "proving",
        Stage::AwaitingReplicas { .. } => "awaiting-replicas",
    }
}
