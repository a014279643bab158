//! The state that a proxy keeps for one group.

use super::duties::Duties;
use super::member::CALLS_IN_FLIGHT_MAX;
use super::member::MemberState;
use super::promote::Progress;
use super::rounds::Rounds;
use super::view::GroupView;
use endivereach_core::confirm::CommitTracker;
use endivereach_core::directory::GroupObject;
use endivereach_core::floor::AgeSamples;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::Term;
use endivereach_core::ids::Version;
use endivereach_wire::member::MemberRole;
use endivereach_wire::member::MemberStatus;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// How long a group counts as busy after its last use by the data path.
const BUSY_TIMEOUT: Duration = Duration::from_secs(3);

/// The state of one group, protected by the group's mutex.
pub(super) struct State {
    pub(super) object: GroupObject,
    pub(super) version: Version,
    /// The highest term in which a primary is known.
    pub(super) term: Term,
    /// The primary of `term`, or `None` once a majority of the members refuses that term.
    pub(super) primary: Option<MemberId>,
    pub(super) members: Vec<MemberState>,
    pub(super) tracker: CommitTracker<MemberId>,
    pub(super) rounds: Rounds,
    pub(super) age_samples: AgeSamples,
    pub(super) progress: Progress,
    pub(super) duties: Duties,
    /// When the last scheduled status poll was made.
    pub(super) polled_at: Option<Instant>,
    /// The number of scheduled status polls.
    pub(super) poll_count: usize,
    used_at: Option<Instant>,
    view: Option<Arc<GroupView>>,
}

impl State {
    pub(super) fn new(version: Version, object: GroupObject) -> Self {
        Self {
            version,
            term: object.term,
            primary: Some(object.primary.clone()),
            members: Vec::new(),
            tracker: CommitTracker::new(object.majority()),
            rounds: Rounds::default(),
            age_samples: AgeSamples::default(),
            progress: Progress::default(),
            duties: Duties::default(),
            polled_at: None,
            poll_count: 0,
            used_at: None,
            view: None,
            object,
        }
    }

    pub(super) fn member_mut(&mut self, id: &MemberId) -> Option<&mut MemberState> {
        self.members
            .iter_mut()
            .find(|member| &member.member.id == id)
    }

    pub(super) fn member(&self, id: &MemberId) -> Option<&MemberState> {
        self.members.iter().find(|member| &member.member.id == id)
    }

    /// Returns the members below the limit of calls in flight, and counts a call to each.
    pub(super) fn callable_members(&mut self) -> Vec<MemberId> {
        let callable = self
            .members
            .iter_mut()
            .filter(|m| m.calls_in_flight < CALLS_IN_FLIGHT_MAX);
        callable
            .map(|member| {
                member.calls_in_flight += 1;
                member.member.id.clone()
            })
            .collect()
    }

    pub(super) fn mark_used(&mut self, now: Instant) {
        self.used_at = Some(now);
    }

    /// Returns whether the data path used the group within [`BUSY_TIMEOUT`].
    pub(super) fn is_busy(&self, now: Instant) -> bool {
        self.used_at.is_some_and(|at| now < at + BUSY_TIMEOUT)
    }

    /// Discards the cached view, so that the next one includes the latest changes.
    pub(super) fn invalidate_view(&mut self) {
        self.view = None;
    }

    pub(super) fn view(&mut self) -> Arc<GroupView> {
        if let Some(view) = &self.view {
            return Arc::clone(view);
        }
        let view = Arc::new(GroupView {
            name: self.object.name.clone(),
            term: self.term,
            primary: self.primary.clone(),
            members: self.members.iter().map(MemberState::view).collect(),
            connections_per_server: self.object.connections_per_server,
            slots_per_server: self.object.slots_per_server,
        });
        self.view = Some(Arc::clone(&view));
        view
    }

    /// Adopts the primary of `term` unless that term is outdated. Returns whether the term is new.
    pub(super) fn adopt_primary(&mut self, term: Term, primary: &MemberId) -> bool {
        let restored = term == self.term && self.primary.is_none() && !self.is_refused();
        if term < self.term || (term == self.term && !restored) {
            return false;
        }
        let is_higher_term = term > self.term;
        self.term = term;
        self.primary = Some(primary.clone());
        self.invalidate_view();
        is_higher_term
    }

    /// Applies the terms of a member's status, and returns whether it reveals a new primary.
    ///
    /// Each term has at most one primary, which only a promotion in that term creates. The status
    /// of one unfenced primary is therefore sufficient.
    pub(super) fn observe_terms(&mut self, status: &MemberStatus) -> bool {
        let leads = status.role == MemberRole::Primary && status.is_unfenced();
        if leads && self.adopt_primary(status.term, &status.id) {
            return true;
        }
        if self.primary.is_some() && self.is_refused() {
            self.primary = None;
            self.invalidate_view();
        }
        false
    }

    /// Returns the highest term that any member is known to be in or to be fenced for.
    pub(super) fn highest_term(&self) -> Term {
        let statuses = self.members.iter().filter_map(|m| m.status.as_ref());
        let highest = statuses
            .map(|status| status.term.max(status.fenced_term))
            .max();
        highest.unwrap_or_default().max(self.term)
    }

    /// Returns whether a majority refuses the known term, so that its primary can confirm no
    /// commit.
    pub(super) fn is_refused(&self) -> bool {
        let refuses = |m: &&MemberState| {
            let status = m.status.as_ref();
            status.is_some_and(|status| status.fenced_term.max(status.term) > self.term)
        };
        self.members.iter().filter(refuses).count() >= self.object.majority()
    }
}
