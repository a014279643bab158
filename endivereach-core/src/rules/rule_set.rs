//! Selects the treatment of a statement from a set of rules.

use super::check::check_lines;
use super::diff::RuleDiff;
use super::error::RuleErrors;
use super::model::Access;
use super::model::Catalogue;
use super::model::ListKind;
use super::model::ListLine;
use super::model::Rule;
use super::parse::parse_lines;
use crate::classify::Analysis;
use crate::classify::Cache;
use crate::classify::CacheStats;
use crate::classify::DeclaredFunctions;
use crate::classify::analyse_with;
use crate::ids::GroupName;
use crate::treatment::Classification;
use crate::treatment::Classifier;
use crate::treatment::DEADLINE_DEFAULT;
use crate::treatment::Freshness;
use crate::treatment::Priority;
use crate::treatment::Repeat;
use crate::treatment::StatementKind;
use crate::treatment::Treatment;
use std::fmt;

/// A checked set of rules.
///
/// # Invariants
///
/// Every rule is reachable by some statement, and no two rules contradict each other.
#[derive(Debug)]
pub struct RuleSet {
    rules: Vec<Rule>,
    lists: Vec<ListLine>,
    functions: DeclaredFunctions,
    cache: Cache,
}

impl RuleSet {
    /// Parses and checks a rules file.
    ///
    /// # Errors
    ///
    /// Returns all errors of the file, not only the first.
    pub fn parse(text: &str, catalogue: &Catalogue) -> Result<Self, RuleErrors> {
        let mut lines = parse_lines(text);
        check_lines(&lines.rules, &lines.lists, catalogue, &mut lines.errors);
        match RuleErrors::from_unordered(lines.errors) {
            Some(errors) => Err(errors),
            None => Ok(Self {
                rules: lines.rules,
                functions: declared_functions(&lines.lists),
                lists: lines.lists,
                cache: Cache::new(),
            }),
        }
    }

    /// Returns an empty set, which gives every statement the strictest treatment.
    pub fn strictest() -> Self {
        Self {
            rules: Vec::new(),
            lists: Vec::new(),
            functions: DeclaredFunctions::default(),
            cache: Cache::new(),
        }
    }

    /// Returns the rules in the order of the file, which is the order of matching.
    pub fn rules(&self) -> &[Rule] {
        &self.rules
    }

    /// Returns the lines that name tables or functions.
    pub fn lists(&self) -> &[ListLine] {
        &self.lists
    }

    /// Returns the rule on the given line of the file, counted from one.
    pub fn rule_at(&self, line: u32) -> Option<&Rule> {
        self.rules.iter().find(|rule| rule.line == line)
    }

    /// Returns the counters of the classification cache.
    pub fn cache_stats(&self) -> CacheStats {
        self.cache.stats()
    }

    /// Returns the changes from this set to `newer`.
    pub fn diff(&self, newer: &Self) -> RuleDiff {
        RuleDiff::between(self, newer)
    }

    /// Returns the treatment of an analysed statement.
    pub fn decide(&self, group: &GroupName, analysis: &Analysis) -> Treatment {
        if !analysis.effects_known {
            return Treatment::strictest();
        }
        let access = match analysis.kind {
            StatementKind::Read => Access::Read,
            _ => Access::Write,
        };
        let tables = match access {
            Access::Read => &analysis.named_tables,
            Access::Write => &analysis.written_tables,
        };
        let mut treatments = tables
            .iter()
            .map(|table| self.decide_table(group, access, Some(table)));
        match treatments.next() {
            None => self.decide_table(group, access, None),
            Some(first) => treatments.fold(first, combine_strictest),
        }
    }

    /// Returns the treatment of the first matching rule, or the strictest treatment when none
    /// matches.
    fn decide_table(&self, group: &GroupName, access: Access, table: Option<&str>) -> Treatment {
        let matches_statement = |rule: &&Rule| rule.matches(group, access, table);
        match self.rules.iter().find(matches_statement) {
            Some(rule) => rule_treatment(rule),
            None => Treatment::strictest(),
        }
    }

    fn classify_uncached(&self, group: &GroupName, sql: &str) -> Classification {
        let analysis = analyse_with(sql, &self.functions);
        let treatment = self.decide(group, &analysis);
        Classification {
            kind: analysis.kind,
            treatment,
            reason: analysis.reason,
        }
    }
}

fn declared_functions(lists: &[ListLine]) -> DeclaredFunctions {
    let lists = lists.iter().filter(|list| list.kind == ListKind::Functions);
    lists
        .flat_map(|list| &list.names)
        .map(|name| name.value.clone())
        .collect()
}

impl Classifier for RuleSet {
    fn classify(&self, group: &GroupName, sql: &str) -> Classification {
        self.cache
            .get_or_insert_with(group, sql, || self.classify_uncached(group, sql))
    }
}

/// Writes the set in its canonical form: one space between words, names sorted, clauses in a fixed
/// order, and the comment that names each line's requester as the only comment.
impl fmt::Display for RuleSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for list in &self.lists {
            writeln!(f, "{list}")?;
        }
        for rule in &self.rules {
            writeln!(f, "{rule}")?;
        }
        Ok(())
    }
}

/// Returns the treatment that a rule states.
///
/// A clause that the rule omits takes the value of the strictest treatment, except that reads may
/// always be repeated and cancelled slots are hidden only on request.
fn rule_treatment(rule: &Rule) -> Treatment {
    let clauses = &rule.clauses;
    let repeat = match rule.access {
        Access::Read => Repeat::Allowed,
        Access::Write => clauses.repeat.unwrap_or(Repeat::Never),
    };
    Treatment {
        freshness: clauses.freshness.unwrap_or(Freshness::Latest),
        repeat,
        wait_for_primary: clauses.wait_for_primary.unwrap_or(true),
        hide_cancelled_slots: clauses.hide_cancelled_slots,
        priority: clauses.priority.unwrap_or(Priority::Normal),
        deadline: clauses.deadline.unwrap_or(DEADLINE_DEFAULT),
        rule_line: Some(rule.line),
        asked_by: rule.asked_by.clone(),
    }
}

/// Combines the treatments of two tables of one statement.
///
/// The result names the rule of the stricter treatment, ordered by [`leniency_key`]. If no rule
/// covers one of the tables, the result names no rule.
fn combine_strictest(a: Treatment, b: Treatment) -> Treatment {
    let (stricter, other) = if leniency_key(&b) < leniency_key(&a) {
        (b, a)
    } else {
        (a, b)
    };
    Treatment {
        freshness: stricter.freshness,
        repeat: stricter.repeat.max(other.repeat),
        wait_for_primary: stricter.wait_for_primary || other.wait_for_primary,
        hide_cancelled_slots: stricter.hide_cancelled_slots || other.hide_cancelled_slots,
        priority: stricter.priority.max(other.priority),
        deadline: stricter.deadline.min(other.deadline),
        rule_line: stricter.rule_line,
        asked_by: stricter.asked_by,
    }
}

/// Returns a sort key that puts the strictest treatment first.
///
/// `Freshness` declares its variants from strictest to most lenient.
fn leniency_key(treatment: &Treatment) -> (bool, Freshness, std::cmp::Reverse<Repeat>) {
    (
        treatment.rule_line.is_some(),
        treatment.freshness,
        std::cmp::Reverse(treatment.repeat),
    )
}
