//! Requests that wait for a connection: who goes first, and who is turned away at once.

use crate::treatment::Worth;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// The place of a waiting request. The default place is never given to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    worth: Reverse<Worth>,
    arrival: u64,
}

impl Default for Ticket {
    fn default() -> Self {
        Self {
            worth: Reverse(Worth::Low),
            arrival: 0,
        }
    }
}

/// A request that can't be served before its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shed {
    /// When to come back.
    pub retry_after: Duration,
}

/// What is known of the servers that the queue waits for.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// How many requests are served at a time.
    pub parallel: u32,
    /// How long one takes, on average.
    pub service_time: Duration,
}

impl Capacity {
    /// Returns how long a request waits with `ahead` others before it.
    pub fn expected_wait(&self, ahead: usize) -> Duration {
        let parallel = self.parallel.max(1);
        self.service_time
            .saturating_mul(u32::try_from(ahead).unwrap_or(u32::MAX))
            / parallel
    }
}

/// Until when a request may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Patience {
    /// When it no longer has to be served.
    pub deadline: Instant,
    /// When it lets newer requests of its worth go first, because it can't be answered as soon as it
    /// should be any more.
    pub goal: Instant,
}

/// Waiting requests, greatest worth first, then by arrival.
///
/// Requests past their goal go after those of the same worth that can still meet theirs. When more
/// arrives than is served, waiting in order of arrival alone would make every answer late.
///
/// # Examples
///
/// ```
/// use endivereach_core::queue::{Capacity, Patience, WaitQueue};
/// use endivereach_core::treatment::Worth;
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let patience = Patience {
///     deadline: now + Duration::from_secs(1),
///     goal: now + Duration::from_millis(200),
/// };
/// let capacity = Capacity { parallel: 1, service_time: Duration::from_millis(600) };
/// let mut queue = WaitQueue::default();
/// queue.push(Worth::Normal, now, patience, capacity, "view").unwrap();
/// let booking = queue.push(Worth::High, now, patience, capacity, "booking").unwrap();
/// assert_eq!(queue.first(), Some(booking));
/// assert!(queue.push(Worth::Low, now, patience, capacity, "late").is_err());
/// ```
#[derive(Debug)]
pub struct WaitQueue<T> {
    waiting: BTreeMap<Ticket, Waiting<T>>,
    arrivals: u64,
}

#[derive(Debug)]
struct Waiting<T> {
    goal: Instant,
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
    /// Adds a request, unless its expected wait passes its deadline.
    ///
    /// # Errors
    ///
    /// Returns [`Shed`] with the moment at which the queue is expected to have emptied.
    pub fn push(
        &mut self,
        worth: Worth,
        now: Instant,
        patience: Patience,
        capacity: Capacity,
        item: T,
    ) -> Result<Ticket, Shed> {
        self.arrivals += 1;
        let ticket = Ticket {
            worth: Reverse(worth),
            arrival: self.arrivals,
        };
        let before = self.waiting.range(..ticket);
        let ahead = before.filter(|(_, other)| now < other.goal).count();
        // The request itself has to be served in time as well.
        let expected_wait = capacity.expected_wait(ahead + 1);
        if now + expected_wait > patience.deadline {
            let retry_after = capacity.expected_wait(self.waiting.len() + 1);
            return Err(Shed { retry_after });
        }
        let goal = patience.goal;
        self.waiting.insert(ticket, Waiting { goal, item });
        Ok(ticket)
    }

    /// Returns the place of greatest worth that arrived first.
    pub fn first(&self) -> Option<Ticket> {
        self.waiting.keys().next().copied()
    }

    /// Returns the request of greatest worth that arrived first.
    pub fn first_item(&self) -> Option<&T> {
        self.waiting.values().next().map(|waiting| &waiting.item)
    }

    /// Takes a request out: it was served, or gave up.
    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        self.waiting.remove(&ticket).map(|waiting| waiting.item)
    }

    /// Returns the places and requests in the order in which they are served at `now`.
    pub fn in_order(&self, now: Instant) -> Vec<(Ticket, &T)> {
        let mut order: Vec<(&Ticket, &Waiting<T>)> = self.waiting.iter().collect();
        order.sort_by_key(|(ticket, waiting)| (ticket.worth, now >= waiting.goal));
        order
            .into_iter()
            .map(|(ticket, waiting)| (*ticket, &waiting.item))
            .collect()
    }

    /// Returns how many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
