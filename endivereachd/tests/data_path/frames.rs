//! Callers that write frames themselves: batches in flight, flushes, late and broken frames.

use crate::support::GROUP;
use crate::support::Path;
use endivereach_wire::pg::frame::put_frame;
use endivereach_wire::pg::frame::read_frame;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

/// A caller without a driver.
struct Raw {
    stream: TcpStream,
    bytes: Vec<u8>,
}

impl Raw {
    fn connect(path: &Path) -> Self {
        let mut stream = TcpStream::connect(path.callers.sql_addr()).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .unwrap();
        let body = format!("\0\u{3}\0\0user\0clerk\0database\0{GROUP}\0\0");
        let length = (body.len() + 4) as u32;
        stream.write_all(&length.to_be_bytes()).unwrap();
        stream.write_all(body.as_bytes()).unwrap();
        let bytes = Vec::new();
        let mut raw = Self { stream, bytes };
        raw.answer_up_to(b'Z');
        raw
    }

    fn put(&mut self, tag: u8, body: &[u8]) -> &mut Self {
        put_frame(&mut self.bytes, tag, body);
        self
    }

    /// Puts a batch that runs one statement, without its end.
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

    /// Reads frames up to one of type `tag`, and returns their types.
    fn answer_up_to(&mut self, tag: u8) -> String {
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
fn batches_in_flight_are_answered_in_order() {
    let path = Path::new();
    let mut raw = Raw::connect(&path);
    for id in 0..20 {
        let sql = format!("INSERT INTO bookings (id, slot) VALUES ('b{id}', 's{id}')");
        raw.put_batch(&sql).put(b'S', &[]);
        raw.put_batch(&format!("SELECT slot FROM bookings WHERE id = 'b{id}'"));
        raw.put(b'S', &[]);
    }
    raw.send();
    for _ in 0..20 {
        assert_eq!(raw.answer_up_to(b'Z'), "12CZ");
        assert_eq!(raw.answer_up_to(b'Z'), "12DCZ");
    }
}

#[test]
fn a_flushed_part_is_answered_before_the_batch_ends() {
    let path = Path::new();
    let mut raw = Raw::connect(&path);
    raw.put_batch("SELECT pid").put(b'H', &[]).send();
    assert_eq!(raw.answer_up_to(b'C'), "12DC");
    raw.put_batch("SELECT pid").put(b'S', &[]).send();
    assert_eq!(raw.answer_up_to(b'Z'), "12DCZ");
    raw.put_batch("SELECT pid").put(b'S', &[]).send();
    assert_eq!(raw.answer_up_to(b'Z'), "12DCZ");
}

#[test]
fn a_failed_part_is_skipped_up_to_the_end_of_its_batch() {
    let path = Path::new();
    let mut raw = Raw::connect(&path);
    raw.put_batch("WHAT").put(b'H', &[]).send();
    assert_eq!(raw.answer_up_to(b'E'), "12E");
    raw.put_batch("SELECT pid")
        .put(b'H', &[])
        .put(b'S', &[])
        .send();
    assert_eq!(raw.answer_up_to(b'Z'), "Z");
    raw.put_batch("SELECT pid").put(b'S', &[]).send();
    assert_eq!(raw.answer_up_to(b'Z'), "12DCZ");
}

#[test]
fn a_failed_batch_skips_its_rest() {
    let path = Path::new();
    let mut raw = Raw::connect(&path);
    raw.put_batch("WHAT")
        .put_batch("SELECT pid")
        .put(b'S', &[])
        .send();
    assert_eq!(raw.answer_up_to(b'Z'), "12EZ");
    raw.put_batch("SELECT pid").put(b'S', &[]).send();
    assert_eq!(raw.answer_up_to(b'Z'), "12DCZ");
}

#[test]
fn a_frame_of_an_impossible_length_ends_the_connection_with_a_reason() {
    let path = Path::new();
    let mut raw = Raw::connect(&path);
    raw.stream.write_all(&[b'Q', 0, 0, 0, 1]).unwrap();
    assert_eq!(raw.answer_up_to(b'E'), "E");
    assert_eq!(raw.stream.read(&mut [0; 1]).unwrap(), 0);
}

#[test]
fn a_request_sent_byte_by_byte_is_run() {
    let path = Path::new();
    let mut raw = Raw::connect(&path);
    raw.put(b'Q', b"SELECT pid\0");
    for byte in std::mem::take(&mut raw.bytes) {
        raw.stream.write_all(&[byte]).unwrap();
        std::thread::sleep(Duration::from_millis(4));
    }
    assert_eq!(raw.answer_up_to(b'Z'), "TDCZ");
}

#[test]
fn a_target_that_waits_for_copied_data_is_told_that_none_comes() {
    let path = Path::new();
    let mut raw = Raw::connect(&path);
    raw.put(b'Q', b"COPY notes FROM STDIN\0").send();
    assert_eq!(raw.answer_up_to(b'Z'), "EZ");
    raw.put_batch("COPY notes FROM STDIN").put(b'S', &[]).send();
    assert_eq!(raw.answer_up_to(b'Z'), "12EZ");
    raw.put(b'Q', b"SELECT pid\0").send();
    assert_eq!(raw.answer_up_to(b'Z'), "TDCZ");
}
