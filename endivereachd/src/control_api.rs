//! The HTTP API of this process for peers, operators, the load balancer's probe and browsers.

use crate::phase::Phase;
use crate::phase::PhaseCell;
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

/// The path of the load balancer's probe. Its status is 200 while serving and 503 otherwise.
pub const PATH_HEALTH: &str = "/health";

/// The path of the metrics, one per line.
pub const PATH_METRICS: &str = "/metrics";

/// The path of the HTML status page.
pub const PATH_PAGE: &str = "/";

/// How long after the start the health probe fails for lack of connection shares. After that the
/// probe succeeds without shares, because this may be the only proxy.
const SHARE_WAIT_MAX: Duration = Duration::from_secs(15);

const TEXT: &str = "text/plain; charset=utf-8";
const HTML: &str = "text/html; charset=utf-8";

/// What the answers are made from, set once the daemon has started.
struct Components {
    sources: Sources,
    metrics: Metrics,
}

/// Answers calls. Until [`ControlApi::open`] is called it refuses all but the load balancer's
/// probe.
pub struct ControlApi {
    phase: Arc<PhaseCell>,
    components: OnceLock<Components>,
    started_at: Instant,
    was_ready: AtomicBool,
}

impl ControlApi {
    /// Creates the API of a process that is starting.
    pub fn new(phase: Arc<PhaseCell>) -> Self {
        Self {
            phase,
            components: OnceLock::new(),
            started_at: Instant::now(),
            was_ready: AtomicBool::new(false),
        }
    }

    /// Sets the sources of the answers. Only the first call has an effect.
    pub fn open(&self, sources: Sources) {
        let metrics = Metrics::new(&sources);
        // The daemon calls this once. A second call is a harmless programming error.
        let _ = self.components.set(Components { sources, metrics });
    }

    /// Answers one call.
    pub fn answer(&self, call: &Call) -> Reply {
        if &*call.path == PATH_HEALTH {
            return self.health();
        }
        let Some(components) = self.components.get() else {
            return Reply::error_response(
                "starting",
                "the process is starting; call again in a second",
            );
        };
        match &*call.path {
            PATH_PAGE => Reply::text(200, HTML, telemetry::page(&components.sources)),
            PATH_METRICS => components.metrics(),
            PATH_FLEET_STATUS => Reply::value(&telemetry::status(&components.sources)),
            PATH_EXPLAIN => components.explain(call),
            _ => components.sources.fleet.answer(call).unwrap_or_else(|| {
                let remedy = "this version doesn't know the path; compare versions";
                Reply::error_response("unknown_call", remedy)
            }),
        }
    }

    /// Returns whether callers can be served. Once they can be, only a planned stop makes the
    /// process unready: a share lost later is a sign of load, and removing the proxy would add load
    /// to the others.
    fn is_ready(&self) -> bool {
        if self.was_ready.load(Ordering::Relaxed) {
            return true;
        }
        let components = self.components.get();
        let is_ready = components.is_some_and(|components| components.sources.fleet.is_ready())
            || self.started_at.elapsed() > SHARE_WAIT_MAX;
        let knows_groups =
            components.is_some_and(|components| !components.sources.groups.all().is_empty());
        // A process that knows no group yet must wait for its shares once it learns of one.
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

impl Components {
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
