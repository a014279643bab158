//! `endivereach rules apply`: makes a file the rules in force, and waits until it is.

use super::ViaOption;
use super::network;
use super::platform;
use super::rules::read_file;
use super::rules_check::groups_at;
use super::rules_check::write_faults;
use crate::apply::ApplyConfig;
use crate::apply::ApplyError;
use crate::apply::Change;
use crate::apply::Outcome;
use crate::apply::apply;
use crate::exit::Exit;
use crate::fleet::Fleet;
use crate::fleet::Laggard;
use crate::history;
use crate::output::utc;
use crate::output::write_json;
use argh::FromArgs;
use endivereach_core::ids::Version;
use endivereach_core::rules::Catalogue;
use endivereach_core::rules::RuleSet;
use endivereach_core::units::TimeSpan;
use endivereach_wire::operator::RulesChange;
use endivereach_wire::platform::PlatformClient;
use serde::Serialize;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use std::time::SystemTime;

/// How long the command waits for the fleet by default: the bound of a change of configuration.
const WAIT: Duration = Duration::from_secs(19);

/// makes a file the rules in force, unless somebody else changed them first
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct RulesApply {
    /// the rules file
    #[argh(positional)]
    file: PathBuf,
    /// the platform's address
    #[argh(option)]
    platform: SocketAddr,
    /// who applies the rules: your name
    #[argh(option)]
    by: String,
    /// the version that the file is based on, as 'rules show' names it; 0 for the first rules
    #[argh(option)]
    expect: Version,
    /// why, in a few words
    #[argh(option, default = "String::new()")]
    reason: String,
    /// how long to wait for the proxies, such as 19s; 0s doesn't wait
    #[argh(option, default = "TimeSpan::from(WAIT)")]
    wait: TimeSpan,
    /// reach an address through another: TO=THROUGH
    #[argh(option)]
    via: Vec<ViaOption>,
    /// write one JSON object
    #[argh(switch)]
    json: bool,
}

/// What `--json` writes.
#[derive(Debug, Default, Serialize)]
struct Report {
    accepted: bool,
    version: Option<Version>,
    overtaken_by: Option<RulesChange>,
    conflict: Vec<RulesChange>,
    not_in_force: Vec<Laggard>,
    unknown: Option<String>,
}

impl RulesApply {
    /// Runs the command.
    pub(crate) fn run(&self, out: &mut impl Write) -> anyhow::Result<Exit> {
        anyhow::ensure!(!self.by.trim().is_empty(), "--by is empty; write your name");
        let platform = platform(self.platform, &self.via);
        let text = read_file(&self.file)?;
        let catalogue = Catalogue {
            groups: Some(groups_at(&platform)?),
            tables: None,
        };
        if let Err(errors) = RuleSet::parse(&text, &catalogue) {
            write_faults(out, &self.file.display().to_string(), &errors)?;
            return Ok(Exit::Refused);
        }
        let change = self.change(&text);
        match apply(&platform, &change, ApplyConfig::default()) {
            Ok(Outcome::Accepted {
                version,
                overtaken_by,
            }) => self.accepted(out, &platform, version, overtaken_by),
            Ok(Outcome::Conflict { changes }) => self.conflict(out, &platform, &text, changes),
            Err(error @ ApplyError::Unknown { .. }) => {
                let report = Report {
                    unknown: Some(error.to_string()),
                    ..Report::default()
                };
                self.write(out, &report, &error.to_string())?;
                Ok(Exit::Unknown)
            }
            Err(error) => Err(error.into()),
        }
    }

    fn change(&self, text: &str) -> Change {
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Change {
            op_id: Change::identity(self.expect, &self.by, &self.reason, text),
            expected: self.expect,
            text: text.into(),
            by: self.by.trim().into(),
            reason: self.reason.trim().into(),
            at_unix_ms: now.unwrap_or_default().as_millis() as u64,
        }
    }

    fn accepted(
        &self,
        out: &mut impl Write,
        platform: &PlatformClient,
        version: Version,
        overtaken_by: Option<RulesChange>,
    ) -> anyhow::Result<Exit> {
        let mut lines = format!("accepted as version {version}\n");
        if let Some(newer) = &overtaken_by {
            lines.push_str(&format!("since then replaced: {}\n", sentence(newer)));
        }
        // A change that is accepted stays accepted when the fleet can't be asked.
        let (laggards, proxies) = match Fleet::open(platform, network(&self.via)) {
            Ok(fleet) => (
                fleet.wait_in_force(version, self.wait.get()),
                fleet.vms().len(),
            ),
            Err(error) => {
                lines.push_str(&format!("the proxies can't be listed: {error}\n"));
                let report = Report {
                    accepted: true,
                    version: Some(version),
                    overtaken_by,
                    ..Report::default()
                };
                self.write(out, &report, &lines)?;
                return Ok(Exit::NotInForce);
            }
        };
        match laggards.len() {
            0 => lines.push_str(&format!("in force on all {proxies} proxies\n")),
            count => lines.push_str(&format!(
                "not yet in force on {count} of {proxies} proxies:\n"
            )),
        }
        for laggard in &laggards {
            lines.push_str(&format!("  {}: {}\n", laggard.proxy, laggard.reason));
        }
        let exit = if laggards.is_empty() {
            Exit::Done
        } else {
            Exit::NotInForce
        };
        let report = Report {
            accepted: true,
            version: Some(version),
            overtaken_by,
            not_in_force: laggards,
            ..Report::default()
        };
        self.write(out, &report, &lines)?;
        Ok(exit)
    }

    /// Tells what changed and by whom. Nothing was overwritten.
    fn conflict(
        &self,
        out: &mut impl Write,
        platform: &PlatformClient,
        text: &str,
        changes: Vec<RulesChange>,
    ) -> anyhow::Result<Exit> {
        let mut lines = format!(
            "nothing was changed: version {} is not the newest\n",
            self.expect
        );
        if changes.is_empty() {
            lines.push_str("there are no rules of that version; see 'endivereach rules history'\n");
        }
        for change in &changes {
            lines.push_str(&format!("  {}\n", sentence(change)));
        }
        if let Some(difference) = self.difference_since(platform, text) {
            lines.push_str(&difference);
        }
        lines.push_str("merge these changes into the file, and apply it with the newest version\n");
        let report = Report {
            conflict: changes,
            ..Report::default()
        };
        self.write(out, &report, &lines)?;
        Ok(Exit::Conflict)
    }

    /// Describes what the others changed, as far as the versions can be read.
    fn difference_since(&self, platform: &PlatformClient, text: &str) -> Option<String> {
        let parse = |text: &str| RuleSet::parse(text, &Catalogue::unknown()).ok();
        let current = parse(&history::current(platform).ok()??.rules.text)?;
        let base = match history::at(platform, self.expect) {
            Ok(base) => parse(&base.rules.text)?,
            Err(_) => parse(text)?,
        };
        Some(format!("what they changed:\n{}", base.diff(&current)))
    }

    fn write(&self, out: &mut impl Write, report: &Report, lines: &str) -> std::io::Result<()> {
        match self.json {
            true => write_json(out, report),
            false => writeln!(out, "{}", lines.trim_end()),
        }
    }
}

/// Says who changed the rules, when and why.
pub(crate) fn sentence(change: &RulesChange) -> String {
    let RulesChange {
        version,
        by,
        reason,
        at_unix_ms,
        ..
    } = change;
    let why = if reason.is_empty() {
        String::new()
    } else {
        format!(": {reason}")
    };
    format!("version {version} by {by} at {}{why}", utc(*at_unix_ms))
}
