//! Tests callers that write their own frames: pipelined batches, flushes, slow and invalid frames.

use crate::support::GROUP;
use crate::support::TestProxy;
use crate::support::query_value;
use endivereach_core::cases;
use endivereach_wire::pg::frame::put_frame;
use endivereach_wire::pg::frame::read_frame;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// A caller that writes protocol messages without a driver.
struct RawClient {
    stream: TcpStream,
    bytes: Vec<u8>,
}

impl RawClient {
    fn connect(proxy: &TestProxy) -> Self {
        let mut stream = TcpStream::connect(proxy.caller_server.sql_addr()).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .unwrap();
        let body = format!("\0\u{3}\0\0user\0clerk\0database\0{GROUP}\0\0");
        let length = (body.len() + 4) as u32;
        stream.write_all(&length.to_be_bytes()).unwrap();
        stream.write_all(body.as_bytes()).unwrap();
        let bytes = Vec::new();
        let mut client = Self { stream, bytes };
        client.read_tags_until(b'Z');
        client
    }

    fn put(&mut self, tag: u8, body: &[u8]) -> &mut Self {
        put_frame(&mut self.bytes, tag, body);
        self
    }

    /// Puts the Parse, Bind and Execute messages of one statement, without a Sync.
    fn put_batch(&mut self, sql: &str) -> &mut Self {
        let parse = format!("\0{sql}\0\0\0");
        self.put(b'P', parse.as_bytes());
        self.put(b'B', b"\0\0\0\0\0\0\0\0");
        self.put(b'E', b"\0\0\0\0\0")
    }

    fn send(&mut self) {
        let bytes = std::mem::take(&mut self.bytes);
        self.stream.write_all(&bytes).unwrap();
    }

    /// Reads frames up to and including the first one of type `tag` and returns their types,
    /// without the ParameterStatus, BackendKeyData and authentication messages.
    fn read_tags_until(&mut self, tag: u8) -> String {
        let mut tags = String::new();
        loop {
            let frame = read_frame(&mut self.stream, 1 << 20).unwrap();
            if frame.tag != b'S' && frame.tag != b'K' && frame.tag != b'R' {
                tags.push(char::from(frame.tag));
            }
            if frame.tag == tag {
                return tags;
            }
        }
    }
}

#[test]
fn pipelined_batches_are_answered_in_order() {
    let proxy = TestProxy::new();
    let mut client = RawClient::connect(&proxy);
    for id in 0..20 {
        let sql = format!("INSERT INTO bookings (id, slot) VALUES ('b{id}', 's{id}')");
        client.put_batch(&sql).put(b'S', &[]);
        client.put_batch(&format!("SELECT slot FROM bookings WHERE id = 'b{id}'"));
        client.put(b'S', &[]);
    }
    client.send();
    for _ in 0..20 {
        assert_eq!(client.read_tags_until(b'Z'), "12CZ");
        assert_eq!(client.read_tags_until(b'Z'), "12DCZ");
    }
}

#[test]
fn a_flush_returns_the_answers_before_the_batch_ends() {
    let proxy = TestProxy::new();
    let mut client = RawClient::connect(&proxy);
    client.put_batch("SELECT pid").put(b'H', &[]).send();
    assert_eq!(client.read_tags_until(b'C'), "12DC");
    client.put_batch("SELECT pid").put(b'S', &[]).send();
    assert_eq!(client.read_tags_until(b'Z'), "12DCZ");
    client.put_batch("SELECT pid").put(b'S', &[]).send();
    assert_eq!(client.read_tags_until(b'Z'), "12DCZ");
}

#[test]
fn after_an_error_before_a_flush_messages_are_skipped_until_sync() {
    let proxy = TestProxy::new();
    let mut client = RawClient::connect(&proxy);
    client.put_batch("WHAT").put(b'H', &[]).send();
    assert_eq!(client.read_tags_until(b'E'), "12E");
    client
        .put_batch("SELECT pid")
        .put(b'H', &[])
        .put(b'S', &[])
        .send();
    assert_eq!(client.read_tags_until(b'Z'), "Z");
    client.put_batch("SELECT pid").put(b'S', &[]).send();
    assert_eq!(client.read_tags_until(b'Z'), "12DCZ");
}

#[test]
fn an_error_skips_the_rest_of_its_batch() {
    let proxy = TestProxy::new();
    let mut client = RawClient::connect(&proxy);
    client
        .put_batch("WHAT")
        .put_batch("SELECT pid")
        .put(b'S', &[])
        .send();
    assert_eq!(client.read_tags_until(b'Z'), "12EZ");
    client.put_batch("SELECT pid").put(b'S', &[]).send();
    assert_eq!(client.read_tags_until(b'Z'), "12DCZ");
}

#[test]
fn a_frame_with_an_invalid_length_closes_the_connection_with_an_error() {
    let proxy = TestProxy::new();
    let mut client = RawClient::connect(&proxy);
    client.stream.write_all(&[b'Q', 0, 0, 0, 1]).unwrap();
    assert_eq!(client.read_tags_until(b'E'), "E");
    assert_eq!(client.stream.read(&mut [0; 1]).unwrap(), 0);
}

/// Guards against a message that the proxy and the target end at different bytes: the target may run
/// another text than the one that was classified.
fn check_frame_is_refused(tag: u8, body: &[u8]) {
    let proxy = TestProxy::new();
    let mut client = RawClient::connect(&proxy);
    client.put(tag, body).put(b'S', &[]).send();
    assert_eq!(client.read_tags_until(b'E'), "E");
    assert_eq!(client.stream.read(&mut [0; 1]).unwrap(), 0);
    for target in [&proxy.primary, &proxy.replica] {
        let statements = &target.lock_behaviour().statements;
        assert!(statements.is_empty(), "{statements:?}");
    }
}

cases! {
    check_frame_is_refused;
    query_with_a_zero_byte: b'Q', b"SELECT pid\0; INSERT INTO notes (id, slot) VALUES ('a', 'b')\0";
    query_with_two_zero_bytes: b'Q', b"SELECT pid\0\0";
    query_without_a_zero_byte: b'Q', b"SELECT pid";
    empty_query_frame: b'Q', b"";
    definition_with_bytes_after_it: b'P', b"\0SELECT pid\0\0\0WHAT";
    definition_with_too_few_types: b'P', b"\0SELECT pid\0\0\x02\0\0\0\x19";
    definition_with_a_negative_count: b'P', b"\0SELECT pid\0\xff\xff";
    definition_without_types: b'P', b"\0SELECT pid\0";
    name_with_bytes_after_it: b'C', b"Sname\0more";
    name_without_a_zero_byte: b'C', b"Sname";
    description_with_bytes_after_it: b'D', b"P\0more";
    description_of_an_unknown_kind: b'D', b"X\0";
    execution_with_bytes_after_it: b'E', b"\0\0\0\0\0more";
    execution_without_a_limit: b'E', b"\0";
    binding_without_a_zero_byte: b'B', b"\0name";
    binding_with_bytes_after_it: b'B', b"\0\0\0\0\0\0\0\0more";
    binding_with_a_value_that_is_too_short: b'B', b"\0\0\0\0\0\x01\0\0\0\x09value\0\0";
    binding_with_a_negative_length: b'B', b"\0\0\0\0\0\x01\xff\xff\xff\xfe\0\0";
    binding_without_result_formats: b'B', b"\0\0\0\0\0\0";
    end_with_a_body: b'S', b"more";
    message_of_a_target: b'Z', b"I";
    password_after_the_login: b'p', b"secret\0";
    unknown_message: b'@', b"";
}

#[test]
fn a_request_sent_byte_by_byte_is_run() {
    let proxy = TestProxy::new();
    let mut client = RawClient::connect(&proxy);
    client.put(b'Q', b"SELECT pid\0");
    for byte in std::mem::take(&mut client.bytes) {
        client.stream.write_all(&[byte]).unwrap();
        std::thread::sleep(Duration::from_millis(4));
    }
    assert_eq!(client.read_tags_until(b'Z'), "TDCZ");
}

#[test]
fn a_copy_from_stdin_is_ended_with_copy_fail() {
    let proxy = TestProxy::new();
    let mut client = RawClient::connect(&proxy);
    client.put(b'Q', b"COPY notes FROM STDIN\0").send();
    assert_eq!(client.read_tags_until(b'Z'), "EZ");
    client
        .put_batch("COPY notes FROM STDIN")
        .put(b'S', &[])
        .send();
    assert_eq!(client.read_tags_until(b'Z'), "12EZ");
    client.put(b'Q', b"SELECT pid\0").send();
    assert_eq!(client.read_tags_until(b'Z'), "TDCZ");
}

/// Guards against the rest of one caller's reply in the reply to another: a caller disconnects while
/// its reply arrives, and its connection to the target is used again before the rest has arrived.
#[test]
fn the_connection_of_a_caller_that_left_during_its_reply_is_not_used_again() {
    let proxy = TestProxy::new();
    proxy.connection_cap.store(1, Ordering::SeqCst);
    let mut other = proxy.connect();
    let mut client = RawClient::connect(&proxy);
    client.put(b'Q', b"SELECT parts 12 20000 150\0").send();
    client.read_tags_until(b'D');
    drop(client);
    for _ in 0..4 {
        let pid = query_value(&mut other, "SELECT pid").unwrap();
        assert!(
            pid.parse::<i32>().is_ok(),
            "got the reply of another caller"
        );
    }
}
