//! The most recent events, kept in memory for `endivereach explain`.

use endivereach_core::event::Event;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::SystemTime;

/// How many events are kept.
const EVENTS_MAX: usize = 4096;

/// An event with the moment it was recorded.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Recorded {
    /// When it was recorded, by this VM's wall clock.
    pub at: SystemTime,
    /// What happened.
    pub event: Event,
}

/// The most recent events. Each is also logged, as a change of state.
#[derive(Debug, Default)]
pub struct Events {
    recent: Mutex<VecDeque<Recorded>>,
}

impl Events {
    /// Records an event.
    pub fn record(&self, event: Event) {
        log::info!("{event:?}");
        let recorded = Recorded {
            at: SystemTime::now(),
            event,
        };
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        if recent.len() == EVENTS_MAX {
            recent.pop_front();
        }
        recent.push_back(recorded);
    }

    /// Returns the events kept, oldest first.
    pub fn recent(&self) -> Vec<Recorded> {
        let recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        recent.iter().cloned().collect()
    }
}
