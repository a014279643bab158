//! Which process may use how much of a tenant's rate limit. Load: one tenant sends several times its
//! usual rate, over many proxies, of which some fail.
//!
//! The coordinator of a tenant, the first proxy of the tenant's ranking, holds the bucket while the
//! standby, the second, acknowledges its lease. Other processes request tokens from them. The module
//! performs no network I/O: [`Allowance::poll`] returns the messages to send.

mod exchange;
mod holding;
mod leases;
mod limit_change;
mod message;
mod part;
mod purse;
mod renewals;
mod requests;

pub use message::Held;
pub use message::Message;
pub use message::MessageId;
pub use message::Verdict;

use self::holding::Holding;
use self::holding::OwnState;
use self::holding::Role;
use self::leases::REMOVAL_TIMEOUT;
use self::limit_change::LaterLimits;
use self::renewals::SentRenewals;
use self::requests::Requests;
use self::requests::Supply;
use self::requests::Unavailable;
use crate::ids::Incarnation;
use crate::ids::ProxyName;
use crate::rate_limit::Share;
use crate::rate_limit::Tolerance;
use crate::tenants::TenantLimits;
use crate::tenants::TenantName;
use crate::tenants::Tenants;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// The retry delay if no holder of the bucket can be reached: about half the time in which a
/// standby replaces a coordinator.
pub const RETRY_AFTER_UNREACHABLE: Duration = Duration::from_millis(500);

/// The longest retry delay of an operation over the limit. Callers of the pool give up after 2.5 s.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(2);

/// The time between two polls after which this process was suspended. The engine polls every 25 ms.
const SUSPENSION_MIN: Duration = Duration::from_secs(1);

/// The minimum interval between two removals of the same registration.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(60);

/// Whether an operation may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The operation may run.
    Admitted,
    /// Tokens have been requested from another proxy.
    Wait,
    /// The operation is refused.
    Refused {
        /// Why.
        cause: RefusalCause,
        /// When the caller may repeat the operation.
        retry_after: Duration,
    },
}

/// Why an operation has no token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// The tenant is at its limit.
    OverLimit,
    /// The proxies that answered hold no part of the bucket, for example because its holder changes.
    NoHolder,
    /// No proxy that may hold a part of the bucket has answered.
    HolderUnreachable,
    /// The tenant has been removed.
    UnknownTenant,
}

impl RefusalCause {
    /// Returns the cause as a part of a message to callers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::OverLimit => "the tenant's rate limit is reached",
            Self::NoHolder => "no proxy holds the tenant's rate limit at present",
            Self::HolderUnreachable => "no holder of the tenant's rate limit can be reached",
            Self::UnknownTenant => "the tenant has no rate limit any more",
        }
    }
}

/// The state of one tenant.
#[derive(Debug)]
struct Tenant {
    holding: Holding,
    /// The limits that the routes state, if they are lower and don't apply yet.
    later: Option<LaterLimits>,
    requests: Requests,
    /// When the token is due that the last refused operation was told to wait for.
    promised_at: Instant,
    refused: u64,
}

/// The part of each tenant's rate limit that this process may use.
///
/// # Examples
///
/// ```
/// use endivereach_core::allowance::{Admission, Allowance};
/// use endivereach_core::ids::Incarnation;
/// use endivereach_core::tenants::{TenantLimits, Tenants};
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mut tenants = Tenants::default();
/// tenants.limits.insert("harbour".into(), TenantLimits { rate_per_s: 10, burst: 10 });
/// let mut allowance = Allowance::new("front-1".into(), Incarnation::new(7));
/// allowance.set_tenants(now, &tenants);
/// allowance.set_rankings(now, |_| vec!["front-1".into()]);
///
/// // A process that starts may have replaced one that used the whole burst.
/// let later = now + Duration::from_millis(1_500);
/// allowance.poll(later);
/// let later = later + Duration::from_millis(100);
/// assert_eq!(allowance.admit(later, &"harbour".into()), Admission::Admitted);
/// assert!(matches!(allowance.admit(later, &"harbour".into()), Admission::Refused { .. }));
/// ```
#[derive(Debug)]
pub struct Allowance {
    own: OwnState,
    incarnation: Incarnation,
    tenants: BTreeMap<TenantName, Tenant>,
    last_sequence: u64,
    sent_renewals: SentRenewals,
    next_renewal_at: Option<Instant>,
    outbox: Vec<(ProxyName, Message)>,
    removed_at: BTreeMap<ProxyName, Instant>,
    last_poll_at: Option<Instant>,
    /// When this process last ran again after a suspension, in which it received no renewals.
    resumed_at: Option<Instant>,
}

impl Allowance {
    /// Creates the state of a process that has just started.
    pub fn new(name: ProxyName, incarnation: Incarnation) -> Self {
        Self {
            own: OwnState {
                name,
                is_stopping: false,
                started_at: None,
                list_evidence_at: None,
                tolerance: None,
            },
            incarnation,
            tenants: BTreeMap::new(),
            last_sequence: 0,
            sent_renewals: SentRenewals::default(),
            next_renewal_at: None,
            outbox: Vec::new(),
            removed_at: BTreeMap::new(),
            last_poll_at: None,
            resumed_at: None,
        }
    }

    /// Sets when this process started.
    pub fn set_started_at(&mut self, started_at: Instant) {
        self.own.started_at = Some(started_at);
    }

    /// Sets by how much a tenant may exceed its limit. Without it, a process that starts counts on
    /// none.
    pub fn set_tolerance(&mut self, tolerance: Option<Tolerance>) {
        self.own.tolerance = tolerance;
    }

    /// Sets the random number that distinguishes this process from its predecessors.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
    }

    /// Sets the tenants and their limits. Higher limits apply at once; lower ones do so too if no
    /// tolerance is stated, and otherwise before the end of its window.
    pub fn set_tenants(&mut self, now: Instant, tenants: &Tenants) {
        self.tenants
            .retain(|name, _| tenants.limits.contains_key(name));
        for (name, limits) in &tenants.limits {
            match self.tenants.get_mut(name) {
                Some(tenant) => {
                    tenant.holding.settle(now, &self.own);
                    tenant.change_limits(now, *limits, self.own.tolerance);
                }
                None => {
                    let tenant = Tenant {
                        holding: Holding::new(now, name.clone(), *limits),
                        later: None,
                        requests: Requests::new(now),
                        promised_at: now,
                        refused: 0,
                    };
                    self.tenants.insert(name.clone(), tenant);
                }
            }
        }
    }

    /// Sets the ranking of the proxies for each tenant, of which the first three are used. It must
    /// be called when the list of proxies or the tenants change, and not before the list has been
    /// read.
    pub fn set_rankings(&mut self, now: Instant, ranking: impl Fn(&TenantName) -> Vec<ProxyName>) {
        let mut is_changed = false;
        for (name, tenant) in &mut self.tenants {
            let mut proxies = ranking(name);
            proxies.truncate(3);
            is_changed |= tenant.holding.set_ranking(now, &self.own, proxies);
        }
        if is_changed {
            // A new coordinator takes the bucket after one round trip.
            self.next_renewal_at = Some(now);
        }
    }

    /// Records that the list of proxies was complete at `at`.
    pub fn record_list_evidence(&mut self, at: Instant) {
        self.own.list_evidence_at = self.own.list_evidence_at.max(Some(at));
    }

    /// Takes a token for an operation that arrives.
    pub fn admit(&mut self, now: Instant, name: &TenantName) -> Admission {
        if let Some(tenant) = self.tenants.get_mut(name) {
            tenant.requests.record_arrival(now);
        }
        self.admit_waiting(now, name)
    }

    /// Takes a token for an operation that has waited after [`Admission::Wait`].
    pub fn admit_waiting(&mut self, now: Instant, name: &TenantName) -> Admission {
        let Some(tenant) = self.tenants.get_mut(name) else {
            // The tenant's keys have been withdrawn together with its limits.
            return Admission::Refused {
                cause: RefusalCause::UnknownTenant,
                retry_after: RETRY_AFTER_UNREACHABLE,
            };
        };
        if let Some(bucket) = tenant.holding.settle(now, &self.own) {
            tenant.requests.clear();
            if bucket.take(now) {
                return Admission::Admitted;
            }
            let until_token = bucket.time_until_token(now).unwrap_or(RETRY_AFTER_MAX);
            return Admission::Refused {
                cause: RefusalCause::OverLimit,
                retry_after: tenant.refuse(now, until_token),
            };
        }
        if tenant.holding.take_remaining(now, &self.own, 1) == 1 {
            return Admission::Admitted;
        }
        match tenant.requests.take(now) {
            Supply::Taken => Admission::Admitted,
            Supply::Requested => {
                self.poll_requests(now);
                Admission::Wait
            }
            Supply::Unavailable(Unavailable { cause, retry_after }) => {
                tenant.refused += 1;
                Admission::Refused { cause, retry_after }
            }
        }
    }

    /// Returns the token of an operation that was refused before anything of it was sent.
    pub fn refund(&mut self, now: Instant, name: &TenantName) {
        let Some(tenant) = self.tenants.get_mut(name) else {
            return;
        };
        match tenant.holding.settle(now, &self.own) {
            Some(bucket) => bucket.refund(now),
            None => tenant.requests.refund(now),
        }
    }

    /// Stops holding any bucket, because this process is about to end, and announces it.
    pub fn begin_drain(&mut self, now: Instant) {
        for tenant in self.tenants.values_mut() {
            tenant.holding.settle(now, &self.own);
            if tenant.holding.role() == Role::Coordinator {
                tenant.holding.release(now);
            }
        }
        self.own.is_stopping = true;
        self.next_renewal_at = Some(now);
    }

    /// Returns what this process holds of a tenant's bucket.
    pub fn held(&mut self, now: Instant, name: &TenantName) -> Held {
        match self.tenants.get_mut(name) {
            Some(tenant) => tenant.held(now, &self.own),
            None => Held::Nothing,
        }
    }

    /// Returns up to `count` tenants with the most refused operations, in descending order.
    pub fn most_refused(&self, count: usize) -> Vec<(&TenantName, u64)> {
        let tenants = self.tenants.iter();
        let mut refused: Vec<(&TenantName, u64)> = tenants
            .map(|(name, tenant)| (name, tenant.refused))
            .filter(|(_, refused)| *refused > 0)
            .collect();
        refused.sort_by_key(|(_, refused)| std::cmp::Reverse(*refused));
        refused.truncate(count);
        refused
    }

    /// Returns a coordinator whose registration this process should remove, because it has lost it
    /// as its standby. Each one is returned at most once a minute.
    pub fn take_lost_coordinator(&mut self, now: Instant) -> Option<ProxyName> {
        if self.resumed_at.is_some_and(|at| now < at + REMOVAL_TIMEOUT) {
            return None;
        }
        self.removed_at
            .retain(|_, removed_at| now < *removed_at + REMOVAL_INTERVAL);
        let lost = self
            .tenants
            .values()
            .filter_map(|tenant| tenant.holding.lost_coordinator(now))
            .find(|name| !self.removed_at.contains_key(*name))?
            .clone();
        self.removed_at.insert(lost.clone(), now);
        Some(lost)
    }
}

impl Tenant {
    fn change_limits(&mut self, now: Instant, limits: TenantLimits, tolerance: Option<Tolerance>) {
        let stated = self.later.map(|later| later.limits());
        if stated.unwrap_or(self.holding.limits()) == limits {
            return;
        }
        let before = self.holding.limits();
        let (applied, later) = limit_change::change(now, before, self.later, limits, tolerance);
        self.holding.set_limits(now, applied);
        self.later = later;
    }

    /// Applies lower limits that are due.
    fn apply_due_limits(&mut self, now: Instant, own: &OwnState) {
        if let Some(limits) = self.later.and_then(|later| later.due(now)) {
            self.later = None;
            self.holding.settle(now, own);
            self.holding.set_limits(now, limits);
        }
    }

    fn held(&mut self, now: Instant, own: &OwnState) -> Held {
        match self.holding.settle(now, own).map(|bucket| bucket.share()) {
            None => Held::Nothing,
            Some(Share::Half) => Held::Half,
            Some(Share::Whole) => Held::Whole,
        }
    }

    /// Refuses an operation, and returns when it may be repeated. Each refused operation is told to wait
    /// for another token, so that the callers return one after the other.
    fn refuse(&mut self, now: Instant, until_token: Duration) -> Duration {
        self.refused += 1;
        let rate = self.holding.limits().rate_per_s.max(1);
        let next_token_at = now + until_token;
        let due_at = (self.promised_at + Duration::from_secs(1) / rate).max(next_token_at);
        self.promised_at = due_at.min(now + RETRY_AFTER_MAX);
        self.promised_at.saturating_duration_since(now)
    }
}
