//! Frames that the proxy itself sends to callers.

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

/// The request was not run: repeating it is safe.
pub const SQLSTATE_NOT_RUN: &str = "EV001";
/// The outcome is unknown.
pub const SQLSTATE_UNKNOWN: &str = "EV002";
/// A pooled proxy can't carry the statement.
pub const SQLSTATE_REFUSED: &str = "EV003";

/// How grave an error is for the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// The request failed.
    Error,
    /// The connection ends.
    Fatal,
}

/// An error of the proxy's own, with its remedy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ErrorReply {
    /// How grave it is.
    pub severity: Severity,
    /// The SQLSTATE.
    pub code: &'static str,
    /// What is wrong.
    pub message: Box<str>,
    /// What to do about it.
    pub hint: Box<str>,
}

impl ErrorReply {
    /// Builds an error that ends the request alone.
    pub fn new(code: &'static str, message: impl AsRef<str>, hint: impl AsRef<str>) -> Self {
        Self {
            severity: Severity::Error,
            code,
            message: message.as_ref().into(),
            hint: hint.as_ref().into(),
        }
    }

    /// Builds an error that ends the connection.
    pub fn fatal(code: &'static str, message: impl AsRef<str>, hint: impl AsRef<str>) -> Self {
        Self {
            severity: Severity::Fatal,
            ..Self::new(code, message, hint)
        }
    }

    /// Appends the error's frame to `buffer`.
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

/// Appends a message of the codec crate.
pub fn put<M: Message>(buffer: &mut Vec<u8>, message: &M) {
    let mut encoded = BytesMut::new();
    message
        .encode(&mut encoded)
        .expect("messages of the proxy's own always encode");
    buffer.extend_from_slice(&encoded);
}

/// Appends `ReadyForQuery` with a transaction status.
pub fn put_ready(buffer: &mut Vec<u8>, status: u8) {
    put_frame(buffer, tag::target::READY_FOR_QUERY, &[status]);
}

/// Appends `CommandComplete`.
pub fn put_complete(buffer: &mut Vec<u8>, command_tag: &str) {
    put(buffer, &CommandComplete::new(command_tag.to_owned()));
}

/// Appends `ParameterStatus`.
pub fn put_parameter(buffer: &mut Vec<u8>, name: &str, value: &str) {
    put(
        buffer,
        &ParameterStatus::new(name.to_owned(), value.to_owned()),
    );
}

/// Appends `AuthenticationOk`.
pub fn put_authenticated(buffer: &mut Vec<u8>) {
    put(buffer, &Authentication::Ok);
}

/// Appends the key that a cancel request has to show.
pub fn put_key(buffer: &mut Vec<u8>, pid: i32, secret: i32) {
    put(buffer, &BackendKeyData::new(pid, SecretKey::I32(secret)));
}

/// Reads the fields of an `ErrorResponse` body: the value of the field of type `field`.
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

/// Reads the name and value of a `ParameterStatus` body.
///
/// # Examples
///
/// ```
/// use endivereach_wire::pg::reply::parameter;
/// assert_eq!(parameter(b"group_position\x003:9\0"), Some(("group_position", "3:9")));
/// ```
pub fn parameter(body: &[u8]) -> Option<(&str, &str)> {
    let mut parts = body.split(|&byte| byte == 0);
    let name = std::str::from_utf8(parts.next()?).ok()?;
    let value = std::str::from_utf8(parts.next()?).ok()?;
    Some((name, value))
}

/// Reads the first column of a `DataRow` body as text; `None` for null or no column.
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
