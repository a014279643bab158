//! Members and clients for the tests.

#![expect(dead_code, reason = "no test file uses all of the shared helpers")]

use endivereach_core::ids::MemberId;
use endivereach_core::ids::Position;
use endivereach_lab::commands::member::SCHEMA;
use endivereach_lab::member::Member;
use endivereach_lab::member::MemberConfig;
use endivereach_lab::member::PATH_PEERS;
use endivereach_lab::member::Peer;
use endivereach_lab::member::PeerList;
use endivereach_wire::http::Client as HttpClient;
use endivereach_wire::member::MemberClient;
use endivereach_wire::member::MemberStatus;
use endivereach_wire::member::WatchPosition;
use postgres::Client;
use postgres::NoTls;
use postgres::SimpleQueryMessage;
use std::time::Duration;

/// The timeout of calls and of waits for expected events.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a primary without replicas.
pub fn primary() -> Member {
    Member::spawn(primary_config("a")).unwrap()
}

pub fn primary_config(id: &str) -> MemberConfig {
    MemberConfig {
        initial_primary: Some("a".into()),
        schema: SCHEMA.into(),
        ..MemberConfig::new(id)
    }
}

pub fn connect(member: &Member) -> Client {
    let addr = member.sql_addr();
    let text = format!("host={} port={} user=test dbname=g", addr.ip(), addr.port());
    Client::connect(&text, NoTls).unwrap()
}

pub fn control(member: &Member) -> MemberClient {
    MemberClient::new(HttpClient::new(), member.control_addr())
}

pub fn status(member: &Member) -> MemberStatus {
    control(member).status(TEST_TIMEOUT).unwrap()
}

/// Returns the first value of the first row of a statement's result.
pub fn first_value(client: &mut Client, sql: &str) -> Option<String> {
    let messages = client.simple_query(sql).unwrap();
    messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    })
}

/// Returns the SQLSTATE of a statement that must fail.
pub fn error_sqlstate(client: &mut Client, sql: &str) -> String {
    let error = client.simple_query(sql).unwrap_err();
    error.code().expect("the server answered").code().to_owned()
}

/// Three members of one group, of which the first is the primary.
pub struct Group {
    pub members: Vec<Member>,
}

impl Group {
    pub fn spawn() -> Self {
        let spawn = |id| Member::spawn(primary_config(id)).unwrap();
        let members = ["a", "b", "c"].map(spawn).into();
        let group = Self { members };
        group.send_peer_lists();
        group
    }

    /// Sends the list of all members to every member.
    pub fn send_peer_lists(&self) {
        let peer = |(index, member): (usize, &Member)| Peer {
            id: member_name(index),
            control_addr: member.control_addr(),
        };
        let peers: Vec<_> = self.members.iter().enumerate().map(peer).collect();
        for member in &self.members {
            let list = PeerList {
                peers: peers.clone(),
            };
            let _: () = HttpClient::new()
                .call(member.control_addr(), PATH_PEERS, &list, TEST_TIMEOUT)
                .unwrap();
        }
    }

    /// Waits until a member has applied `position`, and returns its status.
    pub fn wait_applied(&self, index: usize, position: Position) -> MemberStatus {
        let client = control(&self.members[index]);
        let mut seen = client.status(TEST_TIMEOUT).unwrap();
        while seen.applied < position {
            let watch = WatchPosition {
                durable: seen.durable,
                applied: seen.applied,
                term: seen.term,
                fenced_term: seen.fenced_term,
                wait_ms: TEST_TIMEOUT.as_millis() as u64,
            };
            seen = client.watch(&watch, TEST_TIMEOUT).unwrap();
        }
        seen
    }
}

pub fn member_name(index: usize) -> MemberId {
    ["a", "b", "c"][index].into()
}
