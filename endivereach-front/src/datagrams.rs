//! Datagrams between proxies. Each carries one message: about the rate limits of tenants, or an
//! announcement.
//!
//! Datagrams may be lost, repeated or forged. A datagram is accepted only from the IP address that
//! the list of proxies states for its sender.

use endivereach_core::allowance::Message;
use endivereach_core::ids::Era;
use endivereach_core::ids::GroupName;
use endivereach_core::ids::ProxyName;
use endivereach_core::ids::Version;
use mio::Interest;
use mio::Registry;
use mio::Token;
use mio::net::UdpSocket;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

/// The size limit of a datagram. The largest message of the allowance is smaller.
const DATAGRAM_MAX_BYTES: usize = 8 * 1024;

/// The most datagrams read for one event, so that other events aren't delayed.
const DATAGRAMS_PER_EVENT_MAX: usize = 128;

endivereach_core::data! {
    /// What a proxy tells others without expecting an answer. Builds that don't know it discard it.
    pub enum Announcement {
        /// How new the sender's copies of the platform's objects are.
        Copies {
            /// The era of the store in which the versions were assigned.
            era: Era,
            /// For each of [`KINDS`](crate::feed::KINDS), the version of the newest change that the copy
            /// includes.
            changed_at: Vec<Version>,
        },
        /// The sender begins to promote a server.
        Promotion {
            /// The server's group.
            group: GroupName,
        },
    }
}

/// The datagrams that have arrived.
#[derive(Debug, Default)]
pub struct Received {
    /// The messages about rate limits, with their senders.
    pub messages: Vec<(ProxyName, Message)>,
    /// The announcements, with their senders.
    pub announcements: Vec<(ProxyName, Announcement)>,
    /// The announcements of senders whose names aren't listed. They also count as discarded.
    pub unlisted: Vec<Announcement>,
    /// Whether more datagrams may have arrived.
    pub has_more: bool,
}

/// The content of one datagram.
enum Content {
    Message(ProxyName, Message),
    Announcement(ProxyName, Announcement),
    Unlisted(Announcement),
}

/// The contents of a datagram.
#[derive(Debug, Serialize, Deserialize)]
struct Datagram<M> {
    from: ProxyName,
    message: M,
}

/// Event counts of the datagrams, exported as metrics.
#[derive(Clone, Copy, Debug, Default)]
pub struct DatagramCounters {
    /// Datagrams sent.
    pub sent: u64,
    /// Datagrams that couldn't be sent: the send buffer was full, or the peer isn't listed.
    pub unsent: u64,
    /// Datagrams accepted.
    pub received: u64,
    /// Datagrams discarded, because they couldn't be decoded or their sender isn't listed.
    pub discarded: u64,
}

/// The socket for datagrams, with the addresses of the proxies.
#[derive(Debug)]
pub struct DatagramSocket {
    name: ProxyName,
    socket: UdpSocket,
    token: Token,
    peers: BTreeMap<ProxyName, SocketAddr>,
    counters: DatagramCounters,
}

impl DatagramSocket {
    /// Opens the socket of the proxy `name` at `addr`, and registers it with the poller.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error, such as an address in use.
    pub fn bind(
        name: ProxyName,
        addr: SocketAddr,
        token: Token,
        registry: &Registry,
    ) -> io::Result<Self> {
        let mut socket = UdpSocket::bind(addr)?;
        registry.register(&mut socket, token, Interest::READABLE)?;
        Ok(Self {
            name,
            socket,
            token,
            peers: BTreeMap::new(),
            counters: DatagramCounters::default(),
        })
    }

    /// Returns the address that the socket is bound to.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sets the addresses of the listed proxies.
    pub fn set_peers(&mut self, peers: BTreeMap<ProxyName, SocketAddr>) {
        self.peers = peers;
    }

    /// Returns the event counts since the start.
    pub fn counters(&self) -> DatagramCounters {
        self.counters
    }

    /// Sends a message to a listed proxy. The message is lost if the send buffer is full.
    pub fn send(&mut self, peer: &ProxyName, message: &Message) {
        let datagram = Datagram {
            from: self.name.clone(),
            message,
        };
        let bytes = rmp_serde::to_vec(&datagram).unwrap_or_default();
        let addr = self.peers.get(peer).copied();
        self.send_bytes(addr, &bytes);
    }

    /// Sends an announcement to a listed proxy. It is lost if the send buffer is full.
    pub fn announce(&mut self, peer: &ProxyName, announcement: &Announcement) {
        let bytes = self.encode_announcement(announcement);
        let addr = self.peers.get(peer).copied();
        self.send_bytes(addr, &bytes);
    }

    /// Sends an announcement to all other listed proxies.
    pub fn announce_to_all(&mut self, announcement: &Announcement) {
        let bytes = self.encode_announcement(announcement);
        let peers = self.peers.iter().filter(|(name, _)| **name != self.name);
        let addrs: Vec<SocketAddr> = peers.map(|(_, addr)| *addr).collect();
        for addr in addrs {
            self.send_bytes(Some(addr), &bytes);
        }
    }

    /// Encodes with the names of fields, so that later builds can add some.
    fn encode_announcement(&self, announcement: &Announcement) -> Vec<u8> {
        let datagram = Datagram {
            from: self.name.clone(),
            message: announcement,
        };
        rmp_serde::to_vec_named(&datagram).unwrap_or_default()
    }

    fn send_bytes(&mut self, addr: Option<SocketAddr>, bytes: &[u8]) {
        let is_sendable = (1..=DATAGRAM_MAX_BYTES).contains(&bytes.len());
        let is_sent =
            addr.is_some_and(|addr| is_sendable && self.socket.send_to(bytes, addr).is_ok());
        if is_sent {
            self.counters.sent += 1;
        } else {
            self.counters.unsent += 1;
        }
    }

    /// Returns the datagrams that have arrived.
    pub fn receive(&mut self) -> Received {
        let mut received = Received::default();
        // One byte more than the limit shows whether a datagram was cut off.
        let mut buffer = [0; DATAGRAM_MAX_BYTES + 1];
        for _ in 0..DATAGRAMS_PER_EVENT_MAX {
            match self.socket.recv_from(&mut buffer) {
                Ok((length, addr)) => match self.accept(&buffer[..length], addr) {
                    Some(Content::Message(from, message)) => {
                        self.counters.received += 1;
                        received.messages.push((from, message));
                    }
                    Some(Content::Announcement(from, announcement)) => {
                        self.counters.received += 1;
                        received.announcements.push((from, announcement));
                    }
                    Some(Content::Unlisted(announcement)) => {
                        self.counters.discarded += 1;
                        received.unlisted.push(announcement);
                    }
                    None => self.counters.discarded += 1,
                },
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                // After another error than an empty socket, the next datagram causes a new event.
                Err(_) => return received,
            }
        }
        received.has_more = true;
        received
    }

    /// Decodes a datagram, unless it is too long or its sender isn't listed with this IP address.
    fn accept(&self, bytes: &[u8], addr: SocketAddr) -> Option<Content> {
        if bytes.len() > DATAGRAM_MAX_BYTES {
            return None;
        }
        let is_known = |from: &ProxyName| {
            let known = self.peers.get(from);
            known.is_some_and(|known| known.ip() == addr.ip())
        };
        if let Ok(datagram) = rmp_serde::from_slice::<Datagram<Message>>(bytes) {
            let content = Content::Message(datagram.from.clone(), datagram.message);
            return is_known(&datagram.from).then_some(content);
        }
        let datagram: Datagram<Announcement> = rmp_serde::from_slice(bytes).ok()?;
        if !self.peers.contains_key(&datagram.from) {
            return Some(Content::Unlisted(datagram.message));
        }
        let content = Content::Announcement(datagram.from.clone(), datagram.message);
        is_known(&datagram.from).then_some(content)
    }

    /// Requests another event for datagrams that have already arrived.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn reregister(&mut self, registry: &Registry) -> io::Result<()> {
        registry.reregister(&mut self.socket, self.token, Interest::READABLE)
    }
}
