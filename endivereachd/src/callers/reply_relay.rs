//! Relaying of a target's reply to the caller, frame by frame.

use crate::targets::Connection;
use crate::targets::ConnectionError;
use crate::targets::command_tag;
use endivereach_core::ids::Position;
use endivereach_wire::member::PARAMETER_POSITION;
use endivereach_wire::pg::buffer::BufferedFrame;
use endivereach_wire::pg::frame::put_frame;
use endivereach_wire::pg::reply::error_field;
use endivereach_wire::pg::reply::parse_parameter_status;
use endivereach_wire::pg::tag::caller;
use endivereach_wire::pg::tag::target;
use std::collections::VecDeque;
use std::io;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

/// The size of the output buffer above which it is sent to the caller, in bytes.
const FLUSH_THRESHOLD_BYTES: usize = 32 * 1024;

/// The reason in the `CopyFail` message, which the target repeats in its error.
const COPY_REFUSED_MESSAGE: &[u8] = b"a pooled proxy carries no COPY FROM STDIN; use INSERT\0";

/// The size of the output buffer above which even a withheld reply is sent, in bytes. A frame that
/// ends a statement never triggers the sending.
const WITHHELD_MAX_BYTES: usize = 1024 * 1024;

/// The reply that is being sent to the caller.
#[derive(Debug)]
pub(crate) struct Output<'a> {
    /// The part of the reply that was not sent yet.
    pub(crate) buffer: &'a mut Vec<u8>,
    /// The caller's socket.
    pub(crate) caller: &'a TcpStream,
    /// Whether any part of the reply was sent.
    pub(crate) is_started: bool,
}

impl Output<'_> {
    /// Sends the buffered part of the reply.
    ///
    /// # Errors
    ///
    /// Returns the socket's error, which means that the caller has disconnected.
    pub(crate) fn flush(&mut self) -> io::Result<()> {
        if self.buffer.is_empty() {
            return Ok(());
        }
        self.is_started = true;
        let mut caller = self.caller;
        caller.write_all(self.buffer)?;
        self.buffer.clear();
        Ok(())
    }
}

/// How the reply to one message of an extended-protocol batch is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReplyAction {
    /// The target's reply is forwarded to the caller.
    Forward,
    /// The proxy added the message, so the target's reply is discarded.
    Discard,
    /// The message was not sent to the target, so the proxy inserts an empty frame with this type
    /// byte as its reply.
    Insert(u8),
}

/// The outstanding replies to the messages of an extended-protocol batch, in order.
#[derive(Debug, Default)]
pub(crate) struct PendingReplies {
    queue: VecDeque<ReplyAction>,
}

impl PendingReplies {
    pub(crate) fn push(&mut self, action: ReplyAction) {
        self.queue.push_back(action);
    }

    /// Returns whether the replies to all messages have been handled.
    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Appends the inserted replies that precede the target's next reply.
    fn put_inserted_replies(&mut self, buffer: &mut Vec<u8>) {
        while let Some(&ReplyAction::Insert(tag)) = self.queue.front() {
            put_frame(buffer, tag, &[]);
            self.queue.pop_front();
        }
    }

    /// Removes the reply that a frame completes, and returns whether the frame is forwarded.
    fn should_forward(&mut self, tag: u8) -> bool {
        let completes_reply = matches!(
            tag,
            target::PARSE_COMPLETE
                | target::BIND_COMPLETE
                | target::CLOSE_COMPLETE
                | target::ROW_DESCRIPTION
                | target::NO_DATA
                | target::COMMAND_COMPLETE
                | target::EMPTY_QUERY
                | target::PORTAL_SUSPENDED
        );
        if tag == target::ERROR {
            self.queue.clear();
        }
        if !completes_reply {
            return true;
        }
        self.queue.pop_front() != Some(ReplyAction::Discard)
    }
}

/// The conditions under which a reply may be sent to the caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelayOptions {
    /// The minimum log position of the target's state, if there is one.
    pub(crate) required: Option<Position>,
    /// Whether the end of the reply is withheld until its commit is confirmed.
    pub(crate) withhold: bool,
    /// The maximum time for which the target may send no data.
    pub(crate) silence_timeout: Duration,
}

/// The result of a reply that was relayed to its end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RelayedReply {
    /// The SQLSTATE of the last error, if the reply contains one.
    pub(crate) sqlstate: Option<Box<str>>,
    /// The command tag of the last completed command.
    pub(crate) command: Box<str>,
}

/// The reason why a reply was not relayed to its end.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RelayError {
    /// The connection to the target failed.
    #[error(transparent)]
    Target(#[from] ConnectionError),
    /// The target's state is older than required; no part of the reply was sent.
    #[error("the reply is from position {0}, which is older than required")]
    TooOld(Position),
    /// The caller has disconnected.
    #[error("the caller has disconnected: {0}")]
    CallerDisconnected(io::Error),
}

/// Relays one reply up to, but without, its `ReadyForQuery`. `is_flushed` tells whether the
/// batch ends with `Flush`: the target then sends no `ReadyForQuery`, so the reply also ends when
/// no entry of `expected` is left.
///
/// # Errors
///
/// Returns an error when the reply did not end; the connection must not be reused then.
pub(crate) fn relay(
    connection: &mut Connection,
    output: &mut Output<'_>,
    expected: &mut PendingReplies,
    options: RelayOptions,
    is_flushed: bool,
) -> Result<RelayedReply, RelayError> {
    let mut relayed = RelayedReply::default();
    let mut is_position_checked = options.required.is_none();
    expected.put_inserted_replies(output.buffer);
    while !(is_flushed && expected.is_empty()) {
        let len_bytes = match connection.wait_frame(options.silence_timeout)? {
            BufferedFrame::Complete(len_bytes) => len_bytes,
            BufferedFrame::Partial { len_bytes, .. } => {
                check_position(connection, options.required)?;
                is_position_checked = true;
                stream_row(connection, output, len_bytes, options.silence_timeout)?;
                continue;
            }
            BufferedFrame::IncompleteHeader => continue,
        };
        let frame = connection.take_frame(len_bytes);
        let (tag, body) = (frame.tag(), frame.body());
        match tag {
            target::READY_FOR_QUERY => return Ok(relayed),
            target::PARAMETER_STATUS
                if parse_parameter_status(body)
                    .is_some_and(|(name, _)| name == PARAMETER_POSITION) =>
            {
                continue;
            }
            target::ERROR => {
                let code = error_field(body, b'C').unwrap_or("XX000");
                relayed.sqlstate = Some(code.into());
            }
            target::COMMAND_COMPLETE => relayed.command = command_tag(body).into(),
            target::COPY_IN => {
                refuse_copy(connection, !expected.is_empty())?;
                continue;
            }
            _ => {}
        }
        if expected.should_forward(tag) {
            output.buffer.extend_from_slice(frame.bytes);
        }
        expected.put_inserted_replies(output.buffer);
        if !is_position_checked && reveals_data(tag) {
            check_position(connection, options.required)?;
            is_position_checked = true;
        }
        let limit = if options.withhold {
            WITHHELD_MAX_BYTES
        } else {
            FLUSH_THRESHOLD_BYTES
        };
        if is_position_checked && output.buffer.len() > limit && !ends_statement(tag) {
            output.flush().map_err(RelayError::CallerDisconnected)?;
        }
    }
    Ok(relayed)
}

/// Replies to a `CopyInResponse` with `CopyFail`. While a target waits for COPY data inside a batch
/// it ignores the `Sync` of the batch, so another one is sent.
fn refuse_copy(connection: &mut Connection, is_in_batch: bool) -> Result<(), ConnectionError> {
    let mut bytes = Vec::new();
    put_frame(&mut bytes, caller::COPY_FAIL, COPY_REFUSED_MESSAGE);
    if is_in_batch {
        put_frame(&mut bytes, caller::SYNC, &[]);
    }
    connection.send(&bytes)
}

/// Relays a row that is larger than the connection's read buffer.
fn stream_row(
    connection: &mut Connection,
    output: &mut Output<'_>,
    len_bytes: usize,
    silence_timeout: Duration,
) -> Result<(), RelayError> {
    let mut remaining_bytes = len_bytes;
    while remaining_bytes > 0 {
        let part = connection.take_part(remaining_bytes, silence_timeout)?;
        remaining_bytes -= part.len();
        output.buffer.extend_from_slice(part);
        if output.buffer.len() > FLUSH_THRESHOLD_BYTES {
            output.flush().map_err(RelayError::CallerDisconnected)?;
        }
    }
    Ok(())
}

/// Compares the position that the target reported before its first row with the required one.
fn check_position(connection: &Connection, required: Option<Position>) -> Result<(), RelayError> {
    let Some(required) = required else {
        return Ok(());
    };
    match connection.position {
        Some(position) if position >= required => Ok(()),
        position => Err(RelayError::TooOld(position.unwrap_or_default())),
    }
}

/// Returns whether a frame reveals data, or reveals that there is none.
fn reveals_data(tag: u8) -> bool {
    matches!(
        tag,
        target::DATA_ROW
            | target::COMMAND_COMPLETE
            | target::EMPTY_QUERY
            | target::PORTAL_SUSPENDED
            | target::COPY_OUT
            | target::ERROR
    )
}

/// Returns whether a frame reports the end of a statement, which is withheld until the commit is
/// confirmed.
fn ends_statement(tag: u8) -> bool {
    matches!(tag, target::COMMAND_COMPLETE | target::ERROR)
}
