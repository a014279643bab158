//! Replies of targets: delivers answers to callers and retries statements that didn't run.

use super::Engine;
use super::caller::Caller;
use super::caller::Stage;
use super::caller::Transaction;
use super::dispatch::is_latest_read;
use super::group::ProbeScope;
use super::outstanding::AnsweredCommand;
use super::outstanding::CommandKind;
use super::outstanding::OutstandingCommand;
use super::overload_counts::RefusalReason;
use super::probes::LAGGING_GROUP_TIMEOUT;
use super::sessions::ATTEMPTS_MAX;
use super::sessions::busy_answer;
use super::sessions::is_read;
use super::statement::Answer;
use super::statement::Body;
use super::statement::CallerId;
use super::statement::ConnectionId;
use super::statement::Failure;
use super::statement::SessionState;
use super::target::Connection;
use super::withdrawal::withdrawn_answer;
use crate::ids::MemberId;
use crate::ids::Term;
use crate::logfmt::LogValue;
use std::time::Duration;
use std::time::Instant;

/// The time after a [`Failure::Lagging`] reply during which the replica gets no read that requires
/// a position beyond its last known one.
const LAGGING_DELAY: Duration = Duration::from_millis(60);

/// The retry delay sent to callers whose statement no target could run.
const RETRY_AFTER_NO_TARGET: Duration = Duration::from_millis(100);

impl Engine {
    /// Processes the answer that was matched to a command.
    pub(super) fn command_answered(
        &mut self,
        now: Instant,
        id: ConnectionId,
        answered: AnsweredCommand,
    ) {
        let AnsweredCommand {
            command: outstanding,
            answer,
            status,
            evidence_at,
        } = answered;
        let probed_at = if self.are_answers_repeated(now) {
            evidence_at
        } else {
            Some(outstanding.sent_at)
        };
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.idle_since = now;
        let member = connection.member.clone();
        let group = connection.group.clone();
        let owner = connection.owner;
        if matches!(
            outstanding.kind,
            CommandKind::Begin | CommandKind::Statement
        ) {
            connection.in_transaction = answer.state != SessionState::Idle;
        }
        if let Some(target) = self.targets.get_mut(&member) {
            let time = now.saturating_duration_since(outstanding.sent_at);
            target.round_trip.record(now, time);
            if let Some(position) = answer.position {
                target.applied = position;
            }
        }
        match outstanding.kind {
            CommandKind::Preparation | CommandKind::Begin => {
                let is_begin = outstanding.kind == CommandKind::Begin;
                self.preparation_answered(now, id, owner, &member, is_begin, answer);
            }
            CommandKind::Statement => {
                self.record_statement_end(now, &member, outstanding.sent_at, answer.failure());
                self.record_used_time(now, id, outstanding.sent_at, answer.failure());
                match owner {
                    Some(owner) => self.statement_answered(now, owner, id, &member, answer),
                    None => self.release_connection(now, id),
                }
            }
            CommandKind::Abandoned => {
                if let Some(target) = self.targets.get_mut(&member) {
                    target.in_flight = target.in_flight.saturating_sub(1);
                }
                self.record_used_time(now, id, outstanding.sent_at, answer.failure());
                if let Some(connection) = self.connections.get_mut(&id) {
                    connection.in_transaction = answer.state != SessionState::Idle;
                }
                self.release_connection(now, id);
            }
            CommandKind::Rollback => {
                if answer.failure().is_some() || answer.state != SessionState::Idle {
                    self.close_connection(now, id);
                } else if let Some(connection) = self.connections.get_mut(&id) {
                    connection.in_transaction = false;
                }
            }
            // It is matched together with the failure that it proves.
            CommandKind::Sync => {}
            CommandKind::Status => {
                if let Some(target) = self.targets.get_mut(&member) {
                    let time = now.saturating_duration_since(outstanding.sent_at);
                    target.record_probe_time(time);
                }
                if let (Some(status), Some(probed_at)) = (status, probed_at) {
                    self.handle_status(now, &member, probed_at, status);
                } else if answer.failure().is_some()
                    && self.are_answers_repeated(now)
                    && self.connections.get(&id).is_some_and(Connection::is_idle)
                {
                    self.replace_connection(now, id);
                }
            }
            CommandKind::Control(call) => {
                if let (Some(status), Some(probed_at)) = (&status, probed_at) {
                    self.handle_status(now, &member, probed_at, status.clone());
                }
                self.control_answered(now, &member, call, status);
            }
        }
        self.changed_groups.insert(group);
    }

    /// Processes the answer to a command that prepares a connection or begins its transaction.
    fn preparation_answered(
        &mut self,
        now: Instant,
        id: ConnectionId,
        owner: Option<CallerId>,
        member: &MemberId,
        is_begin: bool,
        answer: Answer,
    ) {
        if let Some(failure) = answer.failure().cloned() {
            if is_begin {
                self.begin_failed(now, id, owner, member, &failure);
            } else {
                log::warn!(
                    target: "belief",
                    "event=preparation-failed target={} reason={}",
                    LogValue(member),
                    LogValue(&failure)
                );
                self.close_connection(now, id);
            }
            return;
        }
        let Some(owner) = owner else {
            // The caller has disconnected in the meantime.
            let is_last = self
                .connections
                .get(&id)
                .is_some_and(|connection| connection.outstanding.is_empty());
            if is_last {
                self.release_connection(now, id);
            }
            return;
        };
        if is_begin {
            self.transaction_opened(owner, id);
        }
        let has_more = self.connections.get(&id).is_some_and(|connection| {
            let is_preparation = |outstanding: &OutstandingCommand| {
                matches!(
                    outstanding.kind,
                    CommandKind::Preparation | CommandKind::Begin
                )
            };
            connection.outstanding.iter().any(is_preparation)
        });
        let is_statement_due = self
            .callers
            .get(&owner)
            .and_then(|caller| caller.pending.as_ref())
            .is_some_and(|pending| pending.stage == Stage::Preparing(id));
        if !has_more && is_statement_due {
            self.send_statement(now, owner, id);
        }
    }

    fn transaction_opened(&mut self, owner: CallerId, connection: ConnectionId) {
        let Some(caller) = self.callers.get_mut(&owner) else {
            return;
        };
        let Transaction::Deferred {
            request,
            read_only,
            begun_at,
        } = caller.transaction.clone()
        else {
            return;
        };
        caller.transaction = Transaction::Open {
            connection,
            request,
            read_only,
            begun_at,
            statements_sent: 0,
            wrote: false,
        };
        caller.transaction_route = caller.pending.as_ref().map(|pending| pending.route.clone());
    }

    fn begin_failed(
        &mut self,
        now: Instant,
        id: ConnectionId,
        owner: Option<CallerId>,
        member: &MemberId,
        failure: &Failure,
    ) {
        self.handle_not_run(now, member, failure);
        self.clear_owner(id);
        self.release_connection(now, id);
        if let Some(owner) = owner {
            self.retry(now, owner, Some(member.clone()));
        }
    }

    /// Updates the target and its group after the target refused to run a statement.
    fn handle_not_run(&mut self, now: Instant, member: &MemberId, failure: &Failure) {
        let Some(target) = self.targets.get_mut(member) else {
            return;
        };
        let name = target.entry.group.clone();
        match failure {
            Failure::Lagging => {
                target.lagging_until = now + LAGGING_DELAY;
                if let Some(group) = self.groups.get_mut(&name) {
                    group.lagging_until = Some(now + LAGGING_GROUP_TIMEOUT);
                }
            }
            Failure::NotPrimary => {
                if let Some(group) = self.groups.get_mut(&name)
                    && group.primary_id() == Some(member)
                {
                    log::info!(
                        target: "belief",
                        "event=primary-lost group={} target={} reason=refused-a-write",
                        LogValue(&name),
                        LogValue(member)
                    );
                    group.primary = None;
                }
                self.request_probes(now, &name, ProbeScope::All);
            }
            _ => {}
        }
    }

    /// Updates a target's load, response time and concurrency limit after it answered a statement.
    ///
    /// A refusal takes no service time, so it doesn't count as a response time: a server that
    /// refuses at once would look like the fastest.
    fn record_statement_end(
        &mut self,
        now: Instant,
        member: &MemberId,
        sent_at: Instant,
        failure: Option<&Failure>,
    ) {
        let Some(target) = self.targets.get_mut(member) else {
            return;
        };
        let in_flight = target.in_flight;
        target.in_flight = in_flight.saturating_sub(1);
        match failure {
            Some(Failure::Busy) => {
                let service_time = target.response_time;
                let concurrency = &mut target.concurrency;
                if concurrency.record_refusal(now, sent_at, in_flight, service_time) {
                    log::info!(
                        target: "belief",
                        "event=target-busy target={} in_flight={in_flight} limit={} usual_ms={}",
                        LogValue(member),
                        concurrency.get().unwrap_or(u32::MAX),
                        service_time.as_millis()
                    );
                }
                self.counters.refused_by_targets += 1;
            }
            Some(failure) if failure.is_not_run() => {}
            _ => {
                target.concurrency.record_run();
                target.record_response_time(now, now.saturating_duration_since(sent_at));
            }
        }
    }

    /// Charges a connection's tenant for the time that its statement took. One that didn't run took
    /// none.
    fn record_used_time(
        &mut self,
        now: Instant,
        id: ConnectionId,
        sent_at: Instant,
        failure: Option<&Failure>,
    ) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let service_time = match failure {
            Some(failure) if failure.is_not_run() => Duration::ZERO,
            _ => now.saturating_duration_since(sent_at),
        };
        if let Some(group) = self.groups.get_mut(&connection.group) {
            let share = group.queue.share_mut();
            share.record_end(&connection.tenant, service_time);
        }
    }

    /// Processes the answer to a caller's statement.
    fn statement_answered(
        &mut self,
        now: Instant,
        owner: CallerId,
        id: ConnectionId,
        member: &MemberId,
        answer: Answer,
    ) {
        if let Some(failure) = answer.failure().cloned() {
            self.statement_failed(now, owner, id, member, answer, &failure);
            return;
        }
        let primary_term = self
            .connections
            .get(&id)
            .and_then(|connection| self.groups.get(&connection.group))
            .and_then(|group| group.primary.as_ref())
            .filter(|primary| &primary.member == member)
            .map(|primary| primary.term);
        let Some(caller) = self.callers.get_mut(&owner) else {
            self.clear_owner(id);
            self.release_connection(now, id);
            return;
        };
        let needs_proof = is_latest_read(caller);
        let in_transaction = caller.transaction_connection().is_some();
        let Some(pending) = &caller.pending else {
            return;
        };
        let group = pending.route.group.clone();
        let writes = !is_read(caller, &pending.statement.body);
        let is_commit = pending.statement.body == Body::Commit;
        let is_committed = match caller.transaction {
            Transaction::Open { wrote, .. } => wrote && is_commit,
            _ => writes,
        };
        if !needs_proof && !is_committed && answer.position.is_some() {
            // `primary_term` is known only if the primary ran the read.
            self.counters.replica_reads += u64::from(primary_term.is_none());
        }
        if in_transaction && answer.state == SessionState::Idle {
            caller.transaction = Transaction::None;
        }
        let is_transaction_over = answer.state == SessionState::Idle;
        if is_transaction_over {
            self.clear_owner(id);
            self.release_connection(now, id);
        }
        if !needs_proof && is_committed {
            self.commit_answered(now, owner, member, answer);
            return;
        }
        if !needs_proof {
            self.answer(now, owner, answer);
            return;
        }
        let Some(term) = primary_term else {
            self.retry_without_primary(now, owner, in_transaction, id);
            return;
        };
        let stage = Stage::AwaitingProof {
            answer,
            member: member.clone(),
            term,
            is_leader_known: in_transaction || self.led_on_connection(id, term),
        };
        self.set_stage(owner, stage);
        if let Some(group) = self.groups.get_mut(&group) {
            group.awaiting_proof.insert(owner);
        }
        self.check_proof(now, owner);
    }

    /// Returns whether the target of a connection reported, in its newest probe and since the
    /// connection was opened, that it leads `term`.
    pub(super) fn led_on_connection(&self, id: ConnectionId, term: Term) -> bool {
        let Some(connection) = self.connections.get(&id) else {
            return false;
        };
        let Some(probe) = self
            .targets
            .get(&connection.member)
            .and_then(|target| target.probe.as_ref())
        else {
            return false;
        };
        connection.is_open
            && probe.probed_at > connection.opened_at
            && probe.status.is_primary
            && probe.status.term == term
    }

    /// Retries a read that ran on a target that isn't known as the primary any more, or fails its
    /// transaction.
    fn retry_without_primary(
        &mut self,
        now: Instant,
        owner: CallerId,
        in_transaction: bool,
        id: ConnectionId,
    ) {
        if in_transaction {
            let message = "the primary is being replaced; run the transaction again";
            self.fail_transaction(now, owner, id, Failure::Aborted, message);
        } else {
            self.retry(now, owner, None);
        }
    }

    fn statement_failed(
        &mut self,
        now: Instant,
        owner: CallerId,
        id: ConnectionId,
        member: &MemberId,
        mut answer: Answer,
        failure: &Failure,
    ) {
        let is_temporary = matches!(failure, Failure::Busy | Failure::Lagging);
        if failure.is_not_run() {
            self.handle_not_run(now, member, failure);
        }
        let Some(caller) = self.callers.get_mut(&owner) else {
            self.clear_owner(id);
            self.release_connection(now, id);
            return;
        };
        let body = pending_body(caller);
        let reads = is_read(caller, &body);
        if let Transaction::Open {
            statements_sent,
            begun_at,
            read_only,
            request,
            ..
        } = caller.transaction.clone()
        {
            if answer.state == SessionState::InTransaction && *failure == Failure::Busy {
                if caller.is_withdrawn {
                    // The statement hasn't run, and its transaction must not go on.
                    self.clear_owner(id);
                    self.close_connection(now, id);
                    self.refuse(now, owner, withdrawn_answer());
                } else {
                    self.set_stage(owner, Stage::Retrying(id));
                }
                return;
            }
            let is_first = statements_sent <= 1 && body != Body::Commit;
            if failure.is_not_run() && is_first {
                // No statement of the transaction ran, so it can begin on another target.
                caller.transaction = Transaction::Deferred {
                    request,
                    read_only,
                    begun_at,
                };
                self.clear_owner(id);
                self.release_connection(now, id);
                if is_temporary {
                    self.requeue_refused(now, owner, member, failure);
                } else {
                    self.retry(now, owner, Some(member.clone()));
                }
                return;
            }
            let stays_open = answer.state == SessionState::InTransaction && body != Body::Commit;
            if stays_open {
                self.answer(now, owner, answer);
                return;
            }
            caller.transaction = if body == Body::Commit {
                Transaction::None
            } else {
                Transaction::Failed
            };
            answer.state = caller.state();
            self.clear_owner(id);
            self.release_connection(now, id);
            self.answer(now, owner, answer);
            return;
        }
        self.clear_owner(id);
        self.release_connection(now, id);
        if is_temporary {
            self.requeue_refused(now, owner, member, failure);
        } else if failure.is_not_run() || (reads && *failure == Failure::Failed) {
            self.retry(now, owner, Some(member.clone()));
        } else {
            answer.state = SessionState::Idle;
            self.answer(now, owner, answer);
        }
    }

    /// Queues a statement again that a target refused because it was busy, or because it lagged.
    ///
    /// The next attempt at the target is delayed by its concurrency limit, or until it may have
    /// caught up, so these attempts aren't counted. The statement waits until its queue deadline. A
    /// target that lagged stays eligible, as it catches up.
    fn requeue_refused(
        &mut self,
        now: Instant,
        id: CallerId,
        member: &MemberId,
        failure: &Failure,
    ) {
        if let Some(pending) = self.callers.get_mut(&id).and_then(|c| c.pending.as_mut()) {
            pending.attempts = pending.attempts.saturating_sub(1);
        }
        let excluded = (*failure == Failure::Busy).then(|| member.clone());
        self.retry(now, id, excluded);
    }

    /// Queues a statement again, preferably for a target other than `excluded`.
    pub(super) fn retry(&mut self, now: Instant, id: CallerId, excluded: Option<MemberId>) {
        let Some(pending) = self.callers.get_mut(&id).and_then(|c| c.pending.as_mut()) else {
            return;
        };
        if let Some(group) = self.groups.get_mut(&pending.route.group) {
            group.awaiting_proof.remove(&id);
        }
        pending.excluded_members.extend(excluded);
        if pending.attempts >= ATTEMPTS_MAX {
            let reason = "no server could run the statement";
            let delay = self.return_delay(now, id, RETRY_AFTER_NO_TARGET);
            let counts = &mut self.counters.overload;
            counts.record_refusal(RefusalReason::NoServer);
            let answer = busy_answer(delay, reason, SessionState::Idle);
            self.refuse(now, id, answer);
            return;
        }
        self.counters.retried += 1;
        self.enqueue(now, id);
    }
}

/// Returns the body of a caller's pending statement.
fn pending_body(caller: &Caller) -> Body {
    match &caller.pending {
        Some(pending) => pending.statement.body.clone(),
        None => Body::Unparsable,
    }
}
