//! The benchmark of one proxy: the same load direct and through the proxy, in one run.

mod deployment;
mod load;
mod resources;

use crate::bench::deployment::Deployment;
use crate::bench::load::Latency;
use crate::bench::load::Load;
use crate::bench::resources::Usage;
use crate::sql::Login;
use crate::sql::SqlClient;
use anyhow::Context;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// The group that the benchmark reads and writes.
pub(crate) const GROUP: &str = "bench";

/// How often the direct and the proxied load take turns.
const ROUNDS: u32 = 3;

/// How long the benchmark's connections wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(30);

/// How many rows the point reads choose from.
pub(crate) const ROWS: u64 = 64;

/// What is measured, and for how long.
#[derive(Clone, Debug)]
pub struct Config {
    /// How long each part of the load runs in each round.
    pub part: Duration,
    /// Callers of the throughput part.
    pub callers: usize,
    /// Idle callers.
    pub idle: usize,
}

/// What was measured.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Figures {
    /// Point reads by one caller, straight to a server.
    pub direct_read_us: Latency,
    /// Point reads by one caller, through the proxy.
    pub proxied_read_us: Latency,
    /// What the proxy adds at the median.
    pub added_p50_us: f64,
    /// What the proxy adds at the 99th percentile.
    pub added_p99_us: f64,
    /// Point reads a second by every caller, straight to a server.
    pub direct_reads_per_s: f64,
    /// Point reads a second by every caller, through the proxy.
    pub proxied_reads_per_s: f64,
    /// Point reads for each second of processor time that the proxy used.
    pub proxied_reads_per_core_s: f64,
    /// Threads of the proxy while every caller was busy.
    pub busy_threads: u64,
    /// Idle callers that were connected.
    pub idle_callers: usize,
    /// Resident memory that each idle caller added, in bytes.
    pub resident_bytes_per_idle_caller: f64,
    /// Point reads by one caller through the proxy, while the others were idle.
    pub proxied_read_beside_idle_us: Latency,
}

/// Starts a proxy and two servers, and measures.
///
/// # Errors
///
/// Returns an error when a process isn't ready or a statement fails.
pub fn run(config: &Config, folder: &Path) -> anyhow::Result<Figures> {
    let deployment = Deployment::spawn(folder)?;
    deployment.fill()?;
    let (direct, proxied) = (deployment.replica_addr(), deployment.proxy_addr());
    let mut single_direct = Load::default();
    let mut single_proxied = Load::default();
    let mut many_direct = Load::default();
    let mut many_proxied = Load::default();
    let mut usage = Usage::default();
    let mut busy_threads = 0;
    for _ in 0..ROUNDS {
        single_direct.run(direct, 1, config.part)?;
        single_proxied.run(proxied, 1, config.part)?;
        many_direct.run(direct, config.callers, config.part)?;
        let before = Usage::of(deployment.proxy_pid())?;
        many_proxied.run(proxied, config.callers, config.part)?;
        let after = Usage::of(deployment.proxy_pid())?;
        usage.processor += after.processor - before.processor;
        busy_threads = busy_threads.max(after.threads);
    }
    let before = Usage::of(deployment.proxy_pid())?;
    let idle = connect_idle(proxied, config.idle)?;
    // Every caller is parked well before this has passed.
    std::thread::sleep(Duration::from_secs(1));
    let after = Usage::of(deployment.proxy_pid())?;
    let mut beside_idle = Load::default();
    beside_idle.run(proxied, 1, config.part)?;
    drop(idle);
    let (direct_read_us, proxied_read_us) = (single_direct.latency(), single_proxied.latency());
    let grown_bytes = after.resident_bytes.saturating_sub(before.resident_bytes);
    Ok(Figures {
        added_p50_us: proxied_read_us.p50 - direct_read_us.p50,
        added_p99_us: proxied_read_us.p99 - direct_read_us.p99,
        direct_read_us,
        proxied_read_us,
        direct_reads_per_s: many_direct.per_second(),
        proxied_reads_per_s: many_proxied.per_second(),
        proxied_reads_per_core_s: many_proxied.count() as f64 / usage.processor.as_secs_f64(),
        busy_threads,
        idle_callers: config.idle,
        resident_bytes_per_idle_caller: grown_bytes as f64 / config.idle.max(1) as f64,
        proxied_read_beside_idle_us: beside_idle.latency(),
    })
}

/// Connects callers that each run one statement and then wait.
fn connect_idle(addr: SocketAddr, count: usize) -> anyhow::Result<Vec<SqlClient>> {
    (0..count)
        .map(|number| {
            let mut client = connect(addr)?;
            client.query(&point_read(number as u64))?;
            Ok(client)
        })
        .collect()
}

pub(crate) fn connect(addr: SocketAddr) -> anyhow::Result<SqlClient> {
    let login = Login {
        user: "bench".into(),
        database: GROUP.into(),
        parameters: Vec::new(),
    };
    SqlClient::connect(addr, &login, TIMEOUT).with_context(|| format!("connecting to {addr}"))
}

/// Returns the statement that is measured.
pub(crate) fn point_read(number: u64) -> String {
    format!(
        "SELECT value FROM registers WHERE key = 'k{}'",
        number % ROWS
    )
}
