//! Finding out what became of a request whose answer was lost.
//!
//! The transaction of an attempt inserts a marker under the attempt's key. Inserting a tombstone
//! under the same key on the current primary decides between the two for good, because the key is
//! unique: either the marker is there and the attempt was done, or the tombstone is there and the
//! attempt can never commit.

use crate::ids::RequestId;
use sqlparser::ast::SetExpr;
use sqlparser::ast::Statement;
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;
use std::fmt;

/// How many attempts one request gets in all.
pub const ATTEMPTS_MAX: u32 = 16;

/// The text of a tombstone's outcome.
pub const ABANDONED: &str = "abandoned";

/// The beginning of the outcome of an attempt that was done.
pub const DONE: &str = "done";

/// The unique key of one attempt's marker.
///
/// The first attempt uses the request's id itself, so that a repeat through another proxy finds it.
/// The separator of later ones can't occur in a name.
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

    /// Returns which attempt this is, counted from one.
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

/// What may be done when an attempt is found not to have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WhenNotRun {
    /// The request is answered as not run.
    Answer,
    /// The request is run again under the next key.
    RunAgain,
}

/// What has to be done next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Insert a tombstone under this key on the current primary, and confirm it.
    Abandon(MarkerKey),
    /// Read the marker under this key on the current primary, and confirm what was read.
    Read(MarkerKey),
    /// Run the request under this key.
    Run(MarkerKey),
    /// The outcome is known, or the deadline has passed.
    Settled(Settlement),
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// It was done, once. `outcome` is the marker's text.
    Done {
        /// The text stored with the marker.
        outcome: Box<str>,
    },
    /// It was not run, and never will be.
    NotRun,
    /// The deadline passed before it was known.
    Unknown,
}

/// What was seen after a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seen {
    /// The tombstone was inserted, and is part of the surviving history.
    TombstoneConfirmed,
    /// The key is taken already.
    KeyTaken,
    /// The marker's text, which is part of the surviving history, or `None` when there is none.
    Marker(Option<Box<str>>),
    /// The connection broke, or the primary was replaced: nothing is known of the step.
    Lost,
    /// The deadline passed.
    DeadlinePassed,
}

/// The search for one request's outcome.
///
/// # Invariants
///
/// [`Step::Run`] is only asked for under a key whose predecessor has a confirmed tombstone, so that
/// no two attempts of a request can both commit.
#[derive(Clone, Debug)]
pub struct Resolution {
    step: Step,
    when_not_run: WhenNotRun,
}

impl Resolution {
    /// An attempt under `key` was sent and its answer was lost.
    pub fn of_lost_attempt(key: MarkerKey, when_not_run: WhenNotRun) -> Self {
        Self {
            step: Step::Abandon(key),
            when_not_run,
        }
    }

    /// An attempt under `key` failed because the key was taken: an earlier request had the same id.
    ///
    /// The request at hand has not run at all, so that it may run under the next free key.
    pub fn of_taken_key(key: MarkerKey) -> Self {
        Self {
            step: Step::Read(key),
            when_not_run: WhenNotRun::RunAgain,
        }
    }

    /// Returns what has to be done next.
    pub fn step(&self) -> &Step {
        &self.step
    }

    /// Takes in what was seen after the present step.
    pub fn observe(&mut self, seen: Seen) {
        let step = match (&self.step, seen) {
            (Step::Settled(_), _) => return,
            (_, Seen::DeadlinePassed) => Step::Settled(Settlement::Unknown),
            (Step::Abandon(key), Seen::TombstoneConfirmed) => self.not_run(key),
            (Step::Abandon(key), Seen::KeyTaken) => Step::Read(key.clone()),
            (Step::Read(key), Seen::Marker(Some(outcome))) if &*outcome == ABANDONED => {
                self.not_run(key)
            }
            (Step::Read(_), Seen::Marker(Some(outcome))) => {
                Step::Settled(Settlement::Done { outcome })
            }
            // The marker that took the key did not survive: the key has to be decided again.
            (Step::Read(key), Seen::Marker(None)) => Step::Abandon(key.clone()),
            (step, _) => step.clone(),
        };
        self.step = step;
    }

    /// The attempt under `key` has a confirmed tombstone.
    fn not_run(&self, key: &MarkerKey) -> Step {
        let may_run = self.when_not_run == WhenNotRun::RunAgain && key.attempt < ATTEMPTS_MAX;
        if may_run {
            Step::Run(key.next())
        } else {
            Step::Settled(Settlement::NotRun)
        }
    }
}

/// Returns the command tag that a statement's success is certain to have, from its text alone: an
/// `INSERT` of literal rows that returns nothing and ignores no conflict.
///
/// # Examples
///
/// ```
/// use endivereach_core::outcome::certain_command;
///
/// let tag = certain_command("INSERT INTO bookings (id, slot) VALUES (1, 2), (3, 4)");
/// assert_eq!(tag.as_deref(), Some("INSERT 0 2"));
/// assert_eq!(certain_command("UPDATE slots SET booked = 1 WHERE id = 7"), None);
/// ```
pub fn certain_command(sql: &str) -> Option<Box<str>> {
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
