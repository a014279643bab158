//! The choice between the platform and a reader as the source of the platform's objects.

use endivereach_core::directory::Vm;
use endivereach_core::ids::ProxyName;
use endivereach_core::store_source::RANKED_READERS;
use endivereach_core::store_source::Source;
use endivereach_core::store_source::SourceSelector;
use endivereach_core::store_source::ZONE_PROXIES_MIN;
use std::time::Duration;
use std::time::Instant;

fn fleet(zones: &[&str], proxies_per_zone: usize) -> Vec<Vm> {
    let vm = |zone: &str, index: usize| Vm {
        name: format!("front-{zone}-{index}").as_str().into(),
        region: "coast".into(),
        zone: zone.into(),
        peer_addr: ([10, 0, 0, 1], 7440).into(),
        sql_addr: ([10, 0, 0, 1], 8784).into(),
        leaving: false,
    };
    let zones = zones.iter();
    zones
        .flat_map(|zone| (0..proxies_per_zone).map(move |index| vm(zone, index)))
        .collect()
}

fn selector(own: &Vm, proxies: &[Vm]) -> SourceSelector {
    let mut selector = SourceSelector::new(own.name.clone(), own.zone.clone(), own.region.clone());
    selector.set_proxies(proxies);
    selector
}

/// Returns the number of proxies that read the platform.
fn platform_readers(proxies: &[Vm]) -> usize {
    let now = Instant::now();
    let sources = proxies.iter().map(|vm| selector(vm, proxies).select(now));
    sources.filter(|source| *source == Source::Platform).count()
}

/// Load: fleets of growing size in five zones. The number of watches at the platform stays the
/// same.
#[test]
fn the_platform_has_one_reader_a_zone_at_any_fleet_size() {
    let zones = ["a", "b", "c", "d", "e"];
    for proxies_per_zone in [20, 60, 150] {
        let proxies = fleet(&zones, proxies_per_zone);
        assert_eq!(platform_readers(&proxies), zones.len());
    }
}

#[test]
fn every_proxy_of_a_small_zone_reads_the_platform() {
    let proxies = fleet(&["a", "b"], ZONE_PROXIES_MIN - 1);
    assert_eq!(platform_readers(&proxies), proxies.len());
}

#[test]
fn a_reader_is_in_the_proxys_own_zone() {
    let proxies = fleet(&["a", "b"], 20);
    let now = Instant::now();
    for vm in &proxies {
        if let Source::Reader(reader) = selector(vm, &proxies).select(now) {
            let reader = proxies.iter().find(|other| other.name == reader);
            assert_eq!(reader.map(|reader| &reader.zone), Some(&vm.zone));
        }
    }
}

/// The first reader fails. All proxies agree on the next one, which reads the platform itself.
#[test]
fn the_next_reader_takes_over_from_a_failed_one() {
    let proxies = fleet(&["a"], 30);
    let now = Instant::now();
    let is_follower = |vm: &&Vm| selector(vm, &proxies).select(now) != Source::Platform;
    let followers: Vec<&Vm> = proxies.iter().filter(is_follower).collect();
    let mut sources = Vec::new();
    for vm in followers {
        let mut selector = selector(vm, &proxies);
        let Source::Reader(failed) = selector.select(now) else {
            panic!("a follower has a reader");
        };
        selector.record_failure(now, &failed, 1.0);
        sources.push(selector.select(now));
    }
    let on_platform = sources.iter().filter(|source| **source == Source::Platform);
    assert_eq!(on_platform.count(), 1);
    sources.retain(|source| *source != Source::Platform);
    sources.dedup();
    assert_eq!(sources.len(), 1, "the followers disagree: {sources:?}");
}

#[test]
fn a_proxy_whose_readers_all_failed_reads_the_platform_for_a_while() {
    let proxies = fleet(&["a"], 30);
    let now = Instant::now();
    let is_unranked = |vm: &&Vm| {
        let mut selector = selector(vm, &proxies);
        (0..RANKED_READERS).all(|_| match selector.select(now) {
            Source::Reader(reader) => {
                selector.record_failure(now, &reader, 0.0);
                true
            }
            Source::Platform | Source::RegionReader(_) => false,
        })
    };
    let own = proxies.iter().find(is_unranked).unwrap();
    let mut selector = selector(own, &proxies);
    let Source::Reader(first) = selector.select(now) else {
        panic!("an unranked proxy follows a reader");
    };
    for _ in 0..RANKED_READERS {
        if let Source::Reader(reader) = selector.select(now) {
            selector.record_failure(now, &reader, 0.0);
        }
    }
    assert_eq!(selector.select(now), Source::Platform);
    let later = now + Duration::from_secs(5);
    assert_eq!(selector.select(later), Source::Reader(first));
}

/// Load: announcements go to proxies with long watches only.
#[test]
fn lone_watchers_are_the_proxies_without_a_reader() {
    let mut proxies = fleet(&["a"], ZONE_PROXIES_MIN);
    proxies.extend(fleet(&["b"], 3));
    let lone = |own: &Vm| selector(own, &proxies).lone_watchers().to_vec();
    let of_zone_b: Vec<ProxyName> = proxies[ZONE_PROXIES_MIN..]
        .iter()
        .map(|vm| vm.name.clone())
        .collect();
    assert_eq!(lone(&proxies[0]), of_zone_b);
    assert_eq!(lone(&proxies[ZONE_PROXIES_MIN]), of_zone_b[1..]);
}
