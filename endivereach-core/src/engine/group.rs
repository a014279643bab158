//! Groups: who leads, what is proved, and who waits.

use super::failover::Failover;
use super::proof;
use super::statement::CallerId;
use super::topology::GroupLimits;
use crate::floor::AgeSamples;
use crate::ids::MemberId;
use crate::ids::Term;
use crate::queue::WaitQueue;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

/// How long a server that left the list still counts as a member that may hold commits.
///
/// Entries that lapsed while the platform's store was away are back within two seconds of its return.
const DEPARTED_COUNTS_FOR: Duration = Duration::from_secs(3);

/// The primary, as far as this process knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Primary {
    pub(super) member: MemberId,
    pub(super) term: Term,
}

/// Looks that were asked for and not all sent yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LooksWanted {
    /// Looks have to be sent at or after this moment.
    pub(super) since: Instant,
    /// At whom.
    pub(super) scope: LookScope,
}

/// Which members are looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum LookScope {
    /// As many as a proof needs: the primary, and the others that answer soonest.
    Quorum,
    /// Every member.
    All,
}

/// One database group.
#[derive(Debug)]
pub(super) struct Group {
    pub(super) limits: GroupLimits,
    pub(super) members: BTreeSet<MemberId>,
    departed: BTreeMap<MemberId, Instant>,
    pub(super) primary: Option<Primary>,
    pub(super) queue: WaitQueue<CallerId>,
    pub(super) proving: BTreeSet<CallerId>,
    pub(super) samples: AgeSamples,
    pub(super) proved_at: Option<Instant>,
    pub(super) looks_wanted: Option<LooksWanted>,
    pub(super) looks_wanted_at: Instant,
    pub(super) failover: Failover,
}

impl Group {
    pub(super) fn new(limits: GroupLimits, now: Instant) -> Self {
        Self {
            limits,
            members: BTreeSet::new(),
            departed: BTreeMap::new(),
            primary: None,
            queue: WaitQueue::default(),
            proving: BTreeSet::new(),
            samples: AgeSamples::default(),
            proved_at: None,
            looks_wanted: None,
            looks_wanted_at: now,
            failover: Failover::new(now),
        }
    }

    pub(super) fn attach(&mut self, id: &MemberId, _now: Instant) {
        self.departed.remove(id);
        self.members.insert(id.clone());
    }

    pub(super) fn detach(&mut self, id: &MemberId, now: Instant) {
        if self.members.remove(id) {
            self.departed.insert(id.clone(), now);
        }
        if self
            .primary
            .as_ref()
            .is_some_and(|primary| &primary.member == id)
        {
            self.primary = None;
        }
    }

    /// Returns how many members' looks prove a floor.
    pub(super) fn quorum(&mut self, now: Instant) -> usize {
        self.departed
            .retain(|_, since| now < *since + DEPARTED_COUNTS_FOR);
        let members = self.members.len() + self.departed.len();
        proof::quorum(members, self.limits.sync_replicas)
    }

    /// Returns the primary's name.
    pub(super) fn primary_id(&self) -> Option<&MemberId> {
        self.primary.as_ref().map(|primary| &primary.member)
    }
}
