//! Keys that are withdrawn while sessions use them.
//!
//! A tenant that loses a key must not run or commit anything later under it. So a session whose key
//! has no right any more ends as soon as no statement of it is running on a target, and its open
//! transaction is rolled back.

use super::Effect;
use super::Engine;
use super::caller::Caller;
use super::caller::Stage;
use super::caller::Transaction;
use super::sessions::busy_answer;
use super::statement::Answer;
use super::statement::CallerId;
use super::statement::Failure;
use super::statement::SessionState;
use std::time::Duration;
use std::time::Instant;

/// The retry delay sent to callers whose key can't be confirmed: about the time in which a process
/// finds another source of the routes.
const RETRY_AFTER_UNCONFIRMED: Duration = Duration::from_secs(1);

impl Engine {
    /// Ends the sessions whose key doesn't identify the same tenant any more. Must be called when
    /// the routes have changed.
    pub(super) fn withdraw_keys(&mut self, now: Instant) {
        let has_lost_right = |caller: &Caller| {
            let Some(database) = &caller.database else {
                return false;
            };
            // Without a route the next statement is refused. An open transaction keeps its route,
            // but not its key.
            let is_keyed = caller.tenant.is_some() || self.route(database).is_some();
            let identity = self.identify(database, caller.key.as_ref());
            is_keyed && identity.as_ref() != Some(&caller.tenant)
        };
        let callers = self.callers.iter();
        let withdrawn: Vec<CallerId> = callers
            .filter(|(_, caller)| !caller.is_withdrawn && has_lost_right(caller))
            .map(|(id, _)| *id)
            .collect();
        if withdrawn.is_empty() {
            return;
        }
        log::info!(target: "belief", "event=keys-withdrawn sessions={}", withdrawn.len());
        self.counters.withdrawn_sessions += withdrawn.len() as u64;
        for id in withdrawn {
            self.withdraw_session(now, id);
        }
    }

    /// Ends a session now, or after the answer to the statement that runs on a target.
    fn withdraw_session(&mut self, now: Instant, id: CallerId) {
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        caller.is_withdrawn = true;
        caller.pipelined.clear();
        let stage = caller.pending.as_ref().map(|pending| pending.stage.clone());
        match stage {
            None => self.end_withdrawn_session(now, id),
            Some(Stage::Queued(_)) => self.refuse(now, id, withdrawn_answer()),
            Some(Stage::Preparing(connection) | Stage::Retrying(connection)) => {
                self.clear_owner(connection);
                self.close_connection(now, connection);
                self.refuse(now, id, withdrawn_answer());
            }
            Some(Stage::Running(_) | Stage::AwaitingProof { .. }) => {}
        }
    }

    /// Refuses a statement because the routes are so old that the caller's key may have been
    /// withdrawn, and rolls its transaction back.
    pub(super) fn refuse_unconfirmed_key(&mut self, now: Instant, id: CallerId) {
        if let Some(connection) = self.transaction_connection(id) {
            self.abort_transaction(now, connection);
        }
        let reason = "the key can't be confirmed at present";
        let answer = busy_answer(RETRY_AFTER_UNCONFIRMED, reason, SessionState::Idle);
        self.refuse(now, id, answer);
    }

    /// Removes a caller whose key was withdrawn, and rolls its transaction back.
    pub(super) fn end_withdrawn_session(&mut self, now: Instant, id: CallerId) {
        let Some(caller) = self.callers.remove(&id) else {
            return;
        };
        if let Transaction::Open { connection, .. } = caller.transaction {
            self.abort_transaction(now, connection);
        }
        self.effects.push(Effect::CloseCaller { caller: id });
    }
}

/// Returns the answer to a statement that hasn't run and whose caller's key was withdrawn.
pub(super) fn withdrawn_answer() -> Answer {
    let message = "the key has been withdrawn; start a session with a current key";
    Answer::failed(Failure::NotAuthorized, message, SessionState::Idle)
}
