//! The calls that peers, operators, the balancer and browsers make to this process.

use crate::drain::Phase;
use crate::drain::PhaseCell;
use crate::telemetry;
use crate::telemetry::Metrics;
use crate::telemetry::Sources;
use endivereach_wire::http::Call;
use endivereach_wire::http::Reply;
use endivereach_wire::operator::Explain;
use endivereach_wire::operator::PATH_EXPLAIN;
use endivereach_wire::operator::PATH_FLEET_STATUS;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// The path of the balancer's probe: 200 while serving, 503 otherwise.
pub const PATH_HEALTH: &str = "/health";

/// The path of the metrics, one a line.
pub const PATH_METRICS: &str = "/metrics";

/// The path of the page for a browser.
pub const PATH_PAGE: &str = "/";

/// How long the health answer waits for connection shares after the start. A proxy serves whatever it
/// can after that, because it may be the only one.
const READY_WAIT_MAX: Duration = Duration::from_secs(15);

const TEXT: &str = "text/plain; charset=utf-8";
const HTML: &str = "text/html; charset=utf-8";

/// The parts that answers are taken from.
struct Parts {
    sources: Sources,
    metrics: Metrics,
}

/// Answers calls. Before the parts are there, only the balancer's probe is answered.
pub struct Peers {
    phase: Arc<PhaseCell>,
    parts: OnceLock<Parts>,
    started_at: Instant,
    was_ready: AtomicBool,
}

impl Peers {
    /// Creates the answerer of a process that is starting.
    pub fn new(phase: Arc<PhaseCell>) -> Self {
        Self {
            phase,
            parts: OnceLock::new(),
            started_at: Instant::now(),
            was_ready: AtomicBool::new(false),
        }
    }

    /// Hands over the parts that answers are taken from. Later calls change nothing.
    pub fn open(&self, sources: Sources) {
        let metrics = Metrics::new(&sources);
        // The daemon opens once; a second call would be a mistake of no consequence.
        let _ = self.parts.set(Parts { sources, metrics });
    }

    /// Answers one call.
    pub fn answer(&self, call: &Call) -> Reply {
        if &*call.path == PATH_HEALTH {
            return self.health();
        }
        let Some(parts) = self.parts.get() else {
            return Reply::refuse(
                "starting",
                "the process is starting; call again in a second",
            );
        };
        match &*call.path {
            PATH_PAGE => Reply::text(200, HTML, telemetry::page(&parts.sources)),
            PATH_METRICS => parts.metrics(),
            PATH_FLEET_STATUS => Reply::value(&telemetry::status(&parts.sources)),
            PATH_EXPLAIN => parts.explain(call),
            _ => parts.sources.fleet.answer(call).unwrap_or_else(|| {
                let remedy = "this version doesn't know the path; compare versions";
                Reply::refuse("unknown_call", remedy)
            }),
        }
    }

    /// Returns whether callers are served. Once they are, only a stop changes that: a share that is
    /// lost later is a matter of load, and taking the proxy out would add to it.
    fn is_ready(&self) -> bool {
        if self.was_ready.load(Ordering::Relaxed) {
            return true;
        }
        let parts = self.parts.get();
        let is_ready = parts.is_some_and(|parts| parts.sources.fleet.is_ready())
            || self.started_at.elapsed() > READY_WAIT_MAX;
        let knows_groups = parts.is_some_and(|parts| !parts.sources.groups.all().is_empty());
        if is_ready && knows_groups {
            self.was_ready.store(true, Ordering::Relaxed);
        }
        is_ready
    }

    fn health(&self) -> Reply {
        let (status, text) = match self.phase.get() {
            Phase::Starting => (503, "starting\n"),
            Phase::Serving if !self.is_ready() => (503, "waiting for connection shares\n"),
            Phase::Serving => (200, "serving\n"),
            Phase::Leaving | Phase::Closing => (503, "draining\n"),
        };
        Reply::text(status, TEXT, text)
    }
}

impl Parts {
    fn metrics(&self) -> Reply {
        match self.metrics.text() {
            Ok(text) => Reply::text(200, TEXT, text),
            Err(error) => Reply::text(500, TEXT, format!("{error:#}\n")),
        }
    }

    fn explain(&self, call: &Call) -> Reply {
        match call.decode::<Explain>() {
            Ok(question) => Reply::value(&telemetry::explain(&self.sources, &question)),
            Err(refusal) => refusal,
        }
    }
}
