//! Resolution of the outcome of a request whose answer was lost.
//!
//! The transaction of an attempt inserts a marker under the attempt's key. To resolve the outcome,
//! a tombstone is inserted under the same key on the current primary. Because the key is unique,
//! only one of the two can exist: either the marker does and the attempt committed, or the
//! tombstone does and the attempt can never commit.

use crate::ids::RequestId;
use sqlparser::ast::SetExpr;
use sqlparser::ast::Statement;
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;
use std::fmt;

/// The maximum number of attempts of one request.
pub const ATTEMPTS_MAX: u32 = 16;

/// The outcome text of a tombstone.
pub const ABANDONED: &str = "abandoned";

/// The prefix of the outcome text of a committed attempt.
pub const DONE: &str = "done";

/// The unique key of one attempt's marker.
///
/// The first attempt uses the request's id itself, so that a repeat through another proxy finds the
/// marker. The separator in the keys of later attempts can't occur in a name.
///
/// # Examples
///
/// ```
/// use endivereach_core::outcome::MarkerKey;
///
/// let first = MarkerKey::first("booking-7".into());
/// assert_eq!(first.to_string(), "booking-7");
/// assert_eq!(first.next().to_string(), "booking-7#2");
/// ```
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MarkerKey {
    request: RequestId,
    attempt: u32,
}

impl MarkerKey {
    /// Returns the key of a request's first attempt.
    pub const fn first(request: RequestId) -> Self {
        Self {
            request,
            attempt: 1,
        }
    }

    /// Returns the key of the attempt after this one.
    pub fn next(&self) -> Self {
        Self {
            request: self.request.clone(),
            attempt: self.attempt + 1,
        }
    }

    /// Returns the number of the attempt, starting at one.
    pub fn attempt(&self) -> u32 {
        self.attempt
    }
}

impl fmt::Display for MarkerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.attempt {
            1 => write!(f, "{}", self.request),
            attempt => write!(f, "{}#{attempt}", self.request),
        }
    }
}

/// What to do when an attempt turns out not to have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WhenNotRun {
    /// Answer that the request was not run.
    Answer,
    /// Run the request again under the next key.
    Retry,
}

/// The next step of a resolution.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Insert a tombstone under this key on the current primary and confirm its commit.
    Abandon(MarkerKey),
    /// Read the marker under this key on the current primary and confirm that the result survives.
    Read(MarkerKey),
    /// Run the request under this key.
    Run(MarkerKey),
    /// The resolution has ended.
    Resolved(RequestOutcome),
}

/// The resolved outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The request was committed once.
    Done {
        /// The text stored with the marker.
        outcome: Box<str>,
    },
    /// The request was not run and never will be.
    NotRun,
    /// The deadline passed before the outcome was known.
    Unknown,
}

/// The result of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The tombstone was inserted and its commit is confirmed.
    TombstoneConfirmed,
    /// Another row already has the key.
    KeyTaken,
    /// The marker's text, whose commit is confirmed, or `None` if there is no marker.
    Marker(Option<Box<str>>),
    /// The connection broke or the primary was replaced, so the result of the step is unknown.
    Lost,
    /// The deadline passed.
    DeadlinePassed,
}

/// The state machine that resolves the outcome of one request.
///
/// # Invariants
///
/// [`Step::Run`] is only returned for a key whose predecessor has a confirmed tombstone, so that no
/// two attempts of a request can both commit.
#[derive(Clone, Debug)]
pub struct Resolution {
    step: Step,
    when_not_run: WhenNotRun,
}

impl Resolution {
    /// Creates the resolution of an attempt under `key` that was sent and whose answer was lost.
    pub fn of_lost_attempt(key: MarkerKey, when_not_run: WhenNotRun) -> Self {
        Self {
            step: Step::Abandon(key),
            when_not_run,
        }
    }

    /// Creates the resolution of an attempt under `key` that failed because the key was taken: an
    /// earlier request had the same id.
    ///
    /// The current request has not run at all, so it may run under the next free key.
    pub fn of_taken_key(key: MarkerKey) -> Self {
        Self {
            step: Step::Read(key),
            when_not_run: WhenNotRun::Retry,
        }
    }

    /// Returns the step to execute next.
    pub fn step(&self) -> &Step {
        &self.step
    }

    /// Processes the result of the current step.
    pub fn observe(&mut self, observation: Observation) {
        let step = match (&self.step, observation) {
            (Step::Resolved(_), _) => return,
            (_, Observation::DeadlinePassed) => Step::Resolved(RequestOutcome::Unknown),
            (Step::Abandon(key), Observation::TombstoneConfirmed) => self.step_after_tombstone(key),
            (Step::Abandon(key), Observation::KeyTaken) => Step::Read(key.clone()),
            (Step::Read(key), Observation::Marker(Some(outcome))) if &*outcome == ABANDONED => {
                self.step_after_tombstone(key)
            }
            (Step::Read(_), Observation::Marker(Some(outcome))) => {
                Step::Resolved(RequestOutcome::Done { outcome })
            }
            // The row that had the key was lost in a failover, so a tombstone is inserted again.
            (Step::Read(key), Observation::Marker(None)) => Step::Abandon(key.clone()),
            (step, _) => step.clone(),
        };
        self.step = step;
    }

    /// Returns the step after the tombstone under `key` was confirmed.
    fn step_after_tombstone(&self, key: &MarkerKey) -> Step {
        let may_run = self.when_not_run == WhenNotRun::Retry && key.attempt < ATTEMPTS_MAX;
        if may_run {
            Step::Run(key.next())
        } else {
            Step::Resolved(RequestOutcome::NotRun)
        }
    }
}

/// Returns the command tag of a statement's success if the text alone determines it.
///
/// This is the case for an `INSERT ... VALUES` without `RETURNING` and `ON CONFLICT`.
///
/// # Examples
///
/// ```
/// use endivereach_core::outcome::command_tag_from_text;
///
/// let tag = command_tag_from_text("INSERT INTO bookings (id, slot) VALUES (1, 2), (3, 4)");
/// assert_eq!(tag.as_deref(), Some("INSERT 0 2"));
/// assert_eq!(command_tag_from_text("UPDATE slots SET booked = 1 WHERE id = 7"), None);
/// ```
pub fn command_tag_from_text(sql: &str) -> Option<Box<str>> {
    let start = sql.trim_start();
    let is_insert = start.get(..6)?.eq_ignore_ascii_case("insert");
    if !is_insert {
        return None;
    }
    let parsed = Parser::parse_sql(&PostgreSqlDialect {}, sql).ok()?;
    let [Statement::Insert(insert)] = &parsed[..] else {
        return None;
    };
    let is_plain = insert.on.is_none() && insert.returning.is_none();
    let source = insert.source.as_ref().filter(|_| is_plain)?;
    match &*source.body {
        SetExpr::Values(values) => Some(format!("INSERT 0 {}", values.rows.len()).into()),
        _ => None,
    }
}
