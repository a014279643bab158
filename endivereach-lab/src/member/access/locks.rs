//! Exclusive locks on rows, unique keys and advisory numbers.

use super::interrupt::CHECK_INTERVAL;
use super::interrupt::Patience;
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

/// The session that holds or waits for a lock.
pub type Owner = u32;

/// What can be locked.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LockKey {
    /// A value of a unique column, the primary key included.
    Unique {
        /// The table's name.
        table: Box<str>,
        /// The column.
        column: usize,
        /// The value.
        value: Value,
    },
    /// A row of a table without a primary key.
    Hidden {
        /// The table's name.
        table: Box<str>,
        /// The row's hidden key.
        key: Value,
    },
    /// The name of a table that is created or dropped.
    Table(Box<str>),
    /// An advisory lock's number.
    Advisory(i64),
}

/// Until when a lock is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Until the transaction ends.
    Transaction,
    /// Until the session unlocks it or ends.
    Session,
}

#[derive(Debug)]
struct Held {
    owner: Owner,
    /// Whether the transaction holds it.
    by_transaction: bool,
    /// How often the session locked it beside that.
    by_session: u32,
}

#[derive(Debug, Default)]
struct Table {
    held: HashMap<LockKey, Held>,
    waits: HashMap<Owner, LockKey>,
}

/// The locks of a server.
#[derive(Debug, Default)]
pub struct Locks {
    table: Mutex<Table>,
    released: Condvar,
}

impl Locks {
    /// Locks `key`, waiting for another owner to release it.
    ///
    /// Returns whether it had to wait, after which the caller must look at the data again.
    ///
    /// # Errors
    ///
    /// Returns an error with [`DEADLOCK_DETECTED`] when the wait would never end, with
    /// [`LOCK_NOT_AVAILABLE`] after the lock timeout, and the errors of [`Patience::check`].
    pub fn lock(
        &self,
        owner: Owner,
        key: &LockKey,
        scope: Scope,
        patience: &Patience<'_>,
    ) -> Result<bool, SqlError> {
        let mut table = self.table();
        if table.try_lock(owner, key, scope) {
            return Ok(false);
        }
        table.waits.insert(owner, key.clone());
        let since = Instant::now();
        let outcome = loop {
            if table.waits_in_circle(owner) {
                break Err(SqlError::new(DEADLOCK_DETECTED, "deadlock detected"));
            }
            table = self
                .released
                .wait_timeout(table, CHECK_INTERVAL)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
            if table.try_lock(owner, key, scope) {
                break Ok(true);
            }
            if patience
                .lock_timeout
                .is_some_and(|timeout| since.elapsed() >= timeout)
            {
                break Err(SqlError::new(
                    LOCK_NOT_AVAILABLE,
                    "canceling statement due to lock timeout",
                ));
            }
            if let Err(error) = patience.check() {
                break Err(error);
            }
        };
        table.waits.remove(&owner);
        outcome
    }

    /// Locks `key` unless another owner holds it, and returns whether it is locked now.
    pub fn try_lock(&self, owner: Owner, key: &LockKey, scope: Scope) -> bool {
        self.table().try_lock(owner, key, scope)
    }

    /// Undoes one lock of the session, and returns whether there was one.
    pub fn unlock(&self, owner: Owner, key: &LockKey) -> bool {
        let mut table = self.table();
        let hash_map::Entry::Occupied(mut entry) = table.held.entry(key.clone()) else {
            return false;
        };
        let held = entry.get_mut();
        if held.owner != owner || held.by_session == 0 {
            return false;
        }
        held.by_session -= 1;
        if held.by_session == 0 && !held.by_transaction {
            entry.remove();
        }
        self.released.notify_all();
        true
    }

    /// Releases the given locks of a transaction.
    pub fn release(&self, owner: Owner, keys: impl IntoIterator<Item = LockKey>) {
        let mut table = self.table();
        for key in keys {
            let hash_map::Entry::Occupied(mut entry) = table.held.entry(key) else {
                continue;
            };
            let held = entry.get_mut();
            if held.owner != owner {
                continue;
            }
            held.by_transaction = false;
            if held.by_session == 0 {
                entry.remove();
            }
        }
        self.released.notify_all();
    }

    /// Releases every lock that the session took for itself, whatever its transaction holds.
    pub fn release_session(&self, owner: Owner) {
        self.table().held.retain(|_, held| {
            if held.owner == owner {
                held.by_session = 0;
            }
            held.owner != owner || held.by_transaction
        });
        self.released.notify_all();
    }

    /// Releases every lock that a transaction holds, whoever it belongs to.
    pub fn release_transactions(&self) {
        self.table().held.retain(|_, held| {
            held.by_transaction = false;
            held.by_session > 0
        });
        self.released.notify_all();
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Table {
    fn try_lock(&mut self, owner: Owner, key: &LockKey, scope: Scope) -> bool {
        let held = self.held.entry(key.clone()).or_insert(Held {
            owner,
            by_transaction: false,
            by_session: 0,
        });
        if held.owner != owner {
            return false;
        }
        match scope {
            Scope::Transaction => held.by_transaction = true,
            Scope::Session => held.by_session += 1,
        }
        true
    }

    /// Returns whether `owner` waits for a lock whose holder waits, in the end, for `owner`.
    fn waits_in_circle(&self, owner: Owner) -> bool {
        let mut current = owner;
        for _ in 0..=self.waits.len() {
            let Some(key) = self.waits.get(&current) else {
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
