//! What a rule asks of a statement, and what kind of statement it is.

use std::time::Duration;

crate::value! {
    /// How recent the data seen by a read must be.
    pub enum Freshness {
        /// Everything acknowledged to anyone before the read arrived.
        Latest,
        /// Everything acknowledged to the caller's own session.
        Session,
        /// Data at most `max_age` old.
        Age {
            /// The greatest age allowed.
            max_age: Duration,
        },
    }

    /// Whether a statement may be run again.
    pub enum Repeat {
        /// It may be run again when its outcome is not known.
        Allowed,
        /// It runs at most once; its outcome is found out through a request marker.
        Once,
    }

    /// What a request is worth when capacity is short. Greater goes first.
    pub enum Worth {
        /// Shed first.
        Low,
        /// The default.
        Normal,
        /// Shed last: bookings and registrations.
        High,
    }
}

crate::data! {
    /// How one statement is to be treated.
    pub struct Treatment {
        /// How recent the data of a read must be.
        pub freshness: Freshness,
        /// Whether the statement may be run again.
        pub repeat: Repeat,
        /// Whether the request is held through a change of primary, up to its deadline.
        pub hold: bool,
        /// Whether a cancelled slot must never show as free in the answer.
        pub hide_cancelled: bool,
        /// What the request is worth when capacity is short.
        pub worth: Worth,
        /// How long the request may take in all.
        pub deadline: Duration,
        /// The line of the rules file that decided, or `None` for the strictest treatment.
        pub rule_line: Option<u32>,
        /// Who asked for the rule, from the line's comment.
        pub asked_by: Box<str>,
    }
}

/// The deadline of a request when no rule states one.
pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);

impl Treatment {
    /// Returns the strictest treatment, used for whatever no rule covers.
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
            repeat: Repeat::Once,
            hold: true,
            hide_cancelled: true,
            worth: Worth::Normal,
            deadline: DEFAULT_DEADLINE,
            rule_line: None,
            asked_by: "".into(),
        }
    }
}

crate::value! {
    /// What a statement does, as far as routing is concerned.
    pub enum StatementKind {
        /// Reads only; a replica can serve it.
        Read,
        /// Changes data, or might.
        Write,
        /// Opens a transaction.
        Begin,
        /// Ends a transaction, keeping its changes.
        Commit,
        /// Ends a transaction, dropping its changes.
        Rollback,
        /// Sets a session parameter.
        Set,
        /// Leaves state on the connection that a pooled proxy can't carry: the connection is pinned.
        Pins,
        /// Refused: no pooled proxy can carry it.
        Refused,
    }
}

crate::data! {
    /// A statement's kind together with its treatment.
    pub struct Classified {
        /// What the statement does.
        pub kind: StatementKind,
        /// How it is to be treated.
        pub treatment: Treatment,
        /// Why it was refused or pinned, with the remedy; empty otherwise.
        pub reason: Box<str>,
    }
}

/// Decides what a statement is and which rule applies.
pub trait Classifier: Send + Sync {
    /// Classifies the text of one request, which may hold several statements.
    ///
    /// Text that can't be parsed is a write with the strictest treatment.
    fn classify(&self, group: &crate::ids::GroupName, sql: &str) -> Classified;
}
