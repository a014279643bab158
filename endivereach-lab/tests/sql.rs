//! The SQL of a member, as seen by the `postgres` client library.

mod common;

use common::connect;
use common::error_sqlstate;
use common::first_value;
use common::primary;

/// Runs statements on a new primary, and compares the first value of the last one's result.
fn check(statements: &[&str], expected: Option<&str>) {
    let member = primary();
    let mut client = connect(&member);
    let (last, before) = statements.split_last().unwrap();
    for statement in before {
        client.batch_execute(statement).unwrap();
    }
    assert_eq!(first_value(&mut client, last).as_deref(), expected);
}

/// Runs statements on a new primary, and compares the SQLSTATE of the last one's error.
fn check_error(statements: &[&str], expected: &str) {
    let member = primary();
    let mut client = connect(&member);
    let (last, before) = statements.split_last().unwrap();
    for statement in before {
        client.batch_execute(statement).unwrap();
    }
    assert_eq!(error_sqlstate(&mut client, last), expected);
}

const ROWS: &str = "INSERT INTO registers VALUES ('a', 1), ('b', 2), ('c', NULL)";

endivereach_core::cases! {
    check;
    selects_a_literal: &["SELECT 1"], Some("1");
    adds: &["SELECT 1 + 2 * 3"], Some("7");
    counts: &[ROWS, "SELECT count(*) FROM registers"], Some("3");
    counts_non_null_values: &[ROWS, "SELECT count(value) FROM registers"], Some("2");
    takes_the_maximum: &[ROWS, "SELECT max(value) FROM registers"], Some("2");
    filters_by_key: &[ROWS, "SELECT value FROM registers WHERE key = 'b'"], Some("2");
    filters_by_list: &[ROWS, "SELECT count(*) FROM registers WHERE key IN ('a', 'c', 'x')"], Some("2");
    filters_by_range: &[ROWS, "SELECT key FROM registers WHERE value > 1 AND value <= 2"], Some("b");
    null_matches_no_comparison: &[ROWS, "SELECT count(*) FROM registers WHERE value <> 1"], Some("1");
    finds_nulls: &[ROWS, "SELECT key FROM registers WHERE value IS NULL"], Some("c");
    orders_and_limits: &[ROWS, "SELECT key FROM registers ORDER BY key DESC LIMIT 1 OFFSET 1"], Some("b");
    updates_from_the_old_value: &[
        ROWS,
        "UPDATE registers SET value = value + 1 WHERE key = 'a'",
        "SELECT value FROM registers WHERE key = 'a'",
    ], Some("2");
    deletes: &[ROWS, "DELETE FROM registers WHERE key = 'a'", "SELECT count(*) FROM registers"], Some("2");
    on_conflict_do_nothing_skips_conflicts: &[
        ROWS,
        "INSERT INTO registers VALUES ('a', 9), ('d', 4) ON CONFLICT DO NOTHING",
        "SELECT count(*) FROM registers",
    ], Some("4");
    returning_returns_inserted_values: &["INSERT INTO registers VALUES ('z', 8) RETURNING value"], Some("8");
    unescapes_a_doubled_quote: &["SELECT 'it''s ' || 'x'"], Some("it's x");
    unescapes_a_backslash_escape: &["SELECT E'a\\tb'"], Some("a\tb");
    ignores_a_comment: &["SELECT 'a' -- 'b'"], Some("a");
    converts_a_quoted_number: &["SELECT '4'::int + 1"], Some("5");
    keeps_a_semicolon_in_a_value: &["SELECT 'a;b';"], Some("a;b");
    a_string_that_looks_like_a_parameter_is_literal: &["SELECT '$1' || 'x'"], Some("$1x");
    generates_a_series: &["SELECT count(*) FROM generate_series(1, 1000)"], Some("1000");
    rolls_back: &["BEGIN", ROWS, "ROLLBACK", "SELECT count(*) FROM registers"], Some("0");
    a_transaction_sees_its_own_changes: &["BEGIN", ROWS, "SELECT count(*) FROM registers"], Some("3");
    keeps_a_setting: &["SET application_name = 'desk'", "SHOW application_name"], Some("desk");
    a_local_setting_ends_with_its_transaction: &[
        "BEGIN",
        "SET LOCAL search_path = 'x'",
        "COMMIT",
        "SELECT current_setting('search_path') = 'x'",
    ], Some("f");
    a_rollback_restores_settings: &[
        "SET search_path = 'x'",
        "BEGIN",
        "SET search_path = 'y'",
        "ROLLBACK",
        "SHOW search_path",
    ], Some("x");
    temporary_tables_can_be_read_and_written: &[
        "CREATE TEMP TABLE t (id INT PRIMARY KEY)",
        "INSERT INTO t VALUES (1)",
        "SELECT count(*) FROM t",
    ], Some("1");
    a_custom_setting_is_kept: &["SET my.name = 'x'", "SHOW my.name"], Some("x");
    discard_all_resets_settings: &["SET my.name = 'x'", "DISCARD ALL", "SELECT current_setting('my.name', true) IS NULL"], Some("t");
    reset_restores_the_default: &["SET search_path = 'x'", "RESET search_path", "SELECT current_setting('search_path') = 'x'"], Some("f");
    a_table_without_a_key_keeps_equal_rows: &[
        "CREATE TABLE t (x INT)",
        "INSERT INTO t VALUES (1), (1)",
        "SELECT count(*) FROM t",
    ], Some("2");
    a_unique_value_can_be_reused_after_its_deletion: &[
        "INSERT INTO bookings VALUES ('b1', 's1', 'x', '')",
        "DELETE FROM bookings WHERE id = 'b1'",
        "INSERT INTO bookings VALUES ('b2', 's1', 'x', '')",
        "SELECT id FROM bookings WHERE slot_id = 's1'",
    ], Some("b2");
}

endivereach_core::cases! {
    check_error;
    a_duplicate_key_is_refused: &[ROWS, "INSERT INTO registers VALUES ('a', 5)"], "23505";
    a_duplicate_unique_value_is_refused: &[
        "INSERT INTO bookings VALUES ('b1', 's1', 'x', '')",
        "INSERT INTO bookings VALUES ('b2', 's1', 'y', '')",
    ], "23505";
    an_update_to_a_duplicate_unique_value_is_refused: &[
        "INSERT INTO bookings VALUES ('b1', 's1', 'x', ''), ('b2', 's2', 'x', '')",
        "UPDATE bookings SET slot_id = 's1' WHERE id = 'b2'",
    ], "23505";
    a_missing_key_is_refused: &["INSERT INTO registers (value) VALUES (1)"], "23502";
    a_syntax_error_is_refused: &["SELEC 1"], "42601";
    an_unknown_table_is_refused: &["SELECT * FROM nowhere"], "42P01";
    an_unknown_column_is_refused: &["SELECT nothing FROM registers"], "42703";
    text_for_an_integer_is_refused: &["INSERT INTO registers VALUES ('a', 'many')"], "22P02";
    an_unknown_setting_is_refused: &["SET no_such_setting = 1"], "42704";
    a_timeout_stops_a_statement: &["SET statement_timeout = 30", "SELECT pg_sleep(600)"], "57014";
}

#[test]
fn a_failed_transaction_refuses_statements_until_its_end() {
    let member = primary();
    let mut client = connect(&member);
    client.batch_execute("BEGIN").unwrap();
    client.batch_execute(ROWS).unwrap();
    assert_eq!(
        error_sqlstate(&mut client, "SELECT * FROM nowhere"),
        "42P01"
    );
    assert_eq!(error_sqlstate(&mut client, "SELECT 1"), "25P02");
    client.batch_execute("COMMIT").unwrap();
    assert_eq!(
        first_value(&mut client, "SELECT count(*) FROM registers").as_deref(),
        Some("0")
    );
}

#[test]
fn a_query_message_is_one_transaction() {
    let member = primary();
    let mut client = connect(&member);
    let statements = format!("{ROWS}; SELECT * FROM nowhere");
    assert_eq!(error_sqlstate(&mut client, &statements), "42P01");
    assert_eq!(
        first_value(&mut client, "SELECT count(*) FROM registers").as_deref(),
        Some("0")
    );
}

#[test]
fn prepared_statements_take_parameters() {
    let member = primary();
    let mut client = connect(&member);
    let insert = client
        .prepare("INSERT INTO registers VALUES ($1, $2)")
        .unwrap();
    for (key, number) in [("a", 1i32), ("b", 2), ("c", 3)] {
        assert_eq!(client.execute(&insert, &[&key, &number]).unwrap(), 1);
    }
    let rows = client
        .query(
            "SELECT key, value FROM registers WHERE value >= $1 ORDER BY key LIMIT $2",
            &[&2i32, &1i64],
        )
        .unwrap();
    assert_eq!(rows.len(), 1);
    assert_eq!(rows[0].get::<_, &str>(0), "b");
    assert_eq!(rows[0].get::<_, i32>(1), 2);
    let none: Option<i32> = None;
    client.execute(&insert, &[&"d", &none]).unwrap();
    let row = client.query_one(
        "SELECT value, count(*) FROM registers WHERE key = $1",
        &[&"d"],
    );
    assert!(row.is_err());
    let row = client
        .query_one("SELECT value FROM registers WHERE key = $1", &[&"d"])
        .unwrap();
    assert_eq!(row.get::<_, Option<i32>>(0), None);
}

#[test]
fn a_portal_is_fetched_in_batches() {
    let member = primary();
    let mut client = connect(&member);
    let mut transaction = client.transaction().unwrap();
    let portal = transaction
        .bind("SELECT * FROM generate_series(1, 10)", &[])
        .unwrap();
    let mut numbers = Vec::new();
    loop {
        let rows = transaction.query_portal(&portal, 4).unwrap();
        if rows.is_empty() {
            break;
        }
        numbers.extend(rows.iter().map(|row| row.get::<_, i32>(0)));
    }
    assert_eq!(numbers, (1..=10).collect::<Vec<_>>());
}

#[test]
fn an_error_in_a_prepared_statement_leaves_the_connection_usable() {
    let member = primary();
    let mut client = connect(&member);
    client
        .execute("INSERT INTO registers VALUES ($1, 1)", &[&"a"])
        .unwrap();
    let error = client
        .execute("INSERT INTO registers VALUES ($1, 1)", &[&"a"])
        .unwrap_err();
    assert_eq!(error.code().unwrap().code(), "23505");
    let row = client
        .query_one("SELECT count(*) FROM registers", &[])
        .unwrap();
    assert_eq!(row.get::<_, i64>(0), 1);
}

#[test]
fn a_large_result_is_complete() {
    let member = primary();
    let mut client = connect(&member);
    let rows = client
        .query(
            "SELECT n, repeat('x', 100) FROM generate_series(1, 20000) AS n",
            &[],
        )
        .unwrap();
    assert_eq!(rows.len(), 20_000);
    assert_eq!(rows[19_999].get::<_, i32>(0), 20_000);
}

#[test]
fn temporary_tables_are_visible_to_their_session_only() {
    let member = primary();
    let mut client = connect(&member);
    client.batch_execute("CREATE TEMP TABLE t (x INT)").unwrap();
    assert_eq!(
        error_sqlstate(&mut connect(&member), "SELECT * FROM t"),
        "42P01"
    );
    client.batch_execute("DISCARD ALL").unwrap();
    assert_eq!(error_sqlstate(&mut client, "SELECT * FROM t"), "42P01");
}

#[test]
fn a_statement_is_cancelled() {
    let member = primary();
    let mut client = connect(&member);
    let token = client.cancel_token();
    let mut other = connect(&member);
    let pid = first_value(&mut client, "SELECT pg_backend_pid()").unwrap();
    let sleeper = std::thread::spawn(move || {
        let failed = error_sqlstate(&mut client, "SELECT pg_sleep(600)");
        (failed, first_value(&mut client, "SELECT 1"))
    });
    // A cancel request that arrives before the statement has no effect, so it is sent until the
    // statement ends.
    while !sleeper.is_finished() {
        token.cancel_query(postgres::NoTls).unwrap();
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    let (failed, after) = sleeper.join().unwrap();
    assert_eq!(failed, "57014");
    assert_eq!(after.as_deref(), Some("1"));
    let ended = format!("SELECT pg_terminate_backend({pid})");
    assert_eq!(first_value(&mut other, &ended).as_deref(), Some("f"));
}
