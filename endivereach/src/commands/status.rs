//! `endivereach status`: shows the status of every proxy.

use super::ViaOption;
use super::network;
use super::platform_client;
use crate::exit::Exit;
use crate::fleet::CallResult;
use crate::fleet::Fleet;
use crate::output::Table;
use crate::output::write_json;
use anyhow::Context;
use argh::FromArgs;
use endivereach_core::units::TimeSpan;
use endivereach_wire::operator::PATH_FLEET_STATUS;
use endivereach_wire::operator::ProxyStatus;
use endivereach_wire::operator::RulesState;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

/// shows the status of every proxy; the exit code is 1 if a proxy doesn't answer
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {
    /// the address of the platform's object API
    #[argh(option)]
    platform: SocketAddr,
    /// connect to address THROUGH instead of address TO: TO=THROUGH; can be repeated
    #[argh(option)]
    via: Vec<ViaOption>,
    /// write the output as a JSON object
    #[argh(switch)]
    json: bool,
}

impl Status {
    /// Runs the command. The exit code is 1 when a proxy doesn't answer.
    pub(crate) fn run(&self, out: &mut impl Write) -> anyhow::Result<Exit> {
        let results = fetch_statuses(self.platform, &self.via)?;
        let has_failed_call = results
            .iter()
            .any(|call_result| call_result.result.is_err());
        match self.json {
            true => write_statuses(out, &results)?,
            false => write!(out, "{}", table(&results))?,
        }
        Ok(if has_failed_call {
            Exit::Failed
        } else {
            Exit::Done
        })
    }
}

/// Fetches the status of every proxy.
pub(crate) fn fetch_statuses(
    addr: SocketAddr,
    via: &[ViaOption],
) -> anyhow::Result<Vec<CallResult<ProxyStatus>>> {
    let fleet = Fleet::load(&platform_client(addr, via), network(via))
        .context("listing the proxies at the platform")?;
    Ok(fleet.call_all(PATH_FLEET_STATUS, &()))
}

/// Writes a JSON object with the status, or the error, of each proxy.
pub(crate) fn write_statuses(
    out: &mut impl Write,
    results: &[CallResult<ProxyStatus>],
) -> std::io::Result<()> {
    let entry = |call_result: &CallResult<ProxyStatus>| match &call_result.result {
        Ok(status) => serde_json::json!({ "name": call_result.vm.name, "status": status }),
        Err(error) => {
            serde_json::json!({ "name": call_result.vm.name, "error": error.to_string() })
        }
    };
    let proxies: Vec<serde_json::Value> = results.iter().map(entry).collect();
    write_json(out, &serde_json::json!({ "proxies": proxies }))
}

fn table(results: &[CallResult<ProxyStatus>]) -> Table<8> {
    let heading = [
        "PROXY",
        "ZONE",
        "STATE",
        "UP",
        "RULES",
        "CALLERS",
        "IN FLIGHT",
        "PEERS",
    ];
    let mut table = Table::new(heading);
    for call_result in results {
        let name = call_result.vm.name.to_string();
        let zone = call_result.vm.zone.to_string();
        table.row(match &call_result.result {
            Ok(status) => [
                name,
                zone,
                describe_state(status).to_owned(),
                format_uptime(status.uptime_ms),
                describe_rules(status),
                status.callers.to_string(),
                status.in_flight.to_string(),
                status.peers.to_string(),
            ],
            Err(_) => [
                name,
                zone,
                "no answer".into(),
                "-".into(),
                "-".into(),
                "-".into(),
                "-".into(),
                "-".into(),
            ],
        });
    }
    table
}

fn describe_state(status: &ProxyStatus) -> &'static str {
    match (status.draining, status.platform_reachable) {
        (true, _) => "draining",
        (false, true) => "serving",
        (false, false) => "no platform",
    }
}

fn format_uptime(uptime_ms: u64) -> String {
    let seconds = uptime_ms / 1000;
    TimeSpan::from(Duration::from_secs(seconds)).to_string()
}

fn describe_rules(status: &ProxyStatus) -> String {
    let version = status.rules.version;
    match status.rules.state {
        RulesState::Current => version.to_string(),
        RulesState::Unconfirmed => format!("{version}, strict"),
        RulesState::Missing => "none, strict".to_owned(),
    }
}
