//! The state of targets and of the connections to them.

use super::outstanding::CommandKind;
use super::outstanding::OutstandingCommands;
use super::statement::CallerId;
use super::statement::Command;
use super::statement::ConnectionId;
use super::statement::PreparedStatement;
use super::statement::TargetStatus;
use super::tenant_connections::FIRST_RETRY_DELAY;
use super::tenant_connections::NO_GROWTH_AFTER_REFUSAL;
use super::tenant_connections::NO_REPLACEMENT_AFTER_REFUSAL;
use super::tenant_connections::OPENING_TIME_INITIAL;
use super::topology::TargetEntry;
use crate::commit_safety::Continuity;
use crate::congestion::ConcurrencyLimit;
use crate::ids::GroupName;
use crate::ids::MemberId;
use crate::ids::Position;
use crate::round_trip::RoundTrip;
use crate::tenants::TenantName;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// The response time assumed for a target that hasn't answered yet.
const RESPONSE_TIME_INITIAL: Duration = Duration::from_millis(15);

/// The window of the moving average: the newest response time has a weight of one divided by
/// this number.
const RESPONSE_TIME_WINDOW: u32 = 8;

/// One connection to a target.
///
/// # Invariants
///
/// While `owner` is set, only the owner's statements
/// and, outside of its transaction, probes of the target are sent. The owner is a caller of
/// `tenant`, which never changes.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) member: MemberId,
    pub(super) group: GroupName,
    /// The tenant that was named to the target, or `None` for callers without one.
    pub(super) tenant: Option<TenantName>,
    pub(super) is_open: bool,
    pub(super) opening_began_at: Instant,
    /// When the target accepted the connection, if `is_open`.
    pub(super) opened_at: Instant,
    pub(super) outstanding: OutstandingCommands,
    pub(super) owner: Option<CallerId>,
    pub(super) in_transaction: bool,
    pub(super) session_values: BTreeMap<Box<str>, Box<str>>,
    pub(super) prepared: BTreeMap<PreparedStatement, Box<str>>,
    pub(super) idle_since: Instant,
    /// When the connection was last released by a caller. Unlike `idle_since`, probes don't renew
    /// it.
    pub(super) used_at: Instant,
    /// When the connection was assigned to its owner.
    pub(super) assigned_at: Option<Instant>,
}

impl Connection {
    pub(super) fn new(
        member: MemberId,
        group: GroupName,
        tenant: Option<TenantName>,
        now: Instant,
    ) -> Self {
        Self {
            member,
            group,
            tenant,
            is_open: false,
            opening_began_at: now,
            opened_at: now,
            outstanding: OutstandingCommands::default(),
            owner: None,
            in_transaction: false,
            session_values: BTreeMap::new(),
            prepared: BTreeMap::new(),
            idle_since: now,
            used_at: now,
            assigned_at: None,
        }
    }

    /// Returns whether the connection can be assigned to a caller.
    pub(super) fn is_idle(&self) -> bool {
        self.is_open && self.owner.is_none() && self.outstanding.is_empty() && !self.in_transaction
    }

    /// Returns whether the connection becomes idle with the answers to probes.
    pub(super) fn awaits_only_probes(&self) -> bool {
        let mut outstanding = self.outstanding.iter();
        let is_probed = outstanding.all(|command| command.kind == CommandKind::Status);
        self.is_open && self.owner.is_none() && !self.in_transaction && is_probed
    }

    /// Returns whether this process can send a command of its own behind the outstanding ones.
    pub(super) fn accepts_control(&self) -> bool {
        self.is_open && !self.in_transaction && !self.outstanding.has_unmatched_answer()
    }

    /// Returns when the oldest unanswered command was sent, or when opening began if the connection
    /// isn't open yet.
    pub(super) fn waiting_since(&self) -> Option<Instant> {
        if !self.is_open {
            return Some(self.opening_began_at);
        }
        self.outstanding.oldest().map(|oldest| oldest.sent_at)
    }
}

/// The newest answered probe of a target.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub(super) probed_at: Instant,
    pub(super) status: TargetStatus,
}

/// A target's refusal of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Refusal {
    /// The time until which the number of connections doesn't grow.
    pub(super) until: Instant,
    /// The number of connections that this process had without the refused one.
    pub(super) connections: usize,
    /// The delay before a tenant without a connection opens its first one, and when it is over.
    pub(super) first_delay: Duration,
    pub(super) first_from: Instant,
}

/// The state of one server of a group, as known to this process.
#[derive(Debug)]
pub(super) struct Target {
    pub(super) entry: TargetEntry,
    pub(super) connections: Vec<ConnectionId>,
    pub(super) applied: Position,
    pub(super) probe: Option<Probe>,
    /// Since when the target has run without a restart.
    pub(super) continuity: Continuity,
    /// When a probe last showed that the target, as a replica, had received new entries.
    pub(super) received_more_at: Option<Instant>,
    pub(super) last_answer_at: Instant,
    pub(super) failing_since: Option<Instant>,
    /// Whether a connection that this process didn't close has ended since the last one was opened.
    pub(super) was_disconnected: bool,
    pub(super) reconnect_at: Instant,
    /// The last refusal of a connection, with tenants.
    pub(super) refusal: Option<Refusal>,
    /// When a connection was last closed to open one for another tenant.
    pub(super) replaced_at: Option<Instant>,
    /// The time before which no connection is closed for another tenant.
    pub(super) replace_from: Instant,
    /// The average time to open a connection.
    pub(super) opening_time: Duration,
    pub(super) lagging_until: Instant,
    pub(super) response_time: Duration,
    /// When a response time was last added to the average.
    pub(super) response_time_at: Option<Instant>,
    pub(super) round_trip: RoundTrip,
    /// The average time in which the target answers a probe, including the wait for a slot.
    pub(super) probe_time: Option<Duration>,
    pub(super) in_flight: u32,
    pub(super) concurrency: ConcurrencyLimit,
    pub(super) control_queue: VecDeque<(Command, CommandKind)>,
}

impl Target {
    pub(super) fn new(entry: TargetEntry, now: Instant) -> Self {
        Self {
            entry,
            connections: Vec::new(),
            applied: Position::default(),
            probe: None,
            continuity: Continuity::started_at(now),
            received_more_at: None,
            last_answer_at: now,
            failing_since: None,
            was_disconnected: false,
            reconnect_at: now,
            refusal: None,
            replaced_at: None,
            replace_from: now,
            opening_time: OPENING_TIME_INITIAL,
            lagging_until: now,
            response_time: RESPONSE_TIME_INITIAL,
            response_time_at: None,
            round_trip: RoundTrip::default(),
            probe_time: None,
            in_flight: 0,
            concurrency: ConcurrencyLimit::default(),
            control_queue: VecDeque::new(),
        }
    }

    /// Returns whether the target has shown that its log includes the commit at `position`. In a later
    /// term the same index may belong to another commit.
    pub(super) fn has_received(&self, position: Position) -> bool {
        let probed = self.probe.as_ref().map(|probe| probe.status.received);
        let includes = |end: Position| end.term == position.term && end >= position;
        includes(self.applied) || probed.is_some_and(includes)
    }

    /// Records that the target answered, so it isn't failing.
    pub(super) fn record_answer(&mut self, now: Instant) {
        self.last_answer_at = now;
        self.failing_since = None;
    }

    /// Adds a response time to the moving average.
    pub(super) fn record_response_time(&mut self, now: Instant, response_time: Duration) {
        self.response_time_at = Some(now);
        let kept = self.response_time * (RESPONSE_TIME_WINDOW - 1);
        self.response_time = (kept + response_time) / RESPONSE_TIME_WINDOW;
    }

    /// Adds the time in which a probe was answered to the moving average.
    pub(super) fn record_probe_time(&mut self, time: Duration) {
        let average = self.probe_time.unwrap_or(time);
        let kept = average * (RESPONSE_TIME_WINDOW - 1);
        self.probe_time = Some((kept + time) / RESPONSE_TIME_WINDOW);
    }

    /// Adds the time that the opening of a connection took to the moving average.
    pub(super) fn record_opening_time(&mut self, opening_time: Duration) {
        let kept = self.opening_time * (RESPONSE_TIME_WINDOW - 1);
        self.opening_time = (kept + opening_time) / RESPONSE_TIME_WINDOW;
    }

    /// Records that the target refused a connection, which is still among `connections`.
    pub(super) fn record_refusal(&mut self, now: Instant) {
        let is_recent = |refusal: &Refusal| now < refusal.until + NO_GROWTH_AFTER_REFUSAL;
        let recent = self.refusal.filter(is_recent);
        let first_delay = recent.map_or(FIRST_RETRY_DELAY, |refusal| {
            (refusal.first_delay * 2).min(NO_GROWTH_AFTER_REFUSAL)
        });
        self.refusal = Some(Refusal {
            first_delay,
            first_from: now + first_delay,
            until: now + NO_GROWTH_AFTER_REFUSAL,
            connections: self.connections.len().saturating_sub(1),
        });
        if self.replaced_at.take().is_some() {
            self.replace_from = now + NO_REPLACEMENT_AFTER_REFUSAL;
        }
    }

    /// Returns whether the number of this process's connections may grow after a refusal.
    pub(super) fn may_grow(&self, now: Instant) -> bool {
        self.refusal.is_none_or(|refusal| {
            now >= refusal.until || self.connections.len() < refusal.connections
        })
    }

    /// Returns whether a tenant without a connection may open one after a refusal.
    pub(super) fn may_open_first(&self, now: Instant) -> bool {
        self.refusal.is_none_or(|refusal| now >= refusal.first_from)
    }

    /// Returns whether another statement may be sent to the target.
    pub(super) fn admits_statement(&self, now: Instant) -> bool {
        self.concurrency.admits(now, self.in_flight)
    }

    /// Returns whether no connection attempt has failed since the target's last answer.
    pub(super) fn is_reachable(&self) -> bool {
        self.failing_since.is_none()
    }
}
