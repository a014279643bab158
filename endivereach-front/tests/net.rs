//! Checks how much of a connection's input is searched for the end of a message.

use endivereach_core::cases;
use endivereach_core::clock::Clock;
use endivereach_core::clock::ManualClock;
use endivereach_core::engine::statement::Answer;
use endivereach_core::engine::statement::Command;
use endivereach_core::engine::statement::DatabaseName;
use endivereach_core::engine::statement::Failure;
use endivereach_core::engine::statement::TargetStatus;
use endivereach_core::ids::GroupName;
use endivereach_core::ids::MemberId;
use endivereach_core::tenants::CallerKey;
use endivereach_core::tenants::TenantName;
use endivereach_core::transfer::TransferDeadline;
use endivereach_core::transfer::TransferLimits;
use endivereach_front::net::FlushError;
use endivereach_front::net::Stream;
use endivereach_front::protocol::CallerMessage;
use endivereach_front::protocol::Frame;
use endivereach_front::protocol::Protocol;
use endivereach_front::protocol::TargetMessage;
use mio::Poll;
use mio::Token;
use std::cell::Cell;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::time::Duration;
use std::time::Instant;

/// The bytes that arrive at once.
const READ_BYTES: usize = 512;

/// The limit after which a test fails instead of waiting for bytes forever.
const WAIT_MAX: Duration = Duration::from_secs(30);

/// A protocol whose messages end with a zero, which counts the bytes that it searches.
#[derive(Default)]
struct CountingProtocol {
    searched_bytes: Cell<usize>,
}

impl Protocol for CountingProtocol {
    fn first_frame(&self, buffer: &[u8], scanned_bytes: usize) -> Frame {
        let unscanned = &buffer[scanned_bytes..];
        let end = unscanned.iter().position(|byte| *byte == 0);
        let searched = end.map_or(unscanned.len(), |end| end + 1);
        self.searched_bytes
            .set(self.searched_bytes.get() + searched);
        end.map_or(Frame::Partial, |end| Frame::Whole(scanned_bytes + end + 1))
    }

    fn decode_caller(&self, _: &[u8]) -> CallerMessage {
        CallerMessage::Unreadable
    }

    fn decode_target(&self, _: &[u8]) -> TargetMessage {
        TargetMessage::Unreadable
    }

    fn decode_status(&self, _: &str) -> Option<TargetStatus> {
        None
    }

    fn write_session_started(&self, _: &mut Vec<u8>) {}

    fn write_answer(&self, _: &Answer, _: &mut Vec<u8>) {}

    fn write_refusal(&self, _: &Failure, _: &str, _: &mut Vec<u8>) {}

    fn write_target_start(
        &self,
        _: &GroupName,
        _: &MemberId,
        _: Option<&TenantName>,
        _: &mut Vec<u8>,
    ) {
    }

    fn write_relay_start(&self, _: &DatabaseName, _: Option<&CallerKey>, _: &mut Vec<u8>) {}

    fn write_command(&self, _: &Command, _: &mut Vec<u8>) {}
}

/// Guards against a search that starts at the first byte with each read, so that the cost of a
/// message grows with the square of its length.
fn message_is_searched_once(length: usize) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let poll = Poll::new().unwrap();
    let addr = listener.local_addr().unwrap();
    let mut stream = Stream::connect(addr, Token(0), poll.registry()).unwrap();
    let (mut peer, _) = listener.accept().unwrap();
    peer.set_nodelay(true).unwrap();
    let protocol = CountingProtocol::default();
    let mut message = vec![b'x'; length - 1];
    message.push(0);
    // A second message begins in the last read.
    message.extend(b"next");
    let deadline = Instant::now() + WAIT_MAX;
    let mut sent = 0;
    for part in message.chunks(READ_BYTES) {
        peer.write_all(part).unwrap();
        sent += part.len();
        while stream.input().len() < sent {
            assert!(Instant::now() < deadline, "bytes don't arrive");
            stream.fill();
        }
        if sent < length {
            assert_eq!(stream.first_frame(&protocol), Frame::Partial);
        }
    }
    assert_eq!(stream.first_frame(&protocol), Frame::Whole(length));
    assert_eq!(protocol.searched_bytes.get(), length);
    stream.consume(length);
    assert_eq!(stream.first_frame(&protocol), Frame::Partial);
    assert_eq!(stream.input(), b"next");
    assert_eq!(protocol.searched_bytes.get(), length + "next".len());
}

cases! {
    message_is_searched_once;
    message_in_one_read: 100;
    message_in_two_reads: READ_BYTES + 1;
    message_of_64_kib: 64 * 1024;
    message_of_1_mib: 1024 * 1024;
}

/// Guards against an order to promote that leaves after its lease (review/9): the process was frozen within
/// the turn of its event loop, so that the time of the turn is from before the end of the lease.
fn check_flush_before(frozen_millis: u64, is_sent: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let poll = Poll::new().unwrap();
    let addr = listener.local_addr().unwrap();
    let mut stream = Stream::connect(addr, Token(0), poll.registry()).unwrap();
    let (mut peer, _) = listener.accept().unwrap();
    let clock = ManualClock::new();
    let lease_end = clock.now() + Duration::from_millis(200);
    let limits = TransferLimits::fixed(Duration::from_secs(1));
    let deadline = TransferDeadline::new(clock.now(), limits).send_before(lease_end);
    stream.output().extend_from_slice(b"order");
    clock.advance(Duration::from_millis(frozen_millis));
    let result = stream.flush_before(&deadline, &clock);
    assert_eq!(matches!(result, Err(FlushError::TooLate)), !is_sent);
    drop(stream);
    let mut received = Vec::new();
    peer.read_to_end(&mut received).unwrap();
    let expected: &[u8] = if is_sent { b"order" } else { b"" };
    assert_eq!(received, expected);
}

cases! {
    check_flush_before;
    output_whose_deadline_passed_within_the_turn_is_not_sent: 200, false;
    output_within_its_deadline_is_sent: 199, true;
}
