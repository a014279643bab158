//! The deadline of a call whose response may be large.
//!
//! A deadline for the whole response gives up a large response on a narrow link although it arrives, and
//! the next call starts from the beginning. Such retries use up the link, so that no response arrives
//! at all. Here the deadline moves while bytes arrive, up to a maximum.
//!
//! A request may wait for its connection. A process that was frozen meanwhile sends it when it wakes, so
//! each request has a time after which it isn't sent.

use std::time::Duration;
use std::time::Instant;

/// How long a response may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransferLimits {
    /// The time until the first byte.
    pub first_byte: Duration,
    /// The time between two arrivals of bytes.
    pub stall: Duration,
    /// The time until the last byte.
    pub total: Duration,
}

impl TransferLimits {
    /// Limits the whole response to `timeout`, for responses that are always small.
    pub const fn fixed(timeout: Duration) -> Self {
        Self {
            first_byte: timeout,
            stall: timeout,
            total: timeout,
        }
    }
}

/// The deadline of one call.
///
/// # Examples
///
/// ```
/// use endivereach_core::transfer::{TransferDeadline, TransferLimits};
/// use std::time::{Duration, Instant};
///
/// let limits = TransferLimits {
///     first_byte: Duration::from_secs(1),
///     stall: Duration::from_millis(500),
///     total: Duration::from_secs(3),
/// };
/// let start = Instant::now();
/// let mut deadline = TransferDeadline::new(start, limits);
/// assert_eq!(deadline.at(), start + Duration::from_secs(1));
///
/// deadline.record_progress(start + Duration::from_millis(900));
/// assert_eq!(deadline.at(), start + Duration::from_millis(1_400));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransferDeadline {
    limits: TransferLimits,
    started_at: Instant,
    deadline: Instant,
    send_before: Instant,
}

impl TransferDeadline {
    /// Starts the call's time at `now`.
    pub fn new(now: Instant, limits: TransferLimits) -> Self {
        Self {
            limits,
            started_at: now,
            deadline: now + limits.first_byte,
            send_before: now + limits.first_byte,
        }
    }

    /// Limits the sending of the request to the time before `until`, for example to the end of the lease
    /// that it depends on.
    pub fn send_before(mut self, until: Instant) -> Self {
        self.send_before = self.send_before.min(until);
        self
    }

    /// Returns whether the request may still be sent. A part of it may have been sent before.
    ///
    /// # Examples
    ///
    /// ```
    /// use endivereach_core::transfer::{TransferDeadline, TransferLimits};
    /// use std::time::{Duration, Instant};
    ///
    /// let start = Instant::now();
    /// let lease_end = start + Duration::from_millis(200);
    /// let limits = TransferLimits::fixed(Duration::from_secs(1));
    /// let deadline = TransferDeadline::new(start, limits).send_before(lease_end);
    /// assert!(deadline.may_send(start));
    /// assert!(!deadline.may_send(lease_end));
    /// ```
    pub fn may_send(&self, now: Instant) -> bool {
        now < self.send_before
    }

    /// Returns when the call times out, unless more bytes arrive before.
    pub fn at(&self) -> Instant {
        self.deadline
    }

    /// Records that bytes of the response arrived.
    pub fn record_progress(&mut self, now: Instant) {
        let last = self.started_at + self.limits.total;
        self.deadline = self.deadline.max((now + self.limits.stall).min(last));
    }
}
