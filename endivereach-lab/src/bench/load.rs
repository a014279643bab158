//! Closed-loop point reads and their latency.

use super::connect;
use super::point_read;
use hdrhistogram::Histogram;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// The number of reads of each caller that run first and aren't measured.
const WARM_UP_READS: u64 = 200;

/// The number of significant digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Latency percentiles in microseconds.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct LatencyUs {
    /// The median.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
}

/// The measurements of all runs of one load so far.
#[derive(Debug)]
pub(crate) struct LoadMeasurements {
    latency_ns: Histogram<u64>,
    total_duration: Duration,
}

impl Default for LoadMeasurements {
    fn default() -> Self {
        Self {
            latency_ns: Histogram::new(SIGNIFICANT_DIGITS)
                .expect("the number of digits is allowed"),
            total_duration: Duration::ZERO,
        }
    }
}

impl LoadMeasurements {
    /// Runs `callers` closed loops for `duration`, and adds their measurements.
    pub(crate) fn run(
        &mut self,
        addr: SocketAddr,
        callers: usize,
        duration: Duration,
    ) -> anyhow::Result<()> {
        let handles: Vec<_> = (0..callers)
            .map(|caller| thread::spawn(move || read_for(addr, caller as u64, duration)))
            .collect();
        for handle in handles {
            let caller_latency_ns = handle
                .join()
                .map_err(|_| anyhow::anyhow!("a caller panicked"))??;
            self.latency_ns.add(&caller_latency_ns)?;
        }
        self.total_duration += duration;
        Ok(())
    }

    pub(crate) fn count(&self) -> u64 {
        self.latency_ns.len()
    }

    pub(crate) fn per_second(&self) -> f64 {
        self.count() as f64 / self.total_duration.as_secs_f64()
    }

    pub(crate) fn latency(&self) -> LatencyUs {
        let microseconds = |quantile| self.latency_ns.value_at_quantile(quantile) as f64 / 1000.0;
        LatencyUs {
            p50: microseconds(0.5),
            p99: microseconds(0.99),
        }
    }
}

fn read_for(addr: SocketAddr, caller: u64, duration: Duration) -> anyhow::Result<Histogram<u64>> {
    let mut client = connect(addr)?;
    for number in 0..WARM_UP_READS {
        client.query(&point_read(caller + number))?;
    }
    let mut latencies_ns = Histogram::new(SIGNIFICANT_DIGITS)?;
    let deadline = Instant::now() + duration;
    let mut sent = Instant::now();
    let mut number = caller;
    while sent < deadline {
        client.query(&point_read(number))?;
        let answered = Instant::now();
        latencies_ns.record((answered - sent).as_nanos() as u64)?;
        sent = answered;
        number += 1;
    }
    Ok(latencies_ns)
}
