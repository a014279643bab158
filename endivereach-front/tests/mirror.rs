//! The local copy of the platform's objects follows every change, also after interruptions.

use endivereach_core::ids::ProxyId;
use endivereach_core::ids::Version;
use endivereach_front::mirror::Call;
use endivereach_front::mirror::Mirror;
use endivereach_front::platform::Event;
use endivereach_front::platform::Events;
use endivereach_front::platform::Kind;
use endivereach_front::platform::Object;
use endivereach_front::platform::Page;
use endivereach_front::platform::Value;
use std::time::Duration;
use std::time::Instant;

fn object(name: &str, version: u64) -> Object {
    let holder: ProxyId = format!("{name}#{version}").parse().unwrap();
    Object {
        name: name.into(),
        version: Version::new(version),
        value: Some(Value::Duty { holder, turn: 1 }),
    }
}

fn page(objects: Vec<Object>, has_more: bool, store_version: u64) -> Page {
    Page {
        objects,
        has_more,
        store_version: Version::new(store_version),
    }
}

fn listed(now: Instant) -> Mirror {
    let mut mirror = Mirror::new(Kind::Own, now);
    assert_eq!(mirror.next_call(now), Some(Call::List { after: None }));
    assert!(mirror.note_page(page(vec![object("a", 3)], false, 7)));
    mirror
}

fn version_of(mirror: &Mirror, name: &str) -> Option<u64> {
    mirror.get(name).map(|object| object.version.get())
}

#[test]
fn a_list_in_pages_is_followed_by_a_watch_from_its_first_page() {
    let now = Instant::now();
    let mut mirror = Mirror::new(Kind::Own, now);
    assert_eq!(mirror.next_call(now), Some(Call::List { after: None }));
    assert!(!mirror.note_page(page(vec![object("a", 3)], true, 7)));
    let after = Some("a".into());
    assert_eq!(mirror.next_call(now), Some(Call::List { after }));
    assert!(mirror.note_page(page(vec![object("b", 8)], false, 9)));
    let from = Version::new(7);
    assert_eq!(mirror.next_call(now), Some(Call::Watch { from }));
    assert_eq!(version_of(&mirror, "b"), Some(8));
}

#[test]
fn an_older_change_than_the_known_one_is_passed_over() {
    let now = Instant::now();
    let mut mirror = listed(now);
    mirror.next_call(now);
    let change = |version| Event {
        object: object("a", version),
        is_deleted: false,
    };
    mirror.note_events(
        now,
        Events {
            events: vec![change(9), change(5)],
            store_version: Version::new(9),
        },
    );
    assert_eq!(version_of(&mirror, "a"), Some(9));
}

/// A store that loses its history may accept a watch just before, which then never tells of what
/// changed before it: the deployment served an old version of the routes for five seconds.
#[test]
fn a_watch_that_broke_is_followed_by_a_list() {
    let now = Instant::now();
    let mut mirror = listed(now);
    assert!(matches!(mirror.next_call(now), Some(Call::Watch { .. })));
    mirror.note_failure(now, 0.5);
    let later = now + Duration::from_secs(1);
    assert_eq!(mirror.next_call(later), Some(Call::List { after: None }));
    assert_eq!(
        version_of(&mirror, "a"),
        Some(3),
        "what was known stays until the list is read"
    );
}

#[test]
fn failures_in_a_row_are_set_apart_and_bounded() {
    let now = Instant::now();
    let mut mirror = listed(now);
    let mut at = now;
    let mut pauses = Vec::new();
    for _ in 0..8 {
        mirror.next_call(at);
        mirror.note_failure(at, 1.0);
        let next = mirror.next_wake().unwrap();
        pauses.push(next - at);
        at = next;
    }
    assert!(pauses.is_sorted());
    assert!(pauses[0] < Duration::from_millis(100));
    assert!(*pauses.last().unwrap() <= Duration::from_secs(1));
}

/// Each proxy of a fleet that starts registers itself: the others learn of them together.
#[test]
fn registrations_of_a_starting_fleet_cost_few_calls() {
    let start = Instant::now();
    let mut mirror = listed(start);
    let mut calls = 0;
    for step in 0..100_u64 {
        let now = start + Duration::from_millis(step * 30);
        if mirror.next_call(now).is_some() {
            calls += 1;
            let event = Event {
                object: object(&format!("p{step}"), 10 + step),
                is_deleted: false,
            };
            mirror.note_events(
                now,
                Events {
                    events: vec![event],
                    store_version: Version::new(10 + step),
                },
            );
        }
    }
    assert!(calls <= 3, "{calls} calls in three seconds");
}
