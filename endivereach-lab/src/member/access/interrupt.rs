//! Cancelling and timing out a statement that waits.

use crate::member::errors::ADMIN_SHUTDOWN;
use crate::member::errors::QUERY_CANCELED;
use crate::member::errors::SqlError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// How often a waiting statement looks whether it was cancelled.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The requests to stop that reached a session.
#[derive(Debug, Default)]
pub struct Interrupt {
    cancelled: AtomicBool,
    terminated: AtomicBool,
}

impl Interrupt {
    /// Asks the statement that runs now to stop. Without one, the next wait of the session's next
    /// statement isn't affected.
    pub fn cancel(&self) {
        self.cancelled.store(true, Ordering::SeqCst);
    }

    /// Asks the session to end.
    pub fn terminate(&self) {
        self.terminated.store(true, Ordering::SeqCst);
    }

    /// Returns whether the session was asked to end.
    pub fn is_terminated(&self) -> bool {
        self.terminated.load(Ordering::SeqCst)
    }

    /// Forgets cancellations that came before this statement.
    pub fn begin_statement(&self) {
        self.cancelled.store(false, Ordering::SeqCst);
    }
}

/// How long one statement may still wait.
#[derive(Clone, Copy, Debug)]
pub struct Patience<'a> {
    /// The session's interrupt.
    pub interrupt: &'a Interrupt,
    /// When the statement times out.
    pub statement_end: Option<Instant>,
    /// How long one lock may be waited for.
    pub lock_timeout: Option<Duration>,
}

impl Patience<'_> {
    /// Checks that the statement may go on.
    ///
    /// # Errors
    ///
    /// Returns an error with [`QUERY_CANCELED`] or [`ADMIN_SHUTDOWN`].
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
        if self.statement_end.is_some_and(|end| Instant::now() >= end) {
            return Err(SqlError::new(
                QUERY_CANCELED,
                "canceling statement due to statement timeout",
            ));
        }
        Ok(())
    }

    /// Sleeps for `duration` unless the statement is stopped.
    ///
    /// # Errors
    ///
    /// As [`Patience::check`].
    pub fn sleep(&self, duration: Duration) -> Result<(), SqlError> {
        let end = Instant::now() + duration;
        loop {
            self.check()?;
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            thread::sleep(left.min(CHECK_INTERVAL));
        }
    }
}
