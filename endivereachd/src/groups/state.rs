//! What a proxy knows of one group.

use super::duties::Duties;
use super::member::CALLS_MAX;
use super::member::MemberState;
use super::promote::Progress;
use super::rounds::Rounds;
use super::view::GroupView;
use endivereach_core::confirm::Tracker;
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

/// How long after its last use a group counts as busy.
const BUSY_LINGER: Duration = Duration::from_secs(3);

/// The state of one group, guarded by the group's lock.
pub(super) struct State {
    pub(super) object: GroupObject,
    pub(super) version: Version,
    /// The highest term in which a primary is known.
    pub(super) term: Term,
    /// The primary of `term`, or `None` once a majority refuses that term.
    pub(super) primary: Option<MemberId>,
    pub(super) members: Vec<MemberState>,
    pub(super) tracker: Tracker<MemberId>,
    pub(super) rounds: Rounds,
    pub(super) ages: AgeSamples,
    pub(super) progress: Progress,
    pub(super) duties: Duties,
    /// When a member was last asked for its status in turn.
    pub(super) polled_at: Option<Instant>,
    /// How often that was done.
    pub(super) polls: usize,
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
            tracker: Tracker::new(object.majority()),
            rounds: Rounds::default(),
            ages: AgeSamples::default(),
            progress: Progress::default(),
            duties: Duties::default(),
            polled_at: None,
            polls: 0,
            used_at: None,
            view: None,
            object,
        }
    }

    pub(super) fn member_mut(&mut self, id: &MemberId) -> Option<&mut MemberState> {
        self.members.iter_mut().find(|state| &state.member.id == id)
    }

    pub(super) fn member(&self, id: &MemberId) -> Option<&MemberState> {
        self.members.iter().find(|state| &state.member.id == id)
    }

    /// Returns the members that may be called, and counts a call to each.
    pub(super) fn callable_members(&mut self) -> Vec<MemberId> {
        let callable = self.members.iter_mut().filter(|m| m.calls < CALLS_MAX);
        callable
            .map(|state| {
                state.calls += 1;
                state.member.id.clone()
            })
            .collect()
    }

    pub(super) fn note_used(&mut self, now: Instant) {
        self.used_at = Some(now);
    }

    /// Returns whether the data path used the group a short while ago.
    pub(super) fn is_busy(&self, now: Instant) -> bool {
        self.used_at.is_some_and(|at| now < at + BUSY_LINGER)
    }

    /// Forgets the view, so that the next one shows what changed.
    pub(super) fn touch(&mut self) {
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

    /// Moves to the primary of a higher term. Returns whether that changed anything.
    pub(super) fn adopt(&mut self, term: Term, primary: &MemberId) -> bool {
        let restored = term == self.term && self.primary.is_none() && !self.is_refused();
        if term < self.term || (term == self.term && !restored) {
            return false;
        }
        let news = term > self.term;
        self.term = term;
        self.primary = Some(primary.clone());
        self.touch();
        news
    }

    /// Takes in what a status says about terms. Returns whether a new primary was found.
    ///
    /// A term has one primary, and only a member that was promoted in it leads in it, so one
    /// unfenced member's word is enough.
    pub(super) fn take_terms(&mut self, status: &MemberStatus) -> bool {
        let leads = status.role == MemberRole::Primary && status.is_unfenced();
        if leads && self.adopt(status.term, &status.id) {
            return true;
        }
        if self.primary.is_some() && self.is_refused() {
            self.primary = None;
            self.touch();
        }
        false
    }

    /// Returns the highest term that any member was seen in or fenced for.
    pub(super) fn highest_term(&self) -> Term {
        let heard = self.members.iter().filter_map(|m| m.status.as_ref());
        let highest = heard
            .map(|status| status.term.max(status.fenced_term))
            .max();
        highest.unwrap_or_default().max(self.term)
    }

    /// Returns whether a majority refuses the known term, so that its primary can confirm nothing.
    pub(super) fn is_refused(&self) -> bool {
        let refuses = |m: &&MemberState| {
            let status = m.status.as_ref();
            status.is_some_and(|status| status.fenced_term.max(status.term) > self.term)
        };
        self.members.iter().filter(refuses).count() >= self.object.majority()
    }
}
