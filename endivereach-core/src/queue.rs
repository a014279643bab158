//! The queue of requests that wait for a connection, with priorities and load shedding.

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

/// A queue of waiting requests, ordered by descending priority and then by deadline.
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
}

#[derive(Debug)]
struct WaitingRequest<T> {
    limits: WaitLimits,
    item: T,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            arrivals: 0,
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
        self.arrivals += 1;
        let ticket = Ticket {
            priority: Reverse(priority),
            arrival: self.arrivals,
        };
        let earlier = self.waiting.range(..ticket);
        let ahead = earlier.filter(|(_, other)| now < other.limits.goal).count();
        // The request itself must also be served before the deadline, hence the `+ 1`.
        let expected_wait = capacity.expected_wait(ahead + 1);
        if now + expected_wait > wait_limits.deadline {
            let retry_after = capacity.expected_wait(self.waiting.len() + 1);
            return Err(ShedError { retry_after });
        }
        let limits = wait_limits;
        self.waiting.insert(ticket, WaitingRequest { limits, item });
        Ok(ticket)
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
        self.waiting.remove(&ticket).map(|waiting| waiting.item)
    }

    /// Returns the tickets and requests in the order in which they are served at `now`.
    pub fn in_order(&self, now: Instant) -> Vec<(Ticket, &T)> {
        let mut order: Vec<(&Ticket, &WaitingRequest<T>)> = self.waiting.iter().collect();
        order.sort_by_key(|(ticket, waiting)| {
            (
                ticket.priority,
                now >= waiting.limits.goal,
                waiting.limits.deadline,
            )
        });
        order
            .into_iter()
            .map(|(ticket, waiting)| (*ticket, &waiting.item))
            .collect()
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
