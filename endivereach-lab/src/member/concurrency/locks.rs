//! Exclusive locks on unique values, rows, table names and advisory lock numbers.

use super::interrupt::INTERRUPT_CHECK_INTERVAL;
use super::interrupt::WaitLimits;
use crate::member::errors::DEADLOCK_DETECTED;
use crate::member::errors::LOCK_NOT_AVAILABLE;
use crate::member::errors::SqlError;
use crate::member::storage::value::Value;
use std::collections::HashMap;
use std::collections::hash_map;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

/// The process ID of the session that holds or waits for a lock.
pub type Owner = u32;

/// The identity of a lock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LockKey {
    /// A value of a unique column, including the primary key.
    Unique {
        /// The table's name.
        table: Box<str>,
        /// The index of the column.
        column: usize,
        /// The locked value.
        value: Value,
    },
    /// A row of a table without a primary key.
    Hidden {
        /// The table's name.
        table: Box<str>,
        /// The row's hidden key.
        key: Value,
    },
    /// The name of a table, locked while the table is created or dropped.
    Table(Box<str>),
    /// The number of an advisory lock.
    Advisory(i64),
}

/// How long a lock is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LockScope {
    /// Held until the transaction ends.
    Transaction,
    /// Held until the session unlocks it or ends.
    Session,
}

#[derive(Debug)]
struct HeldLock {
    owner: Owner,
    /// Whether the owner's transaction holds the lock.
    in_transaction: bool,
    /// How many times the owner's session holds the lock, independent of the transaction.
    session_count: u32,
}

#[derive(Debug, Default)]
struct LockTable {
    held: HashMap<LockKey, HeldLock>,
    waiting_for: HashMap<Owner, LockKey>,
}

/// The lock manager of a server.
#[derive(Debug, Default)]
pub struct Locks {
    lock_table: Mutex<LockTable>,
    released: Condvar,
}

impl Locks {
    /// Locks `key`, and waits while another owner holds it.
    ///
    /// Returns whether it had to wait. If so, the calling code must read the data again, because
    /// the previous holder may have changed it.
    ///
    /// # Errors
    ///
    /// Returns an error with [`DEADLOCK_DETECTED`] when sessions wait for each other in a cycle,
    /// with [`LOCK_NOT_AVAILABLE`] after the lock timeout, and the errors of [`WaitLimits::check`].
    pub fn lock(
        &self,
        owner: Owner,
        key: &LockKey,
        scope: LockScope,
        wait_limits: &WaitLimits<'_>,
    ) -> Result<bool, SqlError> {
        let mut lock_table = self.lock_table();
        if lock_table.try_lock(owner, key, scope) {
            return Ok(false);
        }
        lock_table.waiting_for.insert(owner, key.clone());
        let wait_start = Instant::now();
        let outcome = loop {
            if lock_table.is_deadlocked(owner) {
                break Err(SqlError::new(DEADLOCK_DETECTED, "deadlock detected"));
            }
            lock_table = self
                .released
                .wait_timeout(lock_table, INTERRUPT_CHECK_INTERVAL)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
            if lock_table.try_lock(owner, key, scope) {
                break Ok(true);
            }
            if wait_limits
                .lock_timeout
                .is_some_and(|timeout| wait_start.elapsed() >= timeout)
            {
                break Err(SqlError::new(
                    LOCK_NOT_AVAILABLE,
                    "canceling statement due to lock timeout",
                ));
            }
            if let Err(error) = wait_limits.check() {
                break Err(error);
            }
        };
        lock_table.waiting_for.remove(&owner);
        outcome
    }

    /// Locks `key` unless another owner holds it. Returns whether `owner` now holds the lock.
    pub fn try_lock(&self, owner: Owner, key: &LockKey, scope: LockScope) -> bool {
        self.lock_table().try_lock(owner, key, scope)
    }

    /// Releases `key` once if the session holds it. Returns whether it did.
    pub fn unlock(&self, owner: Owner, key: &LockKey) -> bool {
        let mut lock_table = self.lock_table();
        let hash_map::Entry::Occupied(mut entry) = lock_table.held.entry(key.clone()) else {
            return false;
        };
        let held = entry.get_mut();
        if held.owner != owner || held.session_count == 0 {
            return false;
        }
        held.session_count -= 1;
        if held.session_count == 0 && !held.in_transaction {
            entry.remove();
        }
        self.released.notify_all();
        true
    }

    /// Releases the given locks of the owner's transaction.
    pub fn release_transaction_locks(&self, owner: Owner, keys: impl IntoIterator<Item = LockKey>) {
        let mut lock_table = self.lock_table();
        for key in keys {
            let hash_map::Entry::Occupied(mut entry) = lock_table.held.entry(key) else {
                continue;
            };
            let held = entry.get_mut();
            if held.owner != owner {
                continue;
            }
            held.in_transaction = false;
            if held.session_count == 0 {
                entry.remove();
            }
        }
        self.released.notify_all();
    }

    /// Releases every lock of session scope. Locks of the owner's transaction stay.
    pub fn release_session_locks(&self, owner: Owner) {
        self.lock_table().held.retain(|_, held| {
            if held.owner == owner {
                held.session_count = 0;
            }
            held.owner != owner || held.in_transaction
        });
        self.released.notify_all();
    }

    /// Releases the transaction locks of all owners.
    pub fn release_all_transaction_locks(&self) {
        self.lock_table().held.retain(|_, held| {
            held.in_transaction = false;
            held.session_count > 0
        });
        self.released.notify_all();
    }

    fn lock_table(&self) -> MutexGuard<'_, LockTable> {
        self.lock_table
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl LockTable {
    fn try_lock(&mut self, owner: Owner, key: &LockKey, scope: LockScope) -> bool {
        let held = self.held.entry(key.clone()).or_insert(HeldLock {
            owner,
            in_transaction: false,
            session_count: 0,
        });
        if held.owner != owner {
            return false;
        }
        match scope {
            LockScope::Transaction => held.in_transaction = true,
            LockScope::Session => held.session_count += 1,
        }
        true
    }

    /// Returns whether `owner` is part of a cycle of owners that wait for each other.
    fn is_deadlocked(&self, owner: Owner) -> bool {
        let mut current = owner;
        for _ in 0..=self.waiting_for.len() {
            let Some(key) = self.waiting_for.get(&current) else {
                return false;
            };
            let Some(held) = self.held.get(key) else {
                return false;
            };
            current = held.owner;
            if current == owner {
                return true;
            }
        }
        false
    }
}
