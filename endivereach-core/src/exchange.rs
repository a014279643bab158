//! What proxies tell each other about the platform's objects.
//!
//! The platform draws every version from one counter, so what a process knows of one kind of objects
//! is described by one revision: every change up to it is included. A [`Catalog`] holds such a state
//! and the evidence for its age. Peers pull what lies above their own revision, whole objects only,
//! and nothing ever moves to a lower version.

use crate::ids::Version;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

crate::data! {
    /// One object with its version.
    pub struct Versioned<V> {
        /// The object's name within its kind.
        pub name: Box<str>,
        /// The object's version.
        pub version: Version,
        /// The object itself.
        pub value: V,
    }

    /// Every change of one kind of objects within a span of revisions.
    ///
    /// # Invariants
    ///
    /// `objects` holds the present state of each object whose version is in `after+1..=revision`.
    pub struct Changes<V> {
        /// The revision that the reader already had.
        pub after: Version,
        /// The revision up to which changes are included.
        pub revision: Version,
        /// The objects.
        pub objects: Vec<Versioned<V>>,
    }
}

/// Evidence that a state was complete at some moment, by this process's own monotonic clock.
///
/// # Invariants
///
/// Each hop takes the moment *before* it asked and subtracts the age that it was told, so the
/// evidence is never younger than the platform's answer at its root, whatever clocks and delays do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Evidence {
    complete_at: Instant,
}

impl Evidence {
    /// The platform itself answered a question asked at `asked_at`.
    pub const fn from_platform(asked_at: Instant) -> Self {
        Self {
            complete_at: asked_at,
        }
    }

    /// A peer answered a question asked at `asked_at` with evidence of the given age.
    ///
    /// Returns `None` for an age beyond what the clock can express.
    pub fn from_peer(asked_at: Instant, age: Duration) -> Option<Self> {
        let complete_at = asked_at.checked_sub(age)?;
        Some(Self { complete_at })
    }

    /// Returns how old the evidence is at `now`.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.complete_at)
    }
}

/// One kind of objects as this process knows it.
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
    /// Creates a catalogue that knows nothing.
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

    /// Returns every object, ordered by name.
    pub fn objects(&self) -> impl Iterator<Item = &Versioned<V>> {
        self.objects.values()
    }

    /// Returns every change after the given revision.
    pub fn changes_after(&self, after: Version) -> Changes<V> {
        let changed = self.objects.values().filter(|held| held.version > after);
        Changes {
            after,
            revision: self.revision,
            objects: changed.cloned().collect(),
        }
    }

    /// Takes in what a peer or the platform told, and returns the objects that moved to a higher
    /// version.
    ///
    /// Changes that start above this catalogue's revision leave a gap: their objects are kept, but
    /// the revision and the evidence stay. Changes that end below it are evidence of an older state
    /// than this one, and prove nothing about it.
    pub fn merge(&mut self, changes: Changes<V>, evidence: Option<Evidence>) -> Vec<Versioned<V>> {
        let has_gap = changes.after > self.revision;
        let mut moved = Vec::new();
        for object in changes.objects {
            if self.is_newer(&object) {
                self.objects.insert(object.name.clone(), object.clone());
                moved.push(object);
            }
        }
        if !has_gap && changes.revision >= self.revision {
            self.revision = changes.revision;
            self.evidence = self.evidence.max(evidence);
        }
        moved
    }

    fn is_newer(&self, object: &Versioned<V>) -> bool {
        let held = self.objects.get(&object.name);
        held.is_none_or(|held| held.version < object.version)
    }
}

impl<V: Clone> Default for Catalog<V> {
    fn default() -> Self {
        Self::new()
    }
}
