//! `endivereach explain`: why a proxy did something.

use super::ViaOption;
use super::network;
use super::platform;
use crate::exit::Exit;
use crate::fleet::Answer;
use crate::fleet::Fleet;
use crate::history;
use crate::output::Table;
use crate::output::utc;
use crate::output::write_json;
use anyhow::Context;
use argh::FromArgs;
use endivereach_core::ids::ProxyId;
use endivereach_wire::operator::Explain as Question;
use endivereach_wire::operator::ExplainedStep;
use endivereach_wire::operator::Explanation;
use endivereach_wire::operator::PATH_EXPLAIN;
use serde::Serialize;
use std::io::Write;
use std::net::SocketAddr;
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

impl Explain {
    /// Runs the command. The exit code is 1 when no proxy knows anything.
    pub(crate) fn run(&self, out: &mut impl Write) -> anyhow::Result<Exit> {
        let question = self.question()?;
        let platform = platform(self.platform, &self.via);
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
        let mut table = Table::new(["WHEN", "PROXY", "WHAT", "EVIDENCE"]);
        for Step { proxy, step } in steps {
            let (what, evidence) = (step.what.to_string(), step.evidence.to_string());
            table.row([utc(step.at_unix_ms), proxy.name.to_string(), what, evidence]);
        }
        write!(out, "{table}")?;
    }
    if !silent.is_empty() {
        writeln!(out, "no answer from: {}", silent.join(", "))?;
    }
    Ok(())
}
