//! Read floors: positions that include everything acknowledged before a moment.
//!
//! A round asks the members for their status after the request arrived. Every acknowledged commit is
//! held by a majority, whose members keep it for good. Any majority that answers shares a member with
//! that one, so the highest durable position among its answers includes the commit. Neither the primary
//! nor equal terms nor missing fences are needed: rounds go on through a promotion.

use crate::confirm::Report;
use crate::ids::Position;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// How many age samples are kept.
const SAMPLES_MAX: usize = 64;

/// How many samples are taken within the shortest age that was asked for.
const SAMPLES_PER_AGE: u32 = 8;

/// The shortest time between two age samples.
const SAMPLE_INTERVAL_MIN: Duration = Duration::from_millis(50);

/// How long samples are taken after the last read that needed one.
const DEMAND_LINGER: Duration = Duration::from_secs(5);

/// One round of status reports, all asked for after the round began.
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
///     leads: false,
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
    /// Begins a round of a group in which `majority` members make a majority.
    pub fn new(majority: usize) -> Self {
        Self {
            majority,
            reports: BTreeMap::new(),
        }
    }

    /// Takes an answer in. It must have been asked for after the round began.
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

/// A floor and when its round began.
#[derive(Clone, Copy, Debug)]
struct Sample {
    asked_at: Instant,
    floor: Position,
}

/// Recent floors, kept while reads of a stated age come in.
///
/// Ages are differences of this process's own monotonic clock: no clock of another machine takes part.
#[derive(Clone, Debug, Default)]
pub struct AgeSamples {
    samples: VecDeque<Sample>,
    demand: Option<Demand>,
}

/// The most recent demand for samples.
#[derive(Clone, Copy, Debug)]
struct Demand {
    at: Instant,
    max_age: Duration,
}

impl AgeSamples {
    /// Keeps the floor of a round that began at `asked_at`.
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

    /// Returns the oldest floor whose round began at most `max_age` ago, and notes the demand.
    ///
    /// The oldest is the easiest for a replica to include.
    pub fn floor(&mut self, now: Instant, max_age: Duration) -> Option<Position> {
        let max_age_wanted = match self.demand {
            Some(demand) if now < demand.at + DEMAND_LINGER => demand.max_age.min(max_age),
            _ => max_age,
        };
        self.demand = Some(Demand {
            at: now,
            max_age: max_age_wanted,
        });
        let recent = |sample: &&Sample| now.saturating_duration_since(sample.asked_at) <= max_age;
        let oldest = self.samples.iter().find(recent);
        oldest.map(|sample| sample.floor)
    }

    /// Returns whether a round should be run now for the reads that come in.
    pub fn is_due(&self, now: Instant) -> bool {
        self.is_due_at_rate(now, SAMPLES_PER_AGE)
    }

    /// Returns whether a round should be run now, with so many samples within the shortest age that
    /// was asked for.
    pub fn is_due_at_rate(&self, now: Instant, samples_per_age: u32) -> bool {
        let Some(demand) = self.demand else {
            return false;
        };
        if now >= demand.at + DEMAND_LINGER {
            return false;
        }
        // A long age doesn't need more samples than are kept.
        let interval = (demand.max_age / samples_per_age.max(1)).max(SAMPLE_INTERVAL_MIN);
        self.samples
            .back()
            .is_none_or(|last| now >= last.asked_at + interval)
    }
}
