//! Tests of PostgreSQL frames, first packets and SCRAM.

use endivereach_core::cases;
use endivereach_wire::pg::buffer::FrameBuffer;
use endivereach_wire::pg::frame::put_frame;
use endivereach_wire::pg::scram::ScramError;
use endivereach_wire::pg::scram::ScramExchange;
use endivereach_wire::pg::scram::Verifier;
use endivereach_wire::pg::startup::FirstPacket;
use endivereach_wire::pg::startup::parse_first_packet;
use postgres_protocol::authentication::sasl::ChannelBinding;
use postgres_protocol::authentication::sasl::ScramSha256;
use proptest::prelude::*;

/// A stream that returns at most `read_bytes_max` bytes per read.
struct ChunkedReader<'a> {
    bytes: &'a [u8],
    read_bytes_max: usize,
}

impl std::io::Read for ChunkedReader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        let count = self.read_bytes_max.min(buffer.len()).min(self.bytes.len());
        buffer[..count].copy_from_slice(&self.bytes[..count]);
        self.bytes = &self.bytes[count..];
        Ok(count)
    }
}

proptest! {
    #[test]
    fn frames_are_reassembled_from_reads_of_any_size(
        bodies in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 1..20),
        read_bytes_max in 1..70usize,
    ) {
        let mut bytes = Vec::new();
        for body in &bodies {
            put_frame(&mut bytes, b'D', body);
        }
        let mut source = ChunkedReader { bytes: &bytes, read_bytes_max };
        let mut buffer = FrameBuffer::with_capacity(16);
        let mut seen = Vec::new();
        loop {
            while let Some(frame) = buffer.next_frame(1000).unwrap() {
                seen.push(frame.body().to_vec());
            }
            if buffer.fill(&mut source).unwrap() == 0 {
                break;
            }
        }
        prop_assert_eq!(seen, bodies);
        prop_assert!(buffer.is_empty());
    }

    #[test]
    fn parsing_a_first_packet_never_panics(body in prop::collection::vec(any::<u8>(), 0..64)) {
        let _ = parse_first_packet(&body);
    }
}

#[test]
fn a_frame_over_the_limit_is_refused() {
    let mut buffer = FrameBuffer::with_capacity(16);
    buffer.fill(&mut &[b'Q', 0, 1, 0, 0][..]).unwrap();
    assert!(buffer.next_frame(100).is_err());
}

fn assert_parses_to(body: &[u8], expected: Option<FirstPacket>) {
    assert_eq!(parse_first_packet(body), expected);
}

cases! {
    assert_parses_to;
    empty: b"", None;
    old_protocol: b"\0\x02\0\0", Some(FirstPacket::Unsupported);
    truncated_parameters: b"\0\x03\0\0user", None;
    tls: b"\x04\xd2\x16\x2f", Some(FirstPacket::EncryptionRequest);
    cancel: b"\x04\xd2\x16\x2e\0\0\0\x01\0\0\0\x02", Some(FirstPacket::Cancel { pid: 1, secret: 2 });
}

fn log_in(stored_password: &str, given_password: &str) -> Result<(), ScramError> {
    let verifier = Verifier::from_password(stored_password);
    let mut client = ScramSha256::new(given_password.as_bytes(), ChannelBinding::unsupported());
    let first = std::str::from_utf8(client.message()).unwrap().to_owned();
    let exchange = ScramExchange::start(&verifier, &first, "servernonce")?;
    client.update(exchange.server_first().as_bytes()).unwrap();
    let last = std::str::from_utf8(client.message()).unwrap().to_owned();
    let server_final = exchange.finish(&last)?;
    client.finish(server_final.as_bytes()).unwrap();
    Ok(())
}

#[test]
fn the_right_password_authenticates_client_and_server() {
    assert_eq!(log_in("s3cret", "s3cret"), Ok(()));
}

#[test]
fn a_wrong_password_is_refused() {
    assert_eq!(log_in("s3cret", "other"), Err(ScramError::WrongPassword));
}

/// Guards against a value of `options` that ends at a blank which belongs to it.
fn check_option_value(options: &str, expected: &str) {
    let body = format!("\0\u{3}\0\0user\0clerk\0options\0{options}\0\0");
    let Some(FirstPacket::StartupMessage(parameters)) = parse_first_packet(body.as_bytes()) else {
        panic!("not parsed");
    };
    assert_eq!(parameters.get("search_path"), Some(expected));
}

cases! {
    check_option_value;
    option: "-c search_path=a -c x.y=z", "a";
    option_in_two_words: "-c  search_path=a", "a";
    option_in_one_word: "-csearch_path=a", "a";
    option_with_dashes: "--search_path=a", "a";
    option_with_an_escaped_blank: "-c search_path=a,\\ b", "a, b";
    option_with_an_escaped_backslash: "-c search_path=a\\\\ -c x.y=z", "a\\";
    option_that_ends_with_a_backslash: "-c search_path=a\\", "a";
}
