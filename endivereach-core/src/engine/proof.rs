//! Proofs, by probes of the targets, that a position includes every acknowledged commit.
//!
//! A commit is acknowledged once the primary and `sync_replicas` others have it. Any
//! `members - sync_replicas` targets therefore include one that has it, and the highest position
//! among those includes every commit that was acknowledged before the oldest of the probes.

use super::target::Probe;
use crate::ids::MemberId;
use crate::ids::Position;
use crate::ids::Term;
use std::time::Instant;

/// A position that includes everything acknowledged before `probed_at`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProvedFloor {
    /// When the oldest of the probes was sent.
    pub probed_at: Instant,
    /// The highest position of the probed targets.
    pub floor: Position,
}

/// Whether the probes prove that a read on a primary was current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// The primary's log included every acknowledged commit.
    Proved,
    /// More probes are needed.
    Incomplete,
    /// Another primary may have acknowledged commits.
    Refuted,
}

/// The minimum number of members of a group besides `sync_replicas`: the primary, and one member
/// that may fail. Fewer are listed only while some are absent, and those may hold acknowledged
/// commits.
const MEMBERS_BESIDES_SYNC_MIN: usize = 2;

/// Returns the minimum number of members of a group.
pub(super) fn members_min(sync_replicas: u32) -> usize {
    sync_replicas as usize + MEMBERS_BESIDES_SYNC_MIN
}

/// Returns how many targets must be probed so that at least one of them has any given acknowledged
/// commit.
///
/// # Examples
///
/// ```
/// use endivereach_core::engine::proof::quorum;
///
/// assert_eq!(quorum(3, 1), 2);
/// assert_eq!(quorum(4, 1), 3);
/// assert_eq!(quorum(2, 1), 2, "a third member is absent");
/// ```
pub fn quorum(members: usize, sync_replicas: u32) -> usize {
    members.max(members_min(sync_replicas)) - sync_replicas as usize
}

/// Returns the newest floor that the probes of `needed` targets prove.
pub(super) fn floor<'l>(
    probes: impl Iterator<Item = &'l Probe>,
    needed: usize,
) -> Option<ProvedFloor> {
    let mut newest_first: Vec<&Probe> = probes.collect();
    newest_first.sort_unstable_by_key(|probe| std::cmp::Reverse(probe.probed_at));
    let used = newest_first.get(..needed)?;
    Some(ProvedFloor {
        probed_at: used.last()?.probed_at,
        floor: used.iter().map(|probe| probe.status.received).max()?,
    })
}

/// A read that ran on a primary, and the known state of that primary.
#[derive(Clone, Copy, Debug)]
pub(super) struct PrimaryRead<'r> {
    /// When the read, or its transaction, arrived from the caller.
    pub(super) received_at: Instant,
    /// The target that ran it.
    pub(super) member: &'r MemberId,
    /// The term in which the target was last known as the primary.
    pub(super) term: Term,
    /// Whether it is known without another probe of the target that the target led the term on the
    /// read's connection.
    pub(super) is_leader_known: bool,
}

/// Checks by the probes that were sent after a read arrived whether the read was current.
///
/// The target must have led `term` at any time since the read's connection was opened. A term has
/// one primary, and while the connection lasts, that server has kept all of its commits.
///
/// A commit that the primary of `term` doesn't have was acknowledged in a higher term. Then at
/// least `sync_replicas + 1` of the other targets have it, and at least one of the `needed - 1`
/// probed others would report that term.
pub(super) fn check_primary_read<'l>(
    read: PrimaryRead<'_>,
    probes: impl Iterator<Item = (&'l MemberId, &'l Probe)>,
    needed: usize,
) -> Proof {
    let mut others = 0;
    let mut is_primary = read.is_leader_known;
    for (member, probe) in probes.filter(|(_, probe)| probe.probed_at >= read.received_at) {
        if probe.status.received.term > read.term {
            return Proof::Refuted;
        }
        if member != read.member {
            others += 1;
        } else if probe.status.is_primary && probe.status.term == read.term {
            is_primary = true;
        } else if !read.is_leader_known {
            return Proof::Refuted;
        }
    }
    if is_primary && others + 1 >= needed {
        Proof::Proved
    } else {
        Proof::Incomplete
    }
}
