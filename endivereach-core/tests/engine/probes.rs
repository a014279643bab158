//! The number of probes that a load causes. Each probe is work for a server, and every home of a
//! group sends its own.

use crate::cluster::Cluster;
use crate::cluster::read;
use crate::cluster::served_by;
use crate::cluster::write;
use endivereach_core::engine::statement::Command;
use endivereach_core::engine::statement::Failure;
use endivereach_core::ids::Position;

/// Returns the number of probes that all servers were sent.
fn probe_count(cluster: &Cluster) -> usize {
    let is_probe = |command: &&Command| matches!(command, Command::Status);
    let servers = cluster.servers.values();
    servers
        .map(|server| server.commands.iter().filter(is_probe).count())
        .sum()
}

/// Returns the number of probes during `seconds` seconds of ten reads a second on `database`.
fn probes_under_reads(cluster: &mut Cluster, database: &str, seconds: u64) -> usize {
    let caller = cluster.caller(database);
    cluster.send_and_wait(caller, read());
    let before = probe_count(cluster);
    for _ in 0..seconds * 10 {
        cluster.send_and_wait(caller, read());
        cluster.advance(100);
    }
    probe_count(cluster) - before
}

/// Load: a steady stream of reads of data up to 1.5 s old, on a group whose replicas keep up. One
/// floor, proved by two members, serves almost a whole age.
#[test]
fn aged_reads_cause_one_floor_per_age() {
    let mut cluster = Cluster::open();
    let probes = probes_under_reads(&mut cluster, "aged", 30);
    assert!(probes <= 2 * 30, "{probes} probes in 30 s");
}

/// Load: the same reads, while a replica lags. Older floors let it serve again sooner.
#[test]
fn floors_are_closer_together_while_a_replica_lags() {
    let mut calm = Cluster::open();
    let calm_probes = probes_under_reads(&mut calm, "aged", 10);
    let mut lagging = Cluster::open();
    for name in ["b", "c"] {
        lagging.server(name).fails_with = vec![Failure::Lagging];
    }
    let lagging_probes = probes_under_reads(&mut lagging, "aged", 10);
    assert!(
        lagging_probes > calm_probes,
        "{lagging_probes} probes with lag, {calm_probes} without"
    );
}

/// Load: aged reads alone. Every one is served, although most find a single floor.
#[test]
fn aged_reads_never_wait_for_a_floor() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("aged");
    cluster.send_and_wait(caller, read());
    for _ in 0..300 {
        let sent_at = cluster.now;
        served_by(&cluster.send_and_wait(caller, read()));
        assert_eq!(cluster.now, sent_at, "a read waited for a floor");
        cluster.advance(35);
    }
}

/// Load: a steady stream of reads of the latest data on a calm group. The primary is known to lead
/// while the connection lasts, so one other member is asked for each read.
#[test]
fn a_latest_read_causes_one_probe() {
    let mut cluster = Cluster::open();
    let probes = probes_under_reads(&mut cluster, "latest", 30);
    assert!(probes <= 300 + 2 * 30, "{probes} probes for 300 reads");
}

/// A server that restarted under its name without its log accepts connections and reads. Nothing
/// that it reported before the connection was opened counts.
#[test]
fn a_latest_read_probes_a_primary_that_it_reconnected_to() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("latest");
    assert_eq!(served_by(&cluster.send_and_wait(caller, read())), "a");
    let server = cluster.server("a");
    server.is_primary = false;
    server.term = 0;
    server.received = Position::default();
    cluster.disconnect("a");
    cluster.advance(10);
    cluster.send(caller, read());
    cluster.advance(300);
    for (_, answer) in &cluster.answers[1..] {
        assert!(
            answer.failure().is_some(),
            "an empty log was read as current"
        );
    }
}

/// Load: reads of the latest data while a write hangs on the primary. Both the primary and the
/// replicas are asked for their positions, so that a stall of replication is noticed.
#[test]
fn a_slow_statement_on_the_primary_causes_probes_of_every_member() {
    let mut cluster = Cluster::open();
    let writer = cluster.caller("session");
    cluster.send_and_wait(writer, write());
    cluster.server("a").hangs_on_writes = true;
    cluster.send(writer, write());
    cluster.advance(150);
    for server in cluster.servers.values_mut() {
        server.commands.clear();
    }
    cluster.advance(200);
    for (name, server) in &cluster.servers {
        assert!(
            server.commands.contains(&Command::Status),
            "server {name} wasn't probed"
        );
    }
}
