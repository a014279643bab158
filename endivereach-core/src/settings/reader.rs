//! Typed access to TOML tables that collects all errors instead of stopping at the first.

use super::error::SettingsError;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::ops::Range;
use std::str::FromStr;
use toml::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;

/// Collects the errors found in one text.
#[derive(Debug)]
pub(crate) struct ErrorCollector<'t> {
    text: &'t str,
    errors: RefCell<Vec<SettingsError>>,
}

impl<'t> ErrorCollector<'t> {
    /// Creates an empty collector for `text`.
    pub(crate) fn new(text: &'t str) -> Self {
        Self {
            text,
            errors: RefCell::default(),
        }
    }

    /// Adds an error at the byte range `span` of the text.
    pub(crate) fn add(
        &self,
        span: Range<usize>,
        key: &str,
        reason: impl Into<Box<str>>,
        remedy: impl Into<Box<str>>,
    ) {
        let before = self.text.get(..span.start).unwrap_or(self.text);
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        self.errors.borrow_mut().push(SettingsError {
            line: before.matches('\n').count() as u32 + 1,
            column: before[line_start..].chars().count() as u32 + 1,
            key: key.into(),
            reason: reason.into(),
            remedy: remedy.into(),
        });
    }

    /// Returns the errors in the order in which they were added.
    pub(crate) fn into_errors(self) -> Vec<SettingsError> {
        self.errors.into_inner()
    }
}

/// One table of the text, whose keys are read one by one.
///
/// Every key that is read counts as known. [`Section::report_unknown_keys`] reports the others.
#[derive(Debug)]
pub(crate) struct Section<'s, 't> {
    /// The full key of the table, such as `listen`. Empty for the root table.
    path: String,
    table: &'s DeTable<'t>,
    span: Range<usize>,
    collector: &'s ErrorCollector<'t>,
    known_keys: RefCell<BTreeSet<&'static str>>,
}

/// A parsed value with its position.
#[derive(Clone, Debug)]
pub(crate) struct LocatedValue<T> {
    /// The parsed value.
    pub(crate) value: T,
    /// The byte range of the value in the text.
    pub(crate) span: Range<usize>,
    /// The full key of the value, including its table.
    pub(crate) key: String,
}

impl<'s, 't> Section<'s, 't> {
    /// Returns the root table.
    pub(crate) fn root(table: &'s Spanned<DeTable<'t>>, collector: &'s ErrorCollector<'t>) -> Self {
        Self::new(String::new(), table.get_ref(), 0..0, collector)
    }

    fn new(
        path: String,
        table: &'s DeTable<'t>,
        span: Range<usize>,
        collector: &'s ErrorCollector<'t>,
    ) -> Self {
        Self {
            path,
            table,
            span,
            collector,
            known_keys: RefCell::default(),
        }
    }

    /// Returns the error collector that all tables of the text share.
    pub(crate) fn collector(&self) -> &'s ErrorCollector<'t> {
        self.collector
    }

    /// Parses a required string. Returns `None` and adds an error if it is missing or invalid.
    pub(crate) fn required<T>(&self, key: &'static str) -> Option<LocatedValue<T>>
    where
        T: FromStr<Err: Display>,
    {
        let Some(value) = self.read_value(key) else {
            let reason = "the key is missing";
            let remedy = format!("add {key} = \"...\"{}", self.insertion_point());
            self.collector
                .add(self.span.clone(), &self.full_key(key), reason, remedy);
            return None;
        };
        self.parse_text(key, value)
    }

    /// Parses an optional string. Returns `None` if it is missing or invalid, and adds an error if
    /// it is invalid.
    pub(crate) fn optional<T>(&self, key: &'static str) -> Option<LocatedValue<T>>
    where
        T: FromStr<Err: Display>,
    {
        let value = self.read_value(key)?;
        self.parse_text(key, value)
    }

    /// Reads an optional whole number. Returns `None` if it is missing or not in `allowed`, and
    /// adds an error in the latter case.
    pub(crate) fn number(&self, key: &'static str, allowed: Range<u64>) -> Option<u64> {
        let value = self.read_value(key)?;
        let number = match value.get_ref() {
            DeValue::Integer(number) => number.as_str().parse::<u64>().ok(),
            _ => None,
        };
        if let Some(number) = number.filter(|number| allowed.contains(number)) {
            return Some(number);
        }
        let reason = "the value is not a whole number in range";
        let remedy = format!(
            "write a number from {} to {}",
            allowed.start,
            allowed.end - 1
        );
        self.collector
            .add(value.span(), &self.full_key(key), reason, remedy);
        None
    }

    /// Returns an optional table. Returns `None` if it is missing, or if the value is not a table,
    /// which adds an error.
    pub(crate) fn section(&self, key: &'static str) -> Option<Section<'s, 't>> {
        let value = self.read_value(key)?;
        let path = self.full_key(key);
        match value.get_ref() {
            DeValue::Table(table) => Some(Self::new(path, table, value.span(), self.collector)),
            other => {
                let reason = format!(
                    "found {} where a table is expected",
                    type_description(other)
                );
                let remedy = format!("write it as a section [{path}]");
                self.collector.add(value.span(), &path, reason, remedy);
                None
            }
        }
    }

    /// Returns a required table. Returns `None` and adds an error if it is missing or not a table.
    pub(crate) fn required_section(&self, key: &'static str) -> Option<Section<'s, 't>> {
        if self.read_value(key).is_none() {
            let path = self.full_key(key);
            let remedy = format!("add a section [{path}]");
            self.collector
                .add(self.span.clone(), &path, "the section is missing", remedy);
        }
        self.section(key)
    }

    /// Returns the tables of an optional list. Adds an error for a value that is not a list and for
    /// each item that is not a table.
    pub(crate) fn list(&self, key: &'static str) -> Vec<Section<'s, 't>> {
        let Some(value) = self.read_value(key) else {
            return Vec::new();
        };
        let path = self.full_key(key);
        let DeValue::Array(items) = value.get_ref() else {
            let remedy = format!("write each entry as a section [[{path}]]");
            self.collector
                .add(value.span(), &path, "the value is not a list", remedy);
            return Vec::new();
        };
        let mut sections = Vec::new();
        for (index, item) in items.iter().enumerate() {
            let path = format!("{path}[{index}]");
            match item.get_ref() {
                DeValue::Table(table) => {
                    sections.push(Self::new(path, table, item.span(), self.collector));
                }
                other => {
                    let reason = format!(
                        "found {} where a table is expected",
                        type_description(other)
                    );
                    let remedy =
                        format!("write each entry as a section [[{}]]", self.full_key(key));
                    self.collector.add(item.span(), &path, reason, remedy);
                }
            }
        }
        sections
    }

    /// Adds an error for each key of the table that has not been read.
    pub(crate) fn report_unknown_keys(self) {
        let known_keys = self.known_keys.borrow();
        for key in self.table.keys() {
            let name = key.get_ref().as_ref();
            if known_keys.contains(name) {
                continue;
            }
            let remedy = match nearest_key(name, &known_keys) {
                Some(candidate) => format!("did you mean {candidate:?}?"),
                None => {
                    let names: Vec<&str> = known_keys.iter().copied().collect();
                    format!("use one of: {}", names.join(", "))
                }
            };
            self.collector.add(
                key.span(),
                &self.full_key(name),
                "the key is not known",
                remedy,
            );
        }
    }

    /// Returns the byte range of the table in the text.
    pub(crate) fn span(&self) -> Range<usize> {
        self.span.clone()
    }

    /// Returns `key` prefixed with the full key of the table.
    pub(crate) fn full_key(&self, key: &str) -> String {
        match &*self.path {
            "" => key.to_owned(),
            path => format!("{path}.{key}"),
        }
    }

    fn insertion_point(&self) -> String {
        match &*self.path {
            "" => " at the top".to_owned(),
            path => format!(" to [{path}]"),
        }
    }

    /// Returns the value of a key, and marks the key as known.
    fn read_value(&self, key: &'static str) -> Option<&'s Spanned<DeValue<'t>>> {
        self.known_keys.borrow_mut().insert(key);
        self.table.get(key)
    }

    fn parse_text<T>(&self, key: &str, value: &Spanned<DeValue<'t>>) -> Option<LocatedValue<T>>
    where
        T: FromStr<Err: Display>,
    {
        let DeValue::String(text) = value.get_ref() else {
            // The message omits the value, which may be a password.
            let reason = format!(
                "found {} where a string is expected",
                type_description(value.get_ref())
            );
            let remedy = format!("put it in quotes, with its unit if it has one: {key} = \"...\"");
            self.collector
                .add(value.span(), &self.full_key(key), reason, remedy);
            return None;
        };
        match text.parse() {
            Ok(parsed) => Some(LocatedValue {
                value: parsed,
                span: value.span(),
                key: self.full_key(key),
            }),
            Err(error) => {
                let message = T::Err::to_string(&error);
                let (reason, remedy) = split_message(&message, text);
                self.collector
                    .add(value.span(), &self.full_key(key), reason, remedy);
                None
            }
        }
    }
}

/// Splits an error message of this crate into reason and remedy. Messages of the standard library,
/// here those for socket addresses, have no remedy and get one.
fn split_message(message: &str, text: &str) -> (String, String) {
    match message.split_once("; ") {
        Some((reason, remedy)) => (reason.to_owned(), remedy.to_owned()),
        None => (
            format!("{text:?} can't be used: {message}"),
            "write an IP address and a port, such as \"10.1.2.3:5432\"".to_owned(),
        ),
    }
}

fn type_description(value: &DeValue<'_>) -> &'static str {
    match value {
        DeValue::String(_) => "a string",
        DeValue::Integer(_) | DeValue::Float(_) => "a number",
        DeValue::Boolean(_) => "a boolean",
        DeValue::Datetime(_) => "a time",
        DeValue::Array(_) => "a list",
        DeValue::Table(_) => "a table",
    }
}

/// The maximum edit distance at which an unknown key counts as a misspelling of a known one.
const TYPO_EDITS_MAX: usize = 3;

/// Returns the known key with the smallest edit distance from `name`, unless that distance is too
/// large for a misspelling.
fn nearest_key<'k>(name: &str, known_keys: &BTreeSet<&'k str>) -> Option<&'k str> {
    let distances = known_keys
        .iter()
        .map(|key| (edit_distance(name, key), *key));
    let (distance, key) = distances.min()?;
    (distance <= TYPO_EDITS_MAX && distance * 2 < name.len()).then_some(key)
}

fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let replaced = diagonal + usize::from(x != *y);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}
