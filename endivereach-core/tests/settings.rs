//! Tests for settings: examples, defaults, and the report of all errors with their key and remedy.

use endivereach_core::cases;
use endivereach_core::settings::FleetSettings;
use endivereach_core::settings::Settings;
use proptest::prelude::*;

const MINIMAL: &str = include_str!("data/settings/minimal.toml");

fn check_errors(name: &str, text: &str) {
    let errors = Settings::parse(text).unwrap_err();
    insta::assert_snapshot!(name, errors.to_string());
}

macro_rules! invalid_files {
    ($($name:ident)+) => {
        cases! {
            check_errors;
            $($name: stringify!($name), include_str!(concat!("data/settings/", stringify!($name), ".toml"));)+
        }
    };
}

invalid_files! {
    duplicate_entries
    duplicate_keys
    impossible_addresses
    missing_keys
    not_toml
    out_of_range
    unknown_keys
    wrong_shapes
    wrong_units
}

#[test]
fn minimal_settings_get_documented_defaults() {
    let settings = Settings::parse(MINIMAL).unwrap();
    assert_eq!(settings.drain.balancer_wait_ms, 5_000);
    assert_eq!(settings.limits.request_max.to_string(), "64MiB");
    assert_eq!(settings.limits.connect_timeout.to_string(), "2s");
    assert_eq!(settings.fleet, FleetSettings::default());
}

fn check_example(text: &str, zone: &str, callers: usize) {
    let settings = Settings::parse(text).unwrap_or_else(|errors| panic!("{errors}"));
    assert_eq!(settings.zone.as_str(), zone);
    assert_eq!(settings.callers.len(), callers);
    assert_eq!(settings.drain.in_progress_ms, 20_000);
}

cases! {
    check_example;
    caroni: include_str!("../../examples/caroni.toml"), "tt-south-a", 2;
    faellesroer: include_str!("../../examples/faellesroer.toml"), "roskilde", 3;
}

#[test]
fn missing_file_is_reported() {
    let errors = Settings::read("no-such-file.toml").unwrap_err();
    assert!(
        errors
            .to_string()
            .starts_with("no-such-file.toml:1:1: the file can't be read")
    );
}

#[test]
fn error_names_the_key_and_never_a_password() {
    let errors =
        Settings::parse(&MINIMAL.replace("password = \"app\"", "password = 4711")).unwrap_err();
    assert!(errors.to_string().contains("target.password"));
    assert!(!errors.to_string().contains("4711"), "{errors}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn any_text_is_parsed_or_gives_sorted_errors(lines in prop::collection::vec("(name|zone|listen|callers|fleet|x)( = )?(\"[a-z0-9:.]{0,8}\"|[0-9]{1,20}|\\[|\\]|\\{|\\}|\\PC{0,5}|true)?", 0..8)) {
        if let Err(errors) = Settings::parse(&lines.join("\n")) {
            let positions: Vec<_> = errors.as_slice().iter().map(|e| (e.line, e.column)).collect();
            prop_assert!(!positions.is_empty() && positions.is_sorted());
        }
    }

    #[test]
    fn removing_or_duplicating_a_line_is_an_error(line in 0..11usize, duplicate in any::<bool>()) {
        let lines: Vec<&str> = MINIMAL.lines().collect();
        let mut changed = lines.clone();
        if duplicate {
            changed.insert(line, lines[line]);
        } else {
            changed.remove(line);
        }
        let result = Settings::parse(&changed.join("\n"));
        prop_assert!(result.is_err());
    }

    #[test]
    fn sizes_and_durations_round_trip_through_text(number in 0..u64::MAX / 2) {
        use endivereach_core::units::{ByteSize, TimeSpan};
        let size = ByteSize::new(number);
        prop_assert_eq!(size.to_string().parse::<ByteSize>().unwrap(), size);
        let span = TimeSpan::from(std::time::Duration::from_millis(number));
        prop_assert_eq!(span.to_string().parse::<TimeSpan>().unwrap(), span);
    }
}
