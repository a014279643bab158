//! The subset of HTTP/1.1 that the proxy uses: calls to the platform, and plain-text responses for
//! readiness and metrics.

use crate::compression;
use crate::net::ReadResult;
use crate::net::Stream;
use endivereach_core::ids::parse_number;
use std::io::Write;

/// The header of a plain-text body.
const TEXT_CONTENT: (&str, &str) = ("Content-Type", "text/plain");

/// The most header lines that a request or response may have.
const HEADERS_MAX: usize = 32;

/// The maximum size of a received body, which bounds the memory that a message can take.
const BODY_MAX_BYTES: usize = 64 * 1024 * 1024;

/// The end of a chunk.
const CRLF: &[u8] = b"\r\n";

// Status codes whose responses have no body, or aren't the answer to the request.
const SWITCHING_PROTOCOLS: u16 = 101;
const NO_CONTENT: u16 = 204;
const NOT_MODIFIED: u16 = 304;

/// An HTTP request to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method, such as `GET`.
    pub method: &'static str,
    /// The path with the query string.
    pub path: Box<str>,
    /// Headers in addition to those that every request has.
    pub headers: Vec<(&'static str, Box<str>)>,
    /// The JSON body; empty if there is none.
    pub body: Vec<u8>,
}

/// An HTTP response of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The names and values of the headers.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// The body, with chunks already joined.
    pub body: Vec<u8>,
}

impl Response {
    /// Returns the value of the first header with a name, which is compared without case.
    ///
    /// # Examples
    ///
    /// ```
    /// use endivereach_front::http::Response;
    ///
    /// let response = Response {
    ///     status: 200,
    ///     headers: vec![("Retry-After".into(), "2".into())],
    ///     body: Vec::new(),
    /// };
    /// assert_eq!(response.header("retry-after"), Some("2"));
    /// ```
    pub fn header(&self, name: &str) -> Option<&str> {
        let is_named = |(known, _): &&(Box<str>, Box<str>)| known.eq_ignore_ascii_case(name);
        self.headers
            .iter()
            .find(is_named)
            .map(|(_, value)| &**value)
    }
}

/// An error for bytes that aren't HTTP, or that use an unsupported part of it.
#[derive(Debug, thiserror::Error)]
#[error("unsupported HTTP message: {reason}; check which service uses this address")]
pub struct HttpError {
    reason: Box<str>,
}

impl HttpError {
    fn new(reason: impl Into<Box<str>>) -> Self {
        Self {
            reason: reason.into(),
        }
    }
}

/// Appends an encoded request to `out`.
pub fn write_request(request: &Request, host: &str, out: &mut Vec<u8>) {
    // Writing to a vector can't fail.
    let _ = write!(
        out,
        "{} {} HTTP/1.1\r\nHost: {host}\r\n",
        request.method, request.path
    );
    for (name, value) in &request.headers {
        let _ = write!(out, "{name}: {value}\r\n");
    }
    if !request.body.is_empty() {
        let _ = write!(out, "Content-Type: application/json\r\n");
    }
    if !request.body.is_empty() || request.method != "GET" {
        let _ = write!(out, "Content-Length: {}\r\n", request.body.len());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&request.body);
}

/// Returns whether a connection without a call in flight can be used for another one: it is open, and
/// nothing has arrived that would count as the answer to that call.
pub fn is_reusable(stream: &mut Stream) -> bool {
    stream.fill() == ReadResult::Open && stream.input().is_empty()
}

/// Removes a complete response from a stream's input, with the interim responses before it. Returns
/// `None` if the response is incomplete.
///
/// # Errors
///
/// Returns an error if the bytes aren't a supported HTTP response, if their end is ambiguous, or if
/// more bytes follow. Only one call is in flight, so either part may answer an earlier one.
pub fn read_response(stream: &mut Stream) -> Result<Option<Response>, HttpError> {
    let input = stream.input();
    let mut head_end = 0;
    let (status, headers, length) = loop {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let mut head = httparse::Response::new(&mut headers);
        let parsed = head
            .parse(&input[head_end..])
            .map_err(|error| HttpError::new(error.to_string()))?;
        let httparse::Status::Complete(head_bytes) = parsed else {
            return Ok(None);
        };
        head_end += head_bytes;
        match head.code.unwrap_or(0) {
            SWITCHING_PROTOCOLS => return Err(HttpError::new("a switch of the protocol")),
            100..200 => continue,
            status => break (status, owned_headers(head.headers), body_length(&head)?),
        }
    };
    let (body, body_bytes) = match length {
        BodyLength::Fixed(length) => match input[head_end..].get(..length) {
            Some(body) => (body.to_vec(), length),
            None => return Ok(None),
        },
        BodyLength::Chunked => match read_chunks(&input[head_end..])? {
            Some(decoded) => decoded,
            None => return Ok(None),
        },
    };
    stream.consume(head_end + body_bytes);
    if !stream.input().is_empty() {
        return Err(HttpError::new("bytes after the response"));
    }
    Ok(Some(Response {
        status,
        headers,
        body,
    }))
}

fn owned_headers(headers: &[httparse::Header<'_>]) -> Vec<(Box<str>, Box<str>)> {
    let headers = headers.iter();
    headers
        .map(|header| {
            let value = String::from_utf8_lossy(header.value);
            (header.name.into(), value.trim().into())
        })
        .collect()
}

enum BodyLength {
    Fixed(usize),
    Chunked,
}

fn body_length(head: &httparse::Response<'_, '_>) -> Result<BodyLength, HttpError> {
    let length = announced_length(head.headers)?;
    Ok(match head.code {
        Some(NO_CONTENT | NOT_MODIFIED) => BodyLength::Fixed(0),
        _ => length,
    })
}

/// Returns the length of the body by the headers of a message. A message that states it more than
/// once is refused, because its peer may have read another of the statements.
fn announced_length(headers: &[httparse::Header<'_>]) -> Result<BodyLength, HttpError> {
    let mut length = None;
    let mut is_chunked = false;
    for header in headers {
        let value = std::str::from_utf8(header.value).unwrap_or_default();
        let value = value.trim_matches([' ', '\t']);
        let is_repeated = if header.name.eq_ignore_ascii_case("content-length") {
            let bytes = parse_number(value)
                .ok()
                .and_then(|n| usize::try_from(n).ok());
            let bytes = bytes.filter(|bytes| *bytes <= BODY_MAX_BYTES);
            let bytes = bytes
                .ok_or_else(|| HttpError::new("the Content-Length header isn't a valid length"))?;
            length.replace(bytes).is_some()
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            if !value.eq_ignore_ascii_case("chunked") {
                return Err(HttpError::new("an unknown Transfer-Encoding"));
            }
            std::mem::replace(&mut is_chunked, true)
        } else {
            false
        };
        if is_repeated || (length.is_some() && is_chunked) {
            return Err(HttpError::new(
                "more than one statement of the body's length",
            ));
        }
    }
    Ok(if is_chunked {
        BodyLength::Chunked
    } else {
        BodyLength::Fixed(length.unwrap_or(0))
    })
}

/// Decodes a chunked body. Returns the body and the number of input bytes that it used, or `None`
/// if the last chunk hasn't arrived.
fn read_chunks(input: &[u8]) -> Result<Option<(Vec<u8>, usize)>, HttpError> {
    let mut body = Vec::new();
    let mut offset = 0;
    loop {
        let size = httparse::parse_chunk_size(&input[offset..])
            .map_err(|_| HttpError::new("a chunk has no valid size"))?;
        let httparse::Status::Complete((start, size)) = size else {
            return Ok(None);
        };
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        if size > BODY_MAX_BYTES - body.len() {
            return Err(HttpError::new("the body is too large"));
        }
        let start = offset + start;
        let end = start + size;
        let Some(line_end) = input.get(end..end + CRLF.len()) else {
            return Ok(None);
        };
        if line_end != CRLF {
            return Err(HttpError::new(
                "a chunk isn't as long as stated, or has a trailer",
            ));
        }
        body.extend_from_slice(&input[start..end]);
        offset = end + CRLF.len();
        if size == 0 {
            return Ok(Some((body, offset)));
        }
    }
}

/// The part of a received request that determines its response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The path with the query string.
    pub path: Box<str>,
    /// Whether the response may be compressed with [`compression::ENCODING`].
    pub accepts_compression: bool,
}

/// Removes a complete request without a body from a stream's input. Returns `None` if the request is
/// incomplete.
///
/// # Errors
///
/// Returns an error if the bytes aren't an HTTP request, or if the request has a body.
pub fn read_request(stream: &mut Stream) -> Result<Option<RequestHead>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut head = httparse::Request::new(&mut headers);
    let parsed = head
        .parse(stream.input())
        .map_err(|error| HttpError::new(error.to_string()))?;
    let httparse::Status::Complete(bytes) = parsed else {
        return Ok(None);
    };
    // The bytes of a body would be read as the next request.
    if !matches!(announced_length(head.headers)?, BodyLength::Fixed(0)) {
        return Err(HttpError::new("a request with a body"));
    }
    let accepted = head.headers.iter().filter(|header| {
        let value = std::str::from_utf8(header.value).unwrap_or_default();
        header.name.eq_ignore_ascii_case("accept-encoding") && value == compression::ENCODING
    });
    let request = RequestHead {
        path: head.path.unwrap_or("/").into(),
        accepts_compression: accepted.count() > 0,
    };
    stream.consume(bytes);
    Ok(Some(request))
}

/// Appends a plain-text response to `out`.
pub fn write_text_response(status: u16, reason: &str, body: &str, out: &mut Vec<u8>) {
    write_response(status, reason, &[TEXT_CONTENT], body.as_bytes(), out);
}

/// Appends a response to `out`.
pub fn write_response(
    status: u16,
    reason: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    out: &mut Vec<u8>,
) {
    // Writing to a vector can't fail.
    let _ = write!(out, "HTTP/1.1 {status} {reason}\r\n");
    for (name, value) in headers {
        let _ = write!(out, "{name}: {value}\r\n");
    }
    let _ = write!(out, "Content-Length: {}\r\n\r\n", body.len());
    out.extend_from_slice(body);
}
