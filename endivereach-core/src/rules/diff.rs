//! What changes between two sets of rules, by rule rather than by line of text.

use super::decide::RuleSet;
use super::model::ListKind;
use super::model::ListLine;
use super::model::Rule;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::fmt;

/// One difference between two sets of rules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A list line of the newer set names something that no list of the older set did.
    Listed {
        /// What is named.
        kind: ListKind,
        /// The name.
        name: Box<str>,
    },
    /// A list line of the older set named something that no list of the newer set does.
    Unlisted {
        /// What was named.
        kind: ListKind,
        /// The name.
        name: Box<str>,
    },
    /// The newer set has the rule.
    Added(Rule),
    /// The older set has the rule.
    Removed(Rule),
    /// The rule is for the same statements and asks for something else, or was asked for by
    /// someone else.
    Changed {
        /// The rule of the older set.
        from: Rule,
        /// The rule of the newer set.
        to: Rule,
    },
    /// The two rules are in both sets, both decide about some statement, and the other one is first
    /// now.
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
/// Spacing, the order of names in a list, the order of rules that never decide about the same
/// statement, and line numbers are no differences.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RuleDiff {
    /// The differences: list lines, rules of the newer set in its order, then removed ones, then reorderings.
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
                Some(from) if !asks_alike(from, rule) => changes.push(Change::Changed {
                    from: (*from).clone(),
                    to: rule.clone(),
                }),
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

    /// Returns whether the two sets decide alike and name the same people.
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
    let (before, after) = (listed(older), listed(newer));
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

fn listed(lists: &[ListLine]) -> BTreeSet<(ListKind, &str)> {
    let names = lists.iter().map(|list| (list.kind, &list.names));
    names
        .flat_map(|(kind, names)| names.iter().map(move |name| (kind, &*name.value)))
        .collect()
}

/// A valid set never holds two rules with one selector, because the second is never reached.
fn by_selector(rules: &[Rule]) -> HashMap<String, &Rule> {
    rules.iter().map(|rule| (rule.selector(), rule)).collect()
}

fn asks_alike(a: &Rule, b: &Rule) -> bool {
    a.clauses == b.clauses && a.asked_by == b.asked_by
}

/// Finds pairs of rules that both sets hold in opposite orders and that may decide about one
/// statement.
fn reorderings(newer: &[Rule], before: &HashMap<String, &Rule>) -> Vec<Change> {
    let kept: Vec<(&Rule, &Rule)> = newer
        .iter()
        .filter_map(|rule| before.get(&rule.selector()).map(|older| (rule, *older)))
        .collect();
    let mut changes = Vec::new();
    for (index, (now_first, older_first)) in kept.iter().enumerate() {
        for (now_second, older_second) in &kept[index + 1..] {
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

/// Returns whether some statement is matched by both rules.
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
