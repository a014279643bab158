//! The summary of a run as one JSON object: rates, latencies, write gaps and violations.

use crate::checks::RunHistory;
use crate::checks::Violation;
use crate::history::Op;
use crate::history::Outcome;
use crate::history::Record;
use crate::history::Timestamp;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::Duration;

/// The maximum number of violations that a summary quotes in full.
const QUOTED_VIOLATIONS_MAX: usize = 20;

/// The interval of the throughput series.
const SERIES_INTERVAL: Duration = Duration::from_millis(250);

endivereach_core::data! {
    /// Latency at two percentiles, serialized in milliseconds.
    #[derive(Copy, Default, PartialOrd)]
    #[serde(from = "LatencyNumbers", into = "LatencyNumbers")]
    pub struct Latency {
        /// The median, in microseconds.
        pub p50_us: u64,
        /// The 99th percentile, in microseconds.
        pub p99_us: u64,
    }

    /// The longest write gap of a group: the time between two consecutive acknowledged writes.
    pub struct Gap {
        /// The group's number.
        pub group: usize,
        /// When the gap began: the time of the last acknowledgement before it.
        pub from: Timestamp,
        /// The length of the gap, in milliseconds.
        pub gap_ms: u64,
    }
}

/// The JSON representation of [`Latency`], in fractional milliseconds.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
struct LatencyNumbers {
    p50: f64,
    p99: f64,
}

impl From<LatencyNumbers> for Latency {
    fn from(numbers: LatencyNumbers) -> Self {
        let us = |ms: f64| (ms * 1000.0) as u64;
        Self {
            p50_us: us(numbers.p50),
            p99_us: us(numbers.p99),
        }
    }
}

impl From<Latency> for LatencyNumbers {
    fn from(latency: Latency) -> Self {
        Self {
            p50: latency.p50_us as f64 / 1000.0,
            p99: latency.p99_us as f64 / 1000.0,
        }
    }
}

/// The summary of a run, which `run` prints as its last line.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Summary {
    /// The scenario's name.
    pub scenario: Box<str>,
    /// The seed of the run.
    pub seed: u64,
    /// Whether no invariant was violated and every expectation of the scenario held.
    pub ok: bool,
    /// The number of violations per invariant.
    pub violations: BTreeMap<Box<str>, usize>,
    /// The messages of the scenario's expectations that did not hold.
    pub missed: Vec<Box<str>>,
    /// Acknowledged writes that are not in the final state.
    pub lost: usize,
    /// Writes that took effect more than once, or although they were answered as not run.
    pub doubled: usize,
    /// Reads that were older than allowed.
    pub stale: usize,
    /// Transactions that took effect in part, and answers that belonged to other requests.
    pub mixed: usize,
    /// Requests that were answered with an unknown outcome.
    pub unknown: usize,
    /// Requests whose connection broke before the answer was complete.
    pub broken: usize,
    /// Requests answered as not run.
    pub not_run: usize,
    /// Requests that failed with another error, by SQLSTATE.
    pub failed: BTreeMap<Box<str>, usize>,
    /// Requests that were acknowledged.
    pub done: usize,
    /// The share of reads that replicas served, from 0 to 1.
    pub replica_read_share: Option<f64>,
    /// The longest write gap of any group, in milliseconds.
    pub failover_gap_ms: u64,
    /// The longest write gap of each group.
    pub gaps: Vec<Gap>,
    /// The latency of acknowledged requests, in milliseconds.
    pub latency_ms: Latency,
    /// The latency of acknowledged writes, in milliseconds.
    pub write_latency_ms: Latency,
    /// Requests per second, including unanswered ones.
    pub statements_per_s: f64,
    /// The number of requests acknowledged in each quarter of a second.
    pub series: Vec<u32>,
    /// Additional figures of the scenario, by name.
    pub figures: BTreeMap<Box<str>, f64>,
    /// The first violations, quoted in full.
    pub quoted: Vec<Violation>,
}

impl Summary {
    /// Summarizes a run. Only write gaps that end at or after `gaps_start` count.
    pub fn of(scenario: &str, seed: u64, run_history: &RunHistory, gaps_start: Timestamp) -> Self {
        let found = crate::checks::all(run_history);
        let mut violations: BTreeMap<Box<str>, usize> = BTreeMap::new();
        for violation in &found {
            *violations.entry(violation.invariant.clone()).or_default() += 1;
        }
        let count = |names: &[&str]| names.iter().filter_map(|&name| violations.get(name)).sum();
        let records = &run_history.records;
        let outcomes =
            |wanted: fn(&Outcome) -> bool| records.iter().filter(|r| wanted(&r.outcome)).count();
        let gaps = write_gaps(run_history, gaps_start);
        Self {
            scenario: scenario.into(),
            seed,
            ok: found.is_empty(),
            lost: count(&["I2"]),
            doubled: count(&["I5", "I6"]),
            stale: count(&["I1", "I10", "stale"]),
            mixed: count(&["I3", "I4"]),
            unknown: outcomes(|outcome| *outcome == Outcome::Unknown),
            broken: outcomes(|outcome| *outcome == Outcome::Broken),
            not_run: outcomes(|outcome| *outcome == Outcome::NotRun),
            failed: failures_by_sqlstate(records),
            done: records.iter().filter(|record| record.is_done()).count(),
            replica_read_share: None,
            failover_gap_ms: gaps.iter().map(|gap| gap.gap_ms).max().unwrap_or(0),
            gaps,
            latency_ms: latency(records.iter().filter(|r| r.is_done())),
            write_latency_ms: latency(records.iter().filter(|r| r.is_done() && r.is_write())),
            statements_per_s: requests_per_second(records),
            series: series(records),
            figures: BTreeMap::new(),
            missed: Vec::new(),
            quoted: found.into_iter().take(QUOTED_VIOLATIONS_MAX).collect(),
            violations,
        }
    }

    /// Fails the run with the message `failure` unless the expectation of the scenario `holds`.
    pub fn expect(&mut self, holds: bool, failure: impl Into<Box<str>>) {
        if !holds {
            self.ok = false;
            self.missed.push(failure.into());
        }
    }

    /// Records a figure of the scenario.
    pub fn figure(&mut self, name: &str, value: f64) {
        self.figures.insert(name.into(), value);
    }

    /// Adds violations that the scenario found outside the history.
    pub fn add_violations(&mut self, invariant: &str, count: usize) {
        if count > 0 {
            self.ok = false;
            *self.violations.entry(invariant.into()).or_default() += count;
        }
    }
}

fn failures_by_sqlstate(records: &[Record]) -> BTreeMap<Box<str>, usize> {
    let mut failed: BTreeMap<Box<str>, usize> = BTreeMap::new();
    for record in records {
        if let Outcome::Failed { sqlstate } = &record.outcome {
            *failed.entry(sqlstate.clone()).or_default() += 1;
        }
    }
    failed
}

/// Returns the latency of the given records.
pub fn latency<'a>(records: impl Iterator<Item = &'a Record>) -> Latency {
    let mut histogram = Histogram::<u64>::new(3).expect("three digits are a valid precision");
    for record in records {
        let took = record.ended.0.saturating_sub(record.started.0);
        // The histogram resizes as needed, so no value is out of its range.
        let _ = histogram.record(took.as_micros() as u64);
    }
    Latency {
        p50_us: histogram.value_at_quantile(0.5),
        p99_us: histogram.value_at_quantile(0.99),
    }
}

fn run_duration(records: &[Record]) -> Duration {
    let first = records.iter().map(|r| r.started).min();
    let last = records.iter().map(|r| r.ended).max();
    match (first, last) {
        (Some(first), Some(last)) => last.0.saturating_sub(first.0),
        _ => Duration::ZERO,
    }
}

fn requests_per_second(records: &[Record]) -> f64 {
    let span_s = run_duration(records).as_secs_f64();
    if span_s == 0.0 {
        return 0.0;
    }
    records.len() as f64 / span_s
}

fn series(records: &[Record]) -> Vec<u32> {
    let mut series = Vec::new();
    for record in records.iter().filter(|record| record.is_done()) {
        let index = (record.ended.0.as_millis() / SERIES_INTERVAL.as_millis()) as usize;
        if series.len() <= index {
            series.resize(index + 1, 0);
        }
        series[index] += 1;
    }
    series
}

/// Returns the longest write gap of each group among those that end at or after `gaps_start`. Ticks
/// don't count as writes.
pub fn write_gaps(run_history: &RunHistory, gaps_start: Timestamp) -> Vec<Gap> {
    let mut acknowledged: BTreeMap<usize, Vec<Timestamp>> = BTreeMap::new();
    let writes = run_history
        .records
        .iter()
        .filter(|r| r.is_done() && r.is_write());
    for record in writes.filter(|record| !matches!(record.op, Op::Tick { .. })) {
        let group = acknowledged.entry(record.group).or_default();
        group.push(record.ended);
    }
    let mut gaps = Vec::new();
    for (group, mut times) in acknowledged {
        times.sort();
        let consecutive = times.windows(2).filter(|pair| pair[1] >= gaps_start);
        let longest = consecutive.max_by_key(|pair| pair[1].0 - pair[0].0);
        if let Some(&[before, after]) = longest {
            gaps.push(Gap {
                group,
                from: before,
                gap_ms: (after.0 - before.0).as_millis() as u64,
            });
        }
    }
    gaps
}
