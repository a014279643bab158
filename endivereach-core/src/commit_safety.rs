//! Decides whether a commit that a primary acknowledged is kept by every promotion.
//!
//! A primary acknowledges a commit once it and `sync_replicas` other members have it. A promotion
//! fences `members - sync_replicas` members, of which at least one is among those, and promotes the
//! fenced member with the longest log. So the promoted log has every commit that was acknowledged
//! before the fences, and none is acknowledged after them.
//!
//! The second part holds only while the fences do. A member that restarts returns without its fence,
//! and a member that joins never had one: together with the old primary they acknowledge commits that
//! the promoted log lacks, until the promotion takes effect. The promoter can't prevent that, because
//! its order has been sent by then, and such a server acknowledges commits before it is listed under
//! its new name. So the proxy that receives the acknowledgement decides whether it counts.
//!
//! # Invariants
//!
//! An acknowledgement is passed on to the caller only if one of these holds:
//!
//! - No sign of a promotion or of a lost fence is known: every member has run for longer than a
//!   promotion takes, so that each still has the fence of any promotion that isn't known yet.
//! - `sync_replicas + 1` such members have the commit. Every fenced set includes one of them. It had
//!   the commit before it was fenced, because it receives nothing afterwards.
//! - Every member has the commit, and so does the one that is promoted.
//!
//! A commit of a term below the highest one that is in use isn't passed on. Whether the primary of
//! the higher term has it isn't known.

use crate::ids::Position;
use crate::ids::Term;
use std::time::Duration;
use std::time::Instant;

/// The longest time from the first fence of a promotion until the members report its term. It exceeds
/// the time for which a promoter holds its duty, the timeout of its order and the time in which a
/// server takes over.
pub const PROMOTION_DURATION_MAX: Duration = Duration::from_secs(4);

/// Since when a member has been observed to run without a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Continuity {
    /// `None` while the member can't be reached.
    running_since: Option<Instant>,
}

impl Continuity {
    /// Creates the state of a member that joins or restarts at `now`.
    pub fn started_at(now: Instant) -> Self {
        Self {
            running_since: Some(now),
        }
    }

    /// Creates the state of a member that is known to have been running at `now` for longer than a
    /// promotion takes.
    pub fn established(now: Instant) -> Self {
        Self {
            running_since: now.checked_sub(PROMOTION_DURATION_MAX),
        }
    }

    /// Records that every connection to the member has ended, as they do when it restarts.
    pub fn record_loss(&mut self) {
        self.running_since = None;
    }

    /// Records that the member accepted a connection.
    pub fn record_contact(&mut self, now: Instant) {
        self.running_since.get_or_insert(now);
    }

    /// Returns whether a fence that the member accepted for a promotion that may still be running is
    /// in place at `now`.
    pub fn keeps_fences(&self, now: Instant) -> bool {
        self.running_since
            .is_some_and(|since| now.saturating_duration_since(since) >= PROMOTION_DURATION_MAX)
    }
}

crate::value! {
    /// What is known about one member and one commit.
    pub struct Replica {
        /// Whether the member's log includes the commit.
        pub has_commit: bool,
        /// Whether the member keeps its fences; see [`Continuity::keeps_fences`].
        pub keeps_fences: bool,
    }

    /// Whether an acknowledgement can be passed on.
    pub enum Safety {
        /// Every promotion keeps the commit.
        Safe,
        /// Nothing shows yet that every promotion keeps the commit.
        Unproved,
        /// A higher term is in use, and its primary may lack the commit.
        Superseded,
    }
}

/// The state of a group that decides on acknowledgements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupState {
    /// The number of replicas that have a commit before its primary acknowledges it.
    pub sync_replicas: u32,
    /// The highest term that any member has reported.
    pub highest_term: Term,
    /// Whether a sign of a promotion is known, such as a fence or a member that claims to lead.
    pub has_promotion_sign: bool,
    /// Whether the known members are all that can be promoted.
    pub is_complete: bool,
}

/// Decides whether an acknowledged commit at `position` can be passed on. `members` are all members of
/// the group, including the primary that acknowledged the commit.
///
/// # Examples
///
/// A replica has restarted, and the commit may be on no other one:
///
/// ```
/// use endivereach_core::commit_safety::{GroupState, Replica, Safety, commit_safety};
/// use endivereach_core::ids::{Position, Term};
///
/// let group = GroupState {
///     sync_replicas: 1,
///     highest_term: Term::new(1),
///     has_promotion_sign: false,
///     is_complete: true,
/// };
/// let primary = Replica { has_commit: true, keeps_fences: true };
/// let fenced = Replica { has_commit: false, keeps_fences: true };
/// let restarted = Replica { has_commit: true, keeps_fences: false };
/// let at = Position::new(1, 7);
/// assert_eq!(commit_safety(group, at, &[primary, fenced, restarted]), Safety::Unproved);
/// let received = Replica { has_commit: true, ..fenced };
/// assert_eq!(commit_safety(group, at, &[primary, received, restarted]), Safety::Safe);
/// ```
pub fn commit_safety(group: GroupState, position: Position, members: &[Replica]) -> Safety {
    if position.term < group.highest_term {
        return Safety::Superseded;
    }
    if !group.has_promotion_sign && members.iter().all(|member| member.keeps_fences) {
        return Safety::Safe;
    }
    let holders = members
        .iter()
        .filter(|member| member.has_commit && member.keeps_fences)
        .count();
    let is_everywhere = group.is_complete && members.iter().all(|member| member.has_commit);
    if holders > group.sync_replicas as usize || is_everywhere {
        Safety::Safe
    } else {
        Safety::Unproved
    }
}
