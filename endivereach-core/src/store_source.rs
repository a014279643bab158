//! Where a process reads the platform's objects: from the platform, or from a reader in its
//! availability zone.
//!
//! If every proxy watched the platform, its calls would grow with the number of proxies times the
//! number of changes. So one proxy of each zone, its reader, watches the platform, and the others
//! follow the reader. Every proxy ranks the readers of its zone by rendezvous hashing over the list
//! of proxies, so that no process has to assign them. If the first reader fails, the proxies follow
//! the second, which then reads the platform itself.

use crate::directory::Vm;
use crate::ids::ProxyName;
use crate::ids::ZoneName;
use crate::membership;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// The number of ranked readers of a zone. A proxy that can use none of them reads the platform.
pub const RANKED_READERS: usize = 3;

/// The minimum number of proxies in a zone that has a reader. In a smaller zone, the short watches of
/// a reader cost more calls than the long watches of all proxies.
pub const ZONE_PROXIES_MIN: usize = 15;

/// How long a reader that failed is skipped.
const FAILED_READER_RETRY_DELAY: Duration = Duration::from_secs(4);

/// Where a process reads the platform's objects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform itself.
    Platform,
    /// Another proxy, which keeps a current copy.
    Reader(ProxyName),
}

/// Selects the source of a process.
///
/// # Examples
///
/// ```
/// use endivereach_core::directory::Vm;
/// use endivereach_core::store_source::{Source, SourceSelector};
/// use std::time::Instant;
///
/// let vm = |name: &str| Vm {
///     name: name.into(),
///     region: "north".into(),
///     zone: "koege".into(),
///     peer_addr: "127.0.0.1:1".parse().unwrap(),
///     sql_addr: "127.0.0.1:2".parse().unwrap(),
///     leaving: false,
/// };
/// let proxies: Vec<Vm> = (0..20).map(|index| vm(&format!("entry-{index}"))).collect();
/// let now = Instant::now();
///
/// let sources = proxies.iter().map(|proxy| {
///     let mut selector = SourceSelector::new(proxy.name.clone(), proxy.zone.clone());
///     selector.set_proxies(&proxies);
///     selector.select(now)
/// });
/// let readers = sources.filter(|source| *source == Source::Platform);
/// assert_eq!(readers.count(), 1, "one proxy of the zone reads the platform");
/// ```
#[derive(Clone, Debug)]
pub struct SourceSelector {
    own_name: ProxyName,
    zone: ZoneName,
    /// The readers of the zone, best first.
    readers: Vec<ProxyName>,
    /// Readers that failed, with the time until which they are skipped.
    failed: BTreeMap<ProxyName, Instant>,
}

impl SourceSelector {
    /// Creates a selector for the process `own_name` in `zone`, which knows no other proxies yet.
    pub fn new(own_name: ProxyName, zone: ZoneName) -> Self {
        Self {
            own_name,
            zone,
            readers: Vec::new(),
            failed: BTreeMap::new(),
        }
    }

    /// Sets the list of proxies that can be readers.
    pub fn set_proxies(&mut self, proxies: &[Vm]) {
        let is_of_zone = |vm: &&Vm| vm.zone == self.zone && !vm.leaving;
        self.readers = if proxies.iter().filter(is_of_zone).count() < ZONE_PROXIES_MIN {
            Vec::new()
        } else {
            membership::relays(&self.zone, proxies, RANKED_READERS)
                .into_iter()
                .map(|vm| vm.name.clone())
                .collect()
        };
    }

    /// Returns whether the zone has readers.
    pub fn has_readers(&self) -> bool {
        !self.readers.is_empty()
    }

    /// Returns the source to use now: the best reader that hasn't failed recently.
    pub fn select(&self, now: Instant) -> Source {
        let has_failed = |reader: &ProxyName| {
            let until = self.failed.get(reader);
            until.is_some_and(|until| now < *until)
        };
        // A process that would be the reader itself reads the platform.
        self.readers
            .iter()
            .find(|reader| **reader == self.own_name || !has_failed(reader))
            .filter(|reader| **reader != self.own_name)
            .map_or(Source::Platform, |reader| Source::Reader(reader.clone()))
    }

    /// Records that a reader didn't answer, or that its copy was too old. `jitter`, from 0 to 1,
    /// spreads the return of different processes to the reader.
    pub fn record_failure(&mut self, now: Instant, reader: &ProxyName, jitter: f64) {
        self.failed.retain(|_, until| now < *until);
        let delay = FAILED_READER_RETRY_DELAY.mul_f64(0.5 + jitter / 2.0);
        self.failed.insert(reader.clone(), now + delay);
    }
}
