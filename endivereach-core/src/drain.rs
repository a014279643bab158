//! A planned stop: which work a process still takes, and when it exits.
//!
//! # Invariants
//!
//! - An operation that begins after idle sessions have ended is refused at once, as not run. So is
//!   every statement of a transaction after transactions have ended, but for its end.
//! - So no session outlives the operation that it runs when sessions begin to end, however fast its
//!   caller sends the next one.
//! - Every caller that waits for an answer gets one before the process exits.

use crate::engine::statement::Answer;
use crate::engine::statement::Body;
use crate::engine::statement::Failure;
use crate::engine::statement::SessionState;
use std::time::Duration;
use std::time::Instant;

/// The delay between the start of a planned stop and the end of idle sessions. By then the load
/// balancer has removed the VM, so callers that reconnect reach another one.
const SESSION_END_DELAY: Duration = Duration::from_millis(2_300);

/// The time after the start of a planned stop at which open transactions without a pending
/// statement are aborted.
const TRANSACTION_TIMEOUT: Duration = Duration::from_millis(2_900);

/// The part of the grace period after which all sessions end, in percent.
const SESSIONS_PERCENT: u32 = 85;

/// The part of the grace period after which the process exits even if answers are unsent, in
/// percent.
const EXIT_PERCENT: u32 = 95;

/// The part of the grace period before which the process doesn't exit, in percent.
const MIN_PERCENT: u32 = 50;

/// The message to callers whose operation or session a stopping process doesn't take.
pub const REFUSAL_MESSAGE: &str = "this proxy is stopping; connect again";

crate::value! {
    /// The phase of a planned stop.
    pub enum Phase {
        /// The load balancer may still send new callers. Everything is served.
        Announced,
        /// Sessions end once they are idle. Open transactions continue.
        EndingSessions,
        /// Transactions may only be committed or rolled back.
        EndingTransactions,
    }

    /// What is done with a statement that arrives during a planned stop.
    pub enum Admission {
        /// Process the statement as usual.
        Serve,
        /// Answer with [`refused_answer`] and end the session.
        Refuse,
        /// Roll the transaction back, answer with [`aborted_answer`] and end the session.
        Abort,
    }
}

/// A planned stop.
///
/// # Examples
///
/// ```
/// use endivereach_core::drain::{Admission, Drain};
/// use endivereach_core::engine::statement::{Body, SessionState};
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let drain = Drain::new(now);
/// let begin = Body::Begin { read_only: false };
/// assert_eq!(drain.admission(now, SessionState::Idle, &begin), Admission::Serve);
/// let later = now + Duration::from_secs(4);
/// assert_eq!(drain.admission(later, SessionState::Idle, &begin), Admission::Refuse);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    began_at: Instant,
}

impl Drain {
    /// Creates a stop that begins at `began_at`.
    pub fn new(began_at: Instant) -> Self {
        Self { began_at }
    }

    /// Returns the phase at `now`.
    pub fn phase(&self, now: Instant) -> Phase {
        let elapsed = now.saturating_duration_since(self.began_at);
        if elapsed >= TRANSACTION_TIMEOUT {
            Phase::EndingTransactions
        } else if elapsed >= SESSION_END_DELAY {
            Phase::EndingSessions
        } else {
            Phase::Announced
        }
    }

    /// Returns whether a session may start. A proxy that relays a session can choose another home at
    /// once, but callers only when the load balancer knows of the stop.
    pub fn admits_session(&self, now: Instant, is_relayed: bool) -> bool {
        !is_relayed && self.phase(now) == Phase::Announced
    }

    /// Returns what is done with a statement of a session in `state`.
    ///
    /// Statements that need no target are answered in every phase.
    pub fn admission(&self, now: Instant, state: SessionState, body: &Body) -> Admission {
        let phase = self.phase(now);
        let is_data = matches!(body, Body::Run { .. } | Body::Execute { .. });
        match state {
            SessionState::Idle => {
                let is_operation = is_data || matches!(body, Body::Begin { .. } | Body::Commit);
                if phase >= Phase::EndingSessions && is_operation {
                    Admission::Refuse
                } else {
                    Admission::Serve
                }
            }
            SessionState::InTransaction | SessionState::Failed => {
                if phase >= Phase::EndingTransactions && is_data {
                    Admission::Abort
                } else {
                    Admission::Serve
                }
            }
        }
    }

    /// Returns whether all sessions end now, given the grace period of the process. Their unanswered
    /// statements are answered first.
    pub fn ends_all_sessions(&self, now: Instant, grace: Duration) -> bool {
        now >= self.began_at + grace * SESSIONS_PERCENT / 100
    }

    /// Returns whether the process exits now, given its grace period and whether it has callers.
    pub fn is_over(&self, now: Instant, grace: Duration, has_callers: bool) -> bool {
        let limit_percent = if has_callers {
            EXIT_PERCENT
        } else {
            MIN_PERCENT
        };
        now >= self.began_at + grace * limit_percent / 100
    }
}

/// Returns the answer to an operation that a stopping process doesn't take.
pub fn refused_answer() -> Answer {
    Answer::failed(Failure::Busy, REFUSAL_MESSAGE, SessionState::Idle)
}

/// Returns the answer to a statement of a transaction that a stopping process has rolled back.
pub fn aborted_answer() -> Answer {
    let message = "this proxy is stopping and nothing of the transaction is kept; connect again";
    Answer::failed(Failure::Aborted, message, SessionState::Idle)
}
