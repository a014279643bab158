//! The queue of requests that wait for a connection, with priorities and load shedding.

use crate::fair_share::FairShare;
use crate::tenants::TenantName;
use crate::treatment::Priority;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// The position of a request in the queue. The default value is never assigned to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    priority: Reverse<Priority>,
    arrival: u64,
}

impl Default for Ticket {
    fn default() -> Self {
        Self {
            priority: Reverse(Priority::Low),
            arrival: 0,
        }
    }
}

/// The error for a request that can't be served before its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShedError {
    /// The time after which the request may be retried.
    pub retry_after: Duration,
}

/// The capacity of the servers that the requests wait for. The default is an unlimited capacity.
#[derive(Clone, Copy, Debug, Default)]
pub struct Capacity {
    /// The number of requests that are served in parallel.
    pub parallel: u32,
    /// The average time to serve one request.
    pub service_time: Duration,
}

impl Capacity {
    /// Returns the expected wait of a request behind `ahead` others.
    pub fn expected_wait(&self, ahead: usize) -> Duration {
        let parallel = self.parallel.max(1);
        self.service_time
            .saturating_mul(u32::try_from(ahead).unwrap_or(u32::MAX))
            / parallel
    }
}

/// The time limits of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitLimits {
    /// The time after which the request must not be served any more.
    pub deadline: Instant,
    /// The latency goal. After it, newer requests of the same priority that can still meet theirs
    /// are served first.
    pub goal: Instant,
}

/// How a request of one of several tenants waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueEntry {
    /// The priority.
    pub priority: Priority,
    /// The tenant, or `None` for requests without one.
    pub tenant: Option<TenantName>,
    /// The time limits.
    pub limits: WaitLimits,
    /// The latest start from which the goal can still be met, if late requests yield to those of
    /// every priority.
    pub last_start: Option<Instant>,
}

/// The number of dispatches of which one goes to a request that would otherwise starve.
pub const STARVATION_INTERVAL: u32 = 8;

/// The part of the time until its goal, in percent, after which a request counts as starving. Beyond
/// the goal it would be too late.
const STARVING_AFTER_PERCENT: u32 = 60;

/// A queue of waiting requests, ordered by descending priority, then by the service time that their
/// tenants have used, then by deadline.
///
/// Requests past their goal are served after those of the same priority that can still meet theirs.
/// Under overload, a queue in order of arrival alone would delay every request past its goal. Among
/// the others, those that can wait longer yield: a later slot still serves them.
///
/// # Examples
///
/// ```
/// use endivereach_core::queue::{Capacity, WaitLimits, WaitQueue};
/// use endivereach_core::treatment::Priority;
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let wait_limits = WaitLimits {
///     deadline: now + Duration::from_secs(1),
///     goal: now + Duration::from_millis(200),
/// };
/// let capacity = Capacity { parallel: 1, service_time: Duration::from_millis(600) };
/// let mut queue = WaitQueue::default();
/// queue.push(Priority::Normal, now, wait_limits, capacity, "view").unwrap();
/// let booking = queue.push(Priority::High, now, wait_limits, capacity, "booking").unwrap();
/// assert_eq!(queue.first(), Some(booking));
/// assert!(queue.push(Priority::Low, now, wait_limits, capacity, "late").is_err());
/// ```
#[derive(Debug)]
pub struct WaitQueue<T> {
    waiting: BTreeMap<Ticket, WaitingRequest<T>>,
    arrivals: u64,
    share: FairShare,
    /// Requests served since one was last served before others of higher priority.
    served_in_order: u32,
}

#[derive(Debug)]
struct WaitingRequest<T> {
    entry: QueueEntry,
    /// When the request counts as starving, if it may go before others of higher priority.
    starving_at: Option<Instant>,
    item: T,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            arrivals: 0,
            share: FairShare::default(),
            served_in_order: 0,
        }
    }
}

impl<T> WaitQueue<T> {
    /// Adds a request, unless it is expected to be served after its deadline.
    ///
    /// # Errors
    ///
    /// Returns [`ShedError`] with the time after which the queue is expected to be empty.
    pub fn push(
        &mut self,
        priority: Priority,
        now: Instant,
        wait_limits: WaitLimits,
        capacity: Capacity,
        item: T,
    ) -> Result<Ticket, ShedError> {
        let entry = QueueEntry {
            priority,
            tenant: None,
            limits: wait_limits,
            last_start: None,
        };
        self.push_entry(entry, now, capacity, item)
    }

    /// Adds a request of a tenant, unless it is expected to be served after its deadline.
    ///
    /// # Errors
    ///
    /// Returns [`ShedError`] with the time after which the queue is expected to be empty.
    pub fn push_entry(
        &mut self,
        entry: QueueEntry,
        now: Instant,
        capacity: Capacity,
        item: T,
    ) -> Result<Ticket, ShedError> {
        // The request itself must also be served before the deadline, hence the `+ 1`.
        let expected_wait = capacity.expected_wait(self.ahead_of(now, &entry, |_| true) + 1);
        if now + expected_wait > entry.limits.deadline {
            let retry_after = capacity.expected_wait(self.waiting.len() + 1);
            return Err(ShedError { retry_after });
        }
        Ok(self.insert(now, entry, item))
    }

    /// Returns the number of waiting requests that would be served before a new one, of those for
    /// which `counts` returns true.
    ///
    /// Those past their goal are served later. Of the other tenants' requests of the same priority,
    /// only those count whose turn comes first.
    pub fn ahead_of(&self, now: Instant, entry: &QueueEntry, counts: impl Fn(&T) -> bool) -> usize {
        let next = Ticket {
            priority: Reverse(entry.priority),
            arrival: self.arrivals + 1,
        };
        let (mut ahead, mut own) = (0, 0);
        let mut equals: BTreeMap<&Option<TenantName>, u32> = BTreeMap::new();
        for (ticket, other) in self.waiting.range(..next) {
            let (is_hopeless, _, is_late) = other.rank(now);
            if is_hopeless || is_late || !counts(&other.item) {
                continue;
            }
            let is_own = other.entry.tenant == entry.tenant;
            own += u32::from(is_own);
            if ticket.priority == next.priority && !is_own {
                *equals.entry(&other.entry.tenant).or_default() += 1;
            } else {
                ahead += 1;
            }
        }
        if equals.is_empty() {
            return ahead;
        }
        let quantum = self.share.average_service_time();
        let quantum_s = quantum.as_secs_f64().max(f64::EPSILON);
        let turn = self.share.entry_time(&entry.tenant) + quantum.saturating_mul(own);
        let before = equals.into_iter().map(|(tenant, count)| {
            let lead = turn.saturating_sub(self.share.virtual_time(tenant));
            count.min((lead.as_secs_f64() / quantum_s).ceil() as u32)
        });
        ahead + before.sum::<u32>() as usize
    }

    /// Adds a request, however long it is expected to wait.
    pub fn insert(&mut self, now: Instant, entry: QueueEntry, item: T) -> Ticket {
        self.arrivals += 1;
        let ticket = Ticket {
            priority: Reverse(entry.priority),
            arrival: self.arrivals,
        };
        self.share.enter(&entry.tenant);
        let until_goal = entry.limits.goal.saturating_duration_since(now);
        let starving_at = now + until_goal * STARVING_AFTER_PERCENT / 100;
        let waiting = WaitingRequest {
            starving_at: entry.last_start.map(|_| starving_at),
            entry,
            item,
        };
        self.waiting.insert(ticket, waiting);
        ticket
    }

    /// Returns the service time that each tenant has used.
    pub fn share(&self) -> &FairShare {
        &self.share
    }

    /// Returns the service time that each tenant has used, to record what servers run.
    pub fn share_mut(&mut self) -> &mut FairShare {
        &mut self.share
    }

    /// Returns the ticket of the request of greatest priority that arrived first.
    pub fn first(&self) -> Option<Ticket> {
        self.waiting.keys().next().copied()
    }

    /// Returns the request of greatest priority that arrived first.
    pub fn first_item(&self) -> Option<&T> {
        self.waiting.values().next().map(|waiting| &waiting.item)
    }

    /// Removes a request that was served or cancelled.
    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        let removed = self.waiting.remove(&ticket)?;
        self.share.leave(&removed.entry.tenant);
        Some(removed.item)
    }

    /// Removes a request that is served.
    pub fn serve(&mut self, now: Instant, ticket: Ticket) -> Option<T> {
        if self.starving(now) == Some(ticket) {
            self.served_in_order = 0;
        } else {
            self.served_in_order = self.served_in_order.saturating_add(1);
        }
        self.remove(ticket)
    }

    /// Returns the request that is served next although others have a higher priority: the one that
    /// has starved longest, once in [`STARVATION_INTERVAL`] requests.
    fn starving(&self, now: Instant) -> Option<Ticket> {
        if self.served_in_order + 1 < STARVATION_INTERVAL {
            return None;
        }
        let top = self.waiting.keys().next()?.priority;
        let is_starving = |(ticket, waiting): &(&Ticket, &WaitingRequest<T>)| {
            let since = waiting.starving_at;
            ticket.priority > top
                && since.is_some_and(|since| now >= since)
                && now < waiting.entry.limits.goal
        };
        let starving = self.waiting.iter().filter(is_starving);
        let first = starving.min_by_key(|(_, waiting)| waiting.starving_at);
        first.map(|(ticket, _)| *ticket)
    }

    /// Returns the tickets and requests in the order in which they are served at `now`.
    ///
    /// Each request is tagged with the virtual time at which its tenant's turn comes, if every
    /// request takes the average service time. With one tenant, the tags rise with the deadline and
    /// change nothing.
    pub fn in_order(&self, now: Instant) -> Vec<(Ticket, &T)> {
        self.in_order_with(now, |_| false)
    }

    /// Returns the requests in the order of [`WaitQueue::in_order`], except that the `preferred` ones
    /// come before those of every priority, unless they can't meet their goal any more.
    pub fn in_order_with(&self, now: Instant, preferred: impl Fn(&T) -> bool) -> Vec<(Ticket, &T)> {
        let starving = self.starving(now);
        let mut order: Vec<_> = self
            .waiting
            .iter()
            .map(|(ticket, waiting)| {
                let rank = waiting.rank(now);
                let is_preferred = !rank.0 && preferred(&waiting.item);
                let rank = (starving != Some(*ticket), !is_preferred, rank);
                (rank, *ticket, waiting)
            })
            .collect();
        order.sort_by_key(|(rank, _, waiting)| (*rank, waiting.entry.limits.deadline));
        let quantum = self.share.average_service_time();
        let mut turns: BTreeMap<&Option<TenantName>, Duration> = BTreeMap::new();
        let mut tagged: Vec<_> = order
            .into_iter()
            .map(|(rank, ticket, waiting)| {
                let tenant = &waiting.entry.tenant;
                let turn = turns
                    .entry(tenant)
                    .or_insert_with(|| self.share.virtual_time(tenant));
                let tag = (rank, *turn, waiting.entry.limits.deadline);
                *turn += quantum;
                (tag, ticket, &waiting.item)
            })
            .collect();
        tagged.sort_by_key(|(tag, _, _)| *tag);
        tagged
            .into_iter()
            .map(|(_, ticket, item)| (ticket, item))
            .collect()
    }

    /// Returns the number of waiting requests of a priority and above.
    pub fn count_from(&self, priority: Priority) -> usize {
        let next = Ticket {
            priority: Reverse(priority),
            arrival: self.arrivals + 1,
        };
        self.waiting.range(..next).count()
    }

    /// Returns whether a request can't meet its goal any more.
    pub fn is_hopeless(&self, now: Instant, ticket: Ticket) -> bool {
        let waiting = self.waiting.get(&ticket);
        waiting.is_some_and(|waiting| waiting.rank(now).0)
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

impl<T> WaitingRequest<T> {
    /// Returns the request's rank among requests of any tenant. Lower ranks are served first.
    ///
    /// An answer that is late has little value whatever its priority, so it comes last.
    fn rank(&self, now: Instant) -> (bool, Reverse<Priority>, bool) {
        let is_hopeless = self.entry.last_start.is_some_and(|last| now > last);
        let is_late = now >= self.entry.limits.goal;
        (is_hopeless, Reverse(self.entry.priority), is_late)
    }
}
