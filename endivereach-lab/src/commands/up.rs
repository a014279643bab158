//! `endivereach-lab up`: runs a deployment for manual tests.

use crate::cluster::Cluster;
use crate::topology::Topology;
use anyhow::Context;
use argh::FromArgs;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;
use std::path::PathBuf;

/// Start a platform, database groups and proxies, and keep them until Ctrl-C.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "up")]
pub struct UpCommand {
    /// the number of database groups
    #[argh(option, default = "2")]
    groups: usize,
    /// the number of proxies
    #[argh(option, default = "3")]
    proxies: usize,
    /// the seed of the random jitter and loss of the links
    #[argh(option, default = "1")]
    seed: u64,
    /// where logs and data go; by default a new temporary folder, which is removed at the end
    #[argh(option)]
    folder: Option<PathBuf>,
}

impl UpCommand {
    /// Runs the deployment until the process receives SIGINT or SIGTERM.
    ///
    /// # Errors
    ///
    /// Returns an error that names the process that wasn't ready in time.
    pub fn run(self) -> anyhow::Result<()> {
        let folder_name = format!("endivereach-up-{}", std::process::id());
        let folder = self
            .folder
            .clone()
            .unwrap_or_else(|| std::env::temp_dir().join(folder_name));
        let mut signals = Signals::new([SIGINT, SIGTERM])?;
        let topology = Topology::three_zones(self.groups, self.proxies);
        let cluster = Cluster::spawn(topology, &folder, self.seed).with_context(|| {
            format!(
                "the deployment didn't start; its logs are in {}",
                folder.display()
            )
        })?;
        print_addresses(&cluster);
        signals.forever().next();
        drop(cluster);
        if self.folder.is_none() {
            std::fs::remove_dir_all(&folder)?;
        }
        Ok(())
    }
}

fn print_addresses(cluster: &Cluster) {
    let topology = cluster.topology();
    println!("platform     {}", cluster.platform_addr());
    for (proxy, process) in cluster.proxies().iter().enumerate() {
        println!(
            "proxy        {} in {}: callers {}, peers {}",
            topology.proxy_name(proxy),
            topology.proxy_zone(proxy),
            process.sql_addr(),
            process.peer_addr()
        );
    }
    for group in 0..topology.groups {
        for member in 0..topology.members_per_group {
            let process = cluster.member(group, member);
            println!(
                "server       {} in {}: database {}, control calls {}",
                topology.member_id(group, member),
                topology.member_zone(group, member),
                process.sql_addr(),
                process.control_addr()
            );
        }
    }
    if let Some(proxy) = cluster.proxies().first() {
        let addr = proxy.sql_addr();
        let group = topology.group_name(0);
        println!();
        println!(
            "psql 'host={} port={} user=lab dbname={group}'",
            addr.ip(),
            addr.port()
        );
    }
    println!("logs and data are in {}", cluster.folder().display());
    println!("press Ctrl-C to end everything");
}
