//! The round trip to a server, measured by its replies.
//!
//! Load: a site with several regions, whose distances differ a hundredfold. A reply takes the round
//! trip and the time in the server, so the smallest recent one is close to the round trip.

use std::time::Duration;
use std::time::Instant;

/// The interval after which older replies are forgotten, after between one and two of it. Longer than
/// most overloads, whose replies are all late.
const INTERVAL: Duration = Duration::from_secs(10);

/// The smallest time that recent replies took.
///
/// # Examples
///
/// ```
/// use endivereach_core::round_trip::RoundTrip;
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mut round_trip = RoundTrip::default();
/// assert_eq!(round_trip.get(), None);
/// round_trip.record(now, Duration::from_millis(75));
/// round_trip.record(now, Duration::from_millis(61));
/// round_trip.record(now, Duration::from_millis(190));
/// assert_eq!(round_trip.get(), Some(Duration::from_millis(61)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundTrip {
    /// When the current interval began, and its smallest time.
    current: Option<(Instant, Duration)>,
    /// The smallest time of the interval before.
    previous: Option<Duration>,
}

impl RoundTrip {
    /// Records the time from a command to its reply at `now`.
    pub fn record(&mut self, now: Instant, time: Duration) {
        match &mut self.current {
            Some((since, smallest)) if now < *since + INTERVAL => *smallest = time.min(*smallest),
            current => {
                self.previous = current.map(|(_, smallest)| smallest);
                *current = Some((now, time));
            }
        }
    }

    /// Returns the round trip, or `None` before the first reply.
    pub fn get(&self) -> Option<Duration> {
        let (_, current) = self.current?;
        Some(
            self.previous
                .map_or(current, |previous| previous.min(current)),
        )
    }
}
