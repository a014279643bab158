//! A reusable read buffer that yields frames in place, without copying or decoding them.

use super::frame::HEADER_BYTES;
use std::io;
use std::io::Read;

/// A frame as it lies in the buffer, header included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RawFrame<'a> {
    /// The whole frame: type byte, length and body.
    pub bytes: &'a [u8],
}

impl<'a> RawFrame<'a> {
    /// Returns the type byte.
    pub fn tag(&self) -> u8 {
        self.bytes[0]
    }

    /// Returns the body.
    pub fn body(&self) -> &'a [u8] {
        &self.bytes[HEADER_BYTES..]
    }
}

/// What lies at the front of the buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Front {
    /// A whole frame of this many bytes.
    Whole(usize),
    /// A part of a frame of this type and this many bytes in all.
    Part {
        /// The type byte.
        tag: u8,
        /// The whole frame's length in bytes, header included.
        len_bytes: usize,
    },
    /// Too few bytes for a header.
    Nothing,
}

/// A read buffer.
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
    /// Creates a buffer that holds `capacity` bytes and grows only for a larger single frame.
    pub fn with_capacity(capacity: usize) -> Self {
        Self {
            bytes: vec![0; capacity],
            capacity,
            start: 0,
            end: 0,
        }
    }

    /// Returns whether every byte was taken.
    pub fn is_empty(&self) -> bool {
        self.start == self.end
    }

    /// Throws the unread bytes away and gives back memory taken for a large frame.
    pub fn clear(&mut self) {
        self.start = 0;
        self.end = 0;
        if self.bytes.len() > self.capacity {
            self.bytes.truncate(self.capacity);
            self.bytes.shrink_to_fit();
        }
    }

    /// Reads once from `source` and returns how many bytes arrived; zero means its end.
    ///
    /// # Errors
    ///
    /// Returns the stream's errors.
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

    /// Moves the unread bytes to the front, and grows when they fill the buffer.
    fn make_room(&mut self) {
        if self.start > 0 {
            self.bytes.copy_within(self.start..self.end, 0);
            self.end -= self.start;
            self.start = 0;
        } else {
            self.bytes.resize(self.bytes.len() * 2, 0);
        }
    }

    /// Returns what lies at the front.
    ///
    /// # Errors
    ///
    /// Returns `InvalidData` when the length field is impossible.
    pub fn front(&self) -> io::Result<Front> {
        let unread = &self.bytes[self.start..self.end];
        if unread.len() < HEADER_BYTES {
            return Ok(Front::Nothing);
        }
        let length = u32::from_be_bytes([unread[1], unread[2], unread[3], unread[4]]) as usize;
        if length < 4 {
            return Err(invalid(length));
        }
        let len_bytes = length + 1;
        if unread.len() >= len_bytes {
            return Ok(Front::Whole(len_bytes));
        }
        Ok(Front::Part {
            tag: unread[0],
            len_bytes,
        })
    }

    /// Takes the frame at the front, or returns `None` when it hasn't arrived whole.
    ///
    /// # Errors
    ///
    /// Returns `InvalidData` when the length is impossible or over `max_bytes`.
    pub fn next_frame(&mut self, max_bytes: usize) -> io::Result<Option<RawFrame<'_>>> {
        match self.front()? {
            Front::Whole(len_bytes) if len_bytes <= max_bytes => Ok(Some(RawFrame {
                bytes: self.take(len_bytes),
            })),
            Front::Whole(len_bytes) | Front::Part { len_bytes, .. } if len_bytes > max_bytes => {
                Err(invalid(len_bytes))
            }
            _ => Ok(None),
        }
    }

    /// Takes up to `max_bytes` unread bytes, whatever they are.
    pub fn take(&mut self, max_bytes: usize) -> &[u8] {
        let from = self.start;
        self.start = (from + max_bytes).min(self.end);
        &self.bytes[from..self.start]
    }
}

fn invalid(len_bytes: usize) -> io::Error {
    io::Error::new(
        io::ErrorKind::InvalidData,
        format!("a frame of {len_bytes} bytes; check that the other side speaks PostgreSQL"),
    )
}
