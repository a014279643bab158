//! `endivereach-lab member`: runs the stand-in for one server of a database group.

use crate::member::Member;
use crate::member::MemberConfig;
use argh::FromArgs;
use endivereach_core::ids::GroupName;
use endivereach_core::ids::MemberId;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The SQL that creates the tables of the lab's load.
pub const SCHEMA: &str = include_str!("../../data/schema.sql");

/// Serve one server of a database group.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "member")]
pub struct MemberCommand {
    /// the group's name, which is printed and has no other effect
    #[argh(option)]
    group: GroupName,
    /// the member's name
    #[argh(option)]
    id: MemberId,
    /// where to accept database connections; port 0 lets the kernel choose
    #[argh(option, default = "any_port()")]
    sql_addr: SocketAddr,
    /// where to answer control calls; port 0 lets the kernel choose
    #[argh(option, default = "any_port()")]
    control_addr: SocketAddr,
    /// another member as `name=address` of its control calls; repeat for each
    #[argh(option, from_str_fn(parse_peer))]
    peer: Vec<PeerArgument>,
    /// the primary of the first term
    #[argh(option)]
    primary: Option<MemberId>,
    /// where the log and the term are kept; without it they end with the process
    #[argh(option)]
    data_dir: Option<PathBuf>,
    /// a file of tables that the first primary creates; the lab's own by default
    #[argh(option)]
    schema: Option<PathBuf>,
    /// connections accepted at a time; unlimited by default
    #[argh(option)]
    connections: Option<u32>,
    /// statements run at a time; unlimited by default
    #[argh(option)]
    slots: Option<u32>,
    /// the simulated execution time of a statement, in microseconds
    #[argh(option, default = "0")]
    service_us: u64,
    /// the simulated time to open a connection, in milliseconds
    #[argh(option, default = "0")]
    connect_ms: u64,
    /// the password that clients must give; none by default
    #[argh(option)]
    password: Option<String>,
    /// authenticate clients by SCRAM-SHA-256 instead of a password in clear text
    #[argh(switch)]
    scram: bool,
}

/// Another member of the group, as given on the command line.
#[derive(Debug)]
struct PeerArgument {
    id: MemberId,
    addr: SocketAddr,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn parse_peer(text: &str) -> Result<PeerArgument, String> {
    let usage = || format!("{text:?} is not a member; write it as name=127.0.0.1:1234");
    let (id, addr) = text.split_once('=').ok_or_else(usage)?;
    Ok(PeerArgument {
        id: id.parse().map_err(|_| usage())?,
        addr: addr.parse().map_err(|_| usage())?,
    })
}

impl MemberCommand {
    /// Serves until the process is killed.
    ///
    /// # Errors
    ///
    /// Returns an error when an address can't be bound or a file can't be read.
    pub fn run(self) -> anyhow::Result<()> {
        let schema = match &self.schema {
            Some(path) => std::fs::read_to_string(path)?.into(),
            None => SCHEMA.into(),
        };
        let positive = |duration: Duration| (!duration.is_zero()).then_some(duration);
        let member = Member::spawn(MemberConfig {
            sql_addr: self.sql_addr,
            control_addr: self.control_addr,
            peers: self.peer.into_iter().map(|it| (it.id, it.addr)).collect(),
            initial_primary: self.primary,
            data_dir: self.data_dir,
            schema,
            max_connections: self.connections,
            max_running_statements: self.slots,
            service_time: positive(Duration::from_micros(self.service_us)),
            connect_delay: positive(Duration::from_millis(self.connect_ms)),
            password: self.password.map(Into::into),
            scram: self.scram,
            id: self.id.clone(),
        })?;
        let ready_line = serde_json::json!({
            "group": self.group,
            "id": self.id,
            "sql_addr": member.sql_addr(),
            "control_addr": member.control_addr(),
        });
        println!("{ready_line}");
        super::wait_forever()
    }
}
