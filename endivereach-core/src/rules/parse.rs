//! Parser for rules files that collects all errors instead of stopping at the first.

use super::clauses::parse_clauses;
use super::error::RuleError;
use super::line::Line;
use super::model::Access;
use super::model::GroupPattern;
use super::model::ListKind;
use super::model::ListLine;
use super::model::Located;
use super::model::Rule;
use super::model::TablePattern;

/// The maximum size of a rules file, in bytes. The file and its history must fit one object of the
/// platform.
pub const TEXT_MAX_BYTES: usize = 768 * 1024;

/// The maximum length of a line, in bytes.
pub const LINE_MAX_BYTES: usize = 2_000;

/// The maximum number of `groups` lines in a file.
pub const RULES_MAX: usize = 5_000;

const RULE_SYNTAX: &str = "write 'groups GROUP read TABLE latest  # NAME, ROLE: REASON'";

/// The parsed lines of a rules file, with the errors found in them.
#[derive(Debug, Default)]
pub(crate) struct ParsedLines {
    /// The `groups` lines, in the order of the file.
    pub(crate) rules: Vec<Rule>,
    /// The `tables` and `functions` lines.
    pub(crate) lists: Vec<ListLine>,
    /// The errors found so far, unordered.
    pub(crate) errors: Vec<RuleError>,
}

/// Parses a whole rules file.
pub(crate) fn parse_lines(text: &str) -> ParsedLines {
    let mut lines = ParsedLines::default();
    if text.len() > TEXT_MAX_BYTES {
        let reason = format!("the file has {} bytes", text.len());
        let remedy = format!("keep it within {TEXT_MAX_BYTES} bytes");
        lines.errors.push(rule_error(1, 1, reason, remedy));
        return lines;
    }
    let text = text.strip_prefix('\u{feff}').unwrap_or(text);
    for (number, line) in (1u32..).zip(text.lines()) {
        parse_line(number, line, &mut lines);
        if lines.rules.len() > RULES_MAX {
            let reason = format!("there are more than {RULES_MAX} rules");
            let remedy = "name several tables or groups in one line";
            lines.errors.push(rule_error(number, 1, reason, remedy));
            return lines;
        }
    }
    lines
}

/// Creates an error at the given line and column, both counted from one.
pub(crate) fn rule_error(
    line: u32,
    column: u32,
    reason: impl Into<Box<str>>,
    remedy: impl Into<Box<str>>,
) -> RuleError {
    RuleError {
        line,
        column,
        reason: reason.into(),
        remedy: remedy.into(),
    }
}

fn parse_line(number: u32, text: &str, lines: &mut ParsedLines) {
    if text.len() > LINE_MAX_BYTES {
        let reason = format!("the line has {} bytes", text.len());
        let remedy = format!("keep it within {LINE_MAX_BYTES} bytes, or split its tables over two");
        lines.errors.push(rule_error(number, 1, reason, remedy));
        return;
    }
    let control = text.chars().position(|c| c.is_control() && c != '\t');
    if let Some(index) = control {
        let reason = "the line contains a control character";
        let column = index as u32 + 1;
        lines
            .errors
            .push(rule_error(number, column, reason, "delete it"));
        return;
    }
    let line = Line::split(text);
    let Some(first) = line.words.first() else {
        return;
    };
    let asked_by = check_comment(number, &line, &mut lines.errors);
    let mut words = WordCursor::new(number, &line);
    match first.value {
        "groups" => {
            if let Some(rule) = parse_rule(&mut words, asked_by, &mut lines.errors) {
                lines.rules.push(rule);
            }
        }
        "tables" => {
            let list = parse_list_line(&mut words, ListKind::Tables, asked_by, &mut lines.errors);
            lines.lists.extend(list);
        }
        "functions" => {
            let list =
                parse_list_line(&mut words, ListKind::Functions, asked_by, &mut lines.errors);
            lines.lists.extend(list);
        }
        other => {
            let reason = format!("a line can't start with {other:?}");
            lines
                .errors
                .push(rule_error(number, first.column, reason, RULE_SYNTAX));
        }
    }
}

/// Words in a comment that don't count as the name of a person.
const PLACEHOLDER_NAMES: [&str; 9] = [
    "todo",
    "fixme",
    "xxx",
    "tbd",
    "unknown",
    "nobody",
    "someone",
    "anonymous",
    "n/a",
];

/// Returns the comment. Reports an error unless it starts with what may be the name of a person.
fn check_comment(number: u32, line: &Line<'_>, errors: &mut Vec<RuleError>) -> Box<str> {
    const REMEDY: &str = "end the line with '# NAME, ROLE, DATE: REASON', so that the \
                          requester can be asked about it later";
    let Some(comment) = &line.comment else {
        let reason = "the line doesn't say who asked for it";
        errors.push(rule_error(number, line.end_column, reason, REMEDY));
        return "".into();
    };
    let requester = comment.value.split([',', ':']).next().unwrap_or("").trim();
    let letters = requester.chars().filter(|c| c.is_alphabetic()).count();
    if letters < 2 || PLACEHOLDER_NAMES.contains(&&*requester.to_lowercase()) {
        let reason = format!("the comment names nobody: {:?}", comment.value);
        errors.push(rule_error(number, comment.column, reason, REMEDY));
    }
    comment.value.into()
}

/// A cursor over the words of one line after its first.
pub(crate) struct WordCursor<'l, 'a> {
    /// The line number, counted from one.
    pub(crate) number: u32,
    words: &'l [Located<&'a str>],
    /// The column after the last word.
    pub(crate) end_column: u32,
}

impl<'l, 'a> WordCursor<'l, 'a> {
    fn new(number: u32, line: &'l Line<'a>) -> Self {
        Self {
            number,
            words: &line.words[1..],
            end_column: line.end_column,
        }
    }

    /// Returns the next word and advances past it.
    pub(crate) fn next(&mut self) -> Option<&'l Located<&'a str>> {
        let (first, rest) = self.words.split_first()?;
        self.words = rest;
        Some(first)
    }

    /// Returns the next word without advancing.
    pub(crate) fn peek(&self) -> Option<&'l Located<&'a str>> {
        self.words.first()
    }

    /// Returns the comma-separated words that follow and advances past them.
    fn next_list(&mut self) -> Vec<&'l Located<&'a str>> {
        let mut list = Vec::new();
        while self.peek().is_some_and(|word| word.value != ",") {
            list.extend(self.next());
            if self.peek().is_none_or(|word| word.value != ",") {
                break;
            }
            self.next();
        }
        list
    }

    /// Creates an error at `word`, or at the end of the line for `None`.
    pub(crate) fn error_at(
        &self,
        word: Option<&Located<&str>>,
        reason: impl Into<Box<str>>,
        remedy: impl Into<Box<str>>,
    ) -> RuleError {
        let column = word.map_or(self.end_column, |word| word.column);
        rule_error(self.number, column, reason, remedy)
    }
}

fn parse_rule(
    words: &mut WordCursor<'_, '_>,
    asked_by: Box<str>,
    errors: &mut Vec<RuleError>,
) -> Option<Rule> {
    let error_count_before = errors.len();
    let groups = parse_groups(words, errors)?;
    let access = parse_access(words, errors)?;
    let tables = parse_tables(words, errors);
    let clauses = parse_clauses(words, access, errors);
    (errors.len() == error_count_before).then_some(Rule {
        line: words.number,
        groups,
        access,
        tables,
        clauses,
        asked_by,
    })
}

fn parse_groups(
    words: &mut WordCursor<'_, '_>,
    errors: &mut Vec<RuleError>,
) -> Option<Vec<Located<GroupPattern>>> {
    let list = words.next_list();
    let first = list.first().copied().or(words.peek());
    if first.is_none_or(|word| matches!(word.value, "," | "read" | "write")) {
        errors.push(words.error_at(first, "the line names no group", RULE_SYNTAX));
        return None;
    }
    let mut groups: Vec<Located<GroupPattern>> = Vec::new();
    for word in list {
        let name = word.value.strip_suffix('*').unwrap_or(word.value);
        if !name.is_empty() && crate::ids::check_name(name).is_err() {
            let reason = format!("{:?} is not the name of a group", word.value);
            let remedy = "use letters, digits, '-', '_', '.' and '/', with '*' at the end only";
            errors.push(words.error_at(Some(word), reason, remedy));
        }
        let pattern = GroupPattern::new(word.value);
        if groups.iter().any(|earlier| earlier.value == pattern) {
            let reason = format!("the group {:?} is named twice", word.value);
            errors.push(words.error_at(Some(word), reason, "name it once"));
        }
        groups.push(Located {
            value: pattern,
            column: word.column,
        });
    }
    Some(groups)
}

fn parse_access(words: &mut WordCursor<'_, '_>, errors: &mut Vec<RuleError>) -> Option<Access> {
    let word = words.next();
    match word.map(|word| word.value) {
        Some("read") => Some(Access::Read),
        Some("write") => Some(Access::Write),
        Some(other) => {
            let reason = format!("found {other:?} where 'read' or 'write' is expected");
            let remedy = "put a comma between groups, then write 'read' or 'write'";
            errors.push(words.error_at(word, reason, remedy));
            None
        }
        None => {
            errors.push(words.error_at(
                None,
                "the line ends before 'read' or 'write'",
                RULE_SYNTAX,
            ));
            None
        }
    }
}

fn parse_tables(
    words: &mut WordCursor<'_, '_>,
    errors: &mut Vec<RuleError>,
) -> Vec<Located<TablePattern>> {
    let list = words.next_list();
    if list.is_empty() {
        let remedy = "name the tables, or write '*' for all";
        errors.push(words.error_at(words.peek(), "the line names no table", remedy));
    }
    let mut tables: Vec<Located<TablePattern>> = Vec::new();
    for word in list {
        let pattern = match word.value {
            "*" => TablePattern::Any,
            name => TablePattern::Named(name.into()),
        };
        if let TablePattern::Named(name) = &pattern {
            check_listed_name(words, word, name, errors);
        }
        if tables.iter().any(|earlier| earlier.value == pattern) {
            let reason = format!("the table {:?} is named twice", word.value);
            errors.push(words.error_at(Some(word), reason, "name it once"));
        }
        tables.push(Located {
            value: pattern,
            column: word.column,
        });
    }
    let any = tables.iter().find(|table| table.value == TablePattern::Any);
    if let Some(any) = any.filter(|_| tables.len() > 1) {
        let reason = "'*' already means every table";
        errors.push(rule_error(
            words.number,
            any.column,
            reason,
            "write '*' alone, or the names alone",
        ));
    }
    tables
}

/// Words that aren't accepted as table names, because one in that place usually means that the
/// table list was left out.
pub(crate) const RESERVED_WORDS: [&str; 11] = [
    "latest",
    "session",
    "age",
    "no-free-cancelled",
    "once",
    "repeatable",
    "hold",
    "no-hold",
    "worth",
    "deadline",
    "read",
];

fn check_listed_name(
    words: &WordCursor<'_, '_>,
    word: &Located<&str>,
    name: &str,
    errors: &mut Vec<RuleError>,
) {
    if RESERVED_WORDS.contains(&name) {
        let reason = format!("found {name:?} where the name of a table or function is expected");
        let remedy = "name the tables after 'read' or 'write', or write '*' for all";
        errors.push(words.error_at(Some(word), reason, remedy));
        return;
    }
    if name.contains('.') {
        let last = name.rsplit('.').next().unwrap_or("");
        let reason = format!("{name:?} names a schema");
        let remedy = format!("write {last:?}: a rule covers the table in every schema");
        errors.push(words.error_at(Some(word), reason, remedy));
        return;
    }
    let allowed = |c: char| c.is_alphanumeric() || matches!(c, '_' | '$' | '-');
    if !name.chars().all(allowed) {
        let reason = format!("{name:?} is not a name");
        let remedy = "write the name as the database lists it, without quotes, or '*' for all";
        errors.push(words.error_at(Some(word), reason, remedy));
    }
}

fn parse_list_line(
    words: &mut WordCursor<'_, '_>,
    kind: ListKind,
    asked_by: Box<str>,
    errors: &mut Vec<RuleError>,
) -> Option<ListLine> {
    let error_count_before = errors.len();
    let mut names: Vec<Located<Box<str>>> = Vec::new();
    while let Some(word) = words.next() {
        if word.value == "," {
            continue;
        }
        if word.value == "*" {
            let reason = format!("a '{kind}' line lists names");
            errors.push(words.error_at(Some(word), reason, "write each name"));
            continue;
        }
        check_listed_name(words, word, word.value, errors);
        names.push(Located {
            value: word.value.into(),
            column: word.column,
        });
    }
    if names.is_empty() && errors.len() == error_count_before {
        let reason = format!("the '{kind}' line names nothing");
        errors.push(words.error_at(None, reason, "write each name"));
    }
    (errors.len() == error_count_before).then_some(ListLine {
        line: words.number,
        kind,
        names,
        asked_by,
    })
}
