//! Load: more statements wait than a group's servers can run in time, after a burst or the loss of a
//! server. Decides which of them can't be served.

use std::collections::BTreeMap;
use std::time::Duration;

/// The maximum age of the figures by which a statement is refused. Older ones may come from another
/// load, and a statement that is refused by mistake is lost.
const FIGURES_AGE_MAX: Duration = Duration::from_secs(1);

/// The factor by which a rate must fall below the one last checked before the waiting statements are
/// checked again. Rates follow response times, which vary all the time.
const RATE_DROP: f64 = 0.8;

/// The rate at which servers run statements, in statements a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerRate {
    /// The rate; zero if no server can run the statements.
    pub per_s: f64,
    /// The age of the oldest response time that contributes.
    pub age: Duration,
}

impl ServerRate {
    /// Returns the sum of two rates.
    pub fn plus(self, other: Self) -> Self {
        Self {
            per_s: self.per_s + other.per_s,
            age: self.age.max(other.age),
        }
    }

    fn time_for(self, statements: usize) -> Option<Duration> {
        if self.per_s <= 0.0 || self.age > FIGURES_AGE_MAX {
            return None;
        }
        Duration::try_from_secs_f64(statements as f64 / self.per_s).ok()
    }
}

/// The rates at which this process can run statements in a group.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GroupRates {
    /// The primary's rate.
    pub primary: ServerRate,
    /// The rate of the replicas that aren't known to lag.
    pub replicas: ServerRate,
    /// The time until a primary is expected, if there is none.
    pub primary_delay: Duration,
}

/// Numbers of statements that are served before another one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ahead {
    /// Statements that only the primary can run.
    pub primary_only: usize,
    /// Statements that a replica can run.
    pub others: usize,
    /// Those of the same tenant that need the same servers.
    pub own: usize,
}

/// A statement that waits, in the order of service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitingStatement {
    /// Whether only the primary can run it.
    pub needs_primary: bool,
    /// The number of its tenant.
    pub tenant: usize,
    /// The rate at which its tenant's connections can run such statements, in statements a second, if
    /// it is known.
    pub own_per_s: Option<f64>,
    /// For how long it may still wait.
    pub allowed_wait: Duration,
    /// Whether it can't meet its goal any more. It then yields to all others, so to refuse it would
    /// help none, and it may still be served late.
    pub is_hopeless: bool,
}

impl GroupRates {
    /// Returns the expected wait of a statement, or `None` if it isn't known: the wait for the
    /// servers, or the one for its tenant's connections if that is longer.
    ///
    /// # Examples
    ///
    /// ```
    /// use endivereach_core::shedding::{Ahead, GroupRates, ServerRate};
    /// use std::time::Duration;
    ///
    /// let rate = ServerRate { per_s: 100.0, age: Duration::ZERO };
    /// let rates = GroupRates { primary: rate, replicas: rate, ..GroupRates::default() };
    /// let ahead = Ahead { primary_only: 9, others: 30, own: 5 };
    /// assert_eq!(rates.expected_wait(true, None, ahead), Some(Duration::from_millis(100)));
    /// assert_eq!(rates.expected_wait(false, None, ahead), Some(Duration::from_millis(200)));
    /// let own_per_s = Some(20.0);
    /// assert_eq!(rates.expected_wait(false, own_per_s, ahead), Some(Duration::from_millis(300)));
    /// ```
    pub fn expected_wait(
        &self,
        needs_primary: bool,
        own_per_s: Option<f64>,
        ahead: Ahead,
    ) -> Option<Duration> {
        let at_group = self.expected_group_wait(needs_primary, ahead)?;
        let own = own_per_s.filter(|per_s| *per_s > 0.0);
        let own =
            own.and_then(|per_s| Duration::try_from_secs_f64((ahead.own + 1) as f64 / per_s).ok());
        Some(own.map_or(at_group, |own| own.max(at_group)))
    }

    fn expected_group_wait(&self, needs_primary: bool, ahead: Ahead) -> Option<Duration> {
        let all = ahead.primary_only + ahead.others + 1;
        let at_primary = |statements| {
            if self.primary_delay.is_zero() {
                self.primary.time_for(statements)
            } else {
                Some(self.primary_delay)
            }
        };
        if needs_primary {
            return at_primary(ahead.primary_only + 1);
        }
        if self.replicas.per_s <= 0.0 {
            return at_primary(all);
        }
        let at_replicas = self.replicas.time_for(ahead.others + 1)?;
        if !self.primary_delay.is_zero() {
            return Some(at_replicas);
        }
        let at_any = self.primary.plus(self.replicas).time_for(all);
        Some(at_replicas.min(at_any?))
    }

    /// Returns the age of the figures on which the expected wait rests.
    pub fn age(&self, needs_primary: bool) -> Duration {
        match needs_primary {
            true => self.primary.age,
            false => self.primary.plus(self.replicas).age,
        }
    }

    /// Returns whether the rates say anything about the expected waits.
    pub fn are_known(&self) -> bool {
        let age = self.primary.age.max(self.replicas.age);
        !self.primary_delay.is_zero() || age <= FIGURES_AGE_MAX
    }

    /// Returns whether the rates are clearly worse than others.
    pub fn is_worse_than(&self, other: &Self) -> bool {
        let fell = |now: ServerRate, before: ServerRate| now.per_s < before.per_s * RATE_DROP;
        fell(self.primary, other.primary)
            || fell(self.replicas, other.replicas)
            || (other.primary_delay.is_zero() && !self.primary_delay.is_zero())
    }

    /// Returns which of the waiting statements, in the order of service, can't be served in time,
    /// with their expected waits. Those make room for the statements behind them.
    pub fn excess<K>(
        &self,
        in_order: impl IntoIterator<Item = (K, WaitingStatement)>,
    ) -> Vec<(K, WaitingStatement, Duration)> {
        let mut ahead = Ahead::default();
        let mut own: BTreeMap<(usize, bool), usize> = BTreeMap::new();
        let mut excess = Vec::new();
        for (key, statement) in in_order {
            let needs_primary = statement.needs_primary;
            let own = own.entry((statement.tenant, needs_primary)).or_default();
            ahead.own = *own;
            let expected = self.expected_wait(needs_primary, statement.own_per_s, ahead);
            match expected {
                Some(wait) if wait > statement.allowed_wait && !statement.is_hopeless => {
                    excess.push((key, statement, wait));
                }
                _ => {
                    *own += 1;
                    ahead.primary_only += usize::from(needs_primary);
                    ahead.others += usize::from(!needs_primary);
                }
            }
        }
        excess
    }
}
