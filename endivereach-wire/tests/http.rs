//! Tests of typed calls: responses, refusals, missing responses and malformed bodies.

use endivereach_core::cases;
use endivereach_wire::http::BODY_MAX_BYTES;
use endivereach_wire::http::CallError;
use endivereach_wire::http::Client;
use endivereach_wire::http::Reply;
use endivereach_wire::http::Server;
use endivereach_wire::http::encode;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Barrier;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(10);

fn server() -> Server {
    Server::bind("127.0.0.1:0".parse().unwrap(), |call| match &*call.path {
        "/echo" => match call.decode::<String>() {
            Ok(text) => Reply::value(&text),
            Err(reply) => reply,
        },
        _ => Reply::error_response("unknown_call", "use /echo"),
    })
    .unwrap()
}

#[test]
fn a_response_is_decoded() {
    let server = server();
    let answer: String = Client::new()
        .call(server.addr(), "/echo", &"hello", TIMEOUT)
        .unwrap();
    assert_eq!(answer, "hello");
}

#[test]
fn a_refusal_has_a_kind() {
    let server = server();
    let error = Client::new()
        .call::<_, String>(server.addr(), "/other", &(), TIMEOUT)
        .unwrap_err();
    assert_eq!(error.refusal_kind(), Some("unknown_call"));
}

#[test]
fn a_malformed_body_is_refused() {
    let server = server();
    let error = Client::new()
        .call::<_, String>(server.addr(), "/echo", &7u32, TIMEOUT)
        .unwrap_err();
    assert_eq!(error.refusal_kind(), Some("malformed"));
}

#[test]
fn a_body_that_is_too_large_is_refused() {
    let server = server();
    let text = "x".repeat(usize::try_from(BODY_MAX_BYTES).unwrap() + 1);
    let error = Client::new()
        .call::<_, String>(server.addr(), "/echo", &text, TIMEOUT)
        .unwrap_err();
    assert_eq!(error.refusal_kind(), Some("too_large"));
}

#[test]
fn a_request_that_is_not_http_is_refused() {
    let server = server();
    let mut stream = TcpStream::connect(server.addr()).unwrap();
    stream.write_all(b"no request\r\n\r\n").unwrap();
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).unwrap();
    let answer = String::from_utf8_lossy(&bytes);
    assert!(answer.starts_with("HTTP/1.1 409 "), "{answer}");
    assert!(answer.contains("malformed"), "{answer}");
}

/// Guards against a request whose end its sender finds at another byte: the rest would be run as the
/// next call.
fn check_ambiguous_request_is_refused(headers: &str) {
    let calls = Arc::new(AtomicUsize::new(0));
    let server = Server::bind("127.0.0.1:0".parse().unwrap(), {
        let calls = Arc::clone(&calls);
        move |_| Reply::value(&calls.fetch_add(1, Ordering::SeqCst))
    })
    .unwrap();
    let mut stream = TcpStream::connect(server.addr()).unwrap();
    let request = format!("POST /count HTTP/1.1\r\n{headers}\r\n\r\n{{}}");
    stream.write_all(request.as_bytes()).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).unwrap();
    let answer = String::from_utf8_lossy(&bytes);
    assert!(answer.starts_with("HTTP/1.1 409 "), "{answer}");
    assert_eq!(calls.load(Ordering::SeqCst), 0, "{answer}");
}

cases! {
    check_ambiguous_request_is_refused;
    length_with_a_sign: "Content-Length: +2";
    two_lengths: "Content-Length: 0\r\nContent-Length: 2";
    two_equal_lengths: "Content-Length: 2\r\nContent-Length: 2";
    list_of_lengths: "Content-Length: 2, 2";
    empty_length: "Content-Length: ";
    length_above_all_numbers: "Content-Length: 18446744073709551616";
    body_in_chunks: "Transfer-Encoding: chunked\r\nContent-Length: 2";
    folded_header: "A: b\r\n c\r\nContent-Length: 2";
    blank_before_the_colon: "Content-Length : 2";
}

#[test]
fn a_stopped_server_answers_no_more_calls() {
    let server = server();
    let addr = server.addr();
    let client = Client::new();
    let _: String = client.call(addr, "/echo", &"x", TIMEOUT).unwrap();
    drop(server);
    let error = client
        .call::<_, String>(addr, "/echo", &"x", TIMEOUT)
        .unwrap_err();
    assert!(matches!(error, CallError::NoAnswer { .. }));
}

#[test]
fn a_call_to_a_closed_port_returns_no_answer() {
    let addr = {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.local_addr().unwrap()
    };
    let error = Client::new()
        .call::<_, String>(addr, "/echo", &"x", TIMEOUT)
        .unwrap_err();
    assert!(matches!(error, CallError::NoAnswer { .. }));
}

#[test]
fn waiting_calls_do_not_block_other_calls() {
    let server = Server::bind("127.0.0.1:0".parse().unwrap(), |call| {
        if &*call.path == "/wait" {
            std::thread::park_timeout(Duration::from_secs(3600));
        }
        Reply::value(&1u32)
    })
    .unwrap();
    let addr = server.addr();
    for _ in 0..4 {
        std::thread::spawn(move || {
            let _ = Client::new().call::<_, u32>(addr, "/wait", &(), TIMEOUT);
        });
    }
    let client = Client::new();
    for _ in 0..20 {
        let answer: u32 = client.call(addr, "/now", &(), TIMEOUT).unwrap();
        assert_eq!(answer, 1);
    }
}

#[test]
fn simultaneous_connections_are_all_served() {
    const CLIENTS: usize = 12;
    for _ in 0..50 {
        let barrier = Arc::new(Barrier::new(CLIENTS));
        let server = Server::bind("127.0.0.1:0".parse().unwrap(), {
            let barrier = Arc::clone(&barrier);
            move |_| {
                barrier.wait();
                Reply::value(&1u32)
            }
        })
        .unwrap();
        let addr = server.addr();
        let handles: Vec<_> = (0..CLIENTS)
            .map(|_| {
                std::thread::spawn(move || {
                    Client::new().call::<_, u32>(addr, "/meet", &(), TIMEOUT)
                })
            })
            .collect();
        for handle in handles {
            assert_eq!(handle.join().unwrap().unwrap(), 1);
        }
    }
}

/// Guards against a large response that is given up while it arrives: the next call would begin it
/// again, and over a narrow link none would end.
#[test]
fn a_large_response_may_take_longer_than_the_timeout_while_it_arrives() {
    const PART_TIMEOUT: Duration = Duration::from_millis(1_500);
    const PAUSE: Duration = Duration::from_millis(100);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let text = "x".repeat(20);
    let body = encode(&text);
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 1024];
        let _ = stream.read(&mut request).unwrap();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all(head.as_bytes()).unwrap();
        for byte in body {
            thread::sleep(PAUSE);
            // The client of a call with a fixed timeout disconnects.
            let _ = stream.write_all(&[byte]);
        }
    });
    let answer = Client::new().call_large::<_, String>(addr, "/large", &(), PART_TIMEOUT);
    assert_eq!(answer.unwrap(), text);
    server.join().unwrap();
}

/// A peer that falls silent within a response ends the call.
#[test]
fn a_large_response_that_stalls_ends_the_call() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (ended, end) = mpsc::channel();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n")
            .unwrap();
        let _ = end.recv();
    });
    let timeout = Duration::from_millis(200);
    let answer = Client::new().call_large::<_, String>(addr, "/large", &(), timeout);
    assert!(matches!(answer, Err(CallError::NoAnswer { .. })));
    ended.send(()).unwrap();
    server.join().unwrap();
}
