//! Limits of retries: a budget, which prevents a retry storm when a group becomes available again,
//! and a pace for calls to a service that fails.

use std::time::Duration;
use std::time::Instant;

/// The tokens that one retry costs. Each request adds one token.
const RETRY_COST_TOKENS: u32 = 10;

/// A token bucket that allows one retry for every ten requests, up to a burst.
///
/// # Examples
///
/// ```
/// use endivereach_core::retry::RetryBudget;
///
/// let mut budget = RetryBudget::new(1);
/// assert!(budget.try_spend());
/// assert!(!budget.try_spend());
/// for _ in 0..10 {
///     budget.earn();
/// }
/// assert!(budget.try_spend());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens: u32,
    tokens_max: u32,
}

impl RetryBudget {
    /// Creates a budget that starts with `burst` retries, which is also its maximum.
    pub const fn new(burst: u32) -> Self {
        Self {
            tokens: burst * RETRY_COST_TOKENS,
            tokens_max: burst * RETRY_COST_TOKENS,
        }
    }

    /// Adds the token of a new request.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + 1).min(self.tokens_max);
    }

    /// Consumes one retry, and returns whether the budget allowed it.
    pub fn try_spend(&mut self) -> bool {
        if self.tokens < RETRY_COST_TOKENS {
            return false;
        }
        self.tokens -= RETRY_COST_TOKENS;
        true
    }
}

/// The delay after the first failure.
const PACE_DELAY_MIN: Duration = Duration::from_millis(80);

/// The maximum delay between failures. It bounds how late a recovery is noticed.
const PACE_DELAY_MAX: Duration = Duration::from_millis(1_400);

/// The pace of calls to a service that fails, shared by all calls of a process.
///
/// # Examples
///
/// ```
/// use endivereach_core::retry::RetryPace;
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mut pace = RetryPace::default();
/// assert!(pace.is_due(now));
/// pace.record_failure(now, 1.0);
/// assert!(pace.is_failing() && !pace.is_due(now));
/// assert!(pace.is_due(now + Duration::from_millis(80)));
/// assert!(pace.record_success(), "it had failed before");
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryPace {
    /// The delay after the last failure, or `None` after a success.
    delay: Option<Duration>,
    retry_at: Option<Instant>,
}

impl RetryPace {
    /// Returns whether the last call failed.
    pub fn is_failing(&self) -> bool {
        self.delay.is_some()
    }

    /// Returns whether a call may be made now.
    pub fn is_due(&self, now: Instant) -> bool {
        self.retry_at.is_none_or(|retry_at| now >= retry_at)
    }

    /// Records that a call was started, which ends after `timeout` at the latest. If the last call
    /// failed, the next one isn't due before this one has ended.
    pub fn record_attempt(&mut self, now: Instant, timeout: Duration) {
        if self.is_failing() {
            self.retry_at = Some(now + timeout);
        }
    }

    /// Records that a call failed. `jitter`, from 0 to 1, spreads the retries of different
    /// processes.
    pub fn record_failure(&mut self, now: Instant, jitter: f64) {
        let delay = self
            .delay
            .map_or(PACE_DELAY_MIN, |delay| (delay * 2).min(PACE_DELAY_MAX));
        self.delay = Some(delay);
        self.retry_at = Some(now + delay.mul_f64(0.5 + jitter / 2.0));
    }

    /// Records that a call succeeded. Returns whether the last one had failed.
    pub fn record_success(&mut self) -> bool {
        let was_failing = self.is_failing();
        *self = Self::default();
        was_failing
    }
}
