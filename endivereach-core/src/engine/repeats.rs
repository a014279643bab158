//! Load: callers repeat refused operations during an overload. Recognizes a repeat, so that its goal
//! counts from the first attempt: it would otherwise take the place of an operation that can still
//! be in time.

use super::Engine;
use super::caller::Caller;
use super::caller::Transaction;
use super::statement::Body;
use super::statement::CallerId;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Instant;

/// For how long after the first attempt a statement counts as a repeat, in statement timeouts. Callers
/// give up after about three.
const REPEAT_WINDOW_TIMEOUTS: u32 = 4;

/// The first refused statement of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RefusedOperation {
    began_at: Instant,
    digest: u64,
}

impl Engine {
    /// Records that a caller's pending statement is refused.
    pub(super) fn record_refused_operation(&mut self, now: Instant, id: CallerId) {
        if !self.has_tenants() {
            return;
        }
        let began_at = self.operation_began_at(now, id);
        let Some(caller) = self.callers.get_mut(&id) else {
            return;
        };
        let digest = caller.pending.as_ref().map(|p| digest(&p.statement.body));
        if let (Some(began_at), Some(digest)) = (began_at, digest) {
            caller.refused = Some(RefusedOperation { began_at, digest });
        }
    }

    /// Returns when the operation of a caller's pending statement began: at its first attempt, if the
    /// statement repeats one that was refused.
    pub(super) fn operation_began_at(&self, now: Instant, id: CallerId) -> Option<Instant> {
        let caller = self.callers.get(&id)?;
        let pending = caller.pending.as_ref()?;
        let window = pending.route.statement_timeout * REPEAT_WINDOW_TIMEOUTS;
        let repeated = caller.refused.filter(|refused| {
            now < refused.began_at + window && refused.digest == digest(&pending.statement.body)
        });
        Some(
            repeated.map_or(pending_began_at(caller, pending.received_at), |r| {
                r.began_at
            }),
        )
    }
}

fn pending_began_at(caller: &Caller, received_at: Instant) -> Instant {
    match caller.transaction {
        Transaction::Deferred { begun_at, .. } => begun_at,
        _ => received_at,
    }
}

/// Returns a number that two statements with the same text share.
fn digest(body: &Body) -> u64 {
    let mut hasher = DefaultHasher::new();
    match body {
        Body::Run { text, .. } => text.hash(&mut hasher),
        Body::Execute { name, arguments } => (name, arguments).hash(&mut hasher),
        _ => {}
    }
    hasher.finish()
}
