//! `endivereach groups`: the database groups as the proxies see them.

use super::ViaOption;
use super::status::ask;
use crate::exit::Exit;
use crate::output::Table;
use crate::output::write_json;
use argh::FromArgs;
use endivereach_core::ids::GroupName;
use endivereach_core::ids::ProxyName;
use endivereach_wire::operator::GroupStatus;
use endivereach_wire::operator::MemberSummary;
use serde::Serialize;
use std::io::Write;
use std::net::SocketAddr;

/// shows the database groups as the proxies see them
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "groups")]
pub(crate) struct Groups {
    /// one group only
    #[argh(positional)]
    group: Option<GroupName>,
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

/// A group as one proxy sees it.
#[derive(Debug, Serialize)]
struct Sight {
    proxy: ProxyName,
    group: GroupStatus,
}

impl Groups {
    /// Runs the command.
    pub(crate) fn run(&self, out: &mut impl Write) -> anyhow::Result<Exit> {
        let mut sights = Vec::new();
        for answer in ask(self.platform, &self.via)? {
            let groups = answer
                .result
                .map(|status| status.groups)
                .unwrap_or_default();
            let wanted =
                |group: &GroupStatus| self.group.as_ref().is_none_or(|name| *name == group.name);
            sights.extend(groups.into_iter().filter(wanted).map(|group| Sight {
                proxy: answer.vm.name.clone(),
                group,
            }));
        }
        sights.sort_by(|a, b| (&a.group.name, &a.proxy).cmp(&(&b.group.name, &b.proxy)));
        match self.json {
            true => write_json(out, &serde_json::json!({ "groups": sights }))?,
            false => write!(out, "{}", table(&sights))?,
        }
        Ok(Exit::Done)
    }
}

fn table(sights: &[Sight]) -> Table<7> {
    let mut table = Table::new([
        "GROUP", "PROXY", "TERM", "PRIMARY", "SHARE", "QUEUED", "MEMBERS",
    ]);
    for Sight { proxy, group } in sights {
        let members: Vec<String> = group.members.iter().map(member).collect();
        let primary = group.primary.as_ref().map(ToString::to_string);
        table.row([
            group.name.to_string(),
            proxy.to_string(),
            group.term.to_string(),
            primary.unwrap_or_else(|| "changing".to_owned()),
            group.share.to_string(),
            group.queued.to_string(),
            members.join(", "),
        ]);
    }
    table
}

fn member(member: &MemberSummary) -> String {
    let state = match (member.reachable, member.leaving, member.in_rotation) {
        (false, ..) => "unreachable",
        (true, true, _) => "leaving",
        (true, false, false) => "withdrawn",
        (true, false, true) => "ok",
    };
    format!("{} {state} lag {}", member.id, member.lag_entries)
}
