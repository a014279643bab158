//! Datagrams between proxies, which agree on the rate limits of tenants. Each carries one message.
//!
//! Datagrams may be lost, repeated or forged. A datagram is accepted only from the IP address that
//! the list of proxies states for its sender.

use endivereach_core::allowance::Message;
use endivereach_core::ids::ProxyName;
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
        let is_sendable = (1..=DATAGRAM_MAX_BYTES).contains(&bytes.len());
        let is_sent = self
            .peers
            .get(peer)
            .is_some_and(|addr| is_sendable && self.socket.send_to(&bytes, *addr).is_ok());
        if is_sent {
            self.counters.sent += 1;
        } else {
            self.counters.unsent += 1;
        }
    }

    /// Returns the messages that have arrived, and whether more may have.
    pub fn receive(&mut self) -> (Vec<(ProxyName, Message)>, bool) {
        let mut messages = Vec::new();
        // One byte more than the limit shows whether a datagram was cut off.
        let mut buffer = [0; DATAGRAM_MAX_BYTES + 1];
        for _ in 0..DATAGRAMS_PER_EVENT_MAX {
            match self.socket.recv_from(&mut buffer) {
                Ok((length, addr)) => match self.accept(&buffer[..length], addr) {
                    Some(message) => {
                        self.counters.received += 1;
                        messages.push(message);
                    }
                    None => self.counters.discarded += 1,
                },
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                // After another error than an empty socket, the next datagram causes a new event.
                Err(_) => return (messages, false),
            }
        }
        (messages, true)
    }

    /// Decodes a datagram, unless it is too long or its sender isn't listed with this IP address.
    fn accept(&self, bytes: &[u8], addr: SocketAddr) -> Option<(ProxyName, Message)> {
        if bytes.len() > DATAGRAM_MAX_BYTES {
            return None;
        }
        let datagram: Datagram<Message> = rmp_serde::from_slice(bytes).ok()?;
        let known = self.peers.get(&datagram.from)?;
        (known.ip() == addr.ip()).then_some((datagram.from, datagram.message))
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
