//! `endivereach rules apply`: applies a rules file and waits until every proxy uses it.

use super::ViaOption;
use super::network;
use super::platform_client;
use super::rules::read_rules_file;
use super::rules_check::read_group_names;
use super::rules_check::write_errors;
use crate::apply::ApplyConfig;
use crate::apply::ApplyError;
use crate::apply::ApplyOutcome;
use crate::apply::Change;
use crate::apply::apply;
use crate::exit::Exit;
use crate::fleet::Fleet;
use crate::fleet::OutdatedProxy;
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

/// The default of `--wait`: the time within which a change of configuration must be in force on
/// every proxy.
const WAIT_DEFAULT: Duration = Duration::from_secs(19);

/// applies a rules file, unless another operator has changed the rules since the expected version
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct RulesApply {
    /// the rules file
    #[argh(positional)]
    file: PathBuf,
    /// the address of the platform's object API
    #[argh(option)]
    platform: SocketAddr,
    /// your name, which is stored with the change
    #[argh(option)]
    by: String,
    /// the version that the file is based on, as shown by 'rules show'; 0 if there are no rules yet
    #[argh(option)]
    expect: Version,
    /// the reason of the change, which is stored with it
    #[argh(option, default = "String::new()")]
    reason: String,
    /// the maximum time to wait until every proxy applies the rules, such as 19s; 0s doesn't wait
    #[argh(option, default = "TimeSpan::from(WAIT_DEFAULT)")]
    wait: TimeSpan,
    /// connect to address THROUGH instead of address TO: TO=THROUGH; can be repeated
    #[argh(option)]
    via: Vec<ViaOption>,
    /// write the output as a JSON object
    #[argh(switch)]
    json: bool,
}

/// The output of `--json`.
#[derive(Debug, Default, Serialize)]
struct Report {
    accepted: bool,
    version: Option<Version>,
    overtaken_by: Option<RulesChange>,
    conflict: Vec<RulesChange>,
    not_in_force: Vec<OutdatedProxy>,
    unknown: Option<String>,
}

impl RulesApply {
    /// Runs the command.
    pub(crate) fn run(&self, out: &mut impl Write) -> anyhow::Result<Exit> {
        anyhow::ensure!(!self.by.trim().is_empty(), "--by is empty; give your name");
        let platform = platform_client(self.platform, &self.via);
        let text = read_rules_file(&self.file)?;
        let catalogue = Catalogue {
            groups: Some(read_group_names(&platform)?),
            tables: None,
        };
        if let Err(errors) = RuleSet::parse(&text, &catalogue) {
            write_errors(out, &self.file.display().to_string(), &errors)?;
            return Ok(Exit::Refused);
        }
        let change = self.build_change(&text);
        match apply(&platform, &change, ApplyConfig::default()) {
            Ok(ApplyOutcome::Accepted {
                version,
                overtaken_by,
            }) => self.report_accepted(out, &platform, version, overtaken_by),
            Ok(ApplyOutcome::Conflict { changes }) => {
                self.report_conflict(out, &platform, &text, changes)
            }
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

    fn build_change(&self, text: &str) -> Change {
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Change {
            op_id: Change::operation_id(self.expect, &self.by, &self.reason, text),
            expected: self.expect,
            text: text.into(),
            by: self.by.trim().into(),
            reason: self.reason.trim().into(),
            at_unix_ms: now.unwrap_or_default().as_millis() as u64,
        }
    }

    /// Waits until the accepted version is in force on every proxy, and reports the proxies on
    /// which it isn't.
    fn report_accepted(
        &self,
        out: &mut impl Write,
        platform: &PlatformClient,
        version: Version,
        overtaken_by: Option<RulesChange>,
    ) -> anyhow::Result<Exit> {
        let mut report_text = format!("accepted as version {version}\n");
        if let Some(newer) = &overtaken_by {
            report_text.push_str(&format!("replaced since by: {}\n", describe_change(newer)));
        }
        // The change remains accepted when the proxies can't be called.
        let (outdated, proxy_count) = match Fleet::load(platform, network(&self.via)) {
            Ok(fleet) => (
                fleet.wait_in_force(version, self.wait.get()),
                fleet.vms().len(),
            ),
            Err(error) => {
                report_text.push_str(&format!("the proxies can't be listed: {error}\n"));
                let report = Report {
                    accepted: true,
                    version: Some(version),
                    overtaken_by,
                    ..Report::default()
                };
                self.write(out, &report, &report_text)?;
                return Ok(Exit::NotInForce);
            }
        };
        match outdated.len() {
            0 => report_text.push_str(&format!("in force on all {proxy_count} proxies\n")),
            count => report_text.push_str(&format!(
                "not yet in force on {count} of {proxy_count} proxies:\n"
            )),
        }
        for outdated_proxy in &outdated {
            report_text.push_str(&format!(
                "  {}: {}\n",
                outdated_proxy.proxy, outdated_proxy.reason
            ));
        }
        let exit = if outdated.is_empty() {
            Exit::Done
        } else {
            Exit::NotInForce
        };
        let report = Report {
            accepted: true,
            version: Some(version),
            overtaken_by,
            not_in_force: outdated,
            ..Report::default()
        };
        self.write(out, &report, &report_text)?;
        Ok(exit)
    }

    /// Reports that nothing was changed, and the changes of other operators since the expected
    /// version.
    fn report_conflict(
        &self,
        out: &mut impl Write,
        platform: &PlatformClient,
        text: &str,
        changes: Vec<RulesChange>,
    ) -> anyhow::Result<Exit> {
        let mut report_text = format!(
            "nothing was changed: version {} is not the newest\n",
            self.expect
        );
        if changes.is_empty() {
            report_text
                .push_str("there are no rules of that version; see 'endivereach rules history'\n");
        }
        for change in &changes {
            report_text.push_str(&format!("  {}\n", describe_change(change)));
        }
        if let Some(changed_rules) = self.changes_since_expected(platform, text) {
            report_text.push_str(&changed_rules);
        }
        report_text
            .push_str("merge these changes into the file, and apply it with the newest version\n");
        let report = Report {
            conflict: changes,
            ..Report::default()
        };
        self.write(out, &report, &report_text)?;
        Ok(Exit::Conflict)
    }

    /// Describes the difference between the expected version and the current one. If the expected
    /// version can't be read, describes the difference between the operator's file and the current
    /// version.
    fn changes_since_expected(&self, platform: &PlatformClient, text: &str) -> Option<String> {
        let parse = |text: &str| RuleSet::parse(text, &Catalogue::accept_any()).ok();
        let current = parse(&history::current(platform).ok()??.rules.text)?;
        let base = match history::at_version(platform, self.expect) {
            Ok(base) => parse(&base.rules.text)?,
            Err(_) => parse(text)?,
        };
        Some(format!(
            "differences to the current version:\n{}",
            base.diff(&current)
        ))
    }

    fn write(
        &self,
        out: &mut impl Write,
        report: &Report,
        report_text: &str,
    ) -> std::io::Result<()> {
        match self.json {
            true => write_json(out, report),
            false => writeln!(out, "{}", report_text.trim_end()),
        }
    }
}

/// Describes a change on one line: the version, the operator, the time and the reason.
pub(crate) fn describe_change(change: &RulesChange) -> String {
    let RulesChange {
        version,
        by,
        reason,
        at_unix_ms,
        ..
    } = change;
    let reason_suffix = if reason.is_empty() {
        String::new()
    } else {
        format!(": {reason}")
    };
    format!(
        "version {version} by {by} at {}{reason_suffix}",
        utc(*at_unix_ms)
    )
}
