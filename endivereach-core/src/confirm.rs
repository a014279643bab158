//! Confirmation of commits: which reports of members prove that a commit survives.
//!
//! A member's report counts for term `T` when the member is in `T` and not fenced above it. Such a
//! member refuses every later fence until it has told the promoter how far its log reaches, and it
//! keeps what it reported: only a primary of a later term can shorten its log, and that primary
//! was chosen among a majority that holds every confirmed commit. So a report never expires, and
//! reports of different moments may be counted together.

use crate::ids::Position;
use crate::ids::Term;
use std::collections::BTreeMap;

crate::data! {
    /// What one member said about itself.
    #[derive(Hash)]
    pub struct Report<M> {
        /// The member.
        pub member: M,
        /// Whether it leads in `term`.
        pub leads: bool,
        /// The term that it leads or follows.
        pub term: Term,
        /// The highest term that it was fenced for.
        pub fenced_term: Term,
        /// The end of its durable log.
        pub durable: Position,
    }
}

impl<M> Report<M> {
    /// Returns whether the member takes part in `term` and refuses nothing of it.
    pub fn is_unfenced_in(&self, term: Term) -> bool {
        self.term == term && self.fenced_term <= term
    }

    /// Returns the highest term that the member has heard of.
    pub fn highest_term(&self) -> Term {
        self.term.max(self.fenced_term)
    }
}

crate::value! {
    /// What is known of a commit.
    pub enum Verdict {
        /// A majority holds it: every later primary has it.
        Confirmed,
        /// More reports are needed.
        Waiting,
    }

    /// The best of a member's reports: the highest term, and the longest log in it.
    struct Held {
        term: Term,
        durable: Position,
        leads: bool,
    }
}

/// Collects reports and tells which commits a majority holds.
///
/// # Examples
///
/// ```
/// use endivereach_core::confirm::{Report, Tracker, Verdict};
/// use endivereach_core::ids::{Position, Term};
///
/// let mut tracker = Tracker::new(2);
/// let commit = Position::new(1, 7);
/// assert_eq!(tracker.verdict(Term::new(1), commit), Verdict::Waiting);
/// tracker.record(&Report {
///     member: "m2",
///     leads: false,
///     term: Term::new(1),
///     fenced_term: Term::new(1),
///     durable: Position::new(1, 8),
/// });
/// assert_eq!(tracker.verdict(Term::new(1), commit), Verdict::Confirmed);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Tracker<M> {
    majority: usize,
    held: BTreeMap<M, Held>,
}

impl<M: Clone + Ord> Tracker<M> {
    /// Creates a tracker of a group in which `majority` members make a majority.
    pub fn new(majority: usize) -> Self {
        Self {
            majority,
            held: BTreeMap::new(),
        }
    }

    /// Takes a report in. Reports may come in any order.
    pub fn record(&mut self, report: &Report<M>) {
        if !report.is_unfenced_in(report.term) {
            return;
        }
        let held = Held {
            term: report.term,
            durable: report.durable,
            leads: report.leads,
        };
        match self.held.get_mut(&report.member) {
            // Terms are compared first, and within a term the durable position only grows.
            Some(best) => *best = held.max(*best),
            None => {
                self.held.insert(report.member.clone(), held);
            }
        }
    }

    /// Tells whether the commit at `position`, answered by the primary of `term`, is held by a majority.
    ///
    /// The primary's own answer counts as its report: a primary appends nothing once it is fenced, so
    /// whatever it answered was in its log before any later fence. Its status reports add nothing.
    pub fn verdict(&self, term: Term, position: Position) -> Verdict {
        let holds = |held: &&Held| held.term == term && !held.leads && held.durable >= position;
        let holders = 1 + self.held.values().filter(holds).count();
        if holders >= self.majority {
            Verdict::Confirmed
        } else {
            Verdict::Waiting
        }
    }
}
