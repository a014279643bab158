//! Tests of values in log lines.

use endivereach_core::cases;
use endivereach_core::logfmt::LogText;
use endivereach_core::logfmt::LogValue;
use endivereach_core::logfmt::OneLine;
use endivereach_core::logfmt::VALUE_MAX_BYTES;
use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::sample::select;

fn check_value(value: &str, written: &str) {
    assert_eq!(LogValue(value).to_string(), written);
}

cases! {
    check_value;
    a_name_stays_as_it_is: "front-1/x_y.z:7#4,5;'*", "front-1/x_y.z:7#4,5;'*";
    letters_of_any_language_stay: "køge-東", "køge-東";
    an_empty_value_is_quoted: "", "\"\"";
    a_line_feed_ends_no_line: "q\nts_ms=1 event=x", r#""q\nts_ms=1 event=x""#;
    a_carriage_return_ends_no_line: "q\r", r#""q\r""#;
    a_blank_ends_no_field: "q event=x", r#""q event=x""#;
    an_equals_sign_starts_no_field: "q=x", r#""q=x""#;
    a_quote_ends_no_value: "q\" event=\"x", r#""q\" event=\"x""#;
    a_backslash_escapes_nothing: r"q\n", r#""q\\n""#;
    a_bracket_opens_no_structure: "q(", r#""q(""#;
    an_escape_character_controls_no_terminal: "\u{1b}[2J", r#""\u{1b}[2J""#;
    a_line_separator_ends_no_line: "q\u{2028}\u{85}", r#""q\u{2028}\u{85}""#;
    a_reversed_direction_is_shown: "q\u{202e}", r#""q\u{202e}""#;
}

#[test]
fn a_long_value_is_cut_at_a_character() {
    let long = "é".repeat(VALUE_MAX_BYTES);
    let kept = "é".repeat(VALUE_MAX_BYTES / 2);
    assert_eq!(
        LogValue(&long).to_string(),
        format!("\"{kept}\\+{VALUE_MAX_BYTES}\"")
    );
    let longest = "x".repeat(VALUE_MAX_BYTES);
    assert_eq!(LogValue(&longest).to_string(), longest);
}

#[test]
fn parts_are_cut_like_a_whole() {
    let (part, whole) = ("x".repeat(200), "x".repeat(600));
    let parts = format_args!("{part}{part}{part}").to_string();
    assert_eq!(LogText(&parts).to_string(), LogText(&whole).to_string());
    let written = LogText(format_args!("{part}{part}{part}")).to_string();
    assert_eq!(written, LogText(&whole).to_string());
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
    fn text_of_a_line_is_one_line(text in text()) {
        let line = OneLine(&text).to_string();
        assert!(!line.contains(char::is_control));
        assert_eq!(line.lines().count(), usize::from(!text.is_empty()));
    }

    /// Other programs read quoted values as literals of Rust.
    #[test]
    fn a_quoted_value_is_bounded_and_has_no_quote_inside(text in text()) {
        let written = LogText(&text).to_string();
        let inside = &written[1..written.len() - 1];
        let unescaped = inside.replace("\\\\", "").replace("\\\"", "");
        assert!(!unescaped.contains('"'));
        assert!(written.len() <= 10 * VALUE_MAX_BYTES);
    }
}
