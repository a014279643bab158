//! What targets answer, and what becomes of statements whose connection ends.

use super::Effect;
use super::Engine;
use super::caller::Caller;
use super::caller::Stage;
use super::caller::Transaction;
use super::dispatch::is_latest_read;
use super::group::LookScope;
use super::sessions::ATTEMPTS_MAX;
use super::sessions::busy;
use super::sessions::is_read;
use super::statement::Answer;
use super::statement::Body;
use super::statement::CallerId;
use super::statement::Command;
use super::statement::ConnectionId;
use super::statement::Failure;
use super::statement::Outcome;
use super::statement::SessionState;
use super::statement::TargetStatus;
use super::target::Expected;
use crate::ids::MemberId;
use std::time::Duration;
use std::time::Instant;

/// How long a target that couldn't be connected to is left alone.
const OPEN_AGAIN_DELAY: Duration = Duration::from_millis(100);

/// How long a target that has no room for another connection isn't asked for one.
const REFUSED_DELAY: Duration = Duration::from_millis(400);

/// How long a connection may take to open before the target counts as failing.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a replica that lacked a position isn't asked for that position again.
const LAGGING_DELAY: Duration = Duration::from_millis(60);

/// How long a connection may leave a command unanswered before it is given up.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a connection may leave a statement unanswered that nobody waits for any more.
const ABANDONED_ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a connection beyond the first may rest before others may have it.
const IDLE_CONNECTION_KEPT: Duration = Duration::from_millis(1_500);

/// When callers should come back after a statement found no target.
const RETRY_AFTER_NO_TARGET: Duration = Duration::from_millis(100);

impl Engine {
    /// A connection was accepted by its target.
    pub fn target_ready(&mut self, now: Instant, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.is_open = true;
        connection.idle_since = now;
        let group = connection.group.clone();
        if let Some(target) = self.target_of(id) {
            if target.failing_since.is_some() {
                log::info!(target: "belief", "event=target-reachable target={}", target.entry.id);
            }
            target.note_answer(now);
            target.is_lost = false;
        }
        self.dirty.insert(group);
    }

    /// A connection was refused by its target, which is running.
    pub fn target_refused(&mut self, now: Instant, id: ConnectionId, failure: &Failure) {
        if let Some(target) = self.target_of(id) {
            log::info!(
                target: "belief",
                "event=connection-refused target={} reason={failure} held={}",
                target.entry.id,
                target.connections.len()
            );
            target.open_again_at = now + REFUSED_DELAY;
            if *failure != Failure::WrongTarget {
                target.last_answer_at = now;
            }
        }
        self.lose_connection(now, id);
    }

    /// A connection ended, or could not be opened.
    pub fn target_gone(&mut self, now: Instant, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let was_open = connection.is_open;
        if let Some(target) = self.target_of(id) {
            target.is_lost = true;
            if !was_open {
                if target.failing_since.is_none() {
                    log::info!(target: "belief", "event=target-unreachable target={}", target.entry.id);
                }
                target.failing_since.get_or_insert(now);
                target.open_again_at = now + OPEN_AGAIN_DELAY;
            } else {
                log::info!(target: "belief", "event=connection-lost target={}", target.entry.id);
            }
        }
        self.lose_connection(now, id);
    }

    /// A target answered the oldest outstanding command of a connection.
    pub fn target_reply(
        &mut self,
        now: Instant,
        id: ConnectionId,
        answer: Answer,
        status: Option<TargetStatus>,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let fits = connection
            .outstanding
            .front()
            .is_some_and(|first| first.expected.fits(&answer.outcome));
        if !fits {
            // An earlier answer was lost: what comes now belongs to something else.
            log::warn!(target: "belief", "event=answer-of-another target={}", connection.member);
            self.close_connection(now, id);
            return;
        }
        let Some(outstanding) = connection.outstanding.pop_front() else {
            return;
        };
        connection.idle_since = now;
        let member = connection.member.clone();
        let group = connection.group.clone();
        let owner = connection.owner;
        if matches!(outstanding.expected, Expected::Begin | Expected::Statement) {
            connection.in_transaction = answer.state != SessionState::Idle;
        }
        if let Some(target) = self.targets.get_mut(&member) {
            target.note_answer(now);
            if let Some(position) = answer.position {
                target.applied = position;
            }
        }
        match outstanding.expected {
            Expected::Preparation | Expected::Begin => {
                let is_begin = outstanding.expected == Expected::Begin;
                self.prepared(now, id, owner, &member, is_begin, answer);
            }
            Expected::Statement => {
                let took = now.saturating_duration_since(outstanding.sent_at);
                self.statement_ended(&member, Some(took));
                match owner {
                    Some(owner) => self.statement_answered(now, owner, id, &member, answer),
                    None => self.give_back(now, id),
                }
            }
            Expected::Abandoned => {
                self.statement_ended(&member, None);
                if let Some(connection) = self.connections.get_mut(&id) {
                    connection.in_transaction = answer.state != SessionState::Idle;
                }
                self.give_back(now, id);
            }
            Expected::Rollback => {
                if answer.failure().is_some() || answer.state != SessionState::Idle {
                    self.close_connection(now, id);
                } else if let Some(connection) = self.connections.get_mut(&id) {
                    connection.in_transaction = false;
                }
            }
            Expected::Status => {
                if let Some(target) = self.targets.get_mut(&member) {
                    target.looks_outstanding = target.looks_outstanding.saturating_sub(1);
                }
                if let Some(status) = status {
                    self.note_status(now, &member, outstanding.sent_at, status);
                }
            }
            Expected::Control(call) => {
                if let Some(status) = &status {
                    self.note_status(now, &member, outstanding.sent_at, status.clone());
                }
                self.control_answered(now, &member, call, status);
            }
        }
        self.dirty.insert(group);
    }

    /// A connection's preparation, or the opening of its transaction, was answered.
    fn prepared(
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
                    "event=preparation-failed target={member} reason={failure}"
                );
                self.close_connection(now, id);
            }
            return;
        }
        let Some(owner) = owner else {
            // Its caller left meanwhile.
            let is_last = self
                .connections
                .get(&id)
                .is_some_and(|connection| connection.outstanding.is_empty());
            if is_last {
                self.give_back(now, id);
            }
            return;
        };
        if is_begin {
            self.transaction_opened(owner, id);
        }
        let has_more = self.connections.get(&id).is_some_and(|connection| {
            let is_preparation = |outstanding: &super::target::Outstanding| {
                matches!(
                    outstanding.expected,
                    Expected::Preparation | Expected::Begin
                )
            };
            connection.outstanding.iter().any(is_preparation)
        });
        if !has_more {
            self.send_statement(now, owner, id);
        }
    }

    fn transaction_opened(&mut self, owner: CallerId, connection: ConnectionId) {
        let Some(caller) = self.callers.get_mut(&owner) else {
            return;
        };
        let Transaction::Declared {
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
            statements: 0,
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
        self.note_not_run(now, member, failure);
        self.disown(id);
        self.give_back(now, id);
        if let Some(owner) = owner {
            self.retry(now, owner, Some(member.clone()));
        }
    }

    /// Learns from a statement that a target didn't run.
    fn note_not_run(&mut self, now: Instant, member: &MemberId, failure: &Failure) {
        let Some(target) = self.targets.get_mut(member) else {
            return;
        };
        let name = target.entry.group.clone();
        match failure {
            Failure::Lagging => target.lagging_until = now + LAGGING_DELAY,
            Failure::NotPrimary => {
                if let Some(group) = self.groups.get_mut(&name)
                    && group.primary_id() == Some(member)
                {
                    log::info!(
                        target: "belief",
                        "event=primary-lost group={name} target={member} reason=refused-a-write"
                    );
                    group.primary = None;
                }
                self.want_looks(now, &name, LookScope::All);
            }
            _ => {}
        }
    }

    fn statement_ended(&mut self, member: &MemberId, took: Option<Duration>) {
        if let Some(target) = self.targets.get_mut(member) {
            target.in_flight = target.in_flight.saturating_sub(1);
            if let Some(took) = took {
                target.note_response_time(took);
            }
        }
    }

    /// A caller's statement was answered.
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
        let term = self
            .connections
            .get(&id)
            .and_then(|connection| self.groups.get(&connection.group))
            .and_then(|group| group.primary.as_ref())
            .filter(|primary| &primary.member == member)
            .map(|primary| primary.term);
        let Some(caller) = self.callers.get_mut(&owner) else {
            self.disown(id);
            self.give_back(now, id);
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
        let sent_at = pending.sent_at;
        let mut acknowledged = None;
        if !needs_proof && let Some(position) = answer.position {
            let is_kept = match caller.transaction {
                Transaction::Open { wrote, .. } => wrote && is_commit,
                _ => writes,
            };
            if is_kept {
                caller.own = caller.own.max(position);
                acknowledged = Some(position);
            } else {
                self.counters.replica_reads += u64::from(term.is_none());
            }
        }
        if in_transaction && answer.state == SessionState::Idle {
            caller.transaction = Transaction::None;
        }
        if let (Some(position), Some(sent_at)) = (acknowledged, sent_at) {
            self.note_acknowledged(&group, sent_at, position);
        }
        let is_over = answer.state == SessionState::Idle;
        if is_over {
            self.disown(id);
            self.give_back(now, id);
        }
        if !needs_proof {
            self.answer(now, owner, answer);
            return;
        }
        let Some(term) = term else {
            self.refuted_without_primary(now, owner, in_transaction, id);
            return;
        };
        let stage = Stage::Proving {
            answer,
            member: member.clone(),
            term,
            led_at_begin: in_transaction,
        };
        self.set_stage(owner, stage);
        if let Some(group) = self.groups.get_mut(&group) {
            group.proving.insert(owner);
        }
        self.judge(now, owner);
    }

    /// A read ran on a target that is no longer known to lead.
    fn refuted_without_primary(
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
        if failure.is_not_run() {
            self.note_not_run(now, member, failure);
        }
        let Some(caller) = self.callers.get_mut(&owner) else {
            self.disown(id);
            self.give_back(now, id);
            return;
        };
        let body = caller_body(caller);
        let reads = is_read(caller, &body);
        if let Transaction::Open {
            statements,
            begun_at,
            read_only,
            request,
            ..
        } = caller.transaction.clone()
        {
            if answer.state == SessionState::InTransaction && *failure == Failure::Busy {
                self.set_stage(owner, Stage::Retrying(id));
                return;
            }
            let is_first = statements <= 1 && body != Body::Commit;
            if failure.is_not_run() && is_first {
                // Nothing of the transaction ran: it can start on another target.
                caller.transaction = Transaction::Declared {
                    request,
                    read_only,
                    begun_at,
                };
                self.disown(id);
                self.give_back(now, id);
                self.retry(now, owner, Some(member.clone()));
                return;
            }
            let keeps = answer.state == SessionState::InTransaction && body != Body::Commit;
            if keeps {
                self.answer(now, owner, answer);
                return;
            }
            caller.transaction = if body == Body::Commit {
                Transaction::None
            } else {
                Transaction::Failed
            };
            answer.state = caller.state();
            self.disown(id);
            self.give_back(now, id);
            self.answer(now, owner, answer);
            return;
        }
        self.disown(id);
        self.give_back(now, id);
        if failure.is_not_run() || (reads && *failure == Failure::Failed) {
            self.retry(now, owner, Some(member.clone()));
        } else {
            answer.state = SessionState::Idle;
            self.answer(now, owner, answer);
        }
    }

    /// Queues a statement again that may run on another target.
    pub(super) fn retry(&mut self, now: Instant, id: CallerId, avoid: Option<MemberId>) {
        let Some(pending) = self.callers.get_mut(&id).and_then(|c| c.pending.as_mut()) else {
            return;
        };
        if let Some(group) = self.groups.get_mut(&pending.route.group) {
            group.proving.remove(&id);
        }
        pending.avoid.extend(avoid);
        if pending.attempts >= ATTEMPTS_MAX {
            let reason = "no server could run the statement";
            let answer = busy(RETRY_AFTER_NO_TARGET, reason, SessionState::Idle);
            self.refuse(now, id, answer);
            return;
        }
        self.counters.retried += 1;
        self.enqueue(now, id);
    }

    /// Returns a connection to the pool.
    pub(super) fn give_back(&mut self, now: Instant, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.owner = None;
        connection.idle_since = now;
        let group = connection.group.clone();
        if connection.in_transaction {
            self.send(now, id, Command::Rollback, Expected::Rollback);
        }
        self.dirty.insert(group);
    }

    /// Takes a connection from its owner, without more.
    pub(super) fn disown(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.owner = None;
        }
    }

    /// Leaves a statement to run to its end with nobody waiting.
    pub(super) fn abandon(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.owner = None;
        for outstanding in &mut connection.outstanding {
            if outstanding.expected == Expected::Statement {
                outstanding.expected = Expected::Abandoned;
            }
        }
    }

    /// Closes a connection to a target.
    pub(super) fn close_connection(&mut self, now: Instant, id: ConnectionId) {
        if self.connections.contains_key(&id) {
            self.effects.push(Effect::Close { connection: id });
            self.lose_connection(now, id);
        }
    }

    /// Forgets a connection, and finds out what that means for its owner.
    fn lose_connection(&mut self, now: Instant, id: ConnectionId) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        self.dirty.insert(connection.group.clone());
        if let Some(target) = self.targets.get_mut(&connection.member) {
            target.connections.retain(|known| *known != id);
            for outstanding in &connection.outstanding {
                match outstanding.expected {
                    Expected::Status => {
                        target.looks_outstanding = target.looks_outstanding.saturating_sub(1);
                    }
                    Expected::Statement | Expected::Abandoned => {
                        target.in_flight = target.in_flight.saturating_sub(1);
                    }
                    _ => {}
                }
            }
        }
        for outstanding in &connection.outstanding {
            if let Expected::Control(call) = outstanding.expected {
                self.control_answered(now, &connection.member, call, None);
            }
        }
        if let Some(owner) = connection.owner {
            self.owner_lost_connection(now, owner, id, &connection.member);
        }
    }

    fn owner_lost_connection(
        &mut self,
        now: Instant,
        owner: CallerId,
        id: ConnectionId,
        member: &MemberId,
    ) {
        let Some(caller) = self.callers.get_mut(&owner) else {
            return;
        };
        let in_transaction = caller.transaction_connection() == Some(id);
        let Some(pending) = &caller.pending else {
            if in_transaction {
                caller.transaction = Transaction::Failed;
            }
            return;
        };
        let is_commit = pending.statement.body == Body::Commit;
        let is_running = pending.stage == Stage::Running(id);
        let reads = is_read(caller, &pending.statement.body);
        if in_transaction {
            caller.transaction = if is_commit {
                Transaction::None
            } else {
                Transaction::Failed
            };
            let state = caller.state();
            let answer = if is_commit && is_running {
                in_doubt(state)
            } else {
                let message = "the server's connection ended; nothing of the transaction is kept";
                Answer::failed(Failure::Aborted, message, state)
            };
            self.answer(now, owner, answer);
        } else if is_running && !reads {
            self.answer(now, owner, in_doubt(SessionState::Idle));
        } else if is_running || pending.stage == Stage::Preparing(id) {
            self.retry(now, owner, Some(member.clone()));
        }
    }

    /// Gives up connections that are stuck or no longer needed, and repeats what was held back.
    pub(super) fn sweep_connections(&mut self, now: Instant) {
        let mut stuck = Vec::new();
        let mut spare = Vec::new();
        for (id, connection) in &self.connections {
            let waits_for = connection
                .waiting_since()
                .map(|since| now.saturating_duration_since(since));
            let is_abandoned = connection
                .outstanding
                .front()
                .is_some_and(|first| first.expected == Expected::Abandoned);
            let limit = match (connection.is_open, is_abandoned) {
                (false, _) => OPEN_TIMEOUT,
                (true, true) => ABANDONED_ANSWER_TIMEOUT,
                (true, false) => ANSWER_TIMEOUT,
            };
            if waits_for.is_some_and(|time| time >= limit) {
                stuck.push(*id);
            } else if connection.is_idle() && now >= connection.idle_since + IDLE_CONNECTION_KEPT {
                spare.push(*id);
            }
        }
        for id in stuck {
            let was_open = self.connections.get(&id).is_some_and(|c| c.is_open);
            self.effects.push(Effect::Close { connection: id });
            if was_open {
                self.lose_connection(now, id);
            } else {
                self.target_gone(now, id);
            }
        }
        for id in spare {
            let group = self.connections.get(&id).map(|c| c.group.clone());
            let is_kept = group.is_some_and(|group| self.is_served_here(now, &group));
            let is_last = self
                .target_of(id)
                .is_some_and(|target| target.connections.len() <= 1);
            if !(is_last && is_kept) {
                self.close_connection(now, id);
            }
        }
        self.resend_held_back(now);
    }

    /// Sends statements again that their transaction's target was too busy for.
    fn resend_held_back(&mut self, now: Instant) {
        let held_back: Vec<(CallerId, ConnectionId)> = self
            .callers
            .iter()
            .filter_map(|(id, caller)| match caller.pending.as_ref()?.stage {
                Stage::Retrying(connection) => Some((*id, connection)),
                _ => None,
            })
            .collect();
        for (id, connection) in held_back {
            self.send_statement(now, id, connection);
        }
    }
}

/// Returns the body of the statement that a caller waits for.
fn caller_body(caller: &Caller) -> Body {
    match &caller.pending {
        Some(pending) => pending.statement.body.clone(),
        None => Body::Unreadable,
    }
}

fn in_doubt(state: SessionState) -> Answer {
    Answer {
        rows: Vec::new(),
        outcome: Outcome::Failed {
            failure: Failure::InDoubt,
            message:
                "the server's connection ended before its answer; look whether the change is there"
                    .into(),
        },
        state,
        position: None,
    }
}
