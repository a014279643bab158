//! What time ends: statements, transactions that rest, and sessions during a planned stop.

use super::Effect;
use super::Engine;
use super::caller::Stage;
use super::caller::Transaction;
use super::sessions::busy;
use super::sessions::is_read;
use super::sessions::queue_deadline;
use super::statement::Answer;
use super::statement::Body;
use super::statement::CallerId;
use super::statement::ConnectionId;
use super::statement::Failure;
use super::statement::SessionState;
use std::time::Duration;
use std::time::Instant;

/// How many times its usual response time a target may take for a read before another one is asked.
const READ_OVERDUE_FACTOR: u32 = 6;

/// The shortest time after which a read is asked of another target: several times the work of a long
/// statement.
const READ_OVERDUE_MIN: Duration = Duration::from_millis(150);

/// How many times its usual response time a target may take for a statement in a transaction.
const TRANSACTION_OVERDUE_FACTOR: u32 = 8;

/// The shortest time after which a transaction is given up for want of an answer.
const TRANSACTION_OVERDUE_MIN: Duration = Duration::from_millis(300);

/// How long after a planned stop began callers at rest are sent away. The balancer has taken the VM
/// out by then, so that they reach another.
pub const DRAIN_CLOSE_DELAY: Duration = Duration::from_millis(2_300);

/// How long after a planned stop began open transactions may go on.
pub const DRAIN_TRANSACTION_TIME: Duration = Duration::from_millis(2_900);

/// When callers whose statement was refused should come back, where nothing tells better.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_millis(100);

impl Engine {
    /// Ends what has waited too long, and sends callers away during a planned stop.
    pub(super) fn sweep_callers(&mut self, now: Instant) {
        let ids: Vec<CallerId> = self.callers.keys().copied().collect();
        let draining_for = self
            .draining_since
            .map(|since| now.saturating_duration_since(since));
        let idle_limit = self.routes.as_ref().map(|routes| routes.transaction_idle);
        for id in ids {
            self.expire(now, id);
            let Some(caller) = self.callers.get(&id) else {
                continue;
            };
            let rests_for = now.saturating_duration_since(caller.last_active_at);
            let rests_too_long = idle_limit.is_some_and(|limit| rests_for >= limit);
            let is_stopping = draining_for.is_some_and(|time| time >= DRAIN_TRANSACTION_TIME);
            let may_end = caller.pending.is_none() && caller.transaction_connection().is_some();
            if may_end && (rests_too_long || is_stopping) {
                self.end_resting_transaction(now, id, rests_for);
            }
            let Some(caller) = self.callers.get(&id) else {
                continue;
            };
            if caller.is_at_rest() && draining_for.is_some_and(|time| time >= DRAIN_CLOSE_DELAY) {
                self.callers.remove(&id);
                self.effects.push(Effect::CloseCaller { caller: id });
            }
        }
    }

    fn end_resting_transaction(&mut self, now: Instant, id: CallerId, rests_for: Duration) {
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
            rests_for.as_millis(),
            self.draining_since.is_some()
        );
        self.drop_transaction(now, connection);
    }

    /// Gives up a statement whose time is over.
    fn expire(&mut self, now: Instant, id: CallerId) {
        let Some(caller) = self.callers.get(&id) else {
            return;
        };
        let Some(pending) = &caller.pending else {
            return;
        };
        let is_late = now >= pending.received_at + pending.route.statement_timeout;
        let is_write = !is_read(caller, &pending.statement.body);
        match pending.stage.clone() {
            Stage::Queued(_) if now >= queue_deadline(pending) => {
                let answer = busy(
                    RETRY_AFTER_DEFAULT,
                    "no server could take the statement in time",
                    SessionState::Idle,
                );
                self.refuse(now, id, answer);
            }
            Stage::Proving { .. } if is_late => {
                let answer = Answer::failed(
                    Failure::Aborted,
                    "the read could not be shown to be current; run it again",
                    SessionState::Idle,
                );
                self.give_up_read(now, id, answer);
            }
            Stage::Preparing(connection) if is_late => {
                self.close_connection(now, connection);
            }
            Stage::Retrying(connection) if is_late => {
                self.fail_transaction(now, id, connection, Failure::Busy, "the server stayed busy");
            }
            Stage::Running(connection) if is_late => {
                self.time_out(now, id, connection, is_write);
            }
            Stage::Running(connection) => self.expire_answer(now, id, connection),
            _ => {}
        }
    }

    /// Gives up an answer that is long overdue where the statement can run again without harm.
    ///
    /// A read runs on another target, while the retry budget lasts. A transaction that hasn't been
    /// asked to commit is rolled back, so that its caller has time to run it again.
    fn expire_answer(&mut self, now: Instant, id: CallerId, connection: ConnectionId) {
        let Some(caller) = self.callers.get(&id) else {
            return;
        };
        let Some(pending) = &caller.pending else {
            return;
        };
        let Some(open) = self.connections.get(&connection) else {
            return;
        };
        let member = open.member.clone();
        let usual = self.targets.get(&member).map(|target| target.response_time);
        let usual = usual.unwrap_or_default();
        let waited = pending
            .sent_at
            .map(|sent_at| now.saturating_duration_since(sent_at))
            .unwrap_or_default();
        let is_read = is_read(caller, &pending.statement.body);
        let is_commit = pending.statement.body == Body::Commit;
        if caller.transaction_connection().is_some() {
            let limit = (usual * TRANSACTION_OVERDUE_FACTOR).max(TRANSACTION_OVERDUE_MIN);
            if !is_commit && waited >= limit {
                self.close_connection(now, connection);
            }
            return;
        }
        let limit = (usual * READ_OVERDUE_FACTOR).max(READ_OVERDUE_MIN);
        if is_read && waited >= limit && self.retry_budget.try_spend() {
            log::info!(
                target: "request",
                "event=read-overdue request={} target={member} waited_ms={} usual_ms={}",
                pending.statement.request,
                waited.as_millis(),
                usual.as_millis()
            );
            self.abandon(connection);
            self.retry(now, id, Some(member));
        }
    }

    /// Answers a statement that a target still works on.
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
            self.disown(connection);
            self.close_connection(now, connection);
        } else {
            self.abandon(connection);
        }
        self.answer(now, id, Answer::failed(failure, message, state));
    }

    /// Answers a read whose proof didn't come, and ends its transaction.
    fn give_up_read(&mut self, now: Instant, id: CallerId, answer: Answer) {
        match self.transaction_connection(id) {
            Some(connection) => {
                let message = "the read could not be shown to be current; run it again";
                self.fail_transaction(now, id, connection, Failure::Aborted, message);
            }
            None => self.refuse(now, id, answer),
        }
    }

    /// Ends a transaction with a failure that promises that nothing is kept.
    pub(super) fn fail_transaction(
        &mut self,
        now: Instant,
        id: CallerId,
        connection: ConnectionId,
        failure: Failure,
        message: &str,
    ) {
        self.drop_transaction(now, connection);
        self.refuse(
            now,
            id,
            Answer::failed(failure, message, SessionState::Failed),
        );
    }
}
