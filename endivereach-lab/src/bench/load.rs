//! Closed-loop point reads, and their latency.

use super::connect;
use super::point_read;
use hdrhistogram::Histogram;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Reads before each part that are not counted.
const WARM_UP_READS: u64 = 200;

/// Digits that the histograms keep.
const DIGITS: u8 = 3;

/// Percentiles in microseconds.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct Latency {
    /// The median.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
}

/// What the runs of one load showed so far.
#[derive(Debug)]
pub(crate) struct Load {
    latency_ns: Histogram<u64>,
    ran: Duration,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            latency_ns: Histogram::new(DIGITS).expect("the number of digits is allowed"),
            ran: Duration::ZERO,
        }
    }
}

impl Load {
    /// Runs `callers` closed loops for `part`, and adds what they show.
    pub(crate) fn run(
        &mut self,
        addr: SocketAddr,
        callers: usize,
        part: Duration,
    ) -> anyhow::Result<()> {
        let loops: Vec<_> = (0..callers)
            .map(|caller| thread::spawn(move || read_for(addr, caller as u64, part)))
            .collect();
        for each in loops {
            let seen = each
                .join()
                .map_err(|_| anyhow::anyhow!("a caller panicked"))??;
            self.latency_ns.add(&seen)?;
        }
        self.ran += part;
        Ok(())
    }

    pub(crate) fn count(&self) -> u64 {
        self.latency_ns.len()
    }

    pub(crate) fn per_second(&self) -> f64 {
        self.count() as f64 / self.ran.as_secs_f64()
    }

    pub(crate) fn latency(&self) -> Latency {
        let microseconds = |quantile| self.latency_ns.value_at_quantile(quantile) as f64 / 1000.0;
        Latency {
            p50: microseconds(0.5),
            p99: microseconds(0.99),
        }
    }
}

fn read_for(addr: SocketAddr, caller: u64, part: Duration) -> anyhow::Result<Histogram<u64>> {
    let mut client = connect(addr)?;
    for number in 0..WARM_UP_READS {
        client.query(&point_read(caller + number))?;
    }
    let mut seen = Histogram::new(DIGITS)?;
    let end = Instant::now() + part;
    let mut sent = Instant::now();
    let mut number = caller;
    while sent < end {
        client.query(&point_read(number))?;
        let answered = Instant::now();
        seen.record((answered - sent).as_nanos() as u64)?;
        sent = answered;
        number += 1;
    }
    Ok(seen)
}
