//! `endivereach rules show`: shows the rules in force or those of an earlier version.

use super::ViaOption;
use super::platform_client;
use super::rules_apply::describe_change;
use crate::exit::Exit;
use crate::history;
use crate::output::write_json;
use argh::FromArgs;
use endivereach_core::ids::Version;
use std::io::Write;
use std::net::SocketAddr;

/// shows the rules in force or those of an earlier version
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct RulesShow {
    /// the address of the platform's object API
    #[argh(option)]
    platform: SocketAddr,
    /// the version to show; by default, the version in force
    #[argh(option)]
    at: Option<Version>,
    /// connect to address THROUGH instead of address TO: TO=THROUGH; can be repeated
    #[argh(option)]
    via: Vec<ViaOption>,
    /// write the output as a JSON object
    #[argh(switch)]
    json: bool,
}

impl RulesShow {
    /// Runs the command.
    pub(crate) fn run(&self, out: &mut impl Write) -> anyhow::Result<Exit> {
        let platform = platform_client(self.platform, &self.via);
        let shown = match self.at {
            Some(version) => Some(history::at_version(&platform, version)?),
            None => history::current(&platform)?,
        };
        let Some(shown) = shown else {
            anyhow::bail!(
                "there are no rules yet; use 'rules apply' with --expect 0 to apply the first"
            );
        };
        if self.json {
            let change = shown.change();
            let value = serde_json::json!({ "change": change, "text": shown.rules.text });
            write_json(out, &value)?;
        } else {
            writeln!(out, "# {}", describe_change(&shown.change()))?;
            write!(out, "{}", shown.rules.text)?;
        }
        Ok(Exit::Done)
    }
}
