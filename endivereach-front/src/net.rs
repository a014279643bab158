//! Non-blocking TCP streams with input and output buffers.

use crate::protocol::Frame;
use crate::protocol::Protocol;
use endivereach_core::clock::Clock;
use endivereach_core::transfer::TransferDeadline;
use mio::Interest;
use mio::Registry;
use mio::Token;
use mio::net::TcpListener;
use mio::net::TcpStream;
use socket2::SockRef;
use socket2::TcpKeepalive;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

/// The most bytes read from a socket by one system call.
const READ_CHUNK_BYTES: usize = 8 * 1024;

/// The most bytes that are buffered for a peer that doesn't read. A peer over the limit is
/// disconnected.
const WRITE_BUFFER_MAX_BYTES: usize = 4 * 1024 * 1024;

/// How long a connection may be idle before the kernel sends keepalive probes.
const KEEPALIVE_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// The interval between two keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// How long sent data may stay unacknowledged before the kernel closes the connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);

/// The most connections that the kernel queues for a listener.
const LISTEN_BACKLOG_MAX: i32 = 1024;

/// Why output with a deadline wasn't sent.
#[derive(Debug, thiserror::Error)]
pub enum FlushError {
    /// The time by which it had to be sent is over.
    #[error("the output is too late to be sent; decide anew")]
    TooLate,
    /// The connection broke.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// A TCP connection registered with the poller.
#[derive(Debug)]
pub struct Stream {
    socket: TcpStream,
    token: Token,
    input: Vec<u8>,
    consumed: usize,
    /// The bytes behind the consumed ones in which no message ends.
    scanned: usize,
    output: Vec<u8>,
    is_closed: bool,
}

/// The state of a connection after a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// All bytes that had arrived are in the input buffer.
    Open,
    /// The peer closed the connection, or the connection broke.
    Closed,
}

impl Stream {
    /// Starts to connect to `addr`, without waiting for the connection to open.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error, such as too many open files.
    pub fn connect(addr: SocketAddr, token: Token, registry: &Registry) -> io::Result<Self> {
        Self::from_socket(TcpStream::connect(addr)?, token, registry)
    }

    /// Registers an accepted or connecting socket with the poller and sets its options.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn from_socket(
        mut socket: TcpStream,
        token: Token,
        registry: &Registry,
    ) -> io::Result<Self> {
        registry.register(&mut socket, token, Interest::READABLE | Interest::WRITABLE)?;
        let stream = Self {
            socket,
            token,
            input: Vec::new(),
            consumed: 0,
            scanned: 0,
            output: Vec::new(),
            is_closed: false,
        };
        stream.set_options()?;
        Ok(stream)
    }

    fn set_options(&self) -> io::Result<()> {
        let socket = SockRef::from(&self.socket);
        socket.set_tcp_nodelay(true)?;
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_IDLE_TIMEOUT)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(2);
        socket.set_tcp_keepalive(&keepalive)?;
        socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
    }

    /// Returns the token that identifies the connection's events.
    pub fn token(&self) -> Token {
        self.token
    }

    /// Reads all bytes that have arrived into the input buffer.
    pub fn fill(&mut self) -> ReadResult {
        self.input.drain(..self.consumed);
        self.consumed = 0;
        loop {
            let length = self.input.len();
            self.input.resize(length + READ_CHUNK_BYTES, 0);
            let result = self.socket.read(&mut self.input[length..]);
            let read = *result.as_ref().unwrap_or(&0);
            self.input.truncate(length + read);
            match result {
                Ok(0) => {
                    self.is_closed = true;
                    return ReadResult::Closed;
                }
                // A short read has emptied the socket; later bytes cause a new event.
                Ok(read) if read < READ_CHUNK_BYTES => return ReadResult::Open,
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return ReadResult::Open;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    self.is_closed = true;
                    return ReadResult::Closed;
                }
            }
        }
    }

    /// Returns the bytes that were read but not yet consumed.
    pub fn input(&self) -> &[u8] {
        &self.input[self.consumed..]
    }

    /// Returns whether the first message of the input is complete, and its length. The input is
    /// searched once, however many reads a message takes.
    pub fn first_frame(&mut self, protocol: &impl Protocol) -> Frame {
        let frame = protocol.first_frame(&self.input[self.consumed..], self.scanned);
        if frame == Frame::Partial {
            self.scanned = self.input.len() - self.consumed;
        }
        frame
    }

    /// Removes the first `bytes` bytes from the input.
    pub fn consume(&mut self, bytes: usize) {
        self.consumed += bytes;
        self.scanned = 0;
        if self.consumed == self.input.len() {
            self.input.clear();
            self.consumed = 0;
            // Frees the memory that a large message needed, because the connection may now stay
            // idle. The capacity for one read is kept.
            if self.input.capacity() > READ_CHUNK_BYTES {
                self.input.shrink_to(0);
            }
        }
    }

    /// Returns the buffer of bytes that the next [`Stream::flush`] sends.
    pub fn output(&mut self) -> &mut Vec<u8> {
        &mut self.output
    }

    /// Returns whether the output buffer contains unsent bytes.
    pub fn has_output(&self) -> bool {
        !self.output.is_empty()
    }

    /// Returns the number of bytes in the output buffer.
    pub fn unsent_bytes(&self) -> usize {
        self.output.len()
    }

    /// Sends as much of the output buffer as the kernel accepts without blocking.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection broke, or if more than 4 MiB remain because the peer
    /// doesn't read.
    pub fn flush(&mut self) -> io::Result<()> {
        let mut sent = 0;
        while sent < self.output.len() {
            match self.socket.write(&self.output[sent..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => sent += written,
                Err(error) if is_not_ready(&error) => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        self.output.drain(..sent);
        if self.output.is_empty() && self.output.capacity() > READ_CHUNK_BYTES {
            self.output.shrink_to(0);
        }
        if self.output.len() > WRITE_BUFFER_MAX_BYTES {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        Ok(())
    }

    /// Sends as [`flush`](Self::flush) does, unless the output is too late. The clock is read right before:
    /// the process may have been frozen since it read the time of its current turn.
    ///
    /// # Errors
    ///
    /// Returns [`FlushError::TooLate`] if the deadline forbids to send, or the error of the flush.
    pub fn flush_before(
        &mut self,
        deadline: &TransferDeadline,
        clock: &impl Clock,
    ) -> Result<(), FlushError> {
        if !deadline.may_send(clock.now()) {
            return Err(FlushError::TooLate);
        }
        Ok(self.flush()?)
    }

    /// Makes the kernel reset the connection when it is closed, and discard unsent data that a
    /// network partition has delayed instead of delivering it later.
    pub fn reset_on_close(&self) {
        // On failure the connection is closed in the ordinary way.
        let _ = SockRef::from(&self.socket).set_linger(Some(Duration::ZERO));
    }

    /// Stops the events of this connection. The connection itself is closed when it is dropped.
    pub fn deregister(&mut self, registry: &Registry) {
        // A failure is harmless: the socket is dropped next, which stops its events too.
        let _ = registry.deregister(&mut self.socket);
    }
}

/// Returns whether an operation has to be retried later, because the send buffer is full or the
/// connection isn't open yet.
fn is_not_ready(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected
    )
}

/// Opens a listening socket and registers it with the poller.
///
/// # Errors
///
/// Returns the operating system's error, such as an address in use.
pub fn bind(addr: SocketAddr, token: Token, registry: &Registry) -> io::Result<TcpListener> {
    let domain = socket2::Domain::for_address(addr);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&addr.into())?;
    socket.listen(LISTEN_BACKLOG_MAX)?;
    let mut listener = TcpListener::from_std(socket.into());
    registry.register(&mut listener, token, Interest::READABLE)?;
    Ok(listener)
}
