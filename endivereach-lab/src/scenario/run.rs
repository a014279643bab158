//! The frame of an experiment: deployment, load, the moment of the fault, and the sum.

use crate::checks::Evidence;
use crate::cluster::Cluster;
use crate::history::At;
use crate::load;
use crate::load::Load;
use crate::load::LoadConfig;
use crate::summary::Summary;
use crate::topology::Topology;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

/// How long load runs before the first fault.
pub const WARM_UP: Duration = Duration::from_secs(2);

/// How long load runs after the last fault.
pub const COOL_DOWN: Duration = Duration::from_secs(4);

/// The stated bound of every change of primary.
pub const FAILOVER_GAP_MAX_MS: u64 = 6_000;

/// Which experiment is run, and where.
#[derive(Clone, Debug)]
pub struct RunConfig {
    /// The experiment's name.
    pub name: &'static str,
    /// The seed of all its choices.
    pub seed: u64,
    /// Where logs and data go.
    pub folder: PathBuf,
}

/// An experiment under way.
#[derive(Debug)]
pub struct Run {
    /// The deployment.
    pub cluster: Cluster,
    /// The random choices of the experiment.
    pub rng: SmallRng,
    name: &'static str,
    seed: u64,
    load: Load,
    fault_at: Option<At>,
    majority_lost: bool,
}

impl Run {
    /// Starts a deployment, fills its tables, starts the load and lets it warm up.
    ///
    /// # Errors
    ///
    /// Returns an error when a process isn't ready in time.
    pub fn start(config: &RunConfig, topology: Topology, load: LoadConfig) -> anyhow::Result<Self> {
        let load = LoadConfig {
            seed: config.seed,
            ..load
        };
        let cluster = Cluster::spawn(topology, &config.folder, config.seed)?;
        for (group, name) in cluster.endpoints().groups.iter().enumerate() {
            let first = group * load.callers_per_group + 1;
            let callers: Vec<u32> = (first..first + load.callers_per_group)
                .map(|caller| caller as u32)
                .collect();
            load::prepare(cluster.endpoints().proxy(0), name, &callers)?;
        }
        let run = Self {
            load: Load::spawn(&load, cluster.endpoints())?,
            cluster,
            rng: SmallRng::seed_from_u64(config.seed),
            name: config.name,
            seed: config.seed,
            fault_at: None,
            majority_lost: false,
        };
        thread::sleep(WARM_UP);
        Ok(run)
    }

    /// Notes that a fault begins now; gaps are looked for from the first one on.
    pub fn fault_begins(&mut self) {
        let now = self.load.journal().at();
        self.fault_at.get_or_insert(now);
    }

    /// Notes that the experiment took a majority of a group away: no confirmation is possible until
    /// it is back, so the bound on gaps doesn't apply.
    pub fn majority_is_lost(&mut self) {
        self.majority_lost = true;
    }

    /// Lets the load run on.
    pub fn go_on(&self, time: Duration) {
        thread::sleep(time);
    }

    /// Returns the present moment on the history's clock.
    pub fn now(&self) -> At {
        self.load.journal().at()
    }

    /// Returns the records so far.
    pub fn records(&self) -> Vec<crate::history::Record> {
        self.load.journal().records()
    }

    /// Lets the load cool down, ends it, and sums the run up.
    ///
    /// # Errors
    ///
    /// Returns an error when a group's final state can't be read.
    pub fn finish(self) -> anyhow::Result<Summary> {
        self.finish_with(|_, _| Ok(()))
    }

    /// As [`Run::finish`], with a look at the deployment before it ends.
    ///
    /// # Errors
    ///
    /// Returns an error when a group's final state can't be read.
    pub fn finish_with(
        self,
        look: impl FnOnce(&mut Cluster, &mut Summary) -> anyhow::Result<()>,
    ) -> anyhow::Result<Summary> {
        thread::sleep(COOL_DOWN);
        let mut cluster = self.cluster;
        let records = self.load.stop();
        let groups = 0..cluster.topology().groups;
        let finals = groups
            .map(|group| cluster.final_state(group))
            .collect::<anyhow::Result<_>>()?;
        let evidence = Evidence { records, finals };
        let history = cluster.folder().join("history.json");
        std::fs::write(history, serde_json::to_string(&evidence)?)?;
        let from = self.fault_at.unwrap_or_default();
        let mut summary = Summary::of(self.name, self.seed, &evidence, from);
        let gap_ms = summary.failover_gap_ms;
        summary.expect(
            self.majority_lost || gap_ms <= FAILOVER_GAP_MAX_MS,
            format!("a gap of {gap_ms} ms; the bound is {FAILOVER_GAP_MAX_MS} ms"),
        );
        summary.expect(summary.done > 0, "no request was done");
        note_connections(&cluster, &mut summary);
        note_read_share(&cluster, &mut summary);
        look(&mut cluster, &mut summary)?;
        Ok(summary)
    }
}

/// Compares the most connections that each server ever had open with its limit.
fn note_connections(cluster: &Cluster, summary: &mut Summary) {
    let counters = cluster.all_counters();
    let most = counters.iter().map(|c| c.connections.open_max).max();
    let refused: u64 = counters.iter().map(|c| c.connections.refused).sum();
    summary.figure("most_connections", f64::from(most.unwrap_or(0)));
    summary.figure("refused_connections", refused as f64);
}

/// Works out the share of reads that replicas served, as counted by the servers.
fn note_read_share(cluster: &Cluster, summary: &mut Summary) {
    let counters = cluster.all_counters();
    let on_replicas: u64 = counters.iter().map(|c| c.reads_as_replica).sum();
    let on_primaries: u64 = counters.iter().map(|c| c.reads_as_primary).sum();
    let all = on_replicas + on_primaries;
    if all > 0 {
        summary.replica_read_share = Some(on_replicas as f64 / all as f64);
    }
}
