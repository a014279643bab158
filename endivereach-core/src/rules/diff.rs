//! Differences between two sets of rules, compared by rule rather than by line of text.

use super::model::ListKind;
use super::model::ListLine;
use super::model::Rule;
use super::rule_set::RuleSet;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::fmt;

/// One difference between two sets of rules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A `tables` or `functions` line of the newer set lists a name that the older set doesn't.
    Listed {
        /// Whether the name is a table or a function.
        kind: ListKind,
        /// The name.
        name: Box<str>,
    },
    /// A `tables` or `functions` line of the older set lists a name that the newer set doesn't.
    Unlisted {
        /// Whether the name is a table or a function.
        kind: ListKind,
        /// The name.
        name: Box<str>,
    },
    /// Only the newer set has a rule with this selector.
    Added(Rule),
    /// Only the older set has a rule with this selector.
    Removed(Rule),
    /// Both sets have a rule with this selector, but its clauses or its comment differ.
    Changed {
        /// The rule of the older set.
        from: Rule,
        /// The rule of the newer set.
        to: Rule,
    },
    /// Both sets have the two rules, some statement matches both, and their order is reversed.
    Reordered {
        /// The rule that is first in the newer set.
        now_first: Rule,
        /// The rule that was first in the older set.
        was_first: Rule,
    },
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listed { kind, name } => write!(f, "+ {kind} {name}"),
            Self::Unlisted { kind, name } => write!(f, "- {kind} {name}"),
            Self::Added(rule) => write!(f, "+ {rule}"),
            Self::Removed(rule) => write!(f, "- {rule}"),
            Self::Changed { from, to } => write!(f, "~ {from}\n  {to}"),
            Self::Reordered {
                now_first,
                was_first,
            } => write!(
                f,
                "^ {}\n  now comes before {}",
                now_first.selector(),
                was_first.selector()
            ),
        }
    }
}

/// Every difference between two sets of rules.
///
/// Spacing, line numbers, the order of names in a list and the order of rules that never match the
/// same statement don't count as differences.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RuleDiff {
    /// The differences in this order: list lines, added and changed rules in the order of the newer
    /// set, removed rules, reordered rules.
    pub changes: Vec<Change>,
}

impl RuleDiff {
    /// Compares two sets.
    pub(crate) fn between(older: &RuleSet, newer: &RuleSet) -> Self {
        let before = by_selector(older.rules());
        let after = by_selector(newer.rules());
        let mut changes = list_changes(older.lists(), newer.lists());
        for rule in newer.rules() {
            match before.get(&rule.selector()) {
                None => changes.push(Change::Added(rule.clone())),
                Some(from) if !same_clauses_and_requester(from, rule) => {
                    changes.push(Change::Changed {
                        from: (*from).clone(),
                        to: rule.clone(),
                    })
                }
                Some(_) => {}
            }
        }
        let removed = older
            .rules()
            .iter()
            .filter(|rule| !after.contains_key(&rule.selector()));
        changes.extend(removed.cloned().map(Change::Removed));
        changes.extend(reorderings(newer.rules(), &before));
        Self { changes }
    }

    /// Returns whether the two sets treat every statement alike and have the same comments.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }
}

impl fmt::Display for RuleDiff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for change in &self.changes {
            writeln!(f, "{change}")?;
        }
        Ok(())
    }
}

fn list_changes(older: &[ListLine], newer: &[ListLine]) -> Vec<Change> {
    let (before, after) = (listed_names(older), listed_names(newer));
    let added = after
        .difference(&before)
        .map(|(kind, name)| Change::Listed {
            kind: *kind,
            name: (*name).into(),
        });
    let removed = before
        .difference(&after)
        .map(|(kind, name)| Change::Unlisted {
            kind: *kind,
            name: (*name).into(),
        });
    added.chain(removed).collect()
}

fn listed_names(lists: &[ListLine]) -> BTreeSet<(ListKind, &str)> {
    let names = lists.iter().map(|list| (list.kind, &list.names));
    names
        .flat_map(|(kind, names)| names.iter().map(move |name| (kind, &*name.value)))
        .collect()
}

/// Indexes rules by selector.
///
/// Selectors are unique in a valid set, because the second of two equal ones would be unreachable.
fn by_selector(rules: &[Rule]) -> HashMap<String, &Rule> {
    rules.iter().map(|rule| (rule.selector(), rule)).collect()
}

fn same_clauses_and_requester(a: &Rule, b: &Rule) -> bool {
    a.clauses == b.clauses && a.asked_by == b.asked_by
}

/// Returns the pairs of rules that both sets contain in opposite orders and that may match the same
/// statement.
fn reorderings(newer: &[Rule], before: &HashMap<String, &Rule>) -> Vec<Change> {
    let common: Vec<(&Rule, &Rule)> = newer
        .iter()
        .filter_map(|rule| before.get(&rule.selector()).map(|older| (rule, *older)))
        .collect();
    let mut changes = Vec::new();
    for (index, (now_first, older_first)) in common.iter().enumerate() {
        for (now_second, older_second) in &common[index + 1..] {
            let swapped = older_second.line < older_first.line;
            if swapped && overlaps(now_first, now_second) {
                changes.push(Change::Reordered {
                    now_first: (*now_first).clone(),
                    was_first: (*now_second).clone(),
                });
            }
        }
    }
    changes
}

/// Returns whether some statement may match both rules.
fn overlaps(a: &Rule, b: &Rule) -> bool {
    let groups = a
        .groups
        .iter()
        .any(|x| b.groups.iter().any(|y| x.value.overlaps(&y.value)));
    let tables = a
        .tables
        .iter()
        .any(|x| b.tables.iter().any(|y| x.value.overlaps(&y.value)));
    a.access == b.access && groups && tables
}
