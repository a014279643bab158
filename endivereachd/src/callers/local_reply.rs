//! Replies that the proxy creates itself: for statements that it executes locally, and for requests
//! that an earlier attempt has committed.

use super::request::Frames;
use super::request::Request;
use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use endivereach_core::outcome::DONE;
use endivereach_wire::pg::buffer::FrameBuffer;
use endivereach_wire::pg::frame::HEADER_BYTES;
use endivereach_wire::pg::frame::put_frame;
use endivereach_wire::pg::reply::put_command_complete;
use endivereach_wire::pg::tag::caller;
use endivereach_wire::pg::tag::target;

/// The maximum size of a reply that is stored in a marker, in bytes.
const STORED_REPLY_MAX_BYTES: usize = 64 * 1024;

/// The separator between the word "done" and the encoded reply in a marker's outcome.
const SEPARATOR: char = ':';

/// The frames of a reply that are stored: its descriptions, its rows and its command tags.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct StoredReply {
    parameter_description: Vec<u8>,
    row_description: Vec<u8>,
    rows_and_command_tags: Vec<u8>,
}

impl StoredReply {
    /// Extracts the stored parts from the frames of a reply.
    pub(crate) fn from_frames(reply_frames: &[u8]) -> Self {
        let mut stored = Self::default();
        let mut buffer = FrameBuffer::with_capacity(reply_frames.len().max(HEADER_BYTES));
        let mut source = reply_frames;
        // Reading from a slice can't fail, and the slice has only whole frames.
        let _ = buffer.fill(&mut source);
        while let Ok(Some(frame)) = buffer.next_frame(reply_frames.len()) {
            match frame.tag() {
                target::PARAMETER_DESCRIPTION => stored.parameter_description = frame.bytes.into(),
                target::ROW_DESCRIPTION | target::NO_DATA => {
                    stored.row_description = frame.bytes.into()
                }
                target::DATA_ROW | target::COMMAND_COMPLETE => {
                    stored.rows_and_command_tags.extend_from_slice(frame.bytes);
                }
                _ => {}
            }
        }
        stored
    }

    /// Creates the reply of a statement that returns no rows.
    pub(crate) fn from_command(command: &str) -> Self {
        let mut stored = Self::default();
        put_command_complete(&mut stored.rows_and_command_tags, command);
        stored
    }

    /// Returns the outcome text for the marker: "done", and the encoded reply unless it is larger
    /// than the maximum.
    pub(crate) fn outcome(&self) -> String {
        let mut bytes = self.parameter_description.clone();
        bytes.extend_from_slice(&self.row_description);
        bytes.extend_from_slice(&self.rows_and_command_tags);
        if bytes.len() > STORED_REPLY_MAX_BYTES {
            return DONE.to_owned();
        }
        format!("{DONE}{SEPARATOR}{}", BASE64_STANDARD.encode(bytes))
    }

    /// Decodes the outcome text of a marker. Returns `None` when it has no valid reply.
    pub(crate) fn from_outcome(outcome: &str) -> Option<Self> {
        let (_, encoded) = outcome.split_once(SEPARATOR)?;
        let bytes = BASE64_STANDARD.decode(encoded).ok()?;
        Some(Self::from_frames(&bytes))
    }

    /// Appends the reply in the form that the messages of `request` require.
    pub(crate) fn put_reply(&self, buffer: &mut Vec<u8>, frames: &Frames, request: &Request) {
        if !request.is_extended {
            if self.row_description.first() == Some(&target::ROW_DESCRIPTION) {
                buffer.extend_from_slice(&self.row_description);
            }
            buffer.extend_from_slice(&self.rows_and_command_tags);
            return;
        }
        for (tag, frame) in frames.iter() {
            match tag {
                caller::PARSE => put_frame(buffer, target::PARSE_COMPLETE, &[]),
                caller::BIND => put_frame(buffer, target::BIND_COMPLETE, &[]),
                caller::CLOSE => put_frame(buffer, target::CLOSE_COMPLETE, &[]),
                caller::DESCRIBE => self.put_description(buffer, frame),
                caller::EXECUTE => buffer.extend_from_slice(&self.rows_and_command_tags),
                _ => {}
            }
        }
    }

    fn put_description(&self, buffer: &mut Vec<u8>, describe: &[u8]) {
        // `S` describes a prepared statement, `P` a portal.
        if describe.get(HEADER_BYTES) == Some(&b'S') {
            if self.parameter_description.is_empty() {
                put_frame(buffer, target::PARAMETER_DESCRIPTION, &[0, 0]);
            }
            buffer.extend_from_slice(&self.parameter_description);
        }
        if self.row_description.is_empty() {
            put_frame(buffer, target::NO_DATA, &[]);
        }
        buffer.extend_from_slice(&self.row_description);
    }
}

/// Appends a reply to every message of a request, with `command` as the command tag and without a
/// target.
pub(crate) fn put_command_reply(
    buffer: &mut Vec<u8>,
    frames: &Frames,
    request: &Request,
    command: &str,
) {
    StoredReply::from_command(command).put_reply(buffer, frames, request);
}
