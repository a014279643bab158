//! SQL errors with the SQLSTATE codes that PostgreSQL uses.

/// The statement was cancelled by a request or a timeout.
pub const QUERY_CANCELED: &str = "57014";
/// The server or the transaction is read-only.
pub const READ_ONLY: &str = "25006";
/// An earlier statement of the transaction failed; only a rollback or commit is accepted.
pub const IN_FAILED_TRANSACTION: &str = "25P02";
/// Another row already holds the value of a unique column.
pub const UNIQUE_VIOLATION: &str = "23505";
/// A column declared `NOT NULL` was given a null value.
pub const NOT_NULL_VIOLATION: &str = "23502";
/// Sessions wait for each other's locks in a cycle.
pub const DEADLOCK_DETECTED: &str = "40P01";
/// A lock wasn't acquired within the lock timeout.
pub const LOCK_NOT_AVAILABLE: &str = "55P03";
/// The connection limit is reached.
pub const TOO_MANY_CONNECTIONS: &str = "53300";
/// The text isn't a valid SQL statement.
pub const SYNTAX_ERROR: &str = "42601";
/// The table doesn't exist.
pub const UNDEFINED_TABLE: &str = "42P01";
/// The table already exists.
pub const DUPLICATE_TABLE: &str = "42P07";
/// The column doesn't exist.
pub const UNDEFINED_COLUMN: &str = "42703";
/// The function doesn't exist.
pub const UNDEFINED_FUNCTION: &str = "42883";
/// The setting doesn't exist.
pub const UNDEFINED_SETTING: &str = "42704";
/// The prepared statement doesn't exist.
pub const UNDEFINED_STATEMENT: &str = "26000";
/// The prepared statement already exists.
pub const DUPLICATE_STATEMENT: &str = "42P05";
/// The portal doesn't exist.
pub const UNDEFINED_PORTAL: &str = "34000";
/// A value has the wrong type for the operation.
pub const DATATYPE_MISMATCH: &str = "42804";
/// The text can't be converted to the type.
pub const INVALID_TEXT: &str = "22P02";
/// The number is out of the range of its type.
pub const OUT_OF_RANGE: &str = "22003";
/// The stand-in doesn't implement the feature.
pub const NOT_SUPPORTED: &str = "0A000";
/// The client's message violates the wire protocol.
pub const PROTOCOL_VIOLATION: &str = "08P01";
/// Password authentication failed.
pub const INVALID_PASSWORD: &str = "28P01";
/// The transaction or value would exceed a size limit.
pub const LIMIT_EXCEEDED: &str = "54000";
/// A file of the server can't be written.
pub const IO_ERROR: &str = "58030";
/// The connection was terminated by an administrator.
pub const ADMIN_SHUTDOWN: &str = "57P01";
/// A transaction was idle for longer than the session's idle timeout.
pub const IDLE_IN_TRANSACTION_TIMEOUT: &str = "25P03";

/// An error reported to a SQL client.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{sqlstate}: {message}")]
pub struct SqlError {
    /// The five-character SQLSTATE code.
    pub sqlstate: &'static str,
    /// The error message for the client.
    pub message: Box<str>,
}

impl SqlError {
    /// Creates an error with the given SQLSTATE and message.
    pub fn new(sqlstate: &'static str, message: impl Into<Box<str>>) -> Self {
        Self {
            sqlstate,
            message: message.into(),
        }
    }

    /// Creates the error for a feature that the stand-in doesn't implement.
    pub fn unsupported(what: impl std::fmt::Display) -> Self {
        Self::new(
            NOT_SUPPORTED,
            format!("{what} is not supported by this stand-in"),
        )
    }
}
