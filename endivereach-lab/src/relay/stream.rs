//! One direction of a relayed connection: a queue of chunks, each with a release time.

use std::collections::VecDeque;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;
use std::time::Instant;

/// The maximum size of one read, in bytes.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// The number of queued bytes in one direction at which reading stops.
const QUEUED_MAX_BYTES: usize = 1024 * 1024;

/// The bytes of one read.
#[derive(Debug)]
struct Chunk {
    release: Instant,
    bytes: Vec<u8>,
    /// The number of bytes already written to the receiver.
    written: usize,
}

/// The bytes in transit in one direction.
///
/// # Invariants
///
/// Release times never decrease along the queue, so that a stream's bytes keep their order.
#[derive(Debug, Default)]
pub(super) struct DelayQueue {
    chunks: VecDeque<Chunk>,
    queued_bytes: usize,
    last_release: Option<Instant>,
    /// When the end of the stream is passed on, once the sender closed its side.
    eof_release: Option<Instant>,
    finished: bool,
}

/// The outcome of a read.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum ReadOutcome {
    /// Bytes or the end of the stream were queued for release at the given time.
    Queued(Instant),
    /// No bytes were available, or they were discarded.
    NothingQueued,
    /// The connection failed.
    Broken,
}

impl DelayQueue {
    /// Creates an empty queue that releases nothing before the given time.
    pub(super) fn with_first_release(release: Instant) -> Self {
        Self {
            last_release: Some(release),
            ..Self::default()
        }
    }

    /// Returns whether the sender's side is open and the queue has room for more bytes.
    pub(super) fn has_room(&self) -> bool {
        !self.is_sender_closed() && self.queued_bytes < QUEUED_MAX_BYTES
    }

    /// Returns whether the sender closed its side.
    pub(super) fn is_sender_closed(&self) -> bool {
        self.eof_release.is_some()
    }

    /// Returns whether all bytes and the end of the stream were passed on.
    pub(super) fn is_finished(&self) -> bool {
        self.finished
    }

    /// Returns whether released bytes are waiting to be written to the receiver.
    pub(super) fn has_released_bytes(&self, now: Instant) -> bool {
        self.chunks
            .front()
            .is_some_and(|chunk| chunk.release <= now)
    }

    /// Reads once from `stream`. With `discard`, the bytes read are dropped.
    pub(super) fn read(
        &mut self,
        stream: &mut TcpStream,
        buffer: &mut Vec<u8>,
        release: Instant,
        discard: bool,
    ) -> ReadOutcome {
        buffer.resize(READ_BUFFER_BYTES, 0);
        match stream.read(buffer) {
            Ok(0) => {
                let release = self.ordered_release(release);
                self.eof_release = Some(release);
                ReadOutcome::Queued(release)
            }
            Ok(_) if discard => ReadOutcome::NothingQueued,
            Ok(length) => ReadOutcome::Queued(self.push_chunk(&buffer[..length], release)),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => ReadOutcome::NothingQueued,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => ReadOutcome::NothingQueued,
            Err(_) => ReadOutcome::Broken,
        }
    }

    fn push_chunk(&mut self, bytes: &[u8], release: Instant) -> Instant {
        let release = self.ordered_release(release);
        self.queued_bytes += bytes.len();
        self.chunks.push_back(Chunk {
            release,
            bytes: bytes.to_vec(),
            written: 0,
        });
        release
    }

    /// Returns the release time for bytes read now: `release`, or the previous release time if that
    /// is later.
    fn ordered_release(&mut self, release: Instant) -> Instant {
        let release = self.last_release.map_or(release, |last| last.max(release));
        self.last_release = Some(release);
        release
    }

    /// Writes released bytes to `stream`, and shuts its write side down after the last ones if the
    /// sender closed.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection failed.
    pub(super) fn write(&mut self, stream: &mut TcpStream, now: Instant) -> io::Result<()> {
        while let Some(chunk) = self.chunks.front_mut() {
            if chunk.release > now {
                return Ok(());
            }
            match stream.write(&chunk.bytes[chunk.written..]) {
                Ok(length) => {
                    chunk.written += length;
                    self.queued_bytes -= length;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
            if chunk.written == chunk.bytes.len() {
                self.chunks.pop_front();
            }
        }
        if self.eof_release.is_some_and(|end| end <= now) && !self.finished {
            self.finished = true;
            let _ = stream.shutdown(Shutdown::Write);
        }
        Ok(())
    }
}
