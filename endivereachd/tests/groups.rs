//! Tests the group watch against a fake group and a fake platform: confirmation of commits, read
//! and age floors, promotion, publication of the new primary, and repair.

mod support;

use endivereach_core::ids::MemberId;
use endivereach_core::ids::Position;
use endivereach_core::ids::Term;
use endivereach_wire::member::MemberRole;
use endivereachd::groups::Confirmation;
use std::time::Duration;
use std::time::Instant;
use support::TestCluster;
use support::WAIT_TIMEOUT;
use support::wait_for;

fn deadline() -> Instant {
    Instant::now() + WAIT_TIMEOUT
}

#[test]
fn a_commit_is_confirmed_once_a_replica_has_it() {
    let cluster = TestCluster::start();
    let (_groups, group, _) = cluster.start_proxy(1);
    let term = Term::new(1);
    let unreplicated = cluster.commit(false);
    let short_deadline = Instant::now() + Duration::from_millis(300);
    assert_eq!(
        group.confirm(term, unreplicated, short_deadline),
        Confirmation::TimedOut
    );
    let replicated = cluster.commit(true);
    assert_eq!(
        group.confirm(term, replicated, deadline()),
        Confirmation::Confirmed
    );
    assert_eq!(
        group.confirm(term, unreplicated, deadline()),
        Confirmation::Confirmed
    );
}

#[test]
fn a_read_floor_includes_every_confirmed_commit() {
    let cluster = TestCluster::start();
    let (_groups, group, _) = cluster.start_proxy(1);
    for _ in 0..20 {
        let position = cluster.commit(true);
        let confirmed = group.confirm(Term::new(1), position, deadline());
        assert_eq!(confirmed, Confirmation::Confirmed);
        assert!(group.read_floor(deadline()).unwrap() >= position);
    }
}

#[test]
fn a_read_floor_needs_the_answers_of_a_majority() {
    let cluster = TestCluster::start();
    let (_groups, group, _) = cluster.start_proxy(1);
    cluster.change(|state| state.members[0].is_down = true);
    assert!(group.read_floor(deadline()).is_some());
    cluster.change(|state| state.members[1].is_down = true);
    let short_deadline = Instant::now() + Duration::from_millis(100);
    assert_eq!(group.read_floor(short_deadline), None);
}

#[test]
fn read_floors_are_available_while_a_majority_is_fenced() {
    let cluster = TestCluster::start();
    let (_groups, group, _) = cluster.start_proxy(1);
    let position = cluster.commit(true);
    cluster.change(|state| {
        for member in &mut state.members[1..] {
            member.status.fenced_term = Term::new(9);
        }
    });
    assert_eq!(group.read_floor(deadline()), Some(position));
}

#[test]
fn age_floors_are_sampled_on_demand() {
    let cluster = TestCluster::start();
    let (_groups, group, _) = cluster.start_proxy(1);
    let position = cluster.commit(true);
    let age = Duration::from_secs(10);
    assert_eq!(group.age_floor(age), None);
    let floor = wait_for("a sample of the age floor", || group.age_floor(age));
    assert_eq!(floor, position);
}

fn check_primary_replacement(platform_down: bool, proxies: u64) {
    let cluster = TestCluster::start();
    let running: Vec<_> = (1..=proxies)
        .map(|number| cluster.start_proxy(number))
        .collect();
    let expected_grants = proxies.min(3) as usize;
    wait_for("the grants", || {
        (cluster.object().grants.len() >= expected_grants).then_some(())
    });
    let last = cluster.commit(true);
    cluster.change(|state| {
        state.platform_down = platform_down;
        state.members[0].is_down = true;
    });
    for (_, group, _) in &running {
        let view = group
            .wait_for_primary_after(Term::new(1), deadline())
            .unwrap();
        assert_ne!(view.primary, Some(MemberId::from("m1")));
    }
    let (term, durable) = cluster.change(|state| {
        let status = &state.members[state.primary()].status;
        (status.term, status.durable)
    });
    assert!(durable >= last, "the new primary lacks a confirmed commit");
    cluster.change(|state| state.platform_down = false);
    wait_for("publication of the new term", || {
        (cluster.object().term >= term).then_some(())
    });
}

endivereach_core::cases! {
    check_primary_replacement;
    one_proxy_replaces_a_dead_primary: false, 1;
    several_proxies_replace_a_dead_primary: false, 4;
    a_dead_primary_is_replaced_while_the_platform_is_down: true, 3;
}

#[test]
fn a_partitioned_primary_is_replaced_and_follows_once_reconnected() {
    let cluster = TestCluster::start();
    let (_groups, group, _) = cluster.start_proxy(1);
    cluster.commit(true);
    cluster.change(|state| state.members[0].is_partitioned = true);
    let lost = cluster.commit(false);
    let view = group
        .wait_for_primary_after(Term::new(1), deadline())
        .unwrap();
    assert_eq!(
        group.confirm(Term::new(1), lost, deadline()),
        Confirmation::Replaced
    );
    cluster.change(|state| state.members[0].is_partitioned = false);
    wait_for("the old primary to become a replica", || {
        cluster.change(|state| {
            let old_primary = &state.members[0].status;
            (old_primary.role == MemberRole::Replica && old_primary.term >= view.term).then_some(())
        })
    });
}

#[test]
fn a_leaving_primary_is_replaced_without_loss_of_log_entries() {
    let cluster = TestCluster::start();
    let (_groups, group, _) = cluster.start_proxy(1);
    wait_for("a grant", || {
        (!cluster.object().grants.is_empty()).then_some(())
    });
    let last = cluster.commit(true);
    cluster.change_object(|object| object.members[0].leaving = true);
    let view = group
        .wait_for_primary_after(Term::new(1), deadline())
        .unwrap();
    assert_ne!(view.primary, Some(MemberId::from("m1")));
    let durable = cluster.change(|state| state.members[state.primary()].status.durable);
    assert!(durable >= last);
    let leaving_primary = cluster.change(|state| state.members[0].status.clone());
    assert!(
        leaving_primary.fenced_term >= view.term,
        "the leaving primary was not fenced"
    );
}

#[test]
fn a_put_whose_answer_is_lost_is_recognized_as_stored() {
    let cluster = TestCluster::start();
    cluster.change(|state| state.platform_loses_answers = true);
    let (_groups, group, context) = cluster.start_proxy(1);
    let grants = wait_for("a grant", || {
        let grants = group.object().1.grants;
        (!grants.is_empty()).then_some(grants)
    });
    assert_eq!(grants.len(), 1);
    assert_eq!(grants[0].holder, context.id);
    assert_eq!(cluster.object().grants, grants);
}

#[test]
fn a_healthy_group_keeps_its_primary() {
    let cluster = TestCluster::start();
    let running: Vec<_> = (1..=3).map(|number| cluster.start_proxy(number)).collect();
    for _ in 0..20 {
        let position = cluster.commit(true);
        for (_, group, _) in &running {
            group.confirm(Term::new(1), position, deadline());
            group.report_unresponsive(&MemberId::from("m1"));
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(running[0].1.view().term, Term::new(1));
    assert!(running[0].1.read_floor(deadline()).unwrap() >= Position::new(1, 20));
}
