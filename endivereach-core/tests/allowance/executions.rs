//! The operations that ran, and the platform's bound on them.

use endivereach_core::rate_limit::Tolerance;
use endivereach_core::tenants::TenantLimits;
use endivereach_core::tenants::TenantName;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// The window and the tolerances of the platform's bound.
pub const TOLERANCE: Tolerance = Tolerance {
    window: Duration::from_secs(5),
    overage: 0.1,
    slack: 20,
};

/// The times at which each tenant's operations ran, in order.
#[derive(Debug, Default)]
pub struct Executions(BTreeMap<TenantName, Vec<Instant>>);

impl Executions {
    pub fn record(&mut self, now: Instant, tenant: &TenantName) {
        self.0.entry(tenant.clone()).or_default().push(now);
    }

    /// Forgets the operations that ran before a time.
    pub fn forget_until(&mut self, until: Instant) {
        for executed in self.0.values_mut() {
            executed.retain(|at| *at >= until);
        }
    }

    /// Returns the number of a tenant's operations that ran after a time.
    pub fn after(&self, tenant: &TenantName, since: Instant) -> usize {
        let is_later = |at: &&Instant| **at > since;
        let executed = self.0.get(tenant);
        executed.map_or(0, |executed| executed.iter().filter(is_later).count())
    }

    /// Returns the operations of the worst window above the platform's bound, with `limits` and
    /// `factor` times the window's rate and burst. It isn't positive if the bound holds.
    pub fn worst_excess(&self, limits: TenantLimits, factor: f64) -> f64 {
        let allowed =
            f64::from(limits.rate_per_s) * TOLERANCE.window.as_secs_f64() + f64::from(limits.burst);
        let allowed = allowed * factor * (1.0 + TOLERANCE.overage) + f64::from(TOLERANCE.slack);
        let mut worst = f64::NEG_INFINITY;
        for executed in self.0.values() {
            let mut first = 0;
            for (last, at) in executed.iter().enumerate() {
                while *at - executed[first] >= TOLERANCE.window {
                    first += 1;
                }
                worst = worst.max((last + 1 - first) as f64 - allowed);
            }
        }
        worst
    }
}
