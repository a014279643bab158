//! The little of HTTP/1.1 that a front speaks: calls to the platform, and its own pages.

use crate::net::Stream;
use std::io::Write;

/// Header lines that a response may have.
const HEADERS_MAX: usize = 32;

/// A call to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method.
    pub method: &'static str,
    /// The path with its query.
    pub path: Box<str>,
    /// Headers besides those that every call has.
    pub headers: Vec<(&'static str, Box<str>)>,
    /// The body; empty for none.
    pub body: Vec<u8>,
}

/// A response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

/// Bytes that aren't HTTP, or use a part of it that isn't supported.
#[derive(Debug, thiserror::Error)]
#[error("not a supported HTTP message: {reason}; check what answers at this address")]
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

/// Writes a call.
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

/// Takes a whole response off a stream's input, if there is one.
///
/// # Errors
///
/// Returns an error when the bytes aren't a response that is understood.
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
    let length = match body_length(head.headers)? {
        BodyLength::Known(length) => length,
        BodyLength::Chunked => {
            let Some((body, used)) = read_chunks(&input[head_bytes..])? else {
                return Ok(None);
            };
            stream.consume(head_bytes + used);
            return Ok(Some(Response { status, body }));
        }
    };
    let Some(body) = input.get(head_bytes..head_bytes + length) else {
        return Ok(None);
    };
    let body = body.to_vec();
    stream.consume(head_bytes + length);
    Ok(Some(Response { status, body }))
}

enum BodyLength {
    Known(usize),
    Chunked,
}

fn body_length(headers: &[httparse::Header<'_>]) -> Result<BodyLength, HttpError> {
    let mut length = 0;
    for header in headers {
        let value = std::str::from_utf8(header.value).unwrap_or_default();
        if header.name.eq_ignore_ascii_case("content-length") {
            length = value
                .trim()
                .parse()
                .map_err(|_| HttpError::new("a content length that isn't a number"))?;
        } else if header.name.eq_ignore_ascii_case("transfer-encoding")
            && value.trim().eq_ignore_ascii_case("chunked")
        {
            return Ok(BodyLength::Chunked);
        }
    }
    Ok(BodyLength::Known(length))
}

/// Returns the body in chunks with the bytes that it took, once its last chunk is there.
fn read_chunks(input: &[u8]) -> Result<Option<(Vec<u8>, usize)>, HttpError> {
    let mut body = Vec::new();
    let mut at = 0;
    loop {
        let size = httparse::parse_chunk_size(&input[at..])
            .map_err(|_| HttpError::new("a chunk without a size"))?;
        let httparse::Status::Complete((start, size)) = size else {
            return Ok(None);
        };
        let start = at + start;
        let end = start + size as usize;
        let Some(chunk) = input.get(start..end) else {
            return Ok(None);
        };
        if input.len() < end + 2 {
            return Ok(None);
        }
        body.extend_from_slice(chunk);
        at = end + 2;
        if size == 0 {
            return Ok(Some((body, at)));
        }
    }
}

/// Takes a whole request without a body off a stream's input, and returns its path.
///
/// # Errors
///
/// Returns an error when the bytes aren't a request.
pub fn read_path(stream: &mut Stream) -> Result<Option<Box<str>>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut head = httparse::Request::new(&mut headers);
    let parsed = head
        .parse(stream.input())
        .map_err(|error| HttpError::new(error.to_string()))?;
    let httparse::Status::Complete(bytes) = parsed else {
        return Ok(None);
    };
    let path = head.path.unwrap_or("/").into();
    stream.consume(bytes);
    Ok(Some(path))
}

/// Writes a page of the process's own.
pub fn write_page(status: u16, reason: &str, body: &str, out: &mut Vec<u8>) {
    // Writing to a vector can't fail.
    let _ = write!(
        out,
        "HTTP/1.1 {status} {reason}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
}
