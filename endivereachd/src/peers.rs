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

/// The path of the balancer's probe: 200 while serving, 503 otherwise.
pub const PATH_HEALTH: &str = "/health";

/// The path of the metrics, one a line.
pub const PATH_METRICS: &str = "/metrics";

/// The path of the page for a browser.
pub const PATH_PAGE: &str = "/";

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
}

impl Peers {
    /// Creates the answerer of a process that is starting.
    pub fn new(phase: Arc<PhaseCell>) -> Self {
        Self {
            phase,
            parts: OnceLock::new(),
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

    fn health(&self) -> Reply {
        let (status, text) = match self.phase.get() {
            Phase::Starting => (503, "starting\n"),
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
