//! The platform's list of VMs, whose changes become visible after a lag.

use endivereach_core::directory::Vm;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// A list of VMs and when it was set.
struct VmListVersion {
    set_at: Instant,
    list: Vec<Vm>,
}

/// The list of VMs with the versions that aren't visible yet.
pub(super) struct Vms {
    lag: Duration,
    history: Mutex<VecDeque<VmListVersion>>,
}

impl Vms {
    pub(super) fn new(lag: Duration) -> Self {
        Self {
            lag,
            history: Mutex::default(),
        }
    }

    /// Replaces the list. Readers see the new list after the lag.
    pub(super) fn set(&self, list: Vec<Vm>) {
        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        let set_at = Instant::now();
        history.push_back(VmListVersion { set_at, list });
    }

    /// Returns the newest list that was set at least the lag ago. The first list is visible at
    /// once.
    pub(super) fn visible(&self) -> Vec<Vm> {
        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        while history
            .get(1)
            .is_some_and(|next| next.set_at.elapsed() >= self.lag)
        {
            history.pop_front();
        }
        history
            .front()
            .map(|entry| entry.list.clone())
            .unwrap_or_default()
    }
}
