//! Read routing: selects the server that a read is sent to.

use crate::ids::Position;
use std::time::Duration;

/// The network distance between the proxy and a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// The server runs in the proxy's own availability zone.
    SameZone,
    /// The server runs in another availability zone.
    OtherZone,
    /// The round trip was measured.
    Measured(Duration),
}

/// A server that is considered for a read.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Whether the server is the primary, which is used only if it is clearly faster than the
    /// replicas.
    pub is_primary: bool,
    /// Whether the server is leaving and must not receive new statements.
    pub is_leaving: bool,
    /// Whether the server answers.
    pub is_reachable: bool,
    /// The applied position that the server last reported.
    pub applied: Position,
    /// The number of statements that this proxy currently runs on the server.
    pub in_flight: u32,
    /// The number of statements that the server runs in parallel.
    pub slots: u32,
    /// The network distance to the server.
    pub distance: Distance,
    /// The time that one statement takes in a slot.
    pub service_time: Duration,
}

/// The assumed time of one statement in a slot if no measurement is available.
pub const SERVICE_TIME_DEFAULT: Duration = Duration::from_micros(500);
/// The time added to the primary's expected completion, which reserves capacity for statements that
/// only the primary can run.
const PRIMARY_READ_PENALTY: Duration = Duration::from_millis(12);
/// The assumed round-trip time within an availability zone.
const SAME_ZONE_ROUND_TRIP: Duration = Duration::from_micros(300);
/// The assumed round-trip time between availability zones.
pub const OTHER_ZONE_ROUND_TRIP: Duration = Duration::from_millis(7);
/// The assumed round-trip time between regions if no measurement is available.
pub const OTHER_REGION_ROUND_TRIP: Duration = Duration::from_millis(60);

impl Candidate {
    /// Returns the expected time until the server has answered one more statement.
    pub fn expected_completion(&self) -> Duration {
        let round_trip = match self.distance {
            Distance::SameZone => SAME_ZONE_ROUND_TRIP,
            Distance::OtherZone => OTHER_ZONE_ROUND_TRIP,
            Distance::Measured(round_trip) => round_trip,
        };
        let batches_ahead = self.in_flight / self.slots.max(1);
        round_trip + self.service_time * (batches_ahead + 1)
    }

    fn can_serve(&self, required: Position) -> bool {
        self.is_reachable && !self.is_leaving && self.applied >= required
    }
}

/// Returns the index of the replica that is expected to answer first among those that have applied
/// `required`, or `None` if there is none.
///
/// `skip` returns whether a candidate must not be used, for example after a failed attempt.
/// `rotation` selects among equal candidates, which balances the load.
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
    rotation: usize,
) -> Option<usize> {
    let count = candidates.len();
    (0..count)
        .map(|offset| (offset + rotation) % count)
        .filter(|&index| !candidates[index].is_primary && !skip(index))
        .filter(|&index| candidates[index].can_serve(required))
        .min_by_key(|&index| candidates[index].expected_completion())
}

/// Returns whether any replica that isn't skipped can serve reads, regardless of its replication
/// lag.
pub fn has_usable_replica(candidates: &[Candidate], skip: impl Fn(usize) -> bool) -> bool {
    let any_position = Position::default();
    candidates.iter().enumerate().any(|(index, candidate)| {
        !candidate.is_primary && !skip(index) && candidate.can_serve(any_position)
    })
}

/// Returns the index of the target, primary or replica, that is expected to answer a read first
/// among those that have applied `required`, or `None` if there is none.
///
/// The primary is chosen only if it is faster than every replica by a fixed margin.
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
    rotation: usize,
) -> Option<usize> {
    let cost = |index: usize| {
        let candidate = &candidates[index];
        let penalty = if candidate.is_primary {
            PRIMARY_READ_PENALTY
        } else {
            Duration::ZERO
        };
        candidate.expected_completion() + penalty
    };
    let count = candidates.len();
    (0..count)
        .map(|offset| (offset + rotation) % count)
        .filter(|&index| !skip(index) && candidates[index].can_serve(required))
        .min_by_key(|&index| cost(index))
}
