//! Broken and silent connections, lost answers, and primaries that are replaced.

use crate::support::Path;
use crate::support::ask;
use crate::support::code;
use crate::support::target::Fault;
use endivereach_core::ids::Position;
use endivereachd::groups::Confirmation;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

const BOOK: &str = "INSERT INTO bookings (id, slot) VALUES ('b1', 's1')";
const PAY: &str = "INSERT INTO payments (id, slot) VALUES ('b1', 's1')";

#[test]
fn a_commit_whose_answer_is_lost_is_answered_as_done() {
    let path = Path::new();
    let mut client = path.connect();
    path.primary.behave().fault = Some(Fault::BreakAfterCommit);
    let done = client.simple_query(BOOK).unwrap();
    assert!(matches!(
        done[..],
        [postgres::SimpleQueryMessage::CommandComplete(1)]
    ));
    assert_eq!(path.stored("bookings", "b1").as_deref(), Some("s1"));
    assert_eq!(path.callers.counters().outcomes_done.get(), 1);
}

#[test]
fn a_held_booking_whose_commit_never_ran_is_run_again() {
    let path = Path::new();
    let mut client = path.connect();
    path.primary.behave().fault = Some(Fault::BreakBeforeCommit);
    client.batch_execute(BOOK).unwrap();
    assert_eq!(path.stored("bookings", "b1").as_deref(), Some("s1"));
    assert_eq!(path.callers.counters().requests_replayed.get(), 1);
}

#[test]
fn a_write_that_is_not_held_is_answered_as_not_run() {
    let path = Path::new();
    let mut client = path.connect();
    path.primary.behave().fault = Some(Fault::BreakBeforeCommit);
    let asked = Instant::now();
    let error = client.batch_execute(PAY).unwrap_err();
    assert_eq!(code(&error), "EV001");
    let hint = error.as_db_error().unwrap().hint().unwrap();
    assert!(hint.contains("Send it again in"), "{hint}");
    // The answer is not kept back until the deadline of 8 s.
    assert!(asked.elapsed() < Duration::from_secs(7));
    assert_eq!(path.stored("payments", "b1"), None);
    client.batch_execute(PAY).unwrap();
}

#[test]
fn an_update_whose_answer_is_lost_gets_its_first_answer() {
    let path = Path::new();
    let mut client = path.connect();
    client.batch_execute(BOOK).unwrap();
    path.primary.behave().fault = Some(Fault::BreakAfterCommit);
    let update = "UPDATE bookings SET slot = 's2' WHERE id = 'b1'";
    let done = client.simple_query(update).unwrap();
    assert!(matches!(
        done[..],
        [postgres::SimpleQueryMessage::CommandComplete(1)]
    ));
}

#[test]
fn a_repeat_with_the_same_id_gets_the_first_outcome() {
    let path = Path::new();
    let update = "UPDATE bookings SET slot = 's2' WHERE id = 'b1' RETURNING slot";
    let mut first = path.connect();
    first.batch_execute(BOOK).unwrap();
    first
        .batch_execute("SET endivereach.request_id = 'r1'")
        .unwrap();
    assert_eq!(ask(&mut first, update).as_deref(), Some("s2"));
    first
        .batch_execute("UPDATE bookings SET slot = 's3' WHERE id = 'b1'")
        .unwrap();
    let mut second = path.connect();
    second
        .batch_execute("SET endivereach.request_id = 'r1'")
        .unwrap();
    let row = second.query_one(update, &[]).unwrap();
    assert_eq!(row.get::<_, String>(0), "s2");
    assert_eq!(path.stored("bookings", "b1").as_deref(), Some("s3"));
}

#[test]
fn a_repeat_of_a_booking_is_done_and_not_refused_as_duplicate() {
    let path = Path::new();
    for _ in 0..2 {
        let mut client = path.connect();
        client
            .batch_execute("SET endivereach.request_id = 'r1'")
            .unwrap();
        client.batch_execute(BOOK).unwrap();
    }
    assert_eq!(path.stored("bookings", "b1").as_deref(), Some("s1"));
}

#[test]
fn a_commit_that_was_replaced_is_looked_for_on_the_new_primary() {
    let path = Path::new();
    let mut client = path.connect();
    path.group
        .confirmations
        .lock()
        .unwrap()
        .push_back(Confirmation::Replaced);
    client.batch_execute(BOOK).unwrap();
    assert_eq!(path.callers.counters().commits_replaced.get(), 1);
    assert_eq!(path.callers.counters().outcomes_done.get(), 1);
}

#[test]
fn a_commit_that_is_not_confirmed_in_time_is_unknown() {
    let path = Path::new();
    let mut client = path.connect();
    path.group
        .confirmations
        .lock()
        .unwrap()
        .push_back(Confirmation::TimedOut);
    let error = client.batch_execute(BOOK).unwrap_err();
    assert_eq!(code(&error), "EV002");
}

#[test]
fn a_lost_commit_of_a_transaction_is_answered_as_done() {
    let path = Path::new();
    let mut client = path.connect();
    client.batch_execute("BEGIN").unwrap();
    client.batch_execute(BOOK).unwrap();
    path.primary.behave().fault = Some(Fault::BreakAfterCommit);
    client.batch_execute("COMMIT").unwrap();
    assert_eq!(path.stored("bookings", "b1").as_deref(), Some("s1"));
}

#[test]
fn a_transaction_lost_before_its_commit_runs_nothing_more() {
    let path = Path::new();
    let mut client = path.connect();
    client.batch_execute("BEGIN").unwrap();
    client.batch_execute(BOOK).unwrap();
    path.primary.behave().fault = Some(Fault::BreakAtStatement);
    let error = client.batch_execute(PAY).unwrap_err();
    assert_eq!(code(&error), "EV001");
    let error = client.batch_execute(PAY).unwrap_err();
    assert_eq!(code(&error), "25P02");
    client.batch_execute("ROLLBACK").unwrap();
    assert_eq!(path.stored("bookings", "b1"), None);
    assert_eq!(path.stored("payments", "b1"), None);
    client.batch_execute(BOOK).unwrap();
}

#[test]
fn a_commit_of_a_transaction_that_never_ran_is_not_run() {
    let path = Path::new();
    let mut client = path.connect();
    client.batch_execute("BEGIN").unwrap();
    client.batch_execute(BOOK).unwrap();
    path.primary.behave().fault = Some(Fault::BreakBeforeCommit);
    let error = client.batch_execute("COMMIT").unwrap_err();
    assert_eq!(code(&error), "EV001");
    assert_eq!(path.stored("bookings", "b1"), None);
    client.batch_execute(BOOK).unwrap();
}

#[test]
fn a_read_is_sent_elsewhere_when_its_connection_breaks() {
    let path = Path::new();
    let mut client = path.connect();
    client.batch_execute(BOOK).unwrap();
    let read = "SELECT slot FROM bookings WHERE id = 'b1'";
    path.replica.behave().fault = Some(Fault::BreakAtStatement);
    assert_eq!(ask(&mut client, read).as_deref(), Some("s1"));
    assert_eq!(path.callers.counters().reads_retried.get(), 1);
}

#[test]
fn a_silent_connection_is_given_up_and_the_read_answered() {
    let path = Path::new();
    let mut client = path.connect();
    client.batch_execute(BOOK).unwrap();
    path.replica.behave().fault = Some(Fault::GoSilent);
    let read = "SELECT slot FROM bookings WHERE id = 'b1'";
    assert_eq!(ask(&mut client, read).as_deref(), Some("s1"));
    assert_eq!(path.callers.counters().connections_silent.get(), 1);
}

#[test]
fn a_replica_that_is_behind_is_never_believed() {
    let path = Path::new();
    let mut client = path.connect();
    // The view takes the replica to be up to date; only its own answers tell otherwise.
    path.replica.behave().held_at = Some(0);
    client.batch_execute(BOOK).unwrap();
    let read = "SELECT slot FROM bookings WHERE id = 'b1'";
    assert_eq!(ask(&mut client, read).as_deref(), Some("s1"));
    assert!(path.callers.counters().reads_discarded.get() > 0);
}

#[test]
fn a_view_of_a_stated_age_is_served_by_a_replica_that_is_behind() {
    let path = Path::new();
    let mut writer = path.connect();
    writer
        .batch_execute("INSERT INTO views (id, slot) VALUES ('v1', 's1')")
        .unwrap();
    *path.group.age_floor.lock().unwrap() = Some(Position::new(1, 0));
    path.replica.behave().held_at = Some(0);
    let mut reader = path.connect();
    let read = "SELECT slot FROM views WHERE id = 'v1'";
    assert_eq!(ask(&mut reader, read), None);
    // The writer's own view includes what it wrote.
    assert_eq!(ask(&mut writer, read).as_deref(), Some("s1"));
}

#[test]
fn a_cancelled_slot_never_shows_as_free() {
    let path = Path::new();
    let mut reader = path.connect();
    let read = "SELECT slot FROM slots WHERE id = 'x'";
    assert_eq!(ask(&mut reader, read), None);
    path.replica.behave().held_at = Some(0);
    let mut desk = path.connect();
    desk.batch_execute("INSERT INTO slots (id, slot) VALUES ('x', 'cancelled')")
        .unwrap();
    assert_eq!(ask(&mut reader, read).as_deref(), Some("cancelled"));
}

#[test]
fn a_token_gives_a_roaming_session_its_writes() {
    let path = Path::new();
    path.replica.behave().held_at = Some(0);
    let mut first = path.connect();
    first.batch_execute(BOOK).unwrap();
    let position = path.group.data.lock().unwrap().position();
    // Without a floor only the token can tell what the session has seen.
    *path.group.has_floor.lock().unwrap() = false;
    let mut second = path
        .connect_with(&format!("options='-c endivereach.position={position}'"))
        .unwrap();
    let read = "SELECT slot FROM bookings WHERE id = 'b1'";
    assert_eq!(ask(&mut second, read).as_deref(), Some("s1"));
}

#[test]
fn a_read_whose_position_cannot_be_learnt_is_not_run() {
    let path = Path::new();
    *path.group.has_floor.lock().unwrap() = false;
    let mut client = path
        .connect_with("options='-c endivereach.session=desk'")
        .unwrap();
    let read = "SELECT slot FROM bookings WHERE id = 'b1'";
    let error = client.simple_query(read).unwrap_err();
    assert_eq!(code(&error), "EV001");
}

#[test]
fn a_leaving_replica_gets_no_reads() {
    let path = Path::new();
    let mut client = path.connect();
    path.change_view(|view| view.members[1].member.leaving = true);
    assert!(ask(&mut client, "SELECT pid").is_some());
    assert_eq!(Path::seen(&path.replica, "SELECT pid"), 0);
}

#[test]
fn a_held_write_waits_for_a_primary_and_another_is_answered_at_once() {
    let path = Path::new();
    path.change_view(|view| view.primary = None);
    let mut client = path.connect();
    let error = client.batch_execute(PAY).unwrap_err();
    assert_eq!(code(&error), "EV001");
    std::thread::scope(|scope| {
        let held = scope.spawn(|| path.connect().batch_execute(BOOK));
        std::thread::sleep(Duration::from_millis(50));
        path.change_view(|view| view.primary = Some("m1".into()));
        held.join().unwrap().unwrap();
    });
    assert_eq!(path.stored("bookings", "b1").as_deref(), Some("s1"));
}

#[test]
fn a_share_that_is_raised_serves_those_who_wait() {
    let path = Path::new();
    let mut client = path.connect();
    path.share_cap.store(0, Ordering::SeqCst);
    let answer = std::thread::scope(|scope| {
        let asking = scope.spawn(|| ask(&mut client, "SELECT sleep 1").is_some());
        // Raised after the request began to wait, or before: it is served in both cases.
        std::thread::sleep(Duration::from_millis(100));
        path.share_cap.store(1, Ordering::SeqCst);
        asking.join()
    });
    assert!(answer.unwrap(), "the request waited for its deadline");
}

#[test]
fn the_connection_limit_is_never_passed() {
    let path = Path::new();
    std::thread::scope(|scope| {
        for _ in 0..24 {
            scope.spawn(|| {
                let mut client = path.connect();
                for _ in 0..10 {
                    assert!(ask(&mut client, "SELECT sleep 1").is_some());
                }
            });
        }
    });
    // Eight connections a server, of which one is left to operators.
    let open = path
        .replica
        .connections
        .load(std::sync::atomic::Ordering::SeqCst);
    assert!(open <= 7, "{open} connections");
    let started = path.callers.counters().requests_started.get();
    assert_eq!(started, 240);
}

#[test]
fn a_statement_that_the_proxy_refuses_fails_its_transaction() {
    let path = Path::new();
    let mut client = path.connect();
    client.batch_execute("BEGIN").unwrap();
    client.batch_execute(BOOK).unwrap();
    let error = client.batch_execute("LISTEN slots").unwrap_err();
    assert_eq!(code(&error), "EV003");
    let error = client.batch_execute(PAY).unwrap_err();
    assert_eq!(code(&error), "25P02");
    client.batch_execute("COMMIT").unwrap();
    assert_eq!(path.stored("bookings", "b1"), None);
    client.batch_execute(PAY).unwrap();
    assert_eq!(path.stored("payments", "b1").as_deref(), Some("s1"));
}

#[test]
fn a_transaction_on_a_former_primary_is_answered_as_not_run() {
    let path = Path::new();
    let mut client = path.connect();
    client.batch_execute("BEGIN").unwrap();
    client.batch_execute(BOOK).unwrap();
    path.primary.behave().is_replica = true;
    let error = client.batch_execute(PAY).unwrap_err();
    assert_eq!(code(&error), "EV001");
    path.primary.behave().is_replica = false;
    client.batch_execute("ROLLBACK").unwrap();
    assert_eq!(path.stored("bookings", "b1"), None);
    client.batch_execute(BOOK).unwrap();
}

#[test]
fn a_write_in_a_transaction_declared_read_only_keeps_its_own_error() {
    let path = Path::new();
    let mut client = path.connect();
    client.batch_execute("BEGIN READ ONLY").unwrap();
    path.primary.behave().is_replica = true;
    let error = client.batch_execute(BOOK).unwrap_err();
    assert_eq!(code(&error), "25006");
}
