//! Which statements and sessions a stopping process takes, and when it exits.

use endivereach_core::cases;
use endivereach_core::drain::Admission;
use endivereach_core::drain::Drain;
use endivereach_core::engine::statement::Access;
use endivereach_core::engine::statement::Body;
use endivereach_core::engine::statement::SessionState;
use std::time::Duration;
use std::time::Instant;

const IDLE: SessionState = SessionState::Idle;
const OPEN: SessionState = SessionState::InTransaction;
const FAILED: SessionState = SessionState::Failed;

fn begin() -> Body {
    Body::Begin { read_only: false }
}

fn write() -> Body {
    Body::Run {
        access: Access::Write,
        text: "WRITE 1 x".into(),
    }
}

fn set() -> Body {
    Body::Set {
        name: "unit".into(),
        value: "tonne".into(),
    }
}

fn check_admission(after_ms: u64, state: SessionState, body: Body, expected: Admission) {
    let began_at = Instant::now();
    let now = began_at + Duration::from_millis(after_ms);
    assert_eq!(Drain::new(began_at).admission(now, state, &body), expected);
}

cases! {
    check_admission;
    operation_while_callers_still_arrive: 2_200, IDLE, begin(), Admission::Serve;
    transaction_that_begins_late: 2_400, IDLE, begin(), Admission::Refuse;
    write_that_arrives_late: 2_400, IDLE, write(), Admission::Refuse;
    session_value: 4_000, IDLE, set(), Admission::Serve;
    open_transaction: 2_400, OPEN, write(), Admission::Serve;
    open_transaction_that_goes_on: 3_000, OPEN, write(), Admission::Abort;
    commit: 3_000, OPEN, Body::Commit, Admission::Serve;
    rollback: 3_000, OPEN, Body::Rollback, Admission::Serve;
    aborted_transaction: 3_000, FAILED, write(), Admission::Abort;
    end_of_an_aborted_transaction: 3_000, FAILED, Body::Commit, Admission::Serve;
}

#[test]
fn sessions_that_are_relayed_are_refused_at_once_and_others_later() {
    let began_at = Instant::now();
    let drain = Drain::new(began_at);
    assert!(!drain.admits_session(began_at, true));
    assert!(drain.admits_session(began_at, false));
    assert!(!drain.admits_session(began_at + Duration::from_millis(2_400), false));
}

#[test]
fn the_process_exits_early_only_without_callers() {
    let began_at = Instant::now();
    let drain = Drain::new(began_at);
    let grace = Duration::from_secs(6);
    let at = |millis| began_at + Duration::from_millis(millis);
    assert!(!drain.is_over(at(2_900), grace, false));
    assert!(drain.is_over(at(3_000), grace, false));
    assert!(!drain.ends_all_sessions(at(5_000), grace));
    assert!(drain.ends_all_sessions(at(5_100), grace));
    assert!(!drain.is_over(at(5_600), grace, true));
    assert!(drain.is_over(at(5_700), grace, true));
}
