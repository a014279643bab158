//! `endivereach rules history`: lists the changes of the rules.

use super::ViaOption;
use super::platform_client;
use crate::exit::Exit;
use crate::history;
use crate::output::Table;
use crate::output::utc;
use crate::output::write_json;
use argh::FromArgs;
use std::io::Write;
use std::net::SocketAddr;

/// lists the changes of the rules: who made them, when and why
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub(crate) struct RulesHistory {
    /// the address of the platform's object API
    #[argh(option)]
    platform: SocketAddr,
    /// connect to address THROUGH instead of address TO: TO=THROUGH; can be repeated
    #[argh(option)]
    via: Vec<ViaOption>,
    /// write the output as a JSON object
    #[argh(switch)]
    json: bool,
}

impl RulesHistory {
    /// Runs the command.
    pub(crate) fn run(&self, out: &mut impl Write) -> anyhow::Result<Exit> {
        let changes = history::changes(&platform_client(self.platform, &self.via))?;
        if self.json {
            write_json(out, &serde_json::json!({ "changes": changes }))?;
            return Ok(Exit::Done);
        }
        let mut table = Table::new(["VERSION", "WHEN", "BY", "REASON"]);
        for change in changes {
            let version = change.version.to_string();
            let (by, reason) = (change.by.into(), change.reason.into());
            table.row([version, utc(change.at_unix_ms), by, reason]);
        }
        write!(out, "{table}")?;
        Ok(Exit::Done)
    }
}
