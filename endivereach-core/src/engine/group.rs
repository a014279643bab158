//! Groups: members, primary, proved positions and waiting callers.

use super::failover::Failover;
use super::proof;
use super::shedding::SheddingState;
use super::statement::CallerId;
use super::tenant_connections::Usage;
use super::topology::GroupLimits;
use crate::far_reads::FarReads;
use crate::floor::AgeSamples;
use crate::ids::Incarnation;
use crate::ids::MemberId;
use crate::ids::Position;
use crate::ids::Term;
use crate::queue::WaitQueue;
use crate::return_delay::ReturnSchedule;
use crate::tenants::TenantName;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// The delay from the replacement of a server until it stops counting toward the quorum, even if no
/// probes show that every member has its log. By then the successor, and a replica that had fallen
/// behind, have received the old server's log.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(10);

/// The delay from a replacement until probes can end the counting of the server that left: two
/// seconds in which a server whose entry expired is listed again, and one second for that listing
/// to arrive.
const REPLACEMENT_PROBE_DELAY: Duration = Duration::from_secs(3);

/// The maximum age at which a server that joined can replace one that leaves later.
const JOIN_AGE_MAX: Duration = Duration::from_secs(60);

/// The time after its last statement during which a group counts as in use.
const IN_USE_TIMEOUT: Duration = Duration::from_secs(5);

/// The primary that this process currently knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Primary {
    pub(super) member: MemberId,
    pub(super) term: Term,
}

/// A server that departed. It may have been one of only two servers that had a commit.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Departed {
    id: MemberId,
    /// A server that is listed under the name with another incarnation has restarted without its log.
    incarnation: Incarnation,
    left_at: Instant,
    /// The term in which the server was the primary when it left.
    led_term: Option<Term>,
}

/// A request for probes that haven't all been sent yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ProbeRequest {
    /// Only probes sent at or after this time fulfill the request.
    pub(super) since: Instant,
    /// The members to probe.
    pub(super) scope: ProbeScope,
}

/// Which members of a group are probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ProbeScope {
    /// As many members besides the primary as a proof needs: those with the shortest response
    /// times.
    Others,
    /// As many members as a proof needs: the primary, and the others with the shortest response
    /// times.
    Quorum,
    /// Every member.
    All,
}

/// The state of one database group.
#[derive(Debug)]
pub(super) struct Group {
    pub(super) limits: GroupLimits,
    /// Whether this process is one of the group's homes, which monitor it even while no caller uses
    /// it.
    pub(super) is_home: bool,
    pub(super) last_used_at: Option<Instant>,
    pub(super) members: BTreeSet<MemberId>,
    departed: Vec<Departed>,
    /// Servers that joined, oldest first, with the time. Each can replace a server that left.
    joined: VecDeque<(MemberId, Instant)>,
    /// The primary's position after the oldest replacement. A member whose log includes this
    /// position has every entry that the server that left had.
    replacement_position: Option<Position>,
    pub(super) primary: Option<Primary>,
    /// The highest term that any member has reported. A primary of a lower term has been replaced,
    /// even if its successor has left.
    pub(super) highest_term: Term,
    pub(super) queue: WaitQueue<CallerId>,
    /// How the tenants use the group's connections. Empty without tenants.
    pub(super) usage: BTreeMap<Option<TenantName>, Usage>,
    pub(super) awaiting_proof: BTreeSet<CallerId>,
    pub(super) samples: AgeSamples,
    pub(super) proved_at: Option<Instant>,
    /// The time until which replicas count as lagging behind the floors of reads.
    pub(super) lagging_until: Option<Instant>,
    pub(super) far_reads: FarReads,
    pub(super) probe_request: Option<ProbeRequest>,
    pub(super) probes_requested_at: Instant,
    pub(super) failover: Failover,
    pub(super) shedding: SheddingState,
    pub(super) returns: ReturnSchedule,
}

impl Group {
    pub(super) fn new(limits: GroupLimits, now: Instant) -> Self {
        Self {
            limits,
            is_home: false,
            last_used_at: None,
            members: BTreeSet::new(),
            departed: Vec::new(),
            joined: VecDeque::new(),
            replacement_position: None,
            primary: None,
            highest_term: Term::default(),
            queue: WaitQueue::default(),
            usage: BTreeMap::new(),
            awaiting_proof: BTreeSet::new(),
            samples: AgeSamples::default(),
            proved_at: None,
            lagging_until: None,
            far_reads: FarReads::default(),
            probe_request: None,
            probes_requested_at: now,
            failover: Failover::new(now),
            shedding: SheddingState::default(),
            returns: ReturnSchedule::default(),
        }
    }

    /// Adds a listed server. It has returned with its log if it departed in the same incarnation.
    /// `is_first_list` is true if the group had no members before this list.
    pub(super) fn add_member(
        &mut self,
        id: &MemberId,
        incarnation: Incarnation,
        now: Instant,
        is_first_list: bool,
    ) {
        let before = self.departed.len();
        self.departed
            .retain(|departed| departed.incarnation != incarnation || &departed.id != id);
        let returned = self.departed.len() < before;
        let is_new = self.members.insert(id.clone());
        if is_new && !returned && !is_first_list {
            self.joined.push_back((id.clone(), now));
        }
    }

    /// Removes a server. One that restarts under its name is added again as another server.
    pub(super) fn remove_member(&mut self, id: &MemberId, incarnation: Incarnation, now: Instant) {
        let led_term = self
            .primary
            .take_if(|primary| &primary.member == id)
            .map(|primary| primary.term);
        if self.members.remove(id) {
            self.departed.push(Departed {
                id: id.clone(),
                incarnation,
                left_at: now,
                led_term,
            });
        }
    }

    /// Records that a member leads. A primary that crashed may come back under another name. A term
    /// has only one primary, so a member that leads in the term of one that left is the same
    /// server.
    pub(super) fn record_leader(&mut self, member: &MemberId, term: Term) {
        let before = self.departed.len();
        self.departed
            .retain(|departed| departed.led_term != Some(term));
        if self.departed.len() < before {
            self.joined.retain(|(id, _)| id != member);
            self.replacement_position = None;
        }
    }

    /// Returns the time since which the server that left first has a successor.
    fn replaced_at(&self) -> Option<Instant> {
        let (_, joined) = self.joined.front()?;
        let left = self.departed.iter().map(|departed| departed.left_at);
        Some(*joined.max(&left.min()?))
    }

    /// Returns whether a server that left has a successor but still counts toward the quorum.
    pub(super) fn has_pending_replacement(&self) -> bool {
        self.replaced_at().is_some()
    }

    /// Records the primary's position, from a probe sent at `probed_at`.
    pub(super) fn record_primary_position(&mut self, probed_at: Instant, received: Position) {
        let is_settled = self
            .replaced_at()
            .is_some_and(|since| probed_at >= since + REPLACEMENT_PROBE_DELAY);
        if is_settled {
            self.replacement_position.get_or_insert(received);
        }
    }

    /// Records the position that every member has. Stops counting the server that left first once
    /// every member has everything that it held.
    pub(super) fn record_common_position(&mut self, common: Position) {
        if self
            .replacement_position
            .is_some_and(|position| common >= position)
        {
            self.finish_oldest_replacement();
        }
    }

    fn finish_oldest_replacement(&mut self) {
        self.replacement_position = None;
        let oldest = (0..self.departed.len()).min_by_key(|index| self.departed[*index].left_at);
        if let Some(index) = oldest {
            self.departed.remove(index);
            self.joined.pop_front();
        }
    }

    /// Returns the number of members whose probes prove a floor.
    ///
    /// A server that left may have been one of only two servers that had a commit, so it counts as
    /// a member until another one has replaced it.
    pub(super) fn update_quorum(&mut self, now: Instant) -> usize {
        self.joined.retain(|(_, since)| now < *since + JOIN_AGE_MAX);
        while self
            .replaced_at()
            .is_some_and(|since| now >= since + REPLACEMENT_DELAY)
        {
            self.finish_oldest_replacement();
        }
        self.quorum()
    }

    /// Returns the quorum. Replacements that ended since the last call of
    /// [`Group::update_quorum`] still count.
    pub(super) fn quorum(&self) -> usize {
        let members = self.members.len() + self.departed.len();
        proof::quorum(members, self.limits.sync_replicas)
    }

    /// Returns whether the group has at least the minimum number of members, counting those that
    /// left.
    pub(super) fn is_complete(&self) -> bool {
        let members = self.members.len() + self.departed.len();
        members >= proof::members_min(self.limits.sync_replicas)
    }

    /// Returns whether every server that can be promoted is a member.
    pub(super) fn has_all_members(&self) -> bool {
        self.departed.is_empty() && self.is_complete()
    }

    /// Returns whether the group has never had a member, as before the first list.
    pub(super) fn is_unknown(&self) -> bool {
        self.members.is_empty() && self.departed.is_empty()
    }

    /// Returns whether this process keeps connections to the group and monitors it.
    pub(super) fn is_active(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now < at + IN_USE_TIMEOUT;
        self.is_home || self.last_used_at.is_some_and(is_recent)
    }

    /// Returns whether statements or probes of the group wait for a connection or an answer.
    pub(super) fn has_waiting_work(&self) -> bool {
        !self.queue.is_empty() || !self.awaiting_proof.is_empty() || self.probe_request.is_some()
    }

    /// Returns the tenant that used the group last, within `duration`.
    pub(super) fn last_tenant(&self, now: Instant, duration: Duration) -> Option<&TenantName> {
        let recent = self.usage.iter();
        let recent = recent.filter(|(_, usage)| now < usage.arrived_at() + duration);
        let (tenant, _) = recent.max_by_key(|(_, usage)| usage.arrived_at())?;
        tenant.as_ref()
    }

    /// Returns the primary's name.
    pub(super) fn primary_id(&self) -> Option<&MemberId> {
        self.primary.as_ref().map(|primary| &primary.member)
    }
}
