//! The calls that peers, operators, the balancer and browsers make to this process.

use crate::callers::Callers;
use crate::drain::Phase;
use crate::drain::PhaseCell;
use crate::fleet::Fleet;
use crate::groups::Groups;
use crate::supervisor::Supervisor;
use endivereach_wire::http::Call;
use endivereach_wire::http::Reply;
use std::sync::Arc;
use std::sync::OnceLock;

/// The path of the balancer's probe: 200 while serving, 503 otherwise.
pub const PATH_HEALTH: &str = "/health";

/// The parts that answers are taken from.
pub(crate) struct Parts {
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) callers: Arc<Callers>,
    pub(crate) groups: Arc<Groups>,
}

/// Answers calls. Before the parts are there, only the balancer's probe is answered.
pub struct Peers {
    phase: Arc<PhaseCell>,
    supervisor: Supervisor,
    parts: OnceLock<Parts>,
}

impl Peers {
    /// Creates the answerer of a process that is starting.
    pub fn new(phase: Arc<PhaseCell>, supervisor: Supervisor) -> Self {
        Self {
            phase,
            supervisor,
            parts: OnceLock::new(),
        }
    }

    /// Hands over the parts that answers are taken from. Later calls change nothing.
    pub fn open(&self, fleet: Arc<Fleet>, callers: Arc<Callers>, groups: Arc<Groups>) {
        let parts = Parts {
            fleet,
            callers,
            groups,
        };
        // The daemon opens once; a second call would be a mistake of no consequence.
        let _ = self.parts.set(parts);
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
        let _ = (&parts.callers, &parts.groups, &self.supervisor);
        parts.fleet.answer(call).unwrap_or_else(|| {
            Reply::refuse(
                "unknown_call",
                "this version doesn't know the path; compare versions",
            )
        })
    }

    fn health(&self) -> Reply {
        let (status, text) = match self.phase.get() {
            Phase::Starting => (503, "starting\n"),
            Phase::Serving => (200, "serving\n"),
            Phase::Leaving | Phase::Closing => (503, "draining\n"),
        };
        Reply::text(status, "text/plain; charset=utf-8", text)
    }
}
