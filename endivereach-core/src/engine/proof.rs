//! Which probes of the targets prove that a position includes every acknowledged commit.
//!
//! A commit is acknowledged once the primary and `sync_replicas` others have it. Any
//! `members - sync_replicas` targets therefore include one that has it, and the highest position
//! among those includes every commit that was acknowledged before the oldest of the probes.

use super::target::Probe;
use crate::ids::MemberId;
use crate::ids::Position;
use crate::ids::Term;
use std::time::Instant;

/// A position that includes everything acknowledged before `asked_at`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProvedFloor {
    /// When the oldest of the probes was asked for.
    pub asked_at: Instant,
    /// The position.
    pub floor: Position,
}

/// What the probes say about a read that ran on a primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// The primary's log included every acknowledged commit.
    Shown,
    /// More probes are needed.
    Missing,
    /// Another primary may have acknowledged commits.
    Refuted,
}

/// Members that a group has at the least besides the replicas that have each commit: the primary, and
/// one that may fail. Fewer are listed only while some are away, with what they hold.
const MEMBERS_BESIDES_SYNC_MIN: usize = 2;

/// Returns how many members a group has at the least.
pub(super) fn members_min(sync_replicas: u32) -> usize {
    sync_replicas as usize + MEMBERS_BESIDES_SYNC_MIN
}

/// Returns how many targets of a group always include one that has any acknowledged commit.
///
/// # Examples
///
/// ```
/// use endivereach_core::engine::proof::quorum;
///
/// assert_eq!(quorum(3, 1), 2);
/// assert_eq!(quorum(4, 1), 3);
/// assert_eq!(quorum(2, 1), 2, "a third member is away");
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
    newest_first.sort_unstable_by_key(|probe| std::cmp::Reverse(probe.asked_at));
    let used = newest_first.get(..needed)?;
    Some(ProvedFloor {
        asked_at: used.last()?.asked_at,
        floor: used.iter().map(|probe| probe.status.received).max()?,
    })
}

/// A read that ran on a primary, and what is known of that primary.
#[derive(Clone, Copy, Debug)]
pub(super) struct PrimaryRead<'r> {
    /// When the read, or its transaction, arrived from the caller.
    pub(super) received_at: Instant,
    /// The target that ran it.
    pub(super) member: &'r MemberId,
    /// The term in which the target was known to lead before.
    pub(super) term: Term,
    /// Whether the target itself showed that it led when the read's transaction began.
    pub(super) led_at_begin: bool,
}

/// Judges a read by the probes that were asked for after it arrived.
///
/// A commit that the primary of `term` lacks was acknowledged in a higher term, and then it is on all
/// but `sync_replicas` of the other targets: one of the `needed - 1` others would show that term.
pub(super) fn judge<'l>(
    read: PrimaryRead<'_>,
    probes: impl Iterator<Item = (&'l MemberId, &'l Probe)>,
    needed: usize,
) -> Proof {
    let mut others = 0;
    let mut leads = read.led_at_begin;
    for (member, probe) in probes.filter(|(_, probe)| probe.asked_at >= read.received_at) {
        if probe.status.received.term > read.term {
            return Proof::Refuted;
        }
        if member != read.member {
            others += 1;
        } else if probe.status.leads && probe.status.term == read.term {
            leads = true;
        } else if !read.led_at_begin {
            return Proof::Refuted;
        }
    }
    if leads && others + 1 >= needed {
        Proof::Shown
    } else {
        Proof::Missing
    }
}
