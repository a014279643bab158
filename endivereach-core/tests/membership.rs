//! Tests of the member list, the relays and the canary rollout of rules.

use endivereach_core::canary;
use endivereach_core::canary::Candidate;
use endivereach_core::directory::Vm;
use endivereach_core::exchange::Evidence;
use endivereach_core::ids::Incarnation;
use endivereach_core::ids::ProxyId;
use endivereach_core::ids::ProxyName;
use endivereach_core::ids::Version;
use endivereach_core::membership::Membership;
use endivereach_core::membership::MembershipConfig;
use endivereach_core::membership::relays;
use proptest::prelude::*;
use std::time::Duration;
use std::time::Instant;

fn vm(number: usize) -> Vm {
    Vm {
        name: format!("entry-{number}").as_str().into(),
        region: "tt-south".into(),
        zone: format!("zone-{}", number % 3).as_str().into(),
        peer_addr: "127.0.0.1:1".parse().unwrap(),
        sql_addr: "127.0.0.1:2".parse().unwrap(),
        leaving: false,
    }
}

fn fleet(count: usize) -> Vec<Vm> {
    (0..count).map(vm).collect()
}

#[test]
fn a_list_with_older_evidence_is_ignored() {
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    let mut membership = Membership::new(MembershipConfig::default());
    assert!(membership.update_list(fleet(3), Evidence::from_platform(later)));
    assert!(!membership.update_list(fleet(2), Evidence::from_platform(now)));
    assert_eq!(membership.listed().len(), 3);
}

#[test]
fn an_unlisted_process_is_a_member_until_its_last_contact_expires() {
    let now = Instant::now();
    let mut membership = Membership::new(MembershipConfig::default());
    membership.update_list(fleet(2), Evidence::from_platform(now));
    membership.record_contact(vm(7), Incarnation::new(1), now);
    assert_eq!(membership.members(now).len(), 3);
    let later = now + Duration::from_secs(61);
    assert_eq!(membership.members(later).len(), 2);
    let ended_proxy = ProxyId {
        name: vm(7).name,
        incarnation: Incarnation::new(1),
    };
    assert!(!membership.has_ended(&ended_proxy, now));
    assert!(membership.has_ended(&ended_proxy, later));
}

#[test]
fn a_new_incarnation_means_that_the_previous_process_ended() {
    let now = Instant::now();
    let mut membership = Membership::new(MembershipConfig::default());
    membership.record_contact(vm(1), Incarnation::new(2), now);
    let old = ProxyId {
        name: vm(1).name,
        incarnation: Incarnation::new(1),
    };
    assert!(membership.has_ended(&old, now));
}

#[test]
fn an_unreachable_member_is_skipped_until_the_retry_delay() {
    let now = Instant::now();
    let mut membership = Membership::new(MembershipConfig::default());
    membership.update_list(fleet(3), Evidence::from_platform(now));
    membership.record_failure(&vm(1).name, now);
    assert_eq!(membership.members_to_call(now).len(), 3);
    membership.record_failure(&vm(1).name, now);
    assert_eq!(membership.members_to_call(now).len(), 2);
    assert_eq!(
        membership
            .members_to_call(now + Duration::from_secs(5))
            .len(),
        3
    );
}

#[test]
fn churn_does_not_grow_the_state() {
    let mut now = Instant::now();
    let mut membership = Membership::new(MembershipConfig::default());
    for number in 0..500 {
        now += Duration::from_secs(10);
        membership.record_contact(vm(number), Incarnation::new(1), now);
        membership.remove_departed(now);
        assert!(membership.members(now).len() <= 7);
    }
}

#[test]
fn a_relay_that_fails_is_replaced_within_its_zone() {
    let members = fleet(9);
    let zone = members[0].zone.clone();
    let first: Vec<ProxyName> = relays(&zone, &members, 2)
        .iter()
        .map(|vm| vm.name.clone())
        .collect();
    let remaining: Vec<Vm> = members
        .into_iter()
        .filter(|vm| vm.name != first[0])
        .collect();
    let second = relays(&zone, &remaining, 2);
    assert_eq!(second[0].name, first[1]);
    assert!(second.iter().all(|vm| vm.zone == zone));
}

proptest! {
    /// Processes decide in any order, and each process that applies the version crashes.
    #[test]
    fn a_crashing_version_ends_at_most_the_candidates(
        count in 1..20usize,
        version in 1..1000u64,
        order in prop::collection::vec(0..20usize, 1..300),
    ) {
        let members = fleet(count);
        let candidates = canary::candidates(Version::new(version), &members);
        let mut ended = std::collections::BTreeSet::<ProxyName>::new();
        for index in order {
            let own_name = &members[index % count].name;
            if ended.contains(own_name) {
                continue;
            }
            let states: Vec<Candidate> = candidates
                .iter()
                .map(|vm| match &vm.name {
                    name if name == own_name => Candidate::ThisProcess,
                    name if ended.contains(name) => Candidate::Unreachable,
                    _ => Candidate::NotApplied,
                })
                .collect();
            if canary::may_apply(&states) {
                ended.insert(own_name.clone());
            }
        }
        prop_assert!(ended.len() <= canary::CANDIDATE_COUNT);
    }

    /// A valid version is applied by every running process, even if some candidates are down.
    #[test]
    fn a_valid_version_reaches_every_process_that_reaches_a_candidate(
        count in 1..20usize, version in 1..1000u64, down in 0..7u8,
    ) {
        let members = fleet(count);
        let candidates = canary::candidates(Version::new(version), &members);
        let is_down = |name: &ProxyName| {
            candidates.iter().position(|vm| &vm.name == name).is_some_and(|at| down & (1 << at) != 0)
        };
        prop_assume!(!candidates.iter().all(|vm| is_down(&vm.name)));
        let mut applied = std::collections::BTreeSet::<ProxyName>::new();
        for _ in 0..3 {
            for vm in members.iter().filter(|vm| !is_down(&vm.name)) {
                let states: Vec<Candidate> = candidates
                    .iter()
                    .map(|other| match &other.name {
                        name if is_down(name) => Candidate::Unreachable,
                        name if applied.contains(name) => Candidate::Applied,
                        name if *name == vm.name => Candidate::ThisProcess,
                        _ => Candidate::NotApplied,
                    })
                    .collect();
                if canary::may_apply(&states) {
                    applied.insert(vm.name.clone());
                }
            }
        }
        prop_assert!(members.iter().all(|vm| is_down(&vm.name) || applied.contains(&vm.name)));
    }
}

proptest! {
    /// Every process that reaches the candidates checks an invalid version and rejects it.
    #[test]
    fn an_invalid_version_is_rejected_by_every_process(count in 1..20usize, version in 1..1000u64) {
        let members = fleet(count);
        let candidates = canary::candidates(Version::new(version), &members);
        let mut refused = std::collections::BTreeSet::<ProxyName>::new();
        for _ in 0..4 {
            for vm in &members {
                let states: Vec<Candidate> = candidates
                    .iter()
                    .map(|other| match &other.name {
                        name if refused.contains(name) && *name != vm.name => Candidate::Refused,
                        name if *name == vm.name => Candidate::ThisProcess,
                        _ => Candidate::NotApplied,
                    })
                    .collect();
                if canary::may_apply(&states) {
                    refused.insert(vm.name.clone());
                }
            }
        }
        prop_assert_eq!(refused.len(), count);
    }
}
