//! Congestion control: how many statements a process runs at once on a server that it shares with
//! other processes.
//!
//! A server refuses statements beyond its slots and its own queue. No process knows how many the
//! others have sent, so each adapts its own limit to the refusals, as TCP adapts its window to lost
//! packets: a refusal halves the limit, and a window of statements that ran raises it by one.
//! Statements above the limit wait in the process's own queue, which orders them by priority and
//! latency goal, instead of being refused again and again.

use std::time::Duration;
use std::time::Instant;

/// The minimum pause after a refusal.
const PAUSE_MIN: Duration = Duration::from_millis(5);

/// The maximum pause after a refusal. It bounds how long a server is unused that has room again.
const PAUSE_MAX: Duration = Duration::from_millis(60);

/// The limit of statements that one process runs at once on one server.
///
/// # Invariants
///
/// The limit is at least one, so that a process always notices when the server has room again.
///
/// # Examples
///
/// ```
/// use endivereach_core::congestion::ConcurrencyLimit;
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mut limit = ConcurrencyLimit::default();
/// assert!(limit.admits(now, 50));
///
/// let service_time = Duration::from_millis(10);
/// limit.record_refusal(now, now, 8, service_time);
/// assert!(!limit.admits(now, 0), "the server is given a pause first");
/// let later = now + service_time;
/// assert!(limit.admits(later, 3));
/// assert!(!limit.admits(later, 4));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConcurrencyLimit {
    /// The limit, or `None` while the server has refused nothing.
    limit: Option<u32>,
    /// Statements that ran since the limit last changed.
    ran: u32,
    /// When the limit was last lowered. Refusals of statements that were sent earlier don't lower
    /// it again.
    lowered_at: Option<Instant>,
    paused_until: Option<Instant>,
}

impl ConcurrencyLimit {
    /// Returns whether another statement may be sent while `in_flight` are unanswered.
    pub fn admits(&self, now: Instant, in_flight: u32) -> bool {
        let is_paused = self.paused_until.is_some_and(|until| now < until);
        !is_paused && self.limit.is_none_or(|limit| in_flight < limit)
    }

    /// Returns the limit, or `None` while the server has refused nothing.
    pub fn get(&self) -> Option<u32> {
        self.limit
    }

    /// Records that the server refused a statement sent at `sent_at` because it was busy.
    ///
    /// `in_flight` statements were unanswered at that time, including the refused one.
    /// `service_time` is how long the server usually takes, after which it is expected to have
    /// room. Returns whether the limit was lowered.
    pub fn record_refusal(
        &mut self,
        now: Instant,
        sent_at: Instant,
        in_flight: u32,
        service_time: Duration,
    ) -> bool {
        self.paused_until = Some(now + service_time.clamp(PAUSE_MIN, PAUSE_MAX));
        if self.lowered_at.is_some_and(|at| sent_at <= at) {
            return false;
        }
        let used = self.limit.map_or(in_flight, |limit| limit.min(in_flight));
        self.limit = Some((used / 2).max(1));
        self.ran = 0;
        self.lowered_at = Some(now);
        true
    }

    /// Records that the server ran a statement.
    pub fn record_run(&mut self) {
        let Some(limit) = &mut self.limit else {
            return;
        };
        self.ran += 1;
        if self.ran >= *limit {
            *limit = limit.saturating_add(1);
            self.ran = 0;
        }
    }
}
