//! Tests for statement analysis: kinds, tables, refusals, complexity limits and the cache.

use endivereach_core::cases;
use endivereach_core::classify::Analysis;
use endivereach_core::classify::CHAIN_MAX;
use endivereach_core::classify::Cache;
use endivereach_core::classify::SQL_MAX_BYTES;
use endivereach_core::classify::analyse;
use endivereach_core::classify::fingerprint;
use endivereach_core::ids::GroupName;
use endivereach_core::treatment::Classification;
use endivereach_core::treatment::StatementKind;
use endivereach_core::treatment::Treatment;
use proptest::prelude::*;

fn check_kind(sql: &str, expected: StatementKind) {
    let Analysis { kind, reason, .. } = analyse(sql);
    assert_eq!(kind, expected, "{sql}: {reason}");
    let explained = matches!(kind, StatementKind::PinsConnection | StatementKind::Refused);
    assert_eq!(explained, !reason.is_empty(), "{sql}: {reason:?}");
}

cases! {
    check_kind;
    select: "SELECT a, count(*) FROM t WHERE b = $1 GROUP BY a", StatementKind::Read;
    select_cte: "WITH x AS (SELECT 1) SELECT * FROM x", StatementKind::Read;
    select_window: "SELECT row_number() OVER (PARTITION BY a ORDER BY b) FROM t", StatementKind::Read;
    values: "VALUES (1), (2)", StatementKind::Read;
    several_reads: "SELECT 1; SELECT 2;", StatementKind::Read;
    empty: "", StatementKind::Read;
    only_a_comment: "/* ping */ ;", StatementKind::Read;
    show: "SHOW search_path", StatementKind::Read;
    explain: "EXPLAIN SELECT * FROM t", StatementKind::Read;
    explain_analyze_read: "EXPLAIN ANALYZE SELECT * FROM t", StatementKind::Read;
    copy_out: "COPY t TO STDOUT", StatementKind::Read;
    series: "SELECT * FROM generate_series(1, 3)", StatementKind::Read;
    insert: "INSERT INTO t VALUES (1)", StatementKind::Write;
    insert_returning: "INSERT INTO t VALUES (1) RETURNING id", StatementKind::Write;
    update: "UPDATE t SET a = 1", StatementKind::Write;
    delete: "DELETE FROM t", StatementKind::Write;
    truncate: "TRUNCATE t", StatementKind::Write;
    create_table: "CREATE TABLE t (id int)", StatementKind::Write;
    write_in_cte: "WITH x AS (DELETE FROM t RETURNING *) SELECT * FROM x", StatementKind::Write;
    insert_after_cte: "WITH x AS (SELECT 1) INSERT INTO t SELECT * FROM x", StatementKind::Write;
    read_then_write: "SELECT 1; DELETE FROM t", StatementKind::Write;
    for_update: "SELECT * FROM t FOR UPDATE", StatementKind::Write;
    for_share_inside: "SELECT * FROM (SELECT * FROM t FOR SHARE) x", StatementKind::Write;
    select_into: "SELECT * INTO u FROM t", StatementKind::Write;
    select_into_in_union: "SELECT 1 INTO u UNION SELECT 2", StatementKind::Write;
    nextval: "SELECT nextval('s')", StatementKind::Write;
    nextval_in_where: "SELECT * FROM t WHERE id = nextval('s')", StatementKind::Write;
    nextval_in_order: "SELECT * FROM t ORDER BY nextval('s')", StatementKind::Write;
    nextval_in_limit: "SELECT * FROM t LIMIT nextval('s')", StatementKind::Write;
    nextval_in_join: "SELECT * FROM t JOIN u ON t.a = nextval('s')", StatementKind::Write;
    nextval_in_filter: "SELECT count(*) FILTER (WHERE nextval('s') > 1) FROM t", StatementKind::Write;
    nextval_in_window: "SELECT sum(a) OVER (ORDER BY nextval('s')) FROM t", StatementKind::Write;
    unknown_function: "SELECT book_slot(7)", StatementKind::Write;
    unknown_function_in_from: "SELECT * FROM book_slot(7)", StatementKind::Write;
    function_of_a_schema: "SELECT app.count(1)", StatementKind::Write;
    quoted_function: "SELECT \"Count\"(1)", StatementKind::Write;
    custom_operator: "SELECT 1 OPERATOR(app.+) 2", StatementKind::Write;
    transaction_lock: "SELECT pg_advisory_xact_lock(1)", StatementKind::Write;
    transaction_setting: "SELECT set_config('a.b', 'c', true)", StatementKind::Write;
    explain_write: "EXPLAIN ANALYZE DELETE FROM t", StatementKind::Write;
    explain_options: "EXPLAIN (ANALYZE, BUFFERS) UPDATE t SET a = 1", StatementKind::Write;
    call: "CALL settle()", StatementKind::Write;
    anonymous_block: "DO $$ BEGIN DELETE FROM t; END $$", StatementKind::Write;
    notify: "NOTIFY berths, 'x'", StatementKind::Write;
    savepoint: "SAVEPOINT a", StatementKind::Write;
    rollback_to_savepoint: "ROLLBACK TO SAVEPOINT a", StatementKind::Write;
    set_local: "SET LOCAL statement_timeout = 5", StatementKind::Write;
    set_transaction: "SET TRANSACTION ISOLATION LEVEL SERIALIZABLE", StatementKind::Write;
    table_command: "TABLE t", StatementKind::Write;
    no_sql: "please book a barge", StatementKind::Write;
    begin: "BEGIN", StatementKind::Begin;
    begin_isolation: "BEGIN ISOLATION LEVEL SERIALIZABLE READ ONLY DEFERRABLE", StatementKind::Begin;
    start_transaction: "START TRANSACTION", StatementKind::Begin;
    commit: "COMMIT;", StatementKind::Commit;
    end: "END", StatementKind::Commit;
    rollback: "ROLLBACK", StatementKind::Rollback;
    abort: "abort", StatementKind::Rollback;
    set: "SET endivereach.session = 'desk-3'", StatementKind::Set;
    set_to: "SET search_path TO a, b", StatementKind::Set;
    reset: "RESET ALL", StatementKind::Set;
    set_role: "SET ROLE clerk", StatementKind::PinsConnection;
    session_setting: "SELECT set_config('a.b', 'c', false)", StatementKind::PinsConnection;
    session_setting_from_parameter: "SELECT set_config('a.b', 'c', $1)", StatementKind::PinsConnection;
    session_lock: "SELECT pg_advisory_lock(1)", StatementKind::PinsConnection;
    session_lock_inside: "SELECT * FROM t WHERE pg_try_advisory_lock(t.id)", StatementKind::PinsConnection;
    temporary_table: "CREATE TEMP TABLE t (id int)", StatementKind::PinsConnection;
    temporary_table_as: "CREATE TEMPORARY TABLE t AS SELECT 1", StatementKind::PinsConnection;
    prepare: "PREPARE p AS SELECT 1", StatementKind::PinsConnection;
    execute: "EXECUTE p", StatementKind::PinsConnection;
    cursor_with_hold: "DECLARE c CURSOR WITH HOLD FOR SELECT 1", StatementKind::PinsConnection;
    listen: "LISTEN berths", StatementKind::Refused;
    unlisten: "UNLISTEN *", StatementKind::Refused;
    discard: "DISCARD ALL", StatementKind::Refused;
    commit_and_chain: "COMMIT AND CHAIN", StatementKind::Refused;
    two_phase: "PREPARE TRANSACTION 'x'", StatementKind::Refused;
    two_phase_commit: "COMMIT PREPARED 'x'", StatementKind::Refused;
    copy_in: "COPY t (a, b) FROM STDIN WITH (FORMAT csv)", StatementKind::Write;
    copy_in_with_inline_data: "COPY t FROM STDIN;\n1\t2\n\\.", StatementKind::Write;
    copy_to_file: "COPY t TO '/tmp/x'", StatementKind::Refused;
    copy_from_program: "COPY t FROM PROGRAM 'id'", StatementKind::Refused;
    begin_with_other_statements: "BEGIN; INSERT INTO t VALUES (1); COMMIT", StatementKind::Refused;
    set_with_other_statements: "SET a.b = 'c'; SELECT 1", StatementKind::Refused;
    session_lock_with_other_statements: "SELECT 1; SELECT pg_advisory_lock(1)", StatementKind::PinsConnection;
}

/// Guards against a statement that the server ends elsewhere: where the setting is off, a backslash
/// escapes the quote that ends a text for the parser.
fn check_change_of_string_syntax(sql: &str, expected: StatementKind) {
    check_kind(sql, expected);
}

cases! {
    check_change_of_string_syntax;
    string_syntax: "SET standard_conforming_strings = off", StatementKind::Refused;
    string_syntax_to: "SET SESSION Standard_Conforming_Strings TO 'off'", StatementKind::Refused;
    string_syntax_number: "SET standard_conforming_strings = 0", StatementKind::Refused;
    string_syntax_local: "SET LOCAL standard_conforming_strings = off", StatementKind::Refused;
    string_syntax_quoted: "SET \"standard_conforming_strings\" = off", StatementKind::Refused;
    string_syntax_with_other_statements:
        "SET LOCAL standard_conforming_strings = 0; SELECT 'a'", StatementKind::Refused;
    string_syntax_kept: "SET standard_conforming_strings = on", StatementKind::Set;
    string_syntax_kept_in_capitals: "SET standard_conforming_strings TO ON", StatementKind::Set;
    string_syntax_default: "SET standard_conforming_strings TO DEFAULT", StatementKind::Set;
}

fn check_tables(sql: &str, read: &[&str], written: &[&str]) {
    let analysis = analyse(sql);
    let texts = |tables: &[Box<str>]| tables.iter().map(|t| t.to_string()).collect::<Vec<_>>();
    assert_eq!(texts(&analysis.named_tables), read, "{sql}");
    assert_eq!(texts(&analysis.written_tables), written, "{sql}");
}

cases! {
    check_tables;
    join: "SELECT * FROM b JOIN a USING (x) LEFT JOIN c ON true", &["a", "b", "c"], &[];
    subqueries: "SELECT (SELECT 1 FROM a) FROM b WHERE x IN (SELECT y FROM c)", &["a", "b", "c"], &[];
    exists: "SELECT 1 WHERE EXISTS (SELECT FROM a)", &["a"], &[];
    union: "SELECT * FROM a UNION ALL (SELECT * FROM b)", &["a", "b"], &[];
    lateral: "SELECT * FROM a, LATERAL (SELECT * FROM b) x", &["a", "b"], &[];
    cte_is_no_table: "WITH x AS (SELECT * FROM a) SELECT * FROM x", &["a"], &[];
    cte_named_like_its_table: "WITH a AS (SELECT * FROM a) SELECT * FROM a", &["a"], &[];
    cte_visible_in_next_cte: "WITH x AS (SELECT 1), y AS (SELECT * FROM x) SELECT * FROM y", &[], &[];
    cte_not_visible_in_previous_cte: "WITH y AS (SELECT * FROM x), x AS (SELECT 1) SELECT * FROM y", &["x"], &[];
    cte_visible_in_subquery: "WITH x AS (SELECT 1) SELECT (SELECT * FROM x)", &[], &[];
    cte_of_another_scope: "SELECT (WITH x AS (SELECT 1) SELECT * FROM x) FROM x", &["x"], &[];
    recursive: "WITH RECURSIVE x AS (SELECT 1 UNION ALL SELECT * FROM x) SELECT * FROM x", &[], &[];
    qualified_name_is_no_cte: "WITH x AS (SELECT 1) SELECT * FROM public.x", &["x"], &[];
    folded: "SELECT * FROM Berths", &["berths"], &[];
    quoted: "SELECT * FROM \"Berths\"", &["Berths"], &[];
    function_is_no_table: "SELECT * FROM generate_series(1, 2) AS s", &[], &[];
    insert_select: "INSERT INTO a SELECT * FROM b", &["a", "b"], &["a"];
    update_from: "UPDATE a SET x = b.x FROM b WHERE a.id = b.id", &["a", "b"], &["a"];
    delete_using: "DELETE FROM a USING b WHERE a.id = b.id", &["a", "b"], &["a"];
    delete_in_cte: "WITH x AS (DELETE FROM a RETURNING *) INSERT INTO b SELECT * FROM x", &["a", "b"], &["a", "b"];
    locked_rows: "SELECT * FROM a, b FOR UPDATE", &["a", "b"], &["a", "b"];
    copy_in_names_its_table: "COPY app.Bookings(a, b) FROM STDIN", &["bookings"], &["bookings"];
    copy_out_names_its_table: "COPY a TO STDOUT", &["a"], &[];
    two_statements: "SELECT * FROM a; UPDATE b SET x = 1", &["a", "b"], &["b"];
}

fn check_too_complex(sql: String) {
    let analysis = analyse(&sql);
    assert_eq!(analysis.kind, StatementKind::Write);
    assert!(!analysis.effects_known);
}

cases! {
    check_too_complex;
    deep_parentheses: format!("SELECT {}1{}", "(".repeat(20_000), ")".repeat(20_000));
    unclosed_parentheses: "(".repeat(200_000);
    deep_subqueries: format!("{}SELECT 1{}", "SELECT * FROM (".repeat(5_000), ")".repeat(5_000));
    long_sum: format!("SELECT 1{}", "+1".repeat(50_000));
    long_disjunction: format!("SELECT 1 WHERE a{}", " OR a".repeat(50_000));
    long_union: format!("SELECT 1, 2{}", " UNION SELECT 1, 2".repeat(5_000));
    long_casts: format!("SELECT 1{}", "::int".repeat(50_000));
    long_is_null: format!("SELECT a{}", " IS NULL".repeat(20_000));
    many_nots: format!("SELECT {} a", "NOT ".repeat(50_000));
    many_minuses: format!("SELECT {}1", "- ".repeat(50_000));
    many_subscripts: format!("SELECT a{}", "[1]".repeat(50_000));
    too_large: format!("SELECT '{}'", "x".repeat(SQL_MAX_BYTES));
}

#[test]
fn a_chain_within_the_bound_fits_a_small_stack() {
    let sql = format!("SELECT * FROM t WHERE a{}", " OR a".repeat(CHAIN_MAX - 8));
    let analysed = std::thread::Builder::new()
        .stack_size(512 * 1024)
        .spawn(move || analyse(&sql).kind)
        .unwrap()
        .join();
    assert_eq!(analysed.unwrap(), StatementKind::Read);
}

#[test]
fn large_insert_is_analysed() {
    let rows = vec!["(1, 'abc', now(), $1::int)"; 5_000].join(", ");
    let analysis = analyse(&format!("INSERT INTO t VALUES {rows}"));
    assert_eq!(&*analysis.written_tables, ["t".into()]);
}

fn check_same_key(a: &str, b: &str, expected: bool) {
    let (mut left, mut right) = (Vec::new(), Vec::new());
    fingerprint(a, &mut left);
    fingerprint(b, &mut right);
    assert_eq!(left == right, expected);
}

cases! {
    check_same_key;
    numbers: "SELECT * FROM t WHERE a = 1", "SELECT * FROM t WHERE a = 22", true;
    strings: "SELECT 'a'", "SELECT 'it''s -- ; \" /* x'", true;
    names: "SELECT a1 FROM t", "SELECT a2 FROM t", false;
    parameters: "SELECT $1", "SELECT $2", false;
    quoted_names: "SELECT \"a1\"", "SELECT \"a2\"", false;
    escape_strings: "SELECT E'a\\''", "SELECT E'b\\''", false;
    dollar_quotes: "SELECT $$a$$", "SELECT $$b$$", false;
    comments: "SELECT 1 -- '", "SELECT 2 -- '", false;
    number_and_string: "SELECT 1", "SELECT '1'", false;
    number_joined_to_name: "SELECT 0x1F", "SELECT 5x1F", false;
}

#[test]
fn the_cache_is_bounded_and_separates_groups() {
    let cache = Cache::new();
    let classified = |line| Classification {
        kind: StatementKind::Read,
        treatment: Treatment {
            rule_line: Some(line),
            ..Treatment::strictest()
        },
        reason: "".into(),
    };
    let lookup = |group: &str, sql: &str, line| {
        let found = cache.get_or_insert_with(&GroupName::from(group), sql, || classified(line));
        found.treatment.rule_line
    };
    assert_eq!(lookup("a", "SELECT 1", 1), Some(1));
    assert_eq!(lookup("a", "SELECT 2", 2), Some(1));
    assert_eq!(lookup("b", "SELECT 1", 3), Some(3));
    for number in 0..60_000 {
        lookup("a", &format!("SELECT c{number} FROM t"), 4);
    }
    assert!(cache.stats().entries <= 32 * 512 * 2);
    assert!(cache.stats().size_bytes <= 32 * 2 * (256 + 8) * 1024);
}

/// Generates statements that nest a write in reads, common table expressions or several statements.
fn statement_with_nested_write() -> impl Strategy<Value = String> {
    let writes = prop::sample::select(vec![
        "DELETE FROM t RETURNING id",
        "INSERT INTO t VALUES (1) RETURNING id",
        "UPDATE t SET a = 1 RETURNING id",
        "SELECT id FROM t FOR UPDATE",
        "SELECT nextval('s') AS id",
        "SELECT book() AS id",
    ]);
    let wrappers = prop::sample::select(vec![
        "WITH w AS (@) SELECT * FROM w",
        "WITH w AS (@), v AS (SELECT * FROM w) SELECT count(*) FROM v",
        "SELECT 1; @",
        "@; SELECT 1",
        "EXPLAIN ANALYZE @",
        "/* SELECT */ @ -- SELECT",
        "WITH r AS (SELECT 1) @",
    ]);
    let reads = prop::sample::select(vec![
        "SELECT * FROM (@) x",
        "SELECT * FROM a WHERE id IN (@)",
        "SELECT (@) FROM a",
        "SELECT 1 UNION ALL (@)",
        "SELECT CASE WHEN EXISTS (@) THEN 1 END",
        "SELECT * FROM a, LATERAL (@) x",
        "SELECT * FROM a JOIN (@) x ON true",
        "VALUES ((@))",
        "@",
    ]);
    (writes, prop::collection::vec(reads, 0..4), wrappers).prop_map(|(write, reads, wrapper)| {
        let inner = reads
            .iter()
            .fold(write.to_owned(), |sql, read| read.replace('@', &sql));
        wrapper.replace('@', &inner)
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn a_statement_with_a_write_in_it_is_never_a_read(sql in statement_with_nested_write()) {
        prop_assert_ne!(analyse(&sql).kind, StatementKind::Read);
    }

    #[test]
    fn random_text_never_panics(sql in "\\PC{0,120}") {
        analyse(&sql);
    }

    #[test]
    fn random_words_never_panic(sql in "((SELECT|FROM|WHERE|WITH|AS|INSERT|INTO|UPDATE|SET|COPY|DECLARE|BEGIN|END|CASE|UNION|VALUES|JOIN|ON|a|t|1|'x'|\\(|\\)|,|;|\\*|=|::|\\[|\\]|\\$1|--|/\\*|\\$\\$|\") ){0,40}") {
        analyse(&sql);
        fingerprint(&sql, &mut Vec::new());
    }

    #[test]
    fn texts_with_one_key_have_one_analysis(
        template in prop::sample::select(vec![
            "SELECT * FROM t WHERE a = @ AND b = @ LIMIT @",
            "INSERT INTO t VALUES (@, @, nextval(@))",
            "SELECT set_config(@, @, false)",
            "SET a.b = @",
            "WITH x AS (SELECT @) DELETE FROM t WHERE a < @",
            "SELECT @ || E@ FROM t -- @",
        ]),
        literals in prop::collection::vec("[0-9]{1,9}|'[ a-zA-Z;,()\"*/-]{0,12}'|'(''|x)*'|'\\\\PC{0,6}'", 3),
        others in prop::collection::vec("[0-9]{1,9}|'[ a-zA-Z;,()\"*/-]{0,12}'|'(''|x)*'|'\\\\PC{0,6}'", 3),
    ) {
        let fill = |literals: &[String]| {
            literals.iter().fold(template.to_owned(), |sql, literal| sql.replacen('@', literal, 1))
        };
        let (a, b) = (fill(&literals), fill(&others));
        let (mut left, mut right) = (Vec::new(), Vec::new());
        fingerprint(&a, &mut left);
        fingerprint(&b, &mut right);
        if left == right {
            prop_assert_eq!(analyse(&a), analyse(&b));
        }
    }
}
