//! Thread supervision: decides when a failed thread is restarted and when a thread counts as
//! stalled.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// The window over which restarts are counted.
const RESTART_WINDOW: Duration = Duration::from_secs(60);

/// Limits and delays for restarts of a failed thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestartConfig {
    /// The maximum number of restarts within one minute. Default: 10.
    pub restarts_per_minute_max: u32,
    /// The delay before the first restart, which doubles with each further one. Default: 50 ms.
    pub first_delay: Duration,
    /// The maximum delay before a restart. Default: 5 s.
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

/// The response to a thread's failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestartDecision {
    /// Restart the thread after `delay`.
    Restart {
        /// The time to wait before the restart.
        delay: Duration,
    },
    /// Don't restart the thread, because it has failed too often within one minute.
    Stop,
}

/// Decides how to respond to each failure of one thread.
///
/// # Examples
///
/// ```
/// use endivereach_core::supervision::{RestartConfig, RestartDecision, RestartPolicy};
/// use std::time::Instant;
///
/// let config = RestartConfig { restarts_per_minute_max: 1, ..RestartConfig::default() };
/// let mut restarts = RestartPolicy::new(config);
/// let now = Instant::now();
/// assert!(matches!(restarts.after_failure(now), RestartDecision::Restart { .. }));
/// assert_eq!(restarts.after_failure(now), RestartDecision::Stop);
/// ```
#[derive(Clone, Debug)]
pub struct RestartPolicy {
    config: RestartConfig,
    recent_restarts: VecDeque<Instant>,
}

impl RestartPolicy {
    /// Creates the state of a thread that has not failed yet.
    pub const fn new(config: RestartConfig) -> Self {
        Self {
            config,
            recent_restarts: VecDeque::new(),
        }
    }

    /// Records a failure at `now` and returns how to respond.
    pub fn after_failure(&mut self, now: Instant) -> RestartDecision {
        while let Some(first) = self.recent_restarts.front() {
            if now.saturating_duration_since(*first) < RESTART_WINDOW {
                break;
            }
            self.recent_restarts.pop_front();
        }
        if self.recent_restarts.len() >= self.config.restarts_per_minute_max as usize {
            return RestartDecision::Stop;
        }
        let doublings = self.recent_restarts.len().min(16) as u32;
        self.recent_restarts.push_back(now);
        let delay = self.config.first_delay * 2u32.pow(doublings);
        RestartDecision::Restart {
            delay: delay.min(self.config.delay_max),
        }
    }
}

/// Limits on the number of consecutive watchdog ticks without a heartbeat.
///
/// Ticks are counted instead of time, because a paused process gets no ticks. Otherwise, resuming
/// after a long pause would look like a stall of every thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StallConfig {
    /// Ticks without a heartbeat before the stall is reported. Default: 10.
    pub report_after_ticks: u32,
    /// Ticks without a heartbeat before the process is ended. Default: 60.
    pub fail_after_ticks: u32,
}

impl Default for StallConfig {
    fn default() -> Self {
        Self {
            report_after_ticks: 10,
            fail_after_ticks: 60,
        }
    }
}

/// The watchdog's assessment of a thread at one tick.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatStatus {
    /// The thread sends heartbeats, or has missed too few for a stall.
    Alive,
    /// The thread has now missed enough heartbeats for a stall. Returned once per stall.
    Stalled,
    /// The thread sent a heartbeat after a reported stall.
    Recovered,
    /// The stall has reached [`StallConfig::fail_after_ticks`].
    TimedOut,
}

/// Detects that one thread sends no heartbeats.
#[derive(Clone, Debug)]
pub struct StallDetector {
    config: StallConfig,
    heartbeats: u64,
    silent_ticks: u32,
}

impl StallDetector {
    /// Creates the detector for a thread that has not sent a heartbeat yet.
    pub const fn new(config: StallConfig) -> Self {
        Self {
            config,
            heartbeats: 0,
            silent_ticks: 0,
        }
    }

    /// Compares the thread's heartbeat count with the count at the previous tick.
    pub fn tick(&mut self, heartbeats: u64) -> HeartbeatStatus {
        if heartbeats != self.heartbeats {
            self.heartbeats = heartbeats;
            let was_reported = self.silent_ticks >= self.config.report_after_ticks;
            self.silent_ticks = 0;
            return if was_reported {
                HeartbeatStatus::Recovered
            } else {
                HeartbeatStatus::Alive
            };
        }
        self.silent_ticks = self.silent_ticks.saturating_add(1);
        if self.silent_ticks >= self.config.fail_after_ticks {
            HeartbeatStatus::TimedOut
        } else if self.silent_ticks == self.config.report_after_ticks {
            HeartbeatStatus::Stalled
        } else {
            HeartbeatStatus::Alive
        }
    }
}
