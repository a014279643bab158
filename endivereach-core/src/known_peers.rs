//! The proxies that this one exchanges datagrams with. Load: a rolling restart, in which proxies that
//! have left the list still serve sessions and need tokens of their tenants.

use crate::ids::ProxyName;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// The listed proxies, and those that have left the list but may not have ended yet.
///
/// # Examples
///
/// ```
/// use endivereach_core::known_peers::KnownPeers;
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let addr = "127.0.0.1:1".parse().unwrap();
/// let mut peers = KnownPeers::new(Duration::from_secs(6));
/// peers.set_listed(now, [("front-1".into(), addr)].into());
/// peers.set_listed(now, [].into());
/// assert_eq!(peers.at(now + Duration::from_secs(5)).len(), 1);
/// assert_eq!(peers.at(now + Duration::from_secs(6)).len(), 0);
/// ```
#[derive(Debug)]
pub struct KnownPeers {
    /// The longest time for which a proxy runs after it has left the list.
    drain_max: Duration,
    listed: BTreeMap<ProxyName, SocketAddr>,
    departed: BTreeMap<ProxyName, (SocketAddr, Instant)>,
}

impl KnownPeers {
    /// Creates an empty set. `drain_max` is the longest time for which a proxy runs after it has left
    /// the list.
    pub fn new(drain_max: Duration) -> Self {
        Self {
            drain_max,
            listed: BTreeMap::new(),
            departed: BTreeMap::new(),
        }
    }

    /// Sets the listed proxies and their addresses.
    pub fn set_listed(&mut self, now: Instant, listed: BTreeMap<ProxyName, SocketAddr>) {
        let before = std::mem::replace(&mut self.listed, listed);
        let until = now + self.drain_max;
        for (name, addr) in before {
            if !self.listed.contains_key(&name) {
                self.departed.insert(name, (addr, until));
            }
        }
        let listed = &self.listed;
        self.departed.retain(|name, _| !listed.contains_key(name));
    }

    /// Returns whether a proxy has become unknown since the last call.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.departed.len();
        self.departed.retain(|_, (_, until)| now < *until);
        self.departed.len() < before
    }

    /// Returns the proxies that are known at `now`, with their addresses. The address of a proxy that
    /// has left isn't its own any more once another one is listed there.
    pub fn at(&mut self, now: Instant) -> BTreeMap<ProxyName, SocketAddr> {
        self.expire(now);
        let is_reused = |addr: &SocketAddr| self.listed.values().any(|l| l.ip() == addr.ip());
        let departed = self.departed.iter();
        let departed = departed.filter(|(_, (addr, _))| !is_reused(addr));
        let departed = departed.map(|(name, (addr, _))| (name.clone(), *addr));
        self.listed
            .iter()
            .map(|(name, addr)| (name.clone(), *addr))
            .chain(departed)
            .collect()
    }
}
