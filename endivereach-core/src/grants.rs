//! Term grants: terms that are assigned to processes before a promotion needs them.
//!
//! While the platform is available, the group's object assigns each of the next terms to one
//! process. A promotion then needs no write to the platform and works while the platform is down.
//! Each process adds its own grants, so that no process needs to know the incarnation of
//! another process.

use crate::directory::GroupObject;
use crate::directory::TermGrant;
use crate::ids::MemberId;
use crate::ids::ProxyId;
use crate::ids::Term;

/// The maximum number of terms above the published one that are granted in advance.
pub const GRANTS_IN_ADVANCE_MAX: usize = 3;

/// Returns the lowest term above `above` that is granted to `own_id`.
///
/// `above` must be at least every term that `own_id` has used and every term that a member reported
/// or was fenced for. A restarted process has a new incarnation and so none of its previous grants.
///
/// # Examples
///
/// ```
/// use endivereach_core::directory::TermGrant;
/// use endivereach_core::grants::lowest_usable_term;
/// use endivereach_core::ids::{ProxyId, Term};
///
/// let own_id: ProxyId = "entry-1#1".parse().unwrap();
/// let restarted: ProxyId = "entry-1#2".parse().unwrap();
/// let grants = [TermGrant { term: Term::new(4), holder: own_id.clone() }];
/// assert_eq!(lowest_usable_term(&grants, &own_id, Term::new(3)), Some(Term::new(4)));
/// assert_eq!(lowest_usable_term(&grants, &own_id, Term::new(4)), None);
/// assert_eq!(lowest_usable_term(&grants, &restarted, Term::new(3)), None);
/// ```
pub fn lowest_usable_term(grants: &[TermGrant], own_id: &ProxyId, above: Term) -> Option<Term> {
    let own_grants = grants.iter().filter(|grant| &grant.holder == own_id);
    own_grants
        .map(|grant| grant.term)
        .filter(|term| *term > above)
        .min()
}

/// Returns how many grants above `above` precede the lowest one of `own_id`.
///
/// A holder gives the holders of preceding grants time to start a promotion first.
pub fn rank(grants: &[TermGrant], own_id: &ProxyId, above: Term) -> Option<usize> {
    let own_term = lowest_usable_term(grants, own_id, above)?;
    let earlier = |grant: &&TermGrant| grant.term > above && grant.term < own_term;
    Some(grants.iter().filter(earlier).count())
}

/// Returns the object with a term granted to `own_id` that was never granted before, and the term.
///
/// The result must be stored by a conditional update. The grant is valid only once it is stored.
pub fn with_grant(object: &GroupObject, own_id: &ProxyId) -> (GroupObject, Term) {
    let mut next = object.clone();
    let highest = next.grants.iter().map(|grant| grant.term).max();
    let term = next
        .granted_up_to
        .max(next.term)
        .max(highest.unwrap_or_default())
        .next();
    next.granted_up_to = term;
    next.grants.push(TermGrant {
        term,
        holder: own_id.clone(),
    });
    (next, term)
}

/// Returns the object with a term granted to `own_id`, or `None` if no grant is needed.
///
/// Grants that can no longer be used are removed: those at or below `above`, and those whose holder
/// has ended. An earlier incarnation on this process's own VM is known to have ended.
pub fn with_grant_if_needed(
    object: &GroupObject,
    own_id: &ProxyId,
    above: Term,
    has_ended: impl Fn(&ProxyId) -> bool,
) -> Option<GroupObject> {
    let is_stale = |holder: &ProxyId| {
        let restarted = holder.name == own_id.name && holder.incarnation != own_id.incarnation;
        restarted || has_ended(holder)
    };
    let mut pruned = object.clone();
    pruned
        .grants
        .retain(|grant| grant.term > above && !is_stale(&grant.holder));
    let has_grant = pruned.grants.iter().any(|grant| &grant.holder == own_id);
    if has_grant || pruned.grants.len() >= GRANTS_IN_ADVANCE_MAX {
        return None;
    }
    Some(with_grant(&pruned, own_id).0)
}

/// Returns the object to publish after a promotion, or `None` if it already has this term or a
/// later one.
pub fn with_primary(object: &GroupObject, term: Term, primary: &MemberId) -> Option<GroupObject> {
    if object.term >= term {
        return None;
    }
    let mut next = object.clone();
    next.term = term;
    next.primary = primary.clone();
    next.granted_up_to = next.granted_up_to.max(term);
    next.grants.retain(|grant| grant.term > term);
    Some(next)
}
