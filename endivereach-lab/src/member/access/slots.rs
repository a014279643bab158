//! How many statements run at a time.

use super::interrupt::CHECK_INTERVAL;
use super::interrupt::Patience;
use crate::member::errors::SqlError;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// A semaphore of statements. Without a limit it costs nothing.
#[derive(Debug)]
pub struct Slots {
    limit: Option<u32>,
    used: Mutex<u32>,
    freed: Condvar,
}

/// One slot in use. Dropping it frees the slot.
#[derive(Debug)]
pub struct Slot {
    slots: Arc<Slots>,
}

impl Slots {
    /// Creates the semaphore.
    pub fn new(limit: Option<u32>) -> Self {
        Self {
            limit,
            used: Mutex::new(0),
            freed: Condvar::new(),
        }
    }

    /// Takes a slot, waiting for one to become free.
    ///
    /// # Errors
    ///
    /// As [`Patience::check`].
    pub fn take(self: &Arc<Self>, patience: &Patience<'_>) -> Result<Slot, SqlError> {
        let Some(limit) = self.limit else {
            return Ok(Slot {
                slots: self.clone(),
            });
        };
        let mut used = self.used();
        while *used >= limit {
            used = self
                .freed
                .wait_timeout(used, CHECK_INTERVAL)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
            patience.check()?;
        }
        *used += 1;
        Ok(Slot {
            slots: self.clone(),
        })
    }

    fn used(&self) -> MutexGuard<'_, u32> {
        self.used.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.slots.limit.is_some() {
            *self.slots.used() -= 1;
            self.slots.freed.notify_one();
        }
    }
}
