//! Rows of probes, and answers of transactions and resets, that a server sends a second time.

use crate::cluster::Cluster;
use crate::cluster::GivenAnswer;
use crate::cluster::begin;
use crate::cluster::read;
use crate::cluster::served_by;
use crate::cluster::write;
use crate::repetition::answer_to;
use crate::repetition::cluster_with_one_connection;
use crate::repetition::is_busy_statement;
use crate::repetition::is_statement;
use crate::repetition::refuse_one_write;
use endivereach_core::engine::statement::Body;
use endivereach_core::engine::statement::Command;
use endivereach_core::engine::statement::Failure;
use endivereach_core::ids::Position;
use std::cell::Cell;
use std::time::Duration;

fn is_status(given: &GivenAnswer) -> bool {
    given.command == Command::Status
}

/// Promotes `b`, which acknowledges a commit that this process hasn't seen.
fn replace_primary_unnoticed(cluster: &mut Cluster) {
    let newer = Position::new(2, 50);
    let server = cluster.server("b");
    server.is_primary = true;
    server.term = 2;
    server.received = newer;
    let server = cluster.server("c");
    server.term = 2;
    server.received = newer;
}

/// Guards against reads of old data: the first answer that a server repeats is the row of an earlier
/// probe. Meanwhile another primary has acknowledged a commit.
#[test]
fn the_first_repeated_status_does_not_prove_a_read() {
    let mut cluster = Cluster::open();
    let reader = cluster.caller("latest");
    served_by(&cluster.send_and_wait(reader, read()));
    cluster.advance(300);
    served_by(&cluster.send_and_wait(reader, read()));
    cluster.advance(300);
    replace_primary_unnoticed(&mut cluster);
    for name in ["a", "b", "c"] {
        cluster.server(name).probe_work = Duration::from_millis(400);
    }
    cluster.answers.clear();
    cluster.send(reader, read());
    for name in ["b", "c"] {
        if cluster.servers[name].commands.last() == Some(&Command::Status) {
            cluster.repeat_answer(name, is_status);
            break;
        }
    }
    assert_eq!(answer_to(&cluster, reader), None, "proved by an old row");
}

/// Guards against reads of old data: two rows of earlier probes are repeated while two probes are
/// outstanding. That targets repeat answers is known.
#[test]
fn two_repeated_statuses_do_not_prove_a_read() {
    let mut cluster = Cluster::open();
    let writer = cluster.caller("session");
    served_by(&cluster.send_and_wait(writer, write()));
    let reader = cluster.caller("latest");
    served_by(&cluster.send_and_wait(reader, read()));
    // Nothing is outstanding, so the repetition is recognized.
    cluster.repeat_answer("a", is_statement);
    assert_eq!(cluster.engine.counters().repeated_answers, 1);
    cluster.advance(300);
    served_by(&cluster.send_and_wait(reader, read()));
    cluster.advance(300);
    replace_primary_unnoticed(&mut cluster);
    for name in ["a", "b", "c"] {
        cluster.server(name).probe_work = Duration::from_millis(400);
    }
    cluster.answers.clear();
    cluster.send(reader, read());
    cluster.advance(100);
    assert_eq!(answer_to(&cluster, reader), None);
    for name in ["b", "c"] {
        let connection = cluster.unanswered_connection(name, |command| *command == Command::Status);
        let skipped = Cell::new(0);
        let mut repeated = 0;
        while repeated < 2 && cluster.unanswered_count(connection) == 2 {
            skipped.set(0);
            cluster.repeat_answer(name, |given| {
                let is_earlier = is_status(given) && given.connection == connection;
                skipped.set(skipped.get() + usize::from(is_earlier));
                is_earlier && skipped.get() > 1 - repeated
            });
            repeated += 1;
        }
    }
    assert_eq!(answer_to(&cluster, reader), None, "proved by an old row");
}

/// Guards against transactions that stay open on a connection that goes to the next caller: the refusal
/// of a write outside of a transaction is repeated in a transaction, whose own answer is lost. The
/// answer to the reset says that the transaction is open.
#[test]
fn a_connection_in_a_transaction_does_not_go_to_the_next_caller() {
    let mut cluster = cluster_with_one_connection();
    refuse_one_write(&mut cluster);
    let caller = cluster.caller("session");
    cluster.send_and_wait(caller, begin());
    cluster.send_and_wait(caller, write());
    cluster.server("a").work = Duration::from_millis(50);
    cluster.server("a").skips_answers = true;
    cluster.answers.clear();
    cluster.send(caller, write());
    cluster.repeat_answer("a", is_busy_statement);
    cluster.advance(60);
    cluster.server("a").skips_answers = false;
    cluster.server("a").work = Duration::ZERO;
    cluster.advance(200);
    let other = cluster.caller("session");
    let before = cluster.servers["a"].received;
    let answer = cluster.send_and_wait(other, write());
    assert!(
        answer.failure().is_some() || cluster.servers["a"].received > before,
        "the write was acknowledged in another caller's transaction: {answer:?}"
    );
}

/// Guards against writes that run outside of their transaction, and twice: the answer to an earlier
/// `Begin` is repeated, and the caller's own is refused.
#[test]
fn a_repeated_begin_does_not_open_a_transaction() {
    let mut cluster = cluster_with_one_connection();
    let caller = cluster.caller("session");
    cluster.send_and_wait(caller, begin());
    cluster.send_and_wait(caller, write());
    cluster.send_and_wait(caller, Body::Commit);
    cluster.server("a").delay = Duration::from_millis(40);
    cluster.server("a").is_primary = false;
    cluster.send_and_wait(caller, begin());
    cluster.answers.clear();
    let executed = cluster.executed.len();
    cluster.send(caller, write());
    cluster.advance(10);
    cluster.repeat_answer("a", |given| matches!(given.command, Command::Begin { .. }));
    cluster.advance(32);
    cluster.server("a").is_primary = true;
    cluster.advance(600);
    let request = cluster.executed[executed..]
        .first()
        .map(|e| e.request.clone());
    if let Some(request) = request {
        assert!(
            cluster.execution_count(request.as_str()) <= 1,
            "{request} ran twice, the first time outside of its transaction"
        );
    }
}

/// Guards against writes that run twice: a server repeats each of its answers once, late. A refusal and
/// the answer to the reset behind it are repeated while the next write runs.
#[test]
fn a_server_that_repeats_every_answer_does_not_run_a_write_twice() {
    let mut cluster = cluster_with_one_connection();
    refuse_one_write(&mut cluster);
    // From here on, answers are repeated.
    refuse_one_write(&mut cluster);
    cluster.server("a").accepts = 2;
    let caller = cluster.caller("session");
    cluster.server("a").work = Duration::from_millis(100);
    cluster.answers.clear();
    let request = format!("q{}", cluster.next_request());
    cluster.send(caller, write());
    let connection = cluster.unanswered_connection("a", |c| matches!(c, Command::Run { .. }));
    // Another statement waits, too.
    let other = cluster.caller("session");
    cluster.send(other, write());
    cluster.advance(10);
    cluster.repeat_answer("a", is_busy_statement);
    cluster.repeat_answers_of(connection);
    cluster.advance(700);
    let answer = answer_to(&cluster, caller).expect("no answer");
    assert!(
        cluster.execution_count(&request) <= 1,
        "the write ran again"
    );
    assert!(
        !answer.failure().is_some_and(Failure::is_not_run)
            || cluster.execution_count(&request) == 0,
        "the write ran, but its caller was told {answer:?}"
    );
}

/// Guards against statements whose outcome is called unknown although their refusal is true: that
/// targets repeat answers is known, and a probe was refused on the idle connection.
#[test]
fn a_true_refusal_after_a_refused_probe_leads_to_a_retry() {
    let mut cluster = cluster_with_one_connection();
    // Nothing is outstanding, so the repetition is recognized.
    cluster.repeat_answer("a", is_statement);
    assert_eq!(cluster.engine.counters().repeated_answers, 1);
    cluster.server("a").refuses_probes = true;
    let reader = cluster.caller("aged");
    for _ in 0..3 {
        cluster.send_and_wait(reader, read());
        cluster.advance(600);
    }
    cluster.server("a").refuses_probes = false;
    let is_refused_probe =
        |given: &GivenAnswer| is_status(given) && given.answer.failure() == Some(&Failure::Busy);
    assert!(cluster.given_answers.iter().any(is_refused_probe));
    refuse_one_write(&mut cluster);
}

/// Guards against reads that are older than their route allows: one row is repeated that is older than
/// the probe before the outstanding one. That targets repeat answers is known.
#[test]
fn a_status_of_two_probes_ago_is_no_floor() {
    let mut cluster = Cluster::open();
    let writer = cluster.caller("session");
    served_by(&cluster.send_and_wait(writer, write()));
    cluster.repeat_answer("a", is_statement);
    assert_eq!(cluster.engine.counters().repeated_answers, 1);
    let reader = cluster.caller("aged");
    served_by(&cluster.send_and_wait(reader, read()));
    cluster.advance(1_300);
    let old = cluster.servers["b"].received;
    let newer = Position::new(1, old.index.get() + 1);
    let has_answered = |cluster: &Cluster, position: Position| {
        let is_answer = |given: &GivenAnswer| {
            let status = given.status.as_ref();
            is_status(given) && status.is_some_and(|status| status.received == position)
        };
        cluster.given_answers.iter().any(is_answer)
    };
    assert!(has_answered(&cluster, old));
    // Another process has a commit acknowledged, which `c` doesn't receive.
    cluster.server("a").received = newer;
    cluster.server("b").received = newer;
    let acknowledged_at = cluster.now;
    cluster.advance(20);
    cluster.server("a").probe_work = Duration::from_secs(5);
    let latest = cluster.caller("latest");
    cluster.send(latest, read());
    while !has_answered(&cluster, newer) {
        cluster.advance(5);
    }
    cluster.server("b").probe_work = Duration::from_secs(5);
    cluster.advance(70);
    let answered = cluster.given_answers.iter().rev();
    let mut of_b = answered.filter(|given| &*given.server == "b" && given.status.is_some());
    let connection = of_b.next().unwrap().connection;
    cluster.repeat_answer("b", |given| {
        let status = given.status.as_ref();
        given.connection == connection && status.is_some_and(|status| status.received == old)
    });
    cluster.advance(100);
    let end = acknowledged_at + Duration::from_millis(1_510);
    cluster.advance((end - cluster.now).as_millis() as u64);
    cluster.server("b").commands.clear();
    cluster.server("c").commands.clear();
    cluster.send(reader, read());
    for name in ["b", "c"] {
        for command in &cluster.servers[name].commands {
            let Command::Run { floor, .. } = command else {
                continue;
            };
            assert!(*floor >= Some(newer), "{name} read from {floor:?} on");
        }
    }
}

/// Guards against lost commits: while targets repeat answers, a refusal closes the last connection to a
/// replica, which restarts without its fence before the next one is opened.
#[test]
fn a_replica_that_restarts_while_its_connection_is_closed_does_not_count() {
    let mut cluster = Cluster::open();
    let writer = cluster.caller("session");
    served_by(&cluster.send_and_wait(writer, write()));
    cluster.repeat_answer("a", is_statement);
    assert_eq!(cluster.engine.counters().repeated_answers, 1);
    cluster.advance(300);
    // Another proxy, which can't reach the primary, promotes `c`.
    for name in ["b", "c"] {
        cluster.server(name).fenced_term = 2;
    }
    for name in ["b", "c"] {
        cluster.server(name).fails_with = vec![Failure::Busy];
        // The next connection is opened only after the restart.
        cluster.server(name).accepts = 0;
    }
    let reader = cluster.caller("aged");
    served_by(&cluster.send_and_wait(reader, read()));
    cluster.advance(200);
    let restarted = if cluster.connection_count("b") == 0 {
        "b"
    } else {
        "c"
    };
    let promoted = if restarted == "b" { "c" } else { "b" };
    assert_eq!(cluster.connection_count(restarted), 0);
    cluster.server(restarted).fenced_term = 0;
    for name in ["b", "c"] {
        cluster.server(name).accepts = usize::MAX;
    }
    cluster.answers.clear();
    cluster.send(writer, write());
    cluster.advance(300);
    assert!(cluster.servers[promoted].received < cluster.servers["a"].received);
    assert_eq!(
        answer_to(&cluster, writer).map(|answer| answer.failure()),
        None,
        "a commit was acknowledged that the promoted server lacks"
    );
}
