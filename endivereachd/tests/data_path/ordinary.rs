//! Tests the data path without faults: statements, transactions, prepared statements, session
//! parameters, authentication, cancel requests and drains.

use crate::support::TestProxy;
use crate::support::query_value;
use crate::support::sqlstate;
use crate::support::wait_until;
use postgres::SimpleQueryMessage;
use std::time::Duration;
use std::time::Instant;

#[test]
fn a_write_is_confirmed_and_a_read_sees_it() {
    let proxy = TestProxy::new();
    let mut client = proxy.connect();
    client
        .batch_execute("INSERT INTO bookings (id, slot) VALUES ('b1', 's1')")
        .unwrap();
    let read_slot = query_value(&mut client, "SELECT slot FROM bookings WHERE id = 'b1'");
    assert_eq!(read_slot.as_deref(), Some("s1"));
    let counters = proxy.caller_server.counters();
    assert_eq!(counters.commits_confirmed.get(), 1);
    assert_eq!(counters.reads_replica.get(), 1);
    assert_eq!(
        TestProxy::count_statements(&proxy.replica, "SELECT slot"),
        1
    );
}

#[test]
fn an_error_is_returned_and_the_session_stays_usable() {
    let proxy = TestProxy::new();
    let mut client = proxy.connect();
    let insert = "INSERT INTO bookings (id, slot) VALUES ('b1', 's1')";
    client.batch_execute(insert).unwrap();
    let error = client.batch_execute(insert).unwrap_err();
    assert_eq!(sqlstate(&error), "23505");
    assert_eq!(
        query_value(&mut client, "SELECT slot FROM bookings WHERE id = 'b1'").unwrap(),
        "s1"
    );
}

#[test]
fn a_transaction_commits_all_of_its_writes_at_once() {
    let proxy = TestProxy::new();
    let mut client = proxy.connect();
    let mut transaction = client.transaction().unwrap();
    transaction
        .batch_execute("INSERT INTO bookings (id, slot) VALUES ('b1', 's1')")
        .unwrap();
    transaction
        .batch_execute("INSERT INTO bookings (id, slot) VALUES ('b2', 's2')")
        .unwrap();
    assert_eq!(proxy.stored("bookings", "b1"), None);
    transaction.commit().unwrap();
    assert_eq!(proxy.stored("bookings", "b2").as_deref(), Some("s2"));
}

#[test]
fn a_rolled_back_transaction_writes_nothing() {
    let proxy = TestProxy::new();
    let mut client = proxy.connect();
    let mut transaction = client.transaction().unwrap();
    transaction
        .batch_execute("INSERT INTO bookings (id, slot) VALUES ('b1', 's1')")
        .unwrap();
    transaction.rollback().unwrap();
    assert_eq!(
        query_value(&mut client, "SELECT slot FROM bookings WHERE id = 'b1'"),
        None
    );
}

#[test]
fn transactions_of_two_callers_use_two_connections() {
    let proxy = TestProxy::new();
    let (mut first, mut second) = (proxy.connect(), proxy.connect());
    first.batch_execute("BEGIN").unwrap();
    second.batch_execute("BEGIN").unwrap();
    let pids = [&mut first, &mut second].map(|client| query_value(client, "SELECT pid").unwrap());
    assert_ne!(pids[0], pids[1]);
    assert_eq!(query_value(&mut first, "SELECT pid").unwrap(), pids[0]);
    first.batch_execute("ROLLBACK").unwrap();
    second.batch_execute("ROLLBACK").unwrap();
}

#[test]
fn prepared_statements_work_on_every_target_connection() {
    let proxy = TestProxy::new();
    let mut client = proxy.connect();
    let insert = client
        .prepare("INSERT INTO bookings (id, slot) VALUES ($1, $2)")
        .unwrap();
    let select = client
        .prepare("SELECT slot FROM bookings WHERE id = $1")
        .unwrap();
    for round in 0..5 {
        let (id, slot) = (format!("b{round}"), format!("s{round}"));
        assert_eq!(client.execute(&insert, &[&id, &slot]).unwrap(), 1);
        let rows = client.query(&select, &[&id]).unwrap();
        assert_eq!(rows[0].get::<_, String>(0), slot);
    }
    let mut other = proxy.connect();
    let rows = other
        .query("SELECT slot FROM bookings WHERE id = $1", &[&"b3"])
        .unwrap();
    assert_eq!(rows[0].get::<_, String>(0), "s3");
}

#[test]
fn rows_of_a_returning_clause_reach_the_caller() {
    let proxy = TestProxy::new();
    let mut client = proxy.connect();
    let row = client
        .query_one(
            "INSERT INTO bookings (id, slot) VALUES ($1, $2) RETURNING slot",
            &[&"b1", &"s1"],
        )
        .unwrap();
    assert_eq!(row.get::<_, String>(0), "s1");
    assert_eq!(proxy.stored("bookings", "b1").as_deref(), Some("s1"));
}

#[test]
fn a_large_answer_is_streamed_whole() {
    let proxy = TestProxy::new();
    let mut client = proxy.connect();
    let rows = client.simple_query("SELECT rows 20000 100").unwrap();
    let count = rows
        .iter()
        .filter(|message| matches!(message, SimpleQueryMessage::Row(_)))
        .count();
    assert_eq!(count, 20_000);
    let wide = query_value(&mut client, "SELECT rows 1 3000000").unwrap();
    assert_eq!(wide.len(), 3_000_000);
}

#[test]
fn session_parameters_apply_to_their_own_session_only() {
    let proxy = TestProxy::new();
    let mut first = proxy.connect();
    first.batch_execute("SET timezone = 'UTC-3'").unwrap();
    assert_eq!(
        query_value(&mut first, "SELECT parameters").unwrap(),
        "SET timezone = 'UTC-3'"
    );
    let mut second = proxy.connect();
    assert_eq!(query_value(&mut second, "SELECT parameters").unwrap(), "");
    assert_eq!(
        query_value(&mut first, "SELECT parameters").unwrap(),
        "SET timezone = 'UTC-3'"
    );
}

#[test]
fn a_pinned_connection_is_reset_when_its_caller_disconnects() {
    let proxy = TestProxy::new();
    let mut first = proxy.connect();
    first.batch_execute("SET pin = 1").unwrap();
    let pid = query_value(&mut first, "SELECT pid").unwrap();
    assert_eq!(query_value(&mut first, "SELECT pid").unwrap(), pid);
    first.close().unwrap();
    wait_until(|| TestProxy::count_statements(&proxy.primary, "DISCARD ALL") == 1);
}

#[test]
fn a_disconnected_caller_leaves_no_open_transaction() {
    let proxy = TestProxy::new();
    let mut first = proxy.connect();
    first.batch_execute("BEGIN").unwrap();
    first
        .batch_execute("INSERT INTO bookings (id, slot) VALUES ('b1', 's1')")
        .unwrap();
    drop(first);
    wait_until(|| proxy.caller_server.counters().connections_dropped.get() == 1);
    let mut second = proxy.connect();
    second
        .batch_execute("INSERT INTO bookings (id, slot) VALUES ('b1', 's2')")
        .unwrap();
    assert_eq!(proxy.stored("bookings", "b1").as_deref(), Some("s2"));
}

#[test]
fn a_refused_statement_is_answered_with_a_hint() {
    let proxy = TestProxy::new();
    let mut client = proxy.connect();
    let error = client.batch_execute("LISTEN slots").unwrap_err();
    assert_eq!(sqlstate(&error), "EV003");
    let hint = error.as_db_error().unwrap().hint().unwrap().to_owned();
    assert_eq!(hint, "use a direct connection");
}

#[test]
fn an_unknown_group_is_refused() {
    let proxy = TestProxy::new();
    let Err(error) = proxy.connect_with("dbname=nowhere") else {
        panic!("an unknown group was accepted");
    };
    assert_eq!(sqlstate(&error), "3D000");
}

#[test]
fn passwords_are_checked() {
    let proxy = TestProxy::with_callers("[[callers]]\nuser = \"clerk\"\npassword = \"s3cret\"");
    let mut client = proxy.connect_with("password=s3cret").unwrap();
    assert!(query_value(&mut client, "SELECT pid").is_some());
    let Err(error) = proxy.connect_with("password=wrong") else {
        panic!("a wrong password was accepted");
    };
    assert_eq!(sqlstate(&error), "28P01");
}

#[test]
fn a_cancel_request_reaches_the_connection_of_its_caller() {
    let proxy = TestProxy::new();
    let mut client = proxy.connect();
    let token = client.cancel_token();
    let running = std::thread::spawn(move || query_value(&mut client, "SELECT sleep 300"));
    wait_until(|| TestProxy::count_statements(&proxy.replica, "SELECT sleep") == 1);
    token.cancel_query(postgres::NoTls).unwrap();
    running.join().unwrap();
    assert_eq!(proxy.replica.cancelled_pids.lock().unwrap().len(), 1);
    // Between requests the caller holds no target connection, so the cancel request is dropped.
    token.cancel_query(postgres::NoTls).unwrap();
    wait_until(|| proxy.caller_server.counters().requests_now.get() == 0);
    assert_eq!(proxy.caller_server.counters().cancels.get(), 1);
}

#[test]
fn a_drain_lets_transactions_end_and_closes_idle_callers() {
    let proxy = TestProxy::new();
    let mut idle = proxy.connect();
    assert!(query_value(&mut idle, "SELECT pid").is_some());
    let mut busy = proxy.connect();
    busy.batch_execute("BEGIN").unwrap();
    std::thread::scope(|scope| {
        let draining = scope.spawn(|| {
            proxy
                .caller_server
                .drain(Instant::now() + Duration::from_secs(20))
        });
        wait_until(|| proxy.caller_server.counters().callers_now.get() == 1);
        busy.batch_execute("INSERT INTO bookings (id, slot) VALUES ('b1', 's1')")
            .unwrap();
        busy.batch_execute("COMMIT").unwrap();
        assert!(draining.join().unwrap());
    });
    assert_eq!(proxy.stored("bookings", "b1").as_deref(), Some("s1"));
    assert!(idle.simple_query("SELECT pid").is_err());
}

/// Guards against a startup parameter whose value ends early on the server, which then runs the rest.
#[test]
fn a_caller_that_starts_with_another_string_syntax_is_refused() {
    let proxy = TestProxy::new();
    let options = "options='-c standard_conforming_strings=off'";
    let error = proxy
        .connect_with(options)
        .err()
        .expect("the caller was accepted");
    assert_eq!(sqlstate(&error), "EV003");
    let options = "options='-c standard_conforming_strings=on'";
    assert!(proxy.connect_with(options).is_ok());
}

/// Guards against a statement that is answered without being run: the value of the proxy's parameter
/// takes up the statement behind it.
#[test]
fn a_statement_after_a_parameter_of_the_proxy_is_not_swallowed() {
    let proxy = TestProxy::new();
    let mut client = proxy.connect();
    let insert = "INSERT INTO bookings (id, slot) VALUES ('b1', 's1')";
    let both = format!("SET endivereach.traceparent = '00-1-2-01'; {insert}");
    let error = client.batch_execute(&both).unwrap_err();
    assert_eq!(sqlstate(&error), "22023");
    assert_eq!(proxy.stored("bookings", "b1"), None);
    for value in [
        "'00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01'",
        "''",
    ] {
        let set = format!("SET endivereach.traceparent = {value}");
        client.batch_execute(&set).unwrap();
    }
}
