//! Planned changes of primary: a primary that is leaving, and a member that a failed attempt left
//! behind.
//!
//! The primary is fenced first. Its log ends there, so that a replica can catch up with all of it
//! before the replicas are fenced, and nothing that the primary answered is lost. From then on it is
//! an ordinary promotion, and as safe as one: when a step takes too long, the promotion goes on
//! without it.

use crate::confirm::Report;
use crate::directory::GroupObject;
use crate::ids::MemberId;
use crate::ids::Position;
use crate::ids::Term;
use std::time::Duration;

/// How many entries the best replica may lag when a handover begins.
pub const LAG_MAX_ENTRIES: u64 = 64;

/// How long a fenced primary waits for a replica to catch up before the promotion goes on.
pub const CATCH_UP_MAX: Duration = Duration::from_millis(100);

/// Returns whether the primary is leaving and some other member is not.
pub fn is_wanted(object: &GroupObject, primary: &MemberId) -> bool {
    let leaves = object.member(primary).is_some_and(|member| member.leaving);
    leaves && object.members.iter().any(|member| !member.leaving)
}

/// Returns whether some replica takes part in `term` and is close enough behind `primary`.
///
/// # Examples
///
/// ```
/// use endivereach_core::confirm::Report;
/// use endivereach_core::handover::is_close;
/// use endivereach_core::ids::{Position, Term};
///
/// let replica = |index| Report {
///     member: "m2",
///     leads: false,
///     term: Term::new(1),
///     fenced_term: Term::new(1),
///     durable: Position::new(1, index),
/// };
/// let primary = Position::new(1, 1000);
/// assert!(is_close(Term::new(1), primary, &[replica(990)]));
/// assert!(!is_close(Term::new(1), primary, &[replica(9)]));
/// ```
pub fn is_close<M>(term: Term, primary: Position, replicas: &[Report<M>]) -> bool {
    let nearest = primary.index.get().saturating_sub(LAG_MAX_ENTRIES);
    let is_near = |replica: &Report<M>| {
        let index = replica.durable.index.get();
        replica.is_unfenced_in(term) && (replica.durable >= primary || index >= nearest)
    };
    replicas.iter().any(is_near)
}

/// Returns whether some replica holds all of the log that ended at `end`.
pub fn is_caught_up<M>(end: Position, replicas: &[Report<M>]) -> bool {
    replicas.iter().any(|replica| replica.durable >= end)
}

/// Returns whether a member refuses `term`, though most of the group is in it.
///
/// A promoter that fenced fewer than a majority leaves such a member behind. It can follow nobody
/// until a promotion in a higher term.
pub fn is_left_behind<M>(term: Term, report: &Report<M>) -> bool {
    report.term <= term && report.fenced_term > term
}
