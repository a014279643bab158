//! Answers to callers when a server's answer is lost, late or a failure.

use crate::cluster::Cluster;
use crate::cluster::Health;
use crate::cluster::begin;
use crate::cluster::read;
use crate::cluster::served_by;
use crate::cluster::write;
use endivereach_core::cases;
use endivereach_core::engine::statement::Answer;
use endivereach_core::engine::statement::Body;
use endivereach_core::engine::statement::Command;
use endivereach_core::engine::statement::Failure;
use endivereach_core::engine::statement::Outcome;
use endivereach_core::engine::statement::SessionState;

#[test]
fn a_write_whose_connection_ends_is_in_doubt_and_never_sent_again() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("session");
    cluster.server("a").health = Health::Silent;
    cluster.send(caller, write());
    cluster.disconnect("a");
    let (_, answer) = cluster.answers.pop().unwrap();
    assert_eq!(answer.failure(), Some(&Failure::InDoubt));
    cluster.server("a").health = Health::Good;
    cluster.advance(2_000);
    let is_write = |command: &&Command| matches!(command, Command::Run { .. });
    assert_eq!(
        cluster.servers["a"]
            .commands
            .iter()
            .filter(is_write)
            .count(),
        1
    );
}

#[test]
fn a_read_whose_connection_ends_runs_on_another_server() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("aged");
    for name in ["a", "b", "c"] {
        cluster.server(name).loses_answers = true;
    }
    cluster.send(caller, read());
    let first_server = cluster
        .servers
        .iter()
        .find(|(_, server)| {
            server
                .commands
                .iter()
                .any(|c| matches!(c, Command::Run { .. }))
        })
        .map(|(name, _)| name.clone())
        .unwrap();
    for name in ["a", "b", "c"] {
        cluster.server(name).loses_answers = false;
    }
    cluster.disconnect(&first_server);
    cluster.advance(400);
    let (_, answer) = cluster.answers.pop().unwrap();
    assert_ne!(served_by(&answer), first_server.as_ref());
}

/// An answer is lost while its connection stays open. The read must be retried on another server
/// long before the statement times out.
#[test]
fn a_read_whose_answer_is_lost_is_retried_before_its_timeout() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("aged");
    for name in ["a", "b", "c"] {
        cluster.server(name).loses_answers = true;
    }
    cluster.send(caller, read());
    for name in ["a", "b", "c"] {
        cluster.server(name).loses_answers = false;
    }
    cluster.advance(400);
    assert_eq!(
        cluster.answers.len(),
        1,
        "still waiting after half of the timeout"
    );
    served_by(&cluster.answers[0].1);
}

#[test]
fn a_lost_answer_inside_a_transaction_aborts_it() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("session");
    cluster.send_and_wait(caller, begin());
    cluster.server("a").loses_answers = true;
    cluster.send(caller, write());
    cluster.server("a").loses_answers = false;
    cluster.answers.clear();
    cluster.advance(500);
    let (_, answer) = cluster.answers.pop().unwrap();
    assert_eq!(answer.failure(), Some(&Failure::Aborted));
    assert_eq!(answer.state, SessionState::Failed);
    let answer = cluster.send_and_wait(caller, Body::Rollback);
    assert_eq!(answer.state, SessionState::Idle);
}

#[test]
fn a_commit_whose_answer_is_lost_is_never_reported_as_aborted() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("session");
    cluster.send_and_wait(caller, begin());
    cluster.send_and_wait(caller, write());
    cluster.server("a").loses_answers = true;
    let answer = cluster.send_and_wait(caller, Body::Commit);
    let failure = answer.failure().unwrap();
    assert!(
        matches!(failure, Failure::Timeout | Failure::InDoubt),
        "{failure}"
    );
    assert_eq!(answer.state, SessionState::Idle);
}

#[test]
fn a_commit_whose_connection_ends_is_in_doubt() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("session");
    cluster.send_and_wait(caller, begin());
    cluster.send_and_wait(caller, write());
    cluster.server("a").health = Health::Silent;
    cluster.send(caller, Body::Commit);
    cluster.disconnect("a");
    let (_, answer) = cluster.answers.last().unwrap();
    assert_eq!(answer.failure(), Some(&Failure::InDoubt));
    assert_eq!(answer.state, SessionState::Idle);
}

/// The answer to the statement was lost, and the next answer on the connection is for a command of
/// the engine itself.
#[test]
fn an_answer_to_another_command_is_not_delivered() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("session");
    cluster.server("a").health = Health::Silent;
    cluster.send(caller, write());
    let command_answer = Answer {
        rows: Vec::new(),
        outcome: Outcome::Done { receipt: None },
        state: SessionState::Idle,
        position: None,
    };
    let connection = cluster.busy_connection("a");
    cluster
        .engine
        .target_reply(cluster.now, connection, command_answer, None);
    cluster.process_effects();
    let (_, answer) = cluster.answers.last().unwrap();
    assert_eq!(answer.failure(), Some(&Failure::InDoubt));
}

/// A read that a server refused to run, or that failed, is retried on another server.
fn check_read_is_retried(failure: Failure) {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("aged");
    for name in ["a", "b", "c"] {
        cluster.server(name).fails_with = vec![failure.clone()];
    }
    served_by(&cluster.send_and_wait(caller, read()));
}

cases! {
    check_read_is_retried;
    busy: Failure::Busy;
    lagging: Failure::Lagging;
    not_primary: Failure::NotPrimary;
    failed_read: Failure::Failed;
}

#[test]
fn a_failed_write_is_reported_and_not_retried() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("session");
    cluster.server("a").fails_with = vec![Failure::Failed];
    let answer = cluster.send_and_wait(caller, write());
    assert_eq!(answer.failure(), Some(&Failure::Failed));
    let is_write = |command: &&Command| matches!(command, Command::Run { .. });
    assert_eq!(
        cluster.servers["a"]
            .commands
            .iter()
            .filter(is_write)
            .count(),
        1
    );
}

/// A primary loses the answers to six writes. The connections that wait for
/// them must not block other callers' statements.
#[test]
fn lost_answers_of_a_primary_do_not_block_other_statements() {
    let mut cluster = Cluster::open();
    cluster.server("a").loses_answers = true;
    for _ in 0..6 {
        let caller = cluster.caller("session");
        cluster.send(caller, write());
        cluster.advance(30);
    }
    cluster.server("a").loses_answers = false;
    cluster.advance(300);
    let caller = cluster.caller("session");
    cluster.answers.clear();
    let sent_at = cluster.now;
    let answer = loop {
        if let Some((_, answer)) = cluster.answers.iter().find(|(id, _)| *id == caller) {
            break answer.clone();
        }
        if cluster.now == sent_at {
            cluster.send(caller, write());
        }
        cluster.advance(5);
    };
    served_by(&answer);
    let waited = cluster.now - sent_at;
    assert!(
        waited < std::time::Duration::from_millis(200),
        "waited {waited:?}"
    );
}
