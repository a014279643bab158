//! Copied data from a caller to a target.

use super::answer::RelayError;
use super::worker::LINGER;
use crate::targets::Connection;
use endivereach_wire::pg::buffer::FrameBuffer;
use endivereach_wire::pg::frame::CALLER_FRAME_MAX_BYTES;
use endivereach_wire::pg::tag::caller;
use std::io;
use std::net::TcpStream;
use std::time::Duration;

/// How long a caller may send nothing in the middle of copied data.
const COPY_PATIENCE: Duration = Duration::from_secs(30);

/// Passes copied data on until the caller ends it.
///
/// # Errors
///
/// Returns an error when either side is gone.
pub(crate) fn copy_in(
    mut stream: &TcpStream,
    input: &mut FrameBuffer,
    connection: &mut Connection,
    is_extended: bool,
) -> Result<(), RelayError> {
    let gone = RelayError::CallerGone;
    stream.set_read_timeout(Some(COPY_PATIENCE)).map_err(gone)?;
    loop {
        let Some(frame) = input.next_frame(CALLER_FRAME_MAX_BYTES).map_err(gone)? else {
            if input.fill(&mut stream).map_err(gone)? == 0 {
                return Err(gone(io::ErrorKind::UnexpectedEof.into()));
            }
            continue;
        };
        let ends = match frame.tag() {
            caller::COPY_DATA | caller::FLUSH => false,
            caller::COPY_DONE | caller::COPY_FAIL => !is_extended,
            caller::SYNC => is_extended,
            _ => return Err(gone(io::ErrorKind::InvalidData.into())),
        };
        connection.send(frame.bytes)?;
        if ends {
            return stream.set_read_timeout(Some(LINGER)).map_err(gone);
        }
    }
}
