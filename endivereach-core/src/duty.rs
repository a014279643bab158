//! The promotion duty: an exclusive lease on ordering promotions, with an increasing fencing token.
//!
//! The lease is one object in the platform. A process acquires it by a conditional write, and the
//! object's new position is the fencing token. The holder issues promotion orders only for
//! [`HOLD_DURATION`] after it sent the write. Another process acquires the lease only after it has
//! observed the object unchanged, or absent, for [`TAKEOVER_DELAY`]. So an order with a lower token is
//! never issued after one with a higher token, even if the platform doesn't compare tokens.
//!
//! A store that returns from a copy may have lost the newest lease, so an observation of an earlier
//! era, or an absent object, doesn't show that no process holds it.

use crate::engine::statement::FencingToken;
use crate::ids::ProxyId;
use crate::ids::Version;
use crate::retry::RetryPace;
use crate::store_era::StorePosition;
use std::time::Duration;
use std::time::Instant;

/// How long orders may be issued after the write for the duty was sent.
///
/// Long enough for a promotion with its retries.
pub const HOLD_DURATION: Duration = Duration::from_millis(1_500);

/// How long the object must be unchanged or absent before this process may take over.
///
/// Exceeds [`HOLD_DURATION`] by the longest time that an order can be in flight before its sender
/// times out.
pub const TAKEOVER_DELAY: Duration = Duration::from_millis(2_500);

/// The timeout of a write for the duty, after which the object is read again.
pub const WRITE_TIMEOUT: Duration = Duration::from_millis(600);

crate::data! {
    /// The content of the object.
    pub struct DutyClaim {
        /// The process that wrote the object.
        pub holder: ProxyId,
        /// A number that differs between any two writes by the same process.
        pub write_attempt: u64,
    }
}

/// The last observed state of the object.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ObservedObject {
    position: StorePosition,
    claim: DutyClaim,
    first_seen_at: Instant,
}

/// The last write of this process in the current era of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LastWrite {
    attempt: u64,
    sent_at: Instant,
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
/// use endivereach_core::duty::{Duty, DutyAction, TAKEOVER_DELAY};
/// use endivereach_core::ids::{Era, Version};
/// use endivereach_core::store_era::StorePosition;
/// use std::time::Instant;
///
/// let mut now = Instant::now();
/// let mut duty = Duty::new("entry-1#7".parse().unwrap());
/// assert_eq!(duty.step(now), DutyAction::Read);
/// duty.record_absent(now);
/// assert_eq!(duty.step(now), DutyAction::Wait);
/// now += TAKEOVER_DELAY;
/// assert_eq!(duty.step(now), DutyAction::Write { expected: None });
/// let claim = duty.record_write_sent(now);
/// let position = StorePosition { era: Era::new(0), version: Version::new(9) };
/// duty.record_holder(position, claim, now);
/// assert_eq!(duty.held(now).unwrap().token.get(), 9);
/// ```
#[derive(Clone, Debug)]
pub struct Duty {
    own_id: ProxyId,
    /// Since when the object is known to be absent.
    absent_since: Option<Instant>,
    observed: Option<ObservedObject>,
    write_attempts: u64,
    last_write: Option<LastWrite>,
    is_write_pending: bool,
    held: Option<DutyLease>,
    /// The pace of calls that the platform refuses.
    refused_pace: RetryPace,
}

impl Duty {
    /// Creates the view of a process that has not read the object yet.
    pub fn new(own_id: ProxyId) -> Self {
        Self {
            own_id,
            absent_since: None,
            observed: None,
            write_attempts: 0,
            last_write: None,
            is_write_pending: false,
            held: None,
            refused_pace: RetryPace::default(),
        }
    }

    /// Returns the next step towards acquiring the duty.
    pub fn step(&self, now: Instant) -> DutyAction {
        if !self.refused_pace.is_due(now) {
            return DutyAction::Wait;
        }
        if self.is_write_pending {
            let has_timed_out = |write: LastWrite| now >= write.sent_at + WRITE_TIMEOUT;
            return if self.last_write.is_some_and(has_timed_out) {
                DutyAction::Read
            } else {
                DutyAction::Wait
            };
        }
        let (expected, unchanged_since) = match (&self.observed, self.absent_since) {
            (Some(observed), _) => (Some(observed.position.version), observed.first_seen_at),
            (None, Some(absent_since)) => (None, absent_since),
            (None, None) => return DutyAction::Read,
        };
        let is_renewal = self
            .observed
            .as_ref()
            .is_some_and(|observed| self.last_write_of(&observed.claim).is_some());
        if is_renewal || now >= unchanged_since + TAKEOVER_DELAY {
            DutyAction::Write { expected }
        } else {
            DutyAction::Wait
        }
    }

    /// Returns this process's last write if a claim comes from it.
    ///
    /// An earlier write may take effect late. When it did isn't known, so it gives no lease. Neither
    /// does a write of an earlier era, even if the object still names this process.
    fn last_write_of(&self, claim: &DutyClaim) -> Option<LastWrite> {
        let is_last = |write: &LastWrite| write.attempt == claim.write_attempt;
        let last_write = self.last_write.filter(is_last);
        last_write.filter(|_| claim.holder == self.own_id)
    }

    /// Records that a conditional write is sent at `now`, and returns the content to write.
    pub fn record_write_sent(&mut self, now: Instant) -> DutyClaim {
        self.write_attempts += 1;
        self.last_write = Some(LastWrite {
            attempt: self.write_attempts,
            sent_at: now,
        });
        self.is_write_pending = true;
        // If the write succeeds, its position replaces the old token.
        self.held = None;
        DutyClaim {
            holder: self.own_id.clone(),
            write_attempt: self.write_attempts,
        }
    }

    /// Records that the object doesn't exist.
    pub fn record_absent(&mut self, now: Instant) {
        self.refused_pace.record_success();
        self.is_write_pending = false;
        self.observed = None;
        self.absent_since.get_or_insert(now);
    }

    /// Records that a list that is complete up to `listed` doesn't contain the object.
    pub fn record_unlisted(&mut self, listed: StorePosition, now: Instant) {
        let is_newer = |observed: &ObservedObject| observed.position > listed;
        if !self.observed.as_ref().is_some_and(is_newer) {
            self.record_absent(now);
        }
    }

    /// Records the object that the platform returned when it rejected a write.
    ///
    /// The answer shows the object as it is. If its position is lower than the observed one, the
    /// observation came from a history that the store has lost.
    pub fn record_conflict(&mut self, position: StorePosition, claim: DutyClaim, now: Instant) {
        self.observed
            .take_if(|observed| position < observed.position);
        self.record_holder(position, claim, now);
        self.is_write_pending = false;
    }

    /// Records a position of the object from a read, a watch or the reply to a write.
    pub fn record_holder(&mut self, position: StorePosition, claim: DutyClaim, now: Instant) {
        self.refused_pace.record_success();
        let is_newer = self
            .observed
            .as_ref()
            .is_none_or(|observed| position > observed.position);
        if !is_newer {
            return;
        }
        // The write may have taken effect late, so the lease starts when it was sent.
        let last_write = self.last_write_of(&claim);
        self.held = last_write
            .zip(position.token())
            .map(|(write, token)| DutyLease {
                token,
                expires_at: write.sent_at + HOLD_DURATION,
            });
        self.is_write_pending = false;
        self.absent_since = None;
        self.observed = Some(ObservedObject {
            position,
            claim,
            first_seen_at: now,
        });
    }

    /// Gives the duty up, because the store has returned from a copy. The copy may lack the lease of
    /// this process or of another one, so the object must be observed anew.
    pub fn enter_era(&mut self) {
        self.held = None;
        self.last_write = None;
        self.is_write_pending = false;
        self.observed = None;
        self.absent_since = None;
    }

    /// Records that the platform refused a call. `jitter`, from 0 to 1, spreads the retries of
    /// different processes.
    pub fn record_refused(&mut self, now: Instant, jitter: f64) {
        self.is_write_pending = false;
        self.refused_pace.record_failure(now, jitter);
    }

    /// Ends the delay after refused calls, because the platform answers other calls again.
    pub fn end_refused_delay(&mut self) {
        self.refused_pace.record_success();
    }

    /// Records that the write was rejected, or that a read after a lost reply found the object
    /// unchanged.
    pub fn record_write_failed(&mut self) {
        self.is_write_pending = false;
    }

    /// Returns when a write for the duty, by any process, was last observed. Its writer may be running a
    /// promotion.
    pub fn changed_at(&self) -> Option<Instant> {
        self.observed
            .as_ref()
            .map(|observed| observed.first_seen_at)
    }

    /// Returns the token if it hasn't expired at `now`.
    pub fn held(&self, now: Instant) -> Option<DutyLease> {
        self.held.filter(|held| now < held.expires_at)
    }
}
