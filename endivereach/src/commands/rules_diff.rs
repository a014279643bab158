//! `endivereach rules diff`: compares two sets of rules.

use super::ViaOption;
use super::platform_client;
use super::rules::read_rules_file;
use super::rules_check::write_errors;
use crate::exit::Exit;
use crate::history;
use crate::output::write_json;
use argh::FromArgs;
use endivereach_core::rules::Catalogue;
use endivereach_core::rules::RuleDiff;
use endivereach_core::rules::RuleErrors;
use endivereach_core::rules::RuleSet;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;

/// compares a rules file with an older file or the rules in force, by rule rather than by line
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct RulesDiff {
    /// the newer rules file
    #[argh(positional)]
    file: PathBuf,
    /// the older rules file; by default, the rules in force, which requires --platform
    #[argh(positional)]
    older: Option<PathBuf>,
    /// the address of the platform's object API
    #[argh(option)]
    platform: Option<SocketAddr>,
    /// connect to address THROUGH instead of address TO: TO=THROUGH; can be repeated
    #[argh(option)]
    via: Vec<ViaOption>,
    /// write the output as a JSON object
    #[argh(switch)]
    json: bool,
}

impl RulesDiff {
    /// Runs the command.
    pub(crate) fn run(&self, out: &mut impl Write) -> anyhow::Result<Exit> {
        let newer_text = read_rules_file(&self.file)?;
        let older_text = self.older_text()?;
        let (older, newer) = match (parse(&older_text), parse(&newer_text)) {
            (Ok(older), Ok(newer)) => (older, newer),
            (older, newer) => {
                for (file, parsed) in [(self.older_name(), older), (self.newer_name(), newer)] {
                    if let Err(errors) = parsed {
                        write_errors(out, &file, &errors)?;
                    }
                }
                return Ok(Exit::Refused);
            }
        };
        let diff = older.diff(&newer);
        write_diff(out, &diff, self.json)?;
        Ok(if diff.is_empty() {
            Exit::Done
        } else {
            Exit::Different
        })
    }

    fn older_text(&self) -> anyhow::Result<String> {
        match (&self.older, self.platform) {
            (Some(older), _) => read_rules_file(older),
            (None, Some(addr)) => {
                let current = history::current(&platform_client(addr, &self.via))?;
                Ok(current.map_or(String::new(), |current| current.rules.text.into()))
            }
            (None, None) => {
                anyhow::bail!("neither an older file nor --platform is given; give one of them")
            }
        }
    }

    fn older_name(&self) -> String {
        match &self.older {
            Some(older) => older.display().to_string(),
            None => "the rules in force".to_owned(),
        }
    }

    fn newer_name(&self) -> String {
        self.file.display().to_string()
    }
}

fn parse(text: &str) -> Result<RuleSet, RuleErrors> {
    RuleSet::parse(text, &Catalogue::accept_any())
}

/// Writes the differences as text or as a JSON object.
pub(crate) fn write_diff(out: &mut impl Write, diff: &RuleDiff, json: bool) -> std::io::Result<()> {
    if json {
        let changes: Vec<String> = diff.changes.iter().map(ToString::to_string).collect();
        return write_json(out, &serde_json::json!({ "changes": changes }));
    }
    match diff.is_empty() {
        true => writeln!(out, "no difference"),
        false => write!(out, "{diff}"),
    }
}
