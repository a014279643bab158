//! The lab's subcommands, one module each.

use argh::FromArgs;

pub mod member;
pub mod platform;

/// A subcommand of the lab.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Serves the platform's object API.
    Platform(platform::PlatformCommand),
    /// Serves one server of a database group.
    Member(member::MemberCommand),
}

impl Command {
    /// Runs the subcommand to its end.
    ///
    /// # Errors
    ///
    /// Returns the subcommand's error.
    pub fn run(self) -> anyhow::Result<()> {
        match self {
            Self::Platform(command) => command.run(),
            Self::Member(command) => command.run(),
        }
    }
}

/// Keeps the main thread while the subcommand's own threads serve.
fn wait_forever() -> ! {
    loop {
        std::thread::park();
    }
}
