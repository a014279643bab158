//! The most recent events, kept in memory for `endivereach explain` and the status page.

use endivereach_core::event::Event;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::SystemTime;

/// The maximum number of events kept.
const EVENTS_MAX: usize = 4096;

/// An event with the time when it was recorded.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct RecordedEvent {
    /// The time of recording, by this VM's wall clock.
    pub at: SystemTime,
    /// The event itself.
    pub event: Event,
}

/// The most recent events. Each event is also logged when it is recorded.
#[derive(Debug, Default)]
pub struct Events {
    recent: Mutex<VecDeque<RecordedEvent>>,
}

impl Events {
    /// Logs an event and records it, replacing the oldest one if the log is full.
    pub fn record(&self, event: Event) {
        log::info!("{event:?}");
        let recorded = RecordedEvent {
            at: SystemTime::now(),
            event,
        };
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        if recent.len() == EVENTS_MAX {
            recent.pop_front();
        }
        recent.push_back(recorded);
    }

    /// Returns the recorded events, oldest first.
    pub fn recent(&self) -> Vec<RecordedEvent> {
        let recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        recent.iter().cloned().collect()
    }
}
