//! Tests that each error of an invalid rules file is reported with its position, reason and remedy.

use endivereach_core::rules::Catalogue;
use endivereach_core::rules::RuleSet;

fn catalogue() -> Catalogue {
    Catalogue {
        groups: Some(vec!["bookings-1".into(), "bookings-2".into()]),
        tables: None,
    }
}

fn check_errors(name: &str, text: &str, error_count: usize) {
    let file = format!("{name}.rules");
    let errors = RuleSet::parse(text, &catalogue()).unwrap_err();
    insta::assert_snapshot!(name, errors.with_file(&file).to_string());
    assert_eq!(errors.as_slice().len(), error_count);
}

macro_rules! invalid_files {
    ($($name:ident: $error_count:expr;)+) => {
        endivereach_core::cases! {
            check_errors;
            $($name:
                stringify!($name),
                include_str!(concat!("data/rules/broken/", stringify!($name), ".rules")),
                $error_count;
            )+
        }
    };
}

invalid_files! {
    age_out_of_range: 3;
    comment_names_nobody: 3;
    contradiction: 1;
    control_character: 1;
    freshness_missing: 2;
    hold_and_no_hold: 4;
    no_comment: 1;
    not_a_rule: 7;
    odd_names: 6;
    partly_unreachable: 2;
    read_words_on_write: 2;
    repeated_line: 2;
    several_lines_at_once: 4;
    two_freshnesses: 2;
    unit_missing: 4;
    unknown_clause: 1;
    unknown_names: 2;
    unreachable: 1;
}
