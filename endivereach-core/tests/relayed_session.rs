//! Tests of forwarded sessions: buffering before the home accepts, and the answer after its loss.

use endivereach_core::cases;
use endivereach_core::directory::Vm;
use endivereach_core::engine::statement::Access;
use endivereach_core::engine::statement::Body;
use endivereach_core::engine::statement::Failure;
use endivereach_core::engine::statement::PreparedStatement;
use endivereach_core::engine::statement::SessionState;
use endivereach_core::homes::nearest;
use endivereach_core::relayed_session::RelayedSession;
use endivereach_core::relayed_session::UnsentMessages;

fn run(access: Access) -> Body {
    Body::Run {
        access,
        text: "1".into(),
    }
}

fn prepare(access: Access) -> Body {
    Body::Prepare {
        name: "s".into(),
        definition: PreparedStatement {
            access,
            text: "q".into(),
        },
    }
}

fn execute() -> Body {
    Body::Execute {
        name: "s".into(),
        arguments: "1".into(),
    }
}

fn begin() -> Body {
    Body::Begin { read_only: false }
}

/// Checks the answer when the home is lost after `statements` were answered and `last` was not.
fn check_answer_after_loss(statements: Vec<(Body, SessionState)>, last: Body, expected: Failure) {
    let mut session = RelayedSession::default();
    for (body, state) in statements {
        session.note_statement(&body);
        session.note_ready(state);
    }
    session.note_statement(&last);
    assert!(!session.is_idle());
    let answer = session.answer_after_loss().unwrap();
    assert_eq!(answer.failure(), Some(&expected));
    assert_eq!(answer.state, SessionState::Idle);
}

const OPEN: SessionState = SessionState::InTransaction;
const IDLE: SessionState = SessionState::Idle;

cases! {
    check_answer_after_loss;
    read: vec![], run(Access::Read), Failure::Aborted;
    write: vec![], run(Access::Write), Failure::InDoubt;
    write_in_transaction: vec![(begin(), OPEN)], run(Access::Write), Failure::Aborted;
    commit: vec![(begin(), OPEN)], Body::Commit, Failure::InDoubt;
    rollback: vec![(begin(), OPEN)], Body::Rollback, Failure::Aborted;
    write_after_transaction: vec![(begin(), OPEN), (Body::Rollback, IDLE)], run(Access::Write), Failure::InDoubt;
    prepared_read: vec![(prepare(Access::Read), IDLE)], execute(), Failure::Aborted;
    prepared_write: vec![(prepare(Access::Write), IDLE)], execute(), Failure::InDoubt;
    unknown_name: vec![], execute(), Failure::InDoubt;
}

/// Guards against a caller that is told that nothing is kept although a commit was passed on: the
/// home is lost while several statements of a session are unanswered.
fn check_pipelined_answer_after_loss(statements: Vec<Body>, expected: Failure) {
    let mut session = RelayedSession::default();
    for body in &statements {
        session.note_statement(body);
    }
    let answer = session.answer_after_loss().unwrap();
    assert_eq!(answer.failure(), Some(&expected));
}

cases! {
    check_pipelined_answer_after_loss;
    transaction_with_commit: vec![begin(), run(Access::Write), Body::Commit], Failure::InDoubt;
    transaction_without_commit: vec![begin(), run(Access::Write)], Failure::Aborted;
    write_behind_a_read: vec![run(Access::Read), run(Access::Write)], Failure::InDoubt;
    write_behind_a_rollback: vec![begin(), Body::Rollback, run(Access::Write)], Failure::InDoubt;
}

#[test]
fn an_idle_session_gets_no_answer_after_loss() {
    let mut session = RelayedSession::default();
    session.note_statement(&run(Access::Write));
    session.note_ready(IDLE);
    assert!(session.is_idle());
    assert!(session.answer_after_loss().is_none());
}

#[test]
fn an_open_transaction_is_not_idle() {
    let mut session = RelayedSession::default();
    session.note_statement(&begin());
    session.note_ready(OPEN);
    assert!(!session.is_idle());
    assert!(!session.is_awaiting_answer());
}

fn vm(name: &str, zone: &str) -> Vm {
    Vm {
        name: name.into(),
        region: "north".into(),
        zone: zone.into(),
        peer_addr: "127.0.0.1:1".parse().unwrap(),
        sql_addr: "127.0.0.1:2".parse().unwrap(),
        leaving: false,
    }
}

#[test]
fn sessions_are_spread_over_the_homes_of_the_own_zone() {
    let vms = [
        vm("e1", "koege"),
        vm("e2", "roskilde"),
        vm("e3", "roskilde"),
    ];
    let homes: Vec<&Vm> = vms.iter().collect();
    let zone = "roskilde".into();
    let chosen: Vec<&str> = (0..4)
        .map(|round_robin| {
            nearest(&homes, &zone, round_robin, |_| false)
                .unwrap()
                .name
                .as_str()
        })
        .collect();
    assert_eq!(chosen, ["e2", "e3", "e2", "e3"]);
}

#[test]
fn nearest_is_none_without_an_answering_home() {
    let vms = [vm("e1", "koege")];
    let homes: Vec<&Vm> = vms.iter().collect();
    assert!(nearest(&homes, &"koege".into(), 0, |_| true).is_none());
    assert!(nearest(&[], &"koege".into(), 0, |_| false).is_none());
}

/// A home may accept a session after it was forwarded to another home. A statement sent to both
/// would run twice.
#[test]
fn no_statement_is_sent_before_a_home_accepts() {
    let mut unsent = UnsentMessages::default();
    assert!(unsent.send_or_buffer(b"write 1;").is_empty());
    assert!(unsent.send_or_buffer(b"write 2;").is_empty());
    assert_eq!(
        unsent.messages(),
        b"write 1;write 2;",
        "kept for the next home"
    );
    assert_eq!(unsent.accept(), b"write 1;write 2;");
    assert!(unsent.messages().is_empty());
    assert_eq!(unsent.send_or_buffer(b"write 3;"), b"write 3;");
}
