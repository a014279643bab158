//! `endivereach rules diff`: what changes, by rule.

use super::ViaOption;
use super::platform;
use super::rules::read_file;
use super::rules_check::write_faults;
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

/// shows what a file changes, by rule rather than by line
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct RulesDiff {
    /// the newer rules file
    #[argh(positional)]
    file: PathBuf,
    /// the older rules file; without it, the rules in force are the older ones
    #[argh(positional)]
    older: Option<PathBuf>,
    /// the platform's address
    #[argh(option)]
    platform: Option<SocketAddr>,
    /// reach an address through another: TO=THROUGH
    #[argh(option)]
    via: Vec<ViaOption>,
    /// write one JSON object
    #[argh(switch)]
    json: bool,
}

impl RulesDiff {
    /// Runs the command.
    pub(crate) fn run(&self, out: &mut impl Write) -> anyhow::Result<Exit> {
        let newer_text = read_file(&self.file)?;
        let older_text = self.older_text()?;
        let (older, newer) = match (parse(&older_text), parse(&newer_text)) {
            (Ok(older), Ok(newer)) => (older, newer),
            (older, newer) => {
                for (file, parsed) in [(self.older_name(), older), (self.newer_name(), newer)] {
                    if let Err(errors) = parsed {
                        write_faults(out, &file, &errors)?;
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
            (Some(older), _) => read_file(older),
            (None, Some(addr)) => {
                let current = history::current(&platform(addr, &self.via))?;
                Ok(current.map_or(String::new(), |current| current.rules.text.into()))
            }
            (None, None) => anyhow::bail!("name the older file, or the platform with --platform"),
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
    RuleSet::parse(text, &Catalogue::unknown())
}

/// Writes the differences.
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
