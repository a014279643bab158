//! Metrics through OpenTelemetry, collected when somebody asks for them.
//!
//! There is no collector beside the process to push to. The reader's own interval is therefore long,
//! and each request for the text flushes it.

use super::Sources;
use super::status;
use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::metrics::PeriodicReader;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use opentelemetry_sdk::metrics::Temporality;
use opentelemetry_sdk::metrics::data::AggregatedMetrics;
use opentelemetry_sdk::metrics::data::MetricData;
use opentelemetry_sdk::metrics::data::ResourceMetrics;
use opentelemetry_sdk::metrics::exporter::PushMetricExporter;
use std::fmt::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

/// How often metrics are collected when nobody asks.
const IDLE_INTERVAL: Duration = Duration::from_secs(3600);

/// What the name of every metric starts with.
const PREFIX: &str = "endivereach_";

/// The ending of names whose values move both ways.
const GAUGE_ENDING: &str = "_now";

/// The metrics of one process.
pub struct Metrics {
    provider: SdkMeterProvider,
    exporter: TextExporter,
}

/// Keeps the last collection as text.
#[derive(Clone, Debug, Default)]
struct TextExporter {
    text: Arc<Mutex<String>>,
}

impl PushMetricExporter for TextExporter {
    async fn export(&self, metrics: &ResourceMetrics) -> OTelSdkResult {
        let mut text = String::new();
        write_metrics(&mut text, metrics);
        *self.text.lock().unwrap_or_else(PoisonError::into_inner) = text;
        Ok(())
    }

    fn force_flush(&self) -> OTelSdkResult {
        Ok(())
    }

    fn shutdown_with_timeout(&self, _: Duration) -> OTelSdkResult {
        Ok(())
    }

    fn temporality(&self) -> Temporality {
        Temporality::Cumulative
    }
}

impl Metrics {
    /// Registers every counter of the process.
    pub fn new(sources: &Sources) -> Self {
        let exporter = TextExporter::default();
        let reader = PeriodicReader::builder(exporter.clone())
            .with_interval(IDLE_INTERVAL)
            .build();
        let provider = SdkMeterProvider::builder().with_reader(reader).build();
        let meter = provider.meter("endivereachd");
        for (at, counter) in status::counters(sources).iter().enumerate() {
            register(&meter, sources, at, &counter.name);
        }
        Self { provider, exporter }
    }

    /// Returns every metric, one a line, as `name value`.
    ///
    /// # Errors
    ///
    /// Returns the library's error when it can't collect.
    pub fn text(&self) -> anyhow::Result<String> {
        self.provider.force_flush()?;
        let text = self.exporter.text.lock();
        Ok(text.unwrap_or_else(PoisonError::into_inner).clone())
    }
}

/// Registers the counter at place `at` of the fixed order.
fn register(meter: &Meter, sources: &Sources, at: usize, name: &str) {
    let sources = sources.clone();
    let read = move || {
        let counters = status::counters(&sources);
        counters.get(at).map_or(0, |counter| counter.value)
    };
    let name = format!("{PREFIX}{name}");
    if name.ends_with(GAUGE_ENDING) {
        let gauge = meter.u64_observable_gauge(name);
        let gauge = gauge.with_callback(move |observer| observer.observe(read(), &[]));
        gauge.build();
    } else {
        let counter = meter.u64_observable_counter(name);
        let counter = counter.with_callback(move |observer| observer.observe(read(), &[]));
        counter.build();
    }
}

fn write_metrics(text: &mut String, metrics: &ResourceMetrics) {
    for scope in metrics.scope_metrics() {
        for metric in scope.metrics() {
            let AggregatedMetrics::U64(data) = metric.data() else {
                continue;
            };
            let values: Vec<u64> = match data {
                MetricData::Gauge(gauge) => gauge.data_points().map(|p| p.value()).collect(),
                MetricData::Sum(sum) => sum.data_points().map(|p| p.value()).collect(),
                _ => Vec::new(),
            };
            for value in values {
                // Writing to a string can't fail.
                let _ = writeln!(text, "{} {value}", metric.name());
            }
        }
    }
}
