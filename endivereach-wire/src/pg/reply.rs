//! Messages that the proxy itself generates for callers, and decoders of messages that targets
//! send.

use bytes::BytesMut;
use pgwire::messages::Message;
use pgwire::messages::data::DataRow;
use pgwire::messages::response::CommandComplete;
use pgwire::messages::response::ErrorResponse;
use pgwire::messages::startup::Authentication;
use pgwire::messages::startup::BackendKeyData;
use pgwire::messages::startup::ParameterStatus;
use pgwire::messages::startup::SecretKey;

use super::frame::put_frame;
use super::tag;

/// The SQLSTATE of a request that was not run, so that it can safely be repeated.
pub const SQLSTATE_NOT_RUN: &str = "EV001";
/// The SQLSTATE of a request whose outcome is unknown.
pub const SQLSTATE_UNKNOWN: &str = "EV002";
/// The SQLSTATE of a statement that a pooling proxy can't support.
pub const SQLSTATE_REFUSED: &str = "EV003";

/// The severity of an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// The request failed and the connection stays open.
    Error,
    /// The connection is closed.
    Fatal,
}

/// An error that the proxy generates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ErrorReply {
    /// Whether the connection stays open.
    pub severity: Severity,
    /// The SQLSTATE code, of 5 characters.
    pub code: &'static str,
    /// The primary error message.
    pub message: Box<str>,
    /// A suggestion how to fix the error. Not sent when empty.
    pub hint: Box<str>,
}

impl ErrorReply {
    /// Builds an error after which the connection stays open.
    pub fn new(code: &'static str, message: impl AsRef<str>, hint: impl AsRef<str>) -> Self {
        Self {
            severity: Severity::Error,
            code,
            message: message.as_ref().into(),
            hint: hint.as_ref().into(),
        }
    }

    /// Builds an error after which the connection is closed.
    pub fn fatal(code: &'static str, message: impl AsRef<str>, hint: impl AsRef<str>) -> Self {
        Self {
            severity: Severity::Fatal,
            ..Self::new(code, message, hint)
        }
    }

    /// Appends the error to `buffer` as an `ErrorResponse`.
    pub fn put(&self, buffer: &mut Vec<u8>) {
        let severity = match self.severity {
            Severity::Error => "ERROR",
            Severity::Fatal => "FATAL",
        };
        let mut fields = vec![
            (b'S', severity.to_owned()),
            (b'V', severity.to_owned()),
            (b'C', self.code.to_owned()),
            (b'M', self.message.to_string()),
        ];
        if !self.hint.is_empty() {
            fields.push((b'H', self.hint.to_string()));
        }
        put(buffer, &ErrorResponse::new(fields));
    }
}

/// Appends a message of the `pgwire` crate.
///
/// # Panics
///
/// Panics when the message can't be encoded.
pub fn put<M: Message>(buffer: &mut Vec<u8>, message: &M) {
    let mut encoded = BytesMut::new();
    message
        .encode(&mut encoded)
        .expect("messages that the proxy generates can be encoded");
    buffer.extend_from_slice(&encoded);
}

/// Appends `ReadyForQuery` with a transaction status from [`tag::status`].
pub fn put_ready_for_query(buffer: &mut Vec<u8>, status: u8) {
    put_frame(buffer, tag::target::READY_FOR_QUERY, &[status]);
}

/// Appends `CommandComplete` with a command tag such as `SELECT 1`.
pub fn put_command_complete(buffer: &mut Vec<u8>, command_tag: &str) {
    put(buffer, &CommandComplete::new(command_tag.to_owned()));
}

/// Appends `ParameterStatus`, which reports the value of a run-time parameter.
pub fn put_parameter_status(buffer: &mut Vec<u8>, name: &str, value: &str) {
    put(
        buffer,
        &ParameterStatus::new(name.to_owned(), value.to_owned()),
    );
}

/// Appends `AuthenticationOk`, which ends a successful login.
pub fn put_authentication_ok(buffer: &mut Vec<u8>) {
    put(buffer, &Authentication::Ok);
}

/// Appends `BackendKeyData`, whose process id and secret a cancel request must contain.
pub fn put_backend_key_data(buffer: &mut Vec<u8>, pid: i32, secret: i32) {
    put(buffer, &BackendKeyData::new(pid, SecretKey::I32(secret)));
}

/// Returns the value of the field of type `field` in the body of an `ErrorResponse`.
///
/// # Examples
///
/// ```
/// use endivereach_wire::pg::reply::error_field;
/// assert_eq!(error_field(b"SERROR\0C23505\0\0", b'C'), Some("23505"));
/// ```
pub fn error_field(body: &[u8], field: u8) -> Option<&str> {
    body.split(|&byte| byte == 0)
        .find(|part| part.first() == Some(&field))
        .and_then(|part| std::str::from_utf8(&part[1..]).ok())
}

/// Returns the name and the value in the body of a `ParameterStatus`.
///
/// # Examples
///
/// ```
/// use endivereach_wire::pg::reply::parse_parameter_status;
/// assert_eq!(
///     parse_parameter_status(b"group_position\x003:9\0"),
///     Some(("group_position", "3:9"))
/// );
/// ```
pub fn parse_parameter_status(body: &[u8]) -> Option<(&str, &str)> {
    let mut parts = body.split(|&byte| byte == 0);
    let name = std::str::from_utf8(parts.next()?).ok()?;
    let value = std::str::from_utf8(parts.next()?).ok()?;
    Some((name, value))
}

/// Returns the first column in the body of a `DataRow` as text. Returns `None` when the column is
/// null or missing or isn't UTF-8.
pub fn first_column(body: &[u8]) -> Option<String> {
    let mut buffer = BytesMut::new();
    let mut frame = Vec::new();
    put_frame(&mut frame, tag::target::DATA_ROW, body);
    buffer.extend_from_slice(&frame);
    let context = pgwire::messages::DecodeContext::default();
    let row = DataRow::decode(&mut buffer, &context).ok()??;
    let length = i32::from_be_bytes(row.data.get(..4)?.try_into().ok()?);
    let end = 4 + usize::try_from(length).ok()?;
    String::from_utf8(row.data.get(4..end)?.to_vec()).ok()
}
