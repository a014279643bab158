//! The first packet of a connection: a startup message, a cancel request or an encryption request.

use postgres_protocol::message::frontend;

use bytes::BytesMut;

// Request codes, which take the place of the protocol version in the first packet.
const CANCEL_REQUEST_CODE: i32 = 80_877_102;
const SSL_REQUEST_CODE: i32 = 80_877_103;
const GSSENC_REQUEST_CODE: i32 = 80_877_104;

/// The major version of the supported protocol.
const PROTOCOL_MAJOR: i32 = 3;

/// A parsed first packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FirstPacket {
    /// A request for TLS or GSSAPI encryption.
    EncryptionRequest,
    /// A request to cancel the running statement of another connection.
    Cancel {
        /// The process id that the server sent to that connection.
        pid: i32,
        /// The secret that the server sent to that connection.
        secret: i32,
    },
    /// A startup message with these parameters.
    StartupMessage(Parameters),
    /// A startup message with an unsupported protocol version.
    Unsupported,
}

/// The parameters of a startup message, in their order in the message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Parameters(Vec<Parameter>);

/// One startup parameter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parameter {
    /// The parameter's name, such as `user`.
    pub name: Box<str>,
    /// The parameter's value, as text.
    pub value: Box<str>,
}

impl Parameters {
    /// Returns the value of a parameter. If it is set more than once, the last value is returned.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.0.iter().rev().find(|entry| &*entry.name == name);
        found.map(|entry| &*entry.value)
    }

    /// Returns all parameters, including those that `options` sets, such as by `-c name=value`.
    pub fn iter(&self) -> impl Iterator<Item = &Parameter> {
        self.0.iter()
    }
}

/// Parses the body of a first packet, which doesn't include its length. Returns `None` when the
/// packet is invalid.
///
/// # Examples
///
/// ```
/// use endivereach_wire::pg::startup::{FirstPacket, parse_first_packet};
///
/// let body = b"\0\x03\0\0user\0ann\0database\0ledger\0options\0-c a.b=c\0\0";
/// let packet = parse_first_packet(body);
/// let Some(FirstPacket::StartupMessage(parameters)) = packet else { panic!() };
/// assert_eq!(parameters.get("database"), Some("ledger"));
/// assert_eq!(parameters.get("a.b"), Some("c"));
/// ```
pub fn parse_first_packet(body: &[u8]) -> Option<FirstPacket> {
    let i32_at = |at: usize| Some(i32::from_be_bytes(body.get(at..at + 4)?.try_into().ok()?));
    let code = i32_at(0)?;
    match code {
        SSL_REQUEST_CODE | GSSENC_REQUEST_CODE => Some(FirstPacket::EncryptionRequest),
        CANCEL_REQUEST_CODE => Some(FirstPacket::Cancel {
            pid: i32_at(4)?,
            secret: i32_at(8)?,
        }),
        _ if code >> 16 == PROTOCOL_MAJOR => {
            parse_parameters(&body[4..]).map(FirstPacket::StartupMessage)
        }
        _ => Some(FirstPacket::Unsupported),
    }
}

fn parse_parameters(body: &[u8]) -> Option<Parameters> {
    let mut parameters = Vec::new();
    let mut parts = body.split(|&byte| byte == 0);
    loop {
        let name = std::str::from_utf8(parts.next()?).ok()?;
        if name.is_empty() {
            return Some(Parameters(parameters));
        }
        let value = std::str::from_utf8(parts.next()?).ok()?;
        if name == "options" {
            parameters.extend(parse_options(value));
        }
        parameters.push(Parameter {
            name: name.into(),
            value: value.into(),
        });
    }
}

/// Parses the settings `-c name=value`, `-cname=value` and `--name=value`, and skips words without
/// `=`.
fn parse_options(options: &str) -> Vec<Parameter> {
    let words = split_options(options);
    let settings = words.iter().filter_map(|option| {
        let option = option.trim_start_matches("--").trim_start_matches("-c");
        option.split_once('=')
    });
    settings
        .map(|(name, value)| Parameter {
            name: name.into(),
            value: value.into(),
        })
        .collect()
}

/// Splits options at blanks. A backslash makes the character after it part of the word, as on a server.
fn split_options(options: &str) -> Vec<String> {
    let mut words = vec![String::new()];
    let mut is_escaped = false;
    for character in options.chars() {
        if is_escaped {
            is_escaped = false;
        } else if character == '\\' {
            is_escaped = true;
            continue;
        } else if character.is_ascii_whitespace() {
            words.push(String::new());
            continue;
        }
        if let Some(word) = words.last_mut() {
            word.push(character);
        }
    }
    words
}

/// Builds the first packet of a connection that cancels the running statement of another one.
pub fn cancel_request(pid: i32, secret: i32) -> BytesMut {
    let mut buffer = BytesMut::new();
    frontend::cancel_request(pid, secret, &mut buffer);
    buffer
}
