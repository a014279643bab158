//! Isolation of concurrent transactions on one member.

mod common;

use common::connect;
use common::error_sqlstate;
use common::first_value;
use common::primary;
use endivereach_lab::member::Member;
use proptest::prelude::*;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

/// How long a test waits to assert that a statement is blocked.
const BLOCKED_TIMEOUT: Duration = Duration::from_millis(50);

const BOOKING: &str = "INSERT INTO bookings VALUES ('b1', 's1', 'x', '')";
const CONFLICTING_BOOKING: &str = "INSERT INTO bookings VALUES ('b2', 's1', 'y', '')";

/// Runs a statement on another connection. Returns a channel that receives the SQLSTATE of its
/// error, or `None` if it succeeds.
fn run_concurrently(member: &Member, sql: &str) -> mpsc::Receiver<Option<String>> {
    let mut client = connect(member);
    let sql = sql.to_owned();
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        let outcome = client.simple_query(&sql).err();
        let code = outcome.map(|error| error.code().unwrap().code().to_owned());
        sender.send(code)
    });
    receiver
}

/// Runs a conflicting statement while a transaction is open, ends the transaction, and compares the
/// outcome of the conflicting statement.
fn check_conflict(first: &str, conflicting: &str, end: &str, expected: Option<&str>) {
    let member = primary();
    let mut client = connect(&member);
    client.batch_execute("BEGIN").unwrap();
    client.batch_execute(first).unwrap();
    let outcome = run_concurrently(&member, conflicting);
    assert!(
        outcome.recv_timeout(BLOCKED_TIMEOUT).is_err(),
        "the conflicting statement must wait"
    );
    client.batch_execute(end).unwrap();
    let code = outcome.recv_timeout(common::TEST_TIMEOUT).unwrap();
    assert_eq!(code.as_deref(), expected);
}

endivereach_core::cases! {
    check_conflict;
    a_conflicting_insert_fails_when_the_first_commits: BOOKING, CONFLICTING_BOOKING, "COMMIT", Some("23505");
    a_conflicting_insert_succeeds_when_the_first_rolls_back: BOOKING, CONFLICTING_BOOKING, "ROLLBACK", None;
    on_conflict_do_nothing_waits_for_the_first:
        BOOKING, "INSERT INTO bookings VALUES ('b2', 's1', 'y', '') ON CONFLICT DO NOTHING", "COMMIT", None;
    an_insert_of_the_same_key_waits: BOOKING, "INSERT INTO bookings VALUES ('b1', 's9', 'y', '')", "COMMIT", Some("23505");
    an_update_waits_for_an_insert_of_its_value:
        BOOKING, "INSERT INTO bookings VALUES ('b3', 's3', 'y', ''); UPDATE bookings SET slot_id = 's1' WHERE id = 'b3'",
        "COMMIT", Some("23505");
}

#[test]
fn an_insert_waits_for_the_deletion_of_its_value() {
    let member = primary();
    let mut client = connect(&member);
    client.batch_execute(BOOKING).unwrap();
    client.batch_execute("BEGIN").unwrap();
    client
        .batch_execute("DELETE FROM bookings WHERE id = 'b1'")
        .unwrap();
    let outcome = run_concurrently(&member, CONFLICTING_BOOKING);
    assert!(outcome.recv_timeout(BLOCKED_TIMEOUT).is_err());
    client.batch_execute("COMMIT").unwrap();
    assert_eq!(outcome.recv_timeout(common::TEST_TIMEOUT).unwrap(), None);
}

#[test]
fn uncommitted_changes_are_visible_in_their_own_transaction_only() {
    let member = primary();
    let mut writer = connect(&member);
    let mut reader = connect(&member);
    writer.batch_execute("BEGIN").unwrap();
    writer.batch_execute(BOOKING).unwrap();
    let count = "SELECT count(*) FROM bookings";
    assert_eq!(first_value(&mut writer, count).as_deref(), Some("1"));
    assert_eq!(first_value(&mut reader, count).as_deref(), Some("0"));
    writer.batch_execute("COMMIT").unwrap();
    assert_eq!(first_value(&mut reader, count).as_deref(), Some("1"));
}

#[test]
fn a_closed_connection_releases_its_locks() {
    let member = primary();
    let mut client = connect(&member);
    client.batch_execute("BEGIN").unwrap();
    client.batch_execute(BOOKING).unwrap();
    let outcome = run_concurrently(&member, CONFLICTING_BOOKING);
    drop(client);
    assert_eq!(outcome.recv_timeout(common::TEST_TIMEOUT).unwrap(), None);
}

#[test]
fn a_deadlock_fails_one_of_two_transactions() {
    let member = primary();
    let mut first = connect(&member);
    first
        .batch_execute("INSERT INTO registers VALUES ('a', 0), ('b', 0)")
        .unwrap();
    let add = |key: &str| format!("UPDATE registers SET value = value + 1 WHERE key = '{key}'");
    first.batch_execute("BEGIN").unwrap();
    first.batch_execute(&add("a")).unwrap();
    let mut second = connect(&member);
    second.batch_execute("BEGIN").unwrap();
    second.batch_execute(&add("b")).unwrap();
    let (sql, mut waiting) = (add("b"), first);
    let waiter = thread::spawn(move || {
        let outcome = waiting.batch_execute(&sql);
        (outcome.is_ok(), waiting)
    });
    let failed = match second.batch_execute(&add("a")) {
        Ok(()) => None,
        Err(error) => Some(error.code().unwrap().code().to_owned()),
    };
    second.batch_execute("COMMIT").unwrap();
    let (waiter_succeeded, _first) = waiter.join().unwrap();
    match failed.as_deref() {
        Some(code) => assert_eq!((code, waiter_succeeded), ("40P01", true)),
        None => assert!(!waiter_succeeded),
    }
}

#[test]
fn a_lock_timeout_ends_the_wait() {
    let member = primary();
    let mut first = connect(&member);
    first.batch_execute("BEGIN").unwrap();
    first.batch_execute(BOOKING).unwrap();
    let mut second = connect(&member);
    second.batch_execute("SET lock_timeout = '30ms'").unwrap();
    assert_eq!(error_sqlstate(&mut second, CONFLICTING_BOOKING), "55P03");
}

#[test]
fn an_advisory_lock_outlives_transactions_but_not_the_session() {
    let member = primary();
    let mut first = connect(&member);
    first.batch_execute("BEGIN").unwrap();
    first.batch_execute("SELECT pg_advisory_lock(7)").unwrap();
    first.batch_execute("ROLLBACK").unwrap();
    let mut second = connect(&member);
    let attempt = "SELECT pg_try_advisory_lock(7)";
    assert_eq!(first_value(&mut second, attempt).as_deref(), Some("f"));
    first.batch_execute("DISCARD ALL").unwrap();
    assert_eq!(first_value(&mut second, attempt).as_deref(), Some("t"));
}

#[test]
fn a_terminated_connection_ends() {
    let member = primary();
    let mut terminated = connect(&member);
    terminated.batch_execute("BEGIN").unwrap();
    terminated.batch_execute(BOOKING).unwrap();
    let pid = first_value(&mut terminated, "SELECT pg_backend_pid()").unwrap();
    let mut other = connect(&member);
    let terminate = format!("SELECT pg_terminate_backend({pid})");
    assert_eq!(first_value(&mut other, &terminate).as_deref(), Some("t"));
    other.batch_execute(CONFLICTING_BOOKING).unwrap();
    assert!(terminated.batch_execute("COMMIT").is_err());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(8))]

    /// No increment of several concurrent connections is lost, and only one booking of each slot
    /// succeeds.
    #[test]
    fn no_update_is_lost_and_no_slot_is_booked_twice(
        keys_per_client in prop::collection::vec(prop::collection::vec(0..4usize, 1..12), 2..5),
    ) {
        let member = primary();
        let mut setup = connect(&member);
        setup
            .batch_execute("INSERT INTO registers VALUES ('0', 0), ('1', 0), ('2', 0), ('3', 0)")
            .unwrap();
        let total: usize = keys_per_client.iter().map(Vec::len).sum();
        let threads: Vec<_> = keys_per_client
            .into_iter()
            .enumerate()
            .map(|(number, keys)| {
                let mut client = connect(&member);
                thread::spawn(move || increment_and_book(&mut client, number, &keys))
            })
            .collect();
        let booked: usize = threads.into_iter().map(|thread| thread.join().unwrap()).sum();
        let sum = first_value(&mut setup, "SELECT sum(value) FROM registers").unwrap();
        prop_assert_eq!(sum, total.to_string());
        let slots = first_value(&mut setup, "SELECT count(*) FROM bookings").unwrap();
        prop_assert_eq!(slots, booked.to_string());
    }
}

/// Increments each key and books the slot of the same name. Returns the number of successful
/// bookings.
fn increment_and_book(client: &mut postgres::Client, number: usize, keys: &[usize]) -> usize {
    let mut booked = 0;
    for (index, key) in keys.iter().enumerate() {
        let add = format!("UPDATE registers SET value = value + 1 WHERE key = '{key}'");
        client.batch_execute(&add).unwrap();
        let id = format!("{number}-{index}");
        let book = format!("INSERT INTO bookings VALUES ('{id}', 'slot-{key}', 'x', '')");
        match client.batch_execute(&book) {
            Ok(()) => booked += 1,
            Err(error) => assert_eq!(error.code().unwrap().code(), "23505"),
        }
    }
    booked
}
