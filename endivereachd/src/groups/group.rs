//! One group: its view, the confirmation of its commits, and its timers.

use super::Shared;
use super::member::MemberState;
use super::member::report;
use super::state::State;
use super::tasks::Task;
use super::view::Confirmation;
use super::view::GroupView;
use crate::context::Context;
use endivereach_core::confirm::CommitStatus;
use endivereach_core::directory::GroupObject;
use endivereach_core::event::Event;
use endivereach_core::failure_detection::SILENCE_TIMEOUT_WHEN_REFUSED;
use endivereach_core::ids::GroupName;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::Position;
use endivereach_core::ids::Term;
use endivereach_core::ids::Version;
use endivereach_wire::http::CallError;
use endivereach_wire::member::MemberClient;
use endivereach_wire::member::MemberRole;
use endivereach_wire::member::MemberStatus;
use std::fmt;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::time::Duration;
use std::time::Instant;

/// The interval between two status polls, each of one member in rotation, while the group is
/// healthy.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The interval between two status polls of every member while a fault is suspected.
const FAST_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A confirmation that takes longer than this suggests a fault, so every member is polled.
const SLOW_CONFIRM_THRESHOLD: Duration = Duration::from_millis(120);

/// A member with this many status calls in flight gets no scheduled poll. Rounds and polls of all
/// members are limited by `CALLS_IN_FLIGHT_MAX`.
const SCHEDULED_POLLS_IN_FLIGHT_MAX: u32 = 4;

/// A handle to one group.
pub struct Group {
    weak_self: Weak<Group>,
    name: GroupName,
    shared: Arc<Shared>,
    state: Mutex<State>,
    changed: Condvar,
}

impl fmt::Debug for Group {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Group")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

impl Group {
    pub(super) fn new(shared: Arc<Shared>, version: Version, object: GroupObject) -> Arc<Self> {
        let group = Arc::new_cyclic(|weak_self| Self {
            weak_self: weak_self.clone(),
            name: object.name.clone(),
            shared,
            state: Mutex::new(State::new(version, object.clone())),
            changed: Condvar::new(),
        });
        group.set_members(&mut group.state(), &object);
        group
    }

    /// Returns an owned handle, for use by a task on another thread.
    pub(super) fn handle(&self) -> Arc<Self> {
        let handle = self.weak_self.upgrade();
        handle.expect("a group must be owned by an `Arc` while its methods run")
    }

    /// Returns the group's name.
    pub fn name(&self) -> &GroupName {
        &self.name
    }

    /// Returns the group's latest known state.
    pub fn view(&self) -> Arc<GroupView> {
        self.state().view()
    }

    /// Returns the newest known version of the group's object.
    pub fn object(&self) -> (Version, GroupObject) {
        let state = self.state();
        (state.version, state.object.clone())
    }

    /// Waits until the commit at `position`, made in `term`, may be acknowledged.
    ///
    /// `position` must be the one that the primary of `term` returned for the commit. All commits
    /// in flight share one position watch per member.
    pub fn confirm(&self, term: Term, position: Position, deadline: Instant) -> Confirmation {
        let waiting_since = self.now();
        self.record_use(waiting_since);
        let mut slow_at = waiting_since + SLOW_CONFIRM_THRESHOLD;
        let mut state = self.state();
        loop {
            if state.tracker.commit_status(term, position) == CommitStatus::Confirmed {
                return Confirmation::Confirmed;
            }
            if state.term > term {
                return Confirmation::Replaced;
            }
            let now = self.now();
            if now >= deadline {
                return Confirmation::TimedOut;
            }
            if now >= slow_at {
                slow_at = now + SLOW_CONFIRM_THRESHOLD;
                state.progress.start_fast_polling(now);
                drop(state);
                self.poll_all_members();
                state = self.state();
                continue;
            }
            let until = slow_at.min(deadline);
            state = self.wait(state, until.saturating_duration_since(now));
        }
    }

    /// Waits for a primary in a term above `term`.
    pub fn wait_for_primary_after(&self, term: Term, deadline: Instant) -> Option<Arc<GroupView>> {
        let mut state = self.state();
        state.mark_used(self.now());
        loop {
            if state.term > term && state.primary.is_some() {
                return Some(state.view());
            }
            let now = self.now();
            if now >= deadline {
                return None;
            }
            state = self.wait(state, deadline.saturating_duration_since(now));
        }
    }

    /// Reports that a connection to `member` stopped responding or broke, and polls every member.
    pub fn report_unresponsive(&self, member: &MemberId) {
        log::debug!(
            "{}: connection to {member} broke or stopped responding",
            self.name
        );
        let now = self.now();
        let mut state = self.state();
        state.mark_used(now);
        state.progress.start_fast_polling(now);
        drop(state);
        self.poll_all_members();
    }

    /// Queues a status call to every member.
    pub(super) fn poll_all_members(&self) {
        let members = self.state().callable_members();
        for member in members {
            self.submit_status(member, None);
        }
    }

    /// Replaces the group's object if `version` is newer than the known version.
    pub(super) fn update_object(&self, version: Version, object: GroupObject) {
        let mut state = self.state();
        if version <= state.version {
            return;
        }
        state.version = version;
        if state.object.members != object.members {
            self.set_members(&mut state, &object);
        }
        state.object = object.clone();
        state.invalidate_view();
        let is_new_primary = state.adopt_primary(object.term, &object.primary);
        drop(state);
        self.changed.notify_all();
        if is_new_primary {
            self.record_primary(object.term, &object.primary, "published by the platform");
        }
    }

    fn set_members(&self, state: &mut State, object: &GroupObject) {
        let network = &self.context().settings.network;
        let mut known = std::mem::take(&mut state.members);
        for member in &object.members {
            let index = known.iter().position(|m| {
                m.member.id == member.id && m.member.control_addr == member.control_addr
            });
            let mut entry = match index {
                Some(index) => known.swap_remove(index),
                None => {
                    let addr = network.translate(member.control_addr);
                    let client = MemberClient::new(self.context().http.clone(), addr);
                    MemberState::new(member.clone(), client)
                }
            };
            entry.member = member.clone();
            state.members.push(entry);
        }
    }

    /// Records that the data path uses the group, and starts the position watches of its replicas.
    pub(super) fn record_use(&self, now: Instant) {
        let mut state = self.state();
        let was_busy = state.is_busy(now);
        state.mark_used(now);
        let primary = state.primary.clone();
        let unwatched =
            |m: &&mut MemberState| !m.is_watched && Some(&m.member.id) != primary.as_ref();
        let mut started = Vec::new();
        for member in state.members.iter_mut().filter(unwatched) {
            member.is_watched = true;
            started.push(member.member.id.clone());
        }
        drop(state);
        for member in started {
            let group = self.handle();
            self.shared.workers.submit(Task::Watch { group, member });
        }
        if !was_busy {
            self.poll_all_members();
        }
    }

    /// Processes the result of a status call or of a position watch.
    pub(super) fn record_call_result(
        &self,
        id: &MemberId,
        status_requested_at: Instant,
        result: Result<MemberStatus, CallError>,
        round: Option<u64>,
    ) {
        let now = self.now();
        let mut state = self.state();
        let Some(member) = state.member_mut(id) else {
            return;
        };
        let status = match result {
            Ok(status) if &status.id == id => status,
            Ok(_) => return,
            Err(error) => {
                if member.record_failure(status_requested_at, now, &error) {
                    state.progress.start_fast_polling(now);
                }
                state.invalidate_view();
                return;
            }
        };
        member.record_answer(status_requested_at, now, &status);
        let primary_silence = reports_primary_silence(&status);
        let report = report(&status);
        state.tracker.record(&report);
        if primary_silence {
            state.progress.start_fast_polling(now);
        }
        state.progress.record_term(now, report.highest_term());
        if let Some(completed) = round.and_then(|round| state.rounds.record(round, report)) {
            state
                .age_samples
                .record(completed.started_at, completed.floor);
        }
        let is_new_primary = state.observe_terms(&status);
        state.invalidate_view();
        drop(state);
        self.changed.notify_all();
        if is_new_primary {
            self.record_primary(status.term, &status.id, "told by the member itself");
        }
    }

    pub(super) fn record_event(&self, event: Event) {
        self.context().events.record(event);
    }

    pub(super) fn record_primary(&self, term: Term, primary: &MemberId, evidence: &str) {
        self.record_event(Event::PrimaryChanged {
            group: self.name.clone(),
            term,
            primary: primary.clone(),
            evidence: evidence.into(),
        });
    }

    /// Checks the group's timers: status polls, age samples, and checks of the primary.
    pub(super) fn tick(&self) {
        let rank = self.shared.fleet().home_rank(&self.name);
        let now = self.now();
        let mut state = self.state();
        if rank.is_none() && !state.is_busy(now) {
            return;
        }
        let due = select_due_polls(&mut state, now, rank.unwrap_or_default());
        let sample = state.age_samples.is_due(now);
        drop(state);
        for member in due {
            self.submit_status(member, None);
        }
        if sample {
            self.start_round();
        }
        if let Some(rank) = rank {
            self.check_primary(rank);
        }
    }

    /// Queues a status call to a member. The call must already be counted in the member's state.
    pub(super) fn submit_status(&self, member: MemberId, round: Option<u64>) {
        let group = self.handle();
        self.shared.workers.submit(Task::Status {
            group,
            member,
            round,
        });
    }

    pub(super) fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    pub(super) fn context(&self) -> &Context {
        &self.shared.context
    }

    pub(super) fn is_stopped(&self) -> bool {
        self.shared.is_stopped()
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn wait<'a>(
        &self,
        state: MutexGuard<'a, State>,
        wait: Duration,
    ) -> MutexGuard<'a, State> {
        let waited = self.changed.wait_timeout(state, wait);
        waited.unwrap_or_else(PoisonError::into_inner).0
    }

    pub(super) fn notify(&self) {
        self.changed.notify_all();
    }
}

/// Returns whether a replica reports a silence of its primary that is too long to be caused by one
/// lost packet.
fn reports_primary_silence(status: &MemberStatus) -> bool {
    let silence = Duration::from_millis(status.primary_silent_ms);
    status.role == MemberRole::Replica && silence >= SILENCE_TIMEOUT_WHEN_REFUSED
}

/// Selects the members to poll now, and counts a call to each.
///
/// While the group is healthy its homes share the work: each polls one member at a time, starting
/// at the member whose index is the home's rank.
fn select_due_polls(state: &mut State, now: Instant, rank: u32) -> Vec<MemberId> {
    let suspects_fault = state.progress.needs_fast_polling(now) || state.primary.is_none();
    let lacks_status = state.members.iter().any(|member| member.status.is_none());
    let interval = match suspects_fault || lacks_status {
        true => FAST_POLL_INTERVAL,
        false => POLL_INTERVAL,
    };
    if state.polled_at.is_some_and(|at| now < at + interval) {
        return Vec::new();
    }
    state.polled_at = Some(now);
    state.poll_count += 1;
    let next_index = (state.poll_count + rank as usize) % state.members.len().max(1);
    let is_due = |(index, member): &(usize, &mut MemberState)| {
        member.calls_in_flight < SCHEDULED_POLLS_IN_FLIGHT_MAX
            && (suspects_fault || lacks_status || *index == next_index)
    };
    let members = state.members.iter_mut().enumerate().filter(is_due);
    members
        .map(|(_, member)| {
            member.calls_in_flight += 1;
            member.member.id.clone()
        })
        .collect()
}
