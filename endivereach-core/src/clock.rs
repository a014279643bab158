//! Sources of time, which are passed to the code that depends on time.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// A source of monotonic time.
pub trait Clock: Send + Sync {
    /// Returns the current time. It never decreases from one call to the next.
    fn now(&self) -> Instant;
}

/// The operating system's monotonic clock.
///
/// # Examples
///
/// ```
/// use endivereach_core::clock::{Clock, SystemClock};
/// let before = SystemClock.now();
/// assert!(SystemClock.now() >= before);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }
}

/// A clock for tests that only changes when it is advanced.
///
/// # Examples
///
/// ```
/// use endivereach_core::clock::{Clock, ManualClock};
/// use std::time::Duration;
/// let clock = ManualClock::new();
/// let before = clock.now();
/// clock.advance(Duration::from_millis(5));
/// assert_eq!(clock.now() - before, Duration::from_millis(5));
/// ```
#[derive(Debug)]
pub struct ManualClock {
    now: Mutex<Instant>,
}

impl ManualClock {
    /// Creates a clock that starts at the current time of the system clock.
    pub fn new() -> Self {
        Self {
            now: Mutex::new(Instant::now()),
        }
    }

    /// Advances the clock by the given duration.
    pub fn advance(&self, by: Duration) {
        *self.now.lock().unwrap_or_else(PoisonError::into_inner) += by;
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        *self.now.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<C: Clock> Clock for std::sync::Arc<C> {
    fn now(&self) -> Instant {
        (**self).now()
    }
}
