//! Tests of the homes: spread over zones, stable under small changes, limited by connections.

use endivereach_core::cases;
use endivereach_core::directory::Vm;
use endivereach_core::homes;
use endivereach_core::ids::GroupName;
use endivereach_core::ids::ProxyName;
use proptest::prelude::*;
use std::collections::BTreeSet;

fn vm(number: usize, zones: usize) -> Vm {
    Vm {
        name: format!("entry-{number}").as_str().into(),
        region: "dk-east".into(),
        zone: format!("zone-{}", number % zones).as_str().into(),
        peer_addr: "127.0.0.1:1".parse().unwrap(),
        sql_addr: "127.0.0.1:2".parse().unwrap(),
        leaving: false,
    }
}

fn fleet(count: usize, zones: usize) -> Vec<Vm> {
    (0..count).map(|number| vm(number, zones)).collect()
}

fn home_names(group: &GroupName, members: &[Vm], connections: u32) -> BTreeSet<ProxyName> {
    let homes = homes::homes(group, members, connections);
    homes.into_iter().map(|vm| vm.name.clone()).collect()
}

proptest! {
    #[test]
    fn one_departure_changes_at_most_two_homes(
        count in 2..60usize, zones in 1..6usize, removed in 0..60usize, group in 0..1000u32,
    ) {
        let group: GroupName = format!("group-{group}").as_str().into();
        let before = fleet(count, zones);
        let mut after = before.clone();
        after.remove(removed % count);
        let old = home_names(&group, &before, 100);
        let new = home_names(&group, &after, 100);
        prop_assert!(old.difference(&new).count() <= 2);
        prop_assert!(new.difference(&old).count() <= 2);
    }

    #[test]
    fn zones_are_used_evenly(count in 1..60usize, zones in 1..6usize, group in 0..1000u32) {
        let group: GroupName = format!("group-{group}").as_str().into();
        let members = fleet(count, zones);
        let homes = homes::homes(&group, &members, 100);
        let per_zone: Vec<usize> = (0..zones.min(count))
            .map(|zone| homes.iter().filter(|vm| vm.zone.as_str() == format!("zone-{zone}")).count())
            .collect();
        // No zone has two homes more than another one that still has unused members.
        for zone in 0..zones.min(count) {
            let available = members.iter().filter(|vm| vm.zone.as_str() == format!("zone-{zone}")).count();
            for other in &per_zone {
                prop_assert!(per_zone[zone] == available || per_zone[zone] + 1 >= *other);
            }
        }
    }

    #[test]
    fn the_order_of_the_list_does_not_matter(count in 1..40usize, rotation in 0..40usize) {
        let group = GroupName::from("bookings");
        let members = fleet(count, 3);
        let mut rotated = members.clone();
        rotated.rotate_left(rotation % count);
        prop_assert_eq!(home_names(&group, &members, 16), home_names(&group, &rotated, 16));
    }

    #[test]
    fn homes_never_require_more_connections_than_available(connections in 4..2000u32) {
        let homes = homes::home_count(connections) as u32;
        prop_assert!(homes * homes::HOME_CONNECTIONS_MIN + homes::RESERVED_CONNECTIONS <= connections);
    }
}

fn check_home_count(connections: u32, expected: usize) {
    assert_eq!(homes::home_count(connections), expected);
}

cases! {
    check_home_count;
    no_connection: 0, 1;
    three_connections: 3, 1;
    sixteen_connections: 16, 7;
    a_thousand_connections: 1000, homes::HOMES_MAX;
}

#[test]
fn a_leaving_member_is_not_a_home() {
    let mut members = fleet(3, 3);
    members[1].leaving = true;
    let homes = home_names(&"bookings".into(), &members, 100);
    assert!(!homes.contains(&ProxyName::from("entry-1")));
    assert_eq!(homes.len(), 2);
}

#[test]
fn groups_spread_evenly_over_the_fleet() {
    let members = fleet(60, 3);
    let mut counts = std::collections::BTreeMap::<ProxyName, usize>::new();
    for number in 0..600 {
        for name in home_names(&format!("group-{number}").as_str().into(), &members, 16) {
            *counts.entry(name).or_default() += 1;
        }
    }
    // 600 groups with 7 homes each over 60 members give 70 homes per member on average. A member
    // with twice as many would indicate a poor hash.
    assert!(counts.len() == 60 && counts.values().all(|count| *count < 140));
}
