//! A connection to a target.

use super::login::ServerParameter;
use super::login::log_in;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::Position;
use endivereach_core::settings::Settings;
use endivereach_wire::member::PARAMETER_POSITION;
use endivereach_wire::pg::buffer::BufferedFrame;
use endivereach_wire::pg::buffer::FrameBuffer;
use endivereach_wire::pg::buffer::RawFrame;
use endivereach_wire::pg::frame::HEADER_BYTES;
use endivereach_wire::pg::frame::put_frame;
use endivereach_wire::pg::reply::error_field;
use endivereach_wire::pg::reply::first_column;
use endivereach_wire::pg::reply::parse_parameter_status;
use endivereach_wire::pg::startup::cancel_request;
use endivereach_wire::pg::tag::caller;
use endivereach_wire::pg::tag::status;
use endivereach_wire::pg::tag::target;
use std::collections::HashSet;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::time::Duration;

/// The capacity of a connection's read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 32 * 1024;

/// The maximum size of a frame that is read as a whole, in bytes. Rows that are larger than the
/// read buffer are streamed instead.
const FRAME_MAX_BYTES: usize = 16 * 1024 * 1024;

/// The interval at which a blocked read checks its timeout.
const READ_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The timeout of each step of a cancel request.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// The maximum number of prepared statements on one connection. A connection with more is reset
/// when its lease ends.
pub(crate) const CONNECTION_STATEMENTS_MAX: usize = 256;

/// The statement that clears the session state of a connection.
const RESET_STATEMENT: &str = "DISCARD ALL";

/// The key that authorizes a cancel request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct CancelKey {
    /// The ID of the backend process that serves the connection.
    pub(crate) pid: i32,
    /// The secret of the backend process.
    pub(crate) secret: i32,
}

/// The reason why no frame could be read or sent.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConnectionError {
    /// The connection failed.
    #[error("the connection to the target failed: {0}; it is replaced")]
    Broken(#[from] io::Error),
    /// The target sent nothing before the timeout.
    #[error("the target sent nothing in time; the connection is closed")]
    Silent,
}

/// The reply to a statement that the proxy itself issued.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct InternalReply {
    /// The SQLSTATE of the error, if the statement failed.
    pub(crate) sqlstate: Option<Box<str>>,
    /// The `ErrorResponse` frame, if the statement failed.
    pub(crate) error_frame: Option<Box<[u8]>>,
    /// The first column of the first row, if there is a row.
    pub(crate) value: Option<Box<str>>,
    /// The command tag of the last completed command.
    pub(crate) command: Box<str>,
}

/// The destination of a connection.
#[derive(Clone, Debug)]
pub(crate) struct Address {
    /// The server's name.
    pub(crate) member: MemberId,
    /// The server's socket address.
    pub(crate) addr: SocketAddr,
    /// The name of the database on the server.
    pub(crate) database: Box<str>,
}

/// An open and authenticated connection to a target.
///
/// # Invariants
///
/// The target answers in order, and a reply doesn't name its request. So a connection with a reply
/// that hasn't been read to its end serves no other request, and one with a part of a reply that no
/// request asked for serves no request at all.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    input: FrameBuffer,
    /// The destination of the connection.
    pub(crate) address: Address,
    /// The key for cancelling the statement that the connection executes.
    pub(crate) key: CancelKey,
    /// The last log position that the target reported on the connection.
    pub(crate) position: Option<Position>,
    /// The last transaction status that the target reported.
    pub(crate) status: u8,
    /// The number of requests whose reply hasn't been read up to its `ReadyForQuery`.
    unfinished_replies: usize,
    /// Whether the connection may have session state that `parameters_hash` and `prepared` do not
    /// describe.
    pub(crate) is_dirty: bool,
    /// A hash of the session parameters that are set on the connection, or zero if there are none.
    pub(crate) parameters_hash: u64,
    /// The IDs of the statements that are prepared on the connection.
    pub(crate) prepared: HashSet<u64>,
    /// The parameters that the target reported during the login.
    pub(crate) server_parameters: Vec<ServerParameter>,
}

impl Connection {
    /// Connects and logs in. The setting `limits.connect_timeout` is the timeout of each step.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error, or the error with which the target refused the login.
    pub(crate) fn open(
        address: Address,
        settings: &Settings,
        application_name: &str,
    ) -> io::Result<Self> {
        let login = &settings.target;
        let timeout = settings.limits.connect_timeout.get();
        let mut stream = TcpStream::connect_timeout(&address.addr, timeout)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        let mut input = FrameBuffer::with_capacity(READ_BUFFER_BYTES);
        let database = &address.database;
        let login_result = log_in(&mut stream, &mut input, login, database, application_name)?;
        stream.set_read_timeout(Some(READ_POLL_INTERVAL))?;
        let position = login_result
            .parameters
            .iter()
            .find(|parameter| &*parameter.name == PARAMETER_POSITION)
            .and_then(|parameter| parameter.value.parse().ok());
        Ok(Self {
            stream,
            input,
            address,
            key: login_result.key,
            position,
            status: status::IDLE,
            unfinished_replies: 0,
            is_dirty: false,
            parameters_hash: 0,
            prepared: HashSet::new(),
            server_parameters: login_result.parameters,
        })
    }

    /// Sends whole messages that are already encoded.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionError::Broken`] when the write fails, or when a part of a reply has arrived
    /// that no request asked for. Nothing is sent in the second case.
    pub(crate) fn send(&mut self, bytes: &[u8]) -> Result<(), ConnectionError> {
        if self.unfinished_replies == 0 {
            self.check_unasked_input()?;
        }
        self.unfinished_replies += count_requests(bytes);
        Ok(self.stream.write_all(bytes)?)
    }

    /// Checks that only messages have arrived that a target may send at any time.
    fn check_unasked_input(&mut self) -> Result<(), ConnectionError> {
        while has_input(&self.stream) {
            if self.input.fill(&mut self.stream)? == 0 {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
        }
        if !self.input.unread_tags()?.into_iter().all(is_asynchronous) {
            return Err(io::Error::from(io::ErrorKind::InvalidData).into());
        }
        Ok(())
    }

    /// Waits for the next frame and returns its length. For a row that is larger than the read
    /// buffer, returns [`BufferedFrame::Partial`] with the length of the whole row as soon as its
    /// header has arrived.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionError::Silent`] when the target sends nothing for `silence_timeout`.
    pub(crate) fn wait_frame(
        &mut self,
        silence_timeout: Duration,
    ) -> Result<BufferedFrame, ConnectionError> {
        loop {
            match self.input.peek_frame()? {
                BufferedFrame::IncompleteHeader => {}
                BufferedFrame::Partial { tag, len_bytes }
                    if len_bytes > READ_BUFFER_BYTES && is_streamed(tag) =>
                {
                    return Ok(BufferedFrame::Partial { tag, len_bytes });
                }
                BufferedFrame::Partial { len_bytes, .. } if len_bytes > FRAME_MAX_BYTES => {
                    return Err(io::Error::from(io::ErrorKind::InvalidData).into());
                }
                BufferedFrame::Partial { .. } => {}
                complete => return Ok(complete),
            }
            self.fill(silence_timeout)?;
        }
    }

    /// Takes the frame whose length [`wait_frame`](Self::wait_frame) returned, and updates the
    /// transaction status and position of the connection from it.
    pub(crate) fn take_frame(&mut self, len_bytes: usize) -> RawFrame<'_> {
        let frame = RawFrame {
            bytes: self.input.consume(len_bytes),
        };
        match frame.tag() {
            target::READY_FOR_QUERY => {
                self.status = frame.body().first().copied().unwrap_or(status::FAILED);
                self.unfinished_replies = self.unfinished_replies.saturating_sub(1);
            }
            target::PARAMETER_STATUS => {
                if let Some((PARAMETER_POSITION, value)) = parse_parameter_status(frame.body()) {
                    self.position = value.parse().ok().or(self.position);
                }
            }
            _ => {}
        }
        frame
    }

    /// Takes up to `max_bytes` of a row that is larger than the read buffer, and waits for data if
    /// the buffer is empty.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`wait_frame`](Self::wait_frame).
    pub(crate) fn take_part(
        &mut self,
        max_bytes: usize,
        silence_timeout: Duration,
    ) -> Result<&[u8], ConnectionError> {
        if self.input.is_empty() {
            self.fill(silence_timeout)?;
        }
        Ok(self.input.consume(max_bytes))
    }

    /// Reads more data into the buffer. Measures the timeout by counting blocked reads instead of
    /// reading the clock, so that it has no cost while data arrives.
    fn fill(&mut self, silence_timeout: Duration) -> Result<(), ConnectionError> {
        let mut waited = Duration::ZERO;
        loop {
            match self.input.fill(&mut self.stream) {
                Ok(0) => return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
                Ok(_) => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    waited += READ_POLL_INTERVAL;
                    if waited >= silence_timeout {
                        return Err(ConnectionError::Silent);
                    }
                }
                Err(error) => return Err(error.into()),
            }
        }
    }

    /// Executes a statement that the proxy itself issues, and reads the reply.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`wait_frame`](Self::wait_frame). A statement that fails is not an
    /// error here; its reply has the SQLSTATE.
    pub(crate) fn run_internal(
        &mut self,
        sql: &str,
        silence_timeout: Duration,
    ) -> Result<InternalReply, ConnectionError> {
        let mut output = Vec::new();
        put_query(&mut output, sql);
        self.send(&output)?;
        self.read_internal_reply(silence_timeout)
    }

    /// Reads the reply to a statement that the proxy itself issued, up to `ReadyForQuery`.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`wait_frame`](Self::wait_frame).
    pub(crate) fn read_internal_reply(
        &mut self,
        silence_timeout: Duration,
    ) -> Result<InternalReply, ConnectionError> {
        let mut reply = InternalReply::default();
        loop {
            let BufferedFrame::Complete(len_bytes) = self.wait_frame(silence_timeout)? else {
                return Err(io::Error::from(io::ErrorKind::InvalidData).into());
            };
            let frame = self.take_frame(len_bytes);
            match frame.tag() {
                target::READY_FOR_QUERY => return Ok(reply),
                target::ERROR => {
                    let code = error_field(frame.body(), b'C').unwrap_or("XX000");
                    reply.sqlstate = Some(code.into());
                    reply.error_frame = Some(frame.bytes.into());
                }
                target::DATA_ROW if reply.value.is_none() => {
                    reply.value = first_column(frame.body()).map(String::into_boxed_str);
                }
                target::COMMAND_COMPLETE => reply.command = command_tag(frame.body()).into(),
                _ => {}
            }
        }
    }

    /// Returns whether the connection can serve another caller, possibly after a reset: it is
    /// outside any transaction, and every reply was read to its end.
    pub(crate) fn is_reusable(&self) -> bool {
        self.status == status::IDLE && self.unfinished_replies == 0 && self.input.is_empty()
    }

    /// Clears the session state that a caller left on the connection.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection must be closed.
    pub(crate) fn reset(&mut self, silence_timeout: Duration) -> Result<(), ConnectionError> {
        let reply = self.run_internal(RESET_STATEMENT, silence_timeout)?;
        if reply.sqlstate.is_some() || !self.is_reusable() {
            return Err(io::Error::from(io::ErrorKind::InvalidData).into());
        }
        self.is_dirty = false;
        self.parameters_hash = 0;
        self.prepared.clear();
        Ok(())
    }

    /// Returns whether the target has closed the idle connection or has sent unsolicited data on
    /// it.
    pub(crate) fn is_stale(&self) -> bool {
        has_input(&self.stream)
    }
}

/// Returns the number of messages that the target answers with `ReadyForQuery`.
fn count_requests(mut messages: &[u8]) -> usize {
    let mut count = 0;
    while let Some((header, rest)) = messages.split_first_chunk::<HEADER_BYTES>() {
        let [tag, length @ ..] = *header;
        count += usize::from(matches!(tag, caller::QUERY | caller::SYNC));
        // The length includes its own four bytes.
        let body_bytes = (u32::from_be_bytes(length) as usize).saturating_sub(length.len());
        messages = rest.get(body_bytes..).unwrap_or_default();
    }
    count
}

/// Returns whether a stream has unread data, or was closed or failed.
pub(crate) fn has_input(stream: &TcpStream) -> bool {
    let mut byte = 0u8;
    // SAFETY: The descriptor is open for the call, and the buffer holds the one byte asked for.
    let count = unsafe {
        libc::recv(
            stream.as_raw_fd(),
            (&raw mut byte).cast(),
            1,
            libc::MSG_PEEK | libc::MSG_DONTWAIT,
        )
    };
    count >= 0 || io::Error::last_os_error().kind() != io::ErrorKind::WouldBlock
}

/// Appends a `Query` message to `output`.
pub(crate) fn put_query(output: &mut Vec<u8>, sql: &str) {
    let mut body = Vec::with_capacity(sql.len() + 1);
    body.extend_from_slice(sql.as_bytes());
    body.push(0);
    put_frame(output, caller::QUERY, &body);
}

/// Returns the command tag in the body of a `CommandComplete` message.
pub(crate) fn command_tag(body: &[u8]) -> &str {
    let text = body.strip_suffix(&[0]).unwrap_or(body);
    std::str::from_utf8(text).unwrap_or("")
}

/// Returns whether a target may send a message between two replies.
fn is_asynchronous(tag: u8) -> bool {
    matches!(
        tag,
        target::NOTICE | target::NOTIFICATION | target::PARAMETER_STATUS
    )
}

fn is_streamed(tag: u8) -> bool {
    matches!(tag, target::DATA_ROW | target::COPY_DATA)
}

/// Sends a target a cancel request for the connection with `key`, and waits until the target has
/// processed the request.
///
/// # Errors
///
/// Returns the operating system's error.
pub(crate) fn cancel(addr: SocketAddr, key: CancelKey) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&addr, CANCEL_TIMEOUT)?;
    stream.set_read_timeout(Some(CANCEL_TIMEOUT))?;
    stream.write_all(&cancel_request(key.pid, key.secret))?;
    let mut end = [0; 1];
    stream.read(&mut end).map(|_| ())
}
