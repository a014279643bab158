//! One member of a group as this proxy sees it, and the calls that update this view.

use super::group::Group;
use super::view::MemberView;
use endivereach_core::clock::Clock;
use endivereach_core::confirm::Report;
use endivereach_core::directory::Member;
use endivereach_core::failure_detection::Reachability;
use endivereach_core::ids::MemberId;
use endivereach_wire::http::CallError;
use endivereach_wire::member::MemberClient;
use endivereach_wire::member::MemberRole;
use endivereach_wire::member::MemberStatus;
use endivereach_wire::member::WatchPosition;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// The timeout of a status call, long enough for TCP to retransmit one lost packet, and the
/// additional timeout of a position watch beyond its `WATCH_WAIT_MAX`.
pub(super) const STATUS_TIMEOUT: Duration = Duration::from_millis(450);

/// How long one position watch waits at the member for a change.
const WATCH_WAIT_MAX: Duration = Duration::from_secs(1);

/// The delay after a failed position watch.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A call that fails within this time was refused or its connection broke; it did not time out.
/// A member whose call is unanswered for longer counts as silent.
const REFUSAL_TIME_MAX: Duration = Duration::from_millis(200);

/// The maximum number of status calls in flight to one member.
pub(super) const CALLS_IN_FLIGHT_MAX: u32 = 8;

/// The last answers and failures of one member.
pub(super) struct MemberState {
    pub(super) member: Member,
    pub(super) client: MemberClient,
    pub(super) status: Option<MemberStatus>,
    /// When the call that returned `status` was made.
    pub(super) status_requested_at: Option<Instant>,
    /// When the last answer arrived.
    pub(super) answered_at: Option<Instant>,
    /// When the first call that is still unanswered was made.
    unanswered_since: Option<Instant>,
    /// When connections began to be refused, or `None` if the member has answered since.
    refused_since: Option<Instant>,
    /// Whether the most recent call failed.
    has_failed: bool,
    pub(super) calls_in_flight: u32,
    pub(super) is_watched: bool,
}

impl MemberState {
    pub(super) fn new(member: Member, client: MemberClient) -> Self {
        Self {
            member,
            client,
            status: None,
            status_requested_at: None,
            answered_at: None,
            unanswered_since: None,
            refused_since: None,
            has_failed: false,
            calls_in_flight: 0,
            is_watched: false,
        }
    }

    pub(super) fn view(&self) -> MemberView {
        MemberView {
            member: self.member.clone(),
            status: self.status.clone(),
            status_requested_at: self.status_requested_at,
            reachable: self.status.is_some() && self.refused_since.is_none(),
        }
    }

    /// Returns whether calls to the member are answered, refused or unanswered, and for how long.
    pub(super) fn reachability(&self, now: Instant) -> Reachability {
        if let Some(since) = self.refused_since {
            return Reachability::Refused(now.saturating_duration_since(since));
        }
        match self.unanswered_since {
            Some(since) if now.saturating_duration_since(since) > REFUSAL_TIME_MAX => {
                Reachability::Unanswered(now.saturating_duration_since(since))
            }
            _ => Reachability::Responding,
        }
    }

    pub(super) fn record_call(&mut self, now: Instant) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Records a failed call, and returns whether the call before it had succeeded.
    pub(super) fn record_failure(
        &mut self,
        status_requested_at: Instant,
        now: Instant,
        error: &CallError,
    ) -> bool {
        let failed_before = self.has_failed;
        self.has_failed = true;
        let quick = now.saturating_duration_since(status_requested_at) < REFUSAL_TIME_MAX;
        if quick && matches!(error, CallError::NoAnswer { .. }) {
            self.refused_since.get_or_insert(now);
        }
        !failed_before
    }

    pub(super) fn record_answer(
        &mut self,
        status_requested_at: Instant,
        now: Instant,
        status: &MemberStatus,
    ) {
        // An answer to an older call doesn't show that calls made after it are answered.
        if self
            .unanswered_since
            .is_some_and(|since| status_requested_at >= since)
        {
            self.unanswered_since = None;
        }
        self.refused_since = None;
        self.has_failed = false;
        self.answered_at = Some(now);
        if self
            .status_requested_at
            .is_none_or(|known| status_requested_at >= known)
        {
            self.status_requested_at = Some(status_requested_at);
            self.status = Some(status.clone());
        }
    }

    fn watch_request(&self) -> WatchPosition {
        let mut request = WatchPosition {
            durable: Default::default(),
            applied: Default::default(),
            term: Default::default(),
            fenced_term: Default::default(),
            wait_ms: WATCH_WAIT_MAX.as_millis() as u64,
        };
        if let Some(status) = &self.status {
            request.durable = status.durable;
            request.applied = status.applied;
            request.term = status.term;
            request.fenced_term = status.fenced_term;
        }
        request
    }
}

/// Converts a member's status to the report that confirmation and promotion use.
pub(super) fn report(status: &MemberStatus) -> Report<MemberId> {
    Report {
        member: status.id.clone(),
        is_primary: status.role == MemberRole::Primary,
        term: status.term,
        fenced_term: status.fenced_term,
        durable: status.durable,
    }
}

impl Group {
    /// Requests a member's status and processes the answer.
    pub(super) fn poll_status(&self, id: &MemberId, round: Option<u64>) {
        let Some((client, status_requested_at)) = self.begin_call(id) else {
            return;
        };
        self.shared().calls.statuses.fetch_add(1, Ordering::Relaxed);
        let result = client.status(STATUS_TIMEOUT);
        self.end_call(id, status_requested_at, result, round);
    }

    /// Watches a member's position until the group is idle or the member becomes the primary.
    pub(super) fn watch(&self, id: &MemberId) {
        while let Some((client, request)) = self.next_watch(id) {
            let status_requested_at = self.now();
            self.shared().calls.watches.fetch_add(1, Ordering::Relaxed);
            let result = client.watch(&request, STATUS_TIMEOUT);
            let failed = result.is_err();
            self.end_watch(id, status_requested_at, result);
            if failed {
                thread::sleep(WATCH_RETRY_DELAY);
            }
        }
    }

    fn begin_call(&self, id: &MemberId) -> Option<(MemberClient, Instant)> {
        let now = self.now();
        let mut state = self.state();
        let member = state.member_mut(id)?;
        member.record_call(now);
        Some((member.client.clone(), now))
    }

    fn end_call(
        &self,
        id: &MemberId,
        status_requested_at: Instant,
        result: Result<MemberStatus, CallError>,
        round: Option<u64>,
    ) {
        if let Some(member) = self.state().member_mut(id) {
            member.calls_in_flight = member.calls_in_flight.saturating_sub(1);
        }
        self.record_call_result(id, status_requested_at, result, round);
    }

    fn next_watch(&self, id: &MemberId) -> Option<(MemberClient, WatchPosition)> {
        let now = self.now();
        let stopped = self.is_stopped();
        let mut state = self.state();
        let needed = !stopped && state.is_busy(now) && state.primary.as_ref() != Some(id);
        let member = state.member_mut(id)?;
        if !needed {
            member.is_watched = false;
            return None;
        }
        Some((member.client.clone(), member.watch_request()))
    }

    fn end_watch(
        &self,
        id: &MemberId,
        status_requested_at: Instant,
        result: Result<MemberStatus, CallError>,
    ) {
        // A watch waits by design, so only a failed one counts as an unanswered call.
        if result.is_err() {
            let mut state = self.state();
            if let Some(member) = state.member_mut(id) {
                member.record_call(status_requested_at);
            }
        }
        self.record_call_result(id, status_requested_at, result, None);
    }

    /// Returns the current time.
    pub(super) fn now(&self) -> Instant {
        self.context().clock.now()
    }
}
