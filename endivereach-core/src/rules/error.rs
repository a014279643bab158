//! Errors of a rules file, with their position and a remedy.

use std::fmt;

/// One error of a rules file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub struct RuleError {
    /// The line number, counted from one.
    pub line: u32,
    /// The column in characters, counted from one.
    pub column: u32,
    /// What the line violates, as free text.
    pub reason: Box<str>,
    /// How to correct the line, as free text.
    pub remedy: Box<str>,
}

impl fmt::Display for RuleError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            line,
            column,
            reason,
            remedy,
        } = self;
        write!(f, "{line}:{column}: {reason}; {remedy}")
    }
}

/// All errors of a rules file, ordered by line and column.
///
/// # Invariants
///
/// There is at least one error.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RuleErrors {
    errors: Vec<RuleError>,
}

impl RuleErrors {
    /// Sorts the errors and removes duplicates. Returns `None` when there are none.
    pub(crate) fn from_unordered(mut errors: Vec<RuleError>) -> Option<Self> {
        errors.sort();
        errors.dedup();
        (!errors.is_empty()).then_some(Self { errors })
    }

    /// Returns the errors, ordered by line and column.
    pub fn as_slice(&self) -> &[RuleError] {
        &self.errors
    }

    /// Formats each error on its own line, prefixed with the name of the file.
    pub fn with_file<'a>(&'a self, file: &'a str) -> impl fmt::Display + 'a {
        WithFile { file, errors: self }
    }
}

impl fmt::Display for RuleErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.errors.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for RuleErrors {}

struct WithFile<'a> {
    file: &'a str,
    errors: &'a RuleErrors,
}

impl fmt::Display for WithFile<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for error in &self.errors.errors {
            writeln!(f, "{}:{error}", self.file)?;
        }
        Ok(())
    }
}
