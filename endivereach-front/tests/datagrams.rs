//! The datagram socket: messages arrive whole, and nothing that others send stops or misleads it.

use endivereach_core::allowance::Message;
use endivereach_core::allowance::MessageId;
use endivereach_core::allowance::Verdict;
use endivereach_core::ids::Era;
use endivereach_core::ids::Incarnation;
use endivereach_core::ids::NAME_MAX_BYTES;
use endivereach_core::ids::ProxyName;
use endivereach_core::ids::Version;
use endivereach_front::datagrams::Announcement;
use endivereach_front::datagrams::DatagramSocket;
use endivereach_front::datagrams::Received;
use mio::Events;
use mio::Poll;
use mio::Token;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A socket with its poller.
struct Peer {
    poll: Poll,
    socket: DatagramSocket,
    addr: SocketAddr,
}

impl Peer {
    fn open(name: &str) -> Self {
        let poll = Poll::new().unwrap();
        let any_port = ([127, 0, 0, 1], 0).into();
        let socket = DatagramSocket::bind(name.into(), any_port, Token(1), poll.registry());
        let socket = socket.unwrap();
        let addr = socket.local_addr().unwrap();
        Self { poll, socket, addr }
    }

    fn knows(&mut self, peers: &[(&str, SocketAddr)]) {
        let peers = peers.iter().map(|(name, addr)| ((*name).into(), *addr));
        self.socket.set_peers(peers.collect());
    }

    /// Waits for an event, and returns the messages.
    fn receive(&mut self) -> Vec<(ProxyName, Message)> {
        self.receive_all().messages
    }

    /// Waits for an event, and returns what has arrived.
    fn receive_all(&mut self) -> Received {
        let mut events = Events::with_capacity(4);
        let timeout = Duration::from_secs(5);
        self.poll.poll(&mut events, Some(timeout)).unwrap();
        self.socket.receive()
    }
}

fn claim(tenant: &str) -> Message {
    Message::Claim {
        tenants: vec![tenant.into()],
    }
}

/// The answer to a renewal of the most tenants, each with the longest verdict, must not be lost for
/// its size.
#[test]
fn the_largest_answer_fits_a_datagram() {
    let (mut first, mut second) = (Peer::open("front-1"), Peer::open("front-2"));
    first.knows(&[("front-2", second.addr)]);
    second.knows(&[("front-1", first.addr)]);
    let long = "n".repeat(NAME_MAX_BYTES);
    let denied = Verdict::Denied {
        coordinator: long.as_str().into(),
    };
    let message = Message::Renewed {
        id: MessageId {
            incarnation: Incarnation::new(u64::MAX),
            sequence: u64::MAX,
        },
        verdicts: vec![denied; 32],
        tokens: vec![u32::MAX; 32],
    };
    first.socket.send(&"front-2".into(), &message);
    assert_eq!(second.receive(), [("front-1".into(), message)]);
    assert_eq!(first.socket.counters().sent, 1);
}

/// A sender that isn't listed, or not with this address, could take or give away a tenant's limit.
#[test]
fn datagrams_of_unlisted_senders_are_discarded() {
    let (mut first, mut second) = (Peer::open("front-1"), Peer::open("front-2"));
    first.knows(&[("front-2", second.addr)]);
    first.socket.send(&"front-2".into(), &claim("harbour"));
    assert_eq!(second.receive(), []);
    second.knows(&[("front-1", ([127, 0, 0, 9], first.addr.port()).into())]);
    first.socket.send(&"front-2".into(), &claim("harbour"));
    assert_eq!(second.receive(), []);
    second.knows(&[("front-1", first.addr)]);
    first.socket.send(&"front-2".into(), &claim("harbour"));
    assert_eq!(second.receive().len(), 1);
    assert_eq!(second.socket.counters().discarded, 2);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Bytes of any length and content must neither stop the process nor the datagrams after them.
    #[test]
    fn malformed_datagrams_are_skipped(
        garbage in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..9_000), 1..4),
        cut in 0_usize..60,
    ) {
        let (mut first, mut second) = (Peer::open("front-1"), Peer::open("front-2"));
        first.knows(&[("front-2", second.addr)]);
        second.knows(&[("front-1", first.addr)]);
        let sender = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
        let valid = rmp_serde::to_vec(&("front-1", claim("harbour"))).unwrap();
        for bytes in garbage.iter().chain([&valid[..cut.min(valid.len() - 1)].to_vec()]) {
            sender.send_to(bytes, second.addr).unwrap();
        }
        first.socket.send(&"front-2".into(), &claim("harbour"));
        let mut received = Vec::new();
        while received.is_empty() {
            received = second.receive();
        }
        prop_assert_eq!(received, [("front-1".into(), claim("harbour"))]);
        let discarded = second.socket.counters().discarded;
        prop_assert_eq!(discarded, garbage.len() as u64 + 1);
    }
}

/// An announcement of a later build may have more fields, and must not hide the messages beside it.
#[test]
fn an_announcement_with_an_unknown_field_is_read() {
    #[derive(serde::Serialize)]
    struct Promotion {
        group: &'static str,
        reason: &'static str,
    }
    let (mut first, mut second) = (Peer::open("front-1"), Peer::open("front-2"));
    first.knows(&[("front-2", second.addr)]);
    second.knows(&[("front-1", first.addr)]);
    let promotion = Promotion {
        group: "svca",
        reason: "the primary is leaving",
    };
    let later = BTreeMap::from([("Promotion", promotion)]);
    let sender = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let datagram = rmp_serde::to_vec_named(&("front-1", later)).unwrap();
    sender.send_to(&datagram, second.addr).unwrap();
    let announcement = Announcement::Promotion {
        group: "svca".into(),
    };
    first.socket.announce_to_all(&announcement);
    let mut received = Vec::new();
    while received.len() < 2 {
        received.extend(second.receive_all().announcements);
    }
    let expected = ("front-1".into(), announcement);
    assert_eq!(received, [expected.clone(), expected]);
}

/// Guards against a proxy that stays alone: it lost the answer that would have listed the others, and
/// discarded all that they announced.
#[test]
fn announcements_of_unlisted_senders_are_returned_apart() {
    let (mut first, mut second) = (Peer::open("front-1"), Peer::open("front-2"));
    first.knows(&[("front-2", second.addr)]);
    let announcement = Announcement::Copies {
        era: Era::new(0),
        changed_at: vec![Version::new(7)],
    };
    first.socket.announce(&"front-2".into(), &announcement);
    let received = second.receive_all();
    assert_eq!(received.unlisted, [announcement]);
    assert!(received.announcements.is_empty());
    assert_eq!(second.socket.counters().discarded, 1);
}
