//! When a changed limit applies. Load: the operator lowers the limit of a tenant that uses all of it.
//!
//! A lower limit binds one window after every proxy could know it. Until then the tenant is owed the
//! earlier one, so a proxy goes on with it for most of the window.

use crate::rate_limit::Tolerance;
use crate::tenants::TenantLimits;
use std::time::Duration;
use std::time::Instant;

/// The time within which a proxy that reaches the platform again adopts the routes. The lower limit
/// must apply at all proxies before it binds.
const ADOPTION_MAX: Duration = Duration::from_secs(2);

/// A lower limit that doesn't apply yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct LaterLimits {
    limits: TenantLimits,
    from: Instant,
}

/// Returns the limits that apply at once after a change, and those that apply later.
///
/// `pending` are the lower limits of an earlier change. Limits that change again and again take effect
/// when the first of them would have.
pub(super) fn change(
    now: Instant,
    before: TenantLimits,
    pending: Option<LaterLimits>,
    after: TenantLimits,
    tolerance: Option<Tolerance>,
) -> (TenantLimits, Option<LaterLimits>) {
    let delay = tolerance.map_or(Duration::ZERO, |tolerance| {
        tolerance.window.saturating_sub(ADOPTION_MAX)
    });
    let until_then = TenantLimits {
        rate_per_s: before.rate_per_s.max(after.rate_per_s),
        burst: before.burst.max(after.burst),
    };
    if delay.is_zero() || until_then == after {
        return (after, None);
    }
    let later = LaterLimits {
        limits: after,
        from: pending.map_or(now + delay, |pending| pending.from),
    };
    (until_then, Some(later))
}

impl LaterLimits {
    /// Returns the limits if they apply at `now`.
    pub(super) fn due(&self, now: Instant) -> Option<TenantLimits> {
        (now >= self.from).then_some(self.limits)
    }

    /// Returns the limits that apply later.
    pub(super) fn limits(&self) -> TenantLimits {
        self.limits
    }
}
