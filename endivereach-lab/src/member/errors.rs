//! Errors of SQL statements, with PostgreSQL's codes.

/// The statement was cancelled.
pub const QUERY_CANCELED: &str = "57014";
/// The server doesn't accept writes.
pub const READ_ONLY: &str = "25006";
/// The transaction failed before and waits for its end.
pub const IN_FAILED_TRANSACTION: &str = "25P02";
/// A unique key is taken.
pub const UNIQUE_VIOLATION: &str = "23505";
/// A value is missing.
pub const NOT_NULL_VIOLATION: &str = "23502";
/// Transactions wait for each other.
pub const DEADLOCK_DETECTED: &str = "40P01";
/// A lock wasn't granted in time.
pub const LOCK_NOT_AVAILABLE: &str = "55P03";
/// No connection is free.
pub const TOO_MANY_CONNECTIONS: &str = "53300";
/// The text isn't a statement.
pub const SYNTAX_ERROR: &str = "42601";
/// The table doesn't exist.
pub const UNDEFINED_TABLE: &str = "42P01";
/// The table exists.
pub const DUPLICATE_TABLE: &str = "42P07";
/// The column doesn't exist.
pub const UNDEFINED_COLUMN: &str = "42703";
/// The function doesn't exist.
pub const UNDEFINED_FUNCTION: &str = "42883";
/// The setting doesn't exist.
pub const UNDEFINED_SETTING: &str = "42704";
/// The prepared statement doesn't exist.
pub const UNDEFINED_STATEMENT: &str = "26000";
/// The prepared statement exists.
pub const DUPLICATE_STATEMENT: &str = "42P05";
/// The portal doesn't exist.
pub const UNDEFINED_PORTAL: &str = "34000";
/// The types don't fit.
pub const DATATYPE_MISMATCH: &str = "42804";
/// The text isn't a value of the type.
pub const INVALID_TEXT: &str = "22P02";
/// The number is out of range.
pub const OUT_OF_RANGE: &str = "22003";
/// The stand-in doesn't know the feature.
pub const NOT_SUPPORTED: &str = "0A000";
/// The message breaks the protocol.
pub const PROTOCOL_VIOLATION: &str = "08P01";
/// The password is wrong.
pub const INVALID_PASSWORD: &str = "28P01";
/// The transaction would be too large.
pub const LIMIT_EXCEEDED: &str = "54000";
/// A file can't be written.
pub const IO_ERROR: &str = "58030";
/// The connection was ended by an administrator.
pub const ADMIN_SHUTDOWN: &str = "57P01";
/// A transaction stayed idle for too long.
pub const IDLE_IN_TRANSACTION_TIMEOUT: &str = "25P03";

/// An error of a statement.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{code}: {message}")]
pub struct SqlError {
    /// The SQLSTATE.
    pub code: &'static str,
    /// What is wrong.
    pub message: Box<str>,
}

impl SqlError {
    /// Builds an error.
    pub fn new(code: &'static str, message: impl Into<Box<str>>) -> Self {
        Self {
            code,
            message: message.into(),
        }
    }

    /// Builds the error for what the stand-in doesn't know.
    pub fn unsupported(what: impl std::fmt::Display) -> Self {
        Self::new(
            NOT_SUPPORTED,
            format!("{what} is not supported by this stand-in"),
        )
    }
}
