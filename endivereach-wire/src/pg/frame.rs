//! Reading and writing of frames, which consist of a type byte, a length and a body.

use std::io;
use std::io::Read;
use std::io::Write;

/// The maximum size of a frame that a caller may send, in bytes.
pub const CALLER_FRAME_MAX_BYTES: usize = 16 * 1024 * 1024;

/// The maximum size of a startup packet, in bytes.
pub const STARTUP_MAX_BYTES: usize = 10_000;

/// The size of a frame's header in bytes: a type byte and a length of 4 bytes.
pub const HEADER_BYTES: usize = 5;

/// A frame that was read from a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// The type byte of the message, as in the protocol's documentation.
    pub tag: u8,
    /// The bytes after the header.
    pub body: Vec<u8>,
}

/// Reads one frame with a type byte.
///
/// # Errors
///
/// Returns `InvalidData` when the length field is below 4 or above `max_bytes`, and the errors of
/// `stream`.
///
/// # Examples
///
/// ```
/// use endivereach_wire::pg::frame::read_frame;
///
/// let mut bytes: &[u8] = &[b'Z', 0, 0, 0, 5, b'I'];
/// let frame = read_frame(&mut bytes, 100).unwrap();
/// assert_eq!((frame.tag, frame.body), (b'Z', vec![b'I']));
/// ```
pub fn read_frame(stream: &mut impl Read, max_bytes: usize) -> io::Result<Frame> {
    let mut header = [0; HEADER_BYTES];
    stream.read_exact(&mut header)?;
    let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]) as usize;
    let body = read_body(stream, length, max_bytes)?;
    Ok(Frame {
        tag: header[0],
        body,
    })
}

/// Reads one startup packet, which has no type byte, and returns its body.
///
/// # Errors
///
/// Returns the same errors as [`read_frame`], with [`STARTUP_MAX_BYTES`] as the limit.
pub fn read_startup(stream: &mut impl Read) -> io::Result<Vec<u8>> {
    let mut header = [0; 4];
    stream.read_exact(&mut header)?;
    let length = u32::from_be_bytes(header) as usize;
    read_body(stream, length, STARTUP_MAX_BYTES)
}

fn read_body(stream: &mut impl Read, length: usize, max_bytes: usize) -> io::Result<Vec<u8>> {
    if !(4..=max_bytes).contains(&length) {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            format!("a frame of {length} bytes; send frames of 4 to {max_bytes} bytes"),
        ));
    }
    let mut body = vec![0; length - 4];
    stream.read_exact(&mut body)?;
    Ok(body)
}

/// Appends a frame to `buffer`.
///
/// # Examples
///
/// ```
/// let mut buffer = Vec::new();
/// endivereach_wire::pg::frame::put_frame(&mut buffer, b'Z', b"I");
/// assert_eq!(buffer, [b'Z', 0, 0, 0, 5, b'I']);
/// ```
pub fn put_frame(buffer: &mut Vec<u8>, tag: u8, body: &[u8]) {
    buffer.push(tag);
    buffer.extend_from_slice(&((body.len() + 4) as u32).to_be_bytes());
    buffer.extend_from_slice(body);
}

/// Writes a frame with a single write call.
///
/// # Errors
///
/// Returns the errors of `stream`.
pub fn write_frame(stream: &mut impl Write, tag: u8, body: &[u8]) -> io::Result<()> {
    let mut buffer = Vec::with_capacity(HEADER_BYTES + body.len());
    put_frame(&mut buffer, tag, body);
    stream.write_all(&buffer)
}
