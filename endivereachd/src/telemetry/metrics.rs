//! Metrics through OpenTelemetry, collected on request.
//!
//! There is no collector to push to. The reader's interval is therefore long, and each request for
//! the text flushes the reader.

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

/// The interval between two collections without a request.
const IDLE_INTERVAL: Duration = Duration::from_secs(3600);

/// The prefix of every metric's name.
const NAME_PREFIX: &str = "endivereach_";

/// The suffix of the names of gauges.
const GAUGE_SUFFIX: &str = "_now";

/// The metrics of one process.
pub struct Metrics {
    provider: SdkMeterProvider,
    exporter: TextExporter,
}

/// An exporter that keeps the last collection as text.
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
    /// Registers a metric for every counter of the process.
    pub fn new(sources: &Sources) -> Self {
        let exporter = TextExporter::default();
        let reader = PeriodicReader::builder(exporter.clone())
            .with_interval(IDLE_INTERVAL)
            .build();
        let provider = SdkMeterProvider::builder().with_reader(reader).build();
        let meter = provider.meter("endivereachd");
        for (index, counter) in status::counters(sources).iter().enumerate() {
            register(&meter, sources, index, &counter.name);
        }
        Self { provider, exporter }
    }

    /// Returns every metric as a line `name value`.
    ///
    /// # Errors
    ///
    /// Returns an error when OpenTelemetry can't collect the metrics.
    pub fn text(&self) -> anyhow::Result<String> {
        self.provider.force_flush()?;
        let text = self.exporter.text.lock();
        Ok(text.unwrap_or_else(PoisonError::into_inner).clone())
    }
}

/// Registers a metric for the counter at `index` in the order of [`status::counters`].
fn register(meter: &Meter, sources: &Sources, index: usize, name: &str) {
    let sources = sources.clone();
    let read = move || {
        let counters = status::counters(&sources);
        counters.get(index).map_or(0, |counter| counter.value)
    };
    let name = format!("{NAME_PREFIX}{name}");
    if name.ends_with(GAUGE_SUFFIX) {
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
