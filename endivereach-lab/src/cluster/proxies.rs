//! The proxies of a deployment.

use super::CONTROL_TIMEOUT;
use super::Cluster;
use crate::process::Process;
use crate::process::workspace_program_path;
use anyhow::Context;
use endivereach_core::settings::CallerLogin;
use endivereach_core::settings::DrainSettings;
use endivereach_core::settings::FleetPeer;
use endivereach_core::settings::FleetSettings;
use endivereach_core::settings::LimitSettings;
use endivereach_core::settings::Listen;
use endivereach_core::settings::Network;
use endivereach_core::settings::PlatformSettings;
use endivereach_core::settings::Settings;
use endivereach_core::settings::TargetLogin;
use endivereach_wire::operator::PATH_FLEET_STATUS;
use endivereach_wire::operator::ProxyStatus;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// How long a stopping proxy keeps its listener open, in milliseconds, so that a load balancer can
/// detect the stop. The time is short, because the lab redirects callers at once.
const BALANCER_WAIT_MS: u64 = 500;

/// How long [`Cluster::wait_healthy`] waits for a proxy.
const HEALTHY_TIMEOUT: Duration = Duration::from_secs(15);

/// The interval between two health probes.
const HEALTH_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The line that a proxy prints to standard output when it is ready.
#[derive(Debug, serde::Deserialize)]
struct ProxyReadyLine {
    sql_addr: SocketAddr,
    peer_addr: SocketAddr,
}

/// A running proxy.
#[derive(Debug)]
pub struct ProxyProcess {
    process: Process,
    sql_addr: SocketAddr,
    peer_addr: SocketAddr,
}

impl ProxyProcess {
    /// Returns the process.
    pub fn process(&self) -> &Process {
        &self.process
    }

    /// Returns the process, mutably.
    pub fn process_mut(&mut self) -> &mut Process {
        &mut self.process
    }

    /// Returns the address at which the process itself accepts callers, which bypasses the links.
    pub fn sql_addr(&self) -> SocketAddr {
        self.sql_addr
    }

    /// Returns the address at which the process itself accepts peers, which bypasses the links.
    pub fn peer_addr(&self) -> SocketAddr {
        self.peer_addr
    }
}

impl Cluster {
    /// Returns all proxies, in the order of their numbers.
    pub fn proxies(&self) -> &[ProxyProcess] {
        &self.proxies
    }

    /// Returns a proxy, mutably.
    pub fn proxy_mut(&mut self, proxy: usize) -> &mut ProxyProcess {
        &mut self.proxies[proxy]
    }

    /// Kills a proxy if it still runs, and starts a new process in its place, as for a replaced VM.
    ///
    /// # Errors
    ///
    /// Returns an error when the new process can't be started or isn't ready.
    pub fn replace_proxy(&mut self, proxy: usize) -> anyhow::Result<()> {
        self.proxies[proxy].process.kill();
        self.proxies[proxy] = self.start_proxy(proxy)?;
        Ok(())
    }

    /// Waits until a proxy has connections to every group, but at most for 15 s. The
    /// proxy's own health check, by which a load balancer decides whether to send callers, succeeds
    /// under the same conditions.
    pub fn wait_healthy(&self, proxy: usize) {
        let deadline = Instant::now() + HEALTHY_TIMEOUT;
        let is_healthy = || {
            let status = self.proxy_status(proxy);
            status.is_ok_and(|status| {
                !status.groups.is_empty() && status.groups.iter().all(|group| group.share > 0)
            })
        };
        while !is_healthy() && Instant::now() < deadline {
            thread::sleep(HEALTH_POLL_INTERVAL);
        }
    }

    /// Ends a redirect of a proxy's callers to another proxy.
    pub fn end_redirect(&self, proxy: usize) {
        let process = &self.proxies[proxy];
        self.links
            .set_proxy(proxy, process.sql_addr, process.peer_addr);
    }

    /// Reads the status of a proxy, bypassing the links.
    ///
    /// # Errors
    ///
    /// Returns an error when the proxy doesn't answer.
    pub fn proxy_status(&self, proxy: usize) -> anyhow::Result<ProxyStatus> {
        let addr = self.proxies[proxy].peer_addr;
        let answer = self
            .http
            .call(addr, PATH_FLEET_STATUS, &(), CONTROL_TIMEOUT)?;
        Ok(answer)
    }

    pub(super) fn start_proxy(&mut self, proxy: usize) -> anyhow::Result<ProxyProcess> {
        let name = self.topology.proxy_name(proxy);
        let path = self.folder.join(format!("{name}.toml"));
        let settings = toml::to_string(&self.settings(proxy)?)?;
        std::fs::write(&path, settings)
            .with_context(|| format!("can't write {}", path.display()))?;
        let daemon = workspace_program_path("endivereachd")?;
        let args = ["--settings".to_owned(), path.display().to_string()];
        let (process, ready): (_, ProxyReadyLine) =
            Process::spawn(name.as_str(), &daemon, &args, &self.folder)?;
        self.links.set_proxy(proxy, ready.sql_addr, ready.peer_addr);
        self.set_endpoint(proxy, self.links.caller_addrs()[proxy]);
        Ok(ProxyProcess {
            process,
            sql_addr: ready.sql_addr,
            peer_addr: ready.peer_addr,
        })
    }

    fn settings(&self, proxy: usize) -> anyhow::Result<Settings> {
        let any_port: SocketAddr = "127.0.0.1:0".parse()?;
        Ok(Settings {
            name: self.topology.proxy_name(proxy),
            region: self.topology.region.parse()?,
            zone: self.topology.proxy_zone(proxy).clone(),
            listen: Listen {
                sql_addr: any_port,
                peer_addr: any_port,
            },
            platform: PlatformSettings {
                addr: self.links.platform_addr(proxy),
            },
            network: Network {
                via: self.links.proxy_address_translations(proxy),
            },
            target: TargetLogin {
                user: "endivereach".into(),
                password: "lab".into(),
            },
            callers: Vec::<CallerLogin>::new(),
            drain: DrainSettings {
                balancer_wait_ms: BALANCER_WAIT_MS,
                ..DrainSettings::default()
            },
            limits: LimitSettings::default(),
            fleet: FleetSettings {
                peers: (0..self.topology.proxies)
                    .filter(|&other| other != proxy)
                    .map(|other| FleetPeer {
                        peer_addr: self.topology.proxy_peer_addr(other),
                    })
                    .collect(),
                ..FleetSettings::default()
            },
        })
    }
}
