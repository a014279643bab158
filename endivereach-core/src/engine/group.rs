//! Groups: who leads, what is proved, and who waits.

use super::failover::Failover;
use super::proof;
use super::statement::CallerId;
use super::topology::GroupLimits;
use crate::floor::AgeSamples;
use crate::ids::MemberId;
use crate::ids::Position;
use crate::ids::Term;
use crate::queue::WaitQueue;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// How long after a server was replaced its successor counts in its place when no probes show it: the
/// time in which the successor, and a replica that had fallen behind, have received what the old one held.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(10);

/// How long after a server was replaced probes may show that nothing more depends on it: the two seconds
/// in which a server whose entry lapsed is listed again, and one for the news of it.
const REPLACEMENT_SETTLE_TIME: Duration = Duration::from_secs(3);

/// How long a server that joined may count as the successor of one that leaves later.
const JOIN_COUNTS_FOR: Duration = Duration::from_secs(60);

/// How long after its last statement a group counts as in use.
const USE_COUNTS_FOR: Duration = Duration::from_secs(5);

/// The primary, as far as this process knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Primary {
    pub(super) member: MemberId,
    pub(super) term: Term,
}

/// A server that left the list, and may have been one of the two that had a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Departed {
    left_at: Instant,
    /// The term in which it was the primary when it left.
    led: Option<Term>,
}

/// Probes that were asked for and not all sent yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ProbesWanted {
    /// Probes have to be sent at or after this moment.
    pub(super) since: Instant,
    /// At whom.
    pub(super) scope: ProbeScope,
}

/// Which members are probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ProbeScope {
    /// As many as a proof needs: the primary, and the others that answer soonest.
    Quorum,
    /// Every member.
    All,
}

/// One database group.
#[derive(Debug)]
pub(super) struct Group {
    pub(super) limits: GroupLimits,
    /// Whether this process is one of the group's homes, which watch it also when nobody asks.
    pub(super) is_home: bool,
    pub(super) last_used_at: Option<Instant>,
    pub(super) members: BTreeSet<MemberId>,
    departed: BTreeMap<MemberId, Departed>,
    joined: VecDeque<(MemberId, Instant)>,
    /// What the primary held after the oldest replacement: members that have it don't depend on the
    /// server that left.
    replacement_mark: Option<Position>,
    pub(super) primary: Option<Primary>,
    /// The highest term that any member was seen in. A primary of a lower one was replaced, also when
    /// its successor is gone.
    pub(super) term_seen: Term,
    pub(super) queue: WaitQueue<CallerId>,
    pub(super) proving: BTreeSet<CallerId>,
    pub(super) samples: AgeSamples,
    pub(super) proved_at: Option<Instant>,
    pub(super) probes_wanted: Option<ProbesWanted>,
    pub(super) probes_wanted_at: Instant,
    pub(super) failover: Failover,
}

impl Group {
    pub(super) fn new(limits: GroupLimits, now: Instant) -> Self {
        Self {
            limits,
            is_home: false,
            last_used_at: None,
            members: BTreeSet::new(),
            departed: BTreeMap::new(),
            joined: VecDeque::new(),
            replacement_mark: None,
            primary: None,
            term_seen: Term::default(),
            queue: WaitQueue::default(),
            proving: BTreeSet::new(),
            samples: AgeSamples::default(),
            proved_at: None,
            probes_wanted: None,
            probes_wanted_at: now,
            failover: Failover::new(now),
        }
    }

    /// Takes a listed server in. `is_first_list` is set while the group was never listed before.
    pub(super) fn attach(&mut self, id: &MemberId, now: Instant, is_first_list: bool) {
        let returned = self.departed.remove(id).is_some();
        let is_new = self.members.insert(id.clone());
        if is_new && !returned && !is_first_list {
            self.joined.push_back((id.clone(), now));
        }
    }

    pub(super) fn detach(&mut self, id: &MemberId, now: Instant) {
        let led = self
            .primary
            .take_if(|primary| &primary.member == id)
            .map(|primary| primary.term);
        if self.members.remove(id) {
            let departed = Departed { left_at: now, led };
            self.departed.insert(id.clone(), departed);
        }
    }

    /// Takes in that a member leads. A primary that crashed may come back under another name: one term
    /// has one primary, so a member that leads the term of one that left is the same server.
    pub(super) fn note_leader(&mut self, member: &MemberId, term: Term) {
        let before = self.departed.len();
        self.departed
            .retain(|id, departed| id == member || departed.led != Some(term));
        if self.departed.len() < before {
            self.joined.retain(|(id, _)| id != member);
            self.replacement_mark = None;
        }
    }

    /// Returns since when the server that left first has a successor.
    fn replaced_at(&self) -> Option<Instant> {
        let (_, joined) = self.joined.front()?;
        let left = self.departed.values().map(|departed| departed.left_at);
        Some(*joined.max(&left.min()?))
    }

    /// Returns whether probes of all members may show that a server that left has been replaced.
    pub(super) fn awaits_replacement(&self) -> bool {
        self.replaced_at().is_some()
    }

    /// Takes in what the primary holds, as it was asked for at `asked_at`.
    pub(super) fn note_primary_position(&mut self, asked_at: Instant, received: Position) {
        let is_settled = self
            .replaced_at()
            .is_some_and(|since| asked_at >= since + REPLACEMENT_SETTLE_TIME);
        if is_settled {
            self.replacement_mark.get_or_insert(received);
        }
    }

    /// Takes in the position that every member has, and stops counting the server that left first once
    /// none of what it held is missing anywhere.
    pub(super) fn note_common_position(&mut self, common: Position) {
        if self.replacement_mark.is_some_and(|mark| common >= mark) {
            self.replace_oldest();
        }
    }

    fn replace_oldest(&mut self) {
        self.replacement_mark = None;
        let oldest = self
            .departed
            .iter()
            .min_by_key(|(_, departed)| departed.left_at);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.departed.remove(&id);
            self.joined.pop_front();
        }
    }

    /// Returns how many members' probes prove a floor.
    ///
    /// A server that left may have been one of the two that had a commit, so it counts until another
    /// one has taken its place.
    pub(super) fn quorum(&mut self, now: Instant) -> usize {
        self.joined
            .retain(|(_, since)| now < *since + JOIN_COUNTS_FOR);
        while self
            .replaced_at()
            .is_some_and(|since| now >= since + REPLACEMENT_DELAY)
        {
            self.replace_oldest();
        }
        self.quorum_now()
    }

    /// Returns the quorum as it was last worked out.
    pub(super) fn quorum_now(&self) -> usize {
        let members = self.members.len() + self.departed.len();
        proof::quorum(members, self.limits.sync_replicas)
    }

    /// Returns whether as many members are known as a group must have.
    pub(super) fn is_complete(&self) -> bool {
        let members = self.members.len() + self.departed.len();
        members >= proof::members_min(self.limits.sync_replicas)
    }

    /// Returns whether this process keeps connections to the group.
    pub(super) fn is_served_here(&self, now: Instant) -> bool {
        let is_used = |at: Instant| now < at + USE_COUNTS_FOR;
        self.is_home || self.last_used_at.is_some_and(is_used)
    }

    /// Returns the primary's name.
    pub(super) fn primary_id(&self) -> Option<&MemberId> {
        self.primary.as_ref().map(|primary| &primary.member)
    }
}
