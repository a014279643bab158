//! How far a planned stop has come.

use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

/// The phases of a process, in their order. A phase is never left for an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The parts are being started: the balancer must not send callers yet.
    Starting,
    /// Callers are welcome.
    Serving,
    /// The balancer is told to look elsewhere; callers that still arrive are served.
    Leaving,
    /// Nobody new is accepted, and requests in progress end.
    Closing,
}

/// The present phase, shared by every part.
#[derive(Debug)]
pub struct PhaseCell(AtomicU8);

impl PhaseCell {
    /// Creates the cell of a process that is starting.
    pub const fn new() -> Self {
        Self(AtomicU8::new(Phase::Starting as u8))
    }

    /// Returns the present phase.
    pub fn get(&self) -> Phase {
        match self.0.load(Ordering::SeqCst) {
            0 => Phase::Starting,
            1 => Phase::Serving,
            2 => Phase::Leaving,
            _ => Phase::Closing,
        }
    }

    /// Moves on to `phase`. Moving back changes nothing.
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
