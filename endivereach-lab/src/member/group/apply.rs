//! Applying log entries to the snapshot that reads use. A primary applies an entry as soon as it is
//! appended; a replica can lag behind its log when a fault delays applying.

use super::Replication;
use crate::member::storage::log::Entry;
use crate::member::storage::log::Log;
use crate::member::storage::table::Snapshot;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// The number of entries between two checkpoints. After the log is truncated, the snapshot is
/// rebuilt from the last checkpoint that the log still covers.
const CHECKPOINT_INTERVAL_ENTRIES: usize = 1024;

/// The longest wait of the apply thread when no entry is due earlier.
const APPLY_WAIT_MAX: Duration = Duration::from_secs(1);

endivereach_core::data! {
    /// Delays of applying entries on a replica. The default applies entries without delay.
    #[derive(Copy, Default)]
    pub struct ApplyFault {
        /// The delay between an entry's arrival and its application, in milliseconds.
        #[serde(default)]
        pub delay_ms: u64,
        /// The minimum interval between two batches of applied entries, in milliseconds; zero
        /// disables batching.
        #[serde(default)]
        pub burst_every_ms: u64,
        /// Whether applying is suspended.
        #[serde(default)]
        pub paused: bool,
    }
}

/// The part of a log that has been applied, and the resulting snapshot.
#[derive(Debug)]
pub(super) struct AppliedState {
    snapshot: Snapshot,
    applied_entries: usize,
    checkpoints: Vec<Snapshot>,
    /// The arrival time of each entry that isn't applied yet, in log order.
    pending_arrivals: VecDeque<Instant>,
    last_burst: Instant,
    fault: ApplyFault,
}

impl Default for AppliedState {
    fn default() -> Self {
        Self {
            snapshot: Snapshot::default(),
            applied_entries: 0,
            checkpoints: vec![Snapshot::default()],
            pending_arrivals: VecDeque::new(),
            last_burst: Instant::now(),
            fault: ApplyFault::default(),
        }
    }
}

impl AppliedState {
    /// Returns the snapshot that includes every applied entry.
    pub(super) fn snapshot(&self) -> Arc<Snapshot> {
        Arc::new(self.snapshot.clone())
    }

    /// Returns the position of the last applied entry.
    pub(super) fn position(&self) -> endivereach_core::ids::Position {
        self.snapshot.position
    }

    /// Applies all remaining entries of `log` without delay.
    pub(super) fn apply_all(&mut self, log: &Log) {
        self.pending_arrivals.clear();
        self.apply_entries(log.entries_after(self.applied_entries));
    }

    /// Records the arrival of an entry that is to be applied later.
    pub(super) fn record_arrival(&mut self) {
        self.pending_arrivals.push_back(Instant::now());
    }

    /// Reverts the entries that are no longer in `log` after it was truncated.
    pub(super) fn revert_truncated(&mut self, log: &Log) {
        let unapplied = log.len().saturating_sub(self.applied_entries);
        self.pending_arrivals.truncate(unapplied);
        if self.applied_entries <= log.len() {
            return;
        }
        let checkpoint_index = log.len() / CHECKPOINT_INTERVAL_ENTRIES;
        self.checkpoints.truncate(checkpoint_index + 1);
        self.snapshot = self.checkpoints.last().cloned().unwrap_or_default();
        self.applied_entries = checkpoint_index * CHECKPOINT_INTERVAL_ENTRIES;
        self.apply_entries(log.entries_after(self.applied_entries));
    }

    /// Applies the entries that are due. Returns the time at which further entries can be due, or
    /// `None` if that depends on the next arrival or on a change of the fault.
    fn apply_due(&mut self, log: &Log) -> Option<Instant> {
        if self.fault.paused {
            return None;
        }
        let now = Instant::now();
        let next_burst = self.last_burst + Duration::from_millis(self.fault.burst_every_ms);
        if now < next_burst {
            return Some(next_burst);
        }
        let delay = Duration::from_millis(self.fault.delay_ms);
        let due_entries = self
            .pending_arrivals
            .partition_point(|arrival| *arrival + delay <= now);
        if due_entries > 0 {
            self.pending_arrivals.drain(..due_entries);
            self.last_burst = now;
            self.apply_entries(&log.entries_after(self.applied_entries)[..due_entries]);
        }
        self.pending_arrivals
            .front()
            .map(|arrival| *arrival + delay)
    }

    fn apply_entries(&mut self, entries: &[Arc<Entry>]) {
        for entry in entries {
            for change in &entry.changes {
                self.snapshot.tables.apply(change);
            }
            self.snapshot.position = entry.position;
            self.applied_entries += 1;
            if self
                .applied_entries
                .is_multiple_of(CHECKPOINT_INTERVAL_ENTRIES)
            {
                self.checkpoints.push(self.snapshot.clone());
            }
        }
    }
}

impl Replication {
    /// Replaces the injected delays of applying entries.
    pub fn set_apply_fault(&self, fault: ApplyFault) {
        let mut state = self.lock();
        state.applied.fault = fault;
        self.state_changed.notify_all();
    }

    /// Applies entries as they become due, until the member stops. Runs on a dedicated thread.
    pub(crate) fn apply_until_stopped(&self) {
        let mut state = self.lock();
        while !state.stopped {
            let next_due = self.apply_due(&mut state);
            let wait = next_due.map_or(APPLY_WAIT_MAX, |next_due| {
                next_due
                    .saturating_duration_since(Instant::now())
                    .min(APPLY_WAIT_MAX)
            });
            state = self
                .state_changed
                .wait_timeout(state, wait)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    /// Applies the entries that are due, and publishes the new snapshot if there were any. Returns
    /// the time at which further entries can be due, if it is known.
    pub(super) fn apply_due(&self, state: &mut super::State) -> Option<Instant> {
        let before = state.applied.applied_entries;
        let next_due = state.applied.apply_due(&state.log);
        if state.applied.applied_entries > before {
            self.publish(state);
        }
        next_due
    }
}
