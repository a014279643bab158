//! Tests that no value from outside ends its log line or its field.

use crate::cluster::Cluster;
use crate::cluster::Health;
use crate::cluster::Server;
use crate::cluster::group;
use crate::cluster::read;
use crate::cluster::write;
use endivereach_core::cases;
use endivereach_core::engine::statement::Command;
use endivereach_core::engine::statement::Failure;
use endivereach_core::engine::statement::Statement;
use endivereach_core::engine::topology::TargetEntry;
use endivereach_core::ids::Incarnation;
use endivereach_core::tenants::CallerKey;
use endivereach_core::tenants::TenantLimits;
use endivereach_core::tenants::TenantName;
use endivereach_core::tenants::Tenants;
use std::cell::RefCell;
use std::sync::Once;

/// The most bytes that a line of the tests may have.
const LINE_MAX_BYTES: usize = 8 * 1024;

thread_local! {
    /// The lines that the current test has logged.
    static LINES: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

struct Capture;

impl log::Log for Capture {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        LINES.with_borrow_mut(|lines| lines.push(record.args().to_string()));
    }

    fn flush(&self) {}
}

fn capture() {
    static INSTALL: Once = Once::new();
    INSTALL.call_once(|| {
        log::set_logger(&Capture).unwrap();
        log::set_max_level(log::LevelFilter::Info);
    });
}

/// Returns a line without its quoted values.
///
/// # Panics
///
/// Panics if a value isn't closed, or contains a quote without being quoted.
fn unquoted(line: &str) -> String {
    let (mut text, mut is_quoted) = (String::new(), false);
    let mut characters = line.chars();
    while let Some(character) = characters.next() {
        match character {
            '"' if is_quoted => is_quoted = false,
            '"' => {
                assert!(text.ends_with('='), "a quote inside a value of {line:?}");
                is_quoted = true;
            }
            '\\' if is_quoted => drop(characters.next()),
            other if !is_quoted => text.push(other),
            _ => {}
        }
    }
    assert!(!is_quoted, "a value isn't closed in {line:?}");
    text
}

/// Checks the lines logged so far, of which one must be about `event`.
fn check_lines(event: &str) {
    let lines = LINES.with_borrow_mut(std::mem::take);
    let about = format!("event={event} ");
    assert!(
        lines.iter().any(|line| line.starts_with(&about)),
        "{lines:?}"
    );
    for line in lines {
        assert!(!line.contains(char::is_control), "{line:?}");
        assert!(line.len() <= LINE_MAX_BYTES, "{} bytes", line.len());
        assert_eq!(unquoted(&line).matches("event=").count(), 1, "{line:?}");
    }
}

fn check_server(value: &str) {
    capture();
    let mut cluster = Cluster::open_unlisted();
    let entry = TargetEntry {
        id: value.into(),
        group: value.into(),
        addr: "127.0.0.1:1".parse().unwrap(),
        zone: value.into(),
        slots: 1,
        leaving: false,
        is_primary: true,
        incarnation: Incarnation::new(1),
    };
    let now = cluster.now;
    cluster.engine.set_targets(now, vec![entry.clone()]);
    check_lines("target-new");
    let restarted = TargetEntry {
        leaving: true,
        incarnation: Incarnation::new(2),
        ..entry
    };
    cluster.engine.set_targets(now, vec![restarted]);
    check_lines("target-restarted");
    cluster.engine.set_targets(now, Vec::new());
    check_lines("target-gone");
}

fn check_connections(value: &str) {
    capture();
    let open = |change: fn(&mut Server)| {
        let mut cluster = Cluster::open_unlisted();
        let mut server = cluster.server("b").clone();
        change(&mut server);
        cluster.servers.insert(value.into(), server);
        cluster.listed.push(value.into());
        cluster.publish_targets();
        cluster.advance(1_000);
        cluster
    };
    open(|server| server.accepts = 0);
    check_lines("connection-refused");
    let mut cluster = open(|server| server.health = Health::Down);
    check_lines("target-unreachable");
    cluster.server(value).health = Health::Good;
    cluster.advance(3_000);
    check_lines("target-reachable");
    cluster.disconnect(value);
    check_lines("connection-lost");
}

fn check_repeated_answer(value: &str) {
    capture();
    let mut cluster = Cluster::open_unlisted();
    let server = cluster.server("a").clone();
    cluster.servers.insert(value.into(), server);
    cluster.listed = vec![value.into()];
    cluster.publish_targets();
    cluster.advance(1_000);
    let caller = cluster.caller("session");
    cluster.send_and_wait(caller, write());
    cluster.repeat_answer(value, |given| matches!(given.command, Command::Run { .. }));
    check_lines("answer-repeated");
}

fn check_request(value: &str) {
    capture();
    let mut cluster = Cluster::open();
    let caller = cluster.caller("latest");
    cluster.server("a").fails_with = vec![Failure::Other(value.into()); 8];
    let statement = Statement {
        request: value.into(),
        body: read(),
    };
    let now = cluster.now;
    cluster.engine.caller_statement(now, caller, statement);
    cluster.process_effects();
    cluster.advance(1_000);
    check_lines("failed");
}

fn check_tenant(value: &str) {
    capture();
    let mut cluster = Cluster::open();
    let tenant = TenantName::from(value);
    let mut tenants = Tenants::default();
    let limits = TenantLimits {
        rate_per_s: 5,
        burst: 5,
    };
    tenants.limits.insert(tenant.clone(), limits);
    tenants.keys.insert(CallerKey::from("key").digest(), tenant);
    cluster.change_tenants(Some(tenants));
    let now = cluster.now;
    cluster
        .engine
        .set_tenant_rankings(now, |_| vec!["front-1".into(), value.into()]);
    let caller = cluster.caller_with_key("latest", "key");
    cluster.send_and_wait(caller, read());
    for _ in 0..40 {
        let now = cluster.now;
        cluster.engine.record_proxy_list(now);
        cluster.advance(250);
    }
    check_lines("limit-part");
}

// A log line that a value from outside ends reads as two, the second of the value's choice.
cases! {
    check_server;
    a_line_feed_of_a_server_ends_no_log_line: "v\nts_ms=1 level=info event=forged";
    a_carriage_return_of_a_server_ends_no_log_line: "v\rts_ms=1 level=info event=forged";
    a_blank_of_a_server_starts_no_field: "v event=forged";
    a_quote_of_a_server_ends_no_value: "v\" event=forged x=\"";
    an_escape_character_of_a_server_is_escaped: "v\u{1b}[2J";
    a_long_name_of_a_server_is_cut: &"v".repeat(64 * 1024);
}

cases! {
    check_connections;
    a_line_feed_of_a_connected_server_ends_no_log_line: "v\nts_ms=1 level=info event=forged";
    a_blank_of_a_connected_server_starts_no_field: "v event=forged";
    a_quote_of_a_connected_server_ends_no_value: "v\" event=forged x=\"";
    a_long_name_of_a_connected_server_is_cut: &"v".repeat(64 * 1024);
}

cases! {
    check_repeated_answer;
    a_line_feed_of_a_repeating_server_ends_no_log_line: "v\nts_ms=1 level=info event=forged";
    a_blank_of_a_repeating_server_starts_no_field: "v event=forged";
    a_quote_of_a_repeating_server_ends_no_value: "v\" event=forged x=\"";
    a_long_name_of_a_repeating_server_is_cut: &"v".repeat(64 * 1024);
}

cases! {
    check_request;
    a_line_feed_of_a_request_ends_no_log_line: "v\nts_ms=1 level=info event=forged";
    a_carriage_return_of_a_request_ends_no_log_line: "v\rts_ms=1 level=info event=forged";
    a_blank_of_a_request_starts_no_field: "v event=forged";
    a_quote_of_a_request_ends_no_value: "v\" event=forged x=\"";
    an_escape_character_of_a_request_is_escaped: "v\u{1b}[2J";
    a_long_name_of_a_request_is_cut: &"v".repeat(64 * 1024);
}

cases! {
    check_tenant;
    a_line_feed_of_a_tenant_ends_no_log_line: "v\nts_ms=1 level=info event=forged";
    a_carriage_return_of_a_tenant_ends_no_log_line: "v\rts_ms=1 level=info event=forged";
    a_blank_of_a_tenant_starts_no_field: "v event=forged";
    a_quote_of_a_tenant_ends_no_value: "v\" event=forged x=\"";
    an_escape_character_of_a_tenant_is_escaped: "v\u{1b}[2J";
    a_long_name_of_a_tenant_is_cut: &"v".repeat(64 * 1024);
}

/// The lines of usual names have no quotes, so that they can be searched for.
#[test]
fn usual_names_are_logged_as_they_are() {
    capture();
    let mut cluster = Cluster::open();
    let name = group();
    cluster.server("a").zone = "south-1".into();
    cluster.publish_targets();
    let lines = LINES.with_borrow_mut(std::mem::take);
    let expected = format!("event=target-new target=a group={name} addr=");
    assert!(
        lines.iter().any(|line| line.starts_with(&expected)),
        "{lines:?}"
    );
}
