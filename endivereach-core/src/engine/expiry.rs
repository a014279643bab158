//! Timeouts: statements and idle transactions.

use super::Engine;
use super::caller::Stage;
use super::caller::Transaction;
use super::overload_counts::RefusalReason;
use super::sessions::busy_answer;
use super::sessions::is_read;
use super::sessions::queue_deadline;
use super::statement::Answer;
use super::statement::Body;
use super::statement::CallerId;
use super::statement::ConnectionId;
use super::statement::Failure;
use super::statement::SessionState;
use crate::drain::Phase;
use crate::logfmt::LogValue;
use std::time::Duration;
use std::time::Instant;

/// The time after which a read is retried on another target, as a multiple of the target's average
/// response time.
const READ_OVERDUE_FACTOR: u32 = 6;

/// The minimum time after which a read is retried on another target: several times the run time of
/// a long statement.
const READ_OVERDUE_MIN: Duration = Duration::from_millis(150);

/// The time after which a transaction with an unanswered statement is aborted, as a multiple of the
/// target's average response time.
const TRANSACTION_OVERDUE_FACTOR: u32 = 8;

/// The minimum time after which a transaction with an unanswered statement is aborted.
const TRANSACTION_OVERDUE_MIN: Duration = Duration::from_millis(300);

/// The default retry delay, sent to callers whose statement waited too long for a connection.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_millis(100);

impl Engine {
    /// Ends statements and transactions that timed out, and idle sessions during a planned stop.
    pub(super) fn check_callers(&mut self, now: Instant) {
        let ids: Vec<CallerId> = self.callers.keys().copied().collect();
        let ends_transactions = self.drain_phase(now) == Some(Phase::EndingTransactions);
        let idle_limit = self
            .routes
            .as_ref()
            .map(|routes| routes.transaction_idle_timeout);
        for id in ids {
            self.expire_statement(now, id);
            let Some(caller) = self.callers.get(&id) else {
                continue;
            };
            let idle_time = now.saturating_duration_since(caller.last_active_at);
            let is_idle_too_long = idle_limit.is_some_and(|limit| idle_time >= limit);
            let is_open_and_idle =
                caller.pending.is_none() && caller.transaction_connection().is_some();
            if is_open_and_idle && (is_idle_too_long || ends_transactions) {
                self.abort_idle_transaction(now, id, idle_time);
            }
            self.end_session_if_idle(now, id);
        }
    }

    fn abort_idle_transaction(&mut self, now: Instant, id: CallerId, idle_time: Duration) {
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        let Some(connection) = caller.transaction_connection() else {
            return;
        };
        caller.transaction = Transaction::Failed;
        log::info!(
            target: "request",
            "event=transaction-ended caller={id} rested_ms={} draining={}",
            idle_time.as_millis(),
            self.drain.is_some()
        );
        self.abort_transaction(now, connection);
    }

    /// Ends a caller's pending statement if it timed out in its current stage.
    fn expire_statement(&mut self, now: Instant, id: CallerId) {
        let Some(caller) = self.callers.get(&id) else {
            return;
        };
        let Some(pending) = &caller.pending else {
            return;
        };
        let is_timed_out = now >= pending.received_at + pending.route.statement_timeout;
        let is_write = !is_read(caller, &pending.statement.body);
        match pending.stage.clone() {
            Stage::Queued(_) if now >= queue_deadline(pending) => {
                let delay = self.return_delay(now, id, RETRY_AFTER_DEFAULT);
                let counts = &mut self.counters.overload;
                counts.record_refusal(RefusalReason::QueueTimeout);
                let answer = busy_answer(
                    delay,
                    "no server could take the statement in time",
                    SessionState::Idle,
                );
                self.refuse(now, id, answer);
            }
            Stage::Queued(_) => {
                if let Some(answer) = self.refusal_without_primary(now, id) {
                    self.refuse_without_primary(now, id, answer);
                }
            }
            Stage::AwaitingProof { .. } if is_timed_out => {
                let answer = Answer::failed(
                    Failure::Aborted,
                    "the read could not be shown to be current; run it again",
                    SessionState::Idle,
                );
                self.fail_unproved_read(now, id, answer);
            }
            Stage::AwaitingReplicas { .. } if is_timed_out => {
                let message =
                    "the commit may be lost in a failover; look whether the change is there";
                self.doubt_commit(now, id, message);
            }
            // A member that restarted counts again after a while.
            Stage::AwaitingReplicas { .. } => self.check_commit(now, id),
            Stage::Preparing(connection) if is_timed_out => {
                self.close_connection(now, connection);
            }
            Stage::Retrying(connection) if is_timed_out => {
                self.fail_transaction(now, id, connection, Failure::Busy, "the server stayed busy");
            }
            Stage::Running(connection) if is_timed_out => {
                self.time_out(now, id, connection, is_write);
            }
            Stage::Running(connection) => self.expire_overdue_statement(now, id, connection),
            _ => {}
        }
    }

    /// Stops waiting for an overdue answer if the statement can safely run again.
    ///
    /// A read is retried on another target, within the retry budget. A transaction that hasn't sent
    /// its commit is rolled back, so that its caller has time to run it again.
    fn expire_overdue_statement(&mut self, now: Instant, id: CallerId, connection: ConnectionId) {
        let Some(caller) = self.callers.get(&id) else {
            return;
        };
        let Some(pending) = &caller.pending else {
            return;
        };
        let Some(target_connection) = self.connections.get(&connection) else {
            return;
        };
        let member = target_connection.member.clone();
        let average_response_time = self.targets.get(&member).map(|target| target.response_time);
        let average_response_time = average_response_time.unwrap_or_default();
        let waited = pending
            .sent_at
            .map(|sent_at| now.saturating_duration_since(sent_at))
            .unwrap_or_default();
        let is_read = is_read(caller, &pending.statement.body);
        let is_commit = pending.statement.body == Body::Commit;
        if caller.transaction_connection().is_some() {
            let limit =
                (average_response_time * TRANSACTION_OVERDUE_FACTOR).max(TRANSACTION_OVERDUE_MIN);
            if !is_commit && waited >= limit {
                self.close_connection(now, connection);
            }
            return;
        }
        let limit = (average_response_time * READ_OVERDUE_FACTOR).max(READ_OVERDUE_MIN);
        if is_read && waited >= limit && self.retry_budgets.try_spend(&caller.tenant) {
            log::info!(
                target: "request",
                "event=read-overdue request={} target={} waited_ms={} usual_ms={}",
                LogValue(&pending.statement.request),
                LogValue(&member),
                waited.as_millis(),
                average_response_time.as_millis()
            );
            self.abandon_statement(connection);
            self.retry(now, id, Some(member));
        }
    }

    /// Answers a statement that timed out while its target was still running it.
    fn time_out(&mut self, now: Instant, id: CallerId, connection: ConnectionId, is_write: bool) {
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        let message = if is_write {
            "the server didn't answer in time; the outcome isn't known"
        } else {
            "the server didn't answer in time; run it again"
        };
        let in_transaction = caller.transaction_connection().is_some();
        let is_commit = caller
            .pending
            .as_ref()
            .is_some_and(|pending| pending.statement.body == Body::Commit);
        let (state, failure) = match (in_transaction, is_commit) {
            (false, _) | (true, true) => (SessionState::Idle, Failure::Timeout),
            (true, false) => (SessionState::Failed, Failure::Aborted),
        };
        if in_transaction {
            caller.transaction = if is_commit {
                Transaction::None
            } else {
                Transaction::Failed
            };
        }
        if in_transaction && !is_commit {
            // Closing the connection rolls the transaction back.
            self.clear_owner(connection);
            self.close_connection(now, connection);
        } else {
            self.abandon_statement(connection);
        }
        self.answer(now, id, Answer::failed(failure, message, state));
    }

    /// Fails a read that wasn't proved to be current in time, and its transaction.
    fn fail_unproved_read(&mut self, now: Instant, id: CallerId, answer: Answer) {
        match self.transaction_connection(id) {
            Some(connection) => {
                let message = "the read could not be shown to be current; run it again";
                self.fail_transaction(now, id, connection, Failure::Aborted, message);
            }
            None => self.refuse(now, id, answer),
        }
    }

    /// Aborts a transaction and answers its pending statement with `failure` and `message`.
    pub(super) fn fail_transaction(
        &mut self,
        now: Instant,
        id: CallerId,
        connection: ConnectionId,
        failure: Failure,
        message: &str,
    ) {
        self.abort_transaction(now, connection);
        self.refuse(
            now,
            id,
            Answer::failed(failure, message, SessionState::Failed),
        );
    }
}
