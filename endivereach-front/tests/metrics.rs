//! Tests of the text format of metrics.

use endivereach_core::cases;
use endivereach_front::metrics::write_labelled;
use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::sample::select;

fn sample(tenant: &str) -> String {
    let mut text = String::new();
    write_labelled(&mut text, "refused_total", ("tenant", tenant), 3);
    text
}

fn check_tenant(tenant: &str, written: &str) {
    let expected = format!("refused_total{{tenant=\"{written}\"}} 3\n");
    assert_eq!(sample(tenant), expected);
}

// A metric that the name of a tenant ends reads as two, and the page as malformed.
cases! {
    check_tenant;
    a_usual_name_stays_as_it_is: "harbour ø {1}", "harbour ø {1}";
    a_line_feed_ends_no_sample: "a\"} 1\ncallers 0", r#"a\"} 1\ncallers 0"#;
    a_quote_ends_no_label: "a\",b=\"c", r#"a\",b=\"c"#;
    a_backslash_is_escaped: r"a\", r"a\\";
    a_carriage_return_ends_no_sample: "a\r", r"a\\r";
    an_escape_character_is_escaped: "a\u{1b}", r"a\\u{1b}";
}

/// Returns any text, with many characters that mean something in the format.
fn text() -> impl Strategy<Value = String> {
    let special: Vec<char> = "\n\r\"\\{}=, nr\u{85}\u{2028}".chars().collect();
    let character = prop_oneof![any::<char>(), select(special)];
    vec(character, 0..100).prop_map(String::from_iter)
}

/// Undoes the escapes that the text format defines.
fn unescape(value: &str) -> String {
    let mut text = String::new();
    let mut characters = value.chars();
    while let Some(character) = characters.next() {
        match character {
            '\\' => match characters.next() {
                Some('n') => text.push('\n'),
                Some(escaped @ ('"' | '\\')) => text.push(escaped),
                other => panic!("an unknown escape {other:?}"),
            },
            '"' => panic!("a quote that isn't escaped"),
            other => text.push(other),
        }
    }
    text
}

proptest! {
    #[test]
    fn a_sample_is_one_line_with_one_label(tenant in text()) {
        let sample = sample(&tenant);
        let line = sample.strip_suffix('\n').unwrap();
        assert!(!line.contains(char::is_control));
        let value = line.strip_prefix("refused_total{tenant=\"").unwrap();
        let value = unescape(value.strip_suffix("\"} 3").unwrap());
        if !tenant.contains(|c: char| c != '\n' && (c.is_control() || matches!(c, '\u{2028}' | '\u{2029}'))) {
            assert_eq!(value, tenant);
        }
    }
}
