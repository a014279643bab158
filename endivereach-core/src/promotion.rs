//! The promotion protocol: fences a majority of members, promotes the one with the longest log and
//! makes the others follow it.
//!
//! # Invariants
//!
//! - A term is used by one process and for one attempt only, so it has at most one promoter.
//! - The promoter fences a majority and promotes the fenced member with the highest durable
//!   position.
//! - Each attempt sends `Promote` to one member only. If the reply is lost, the call is repeated to
//!   the same member.

use crate::confirm::Report;
use crate::directory::GroupObject;
use crate::ids::Position;
use crate::ids::Term;
use std::collections::BTreeMap;

/// The maximum number of unanswered calls to one member before it counts as unreachable.
pub const ATTEMPTS_MAX: u8 = 8;

crate::value! {
    /// A control call to a member.
    pub enum Call {
        /// Tells the member to reject every lower term.
        Fence,
        /// Tells the member to become the primary in the promoter's term.
        Promote,
    }

    /// The result of a promotion attempt.
    pub enum Outcome<M> {
        /// The member is the primary in the promoter's term.
        Promoted(M),
        /// A member rejected the term because a higher one is in use.
        Superseded,
        /// Too few members answered, or the candidate did not. A new attempt needs another term.
        Failed,
    }

    /// An action that the user of the promoter executes.
    pub enum Action<M> {
        /// Send a control call to a member.
        Call {
            /// The call to send.
            call: Call,
            /// The member that receives the call.
            member: M,
        },
        /// Make `member` follow the new primary.
        Follow {
            /// The member that becomes a replica.
            member: M,
            /// The new primary.
            primary: M,
        },
        /// The attempt ended.
        Finish(Outcome<M>),
    }

    /// The result of a control call.
    pub enum Answer {
        /// The member executed the call. Holds the end of its durable log.
        Done(Position),
        /// The member rejected the call because a higher term is in use.
        Stale,
        /// No reply arrived. The call may or may not have taken effect.
        Lost,
    }

    /// The state of a promotion attempt.
    enum Phase<M> {
        Fencing,
        Promoting(M),
        Finished,
    }
}

impl Answer {
    /// Creates the answer from a member's reply to a call in `term`.
    pub fn of<M>(report: &Report<M>, term: Term) -> Self {
        if report.highest_term() > term {
            Self::Stale
        } else {
            Self::Done(report.durable)
        }
    }
}

/// The state machine of one promotion attempt in one term.
///
/// # Examples
///
/// ```
/// use endivereach_core::ids::{Position, Term};
/// use endivereach_core::promotion::{Action, Answer, Call, Promoter};
///
/// let (mut promoter, calls) = Promoter::start(Term::new(2), vec!["m1", "m2", "m3"], vec![]);
/// assert_eq!(calls.len(), 3);
/// promoter.step("m2", Call::Fence, Answer::Done(Position::new(1, 7)));
/// let next = promoter.step("m3", Call::Fence, Answer::Done(Position::new(1, 9)));
/// assert_eq!(next, [Action::Call { call: Call::Promote, member: "m3" }]);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Promoter<M> {
    term: Term,
    members: Vec<M>,
    avoid: Vec<M>,
    quorum: usize,
    phase: Phase<M>,
    fenced: BTreeMap<M, Position>,
    attempts: BTreeMap<M, u8>,
}

impl<M: Copy + Ord> Promoter<M> {
    /// Starts an attempt in `term`, which must be granted to this process and unused.
    ///
    /// A member in `avoid` is promoted only if no majority exists without such members and every
    /// fenced member outside `avoid` has a shorter log.
    pub fn start(term: Term, members: Vec<M>, avoid: Vec<M>) -> (Self, Vec<Action<M>>) {
        let majority = GroupObject::majority_of(members.len());
        Self::start_with_quorum(term, members, majority, avoid)
    }

    /// Starts an attempt with an explicit quorum.
    ///
    /// Any `quorum` members must include at least one that has every acknowledged commit.
    pub fn start_with_quorum(
        term: Term,
        members: Vec<M>,
        quorum: usize,
        avoid: Vec<M>,
    ) -> (Self, Vec<Action<M>>) {
        let fence = |member: &M| Action::Call {
            call: Call::Fence,
            member: *member,
        };
        let calls = members.iter().map(fence).collect();
        let promoter = Self {
            term,
            quorum,
            members,
            avoid,
            phase: Phase::Fencing,
            fenced: BTreeMap::new(),
            attempts: BTreeMap::new(),
        };
        (promoter, calls)
    }

    /// Returns the term that this attempt promotes in.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns whether the attempt has ended.
    pub fn is_finished(&self) -> bool {
        matches!(self.phase, Phase::Finished)
    }

    /// Returns whether a quorum is fenced and `Promote` was sent to a member.
    pub fn is_promoting(&self) -> bool {
        matches!(self.phase, Phase::Promoting(_))
    }

    /// Processes the result of a call and returns the next actions.
    pub fn step(&mut self, member: M, call: Call, answer: Answer) -> Vec<Action<M>> {
        match (self.phase, call, answer) {
            (Phase::Finished, ..) => Vec::new(),
            (_, _, Answer::Stale) => self.finish(Outcome::Superseded),
            (_, Call::Fence, Answer::Done(durable)) => {
                self.fenced.insert(member, durable);
                self.promote_candidate()
            }
            (Phase::Promoting(chosen), Call::Promote, Answer::Done(_)) if chosen == member => {
                self.finish_promoted(chosen)
            }
            (_, _, Answer::Lost) => self.retry(member, call),
            (Phase::Fencing | Phase::Promoting(_), Call::Promote, Answer::Done(_)) => Vec::new(),
        }
    }

    /// Ends the attempt as failed, for example after its timeout.
    pub fn abort(&mut self) -> Vec<Action<M>> {
        match self.phase {
            Phase::Finished => Vec::new(),
            _ => self.finish(Outcome::Failed),
        }
    }

    /// Promotes the member with the longest log once a quorum is fenced.
    fn promote_candidate(&mut self) -> Vec<Action<M>> {
        if !matches!(self.phase, Phase::Fencing) {
            return Vec::new();
        }
        let Some(member) = self.candidate() else {
            return Vec::new();
        };
        self.phase = Phase::Promoting(member);
        let call = Call::Promote;
        vec![Action::Call { call, member }]
    }

    /// Returns the member to promote.
    ///
    /// Any fenced quorum is safe if the candidate's log is the longest in it. A quorum without
    /// members in `avoid` is preferred, and among equal logs a member that is not in `avoid`.
    fn candidate(&self) -> Option<M> {
        let is_preferred = |member: &M| !self.avoid.contains(member);
        let preferred: Vec<_> = self
            .fenced
            .iter()
            .filter(|(m, _)| is_preferred(m))
            .collect();
        if preferred.len() >= self.quorum {
            return preferred
                .into_iter()
                .max_by_key(|(_, at)| **at)
                .map(|(m, _)| *m);
        }
        // Members that have not answered yet may still complete a quorum outside `avoid`.
        let pending = self.members.iter().filter(|m| !self.fenced.contains_key(m));
        let pending_preferred = pending
            .filter(|m| is_preferred(m) && !self.has_no_attempts_left(m))
            .count();
        if preferred.len() + pending_preferred >= self.quorum && !self.avoid.is_empty() {
            return None;
        }
        if self.fenced.len() < self.quorum {
            return None;
        }
        let best = self
            .fenced
            .iter()
            .max_by_key(|(m, at)| (**at, is_preferred(m)));
        best.map(|(member, _)| *member)
    }

    fn has_no_attempts_left(&self, member: &M) -> bool {
        self.attempts
            .get(member)
            .is_some_and(|attempts_made| *attempts_made >= ATTEMPTS_MAX)
    }

    fn retry(&mut self, member: M, call: Call) -> Vec<Action<M>> {
        let attempts_made = self.attempts.entry(member).or_default();
        *attempts_made = attempts_made.saturating_add(1);
        if *attempts_made < ATTEMPTS_MAX {
            return vec![Action::Call { call, member }];
        }
        match call {
            Call::Promote => self.finish(Outcome::Failed),
            Call::Fence => self.continue_without_unreachable(),
        }
    }

    /// Continues if the remaining members can still form a quorum; otherwise fails the attempt.
    fn continue_without_unreachable(&mut self) -> Vec<Action<M>> {
        let possible = self
            .members
            .iter()
            .filter(|m| !self.has_no_attempts_left(m))
            .count();
        if possible < self.quorum && matches!(self.phase, Phase::Fencing) {
            return self.finish(Outcome::Failed);
        }
        self.promote_candidate()
    }

    fn finish_promoted(&mut self, primary: M) -> Vec<Action<M>> {
        self.phase = Phase::Finished;
        let others = self.members.iter().filter(|member| **member != primary);
        let follow = |member: &M| Action::Follow {
            member: *member,
            primary,
        };
        let mut actions = vec![Action::Finish(Outcome::Promoted(primary))];
        actions.extend(others.map(follow));
        actions
    }

    fn finish(&mut self, outcome: Outcome<M>) -> Vec<Action<M>> {
        self.phase = Phase::Finished;
        vec![Action::Finish(outcome)]
    }
}
