//! Answers that a server sends a second time, when their connection serves another statement.

use crate::cluster::Cluster;
use crate::cluster::begin;
use crate::cluster::read;
use crate::cluster::served_by;
use crate::cluster::write;
use crate::repetition::answer_to;
use crate::repetition::cluster_with_one_connection;
use crate::repetition::is_busy_statement;
use crate::repetition::is_statement;
use crate::repetition::refuse_one_write;
use endivereach_core::cases;
use endivereach_core::engine::statement::Answer;
use endivereach_core::engine::statement::Body;
use endivereach_core::engine::statement::CallerId;
use endivereach_core::engine::statement::Command;
use endivereach_core::engine::statement::Failure;
use endivereach_core::engine::statement::Outcome;
use std::time::Duration;

/// Sends a statement that the primary runs for 100 ms. The route sends reads to the primary, too.
fn send_slow(cluster: &mut Cluster, body: Body) -> CallerId {
    cluster.server("a").work = Duration::from_millis(100);
    let caller = cluster.caller("latest");
    cluster.answers.clear();
    cluster.send(caller, body);
    caller
}

fn receipt(answer: &Answer) -> Option<&str> {
    match &answer.outcome {
        Outcome::Done { receipt } => receipt.as_deref(),
        Outcome::Failed { .. } => None,
    }
}

/// Guards against answers of other statements: a success is repeated while the next statement runs
/// on its connection.
fn check_repeated_success(body: Body) {
    let mut cluster = cluster_with_one_connection();
    let caller = send_slow(&mut cluster, body);
    cluster.repeat_answer("a", is_statement);
    assert_eq!(answer_to(&cluster, caller), None, "the answer of another");
    cluster.advance(200);
    let answer = answer_to(&cluster, caller).expect("no answer");
    let own = cluster
        .given_answers
        .iter()
        .rfind(|given| is_statement(given));
    assert_eq!(receipt(answer), receipt(&own.unwrap().answer));
    assert_eq!(cluster.engine.counters().repeated_answers, 1);
}

cases! {
    check_repeated_success;
    a_repeated_success_is_not_the_answer_to_the_next_write: write();
    a_repeated_success_is_not_the_answer_to_the_next_read: read();
}

/// Guards against connections that stay one answer behind: each of several answers is repeated while
/// the next statement runs.
#[test]
fn a_connection_does_not_stay_one_answer_behind() {
    let mut cluster = cluster_with_one_connection();
    for _ in 0..5 {
        let caller = send_slow(&mut cluster, write());
        cluster.repeat_answer("a", is_statement);
        cluster.advance(200);
        let answer = answer_to(&cluster, caller).expect("no answer");
        let own = cluster
            .given_answers
            .iter()
            .rfind(|given| is_statement(given));
        assert_eq!(receipt(answer), receipt(&own.unwrap().answer));
    }
}

/// Guards against writes that run twice, or that run although their caller was told that they
/// didn't: a refusal is repeated while another write runs on its connection.
#[test]
fn a_repeated_refusal_is_not_the_answer_to_the_next_write() {
    let mut cluster = cluster_with_one_connection();
    refuse_one_write(&mut cluster);
    let caller = send_slow(&mut cluster, write());
    let executed = cluster.executed.len();
    cluster.repeat_answer("a", is_busy_statement);
    cluster.advance(700);
    assert_eq!(cluster.executed.len(), executed + 1, "the write ran again");
    let answer = answer_to(&cluster, caller).expect("no answer");
    assert!(
        !answer.failure().is_some_and(Failure::is_not_run),
        "the write ran, but its caller was told {answer:?}"
    );
}

/// Guards against the same on a commit.
#[test]
fn a_repeated_refusal_is_not_the_answer_to_a_commit() {
    let mut cluster = cluster_with_one_connection();
    refuse_one_write(&mut cluster);
    let caller = cluster.caller("session");
    cluster.send_and_wait(caller, begin());
    cluster.send_and_wait(caller, write());
    cluster.answers.clear();
    cluster.server("a").delay = Duration::from_millis(100);
    cluster.send(caller, Body::Commit);
    cluster.repeat_answer("a", is_busy_statement);
    cluster.advance(400);
    let answer = answer_to(&cluster, caller).expect("no answer");
    assert!(
        !answer.failure().is_some_and(Failure::is_not_run),
        "the commit ran, but its caller was told {answer:?}"
    );
}

/// Guards against statements that run twice in a transaction.
#[test]
fn a_repeated_refusal_does_not_run_a_write_of_a_transaction_again() {
    let mut cluster = cluster_with_one_connection();
    refuse_one_write(&mut cluster);
    let caller = cluster.caller("session");
    cluster.send_and_wait(caller, begin());
    cluster.send_and_wait(caller, write());
    let executed = cluster.executed.len();
    cluster.server("a").work = Duration::from_millis(100);
    cluster.answers.clear();
    cluster.send(caller, write());
    cluster.repeat_answer("a", is_busy_statement);
    cluster.advance(400);
    assert!(cluster.executed.len() <= executed + 1, "ran again");
}

/// Guards against reads of another caller: the refusal of a read that is overdue is repeated, and the
/// read's own answer arrives when the connection serves the next caller.
#[test]
fn a_connection_is_not_used_again_after_a_repeated_refusal_of_a_read() {
    let mut cluster = cluster_with_one_connection();
    refuse_one_write(&mut cluster);
    cluster.server("a").work = Duration::from_millis(100);
    let reader = cluster.caller("latest");
    cluster.answers.clear();
    cluster.send(reader, read());
    let connection =
        cluster.unanswered_connection("a", |command| matches!(command, Command::Run { .. }));
    cluster.repeat_answer("a", is_busy_statement);
    let writer = cluster.caller("session");
    cluster.send(writer, write());
    cluster.advance(700);
    for (caller, _) in &cluster.answers {
        let answer = answer_to(&cluster, *caller).unwrap();
        let Some(own) = receipt(answer) else { continue };
        let given = cluster.given_answers.iter();
        let matching = given
            .filter(|given| receipt(&given.answer) == Some(own))
            .count();
        assert_eq!(matching, 1);
        let ran = cluster
            .given_answers
            .iter()
            .find(|given| receipt(&given.answer) == Some(own));
        let is_read =
            matches!(&ran.unwrap().command, Command::Run { text, .. } if text.starts_with("READ"));
        assert_eq!(
            is_read,
            *caller == reader,
            "{connection}: the answer of another"
        );
    }
}

/// A connection on which a refusal has been answered still refuses truly: the statement waits for the
/// answer to one more command, and runs.
#[test]
fn a_second_true_refusal_is_believed() {
    let mut cluster = cluster_with_one_connection();
    refuse_one_write(&mut cluster);
    let executed = cluster.executed.len();
    refuse_one_write(&mut cluster);
    refuse_one_write(&mut cluster);
    assert_eq!(cluster.executed.len(), executed + 2);
    assert_eq!(cluster.connection_count("a"), 1);
}

/// Guards against reads of old data: a row that repeats an earlier probe isn't evidence of the time
/// of the probe that it is matched to, once a server has repeated an answer.
#[test]
fn a_repeated_status_does_not_prove_a_read() {
    let mut cluster = Cluster::open();
    let writer = cluster.caller("session");
    served_by(&cluster.send_and_wait(writer, write()));
    let reader = cluster.caller("latest");
    served_by(&cluster.send_and_wait(reader, read()));
    // Nothing is outstanding, so the repetition is recognized.
    cluster.repeat_answer("a", is_statement);
    cluster.advance(300);
    served_by(&cluster.send_and_wait(reader, read()));
    cluster.advance(300);
    for name in ["a", "b", "c"] {
        cluster.server(name).probe_work = Duration::from_millis(400);
    }
    cluster.answers.clear();
    cluster.send(reader, read());
    for name in ["a", "b", "c"] {
        if cluster.servers[name].commands.last() == Some(&Command::Status) {
            cluster.repeat_answer(name, |given| given.command == Command::Status);
        }
    }
    assert_eq!(answer_to(&cluster, reader), None, "proved by old rows");
}

/// Guards against promises that rest on a repetition: once a server has repeated an answer, a
/// connection is closed after its first failure, so that the next failure on another is no repetition.
#[test]
fn a_connection_that_refused_is_replaced_once_answers_are_repeated() {
    let mut cluster = cluster_with_one_connection();
    send_slow(&mut cluster, write());
    cluster.repeat_answer("a", is_statement);
    cluster.advance(200);
    cluster.server("a").work = Duration::ZERO;
    let opened = cluster.engine.counters().connections_opened;
    refuse_one_write(&mut cluster);
    assert_eq!(cluster.engine.counters().connections_opened, opened + 1);
    assert_eq!(cluster.engine.counters().unproved_answers, 0);
}

/// Guards against promises that rest on a repetition: an answer without a receipt that comes while
/// none is expected is a repetition, too, after which others are expected.
#[test]
fn an_answer_to_nothing_is_a_repetition() {
    let mut cluster = cluster_with_one_connection();
    refuse_one_write(&mut cluster);
    cluster.repeat_answer("a", is_busy_statement);
    assert_eq!(cluster.engine.counters().repeated_answers, 1);
    cluster.advance(1_000);
    refuse_one_write(&mut cluster);
    let refused = cluster
        .given_answers
        .iter()
        .rfind(|given| is_busy_statement(given));
    let ran = cluster.executed.last().unwrap();
    assert_ne!(refused.unwrap().connection, ran.connection);
}

/// Guards against writes that run twice: while the reset behind a repeated refusal is unanswered, the
/// row of an earlier probe is repeated.
#[test]
fn a_repeated_status_is_not_the_answer_to_a_reset() {
    let mut cluster = cluster_with_one_connection();
    refuse_one_write(&mut cluster);
    let caller = send_slow(&mut cluster, write());
    cluster.repeat_answer("a", is_busy_statement);
    let sent = cluster.servers["a"].commands.len();
    assert_eq!(cluster.servers["a"].commands.last(), Some(&Command::Reset));
    cluster.repeat_answer("a", |given| given.command == Command::Status);
    cluster.advance(700);
    let sent = &cluster.servers["a"].commands[sent..];
    let is_run = |command: &Command| matches!(command, Command::Run { .. });
    assert!(!sent.iter().any(is_run), "the write was sent again");
    let answer = answer_to(&cluster, caller).expect("no answer");
    assert!(
        !answer.failure().is_some_and(Failure::is_not_run),
        "the write ran, but its caller was told {answer:?}"
    );
}

/// Guards against statements that run without their session's values: a second refusal in a
/// transaction must not lead to a reset on its connection.
#[test]
fn a_transaction_is_not_reset_after_a_second_refusal() {
    let mut cluster = cluster_with_one_connection();
    let caller = cluster.caller("session");
    let values = Body::Set {
        name: "zone".into(),
        value: "north".into(),
    };
    cluster.send_and_wait(caller, values);
    cluster.send_and_wait(caller, begin());
    served_by(&cluster.send_and_wait(caller, write()));
    let executed = cluster.executed.len();
    cluster.server("a").fails_with = vec![Failure::Busy];
    served_by(&cluster.send_and_wait(caller, write()));
    cluster.server("a").fails_with = vec![Failure::Busy];
    let answer = cluster.send_and_wait(caller, write());
    for statement in &cluster.executed[executed..] {
        let zone = statement.values.get("zone").map(|zone| &**zone);
        assert_eq!(zone, Some("north"), "ran without the session's value");
    }
    assert_eq!(answer.failure(), Some(&Failure::Aborted));
}
