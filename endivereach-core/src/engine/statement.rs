//! Statements, answers and commands, without the form that a protocol gives them.

use crate::ids::Position;
use crate::ids::RequestId;
use crate::ids::Term;
use std::fmt;

crate::number_newtype! {
    /// One connection of a caller to this process.
    CallerId
    /// One connection of this process to a target.
    ConnectionId
    /// A number that rises whenever the duty to promote changes hands.
    FencingToken
}

crate::text_newtype! {
    /// The database name that a caller connects to.
    DatabaseName
}

crate::value! {
    /// What a statement does to data.
    pub enum Access {
        /// It reads.
        Read,
        /// It changes data.
        Write,
    }

    /// Where a session stands between two statements.
    pub enum SessionState {
        /// No transaction is open.
        Idle,
        /// A transaction is open.
        InTransaction,
        /// A transaction failed and has to be ended.
        Failed,
    }
}

crate::data! {
    /// What a caller asks for.
    pub enum Body {
        /// Opens a transaction.
        Begin {
            /// Whether it promises to read only.
            read_only: bool,
        },
        /// Ends a transaction, keeping its changes.
        Commit,
        /// Ends a transaction, dropping its changes.
        Rollback,
        /// Runs a statement as the caller wrote it.
        Run {
            /// What it does.
            access: Access,
            /// The caller's own text.
            text: Box<str>,
        },
        /// Sets a value of the session.
        Set {
            /// The value's name.
            name: Box<str>,
            /// The value.
            value: Box<str>,
        },
        /// Gives a statement a name within the session.
        Prepare {
            /// The name.
            name: Box<str>,
            /// The statement.
            shape: Shape,
        },
        /// Runs a prepared statement.
        Execute {
            /// The name that the session gave it.
            name: Box<str>,
            /// The caller's own text after the name.
            arguments: Box<str>,
        },
        /// Forgets a prepared statement.
        Deallocate {
            /// The name that the session gave it.
            name: Box<str>,
        },
        /// Text that is not a statement.
        Unreadable,
    }

    /// A statement that can be prepared.
    #[derive(PartialOrd, Ord)]
    pub struct Shape {
        /// What it does.
        pub access: Access,
        /// The caller's own text that describes it.
        pub text: Box<str>,
    }

    /// One statement of a caller.
    pub struct Statement {
        /// The caller's name for it, passed on unchanged.
        pub request: RequestId,
        /// What is asked for.
        pub body: Body,
    }

    /// Why a statement has no result.
    pub enum Failure {
        /// Not run: no capacity.
        Busy,
        /// Not kept: the transaction or statement was given up.
        Aborted,
        /// Not run: the log lacks the position asked for.
        Lagging,
        /// Not run: the target doesn't lead.
        NotPrimary,
        /// Not run: the target is another one than expected.
        WrongTarget,
        /// Not run: the target accepts no more connections.
        TooManyConnections,
        /// Not run: the target doesn't know the prepared statement.
        UnknownPrepared,
        /// Run, without success.
        Failed,
        /// Given up while it ran.
        Timeout,
        /// The outcome isn't known.
        InDoubt,
        /// No such database.
        NoDatabase,
        /// The message passes the limit.
        TooLarge,
        /// Not understood, or not allowed in this state.
        Malformed,
        /// A word that this version doesn't know.
        Other(Box<str>),
    }

    /// The end of an answer.
    pub enum Outcome {
        /// Success, with the target's receipt, or none for what this process answers itself.
        Done {
            /// The receipt.
            receipt: Option<Box<str>>,
        },
        /// No result.
        Failed {
            /// Why.
            failure: Failure,
            /// A message that names the remedy.
            message: Box<str>,
        },
    }

    /// A whole answer.
    pub struct Answer {
        /// The rows, each as the target wrote it.
        pub rows: Vec<Box<str>>,
        /// How it ended.
        pub outcome: Outcome,
        /// Where the session stands now.
        pub state: SessionState,
        /// The position of the target's log.
        pub position: Option<Position>,
    }

    /// What a target says about itself.
    pub struct TargetStatus {
        /// Whether it leads in `term`.
        pub leads: bool,
        /// Its term.
        pub term: Term,
        /// The end of the log that it received.
        pub received: Position,
        /// The term that it is fenced for; zero without a fence.
        pub fenced_term: Term,
        /// Connections that it has, from all callers.
        pub connections: u32,
    }

    /// Something sent to a target.
    pub enum Command {
        /// A caller's statement.
        Run {
            /// The caller's name for it.
            request: RequestId,
            /// The position that the log must include.
            floor: Option<Position>,
            /// The caller's own text.
            text: Box<str>,
        },
        /// A caller's prepared statement, under this connection's name for it.
        Execute {
            /// The caller's name for the request.
            request: RequestId,
            /// The position that the log must include.
            floor: Option<Position>,
            /// The connection's name for the statement.
            name: Box<str>,
            /// The caller's own text after the name.
            arguments: Box<str>,
        },
        /// The end of a caller's transaction.
        Commit {
            /// The caller's name for the request.
            request: RequestId,
        },
        /// Opens a transaction.
        Begin {
            /// The caller's name for the request, where it is the caller's own.
            request: Option<RequestId>,
            /// The position that the log must include.
            floor: Option<Position>,
            /// Whether a replica will do.
            read_only: bool,
        },
        /// Drops the open transaction.
        Rollback,
        /// Sets a session value.
        Set {
            /// The value's name.
            name: Box<str>,
            /// The value.
            value: Box<str>,
        },
        /// Prepares a statement.
        Prepare {
            /// The connection's name for it.
            name: Box<str>,
            /// The statement.
            shape: Shape,
        },
        /// Clears session values and prepared statements.
        Reset,
        /// Asks for the target's [`TargetStatus`].
        Status,
        /// Stops a replica from receiving until a higher term has a primary.
        Pause {
            /// The term to come.
            term: Term,
        },
        /// Makes a primary of a lower term a replica.
        StepDown {
            /// The term to come.
            term: Term,
        },
    }
}

impl Failure {
    /// Returns whether the failure shows that the statement never ran.
    pub fn is_not_run(&self) -> bool {
        matches!(
            self,
            Self::Busy
                | Self::Lagging
                | Self::NotPrimary
                | Self::WrongTarget
                | Self::TooManyConnections
                | Self::UnknownPrepared
        )
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = match self {
            Self::Busy => "busy",
            Self::Aborted => "aborted",
            Self::Lagging => "lagging",
            Self::NotPrimary => "not-primary",
            Self::WrongTarget => "wrong-target",
            Self::TooManyConnections => "too-many-connections",
            Self::UnknownPrepared => "unknown-prepared",
            Self::Failed => "failed",
            Self::Timeout => "timeout",
            Self::InDoubt => "in-doubt",
            Self::NoDatabase => "no-database",
            Self::TooLarge => "too-large",
            Self::Malformed => "malformed",
            Self::Other(word) => word,
        };
        f.write_str(word)
    }
}

impl Answer {
    /// Builds a success that this process gives itself.
    pub fn done(state: SessionState) -> Self {
        Self {
            rows: Vec::new(),
            outcome: Outcome::Done { receipt: None },
            state,
            position: None,
        }
    }

    /// Builds an answer without a result.
    pub fn failed(failure: Failure, message: impl Into<Box<str>>, state: SessionState) -> Self {
        Self {
            rows: Vec::new(),
            outcome: Outcome::Failed {
                failure,
                message: message.into(),
            },
            state,
            position: None,
        }
    }

    /// Returns the failure, if there is one.
    pub fn failure(&self) -> Option<&Failure> {
        match &self.outcome {
            Outcome::Done { .. } => None,
            Outcome::Failed { failure, .. } => Some(failure),
        }
    }
}
