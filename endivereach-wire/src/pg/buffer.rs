//! A reusable read buffer that returns frames as slices, without copying or decoding them.

use super::frame::HEADER_BYTES;
use std::io;
use std::io::Read;

/// A frame that is borrowed from the buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RawFrame<'a> {
    /// The bytes of the frame: type byte, length and body.
    pub bytes: &'a [u8],
}

impl<'a> RawFrame<'a> {
    /// Returns the type byte of the message.
    pub fn tag(&self) -> u8 {
        self.bytes[0]
    }

    /// Returns the bytes after the header.
    pub fn body(&self) -> &'a [u8] {
        &self.bytes[HEADER_BYTES..]
    }
}

/// The state of the frame at the front of the buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferedFrame {
    /// A complete frame of this length in bytes, header included.
    Complete(usize),
    /// A frame whose header is complete and whose body isn't.
    Partial {
        /// The type byte of the message.
        tag: u8,
        /// The length of the complete frame in bytes, header included.
        len_bytes: usize,
    },
    /// Fewer bytes than a header.
    IncompleteHeader,
}

/// A read buffer for frames.
///
/// # Invariants
///
/// `start <= end <= bytes.len()`; the unread bytes are `bytes[start..end]`.
///
/// # Examples
///
/// ```
/// use endivereach_wire::pg::buffer::FrameBuffer;
///
/// let mut buffer = FrameBuffer::with_capacity(1024);
/// let mut source: &[u8] = &[b'Z', 0, 0, 0, 5, b'I'];
/// buffer.fill(&mut source).unwrap();
/// assert_eq!(buffer.next_frame(100).unwrap().unwrap().tag(), b'Z');
/// assert!(buffer.is_empty());
/// ```
#[derive(Debug)]
pub struct FrameBuffer {
    bytes: Vec<u8>,
    capacity: usize,
    start: usize,
    end: usize,
}

impl FrameBuffer {
    /// Creates a buffer of `capacity` bytes, which grows only for a single frame that is larger.
    pub fn with_capacity(capacity: usize) -> Self {
        Self {
            bytes: vec![0; capacity],
            capacity,
            start: 0,
            end: 0,
        }
    }

    /// Returns whether there are no unread bytes.
    pub fn is_empty(&self) -> bool {
        self.start == self.end
    }

    /// Discards the unread bytes and frees the memory above the initial capacity.
    pub fn clear(&mut self) {
        self.start = 0;
        self.end = 0;
        if self.bytes.len() > self.capacity {
            self.bytes.truncate(self.capacity);
            self.bytes.shrink_to_fit();
        }
    }

    /// Reads once from `source` and returns the number of bytes read. Zero means the end of the
    /// stream.
    ///
    /// # Errors
    ///
    /// Returns the errors of `source`.
    pub fn fill(&mut self, source: &mut impl Read) -> io::Result<usize> {
        if self.start == self.end {
            self.start = 0;
            self.end = 0;
        } else if self.end == self.bytes.len() {
            self.make_room();
        }
        let count = source.read(&mut self.bytes[self.end..])?;
        self.end += count;
        Ok(count)
    }

    /// Makes room at the end by moving the unread bytes to the front or, when they fill the buffer,
    /// by doubling its size.
    fn make_room(&mut self) {
        if self.start > 0 {
            self.bytes.copy_within(self.start..self.end, 0);
            self.end -= self.start;
            self.start = 0;
        } else {
            self.bytes.resize(self.bytes.len() * 2, 0);
        }
    }

    /// Returns the state of the frame at the front, without consuming it.
    ///
    /// # Errors
    ///
    /// Returns `InvalidData` when the length field is below its own size of 4.
    pub fn peek_frame(&self) -> io::Result<BufferedFrame> {
        frame_state(&self.bytes[self.start..self.end])
    }

    /// Returns the type bytes of the unread frames, of which the last one may be incomplete.
    ///
    /// # Errors
    ///
    /// Returns `InvalidData` when a length field is below 4.
    ///
    /// # Examples
    ///
    /// ```
    /// use endivereach_wire::pg::buffer::FrameBuffer;
    ///
    /// let mut buffer = FrameBuffer::with_capacity(1024);
    /// buffer.fill(&mut &b"Z\0\0\0\x05ID"[..]).unwrap();
    /// assert_eq!(buffer.unread_tags().unwrap(), b"ZD");
    /// ```
    pub fn unread_tags(&self) -> io::Result<Vec<u8>> {
        let mut tags = Vec::new();
        let mut unread = &self.bytes[self.start..self.end];
        while let Some(&tag) = unread.first() {
            tags.push(tag);
            unread = match frame_state(unread)? {
                BufferedFrame::Complete(len_bytes) => &unread[len_bytes..],
                _ => &[],
            };
        }
        Ok(tags)
    }

    /// Consumes and returns the frame at the front, or returns `None` when it is incomplete.
    ///
    /// # Errors
    ///
    /// Returns `InvalidData` when the length field is below 4 or the frame is larger than
    /// `max_bytes`.
    pub fn next_frame(&mut self, max_bytes: usize) -> io::Result<Option<RawFrame<'_>>> {
        match self.peek_frame()? {
            BufferedFrame::Complete(len_bytes) if len_bytes <= max_bytes => Ok(Some(RawFrame {
                bytes: self.consume(len_bytes),
            })),
            BufferedFrame::Complete(len_bytes) | BufferedFrame::Partial { len_bytes, .. }
                if len_bytes > max_bytes =>
            {
                Err(invalid_length(len_bytes))
            }
            _ => Ok(None),
        }
    }

    /// Consumes and returns up to `max_bytes` unread bytes, regardless of frame boundaries.
    pub fn consume(&mut self, max_bytes: usize) -> &[u8] {
        let old_start = self.start;
        self.start = (old_start + max_bytes).min(self.end);
        &self.bytes[old_start..self.start]
    }
}

/// Returns the state of the frame at the front of `unread`.
fn frame_state(unread: &[u8]) -> io::Result<BufferedFrame> {
    if unread.len() < HEADER_BYTES {
        return Ok(BufferedFrame::IncompleteHeader);
    }
    let length = u32::from_be_bytes([unread[1], unread[2], unread[3], unread[4]]) as usize;
    if length < 4 {
        return Err(invalid_length(length));
    }
    let len_bytes = length + 1;
    if unread.len() >= len_bytes {
        return Ok(BufferedFrame::Complete(len_bytes));
    }
    Ok(BufferedFrame::Partial {
        tag: unread[0],
        len_bytes,
    })
}

fn invalid_length(len_bytes: usize) -> io::Error {
    io::Error::new(
        io::ErrorKind::InvalidData,
        format!("a frame of {len_bytes} bytes; check that the other side speaks PostgreSQL"),
    )
}
