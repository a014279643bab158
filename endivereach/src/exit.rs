//! The exit codes of the command-line tool.

use std::process::ExitCode;

/// The result of a command, which determines the exit code.
///
/// # Examples
///
/// ```
/// assert_eq!(endivereach::exit::Exit::Conflict.code(), 3);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The command failed, such as because a file can't be read or a process doesn't answer.
    Failed = 1,
    /// The rules file has errors. Nothing was changed.
    Refused = 2,
    /// Another operator changed the rules in the meantime. Nothing was changed.
    Conflict = 3,
    /// The change was accepted but is not yet in force on every proxy.
    NotInForce = 4,
    /// The outcome of the change is unknown. Running the same command again is safe, because it
    /// applies the change at most once.
    Unknown = 5,
    /// The compared rules differ.
    Different = 6,
}

impl Exit {
    /// Returns the exit code of the process.
    pub const fn code(self) -> u8 {
        self as u8
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}
