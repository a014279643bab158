//! The promotion duty: an exclusive lease on ordering promotions, with an increasing fencing token.
//!
//! The lease is one object in the platform. A process acquires it by a conditional write, and the
//! object's new version is the fencing token. The holder issues promotion orders only for
//! [`HOLD_DURATION`] after it sent the write. Another process acquires the lease only after it has
//! observed the object unchanged for [`TAKEOVER_DELAY`]. So an order with a lower token is never
//! issued after one with a higher token, even if the platform doesn't compare tokens.

use crate::engine::statement::FencingToken;
use crate::ids::ProxyId;
use crate::ids::Version;
use std::time::Duration;
use std::time::Instant;

/// How long orders may be issued after the write for the duty was sent.
///
/// Long enough for a promotion with its retries.
pub const HOLD_DURATION: Duration = Duration::from_millis(1_500);

/// How long another holder's object must be unchanged before this process may take over.
///
/// Exceeds [`HOLD_DURATION`] by the longest time that an order can be in flight before its sender
/// times out.
pub const TAKEOVER_DELAY: Duration = Duration::from_millis(2_500);

/// The timeout of a write for the duty, after which the object is read again.
pub const WRITE_TIMEOUT: Duration = Duration::from_millis(600);

/// The last observed state of the object.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ObservedObject {
    version: Version,
    holder: ProxyId,
    first_seen_at: Instant,
}

/// A fencing token with its expiry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DutyLease {
    /// The fencing token that orders carry.
    pub token: FencingToken,
    /// The time at which the token expires.
    pub expires_at: Instant,
}

/// The next action towards acquiring the duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyAction {
    /// Write the object on condition that its version is `expected`; `None` means that it must not
    /// exist.
    Write {
        /// The version that the conditional write requires.
        expected: Option<Version>,
    },
    /// Read the object because its state is unknown.
    Read,
    /// Wait, because another process may still issue orders or a write is unanswered.
    Wait,
}

/// One process's view of the promotion duty.
///
/// # Examples
///
/// ```
/// use endivereach_core::duty::{Duty, DutyAction};
/// use endivereach_core::ids::Version;
/// use std::time::Instant;
///
/// let now = Instant::now();
/// let mut duty = Duty::new("entry-1#7".parse().unwrap());
/// assert_eq!(duty.step(now), DutyAction::Read);
/// duty.record_absent();
/// assert_eq!(duty.step(now), DutyAction::Write { expected: None });
/// duty.record_write_sent(now);
/// duty.record_holder(Version::new(9), "entry-1#7".parse().unwrap(), now);
/// assert_eq!(duty.held(now).unwrap().token.get(), 9);
/// ```
#[derive(Clone, Debug)]
pub struct Duty {
    own_id: ProxyId,
    is_object_known: bool,
    observed: Option<ObservedObject>,
    write_sent_at: Option<Instant>,
    is_write_pending: bool,
    held: Option<DutyLease>,
}

impl Duty {
    /// Creates the view of a process that has not read the object yet.
    pub fn new(own_id: ProxyId) -> Self {
        Self {
            own_id,
            is_object_known: false,
            observed: None,
            write_sent_at: None,
            is_write_pending: false,
            held: None,
        }
    }

    /// Returns the next step towards acquiring the duty.
    pub fn step(&self, now: Instant) -> DutyAction {
        if self.is_write_pending {
            let has_timed_out = |write_sent_at: Instant| now >= write_sent_at + WRITE_TIMEOUT;
            return if self.write_sent_at.is_some_and(has_timed_out) {
                DutyAction::Read
            } else {
                DutyAction::Wait
            };
        }
        if !self.is_object_known {
            return DutyAction::Read;
        }
        match &self.observed {
            None => DutyAction::Write { expected: None },
            Some(observed)
                if observed.holder == self.own_id
                    || now >= observed.first_seen_at + TAKEOVER_DELAY =>
            {
                DutyAction::Write {
                    expected: Some(observed.version),
                }
            }
            Some(_) => DutyAction::Wait,
        }
    }

    /// Records that a conditional write was sent at `now`.
    pub fn record_write_sent(&mut self, now: Instant) {
        self.write_sent_at = Some(now);
        self.is_write_pending = true;
        // If the write succeeds, its version replaces the old token.
        self.held = None;
    }

    /// Records that the object doesn't exist.
    pub fn record_absent(&mut self) {
        self.is_object_known = true;
        self.is_write_pending = false;
        self.observed = None;
    }

    /// Records a version of the object from a read, a watch or the reply to a write.
    pub fn record_holder(&mut self, version: Version, holder: ProxyId, now: Instant) {
        self.is_object_known = true;
        let is_newer = self
            .observed
            .as_ref()
            .is_none_or(|observed| version > observed.version);
        if !is_newer {
            return;
        }
        if holder == self.own_id {
            // The write may have taken effect late, so the lease starts when it was sent.
            self.held = self.write_sent_at.map(|write_sent_at| DutyLease {
                token: FencingToken::new(version.get()),
                expires_at: write_sent_at + HOLD_DURATION,
            });
        } else {
            self.held = None;
        }
        self.is_write_pending = false;
        self.observed = Some(ObservedObject {
            version,
            holder,
            first_seen_at: now,
        });
    }

    /// Records that the write was rejected, or that a read after a lost reply found the object
    /// unchanged.
    pub fn record_write_failed(&mut self) {
        self.is_write_pending = false;
    }

    /// Returns the token if it hasn't expired at `now`.
    pub fn held(&self, now: Instant) -> Option<DutyLease> {
        self.held.filter(|held| now < held.expires_at)
    }
}
