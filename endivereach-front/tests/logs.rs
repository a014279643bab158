//! Tests that a record is written as one line, whatever its arguments contain.

use endivereach_core::cases;
use endivereach_core::logfmt::LINE_MAX_BYTES;
use endivereach_front::logs::write_line;
use log::Level;
use log::Record;
use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::sample::select;

fn written(args: &str) -> String {
    let mut line = Vec::new();
    write_line(
        &mut line,
        7,
        "front-1",
        &Record::builder()
            .level(Level::Warn)
            .target("belief")
            .args(format_args!("{args}"))
            .build(),
    )
    .unwrap();
    String::from_utf8(line).unwrap()
}

fn check_line(args: &str, expected: &str) {
    let line = format!("ts_ms=7 level=warn node=front-1 about=belief {expected}\n");
    assert_eq!(written(args), line);
}

// An argument that isn't quoted where it is logged ends no line either.
cases! {
    check_line;
    a_usual_line_stays_as_it_is: "event=x target=i-1 reason=\"an \\\"ø\\\" 'a'\"", "event=x target=i-1 reason=\"an \\\"ø\\\" 'a'\"";
    a_line_feed_is_escaped: "event=x id=q\nts_ms=1 event=y", "event=x id=q\\nts_ms=1 event=y";
    a_carriage_return_is_escaped: "event=x id=q\r", "event=x id=q\\r";
    an_escape_character_is_escaped: "event=x id=\u{1b}[2J", "event=x id=\\u{1b}[2J";
    a_line_separator_is_escaped: "event=x id=\u{85}\u{2028}", "event=x id=\\u{85}\\u{2028}";
}

/// A line that doesn't fit the buffer is dropped, so that one long value would hide its event.
#[test]
fn a_long_line_is_cut() {
    let line = written(&format!("event=x id={}", "q".repeat(64 * 1024)));
    assert!(line.contains("event=x id=qqq"));
    assert!(line.len() < LINE_MAX_BYTES + 100, "{} bytes", line.len());
    assert!(
        line.ends_with("q\\+57355\n"),
        "{}",
        &line[line.len() - 20..]
    );
}

/// Returns any text, with many characters that mean something in a log line.
fn text() -> impl Strategy<Value = String> {
    let special: Vec<char> = "\n\r\t\0\"\\ =()[]{}+0nu\u{1b}\u{85}\u{2028}"
        .chars()
        .collect();
    let character = prop_oneof![any::<char>(), select(special)];
    vec(character, 0..400).prop_map(String::from_iter)
}

proptest! {
    #[test]
    fn a_record_is_always_one_line(args in text()) {
        let line = written(&args);
        let text = line.strip_suffix('\n').unwrap();
        assert!(!text.contains(char::is_control));
        assert!(line.starts_with("ts_ms=7 level=warn node=front-1 about=belief "));
    }
}
