//! HTTP messages of the platform and of other proxies: where they end, and what is refused.

use endivereach_core::cases;
use endivereach_front::http;
use endivereach_front::http::HttpError;
use endivereach_front::http::RequestHead;
use endivereach_front::http::Response;
use endivereach_front::net::Stream;
use mio::Poll;
use mio::Token;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// A connection with its peer.
struct Connection {
    stream: Stream,
    peer: TcpStream,
    _poll: Poll,
}

impl Connection {
    fn open() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (socket, _) = listener.accept().unwrap();
        socket.set_nonblocking(true).unwrap();
        let poll = Poll::new().unwrap();
        let socket = mio::net::TcpStream::from_std(socket);
        Self {
            stream: Stream::from_socket(socket, Token(0), poll.registry()).unwrap(),
            peer,
            _poll: poll,
        }
    }

    /// Sends bytes from the peer, and waits until they have arrived.
    fn receive(&mut self, bytes: &[u8]) {
        let expected = self.stream.input().len() + bytes.len();
        self.peer.write_all(bytes).unwrap();
        while self.stream.input().len() < expected {
            self.stream.fill();
            thread::sleep(Duration::from_millis(1));
        }
    }
}

fn read_response(text: &str) -> Result<Option<Response>, HttpError> {
    let mut connection = Connection::open();
    connection.receive(text.as_bytes());
    http::read_response(&mut connection.stream)
}

fn read_request(text: &str) -> Result<Option<RequestHead>, HttpError> {
    let mut connection = Connection::open();
    connection.receive(text.as_bytes());
    http::read_request(&mut connection.stream)
}

/// A response with headers and a body.
fn response(head: &str, body: &str) -> String {
    format!("HTTP/1.1 {head}\r\n\r\n{body}")
}

fn check_response_is_read((text, body): (String, &str)) {
    let response = read_response(&text).unwrap().unwrap();
    assert_eq!(response.status, 200);
    assert_eq!(response.body, body.as_bytes());
}

cases! {
    check_response_is_read;
    fixed_length: (response("200 OK\r\nContent-Length: 2", "{}"), "{}");
    without_a_body: (response("200 OK", ""), "");
    in_chunks: (
        response("200 OK\r\nTransfer-Encoding: chunked", "2\r\n{\"\r\n3;x=y\r\na\"}\r\n0\r\n\r\n"),
        "{\"a\"}"
    );
    // Guards against an interim response that counts as the answer, so that the answer itself
    // counts as that of the next call.
    after_an_interim_response: (
        response("100 Continue", "") + &response("200 OK\r\nContent-Length: 2", "{}"),
        "{}"
    );
}

/// Guards against a message whose end two programs find at different bytes: what one of them leaves
/// over would count as the answer to the next call.
fn check_response_is_refused(text: String) {
    let result = read_response(&text);
    assert!(result.is_err(), "{result:?}");
}

cases! {
    check_response_is_refused;
    length_with_a_sign: response("200 OK\r\nContent-Length: +2", "{}");
    length_without_digits: response("200 OK\r\nContent-Length: ", "");
    length_above_all_numbers: response("200 OK\r\nContent-Length: 18446744073709551616", "{}");
    length_that_overflows: response("200 OK\r\nContent-Length: 18446744073709551615", "{}");
    two_lengths: response("200 OK\r\nContent-Length: 1\r\nContent-Length: 2", "{}");
    two_equal_lengths: response("200 OK\r\nContent-Length: 2\r\ncontent-length: 2", "{}");
    list_of_lengths: response("200 OK\r\nContent-Length: 2, 2", "{}");
    length_and_chunks: response(
        "200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked",
        "2\r\n{}\r\n0\r\n\r\n"
    );
    unknown_transfer_encoding: response("200 OK\r\nTransfer-Encoding: gzip", "");
    two_transfer_encodings: response(
        "200 OK\r\nTransfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
        "0\r\n\r\n"
    );
    chunk_without_end: response("200 OK\r\nTransfer-Encoding: chunked", "2\r\n{}xx0\r\n\r\n");
    trailer_after_the_chunks: response(
        "200 OK\r\nTransfer-Encoding: chunked",
        "2\r\n{}\r\n0\r\nA: b\r\n\r\n"
    );
    folded_header: response("200 OK\r\nA: b\r\n c\r\nContent-Length: 2", "{}");
    blank_before_the_colon: response("200 OK\r\nContent-Length : 2", "{}");
    zero_byte_in_a_header: response("200 OK\r\nA: b\0\r\nContent-Length: 2", "{}");
    line_feed_in_a_header: response("200 OK\r\nA: b\rc\r\nContent-Length: 2", "{}");
    bytes_without_a_length: response("200 OK", "{}");
    switch_of_the_protocol: response("101 Switching Protocols", "");
}

/// Guards against an answer that is repeated: it is refused with its call, as neither of the two
/// may be left over for the next one.
#[test]
fn a_response_that_is_followed_by_another_is_refused() {
    let answer = response("200 OK\r\nContent-Length: 2", "{}");
    assert!(read_response(&(answer.clone() + &answer)).is_err());
    let start = &answer[..answer.len() - 1];
    assert!(read_response(&(answer.clone() + start)).is_err());
}

/// Guards against an answer that is repeated late, and then counts as the answer to the next call.
#[test]
fn a_connection_on_which_more_arrives_between_calls_is_not_used_again() {
    let mut connection = Connection::open();
    let answer = response("200 OK\r\nContent-Length: 2", "{}");
    connection.receive(answer.as_bytes());
    assert!(!http::is_reusable(&mut connection.stream));
    http::read_response(&mut connection.stream).unwrap();
    assert!(http::is_reusable(&mut connection.stream));
    connection.receive(&answer.as_bytes()[..1]);
    assert!(!http::is_reusable(&mut connection.stream));
}

#[test]
fn a_connection_that_ended_between_calls_is_not_used_again() {
    let mut connection = Connection::open();
    assert!(http::is_reusable(&mut connection.stream));
    let Connection { stream, peer, .. } = &mut connection;
    peer.shutdown(std::net::Shutdown::Both).unwrap();
    thread::sleep(Duration::from_millis(20));
    assert!(!http::is_reusable(stream));
}

/// A response is incomplete up to its last byte.
#[test]
fn a_response_that_is_cut_off_is_not_an_answer() {
    let answers = [
        response("200 OK\r\nContent-Length: 2", "{}"),
        response(
            "200 OK\r\nTransfer-Encoding: chunked",
            "2\r\n{}\r\n0\r\n\r\n",
        ),
        response("100 Continue", "") + &response("200 OK\r\nContent-Length: 2", "{}"),
    ];
    for answer in answers {
        let mut connection = Connection::open();
        for byte in answer.bytes().take(answer.len() - 1) {
            connection.receive(&[byte]);
            let result = http::read_response(&mut connection.stream);
            assert!(matches!(result, Ok(None)), "{result:?}");
        }
        connection.receive(&answer.as_bytes()[answer.len() - 1..]);
        let response = http::read_response(&mut connection.stream);
        assert_eq!(response.unwrap().unwrap().body, b"{}");
    }
}

#[test]
fn a_request_is_read() {
    let request = read_request("GET /-/ready HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(&*request.unwrap().unwrap().path, "/-/ready");
}

/// Guards against one request that is answered as two: no request to these addresses has a body, and
/// the bytes of one would count as the next request.
fn check_request_is_refused(text: &str) {
    let result = read_request(text);
    assert!(result.is_err(), "{result:?}");
}

cases! {
    check_request_is_refused;
    request_with_a_body: "GET /feed/0/0/0/0/0 HTTP/1.1\r\nContent-Length: 4\r\n\r\nGET ";
    request_in_chunks: "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    request_with_two_lengths: "GET / HTTP/1.1\r\nContent-Length: 0\r\nContent-Length: 4\r\n\r\nGET ";
    request_with_a_sign: "GET / HTTP/1.1\r\nContent-Length: +0\r\n\r\n";
}
