//! What a front needs of the protocol that callers and targets speak.

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

/// A message of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerMessage {
    /// The first message: names the database.
    Start {
        /// The database.
        database: DatabaseName,
    },
    /// A statement.
    Statement(Statement),
    /// The end of the session.
    Terminate,
    /// Not a message of the protocol.
    Unreadable,
}

/// A part of a target's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetMessage {
    /// One row.
    Row(Box<str>),
    /// Success, with the target's receipt, or none for a command of this process.
    Done(Option<Box<str>>),
    /// No result.
    Failed {
        /// Why.
        failure: Failure,
        /// The target's own words.
        message: Box<str>,
    },
    /// The target takes the next command.
    Ready {
        /// Where the session stands.
        state: SessionState,
        /// The position of the target's log.
        position: Option<Position>,
    },
    /// Not a message of the protocol.
    Unreadable,
}

/// A whole message at the start of a buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Frame {
    /// The buffer holds no whole message yet.
    Partial,
    /// The message takes this many bytes.
    Whole(usize),
    /// The message passes the limit.
    TooLarge,
}

/// The codec of a protocol. It holds no state: messages say all.
pub trait Protocol {
    /// Finds the first message of a buffer.
    fn frame(&self, buffer: &[u8]) -> Frame;

    /// Reads a caller's message.
    fn read_caller(&self, message: &[u8]) -> CallerMessage;

    /// Reads a target's message.
    fn read_target(&self, message: &[u8]) -> TargetMessage;

    /// Reads the row that answers a probe.
    fn read_status(&self, row: &str) -> Option<TargetStatus>;

    /// Writes that a session has started.
    fn write_started(&self, out: &mut Vec<u8>);

    /// Writes an answer.
    fn write_answer(&self, answer: &Answer, out: &mut Vec<u8>);

    /// Writes a refusal after which the connection is closed.
    fn write_refusal(&self, failure: &Failure, message: &str, out: &mut Vec<u8>);

    /// Writes the first message to a target, which names who must answer.
    fn write_start(&self, group: &GroupName, member: &MemberId, out: &mut Vec<u8>);

    /// Writes the first message of a caller, which names its database.
    fn write_caller_start(&self, database: &DatabaseName, out: &mut Vec<u8>);

    /// Writes a command.
    fn write_command(&self, command: &Command, out: &mut Vec<u8>);
}
