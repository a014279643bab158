//! The type bytes of messages, and transaction statuses.

/// Type bytes of the messages that a caller sends.
pub mod caller {
    /// Runs a simple query.
    pub const QUERY: u8 = b'Q';
    /// Prepares a statement (`Parse`).
    pub const PARSE: u8 = b'P';
    /// Binds parameters to a prepared statement.
    pub const BIND: u8 = b'B';
    /// Requests the parameter types and result columns of a statement or portal.
    pub const DESCRIBE: u8 = b'D';
    /// Runs a portal.
    pub const EXECUTE: u8 = b'E';
    /// Closes a statement or portal.
    pub const CLOSE: u8 = b'C';
    /// Requests the pending responses without ending the batch.
    pub const FLUSH: u8 = b'H';
    /// Ends a batch of the extended query protocol.
    pub const SYNC: u8 = b'S';
    /// Calls a function by its object id.
    pub const FUNCTION_CALL: u8 = b'F';
    /// Sends a password or a SASL response.
    pub const PASSWORD: u8 = b'p';
    /// Sends a part of the data of a `COPY`.
    pub const COPY_DATA: u8 = b'd';
    /// Ends the data of a `COPY`.
    pub const COPY_DONE: u8 = b'c';
    /// Aborts a `COPY`.
    pub const COPY_FAIL: u8 = b'f';
    /// Closes the connection.
    pub const TERMINATE: u8 = b'X';
}

/// Type bytes of the messages that a target sends.
pub mod target {
    /// An authentication request, or the confirmation of a successful login.
    pub const AUTHENTICATION: u8 = b'R';
    /// The process id and the secret for cancel requests.
    pub const BACKEND_KEY_DATA: u8 = b'K';
    /// The value of a run-time parameter.
    pub const PARAMETER_STATUS: u8 = b'S';
    /// The target is ready for the next query. The body is the transaction status.
    pub const READY_FOR_QUERY: u8 = b'Z';
    /// A row of a result.
    pub const DATA_ROW: u8 = b'D';
    /// The columns of a result.
    pub const ROW_DESCRIPTION: u8 = b'T';
    /// A statement completed.
    pub const COMMAND_COMPLETE: u8 = b'C';
    /// The statement's text was empty.
    pub const EMPTY_QUERY: u8 = b'I';
    /// A portal stopped at its row limit.
    pub const PORTAL_SUSPENDED: u8 = b's';
    /// A statement failed.
    pub const ERROR: u8 = b'E';
    /// A notice or warning (`NoticeResponse`).
    pub const NOTICE: u8 = b'N';
    /// A notification on a channel of `LISTEN`.
    pub const NOTIFICATION: u8 = b'A';
    /// A statement was prepared.
    pub const PARSE_COMPLETE: u8 = b'1';
    /// Parameters were bound.
    pub const BIND_COMPLETE: u8 = b'2';
    /// A statement or portal was closed.
    pub const CLOSE_COMPLETE: u8 = b'3';
    /// The types of the parameters of a statement.
    pub const PARAMETER_DESCRIPTION: u8 = b't';
    /// The statement returns no rows.
    pub const NO_DATA: u8 = b'n';
    /// The target expects the data of a `COPY`.
    pub const COPY_IN: u8 = b'G';
    /// The target is about to send the data of a `COPY`.
    pub const COPY_OUT: u8 = b'H';
    /// A part of the data of a `COPY`.
    pub const COPY_DATA: u8 = b'd';
}

/// Transaction statuses, which are the body of `ReadyForQuery`.
pub mod status {
    /// Outside a transaction block.
    pub const IDLE: u8 = b'I';
    /// Inside a transaction block.
    pub const TRANSACTION: u8 = b'T';
    /// Inside a failed transaction block.
    pub const FAILED: u8 = b'E';
}
