//! What this process shows of itself: metrics, status, explanations and a page for a browser.

mod explain;
mod metrics;
mod page;
mod status;

pub use self::explain::explain;
pub use self::metrics::Metrics;
pub use self::page::page;
pub use self::status::status;

use crate::callers::Callers;
use crate::context::Context;
use crate::drain::PhaseCell;
use crate::fleet::Fleet;
use crate::groups::Groups;
use crate::supervisor::Supervisor;
use std::sync::Arc;
use std::time::Instant;

/// The parts of the process that telemetry reads.
#[derive(Clone)]
pub struct Sources {
    /// The identity and the events.
    pub context: Arc<Context>,
    /// How far a planned stop has come.
    pub phase: Arc<PhaseCell>,
    /// The threads.
    pub supervisor: Supervisor,
    /// Rules, members and shares.
    pub fleet: Arc<Fleet>,
    /// The data path.
    pub callers: Arc<Callers>,
    /// The database groups.
    pub groups: Arc<Groups>,
    /// When the process started.
    pub started_at: Instant,
}
