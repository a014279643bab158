//! A budget for retries, so that a group that returns isn't met by a storm of them.

/// What one retry costs, in parts that requests pay in.
const RETRY_COST: u32 = 10;

/// Retries allowed in proportion to requests: one for every ten, up to a burst.
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
    parts: u32,
    parts_max: u32,
}

impl RetryBudget {
    /// Creates a budget that starts with, and never holds more than, `burst` retries.
    pub const fn new(burst: u32) -> Self {
        Self {
            parts: burst * RETRY_COST,
            parts_max: burst * RETRY_COST,
        }
    }

    /// A request arrived.
    pub fn earn(&mut self) {
        self.parts = (self.parts + 1).min(self.parts_max);
    }

    /// Takes one retry out of the budget, and returns whether there was one.
    pub fn try_spend(&mut self) -> bool {
        if self.parts < RETRY_COST {
            return false;
        }
        self.parts -= RETRY_COST;
        true
    }
}
