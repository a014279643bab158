//! Groups against small fakes: confirmation, floors, promotion, publication and repair.

mod support;

use endivereach_core::ids::MemberId;
use endivereach_core::ids::Position;
use endivereach_core::ids::Term;
use endivereach_wire::member::MemberRole;
use endivereachd::groups::Confirmation;
use std::time::Duration;
use std::time::Instant;
use support::Bench;
use support::PATIENCE;
use support::eventually;

fn deadline() -> Instant {
    Instant::now() + PATIENCE
}

#[test]
fn a_commit_is_confirmed_once_a_replica_has_it() {
    let bench = Bench::start();
    let (_groups, group, _) = bench.proxy(1);
    let term = Term::new(1);
    let alone = bench.commit(false);
    let soon = Instant::now() + Duration::from_millis(300);
    assert_eq!(group.confirm(term, alone, soon), Confirmation::TimedOut);
    let held = bench.commit(true);
    assert_eq!(
        group.confirm(term, held, deadline()),
        Confirmation::Confirmed
    );
    assert_eq!(
        group.confirm(term, alone, deadline()),
        Confirmation::Confirmed
    );
}

#[test]
fn a_read_floor_includes_every_confirmed_commit() {
    let bench = Bench::start();
    let (_groups, group, _) = bench.proxy(1);
    for _ in 0..20 {
        let position = bench.commit(true);
        let confirmed = group.confirm(Term::new(1), position, deadline());
        assert_eq!(confirmed, Confirmation::Confirmed);
        assert!(group.read_floor(deadline()).unwrap() >= position);
    }
}

#[test]
fn a_read_floor_needs_the_answers_of_a_majority() {
    let bench = Bench::start();
    let (_groups, group, _) = bench.proxy(1);
    bench.change(|world| world.members[0].dead = true);
    assert!(group.read_floor(deadline()).is_some());
    bench.change(|world| world.members[1].dead = true);
    let soon = Instant::now() + Duration::from_millis(100);
    assert_eq!(group.read_floor(soon), None);
}

#[test]
fn read_floors_go_on_while_a_majority_is_fenced() {
    let bench = Bench::start();
    let (_groups, group, _) = bench.proxy(1);
    let position = bench.commit(true);
    bench.change(|world| {
        for member in &mut world.members[1..] {
            member.status.fenced_term = Term::new(9);
        }
    });
    assert_eq!(group.read_floor(deadline()), Some(position));
}

#[test]
fn age_floors_are_sampled_on_demand() {
    let bench = Bench::start();
    let (_groups, group, _) = bench.proxy(1);
    let position = bench.commit(true);
    let age = Duration::from_secs(10);
    assert_eq!(group.age_floor(age), None);
    let floor = eventually("a sample", || group.age_floor(age));
    assert_eq!(floor, position);
}

fn replaced_primary(platform_down: bool, proxies: u64) {
    let bench = Bench::start();
    let running: Vec<_> = (1..=proxies).map(|number| bench.proxy(number)).collect();
    let wanted = proxies.min(3) as usize;
    eventually("standing grants", || {
        (bench.object().grants.len() >= wanted).then_some(())
    });
    let last = bench.commit(true);
    bench.change(|world| {
        world.platform_down = platform_down;
        world.members[0].dead = true;
    });
    for (_, group, _) in &running {
        let view = group
            .wait_for_primary_above(Term::new(1), deadline())
            .unwrap();
        assert_ne!(view.primary, Some(MemberId::from("m1")));
    }
    let (term, durable) = bench.change(|world| {
        let status = &world.members[world.primary()].status;
        (status.term, status.durable)
    });
    assert!(durable >= last, "the new primary lacks a confirmed commit");
    bench.change(|world| world.platform_down = false);
    eventually("publication", || {
        (bench.object().term >= term).then_some(())
    });
}

endivereach_core::cases! {
    replaced_primary;
    one_proxy_replaces_a_dead_primary: false, 1;
    several_proxies_replace_a_dead_primary: false, 4;
    a_dead_primary_is_replaced_while_the_platform_is_down: true, 3;
}

#[test]
fn a_primary_cut_off_from_its_group_is_replaced_and_follows_after_its_return() {
    let bench = Bench::start();
    let (_groups, group, _) = bench.proxy(1);
    bench.commit(true);
    bench.change(|world| world.members[0].cut_off = true);
    let lost = bench.commit(false);
    let view = group
        .wait_for_primary_above(Term::new(1), deadline())
        .unwrap();
    assert_eq!(
        group.confirm(Term::new(1), lost, deadline()),
        Confirmation::Replaced
    );
    bench.change(|world| world.members[0].cut_off = false);
    eventually("the old primary's return", || {
        bench.change(|world| {
            let old = &world.members[0].status;
            (old.role == MemberRole::Replica && old.term >= view.term).then_some(())
        })
    });
}

#[test]
fn a_leaving_primary_is_handed_over_with_all_of_its_log() {
    let bench = Bench::start();
    let (_groups, group, _) = bench.proxy(1);
    eventually("a grant", || {
        (!bench.object().grants.is_empty()).then_some(())
    });
    let last = bench.commit(true);
    bench.change_object(|object| object.members[0].leaving = true);
    let view = group
        .wait_for_primary_above(Term::new(1), deadline())
        .unwrap();
    assert_ne!(view.primary, Some(MemberId::from("m1")));
    let durable = bench.change(|world| world.members[world.primary()].status.durable);
    assert!(durable >= last);
    let left = bench.change(|world| world.members[0].status.clone());
    assert!(
        left.fenced_term >= view.term,
        "the leaving primary was not fenced"
    );
}

#[test]
fn a_lost_platform_answer_is_found_out() {
    let bench = Bench::start();
    bench.change(|world| world.platform_mute = true);
    let (_groups, group, context) = bench.proxy(1);
    let grants = eventually("a grant", || {
        let grants = group.object().1.grants;
        (!grants.is_empty()).then_some(grants)
    });
    assert_eq!(grants.len(), 1);
    assert_eq!(grants[0].holder, context.id);
    assert_eq!(bench.object().grants, grants);
}

#[test]
fn a_healthy_group_is_left_alone() {
    let bench = Bench::start();
    let running: Vec<_> = (1..=3).map(|number| bench.proxy(number)).collect();
    for _ in 0..20 {
        let position = bench.commit(true);
        for (_, group, _) in &running {
            group.confirm(Term::new(1), position, deadline());
            group.report_silent(&MemberId::from("m1"));
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(running[0].1.view().term, Term::new(1));
    assert!(running[0].1.read_floor(deadline()).unwrap() >= Position::new(1, 20));
}
