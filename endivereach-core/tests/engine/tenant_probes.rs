//! Probes of a process that is the home of a few tenants, but not of the group.

use crate::cluster::Health;
use crate::cluster::group;
use crate::cluster::read;
use crate::cluster::write;
use crate::tenant_connections::cluster;
use endivereach_core::engine::statement::Command;
use std::time::Duration;

/// A probe that opens its own connection takes one from the tenants.
#[test]
fn probes_use_the_connections_of_any_tenant() {
    let mut cluster = cluster(2, 70);
    cluster.engine.set_home(&group(), false);
    cluster.advance(6_000);
    let caller = cluster.caller_with_key("latest", "small-0");
    for _ in 0..20 {
        cluster.send_and_wait(caller, read());
        cluster.advance(300);
    }
    for name in ["a", "b", "c"] {
        let tenants = cluster.connected_tenants(name);
        assert!(tenants.len() <= 1, "{tenants:?} at {name}");
        assert!(tenants.iter().all(Option::is_some), "{tenants:?} at {name}");
    }
    let is_probe = |command: &&Command| **command == Command::Status;
    assert!(cluster.server("a").commands.iter().filter(is_probe).count() > 3);
}

/// Load: each tenant in the tail reads once in several seconds, at its own home. Floors that are kept
/// ready for it on every home would be most of the servers' probes.
#[test]
fn a_tenant_with_few_reads_does_not_keep_floors() {
    let mut cluster = cluster(2, 70);
    cluster.engine.set_home(&group(), false);
    cluster.advance(16_000);
    let before = cluster.engine.counters().probes;
    let caller = cluster.caller_with_key("aged", "small-0");
    for _ in 0..10 {
        let answer = cluster.send_and_wait(caller, read());
        assert_eq!(answer.failure(), None);
        cluster.advance(4_000);
    }
    // Two for the floor of each read, and some for the number of the servers' connections.
    let probes = cluster.engine.counters().probes - before;
    assert!((20..=45).contains(&probes), "{probes}");
}

/// A statement that arrives while a probe is under way would open a connection for a wait of
/// milliseconds.
#[test]
fn a_probe_on_the_way_does_not_open_a_connection() {
    let mut cluster = cluster(2, 70);
    let caller = cluster.caller_with_key("latest", "small-0");
    cluster.send_and_wait(caller, write());
    let before = cluster.engine.counters().connections_opened;
    cluster.server("a").probe_work = Duration::from_millis(10);
    for _ in 0..10 {
        // The read requests a probe of the primary, which is still unanswered when the write comes.
        cluster.send_and_wait(caller, read());
        cluster.send_and_wait(caller, write());
    }
    let opened = cluster.engine.counters().connections_opened - before;
    assert!(
        opened <= 1,
        "{opened}, of which one is for the replica that proves the reads"
    );
}

/// Without floors that are kept ready, a silent replica would be probed for each rare read until its
/// connection times out, and the reads would be refused.
#[test]
fn a_silent_replica_does_not_hold_up_the_floors_of_rare_reads() {
    for silent in ["b", "c"] {
        let mut cluster = cluster(2, 70);
        cluster.engine.set_home(&group(), false);
        let caller = cluster.caller_with_key("aged", "small-0");
        for _ in 0..3 {
            cluster.send_and_wait(caller, read());
            cluster.advance(1_600);
        }
        cluster.server(silent).health = Health::Silent;
        let answer = cluster.send_and_wait(caller, read());
        assert_eq!(answer.failure(), None, "{silent} is silent");
    }
}
