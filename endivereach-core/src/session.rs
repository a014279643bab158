//! Session consistency: tracks a session's commits and determines which position its reads require.

use crate::ids::Position;
use crate::treatment::Freshness;
use crate::treatment::Treatment;
use std::time::Duration;

/// What this proxy knows of a session's commits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KnownCommits {
    /// The session may have committed through another proxy.
    Unknown,
    /// All commits of the session are at or before this position.
    UpTo(Position),
}

/// The commit positions of one caller's session.
///
/// # Invariants
///
/// The position never decreases. For a session with a name, the commits of its own connection are
/// not enough, because another connection with the same name may commit through another proxy. Only
/// a token states the position of all its commits.
///
/// # Examples
///
/// ```
/// use endivereach_core::ids::Position;
/// use endivereach_core::session::{Requirement, SessionPosition};
/// use endivereach_core::treatment::{Freshness, Treatment};
///
/// let mut session = SessionPosition::new(false);
/// let treatment = Treatment {
///     freshness: Freshness::Session,
///     hide_cancelled_slots: false,
///     ..Treatment::strictest()
/// };
/// assert_eq!(session.requirement(&treatment), Requirement::Floor);
/// session.observe_floor(Position::new(1, 5));
/// assert_eq!(
///     session.requirement(&treatment),
///     Requirement::AtLeast(Position::new(1, 5))
/// );
/// ```
#[derive(Clone, Copy, Debug)]
pub struct SessionPosition {
    has_name: bool,
    has_token: bool,
    known_commits: KnownCommits,
    last_own_commit: Position,
}

/// The position that a server must have applied to answer a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Requirement {
    /// A floor that includes every commit acknowledged to any caller before the read arrived.
    Floor,
    /// The given position or a later one.
    AtLeast(Position),
    /// A position that is at most `max_age` old, and includes the known commits of the session.
    Age {
        /// The maximum age of the data.
        max_age: Duration,
        /// The position up to which the session's commits are known.
        known_position: Position,
    },
}

impl SessionPosition {
    /// Creates the state of a new session, with or without a session name.
    pub const fn new(has_name: bool) -> Self {
        Self {
            has_name,
            has_token: false,
            known_commits: KnownCommits::Unknown,
            last_own_commit: Position::new(0, 0),
        }
    }

    /// Records that the caller gave its session a name.
    pub fn observe_name(&mut self) {
        self.has_name = true;
    }

    /// Records a session token. Through other proxies, the session has committed nothing after
    /// `position`.
    pub fn observe_token(&mut self, position: Position) {
        self.has_token = true;
        self.raise_known(position);
    }

    /// Records a commit of this connection at `position`.
    pub fn observe_commit(&mut self, position: Position) {
        self.last_own_commit = self.last_own_commit.max(position);
    }

    /// Records a floor for this session, which includes all its earlier commits.
    pub fn observe_floor(&mut self, position: Position) {
        self.raise_known(position);
    }

    /// Returns the position that a read with this treatment requires.
    pub fn requirement(&self, treatment: &Treatment) -> Requirement {
        if treatment.hide_cancelled_slots {
            return Requirement::Floor;
        }
        match treatment.freshness {
            Freshness::Latest => Requirement::Floor,
            Freshness::Session => self.own_commit_requirement(),
            Freshness::Age { max_age } => Requirement::Age {
                max_age,
                known_position: self.known_position(),
            },
        }
    }

    /// Returns the position up to which this session's commits are known.
    pub fn known_position(&self) -> Position {
        match self.known_commits {
            KnownCommits::Unknown => self.last_own_commit,
            KnownCommits::UpTo(position) => position.max(self.last_own_commit),
        }
    }

    fn own_commit_requirement(&self) -> Requirement {
        match self.known_commits {
            KnownCommits::UpTo(_) if self.has_token || !self.has_name => {
                Requirement::AtLeast(self.known_position())
            }
            _ => Requirement::Floor,
        }
    }

    fn raise_known(&mut self, position: Position) {
        self.known_commits = KnownCommits::UpTo(self.known_position().max(position));
    }
}
