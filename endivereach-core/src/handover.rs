//! Planned changes of primary: for a primary that is leaving, and for a member that a failed
//! promotion left fenced above the current term.
//!
//! The primary is fenced first, which ends its log. A replica can then catch up completely before
//! the replicas are fenced, so that no answered statement is lost. The remaining steps are those of
//! an ordinary promotion, with the same safety: if the catch-up takes too long, the promotion
//! continues without it.

use crate::confirm::Report;
use crate::directory::GroupObject;
use crate::ids::MemberId;
use crate::ids::Position;
use crate::ids::Term;
use std::time::Duration;

/// The maximum replication lag of the best replica, in log entries, at which a handover begins.
pub const LAG_MAX_ENTRIES: u64 = 64;

/// How long a promotion waits for a replica to catch up with the fenced primary.
pub const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(100);

/// Returns whether the primary is leaving and some other member isn't.
pub fn is_needed(object: &GroupObject, primary: &MemberId) -> bool {
    let is_leaving = object.member(primary).is_some_and(|member| member.leaving);
    is_leaving && object.members.iter().any(|member| !member.leaving)
}

/// Returns whether some replica is unfenced in `term` and at most [`LAG_MAX_ENTRIES`] behind
/// `primary`.
///
/// # Examples
///
/// ```
/// use endivereach_core::confirm::Report;
/// use endivereach_core::handover::is_within_lag_limit;
/// use endivereach_core::ids::{Position, Term};
///
/// let replica = |index| Report {
///     member: "m2",
///     is_primary: false,
///     term: Term::new(1),
///     fenced_term: Term::new(1),
///     durable: Position::new(1, index),
/// };
/// let primary = Position::new(1, 1000);
/// assert!(is_within_lag_limit(Term::new(1), primary, &[replica(990)]));
/// assert!(!is_within_lag_limit(Term::new(1), primary, &[replica(9)]));
/// ```
pub fn is_within_lag_limit<M>(term: Term, primary: Position, replicas: &[Report<M>]) -> bool {
    let index_min = primary.index.get().saturating_sub(LAG_MAX_ENTRIES);
    let is_within_limit = |replica: &Report<M>| {
        let index = replica.durable.index.get();
        replica.is_unfenced_in(term) && (replica.durable >= primary || index >= index_min)
    };
    replicas.iter().any(is_within_limit)
}

/// Returns whether some replica holds the whole log up to `end`.
pub fn is_caught_up<M>(end: Position, replicas: &[Report<M>]) -> bool {
    replicas.iter().any(|replica| replica.durable >= end)
}

/// Returns whether a member is fenced above `term`, the current term of its group.
///
/// A promoter that fenced fewer than a majority leaves a member in this state. The member can't
/// follow any primary until a promotion in a higher term.
pub fn is_fenced_above<M>(term: Term, report: &Report<M>) -> bool {
    report.term <= term && report.fenced_term > term
}
