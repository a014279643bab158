//! Checks that the local copy of the platform's objects stays current, also after failed calls.

use endivereach_core::ids::ProxyId;
use endivereach_core::ids::Version;
use endivereach_front::mirror::Call;
use endivereach_front::mirror::Mirror;
use endivereach_front::platform::Change;
use endivereach_front::platform::Changes;
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
        value: Some(ObjectValue::Duty {
            holder,
            write_attempt: 1,
        }),
    }
}

fn page(objects: Vec<Object>, has_more: bool, store_version: u64) -> Page {
    Page {
        objects,
        has_more,
        store_version: Version::new(store_version),
    }
}

fn listed_mirror(now: Instant) -> Mirror {
    let mut mirror = Mirror::new(ObjectKind::Own, now);
    assert_eq!(mirror.next_call(now), Some(Call::List { after: None }));
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
    assert_eq!(mirror.next_call(now), Some(Call::List { after: None }));
    assert!(!mirror.apply_page(page(vec![object("a", 3)], true, 7)));
    let after = Some("a".into());
    assert_eq!(mirror.next_call(now), Some(Call::List { after }));
    assert!(mirror.apply_page(page(vec![object("b", 8)], false, 9)));
    let from = Version::new(7);
    assert_eq!(mirror.next_call(now), Some(Call::Watch { from }));
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
    assert_eq!(mirror.next_call(later), Some(Call::List { after: None }));
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
