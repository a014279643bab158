//! The end of sessions during a planned stop.

use super::Effect;
use super::Engine;
use super::caller::Stage;
use super::caller::Transaction;
use super::overload_counts::RefusalReason;
use super::statement::Answer;
use super::statement::CallerId;
use super::statement::Statement;
use crate::drain;
use crate::drain::Admission;
use crate::drain::Drain;
use crate::drain::Phase;
use crate::logfmt::LogValue;
use std::time::Instant;

impl Engine {
    /// Starts a planned stop. [`Drain`] states what is still served.
    pub fn begin_drain(&mut self, now: Instant) {
        if self.drain.is_none() {
            log::info!(target: "belief", "event=drain-begun callers={}", self.callers.len());
            self.drain = Some(Drain::new(now));
            self.allowance.begin_drain(now);
            self.send_peer_messages(now);
        }
    }

    /// Returns the planned stop, or `None` if the process isn't stopping.
    pub fn drain(&self) -> Option<Drain> {
        self.drain
    }

    /// Returns the phase of the planned stop.
    pub(super) fn drain_phase(&self, now: Instant) -> Option<Phase> {
        self.drain.map(|drain| drain.phase(now))
    }

    /// Refuses a statement that a stopping process doesn't take any more, and ends its session.
    /// Returns whether it was refused.
    pub(super) fn refuse_if_stopping(
        &mut self,
        now: Instant,
        id: CallerId,
        statement: &Statement,
    ) -> bool {
        let (Some(drain), Some(caller)) = (self.drain, self.callers.get(&id)) else {
            return false;
        };
        let answer = match drain.admission(now, caller.state(), &statement.body) {
            Admission::Serve => return false,
            Admission::Refuse => drain::refused_answer(),
            Admission::Abort => drain::aborted_answer(),
        };
        log::info!(
            target: "request",
            "event=refused-while-stopping request={} caller={id} state={:?}",
            LogValue(&statement.request),
            caller.state()
        );
        self.counters
            .overload
            .record_refusal(RefusalReason::Stopping);
        self.effects.push(Effect::Answer { caller: id, answer });
        self.end_session(now, id, drain::refused_answer);
        true
    }

    /// Ends a session once it is idle, and the transaction of one that waits for its caller.
    pub(super) fn end_session_if_idle(&mut self, now: Instant, id: CallerId) {
        let Some(phase) = self.drain_phase(now) else {
            return;
        };
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        let is_deferred = matches!(caller.transaction, Transaction::Deferred { .. });
        if phase >= Phase::EndingTransactions && is_deferred && caller.pending.is_none() {
            caller.transaction = Transaction::Failed;
        }
        if phase >= Phase::EndingSessions && caller.can_disconnect() {
            self.callers.remove(&id);
            self.effects.push(Effect::CloseCaller { caller: id });
        }
    }

    /// Answers every statement that is unanswered when the process exits, and ends all sessions. The
    /// driver has to close the connections to the targets, which rolls open transactions back.
    ///
    /// Returns the number of statements.
    pub fn end_all_sessions(&mut self, now: Instant) -> usize {
        let ids: Vec<CallerId> = self.callers.keys().copied().collect();
        let mut unanswered = 0;
        for id in ids {
            // The answer to one statement lets the next pipelined one be processed.
            while self.end_statement(now, id) {
                unanswered += 1;
            }
            self.end_session(now, id, drain::refused_answer);
        }
        unanswered
    }

    /// Answers a caller's pending statement. Returns whether there was one.
    fn end_statement(&mut self, now: Instant, id: CallerId) -> bool {
        let pending = self.callers.get(&id).and_then(|c| c.pending.as_ref());
        let Some(stage) = pending.map(|pending| pending.stage.clone()) else {
            return false;
        };
        if let Stage::Preparing(connection)
        | Stage::Running(connection)
        | Stage::Retrying(connection) = stage
        {
            // The end of the connection determines the outcome.
            self.close_connection(now, connection);
        } else if let Some(connection) = self.transaction_connection(id) {
            self.abort_transaction(now, connection);
        }
        let pending = self.callers.get(&id).and_then(|c| c.pending.as_ref());
        if pending.is_some_and(|p| matches!(p.stage, Stage::AwaitingReplicas { .. })) {
            self.doubt_commit(
                now,
                id,
                "the process stops; look whether the change is there",
            );
        }
        // A read, or a statement that hasn't been sent, is still pending.
        if self.callers.get(&id).is_some_and(|c| c.pending.is_some()) {
            self.counters
                .overload
                .record_refusal(RefusalReason::Stopping);
            self.refuse(now, id, drain::refused_answer());
        }
        true
    }

    /// Removes a caller and rolls its transaction back. Each statement that waits behind the last
    /// one is answered with `answer`.
    pub(super) fn end_session(&mut self, now: Instant, id: CallerId, answer: fn() -> Answer) {
        let Some(caller) = self.callers.remove(&id) else {
            return;
        };
        if let Transaction::Open { connection, .. } = caller.transaction {
            self.abort_transaction(now, connection);
        }
        for _ in caller.pipelined {
            let answer = answer();
            self.effects.push(Effect::Answer { caller: id, answer });
        }
        self.effects.push(Effect::CloseCaller { caller: id });
    }
}
