//! Tests of planned handovers, failure detection, term grants, commit confirmation and age floors.

use endivereach_core::cases;
use endivereach_core::confirm::CommitStatus;
use endivereach_core::confirm::CommitTracker;
use endivereach_core::confirm::Report;
use endivereach_core::directory::GroupObject;
use endivereach_core::directory::Member;
use endivereach_core::directory::TermGrant;
use endivereach_core::failure_detection::Evidence;
use endivereach_core::failure_detection::Reachability;
use endivereach_core::floor::AgeSamples;
use endivereach_core::grants;
use endivereach_core::handover;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::Position;
use endivereach_core::ids::ProxyId;
use endivereach_core::ids::Term;
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

fn member(name: &str, leaving: bool) -> Member {
    Member {
        id: name.into(),
        zone: "zone".into(),
        sql_addr: "127.0.0.1:1".parse().unwrap(),
        control_addr: "127.0.0.1:2".parse().unwrap(),
        leaving,
    }
}

fn group(members: Vec<Member>) -> GroupObject {
    GroupObject {
        name: "bookings-1".into(),
        term: Term::new(1),
        primary: "m1".into(),
        members,
        connections_per_server: 16,
        slots_per_server: 2,
        grants: Vec::new(),
        granted_up_to: Term::new(1),
    }
}

fn proxy(number: usize, incarnation: u64) -> ProxyId {
    format!("entry-{number}#{incarnation}").parse().unwrap()
}

fn check_handover(leaving: [bool; 3], expected: bool) {
    let names = ["m1", "m2", "m3"];
    let members = names
        .iter()
        .zip(leaving)
        .map(|(name, leaving)| member(name, leaving));
    let object = group(members.collect());
    assert_eq!(
        handover::is_needed(&object, &MemberId::from("m1")),
        expected
    );
}

cases! {
    check_handover;
    no_member_leaves: [false, false, false], false;
    the_primary_leaves: [true, false, false], true;
    a_replica_leaves: [false, true, false], false;
    all_members_leave: [true, true, true], false;
}

const SECOND: Duration = Duration::from_secs(1);
const SHORT_SILENCE: Duration = Duration::from_millis(20);
const REFUSED: Reachability = Reachability::Refused(SECOND);
const UNANSWERED: Reachability = Reachability::Unanswered(SECOND);

fn check_evidence(reachability: Reachability, silences: &[Duration], expected: bool) {
    let evidence = Evidence {
        members: 3,
        reachability,
        silences: silences.into(),
    };
    assert_eq!(
        evidence.justifies_promotion(),
        expected,
        "{}",
        evidence.describe()
    );
}

cases! {
    check_evidence;
    all_observers_agree: UNANSWERED, &[SECOND, SECOND], true;
    the_primary_refuses_and_replicas_are_silent: REFUSED, &[SECOND / 2, SECOND / 2], true;
    only_this_proxy_is_partitioned: UNANSWERED, &[SHORT_SILENCE, SHORT_SILENCE], false;
    only_this_proxy_is_refused: REFUSED, &[SHORT_SILENCE, SHORT_SILENCE], false;
    one_replica_is_partitioned: UNANSWERED, &[SECOND, SHORT_SILENCE], false;
    one_replica_has_no_report: UNANSWERED, &[SECOND], false;
    the_primary_is_partitioned_from_its_group: Reachability::Responding, &[SECOND, SECOND], true;
    replies_are_late_by_a_retransmission: Reachability::Unanswered(SHORT_SILENCE), &[SECOND / 2, SECOND / 2], false;
}

#[test]
fn a_published_term_never_decreases() {
    let object = group(vec![member("m1", false)]);
    let published = grants::with_primary(&object, Term::new(4), &"m1".into()).unwrap();
    assert_eq!(published.term, Term::new(4));
    assert_eq!(
        grants::with_primary(&published, Term::new(3), &"m1".into()),
        None
    );
    assert!(published.granted_up_to >= published.term);
}

#[derive(Clone, Debug)]
enum Write {
    Refresh { proxy: usize, incarnation: u64 },
    Add { proxy: usize, incarnation: u64 },
    Publish { above: u64 },
}

fn any_write() -> impl Strategy<Value = Write> {
    prop_oneof![
        (0..4usize, 0..3u64).prop_map(|(proxy, incarnation)| Write::Refresh { proxy, incarnation }),
        (0..4usize, 0..3u64).prop_map(|(proxy, incarnation)| Write::Add { proxy, incarnation }),
        (0..3u64).prop_map(|above| Write::Publish { above }),
    ]
}

proptest! {
    #[test]
    fn a_term_is_never_granted_twice(writes in prop::collection::vec(any_write(), 1..40)) {
        let mut object = group(vec![member("m1", false)]);
        let mut granted = BTreeSet::new();
        for write in writes {
            let before: BTreeSet<Term> = object.grants.iter().map(|grant| grant.term).collect();
            object = match write {
                Write::Refresh { proxy: name, incarnation } => {
                    let own_id = proxy(name, incarnation);
                    grants::with_grant_if_needed(&object, &own_id, object.term, |_| false).unwrap_or(object)
                }
                Write::Add { proxy: name, incarnation } => {
                    grants::with_grant(&object, &proxy(name, incarnation)).0
                }
                Write::Publish { above } => {
                    let term = Term::new(object.term.get() + above);
                    grants::with_primary(&object, term, &"m1".into()).unwrap_or(object)
                }
            };
            for TermGrant { term, .. } in &object.grants {
                prop_assert!(before.contains(term) || granted.insert(*term), "{term} granted twice");
                prop_assert!(*term <= object.granted_up_to);
            }
        }
    }

    #[test]
    fn confirmation_is_independent_of_the_order_of_reports(
        reports in prop::collection::vec((1..4usize, 1..4u64, 1..4u64, 0..9u64), 1..12),
        rotation in 0..12usize,
    ) {
        let as_report = |(member, term, fenced, index): (usize, u64, u64, u64)| Report {
            member,
            is_primary: false,
            term: Term::new(term),
            fenced_term: Term::new(fenced),
            durable: Position::new(term, index),
        };
        let mut rotated = reports.clone();
        rotated.rotate_left(rotation % reports.len());
        let mut trackers = [CommitTracker::new(3), CommitTracker::new(3)];
        for (tracker, reports) in trackers.iter_mut().zip([reports, rotated]) {
            reports.into_iter().map(as_report).for_each(|report| tracker.record(&report));
        }
        prop_assert_eq!(&trackers[0], &trackers[1]);
        let commit_status = trackers[0].commit_status(Term::new(3), Position::new(3, 9));
        prop_assert_eq!(commit_status, CommitStatus::Waiting, "no report reaches entry 9");
    }

    #[test]
    fn an_age_floor_is_never_older_than_requested(
        gaps_ms in prop::collection::vec(1..400u64, 1..80),
        max_age_ms in 1..2000u64,
    ) {
        let max_age = Duration::from_millis(max_age_ms);
        let start = Instant::now();
        let mut now = start;
        let mut samples = AgeSamples::default();
        for gap_ms in gaps_ms {
            now += Duration::from_millis(gap_ms);
            // The sample's index is the time at which its round began, in milliseconds.
            let index = (now - start).as_millis() as u64;
            samples.record(now, Position::new(1, index));
            now += Duration::from_millis(gap_ms / 3);
            if let Some(floor) = samples.floor(now, max_age) {
                let age_ms = (now - start).as_millis() as u64 - floor.index.get();
                prop_assert!(age_ms <= max_age_ms, "{age_ms} ms old");
            }
        }
    }
}
