//! Connection limits by tenant. Load: 73 tenants share the 70 connections of a server, and one of
//! them sends a quarter of all operations.
//!
//! The parts of the tenants may together exceed what a server accepts, because each has at least one
//! connection. So connections that aren't needed are closed early when the server is nearly full,
//! and a process that may not open one more replaces an idle connection of another tenant.

use crate::tenants::TenantName;
use crate::tenants::Tenants;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// The age below which a connection isn't closed for another tenant. Opening a connection costs a
/// server several statements' work, so it has to be used first.
pub const REPLACE_AGE_MIN: Duration = Duration::from_secs(1);

/// The time after a refusal for which the number of this process's connections to the server doesn't
/// grow.
pub const NO_GROWTH_AFTER_REFUSAL: Duration = Duration::from_millis(400);

/// The time after a refusal for which a tenant without a connection doesn't open its first one. It
/// doubles with each further refusal, up to [`NO_GROWTH_AFTER_REFUSAL`], which alone would be half of
/// the usual statement timeout.
pub const FIRST_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The time after the refusal of a replacement for which nothing else is replaced. Another process
/// was faster, and each further attempt would cost an idle connection.
pub const NO_REPLACEMENT_AFTER_REFUSAL: Duration = Duration::from_millis(100);

/// The time that an opening is assumed to take before one was measured: 12 ms of a slot and a round
/// trip between zones.
pub const OPENING_TIME_INITIAL: Duration = Duration::from_millis(19);

/// The idle timeout while a server is far from its limit.
const IDLE_TIMEOUT_MAX: Duration = Duration::from_secs(10);

/// The idle timeout while a server is close to its limit.
pub const IDLE_TIMEOUT_MIN: Duration = Duration::from_millis(1_500);

/// The idle timeout while a server is nearly full. Longer idle connections of tenants with a statement
/// in several seconds would cause the refusal of tenants that have none.
const IDLE_TIMEOUT_FULL: Duration = Duration::from_millis(300);

/// The used part of a server's connections, in percent, up to which the idle timeout is the longest.
const USED_LOW_PERCENT: u32 = 50;

/// The used part of a server's connections, in percent, from which the idle timeout is the shortest.
const USED_HIGH_PERCENT: u32 = 75;

/// The used part of a server's connections, in percent, below which tenants may exceed their parts.
/// The rest is for the connections of tenants whose home was lost, which stay in use for seconds.
const SPARE_BELOW_PERCENT: u32 = 60;

/// The used part of a server's connections, in percent, from which a server is nearly full.
const USED_FULL_PERCENT: u32 = 90;

/// The time constant of the arrival rates: long enough for a tenant with one statement in several
/// seconds.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(10);

/// The window of the moving average of hold times.
const HOLD_WINDOW: u32 = 8;

/// The tenants' parts of a server's connections.
///
/// # Examples
///
/// ```
/// use endivereach_core::engine::tenant_connections::Parts;
/// use endivereach_core::tenants::{TenantLimits, Tenants};
///
/// let mut tenants = Tenants::default();
/// for (name, rate_per_s) in [("harbour", 300), ("pilots", 100), ("tugs", 1)] {
///     let limits = TenantLimits { rate_per_s, burst: rate_per_s };
///     tenants.limits.insert(name.into(), limits);
/// }
/// let parts = Parts::new(&tenants);
/// assert_eq!(parts.of(&"harbour".into(), 61), 45);
/// assert_eq!(parts.of(&"tugs".into(), 61), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Parts {
    rates: BTreeMap<TenantName, u32>,
    total: u64,
}

impl Parts {
    /// Creates the parts from the tenants' rates.
    pub fn new(tenants: &Tenants) -> Self {
        let limits = tenants.limits.iter();
        let rates: BTreeMap<TenantName, u32> = limits
            .map(|(tenant, limits)| (tenant.clone(), limits.rate_per_s))
            .collect();
        let total = rates.values().map(|rate| u64::from(*rate)).sum();
        Self { rates, total }
    }

    /// Returns a tenant's part of `divided` connections, at least one.
    pub fn of(&self, tenant: &TenantName, divided: u32) -> usize {
        let rate = u64::from(self.rates.get(tenant).copied().unwrap_or_default());
        let part = u64::from(divided) * rate / self.total.max(1);
        usize::try_from(part).unwrap_or(usize::MAX).max(1)
    }
}

/// Returns the idle timeout of a connection to a server that reported `used` of `limit` connections.
///
/// # Examples
///
/// ```
/// use endivereach_core::engine::tenant_connections::idle_timeout;
/// use std::time::Duration;
///
/// assert_eq!(idle_timeout(20, 70), Duration::from_secs(10));
/// assert_eq!(idle_timeout(60, 70), Duration::from_millis(1_500));
/// assert_eq!(idle_timeout(66, 70), Duration::from_millis(300));
/// ```
pub fn idle_timeout(used: u32, limit: u32) -> Duration {
    let percent = used.saturating_mul(100) / limit.max(1);
    if percent >= USED_FULL_PERCENT {
        return IDLE_TIMEOUT_FULL;
    }
    let free = USED_HIGH_PERCENT.saturating_sub(percent.max(USED_LOW_PERCENT));
    let range = USED_HIGH_PERCENT - USED_LOW_PERCENT;
    IDLE_TIMEOUT_MIN + (IDLE_TIMEOUT_MAX - IDLE_TIMEOUT_MIN) * free / range
}

/// Returns whether tenants may exceed their parts on a server that reported `used` connections.
pub fn has_spare_connections(used: u32, limit: u32) -> bool {
    used.saturating_mul(100) < limit.saturating_mul(SPARE_BELOW_PERCENT)
}

/// How one tenant uses the connections to the servers of one group, as seen by this process.
#[derive(Clone, Debug)]
pub struct Usage {
    /// The decayed number of arrivals.
    arrivals: f64,
    arrived_at: Instant,
    /// The average time for which a statement or transaction holds a connection.
    hold_time: Option<Duration>,
    /// The statements that wait for a connection.
    pub waiting: usize,
}

impl Usage {
    /// Creates the usage of a tenant without arrivals.
    pub fn new(now: Instant) -> Self {
        Self {
            arrivals: 0.0,
            arrived_at: now,
            hold_time: None,
            waiting: 0,
        }
    }

    /// Records a statement that needs a connection.
    pub fn record_arrival(&mut self, now: Instant) {
        self.arrivals = self.decayed(now) + 1.0;
        self.arrived_at = now;
    }

    /// Records how long a statement or transaction held its connection.
    pub fn record_hold(&mut self, hold_time: Duration) {
        let average = self.hold_time.unwrap_or(hold_time);
        self.hold_time = Some((average * (HOLD_WINDOW - 1) + hold_time) / HOLD_WINDOW);
    }

    /// Returns the rate of arrivals per second.
    pub fn rate(&self, now: Instant) -> f64 {
        self.decayed(now) / RATE_TIME_CONSTANT.as_secs_f64()
    }

    /// Returns when the last statement arrived.
    pub fn arrived_at(&self) -> Instant {
        self.arrived_at
    }

    /// Returns the average hold time, if one is known.
    pub fn hold_time(&self) -> Option<Duration> {
        self.hold_time
    }

    fn decayed(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.arrived_at);
        self.arrivals * (-age.as_secs_f64() / RATE_TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// Returns the time after which a connection is expected to be needed if `others` connections of
    /// the tenant are used before it, `idle_others` of which are idle.
    pub fn needed_in(&self, now: Instant, others: usize, idle_others: usize) -> Duration {
        let rate = self.rate(now);
        let busy = rate * self.hold_time.unwrap_or_default().as_secs_f64();
        // By Little's law, `busy` connections are used on average. More than this many are used
        // rarely if arrivals are independent.
        let used_at_most = busy + 2.0 * busy.sqrt() + 1.0;
        if others as f64 >= used_at_most {
            return Duration::MAX;
        }
        let seconds = (idle_others as f64 + 1.0) / rate;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}

/// What a server allows this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerState {
    /// Whether the number of this process's connections may grow.
    pub may_grow: bool,
    /// Whether a tenant without a connection may open one.
    pub may_open_first: bool,
    /// Whether an idle connection may be replaced.
    pub may_replace: bool,
    /// How long opening a connection takes.
    pub opening_time: Duration,
}

/// A tenant whose statement waits for a connection to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Requester {
    /// The tenant's connections to the server, including those that are being opened.
    pub connections: usize,
    /// The tenant's connections to other servers that can run the statement.
    pub elsewhere: usize,
    /// Whether a connection to the server is being opened for the tenant.
    pub is_opening: bool,
    /// The tenant's part of the server's connections.
    pub part: usize,
    /// The number of connections to the server that the tenant may have at present.
    pub limit: usize,
    /// The expected wait for one of the tenant's connections, or `None` if it has none.
    pub expected_wait: Option<Duration>,
}

/// An idle connection of another tenant to the same server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdleConnection<I> {
    /// The connection.
    pub id: I,
    /// When the connection was opened.
    pub opened_at: Instant,
    /// When its tenant is expected to need it.
    pub needed_in: Duration,
    /// The number of its tenant's connections to the server.
    pub connections: usize,
    /// Its tenant's part of the server's connections.
    pub part: usize,
}

/// What to do for a statement that waits for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision<I> {
    /// Wait for one of the tenant's connections.
    Wait,
    /// Open one more connection.
    Open,
    /// Close an idle connection of another tenant, and open one.
    Replace(I),
}

/// Decides whether a connection is opened for a tenant whose statement waits.
///
/// # Invariants
///
/// A tenant takes a connection from another only if it has none, or if it afterwards has fewer for
/// its part than the other had, and never the other's last one. So two tenants with connections
/// never take the same one from each other in turn.
///
/// # Examples
///
/// ```
/// use endivereach_core::engine::tenant_connections::{
///     Decision, IdleConnection, Requester, ServerState, decide,
/// };
/// use std::time::{Duration, Instant};
///
/// let opened_at = Instant::now();
/// let requester = Requester {
///     connections: 0,
///     elsewhere: 0,
///     is_opening: false,
///     part: 1,
///     limit: 1,
///     expected_wait: None,
/// };
/// let server = ServerState {
///     may_grow: false,
///     may_open_first: false,
///     may_replace: true,
///     opening_time: Duration::from_millis(19),
/// };
/// let idle = IdleConnection {
///     id: 7,
///     opened_at,
///     needed_in: Duration::from_secs(4),
///     connections: 17,
///     part: 17,
/// };
/// let decide_after = |millis| {
///     decide(opened_at + Duration::from_millis(millis), requester, server, [idle])
/// };
/// assert_eq!(decide_after(900), Decision::Wait);
/// assert_eq!(decide_after(1_000), Decision::Replace(7));
/// ```
pub fn decide<I>(
    now: Instant,
    requester: Requester,
    server: ServerState,
    idle: impl IntoIterator<Item = IdleConnection<I>>,
) -> Decision<I> {
    let wait_is_shorter = requester
        .expected_wait
        .is_some_and(|wait| wait <= server.opening_time);
    if requester.is_opening || wait_is_shorter {
        return Decision::Wait;
    }
    let may_grow = server.may_grow || (requester.connections == 0 && server.may_open_first);
    if may_grow && requester.connections < requester.limit {
        return Decision::Open;
    }
    if !server.may_replace {
        return Decision::Wait;
    }
    let has_none = requester.connections == 0 && requester.elsewhere == 0;
    let may_take = |other: &IdleConnection<I>| {
        // (connections + 1) / part < other.connections / other.part, without a division.
        let own_after = (requester.connections + 1) * other.part;
        let is_fairer = own_after < other.connections * requester.part;
        let is_used = now >= other.opened_at + REPLACE_AGE_MIN;
        is_used && (has_none || (is_fairer && other.connections > 1))
    };
    let candidates = idle.into_iter().filter(may_take);
    candidates
        .max_by_key(|other| other.needed_in)
        .map_or(Decision::Wait, |other| Decision::Replace(other.id))
}
