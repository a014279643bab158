//! Readers of regions and zones: who follows whom, and how old the evidence gets when a reader or the
//! link between the regions is lost.

use endivereach_core::directory::Vm;
use endivereach_core::ids::ProxyName;
use endivereach_core::store_source::EVIDENCE_AGE_MAX;
use endivereach_core::store_source::PollTiming;
use endivereach_core::store_source::REGION_PROXIES_MIN;
use endivereach_core::store_source::Source;
use endivereach_core::store_source::SourceSelector;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

const STEP: Duration = Duration::from_millis(10);

/// How long the platform holds the watches of a followed process.
const WATCH_WAIT: Duration = Duration::from_secs(1);

/// The round trip to the platform from the other region, and its timeout.
const PLATFORM_ROUND_TRIP: Duration = Duration::from_millis(60);
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(700);

fn vm(region: &str, zone: &str, index: usize) -> Vm {
    Vm {
        name: format!("front-{zone}-{index}").as_str().into(),
        region: region.into(),
        zone: zone.into(),
        peer_addr: ([10, 0, 0, 1], 7440).into(),
        sql_addr: ([10, 0, 0, 1], 8784).into(),
        leaving: false,
    }
}

/// Returns the company register's proxies: 85 in six zones of two regions, in `coast` the first three.
fn register() -> Vec<Vm> {
    let zones = [
        ("a", 13),
        ("b", 14),
        ("c", 16),
        ("d", 14),
        ("e", 14),
        ("f", 14),
    ];
    let of_zone = |(zone, count): (&'static str, usize)| {
        let region = if zone < "d" { "coast" } else { "hills" };
        (0..count).map(move |index| vm(region, zone, index))
    };
    zones.into_iter().flat_map(of_zone).collect()
}

fn selector(own: &Vm, proxies: &[Vm]) -> SourceSelector {
    let mut selector = SourceSelector::new(own.name.clone(), own.zone.clone(), own.region.clone())
        .use_region_readers(true);
    selector.set_proxies(proxies);
    selector
}

fn count(proxies: &[Vm], is_counted: impl Fn(&Source) -> bool) -> usize {
    let now = Instant::now();
    let sources = proxies.iter().map(|vm| selector(vm, proxies).select(now));
    sources.filter(is_counted).count()
}

#[test]
fn one_proxy_of_each_region_reads_the_platform() {
    let proxies = register();
    assert_eq!(count(&proxies, |source| *source == Source::Platform), 2);
    let of_regions = count(&proxies, |source| matches!(source, Source::RegionReader(_)));
    // The zones' readers, and the second and third of each region.
    assert!((6..=10).contains(&of_regions), "{of_regions}");
}

#[test]
fn one_region_has_readers_only_in_large_zones() {
    let mut proxies = register();
    for vm in &mut proxies {
        vm.region = "coast".into();
    }
    let of_regions = count(&proxies, |source| matches!(source, Source::RegionReader(_)));
    assert_eq!(of_regions, 0);
    // Only zone c has 15 proxies or more.
    assert_eq!(
        count(&proxies, |source| *source == Source::Platform),
        85 - 15
    );
}

#[test]
fn every_proxy_of_a_small_region_reads_the_platform() {
    let mut proxies = register();
    proxies.truncate(43 + REGION_PROXIES_MIN - 1);
    let hills = proxies.iter().filter(|vm| vm.region.as_str() == "hills");
    for vm in hills {
        assert_eq!(
            selector(vm, &proxies).select(Instant::now()),
            Source::Platform
        );
    }
}

/// Load: the platform fails, so every proxy goes through all of its readers and then falls back to the
/// platform. Only the ranked readers call it soon.
#[test]
fn few_proxies_of_several_regions_call_a_failed_platform_soon() {
    let proxies = register();
    let is_soon = |vm: &&Vm| selector(vm, &proxies).fallback_delay(1.0) < Duration::from_secs(1);
    let soon = proxies.iter().filter(is_soon).count();
    assert!((18..=24).contains(&soon), "{soon}");
    let coast: Vec<Vm> = proxies[..43].to_vec();
    let delay = |vm: &Vm| selector(vm, &coast).fallback_delay(1.0);
    assert!(coast.iter().all(|vm| delay(vm) < Duration::from_secs(1)));
}

/// A proxy of the simulation.
struct Node {
    vm: Vm,
    selector: SourceSelector,
    source: Source,
    is_confirmed: bool,
    /// When the call in flight was sent, or when the next one is.
    sent_at: Instant,
    complete_at: Instant,
    oldest: Duration,
    failures: usize,
    platform_calls: usize,
}

/// All proxies, which read an unchanging platform.
struct Fleet {
    now: Instant,
    nodes: Vec<Node>,
    frozen: BTreeSet<ProxyName>,
    is_link_cut: bool,
}

impl Fleet {
    fn new(proxies: &[Vm]) -> Self {
        let now = Instant::now() + Duration::from_secs(60);
        let node = |(index, vm): (usize, &Vm)| Node {
            vm: vm.clone(),
            selector: selector(vm, proxies),
            source: Source::Platform,
            is_confirmed: false,
            // The processes don't run in step.
            sent_at: now + Duration::from_millis(index as u64 * 370 % 1_000),
            complete_at: now,
            oldest: Duration::ZERO,
            failures: 0,
            platform_calls: 0,
        };
        let mut fleet = Self {
            now,
            nodes: proxies.iter().enumerate().map(node).collect(),
            frozen: BTreeSet::new(),
            is_link_cut: false,
        };
        fleet.run(Duration::from_secs(10));
        fleet.reset();
        fleet
    }

    fn reset(&mut self) {
        for node in &mut self.nodes {
            (node.oldest, node.failures, node.platform_calls) = (Duration::ZERO, 0, 0);
        }
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            for index in 0..self.nodes.len() {
                if !self.frozen.contains(&self.nodes[index].vm.name) {
                    self.step(index);
                }
            }
        }
    }

    fn step(&mut self, index: usize) {
        let now = self.now;
        let reaches_platform = self.nodes[index].vm.region.as_str() == "coast" || !self.is_link_cut;
        let source = self.nodes[index].selector.select(now);
        let node = &mut self.nodes[index];
        let age = now.saturating_duration_since(node.complete_at);
        node.oldest = node.oldest.max(age);
        if source != node.source {
            (node.source, node.is_confirmed, node.sent_at) = (source, false, now);
        }
        let Some(reader) = node.source.reader().cloned() else {
            // The first watch confirms the copy at once.
            let wait = if node.is_confirmed {
                WATCH_WAIT
            } else {
                Duration::ZERO
            };
            if reaches_platform && now >= node.sent_at + wait + PLATFORM_ROUND_TRIP {
                node.complete_at = node.sent_at + wait;
                (node.is_confirmed, node.sent_at) = (true, now);
                node.platform_calls += 1;
            } else if !reaches_platform && now >= node.sent_at + PLATFORM_TIMEOUT {
                node.sent_at = now;
            }
            return;
        };
        let PollTiming {
            wait,
            timeout_margin,
        } = node.source.poll_timing(node.is_confirmed);
        if now < node.sent_at + wait {
            return;
        }
        let is_frozen = self.frozen.contains(&reader);
        if is_frozen && now < node.sent_at + wait + timeout_margin {
            return;
        }
        let read = self
            .nodes
            .iter()
            .find(|node| node.vm.name == reader)
            .unwrap();
        let complete_at = read.complete_at;
        let is_current = now.saturating_duration_since(complete_at) <= EVIDENCE_AGE_MAX;
        let node = &mut self.nodes[index];
        node.sent_at = now;
        if is_current && !is_frozen {
            node.complete_at = node.complete_at.max(complete_at);
            node.is_confirmed = true;
        } else {
            node.failures += 1;
            let jitter = (index % 10) as f64 / 10.0;
            node.selector.record_failure(now, &reader, jitter);
        }
    }

    /// Returns the first reader of a region, and of a zone that isn't its own.
    fn readers(&self) -> (ProxyName, ProxyName) {
        let is_of_zone = |vm: &Vm| vm.zone.as_str() == "d" || vm.zone.as_str() == "e";
        let nodes = self.nodes.iter().filter(|node| is_of_zone(&node.vm));
        let mut regions = nodes.filter_map(|node| match &node.source {
            Source::RegionReader(reader) => Some((reader.clone(), node.vm.name.clone())),
            _ => None,
        });
        let followed: BTreeSet<&ProxyName> = self
            .nodes
            .iter()
            .filter_map(|node| node.source.reader())
            .collect();
        regions
            .find(|(_, zone_reader)| followed.contains(zone_reader))
            .expect("a zone's reader follows the region's")
    }

    fn oldest(&self) -> Duration {
        let alive = self
            .nodes
            .iter()
            .filter(|node| !self.frozen.contains(&node.vm.name));
        alive.map(|node| node.oldest).max().unwrap()
    }

    fn failures(&self) -> usize {
        self.nodes.iter().map(|node| node.failures).sum()
    }

    fn platform_calls(&self) -> usize {
        self.nodes.iter().map(|node| node.platform_calls).sum()
    }
}

/// Load: 85 proxies of two regions for 48 s. Two watches of one kind a second, and no reader is given
/// up because its evidence is too old after two hops.
#[test]
fn evidence_stays_current_over_two_hops() {
    let mut fleet = Fleet::new(&register());
    fleet.run(Duration::from_secs(48));
    assert_eq!(fleet.failures(), 0);
    assert!(
        fleet.platform_calls() <= 2 * 48,
        "{}",
        fleet.platform_calls()
    );
    assert!(fleet.oldest() <= EVIDENCE_AGE_MAX, "{:?}", fleet.oldest());
}

/// The reader of a region freezes. The zones' readers find the next one before their evidence is so
/// old that their followers give them up.
#[test]
fn only_its_followers_notice_a_lost_region_reader() {
    let mut fleet = Fleet::new(&register());
    let (region_reader, _) = fleet.readers();
    let is_follower = |node: &Node| node.source.reader() == Some(&region_reader);
    let followers = fleet.nodes.iter().filter(|node| is_follower(node)).count();
    // A proxy of the region reader's zone may follow it as its zone's reader.
    fleet.frozen.insert(region_reader);
    fleet.run(Duration::from_secs(2));
    assert!(
        fleet.failures() <= 2 * followers,
        "{} of {followers}",
        fleet.failures()
    );
    let readers = fleet
        .nodes
        .iter()
        .filter(|node| node.source == Source::Platform);
    assert_eq!(readers.count(), 3, "one of each region, and the frozen one");
    fleet.run(Duration::from_secs(28));
    let bound = EVIDENCE_AGE_MAX + WATCH_WAIT;
    assert!(fleet.oldest() <= bound, "{:?}", fleet.oldest());
}

/// The reader of a zone freezes. The platform gets no further readers.
#[test]
fn a_lost_zone_reader_is_replaced_by_one_that_follows_the_region() {
    let mut fleet = Fleet::new(&register());
    let (_, zone_reader) = fleet.readers();
    fleet.frozen.insert(zone_reader);
    fleet.run(Duration::from_secs(30));
    assert!(
        fleet.platform_calls() <= 2 * 30,
        "{}",
        fleet.platform_calls()
    );
    let bound = EVIDENCE_AGE_MAX + 2 * WATCH_WAIT;
    assert!(fleet.oldest() <= bound, "{:?}", fleet.oldest());
}

/// The link between the regions is cut for 20 s. No proxy of the region without the store counts old
/// evidence as new, the other region isn't affected, and all proxies follow again afterwards.
#[test]
fn a_cut_link_between_regions_lets_evidence_grow_old() {
    let mut fleet = Fleet::new(&register());
    let cut_at = fleet.now;
    fleet.is_link_cut = true;
    fleet.run(Duration::from_secs(20));
    for node in &fleet.nodes {
        if node.vm.region.as_str() == "hills" {
            assert!(node.complete_at <= cut_at, "{} has evidence", node.vm.name);
        } else {
            assert_eq!(node.failures, 0, "{}", node.vm.name);
        }
    }
    fleet.is_link_cut = false;
    fleet.run(Duration::from_secs(8));
    fleet.reset();
    fleet.run(Duration::from_secs(10));
    assert!(fleet.oldest() <= EVIDENCE_AGE_MAX, "{:?}", fleet.oldest());
    assert_eq!(fleet.failures(), 0);
}

/// The reader of a region has a list without itself, so that it follows a proxy that follows it. The
/// evidence isn't renewed in the loop, so the proxies give each other up.
#[test]
fn proxies_that_follow_each_other_notice_by_the_age() {
    let proxies = register();
    let mut fleet = Fleet::new(&proxies);
    let (first, _) = fleet.readers();
    let mut others = proxies.clone();
    others.retain(|vm| vm.name != first);
    let position = proxies.iter().position(|vm| vm.name == first).unwrap();
    fleet.nodes[position].selector.set_proxies(&others);
    fleet.run(Duration::from_secs(1));
    let followed = fleet.nodes[position].source.reader().cloned().unwrap();
    fleet.run(Duration::from_secs(19));
    let failures = |name: &ProxyName| {
        let node = fleet.nodes.iter().find(|node| node.vm.name == *name);
        node.unwrap().failures
    };
    assert!(
        failures(&first) + failures(&followed) > 0,
        "the loop goes on"
    );
    assert!(
        fleet.oldest() <= Duration::from_secs(5),
        "{:?}",
        fleet.oldest()
    );
}

/// A process that is cut off from all other proxies, but not from the platform, must get to the
/// platform before its routes are out of date, without trying a lost reader twice on the way.
#[test]
fn a_process_that_reaches_no_other_reads_the_platform_in_time() {
    let proxies = register();
    for own in &proxies {
        let start = Instant::now();
        let mut now = start;
        let mut selector = selector(own, &proxies);
        while let Some(reader) = selector.select(now).reader().cloned() {
            let is_first = now == start;
            let timing = selector.select(now).poll_timing(is_first);
            now += timing.wait + timing.timeout_margin;
            selector.record_failure(now, &reader, 0.0);
            assert!(now < start + Duration::from_millis(4_300), "{}", own.name);
        }
    }
}
