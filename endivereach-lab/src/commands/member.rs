//! `endivereach-lab member`: serves one server of a database group.

use argh::FromArgs;

/// Serve one server of a database group.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "member")]
pub struct MemberCommand {}

impl MemberCommand {
    /// Serves until the process is ended.
    ///
    /// # Errors
    ///
    /// Returns an error when an address can't be bound.
    pub fn run(self) -> anyhow::Result<()> {
        anyhow::bail!("not available yet; use the platform subcommand")
    }
}
