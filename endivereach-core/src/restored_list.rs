//! Lists of servers and proxies after the platform's store has returned from a copy.
//!
//! Such a list lacks the newest entries until their writers have written them again, and it contains
//! entries that were removed or marked as leaving after the copy was made. Entries that are missing
//! are kept for a while, and a process that was seen to leave isn't used again.

use crate::directory::Vm;
use crate::engine::topology::TargetEntry;
use crate::ids::Incarnation;
use crate::tenant_homes::CpuShare;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// The most departures that are kept. A copy is seconds old, so only the newest ones matter.
const DEPARTURES_MAX: usize = 1_024;

/// An entry of a list, which one process writes about itself.
pub trait ListEntry: Clone {
    /// Returns the name of the entry.
    fn name(&self) -> &str;

    /// Returns the incarnation of the process that wrote the entry.
    fn incarnation(&self) -> Incarnation;

    /// Returns whether the process is about to end.
    fn is_leaving(&self) -> bool;

    /// Marks the process as about to end.
    fn mark_leaving(&mut self);

    /// Returns whether only a process that ends on purpose removes its entry. Otherwise entries
    /// also expire.
    fn is_removed_on_purpose(&self) -> bool;
}

crate::data! {
    /// A registered proxy.
    pub struct ProxyEntry {
        /// The VM on which the proxy runs.
        pub vm: Vm,
        /// The address at which the proxy passes the platform's objects on, if it does.
        pub feed_addr: Option<SocketAddr>,
        /// The incarnation of the proxy process.
        pub incarnation: Incarnation,
        /// The CPU share of the VM.
        pub cpu_share: CpuShare,
    }
}

impl ListEntry for ProxyEntry {
    fn name(&self) -> &str {
        self.vm.name.as_str()
    }

    fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    fn is_leaving(&self) -> bool {
        self.vm.leaving
    }

    fn mark_leaving(&mut self) {
        self.vm.leaving = true;
    }

    fn is_removed_on_purpose(&self) -> bool {
        true
    }
}

impl ListEntry for TargetEntry {
    fn name(&self) -> &str {
        self.id.as_str()
    }

    fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    fn is_leaving(&self) -> bool {
        self.leaving
    }

    fn mark_leaving(&mut self) {
        self.leaving = true;
    }

    fn is_removed_on_purpose(&self) -> bool {
        self.leaving
    }
}

/// How a process left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Departure {
    /// It is about to end.
    Leaving,
    /// Its entry was removed.
    Gone,
}

/// The entries of one kind, reconciled with earlier lists.
///
/// # Examples
///
/// ```
/// use endivereach_core::directory::Vm;
/// use endivereach_core::ids::Incarnation;
/// use endivereach_core::restored_list::{ProxyEntry, RestoredList};
/// use endivereach_core::tenant_homes::CpuShare;
/// use std::time::{Duration, Instant};
///
/// let vm = Vm {
///     name: "entry-1".into(),
///     region: "north".into(),
///     zone: "koege".into(),
///     peer_addr: "127.0.0.1:1".parse().unwrap(),
///     sql_addr: "127.0.0.1:2".parse().unwrap(),
///     leaving: false,
/// };
/// let entry = ProxyEntry {
///     vm,
///     feed_addr: None,
///     incarnation: Incarnation::new(7),
///     cpu_share: CpuShare::default(),
/// };
/// let now = Instant::now();
/// let mut list = RestoredList::default();
/// assert_eq!(list.update(now, vec![entry]).len(), 1);
///
/// list.enter_era(now, Duration::from_secs(2));
/// assert_eq!(list.update(now, Vec::new()).len(), 1, "written after the copy was made");
/// assert_eq!(list.update(now + Duration::from_secs(2), Vec::new()).len(), 0);
/// ```
#[derive(Clone, Debug)]
pub struct RestoredList<T> {
    /// The entries in use.
    entries: BTreeMap<Box<str>, T>,
    departures: BTreeMap<(Box<str>, Incarnation), Departure>,
    /// The keys of `departures`, oldest first.
    departure_order: VecDeque<(Box<str>, Incarnation)>,
    /// Whether the store has returned from a copy in the life of this process.
    is_restored: bool,
    /// The time until which missing entries are kept.
    keep_missing_until: Option<Instant>,
}

impl<T> Default for RestoredList<T> {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            departures: BTreeMap::new(),
            departure_order: VecDeque::new(),
            is_restored: false,
            keep_missing_until: None,
        }
    }
}

impl<T: ListEntry> RestoredList<T> {
    /// Records that the store has returned from a copy. Entries that are missing are kept for
    /// `keep_missing`, in which their writers write them again.
    pub fn enter_era(&mut self, now: Instant, keep_missing: Duration) {
        self.is_restored = true;
        self.keep_missing_until = Some(now + keep_missing);
    }

    /// Returns the number of entries in use.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no entry is in use.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether the time is over for which missing entries are kept. The list must be
    /// updated then.
    pub fn is_update_due(&self, now: Instant) -> bool {
        self.keep_missing_until.is_some_and(|until| now >= until)
    }

    /// Records a complete list, and returns the entries to use.
    pub fn update(&mut self, now: Instant, listed: Vec<T>) -> Vec<T> {
        let keeps_missing = self.keep_missing_until.is_some_and(|until| now < until);
        if !keeps_missing {
            self.keep_missing_until = None;
        }
        let listed = listed.into_iter();
        let mut entries: BTreeMap<Box<str>, T> = listed
            .filter_map(|entry| self.reconcile(entry))
            .map(|entry| (entry.name().into(), entry))
            .collect();
        for (name, entry) in std::mem::take(&mut self.entries) {
            if entries.contains_key(&name) {
                continue;
            }
            if keeps_missing {
                entries.insert(name, entry);
            } else if entry.is_removed_on_purpose() {
                self.record_departure(&entry, Departure::Gone);
            }
        }
        self.entries = entries;
        self.entries.values().cloned().collect()
    }

    /// Returns the entry to use in place of a listed one, or `None` if its process has ended.
    fn reconcile(&mut self, mut entry: T) -> Option<T> {
        if entry.is_leaving() {
            self.record_departure(&entry, Departure::Leaving);
            return Some(entry);
        }
        let key = (Box::from(entry.name()), entry.incarnation());
        match self.departures.get(&key).filter(|_| self.is_restored) {
            Some(Departure::Gone) => return None,
            Some(Departure::Leaving) => entry.mark_leaving(),
            None => {}
        }
        Some(entry)
    }

    fn record_departure(&mut self, entry: &T, departure: Departure) {
        let key = (Box::from(entry.name()), entry.incarnation());
        if self.departures.insert(key.clone(), departure).is_some() {
            return;
        }
        self.departure_order.push_back(key);
        if self.departure_order.len() > DEPARTURES_MAX
            && let Some(oldest) = self.departure_order.pop_front()
        {
            self.departures.remove(&oldest);
        }
    }
}
