//! Where a process reads the platform's objects: from the platform, or from a reader in its
//! availability zone.
//!
//! If every proxy watched the platform, its calls would grow with the number of proxies times the
//! number of changes. So one proxy of each zone, its reader, watches the platform, and the others
//! follow the reader. Every proxy ranks the readers of its zone by rendezvous hashing over the list
//! of proxies, so that no process has to assign them. If the first reader fails, the proxies follow
//! the second, which then reads the platform itself.
//!
//! Load: if the list of proxies names several regions, whose zones may be small, one proxy of each
//! region reads the platform. The readers of the region's zones follow it, and the other proxies
//! follow the readers of their zones.

use crate::directory::Vm;
use crate::ids::ProxyName;
use crate::ids::RegionName;
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

/// The minimum number of proxies in a region that has a reader, where several regions are listed. The
/// reader's calls are the same as those of a zone's reader, so the number is the same.
pub const REGION_PROXIES_MIN: usize = ZONE_PROXIES_MIN;

/// The maximum age of the evidence that a reader's copy is complete. An older copy isn't followed.
///
/// It is 1 s for the reader's own watch, up to one poll of a region's reader, and the time in which
/// a zone's reader notices that the region's reader is lost and gets evidence from the next one.
pub const EVIDENCE_AGE_MAX: Duration = Duration::from_millis(2_500);

/// The maximum delay before a process that lost its reader calls the platform, which spreads the
/// calls of the processes of a zone.
const FALLBACK_DELAY_MAX: Duration = Duration::from_millis(200);

/// The same for a process of a region with readers that isn't one of them. All readers of its zone
/// failed, so the platform has probably failed, and the readers notice when it answers again. A process
/// that is cut off from the readers alone still reads the platform within 5.5 s.
const UNRANKED_FALLBACK_DELAY_MAX: Duration = Duration::from_secs(2);

/// How long a reader that failed is skipped.
const FAILED_READER_RETRY_DELAY: Duration = Duration::from_secs(4);

/// The same where several regions are listed. It is longer than trying all readers takes, so that a
/// process that reaches none of them gets to the platform.
const FAILED_REGION_READER_RETRY_DELAY: Duration = Duration::from_secs(10);

/// Where a process reads the platform's objects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform itself.
    Platform,
    /// A reader of the zone, which keeps a current copy.
    Reader(ProxyName),
    /// A reader of the region, which keeps a current copy. Its copy is passed on once more, so it is
    /// asked more often than a reader of the zone.
    RegionReader(ProxyName),
}

/// How long a poll of a reader may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollTiming {
    /// How long the reader may hold the poll without a change.
    pub wait: Duration,
    /// The time after the end of the wait at which a poll without a reply times out.
    pub timeout_margin: Duration,
}

impl PollTiming {
    /// The first poll of a reader. A reader that has a current copy answers it at once, and one that
    /// is starting answers once it has one. The margin lets several failed readers be skipped
    /// quickly.
    const FIRST: Self = Self {
        wait: Duration::from_millis(250),
        timeout_margin: Duration::from_millis(250),
    };

    /// A poll of a zone's reader. The margin lets TCP retransmit a lost packet twice.
    const ZONE: Self = Self {
        wait: Duration::from_secs(1),
        timeout_margin: Duration::from_millis(700),
    };

    /// A poll of a region's reader. The margin lets TCP retransmit a lost packet once: with a longer
    /// one, the evidence of a zone's reader would exceed [`EVIDENCE_AGE_MAX`] before it has noticed
    /// that the region's reader is frozen, and its followers would give it up.
    const REGION: Self = Self {
        wait: Duration::from_millis(300),
        timeout_margin: Duration::from_millis(350),
    };
}

impl Source {
    /// Returns the reader, or `None` if the source is the platform.
    pub fn reader(&self) -> Option<&ProxyName> {
        match self {
            Self::Platform => None,
            Self::Reader(reader) | Self::RegionReader(reader) => Some(reader),
        }
    }

    /// Returns how long a poll of this source may take. `is_confirmed` states whether it has
    /// answered an earlier one.
    pub fn poll_timing(&self, is_confirmed: bool) -> PollTiming {
        match self {
            _ if !is_confirmed => PollTiming::FIRST,
            Self::RegionReader(_) => PollTiming::REGION,
            Self::Reader(_) | Self::Platform => PollTiming::ZONE,
        }
    }
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
///     let (zone, region) = (proxy.zone.clone(), proxy.region.clone());
///     let mut selector = SourceSelector::new(proxy.name.clone(), zone, region);
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
    region: RegionName,
    /// The readers of the zone, best first.
    zone_readers: Vec<ProxyName>,
    /// The readers of the region, best first. Empty if one region is listed, or if the region is
    /// small.
    region_readers: Vec<ProxyName>,
    /// Whether region readers are used and several regions are listed.
    has_other_region: bool,
    uses_region_readers: bool,
    /// The other proxies without readers, which watch the platform with long waits.
    lone_watchers: Vec<ProxyName>,
    /// Readers that failed, with the time until which they are skipped.
    failed: BTreeMap<ProxyName, Instant>,
}

impl SourceSelector {
    /// Creates a selector for the process `own_name` in `zone` of `region`, which knows no other
    /// proxies yet.
    pub fn new(own_name: ProxyName, zone: ZoneName, region: RegionName) -> Self {
        Self {
            own_name,
            zone,
            region,
            zone_readers: Vec::new(),
            region_readers: Vec::new(),
            has_other_region: false,
            uses_region_readers: false,
            lone_watchers: Vec::new(),
            failed: BTreeMap::new(),
        }
    }

    /// Lets one reader of each region read the platform, where several regions are listed.
    ///
    /// Routes are passed on whole, and two hops take longer than one. Where routes are large and links
    /// narrow, they may arrive too late, so this is off unless the settings ask for it.
    pub fn use_region_readers(mut self, is_used: bool) -> Self {
        self.uses_region_readers = is_used;
        self
    }

    /// Sets the list of proxies that can be readers.
    pub fn set_proxies(&mut self, proxies: &[Vm]) {
        let staying = || proxies.iter().filter(|vm| !vm.leaving);
        let mut zone_sizes: BTreeMap<&ZoneName, usize> = BTreeMap::new();
        let mut region_sizes: BTreeMap<&RegionName, usize> = BTreeMap::new();
        for vm in staying() {
            *zone_sizes.entry(&vm.zone).or_default() += 1;
            *region_sizes.entry(&vm.region).or_default() += 1;
        }
        let of_region = region_sizes.get(&self.region).copied().unwrap_or_default();
        self.has_other_region =
            self.uses_region_readers && staying().any(|vm| vm.region != self.region);
        self.region_readers = if self.has_other_region && of_region >= REGION_PROXIES_MIN {
            names(membership::region_relays(
                &self.region,
                proxies,
                RANKED_READERS,
            ))
        } else {
            Vec::new()
        };
        let of_zone = zone_sizes.get(&self.zone).copied().unwrap_or_default();
        // The reader of a small zone costs no calls if it follows the reader of its region.
        let has_zone_readers = of_zone >= ZONE_PROXIES_MIN || !self.region_readers.is_empty();
        self.zone_readers = if has_zone_readers {
            names(membership::relays(&self.zone, proxies, RANKED_READERS))
        } else {
            Vec::new()
        };
        let has_reader = |vm: &&Vm| {
            zone_sizes[&vm.zone] >= ZONE_PROXIES_MIN
                || (self.has_other_region && region_sizes[&vm.region] >= REGION_PROXIES_MIN)
        };
        let others = staying().filter(|vm| vm.name != self.own_name);
        self.lone_watchers = names(others.filter(|vm| !has_reader(vm)).collect());
    }

    /// Returns the other proxies that watch the platform by themselves, because neither their zone nor
    /// their region has a reader.
    pub fn lone_watchers(&self) -> &[ProxyName] {
        &self.lone_watchers
    }

    /// Returns whether the zone or the region has readers.
    pub fn has_readers(&self) -> bool {
        !self.zone_readers.is_empty()
    }

    /// Returns whether the list names several regions but too few proxies of the own one for a
    /// reader, as while all proxies start at once.
    pub fn may_get_region_readers(&self) -> bool {
        self.has_other_region && self.region_readers.is_empty()
    }

    /// Returns the source to use now: the best reader that hasn't failed recently.
    ///
    /// With lists that agree there is no loop: the readers of a region follow only better ranked
    /// ones, readers of a zone follow those or better ranked ones of the zone, and no other proxy is
    /// followed.
    pub fn select(&self, now: Instant) -> Source {
        if !self.region_readers.contains(&self.own_name)
            && let Some(reader) = self.best(&self.zone_readers, now)
        {
            return Source::Reader(reader.clone());
        }
        // Another proxy that reaches none of its zone's readers is probably cut off. Trying the
        // region's readers too would take longer than routes may be out of date.
        if !self.is_ranked() {
            return Source::Platform;
        }
        self.best(&self.region_readers, now)
            .map_or(Source::Platform, |reader| {
                Source::RegionReader(reader.clone())
            })
    }

    /// Returns whether this process is among the ranked readers of its zone or region.
    fn is_ranked(&self) -> bool {
        self.region_readers.contains(&self.own_name) || self.zone_readers.contains(&self.own_name)
    }

    /// Returns the best of `readers` that hasn't failed recently, or `None` if that is this process,
    /// which then reads what these readers read.
    fn best<'a>(&self, readers: &'a [ProxyName], now: Instant) -> Option<&'a ProxyName> {
        let has_failed = |reader: &ProxyName| {
            let until = self.failed.get(reader);
            until.is_some_and(|until| now < *until)
        };
        readers
            .iter()
            .find(|reader| **reader == self.own_name || !has_failed(reader))
            .filter(|reader| **reader != self.own_name)
    }

    /// Returns the delay before this process calls the platform after it lost its reader. `jitter`,
    /// from 0 to 1, spreads the calls of different processes.
    pub fn fallback_delay(&self, jitter: f64) -> Duration {
        let delay_max = if self.region_readers.is_empty() || self.is_ranked() {
            FALLBACK_DELAY_MAX
        } else {
            UNRANKED_FALLBACK_DELAY_MAX
        };
        delay_max.mul_f64(jitter)
    }

    /// Records that a reader didn't answer, or that its copy was too old. `jitter`, from 0 to 1,
    /// spreads the return of different processes to the reader.
    pub fn record_failure(&mut self, now: Instant, reader: &ProxyName, jitter: f64) {
        self.failed.retain(|_, until| now < *until);
        let delay = if self.region_readers.is_empty() {
            FAILED_READER_RETRY_DELAY
        } else {
            FAILED_REGION_READER_RETRY_DELAY
        };
        let delay = delay.mul_f64(0.5 + jitter / 2.0);
        self.failed.insert(reader.clone(), now + delay);
    }
}

fn names(vms: Vec<&Vm>) -> Vec<ProxyName> {
    vms.into_iter().map(|vm| vm.name.clone()).collect()
}
