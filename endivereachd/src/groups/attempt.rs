//! One attempt to replace a primary, from fencing the members to redirecting the replicas.

use super::control::ControlCall;
use super::control::Operation;
use super::control::ReplyTo;
use super::group::Group;
use super::member::report;
use endivereach_core::confirm::Report;
use endivereach_core::handover;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::Term;
use endivereach_core::promotion::Action;
use endivereach_core::promotion::Answer;
use endivereach_core::promotion::Call;
use endivereach_core::promotion::Outcome;
use endivereach_core::promotion::Promoter;
use endivereach_wire::member::MemberClient;
use std::sync::Arc;
use std::sync::mpsc;
use std::time::Duration;
use std::time::Instant;

/// The time limit for one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(3);

/// The interval between two polls of the replicas while one of them catches up.
const CATCH_UP_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Why a primary is being replaced.
#[derive(Clone, Debug)]
pub(super) struct Cause {
    /// A description of the observations, for the event log.
    pub(super) evidence: Box<str>,
    /// How long the primary had been silent when the evidence became sufficient.
    pub(super) detection_delay: Duration,
    /// When the evidence became sufficient.
    pub(super) suspected_at: Instant,
    /// Members that should not become the primary.
    pub(super) avoid: Vec<MemberId>,
    /// The primary to fence before the other members, so that a replica can catch up with it.
    pub(super) fence_first: Option<MemberId>,
}

/// One attempt to replace a primary.
pub(super) struct Attempt {
    pub(super) group: Arc<Group>,
    /// The term to use, or `None` when a new term must be requested from the platform first.
    pub(super) term: Option<Term>,
    pub(super) cause: Cause,
}

/// The result of a control call of an attempt.
pub(super) struct ControlResult {
    pub(super) member: usize,
    pub(super) call: Call,
    pub(super) answer: Answer,
}

impl Attempt {
    /// Runs the attempt until it succeeds or fails.
    pub(super) fn run(self) {
        let group = Arc::clone(&self.group);
        let term = self.term.or_else(|| group.request_new_term());
        if let Some(term) = term {
            let agreement_time = group
                .now()
                .saturating_duration_since(self.cause.suspected_at);
            group.record_phase(term, "noticing", self.cause.detection_delay);
            group.record_phase(term, "agreeing", agreement_time);
            let members = group.control_clients();
            if self.fence_and_catch_up(term, &members) {
                self.run_promoter(term, &members);
            }
        }
        group.state().progress.end_attempt();
    }

    /// Fences the primary of a planned change and waits for a replica to catch up with it.
    ///
    /// Returns `false` when the attempt must end because a member has seen a higher term.
    fn fence_and_catch_up(&self, term: Term, members: &[(MemberId, MemberClient)]) -> bool {
        let Some(primary) = &self.cause.fence_first else {
            return true;
        };
        let group = &self.group;
        let started_at = group.now();
        let Some((_, client)) = members.iter().find(|(id, _)| id == primary) else {
            return true;
        };
        let log_end = match super::control::fence(client, term) {
            Ok(log_end) => log_end,
            Err(Answer::Stale) => return false,
            Err(_) => return true,
        };
        while group.now() < started_at + handover::CATCH_UP_TIMEOUT {
            if handover::is_caught_up(log_end, &group.candidate_reports(&self.cause.avoid)) {
                break;
            }
            group.poll_all_members();
            drop(group.wait(group.state(), CATCH_UP_POLL_INTERVAL));
        }
        group.record_phase(term, "catching up", group.now() - started_at);
        true
    }

    fn run_promoter(&self, term: Term, members: &[(MemberId, MemberClient)]) {
        let group = &self.group;
        let started_at = group.now();
        let is_avoided = |index: &usize| self.cause.avoid.contains(&members[*index].0);
        let all: Vec<usize> = (0..members.len()).collect();
        let avoid = all.iter().copied().filter(is_avoided).collect();
        let (mut promoter, mut actions) = Promoter::start(term, all, avoid);
        let (sender, results) = mpsc::channel();
        let mut fenced_at = None;
        loop {
            if fenced_at.is_none() && promoter.is_promoting() {
                fenced_at = Some(group.now());
                group.record_phase(term, "fencing", group.now() - started_at);
            }
            for action in actions {
                match action {
                    Action::Call { call, member } => {
                        let sender = sender.clone();
                        self.submit(
                            term,
                            &members[member].1,
                            ReplyTo {
                                sender,
                                member,
                                call,
                            },
                        );
                    }
                    Action::Follow { member, primary } => {
                        let primary = members[primary].0.clone();
                        group.submit_follow(members[member].1.clone(), term, primary);
                    }
                    Action::Finish(outcome) => self.finish(term, outcome, members, fenced_at),
                }
            }
            if promoter.is_finished() {
                return;
            }
            let remaining = (started_at + ATTEMPT_TIMEOUT).saturating_duration_since(group.now());
            actions = match results.recv_timeout(remaining) {
                Ok(result) => promoter.step(result.member, result.call, result.answer),
                Err(_) => promoter.abort(),
            };
        }
    }

    fn submit(&self, term: Term, client: &MemberClient, reply: ReplyTo) {
        let operation = match reply.call {
            Call::Fence => Operation::Fence,
            Call::Promote => Operation::Promote,
        };
        self.group.submit_control(ControlCall {
            client: client.clone(),
            term,
            operation,
            reply_to: Some(reply),
        });
    }

    fn finish(
        &self,
        term: Term,
        outcome: Outcome<usize>,
        members: &[(MemberId, MemberClient)],
        fenced_at: Option<Instant>,
    ) {
        let group = &self.group;
        match outcome {
            Outcome::Promoted(member) => {
                let primary = &members[member].0;
                let since = fenced_at.unwrap_or_else(|| group.now());
                group.record_phase(term, "promoting", group.now() - since);
                if group.state().adopt_primary(term, primary) {
                    group.record_primary(term, primary, &self.cause.evidence);
                }
                group.notify();
            }
            Outcome::Superseded => log::info!(
                "{}: promotion in term {term} stopped because a higher term is in use",
                group.name()
            ),
            Outcome::Failed => log::warn!(
                "{}: promotion in term {term} failed; a retry needs another term",
                group.name()
            ),
        }
    }
}

impl Group {
    fn control_clients(&self) -> Vec<(MemberId, MemberClient)> {
        let state = self.state();
        let clients = state.members.iter();
        clients
            .map(|m| (m.member.id.clone(), m.client.clone()))
            .collect()
    }

    /// Returns the last reports of the members that may become the primary.
    fn candidate_reports(&self, avoid: &[MemberId]) -> Vec<Report<MemberId>> {
        let state = self.state();
        let candidates = state
            .members
            .iter()
            .filter(|m| !avoid.contains(&m.member.id));
        candidates
            .filter_map(|m| m.status.as_ref().map(report))
            .collect()
    }

    fn record_phase(&self, term: Term, phase: &str, took: Duration) {
        self.record_event(endivereach_core::event::Event::PromotionPhase {
            group: self.name().clone(),
            term,
            phase: phase.into(),
            took_ms: took.as_millis() as u64,
        });
    }
}
