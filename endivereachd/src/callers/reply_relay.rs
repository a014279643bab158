//! Passing a target's answer on to the caller, frame by frame.

use crate::targets::Connection;
use crate::targets::ConnectionError;
use crate::targets::command_tag;
use endivereach_core::ids::Position;
use endivereach_wire::member::PARAMETER_POSITION;
use endivereach_wire::pg::buffer::Front;
use endivereach_wire::pg::frame::put_frame;
use endivereach_wire::pg::reply::error_field;
use endivereach_wire::pg::reply::parameter;
use endivereach_wire::pg::tag::caller;
use endivereach_wire::pg::tag::target;
use std::collections::VecDeque;
use std::io;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

/// An answer is sent on when this much of it has gathered, in bytes.
const FLUSH_BYTES: usize = 32 * 1024;

/// Why copied data is refused, as the target reports it.
const COPY_REFUSED_MESSAGE: &[u8] = b"a pooled proxy carries no COPY FROM STDIN; use INSERT\0";

/// How much of an answer that may not be shown yet is kept, in bytes.
const WITHHELD_MAX_BYTES: usize = 1024 * 1024;

/// The answer on its way to the caller.
#[derive(Debug)]
pub(crate) struct Output<'a> {
    /// What wasn't sent yet.
    pub(crate) buffer: &'a mut Vec<u8>,
    /// The caller.
    pub(crate) caller: &'a TcpStream,
    /// Whether anything was sent.
    pub(crate) is_started: bool,
}

impl Output<'_> {
    /// Sends what has gathered.
    ///
    /// # Errors
    ///
    /// Returns the stream's errors: the caller is gone.
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

/// What the answer to one message of an extended batch is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReplyAction {
    /// It is passed on.
    Forward,
    /// The message was added by the proxy: its answer is dropped.
    Discard,
    /// The message was not sent: this empty frame is its answer.
    Insert(u8),
}

/// The answers that an extended batch expects, in order.
#[derive(Debug, Default)]
pub(crate) struct PendingReplies {
    queue: VecDeque<ReplyAction>,
}

impl PendingReplies {
    pub(crate) fn push(&mut self, expect: ReplyAction) {
        self.queue.push_back(expect);
    }

    /// Returns whether every message was answered.
    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Puts the answers that are due without a message.
    fn put_inserted_replies(&mut self, buffer: &mut Vec<u8>) {
        while let Some(&ReplyAction::Insert(tag)) = self.queue.front() {
            put_frame(buffer, tag, &[]);
            self.queue.pop_front();
        }
    }

    /// Takes note of a frame, and returns whether it is passed on.
    fn should_forward(&mut self, tag: u8) -> bool {
        let ends_an_answer = matches!(
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
        if !ends_an_answer {
            return true;
        }
        self.queue.pop_front() != Some(ReplyAction::Discard)
    }
}

/// When the answer may be shown.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelayOptions {
    /// The position that the answer has to include.
    pub(crate) required: Option<Position>,
    /// Whether the answer is kept until its commit is confirmed.
    pub(crate) withhold: bool,
    /// How long the target may send nothing.
    pub(crate) silence_timeout: Duration,
}

/// How an answer ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RelayedReply {
    /// The SQLSTATE of the last error, if there was one.
    pub(crate) sqlstate: Option<Box<str>>,
    /// The tag of the last command.
    pub(crate) command: Box<str>,
}

/// Why an answer was not passed on to its end.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RelayError {
    /// The target's connection failed.
    #[error(transparent)]
    Target(#[from] ConnectionError),
    /// The answer is older than required; nothing of it was shown.
    #[error("the answer stands at {0}, which is older than required")]
    TooOld(Position),
    /// The caller is gone.
    #[error("the caller is gone: {0}")]
    CallerGone(io::Error),
}

/// Passes one answer on, up to but without its `ReadyForQuery`, or up to the end of `expected` when
/// `stops_at_end` is set.
///
/// # Errors
///
/// Returns an error when the answer did not end; the connection must not be used again then.
pub(crate) fn relay(
    connection: &mut Connection,
    output: &mut Output<'_>,
    expected: &mut PendingReplies,
    options: RelayOptions,
    stops_at_end: bool,
) -> Result<RelayedReply, RelayError> {
    let mut relayed = RelayedReply::default();
    let mut is_position_checked = options.required.is_none();
    expected.put_inserted_replies(output.buffer);
    while !(stops_at_end && expected.is_empty()) {
        let len_bytes = match connection.wait_frame(options.silence_timeout)? {
            Front::Whole(len_bytes) => len_bytes,
            Front::Part { len_bytes, .. } => {
                check_position(connection, options.required)?;
                is_position_checked = true;
                stream_row(connection, output, len_bytes, options.silence_timeout)?;
                continue;
            }
            Front::Nothing => continue,
        };
        let frame = connection.take_frame(len_bytes);
        let (tag, body) = (frame.tag(), frame.body());
        match tag {
            target::READY_FOR_QUERY => return Ok(relayed),
            target::PARAMETER_STATUS
                if parameter(body).is_some_and(|(name, _)| name == PARAMETER_POSITION) =>
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
            FLUSH_BYTES
        };
        if is_position_checked && output.buffer.len() > limit && !ends_statement(tag) {
            output.flush().map_err(RelayError::CallerGone)?;
        }
    }
    Ok(relayed)
}

/// Refuses to send data that a target waits for. A target that waits inside a batch ignored the
/// batch's `Sync`, and needs another.
fn refuse_copy(connection: &mut Connection, is_in_batch: bool) -> Result<(), ConnectionError> {
    let mut bytes = Vec::new();
    put_frame(&mut bytes, caller::COPY_FAIL, COPY_REFUSED_MESSAGE);
    if is_in_batch {
        put_frame(&mut bytes, caller::SYNC, &[]);
    }
    connection.send(&bytes)
}

/// Passes a row on that is larger than the connection's buffer.
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
        if output.buffer.len() > FLUSH_BYTES {
            output.flush().map_err(RelayError::CallerGone)?;
        }
    }
    Ok(())
}

/// Checks the position that the target reported before its first row.
fn check_position(connection: &Connection, required: Option<Position>) -> Result<(), RelayError> {
    let Some(required) = required else {
        return Ok(());
    };
    match connection.position {
        Some(position) if position >= required => Ok(()),
        position => Err(RelayError::TooOld(position.unwrap_or_default())),
    }
}

/// Returns whether a frame shows something of the data, or that there is none.
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

/// Returns whether a frame tells that a statement ended, which is withheld until it is confirmed.
fn ends_statement(tag: u8) -> bool {
    matches!(tag, target::COMMAND_COMPLETE | target::ERROR)
}
