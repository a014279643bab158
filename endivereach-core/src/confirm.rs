//! Confirmation of commits: determines from the members' reports which commits survive every
//! failover.
//!
//! A member's report counts for term `T` if the member is in `T` and not fenced above it. Such a
//! member accepts a later fence only by reporting the end of its log to the promoter. It also keeps
//! the entries that it reported: only a primary of a later term can truncate its log, and that
//! primary was chosen among a majority that holds every confirmed commit. So a report never
//! expires, and reports from different times may be counted together.

use crate::ids::Position;
use crate::ids::Term;
use std::collections::BTreeMap;

crate::data! {
    /// A member's report of its own state.
    #[derive(Hash)]
    pub struct Report<M> {
        /// The member that sent the report.
        pub member: M,
        /// Whether the member is the primary of `term`.
        #[serde(rename = "leads")]
        pub is_primary: bool,
        /// The term that the member is in, as the primary or a replica.
        pub term: Term,
        /// The highest term that the member was fenced for.
        pub fenced_term: Term,
        /// The end of the member's durable log.
        pub durable: Position,
    }
}

impl<M> Report<M> {
    /// Returns whether the member is in `term` and not fenced for a higher one.
    pub fn is_unfenced_in(&self, term: Term) -> bool {
        self.term == term && self.fenced_term <= term
    }

    /// Returns the highest term that the member knows.
    pub fn highest_term(&self) -> Term {
        self.term.max(self.fenced_term)
    }
}

crate::value! {
    /// The confirmation state of a commit.
    pub enum CommitStatus {
        /// A majority holds the commit, so every later primary has it.
        Confirmed,
        /// More reports are needed.
        Waiting,
    }

    /// The highest of a member's reports, ordered by term and then by the end of the log.
    struct BestReport {
        term: Term,
        durable: Position,
        #[serde(rename = "leads")]
        is_primary: bool,
    }
}

/// Collects the members' reports and determines which commits a majority holds.
///
/// # Examples
///
/// ```
/// use endivereach_core::confirm::{Report, CommitTracker, CommitStatus};
/// use endivereach_core::ids::{Position, Term};
///
/// let mut tracker = CommitTracker::new(2);
/// let commit = Position::new(1, 7);
/// assert_eq!(tracker.commit_status(Term::new(1), commit), CommitStatus::Waiting);
/// tracker.record(&Report {
///     member: "m2",
///     is_primary: false,
///     term: Term::new(1),
///     fenced_term: Term::new(1),
///     durable: Position::new(1, 8),
/// });
/// assert_eq!(tracker.commit_status(Term::new(1), commit), CommitStatus::Confirmed);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CommitTracker<M> {
    majority: usize,
    best_reports: BTreeMap<M, BestReport>,
}

impl<M: Clone + Ord> CommitTracker<M> {
    /// Creates a tracker for a group whose majority is `majority` members.
    pub fn new(majority: usize) -> Self {
        Self {
            majority,
            best_reports: BTreeMap::new(),
        }
    }

    /// Records a report. Reports may arrive in any order.
    pub fn record(&mut self, report: &Report<M>) {
        if !report.is_unfenced_in(report.term) {
            return;
        }
        let received = BestReport {
            term: report.term,
            durable: report.durable,
            is_primary: report.is_primary,
        };
        match self.best_reports.get_mut(&report.member) {
            // Terms are compared first, and within a term the durable position only grows.
            Some(best) => *best = received.max(*best),
            None => {
                self.best_reports.insert(report.member.clone(), received);
            }
        }
    }

    /// Returns whether a majority holds the commit at `position` that the primary of `term`
    /// reported as committed.
    ///
    /// The primary's own answer counts as its report: a primary appends nothing once it is fenced,
    /// so a reported commit was in its log before any later fence. Its status reports are not
    /// counted again.
    pub fn commit_status(&self, term: Term, position: Position) -> CommitStatus {
        let holds_commit =
            |best: &&BestReport| best.term == term && !best.is_primary && best.durable >= position;
        let holders = 1 + self.best_reports.values().filter(holds_commit).count();
        if holders >= self.majority {
            CommitStatus::Confirmed
        } else {
            CommitStatus::Waiting
        }
    }
}
