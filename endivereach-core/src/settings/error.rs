//! What is wrong with settings, and what to do about it.

use std::fmt;

/// One fault of the settings.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SettingsError {
    /// The line, from one.
    pub line: u32,
    /// The column in characters, from one.
    pub column: u32,
    /// The key, such as `listen.sql_addr`; empty for faults of the text itself.
    pub key: Box<str>,
    /// What is wrong.
    pub reason: Box<str>,
    /// What to do about it.
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

/// Every fault of the settings, ordered by line and column.
///
/// # Invariants
///
/// There is at least one fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsErrors {
    file: Box<str>,
    errors: Vec<SettingsError>,
}

impl SettingsErrors {
    /// Orders the faults. Returns `None` when there are none.
    pub(crate) fn from_unordered(mut errors: Vec<SettingsError>) -> Option<Self> {
        errors.sort();
        errors.dedup();
        let file = "settings".into();
        (!errors.is_empty()).then_some(Self { file, errors })
    }

    /// A file that can't be read.
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

    /// Names the file that the faults are in.
    pub(crate) fn in_file(self, file: &str) -> Self {
        Self {
            file: file.into(),
            ..self
        }
    }

    /// Returns the faults, ordered by line and column.
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
