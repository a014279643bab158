//! Limits of retries: a budget, which prevents a retry storm when a group becomes available again,
//! and a pace for calls to a service that fails.

use crate::tenants::TenantName;
use std::collections::BTreeMap;
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
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
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

/// The maximum number of tenants' budgets, which bounds the memory.
const BUDGETS_MAX: usize = 512;

/// A [`RetryBudget`] for each tenant, so that the retries of one don't use up those of another.
///
/// # Examples
///
/// ```
/// use endivereach_core::retry::RetryBudgets;
///
/// let mut budgets = RetryBudgets::new(20, 1);
/// let [hot, small] = ["harbour", "pilots"].map(|name| Some(name.into()));
/// assert!(budgets.try_spend(&hot));
/// assert!(!budgets.try_spend(&hot));
/// assert!(budgets.try_spend(&small));
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudgets {
    shared: RetryBudget,
    tenant_burst: u32,
    tenants: BTreeMap<TenantName, RetryBudget>,
}

impl RetryBudgets {
    /// Creates budgets that start with `burst` retries for callers without a tenant, and with
    /// `tenant_burst` for each tenant.
    pub const fn new(burst: u32, tenant_burst: u32) -> Self {
        Self {
            shared: RetryBudget::new(burst),
            tenant_burst,
            tenants: BTreeMap::new(),
        }
    }

    /// Adds the token of a new request of a tenant.
    pub fn earn(&mut self, tenant: &Option<TenantName>) {
        self.budget(tenant).earn();
    }

    /// Consumes one retry of a tenant, and returns whether its budget allowed it.
    pub fn try_spend(&mut self, tenant: &Option<TenantName>) -> bool {
        self.budget(tenant).try_spend()
    }

    fn budget(&mut self, tenant: &Option<TenantName>) -> &mut RetryBudget {
        let Some(tenant) = tenant else {
            return &mut self.shared;
        };
        let full = RetryBudget::new(self.tenant_burst);
        if !self.tenants.contains_key(tenant) {
            if self.tenants.len() >= BUDGETS_MAX {
                // A full budget holds no information.
                self.tenants.retain(|_, budget| *budget != full);
            }
            if self.tenants.len() >= BUDGETS_MAX {
                return &mut self.shared;
            }
        }
        self.tenants.entry(tenant.clone()).or_insert(full)
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
