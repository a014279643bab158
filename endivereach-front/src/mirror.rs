//! A local copy of all objects of one kind, read by listing and kept current by watching, or by
//! following a reader.

use crate::feed::Section;
use crate::platform::Changes;
use crate::platform::ListAge;
use crate::platform::Object;
use crate::platform::ObjectKind;
use crate::platform::ObjectValue;
use crate::platform::Page;
use crate::store::CALL_TIMEOUT;
use endivereach_core::exchange::Evidence;
use endivereach_core::ids::Era;
use endivereach_core::ids::Version;
use endivereach_core::store_era::StorePosition;
use std::collections::BTreeMap;
use std::collections::VecDeque;
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

/// The most deletions that are kept for followers. A follower that missed an earlier one gets a
/// complete section.
const DELETIONS_MAX: usize = 256;

/// How long the store may hold a watch without a change, while no process follows this one.
pub const WATCH_WAIT_ALONE: Duration = Duration::from_secs(25);

/// How long the store may hold a watch without a change, while processes follow this one. It bounds
/// the age of the evidence that they receive.
pub const WATCH_WAIT_FOLLOWED: Duration = Duration::from_secs(1);

/// How long a held watch may go on without the change that another process has announced. A store that is
/// slowed down sixtyfold still answers within it.
const LOST_ANSWER_TIMEOUT: Duration = CALL_TIMEOUT;

/// How long the store may hold the first watch after another source. It shows at once whether the
/// copy is current.
pub const WATCH_WAIT_CONFIRMING: Duration = Duration::from_millis(1);

/// The next call to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// List the objects.
    List {
        /// The name after which the page starts; `None` for the first page.
        after: Option<Box<str>>,
        /// How old the objects may be.
        age: ListAge,
    },
    /// Watch for changes.
    Watch {
        /// The store version after which changes are reported.
        from: Version,
        /// How long the store may hold the call without a change.
        wait: Duration,
    },
}

/// An object that was deleted.
#[derive(Clone, Debug)]
struct Deletion {
    /// The version of the store by which the object was gone.
    store_version: Version,
    name: Box<str>,
}

/// The state of the copy.
#[derive(Clone, Debug)]
enum SyncState {
    Listing {
        after: Option<Box<str>>,
        listed: BTreeMap<Box<str>, Object>,
        /// The store version of the first page, and when that page was requested.
        first_page: Option<(Version, Instant)>,
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
    /// How old the objects of the next list may be.
    list_age: ListAge,
    /// Whether no watch has succeeded since the last list.
    is_list_unwatched: bool,
    is_call_in_flight: bool,
    call_sent_at: Instant,
    watch_wait: Duration,
    watch_wait_max: Duration,
    /// Whether the next watch must return at once.
    is_confirmation_due: bool,
    /// The evidence that the copy is complete.
    evidence: Option<Evidence>,
    /// The version of the store up to which the copy is complete, or zero before the first list.
    store_version: Version,
    /// The version of the store at the newest change of the copy.
    changed_at: Version,
    /// When another process announced a change that this copy lacks, while a watch was held.
    behind_since: Option<Instant>,
    deletions: VecDeque<Deletion>,
    /// The version after which every deletion is in `deletions`, or `None` before the first list of
    /// the store's era.
    deletions_known_after: Option<Version>,
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
                first_page: None,
            },
            is_listed: false,
            list_age: ListAge::MayBeStale,
            is_list_unwatched: false,
            is_call_in_flight: false,
            call_sent_at: now,
            watch_wait: WATCH_WAIT_ALONE,
            watch_wait_max: WATCH_WAIT_ALONE,
            is_confirmation_due: false,
            evidence: None,
            store_version: Version::new(0),
            changed_at: Version::new(0),
            behind_since: None,
            deletions: VecDeque::new(),
            deletions_known_after: None,
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

    /// Returns whether a complete list has been read in the current era of the store.
    pub fn is_listed_in_era(&self) -> bool {
        self.deletions_known_after.is_some()
    }

    /// Discards all versions, because the store has returned from a copy and assigns them again. The
    /// known objects stay until a list has been read, for which the next call starts after `delay`.
    pub fn enter_era(&mut self, now: Instant, delay: Duration) {
        self.restart_listing();
        self.next_call_at = now + delay;
        self.evidence = None;
        self.store_version = Version::new(0);
        self.changed_at = Version::new(0);
        self.deletions.clear();
        self.deletions_known_after = None;
    }

    /// Returns whether the current or next call is a watch.
    pub fn is_watching(&self) -> bool {
        matches!(self.sync_state, SyncState::Watching { .. })
    }

    /// Returns whether the platform holds a watch, which it ends at the next change.
    pub fn is_watch_held(&self) -> bool {
        self.is_watching() && self.is_call_in_flight
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
        self.behind_since = None;
        self.call_sent_at = now;
        Some(match &self.sync_state {
            SyncState::Listing { after, .. } => Call::List {
                after: after.clone(),
                age: self.list_age,
            },
            SyncState::Watching { from } => Call::Watch {
                from: *from,
                wait: self.next_watch_wait(),
            },
        })
    }

    fn next_watch_wait(&self) -> Duration {
        if self.is_confirmation_due {
            WATCH_WAIT_CONFIRMING
        } else {
            self.watch_wait
        }
    }

    /// Limits how long the store may hold a watch.
    pub fn limit_watch_wait(&mut self, limit: Duration) {
        self.watch_wait_max = self.watch_wait_max.min(limit);
        self.watch_wait = self.watch_wait.min(limit);
    }

    /// Sets whether other processes follow this one.
    ///
    /// Returns whether the call in flight must be cancelled, because its response may arrive too
    /// late for them.
    pub fn set_followed(&mut self, is_followed: bool) -> bool {
        let wait = if is_followed {
            WATCH_WAIT_FOLLOWED
        } else {
            WATCH_WAIT_ALONE
        };
        let wait = wait.min(self.watch_wait_max);
        let is_shorter = wait < self.watch_wait;
        self.watch_wait = wait;
        is_shorter && self.is_call_in_flight && self.is_watching()
    }

    /// Marks no call as in flight. The next call starts after `delay` and returns at once.
    pub fn restart_call(&mut self, now: Instant, delay: Duration) {
        self.is_call_in_flight = false;
        self.is_confirmation_due = true;
        self.next_call_at = now + delay;
    }

    /// Makes the next call due at `at` if it would be later.
    pub fn shorten_delay(&mut self, at: Instant) {
        self.next_call_at = self.next_call_at.min(at);
    }

    /// Returns the version of the store at the newest change of the copy.
    pub fn changed_at(&self) -> Version {
        self.changed_at
    }

    /// Returns for how long the call in flight has been made.
    pub fn call_age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.call_sent_at)
    }

    /// Records a change that another process's copy includes. `own_era` is the era of this copy's
    /// versions. Returns whether a held watch should have returned the change.
    pub fn record_announcement(
        &mut self,
        now: Instant,
        own_era: Era,
        announced: StorePosition,
    ) -> bool {
        let own = StorePosition {
            era: own_era,
            version: self.store_version,
        };
        // A call that isn't in flight yet will return the change.
        let is_behind = announced > own && self.is_watch_held();
        if is_behind {
            self.behind_since.get_or_insert(now);
        }
        is_behind
    }

    /// Returns whether the answer to the watch in flight was lost: another process has announced a change
    /// that the store must have returned since.
    pub fn has_lost_answer(&self, now: Instant) -> bool {
        let is_over = |since: Instant| now >= since + LOST_ANSWER_TIMEOUT;
        self.is_watch_held() && self.behind_since.is_some_and(is_over)
    }

    /// Returns the evidence that the copy is complete, or `None` before the first list.
    pub fn evidence(&self) -> Option<Evidence> {
        self.evidence
    }

    /// Returns the version of the store up to which the copy is complete, or zero before the first
    /// list.
    pub fn store_version(&self) -> Version {
        self.store_version
    }

    /// Returns whether the copy has changed after a version of the store.
    pub fn has_changed_after(&self, version: Version) -> bool {
        self.changed_at > version
    }

    /// Returns the changes of the copy after a version of the store.
    pub fn section_after(&self, version: Version) -> Section {
        let is_complete = self
            .deletions_known_after
            .is_none_or(|after| version < after);
        let is_included = |object: &&Object| is_complete || object.version > version;
        let is_later = |deletion: &&Deletion| deletion.store_version > version;
        let deletions = self.deletions.iter().filter(is_later);
        // An object may have been created again after it was deleted.
        let is_gone = |deletion: &&Deletion| !self.objects.contains_key(&deletion.name);
        Section {
            kind: self.kind,
            store_version: self.store_version(),
            is_complete,
            objects: self.objects.values().filter(is_included).cloned().collect(),
            deleted: deletions
                .filter(is_gone)
                .map(|deletion| deletion.name.clone())
                .collect(),
        }
    }

    /// Applies the changes that a reader passed on. Returns whether the copy changed.
    ///
    /// A section that describes an older state than the copy is ignored, and so is its evidence.
    pub fn apply_section(&mut self, section: Section, evidence: Evidence) -> bool {
        if !(section.is_complete || self.is_listed_in_era()) {
            return false;
        }
        // The store had left this state before the copy's version was assigned.
        if section.store_version < self.store_version() {
            return false;
        }
        self.evidence = self.evidence.max(Some(evidence));
        let store_version = section.store_version;
        let newest = section.objects.iter().map(|object| object.version).max();
        let objects = section.objects.into_iter();
        let objects = objects.map(|object| (object.name.clone(), object));
        let changed_at = if section.is_complete {
            self.replace_objects(store_version, objects.collect())
        } else {
            let has_deletions = !section.deleted.is_empty();
            for name in section.deleted {
                self.delete_object(store_version, name);
            }
            self.objects.extend(objects);
            newest.max(has_deletions.then_some(store_version))
        };
        self.sync_state = SyncState::Watching {
            from: store_version,
        };
        self.note_version(store_version, changed_at);
        changed_at.is_some()
    }

    /// Replaces the copy by a complete list of objects. Returns the version of the newest change, or
    /// `None` if the list is the same.
    fn replace_objects(
        &mut self,
        store_version: Version,
        objects: BTreeMap<Box<str>, Object>,
    ) -> Option<Version> {
        self.is_listed = true;
        self.deletions_known_after.get_or_insert(store_version);
        let before = std::mem::replace(&mut self.objects, objects);
        let is_changed = |object: &&Object| before.get(&object.name) != Some(*object);
        let changed = self.objects.values().filter(is_changed);
        let mut changed_at = changed.map(|object| object.version).max();
        for name in before.into_keys() {
            if !self.objects.contains_key(&name) {
                self.delete_object(store_version, name);
                changed_at = Some(store_version);
            }
        }
        changed_at
    }

    fn delete_object(&mut self, store_version: Version, name: Box<str>) {
        self.objects.remove(&name);
        self.deletions.push_back(Deletion {
            store_version,
            name,
        });
        if self.deletions.len() > DELETIONS_MAX
            && let Some(oldest) = self.deletions.pop_front()
        {
            self.deletions_known_after = Some(oldest.store_version);
        }
    }

    /// Records that the copy is complete up to `store_version`, with a newest change at `changed_at`. The
    /// version of a deletion isn't known, so that of the list or response counts.
    fn note_version(&mut self, store_version: Version, changed_at: Option<Version>) {
        self.store_version = self.store_version.max(store_version);
        self.changed_at = self.changed_at.max(changed_at.unwrap_or_default());
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
            first_page,
        } = &mut self.sync_state
        else {
            return false;
        };
        // The watch reports every change made after the first page was read.
        let (from, asked_at) = *first_page.get_or_insert((page.store_version, self.call_sent_at));
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
        self.list_age = ListAge::MayBeStale;
        self.is_list_unwatched = true;
        self.is_confirmation_due = false;
        // A stale list may describe an earlier state than the copy.
        if from < self.store_version {
            self.sync_state = SyncState::Watching {
                from: self.store_version,
            };
            return false;
        }
        self.sync_state = SyncState::Watching { from };
        self.evidence = Some(Evidence::from_platform(asked_at));
        let changed_at = self.replace_objects(from, listed);
        self.note_version(from, changed_at);
        changed_at.is_some()
    }

    /// Applies the response to a watch call. Returns whether it contained changes.
    pub fn apply_changes(&mut self, now: Instant, changes: Changes) -> bool {
        let held_until = self.call_sent_at + self.next_watch_wait();
        self.is_call_in_flight = false;
        self.is_list_unwatched = false;
        self.is_confirmation_due = false;
        self.retry_delay = RETRY_DELAY_MIN;
        let is_changed = !changes.changes.is_empty();
        // A response without changes was sent at the end of the wait, unless it came early.
        let is_held = !is_changed && now >= held_until;
        let complete_at = if is_held {
            held_until
        } else {
            self.call_sent_at
        };
        self.evidence = self
            .evidence
            .max(Some(Evidence::from_platform(complete_at)));
        if is_changed {
            let batch_delay = match self.kind {
                ObjectKind::Own => OWN_CHANGES_BATCH_DELAY,
                ObjectKind::Targets => TARGET_CHANGES_BATCH_DELAY,
                ObjectKind::Routes => Duration::ZERO,
            };
            self.next_call_at = now + batch_delay;
        }
        let from = match &mut self.sync_state {
            SyncState::Watching { from } => {
                *from = changes.store_version.max(*from);
                *from
            }
            SyncState::Listing { .. } => changes.store_version,
        };
        let mut changed_at = None;
        for change in changes.changes {
            let name = change.object.name.clone();
            let version = if change.is_deleted {
                from
            } else {
                change.object.version
            };
            changed_at = changed_at.max(Some(version));
            if change.is_deleted {
                self.delete_object(from, name);
            } else if self
                .objects
                .get(&name)
                .is_none_or(|known| known.version <= change.object.version)
            {
                self.objects.insert(name, change.object);
            }
        }
        self.note_version(from, changed_at);
        is_changed
    }

    /// Makes the next call a full list. The known objects stay until the list is complete.
    pub fn restart_listing(&mut self) {
        self.is_call_in_flight = false;
        self.sync_state = SyncState::Listing {
            after: None,
            listed: BTreeMap::new(),
            first_page: None,
        };
    }

    /// Makes the next call a full list, because the history since the copy's version is gone. The list is
    /// current if the copy's version came from a list that was too stale to watch from.
    pub fn record_history_gone(&mut self) {
        self.restart_listing();
        if self.is_list_unwatched {
            self.list_age = ListAge::Current;
        }
    }

    /// Makes the next call a full list that is current, because a stale one may be no newer than the copy.
    pub fn list_current(&mut self) {
        self.restart_listing();
        self.list_age = ListAge::Current;
    }

    /// Makes a retry due now, after another call has shown that the store answers again.
    pub fn end_retry_delay(&mut self, now: Instant) {
        if matches!(self.sync_state, SyncState::Listing { .. }) {
            self.next_call_at = self.next_call_at.min(now);
        }
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
