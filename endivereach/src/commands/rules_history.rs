//! `endivereach rules history`: who changed the rules, when and why.

use super::ViaOption;
use super::platform;
use crate::exit::Exit;
use crate::history;
use crate::output::Table;
use crate::output::utc;
use crate::output::write_json;
use argh::FromArgs;
use std::io::Write;
use std::net::SocketAddr;

/// shows who changed the rules, when and why
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub(crate) struct RulesHistory {
    /// the platform's address
    #[argh(option)]
    platform: SocketAddr,
    /// reach an address through another: TO=THROUGH
    #[argh(option)]
    via: Vec<ViaOption>,
    /// write one JSON object
    #[argh(switch)]
    json: bool,
}

impl RulesHistory {
    /// Runs the command.
    pub(crate) fn run(&self, out: &mut impl Write) -> anyhow::Result<Exit> {
        let changes = history::changes(&platform(self.platform, &self.via))?;
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
