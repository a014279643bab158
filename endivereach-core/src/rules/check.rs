//! Checks that compare the lines of a rules file with each other and with a catalogue.

use super::error::RuleError;
use super::model::Catalogue;
use super::model::GroupPattern;
use super::model::ListKind;
use super::model::ListLine;
use super::model::Located;
use super::model::Rule;
use super::model::TablePattern;
use super::parse::rule_error;
use std::collections::BTreeSet;
use std::collections::HashMap;

/// Reports unknown groups and tables, and rules that no statement can reach.
pub(crate) fn check_lines(
    rules: &[Rule],
    lists: &[ListLine],
    catalogue: &Catalogue,
    errors: &mut Vec<RuleError>,
) {
    check_groups(rules, catalogue, errors);
    check_tables(rules, lists, catalogue, errors);
    check_reachable(rules, errors);
}

fn check_groups(rules: &[Rule], catalogue: &Catalogue, errors: &mut Vec<RuleError>) {
    let Some(groups) = &catalogue.groups else {
        return;
    };
    for rule in rules {
        for pattern in &rule.groups {
            let any = pattern.value == GroupPattern::new("*");
            if any || groups.iter().any(|group| pattern.value.matches(group)) {
                continue;
            }
            let known = format_names(groups.iter().map(|group| group.as_str()));
            let reason = format!("no group is called {:?}", pattern.value.to_string());
            errors.push(rule_error(
                rule.line,
                pattern.column,
                reason,
                format!("use one of: {known}"),
            ));
        }
    }
}

fn check_tables(
    rules: &[Rule],
    lists: &[ListLine],
    catalogue: &Catalogue,
    errors: &mut Vec<RuleError>,
) {
    let Some(known) = known_tables(lists, catalogue) else {
        return;
    };
    for rule in rules {
        for table in &rule.tables {
            let TablePattern::Named(name) = &table.value else {
                continue;
            };
            if known.contains(&**name) {
                continue;
            }
            let reason = format!("no table is called {name:?}");
            let listed = format_names(known.iter().copied());
            let remedy = format!("use one of: {listed}; or add it to the 'tables' line");
            errors.push(rule_error(rule.line, table.column, reason, remedy));
        }
    }
}

/// Returns the tables that the file's `tables` lines and the catalogue list, or `None` when neither
/// lists any.
fn known_tables<'a>(lists: &'a [ListLine], catalogue: &'a Catalogue) -> Option<BTreeSet<&'a str>> {
    let in_file_lists = || lists.iter().filter(|list| list.kind == ListKind::Tables);
    if in_file_lists().next().is_none() && catalogue.tables.is_none() {
        return None;
    }
    let listed = in_file_lists().flat_map(|list| &list.names);
    let in_catalogue = catalogue.tables.iter().flatten();
    let listed = listed.map(|name| &*name.value);
    Some(listed.chain(in_catalogue.map(|table| &**table)).collect())
}

/// The maximum number of names that an error message lists.
const LISTED_NAMES_MAX: usize = 12;

fn format_names<'a>(names: impl Iterator<Item = &'a str>) -> String {
    let mut names: Vec<&str> = names.collect();
    names.sort_unstable();
    let more = names.len().saturating_sub(LISTED_NAMES_MAX);
    names.truncate(LISTED_NAMES_MAX);
    let text = if names.is_empty() {
        "(none)".to_owned()
    } else {
        names.join(", ")
    };
    match more {
        0 => text,
        more => format!("{text} and {more} more"),
    }
}

/// The rules on earlier lines, indexed by table pattern.
///
/// The index avoids comparing every pair of lines.
#[derive(Default)]
struct EarlierRules<'a> {
    by_table: HashMap<&'a TablePattern, Vec<&'a Rule>>,
}

impl<'a> EarlierRules<'a> {
    /// Returns the first earlier rule with the same access as `rule` that covers both `group` and
    /// `table`.
    fn first_covering(
        &self,
        rule: &Rule,
        group: &GroupPattern,
        table: &TablePattern,
    ) -> Option<&'a Rule> {
        let exact = self.by_table.get(table).into_iter().flatten();
        let any = self.by_table.get(&TablePattern::Any).into_iter().flatten();
        exact
            .chain(any)
            .filter(|earlier| earlier.access == rule.access)
            .filter(|earlier| {
                earlier
                    .groups
                    .iter()
                    .any(|pattern| pattern.value.covers(group))
            })
            .copied()
            .min_by_key(|earlier| earlier.line)
    }

    fn insert(&mut self, rule: &'a Rule) {
        for table in &rule.tables {
            self.by_table.entry(&table.value).or_default().push(rule);
        }
    }
}

/// Reports rules that no statement can reach, and single tables or groups of a rule that earlier
/// rules already cover.
fn check_reachable(rules: &[Rule], errors: &mut Vec<RuleError>) {
    let mut earlier = EarlierRules::default();
    for rule in rules {
        check_rule_reachable(rule, &earlier, errors);
        earlier.insert(rule);
    }
}

fn check_rule_reachable(rule: &Rule, earlier: &EarlierRules<'_>, errors: &mut Vec<RuleError>) {
    for table in &rule.tables {
        let covering_rules: Vec<Option<&Rule>> = rule
            .groups
            .iter()
            .map(|group| earlier.first_covering(rule, &group.value, &table.value))
            .collect();
        if covering_rules.iter().all(Option::is_some) {
            errors
                .extend(covering_rules[0].map(|covering| unreachable_rule(rule, table, covering)));
            continue;
        }
        for (group, cover) in rule.groups.iter().zip(covering_rules) {
            let Some(cover) = cover else { continue };
            let reason = format!(
                "line {} already covers {}s of {:?} in {:?}",
                cover.line,
                rule.access,
                table.value.to_string(),
                group.value.to_string(),
            );
            let remedy = format!(
                "delete the group here, or move this line above line {}",
                cover.line
            );
            errors.push(rule_error(rule.line, group.column, reason, remedy));
        }
    }
}

fn unreachable_rule(rule: &Rule, table: &Located<TablePattern>, covering: &Rule) -> RuleError {
    let name = table.value.to_string();
    let accesses = format!("{}s of {name:?}", rule.access);
    let same_selector = covering.selector() == rule.selector();
    if covering.clauses == rule.clauses {
        let reason = format!(
            "line {} already covers {accesses} in the same way",
            covering.line
        );
        return rule_error(rule.line, table.column, reason, "delete one of the two");
    }
    if same_selector {
        let reason = format!(
            "the line contradicts line {}, which asks for '{}' ({})",
            covering.line,
            covering.clauses.to_string().trim(),
            covering.asked_by,
        );
        let remedy = "ask both requesters which rule applies, and keep one line";
        return rule_error(rule.line, table.column, reason, remedy);
    }
    let reason = format!(
        "the line has no effect on {accesses}, because line {} comes first and covers them",
        covering.line,
    );
    let remedy = format!("move it above line {}, or delete it", covering.line);
    rule_error(rule.line, table.column, reason, remedy)
}
