//! The common part of every experiment: starts a deployment and its load, records when the first
//! fault began, and summarizes the run.

use crate::checks::RunHistory;
use crate::cluster::Cluster;
use crate::history::Timestamp;
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
pub const WARM_UP_DURATION: Duration = Duration::from_secs(2);

/// How long load runs after the last fault.
pub const COOL_DOWN_DURATION: Duration = Duration::from_secs(4);

/// The maximum write gap of a failover, in milliseconds.
pub const FAILOVER_GAP_MAX_MS: u64 = 6_000;

/// The configuration of one run of an experiment.
#[derive(Clone, Debug)]
pub struct RunConfig {
    /// The experiment's name.
    pub name: &'static str,
    /// The seed of all random choices.
    pub seed: u64,
    /// The folder for logs and data.
    pub folder: PathBuf,
}

/// A running experiment.
#[derive(Debug)]
pub struct Run {
    /// The deployment under test.
    pub cluster: Cluster,
    /// The source of the experiment's random choices.
    pub rng: SmallRng,
    name: &'static str,
    seed: u64,
    load: Load,
    fault_at: Option<Timestamp>,
    majority_lost: bool,
}

impl Run {
    /// Starts a deployment, fills its tables, starts the load, and waits until it has warmed up.
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
            load::fill_tables(cluster.endpoints().proxy(0), name, &callers)?;
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
        thread::sleep(WARM_UP_DURATION);
        Ok(run)
    }

    /// Records that a fault begins now. Write gaps are measured from the first fault on.
    pub fn mark_fault_start(&mut self) {
        let now = self.load.journal().timestamp();
        self.fault_at.get_or_insert(now);
    }

    /// Records that the experiment disabled a majority of a group. No write can be confirmed until
    /// the majority is back, so the limit on write gaps doesn't apply.
    pub fn mark_majority_lost(&mut self) {
        self.majority_lost = true;
    }

    /// Waits while the load keeps running.
    pub fn run_load_for(&self, duration: Duration) {
        thread::sleep(duration);
    }

    /// Returns the current time on the history's clock.
    pub fn now(&self) -> Timestamp {
        self.load.journal().timestamp()
    }

    /// Returns the requests recorded so far.
    pub fn records(&self) -> Vec<crate::history::Record> {
        self.load.journal().records()
    }

    /// Waits while the load keeps running, stops it, and returns the run's summary.
    ///
    /// # Errors
    ///
    /// Returns an error when a group's final state can't be read.
    pub fn finish(self) -> anyhow::Result<Summary> {
        self.finish_with(|_, _| Ok(()))
    }

    /// Like [`Run::finish`], but calls `inspect` with the deployment and the summary before the
    /// deployment ends.
    ///
    /// # Errors
    ///
    /// Returns an error when a group's final state can't be read.
    pub fn finish_with(
        self,
        inspect: impl FnOnce(&mut Cluster, &mut Summary) -> anyhow::Result<()>,
    ) -> anyhow::Result<Summary> {
        thread::sleep(COOL_DOWN_DURATION);
        let mut cluster = self.cluster;
        let records = self.load.stop();
        let groups = 0..cluster.topology().groups;
        let finals = groups
            .map(|group| cluster.final_state(group))
            .collect::<anyhow::Result<_>>()?;
        let run_history = RunHistory { records, finals };
        let history = cluster.folder().join("history.json");
        std::fs::write(history, serde_json::to_string(&run_history)?)?;
        let gaps_start = self.fault_at.unwrap_or_default();
        let mut summary = Summary::of(self.name, self.seed, &run_history, gaps_start);
        let gap_ms = summary.failover_gap_ms;
        summary.expect(
            self.majority_lost || gap_ms <= FAILOVER_GAP_MAX_MS,
            format!("the longest write gap was {gap_ms} ms; the limit is {FAILOVER_GAP_MAX_MS} ms"),
        );
        summary.expect(summary.done > 0, "no request succeeded");
        record_connections(&cluster, &mut summary);
        record_read_share(&cluster, &mut summary);
        inspect(&mut cluster, &mut summary)?;
        Ok(summary)
    }
}

/// Adds the highest connection count of any server and the number of refused connections to the
/// summary.
fn record_connections(cluster: &Cluster, summary: &mut Summary) {
    let counters = cluster.all_counters();
    let max_open = counters.iter().map(|c| c.connections.open_max).max();
    let refused: u64 = counters.iter().map(|c| c.connections.refused).sum();
    summary.figure("most_connections", f64::from(max_open.unwrap_or(0)));
    summary.figure("refused_connections", refused as f64);
}

/// Computes the share of reads that replicas served, from the servers' counters.
fn record_read_share(cluster: &Cluster, summary: &mut Summary) {
    let counters = cluster.all_counters();
    let on_replicas: u64 = counters.iter().map(|c| c.reads_as_replica).sum();
    let on_primaries: u64 = counters.iter().map(|c| c.reads_as_primary).sum();
    let total = on_replicas + on_primaries;
    if total > 0 {
        summary.replica_read_share = Some(on_replicas as f64 / total as f64);
    }
}
