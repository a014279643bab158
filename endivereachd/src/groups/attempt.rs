//! One attempt to replace a primary, from the first fence to the new primary's followers.

use super::control::ControlCall;
use super::control::Reply;
use super::control::Request;
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

/// How long an attempt may take.
const ATTEMPT_MAX: Duration = Duration::from_secs(3);

/// How often replicas are asked how far they have caught up.
const CATCH_UP_POLL: Duration = Duration::from_millis(5);

/// Why a primary is being replaced.
#[derive(Clone, Debug)]
pub(super) struct Cause {
    /// What was seen.
    pub(super) evidence: Box<str>,
    /// The silence that was seen when the evidence became enough.
    pub(super) noticed_after: Duration,
    /// When the evidence became enough.
    pub(super) suspected_at: Instant,
    /// Members that should not lead.
    pub(super) avoid: Vec<MemberId>,
    /// The primary to be fenced first, so that a replica can catch up with it.
    pub(super) fence_first: Option<MemberId>,
}

/// One attempt to replace a primary.
pub(super) struct Attempt {
    pub(super) group: Arc<Group>,
    /// The term to use, or `None` when it must be taken from the platform first.
    pub(super) term: Option<Term>,
    pub(super) cause: Cause,
}

/// The end of a control call.
pub(super) struct Ended {
    pub(super) member: usize,
    pub(super) call: Call,
    pub(super) answer: Answer,
}

impl Attempt {
    /// Runs the attempt to its end.
    pub(super) fn run(self) {
        let group = Arc::clone(&self.group);
        let term = self.term.or_else(|| group.take_fresh_term());
        if let Some(term) = term {
            let agreed = group
                .now()
                .saturating_duration_since(self.cause.suspected_at);
            group.record_phase(term, "noticing", self.cause.noticed_after);
            group.record_phase(term, "agreeing", agreed);
            let members = group.control_clients();
            if self.settle(term, &members) {
                self.drive(term, &members);
            }
        }
        group.state().progress.end_attempt();
    }

    /// Fences a primary that can be waited for, and lets a replica catch up with it.
    ///
    /// Returns whether the attempt goes on: not when its term was overtaken.
    fn settle(&self, term: Term, members: &[(MemberId, MemberClient)]) -> bool {
        let Some(primary) = &self.cause.fence_first else {
            return true;
        };
        let group = &self.group;
        let started_at = group.now();
        let Some((_, client)) = members.iter().find(|(id, _)| id == primary) else {
            return true;
        };
        let end = match super::control::fence(client, term) {
            Ok(end) => end,
            Err(Answer::Stale) => return false,
            Err(_) => return true,
        };
        while group.now() < started_at + handover::CATCH_UP_TIMEOUT {
            if handover::is_caught_up(end, &group.successors(&self.cause.avoid)) {
                break;
            }
            group.ask_everyone();
            drop(group.wait(group.state(), CATCH_UP_POLL));
        }
        group.record_phase(term, "catching up", group.now() - started_at);
        true
    }

    fn drive(&self, term: Term, members: &[(MemberId, MemberClient)]) {
        let group = &self.group;
        let started_at = group.now();
        let is_avoided = |index: &usize| self.cause.avoid.contains(&members[*index].0);
        let all: Vec<usize> = (0..members.len()).collect();
        let avoid = all.iter().copied().filter(is_avoided).collect();
        let (mut promoter, mut actions) = Promoter::start(term, all, avoid);
        let (sender, ended) = mpsc::channel();
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
                            Reply {
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
            let left = (started_at + ATTEMPT_MAX).saturating_duration_since(group.now());
            actions = match ended.recv_timeout(left) {
                Ok(ended) => promoter.step(ended.member, ended.call, ended.answer),
                Err(_) => promoter.abort(),
            };
        }
    }

    fn submit(&self, term: Term, client: &MemberClient, reply: Reply) {
        let request = match reply.call {
            Call::Fence => Request::Fence,
            Call::Promote => Request::Promote,
        };
        self.group.submit_control(ControlCall {
            client: client.clone(),
            term,
            request,
            ended: Some(reply),
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
                if group.state().adopt(term, primary) {
                    group.record_primary(term, primary, &self.cause.evidence);
                }
                group.notify();
            }
            Outcome::Superseded => log::info!("{}: term {term} was overtaken", group.name()),
            Outcome::Failed => log::warn!("{}: promotion in term {term} failed", group.name()),
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

    /// Returns the last reports of the members that may lead next.
    fn successors(&self, avoid: &[MemberId]) -> Vec<Report<MemberId>> {
        let state = self.state();
        let others = state
            .members
            .iter()
            .filter(|m| !avoid.contains(&m.member.id));
        others
            .filter_map(|m| m.status.as_ref().map(report))
            .collect()
    }

    fn record_phase(&self, term: Term, phase: &str, took: Duration) {
        self.record(endivereach_core::event::Event::PromotionPhase {
            group: self.name().clone(),
            term,
            phase: phase.into(),
            took_ms: took.as_millis() as u64,
        });
    }
}
