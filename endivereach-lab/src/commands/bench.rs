//! `endivereach-lab bench`: measures the overhead of one proxy.

use crate::bench;
use argh::FromArgs;
use std::path::PathBuf;
use std::time::Duration;

/// Measure the overhead of one proxy: the same reads directly and through the proxy, in one run.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "bench")]
pub struct BenchCommand {
    /// how long each part runs in each of three rounds, in seconds
    #[argh(option, default = "2")]
    part_s: u64,
    /// callers of the throughput part
    #[argh(option, default = "4")]
    callers: usize,
    /// idle callers of the memory measurement
    #[argh(option, default = "6100")]
    idle: usize,
    /// where the processes write their logs
    #[argh(option, default = "std::env::temp_dir().join(\"endivereach-bench\")")]
    folder: PathBuf,
}

impl BenchCommand {
    /// Runs the benchmark and prints its figures as one JSON object.
    ///
    /// # Errors
    ///
    /// Returns an error when a process isn't ready or a statement fails.
    pub fn run(self) -> anyhow::Result<()> {
        let config = bench::BenchConfig {
            part_duration: Duration::from_secs(self.part_s),
            callers: self.callers,
            idle_caller_count: self.idle,
        };
        let figures = bench::run(&config, &self.folder)?;
        println!("{}", serde_json::to_string_pretty(&figures)?);
        Ok(())
    }
}
