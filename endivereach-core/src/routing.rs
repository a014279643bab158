//! Which server a read is sent to.

use crate::ids::Position;
use std::time::Duration;

/// How far away a server runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the proxy's own availability zone.
    SameZone,
    /// In another availability zone.
    OtherZone,
}

/// A server that could answer a read.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Whether it is the primary, which is spared when a replica will do.
    pub is_primary: bool,
    /// Whether it is leaving and must get no new work.
    pub is_leaving: bool,
    /// Whether it answers.
    pub is_reachable: bool,
    /// The position that it was last seen to have applied.
    pub applied: Position,
    /// Statements that this proxy runs on it now.
    pub in_flight: u32,
    /// Statements that it runs at a time.
    pub slots: u32,
    /// How far away it runs.
    pub distance: Distance,
    /// How long one statement takes in a slot.
    pub service_time: Duration,
}

/// The assumed time of one statement in a slot, where nothing was measured.
pub const SERVICE_TIME_DEFAULT: Duration = Duration::from_micros(500);
/// How much sooner a primary has to be done than the best replica to be sent a read, so that room
/// is left for what only a primary can do.
const PRIMARY_RESERVE: Duration = Duration::from_millis(12);
/// The assumed round trip inside an availability zone.
const SAME_ZONE_ROUND_TRIP: Duration = Duration::from_micros(300);
/// The assumed round trip between availability zones.
const OTHER_ZONE_ROUND_TRIP: Duration = Duration::from_millis(7);

impl Candidate {
    /// Returns when the server is expected to have answered one more statement.
    pub fn expected_completion(&self) -> Duration {
        let round_trip = match self.distance {
            Distance::SameZone => SAME_ZONE_ROUND_TRIP,
            Distance::OtherZone => OTHER_ZONE_ROUND_TRIP,
        };
        let turns_waited = self.in_flight / self.slots.max(1);
        round_trip + self.service_time * (turns_waited + 1)
    }

    fn may_serve(&self, required: Position) -> bool {
        self.is_reachable && !self.is_leaving && self.applied >= required
    }
}

/// Returns the index of the replica that is expected to answer first among those that include
/// `required`, or `None` when no replica does. `skip` tells which ones not to use again. Equal ones
/// are told apart by `turn`, so that work is spread.
///
/// # Examples
///
/// ```
/// use endivereach_core::ids::Position;
/// use endivereach_core::routing::{Candidate, Distance, SERVICE_TIME_DEFAULT, choose_replica};
///
/// let replica = |index, distance| Candidate {
///     is_primary: false,
///     is_leaving: false,
///     is_reachable: true,
///     applied: Position::new(1, index),
///     in_flight: 0,
///     slots: 2,
///     distance,
///     service_time: SERVICE_TIME_DEFAULT,
/// };
/// let far = replica(9, Distance::OtherZone);
/// let behind = replica(3, Distance::SameZone);
/// let chosen = choose_replica(&[behind, far], Position::new(1, 5), |_| false, 0);
/// assert_eq!(chosen, Some(1));
/// ```
pub fn choose_replica(
    candidates: &[Candidate],
    required: Position,
    skip: impl Fn(usize) -> bool,
    turn: usize,
) -> Option<usize> {
    let count = candidates.len();
    (0..count)
        .map(|offset| (offset + turn) % count)
        .filter(|&index| !candidates[index].is_primary && !skip(index))
        .filter(|&index| candidates[index].may_serve(required))
        .min_by_key(|&index| candidates[index].expected_completion())
}

/// Returns whether any replica that isn't skipped could serve reads at all, however far behind it is.
pub fn any_replica(candidates: &[Candidate], skip: impl Fn(usize) -> bool) -> bool {
    let behind = Position::default();
    candidates.iter().enumerate().any(|(index, candidate)| {
        !candidate.is_primary && !skip(index) && candidate.may_serve(behind)
    })
}

/// Returns the index of the target, primary or replica, that is expected to answer a read first
/// among those that include `required`. A primary has to be clearly quicker than every replica.
///
/// # Examples
///
/// ```
/// use endivereach_core::ids::Position;
/// use endivereach_core::routing::{Candidate, Distance, SERVICE_TIME_DEFAULT, choose_target};
///
/// let primary = Candidate {
///     is_primary: true,
///     is_leaving: false,
///     is_reachable: true,
///     applied: Position::new(1, 9),
///     in_flight: 0,
///     slots: 2,
///     distance: Distance::SameZone,
///     service_time: SERVICE_TIME_DEFAULT,
/// };
/// let replica = Candidate { is_primary: false, distance: Distance::OtherZone, ..primary };
/// let required = Position::new(1, 5);
/// assert_eq!(choose_target(&[primary, replica], required, |_| false, 0), Some(1));
/// assert_eq!(choose_target(&[primary, replica], required, |index| index == 1, 0), Some(0));
/// ```
pub fn choose_target(
    candidates: &[Candidate],
    required: Position,
    skip: impl Fn(usize) -> bool,
    turn: usize,
) -> Option<usize> {
    let cost = |index: usize| {
        let candidate = &candidates[index];
        let reserve = if candidate.is_primary {
            PRIMARY_RESERVE
        } else {
            Duration::ZERO
        };
        candidate.expected_completion() + reserve
    };
    let count = candidates.len();
    (0..count)
        .map(|offset| (offset + turn) % count)
        .filter(|&index| !skip(index) && candidates[index].may_serve(required))
        .min_by_key(|&index| cost(index))
}
