//! Freshness of reads: the floor of each read and the proof of reads on the primary.

use crate::cluster::Cluster;
use crate::cluster::Health;
use crate::cluster::read;
use crate::cluster::served_by;
use crate::cluster::write;
use endivereach_core::engine::statement::Command;
use endivereach_core::engine::statement::Failure;
use endivereach_core::ids::Position;

/// Returns the position that the last statement sent to a server required.
fn last_floor(cluster: &Cluster, server: &str) -> Option<Position> {
    let runs = cluster.servers[server].commands.iter().rev();
    let mut floors = runs.filter_map(|command| match command {
        Command::Run { floor, .. } => Some(*floor),
        _ => None,
    });
    floors.next().flatten()
}

#[test]
fn a_session_reads_its_own_write_on_every_server() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("session");
    for _ in 0..5 {
        let written = cluster.send_and_wait(caller, write()).position.unwrap();
        let answer = cluster.send_and_wait(caller, read());
        let server = served_by(&answer).to_owned();
        assert!(
            last_floor(&cluster, &server) >= Some(written),
            "read at {server}"
        );
    }
}

#[test]
fn an_aged_read_requires_what_was_acknowledged_before_its_maximum_age() {
    let mut cluster = Cluster::open();
    let writer = cluster.caller("session");
    let reader = cluster.caller("aged");
    cluster.send_and_wait(reader, read());
    let written = cluster.send_and_wait(writer, write()).position.unwrap();
    for _ in 0..20 {
        cluster.advance(100);
        cluster.send_and_wait(reader, read());
    }
    let answer = cluster.send_and_wait(reader, read());
    let server = served_by(&answer).to_owned();
    assert!(last_floor(&cluster, &server) >= Some(written));
}

/// The primary and one replica have a commit that the other replica never received. The primary
/// crashes permanently and leaves the list. The replica without the commit must not serve reads
/// alone, no matter how long ago that was.
#[test]
fn a_replica_that_receives_nothing_proves_nothing_after_the_primary_left() {
    let mut cluster = Cluster::open();
    cluster.server("c").replicates = false;
    let writer = cluster.caller("session");
    let written = cluster.send_and_wait(writer, write()).position.unwrap();
    cluster.server("a").health = Health::Down;
    cluster.disconnect("a");
    cluster.server("b").health = Health::Silent;
    cluster.listed.retain(|name| name.as_ref() != "a");
    cluster.publish_targets();
    cluster.advance(15_000);
    let reader = cluster.caller("aged");
    cluster.send(reader, read());
    cluster.advance(1_500);
    assert!(
        run_commands(&cluster, "c").is_empty(),
        "a read ran on a server without {written}"
    );
}

/// Returns the `Run` commands that were sent to a server.
fn run_commands<'w>(cluster: &'w Cluster, server: &str) -> Vec<&'w Command> {
    let is_run = |command: &&Command| matches!(command, Command::Run { .. });
    cluster.servers[server]
        .commands
        .iter()
        .filter(is_run)
        .collect()
}

#[test]
fn a_latest_read_waits_for_probes_that_began_after_it() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("latest");
    cluster.server("b").health = Health::Silent;
    cluster.server("c").health = Health::Silent;
    cluster.send(caller, read());
    cluster.advance(100);
    assert!(
        cluster.answers.is_empty(),
        "the read was delivered without a proof"
    );
    cluster.server("c").health = Health::Good;
    cluster.advance(400);
    assert_eq!(cluster.answers.len(), 1);
    assert_eq!(served_by(&cluster.answers[0].1), "a");
}

#[test]
fn a_latest_read_on_a_replaced_primary_is_not_delivered() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("latest");
    // Another process promoted `b`, and `a` hasn't received the new term.
    let server = cluster.server("b");
    server.is_primary = true;
    server.term = 2;
    server.received = Position::new(2, 11);
    cluster.server("c").received = Position::new(2, 11);
    let answer = cluster.send_and_wait(caller, read());
    assert_eq!(served_by(&answer), "b");
}

#[test]
fn a_replica_behind_the_floor_serves_no_read() {
    let mut cluster = Cluster::open();
    cluster.server("b").replicates = false;
    cluster.server("c").replicates = false;
    let caller = cluster.caller("session");
    cluster.send_and_wait(caller, write());
    let answer = cluster.send_and_wait(caller, read());
    assert_eq!(served_by(&answer), "a");
}

#[test]
fn a_refusal_by_every_server_is_reported_as_busy() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("aged");
    for name in ["a", "b", "c"] {
        cluster.server(name).fails_with = vec![Failure::Busy; 1_000];
    }
    let answer = cluster.send_and_wait(caller, read());
    assert_eq!(answer.failure(), Some(&Failure::Busy));
}
