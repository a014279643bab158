//! Cancel requests, and the connections that they may reach.

use super::connection::CancelKey;
use rand::Rng;
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// What a cancel request has to reach: the connection that serves the caller now.
///
/// # Invariants
///
/// The slot is emptied before the connection can serve anyone else, and stays locked while a cancel
/// request is on its way, so that the request can't hit the connection's next user.
#[derive(Debug)]
pub(crate) struct CancelSlot {
    /// The key that was given to the caller.
    pub(crate) key: CancelKey,
    serving: Mutex<Option<ServingConnection>>,
}

/// The connection that serves a caller.
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

    /// Locks the slot: the connection in it stays with this caller meanwhile.
    pub(crate) fn lock(&self) -> MutexGuard<'_, Option<ServingConnection>> {
        self.serving.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

type SlotsByPid = HashMap<i32, Arc<CancelSlot>>;

/// The slots of every session on this proxy.
#[derive(Debug, Default)]
pub(crate) struct CancelSlots(Mutex<SlotsByPid>);

impl CancelSlots {
    /// Creates a slot with a key that no other session has.
    pub(crate) fn register(self: &Arc<Self>) -> CancelRegistration {
        let mut random = rand::rng();
        loop {
            let key = CancelKey {
                pid: random.random_range(1..i32::MAX),
                secret: random.random(),
            };
            if let Entry::Vacant(vacant) = self.lock().entry(key.pid) {
                let slot = Arc::clone(vacant.insert(Arc::new(CancelSlot::new(key))));
                let slots = Arc::clone(self);
                return CancelRegistration { slot, slots };
            }
        }
    }

    /// Finds the slot of a cancel request that shows the right secret.
    pub(crate) fn find(&self, key: CancelKey) -> Option<Arc<CancelSlot>> {
        let slots = self.lock();
        slots.get(&key.pid).filter(|slot| slot.key == key).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, SlotsByPid> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A slot that is forgotten with its session.
#[derive(Debug)]
pub(crate) struct CancelRegistration {
    slot: Arc<CancelSlot>,
    slots: Arc<CancelSlots>,
}

impl CancelRegistration {
    /// Returns the slot.
    pub(crate) fn slot(&self) -> &Arc<CancelSlot> {
        &self.slot
    }
}

impl Drop for CancelRegistration {
    fn drop(&mut self) {
        self.slots.lock().remove(&self.slot.key.pid);
    }
}
