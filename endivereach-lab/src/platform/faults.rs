//! Outages, delays, lost answers and rate limits.

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

/// How long an unanswered call is held. Clients give up long before.
const HANG: Duration = Duration::from_secs(60);

/// The window over which rates are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

endivereach_core::data! {
    /// The faults that are injected from now on. The default injects none.
    #[derive(Default)]
    pub struct Fault {
        /// The outage, if there is one.
        #[serde(default)]
        pub outage: Outage,
        /// By how much every answer is delayed, in milliseconds.
        #[serde(default)]
        pub delay_ms: u64,
        /// How many of the next writes lose their answer after taking effect.
        #[serde(default)]
        pub lose_next: u32,
        /// Out of a thousand writes, how many lose their answer after taking effect.
        #[serde(default)]
        pub lose_per_mille: u32,
        /// The seed of the choice of lost answers.
        #[serde(default)]
        pub seed: u64,
    }

    /// Whether and how the platform is down.
    #[derive(Copy, Default)]
    pub enum Outage {
        /// It is not.
        #[default]
        None,
        /// Calls are refused at once.
        Refuse,
        /// Calls get no answer until the outage ends.
        Hang,
    }
}

/// What happens to a call.
pub(super) enum Verdict {
    /// It runs.
    Run,
    /// It is refused because of a rate limit.
    Limit,
    /// It is refused because of an outage.
    Refuse,
    /// It gets no answer.
    Hang,
}

struct State {
    fault: Fault,
    rng: SmallRng,
    /// Counts how often the faults were replaced, which ends calls that hang.
    generation: u64,
    writes: Rate,
    reads: Rate,
}

/// The faults in force.
pub(super) struct Faults {
    state: Mutex<State>,
    replaced: Condvar,
}

impl Faults {
    pub(super) fn new(config: &Config) -> Self {
        let state = State {
            fault: Fault::default(),
            rng: SmallRng::seed_from_u64(0),
            generation: 0,
            writes: Rate::new(config.writes_per_second),
            reads: Rate::new(config.reads_per_second),
        };
        Self {
            state: Mutex::new(state),
            replaced: Condvar::new(),
        }
    }

    /// Replaces the faults, and ends calls that hang because of the former ones.
    pub(super) fn set(&self, fault: Fault) {
        let mut state = self.lock();
        state.rng = SmallRng::seed_from_u64(fault.seed);
        state.fault = fault;
        state.generation += 1;
        self.replaced.notify_all();
    }

    /// Decides about a call, after the delay in force.
    pub(super) fn admit(&self, is_write: bool) -> Verdict {
        let mut state = self.lock();
        match state.fault.outage {
            Outage::Refuse => return Verdict::Refuse,
            Outage::Hang => return Verdict::Hang,
            Outage::None => {}
        }
        let rate = if is_write {
            &mut state.writes
        } else {
            &mut state.reads
        };
        if !rate.take() {
            return Verdict::Limit;
        }
        let delay = Duration::from_millis(state.fault.delay_ms);
        drop(state);
        thread::sleep(delay);
        Verdict::Run
    }

    /// Decides whether a write that took effect loses its answer.
    pub(super) fn loses_answer(&self) -> bool {
        let mut state = self.lock();
        if state.fault.lose_next > 0 {
            state.fault.lose_next -= 1;
            return true;
        }
        let share = state.fault.lose_per_mille;
        share > 0 && state.rng.random_range(0..1000) < share
    }

    /// Holds a call until the faults are replaced or its client has long given up.
    pub(super) fn hang(&self) {
        let state = self.lock();
        let generation = state.generation;
        drop(
            self.replaced
                .wait_timeout_while(state, HANG, |state| state.generation == generation),
        );
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A count of calls within the present window.
struct Rate {
    limit: Option<u32>,
    window_start: Instant,
    used: u32,
}

impl Rate {
    fn new(limit: Option<u32>) -> Self {
        Self {
            limit,
            window_start: Instant::now(),
            used: 0,
        }
    }

    /// Takes one call out of the window, if there is one left.
    fn take(&mut self) -> bool {
        if self.window_start.elapsed() >= RATE_WINDOW {
            self.window_start = Instant::now();
            self.used = 0;
        }
        self.used += 1;
        self.limit.is_none_or(|limit| self.used <= limit)
    }
}
