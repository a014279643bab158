//! The duty to promote: one holder at a time, and a token that rises whenever it is taken.
//!
//! The duty is one object of the platform. A process takes it by a conditional write, and the
//! object's new version is the fencing token. Orders under a token are given only for
//! [`HOLD_DURATION`] after the write was sent; another process takes the duty only after it has seen
//! the object unchanged for [`TAKEOVER_DELAY`]. So orders under a lower token never follow orders
//! under a higher one, also when the platform doesn't compare tokens.

use crate::engine::statement::FencingToken;
use crate::ids::ProxyId;
use crate::ids::Version;
use std::time::Duration;
use std::time::Instant;

/// How long orders may be given after the duty was asked for. It covers a promotion with its retries.
pub const HOLD_DURATION: Duration = Duration::from_millis(1_500);

/// How long another holder's object must be unchanged. It exceeds [`HOLD_DURATION`] by the longest
/// time that an order is on its way before its sender gives up on it.
pub const TAKEOVER_DELAY: Duration = Duration::from_millis(2_500);

/// How long an unanswered request for the duty counts as pending before the object is read again.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

/// The object as it was last seen.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Seen {
    version: Version,
    holder: ProxyId,
    since: Instant,
}

/// A token, and until when orders may be given under it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// The token.
    pub token: FencingToken,
    /// The end of its use.
    pub until: Instant,
}

/// What may be done about the duty now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Write the object, if its version is still this one; `None` if it must not exist yet.
    Write {
        /// The expected version.
        expected: Option<Version>,
    },
    /// Read the object, because its state isn't known.
    Read,
    /// Wait: another process may still give orders, or an answer is outstanding.
    Wait,
}

/// One process's view of the duty.
///
/// # Examples
///
/// ```
/// use endivereach_core::duty::{Duty, Step};
/// use endivereach_core::ids::Version;
/// use std::time::Instant;
///
/// let now = Instant::now();
/// let mut duty = Duty::new("entry-1#7".parse().unwrap());
/// assert_eq!(duty.step(now), Step::Read);
/// duty.observe_absent();
/// assert_eq!(duty.step(now), Step::Write { expected: None });
/// duty.note_asked(now);
/// duty.observe(Version::new(9), "entry-1#7".parse().unwrap(), now);
/// assert_eq!(duty.held(now).unwrap().token.get(), 9);
/// ```
#[derive(Clone, Debug)]
pub struct Duty {
    own: ProxyId,
    is_known: bool,
    seen: Option<Seen>,
    asked_at: Option<Instant>,
    is_pending: bool,
    held: Option<Held>,
}

impl Duty {
    /// Creates the view of a process that has read nothing yet.
    pub fn new(own: ProxyId) -> Self {
        Self {
            own,
            is_known: false,
            seen: None,
            asked_at: None,
            is_pending: false,
            held: None,
        }
    }

    /// Returns what may be done to get the duty.
    pub fn step(&self, now: Instant) -> Step {
        if self.is_pending {
            let is_late = |asked_at: Instant| now >= asked_at + ANSWER_TIMEOUT;
            return if self.asked_at.is_some_and(is_late) {
                Step::Read
            } else {
                Step::Wait
            };
        }
        if !self.is_known {
            return Step::Read;
        }
        match &self.seen {
            None => Step::Write { expected: None },
            Some(seen) if seen.holder == self.own || now >= seen.since + TAKEOVER_DELAY => {
                Step::Write {
                    expected: Some(seen.version),
                }
            }
            Some(_) => Step::Wait,
        }
    }

    /// A conditional write was sent.
    pub fn note_asked(&mut self, now: Instant) {
        self.asked_at = Some(now);
        self.is_pending = true;
        self.held = None;
    }

    /// The object doesn't exist.
    pub fn observe_absent(&mut self) {
        self.is_known = true;
        self.is_pending = false;
        self.seen = None;
    }

    /// The object was seen, by a read, a watch or the answer to a write.
    pub fn observe(&mut self, version: Version, holder: ProxyId, now: Instant) {
        self.is_known = true;
        let is_newer = self.seen.as_ref().is_none_or(|seen| version > seen.version);
        if !is_newer {
            return;
        }
        if holder == self.own {
            // A write that was carried out late is held from when it was asked for, not from now.
            self.held = self.asked_at.map(|asked_at| Held {
                token: FencingToken::new(version.get()),
                until: asked_at + HOLD_DURATION,
            });
        } else {
            self.held = None;
        }
        self.is_pending = false;
        self.seen = Some(Seen {
            version,
            holder,
            since: now,
        });
    }

    /// The write was refused, or the object was read unchanged after an answer was lost.
    pub fn note_not_written(&mut self) {
        self.is_pending = false;
    }

    /// Returns the token, while orders may be given under it.
    pub fn held(&self, now: Instant) -> Option<Held> {
        self.held.filter(|held| now < held.until)
    }
}
