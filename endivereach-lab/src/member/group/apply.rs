//! What reads see of the log: all of it, or less when applying is slow.

use super::Replication;
use crate::member::storage::log::Entry;
use crate::member::storage::log::Log;
use crate::member::storage::table::Snapshot;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// How many entries lie between two kept snapshots, from which a shorter log is rebuilt.
const CHECKPOINT_ENTRIES: usize = 1024;

/// The longest sleep of the applying thread.
const IDLE_WAIT: Duration = Duration::from_secs(1);

endivereach_core::data! {
    /// How applying is slowed down on a replica. The default doesn't.
    #[derive(Copy, Default)]
    pub struct ApplyFault {
        /// How long an entry waits after its arrival, in milliseconds.
        #[serde(default)]
        pub delay_ms: u64,
        /// Entries are applied in bursts this far apart, in milliseconds; zero for no bursts.
        #[serde(default)]
        pub burst_every_ms: u64,
        /// Whether nothing is applied at all.
        #[serde(default)]
        pub paused: bool,
    }
}

/// The applied part of a log.
#[derive(Debug)]
pub(super) struct Applied {
    snapshot: Snapshot,
    count: usize,
    checkpoints: Vec<Snapshot>,
    /// When each entry that isn't applied yet arrived.
    arrivals: VecDeque<Instant>,
    last_burst: Instant,
    fault: ApplyFault,
}

impl Default for Applied {
    fn default() -> Self {
        Self {
            snapshot: Snapshot::default(),
            count: 0,
            checkpoints: vec![Snapshot::default()],
            arrivals: VecDeque::new(),
            last_burst: Instant::now(),
            fault: ApplyFault::default(),
        }
    }
}

impl Applied {
    /// Returns what reads see.
    pub(super) fn snapshot(&self) -> Arc<Snapshot> {
        Arc::new(self.snapshot.clone())
    }

    /// Returns the position that reads see.
    pub(super) fn position(&self) -> endivereach_core::ids::Position {
        self.snapshot.position
    }

    /// Applies every entry of `log` at once.
    pub(super) fn catch_up(&mut self, log: &Log) {
        self.arrivals.clear();
        self.apply_entries(log.after(self.count));
    }

    /// Notes that an entry arrived.
    pub(super) fn note_arrival(&mut self) {
        self.arrivals.push_back(Instant::now());
    }

    /// Goes back to what the log still holds after it became shorter.
    pub(super) fn shorten(&mut self, log: &Log) {
        let unapplied = log.len().saturating_sub(self.count);
        self.arrivals.truncate(unapplied);
        if self.count <= log.len() {
            return;
        }
        let kept = log.len() / CHECKPOINT_ENTRIES;
        self.checkpoints.truncate(kept + 1);
        self.snapshot = self.checkpoints.last().cloned().unwrap_or_default();
        self.count = kept * CHECKPOINT_ENTRIES;
        self.apply_entries(log.after(self.count));
    }

    /// Applies the entries that are due and returns when the next one is, if that is known.
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
        let due = self
            .arrivals
            .partition_point(|arrival| *arrival + delay <= now);
        if due > 0 {
            self.arrivals.drain(..due);
            self.last_burst = now;
            self.apply_entries(&log.after(self.count)[..due]);
        }
        self.arrivals.front().map(|arrival| *arrival + delay)
    }

    fn apply_entries(&mut self, entries: &[Arc<Entry>]) {
        for entry in entries {
            for change in &entry.changes {
                self.snapshot.tables.apply(change);
            }
            self.snapshot.position = entry.position;
            self.count += 1;
            if self.count.is_multiple_of(CHECKPOINT_ENTRIES) {
                self.checkpoints.push(self.snapshot.clone());
            }
        }
    }
}

impl Replication {
    /// Replaces the fault of applying.
    pub fn set_apply_fault(&self, fault: ApplyFault) {
        let mut state = self.lock();
        state.applied.fault = fault;
        self.changed.notify_all();
    }

    /// Applies what is due until the member stops. Runs on a thread of its own.
    pub(crate) fn apply_until_stopped(&self) {
        let mut state = self.lock();
        while !state.stopped {
            let next = self.apply_due(&mut state);
            let wait = next.map_or(IDLE_WAIT, |next| {
                next.saturating_duration_since(Instant::now())
                    .min(IDLE_WAIT)
            });
            state = self
                .changed
                .wait_timeout(state, wait)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    /// Applies what is due, and publishes it if there was something.
    pub(super) fn apply_due(&self, state: &mut super::State) -> Option<Instant> {
        let before = state.applied.count;
        let next = state.applied.apply_due(&state.log);
        if state.applied.count > before {
            self.publish(state);
        }
        next
    }
}
