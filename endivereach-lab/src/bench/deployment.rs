//! The deployment of the benchmark: one platform, one group of two servers and one proxy, which
//! communicate directly, without relay links.

use super::GROUP;
use super::ROWS;
use super::connect;
use crate::process::Process;
use crate::process::workspace_program_path;
use endivereach_core::directory::GroupObject;
use endivereach_core::directory::Member;
use endivereach_core::directory::Vm;
use endivereach_core::ids::Term;
use endivereach_core::ids::Version;
use endivereach_wire::operator::NAME_CURRENT;
use endivereach_wire::operator::RulesObject;
use endivereach_wire::platform::KIND_GROUP;
use endivereach_wire::platform::KIND_RULES;
use endivereach_wire::platform::PlatformClient;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

/// How long [`Deployment::insert_rows`] waits for the proxy and the replica.
const INSERT_ROWS_TIMEOUT: Duration = Duration::from_secs(20);

/// The timeout of platform calls.
const PLATFORM_CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The rules that the benchmark publishes.
const RULES: &str = "\
groups * read registers session  # the benchmark: callers read their own writes\n\
groups * write registers once hold worth high  # the benchmark: as a booking\n";

/// The maximum number of connections to each server.
const CONNECTIONS_PER_SERVER: u32 = 200;

/// The maximum number of statements that each server runs concurrently.
const SLOTS_PER_SERVER: u32 = 64;

#[derive(Debug, serde::Deserialize)]
struct PlatformReady {
    addr: SocketAddr,
}

#[derive(Debug, serde::Deserialize)]
struct MemberReady {
    sql_addr: SocketAddr,
    control_addr: SocketAddr,
}

#[derive(Debug, serde::Deserialize)]
struct ProxyReady {
    sql_addr: SocketAddr,
}

/// The running processes. Dropping the deployment kills them.
pub(crate) struct Deployment {
    _platform: Process,
    _members: Vec<Process>,
    proxy: Process,
    replica_addr: SocketAddr,
    proxy_addr: SocketAddr,
}

impl Deployment {
    pub(crate) fn spawn(folder: &Path) -> anyhow::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let lab = workspace_program_path("endivereach-lab")?;
        let args = ["platform", "--addr", "127.0.0.1:0"].map(String::from);
        let (platform, ready): (_, PlatformReady) =
            Process::spawn("platform", &lab, &args, folder)?;
        let platform_addr = ready.addr;
        let (first, first_ready) = spawn_member("m1", None, folder)?;
        let (second, second_ready) = spawn_member("m2", Some(&first_ready), folder)?;
        publish(platform_addr, &first_ready, &second_ready)?;
        let settings = folder.join("entry-1.toml");
        std::fs::write(&settings, settings_text(platform_addr))?;
        let args = ["--settings".to_owned(), settings.display().to_string()];
        let daemon = workspace_program_path("endivereachd")?;
        let (proxy, proxy_ready): (_, ProxyReady) =
            Process::spawn("entry-1", &daemon, &args, folder)?;
        Ok(Self {
            _platform: platform,
            _members: vec![first, second],
            proxy,
            replica_addr: second_ready.sql_addr,
            proxy_addr: proxy_ready.sql_addr,
        })
    }

    pub(crate) fn replica_addr(&self) -> SocketAddr {
        self.replica_addr
    }

    pub(crate) fn proxy_addr(&self) -> SocketAddr {
        self.proxy_addr
    }

    pub(crate) fn proxy_pid(&self) -> u32 {
        self.proxy.pid()
    }

    /// Inserts the rows through the proxy, and waits until the replica has applied them.
    pub(crate) fn insert_rows(&self) -> anyhow::Result<()> {
        let deadline = Instant::now() + INSERT_ROWS_TIMEOUT;
        for row in 0..ROWS {
            let sql = format!("INSERT INTO registers (key, value) VALUES ('k{row}', {row})");
            while let Err(error) = connect(self.proxy_addr).and_then(|mut c| Ok(c.query(&sql)?)) {
                anyhow::ensure!(
                    Instant::now() < deadline,
                    "the proxy doesn't accept writes: {error:#}"
                );
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        let mut replica = connect(self.replica_addr)?;
        let last_row_query = super::point_read(ROWS - 1);
        while replica.query(&last_row_query)?.rows.is_empty() {
            anyhow::ensure!(
                Instant::now() < deadline,
                "the replica hasn't applied the rows"
            );
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }
}

fn spawn_member(
    id: &str,
    first: Option<&MemberReady>,
    folder: &Path,
) -> anyhow::Result<(Process, MemberReady)> {
    let lab = workspace_program_path("endivereach-lab")?;
    let mut args: Vec<String> = ["member", "--group", GROUP, "--id", id, "--primary", "m1"]
        .map(String::from)
        .into();
    if let Some(first) = first {
        args.extend(["--peer".to_owned(), format!("m1={}", first.control_addr)]);
    }
    Process::spawn(id, &lab, &args, folder)
}

fn publish(
    platform_addr: SocketAddr,
    first: &MemberReady,
    second: &MemberReady,
) -> anyhow::Result<()> {
    let platform = PlatformClient::new(platform_addr, PLATFORM_CALL_TIMEOUT);
    let member = |id: &str, ready: &MemberReady| Member {
        id: id.into(),
        zone: "koege".into(),
        sql_addr: ready.sql_addr,
        control_addr: ready.control_addr,
        leaving: false,
    };
    let group = GroupObject {
        name: GROUP.into(),
        term: Term::new(1),
        primary: "m1".into(),
        members: vec![member("m1", first), member("m2", second)],
        connections_per_server: CONNECTIONS_PER_SERVER,
        slots_per_server: SLOTS_PER_SERVER,
        grants: Vec::new(),
        granted_up_to: Term::new(1),
    };
    platform.put(KIND_GROUP, GROUP, Version::new(0), "bench", &group)?;
    let rules = RulesObject {
        text: RULES.into(),
        by: "bench".into(),
        reason: "".into(),
        at_unix_ms: 0,
        previous: Vec::new(),
    };
    platform.put(KIND_RULES, NAME_CURRENT, Version::new(0), "bench", &rules)?;
    let _: Vec<Vm> = platform.vms()?;
    Ok(())
}

fn settings_text(platform_addr: SocketAddr) -> String {
    format!(
        r#"
name = "entry-1"
region = "dk-east"
zone = "koege"

[listen]
sql_addr = "127.0.0.1:0"
peer_addr = "127.0.0.1:0"

[platform]
addr = "{platform_addr}"

[target]
user = "endivereach"
password = "bench"
"#
    )
}
