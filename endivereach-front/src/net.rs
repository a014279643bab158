//! Non-blocking TCP streams with their buffers.

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

/// Bytes read from a socket at a time.
const READ_CHUNK_BYTES: usize = 8 * 1024;

/// Bytes that may wait for a peer that doesn't read. A peer beyond it is disconnected.
const WRITE_BUFFER_MAX_BYTES: usize = 4 * 1024 * 1024;

/// How long a connection may be quiet before the kernel probes it.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// The pause between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// How long sent data may stay unacknowledged before the connection counts as broken.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_secs(2);

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;

/// One connection.
#[derive(Debug)]
pub struct Stream {
    socket: TcpStream,
    token: Token,
    input: Vec<u8>,
    consumed: usize,
    output: Vec<u8>,
    is_ended: bool,
}

/// What became of reading from a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadEnd {
    /// Everything that was there is in the buffer.
    Drained,
    /// The peer sent its last byte, or the connection broke.
    Ended,
}

impl Stream {
    /// Starts a connection.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error, such as too many open files.
    pub fn connect(addr: SocketAddr, token: Token, registry: &Registry) -> io::Result<Self> {
        Self::adopt(TcpStream::connect(addr)?, token, registry)
    }

    /// Takes an accepted or started connection over.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn adopt(mut socket: TcpStream, token: Token, registry: &Registry) -> io::Result<Self> {
        registry.register(&mut socket, token, Interest::READABLE | Interest::WRITABLE)?;
        let stream = Self {
            socket,
            token,
            input: Vec::new(),
            consumed: 0,
            output: Vec::new(),
            is_ended: false,
        };
        stream.set_options()?;
        Ok(stream)
    }

    fn set_options(&self) -> io::Result<()> {
        let socket = SockRef::from(&self.socket);
        socket.set_tcp_nodelay(true)?;
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_IDLE)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(2);
        socket.set_tcp_keepalive(&keepalive)?;
        socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX))
    }

    /// Returns the token of its events.
    pub fn token(&self) -> Token {
        self.token
    }

    /// Reads everything that has arrived.
    pub fn fill(&mut self) -> ReadEnd {
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
                    self.is_ended = true;
                    return ReadEnd::Ended;
                }
                // A short read has emptied the socket; a new arrival is a new event.
                Ok(read) if read < READ_CHUNK_BYTES => return ReadEnd::Drained,
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return ReadEnd::Drained;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    self.is_ended = true;
                    return ReadEnd::Ended;
                }
            }
        }
    }

    /// Returns what was read and not consumed.
    pub fn input(&self) -> &[u8] {
        &self.input[self.consumed..]
    }

    /// Takes bytes off the input.
    pub fn consume(&mut self, bytes: usize) {
        self.consumed += bytes;
        if self.consumed == self.input.len() {
            self.input.clear();
            self.consumed = 0;
            // An idle connection shouldn't keep the memory of its largest message.
            if self.input.capacity() > READ_CHUNK_BYTES {
                self.input.shrink_to(0);
            }
        }
    }

    /// Returns the buffer of what is to be sent at the next [`Stream::flush`].
    pub fn output(&mut self) -> &mut Vec<u8> {
        &mut self.output
    }

    /// Returns whether something waits to be sent.
    pub fn has_output(&self) -> bool {
        !self.output.is_empty()
    }

    /// Sends as much as the peer takes.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection broke or the peer doesn't read.
    pub fn flush(&mut self) -> io::Result<()> {
        let mut sent = 0;
        while sent < self.output.len() {
            match self.socket.write(&self.output[sent..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => sent += written,
                Err(error) if is_not_yet(&error) => break,
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

    /// Makes the end of this connection a reset, which drops what a partition holds up.
    pub fn reset_on_close(&self) {
        // A failure leaves the ordinary close.
        let _ = SockRef::from(&self.socket).set_linger(Some(Duration::ZERO));
    }

    /// Ends the events of the connection; dropping it closes it.
    pub fn deregister(&mut self, registry: &Registry) {
        // The socket is closed right after, which ends its events as well.
        let _ = registry.deregister(&mut self.socket);
    }
}

/// Returns whether an operation has to wait: for buffer space, or for the connection to open.
fn is_not_yet(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected
    )
}

/// Opens a listening socket and registers it.
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
    socket.listen(BACKLOG)?;
    let mut listener = TcpListener::from_std(socket.into());
    registry.register(&mut listener, token, Interest::READABLE)?;
    Ok(listener)
}
