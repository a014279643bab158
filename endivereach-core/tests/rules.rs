//! Tests for sets of rules: matching, combined treatments, the canonical form and differences.

use endivereach_core::cases;
use endivereach_core::ids::GroupName;
use endivereach_core::rules::Catalogue;
use endivereach_core::rules::Change;
use endivereach_core::rules::RuleSet;
use endivereach_core::treatment::Classifier;
use endivereach_core::treatment::Freshness;
use endivereach_core::treatment::Priority;
use endivereach_core::treatment::Repeat;
use endivereach_core::treatment::StatementKind;
use endivereach_core::treatment::Treatment;
use proptest::prelude::*;
use std::time::Duration;

const CARONI: &str = include_str!("../../examples/caroni.rules");
const FAELLESROER: &str = include_str!("../../examples/faellesroer.rules");

fn parse(text: &str) -> RuleSet {
    RuleSet::parse(text, &Catalogue::accept_any()).unwrap_or_else(|errors| panic!("{errors}"))
}

fn treatment_of(rules: &RuleSet, group: &str, sql: &str) -> Treatment {
    rules.classify(&GroupName::from(group), sql).treatment
}

fn check_example_is_valid(text: &str, groups: &[&str], rules: usize) {
    let catalogue = Catalogue {
        groups: Some(groups.iter().map(|group| (*group).into()).collect()),
        tables: None,
    };
    let parsed = RuleSet::parse(text, &catalogue).unwrap_or_else(|errors| panic!("{errors}"));
    assert_eq!(parsed.rules().len(), rules);
}

cases! {
    check_example_is_valid;
    caroni_example_passes: CARONI, &["bookings-db-1", "bookings-db-2", "bookings-db-3"], 10;
    faellesroer_example_passes: FAELLESROER, &["member-ledger-1"], 10;
}

#[test]
fn booking_write_runs_once_and_waits_for_failover() {
    let treatment = treatment_of(
        &parse(CARONI),
        "bookings-db-2",
        "INSERT INTO bookings VALUES (1)",
    );
    assert_eq!(treatment.repeat, Repeat::Never);
    assert!(treatment.wait_for_primary);
    assert_eq!(treatment.priority, Priority::High);
    assert_eq!(treatment.deadline, Duration::from_secs(8));
    assert!(treatment.asked_by.starts_with("Anjali Mohan, desk"));
}

#[test]
fn berth_schedule_read_allows_lag_and_hides_cancelled_slots() {
    let treatment = treatment_of(
        &parse(CARONI),
        "bookings-db-1",
        "SELECT * FROM berth_schedule",
    );
    let max_age = Duration::from_secs(2);
    assert_eq!(treatment.freshness, Freshness::Age { max_age });
    assert!(treatment.hide_cancelled_slots);
}

fn check_strictest_treatment(group: &str, sql: &str) {
    assert_eq!(
        treatment_of(&parse(CARONI), group, sql),
        Treatment::strictest()
    );
}

cases! {
    check_strictest_treatment;
    another_group: "other", "SELECT * FROM bookings";
    unknown_table: "bookings-db-1", "SELECT * FROM surprises";
    unknown_function: "bookings-db-1", "SELECT book(bookings) FROM bookings";
    text_that_is_not_sql: "bookings-db-1", "book me a barge";
    schema_change: "bookings-db-1", "DROP TABLE audit_log";
}

#[test]
fn empty_rule_set_gives_strictest_treatment() {
    let rules = RuleSet::strictest();
    assert_eq!(
        treatment_of(&rules, "g", "SELECT 1"),
        Treatment::strictest()
    );
    assert_eq!(
        treatment_of(&rules, "g", "INSERT INTO t VALUES (1)"),
        Treatment::strictest()
    );
}

const ORDERED: &str = "\
groups bookings-1 read slots latest  # Ada Field, desk: one group is special
groups bookings-* read slots age 2s  # Ben Oak, desk: the others may lag
groups * read * session  # Cy Elm, desk: the rest
";

fn check_matching_line(group: &str, sql: &str, line: u32) {
    assert_eq!(
        treatment_of(&parse(ORDERED), group, sql).rule_line,
        Some(line)
    );
}

cases! {
    check_matching_line;
    first_line_that_matches: "bookings-1", "SELECT * FROM slots", 1;
    pattern: "bookings-2", "SELECT * FROM slots", 2;
    any_table: "ledger", "SELECT * FROM slots", 3;
    no_table: "ledger", "SELECT 1", 3;
    the_stricter_of_two: "bookings-2", "SELECT * FROM slots JOIN berths USING (id)", 3;
    schema_is_ignored: "bookings-2", "SELECT * FROM public.slots", 2;
    alias_is_no_table: "bookings-2", "SELECT x.id FROM slots AS x", 2;
}

#[test]
fn a_join_gets_the_strictest_combination() {
    let rules = parse(
        "groups * read a age 5s no-free-cancelled worth high  # Ada Field, desk: x\n\
         groups * read b session no-hold deadline 1s  # Ben Oak, desk: y\n",
    );
    let treatment = treatment_of(&rules, "g", "SELECT * FROM a, b");
    assert_eq!(treatment.freshness, Freshness::Session);
    assert!(treatment.hide_cancelled_slots && treatment.wait_for_primary);
    assert_eq!(treatment.priority, Priority::High);
    assert_eq!(treatment.deadline, Duration::from_secs(1));
    assert_eq!(treatment.rule_line, Some(2));
}

#[test]
fn join_with_uncovered_table_has_no_rule_line() {
    let rules = parse("groups * read a age 5s  # Ada Field, desk: x\n");
    let treatment = treatment_of(&rules, "g", "SELECT * FROM a, b");
    assert_eq!(treatment.freshness, Freshness::Latest);
    assert_eq!(treatment.rule_line, None);
}

#[test]
fn a_write_is_decided_by_the_table_that_it_changes() {
    let rules = parse("groups * write a repeatable  # Ada Field, desk: x\n");
    let sql = "INSERT INTO a SELECT * FROM b";
    assert_eq!(treatment_of(&rules, "g", sql).repeat, Repeat::Allowed);
}

const WITH_FUNCTION: &str = "\
functions berth_distance, tube_between  # Priya Ramdeen, database: they only compute
groups * read berths age 5s  # Ada Field, desk: x
";

fn check_declared_function(sql: &str, kind: StatementKind, line: Option<u32>) {
    let classified = parse(WITH_FUNCTION).classify(&GroupName::from("g"), sql);
    assert_eq!(
        (classified.kind, classified.treatment.rule_line),
        (kind, line)
    );
}

cases! {
    check_declared_function;
    declared_call_is_a_read: "SELECT berth_distance(a, b) FROM berths", StatementKind::Read, Some(2);
    declared_in_any_schema: "SELECT app.tube_between(a, b) FROM berths", StatementKind::Read, Some(2);
    another_call_is_a_write: "SELECT book(berth_distance(a, b)) FROM berths", StatementKind::Write, None;
}

#[test]
fn removed_declared_function_is_a_difference() {
    let newer = WITH_FUNCTION.replace("berth_distance, ", "");
    let diff = parse(WITH_FUNCTION).diff(&parse(&newer)).to_string();
    assert_eq!(diff, "- functions berth_distance\n");
}

fn check_canonical_form_is_stable(text: &str) {
    let canonical = parse(text).to_string();
    let canonical_twice = parse(&canonical).to_string();
    assert_eq!(canonical, canonical_twice);
    assert!(parse(text).diff(&parse(&canonical)).is_empty());
}

cases! {
    check_canonical_form_is_stable;
    canonical_caroni: CARONI;
    canonical_faellesroer: FAELLESROER;
    canonical_functions: WITH_FUNCTION;
    canonical_spacing: "groups  b , a   read\tz,y   age 2000ms   # Ada Field: x\n";
}

#[test]
fn spacing_and_order_within_lists_are_no_difference() {
    let a =
        parse("groups * read x,y latest # Ada Field: r\ngroups * write z once # Ada Field: r\n");
    let b = parse(
        "\n\ngroups * write z once # Ada Field: r\ngroups *  read y, x latest # Ada Field: r\n",
    );
    assert!(a.diff(&b).is_empty());
}

#[test]
fn a_difference_names_the_rules() {
    let older = parse(ORDERED);
    let newer = parse(
        "groups bookings-* read slots age 5s  # Ben Oak, desk: the others may lag\n\
         groups * write slots once  # Dee Ash, desk: new\n\
         groups * read * session  # Cy Elm, desk: the rest\n",
    );
    insta::assert_snapshot!(older.diff(&newer).to_string());
}

#[test]
fn order_of_disjoint_rules_is_no_difference() {
    let older =
        parse("groups a* read t latest # Ada Field: r\ngroups ab read u session # Ada Field: r\n");
    let newer =
        parse("groups ab read u session # Ada Field: r\ngroups a* read t latest # Ada Field: r\n");
    assert!(older.diff(&newer).is_empty());
}

#[test]
fn swapped_overlapping_rules_are_reported() {
    let first = "groups a* read t latest # Ada Field: r";
    let second = "groups ab read * session # Ada Field: r";
    let older = parse(&format!("{first}\n{second}\n"));
    let newer = RuleSet::parse(&format!("{second}\n{first}\n"), &Catalogue::accept_any()).unwrap();
    let diff = older.diff(&newer);
    assert!(
        matches!(&diff.changes[..], [Change::Reordered { now_first, .. }] if now_first.line == 1)
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn any_text_is_parsed_or_gives_sorted_errors(text in "(groups|tables|read|write|latest|age|2s|[*a-c,#\n]|\\PC| ){0,60}") {
        if let Err(errors) = RuleSet::parse(&text, &Catalogue::accept_any()) {
            let positions: Vec<(u32, u32)> =
                errors.as_slice().iter().map(|error| (error.line, error.column)).collect();
            prop_assert!(!positions.is_empty());
            prop_assert!(positions.is_sorted());
            let lines = text.lines().count().max(1) as u32;
            prop_assert!(positions.iter().all(|position| position.0 <= lines && position.1 >= 1));
        }
    }

    #[test]
    fn combined_freshness_is_the_strictest_of_its_tables(age_s in 1..100u64, first in 0..3usize, second in 0..3usize) {
        let freshness = ["latest", "session", &format!("age {age_s}s")].map(str::to_owned);
        let rules = parse(&format!(
            "groups * read a {} # Ada Field: r\ngroups * read b {} # Ada Field: r\n",
            freshness[first], freshness[second],
        ));
        let (a, b) = (treatment_of(&rules, "g", "SELECT FROM a"), treatment_of(&rules, "g", "SELECT FROM b"));
        let both = treatment_of(&rules, "g", "SELECT * FROM a JOIN b ON a.x = b.x");
        prop_assert_eq!(both.freshness, a.freshness.min(b.freshness));
    }
}
