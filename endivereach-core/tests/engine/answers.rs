//! Answers to callers when a server's answer is lost, late or a failure.

use crate::cluster::Cluster;
use crate::cluster::Health;
use crate::cluster::Server;
use crate::cluster::begin;
use crate::cluster::read;
use crate::cluster::served_by;
use crate::cluster::write;
use endivereach_core::cases;
use endivereach_core::engine::statement::Access;
use endivereach_core::engine::statement::Answer;
use endivereach_core::engine::statement::Body;
use endivereach_core::engine::statement::Command;
use endivereach_core::engine::statement::Failure;
use endivereach_core::engine::statement::Outcome;
use endivereach_core::engine::statement::PreparedStatement;
use endivereach_core::engine::statement::SessionState;
use std::time::Duration;

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
    let connection =
        cluster.unanswered_connection("a", |command| matches!(command, Command::Run { .. }));
    cluster
        .engine
        .target_reply(cluster.now, connection, command_answer, None);
    cluster.process_effects();
    let (_, answer) = cluster.answers.last().unwrap();
    assert_eq!(answer.failure(), Some(&Failure::InDoubt));
}

/// Guards against writes that run twice, or that run although their caller was told that they
/// didn't: the answer to a statement is lost, and the next answer on its connection is the refusal
/// of a probe.
fn check_refused_probe_is_not_the_answer(prepares: bool, body: Body) {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("session");
    if prepares {
        let definition = PreparedStatement {
            access: Access::Write,
            text: "shape".into(),
        };
        let name = "s1".into();
        cluster.send_and_wait(caller, Body::Prepare { name, definition });
    }
    cluster.answers.clear();
    let server = cluster.server("a");
    server.skips_answers = true;
    server.refuses_probes = true;
    cluster.send(caller, body);
    cluster.server("a").skips_answers = false;
    // A statement that is unanswered for so long is probed on its own connection, if there is no
    // other.
    cluster.advance(400);
    cluster.server("a").refuses_probes = false;
    cluster.advance(1_000);
    let probes = |server: &Server| {
        server
            .commands
            .iter()
            .filter(|c| **c == Command::Status)
            .count()
    };
    assert!(
        probes(&cluster.servers["a"]) > 0,
        "the server wasn't probed"
    );
    assert_eq!(cluster.executed.len(), 1, "the statement ran again");
    let (_, answer) = cluster.answers.pop().unwrap();
    let failure = answer.failure().unwrap();
    assert!(
        matches!(failure, Failure::Timeout | Failure::InDoubt),
        "the statement ran, but its caller was told {failure}"
    );
}

cases! {
    check_refused_probe_is_not_the_answer;
    lost_answer_to_a_write: false, write();
    lost_answer_to_a_prepared_write: true, Body::Execute { name: "s1".into(), arguments: "1 x".into() };
}

/// A refusal with a probe behind it counts as the statement's answer once the probe is answered.
#[test]
fn a_refused_write_with_a_probe_behind_it_runs_again() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("session");
    let server = cluster.server("a");
    server.fails_with = vec![Failure::Busy];
    server.work = Duration::from_millis(200);
    server.probe_work = Duration::from_millis(10);
    cluster.send(caller, write());
    cluster.advance(500);
    let (_, answer) = cluster.answers.last().unwrap();
    assert_eq!(served_by(answer), "a");
    assert_eq!(cluster.executed.len(), 1);
    assert!(cluster.engine.counters().unmatched_answers > 0);
}

/// Each probe sent behind would delay the moment at which the failure can be matched.
#[test]
fn no_probe_is_sent_behind_a_failure_that_cannot_be_matched() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("session");
    cluster.server("a").health = Health::Silent;
    cluster.send(caller, write());
    let connection =
        cluster.unanswered_connection("a", |command| matches!(command, Command::Run { .. }));
    cluster.advance(200);
    let unanswered = cluster.unanswered_count(connection);
    assert!(unanswered > 1, "no probe was sent behind the write");
    let busy = Answer::failed(Failure::Busy, "no slot is free", SessionState::Idle);
    cluster
        .engine
        .target_reply(cluster.now, connection, busy, None);
    cluster.advance(200);
    assert_eq!(cluster.unanswered_count(connection), unanswered);
}

/// Connections on which an answer was lost don't hold up the probes that a read waits for.
#[test]
fn a_latest_read_is_proved_beside_connections_that_lost_an_answer() {
    let mut cluster = Cluster::open();
    let server = cluster.server("a");
    server.skips_answers = true;
    server.refuses_probes = true;
    for _ in 0..3 {
        let caller = cluster.caller("session");
        cluster.send(caller, write());
    }
    cluster.server("a").skips_answers = false;
    cluster.advance(300);
    cluster.server("a").refuses_probes = false;
    let reader = cluster.caller("latest");
    let sent_at = cluster.now;
    served_by(&cluster.send_and_wait(reader, read()));
    let waited = cluster.now - sent_at;
    assert!(waited < Duration::from_millis(200), "waited {waited:?}");
}

/// Guards against statements that run outside of their transaction: the refusal of `Begin` is lost,
/// and the next answer on its connection is that to a probe.
#[test]
fn the_answer_to_a_probe_does_not_open_a_transaction() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("session");
    cluster.send_and_wait(caller, begin());
    cluster.server("a").health = Health::Silent;
    cluster.send(caller, write());
    let connection =
        cluster.unanswered_connection("a", |command| matches!(command, Command::Begin { .. }));
    let status = Answer {
        rows: vec!["row".into()],
        ..Answer::done(SessionState::Idle)
    };
    let sent_before = cluster.servers["a"].commands.len();
    cluster
        .engine
        .target_reply(cluster.now, connection, status, None);
    cluster.process_effects();
    let sent = &cluster.servers["a"].commands[sent_before..];
    let is_run = |command: &Command| matches!(command, Command::Run { .. });
    assert!(!sent.iter().any(is_run), "{sent:?}");
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
    assert!(waited < Duration::from_millis(200), "waited {waited:?}");
}
