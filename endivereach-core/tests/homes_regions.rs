//! The home that a session is relayed to where the proxies are in several regions.

use endivereach_core::directory::Vm;
use endivereach_core::homes;
use endivereach_core::ids::ZoneName;

/// The zones of the company register with their regions. The servers are in the first three.
const ZONES: [(&str, &str); 6] = [
    ("mar-a", "marmara"),
    ("mar-b", "marmara"),
    ("anad-a", "anadolu"),
    ("mar-c", "marmara"),
    ("anad-b", "anadolu"),
    ("anad-c", "anadolu"),
];

fn members() -> Vec<Vm> {
    let vm = |number: usize| {
        let (zone, region) = ZONES[number % ZONES.len()];
        Vm {
            name: format!("entry-{number}").as_str().into(),
            region: region.into(),
            zone: zone.into(),
            peer_addr: "127.0.0.1:1".parse().unwrap(),
            sql_addr: "127.0.0.1:2".parse().unwrap(),
            leaving: false,
        }
    };
    (0..85).map(vm).collect()
}

fn has_server(zone: &ZoneName) -> bool {
    ZONES[..3].iter().any(|(known, _)| zone.as_str() == *known)
}

fn choose<'a>(homes: &[&'a Vm], own: &Vm, is_failing: impl Fn(&Vm) -> bool) -> Vec<&'a Vm> {
    let choose =
        |round| homes::nearest_in_regions(homes, own, has_server, round, |home| is_failing(home));
    (0..8).filter_map(choose).collect()
}

/// Load: 85 proxies and eight groups. Every zone has a home of every group, so a statement crosses
/// between zones once, on its way to the server.
#[test]
fn a_session_stays_in_its_zone_while_the_zones_home_answers() {
    let members = members();
    for group in 0..8 {
        let group = format!("group-{group}").as_str().into();
        let homes = homes::homes(&group, &members, 46);
        for own in &members {
            let chosen = choose(&homes, own, |_| false);
            assert!(!chosen.is_empty());
            assert!(chosen.iter().all(|home| home.zone == own.zone));
        }
    }
}

/// Load: the home of a zone restarts. A home of the other region would delay each statement of the
/// zone's sessions by 60 ms until they end.
#[test]
fn a_session_without_a_home_in_its_zone_stays_in_its_region_beside_a_server() {
    let members = members();
    let group = "group-1".into();
    let homes = homes::homes(&group, &members, 46);
    for own in &members {
        let chosen = choose(&homes, own, |home| home.zone == own.zone);
        assert!(!chosen.is_empty());
        for home in chosen {
            assert_eq!(home.region, own.region, "{} for {}", home.name, own.name);
            let others = || {
                ZONES[..3]
                    .iter()
                    .filter(|(zone, _)| own.zone.as_str() != *zone)
            };
            let is_near = others().any(|(_, region)| own.region.as_str() == *region);
            assert_eq!(
                has_server(&home.zone),
                is_near,
                "{} for {}",
                home.name,
                own.name
            );
        }
    }
}

#[test]
fn another_region_is_the_last_resort() {
    let members = members();
    let group = "group-1".into();
    let homes = homes::homes(&group, &members, 46);
    for own in &members {
        let chosen = choose(&homes, own, |home| home.region == own.region);
        assert!(!chosen.is_empty());
        assert!(chosen.iter().all(|home| home.region != own.region));
    }
}

#[test]
fn regions_are_counted_without_leaving_members() {
    let mut members = members();
    assert!(homes::has_several_regions(&members));
    for vm in &mut members {
        vm.leaving = vm.region.as_str() == "marmara";
    }
    assert!(!homes::has_several_regions(&members));
    assert!(!homes::has_several_regions(&[]));
}
