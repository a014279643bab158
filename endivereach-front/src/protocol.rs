//! The interface to the wire protocol of callers and targets.

use endivereach_core::engine::statement::Answer;
use endivereach_core::engine::statement::Command;
use endivereach_core::engine::statement::DatabaseName;
use endivereach_core::engine::statement::Failure;
use endivereach_core::engine::statement::SessionState;
use endivereach_core::engine::statement::Statement;
use endivereach_core::engine::statement::TargetStatus;
use endivereach_core::ids::GroupName;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::Position;
use endivereach_core::tenants::CallerKey;
use endivereach_core::tenants::TenantName;

/// A message from a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerMessage {
    /// The first message of a session.
    Start {
        /// The name of the database that the session uses.
        database: DatabaseName,
        /// The key that identifies the caller, if the message has one.
        key: Option<CallerKey>,
    },
    /// A statement to run.
    Statement(Statement),
    /// The end of the session.
    Terminate,
    /// A statement that may exceed the size limit in the form in which it is sent to a target.
    TooLarge,
    /// Bytes that aren't a message of the protocol.
    Unreadable,
}

/// A message from a target, which is a part of its answer to a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetMessage {
    /// One row of the result.
    Row(Box<str>),
    /// Success, with the target's receipt. There is no receipt for commands that the proxy issues
    /// itself.
    Done(Option<Box<str>>),
    /// Failure of the command.
    Failed {
        /// The kind of failure.
        failure: Failure,
        /// The target's error message.
        message: Box<str>,
    },
    /// The end of an answer: the target is ready for the next command.
    Ready {
        /// The transaction state of the session.
        state: SessionState,
        /// The position that the target's log has reached, if the message contains it.
        position: Option<Position>,
    },
    /// Bytes that aren't a message of the protocol.
    Unreadable,
}

/// The first message in a buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Frame {
    /// The message is incomplete.
    Partial,
    /// The message is complete and has this length in bytes.
    Whole(usize),
    /// The message exceeds the size limit.
    TooLarge,
}

/// The codec of a wire protocol. It is stateless: every message can be decoded by itself.
pub trait Protocol {
    /// Returns whether the first message in a buffer is complete, and its length.
    ///
    /// The first message doesn't end within the first `scanned_bytes` of the buffer: an earlier call
    /// returned [`Frame::Partial`] for them. They aren't searched again.
    fn first_frame(&self, buffer: &[u8], scanned_bytes: usize) -> Frame;

    /// Decodes a message from a caller.
    fn decode_caller(&self, message: &[u8]) -> CallerMessage;

    /// Decodes a message from a target.
    fn decode_target(&self, message: &[u8]) -> TargetMessage;

    /// Decodes the row with which a target answers a status probe. Returns `None` if it isn't a
    /// status row.
    fn decode_status(&self, row: &str) -> Option<TargetStatus>;

    /// Appends the message that tells a caller that its session has started.
    fn write_session_started(&self, out: &mut Vec<u8>);

    /// Appends the messages of an answer to a caller.
    fn write_answer(&self, answer: &Answer, out: &mut Vec<u8>);

    /// Appends an error for a caller whose connection is closed afterwards.
    fn write_refusal(&self, failure: &Failure, message: &str, out: &mut Vec<u8>);

    /// Appends the first message to a target. It names the expected group and member, so that
    /// another target at the same address refuses the connection, and the tenant whose statements
    /// the connection runs.
    fn write_target_start(
        &self,
        group: &GroupName,
        member: &MemberId,
        tenant: Option<&TenantName>,
        out: &mut Vec<u8>,
    );

    /// Appends the first message of a caller's session, which names its database and contains its
    /// key.
    fn write_relay_start(
        &self,
        database: &DatabaseName,
        key: Option<&CallerKey>,
        out: &mut Vec<u8>,
    );

    /// Appends a command to a target.
    fn write_command(&self, command: &Command, out: &mut Vec<u8>);
}
