//! Checks where a response of the platform ends.

use endivereach_core::cases;
use endivereach_front::http::read_response;
use endivereach_front::net::ReadResult;
use endivereach_front::net::Stream;
use mio::Poll;
use mio::Token;
use std::io::Write;
use std::net::TcpListener;

/// Returns a stream with these bytes as its input.
fn stream_of(bytes: &[u8]) -> Stream {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let poll = Poll::new().unwrap();
    let addr = listener.local_addr().unwrap();
    let mut stream = Stream::connect(addr, Token(0), poll.registry()).unwrap();
    let (mut peer, _) = listener.accept().unwrap();
    peer.write_all(bytes).unwrap();
    drop(peer);
    while stream.fill() != ReadResult::Closed {}
    stream
}

fn is_refused(head: &str, body: &str) {
    let text = format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n{body}");
    assert!(read_response(&mut stream_of(text.as_bytes())).is_err());
}

// Guards against a response whose end two programs find at different bytes, so that its rest is taken
// for the response to another call, and against a length that ends the process.
cases! {
    is_refused;
    length_with_a_sign: "Content-Length: +2", "ab";
    two_lengths: "Content-Length: 1\r\nContent-Length: 2", "ab";
    list_of_lengths: "Content-Length: 2, 2", "ab";
    negative_length: "Content-Length: -2", "ab";
    length_at_the_end_of_memory: "Content-Length: 18446744073709551615", "ab";
    length_over_64_bits: "Content-Length: 18446744073709551616", "ab";
    chunk_at_the_end_of_memory: "Transfer-Encoding: chunked", "ffffffffffffffff\r\nab\r\n0\r\n\r\n";
    chunk_without_its_end: "Transfer-Encoding: chunked", "1\r\nabc1\r\nd\r\n0\r\n\r\n";
}

fn body_is(head: &str, body: &str, expected: &str) {
    let text = format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n{body}");
    let mut stream = stream_of(format!("{text}rest").as_bytes());
    let response = read_response(&mut stream).unwrap().unwrap();
    assert_eq!(response.body, expected.as_bytes());
    assert_eq!(stream.input(), b"rest");
}

cases! {
    body_is;
    length: "Content-Length: 2", "a\n", "a\n";
    same_length_twice: "Content-Length: 2\r\ncontent-length: 2", "ab", "ab";
    chunks: "Transfer-Encoding: chunked", "2\r\na\r\r\n1\r\nb\r\n0\r\n\r\n", "a\rb";
    chunks_go_before_a_length: "Content-Length: 9\r\nTransfer-Encoding: chunked", "1\r\na\r\n0\r\n\r\n", "a";
}
