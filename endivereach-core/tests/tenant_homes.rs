//! The homes of tenants as proxies join, leave and are lost.

use endivereach_core::directory::Vm;
use endivereach_core::tenant_homes::CpuShare;
use endivereach_core::tenant_homes::HomeCandidate;
use endivereach_core::tenant_homes::TenantHomes;
use endivereach_core::tenants::TenantLimits;
use endivereach_core::tenants::TenantName;
use endivereach_core::tenants::Tenants;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

const PROXIES: usize = 62;
const LARGE_VMS: usize = 6;

fn candidate(index: usize) -> HomeCandidate {
    let cores = if index < LARGE_VMS { 0.5 } else { 0.12 };
    HomeCandidate {
        vm: Vm {
            name: format!("front-{index}").as_str().into(),
            region: "coast".into(),
            zone: format!("zone-{}", index % 3).as_str().into(),
            peer_addr: ([10, 0, 0, 1], 7440).into(),
            sql_addr: ([10, 0, 0, 1], 8784).into(),
            leaving: false,
        },
        cpu_share: CpuShare::from_cores(cores),
    }
}

fn candidates(range: std::ops::Range<usize>) -> Vec<HomeCandidate> {
    range.map(candidate).collect()
}

/// Returns 73 tenants, of which the first has about a quarter of all operations.
fn tenants() -> Tenants {
    let mut tenants = Tenants::default();
    for index in 0..73 {
        let rate_per_s = match index {
            0 => 375,
            1..=3 => 80,
            _ => 13,
        };
        let name = format!("tenant-{index}").as_str().into();
        let burst = rate_per_s;
        tenants
            .limits
            .insert(name, TenantLimits { rate_per_s, burst });
    }
    tenants
}

fn homes(members: Vec<HomeCandidate>) -> TenantHomes {
    let mut homes = TenantHomes::default();
    homes.set_tenants(Some(&tenants()));
    homes.set_members(members);
    homes
}

/// Returns the first proxy of each ranking.
fn firsts(homes: &TenantHomes) -> BTreeMap<TenantName, Vm> {
    let rankings = homes.rankings();
    rankings
        .map(|(tenant, ranking)| (tenant.clone(), ranking[0].clone()))
        .collect()
}

fn all_rankings(homes: &TenantHomes) -> BTreeMap<TenantName, Vec<Vm>> {
    let rankings = homes.rankings();
    rankings
        .map(|(tenant, ranking)| (tenant.clone(), ranking.to_vec()))
        .collect()
}

fn is_large(vm: &Vm) -> bool {
    (0..LARGE_VMS).any(|index| candidate(index).vm.name == vm.name)
}

/// Load: the largest tenant would use all of a small VM.
#[test]
fn the_largest_tenant_is_only_on_large_vms() {
    for removed in 0..LARGE_VMS {
        let mut members = candidates(0..PROXIES);
        members.remove(removed);
        let homes = homes(members);
        let ranking = homes.ranking(&"tenant-0".into());
        assert!(ranking.iter().all(is_large), "{ranking:?}");
    }
}

#[test]
fn without_a_large_vm_every_proxy_can_be_the_home_of_the_largest_tenant() {
    let homes = homes(candidates(LARGE_VMS..PROXIES));
    assert_eq!(homes.ranking(&"tenant-0".into()).len(), 3);
}

/// A single large VM is the home; small ones must replace it when it is lost.
#[test]
fn smaller_vms_follow_the_only_large_one() {
    let homes = homes(candidates(LARGE_VMS - 1..PROXIES));
    let ranking = homes.ranking(&"tenant-0".into());
    let large: Vec<bool> = ranking.iter().map(is_large).collect();
    assert_eq!(large, [true, false, false]);
}

/// A large VM with the weight of a small one would leave three quarters of its CPU unused.
#[test]
fn large_vms_are_homes_of_more_tenants() {
    let mut tenants = Tenants::default();
    for index in 0..2_000 {
        let name = format!("tenant-{index}").as_str().into();
        let limits = TenantLimits {
            rate_per_s: 1,
            burst: 1,
        };
        tenants.limits.insert(name, limits);
    }
    let mut homes = TenantHomes::default();
    homes.set_tenants(Some(&tenants));
    homes.set_members(candidates(0..PROXIES));
    let on_large = firsts(&homes).values().filter(|vm| is_large(vm)).count();
    // The six large VMs have 3 of 9.72 cores, which is 617 tenants.
    assert!((520..=720).contains(&on_large), "{on_large}");
}

/// A tenant whose three proxies are in one zone is lost with the zone.
#[test]
fn a_ranking_covers_all_three_zones() {
    for (tenant, ranking) in homes(candidates(0..PROXIES)).rankings() {
        let zones: BTreeSet<_> = ranking.iter().map(|vm| &vm.zone).collect();
        assert_eq!(zones.len(), 3, "{tenant}: {ranking:?}");
    }
}

/// Load: one VM is replaced. Tenants that change their home lose their connections there.
#[test]
fn a_proxy_that_joins_or_leaves_moves_only_its_own_tenants() {
    let mut homes = homes(candidates(0..PROXIES));
    let before = firsts(&homes);
    for index in 0..PROXIES {
        let mut members = candidates(0..PROXIES);
        let removed = members.remove(index);
        homes.set_members(members);
        for (tenant, home) in firsts(&homes) {
            let is_same = home == before[&tenant];
            assert_eq!(is_same, before[&tenant] != removed.vm, "{tenant}");
        }
        homes.set_members(candidates(0..PROXIES));
        assert_eq!(firsts(&homes), before);
    }
}

/// A lost home without its successor as second would move the tenant twice.
#[test]
fn the_second_becomes_the_home_when_the_first_is_lost() {
    let all = candidates(0..PROXIES);
    for (tenant, ranking) in all_rankings(&homes(all.clone())) {
        let mut others = all.clone();
        others.retain(|member| member.vm != ranking[0]);
        let after = homes(others);
        // Zones decide who is second, so the new home may also be a closer one of the lost zone.
        let new_home = &after.ranking(&tenant)[0];
        assert!(
            *new_home == ranking[1] || new_home.zone == ranking[0].zone,
            "{tenant}"
        );
    }
}

/// The kept rankings must be those of a computation from nothing, whatever the order of changes.
#[test]
fn kept_rankings_equal_computed_ones() {
    let mut kept = homes(Vec::new());
    for step in 0..300_usize {
        let members = candidates(0..PROXIES)
            .into_iter()
            .enumerate()
            .filter(|(index, _)| (index * 31 + step * 7) % 11 != step % 3)
            .map(|(index, mut member)| {
                member.vm.leaving = (index + step) % 13 == 0;
                member
            })
            .collect::<Vec<_>>();
        kept.set_members(members.clone());
        let computed = homes(members);
        assert_eq!(all_rankings(&kept), all_rankings(&computed), "step {step}");
    }
}

#[test]
fn a_leaving_proxy_is_never_a_home() {
    let mut members = candidates(0..PROXIES);
    members[0].vm.leaving = true;
    let leaving = members[0].vm.clone();
    let homes = homes(members);
    assert!(
        homes
            .rankings()
            .all(|(_, ranking)| !ranking.contains(&leaving))
    );
}

/// Load: a new list of proxies at 1,800 proxies, in which one VM was replaced.
#[test]
fn a_change_of_one_proxy_computes_few_rankings() {
    let mut homes = homes(candidates(0..1_800));
    let before = homes.rankings_computed();
    let mut members = candidates(0..1_800);
    members[900] = candidate(1_800);
    homes.set_members(members);
    assert!(homes.rankings_computed() - before <= 5);
}

/// Two proxies with different lists agree on the home of every tenant that neither list's difference
/// concerns.
#[test]
fn proxies_with_different_lists_disagree_about_few_tenants() {
    let (older, newer) = (
        homes(candidates(0..PROXIES)),
        homes(candidates(1..PROXIES + 1)),
    );
    let (older, newer) = (firsts(&older), firsts(&newer));
    let differing = older
        .iter()
        .filter(|(tenant, home)| newer[*tenant] != **home);
    let concerned = [candidate(0).vm, candidate(PROXIES).vm];
    for (tenant, home) in differing {
        assert!(
            concerned.contains(home) || concerned.contains(&newer[tenant]),
            "{tenant}"
        );
    }
}
