//! The entry of a process in the platform's list of proxies: when it is written, and when it is
//! written again.
//!
//! Nothing removes an entry but the process itself, so the entry of an earlier process of the same
//! VM is replaced. An entry that is missing although it was written was lost when the store returned
//! from a copy.

use crate::ids::Version;
use std::time::Duration;
use std::time::Instant;

/// The number of registrations a second of all proxies together, when all write theirs again.
const REWRITES_PER_S: u32 = 100;

/// The longest delay after a write that wasn't confirmed.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(700);

/// The next write of the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationAction {
    /// The entry is written, or the next write isn't due.
    Wait,
    /// Write the entry on condition that it doesn't exist.
    Create,
    /// Replace the entry on condition that its version is `expected`.
    Replace {
        /// The version that the write requires.
        expected: Version,
    },
    /// Remove the entry.
    Remove,
}

/// The removal of the entry during a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Removal {
    NotRequested,
    Requested,
    Sent,
    Confirmed,
}

/// The state of this process's entry.
///
/// # Examples
///
/// ```
/// use endivereach_core::ids::Version;
/// use endivereach_core::registration::{Registration, RegistrationAction};
/// use std::time::Instant;
///
/// let now = Instant::now();
/// let mut registration = Registration::new(now);
/// assert_eq!(registration.step(now), RegistrationAction::Create);
/// registration.record_sent(now, 0.5);
/// registration.record_entry(now, Version::new(8), true);
/// assert_eq!(registration.step(now), RegistrationAction::Wait);
/// ```
#[derive(Clone, Debug)]
pub struct Registration {
    /// The version at which this process's entry was written.
    written_at: Option<Version>,
    /// The version of the entry that an earlier process of this VM wrote.
    foreign_version: Option<Version>,
    next_write_at: Instant,
    removal: Removal,
}

impl Registration {
    /// Creates the state of a process that starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            written_at: None,
            foreign_version: None,
            next_write_at: now,
            removal: Removal::NotRequested,
        }
    }

    /// Returns the time over which `proxy_count` proxies spread the writes of their entries.
    pub fn spread(proxy_count: u32) -> Duration {
        Duration::from_secs(1) * proxy_count / REWRITES_PER_S
    }

    /// Requests the removal of the entry, as soon as a write that is under way has ended. Nothing is
    /// written afterwards.
    pub fn request_removal(&mut self, now: Instant) {
        if self.removal == Removal::NotRequested {
            self.removal = Removal::Requested;
            self.next_write_at = now;
        }
    }

    /// Returns whether the removal of the entry was requested.
    pub fn is_removal_requested(&self) -> bool {
        self.removal != Removal::NotRequested
    }

    /// Records whether the store confirmed the last call. Without a confirmation the removal is
    /// repeated.
    pub fn record_removal_result(&mut self, is_confirmed: bool) {
        self.removal = match self.removal {
            Removal::Sent if is_confirmed => Removal::Confirmed,
            Removal::Sent => Removal::Requested,
            // The call was a write that was under way when the removal was requested.
            other => other,
        };
    }

    /// Returns the next call if one is due.
    pub fn step(&self, now: Instant) -> RegistrationAction {
        if self.is_removal_requested() {
            let is_due = self.removal == Removal::Requested && now >= self.next_write_at;
            return if is_due {
                RegistrationAction::Remove
            } else {
                RegistrationAction::Wait
            };
        }
        if self.written_at.is_some() || now < self.next_write_at {
            return RegistrationAction::Wait;
        }
        match self.foreign_version {
            Some(expected) => RegistrationAction::Replace { expected },
            None => RegistrationAction::Create,
        }
    }

    /// Records that a call was sent. `jitter`, from 0 to 1, spreads the retries of different
    /// processes.
    pub fn record_sent(&mut self, now: Instant, jitter: f64) {
        self.next_write_at = now + RETRY_DELAY_MAX.mul_f64(0.5 + jitter / 2.0);
        if self.removal == Removal::Requested {
            self.removal = Removal::Sent;
        }
    }

    /// Records the entry that the store returned in its answer to a write. `is_own` is false if an
    /// earlier process wrote it.
    pub fn record_entry(&mut self, now: Instant, version: Version, is_own: bool) {
        if is_own {
            self.written_at = Some(version);
        } else {
            self.foreign_version = Some(version);
            self.next_write_at = now;
        }
    }

    /// Records that the entry to replace doesn't exist.
    pub fn record_absent(&mut self, now: Instant) {
        self.foreign_version = None;
        self.next_write_at = now;
    }

    /// Records whether a list that is complete up to `store_version` contains this process's entry.
    /// An entry that is missing is written again; `jitter` spreads the writes of `proxy_count`
    /// proxies.
    pub fn record_list(
        &mut self,
        now: Instant,
        store_version: Version,
        is_listed: bool,
        proxy_count: u32,
        jitter: f64,
    ) {
        let is_known = |written_at: Version| store_version >= written_at;
        if !is_listed && self.written_at.is_some_and(is_known) {
            self.rewrite(now, proxy_count, jitter);
        }
    }

    /// Schedules a write of the entry, which the store may have lost. `jitter` spreads the writes
    /// of `proxy_count` proxies.
    pub fn rewrite(&mut self, now: Instant, proxy_count: u32, jitter: f64) {
        self.written_at = None;
        self.foreign_version = None;
        self.next_write_at = now + Self::spread(proxy_count).mul_f64(jitter);
    }
}
