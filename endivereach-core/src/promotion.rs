//! Promotion: fence a majority, promote the member with the longest log, make the others follow.
//!
//! # Invariants
//!
//! - One process uses a term, once. So one promoter at most promotes in it.
//! - The promoter chooses among a majority that it fenced, the one with the highest durable position.
//! - It asks one member only to lead: after a lost answer it asks the same member again.

use crate::confirm::Report;
use crate::directory::GroupObject;
use crate::ids::Position;
use crate::ids::Term;
use std::collections::BTreeMap;

/// How often a call to one member is made before the promoter gives the member up.
pub const ATTEMPTS_MAX: u8 = 8;

crate::value! {
    /// A control call that the promoter asks for.
    pub enum Call {
        /// Refuse every lower term.
        Fence,
        /// Lead in the promoter's term.
        Promote,
    }

    /// How an attempt ended.
    pub enum Outcome<M> {
        /// The member leads in the promoter's term.
        Promoted(M),
        /// A member refused: a higher term is in use.
        Overtaken,
        /// Too few members answered, or the chosen one didn't. Another term is needed.
        GaveUp,
    }

    /// Something for the promoter's surroundings to do.
    pub enum Action<M> {
        /// Make a call to a member.
        Call {
            /// The call.
            call: Call,
            /// The member.
            member: M,
        },
        /// Make `member` follow the new primary.
        Follow {
            /// The follower.
            member: M,
            /// The new primary.
            primary: M,
        },
        /// The attempt ended.
        Finish(Outcome<M>),
    }

    /// How a call ended.
    pub enum Answer {
        /// The member did what it was asked, and its log ended there.
        Done(Position),
        /// The member refused, because a higher term is in use.
        Stale,
        /// No answer came: the call may have taken effect.
        Lost,
    }

    /// Where the promoter stands.
    enum Phase<M> {
        Fencing,
        Promoting(M),
        Finished,
    }
}

impl Answer {
    /// Reads a member's answer to a call of `term`.
    pub fn of<M>(report: &Report<M>, term: Term) -> Self {
        if report.highest_term() > term {
            Self::Stale
        } else {
            Self::Done(report.durable)
        }
    }
}

/// One attempt to give a group a new primary in one term.
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
    majority: usize,
    phase: Phase<M>,
    fenced: BTreeMap<M, Position>,
    attempts: BTreeMap<M, u8>,
}

impl<M: Copy + Ord> Promoter<M> {
    /// Starts an attempt in `term`, which must be granted to this process and unused.
    ///
    /// Members in `avoid` are chosen only when no majority exists without them or they alone hold the
    /// longest log.
    pub fn start(term: Term, members: Vec<M>, avoid: Vec<M>) -> (Self, Vec<Action<M>>) {
        let majority = GroupObject::majority_of(members.len());
        Self::start_with_quorum(term, members, majority, avoid)
    }

    /// Starts an attempt in which any `quorum` members include one that has every acknowledged commit.
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
            majority: quorum,
            members,
            avoid,
            phase: Phase::Fencing,
            fenced: BTreeMap::new(),
            attempts: BTreeMap::new(),
        };
        (promoter, calls)
    }

    /// Returns the term of the attempt.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns whether the attempt ended.
    pub fn is_finished(&self) -> bool {
        matches!(self.phase, Phase::Finished)
    }

    /// Returns whether a majority is fenced and one member was asked to lead.
    pub fn is_promoting(&self) -> bool {
        matches!(self.phase, Phase::Promoting(_))
    }

    /// Takes the end of a call in and returns what to do next.
    pub fn step(&mut self, member: M, call: Call, answer: Answer) -> Vec<Action<M>> {
        match (self.phase, call, answer) {
            (Phase::Finished, ..) => Vec::new(),
            (_, _, Answer::Stale) => self.finish(Outcome::Overtaken),
            (_, Call::Fence, Answer::Done(durable)) => {
                self.fenced.insert(member, durable);
                self.choose()
            }
            (Phase::Promoting(chosen), Call::Promote, Answer::Done(_)) if chosen == member => {
                self.lead(chosen)
            }
            (_, _, Answer::Lost) => self.repeat(member, call),
            (Phase::Fencing | Phase::Promoting(_), Call::Promote, Answer::Done(_)) => Vec::new(),
        }
    }

    /// Ends the attempt, for instance because its time is up.
    pub fn give_up(&mut self) -> Vec<Action<M>> {
        match self.phase {
            Phase::Finished => Vec::new(),
            _ => self.finish(Outcome::GaveUp),
        }
    }

    /// Asks the member with the longest log to lead, once a majority is fenced.
    fn choose(&mut self) -> Vec<Action<M>> {
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
    /// Any fenced majority will do, as long as the candidate's log is the longest in it: a majority
    /// without the members to avoid is preferred, and among equals a member not to avoid.
    fn candidate(&self) -> Option<M> {
        let is_welcome = |member: &M| !self.avoid.contains(member);
        let welcome: Vec<_> = self.fenced.iter().filter(|(m, _)| is_welcome(m)).collect();
        if welcome.len() >= self.majority {
            return welcome
                .into_iter()
                .max_by_key(|(_, at)| **at)
                .map(|(m, _)| *m);
        }
        // Members to avoid may still be outnumbered by those that have not answered yet.
        let pending = self.members.iter().filter(|m| !self.fenced.contains_key(m));
        let hopeful = pending
            .filter(|m| is_welcome(m) && !self.is_given_up(m))
            .count();
        if welcome.len() + hopeful >= self.majority && !self.avoid.is_empty() {
            return None;
        }
        if self.fenced.len() < self.majority {
            return None;
        }
        let best = self
            .fenced
            .iter()
            .max_by_key(|(m, at)| (**at, is_welcome(m)));
        best.map(|(member, _)| *member)
    }

    fn is_given_up(&self, member: &M) -> bool {
        self.attempts
            .get(member)
            .is_some_and(|made| *made >= ATTEMPTS_MAX)
    }

    fn repeat(&mut self, member: M, call: Call) -> Vec<Action<M>> {
        let made = self.attempts.entry(member).or_default();
        *made = made.saturating_add(1);
        if *made < ATTEMPTS_MAX {
            return vec![Action::Call { call, member }];
        }
        match call {
            Call::Promote => self.finish(Outcome::GaveUp),
            Call::Fence => self.without(),
        }
    }

    /// Goes on without a member that can't be reached, if that is still possible.
    fn without(&mut self) -> Vec<Action<M>> {
        let possible = self.members.iter().filter(|m| !self.is_given_up(m)).count();
        if possible < self.majority && matches!(self.phase, Phase::Fencing) {
            return self.finish(Outcome::GaveUp);
        }
        self.choose()
    }

    fn lead(&mut self, primary: M) -> Vec<Action<M>> {
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
