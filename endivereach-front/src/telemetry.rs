//! Counters and the latency histogram, rendered as text metrics.

use crate::metrics;
use endivereach_core::engine::Counters;
use hdrhistogram::Histogram;
use std::fmt::Write;
use std::time::Duration;

/// The highest value of the latency histogram. Longer latencies are recorded as this value.
const LATENCY_MAX_US: u64 = 60_000_000;

/// Measurements in addition to the engine's counters.
pub(crate) struct Telemetry {
    latency_us: Option<Histogram<u32>>,
    platform_calls: u64,
    polls: u64,
    failed_polls: u64,
    answered_polls: u64,
    reply_bytes: u64,
    eras: u64,
    lost_watch_answers: u64,
    malformed_messages: u64,
}

impl Default for Telemetry {
    fn default() -> Self {
        Self {
            // The 2 is the number of significant digits.
            latency_us: Histogram::new_with_max(LATENCY_MAX_US, 2).ok(),
            platform_calls: 0,
            polls: 0,
            failed_polls: 0,
            answered_polls: 0,
            reply_bytes: 0,
            eras: 0,
            lost_watch_answers: 0,
            malformed_messages: 0,
        }
    }
}

impl Telemetry {
    pub(crate) fn record_latency(&mut self, latency: Duration) {
        if let Some(histogram) = &mut self.latency_us {
            histogram.saturating_record(latency.as_micros() as u64);
        }
    }

    pub(crate) fn count_platform_call(&mut self) {
        self.platform_calls += 1;
    }

    /// Counts a poll that this process sent to its reader.
    pub(crate) fn count_poll(&mut self) {
        self.polls += 1;
    }

    /// Counts a poll after which this process gave its reader up.
    pub(crate) fn count_failed_poll(&mut self) {
        self.failed_polls += 1;
    }

    /// Counts a poll of another process that this process answered with a copy.
    pub(crate) fn count_answered_poll(&mut self, reply_bytes: usize) {
        self.answered_polls += 1;
        self.reply_bytes += reply_bytes as u64;
    }

    /// Counts a return of the platform's store from a copy.
    pub(crate) fn count_era(&mut self) {
        self.eras += 1;
    }

    /// Counts a watch whose answer was lost, as other proxies' copies showed.
    pub(crate) fn count_lost_watch_answer(&mut self) {
        self.lost_watch_answers += 1;
    }

    /// Counts a message of a caller that isn't one of the protocol, or can't come where it came.
    pub(crate) fn count_malformed_message(&mut self) {
        self.malformed_messages += 1;
    }

    /// Returns all metrics, one per line.
    pub(crate) fn text(
        &self,
        counters: &Counters,
        callers: usize,
        unsent_reply_bytes: usize,
    ) -> String {
        let mut text = String::new();
        let rows = [
            ("served_total", counters.served),
            ("refused_total", counters.refused),
            (
                "refused_without_primary_total",
                counters.refused_without_primary,
            ),
            ("failed_total", counters.failed),
            ("in_doubt_total", counters.in_doubt),
            ("retried_total", counters.retried),
            ("rate_limited_total", counters.rate_limited),
            (
                "refused_without_holder_total",
                counters.refused_without_holder,
            ),
            ("allowance_waits_total", counters.allowance_waits),
            ("refused_by_targets_total", counters.refused_by_targets),
            ("replica_reads_total", counters.replica_reads),
            ("primary_reads_total", counters.primary_reads),
            (
                "target_connections_opened_total",
                counters.connections_opened,
            ),
            (
                "target_connections_replaced_total",
                counters.connections_replaced,
            ),
            (
                "target_connections_refused_total",
                counters.connections_refused,
            ),
            ("target_probes_total", counters.probes),
            ("target_answers_unmatched_total", counters.unmatched_answers),
            (
                "target_answers_mismatched_total",
                counters.mismatched_answers,
            ),
            ("target_answers_repeated_total", counters.repeated_answers),
            ("target_failures_held_total", counters.held_failures),
            ("target_answers_unproved_total", counters.unproved_answers),
            ("malformed_messages_total", self.malformed_messages),
            ("commits_held_total", counters.commits_held),
            ("commits_doubted_total", counters.commits_doubted),
            ("promotions_ordered_total", counters.promotions),
            ("withdrawn_sessions_total", counters.withdrawn_sessions),
            ("platform_calls_total", self.platform_calls),
            ("reader_polls_total", self.polls),
            ("reader_polls_failed_total", self.failed_polls),
            ("reader_polls_answered_total", self.answered_polls),
            ("reader_reply_bytes_total", self.reply_bytes),
            ("unsent_reply_bytes", unsent_reply_bytes as u64),
            ("store_restored_total", self.eras),
            ("watch_answers_lost_total", self.lost_watch_answers),
            ("callers", callers as u64),
        ];
        for (name, value) in rows {
            // Writing to a string can't fail.
            let _ = writeln!(text, "endivereach_{name} {value}");
        }
        for (reason, count) in &counters.overload.refusals {
            let label = ("reason", reason.as_str());
            metrics::write_labelled(&mut text, "endivereach_refusals_total", label, count);
        }
        for (priority, waits) in &counters.overload.waits {
            let label = ("priority", priority.as_str());
            for (name, value) in [
                ("us_total", waits.total.as_micros()),
                ("us_max", waits.longest.as_micros()),
                ("count", waits.count.into()),
            ] {
                let name = format!("endivereach_queue_wait_{name}");
                metrics::write_labelled(&mut text, &name, label, value);
            }
        }
        if let Some(histogram) = &self.latency_us {
            for quantile in [0.5, 0.9, 0.99, 0.999] {
                let value = histogram.value_at_quantile(quantile);
                let _ = writeln!(
                    text,
                    "endivereach_statement_latency_us{{quantile=\"{quantile}\"}} {value}"
                );
            }
            let _ = writeln!(
                text,
                "endivereach_statement_latency_us_count {}",
                histogram.len()
            );
        }
        text
    }
}
