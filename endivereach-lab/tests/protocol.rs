//! The messages that a member sends, compared one by one.

mod common;

use common::Group;
use common::primary;
use common::status;
use endivereach_core::ids::Position;
use endivereach_lab::member::Member;
use endivereach_wire::member::PARAMETER_POSITION;
use endivereach_wire::pg::frame::Frame;
use endivereach_wire::pg::frame::put_frame;
use endivereach_wire::pg::frame::read_frame;
use std::io::Write;
use std::net::TcpStream;

const FRAME_MAX_BYTES: usize = 1 << 20;

struct RawClient {
    stream: TcpStream,
}

impl RawClient {
    fn connect(member: &Member) -> Self {
        let mut stream = TcpStream::connect(member.sql_addr()).unwrap();
        let mut body = 196_608u32.to_be_bytes().to_vec();
        body.extend_from_slice(b"user\0test\0application_name\0entry-1#7\0\0");
        let length = (body.len() as u32 + 4).to_be_bytes();
        stream.write_all(&[&length[..], &body].concat()).unwrap();
        let mut raw = Self { stream };
        raw.read_until_ready();
        raw
    }

    /// Sends messages and returns the answers up to and including `ReadyForQuery`.
    fn send(&mut self, messages: &[(u8, &[u8])]) -> Vec<Frame> {
        let mut bytes = Vec::new();
        for (tag, body) in messages {
            put_frame(&mut bytes, *tag, body);
        }
        self.stream.write_all(&bytes).unwrap();
        self.read_until_ready()
    }

    fn query(&mut self, sql: &str) -> Vec<Frame> {
        self.send(&[(b'Q', format!("{sql}\0").as_bytes())])
    }

    fn read_until_ready(&mut self) -> Vec<Frame> {
        let mut frames = Vec::new();
        loop {
            let frame = read_frame(&mut self.stream, FRAME_MAX_BYTES).unwrap();
            let is_last = frame.tag == b'Z';
            frames.push(frame);
            if is_last {
                return frames;
            }
        }
    }
}

fn tags(frames: &[Frame]) -> String {
    frames.iter().map(|frame| char::from(frame.tag)).collect()
}

/// Returns the log position that the answers report, if any.
fn position(frames: &[Frame]) -> Option<Position> {
    let report = frames.iter().find(|frame| frame.tag == b'S')?;
    let text = String::from_utf8(report.body.clone()).unwrap();
    let value = text.strip_prefix(&format!("{PARAMETER_POSITION}\0"))?;
    Some(value.trim_end_matches('\0').parse().unwrap())
}

fn ready_status(frames: &[Frame]) -> u8 {
    frames.last().unwrap().body[0]
}

/// Sends statements one by one and compares the transaction status after the last one.
fn check_status(statements: &[&str], expected: u8) {
    let member = primary();
    let mut raw = RawClient::connect(&member);
    let mut last = Vec::new();
    for statement in statements {
        last = raw.query(statement);
    }
    assert_eq!(ready_status(&last), expected);
}

endivereach_core::cases! {
    check_status;
    idle_after_a_query: &["SELECT 1"], b'I';
    in_transaction_after_begin: &["BEGIN"], b'T';
    failed_after_an_error: &["BEGIN", "SELECT * FROM nowhere"], b'E';
    failed_after_a_refused_statement: &["BEGIN", "SELECT * FROM nowhere", "SELECT 1"], b'E';
    idle_after_a_rollback: &["BEGIN", "SELECT * FROM nowhere", "ROLLBACK"], b'I';
    idle_after_an_error_outside_a_transaction: &["SELECT * FROM nowhere"], b'I';
    failed_after_a_syntax_error: &["BEGIN", "SELEC 1"], b'E';
    idle_after_a_commit: &["BEGIN", "INSERT INTO registers VALUES ('a', 1)", "COMMIT"], b'I';
}

#[test]
fn a_commit_reports_its_position_before_it_completes() {
    let member = primary();
    let mut raw = RawClient::connect(&member);
    let answer = raw.query("INSERT INTO registers VALUES ('a', 1)");
    assert_eq!(tags(&answer), "SCZ");
    assert_eq!(position(&answer), Some(status(&member).durable));
    raw.query("BEGIN");
    let answer = raw.query("INSERT INTO registers VALUES ('b', 1)");
    assert_eq!(position(&answer), None);
    let answer = raw.query("COMMIT");
    assert_eq!(tags(&answer), "SCZ");
    assert_eq!(position(&answer), Some(status(&member).durable));
}

#[test]
fn a_read_reports_its_position_before_the_rows_when_it_changed() {
    let member = primary();
    let mut raw = RawClient::connect(&member);
    let read = "SELECT key FROM registers";
    let answer = raw.query(read);
    assert_eq!(tags(&answer), "STCZ");
    let first = position(&answer).unwrap();
    assert_eq!(tags(&raw.query(read)), "TCZ");
    RawClient::connect(&member).query("INSERT INTO registers VALUES ('a', 1)");
    let answer = raw.query(read);
    assert_eq!(tags(&answer), "STDCZ");
    assert!(position(&answer).unwrap() > first);
}

#[test]
fn an_extended_write_reports_its_position_before_it_completes() {
    let member = primary();
    let mut raw = RawClient::connect(&member);
    let parse = b"\0INSERT INTO registers VALUES ('a', 1)\0\0\0";
    let answer = raw.send(&[
        (b'P', parse),
        (b'B', b"\0\0\0\0\0\0\0\0"),
        (b'D', b"P\0"),
        (b'E', b"\0\0\0\0\0"),
        (b'S', b""),
    ]);
    assert_eq!(tags(&answer), "12nSCZ");
    assert_eq!(position(&answer), Some(status(&member).durable));
}

#[test]
fn messages_after_an_error_are_skipped_until_sync() {
    let member = primary();
    let mut raw = RawClient::connect(&member);
    let answer = raw.send(&[
        (b'P', b"\0SELECT * FROM nowhere\0\0\0"),
        (b'B', b"\0\0\0\0\0\0\0\0"),
        (b'E', b"\0\0\0\0\0"),
        (b'S', b""),
    ]);
    assert_eq!(tags(&answer), "EZ");
    assert_eq!(tags(&raw.query("SELECT 1")), "STDCZ");
}

#[test]
fn a_pipeline_up_to_sync_is_one_transaction() {
    let member = primary();
    let mut raw = RawClient::connect(&member);
    let execute: [(u8, &[u8]); 2] = [(b'B', b"\0\0\0\0\0\0\0\0"), (b'E', b"\0\0\0\0\0")];
    let insert: (u8, &[u8]) = (b'P', b"\0INSERT INTO registers VALUES ('a', 1)\0\0\0");
    let answer = raw.send(&[
        insert,
        execute[0],
        execute[1],
        insert,
        execute[0],
        execute[1],
        (b'S', b""),
    ]);
    assert_eq!(tags(&answer), "12C12EZ");
    let answer = raw.query("SELECT key FROM registers");
    assert!(
        !tags(&answer).contains('D'),
        "the first insert must be rolled back"
    );
}

#[test]
fn connections_are_counted_by_application_name() {
    let member = primary();
    let mut raw = RawClient::connect(&member);
    let holders = || status(&member).connections;
    assert_eq!(&*holders()[0].holder, "entry-1#7");
    assert_eq!(holders()[0].count, 1);
    let answer = raw.query("SET application_name = 'other'");
    assert_eq!(tags(&answer), "CSZ");
    assert_eq!(&*holders()[0].holder, "other");
}

#[test]
fn a_replica_reports_hot_standby() {
    let group = Group::spawn();
    let mut raw = RawClient::connect(&group.members[1]);
    let answer = raw.query("SHOW in_hot_standby");
    let row = answer.iter().find(|frame| frame.tag == b'D').unwrap();
    assert!(row.body.ends_with(b"on"));
}
