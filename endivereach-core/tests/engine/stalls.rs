//! Statements to a group whose primary can't get its commits acknowledged.

use crate::cluster::Cluster;
use crate::cluster::Health;
use crate::cluster::read;
use crate::cluster::served_by;
use crate::cluster::write;
use endivereach_core::engine::statement::Command;
use endivereach_core::engine::statement::Failure;
use endivereach_core::ids::Position;
use std::time::Duration;

/// Returns a cluster whose replicas receive nothing, with a write that hangs on the primary.
fn cluster_with_stalled_replication() -> Cluster {
    let mut cluster = Cluster::open();
    let server = cluster.server("a");
    server.hangs_on_writes = true;
    server.received = Position::new(1, 12);
    for name in ["b", "c"] {
        cluster.server(name).replicates = false;
    }
    let caller = cluster.caller("session");
    cluster.send(caller, write());
    let reader = cluster.caller("latest");
    for _ in 0..6 {
        cluster.send(reader, read());
        cluster.advance(100);
    }
    cluster
}

#[test]
fn writes_are_refused_at_once_while_no_replica_receives() {
    let mut cluster = cluster_with_stalled_replication();
    let caller = cluster.caller("session");
    let sent_at = cluster.now;
    let answer = cluster.send_and_wait(caller, write());
    assert_eq!(answer.failure(), Some(&Failure::Busy));
    assert!(
        cluster.now - sent_at < Duration::from_millis(20),
        "the write waited before it was refused"
    );
}

#[test]
fn reads_continue_while_writes_are_refused() {
    let mut cluster = cluster_with_stalled_replication();
    let caller = cluster.caller("aged");
    served_by(&cluster.send_and_wait(caller, read()));
}

#[test]
fn writes_are_accepted_again_once_a_replica_receives() {
    let mut cluster = cluster_with_stalled_replication();
    let server = cluster.server("a");
    server.hangs_on_writes = false;
    let received = server.received;
    for name in ["b", "c"] {
        let server = cluster.server(name);
        server.replicates = true;
        server.received = received;
    }
    cluster.advance(300);
    let caller = cluster.caller("session");
    served_by(&cluster.send_and_wait(caller, write()));
}

/// The primary is unreachable for a short time. The newer write can still meet its latency goal,
/// and the older one can't.
#[test]
fn a_write_past_its_latency_goal_runs_after_a_newer_one() {
    let mut cluster = Cluster::open();
    cluster.server("a").health = Health::Down;
    cluster.disconnect("a");
    let early = cluster.caller("session");
    let late = cluster.caller("session");
    let first = cluster.send(early, write());
    cluster.advance(200);
    let second = cluster.send(late, write());
    cluster.server("a").health = Health::Good;
    cluster.advance(300);
    let command_index = |request: u64| {
        let name = format!("q{request}");
        let is_request = |command: &Command| matches!(command, Command::Run { request, .. } if request.as_str() == name);
        cluster.servers["a"]
            .commands
            .iter()
            .position(is_request)
            .unwrap()
    };
    assert!(command_index(second) < command_index(first));
}
