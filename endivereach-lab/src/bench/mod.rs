//! The benchmark of one proxy: runs the same load directly against a server and through the proxy.

mod deployment;
mod load;
mod resources;

use crate::bench::deployment::Deployment;
use crate::bench::load::LatencyUs;
use crate::bench::load::LoadMeasurements;
use crate::bench::resources::Usage;
use crate::sql::Login;
use crate::sql::SqlClient;
use anyhow::Context;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// The name of the group that the benchmark reads and writes.
pub(crate) const GROUP: &str = "bench";

/// How many times the direct and the proxied load alternate.
const ROUNDS: u32 = 3;

/// The timeout of the benchmark's connections and requests.
const TIMEOUT: Duration = Duration::from_secs(30);

/// The number of rows that the point reads read in turn.
pub(crate) const ROWS: u64 = 64;

/// The size and the duration of the load.
#[derive(Clone, Debug)]
pub struct BenchConfig {
    /// The duration of each part of the load in each round.
    pub part_duration: Duration,
    /// The number of callers in the throughput parts.
    pub callers: usize,
    /// The number of idle callers in the memory measurement.
    pub idle_caller_count: usize,
}

/// The measurements of a benchmark.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Figures {
    /// The latency of point reads of one caller, directly against a server.
    pub direct_read_us: LatencyUs,
    /// The latency of point reads of one caller, through the proxy.
    pub proxied_read_us: LatencyUs,
    /// The latency that the proxy adds at the median.
    pub added_p50_us: f64,
    /// The latency that the proxy adds at the 99th percentile.
    pub added_p99_us: f64,
    /// The point reads per second of all callers, directly against a server.
    pub direct_reads_per_s: f64,
    /// The point reads per second of all callers, through the proxy.
    pub proxied_reads_per_s: f64,
    /// The point reads per second of CPU time of the proxy.
    pub proxied_reads_per_core_s: f64,
    /// The number of the proxy's threads while every caller was busy.
    pub busy_threads: u64,
    /// The number of idle callers that were connected.
    pub idle_callers: usize,
    /// The resident memory that each idle caller adds to the proxy, in bytes.
    pub resident_bytes_per_idle_caller: f64,
    /// The latency of point reads of one caller through the proxy, while the idle callers were
    /// connected.
    pub proxied_read_beside_idle_us: LatencyUs,
}

/// Starts a proxy and two servers, and measures the proxy.
///
/// # Errors
///
/// Returns an error when a process isn't ready or a statement fails.
pub fn run(config: &BenchConfig, folder: &Path) -> anyhow::Result<Figures> {
    let deployment = Deployment::spawn(folder)?;
    deployment.insert_rows()?;
    let (direct, proxied) = (deployment.replica_addr(), deployment.proxy_addr());
    let mut single_direct = LoadMeasurements::default();
    let mut single_proxied = LoadMeasurements::default();
    let mut many_direct = LoadMeasurements::default();
    let mut many_proxied = LoadMeasurements::default();
    let mut usage = Usage::default();
    let mut busy_threads = 0;
    for _ in 0..ROUNDS {
        single_direct.run(direct, 1, config.part_duration)?;
        single_proxied.run(proxied, 1, config.part_duration)?;
        many_direct.run(direct, config.callers, config.part_duration)?;
        let before = Usage::of(deployment.proxy_pid())?;
        many_proxied.run(proxied, config.callers, config.part_duration)?;
        let after = Usage::of(deployment.proxy_pid())?;
        usage.cpu_time += after.cpu_time - before.cpu_time;
        busy_threads = busy_threads.max(after.threads);
    }
    let before = Usage::of(deployment.proxy_pid())?;
    let idle = connect_idle(proxied, config.idle_caller_count)?;
    // The proxy parks every idle caller well before this time has passed.
    std::thread::sleep(Duration::from_secs(1));
    let after = Usage::of(deployment.proxy_pid())?;
    let mut beside_idle = LoadMeasurements::default();
    beside_idle.run(proxied, 1, config.part_duration)?;
    drop(idle);
    let (direct_read_us, proxied_read_us) = (single_direct.latency(), single_proxied.latency());
    let added_bytes = after.resident_bytes.saturating_sub(before.resident_bytes);
    Ok(Figures {
        added_p50_us: proxied_read_us.p50 - direct_read_us.p50,
        added_p99_us: proxied_read_us.p99 - direct_read_us.p99,
        direct_read_us,
        proxied_read_us,
        direct_reads_per_s: many_direct.per_second(),
        proxied_reads_per_s: many_proxied.per_second(),
        proxied_reads_per_core_s: many_proxied.count() as f64 / usage.cpu_time.as_secs_f64(),
        busy_threads,
        idle_callers: config.idle_caller_count,
        resident_bytes_per_idle_caller: added_bytes as f64 / config.idle_caller_count.max(1) as f64,
        proxied_read_beside_idle_us: beside_idle.latency(),
    })
}

/// Connects callers that each run one statement and then stay idle.
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

/// Returns the measured statement, for the row with the given number modulo [`ROWS`].
pub(crate) fn point_read(number: u64) -> String {
    format!(
        "SELECT value FROM registers WHERE key = 'k{}'",
        number % ROWS
    )
}
