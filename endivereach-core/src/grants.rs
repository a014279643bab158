//! Standing grants: who may use which term, settled before it is needed.
//!
//! In fair weather the group's object names, for each of the next terms, the one process that may
//! use it. A promotion then needs no write to the platform on its way, and works while the platform
//! is down. Processes add themselves, so that no process has to know another's incarnation.

use crate::directory::GroupObject;
use crate::directory::TermGrant;
use crate::ids::MemberId;
use crate::ids::ProxyId;
use crate::ids::Term;

/// How many terms above the published one are granted in advance.
pub const GRANTS_WANTED: usize = 3;

/// Returns the lowest term above `above` that is granted to `me`.
///
/// `above` must cover every term that `me` has used and every term that a member was seen in or
/// fenced for. A restarted process has another incarnation and so holds none of its old grants.
///
/// # Examples
///
/// ```
/// use endivereach_core::directory::TermGrant;
/// use endivereach_core::grants::usable;
/// use endivereach_core::ids::{ProxyId, Term};
///
/// let me: ProxyId = "entry-1#1".parse().unwrap();
/// let restarted: ProxyId = "entry-1#2".parse().unwrap();
/// let grants = [TermGrant { term: Term::new(4), holder: me.clone() }];
/// assert_eq!(usable(&grants, &me, Term::new(3)), Some(Term::new(4)));
/// assert_eq!(usable(&grants, &me, Term::new(4)), None);
/// assert_eq!(usable(&grants, &restarted, Term::new(3)), None);
/// ```
pub fn usable(grants: &[TermGrant], me: &ProxyId, above: Term) -> Option<Term> {
    let mine = grants.iter().filter(|grant| &grant.holder == me);
    mine.map(|grant| grant.term)
        .filter(|term| *term > above)
        .min()
}

/// Returns how many grants above `above` come before the lowest one of `me`.
///
/// A holder gives those before it time to act.
pub fn rank(grants: &[TermGrant], me: &ProxyId, above: Term) -> Option<usize> {
    let mine = usable(grants, me, above)?;
    let earlier = |grant: &&TermGrant| grant.term > above && grant.term < mine;
    Some(grants.iter().filter(earlier).count())
}

/// Grants `me` a term that was never granted before.
///
/// The caller stores the result by a conditional update; a grant counts only once it is stored.
pub fn add(object: &GroupObject, me: &ProxyId) -> (GroupObject, Term) {
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
        holder: me.clone(),
    });
    (next, term)
}

/// Returns the object with `me` granted a term, or `None` when nothing is to be done.
///
/// Grants that can't be used any more make room: those at or below `above`, and those whose holder
/// is gone. A process whose VM's earlier incarnation holds a grant knows that holder to be gone.
pub fn refresh(
    object: &GroupObject,
    me: &ProxyId,
    above: Term,
    is_gone: impl Fn(&ProxyId) -> bool,
) -> Option<GroupObject> {
    let is_stale = |holder: &ProxyId| {
        let restarted = holder.name == me.name && holder.incarnation != me.incarnation;
        restarted || is_gone(holder)
    };
    let mut kept = object.clone();
    kept.grants
        .retain(|grant| grant.term > above && !is_stale(&grant.holder));
    let held = kept.grants.iter().any(|grant| &grant.holder == me);
    if held || kept.grants.len() >= GRANTS_WANTED {
        return None;
    }
    Some(add(&kept, me).0)
}

/// Returns the object as published after a promotion, or `None` when it already shows that term or a
/// later one.
pub fn published(object: &GroupObject, term: Term, primary: &MemberId) -> Option<GroupObject> {
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
