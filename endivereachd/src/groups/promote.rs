//! Watching a group's primary, and deciding when this proxy replaces it.

use super::attempt::Attempt;
use super::attempt::Cause;
use super::directory::Update;
use super::group::Group;
use super::member::MemberState;
use super::member::report;
use super::state::State;
use super::tasks::Task;
use endivereach_core::grants;
use endivereach_core::handover;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::ProxyId;
use endivereach_core::ids::Term;
use endivereach_core::suspicion::Evidence;
use endivereach_core::suspicion::Reach;
use std::time::Duration;
use std::time::Instant;

/// How long the holder of an earlier grant gets before the next one acts.
const TAKEOVER: Duration = Duration::from_millis(700);

/// How long the holders of standing grants get before a term is taken from the platform.
const FRESH_TERM_AFTER: Duration = Duration::from_millis(1500);

/// How much longer each further home waits before it takes a term from the platform.
const FRESH_TERM_STEP: Duration = Duration::from_millis(300);

/// How old a member's report may be to count as evidence.
const REPORT_AGE_MAX: Duration = Duration::from_millis(400);

/// How long members are asked often after a sign of trouble.
const CLOSE_LOOK: Duration = Duration::from_secs(2);

/// How long a member may be left behind before a promotion takes it in again.
const LEFT_BEHIND_MAX: Duration = Duration::from_secs(5);

/// What this proxy knows and does about replacing a group's primary.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// When the evidence became enough, without a change since.
    suspected_since: Option<Instant>,
    /// Since when a planned change is wanted.
    planned_since: Option<Instant>,
    /// Until when members are asked often.
    closely_until: Option<Instant>,
    /// The highest term seen anywhere, and when it was first seen.
    seen: Option<(Term, Instant)>,
    /// The highest term that this process has used.
    used_up_to: Term,
    /// Whether an attempt of this process is under way.
    running: bool,
    /// When a term was last asked for at the platform.
    asked_for_term_at: Option<Instant>,
}

impl Progress {
    pub(super) fn look_closely(&mut self, now: Instant) {
        self.closely_until = Some(now + CLOSE_LOOK);
    }

    pub(super) fn is_troubled(&self, now: Instant) -> bool {
        self.running || self.closely_until.is_some_and(|until| now < until)
    }

    pub(super) fn is_running(&self) -> bool {
        self.running
    }

    pub(super) fn end_attempt(&mut self) {
        self.running = false;
        self.suspected_since = None;
        self.planned_since = None;
    }

    /// Returns the highest term that this process has used.
    pub(super) fn used_up_to(&self) -> Term {
        self.used_up_to
    }

    /// Returns whether this process used `term`.
    pub(super) fn has_promoted_in(&self, term: Term) -> bool {
        self.used_up_to == term
    }

    pub(super) fn note_term(&mut self, now: Instant, term: Term) {
        if self.seen.is_none_or(|(known, _)| term > known) {
            self.seen = Some((term, now));
        }
    }

    /// Returns whether somebody else's attempt in a term above `term` may still be under way.
    fn is_someone_active(&self, now: Instant, term: Term) -> bool {
        let recent = |at| now < at + TAKEOVER;
        self.seen
            .is_some_and(|(seen, at)| seen > term && recent(at))
    }
}

/// What the watch over a primary decided.
enum Decision {
    Nothing,
    Use(Term),
    AskPlatform,
}

impl State {
    /// Collects the evidence against the primary. `None` without a primary to suspect.
    fn evidence(&self, now: Instant) -> Option<Evidence> {
        let primary = self.primary.as_ref()?;
        let reach = self.member(primary)?.reach(now);
        // A replica that is fenced hears nothing either, so it counts as long as it is in this term.
        let counts = |m: &&MemberState| {
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
            reach,
            silences: self.members.iter().filter(counts).map(silence).collect(),
        })
    }

    /// Returns the cause for a failover, once the evidence is enough.
    fn failure(&mut self, now: Instant) -> Option<Cause> {
        let evidence = self.evidence(now);
        let enough =
            self.is_refused() || evidence.as_ref().is_some_and(Evidence::justifies_promotion);
        if !enough {
            self.progress.suspected_since = None;
            if evidence.is_some_and(|e| !matches!(e.reach, Reach::Answers)) {
                self.progress.look_closely(now);
            }
            return None;
        }
        self.progress.look_closely(now);
        let suspected_at = *self.progress.suspected_since.get_or_insert(now);
        let silence = evidence.as_ref().map(Evidence::majority_silence);
        Some(Cause {
            noticed_after: silence.unwrap_or_default(),
            evidence: match &evidence {
                Some(evidence) => evidence.describe(),
                None => "a majority refuses the primary's term, and no other was promoted".into(),
            },
            suspected_at,
            // A primary that is cut off from its group may well have the longest log.
            avoid: self.leaving().chain(self.primary.clone()).collect(),
            fence_first: None,
        })
    }

    /// Returns the cause for a planned change, once it is wanted and a replica is close enough.
    fn plan(&mut self, now: Instant) -> Option<Cause> {
        let primary = self.primary.clone()?;
        let leaves = handover::is_needed(&self.object, &primary);
        if !leaves && !self.is_someone_left_behind() {
            self.progress.planned_since = None;
            return None;
        }
        let since = *self.progress.planned_since.get_or_insert(now);
        if !leaves && now < since + LEFT_BEHIND_MAX {
            return None;
        }
        let end = self.member(&primary)?.status.as_ref()?.durable;
        let replicas = self.members.iter().filter(|m| {
            let avoided = leaves && m.member.leaving;
            m.member.id != primary && !avoided
        });
        let reports: Vec<_> = replicas
            .filter_map(|m| m.status.as_ref().map(report))
            .collect();
        if !handover::is_within_lag_limit(self.term, end, &reports) {
            return None;
        }
        let evidence = match leaves {
            true => "the primary is leaving",
            false => "a member was left behind in a higher term",
        };
        Some(Cause {
            evidence: evidence.into(),
            noticed_after: Duration::ZERO,
            suspected_at: if leaves {
                since
            } else {
                since + LEFT_BEHIND_MAX
            },
            avoid: self.leaving().collect(),
            fence_first: Some(primary),
        })
    }

    fn is_someone_left_behind(&self) -> bool {
        let reports = self
            .members
            .iter()
            .filter_map(|m| m.status.as_ref().map(report));
        reports
            .into_iter()
            .any(|r| handover::is_fenced_above(self.term, &r))
    }

    fn leaving(&self) -> impl Iterator<Item = MemberId> + '_ {
        let leaving = self.members.iter().filter(|m| m.member.leaving);
        leaving.map(|m| m.member.id.clone())
    }

    /// Decides whether it is this proxy's turn, given since when somebody's turn it is.
    fn decide(&mut self, now: Instant, since: Instant, me: &ProxyId, rank: u32) -> Decision {
        if self.progress.running || self.progress.is_someone_active(now, self.term) {
            return Decision::Nothing;
        }
        let above = self.highest_term().max(self.progress.used_up_to);
        let waited = now.saturating_duration_since(since);
        if let Some(term) = grants::lowest_usable_term(&self.object.grants, me, above) {
            let earlier = grants::rank(&self.object.grants, me, above).unwrap_or_default();
            if waited < TAKEOVER * earlier as u32 {
                return Decision::Nothing;
            }
            self.progress.used_up_to = term;
            return Decision::Use(term);
        }
        let standing = self.object.grants.iter().any(|grant| grant.term > above);
        let holders = if standing {
            FRESH_TERM_AFTER
        } else {
            Duration::ZERO
        };
        let pause = FRESH_TERM_STEP * (rank + 1);
        let asked = self.progress.asked_for_term_at;
        if waited < holders + FRESH_TERM_STEP * rank || asked.is_some_and(|at| now < at + pause) {
            return Decision::Nothing;
        }
        self.progress.asked_for_term_at = Some(now);
        Decision::AskPlatform
    }
}

impl Group {
    /// Weighs the evidence against the primary, and acts when it is this proxy's turn.
    pub(super) fn watch_primary(&self, rank: u32) {
        let now = self.now();
        let mut state = self.state();
        if state.progress.running {
            return;
        }
        let Some(cause) = state.failure(now).or_else(|| state.plan(now)) else {
            return;
        };
        let term = match state.decide(now, cause.suspected_at, &self.context().id, rank) {
            Decision::Nothing => return,
            Decision::Use(term) => Some(term),
            Decision::AskPlatform => None,
        };
        state.progress.running = true;
        drop(state);
        let group = self.handle();
        let attempt = Attempt { group, term, cause };
        self.shared().workers.submit(Task::Promote(attempt));
    }

    /// Takes a term from the platform by a conditional update, and returns it for use.
    pub(super) fn take_fresh_term(&self) -> Option<Term> {
        let shared = self.shared();
        let name = self.name().as_str();
        shared.directory.refresh(shared, name).ok()?;
        let (version, mut object) = self.object();
        let above = {
            let state = self.state();
            state.highest_term().max(state.progress.used_up_to)
        };
        object.granted_up_to = object.granted_up_to.max(above);
        let (next, term) = grants::add(&object, &self.context().id);
        match shared.directory.update(shared, version, next) {
            Update::Stored => {
                self.state().progress.used_up_to = term;
                Some(term)
            }
            Update::Conflict | Update::Unknown => None,
        }
    }
}
