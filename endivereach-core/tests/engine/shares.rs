//! The number of connections that one proxy opens to a server.

use crate::cluster::Cluster;
use crate::cluster::Health;
use crate::cluster::begin;
use crate::cluster::read;
use crate::cluster::write;

/// Begins 12 transactions, which is more than the engine may open connections for.
fn open_transactions(cluster: &mut Cluster, database: &str) {
    for _ in 0..12 {
        let caller = cluster.caller(database);
        cluster.send(caller, begin());
        cluster.send(caller, write());
        cluster.advance(20);
    }
}

#[test]
fn a_busy_primary_gives_each_proxy_its_share() {
    let mut cluster = Cluster::open();
    cluster.server("a").connections = 14;
    cluster.advance(2_000);
    open_transactions(&mut cluster, "session");
    // 16 connections, one of them reserved, among four proxies.
    assert_eq!(cluster.connection_count("a"), 3);
}

#[test]
fn a_proxy_exceeds_its_share_while_the_primary_has_spare_connections() {
    let mut cluster = Cluster::open();
    open_transactions(&mut cluster, "session");
    assert_eq!(cluster.connection_count("a"), 5);
}

/// VMs that lose power leave their connections open for seconds. So proxies must leave half of a
/// replica's connections free for the VMs that restart.
#[test]
fn replicas_keep_half_of_their_connections_free() {
    let mut cluster = Cluster::open();
    for name in ["b", "c"] {
        cluster.server(name).connections = 8;
    }
    cluster.advance(2_000);
    let reader = cluster.caller("aged");
    cluster.send_and_wait(reader, read());
    for name in ["a", "b", "c"] {
        cluster.server(name).health = Health::Silent;
    }
    for _ in 0..20 {
        let caller = cluster.caller("aged");
        cluster.send(caller, read());
        cluster.advance(2);
    }
    for name in ["b", "c"] {
        assert!(
            cluster.connection_count(name) * 4 <= 8,
            "{} at {name}",
            cluster.connection_count(name)
        );
    }
}

#[test]
fn unused_connections_are_closed() {
    let mut cluster = Cluster::open();
    open_transactions(&mut cluster, "session");
    assert!(cluster.connection_count("a") > 1);
    // The idle transactions time out first, and then the idle connections.
    cluster.advance(6_000);
    assert_eq!(cluster.connection_count("a"), 1);
}

/// Load: a partition separates many proxies from a group's homes, and each serves its sessions
/// itself. Together they must not use up the connections of the homes.
#[test]
fn a_proxy_that_is_no_home_opens_few_connections() {
    let mut cluster = Cluster::open();
    cluster.engine.set_proxy_count(295);
    cluster.engine.set_home(&crate::cluster::group(), false);
    cluster.advance(2_000);
    open_transactions(&mut cluster, "session");
    assert_eq!(cluster.connection_count("a"), 2);
}
