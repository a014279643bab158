//! Exchange of the platform's objects between proxies.
//!
//! The platform assigns all versions from one counter, so a process's state of one kind of objects
//! is described by a single revision: it includes every change up to that revision. A [`Catalog`]
//! holds such a state with the evidence for its age. Peers pull the changes above their own
//! revision, as whole objects, and an object's version never decreases.

use crate::ids::Version;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

crate::data! {
    /// An object with its version.
    pub struct Versioned<V> {
        /// The object's name within its kind.
        pub name: Box<str>,
        /// The object's version.
        pub version: Version,
        /// The object's contents.
        pub value: V,
    }

    /// All changes to one kind of objects within a range of revisions.
    ///
    /// # Invariants
    ///
    /// `objects` holds the current state of each object whose version is in `after+1..=revision`.
    pub struct Changes<V> {
        /// The revision that the requester already has.
        pub after: Version,
        /// The revision up to which changes are included.
        pub revision: Version,
        /// The changed objects.
        pub objects: Vec<Versioned<V>>,
    }
}

/// Evidence that a state was complete at some time of this process's monotonic clock.
///
/// # Invariants
///
/// Each hop takes the time *before* it sent its request and subtracts the age that the reply
/// states. So the evidence never appears younger than the platform's original answer, for any clock
/// offsets and network delays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Evidence {
    complete_at: Instant,
}

impl Evidence {
    /// Creates evidence from the platform's answer to a request sent at `asked_at`.
    pub const fn from_platform(asked_at: Instant) -> Self {
        Self {
            complete_at: asked_at,
        }
    }

    /// Creates evidence from a peer's answer to a request sent at `asked_at`. `age` is the age that
    /// the peer stated for its own evidence.
    ///
    /// Returns `None` if the age exceeds the range of the clock.
    pub fn from_peer(asked_at: Instant, age: Duration) -> Option<Self> {
        let complete_at = asked_at.checked_sub(age)?;
        Some(Self { complete_at })
    }

    /// Returns the time at which the evidence reaches an age.
    pub fn valid_until(&self, age: Duration) -> Instant {
        self.complete_at + age
    }

    /// Returns the age of the evidence at `now`.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.complete_at)
    }
}

/// This process's state of one kind of objects.
///
/// # Examples
///
/// ```
/// use endivereach_core::exchange::{Catalog, Changes, Evidence, Versioned};
/// use endivereach_core::ids::Version;
/// use std::time::Instant;
///
/// let mut catalog = Catalog::new();
/// let object = Versioned { name: "current".into(), version: Version::new(3), value: "rules" };
/// let changes = Changes { after: Version::new(0), revision: Version::new(5), objects: vec![object] };
/// let changed = catalog.merge(changes, Some(Evidence::from_platform(Instant::now())));
/// assert_eq!(changed.len(), 1);
/// assert_eq!(catalog.revision(), Version::new(5));
/// ```
#[derive(Clone, Debug)]
pub struct Catalog<V> {
    revision: Version,
    evidence: Option<Evidence>,
    objects: BTreeMap<Box<str>, Versioned<V>>,
}

impl<V: Clone> Catalog<V> {
    /// Creates an empty catalog at revision zero.
    pub const fn new() -> Self {
        Self {
            revision: Version::new(0),
            evidence: None,
            objects: BTreeMap::new(),
        }
    }

    /// Returns the revision up to which every change is included.
    pub const fn revision(&self) -> Version {
        self.revision
    }

    /// Returns the evidence that this state is complete.
    pub const fn evidence(&self) -> Option<Evidence> {
        self.evidence
    }

    /// Returns the object with the given name.
    pub fn get(&self, name: &str) -> Option<&Versioned<V>> {
        self.objects.get(name)
    }

    /// Returns all objects, ordered by name.
    pub fn objects(&self) -> impl Iterator<Item = &Versioned<V>> {
        self.objects.values()
    }

    /// Returns all changes after the given revision.
    pub fn changes_after(&self, after: Version) -> Changes<V> {
        let changed = self
            .objects
            .values()
            .filter(|stored| stored.version > after);
        Changes {
            after,
            revision: self.revision,
            objects: changed.cloned().collect(),
        }
    }

    /// Merges changes from a peer or the platform, and returns the objects whose version increased.
    ///
    /// Changes that start above this catalog's revision leave a gap: their objects are stored, but
    /// the revision and the evidence stay the same. They also stay the same for changes that end
    /// below the revision, which describe an older state than this one.
    pub fn merge(&mut self, changes: Changes<V>, evidence: Option<Evidence>) -> Vec<Versioned<V>> {
        let has_gap = changes.after > self.revision;
        let mut updated = Vec::new();
        for object in changes.objects {
            if self.is_newer(&object) {
                self.objects.insert(object.name.clone(), object.clone());
                updated.push(object);
            }
        }
        if !has_gap && changes.revision >= self.revision {
            self.revision = changes.revision;
            self.evidence = self.evidence.max(evidence);
        }
        updated
    }

    fn is_newer(&self, object: &Versioned<V>) -> bool {
        let stored = self.objects.get(&object.name);
        stored.is_none_or(|stored| stored.version < object.version)
    }
}

impl<V: Clone> Default for Catalog<V> {
    fn default() -> Self {
        Self::new()
    }
}
