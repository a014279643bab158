//! Exit codes, and how errors turn into them.

use std::process::ExitCode;

/// How the tool ends.
///
/// # Examples
///
/// ```
/// assert_eq!(endivereach::exit::Exit::Conflict.code(), 3);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Done.
    Done = 0,
    /// The tool couldn't do its work: a file can't be read, or nobody answered.
    Failed = 1,
    /// The rules are refused. Nothing changed.
    Refused = 2,
    /// Somebody else changed the rules first. Nothing changed.
    Conflict = 3,
    /// The change is accepted, and not yet in force on every proxy.
    NotInForce = 4,
    /// The outcome isn't known: run the same command again, it applies the change at most once.
    Unknown = 5,
    /// Two sets of rules differ.
    Different = 6,
}

impl Exit {
    /// Returns the process's exit code.
    pub const fn code(self) -> u8 {
        self as u8
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}
