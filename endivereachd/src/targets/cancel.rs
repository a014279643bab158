//! The mapping of callers' cancel requests to connections to targets.

use super::connection::CancelKey;
use rand::Rng;
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// The target of a session's cancel requests: the connection that currently serves the caller.
///
/// # Invariants
///
/// The slot is cleared before the connection can serve another caller, and stays locked while a
/// cancel request is in flight, so that the request can't cancel a statement of another caller.
#[derive(Debug)]
pub(crate) struct CancelSlot {
    /// The cancel key that the proxy sent to the caller.
    pub(crate) key: CancelKey,
    serving: Mutex<Option<ServingConnection>>,
}

/// The address and cancel key of the connection that serves a caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServingConnection {
    pub(crate) addr: SocketAddr,
    pub(crate) key: CancelKey,
}

impl CancelSlot {
    fn new(key: CancelKey) -> Self {
        Self {
            key,
            serving: Mutex::new(None),
        }
    }

    /// Locks the slot. The connection in the slot stays with this caller while the lock is held.
    pub(crate) fn lock(&self) -> MutexGuard<'_, Option<ServingConnection>> {
        self.serving.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

type SlotsByPid = HashMap<i32, Arc<CancelSlot>>;

/// The cancel slots of all sessions on this proxy, by the process ID in their keys.
#[derive(Debug, Default)]
pub(crate) struct CancelSlots(Mutex<SlotsByPid>);

impl CancelSlots {
    /// Creates a slot with a random key whose process ID is unique on this proxy.
    pub(crate) fn register(self: &Arc<Self>) -> CancelRegistration {
        let mut generator = rand::rng();
        loop {
            let key = CancelKey {
                pid: generator.random_range(1..i32::MAX),
                secret: generator.random(),
            };
            if let Entry::Vacant(vacant) = self.lock().entry(key.pid) {
                let slot = Arc::clone(vacant.insert(Arc::new(CancelSlot::new(key))));
                let slots = Arc::clone(self);
                return CancelRegistration { slot, slots };
            }
        }
    }

    /// Returns the slot for a cancel request, or `None` if the process ID is unknown or the secret
    /// is wrong.
    pub(crate) fn find(&self, key: CancelKey) -> Option<Arc<CancelSlot>> {
        let slots = self.lock();
        slots.get(&key.pid).filter(|slot| slot.key == key).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, SlotsByPid> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The registration of a session's slot, which is removed when the value is dropped.
#[derive(Debug)]
pub(crate) struct CancelRegistration {
    slot: Arc<CancelSlot>,
    slots: Arc<CancelSlots>,
}

impl CancelRegistration {
    /// Returns the registered slot.
    pub(crate) fn slot(&self) -> &Arc<CancelSlot> {
        &self.slot
    }
}

impl Drop for CancelRegistration {
    fn drop(&mut self) {
        self.slots.lock().remove(&self.slot.key.pid);
    }
}
