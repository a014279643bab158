//! A complete deployment of real processes: the platform, the groups' servers and the proxies, with
//! a relay link for every pair that communicates.

mod links;
mod members;
mod proxies;

pub use links::Links;
pub use members::MemberProcess;
pub use proxies::ProxyProcess;

use crate::load::Endpoints;
use crate::platform;
use crate::process::Process;
use crate::process::workspace_program_path;
use crate::topology::Topology;
use anyhow::Context;
use endivereach_core::directory::GroupObject;
use endivereach_core::directory::Member;
use endivereach_core::directory::Vm;
use endivereach_core::ids::RegionName;
use endivereach_core::ids::Term;
use endivereach_core::ids::Version;
use endivereach_wire::http::Client;
use endivereach_wire::operator::NAME_CURRENT;
use endivereach_wire::operator::RulesObject;
use endivereach_wire::platform::KIND_GROUP;
use endivereach_wire::platform::KIND_RULES;
use endivereach_wire::platform::PlatformClient;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// The timeout of control calls.
pub const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);

/// How long [`Cluster::spawn`] waits until every group answers through every proxy.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// The interval between two probes of a group that doesn't answer yet.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The text of the rules that every deployment starts with.
pub const RULES: &str = include_str!("../../data/lab.rules");

/// The line that the platform prints to standard output when it is ready.
#[derive(Debug, serde::Deserialize)]
struct PlatformReady {
    addr: SocketAddr,
}

/// A running deployment. Dropping it kills every process.
#[derive(Debug)]
pub struct Cluster {
    topology: Topology,
    folder: PathBuf,
    http: Client,
    links: Links,
    platform: Process,
    platform_addr: SocketAddr,
    members: Vec<Vec<MemberProcess>>,
    proxies: Vec<ProxyProcess>,
    endpoints: Endpoints,
}

impl Cluster {
    /// Starts a deployment whose processes write their logs and data below `folder`, and waits
    /// until every group answers through every proxy.
    ///
    /// # Errors
    ///
    /// Returns an error that names the process and its log when a process isn't ready in time.
    pub fn spawn(topology: Topology, folder: &Path, seed: u64) -> anyhow::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let lab = workspace_program_path("endivereach-lab")?;
        let args = ["platform", "--addr", "127.0.0.1:0"].map(String::from);
        let (platform, ready): (_, PlatformReady) =
            Process::spawn("platform", &lab, &args, folder)?;
        let links = Links::spawn(&topology, seed)?;
        links.set_platform(ready.addr);
        let mut cluster = Self {
            http: Client::new(),
            platform,
            platform_addr: ready.addr,
            members: Vec::new(),
            proxies: Vec::new(),
            endpoints: Endpoints {
                proxies: Arc::new(Mutex::new(links.caller_addrs())),
                groups: topology.group_names(),
            },
            folder: folder.to_path_buf(),
            topology,
            links,
        };
        cluster.start_members()?;
        cluster.publish()?;
        for proxy in 0..cluster.topology.proxies {
            let process = cluster.start_proxy(proxy)?;
            cluster.proxies.push(process);
        }
        cluster.wait_ready()?;
        Ok(cluster)
    }

    /// Returns the topology that the deployment was started with.
    pub fn topology(&self) -> &Topology {
        &self.topology
    }

    /// Returns the folder that holds logs and data.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Returns the addresses at which callers reach the proxies.
    pub fn endpoints(&self) -> &Endpoints {
        &self.endpoints
    }

    /// Returns the links, for injecting faults.
    pub fn links(&self) -> &Links {
        &self.links
    }

    /// Returns the client for control calls.
    pub fn http(&self) -> &Client {
        &self.http
    }

    /// Returns a client of the platform that bypasses the links, so that network faults don't
    /// affect it.
    pub fn platform(&self) -> PlatformClient {
        PlatformClient::new(self.platform_addr, CONTROL_TIMEOUT)
    }

    /// Returns the address of the platform's process, which bypasses the links.
    pub fn platform_addr(&self) -> SocketAddr {
        self.platform_addr
    }

    /// Returns the platform's process.
    pub fn platform_process(&self) -> &Process {
        &self.platform
    }

    /// Replaces the faults injected into the platform.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform's process doesn't answer.
    pub fn set_platform_fault(&self, fault: &platform::Fault) -> anyhow::Result<()> {
        let path = platform::PATH_FAULT;
        self.http
            .call::<_, ()>(self.platform_addr, path, fault, CONTROL_TIMEOUT)?;
        Ok(())
    }

    /// Writes the initial groups, VMs and rules to the platform.
    fn publish(&self) -> anyhow::Result<()> {
        let platform = self.platform();
        for group in 0..self.topology.groups {
            let object = self.group_object(group);
            let name = object.name.as_str();
            platform.put(KIND_GROUP, name, Version::new(0), "lab", &object)?;
        }
        let rules = RulesObject {
            text: RULES.into(),
            by: "lab".into(),
            reason: "".into(),
            at_unix_ms: 0,
            previous: Vec::new(),
        };
        platform.put(KIND_RULES, NAME_CURRENT, Version::new(0), "lab", &rules)?;
        self.set_vms(&self.all_vms())
    }

    fn group_object(&self, group: usize) -> GroupObject {
        let member = |member| Member {
            id: self.topology.member_id(group, member),
            zone: self.topology.member_zone(group, member).clone(),
            sql_addr: self.topology.member_sql_addr(group, member),
            control_addr: self.topology.member_control_addr(group, member),
            leaving: false,
        };
        GroupObject {
            name: self.topology.group_name(group),
            term: Term::new(1),
            primary: self.topology.member_id(group, 0),
            members: (0..self.topology.members_per_group).map(member).collect(),
            connections_per_server: self.topology.connections_per_server,
            slots_per_server: self.topology.slots_per_server,
            grants: Vec::new(),
            granted_up_to: Term::new(1),
        }
    }

    /// Returns the list of all VMs, none of which is leaving.
    pub fn all_vms(&self) -> Vec<Vm> {
        let vm = |proxy| Vm {
            name: self.topology.proxy_name(proxy),
            region: RegionName::from(&*self.topology.region),
            zone: self.topology.proxy_zone(proxy).clone(),
            peer_addr: self.topology.proxy_peer_addr(proxy),
            sql_addr: self.topology.proxy_sql_addr(proxy),
            leaving: false,
        };
        (0..self.topology.proxies).map(vm).collect()
    }

    /// Replaces the platform's list of VMs.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform's process doesn't answer.
    pub fn set_vms(&self, vms: &[Vm]) -> anyhow::Result<()> {
        let path = platform::PATH_VMS_SET;
        self.http
            .call::<_, ()>(self.platform_addr, path, &vms, CONTROL_TIMEOUT)?;
        Ok(())
    }

    fn wait_ready(&self) -> anyhow::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for proxy in 0..self.topology.proxies {
            for group in &self.endpoints.groups {
                while let Err(error) = crate::load::probe(self.endpoints.proxy(proxy), group) {
                    if Instant::now() >= deadline {
                        return Err(error).with_context(|| {
                            format!(
                                "group {group} doesn't answer through proxy {proxy}; read the logs in {}",
                                self.folder.display()
                            )
                        });
                    }
                    thread::sleep(READY_POLL_INTERVAL);
                }
            }
        }
        Ok(())
    }

    /// Updates the address at which callers reach a restarted proxy.
    fn set_endpoint(&self, proxy: usize, addr: SocketAddr) {
        let mut proxies = self
            .endpoints
            .proxies
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        proxies[proxy] = addr;
    }
}
