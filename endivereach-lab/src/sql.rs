//! A small blocking client of PostgreSQL's simple query protocol.

use endivereach_wire::pg::frame::Frame;
use endivereach_wire::pg::frame::put_frame;
use endivereach_wire::pg::frame::read_frame;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// The maximum size of a frame from a server, in bytes.
const ANSWER_FRAME_MAX_BYTES: usize = 64 * 1024 * 1024;

/// The protocol version in the startup packet: 3.0.
const PROTOCOL_VERSION: u32 = 3 << 16;

/// A row, with each column as text or `None` for null.
pub type TextRow = Vec<Option<Box<str>>>;

/// The complete answer to a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// The rows of all statements, in order.
    pub rows: Vec<TextRow>,
    /// The command tag of the last statement.
    pub tag: Box<str>,
}

impl Answer {
    /// Returns the text in a column of the first row, if there is one.
    pub fn first(&self, column: usize) -> Option<&str> {
        self.rows.first()?.get(column)?.as_deref()
    }

    /// Returns the number in a column of the first row, if there is one.
    pub fn first_number(&self, column: usize) -> Option<i64> {
        self.first(column)?.parse().ok()
    }
}

/// The error of a request.
#[derive(Debug, thiserror::Error)]
pub enum SqlError {
    /// The server answered with an error.
    #[error("{sqlstate}: {message}; {hint}")]
    Server {
        /// The error's SQLSTATE.
        sqlstate: Box<str>,
        /// The primary message.
        message: Box<str>,
        /// The hint, empty when none was sent.
        hint: Box<str>,
    },
    /// The connection failed or timed out, so that the outcome is unknown.
    #[error("the connection failed: {0}; connect again")]
    Broken(#[from] io::Error),
}

impl SqlError {
    /// Returns whether the connection can't be used any more, because it failed or the server is
    /// stopping.
    pub fn ends_connection(&self) -> bool {
        match self {
            Self::Broken(_) => true,
            Self::Server { sqlstate, .. } => sqlstate.starts_with("57P"),
        }
    }
}

/// The startup parameters of a connection.
#[derive(Clone, Debug, Default)]
pub struct Login {
    /// The name of the role.
    pub user: Box<str>,
    /// The name of the database, which is the group's name.
    pub database: Box<str>,
    /// Additional startup parameters.
    pub parameters: Vec<Parameter>,
}

/// A startup parameter, or a session parameter that the server reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parameter {
    /// The parameter's name.
    pub name: Box<str>,
    /// The parameter's value.
    pub value: Box<str>,
}

/// An open connection.
#[derive(Debug)]
pub struct SqlClient {
    reader: BufReader<TcpStream>,
    parameters: Vec<Parameter>,
}

impl SqlClient {
    /// Connects and logs in without a password. Each read waits up to `timeout`.
    ///
    /// # Errors
    ///
    /// Returns the server's error, or the I/O error of the connection.
    pub fn connect(addr: SocketAddr, login: &Login, timeout: Duration) -> Result<Self, SqlError> {
        let stream = TcpStream::connect_timeout(&addr, timeout)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        let mut client = Self {
            reader: BufReader::with_capacity(4096, stream),
            parameters: Vec::new(),
        };
        client.send(&startup_packet(login))?;
        client.read_answer()?;
        Ok(client)
    }

    /// Runs one request, which may hold several statements, and waits for its whole answer.
    ///
    /// # Errors
    ///
    /// Returns the first error of the answer after reading all of it, or the I/O error of the
    /// connection.
    pub fn query(&mut self, sql: &str) -> Result<Answer, SqlError> {
        match self.send_query(sql) {
            Ok(()) => self.read_answer(),
            // The server may have sent the reason before it closed the connection.
            Err(error) => match self.read_answer() {
                Err(server_error @ SqlError::Server { .. }) => Err(server_error),
                _ => Err(error.into()),
            },
        }
    }

    /// Sends a request without waiting for its answer.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of the connection.
    pub fn send_query(&mut self, sql: &str) -> io::Result<()> {
        let mut body = sql.as_bytes().to_vec();
        body.push(0);
        let mut packet = Vec::with_capacity(body.len() + 5);
        put_frame(&mut packet, b'Q', &body);
        self.send(&packet)
    }

    /// Returns the last value that the server reported for a session parameter.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let found = self.parameters.iter().find(|p| &*p.name == name);
        found.map(|parameter| &*parameter.value)
    }

    fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Reads an answer up to `ReadyForQuery`, and returns its first error if it has one.
    fn read_answer(&mut self) -> Result<Answer, SqlError> {
        let mut answer = Answer::default();
        let mut error = None;
        loop {
            let frame = read_frame(&mut self.reader, ANSWER_FRAME_MAX_BYTES)?;
            match frame.tag {
                b'Z' => return error.map_or(Ok(answer), Err),
                b'D' => answer.rows.push(decode_row(&frame.body)),
                b'C' => answer.tag = nul_terminated_text(&frame.body).into(),
                b'S' => self.store_parameter(&frame),
                b'E' => {
                    let refused = decode_error(&frame.body);
                    // The server closes the connection after a fatal error without `ReadyForQuery`.
                    if self.is_fatal(&frame.body) {
                        return Err(refused);
                    }
                    error.get_or_insert(refused);
                }
                b'R' if frame.body.get(..4) != Some(&[0; 4]) => {
                    return Err(SqlError::Broken(io::Error::other(
                        "the server requires a password; start it with trust authentication",
                    )));
                }
                _ => {}
            }
        }
    }

    fn is_fatal(&self, body: &[u8]) -> bool {
        error_field(body, b'V')
            .or_else(|| error_field(body, b'S'))
            .is_some_and(|severity| severity == "FATAL")
    }

    fn store_parameter(&mut self, frame: &Frame) {
        let name = nul_terminated_text(&frame.body);
        let value = nul_terminated_text(frame.body.get(name.len() + 1..).unwrap_or_default());
        self.parameters.retain(|parameter| &*parameter.name != name);
        self.parameters.push(Parameter {
            name: name.into(),
            value: value.into(),
        });
    }
}

fn startup_packet(login: &Login) -> Vec<u8> {
    let mut body = PROTOCOL_VERSION.to_be_bytes().to_vec();
    let mut put = |name: &str, value: &str| {
        for text in [name, value] {
            body.extend_from_slice(text.as_bytes());
            body.push(0);
        }
    };
    put("user", &login.user);
    put("database", &login.database);
    for parameter in &login.parameters {
        put(&parameter.name, &parameter.value);
    }
    body.push(0);
    let mut packet = ((body.len() + 4) as u32).to_be_bytes().to_vec();
    packet.extend_from_slice(&body);
    packet
}

fn nul_terminated_text(bytes: &[u8]) -> &str {
    let end = bytes.iter().position(|&b| b == 0).unwrap_or(bytes.len());
    std::str::from_utf8(&bytes[..end]).unwrap_or_default()
}

fn error_field(body: &[u8], field: u8) -> Option<&str> {
    let mut rest = body;
    while let [tag, tail @ ..] = rest {
        let text = nul_terminated_text(tail);
        if *tag == field {
            return Some(text);
        }
        rest = tail.get(text.len() + 1..).unwrap_or_default();
    }
    None
}

fn decode_error(body: &[u8]) -> SqlError {
    let field = |tag| error_field(body, tag).unwrap_or_default().into();
    SqlError::Server {
        sqlstate: field(b'C'),
        message: field(b'M'),
        hint: field(b'H'),
    }
}

fn decode_row(body: &[u8]) -> TextRow {
    let mut rest = body.get(2..).unwrap_or_default();
    let mut row = TextRow::new();
    while let [a, b, c, d, tail @ ..] = rest {
        let length = i32::from_be_bytes([*a, *b, *c, *d]);
        let Ok(length) = usize::try_from(length) else {
            row.push(None);
            rest = tail;
            continue;
        };
        let length = length.min(tail.len());
        let (value, after) = tail.split_at(length);
        row.push(Some(String::from_utf8_lossy(value).into()));
        rest = after;
    }
    row
}
