//! The subset of HTTP/1.1 that the proxy uses: calls to the platform, and plain-text responses for
//! readiness and metrics.

use crate::compression;
use crate::net::Stream;
use std::io::Write;

/// The header of a plain-text body.
const TEXT_CONTENT: (&str, &str) = ("Content-Type", "text/plain");

/// The most header lines that a request or response may have.
const HEADERS_MAX: usize = 32;

/// What ends the data of a chunk.
const CHUNK_END: &[u8] = b"\r\n";

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

/// Removes a complete response from a stream's input. Returns `None` if the response is incomplete.
///
/// # Errors
///
/// Returns an error if the bytes aren't a supported HTTP response.
pub fn read_response(stream: &mut Stream) -> Result<Option<Response>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut head = httparse::Response::new(&mut headers);
    let input = stream.input();
    let parsed = head
        .parse(input)
        .map_err(|error| HttpError::new(error.to_string()))?;
    let httparse::Status::Complete(head_bytes) = parsed else {
        return Ok(None);
    };
    let status = head.code.unwrap_or(0);
    let headers = head.headers.iter();
    let headers = headers
        .map(|header| {
            let value = String::from_utf8_lossy(header.value);
            (header.name.into(), value.trim().into())
        })
        .collect();
    let length = match body_length(head.headers)? {
        BodyLength::Fixed(length) => length,
        BodyLength::Chunked => {
            let Some((body, used)) = read_chunks(&input[head_bytes..])? else {
                return Ok(None);
            };
            stream.consume(head_bytes + used);
            return Ok(Some(Response {
                status,
                headers,
                body,
            }));
        }
    };
    let end = head_bytes
        .checked_add(length)
        .ok_or_else(|| HttpError::new("the body is too long"))?;
    let Some(body) = input.get(head_bytes..end) else {
        return Ok(None);
    };
    let body = body.to_vec();
    stream.consume(end);
    Ok(Some(Response {
        status,
        headers,
        body,
    }))
}

enum BodyLength {
    Fixed(usize),
    Chunked,
}

fn body_length(headers: &[httparse::Header<'_>]) -> Result<BodyLength, HttpError> {
    let mut length = None;
    let mut is_chunked = false;
    for header in headers {
        let value = std::str::from_utf8(header.value).unwrap_or_default().trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            let parsed = parse_length(value)
                .ok_or_else(|| HttpError::new("the Content-Length header isn't a number"))?;
            if length.is_some_and(|length| length != parsed) {
                return Err(HttpError::new("two Content-Length headers differ"));
            }
            length = Some(parsed);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            is_chunked |= value.eq_ignore_ascii_case("chunked");
        }
    }
    Ok(match length {
        _ if is_chunked => BodyLength::Chunked,
        length => BodyLength::Fixed(length.unwrap_or(0)),
    })
}

/// Parses a length of decimal digits. A sign, which `parse` accepts, isn't one.
fn parse_length(text: &str) -> Option<usize> {
    let is_digits = text.bytes().all(|byte| byte.is_ascii_digit());
    is_digits.then(|| text.parse().ok())?
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
        let start = offset + start;
        let too_long = || HttpError::new("a chunk is too long");
        let size = usize::try_from(size).map_err(|_| too_long())?;
        let end = start.checked_add(size).ok_or_else(too_long)?;
        let next = end.checked_add(CHUNK_END.len()).ok_or_else(too_long)?;
        let (Some(chunk), Some(chunk_end)) = (input.get(start..end), input.get(end..next)) else {
            return Ok(None);
        };
        if chunk_end != CHUNK_END {
            return Err(HttpError::new("a chunk doesn't end after its size"));
        }
        body.extend_from_slice(chunk);
        offset = next;
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
/// Returns an error if the bytes aren't an HTTP request.
pub fn read_request(stream: &mut Stream) -> Result<Option<RequestHead>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut head = httparse::Request::new(&mut headers);
    let parsed = head
        .parse(stream.input())
        .map_err(|error| HttpError::new(error.to_string()))?;
    let httparse::Status::Complete(bytes) = parsed else {
        return Ok(None);
    };
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
