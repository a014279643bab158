//! Injected faults and rate limits: outages, delays and lost answers.

use super::Config;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// How long a call hangs during an outage. Clients time out long before.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);

/// The window of the rate limits.
const RATE_WINDOW: Duration = Duration::from_secs(1);

endivereach_core::data! {
    /// The faults to inject. The default injects none.
    #[derive(Default)]
    pub struct Fault {
        /// The outage, if any.
        #[serde(default)]
        pub outage: Outage,
        /// The delay of every answer, in milliseconds.
        #[serde(default)]
        pub delay_ms: u64,
        /// The number of upcoming writes that lose their answer after they took effect.
        #[serde(default)]
        pub lose_next: u32,
        /// The average number of writes out of a thousand that lose their answer after they took
        /// effect.
        #[serde(default)]
        pub lose_per_mille: u32,
        /// The seed for the random choice of lost answers.
        #[serde(default)]
        pub seed: u64,
    }

    /// Whether and how the platform is down.
    #[derive(Copy, Default)]
    pub enum Outage {
        /// The platform is up.
        #[default]
        None,
        /// Calls are refused at once.
        Refuse,
        /// Calls hang without an answer until the outage ends.
        Hang,
    }
}

/// How a call is admitted.
pub(super) enum Admission {
    /// The call runs.
    Run,
    /// The call is refused because of a rate limit.
    RateLimited,
    /// The call is refused because of an outage.
    Refuse,
    /// The call hangs until the outage ends.
    Hang,
}

struct State {
    fault: Fault,
    rng: SmallRng,
    /// The number of times the faults were replaced. A hanging call ends when it changes.
    generation: u64,
    writes: RateLimiter,
    reads: RateLimiter,
}

/// The current faults and rate limiters.
pub(super) struct FaultInjector {
    state: Mutex<State>,
    replaced: Condvar,
}

impl FaultInjector {
    pub(super) fn new(config: &Config) -> Self {
        let state = State {
            fault: Fault::default(),
            rng: SmallRng::seed_from_u64(0),
            generation: 0,
            writes: RateLimiter::new(config.writes_per_second),
            reads: RateLimiter::new(config.reads_per_second),
        };
        Self {
            state: Mutex::new(state),
            replaced: Condvar::new(),
        }
    }

    /// Replaces the faults, and ends calls that hang because of the previous ones.
    pub(super) fn set(&self, fault: Fault) {
        let mut state = self.lock();
        state.rng = SmallRng::seed_from_u64(fault.seed);
        state.fault = fault;
        state.generation += 1;
        self.replaced.notify_all();
    }

    /// Decides whether a call runs, and sleeps for the injected delay if it does.
    pub(super) fn admit(&self, is_write: bool) -> Admission {
        let mut state = self.lock();
        match state.fault.outage {
            Outage::Refuse => return Admission::Refuse,
            Outage::Hang => return Admission::Hang,
            Outage::None => {}
        }
        let rate_limiter = if is_write {
            &mut state.writes
        } else {
            &mut state.reads
        };
        if !rate_limiter.try_acquire() {
            return Admission::RateLimited;
        }
        let delay = Duration::from_millis(state.fault.delay_ms);
        drop(state);
        thread::sleep(delay);
        Admission::Run
    }

    /// Returns whether a write that took effect must lose its answer.
    pub(super) fn should_lose_answer(&self) -> bool {
        let mut state = self.lock();
        if state.fault.lose_next > 0 {
            state.fault.lose_next -= 1;
            return true;
        }
        let per_mille = state.fault.lose_per_mille;
        per_mille > 0 && state.rng.random_range(0..1000) < per_mille
    }

    /// Blocks until the faults are replaced, or until [`HANG_TIMEOUT`].
    pub(super) fn hang(&self) {
        let state = self.lock();
        let generation = state.generation;
        drop(
            self.replaced
                .wait_timeout_while(state, HANG_TIMEOUT, |state| state.generation == generation),
        );
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A rate limiter that counts calls in fixed windows.
struct RateLimiter {
    limit: Option<u32>,
    window_start: Instant,
    used: u32,
}

impl RateLimiter {
    fn new(limit: Option<u32>) -> Self {
        Self {
            limit,
            window_start: Instant::now(),
            used: 0,
        }
    }

    /// Counts a call in the current window, and returns whether it is within the limit.
    fn try_acquire(&mut self) -> bool {
        if self.window_start.elapsed() >= RATE_WINDOW {
            self.window_start = Instant::now();
            self.used = 0;
        }
        self.used += 1;
        self.limit.is_none_or(|limit| self.used <= limit)
    }
}
