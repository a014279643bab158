//! Cancellation and timeouts of statements.

use crate::member::errors::ADMIN_SHUTDOWN;
use crate::member::errors::QUERY_CANCELED;
use crate::member::errors::SqlError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// The interval at which a waiting statement checks for cancellation and timeouts.
pub const INTERRUPT_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The pending cancel and terminate requests of a session.
#[derive(Debug, Default)]
pub struct Interrupt {
    cancelled: AtomicBool,
    terminated: AtomicBool,
}

impl Interrupt {
    /// Requests the cancellation of the running statement. If no statement is running, the request
    /// has no effect on later statements.
    pub fn cancel(&self) {
        self.cancelled.store(true, Ordering::SeqCst);
    }

    /// Requests the termination of the session.
    pub fn terminate(&self) {
        self.terminated.store(true, Ordering::SeqCst);
    }

    /// Returns whether termination was requested.
    pub fn is_terminated(&self) -> bool {
        self.terminated.load(Ordering::SeqCst)
    }

    /// Clears cancel requests that arrived before the statement that begins now.
    pub fn begin_statement(&self) {
        self.cancelled.store(false, Ordering::SeqCst);
    }
}

/// The conditions that end a wait of a statement.
#[derive(Clone, Copy, Debug)]
pub struct WaitLimits<'a> {
    /// The cancel and terminate requests of the session.
    pub interrupt: &'a Interrupt,
    /// The time at which the statement times out.
    pub statement_deadline: Option<Instant>,
    /// The maximum wait for one lock.
    pub lock_timeout: Option<Duration>,
}

impl WaitLimits<'_> {
    /// Checks that the statement may continue.
    ///
    /// # Errors
    ///
    /// Returns an error with [`QUERY_CANCELED`] when the statement was cancelled or timed out, and
    /// with [`ADMIN_SHUTDOWN`] when the session was terminated.
    pub fn check(&self) -> Result<(), SqlError> {
        if self.interrupt.is_terminated() {
            return Err(SqlError::new(
                ADMIN_SHUTDOWN,
                "terminating connection due to administrator command",
            ));
        }
        if self.interrupt.cancelled.load(Ordering::SeqCst) {
            return Err(SqlError::new(
                QUERY_CANCELED,
                "canceling statement due to user request",
            ));
        }
        if self
            .statement_deadline
            .is_some_and(|deadline| Instant::now() >= deadline)
        {
            return Err(SqlError::new(
                QUERY_CANCELED,
                "canceling statement due to statement timeout",
            ));
        }
        Ok(())
    }

    /// Sleeps for `duration`, or until the statement is interrupted.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`WaitLimits::check`].
    pub fn sleep(&self, duration: Duration) -> Result<(), SqlError> {
        let deadline = Instant::now() + duration;
        loop {
            self.check()?;
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Ok(());
            }
            thread::sleep(remaining.min(INTERRUPT_CHECK_INTERVAL));
        }
    }
}
