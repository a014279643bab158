//! The limit on the number of statements that run concurrently.

use super::interrupt::INTERRUPT_CHECK_INTERVAL;
use super::interrupt::WaitLimits;
use crate::member::errors::SqlError;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// A semaphore that limits the number of running statements. Without a limit, its mutex is never
/// locked.
#[derive(Debug)]
pub struct StatementSlots {
    limit: Option<u32>,
    in_use: Mutex<u32>,
    slot_freed: Condvar,
}

/// An acquired slot. Dropping it releases the slot.
#[derive(Debug)]
pub struct StatementSlot {
    slots: Arc<StatementSlots>,
}

impl StatementSlots {
    /// Creates a semaphore with `limit` slots, or without a limit.
    pub fn new(limit: Option<u32>) -> Self {
        Self {
            limit,
            in_use: Mutex::new(0),
            slot_freed: Condvar::new(),
        }
    }

    /// Acquires a slot, and waits until one is free.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`WaitLimits::check`] if the statement is interrupted while it waits.
    pub fn acquire(
        self: &Arc<Self>,
        wait_limits: &WaitLimits<'_>,
    ) -> Result<StatementSlot, SqlError> {
        let Some(limit) = self.limit else {
            return Ok(StatementSlot {
                slots: self.clone(),
            });
        };
        let mut in_use = self.in_use();
        while *in_use >= limit {
            in_use = self
                .slot_freed
                .wait_timeout(in_use, INTERRUPT_CHECK_INTERVAL)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
            wait_limits.check()?;
        }
        *in_use += 1;
        Ok(StatementSlot {
            slots: self.clone(),
        })
    }

    fn in_use(&self) -> MutexGuard<'_, u32> {
        self.in_use.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for StatementSlot {
    fn drop(&mut self) {
        if self.slots.limit.is_some() {
            *self.slots.in_use() -= 1;
            self.slots.slot_freed.notify_one();
        }
    }
}
