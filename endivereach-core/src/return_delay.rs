//! Load: many callers are refused at once and repeat their operations. Spreads their returns over
//! the time in which the servers can serve them, higher priorities first.

use crate::treatment::Priority;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// The minimum delay. A shorter one would use up a caller's repeats before anything has changed.
const DELAY_MIN: Duration = Duration::from_millis(20);

/// A statement that is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Its priority.
    pub priority: Priority,
    /// The time until servers can run such statements at all.
    pub closed_for: Duration,
    /// The time in which the waiting statements of its priority and above are served.
    pub backlog: Duration,
    /// The time by which one more statement extends the backlog.
    pub service_time: Duration,
    /// The maximum spread. Callers give up if their repeats take too long.
    pub spread_max: Duration,
}

/// When the refused callers of a group come back.
///
/// The callers that were told to return extend the backlog: otherwise a burst of refusals would come
/// back as a burst.
///
/// # Examples
///
/// ```
/// use endivereach_core::return_delay::{Refused, ReturnSchedule};
/// use endivereach_core::treatment::Priority;
/// use std::time::{Duration, Instant};
///
/// let refused = Refused {
///     priority: Priority::Normal,
///     closed_for: Duration::ZERO,
///     backlog: Duration::from_millis(390),
///     service_time: Duration::from_millis(10),
///     spread_max: Duration::from_millis(800),
/// };
/// let mut schedule = ReturnSchedule::default();
/// let now = Instant::now();
/// assert_eq!(schedule.next_delay(now, &refused, 0.5), Duration::from_millis(200));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReturnSchedule {
    /// When the backlog of each priority and above, with the callers that return, is served.
    served_at: BTreeMap<Priority, Instant>,
}

impl ReturnSchedule {
    /// Returns after what delay a refused caller may try again. `draw`, from 0 to 1, is random.
    pub fn next_delay(&mut self, now: Instant, refused: &Refused, draw: f64) -> Duration {
        let opens_at = now + refused.closed_for;
        let known = self.served_at.get(&refused.priority).copied();
        let backlog_served_at = opens_at + refused.backlog;
        let served_at =
            known.map_or(backlog_served_at, |at| at.max(backlog_served_at)) + refused.service_time;
        self.served_at.insert(refused.priority, served_at);
        for (_, lower) in self.served_at.range_mut(..refused.priority) {
            *lower = (*lower + refused.service_time).max(served_at);
        }
        let spread = (served_at - opens_at).min(refused.spread_max);
        refused.closed_for + spread.mul_f64(draw.clamp(0.0, 1.0)).max(DELAY_MIN)
    }
}
