//! The phases of a process, from its start to the end of a planned stop.

use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

/// The phases of a process, in order. A process never returns to an earlier phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The modules are starting, and the load balancer must not send callers yet.
    Starting,
    /// Callers are accepted.
    Serving,
    /// The health probe fails, but callers that still arrive are served.
    Leaving,
    /// No new callers are accepted, and requests in progress complete.
    Closing,
}

/// The current phase, shared by every module.
#[derive(Debug)]
pub struct PhaseCell(AtomicU8);

impl PhaseCell {
    /// Creates a cell in [`Phase::Starting`].
    pub const fn new() -> Self {
        Self(AtomicU8::new(Phase::Starting as u8))
    }

    /// Returns the current phase.
    pub fn get(&self) -> Phase {
        match self.0.load(Ordering::SeqCst) {
            0 => Phase::Starting,
            1 => Phase::Serving,
            2 => Phase::Leaving,
            _ => Phase::Closing,
        }
    }

    /// Advances to `phase`. Does nothing if the current phase is the same or a later one.
    pub fn advance(&self, phase: Phase) {
        self.0.fetch_max(phase as u8, Ordering::SeqCst);
    }

    /// Returns whether a planned stop has begun.
    pub fn is_draining(&self) -> bool {
        self.get() >= Phase::Leaving
    }
}

impl Default for PhaseCell {
    fn default() -> Self {
        Self::new()
    }
}
