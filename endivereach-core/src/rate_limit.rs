//! A token bucket. Load: one tenant sends several times its usual rate.
//!
//! Arithmetic is exact: a token consists of two thousand million units, and a rate of whole or half
//! tokens a second adds a whole number of units in each nanosecond.

use crate::tenants::TenantLimits;
use std::time::Duration;
use std::time::Instant;

/// The units of one token. Half a token a second is one unit in each nanosecond.
const UNITS_PER_TOKEN: u128 = 2_000_000_000;

/// How much of a tenant's rate and burst a bucket holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Share {
    /// Half of the rate and of the burst.
    Half,
    /// The whole rate and burst.
    Whole,
}

/// By how much a tenant may exceed its limit in a sliding window, over all proxies.
///
/// # Examples
///
/// ```
/// use endivereach_core::rate_limit::Tolerance;
/// use endivereach_core::tenants::TenantLimits;
/// use std::time::Duration;
///
/// let tolerance = Tolerance {
///     window: Duration::from_secs(5),
///     overage: 0.1,
///     slack: 20,
/// };
/// let limits = TenantLimits { rate_per_s: 30, burst: 50 };
/// assert_eq!(tolerance.operations(limits), 40);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// The length of the window.
    pub window: Duration,
    /// The part of the window's limit by which a tenant may exceed it; 0.1 is a tenth.
    pub overage: f64,
    /// The number of operations by which a tenant may exceed the limit besides.
    pub slack: u32,
}

impl Tolerance {
    /// Returns the number of operations by which a window may exceed a tenant's limit.
    pub fn operations(&self, limits: TenantLimits) -> u32 {
        let of_rate = f64::from(limits.rate_per_s) * self.window.as_secs_f64();
        let overage = (of_rate + f64::from(limits.burst)) * self.overage;
        // The conversion saturates, and turns what isn't a number into zero.
        self.slack.saturating_add(overage as u32)
    }
}

/// A bucket of tokens that fills at a constant rate up to a burst.
///
/// # Examples
///
/// ```
/// use endivereach_core::rate_limit::{Share, TokenBucket};
/// use endivereach_core::tenants::TenantLimits;
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let limits = TenantLimits { rate_per_s: 4, burst: 2 };
/// let mut bucket = TokenBucket::empty(now, limits, Share::Whole);
/// assert!(!bucket.take(now));
/// assert_eq!(bucket.time_until_token(now), Some(Duration::from_millis(250)));
/// assert!(bucket.take(now + Duration::from_millis(250)));
/// ```
#[derive(Clone, Debug)]
pub struct TokenBucket {
    limits: TenantLimits,
    share: Share,
    level_units: u128,
    filled_at: Instant,
}

impl TokenBucket {
    /// Creates a bucket without tokens. A new holder must not add a burst to that of its
    /// predecessor.
    pub fn empty(now: Instant, limits: TenantLimits, share: Share) -> Self {
        Self {
            limits,
            share,
            level_units: 0,
            filled_at: now,
        }
    }

    /// Returns the limits of which the bucket holds a share.
    pub fn limits(&self) -> TenantLimits {
        self.limits
    }

    /// Returns the share of the tenant's limits that the bucket holds.
    pub fn share(&self) -> Share {
        self.share
    }

    fn units_per_ns(&self) -> u128 {
        let rate = u128::from(self.limits.rate_per_s);
        match self.share {
            Share::Half => rate,
            Share::Whole => rate * 2,
        }
    }

    fn level_max(&self) -> u128 {
        let whole = u128::from(self.limits.burst) * UNITS_PER_TOKEN;
        match self.share {
            // Half of a burst of one token would never admit anything.
            Share::Half => (whole / 2).max(whole.min(UNITS_PER_TOKEN)),
            Share::Whole => whole,
        }
    }

    fn fill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled_at);
        let added = elapsed.as_nanos().saturating_mul(self.units_per_ns());
        self.level_units = self.level_units.saturating_add(added).min(self.level_max());
        self.filled_at = self.filled_at.max(now);
    }

    /// Changes the limits and the share from `now` on. Tokens above the new burst are lost.
    pub fn set_limits(&mut self, now: Instant, limits: TenantLimits, share: Share) {
        self.fill(now);
        self.limits = limits;
        self.share = share;
        self.level_units = self.level_units.min(self.level_max());
    }

    /// Takes one token, and returns whether there was one.
    pub fn take(&mut self, now: Instant) -> bool {
        self.take_up_to(now, 1) == 1
    }

    /// Takes up to `wanted` tokens, and returns how many it took.
    pub fn take_up_to(&mut self, now: Instant, wanted: u32) -> u32 {
        self.fill(now);
        let available = self.level_units / UNITS_PER_TOKEN;
        let taken = u32::try_from(available).map_or(wanted, |available| available.min(wanted));
        self.level_units -= u128::from(taken) * UNITS_PER_TOKEN;
        taken
    }

    /// Returns a token that wasn't used.
    pub fn refund(&mut self, now: Instant) {
        self.add(now, 1);
    }

    /// Adds tokens, for example those of another holder. Tokens above the burst are lost.
    pub fn add(&mut self, now: Instant, tokens: u32) {
        self.fill(now);
        let added = u128::from(tokens) * UNITS_PER_TOKEN;
        self.level_units = (self.level_units + added).min(self.level_max());
    }

    /// Returns the number of whole tokens in the bucket.
    pub fn level(&mut self, now: Instant) -> u32 {
        self.fill(now);
        u32::try_from(self.level_units / UNITS_PER_TOKEN).unwrap_or(u32::MAX)
    }

    /// Returns the time until a token is available, or `None` if the limits never allow one.
    pub fn time_until_token(&mut self, now: Instant) -> Option<Duration> {
        self.fill(now);
        let missing = UNITS_PER_TOKEN.saturating_sub(self.level_units);
        if missing == 0 {
            return Some(Duration::ZERO);
        }
        if self.units_per_ns() == 0 || self.level_max() < UNITS_PER_TOKEN {
            return None;
        }
        let nanos = missing.div_ceil(self.units_per_ns());
        Some(Duration::from_nanos(
            u64::try_from(nanos).unwrap_or(u64::MAX),
        ))
    }
}
