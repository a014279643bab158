//! A local copy of all objects of one kind, read by listing and kept current by watching.

use crate::platform::Changes;
use crate::platform::Object;
use crate::platform::ObjectKind;
use crate::platform::ObjectValue;
use crate::platform::Page;
use endivereach_core::ids::Version;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// The delay after the first failed call.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(80);

/// The longest delay between failed calls. It bounds how long the copy stays stale after the store
/// has recovered.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(700);

/// The delay from a change of the proxies' own objects to the next watch, which batches the
/// registrations of proxies that start together. None of these changes is urgent.
const OWN_CHANGES_BATCH_DELAY: Duration = Duration::from_millis(1_500);

/// The delay from a change of the targets to the next watch, which batches the registrations of
/// targets that start together. It is much shorter than the time within which a leaving target must
/// stop receiving statements.
const TARGET_CHANGES_BATCH_DELAY: Duration = Duration::from_millis(300);

/// The next call to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// List the objects.
    List {
        /// The name after which the page starts; `None` for the first page.
        after: Option<Box<str>>,
    },
    /// Watch for changes.
    Watch {
        /// The store version after which changes are reported.
        from: Version,
    },
}

/// The state of the copy.
#[derive(Clone, Debug)]
enum SyncState {
    Listing {
        after: Option<Box<str>>,
        listed: BTreeMap<Box<str>, Object>,
        from: Option<Version>,
    },
    Watching {
        from: Version,
    },
}

/// A local copy of the objects of one kind.
#[derive(Debug)]
pub struct Mirror {
    kind: ObjectKind,
    objects: BTreeMap<Box<str>, Object>,
    sync_state: SyncState,
    is_listed: bool,
    is_call_in_flight: bool,
    retry_delay: Duration,
    next_call_at: Instant,
}

impl Mirror {
    /// Creates an empty copy.
    pub fn new(kind: ObjectKind, now: Instant) -> Self {
        Self {
            kind,
            objects: BTreeMap::new(),
            sync_state: SyncState::Listing {
                after: None,
                listed: BTreeMap::new(),
                from: None,
            },
            is_listed: false,
            is_call_in_flight: false,
            retry_delay: RETRY_DELAY_MIN,
            next_call_at: now,
        }
    }

    /// Returns the kind of the copied objects.
    pub fn kind(&self) -> ObjectKind {
        self.kind
    }

    /// Returns whether a complete list has been read since the process started.
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Returns whether the current or next call is a watch.
    pub fn is_watching(&self) -> bool {
        matches!(self.sync_state, SyncState::Watching { .. })
    }

    /// Returns the objects with decoded values, in the order of their names.
    pub fn values(&self) -> impl Iterator<Item = (&Object, &ObjectValue)> {
        let is_decoded = |object: &'_ Object| object.value.is_some();
        self.objects
            .values()
            .filter(move |object| is_decoded(object))
            .filter_map(|object| Some((object, object.value.as_ref()?)))
    }

    /// Returns the object with the given name.
    pub fn get(&self, name: &str) -> Option<&Object> {
        self.objects.get(name)
    }

    /// Returns the next call if one is due, and marks it as in flight.
    pub fn next_call(&mut self, now: Instant) -> Option<Call> {
        if self.is_call_in_flight || now < self.next_call_at {
            return None;
        }
        self.is_call_in_flight = true;
        Some(match &self.sync_state {
            SyncState::Listing { after, .. } => Call::List {
                after: after.clone(),
            },
            SyncState::Watching { from } => Call::Watch { from: *from },
        })
    }

    /// Returns when the next call is due, or `None` while a call is in flight.
    pub fn next_wake(&self) -> Option<Instant> {
        (!self.is_call_in_flight).then_some(self.next_call_at)
    }

    /// Applies the response to a list call. Returns whether the copy changed.
    pub fn apply_page(&mut self, page: Page) -> bool {
        self.is_call_in_flight = false;
        self.retry_delay = RETRY_DELAY_MIN;
        let SyncState::Listing {
            after,
            listed,
            from,
        } = &mut self.sync_state
        else {
            return false;
        };
        // The watch reports every change made after the first page was read.
        let from = *from.get_or_insert(page.store_version);
        let last = page.objects.last().map(|object| object.name.clone());
        listed.extend(
            page.objects
                .into_iter()
                .map(|object| (object.name.clone(), object)),
        );
        if page.has_more && last.is_some() {
            *after = last;
            return false;
        }
        let listed = std::mem::take(listed);
        self.sync_state = SyncState::Watching { from };
        self.is_listed = true;
        let is_changed = listed != self.objects;
        self.objects = listed;
        is_changed
    }

    /// Applies the response to a watch call. Returns whether it contained changes.
    pub fn apply_changes(&mut self, now: Instant, changes: Changes) -> bool {
        self.is_call_in_flight = false;
        self.retry_delay = RETRY_DELAY_MIN;
        let is_changed = !changes.changes.is_empty();
        if is_changed {
            let batch_delay = match self.kind {
                ObjectKind::Own => OWN_CHANGES_BATCH_DELAY,
                ObjectKind::Targets => TARGET_CHANGES_BATCH_DELAY,
                ObjectKind::Routes => Duration::ZERO,
            };
            self.next_call_at = now + batch_delay;
        }
        for change in changes.changes {
            let name = change.object.name.clone();
            if change.is_deleted {
                self.objects.remove(&name);
            } else if self
                .objects
                .get(&name)
                .is_none_or(|known| known.version <= change.object.version)
            {
                self.objects.insert(name, change.object);
            }
        }
        if let SyncState::Watching { from } = &mut self.sync_state {
            *from = changes.store_version.max(*from);
        }
        is_changed
    }

    /// Makes the next call a full list. The known objects stay until the list is complete.
    pub fn restart_listing(&mut self) {
        self.is_call_in_flight = false;
        self.sync_state = SyncState::Listing {
            after: None,
            listed: BTreeMap::new(),
            from: None,
        };
    }

    /// Schedules a retry after a failed call. `jitter`, from 0 to 1, spreads the retries of
    /// different processes.
    ///
    /// The retry is a full list, because a watch that starts while the store recovers may never
    /// report the changes made before it.
    pub fn record_failure(&mut self, now: Instant, jitter: f64) {
        self.restart_listing();
        self.next_call_at = now + self.retry_delay.mul_f64(0.5 + jitter / 2.0);
        self.retry_delay = (self.retry_delay * 2).min(RETRY_DELAY_MAX);
    }
}
