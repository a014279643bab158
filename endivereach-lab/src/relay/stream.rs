//! One direction of a relayed connection: chunks that wait for their release.

use std::collections::VecDeque;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;
use std::time::Instant;

/// The size of one read, in bytes.
const CHUNK_BYTES: usize = 64 * 1024;

/// How many bytes wait in one direction before reading stops.
const WAITING_MAX_BYTES: usize = 1024 * 1024;

/// Bytes that were read together.
#[derive(Debug)]
struct Chunk {
    release: Instant,
    bytes: Vec<u8>,
    written: usize,
}

/// The bytes on their way in one direction.
///
/// # Invariants
///
/// Release times never go down along the queue: a stream's bytes keep their order.
#[derive(Debug, Default)]
pub(super) struct Lane {
    chunks: VecDeque<Chunk>,
    waiting_bytes: usize,
    last_release: Option<Instant>,
    /// When the end is passed on, once the sender closed its side.
    end_release: Option<Instant>,
    finished: bool,
}

/// What became of a read.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum ReadOutcome {
    /// Bytes or the end were queued for the given moment.
    Queued(Instant),
    /// Nothing can be read now.
    Nothing,
    /// The connection broke.
    Broken,
}

impl Lane {
    /// Creates a lane that releases nothing before the given moment.
    pub(super) fn starting_at(release: Instant) -> Self {
        Self {
            last_release: Some(release),
            ..Self::default()
        }
    }

    /// Returns whether more bytes may be read.
    pub(super) fn has_room(&self) -> bool {
        !self.is_ended() && self.waiting_bytes < WAITING_MAX_BYTES
    }

    /// Returns whether the sender closed its side.
    pub(super) fn is_ended(&self) -> bool {
        self.end_release.is_some()
    }

    /// Returns whether everything was delivered and the end was passed on.
    pub(super) fn is_finished(&self) -> bool {
        self.finished
    }

    /// Returns whether bytes that were released wait for the receiver.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        self.chunks
            .front()
            .is_some_and(|chunk| chunk.release <= now)
    }

    /// Reads once from `stream`. A `swallow`ed read is dropped.
    pub(super) fn read(
        &mut self,
        stream: &mut TcpStream,
        buffer: &mut Vec<u8>,
        release: Instant,
        swallow: bool,
    ) -> ReadOutcome {
        buffer.resize(CHUNK_BYTES, 0);
        match stream.read(buffer) {
            Ok(0) => {
                let release = self.in_order(release);
                self.end_release = Some(release);
                ReadOutcome::Queued(release)
            }
            Ok(_) if swallow => ReadOutcome::Nothing,
            Ok(length) => ReadOutcome::Queued(self.queue(&buffer[..length], release)),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => ReadOutcome::Nothing,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => ReadOutcome::Nothing,
            Err(_) => ReadOutcome::Broken,
        }
    }

    fn queue(&mut self, bytes: &[u8], release: Instant) -> Instant {
        let release = self.in_order(release);
        self.waiting_bytes += bytes.len();
        self.chunks.push_back(Chunk {
            release,
            bytes: bytes.to_vec(),
            written: 0,
        });
        release
    }

    /// Returns the moment at which what is read now is released, after all that was read before.
    fn in_order(&mut self, release: Instant) -> Instant {
        let release = self.last_release.map_or(release, |last| last.max(release));
        self.last_release = Some(release);
        release
    }

    /// Writes what was released to `stream`, and passes the end on when nothing is left.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection broke.
    pub(super) fn write(&mut self, stream: &mut TcpStream, now: Instant) -> io::Result<()> {
        while let Some(chunk) = self.chunks.front_mut() {
            if chunk.release > now {
                return Ok(());
            }
            match stream.write(&chunk.bytes[chunk.written..]) {
                Ok(length) => {
                    chunk.written += length;
                    self.waiting_bytes -= length;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
            if chunk.written == chunk.bytes.len() {
                self.chunks.pop_front();
            }
        }
        if self.end_release.is_some_and(|end| end <= now) && !self.finished {
            self.finished = true;
            let _ = stream.shutdown(Shutdown::Write);
        }
        Ok(())
    }
}
