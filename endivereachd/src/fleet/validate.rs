//! Validation of a version of the rules before it is applied.

use endivereach_core::ids::GroupName;
use endivereach_core::rules::Catalogue;
use endivereach_core::rules::RuleSet;
use endivereach_core::treatment::Classifier;
use endivereach_wire::operator::RulesObject;
use std::thread;

/// Statements that a valid set of rules must classify without a panic.
const PROBE_STATEMENTS: [&str; 4] = [
    "SELECT 1",
    "SELECT * FROM bookings WHERE id = 1",
    "UPDATE bookings SET slot = 2 WHERE id = 1",
    "not SQL at all",
];

/// Decodes and parses a set of rules, and classifies sample statements with it.
///
/// This runs on a separate thread, so that the rules are refused after a panic and the calling
/// thread continues.
///
/// # Errors
///
/// Returns a description of the fault if the rules are invalid.
pub fn validate(value: &[u8]) -> Result<RuleSet, Box<str>> {
    let value = value.to_vec();
    let thread = thread::Builder::new()
        .name("rules-validate".into())
        .spawn(move || check_rules(&value))
        .map_err(|error| format!("no thread to check the rules: {error}"))?;
    let checked = thread.join();
    checked.unwrap_or_else(|_| Err("classifying with these rules panics".into()))
}

fn check_rules(value: &[u8]) -> Result<RuleSet, Box<str>> {
    let object: RulesObject = endivereach_wire::http::decode(value)?;
    let rules = RuleSet::parse(&object.text, &Catalogue::accept_any());
    let rules = rules.map_err(|errors| errors.to_string())?;
    let group = GroupName::from("probe");
    for probe in PROBE_STATEMENTS {
        rules.classify(&group, probe);
    }
    Ok(rules)
}
