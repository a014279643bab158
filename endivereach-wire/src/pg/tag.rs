//! The type bytes of the protocol's frames.

/// Frames that a caller sends.
pub mod caller {
    /// A simple query.
    pub const QUERY: u8 = b'Q';
    /// Prepares a statement.
    pub const PARSE: u8 = b'P';
    /// Binds parameters to a prepared statement.
    pub const BIND: u8 = b'B';
    /// Asks for the shape of a statement or portal.
    pub const DESCRIBE: u8 = b'D';
    /// Runs a portal.
    pub const EXECUTE: u8 = b'E';
    /// Closes a statement or portal.
    pub const CLOSE: u8 = b'C';
    /// Asks for the answers so far.
    pub const FLUSH: u8 = b'H';
    /// Ends a batch.
    pub const SYNC: u8 = b'S';
    /// Calls a function by number.
    pub const FUNCTION_CALL: u8 = b'F';
    /// A password or a step of SASL.
    pub const PASSWORD: u8 = b'p';
    /// A piece of copied data.
    pub const COPY_DATA: u8 = b'd';
    /// Ends copied data.
    pub const COPY_DONE: u8 = b'c';
    /// Breaks copied data off.
    pub const COPY_FAIL: u8 = b'f';
    /// Says goodbye.
    pub const TERMINATE: u8 = b'X';
}

/// Frames that a target sends.
pub mod target {
    /// A step of authentication.
    pub const AUTHENTICATION: u8 = b'R';
    /// The key for cancel requests.
    pub const BACKEND_KEY_DATA: u8 = b'K';
    /// The value of a parameter.
    pub const PARAMETER_STATUS: u8 = b'S';
    /// The connection is ready; the body is the transaction status.
    pub const READY_FOR_QUERY: u8 = b'Z';
    /// One row.
    pub const DATA_ROW: u8 = b'D';
    /// The shape of rows.
    pub const ROW_DESCRIPTION: u8 = b'T';
    /// A statement ended.
    pub const COMMAND_COMPLETE: u8 = b'C';
    /// The statement's text was empty.
    pub const EMPTY_QUERY: u8 = b'I';
    /// A portal stopped at its row limit.
    pub const PORTAL_SUSPENDED: u8 = b's';
    /// A statement failed.
    pub const ERROR: u8 = b'E';
    /// A notice.
    pub const NOTICE: u8 = b'N';
    /// A notification of `LISTEN`.
    pub const NOTIFICATION: u8 = b'A';
    /// A statement was prepared.
    pub const PARSE_COMPLETE: u8 = b'1';
    /// Parameters were bound.
    pub const BIND_COMPLETE: u8 = b'2';
    /// A statement or portal was closed.
    pub const CLOSE_COMPLETE: u8 = b'3';
    /// The types of a statement's parameters.
    pub const PARAMETER_DESCRIPTION: u8 = b't';
    /// The statement returns no rows.
    pub const NO_DATA: u8 = b'n';
    /// The target waits for copied data.
    pub const COPY_IN: u8 = b'G';
    /// The target sends copied data.
    pub const COPY_OUT: u8 = b'H';
    /// A piece of copied data.
    pub const COPY_DATA: u8 = b'd';
}

/// Transaction statuses, the body of `ReadyForQuery`.
pub mod status {
    /// Outside a transaction.
    pub const IDLE: u8 = b'I';
    /// Inside a transaction.
    pub const TRANSACTION: u8 = b'T';
    /// Inside a transaction that failed.
    pub const FAILED: u8 = b'E';
}
