//! Lists of servers and proxies after the platform's store has returned from a copy.

use endivereach_core::directory::Vm;
use endivereach_core::engine::topology::TargetEntry;
use endivereach_core::ids::Incarnation;
use endivereach_core::restored_list::ProxyEntry;
use endivereach_core::restored_list::RestoredList;
use endivereach_core::tenant_homes::CpuShare;
use std::time::Duration;
use std::time::Instant;

const KEEP_MISSING: Duration = Duration::from_secs(2);

fn target(name: &str, incarnation: u64, leaving: bool) -> TargetEntry {
    TargetEntry {
        id: name.into(),
        group: "g".into(),
        addr: "127.0.0.1:1".parse().unwrap(),
        zone: "koege".into(),
        slots: 3,
        leaving,
        is_primary: false,
        incarnation: Incarnation::new(incarnation),
    }
}

fn proxy(name: &str, incarnation: u64) -> ProxyEntry {
    ProxyEntry {
        vm: Vm {
            name: name.into(),
            region: "north".into(),
            zone: "koege".into(),
            peer_addr: "127.0.0.1:1".parse().unwrap(),
            sql_addr: "127.0.0.1:2".parse().unwrap(),
            leaving: false,
        },
        feed_addr: None,
        incarnation: Incarnation::new(incarnation),
        cpu_share: CpuShare::default(),
    }
}

/// Returns the names of the entries to use, with `-` behind those that are leaving.
fn names(entries: &[TargetEntry]) -> Vec<String> {
    let name = |entry: &TargetEntry| {
        let mark = if entry.leaving { "-" } else { "" };
        format!("{}{mark}", entry.id)
    };
    entries.iter().map(name).collect()
}

/// The copy was made before a server registered. The server writes its entry again.
#[test]
fn a_server_that_the_copy_lacks_is_used_until_it_is_listed_again() {
    let now = Instant::now();
    let mut list = RestoredList::default();
    list.update(now, vec![target("a", 1, false), target("b", 1, false)]);
    list.enter_era(now, KEEP_MISSING);
    let used = list.update(now, vec![target("a", 1, false)]);
    assert_eq!(names(&used), ["a", "b"]);
    assert!(!list.is_update_due(now));
    let used = list.update(now, vec![target("a", 1, false), target("b", 1, false)]);
    assert_eq!(names(&used), ["a", "b"]);
}

#[test]
fn a_server_that_is_still_missing_after_the_wait_is_gone() {
    let now = Instant::now();
    let mut list = RestoredList::default();
    list.update(now, vec![target("a", 1, false), target("b", 1, false)]);
    list.enter_era(now, KEEP_MISSING);
    list.update(now, vec![target("a", 1, false)]);
    let later = now + KEEP_MISSING;
    assert!(list.is_update_due(later));
    let used = list.update(later, vec![target("a", 1, false)]);
    assert_eq!(names(&used), ["a"]);
    assert!(!list.is_update_due(later));
}

/// The copy was made before a server reported that it leaves.
#[test]
fn a_server_that_was_seen_to_leave_stays_leaving() {
    let now = Instant::now();
    let mut list = RestoredList::default();
    list.update(now, vec![target("a", 1, true)]);
    list.enter_era(now, KEEP_MISSING);
    let used = list.update(now, vec![target("a", 1, false)]);
    assert_eq!(names(&used), ["a-"]);
}

#[test]
fn a_server_that_left_is_not_used_again_until_it_restarts() {
    let now = Instant::now();
    let mut list = RestoredList::default();
    list.update(now, vec![target("a", 1, true), target("b", 1, false)]);
    list.update(now, vec![target("b", 1, false)]);
    list.enter_era(now, KEEP_MISSING);
    let used = list.update(now, vec![target("a", 1, false), target("b", 1, false)]);
    assert_eq!(names(&used), ["b"]);
    let used = list.update(now, vec![target("a", 2, false), target("b", 1, false)]);
    assert_eq!(names(&used), ["a", "b"], "another process under its name");
}

/// An entry may expire although its server lives, for example while the store is down.
#[test]
fn a_server_whose_entry_expired_is_used_again() {
    let now = Instant::now();
    let mut list = RestoredList::default();
    list.update(now, vec![target("a", 1, false)]);
    list.update(now, Vec::new());
    list.enter_era(now, KEEP_MISSING);
    let used = list.update(now, vec![target("a", 1, false)]);
    assert_eq!(names(&used), ["a"]);
}

/// Without a restore, the newest list counts: nothing may be added to it or removed from it.
#[test]
fn without_a_restore_the_list_is_used_as_it_is() {
    let now = Instant::now();
    let mut list = RestoredList::default();
    list.update(now, vec![target("a", 1, true), target("b", 1, false)]);
    assert_eq!(names(&list.update(now, Vec::new())), Vec::<String>::new());
    let used = list.update(now, vec![target("a", 1, false)]);
    assert_eq!(names(&used), ["a"]);
}

#[test]
fn a_proxy_that_left_is_not_used_again_until_it_restarts() {
    let now = Instant::now();
    let mut list = RestoredList::default();
    list.update(now, vec![proxy("p", 1)]);
    list.update(now, Vec::new());
    list.enter_era(now, KEEP_MISSING);
    assert!(list.update(now, vec![proxy("p", 1)]).is_empty());
    assert_eq!(list.update(now, vec![proxy("p", 2)]).len(), 1);
}
