//! Checks that the local copy of the platform's objects stays current, also after failed calls.

use endivereach_core::cases;
use endivereach_core::duty::DutyClaim;
use endivereach_core::exchange::Evidence;
use endivereach_core::ids::Era;
use endivereach_core::ids::ProxyId;
use endivereach_core::ids::Version;
use endivereach_core::store_era::StorePosition;
use endivereach_front::feed::Poll;
use endivereach_front::feed::Reply;
use endivereach_front::mirror::Call;
use endivereach_front::mirror::Mirror;
use endivereach_front::mirror::WATCH_WAIT_ALONE;
use endivereach_front::mirror::WATCH_WAIT_FOLLOWED;
use endivereach_front::platform::Change;
use endivereach_front::platform::Changes;
use endivereach_front::platform::ListAge;
use endivereach_front::platform::Object;
use endivereach_front::platform::ObjectKind;
use endivereach_front::platform::ObjectValue;
use endivereach_front::platform::Page;
use std::time::Duration;
use std::time::Instant;

fn object(name: &str, version: u64) -> Object {
    let holder: ProxyId = format!("{name}#{version}").parse().unwrap();
    Object {
        name: name.into(),
        version: Version::new(version),
        value: Some(ObjectValue::Duty(DutyClaim {
            holder,
            write_attempt: 1,
        })),
    }
}

fn page(objects: Vec<Object>, has_more: bool, store_version: u64) -> Page {
    Page {
        objects,
        has_more,
        store_version: Version::new(store_version),
    }
}

fn first_page(age: ListAge) -> Call {
    Call::List { after: None, age }
}

fn listed_mirror(now: Instant) -> Mirror {
    let mut mirror = Mirror::new(ObjectKind::Own, now);
    assert_eq!(mirror.next_call(now), Some(first_page(ListAge::MayBeStale)));
    assert!(mirror.apply_page(page(vec![object("a", 3)], false, 7)));
    mirror
}

fn version_of(mirror: &Mirror, name: &str) -> Option<u64> {
    mirror.get(name).map(|object| object.version.get())
}

#[test]
fn a_list_in_pages_is_followed_by_a_watch_from_its_first_page() {
    let now = Instant::now();
    let mut mirror = Mirror::new(ObjectKind::Own, now);
    assert_eq!(mirror.next_call(now), Some(first_page(ListAge::MayBeStale)));
    assert!(!mirror.apply_page(page(vec![object("a", 3)], true, 7)));
    let after = Some("a".into());
    assert_eq!(
        mirror.next_call(now),
        Some(Call::List {
            after,
            age: ListAge::MayBeStale
        })
    );
    assert!(mirror.apply_page(page(vec![object("b", 8)], false, 9)));
    let from = Version::new(7);
    assert_eq!(
        mirror.next_call(now),
        Some(Call::Watch {
            from,
            wait: WATCH_WAIT_ALONE
        })
    );
    assert_eq!(version_of(&mirror, "b"), Some(8));
}

#[test]
fn an_older_change_than_the_known_one_is_ignored() {
    let now = Instant::now();
    let mut mirror = listed_mirror(now);
    mirror.next_call(now);
    let change = |version| Change {
        object: object("a", version),
        is_deleted: false,
    };
    mirror.apply_changes(
        now,
        Changes {
            changes: vec![change(9), change(5)],
            store_version: Version::new(9),
        },
    );
    assert_eq!(version_of(&mirror, "a"), Some(9));
}

/// Guards against missed changes after a failed watch. A store may accept a watch just before it
/// loses its history, and that watch never reports the changes made before it: a deployment then
/// used an old version of the routes for five seconds.
#[test]
fn a_failed_watch_is_followed_by_a_list() {
    let now = Instant::now();
    let mut mirror = listed_mirror(now);
    assert!(matches!(mirror.next_call(now), Some(Call::Watch { .. })));
    mirror.record_failure(now, 0.5);
    let later = now + Duration::from_secs(1);
    assert_eq!(
        mirror.next_call(later),
        Some(first_page(ListAge::MayBeStale))
    );
    assert_eq!(
        version_of(&mirror, "a"),
        Some(3),
        "known objects stay until the list is read"
    );
}

#[test]
fn retry_delays_grow_and_are_bounded() {
    let now = Instant::now();
    let mut mirror = listed_mirror(now);
    let mut at = now;
    let mut delays = Vec::new();
    for _ in 0..8 {
        mirror.next_call(at);
        mirror.record_failure(at, 1.0);
        let next = mirror.next_wake().unwrap();
        delays.push(next - at);
        at = next;
    }
    assert!(delays.is_sorted());
    assert!(delays[0] < Duration::from_millis(100));
    assert!(*delays.last().unwrap() <= Duration::from_secs(1));
}

/// Guards against one watch call per registration when many proxies start and register at once.
#[test]
fn registrations_of_many_starting_proxies_need_few_calls() {
    let start = Instant::now();
    let mut mirror = listed_mirror(start);
    let mut calls = 0;
    for step in 0..100_u64 {
        let now = start + Duration::from_millis(step * 30);
        if mirror.next_call(now).is_some() {
            calls += 1;
            let registration = Change {
                object: object(&format!("p{step}"), 10 + step),
                is_deleted: false,
            };
            mirror.apply_changes(
                now,
                Changes {
                    changes: vec![registration],
                    store_version: Version::new(10 + step),
                },
            );
        }
    }
    assert!(calls <= 3, "{calls} calls in three seconds");
}

/// Returns a reader's copy with objects `a` (version 3) and `b` (version 9), complete up to version
/// 9.
fn readers_mirror(now: Instant) -> Mirror {
    let mut mirror = listed_mirror(now);
    mirror.next_call(now);
    let change = Change {
        object: object("b", 9),
        is_deleted: false,
    };
    mirror.apply_changes(now, changes(vec![change], 9));
    mirror
}

fn changes(changes: Vec<Change>, store_version: u64) -> Changes {
    Changes {
        changes,
        store_version: Version::new(store_version),
    }
}

/// Passes a reader's changes on to a follower, through the encoding of the feed.
fn follow(now: Instant, reader: &Mirror, follower: &mut Mirror) -> bool {
    let reply = Reply {
        era: Era::default(),
        age: Duration::from_millis(10),
        sections: vec![reader.section_after(follower.store_version())],
    };
    let mut reply = Reply::decode(&reply.encode().unwrap()).unwrap();
    let evidence = Evidence::from_platform(now);
    follower.apply_section(reply.sections.remove(0), evidence)
}

#[test]
fn a_follower_without_a_copy_gets_every_object() {
    let now = Instant::now();
    let reader = readers_mirror(now);
    let mut follower = Mirror::new(ObjectKind::Own, now);
    assert!(follow(now, &reader, &mut follower));
    assert!(follower.is_listed());
    assert_eq!(version_of(&follower, "a"), Some(3));
    assert_eq!(version_of(&follower, "b"), Some(9));
}

/// Load: one change in a fleet of many objects. The bytes that are passed on don't grow with the
/// number of objects.
#[test]
fn a_follower_gets_only_what_changed() {
    let now = Instant::now();
    let encoded_bytes = |count: u64| {
        let mut reader = Mirror::new(ObjectKind::Own, now);
        reader.next_call(now);
        let objects = (0..count).map(|index| object(&format!("o{index}"), 3));
        reader.apply_page(page(objects.collect(), false, 7));
        let mut follower = Mirror::new(ObjectKind::Own, now);
        follow(now, &reader, &mut follower);
        reader.next_call(now);
        let change = Change {
            object: object("o5", 9),
            is_deleted: false,
        };
        reader.apply_changes(now, changes(vec![change], 9));
        let reply = Reply {
            era: Era::default(),
            age: Duration::ZERO,
            sections: vec![reader.section_after(follower.store_version())],
        };
        assert!(follow(now, &reader, &mut follower));
        assert_eq!(version_of(&follower, "o5"), Some(9));
        reply.encode().unwrap().len()
    };
    assert_eq!(encoded_bytes(100), encoded_bytes(1_000));
}

#[test]
fn a_follower_learns_of_deletions() {
    let now = Instant::now();
    let mut reader = readers_mirror(now);
    let mut follower = Mirror::new(ObjectKind::Own, now);
    follow(now, &reader, &mut follower);
    reader.next_call(now);
    let change = Change {
        object: object("a", 3),
        is_deleted: true,
    };
    reader.apply_changes(now, changes(vec![change], 12));
    assert!(follow(now, &reader, &mut follower));
    assert_eq!(version_of(&follower, "a"), None);
    assert_eq!(version_of(&follower, "b"), Some(9));
}

/// The reader lost its history and listed again. What had gone by then must go at the follower too.
#[test]
fn a_follower_learns_of_deletions_that_the_reader_missed() {
    let now = Instant::now();
    let mut reader = readers_mirror(now);
    let mut follower = Mirror::new(ObjectKind::Own, now);
    follow(now, &reader, &mut follower);
    reader.restart_listing();
    reader.next_call(now);
    reader.apply_page(page(vec![object("b", 9)], false, 30));
    assert!(follow(now, &reader, &mut follower));
    assert_eq!(version_of(&follower, "a"), None);
}

#[test]
fn a_reader_with_an_older_copy_changes_nothing() {
    let now = Instant::now();
    let older = listed_mirror(now);
    let mut follower = Mirror::new(ObjectKind::Own, now);
    follow(now, &readers_mirror(now), &mut follower);
    assert!(!follower.apply_section(
        older.section_after(Version::new(0)),
        Evidence::from_platform(now)
    ));
    assert_eq!(version_of(&follower, "b"), Some(9));
}

/// Guards against a reply that is repeated late, and then shows that an older state is complete now.
#[test]
fn an_older_section_is_no_newer_evidence() {
    let now = Instant::now();
    let older = listed_mirror(now);
    let mut follower = Mirror::new(ObjectKind::Own, now);
    follow(now, &readers_mirror(now), &mut follower);
    let later = now + Duration::from_secs(3);
    follower.apply_section(
        older.section_after(Version::new(0)),
        Evidence::from_platform(later),
    );
    let age = follower.evidence().map(|evidence| evidence.age(later));
    assert_eq!(age, Some(Duration::from_secs(3)));
}

#[test]
fn a_followed_process_watches_with_short_waits() {
    let now = Instant::now();
    let mut mirror = listed_mirror(now);
    assert!(matches!(
        mirror.next_call(now),
        Some(Call::Watch {
            wait: WATCH_WAIT_ALONE,
            ..
        })
    ));
    assert!(
        mirror.set_followed(true),
        "the long watch must be cancelled"
    );
    mirror.restart_call(now, Duration::ZERO);
    let Some(Call::Watch { wait, .. }) = mirror.next_call(now) else {
        panic!("the mirror watches");
    };
    assert!(
        wait < WATCH_WAIT_FOLLOWED,
        "the first watch confirms at once"
    );
    mirror.apply_changes(now, changes(Vec::new(), 9));
    assert!(matches!(
        mirror.next_call(now),
        Some(Call::Watch {
            wait: WATCH_WAIT_FOLLOWED,
            ..
        })
    ));
}

/// The age of the evidence is that of the newest time at which the platform can have spoken.
#[test]
fn evidence_counts_from_the_end_of_an_uneventful_wait() {
    let now = Instant::now();
    let mut mirror = listed_mirror(now);
    mirror.set_followed(true);
    mirror.next_call(now);
    let answered_at = now + WATCH_WAIT_FOLLOWED + Duration::from_millis(20);
    mirror.apply_changes(answered_at, changes(Vec::new(), 9));
    let age = mirror.evidence().map(|evidence| evidence.age(answered_at));
    assert_eq!(age, Some(Duration::from_millis(20)));
}

/// A store that returned from a copy assigns versions again, so a mirror that continued its watch
/// would miss the changes up to the version that it had.
#[test]
fn a_restored_store_is_listed_again_and_its_lower_versions_count() {
    let now = Instant::now();
    let mut mirror = listed_mirror(now);
    let delay = Duration::from_millis(50);
    mirror.enter_era(now, delay);
    assert!(mirror.evidence().is_none(), "the copy proves nothing");
    assert_eq!(version_of(&mirror, "a"), Some(3), "it is still used");
    assert_eq!(mirror.next_call(now), None);
    let later = now + delay;
    assert_eq!(
        mirror.next_call(later),
        Some(first_page(ListAge::MayBeStale))
    );
    assert!(mirror.apply_page(page(vec![object("b", 2)], false, 4)));
    assert_eq!(version_of(&mirror, "a"), None);
    assert_eq!(version_of(&mirror, "b"), Some(2));
    assert_eq!(mirror.store_version(), Version::new(4));
}

/// A follower that has the versions of an earlier era gets every object, also those with versions
/// below its own.
#[test]
fn a_follower_gets_every_object_of_a_restored_store() {
    let now = Instant::now();
    let mut reader = listed_mirror(now);
    let mut follower = Mirror::new(ObjectKind::Own, now);
    assert!(follow(now, &reader, &mut follower));
    for mirror in [&mut reader, &mut follower] {
        mirror.enter_era(now, Duration::ZERO);
    }
    assert!(!follow(now, &reader, &mut follower), "no list of the era");
    reader.next_call(now);
    reader.apply_page(page(vec![object("b", 2)], false, 4));
    assert!(follow(now, &reader, &mut follower));
    assert_eq!(version_of(&follower, "a"), None);
    assert_eq!(version_of(&follower, "b"), Some(2));
    assert!(follower.evidence().is_some());
}

#[test]
fn a_poll_states_its_era() {
    let poll = Poll {
        era: Era::new(4),
        versions: [Version::new(7); 3],
        wait: Duration::from_millis(500),
    };
    assert_eq!(Poll::parse(&poll.path()), Some(poll));
    assert_eq!(poll.versions_in(Era::new(4)), Some(poll.versions));
    let none = [Version::default(); 3];
    assert_eq!(poll.versions_in(Era::new(5)), Some(none), "all objects");
    assert_eq!(poll.versions_in(Era::new(3)), None, "the reader is behind");
    assert_eq!(Poll::parse("/feed/7/7/7/500"), None, "states no era");
}

fn announced(era: u64, version: u64) -> StorePosition {
    StorePosition {
        era: Era::new(era),
        version: Version::new(version),
    }
}

/// The time from an announcement to that at which the answer to a held watch counts as lost.
const LOST_AFTER: Duration = Duration::from_millis(700);

/// Returns whether the answer to the watch of a copy that is complete up to version 7 counts as lost
/// some time after an announcement, which arrives 4 s after the watch was sent.
fn check_announcement(era: u64, version: u64, after: Duration, is_lost: bool) {
    let start = Instant::now();
    let mut mirror = listed_mirror(start);
    mirror.next_call(start);
    let now = start + Duration::from_secs(4);
    mirror.record_announcement(now, Era::new(1), announced(era, version));
    assert_eq!(mirror.has_lost_answer(now + after), is_lost);
}

cases! {
    check_announcement;
    an_announced_change_shows_that_the_answer_to_a_watch_was_lost: 1, 8, LOST_AFTER, true;
    an_announced_era_shows_that_the_answer_to_a_watch_was_lost: 2, 3, LOST_AFTER, true;
    the_answer_to_a_watch_has_time_to_arrive: 1, 8, LOST_AFTER - Duration::from_millis(1), false;
    a_change_that_the_copy_includes_shows_nothing: 1, 7, LOST_AFTER, false;
    a_change_of_an_earlier_era_shows_nothing: 0, 90, LOST_AFTER, false;
}

/// Load: proxies that start together announce changes that are on their way to each other.
#[test]
fn an_announcement_before_the_next_watch_causes_no_call() {
    let now = Instant::now();
    let mut mirror = listed_mirror(now);
    mirror.record_announcement(now, Era::new(1), announced(1, 8));
    mirror.next_call(now);
    assert!(!mirror.has_lost_answer(now + LOST_AFTER));
    mirror.record_announcement(now, Era::new(1), announced(1, 8));
    let change = Change {
        object: object("b", 8),
        is_deleted: false,
    };
    mirror.apply_changes(now, changes(vec![change], 8));
    mirror.next_call(now + Duration::from_secs(2));
    assert!(!mirror.has_lost_answer(now + Duration::from_secs(4)));
}

/// A copy that announced the version of the response, instead of that of the change, would seem newer
/// than others with the same objects.
#[test]
fn a_copy_announces_the_version_of_its_newest_change() {
    let now = Instant::now();
    let mut mirror = listed_mirror(now);
    assert_eq!(mirror.changed_at(), Version::new(3));
    mirror.next_call(now);
    let change = Change {
        object: object("b", 9),
        is_deleted: false,
    };
    mirror.apply_changes(now, changes(vec![change], 30));
    assert_eq!(mirror.changed_at(), Version::new(9));
}

/// Guards against a copy that goes back: the platform serves the proxies' own objects from a state of
/// seconds ago, after a newer one was seen.
#[test]
fn a_stale_list_does_not_replace_a_newer_copy() {
    let now = Instant::now();
    let mut mirror = readers_mirror(now);
    mirror.next_call(now);
    mirror.record_failure(now, 0.0);
    let evidence = mirror.evidence();
    let later = now + Duration::from_secs(1);
    assert_eq!(
        mirror.next_call(later),
        Some(first_page(ListAge::MayBeStale))
    );
    assert!(!mirror.apply_page(page(vec![object("a", 3)], false, 8)));
    assert_eq!(version_of(&mirror, "b"), Some(9));
    assert_eq!(mirror.evidence(), evidence, "a stale list is no evidence");
    let watch = mirror.next_call(later);
    assert!(matches!(watch, Some(Call::Watch { from, .. }) if from == Version::new(9)));
}

/// Load: a stale list after a loss of history names a version whose history may be lost too, so that each
/// watch after it fails and lists again. The first list after a loss is stale, for its price.
#[test]
fn the_second_list_after_a_loss_of_history_is_current() {
    let now = Instant::now();
    let mut mirror = readers_mirror(now);
    let later = now + Duration::from_secs(2);
    mirror.next_call(later);
    mirror.record_history_gone();
    assert_eq!(
        mirror.next_call(later),
        Some(first_page(ListAge::MayBeStale))
    );
    mirror.apply_page(page(vec![object("a", 3)], false, 8));
    mirror.next_call(later);
    mirror.record_history_gone();
    assert_eq!(mirror.next_call(later), Some(first_page(ListAge::Current)));
    mirror.apply_page(page(vec![object("a", 3)], false, 90));
    mirror.next_call(later);
    mirror.apply_changes(later, changes(Vec::new(), 91));
    mirror.next_call(later);
    mirror.record_history_gone();
    assert_eq!(
        mirror.next_call(later),
        Some(first_page(ListAge::MayBeStale))
    );
}

/// A copy that lacks a change which others have must not be read from a state before it.
#[test]
fn a_list_after_a_lost_answer_is_current() {
    let now = Instant::now();
    let mut mirror = listed_mirror(now);
    mirror.next_call(now);
    mirror.list_current();
    assert_eq!(mirror.next_call(now), Some(first_page(ListAge::Current)));
}
