//! Keys that are withdrawn while sessions use them.
//!
//! A tenant that loses a key must not run or commit anything later under it. So a session whose key
//! has no right any more ends as soon as no statement of it is running on a target, and its open
//! transaction is rolled back.

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
    /// Ends the sessions whose key has no right any more or identifies another tenant. Must be
    /// called when the routes have changed.
    pub(super) fn withdraw_keys(&mut self, now: Instant) {
        let mut withdrawn = Vec::new();
        let mut identified = Vec::new();
        for (id, caller) in &self.callers {
            let Some(database) = caller.database.as_ref().filter(|_| !caller.is_withdrawn) else {
                continue;
            };
            // Without a route the next statement of a caller without a tenant is refused. An open
            // transaction keeps its route, but not its key.
            if caller.tenant.is_none() && self.route(database).is_none() {
                continue;
            }
            match self.identify(database, caller.key.as_ref()) {
                Some(tenant) if tenant == caller.tenant => {}
                // The route began or ceased to be public.
                Some(tenant)
                    if (tenant.is_none() || caller.tenant.is_none()) && is_idle(caller) =>
                {
                    identified.push((*id, tenant));
                }
                // The statements under way still run under the caller's key, which is in force.
                Some(None) if self.holds_key(caller) => {}
                _ => withdrawn.push(*id),
            }
        }
        for (id, tenant) in identified {
            if let Some(caller) = self.callers.get_mut(&id) {
                caller.tenant = tenant;
            }
        }
        if withdrawn.is_empty() {
            return;
        }
        log::info!(target: "belief", "event=keys-withdrawn sessions={}", withdrawn.len());
        self.counters.withdrawn_sessions += withdrawn.len() as u64;
        for id in withdrawn {
            self.withdraw_session(now, id);
        }
    }

    /// Returns whether a caller's key still identifies the caller's tenant, whatever its route.
    fn holds_key(&self, caller: &Caller) -> bool {
        let tenants = self.routes.as_ref().and_then(|r| r.tenants.as_ref());
        let holder = tenants.zip(caller.key.as_ref());
        let holder = holder.and_then(|(tenants, key)| tenants.holder(key));
        holder == caller.tenant.as_ref()
    }

    /// Ends a session now, or after the answer to the statement that runs on a target.
    fn withdraw_session(&mut self, now: Instant, id: CallerId) {
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        caller.is_withdrawn = true;
        let stage = caller.pending.as_ref().map(|pending| pending.stage.clone());
        match stage {
            None => self.end_session(now, id, withdrawn_answer),
            Some(Stage::AwaitingAllowance | Stage::Queued(_)) => {
                self.refuse(now, id, withdrawn_answer())
            }
            Some(Stage::Preparing(connection) | Stage::Retrying(connection)) => {
                self.clear_owner(connection);
                self.close_connection(now, connection);
                self.refuse(now, id, withdrawn_answer());
            }
            Some(
                Stage::Running(_) | Stage::AwaitingProof { .. } | Stage::AwaitingReplicas { .. },
            ) => {}
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
}

/// Returns whether a caller has neither an open transaction nor a statement under way.
fn is_idle(caller: &Caller) -> bool {
    caller.transaction == Transaction::None && caller.pending.is_none()
}

/// Returns the answer to a statement that hasn't run and whose caller's key was withdrawn.
pub(super) fn withdrawn_answer() -> Answer {
    let message = "the key has been withdrawn; start a session with a current key";
    Answer::failed(Failure::NotAuthorized, message, SessionState::Idle)
}
