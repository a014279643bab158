//! Statements, answers and commands, independent of the wire protocol.

use crate::ids::Position;
use crate::ids::RequestId;
use crate::ids::Term;
use std::fmt;

crate::number_newtype! {
    /// One connection of a caller to this process.
    CallerId
    /// One connection of this process to a target.
    ConnectionId
    /// A number that increases whenever a process acquires the duty to promote.
    FencingToken
}

crate::text_newtype! {
    /// The database name that a caller connects to.
    DatabaseName
}

crate::value! {
    /// Whether a statement reads or writes data.
    pub enum Access {
        /// The statement only reads.
        Read,
        /// The statement may change data.
        Write,
    }

    /// The transaction state of a session between two statements.
    pub enum SessionState {
        /// No transaction is open.
        Idle,
        /// A transaction is open.
        InTransaction,
        /// A transaction failed, and the caller has to end it.
        Failed,
    }
}

crate::data! {
    /// The kind of a caller's statement, with its parameters.
    pub enum Body {
        /// Opens a transaction.
        Begin {
            /// Whether the transaction is read-only.
            read_only: bool,
        },
        /// Commits the transaction.
        Commit,
        /// Rolls the transaction back.
        Rollback,
        /// Runs a statement as the caller wrote it.
        Run {
            /// Whether the statement reads or writes.
            access: Access,
            /// The statement's text, unchanged from the caller.
            text: Box<str>,
        },
        /// Sets a session value.
        Set {
            /// The value's name.
            name: Box<str>,
            /// The value.
            value: Box<str>,
        },
        /// Prepares a statement under a name of the session.
        Prepare {
            /// The name.
            name: Box<str>,
            /// The statement to prepare.
            #[serde(rename = "shape")]
            definition: PreparedStatement,
        },
        /// Runs a prepared statement.
        Execute {
            /// The statement's name in the session.
            name: Box<str>,
            /// The text after the name, unchanged from the caller.
            arguments: Box<str>,
        },
        /// Removes a prepared statement.
        Deallocate {
            /// The statement's name in the session.
            name: Box<str>,
        },
        /// Text that couldn't be parsed as a statement.
        #[serde(rename = "Unreadable")]
        Unparsable,
    }

    /// A statement that can be prepared.
    #[derive(PartialOrd, Ord)]
    pub struct PreparedStatement {
        /// Whether the statement reads or writes.
        pub access: Access,
        /// The text that defines the statement, unchanged from the caller.
        pub text: Box<str>,
    }

    /// One statement of a caller.
    pub struct Statement {
        /// The caller's id for the request, passed on to the target unchanged.
        pub request: RequestId,
        /// The kind of the statement, with its parameters.
        pub body: Body,
    }

    /// Why a statement has no result.
    pub enum Failure {
        /// Not run: no capacity.
        Busy,
        /// Rolled back: the transaction or statement was aborted.
        Aborted,
        /// Not run: the target's log doesn't include the required position.
        Lagging,
        /// Not run: the target isn't the primary.
        NotPrimary,
        /// Not run: the server at this address isn't the expected target.
        WrongTarget,
        /// Not run: the target accepts no more connections.
        TooManyConnections,
        /// Not run: no statement is prepared under this name.
        UnknownPrepared,
        /// Ran and failed.
        Failed,
        /// Timed out while it ran.
        Timeout,
        /// The outcome is unknown, for example because the connection ended before the answer.
        InDoubt,
        /// No route has this database name.
        NoDatabase,
        /// The caller's key isn't known, or has been withdrawn.
        NotAuthorized,
        /// The message exceeds the size limit.
        TooLarge,
        /// Not parsable, or not allowed in this session state.
        Malformed,
        /// A failure code that this version doesn't define.
        Other(Box<str>),
    }

    /// The result of a statement, without its rows.
    pub enum Outcome {
        /// The statement succeeded.
        Done {
            /// The text that the target returns for a statement that ran, or `None` if this process
            /// answered the statement itself.
            receipt: Option<Box<str>>,
        },
        /// The statement failed.
        Failed {
            /// The kind of the failure.
            failure: Failure,
            /// A message that says what to do.
            message: Box<str>,
        },
    }

    /// The complete answer to one statement.
    pub struct Answer {
        /// The rows, each in the target's encoding.
        pub rows: Vec<Box<str>>,
        /// Whether the statement succeeded.
        pub outcome: Outcome,
        /// The session's transaction state after the statement.
        pub state: SessionState,
        /// The position of the target's log, if the target reported one.
        pub position: Option<Position>,
    }

    /// A target's reply to [`Command::Status`].
    pub struct TargetStatus {
        /// Whether the target is the primary in `term`.
        #[serde(rename = "leads")]
        pub is_primary: bool,
        /// The target's current term.
        pub term: Term,
        /// The last position of the log that the target received.
        pub received: Position,
        /// The term that the target is fenced for, or zero if it isn't fenced.
        pub fenced_term: Term,
        /// The number of the target's connections, from all proxies.
        pub connections: u32,
    }

    /// A command sent to a target.
    pub enum Command {
        /// Runs a caller's statement.
        Run {
            /// The caller's id for the request.
            request: RequestId,
            /// The position that the log must include.
            floor: Option<Position>,
            /// The statement's text, unchanged from the caller.
            text: Box<str>,
        },
        /// Runs a statement that is prepared on this connection.
        Execute {
            /// The caller's id for the request.
            request: RequestId,
            /// The position that the log must include.
            floor: Option<Position>,
            /// The statement's name on this connection.
            name: Box<str>,
            /// The text after the name, unchanged from the caller.
            arguments: Box<str>,
        },
        /// Commits a caller's transaction.
        Commit {
            /// The caller's id for the request.
            request: RequestId,
        },
        /// Opens a transaction.
        Begin {
            /// The caller's id for the request, if the command is the caller's own `Begin`
            /// unchanged.
            request: Option<RequestId>,
            /// The position that the log must include.
            floor: Option<Position>,
            /// Whether the transaction is read-only, so that a replica can run it.
            read_only: bool,
        },
        /// Rolls the open transaction back.
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
            /// The statement's name on this connection.
            name: Box<str>,
            /// The statement.
            #[serde(rename = "shape")]
            definition: PreparedStatement,
        },
        /// Clears session values and prepared statements.
        Reset,
        /// Requests the target's [`TargetStatus`].
        Status,
        /// Fences a replica: it receives nothing until there is a primary of this or a higher term.
        Pause {
            /// The term of the next primary.
            term: Term,
        },
        /// Demotes a primary of a lower term to a replica.
        StepDown {
            /// The term of the next primary.
            term: Term,
        },
    }
}

impl Failure {
    /// Returns whether the failure means that the statement didn't run.
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
        let code = match self {
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
            Self::NotAuthorized => "not-authorized",
            Self::TooLarge => "too-large",
            Self::Malformed => "malformed",
            Self::Other(code) => code,
        };
        f.write_str(code)
    }
}

impl Answer {
    /// Returns a success without rows or receipt, for a statement that this process answers itself.
    pub fn done(state: SessionState) -> Self {
        Self {
            rows: Vec::new(),
            outcome: Outcome::Done { receipt: None },
            state,
            position: None,
        }
    }

    /// Returns a failure.
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

    /// Returns the failure, or `None` if the statement succeeded.
    pub fn failure(&self) -> Option<&Failure> {
        match &self.outcome {
            Outcome::Done { .. } => None,
            Outcome::Failed { failure, .. } => Some(failure),
        }
    }
}
