//! Read floors: positions that include every commit acknowledged before a given time.
//!
//! A round requests the members' status after a read arrived. Every acknowledged commit is held by
//! a majority, whose members never lose it. Any majority that answers shares a member with that
//! one, so the highest durable position among the answers includes the commit. A round requires
//! neither an answer of the primary, nor equal terms, nor unfenced members, so it works during a
//! promotion.

use crate::confirm::Report;
use crate::ids::Position;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// The maximum number of age samples that are kept.
const SAMPLES_MAX: usize = 64;

/// The number of samples that are taken within the shortest requested age.
const SAMPLES_PER_AGE: u32 = 8;

/// The minimum interval between two age samples.
const SAMPLE_INTERVAL_MIN: Duration = Duration::from_millis(50);

/// How long sampling continues after the last read that needed a sample.
const DEMAND_TIMEOUT: Duration = Duration::from_secs(5);

/// One round of status reports, all requested after the round began.
///
/// # Examples
///
/// ```
/// use endivereach_core::confirm::Report;
/// use endivereach_core::floor::Round;
/// use endivereach_core::ids::{Position, Term};
///
/// let report = |member, index| Report {
///     member,
///     is_primary: false,
///     term: Term::new(3),
///     fenced_term: Term::new(3),
///     durable: Position::new(3, index),
/// };
/// let mut round = Round::new(2);
/// round.record(report("m1", 7));
/// assert_eq!(round.floor(), None);
/// round.record(report("m2", 9));
/// assert_eq!(round.floor(), Some(Position::new(3, 9)));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Round<M> {
    majority: usize,
    reports: BTreeMap<M, Report<M>>,
}

impl<M: Clone + Ord> Round<M> {
    /// Begins a round for a group whose majority is `majority` members.
    pub fn new(majority: usize) -> Self {
        Self {
            majority,
            reports: BTreeMap::new(),
        }
    }

    /// Records a report, which must have been requested after the round began.
    pub fn record(&mut self, report: Report<M>) {
        self.reports.insert(report.member.clone(), report);
    }

    /// Returns the floor, or `None` while too few members have answered.
    pub fn floor(&self) -> Option<Position> {
        if self.reports.len() < self.majority {
            return None;
        }
        self.reports.values().map(|report| report.durable).max()
    }
}

/// A floor with the time at which its round began.
#[derive(Clone, Copy, Debug)]
struct Sample {
    asked_at: Instant,
    floor: Position,
}

/// Recent floors, kept while there are reads with a maximum age.
///
/// Ages are differences of this process's monotonic clock; the clocks of other machines are not
/// used.
#[derive(Clone, Debug, Default)]
pub struct AgeSamples {
    samples: VecDeque<Sample>,
    demand: Option<Demand>,
}

/// The most recent read with a maximum age, and the shortest age requested.
#[derive(Clone, Copy, Debug)]
struct Demand {
    at: Instant,
    max_age: Duration,
}

impl AgeSamples {
    /// Records the floor of a round that began at `asked_at`, unless the last sample is too recent.
    pub fn record(&mut self, asked_at: Instant, floor: Position) {
        if let Some(last) = self.samples.back()
            && asked_at < last.asked_at + SAMPLE_INTERVAL_MIN
        {
            return;
        }
        if self.samples.len() == SAMPLES_MAX {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample { asked_at, floor });
    }

    /// Returns the oldest floor whose round began at most `max_age` ago, and records the demand.
    ///
    /// The oldest floor is the one that a lagging replica is most likely to include.
    pub fn floor(&mut self, now: Instant, max_age: Duration) -> Option<Position> {
        let shortest_max_age = match self.demand {
            Some(demand) if now < demand.at + DEMAND_TIMEOUT => demand.max_age.min(max_age),
            _ => max_age,
        };
        self.demand = Some(Demand {
            at: now,
            max_age: shortest_max_age,
        });
        let recent = |sample: &&Sample| now.saturating_duration_since(sample.asked_at) <= max_age;
        let oldest = self.samples.iter().find(recent);
        oldest.map(|sample| sample.floor)
    }

    /// Returns whether a round is due for the current demand.
    pub fn is_due(&self, now: Instant) -> bool {
        self.is_due_at_interval(now, 100 / SAMPLES_PER_AGE)
    }

    /// Returns whether a round is due, at an interval of `age_percent` percent of the shortest
    /// requested age.
    pub fn is_due_at_interval(&self, now: Instant, age_percent: u32) -> bool {
        let Some(demand) = self.demand else {
            return false;
        };
        if now >= demand.at + DEMAND_TIMEOUT {
            return false;
        }
        // The interval grows with the age, which limits the number of samples of a long age.
        let interval = (demand.max_age * age_percent / 100).max(SAMPLE_INTERVAL_MIN);
        self.samples
            .back()
            .is_none_or(|last| now >= last.asked_at + interval)
    }
}
