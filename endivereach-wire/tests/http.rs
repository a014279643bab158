//! Typed calls: answers, refusals, lost answers and bodies that can't be decoded.

use endivereach_wire::http::CallError;
use endivereach_wire::http::Client;
use endivereach_wire::http::Reply;
use endivereach_wire::http::Server;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(10);

fn server() -> Server {
    Server::bind("127.0.0.1:0".parse().unwrap(), |call| match &*call.path {
        "/echo" => match call.decode::<String>() {
            Ok(text) => Reply::value(&text),
            Err(reply) => reply,
        },
        _ => Reply::refuse("unknown_call", "use /echo"),
    })
    .unwrap()
}

#[test]
fn an_answer_is_decoded() {
    let server = server();
    let answer: String = Client::new()
        .call(server.addr(), "/echo", &"hello", TIMEOUT)
        .unwrap();
    assert_eq!(answer, "hello");
}

#[test]
fn a_refusal_names_its_kind() {
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
fn a_closed_port_gives_no_answer() {
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
fn waiting_calls_do_not_hold_up_others() {
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
