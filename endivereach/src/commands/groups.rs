//! `endivereach groups`: shows the database groups in the view of each proxy.

use super::ViaOption;
use super::status::fetch_statuses;
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

/// shows the state of the database groups in the view of each proxy
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "groups")]
pub(crate) struct Groups {
    /// show only this group
    #[argh(positional)]
    group: Option<GroupName>,
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

/// The state of a group in the view of one proxy.
#[derive(Debug, Serialize)]
struct GroupView {
    proxy: ProxyName,
    group: GroupStatus,
}

impl Groups {
    /// Runs the command.
    pub(crate) fn run(&self, out: &mut impl Write) -> anyhow::Result<Exit> {
        let mut views = Vec::new();
        for call_result in fetch_statuses(self.platform, &self.via)? {
            let groups = call_result
                .result
                .map(|status| status.groups)
                .unwrap_or_default();
            let is_selected =
                |group: &GroupStatus| self.group.as_ref().is_none_or(|name| *name == group.name);
            views.extend(
                groups
                    .into_iter()
                    .filter(is_selected)
                    .map(|group| GroupView {
                        proxy: call_result.vm.name.clone(),
                        group,
                    }),
            );
        }
        views.sort_by(|a, b| (&a.group.name, &a.proxy).cmp(&(&b.group.name, &b.proxy)));
        match self.json {
            true => write_json(out, &serde_json::json!({ "groups": views }))?,
            false => write!(out, "{}", table(&views))?,
        }
        Ok(Exit::Done)
    }
}

fn table(views: &[GroupView]) -> Table<7> {
    let mut table = Table::new([
        "GROUP", "PROXY", "TERM", "PRIMARY", "SHARE", "QUEUED", "MEMBERS",
    ]);
    for GroupView { proxy, group } in views {
        let members: Vec<String> = group.members.iter().map(describe_member).collect();
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

fn describe_member(member: &MemberSummary) -> String {
    let state = match (member.reachable, member.leaving, member.in_rotation) {
        (false, ..) => "unreachable",
        (true, true, _) => "leaving",
        (true, false, false) => "withdrawn",
        (true, false, true) => "ok",
    };
    format!("{} {state} lag {}", member.id, member.lag_entries)
}
