//! A local copy of a kind's objects, kept up to date by a list and then watches.

use crate::platform::Events;
use crate::platform::Kind;
use crate::platform::Object;
use crate::platform::Page;
use crate::platform::Value;
use endivereach_core::ids::Version;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// The first pause after a failed call.
const BACKOFF_MIN: Duration = Duration::from_millis(80);

/// The longest pause after failed calls. It bounds how long after the store's return the copy is old.
const BACKOFF_MAX: Duration = Duration::from_millis(700);

/// How long after a change of the project's own objects the next watch begins, so that the
/// registrations of a fleet that starts are told together. Nothing in them is urgent.
const OWN_CHANGES_GATHERED_FOR: Duration = Duration::from_millis(1_500);

/// How long after a change of the servers the next watch begins. It gathers the registrations of
/// servers that start together, and is a small part of the seconds in which a leaving one must get no
/// more work.
const TARGET_CHANGES_GATHERED_FOR: Duration = Duration::from_millis(300);

/// The next call to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// List what follows a name.
    List {
        /// The name.
        after: Option<Box<str>>,
    },
    /// Watch for changes after a version.
    Watch {
        /// The version.
        from: Version,
    },
}

/// How far the copy is.
#[derive(Clone, Debug)]
enum Progress {
    Listing {
        after: Option<Box<str>>,
        found: BTreeMap<Box<str>, Object>,
        from: Option<Version>,
    },
    Watching {
        from: Version,
    },
}

/// The copy of one kind.
#[derive(Debug)]
pub struct Mirror {
    kind: Kind,
    objects: BTreeMap<Box<str>, Object>,
    progress: Progress,
    is_listed: bool,
    is_calling: bool,
    backoff: Duration,
    call_again_at: Instant,
}

impl Mirror {
    /// Creates an empty copy.
    pub fn new(kind: Kind, now: Instant) -> Self {
        Self {
            kind,
            objects: BTreeMap::new(),
            progress: Progress::Listing {
                after: None,
                found: BTreeMap::new(),
                from: None,
            },
            is_listed: false,
            is_calling: false,
            backoff: BACKOFF_MIN,
            call_again_at: now,
        }
    }

    /// Returns the kind.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Returns whether a whole list was read since the start.
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Returns whether the call under way is a watch.
    pub fn is_watching(&self) -> bool {
        matches!(self.progress, Progress::Watching { .. })
    }

    /// Returns what the objects say, in the order of their names.
    pub fn values(&self) -> impl Iterator<Item = (&Object, &Value)> {
        let readable = |object: &'_ Object| object.value.is_some();
        self.objects
            .values()
            .filter(move |object| readable(object))
            .filter_map(|object| Some((object, object.value.as_ref()?)))
    }

    /// Returns the object of a name.
    pub fn get(&self, name: &str) -> Option<&Object> {
        self.objects.get(name)
    }

    /// Returns the next call, if one is due, and takes it as made.
    pub fn next_call(&mut self, now: Instant) -> Option<Call> {
        if self.is_calling || now < self.call_again_at {
            return None;
        }
        self.is_calling = true;
        Some(match &self.progress {
            Progress::Listing { after, .. } => Call::List {
                after: after.clone(),
            },
            Progress::Watching { from } => Call::Watch { from: *from },
        })
    }

    /// Returns when the next call is due, unless one is under way.
    pub fn next_wake(&self) -> Option<Instant> {
        (!self.is_calling).then_some(self.call_again_at)
    }

    /// Takes a page in. Returns whether the copy changed.
    pub fn note_page(&mut self, page: Page) -> bool {
        self.is_calling = false;
        self.backoff = BACKOFF_MIN;
        let Progress::Listing { after, found, from } = &mut self.progress else {
            return false;
        };
        // Changes after the first page was read are told by the watch.
        let from = *from.get_or_insert(page.store_version);
        let last = page.objects.last().map(|object| object.name.clone());
        found.extend(
            page.objects
                .into_iter()
                .map(|object| (object.name.clone(), object)),
        );
        if page.has_more && last.is_some() {
            *after = last;
            return false;
        }
        let found = std::mem::take(found);
        self.progress = Progress::Watching { from };
        self.is_listed = true;
        let is_changed = found != self.objects;
        self.objects = found;
        is_changed
    }

    /// Takes changes in. Returns whether the copy changed.
    pub fn note_events(&mut self, now: Instant, events: Events) -> bool {
        self.is_calling = false;
        self.backoff = BACKOFF_MIN;
        let is_changed = !events.events.is_empty();
        if is_changed {
            let gathered_for = match self.kind {
                Kind::Own => OWN_CHANGES_GATHERED_FOR,
                Kind::Targets => TARGET_CHANGES_GATHERED_FOR,
                Kind::Routes => Duration::ZERO,
            };
            self.call_again_at = now + gathered_for;
        }
        for event in events.events {
            let name = event.object.name.clone();
            if event.is_deleted {
                self.objects.remove(&name);
            } else if self
                .objects
                .get(&name)
                .is_none_or(|known| known.version <= event.object.version)
            {
                self.objects.insert(name, event.object);
            }
        }
        if let Progress::Watching { from } = &mut self.progress {
            *from = events.store_version.max(*from);
        }
        is_changed
    }

    /// Takes in that the history since the last watch is gone: everything is listed anew.
    pub fn note_history_gone(&mut self) {
        self.is_calling = false;
        self.progress = Progress::Listing {
            after: None,
            found: BTreeMap::new(),
            from: None,
        };
    }

    /// Takes in that a call failed. `jitter` from 0 to 1 sets processes apart.
    ///
    /// Everything is listed anew: a watch that starts while the store recovers may wait without
    /// ever hearing of changes made before.
    pub fn note_failure(&mut self, now: Instant, jitter: f64) {
        self.note_history_gone();
        self.call_again_at = now + self.backoff.mul_f64(0.5 + jitter / 2.0);
        self.backoff = (self.backoff * 2).min(BACKOFF_MAX);
    }
}
