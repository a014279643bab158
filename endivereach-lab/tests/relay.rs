//! The relay: byte order, delay, loss, held and silent connections, and the end of streams.

use endivereach_lab::relay::Conditions;
use endivereach_lab::relay::Flow;
use endivereach_lab::relay::Link;
use endivereach_lab::relay::Relay;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// How long a test waits for expected bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// How long a test waits to assert that no bytes arrive.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(100);

/// Starts a server that echoes every byte.
fn echo_server() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let accepting = listener.try_clone().unwrap();
    thread::spawn(move || {
        for stream in accepting.incoming() {
            let mut stream = stream.unwrap();
            thread::spawn(move || {
                let mut reader = stream.try_clone().unwrap();
                let _ = std::io::copy(&mut reader, &mut stream);
                let _ = stream.shutdown(std::net::Shutdown::Write);
            });
        }
    });
    listener
}

fn link(conditions: Conditions) -> (Relay, Link) {
    let relay = Relay::spawn(7).unwrap();
    let link = relay.add_link(conditions).unwrap();
    link.set_destination(echo_server().local_addr().unwrap());
    (relay, link)
}

fn connect(link: &Link) -> TcpStream {
    let stream = TcpStream::connect(link.addr()).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    stream
}

fn assert_echo(stream: &mut TcpStream, text: &[u8]) {
    stream.write_all(text).unwrap();
    let mut answer = vec![0; text.len()];
    stream.read_exact(&mut answer).unwrap();
    assert_eq!(answer, text);
}

fn is_silent(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(SILENCE_TIMEOUT)).unwrap();
    let silent = stream.read(&mut [0; 16]).is_err();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    silent
}

#[test]
fn bytes_keep_their_order_under_jitter_and_loss() {
    let (_relay, link) = link(Conditions {
        jitter: Duration::from_millis(2),
        loss: 0.05,
        ..Conditions::default()
    });
    let mut stream = connect(&link);
    let sent: Vec<u8> = (0..50_000u32).map(|n| (n % 251) as u8).collect();
    let mut reader = stream.try_clone().unwrap();
    let received = thread::spawn(move || {
        let mut received = Vec::new();
        reader.read_to_end(&mut received).unwrap();
        received
    });
    for part in sent.chunks(5_000) {
        stream.write_all(part).unwrap();
        thread::sleep(Duration::from_millis(1));
    }
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    assert_eq!(received.join().unwrap(), sent);
}

#[test]
fn a_delay_is_added_in_both_directions() {
    let delay = Duration::from_millis(30);
    let (_relay, link) = link(Conditions {
        delay,
        ..Conditions::default()
    });
    let mut stream = connect(&link);
    let sent_at = Instant::now();
    assert_echo(&mut stream, b"there and back");
    // Only a lower limit is checked, since it can't fail on a busy machine.
    assert!(sent_at.elapsed() >= 2 * delay);
}

#[test]
fn a_held_link_passes_nothing_until_it_is_open_again() {
    let (_relay, link) = link(Conditions::default());
    let mut stream = connect(&link);
    assert_echo(&mut stream, b"before");
    link.set_conditions(Conditions {
        flow: Flow::Held,
        ..Conditions::default()
    });
    stream.write_all(b"held").unwrap();
    assert!(is_silent(&mut stream));
    link.set_conditions(Conditions::default());
    let mut answer = [0; 4];
    stream.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"held");
}

#[test]
fn silenced_connections_stay_silent_while_new_ones_work() {
    let (_relay, link) = link(Conditions::default());
    let mut old = connect(&link);
    assert_echo(&mut old, b"before");
    link.silence_open_connections();
    old.write_all(b"lost").unwrap();
    assert!(is_silent(&mut old));
    let mut new = connect(&link);
    assert_echo(&mut new, b"after");
    assert!(is_silent(&mut old));
}

#[test]
fn a_refused_link_closes_connections() {
    let (_relay, link) = link(Conditions::default());
    let mut stream = connect(&link);
    assert_echo(&mut stream, b"before");
    link.set_conditions(Conditions {
        flow: Flow::Refused,
        ..Conditions::default()
    });
    let ended = stream.read(&mut [0; 16]);
    assert!(matches!(ended, Ok(0) | Err(_)));
}

#[test]
fn the_end_of_a_stream_is_passed_on() {
    let (_relay, link) = link(Conditions::default());
    let mut stream = connect(&link);
    assert_echo(&mut stream, b"all");
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    assert_eq!(stream.read(&mut [0; 16]).unwrap(), 0);
}
