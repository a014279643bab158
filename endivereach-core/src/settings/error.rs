//! Errors of the settings, with their position and a remedy.

use std::fmt;

/// One error of the settings.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SettingsError {
    /// The line number, counted from one.
    pub line: u32,
    /// The column in characters, counted from one.
    pub column: u32,
    /// The full key, such as `listen.sql_addr`. Empty for errors of the whole file or its syntax.
    pub key: Box<str>,
    /// What the setting violates, as free text.
    pub reason: Box<str>,
    /// How to correct the setting, as free text.
    pub remedy: Box<str>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.line, self.column)?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        write!(f, "{}; {}", self.reason, self.remedy)
    }
}

/// All errors of the settings, ordered by line and column.
///
/// # Invariants
///
/// There is at least one error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsErrors {
    file: Box<str>,
    errors: Vec<SettingsError>,
}

impl SettingsErrors {
    /// Sorts the errors and removes duplicates. Returns `None` when there are none.
    pub(crate) fn from_unordered(mut errors: Vec<SettingsError>) -> Option<Self> {
        errors.sort();
        errors.dedup();
        let file = "settings".into();
        (!errors.is_empty()).then_some(Self { file, errors })
    }

    /// Creates the error for a file that can't be read.
    pub(crate) fn unreadable(file: &str, error: &std::io::Error) -> Self {
        Self {
            file: file.into(),
            errors: vec![SettingsError {
                line: 1,
                column: 1,
                key: "".into(),
                reason: format!("the file can't be read: {error}").into(),
                remedy: "check the path, and that the file holds UTF-8 text and may be read".into(),
            }],
        }
    }

    /// Sets the name of the file that is written before each error.
    pub(crate) fn with_file(self, file: &str) -> Self {
        Self {
            file: file.into(),
            ..self
        }
    }

    /// Returns the errors, ordered by line and column.
    pub fn as_slice(&self) -> &[SettingsError] {
        &self.errors
    }
}

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.errors.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{}:{error}", self.file)?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsErrors {}
