//! `endivereach rules check`: reports all errors in a rules file.

use super::ViaOption;
use super::platform_client;
use super::rules::read_rules_file;
use crate::exit::Exit;
use crate::output::write_json;
use anyhow::Context;
use argh::FromArgs;
use endivereach_core::ids::GroupName;
use endivereach_core::rules::Catalogue;
use endivereach_core::rules::RuleError;
use endivereach_core::rules::RuleErrors;
use endivereach_core::rules::RuleSet;
use endivereach_wire::platform::KIND_GROUP;
use endivereach_wire::platform::PlatformClient;
use serde::Serialize;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;

/// reports all errors in a rules file
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct RulesCheck {
    /// the rules file
    #[argh(positional)]
    file: PathBuf,
    /// the address of the platform's object API, to read the names of groups from
    #[argh(option)]
    platform: Option<SocketAddr>,
    /// connect to address THROUGH instead of address TO: TO=THROUGH; can be repeated
    #[argh(option)]
    via: Vec<ViaOption>,
    /// the names of all groups, separated by commas; overrides --platform
    #[argh(option)]
    groups: Option<String>,
    /// names of tables in addition to those that the file declares, separated by commas
    #[argh(option)]
    tables: Option<String>,
    /// write the output as a JSON object
    #[argh(switch)]
    json: bool,
}

/// The output of `--json`.
#[derive(Debug, Serialize)]
struct Report<'a> {
    ok: bool,
    rules: usize,
    errors: &'a [RuleError],
}

impl RulesCheck {
    /// Runs the command.
    pub(crate) fn run(&self, out: &mut impl Write) -> anyhow::Result<Exit> {
        let text = read_rules_file(&self.file)?;
        let parsed = RuleSet::parse(&text, &self.catalogue()?);
        let file = self.file.display().to_string();
        match parsed {
            Ok(rules) => {
                let count = rules.rules().len();
                if self.json {
                    write_report(out, count, &[])?;
                } else {
                    writeln!(out, "{file}: {count} rules, no errors")?;
                }
                Ok(Exit::Done)
            }
            Err(errors) if self.json => {
                write_report(out, 0, errors.as_slice())?;
                Ok(Exit::Refused)
            }
            Err(errors) => {
                write_errors(out, &file, &errors)?;
                Ok(Exit::Refused)
            }
        }
    }

    fn catalogue(&self) -> anyhow::Result<Catalogue> {
        let names = |list: &str| list.split(',').map(|name| name.trim().into()).collect();
        let groups = match (&self.groups, self.platform) {
            (Some(list), _) => Some(list.split(',').map(|name| name.trim().into()).collect()),
            (None, Some(addr)) => Some(read_group_names(&platform_client(addr, &self.via))?),
            (None, None) => None,
        };
        Ok(Catalogue {
            groups,
            tables: self.tables.as_deref().map(names),
        })
    }
}

fn write_report(out: &mut impl Write, rules: usize, errors: &[RuleError]) -> std::io::Result<()> {
    let ok = errors.is_empty();
    write_json(out, &Report { ok, rules, errors })
}

/// Writes one line per error, and a line with the number of errors.
pub(crate) fn write_errors(
    out: &mut impl Write,
    file: &str,
    errors: &RuleErrors,
) -> std::io::Result<()> {
    write!(out, "{}", errors.with_file(file))?;
    match errors.as_slice().len() {
        1 => writeln!(out, "1 error"),
        count => writeln!(out, "{count} errors"),
    }
}

/// Reads the names of all groups from the platform.
pub(crate) fn read_group_names(platform: &PlatformClient) -> anyhow::Result<Vec<GroupName>> {
    let objects = platform
        .list(KIND_GROUP)
        .context("listing the groups at the platform")?;
    Ok(objects
        .iter()
        .map(|object| GroupName::from(&*object.name))
        .collect())
}
