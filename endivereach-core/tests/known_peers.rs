//! The proxies whose datagrams are accepted while the list changes.

use endivereach_core::ids::ProxyName;
use endivereach_core::known_peers::KnownPeers;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

const DRAIN_MAX: Duration = Duration::from_secs(6);

fn addr(last: u8) -> SocketAddr {
    ([127, 0, 0, last], 1).into()
}

fn peers(listed: &[(&str, u8)]) -> BTreeMap<ProxyName, SocketAddr> {
    let listed = listed.iter();
    listed
        .map(|(name, last)| ((*name).into(), addr(*last)))
        .collect()
}

/// Load: a rolling restart. A proxy that has left the list drains its sessions for seconds. If its
/// requests for tokens were discarded, its callers would be refused below their tenants' limits.
#[test]
fn a_proxy_that_has_left_the_list_is_known_while_it_drains() {
    let now = Instant::now();
    let mut known = KnownPeers::new(DRAIN_MAX);
    known.set_listed(now, peers(&[("front-1", 1), ("front-2", 2)]));
    known.set_listed(now, peers(&[("front-2", 2)]));
    let both = peers(&[("front-1", 1), ("front-2", 2)]);
    assert_eq!(known.at(now + DRAIN_MAX - Duration::from_millis(1)), both);
    assert!(known.expire(now + DRAIN_MAX));
    assert_eq!(known.at(now + DRAIN_MAX), peers(&[("front-2", 2)]));
}

/// A VM that is replaced comes back at another address, and its earlier address goes to another proxy.
#[test]
fn an_address_belongs_to_the_proxy_that_is_listed_there() {
    let now = Instant::now();
    let mut known = KnownPeers::new(DRAIN_MAX);
    known.set_listed(now, peers(&[("front-1", 1)]));
    known.set_listed(now, peers(&[("front-1", 3)]));
    assert_eq!(known.at(now), peers(&[("front-1", 3)]));
    known.set_listed(now, peers(&[("front-2", 3)]));
    assert_eq!(known.at(now), peers(&[("front-2", 3)]));
}
