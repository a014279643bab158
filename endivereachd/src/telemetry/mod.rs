//! Telemetry of this process: metrics, status, explanations and an HTML page.

mod explain;
mod metrics;
mod page;
mod status;

pub use self::explain::explain;
pub use self::metrics::Metrics;
pub use self::page::page;
pub use self::status::status;

use crate::callers::CallerServer;
use crate::context::Context;
use crate::fleet::Fleet;
use crate::groups::Groups;
use crate::phase::PhaseCell;
use crate::supervisor::Supervisor;
use std::sync::Arc;
use std::time::Instant;

/// The parts of the process that telemetry reads.
#[derive(Clone)]
pub struct Sources {
    /// The identity, settings and events of the process.
    pub context: Arc<Context>,
    /// The phase of the process, which shows the progress of a planned stop.
    pub phase: Arc<PhaseCell>,
    /// The supervisor, for the counts of restarts and stalls.
    pub supervisor: Supervisor,
    /// The fleet: rules, peers and shares.
    pub fleet: Arc<Fleet>,
    /// The data path, with its counters and recent requests.
    pub caller_server: Arc<CallerServer>,
    /// The state of the database groups.
    pub groups: Arc<Groups>,
    /// When the process started.
    pub started_at: Instant,
}
