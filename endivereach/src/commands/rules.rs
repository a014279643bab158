//! `endivereach rules`: the subcommands for rules.

use super::rules_apply::RulesApply;
use super::rules_check::RulesCheck;
use super::rules_diff::RulesDiff;
use super::rules_history::RulesHistory;
use super::rules_show::RulesShow;
use crate::exit::Exit;
use anyhow::Context;
use argh::FromArgs;
use std::io::Write;
use std::path::Path;

/// checks, compares, applies and shows rules
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "rules")]
pub(crate) struct Rules {
    #[argh(subcommand)]
    command: RulesCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum RulesCommand {
    Check(RulesCheck),
    Diff(RulesDiff),
    Apply(RulesApply),
    Show(RulesShow),
    History(RulesHistory),
}

impl Rules {
    /// Runs the command.
    pub(crate) fn run(&self, out: &mut impl Write) -> anyhow::Result<Exit> {
        match &self.command {
            RulesCommand::Check(check) => check.run(out),
            RulesCommand::Diff(diff) => diff.run(out),
            RulesCommand::Apply(apply) => apply.run(out),
            RulesCommand::Show(show) => show.run(out),
            RulesCommand::History(history) => history.run(out),
        }
    }
}

/// Reads a rules file as text.
pub(crate) fn read_rules_file(path: &Path) -> anyhow::Result<String> {
    std::fs::read_to_string(path).with_context(|| {
        format!(
            "reading {}; check that the file exists and is UTF-8",
            path.display()
        )
    })
}
