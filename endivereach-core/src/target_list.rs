//! How old the list of targets is, on which promotions rest.
//!
//! The list is a copy of objects in the platform's store. It lacks the servers that were listed after
//! the copy was last known to be complete. A promotion that counts and fences the members of such a
//! copy has too small a quorum, because the primary may have committed on servers that the copy lacks.
//!
//! # Invariants
//!
//! - A promotion is ordered only if the list was read from the store after the last fence that the
//!   promotion needs, and has the same members as the attempt. So the quorum counts every server that
//!   was listed by then, and every one of them that the quorum needs has its fence.
//! - Members are fenced only if the list is recent. This isn't needed for safety: it keeps a process
//!   with an old copy from stopping the replication of a group that has a primary.

use crate::exchange::Evidence;
use crate::store_source::EVIDENCE_AGE_MAX;
use std::time::Duration;
use std::time::Instant;

/// The maximum age of the list from which members are fenced.
pub const FENCING_AGE_MAX: Duration = EVIDENCE_AGE_MAX;

/// The evidence for the list of targets that a process has.
///
/// # Examples
///
/// ```
/// use endivereach_core::exchange::Evidence;
/// use endivereach_core::target_list::{FENCING_AGE_MAX, ListEvidence};
/// use std::time::{Duration, Instant};
///
/// let start = Instant::now();
/// let mut evidence = ListEvidence::default();
/// assert!(!evidence.is_recent(start));
///
/// evidence.record(Evidence::from_platform(start));
/// assert!(evidence.is_recent(start + FENCING_AGE_MAX));
/// assert!(!evidence.was_read_since(start), "a watch or another process passed it on");
///
/// let fenced_at = start + Duration::from_millis(20);
/// evidence.record_read(fenced_at);
/// assert!(evidence.was_read_since(fenced_at));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListEvidence {
    /// The newest evidence, from any source.
    newest: Option<Evidence>,
    /// When the call was sent that last read the whole list from the store.
    read_at: Option<Instant>,
}

impl ListEvidence {
    /// Records evidence from a watch or from another process.
    pub fn record(&mut self, evidence: Evidence) {
        self.newest = self.newest.max(Some(evidence));
    }

    /// Records that the whole list was read from the store by a call that was sent at `asked_at`.
    pub fn record_read(&mut self, asked_at: Instant) {
        self.read_at = self.read_at.max(Some(asked_at));
        self.record(Evidence::from_platform(asked_at));
    }

    /// Discards the evidence, because the store has returned from a copy.
    pub fn enter_era(&mut self) {
        *self = Self::default();
    }

    /// Returns the age of the list, or `None` before the first list.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.newest.map(|evidence| evidence.age(now))
    }

    /// Returns whether members can be fenced by the list.
    pub fn is_recent(&self, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age <= FENCING_AGE_MAX)
    }

    /// Returns whether the whole list was read from the store by a call that was sent at `since` or
    /// later.
    pub fn was_read_since(&self, since: Instant) -> bool {
        self.read_at.is_some_and(|read_at| read_at >= since)
    }
}
