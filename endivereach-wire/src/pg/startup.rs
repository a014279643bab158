//! The first packet of a caller.

use postgres_protocol::message::frontend;

use bytes::BytesMut;

const CODE_CANCEL: i32 = 80_877_102;
const CODE_TLS: i32 = 80_877_103;
const CODE_GSS: i32 = 80_877_104;
const PROTOCOL_MAJOR: i32 = 3;

/// What a caller asks for with its first packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FirstPacket {
    /// Whether TLS or GSS is spoken here.
    Encryption,
    /// To cancel what another connection runs.
    Cancel {
        /// The process id that the connection was given.
        pid: i32,
        /// The secret that the connection was given.
        secret: i32,
    },
    /// A session with these parameters.
    Start(Parameters),
    /// A protocol version that isn't spoken here.
    Unsupported,
}

/// The startup parameters, in the order they came.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Parameters(Vec<Parameter>);

/// One startup parameter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parameter {
    /// The name.
    pub name: Box<str>,
    /// The value.
    pub value: Box<str>,
}

impl Parameters {
    /// Returns the last value of a parameter.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.0.iter().rev().find(|entry| &*entry.name == name);
        found.map(|entry| &*entry.value)
    }

    /// Returns every parameter, those inside `options` (`-c name=value`) included.
    pub fn iter(&self) -> impl Iterator<Item = &Parameter> {
        self.0.iter()
    }
}

/// Reads the body of a first packet, without its length.
///
/// # Examples
///
/// ```
/// use endivereach_wire::pg::startup::{FirstPacket, parse};
///
/// let packet = parse(b"\0\x03\0\0user\0ann\0database\0ledger\0options\0-c a.b=c\0\0");
/// let Some(FirstPacket::Start(parameters)) = packet else { panic!() };
/// assert_eq!(parameters.get("database"), Some("ledger"));
/// assert_eq!(parameters.get("a.b"), Some("c"));
/// ```
pub fn parse(body: &[u8]) -> Option<FirstPacket> {
    let number = |at: usize| Some(i32::from_be_bytes(body.get(at..at + 4)?.try_into().ok()?));
    let code = number(0)?;
    match code {
        CODE_TLS | CODE_GSS => Some(FirstPacket::Encryption),
        CODE_CANCEL => Some(FirstPacket::Cancel {
            pid: number(4)?,
            secret: number(8)?,
        }),
        _ if code >> 16 == PROTOCOL_MAJOR => parse_parameters(&body[4..]).map(FirstPacket::Start),
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

/// Reads `-c name=value`, `-cname=value` and `--name=value`.
fn parse_options(options: &str) -> impl Iterator<Item = Parameter> {
    options
        .split_whitespace()
        .map(|word| word.trim_start_matches("--").trim_start_matches("-c"))
        .filter_map(|word| word.split_once('='))
        .map(|(name, value)| Parameter {
            name: name.into(),
            value: value.into(),
        })
}

/// Builds a cancel request.
pub fn cancel_request(pid: i32, secret: i32) -> BytesMut {
    let mut buffer = BytesMut::new();
    frontend::cancel_request(pid, secret, &mut buffer);
    buffer
}
