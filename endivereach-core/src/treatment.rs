//! The kind of a statement and the treatment that a rule gives it.

use std::time::Duration;

crate::value! {
    /// How recent the data that a read returns must be.
    pub enum Freshness {
        /// Includes every commit acknowledged to any caller before the read arrived.
        Latest,
        /// Includes every commit acknowledged to the caller's own session.
        Session,
        /// May lag behind the primary by at most `max_age`.
        Age {
            /// The maximum age of the data.
            max_age: Duration,
        },
    }

    /// Whether a statement may be executed again.
    pub enum Repeat {
        /// It may be executed again when its outcome is unknown.
        Allowed,
        /// It is executed at most once. An unknown outcome is determined from a request marker.
        #[serde(rename = "Once")]
        Never,
    }

    /// The priority of a request when capacity is short. Greater values are served first.
    pub enum Priority {
        /// Rejected first.
        Low,
        /// The default priority.
        Normal,
        /// Rejected after those of lower priority.
        High,
        /// Rejected last. Only a route can require it, not a rule.
        Highest,
    }
}

crate::data! {
    /// How one statement is routed, repeated and limited.
    pub struct Treatment {
        /// How recent the data that a read returns must be.
        pub freshness: Freshness,
        /// Whether the statement may be executed again.
        pub repeat: Repeat,
        /// Whether the request waits while the primary changes, up to its deadline, instead of
        /// failing at once.
        #[serde(rename = "hold")]
        pub wait_for_primary: bool,
        /// Whether the answer must never contain a cancelled slot as free.
        #[serde(rename = "hide_cancelled")]
        pub hide_cancelled_slots: bool,
        /// The priority of the request when capacity is short.
        #[serde(rename = "worth")]
        pub priority: Priority,
        /// The time limit for the whole request.
        pub deadline: Duration,
        /// The line of the rules file that gave this treatment, or `None` if no rule applied to the
        /// whole statement.
        pub rule_line: Option<u32>,
        /// The line's comment, which names the person who requested the rule. Empty without a rule.
        pub asked_by: Box<str>,
    }
}

/// The deadline of a request for which no rule states one.
pub const DEADLINE_DEFAULT: Duration = Duration::from_secs(10);

impl Priority {
    /// Returns the priority's name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Low => "low",
            Self::Normal => "normal",
            Self::High => "high",
            Self::Highest => "highest",
        }
    }
}

impl Treatment {
    /// Returns the strictest treatment, which applies to every statement that no rule covers.
    ///
    /// # Examples
    ///
    /// ```
    /// use endivereach_core::treatment::{Freshness, Treatment};
    /// assert_eq!(Treatment::strictest().freshness, Freshness::Latest);
    /// ```
    pub fn strictest() -> Self {
        Self {
            freshness: Freshness::Latest,
            repeat: Repeat::Never,
            wait_for_primary: true,
            hide_cancelled_slots: true,
            priority: Priority::Normal,
            deadline: DEADLINE_DEFAULT,
            rule_line: None,
            asked_by: "".into(),
        }
    }
}

crate::value! {
    /// The kind of a statement, as far as routing depends on it.
    pub enum StatementKind {
        /// Only reads, so a replica can serve it.
        Read,
        /// Changes data or can't be shown not to.
        Write,
        /// Starts a transaction.
        Begin,
        /// Commits a transaction.
        Commit,
        /// Rolls back a transaction.
        Rollback,
        /// Sets a session parameter.
        Set,
        /// Leaves state on the connection that the pool can't transfer to another one, so the
        /// connection is pinned to the caller.
        #[serde(rename = "Pins")]
        PinsConnection,
        /// Can't work through pooled connections and is refused.
        Refused,
    }
}

crate::data! {
    /// A statement's kind together with its treatment.
    pub struct Classification {
        /// The kind of the statement.
        pub kind: StatementKind,
        /// The treatment of the statement.
        pub treatment: Treatment,
        /// Why the statement is refused or pins its connection, with the remedy. Empty for other
        /// kinds.
        pub reason: Box<str>,
    }
}

/// Determines the kind of a statement and the rule that applies to it.
pub trait Classifier: Send + Sync {
    /// Classifies the text of one request, which may hold several statements.
    ///
    /// Text that can't be parsed counts as a write with the strictest treatment, unless its first
    /// words show another kind.
    fn classify(&self, group: &crate::ids::GroupName, sql: &str) -> Classification;
}
