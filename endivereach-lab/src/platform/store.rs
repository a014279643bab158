//! Objects whose versions come from one revision counter, and watches on their changes.

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
/// Every change increments the revision, and the new revision becomes the object's version.
#[derive(Default)]
pub(super) struct Store {
    contents: Mutex<Contents>,
    changed: Condvar,
}

impl Store {
    /// Writes an object if its current version is the expected one; the version of a missing object
    /// is 0.
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

    /// Returns an object, or `None` if it doesn't exist.
    pub(super) fn get(&self, kind: &str, name: &str) -> Option<Object> {
        self.lock().kinds.get(kind)?.get(name).cloned()
    }

    /// Returns every object of a kind.
    pub(super) fn list(&self, kind: &str) -> Vec<Object> {
        self.lock().changes(kind, Version::new(0))
    }

    /// Waits up to `wait` until an object of `kind` has a version above `after`, and returns all
    /// such objects.
    pub(super) fn watch(&self, kind: &str, after: Version, wait: Duration) -> WatchAnswer {
        let deadline = Instant::now() + wait;
        let mut contents = self.lock();
        loop {
            let objects = contents.changes(kind, after);
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !objects.is_empty() || remaining.is_zero() {
                return WatchAnswer {
                    revision: contents.revision.max(after),
                    objects,
                };
            }
            contents = self
                .changed
                .wait_timeout(contents, remaining)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Contents> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Contents {
    /// Returns the objects of a kind with versions above `after`.
    fn changes(&self, kind: &str, after: Version) -> Vec<Object> {
        let Some(objects) = self.kinds.get(kind) else {
            return Vec::new();
        };
        let is_newer = |object: &&Object| object.version > after;
        objects.values().filter(is_newer).cloned().collect()
    }
}
