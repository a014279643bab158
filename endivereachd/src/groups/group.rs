//! One group: its view, its confirmations, and what its timers do.

use super::Shared;
use super::member::MemberState;
use super::member::report;
use super::state::State;
use super::tasks::Task;
use super::view::Confirmation;
use super::view::GroupView;
use crate::context::Context;
use endivereach_core::confirm::Verdict;
use endivereach_core::directory::GroupObject;
use endivereach_core::event::Event;
use endivereach_core::ids::GroupName;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::Position;
use endivereach_core::ids::Term;
use endivereach_core::ids::Version;
use endivereach_core::suspicion::SILENCE_WHEN_REFUSED;
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

/// How often one member, in turn, is asked for its status in calm times.
const POLL_CALM: Duration = Duration::from_secs(1);

/// How often every member is asked while something looks wrong.
const POLL_TROUBLED: Duration = Duration::from_millis(50);

/// A confirmation that takes longer than this is a sign of trouble, and every member is asked.
const CONFIRM_SLOW: Duration = Duration::from_millis(120);

/// How many calls to one member may be under way when it is asked in turn.
const POLLS_MAX: u32 = 4;

/// A handle to one group.
pub struct Group {
    myself: Weak<Group>,
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
        let group = Arc::new_cyclic(|myself| Self {
            myself: myself.clone(),
            name: object.name.clone(),
            shared,
            state: Mutex::new(State::new(version, object.clone())),
            changed: Condvar::new(),
        });
        group.set_members(&mut group.state(), &object);
        group
    }

    /// Returns a handle for a task of another thread.
    pub(super) fn handle(&self) -> Arc<Self> {
        let handle = self.myself.upgrade();
        handle.expect("a group is only ever reached through its handles")
    }

    /// Returns the group's name.
    pub fn name(&self) -> &GroupName {
        &self.name
    }

    /// Returns the group as last seen.
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
    /// The position must be the primary's own answer to the commit in `term`. Waits of all commits in
    /// flight share one position watch per member.
    pub fn confirm(&self, term: Term, position: Position, deadline: Instant) -> Confirmation {
        let begun_at = self.now();
        self.note_demand(begun_at);
        let mut slow_at = begun_at + CONFIRM_SLOW;
        let mut state = self.state();
        loop {
            if state.tracker.verdict(term, position) == Verdict::Confirmed {
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
                slow_at = now + CONFIRM_SLOW;
                state.progress.look_closely(now);
                drop(state);
                self.ask_everyone();
                state = self.state();
                continue;
            }
            let until = slow_at.min(deadline);
            state = self.wait(state, until.saturating_duration_since(now));
        }
    }

    /// Waits for a primary in a term above `term`.
    pub fn wait_for_primary_above(&self, term: Term, deadline: Instant) -> Option<Arc<GroupView>> {
        let mut state = self.state();
        state.note_used(self.now());
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

    /// Reports that a connection to `member` went silent or broke: evidence, to be checked at once.
    pub fn report_silent(&self, member: &MemberId) {
        log::debug!("{}: connection to {member} went silent", self.name);
        let now = self.now();
        let mut state = self.state();
        state.note_used(now);
        state.progress.look_closely(now);
        drop(state);
        self.ask_everyone();
    }

    /// Asks every member for its status soon.
    pub(super) fn ask_everyone(&self) {
        let members = self.state().callable_members();
        for member in members {
            self.submit_status(member, None);
        }
    }

    /// Takes in a version of the group's object. Older versions change nothing.
    pub(super) fn learn(&self, version: Version, object: GroupObject) {
        let mut state = self.state();
        if version <= state.version {
            return;
        }
        state.version = version;
        if state.object.members != object.members {
            self.set_members(&mut state, &object);
        }
        state.object = object.clone();
        state.touch();
        let news = state.adopt(object.term, &object.primary);
        drop(state);
        self.changed.notify_all();
        if news {
            self.record_primary(object.term, &object.primary, "published by the platform");
        }
    }

    fn set_members(&self, state: &mut State, object: &GroupObject) {
        let network = &self.context().settings.network;
        let mut known = std::mem::take(&mut state.members);
        for member in &object.members {
            let at = known.iter().position(|m| {
                m.member.id == member.id && m.member.control_addr == member.control_addr
            });
            let mut entry = match at {
                Some(at) => known.swap_remove(at),
                None => {
                    let addr = network.reach(member.control_addr);
                    let client = MemberClient::new(self.context().http.clone(), addr);
                    MemberState::new(member.clone(), client)
                }
            };
            entry.member = member.clone();
            state.members.push(entry);
        }
    }

    /// Notes that the data path uses the group, and starts the position watches that it needs.
    pub(super) fn note_demand(&self, now: Instant) {
        let mut state = self.state();
        let was_busy = state.is_busy(now);
        state.note_used(now);
        let primary = state.primary.clone();
        let unwatched = |m: &&mut MemberState| !m.watched && Some(&m.member.id) != primary.as_ref();
        let mut started = Vec::new();
        for member in state.members.iter_mut().filter(unwatched) {
            member.watched = true;
            started.push(member.member.id.clone());
        }
        drop(state);
        for member in started {
            let group = self.handle();
            self.shared.workers.submit(Task::Watch { group, member });
        }
        if !was_busy {
            self.ask_everyone();
        }
    }

    /// Takes in the end of a status call or a watch.
    pub(super) fn take_in(
        &self,
        id: &MemberId,
        asked_at: Instant,
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
                if member.note_failed(asked_at, now, &error) {
                    state.progress.look_closely(now);
                }
                state.touch();
                return;
            }
        };
        member.note_answered(asked_at, now, &status);
        let silent = is_silent(&status);
        let report = report(&status);
        state.tracker.record(&report);
        if silent {
            state.progress.look_closely(now);
        }
        state.progress.note_term(now, report.highest_term());
        if let Some(completed) = round.and_then(|round| state.rounds.record(round, report)) {
            state.ages.record(completed.started_at, completed.floor);
        }
        let news = state.take_terms(&status);
        state.touch();
        drop(state);
        self.changed.notify_all();
        if news {
            self.record_primary(status.term, &status.id, "told by the member itself");
        }
    }

    pub(super) fn record(&self, event: Event) {
        self.context().events.record(event);
    }

    pub(super) fn record_primary(&self, term: Term, primary: &MemberId, evidence: &str) {
        self.record(Event::PrimaryChanged {
            group: self.name.clone(),
            term,
            primary: primary.clone(),
            evidence: evidence.into(),
        });
    }

    /// Looks at the group's timers: polls, samples and suspicion.
    pub(super) fn tick(&self) {
        let rank = self.shared.fleet().home_rank(&self.name);
        let now = self.now();
        let mut state = self.state();
        if rank.is_none() && !state.is_busy(now) {
            return;
        }
        let due = due_polls(&mut state, now, rank.unwrap_or_default());
        let sample = state.ages.is_due(now);
        drop(state);
        for member in due {
            self.submit_status(member, None);
        }
        if sample {
            self.start_round();
        }
        if let Some(rank) = rank {
            self.watch_primary(rank);
        }
    }

    /// Asks a member for its status soon. The call was counted by whoever chose the member.
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

/// Returns whether a replica has missed its primary for longer than one lost packet explains.
fn is_silent(status: &MemberStatus) -> bool {
    let silence = Duration::from_millis(status.primary_silent_ms);
    status.role == MemberRole::Replica && silence >= SILENCE_WHEN_REFUSED
}

/// Chooses the members to be asked for their status now, and counts a call to each.
///
/// In calm times the homes of a group share the work: each asks one member at a time, beginning at
/// its rank.
fn due_polls(state: &mut State, now: Instant, rank: u32) -> Vec<MemberId> {
    let troubled = state.progress.is_troubled(now) || state.primary.is_none();
    let unknown = state.members.iter().any(|member| member.status.is_none());
    let interval = match troubled || unknown {
        true => POLL_TROUBLED,
        false => POLL_CALM,
    };
    if state.polled_at.is_some_and(|at| now < at + interval) {
        return Vec::new();
    }
    state.polled_at = Some(now);
    state.polls += 1;
    let turn = (state.polls + rank as usize) % state.members.len().max(1);
    let is_due = |(at, member): &(usize, &mut MemberState)| {
        member.calls < POLLS_MAX && (troubled || unknown || *at == turn)
    };
    let members = state.members.iter_mut().enumerate().filter(is_due);
    members
        .map(|(_, state)| {
            state.calls += 1;
            state.member.id.clone()
        })
        .collect()
}
