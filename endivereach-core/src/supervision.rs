//! When a failed thread is started again, and when a silent one counts as stalled.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// The window over which restarts are counted.
const RESTART_WINDOW: Duration = Duration::from_secs(60);

/// How often and how soon a failed child is started again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestartConfig {
    /// Restarts allowed within one minute. Default: 10.
    pub restarts_per_minute_max: u32,
    /// The delay before the first restart. It doubles with each further one. Default: 50 ms.
    pub first_delay: Duration,
    /// The longest delay before a restart. Default: 5 s.
    pub delay_max: Duration,
}

impl Default for RestartConfig {
    fn default() -> Self {
        Self {
            restarts_per_minute_max: 10,
            first_delay: Duration::from_millis(50),
            delay_max: Duration::from_secs(5),
        }
    }
}

/// What follows a child's failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterFailure {
    /// Start it again after `delay`.
    Restart {
        /// How long to wait first.
        delay: Duration,
    },
    /// Give up: restarting doesn't help.
    GiveUp,
}

/// Decides what follows each failure of one child.
///
/// # Examples
///
/// ```
/// use endivereach_core::supervision::{AfterFailure, RestartConfig, Restarts};
/// use std::time::Instant;
///
/// let mut restarts = Restarts::new(RestartConfig { restarts_per_minute_max: 1, ..RestartConfig::default() });
/// let now = Instant::now();
/// assert!(matches!(restarts.after_failure(now), AfterFailure::Restart { .. }));
/// assert_eq!(restarts.after_failure(now), AfterFailure::GiveUp);
/// ```
#[derive(Clone, Debug)]
pub struct Restarts {
    config: RestartConfig,
    recent: VecDeque<Instant>,
}

impl Restarts {
    /// Creates the state of a child that has not failed yet.
    pub const fn new(config: RestartConfig) -> Self {
        Self {
            config,
            recent: VecDeque::new(),
        }
    }

    /// Records a failure at `now` and returns what follows.
    pub fn after_failure(&mut self, now: Instant) -> AfterFailure {
        while let Some(first) = self.recent.front() {
            if now.saturating_duration_since(*first) < RESTART_WINDOW {
                break;
            }
            self.recent.pop_front();
        }
        if self.recent.len() >= self.config.restarts_per_minute_max as usize {
            return AfterFailure::GiveUp;
        }
        let doublings = self.recent.len().min(16) as u32;
        self.recent.push_back(now);
        let delay = self.config.first_delay * 2u32.pow(doublings);
        AfterFailure::Restart {
            delay: delay.min(self.config.delay_max),
        }
    }
}

/// After how many unchanged ticks of the watchdog a child counts as stalled.
///
/// Ticks are counted instead of time, because a paused process gets no ticks: waking up after a
/// long pause must not look like a stall of every thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StallConfig {
    /// Ticks without a heartbeat before the stall is reported. Default: 10.
    pub report_after_ticks: u32,
    /// Ticks without a heartbeat before the process gives up. Default: 60.
    pub give_up_after_ticks: u32,
}

impl Default for StallConfig {
    fn default() -> Self {
        Self {
            report_after_ticks: 10,
            give_up_after_ticks: 60,
        }
    }
}

/// What the watchdog sees of a child at one tick.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pulse {
    /// It moves, or has not been silent for long.
    Moving,
    /// It has just been silent for too long. Reported once per stall.
    Stalled,
    /// It has just moved again after a reported stall.
    Recovered,
    /// It has been silent beyond the bound.
    GiveUp,
}

/// Notices that one child no longer moves.
#[derive(Clone, Debug)]
pub struct StallWatch {
    config: StallConfig,
    beats: u64,
    silent_ticks: u32,
}

impl StallWatch {
    /// Creates the watch of a child that has not moved yet.
    pub const fn new(config: StallConfig) -> Self {
        Self {
            config,
            beats: 0,
            silent_ticks: 0,
        }
    }

    /// Compares the child's count of heartbeats with the one at the last tick.
    pub fn tick(&mut self, beats: u64) -> Pulse {
        if beats != self.beats {
            self.beats = beats;
            let was_reported = self.silent_ticks >= self.config.report_after_ticks;
            self.silent_ticks = 0;
            return if was_reported {
                Pulse::Recovered
            } else {
                Pulse::Moving
            };
        }
        self.silent_ticks = self.silent_ticks.saturating_add(1);
        if self.silent_ticks >= self.config.give_up_after_ticks {
            Pulse::GiveUp
        } else if self.silent_ticks == self.config.report_after_ticks {
            Pulse::Stalled
        } else {
            Pulse::Moving
        }
    }
}
