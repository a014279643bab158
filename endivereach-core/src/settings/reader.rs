//! Typed reading of TOML tables that gathers every fault instead of stopping at the first.

use super::error::SettingsError;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::ops::Range;
use std::str::FromStr;
use toml::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;

/// The faults found so far in one text.
#[derive(Debug)]
pub(crate) struct Faults<'t> {
    text: &'t str,
    errors: RefCell<Vec<SettingsError>>,
}

impl<'t> Faults<'t> {
    /// Starts with no faults.
    pub(crate) fn new(text: &'t str) -> Self {
        Self {
            text,
            errors: RefCell::default(),
        }
    }

    /// Records a fault at a place of the text.
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

    /// Returns the faults.
    pub(crate) fn into_errors(self) -> Vec<SettingsError> {
        self.errors.into_inner()
    }
}

/// One table of the text, whose keys are read one by one.
#[derive(Debug)]
pub(crate) struct Section<'s, 't> {
    /// The table's place, such as `listen`; empty for the outermost table.
    path: String,
    table: &'s DeTable<'t>,
    span: Range<usize>,
    faults: &'s Faults<'t>,
    known: RefCell<BTreeSet<&'static str>>,
}

/// A value that was read, with its place.
#[derive(Clone, Debug)]
pub(crate) struct Found<T> {
    /// The value.
    pub(crate) value: T,
    /// Where it stands.
    pub(crate) span: Range<usize>,
    /// Its key with the table's place.
    pub(crate) key: String,
}

impl<'s, 't> Section<'s, 't> {
    /// Opens the outermost table.
    pub(crate) fn root(table: &'s Spanned<DeTable<'t>>, faults: &'s Faults<'t>) -> Self {
        Self::new(String::new(), table.get_ref(), 0..0, faults)
    }

    fn new(
        path: String,
        table: &'s DeTable<'t>,
        span: Range<usize>,
        faults: &'s Faults<'t>,
    ) -> Self {
        Self {
            path,
            table,
            span,
            faults,
            known: RefCell::default(),
        }
    }

    /// Returns the faults that this table's readers share.
    pub(crate) fn faults(&self) -> &'s Faults<'t> {
        self.faults
    }

    /// Reads a text that has to be there.
    pub(crate) fn required<T>(&self, key: &'static str) -> Option<Found<T>>
    where
        T: FromStr<Err: Display>,
    {
        let Some(value) = self.get(key) else {
            let reason = "the key is missing";
            let remedy = format!("add {key} = \"...\"{}", self.place());
            self.faults
                .add(self.span.clone(), &self.full(key), reason, remedy);
            return None;
        };
        self.parse_text(key, value)
    }

    /// Reads a text, or returns `None` where the key is missing or faulty.
    pub(crate) fn optional<T>(&self, key: &'static str) -> Option<Found<T>>
    where
        T: FromStr<Err: Display>,
    {
        let value = self.get(key)?;
        self.parse_text(key, value)
    }

    /// Reads a whole number, or returns `None` where the key is missing or faulty.
    pub(crate) fn number(&self, key: &'static str, allowed: Range<u64>) -> Option<u64> {
        let value = self.get(key)?;
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
        self.faults
            .add(value.span(), &self.full(key), reason, remedy);
        None
    }

    /// Opens a table, or an empty one in its place.
    pub(crate) fn section(&self, key: &'static str) -> Option<Section<'s, 't>> {
        let value = self.get(key)?;
        let path = self.full(key);
        match value.get_ref() {
            DeValue::Table(table) => Some(Self::new(path, table, value.span(), self.faults)),
            other => {
                let reason = format!("{} stands where a table is expected", kind_of(other));
                let remedy = format!("write it as a section [{path}]");
                self.faults.add(value.span(), &path, reason, remedy);
                None
            }
        }
    }

    /// Opens a table that has to be there.
    pub(crate) fn required_section(&self, key: &'static str) -> Option<Section<'s, 't>> {
        if self.get(key).is_none() {
            let path = self.full(key);
            let remedy = format!("add a section [{path}]");
            self.faults
                .add(self.span.clone(), &path, "the section is missing", remedy);
        }
        self.section(key)
    }

    /// Opens every table of a list.
    pub(crate) fn list(&self, key: &'static str) -> Vec<Section<'s, 't>> {
        let Some(value) = self.get(key) else {
            return Vec::new();
        };
        let path = self.full(key);
        let DeValue::Array(items) = value.get_ref() else {
            let remedy = format!("write each entry as a section [[{path}]]");
            self.faults
                .add(value.span(), &path, "the key holds no list", remedy);
            return Vec::new();
        };
        let mut sections = Vec::new();
        for (index, item) in items.iter().enumerate() {
            let path = format!("{path}[{index}]");
            match item.get_ref() {
                DeValue::Table(table) => {
                    sections.push(Self::new(path, table, item.span(), self.faults));
                }
                other => {
                    let reason = format!("{} stands where a table is expected", kind_of(other));
                    let remedy = format!("write each entry as a section [[{}]]", self.full(key));
                    self.faults.add(item.span(), &path, reason, remedy);
                }
            }
        }
        sections
    }

    /// Reports the keys that nothing has read.
    pub(crate) fn finish(self) {
        let known = self.known.borrow();
        for key in self.table.keys() {
            let name = key.get_ref().as_ref();
            if known.contains(name) {
                continue;
            }
            let remedy = match nearest(name, &known) {
                Some(near) => format!("did you mean {near:?}?"),
                None => {
                    let names: Vec<&str> = known.iter().copied().collect();
                    format!("use one of: {}", names.join(", "))
                }
            };
            self.faults
                .add(key.span(), &self.full(name), "the key is not known", remedy);
        }
    }

    /// Returns the place of the table itself.
    pub(crate) fn span(&self) -> Range<usize> {
        self.span.clone()
    }

    /// Returns a key with the table's place before it.
    pub(crate) fn full(&self, key: &str) -> String {
        match &*self.path {
            "" => key.to_owned(),
            path => format!("{path}.{key}"),
        }
    }

    fn place(&self) -> String {
        match &*self.path {
            "" => " at the top".to_owned(),
            path => format!(" to [{path}]"),
        }
    }

    fn get(&self, key: &'static str) -> Option<&'s Spanned<DeValue<'t>>> {
        self.known.borrow_mut().insert(key);
        self.table.get(key)
    }

    fn parse_text<T>(&self, key: &str, value: &Spanned<DeValue<'t>>) -> Option<Found<T>>
    where
        T: FromStr<Err: Display>,
    {
        let DeValue::String(text) = value.get_ref() else {
            // Never the value itself: it may be a password.
            let reason = format!("{} stands where text is expected", kind_of(value.get_ref()));
            let remedy = format!("put it in quotes, with its unit if it has one: {key} = \"...\"");
            self.faults
                .add(value.span(), &self.full(key), reason, remedy);
            return None;
        };
        match text.parse() {
            Ok(parsed) => Some(Found {
                value: parsed,
                span: value.span(),
                key: self.full(key),
            }),
            Err(error) => {
                let message = T::Err::to_string(&error);
                let (reason, remedy) = split_message(&message, text);
                self.faults
                    .add(value.span(), &self.full(key), reason, remedy);
                None
            }
        }
    }
}

/// Splits a message of our own into reason and remedy; the standard library's messages name none.
fn split_message(message: &str, text: &str) -> (String, String) {
    match message.split_once("; ") {
        Some((reason, remedy)) => (reason.to_owned(), remedy.to_owned()),
        None => (
            format!("{text:?} can't be used: {message}"),
            "write an IP number and a port, such as \"10.1.2.3:5432\"".to_owned(),
        ),
    }
}

fn kind_of(value: &DeValue<'_>) -> &'static str {
    match value {
        DeValue::String(_) => "a text",
        DeValue::Integer(_) | DeValue::Float(_) => "a number",
        DeValue::Boolean(_) => "a truth value",
        DeValue::Datetime(_) => "a time",
        DeValue::Array(_) => "a list",
        DeValue::Table(_) => "a table",
    }
}

/// How many single-letter edits still count as a slip of the pen.
const SLIP_MAX: usize = 3;

/// Returns the known key that differs least from `name`.
fn nearest<'k>(name: &str, known: &BTreeSet<&'k str>) -> Option<&'k str> {
    let distances = known.iter().map(|key| (edit_distance(name, key), *key));
    let (distance, key) = distances.min()?;
    (distance <= SLIP_MAX && distance * 2 < name.len()).then_some(key)
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
