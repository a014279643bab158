//! A retry budget, which prevents a retry storm when a group becomes available again.

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
