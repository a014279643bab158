//! Objects with versions from one revision counter, and waits for their changes.

use endivereach_core::ids::Version;
use endivereach_wire::platform::Object;
use endivereach_wire::platform::Put;
use endivereach_wire::platform::PutOutcome;
use endivereach_wire::platform::WatchAnswer;
use std::collections::BTreeMap;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// Objects by name.
type Objects = BTreeMap<Box<str>, Object>;

#[derive(Default)]
struct Contents {
    revision: Version,
    kinds: BTreeMap<Box<str>, Objects>,
}

/// The objects of the platform.
///
/// # Invariants
///
/// Every change takes the next revision, which becomes the object's version.
#[derive(Default)]
pub(super) struct Store {
    contents: Mutex<Contents>,
    changed: Condvar,
}

impl Store {
    /// Writes an object if its version is the expected one.
    pub(super) fn put(&self, put: Put) -> PutOutcome {
        let mut contents = self.lock();
        let next = contents.revision.next();
        let objects = contents.kinds.entry(put.kind.clone()).or_default();
        let current = objects.get(&put.name);
        let version = current.map_or(Version::new(0), |object| object.version);
        if version != put.expected {
            return PutOutcome::Conflict {
                current: current.cloned(),
            };
        }
        let object = Object {
            kind: put.kind,
            name: put.name.clone(),
            version: next,
            op_id: put.op_id,
            value: put.value,
        };
        objects.insert(put.name, object);
        contents.revision = next;
        self.changed.notify_all();
        PutOutcome::Stored { version: next }
    }

    /// Reads an object.
    pub(super) fn get(&self, kind: &str, name: &str) -> Option<Object> {
        self.lock().kinds.get(kind)?.get(name).cloned()
    }

    /// Reads every object of a kind.
    pub(super) fn list(&self, kind: &str) -> Vec<Object> {
        self.lock().changes(kind, Version::new(0))
    }

    /// Waits until an object of `kind` has a version above `after`.
    pub(super) fn watch(&self, kind: &str, after: Version, wait: Duration) -> WatchAnswer {
        let end = Instant::now() + wait;
        let mut contents = self.lock();
        loop {
            let objects = contents.changes(kind, after);
            let left = end.saturating_duration_since(Instant::now());
            if !objects.is_empty() || left.is_zero() {
                return WatchAnswer {
                    revision: contents.revision.max(after),
                    objects,
                };
            }
            contents = self
                .changed
                .wait_timeout(contents, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Contents> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Contents {
    fn changes(&self, kind: &str, after: Version) -> Vec<Object> {
        let Some(objects) = self.kinds.get(kind) else {
            return Vec::new();
        };
        let is_newer = |object: &&Object| object.version > after;
        objects.values().filter(is_newer).cloned().collect()
    }
}
