//! Tests of the daemon's log lines.

use endivereach_core::cases;
use endivereachd::logs::write_line;
use log::Record;

fn check_line(args: &str, expected: &str) {
    let mut line = Vec::new();
    write_line(
        &mut line,
        "2026-03-02T00:00:00Z",
        &Record::builder()
            .target("groups")
            .args(format_args!("{args}"))
            .build(),
    )
    .unwrap();
    let expected = format!("[2026-03-02T00:00:00Z INFO  groups] {expected}\n");
    assert_eq!(String::from_utf8(line).unwrap(), expected);
}

// A log line that a name or an error of another program ends reads as two.
cases! {
    check_line;
    a_usual_line_stays_as_it_is: "ledger: a \"b\"", "ledger: a \"b\"";
    a_line_feed_ends_no_line: "a\n[2026-03-02T00:00:00Z INFO  x] y", "a\\n[2026-03-02T00:00:00Z INFO  x] y";
    a_carriage_return_ends_no_line: "a\rb", "a\\rb";
    an_escape_character_controls_no_terminal: "a\u{1b}[2J", "a\\u{1b}[2J";
}
