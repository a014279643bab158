//! Checks a version of the rules before it is applied.

use endivereach_core::ids::GroupName;
use endivereach_core::rules::Catalogue;
use endivereach_core::rules::RuleSet;
use endivereach_core::treatment::Classifier;
use endivereach_wire::operator::RulesObject;
use std::thread;

/// Statements that every accepted set of rules must be able to classify.
const PROBES: [&str; 4] = [
    "SELECT 1",
    "SELECT * FROM bookings WHERE id = 1",
    "UPDATE bookings SET slot = 2 WHERE id = 1",
    "not SQL at all",
];

/// Decodes, parses and tries a set of rules.
///
/// This happens on a thread of its own, so that a panic is a refusal and not the end of a child.
///
/// # Errors
///
/// Returns what is wrong with the rules.
pub fn validate(value: &[u8]) -> Result<RuleSet, Box<str>> {
    let value = value.to_vec();
    let thread = thread::Builder::new()
        .name("rules-validate".into())
        .spawn(move || try_rules(&value))
        .map_err(|error| format!("no thread to check the rules: {error}"))?;
    let checked = thread.join();
    checked.unwrap_or_else(|_| Err("classifying with these rules panics".into()))
}

fn try_rules(value: &[u8]) -> Result<RuleSet, Box<str>> {
    let object: RulesObject = endivereach_wire::http::decode(value)?;
    let rules = RuleSet::parse(&object.text, &Catalogue::unknown());
    let rules = rules.map_err(|errors| errors.to_string())?;
    let group = GroupName::from("probe");
    for probe in PROBES {
        rules.classify(&group, probe);
    }
    Ok(rules)
}
