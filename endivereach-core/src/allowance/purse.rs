//! The tokens of a part that ended, until the next holder takes them over. Load: the list of proxies
//! changes all the time during a rolling restart, and the next holder reads it a second later.

use crate::rate_limit::TokenBucket;
use crate::tenants::TenantLimits;
use std::time::Instant;

/// Tokens that a process may still use or give up although it no longer holds a part.
///
/// # Invariants
///
/// The tokens dwindle at the rate at which the next holder's bucket may have been filling since, so
/// that both together never hold more than a burst.
#[derive(Clone, Debug)]
pub(super) struct Purse {
    tokens: u32,
    limits: TenantLimits,
    since: Instant,
}

impl Purse {
    pub(super) fn new(now: Instant, tokens: u32, limits: TenantLimits) -> Self {
        Self {
            tokens,
            limits,
            since: now,
        }
    }

    /// Creates a purse with the tokens of a bucket.
    pub(super) fn from_bucket(now: Instant, bucket: &mut TokenBucket) -> Self {
        Self::new(now, bucket.level(now), bucket.limits())
    }

    /// Returns how many tokens remain.
    pub(super) fn remaining(&self, now: Instant) -> u32 {
        let age = now.saturating_duration_since(self.since);
        let filled = f64::from(self.limits.rate_per_s) * age.as_secs_f64();
        // The conversion saturates.
        self.tokens.saturating_sub(filled.ceil() as u32)
    }

    /// Takes up to `wanted` tokens, and returns how many it took.
    pub(super) fn take_up_to(&mut self, now: Instant, wanted: u32) -> u32 {
        let taken = wanted.min(self.remaining(now));
        self.tokens -= taken;
        taken
    }

    /// Lowers the limits from `now` on.
    pub(super) fn set_limits(&mut self, now: Instant, limits: TenantLimits) {
        let tokens = self.remaining(now).min(limits.burst);
        *self = Self::new(now, tokens, limits);
    }
}
