//! What a caller's session is known to have done, and what its reads must therefore include.

use crate::ids::Position;
use crate::treatment::Freshness;
use crate::treatment::Treatment;
use std::time::Duration;

/// Whether a session's commits can be known to this proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Knowledge {
    /// The session may have committed through another proxy.
    Unknown,
    /// Everything that the session committed lies at or before this position.
    UpTo(Position),
}

/// The positions of one caller's session.
///
/// # Invariants
///
/// The position only grows. A session with a name never counts as known through its own connection
/// alone, because another connection of the same name may commit through another proxy; only a
/// token makes it known.
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
///     hide_cancelled: false,
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
    named: bool,
    has_token: bool,
    knowledge: Knowledge,
    own: Position,
}

/// What a read's answer must include.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Requirement {
    /// Everything acknowledged to anyone before the read arrived.
    Floor,
    /// At least this position.
    AtLeast(Position),
    /// Data at most `max_age` old, and the session's own commits as far as they are known.
    Age {
        /// The greatest age allowed.
        max_age: Duration,
        /// The session's own commits.
        own: Position,
    },
}

impl SessionPosition {
    /// Creates the positions of a session that starts, with or without a session name.
    pub const fn new(named: bool) -> Self {
        Self {
            named,
            has_token: false,
            knowledge: Knowledge::Unknown,
            own: Position::new(0, 0),
        }
    }

    /// The caller gave its session a name.
    pub fn observe_name(&mut self) {
        self.named = true;
    }

    /// The caller showed a token: its session committed nothing after it elsewhere.
    pub fn observe_token(&mut self, position: Position) {
        self.has_token = true;
        self.raise(position);
    }

    /// This connection committed at `position`.
    pub fn observe_commit(&mut self, position: Position) {
        self.own = self.own.max(position);
    }

    /// A floor was taken for this session: everything it committed before lies at or before it.
    pub fn observe_floor(&mut self, position: Position) {
        self.raise(position);
    }

    /// Returns what a read with this treatment must include.
    pub fn requirement(&self, treatment: &Treatment) -> Requirement {
        if treatment.hide_cancelled {
            return Requirement::Floor;
        }
        match treatment.freshness {
            Freshness::Latest => Requirement::Floor,
            Freshness::Session => self.own_commits(),
            Freshness::Age { max_age } => Requirement::Age {
                max_age,
                own: self.known(),
            },
        }
    }

    /// Returns the position up to which this session's commits are known.
    pub fn known(&self) -> Position {
        match self.knowledge {
            Knowledge::Unknown => self.own,
            Knowledge::UpTo(position) => position.max(self.own),
        }
    }

    fn own_commits(&self) -> Requirement {
        match self.knowledge {
            Knowledge::UpTo(_) if self.has_token || !self.named => {
                Requirement::AtLeast(self.known())
            }
            _ => Requirement::Floor,
        }
    }

    fn raise(&mut self, position: Position) {
        self.knowledge = Knowledge::UpTo(self.known().max(position));
    }
}
