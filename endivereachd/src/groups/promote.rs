//! Monitors a group's primary and decides when this proxy replaces it.

use super::attempt::Attempt;
use super::attempt::Cause;
use super::directory::UpdateOutcome;
use super::group::Group;
use super::member::MemberState;
use super::member::report;
use super::state::State;
use super::tasks::Task;
use endivereach_core::failure_detection::Evidence;
use endivereach_core::failure_detection::Reachability;
use endivereach_core::grants;
use endivereach_core::handover;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::ProxyId;
use endivereach_core::ids::Term;
use std::time::Duration;
use std::time::Instant;

/// The delay before a grant is used, for each unused grant of a lower term, whose holder acts
/// first.
const GRANT_TAKEOVER_DELAY: Duration = Duration::from_millis(700);

/// How long to wait for the holders of unused grants before requesting a term from the platform.
const NEW_TERM_DELAY: Duration = Duration::from_millis(1500);

/// The additional delay per rank before a home requests a term from the platform.
const NEW_TERM_DELAY_PER_RANK: Duration = Duration::from_millis(300);

/// The maximum age of a member's report that counts as evidence.
const REPORT_AGE_MAX: Duration = Duration::from_millis(400);

/// How long members are polled at the short interval after the last sign of a fault.
const FAST_POLLING_DURATION: Duration = Duration::from_secs(2);

/// How long a member may stay fenced above the current term before a promotion readmits it.
const LEFT_BEHIND_TIMEOUT: Duration = Duration::from_secs(5);

/// The progress of detecting a failed primary and of replacing it.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// When the evidence became sufficient, or `None` while it is insufficient.
    suspected_since: Option<Instant>,
    /// When a planned change became necessary, or `None` if there is no reason for one.
    handover_wanted_since: Option<Instant>,
    /// When polling at the short interval ends.
    fast_polling_until: Option<Instant>,
    /// The highest term that any member reported, and when it was first reported.
    highest_seen_term: Option<(Term, Instant)>,
    /// The highest term in which this process attempted a promotion.
    highest_used_term: Term,
    /// Whether this process is attempting a promotion.
    is_attempt_running: bool,
    /// When a term was last requested from the platform.
    term_requested_at: Option<Instant>,
}

impl Progress {
    pub(super) fn start_fast_polling(&mut self, now: Instant) {
        self.fast_polling_until = Some(now + FAST_POLLING_DURATION);
    }

    pub(super) fn needs_fast_polling(&self, now: Instant) -> bool {
        self.is_attempt_running || self.fast_polling_until.is_some_and(|until| now < until)
    }

    pub(super) fn is_attempt_running(&self) -> bool {
        self.is_attempt_running
    }

    pub(super) fn end_attempt(&mut self) {
        self.is_attempt_running = false;
        self.suspected_since = None;
        self.handover_wanted_since = None;
    }

    /// Returns the highest term that this process has used.
    pub(super) fn highest_used_term(&self) -> Term {
        self.highest_used_term
    }

    /// Returns whether the latest promotion attempt of this process was in `term`.
    pub(super) fn has_attempted_in(&self, term: Term) -> bool {
        self.highest_used_term == term
    }

    pub(super) fn record_term(&mut self, now: Instant, term: Term) {
        if self.highest_seen_term.is_none_or(|(known, _)| term > known) {
            self.highest_seen_term = Some((term, now));
        }
    }

    /// Returns whether another proxy may still be attempting a promotion in a term above `term`.
    fn is_other_attempt_recent(&self, now: Instant, term: Term) -> bool {
        let recent = |at| now < at + GRANT_TAKEOVER_DELAY;
        self.highest_seen_term
            .is_some_and(|(seen, at)| seen > term && recent(at))
    }
}

/// The decision about acting on evidence against the primary.
enum Decision {
    Wait,
    UseGrant(Term),
    RequestTerm,
}

impl State {
    /// Returns the evidence against the primary, or `None` when no primary is known.
    fn evidence(&self, now: Instant) -> Option<Evidence> {
        let primary = self.primary.as_ref()?;
        let reachability = self.member(primary)?.reachability(now);
        // A fenced replica receives nothing from the primary either, so its silence counts while
        // the replica is in this term.
        let is_counted = |m: &&MemberState| {
            let recent = m.answered_at.is_some_and(|at| now < at + REPORT_AGE_MAX);
            let follows = m.status.as_ref().is_some_and(|s| s.term == self.term);
            &m.member.id != primary && recent && follows
        };
        let silence = |m: &MemberState| {
            let silent_ms = m.status.as_ref().map(|s| s.primary_silent_ms);
            Duration::from_millis(silent_ms.unwrap_or_default())
        };
        Some(Evidence {
            members: self.members.len(),
            reachability,
            silences: self
                .members
                .iter()
                .filter(is_counted)
                .map(silence)
                .collect(),
        })
    }

    /// Returns the cause for a failover, or `None` while the evidence is insufficient.
    fn failover_cause(&mut self, now: Instant) -> Option<Cause> {
        let evidence = self.evidence(now);
        let is_sufficient =
            self.is_refused() || evidence.as_ref().is_some_and(Evidence::justifies_promotion);
        if !is_sufficient {
            self.progress.suspected_since = None;
            if evidence.is_some_and(|e| !matches!(e.reachability, Reachability::Responding)) {
                self.progress.start_fast_polling(now);
            }
            return None;
        }
        self.progress.start_fast_polling(now);
        let suspected_at = *self.progress.suspected_since.get_or_insert(now);
        let silence = evidence.as_ref().map(Evidence::majority_silence);
        Some(Cause {
            detection_delay: silence.unwrap_or_default(),
            evidence: match &evidence {
                Some(evidence) => evidence.describe(),
                None => "a majority refuses the primary's term, and no other was promoted".into(),
            },
            suspected_at,
            // A primary that is partitioned from its group may have the longest log.
            avoid: self.leaving_members().chain(self.primary.clone()).collect(),
            fence_first: None,
        })
    }

    /// Returns the cause for a planned change, once one is due and a replica's lag is small enough.
    fn handover_cause(&mut self, now: Instant) -> Option<Cause> {
        let primary = self.primary.clone()?;
        let is_leaving = handover::is_needed(&self.object, &primary);
        if !is_leaving && !self.has_left_behind_member() {
            self.progress.handover_wanted_since = None;
            return None;
        }
        let since = *self.progress.handover_wanted_since.get_or_insert(now);
        if !is_leaving && now < since + LEFT_BEHIND_TIMEOUT {
            return None;
        }
        let end = self.member(&primary)?.status.as_ref()?.durable;
        let replicas = self.members.iter().filter(|m| {
            let avoided = is_leaving && m.member.leaving;
            m.member.id != primary && !avoided
        });
        let reports: Vec<_> = replicas
            .filter_map(|m| m.status.as_ref().map(report))
            .collect();
        if !handover::is_within_lag_limit(self.term, end, &reports) {
            return None;
        }
        let evidence = match is_leaving {
            true => "the primary is leaving",
            false => "a member was left behind in a higher term",
        };
        Some(Cause {
            evidence: evidence.into(),
            detection_delay: Duration::ZERO,
            suspected_at: if is_leaving {
                since
            } else {
                since + LEFT_BEHIND_TIMEOUT
            },
            avoid: self.leaving_members().collect(),
            fence_first: Some(primary),
        })
    }

    fn has_left_behind_member(&self) -> bool {
        let reports = self
            .members
            .iter()
            .filter_map(|m| m.status.as_ref().map(report));
        reports
            .into_iter()
            .any(|r| handover::is_fenced_above(self.term, &r))
    }

    fn leaving_members(&self) -> impl Iterator<Item = MemberId> + '_ {
        let leaving = self.members.iter().filter(|m| m.member.leaving);
        leaving.map(|m| m.member.id.clone())
    }

    /// Decides whether this proxy acts now on a cause that has existed since `since`.
    fn decide(&mut self, now: Instant, since: Instant, own_id: &ProxyId, rank: u32) -> Decision {
        if self.progress.is_attempt_running || self.progress.is_other_attempt_recent(now, self.term)
        {
            return Decision::Wait;
        }
        let highest_known_term = self.highest_term().max(self.progress.highest_used_term);
        let waited = now.saturating_duration_since(since);
        if let Some(term) =
            grants::lowest_usable_term(&self.object.grants, own_id, highest_known_term)
        {
            let earlier_grants =
                grants::rank(&self.object.grants, own_id, highest_known_term).unwrap_or_default();
            if waited < GRANT_TAKEOVER_DELAY * earlier_grants as u32 {
                return Decision::Wait;
            }
            self.progress.highest_used_term = term;
            return Decision::UseGrant(term);
        }
        let has_unused_grants = self
            .object
            .grants
            .iter()
            .any(|grant| grant.term > highest_known_term);
        let holder_delay = if has_unused_grants {
            NEW_TERM_DELAY
        } else {
            Duration::ZERO
        };
        let request_interval = NEW_TERM_DELAY_PER_RANK * (rank + 1);
        let requested_at = self.progress.term_requested_at;
        if waited < holder_delay + NEW_TERM_DELAY_PER_RANK * rank
            || requested_at.is_some_and(|at| now < at + request_interval)
        {
            return Decision::Wait;
        }
        self.progress.term_requested_at = Some(now);
        Decision::RequestTerm
    }
}

impl Group {
    /// Evaluates the evidence against the primary, and starts an attempt when this proxy should
    /// act.
    pub(super) fn check_primary(&self, rank: u32) {
        let now = self.now();
        let mut state = self.state();
        if state.progress.is_attempt_running {
            return;
        }
        let Some(cause) = state
            .failover_cause(now)
            .or_else(|| state.handover_cause(now))
        else {
            return;
        };
        let term = match state.decide(now, cause.suspected_at, &self.context().id, rank) {
            Decision::Wait => return,
            Decision::UseGrant(term) => Some(term),
            Decision::RequestTerm => None,
        };
        state.progress.is_attempt_running = true;
        drop(state);
        let group = self.handle();
        let attempt = Attempt { group, term, cause };
        self.shared().workers.submit(Task::Promote(attempt));
    }

    /// Obtains a new term from the platform by a conditional update, and returns it.
    pub(super) fn request_new_term(&self) -> Option<Term> {
        let shared = self.shared();
        let name = self.name().as_str();
        shared.directory.refresh(shared, name).ok()?;
        let (version, mut object) = self.object();
        let highest_known_term = {
            let state = self.state();
            state.highest_term().max(state.progress.highest_used_term)
        };
        object.granted_up_to = object.granted_up_to.max(highest_known_term);
        let (next, term) = grants::with_grant(&object, &self.context().id);
        match shared.directory.update(shared, version, next) {
            UpdateOutcome::Stored => {
                self.state().progress.highest_used_term = term;
                Some(term)
            }
            UpdateOutcome::Conflict | UpdateOutcome::Unknown => None,
        }
    }
}
