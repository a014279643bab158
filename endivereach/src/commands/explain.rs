//! `endivereach explain`: why a proxy did something.

use super::ViaOption;
use super::network;
use super::platform;
use crate::exit::Exit;
use crate::fleet::Answer;
use crate::fleet::Fleet;
use crate::history;
use crate::logs;
use crate::logs::Line;
use crate::output::Table;
use crate::output::utc_millis;
use crate::output::write_json;
use anyhow::Context;
use argh::FromArgs;
use endivereach_core::ids::ProxyId;
use endivereach_core::ids::ProxyName;
use endivereach_wire::operator::Explain as Question;
use endivereach_wire::operator::ExplainedStep;
use endivereach_wire::operator::Explanation;
use endivereach_wire::operator::PATH_EXPLAIN;
use serde::Serialize;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

/// tells why a request went where it went, why a group changed, or what a rule decided
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Explain {
    /// what to explain: request, group or rule
    #[argh(positional)]
    subject: Subject,
    /// the request's id, the group's name, or the rule's line
    #[argh(positional)]
    name: String,
    /// the platform's address; needed unless logs are given
    #[argh(option)]
    platform: Option<SocketAddr>,
    /// read the proxies' logs instead of asking them; can be repeated, - is standard input
    #[argh(option)]
    logs: Vec<PathBuf>,
    /// reach an address through another: TO=THROUGH
    #[argh(option)]
    via: Vec<ViaOption>,
    /// write one JSON object
    #[argh(switch)]
    json: bool,
}

/// What can be explained.
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
                "{other:?} can't be explained; use request, group or rule"
            )),
        }
    }
}

/// A step with the proxy that took it.
#[derive(Debug, Serialize)]
struct Step {
    proxy: ProxyId,
    #[serde(flatten)]
    step: ExplainedStep,
}

/// A line of a log with the proxy that wrote it.
#[derive(Debug, Serialize)]
struct LoggedStep {
    proxy: ProxyName,
    #[serde(flatten)]
    step: ExplainedStep,
}

impl Explain {
    /// Runs the command. The exit code is 1 when no proxy knows anything.
    pub(crate) fn run(&self, out: &mut impl Write) -> anyhow::Result<Exit> {
        if !self.logs.is_empty() {
            return self.run_on_logs(out);
        }
        let question = self.question()?;
        let address = self
            .platform
            .context("nothing to ask; name the platform with --platform, or logs with --logs")?;
        let platform = platform(address, &self.via);
        let fleet = Fleet::open(&platform, network(&self.via))
            .context("listing the proxies at the platform")?;
        let answers: Vec<Answer<Explanation>> = fleet.ask(PATH_EXPLAIN, &question);
        let silent: Vec<String> = answers
            .iter()
            .filter(|answer| answer.result.is_err())
            .map(|answer| answer.vm.name.to_string())
            .collect();
        let steps = in_order(answers);
        if self.json {
            let value = serde_json::json!({ "steps": steps, "no_answer": silent });
            write_json(out, &value)?;
        } else {
            self.write_rule(out, &platform)?;
            write_steps(out, &steps, &silent)?;
        }
        Ok(if steps.is_empty() {
            Exit::Failed
        } else {
            Exit::Done
        })
    }

    /// Explains from logs alone. The exit code is 1 when they tell nothing of it.
    fn run_on_logs(&self, out: &mut impl Write) -> anyhow::Result<Exit> {
        let mut lines = Vec::new();
        for path in &self.logs {
            let text = if path.as_os_str() == "-" {
                std::io::read_to_string(std::io::stdin())
            } else {
                std::fs::read_to_string(path)
            };
            let text = text.with_context(|| format!("reading {}", path.display()))?;
            lines.extend(text.lines().filter_map(Line::parse));
        }
        let found = match self.subject {
            Subject::Request => logs::about_request(&lines, &self.name),
            Subject::Group => logs::about_group(&lines, &self.name),
            Subject::Rule => anyhow::bail!("logs don't hold rules; ask with --platform"),
        };
        let steps: Vec<LoggedStep> = found
            .into_iter()
            .map(|line| LoggedStep {
                proxy: line.node.clone(),
                step: line.step(),
            })
            .collect();
        if self.json {
            write_json(out, &serde_json::json!({ "steps": steps }))?;
        } else if steps.is_empty() {
            writeln!(out, "the logs tell nothing of it")?;
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

    fn question(&self) -> anyhow::Result<Question> {
        Ok(match self.subject {
            Subject::Request => Question::Request {
                id: self.name.parse()?,
            },
            Subject::Group => Question::Group {
                name: self.name.parse()?,
            },
            Subject::Rule => Question::Rule {
                line: self
                    .name
                    .parse()
                    .context("the rule is named by its line, a number")?,
            },
        })
    }

    /// Writes the line itself, which names who asked for it.
    fn write_rule(
        &self,
        out: &mut impl Write,
        platform: &endivereach_wire::platform::PlatformClient,
    ) -> anyhow::Result<()> {
        let Question::Rule { line } = self.question()? else {
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
        let text = text.unwrap_or("there is no such line");
        writeln!(out, "line {line} of version {}: {text}", current.version)?;
        Ok(())
    }
}

/// Brings the steps of all proxies into one order, by their clocks.
fn in_order(answers: Vec<Answer<Explanation>>) -> Vec<Step> {
    let mut steps = Vec::new();
    for answer in answers {
        let Ok(explanation) = answer.result else {
            continue;
        };
        let proxy = explanation.proxy;
        steps.extend(explanation.steps.into_iter().map(|step| Step {
            proxy: proxy.clone(),
            step,
        }));
    }
    steps.sort_by_key(|step| step.step.at_unix_ms);
    steps
}

fn write_steps(out: &mut impl Write, steps: &[Step], silent: &[String]) -> std::io::Result<()> {
    if steps.is_empty() {
        writeln!(out, "no proxy that answered knows anything about it")?;
    } else {
        let rows = steps.iter().map(|step| (&step.proxy.name, &step.step));
        write_table(out, rows)?;
    }
    if !silent.is_empty() {
        writeln!(out, "no answer from: {}", silent.join(", "))?;
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
