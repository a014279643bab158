//! Tests broken and silent target connections, lost answers, lagging replicas and replaced
//! primaries.

use crate::support::TestProxy;
use crate::support::query_value;
use crate::support::sqlstate;
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
    let proxy = TestProxy::new();
    let mut client = proxy.connect();
    proxy.primary.lock_behaviour().fault = Some(Fault::BreakAfterCommit);
    let done = client.simple_query(BOOK).unwrap();
    assert!(matches!(
        done[..],
        [postgres::SimpleQueryMessage::CommandComplete(1)]
    ));
    assert_eq!(proxy.stored("bookings", "b1").as_deref(), Some("s1"));
    assert_eq!(proxy.caller_server.counters().outcomes_done.get(), 1);
}

#[test]
fn a_held_booking_whose_commit_never_ran_is_run_again() {
    let proxy = TestProxy::new();
    let mut client = proxy.connect();
    proxy.primary.lock_behaviour().fault = Some(Fault::BreakBeforeCommit);
    client.batch_execute(BOOK).unwrap();
    assert_eq!(proxy.stored("bookings", "b1").as_deref(), Some("s1"));
    assert_eq!(proxy.caller_server.counters().requests_replayed.get(), 1);
}

#[test]
fn a_write_that_is_not_held_is_answered_as_not_run() {
    let proxy = TestProxy::new();
    let mut client = proxy.connect();
    proxy.primary.lock_behaviour().fault = Some(Fault::BreakBeforeCommit);
    let sent_at = Instant::now();
    let error = client.batch_execute(PAY).unwrap_err();
    assert_eq!(sqlstate(&error), "EV001");
    let hint = error.as_db_error().unwrap().hint().unwrap();
    assert!(hint.contains("Send it again in"), "{hint}");
    // The error is returned before the request's deadline of 8 s.
    assert!(sent_at.elapsed() < Duration::from_secs(7));
    assert_eq!(proxy.stored("payments", "b1"), None);
    client.batch_execute(PAY).unwrap();
}

#[test]
fn an_update_whose_answer_is_lost_is_answered_as_done() {
    let proxy = TestProxy::new();
    let mut client = proxy.connect();
    client.batch_execute(BOOK).unwrap();
    proxy.primary.lock_behaviour().fault = Some(Fault::BreakAfterCommit);
    let update = "UPDATE bookings SET slot = 's2' WHERE id = 'b1'";
    let done = client.simple_query(update).unwrap();
    assert!(matches!(
        done[..],
        [postgres::SimpleQueryMessage::CommandComplete(1)]
    ));
}

#[test]
fn a_repeated_request_id_gets_the_first_outcome() {
    let proxy = TestProxy::new();
    let update = "UPDATE bookings SET slot = 's2' WHERE id = 'b1' RETURNING slot";
    let mut first = proxy.connect();
    first.batch_execute(BOOK).unwrap();
    first
        .batch_execute("SET endivereach.request_id = 'r1'")
        .unwrap();
    assert_eq!(query_value(&mut first, update).as_deref(), Some("s2"));
    first
        .batch_execute("UPDATE bookings SET slot = 's3' WHERE id = 'b1'")
        .unwrap();
    let mut second = proxy.connect();
    second
        .batch_execute("SET endivereach.request_id = 'r1'")
        .unwrap();
    let row = second.query_one(update, &[]).unwrap();
    assert_eq!(row.get::<_, String>(0), "s2");
    assert_eq!(proxy.stored("bookings", "b1").as_deref(), Some("s3"));
}

#[test]
fn a_repeated_insert_succeeds_instead_of_failing_as_a_duplicate() {
    let proxy = TestProxy::new();
    for _ in 0..2 {
        let mut client = proxy.connect();
        client
            .batch_execute("SET endivereach.request_id = 'r1'")
            .unwrap();
        client.batch_execute(BOOK).unwrap();
    }
    assert_eq!(proxy.stored("bookings", "b1").as_deref(), Some("s1"));
}

#[test]
fn a_replaced_commit_is_looked_up_on_the_new_primary() {
    let proxy = TestProxy::new();
    let mut client = proxy.connect();
    proxy
        .group
        .confirmations
        .lock()
        .unwrap()
        .push_back(Confirmation::Replaced);
    client.batch_execute(BOOK).unwrap();
    assert_eq!(proxy.caller_server.counters().commits_replaced.get(), 1);
    assert_eq!(proxy.caller_server.counters().outcomes_done.get(), 1);
}

#[test]
fn a_commit_that_is_not_confirmed_in_time_is_unknown() {
    let proxy = TestProxy::new();
    let mut client = proxy.connect();
    proxy
        .group
        .confirmations
        .lock()
        .unwrap()
        .push_back(Confirmation::TimedOut);
    let error = client.batch_execute(BOOK).unwrap_err();
    assert_eq!(sqlstate(&error), "EV002");
}

#[test]
fn a_transaction_whose_commit_answer_is_lost_is_answered_as_done() {
    let proxy = TestProxy::new();
    let mut client = proxy.connect();
    client.batch_execute("BEGIN").unwrap();
    client.batch_execute(BOOK).unwrap();
    proxy.primary.lock_behaviour().fault = Some(Fault::BreakAfterCommit);
    client.batch_execute("COMMIT").unwrap();
    assert_eq!(proxy.stored("bookings", "b1").as_deref(), Some("s1"));
}

#[test]
fn a_transaction_lost_before_its_commit_fails_until_rollback() {
    let proxy = TestProxy::new();
    let mut client = proxy.connect();
    client.batch_execute("BEGIN").unwrap();
    client.batch_execute(BOOK).unwrap();
    proxy.primary.lock_behaviour().fault = Some(Fault::BreakAtStatement);
    let error = client.batch_execute(PAY).unwrap_err();
    assert_eq!(sqlstate(&error), "EV001");
    let error = client.batch_execute(PAY).unwrap_err();
    assert_eq!(sqlstate(&error), "25P02");
    client.batch_execute("ROLLBACK").unwrap();
    assert_eq!(proxy.stored("bookings", "b1"), None);
    assert_eq!(proxy.stored("payments", "b1"), None);
    client.batch_execute(BOOK).unwrap();
}

#[test]
fn a_commit_that_never_ran_is_answered_as_not_run() {
    let proxy = TestProxy::new();
    let mut client = proxy.connect();
    client.batch_execute("BEGIN").unwrap();
    client.batch_execute(BOOK).unwrap();
    proxy.primary.lock_behaviour().fault = Some(Fault::BreakBeforeCommit);
    let error = client.batch_execute("COMMIT").unwrap_err();
    assert_eq!(sqlstate(&error), "EV001");
    assert_eq!(proxy.stored("bookings", "b1"), None);
    client.batch_execute(BOOK).unwrap();
}

#[test]
fn a_read_whose_connection_breaks_is_retried() {
    let proxy = TestProxy::new();
    let mut client = proxy.connect();
    client.batch_execute(BOOK).unwrap();
    let read = "SELECT slot FROM bookings WHERE id = 'b1'";
    proxy.replica.lock_behaviour().fault = Some(Fault::BreakAtStatement);
    assert_eq!(query_value(&mut client, read).as_deref(), Some("s1"));
    assert_eq!(proxy.caller_server.counters().reads_retried.get(), 1);
}

#[test]
fn a_read_on_a_silent_connection_is_retried() {
    let proxy = TestProxy::new();
    let mut client = proxy.connect();
    client.batch_execute(BOOK).unwrap();
    proxy.replica.lock_behaviour().fault = Some(Fault::HangAtStatement);
    let read = "SELECT slot FROM bookings WHERE id = 'b1'";
    assert_eq!(query_value(&mut client, read).as_deref(), Some("s1"));
    assert_eq!(proxy.caller_server.counters().connections_silent.get(), 1);
}

#[test]
fn an_answer_of_a_replica_behind_the_session_is_discarded() {
    let proxy = TestProxy::new();
    let mut client = proxy.connect();
    // The view reports the replica as up to date; only the positions in its answers show the lag.
    proxy.replica.lock_behaviour().frozen_index = Some(0);
    client.batch_execute(BOOK).unwrap();
    let read = "SELECT slot FROM bookings WHERE id = 'b1'";
    assert_eq!(query_value(&mut client, read).as_deref(), Some("s1"));
    assert!(proxy.caller_server.counters().reads_discarded.get() > 0);
}

#[test]
fn a_read_with_a_maximum_age_is_served_by_a_lagging_replica() {
    let proxy = TestProxy::new();
    let mut writer = proxy.connect();
    writer
        .batch_execute("INSERT INTO views (id, slot) VALUES ('v1', 's1')")
        .unwrap();
    *proxy.group.age_floor.lock().unwrap() = Some(Position::new(1, 0));
    proxy.replica.lock_behaviour().frozen_index = Some(0);
    let mut reader = proxy.connect();
    let read = "SELECT slot FROM views WHERE id = 'v1'";
    assert_eq!(query_value(&mut reader, read), None);
    // A session's own writes are visible even to reads that accept old data.
    assert_eq!(query_value(&mut writer, read).as_deref(), Some("s1"));
}

#[test]
fn a_cancelled_slot_never_shows_as_free() {
    let proxy = TestProxy::new();
    let mut reader = proxy.connect();
    let read = "SELECT slot FROM slots WHERE id = 'x'";
    assert_eq!(query_value(&mut reader, read), None);
    proxy.replica.lock_behaviour().frozen_index = Some(0);
    let mut canceller = proxy.connect();
    canceller
        .batch_execute("INSERT INTO slots (id, slot) VALUES ('x', 'cancelled')")
        .unwrap();
    assert_eq!(query_value(&mut reader, read).as_deref(), Some("cancelled"));
}

#[test]
fn a_position_token_shows_a_new_session_its_earlier_writes() {
    let proxy = TestProxy::new();
    proxy.replica.lock_behaviour().frozen_index = Some(0);
    let mut first = proxy.connect();
    first.batch_execute(BOOK).unwrap();
    let position = proxy.group.data.lock().unwrap().position();
    // Without a read floor, only the token shows which position the session has seen.
    *proxy.group.has_read_floor.lock().unwrap() = false;
    let mut second = proxy
        .connect_with(&format!("options='-c endivereach.position={position}'"))
        .unwrap();
    let read = "SELECT slot FROM bookings WHERE id = 'b1'";
    assert_eq!(query_value(&mut second, read).as_deref(), Some("s1"));
}

#[test]
fn a_read_without_a_known_position_is_not_run() {
    let proxy = TestProxy::new();
    *proxy.group.has_read_floor.lock().unwrap() = false;
    let mut client = proxy
        .connect_with("options='-c endivereach.session=desk'")
        .unwrap();
    let read = "SELECT slot FROM bookings WHERE id = 'b1'";
    let error = client.simple_query(read).unwrap_err();
    assert_eq!(sqlstate(&error), "EV001");
}

#[test]
fn a_leaving_replica_receives_no_reads() {
    let proxy = TestProxy::new();
    let mut client = proxy.connect();
    proxy.change_view(|view| view.members[1].member.leaving = true);
    assert!(query_value(&mut client, "SELECT pid").is_some());
    assert_eq!(TestProxy::count_statements(&proxy.replica, "SELECT pid"), 0);
}

#[test]
fn a_write_waits_for_a_primary_only_if_its_rule_says_hold() {
    let proxy = TestProxy::new();
    proxy.change_view(|view| view.primary = None);
    let mut client = proxy.connect();
    let error = client.batch_execute(PAY).unwrap_err();
    assert_eq!(sqlstate(&error), "EV001");
    std::thread::scope(|scope| {
        let held = scope.spawn(|| proxy.connect().batch_execute(BOOK));
        std::thread::sleep(Duration::from_millis(50));
        proxy.change_view(|view| view.primary = Some("m1".into()));
        held.join().unwrap().unwrap();
    });
    assert_eq!(proxy.stored("bookings", "b1").as_deref(), Some("s1"));
}

#[test]
fn a_raised_connection_share_serves_waiting_requests() {
    let proxy = TestProxy::new();
    let mut client = proxy.connect();
    proxy.connection_cap.store(0, Ordering::SeqCst);
    let answer = std::thread::scope(|scope| {
        let waiting = scope.spawn(|| query_value(&mut client, "SELECT sleep 1").is_some());
        // The request is served whether it starts to wait before or after the share is raised.
        std::thread::sleep(Duration::from_millis(100));
        proxy.connection_cap.store(1, Ordering::SeqCst);
        waiting.join()
    });
    assert!(
        answer.unwrap(),
        "the request was not served before its deadline"
    );
}

#[test]
fn the_connection_limit_is_never_exceeded() {
    let proxy = TestProxy::new();
    std::thread::scope(|scope| {
        for _ in 0..24 {
            scope.spawn(|| {
                let mut client = proxy.connect();
                for _ in 0..10 {
                    assert!(query_value(&mut client, "SELECT sleep 1").is_some());
                }
            });
        }
    });
    // The limit is eight connections per server, of which one is reserved for operators.
    let open = proxy
        .replica
        .open_connections
        .load(std::sync::atomic::Ordering::SeqCst);
    assert!(open <= 7, "{open} connections");
    let started = proxy.caller_server.counters().requests_started.get();
    assert_eq!(started, 240);
}

#[test]
fn a_statement_that_the_proxy_refuses_fails_its_transaction() {
    let proxy = TestProxy::new();
    let mut client = proxy.connect();
    client.batch_execute("BEGIN").unwrap();
    client.batch_execute(BOOK).unwrap();
    let error = client.batch_execute("LISTEN slots").unwrap_err();
    assert_eq!(sqlstate(&error), "EV003");
    let error = client.batch_execute(PAY).unwrap_err();
    assert_eq!(sqlstate(&error), "25P02");
    client.batch_execute("COMMIT").unwrap();
    assert_eq!(proxy.stored("bookings", "b1"), None);
    client.batch_execute(PAY).unwrap();
    assert_eq!(proxy.stored("payments", "b1").as_deref(), Some("s1"));
}

#[test]
fn a_transaction_on_a_former_primary_is_answered_as_not_run() {
    let proxy = TestProxy::new();
    let mut client = proxy.connect();
    client.batch_execute("BEGIN").unwrap();
    client.batch_execute(BOOK).unwrap();
    proxy.primary.lock_behaviour().is_replica = true;
    let error = client.batch_execute(PAY).unwrap_err();
    assert_eq!(sqlstate(&error), "EV001");
    proxy.primary.lock_behaviour().is_replica = false;
    client.batch_execute("ROLLBACK").unwrap();
    assert_eq!(proxy.stored("bookings", "b1"), None);
    client.batch_execute(BOOK).unwrap();
}

#[test]
fn a_write_in_a_transaction_declared_read_only_keeps_its_own_error() {
    let proxy = TestProxy::new();
    let mut client = proxy.connect();
    client.batch_execute("BEGIN READ ONLY").unwrap();
    proxy.primary.lock_behaviour().is_replica = true;
    let error = client.batch_execute(BOOK).unwrap_err();
    assert_eq!(sqlstate(&error), "25006");
}

const REPEATED: &str = "SELECT rows 1 3";

/// Guards against a reply that is repeated late, between two statements of a transaction, and then
/// counts as the reply to the next one.
#[test]
fn a_repeated_reply_does_not_answer_the_next_statement_of_the_transaction() {
    let proxy = TestProxy::new();
    let mut client = proxy.connect();
    client.simple_query("BEGIN").unwrap();
    let delay = Duration::from_millis(50);
    proxy.primary.lock_behaviour().repeated_reply = Some((REPEATED, delay));
    assert_eq!(query_value(&mut client, REPEATED).as_deref(), Some("xxx"));
    std::thread::sleep(delay * 4);
    let pid = client.simple_query("SELECT pid");
    assert!(pid.is_err(), "got {pid:?}");
    client.simple_query("ROLLBACK").unwrap();
    let pid = query_value(&mut client, "SELECT pid").unwrap();
    assert!(pid.parse::<i32>().is_ok(), "got {pid}");
}

/// A server may send notices and parameters at any time; they don't end a transaction.
#[test]
fn a_notice_between_two_statements_of_a_transaction_is_no_reply() {
    let proxy = TestProxy::new();
    let mut client = proxy.connect();
    client.simple_query("BEGIN").unwrap();
    let delay = Duration::from_millis(50);
    proxy.primary.lock_behaviour().unasked_notice = Some((REPEATED, delay));
    assert_eq!(query_value(&mut client, REPEATED).as_deref(), Some("xxx"));
    std::thread::sleep(delay * 4);
    let pid = query_value(&mut client, "SELECT pid").unwrap();
    assert!(pid.parse::<i32>().is_ok(), "got {pid}");
    client.simple_query("COMMIT").unwrap();
}

/// Guards against a reply that is repeated while its connection is idle in the pool.
#[test]
fn a_repeated_reply_does_not_answer_the_next_caller() {
    let proxy = TestProxy::new();
    proxy.connection_cap.store(1, Ordering::SeqCst);
    let mut client = proxy.connect();
    for target in [&proxy.primary, &proxy.replica] {
        let delay = Duration::from_millis(50);
        target.lock_behaviour().repeated_reply = Some((REPEATED, delay));
    }
    assert_eq!(query_value(&mut client, REPEATED).as_deref(), Some("xxx"));
    std::thread::sleep(Duration::from_millis(200));
    for _ in 0..4 {
        let pid = query_value(&mut client, "SELECT pid").unwrap();
        assert!(pid.parse::<i32>().is_ok(), "got {pid}");
    }
}

/// Guards against the end of a login that is repeated, and then counts as the reply to the first
/// statement.
#[test]
fn a_connection_with_bytes_after_its_login_is_not_used() {
    let proxy = TestProxy::new();
    for target in [&proxy.primary, &proxy.replica] {
        target.lock_behaviour().repeats_login = true;
    }
    let mut client = proxy.connect();
    let row = client.simple_query("SELECT pid");
    assert!(row.is_err(), "got {row:?}");
}
