//! Eras of the platform's store. A store that returns from a copy loses its newest changes and
//! assigns their versions again, so versions are comparable only within one era.

use crate::engine::statement::FencingToken;
use crate::ids::Era;
use crate::ids::Version;
use std::fmt;

/// The number of bits of a fencing token that contain the version. At 1,200 changes a second, the
/// store assigns fewer versions in 29 years.
const VERSION_BITS: u32 = 40;

/// The number of bits of a fencing token. Every such number is represented exactly as a
/// double-precision float, in which a receiver may store it.
const TOKEN_BITS: u32 = 53;

crate::value! {
    /// A version of the store, with the era in which it was assigned.
    ///
    /// # Examples
    ///
    /// ```
    /// use endivereach_core::ids::{Era, Version};
    /// use endivereach_core::store_era::StorePosition;
    ///
    /// let before = StorePosition { era: Era::new(3), version: Version::new(900) };
    /// let after = StorePosition { era: Era::new(4), version: Version::new(12) };
    /// assert!(after > before);
    /// assert!(after.token() > before.token());
    /// ```
    pub struct StorePosition {
        /// The era, which is compared first.
        pub era: Era,
        /// The version within the era.
        pub version: Version,
    }
}

impl StorePosition {
    /// Returns the fencing token of a duty that was acquired at this position. Tokens have the order
    /// of their positions.
    ///
    /// Returns `None` if the era or the version exceeds the range of tokens: eras below 2^13 and
    /// versions below 2^40.
    pub fn token(self) -> Option<FencingToken> {
        let era = self.era.get();
        let version = self.version.get();
        let is_in_range = era >> (TOKEN_BITS - VERSION_BITS) == 0 && version >> VERSION_BITS == 0;
        is_in_range.then(|| FencingToken::new(era << VERSION_BITS | version))
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.version)
    }
}

/// How the era of an answer compares with those of earlier answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraChange {
    /// The answer has the current era, or it is the first answer.
    Unchanged,
    /// The store has returned from a copy since the era `before`.
    Newer {
        /// The era until now.
        before: Era,
    },
    /// The answer was given before the store returned from a copy, and must be ignored.
    Older,
}

/// The newest era that a process has seen.
///
/// # Examples
///
/// ```
/// use endivereach_core::ids::Era;
/// use endivereach_core::store_era::{EraChange, EraTracker};
///
/// let mut tracker = EraTracker::default();
/// assert_eq!(tracker.observe(Era::new(2)), EraChange::Unchanged);
/// assert_eq!(tracker.observe(Era::new(3)), EraChange::Newer { before: Era::new(2) });
/// assert_eq!(tracker.observe(Era::new(2)), EraChange::Older);
/// assert_eq!(tracker.current(), Era::new(3));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct EraTracker {
    current: Option<Era>,
}

impl EraTracker {
    /// Returns the newest era, or the first one before any answer.
    pub fn current(&self) -> Era {
        self.current.unwrap_or_default()
    }

    /// Records the era of an answer.
    pub fn observe(&mut self, era: Era) -> EraChange {
        match self.current {
            Some(current) if era < current => EraChange::Older,
            Some(current) if era > current => {
                self.current = Some(era);
                EraChange::Newer { before: current }
            }
            _ => {
                self.current = Some(era);
                EraChange::Unchanged
            }
        }
    }
}
