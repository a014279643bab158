//! `endivereach explain`: explains decisions of the proxies.

use super::ViaOption;
use super::network;
use super::platform_client;
use crate::exit::Exit;
use crate::fleet::CallResult;
use crate::fleet::Fleet;
use crate::history;
use crate::logs;
use crate::logs::LogLine;
use crate::output::Table;
use crate::output::utc_millis;
use crate::output::write_json;
use anyhow::Context;
use argh::FromArgs;
use endivereach_core::ids::ProxyId;
use endivereach_core::ids::ProxyName;
use endivereach_wire::operator::Explain as ExplainRequest;
use endivereach_wire::operator::ExplainedStep;
use endivereach_wire::operator::Explanation;
use endivereach_wire::operator::PATH_EXPLAIN;
use serde::Serialize;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

/// explains how a request was routed, why a group's primary or members changed, or what a rule
/// decided
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Explain {
    /// what to explain: request, group or rule
    #[argh(positional)]
    subject: Subject,
    /// the id of the request, the name of the group, or the line number of the rule
    #[argh(positional)]
    name: String,
    /// the address of the platform's object API; required unless --logs is given
    #[argh(option)]
    platform: Option<SocketAddr>,
    /// a log file of proxies to read instead of calling the proxies; can be repeated; - is standard
    /// input
    #[argh(option)]
    logs: Vec<PathBuf>,
    /// connect to address THROUGH instead of address TO: TO=THROUGH; can be repeated
    #[argh(option)]
    via: Vec<ViaOption>,
    /// write the output as a JSON object
    #[argh(switch)]
    json: bool,
}

/// The kind of the subject to explain.
#[derive(Clone, Copy, Debug)]
enum Subject {
    Request,
    Group,
    Rule,
}

impl FromStr for Subject {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "request" => Ok(Self::Request),
            "group" => Ok(Self::Group),
            "rule" => Ok(Self::Rule),
            other => Err(format!(
                "unknown subject {other:?}; use request, group or rule"
            )),
        }
    }
}

/// A step of an explanation and the proxy that reported it.
#[derive(Debug, Serialize)]
struct ReportedStep {
    proxy: ProxyId,
    #[serde(flatten)]
    step: ExplainedStep,
}

/// A step that was read from a log and the proxy that logged it.
#[derive(Debug, Serialize)]
struct LoggedStep {
    proxy: ProxyName,
    #[serde(flatten)]
    step: ExplainedStep,
}

impl Explain {
    /// Runs the command. The exit code is 1 when no proxy has a record of the subject.
    pub(crate) fn run(&self, out: &mut impl Write) -> anyhow::Result<Exit> {
        if !self.logs.is_empty() {
            return self.run_on_logs(out);
        }
        let request = self.request()?;
        let address = self.platform.context(
            "neither --platform nor --logs is given; give the platform's address or log files",
        )?;
        let platform = platform_client(address, &self.via);
        let fleet = Fleet::load(&platform, network(&self.via))
            .context("listing the proxies at the platform")?;
        let results: Vec<CallResult<Explanation>> = fleet.call_all(PATH_EXPLAIN, &request);
        let unanswered: Vec<String> = results
            .iter()
            .filter(|call_result| call_result.result.is_err())
            .map(|call_result| call_result.vm.name.to_string())
            .collect();
        let steps = merge_steps(results);
        if self.json {
            let value = serde_json::json!({ "steps": steps, "no_answer": unanswered });
            write_json(out, &value)?;
        } else {
            self.write_rule(out, &platform)?;
            write_steps(out, &steps, &unanswered)?;
        }
        Ok(if steps.is_empty() {
            Exit::Failed
        } else {
            Exit::Done
        })
    }

    /// Explains the subject from log files. The exit code is 1 when they contain no line about it.
    fn run_on_logs(&self, out: &mut impl Write) -> anyhow::Result<Exit> {
        let mut lines = Vec::new();
        for path in &self.logs {
            let text = if path.as_os_str() == "-" {
                std::io::read_to_string(std::io::stdin())
            } else {
                std::fs::read_to_string(path)
            };
            let text = text.with_context(|| format!("reading {}", path.display()))?;
            lines.extend(text.lines().filter_map(LogLine::parse));
        }
        let matching_lines = match self.subject {
            Subject::Request => logs::request_lines(&lines, &self.name),
            Subject::Group => logs::group_lines(&lines, &self.name),
            Subject::Rule => {
                anyhow::bail!("logs don't contain rules; use --platform instead of --logs")
            }
        };
        let steps: Vec<LoggedStep> = matching_lines
            .into_iter()
            .map(|line| LoggedStep {
                proxy: line.node.clone(),
                step: line.to_step(),
            })
            .collect();
        if self.json {
            write_json(out, &serde_json::json!({ "steps": steps }))?;
        } else if steps.is_empty() {
            writeln!(out, "the logs contain no line about this request or group")?;
        } else {
            let rows = steps.iter().map(|logged| (&logged.proxy, &logged.step));
            write_table(out, rows)?;
        }
        Ok(if steps.is_empty() {
            Exit::Failed
        } else {
            Exit::Done
        })
    }

    fn request(&self) -> anyhow::Result<ExplainRequest> {
        Ok(match self.subject {
            Subject::Request => ExplainRequest::Request {
                id: self.name.parse()?,
            },
            Subject::Group => ExplainRequest::Group {
                name: self.name.parse()?,
            },
            Subject::Rule => ExplainRequest::Rule {
                line: self
                    .name
                    .parse()
                    .context("a rule is given by its line number in the rules file")?,
            },
        })
    }

    /// If the subject is a rule, writes its line from the current rules. The comment on the line
    /// names the person who requested the rule.
    fn write_rule(
        &self,
        out: &mut impl Write,
        platform: &endivereach_wire::platform::PlatformClient,
    ) -> anyhow::Result<()> {
        let ExplainRequest::Rule { line } = self.request()? else {
            return Ok(());
        };
        let Some(current) = history::current(platform)? else {
            return Ok(());
        };
        let text = current
            .rules
            .text
            .lines()
            .nth(line.saturating_sub(1) as usize);
        let text = text.unwrap_or("(the rules have no such line)");
        writeln!(out, "line {line} of version {}: {text}", current.version)?;
        Ok(())
    }
}

/// Merges the steps of all proxies, sorted by the time on each proxy's clock.
fn merge_steps(results: Vec<CallResult<Explanation>>) -> Vec<ReportedStep> {
    let mut steps = Vec::new();
    for call_result in results {
        let Ok(explanation) = call_result.result else {
            continue;
        };
        let proxy = explanation.proxy;
        steps.extend(explanation.steps.into_iter().map(|step| ReportedStep {
            proxy: proxy.clone(),
            step,
        }));
    }
    steps.sort_by_key(|reported| reported.step.at_unix_ms);
    steps
}

fn write_steps(
    out: &mut impl Write,
    steps: &[ReportedStep],
    unanswered: &[String],
) -> std::io::Result<()> {
    if steps.is_empty() {
        writeln!(out, "no proxy that answered has a record of it")?;
    } else {
        let rows = steps
            .iter()
            .map(|reported| (&reported.proxy.name, &reported.step));
        write_table(out, rows)?;
    }
    if !unanswered.is_empty() {
        writeln!(out, "no answer from: {}", unanswered.join(", "))?;
    }
    Ok(())
}

fn write_table<'s>(
    out: &mut impl Write,
    rows: impl Iterator<Item = (&'s ProxyName, &'s ExplainedStep)>,
) -> std::io::Result<()> {
    let mut table = Table::new(["WHEN", "PROXY", "WHAT", "EVIDENCE"]);
    for (proxy, step) in rows {
        let (what, evidence) = (step.what.to_string(), step.evidence.to_string());
        table.row([
            utc_millis(step.at_unix_ms),
            proxy.to_string(),
            what,
            evidence,
        ]);
    }
    write!(out, "{table}")
}
