//! When a process writes its entry in the list of proxies, and when it writes it again.

use endivereach_core::cases;
use endivereach_core::ids::Version;
use endivereach_core::registration::Registration;
use endivereach_core::registration::RegistrationAction;
use std::time::Duration;
use std::time::Instant;

/// The writes that all proxies together may make within a second.
const WRITES_PER_S_MAX: usize = 120;

fn registered(now: Instant, version: u64) -> Registration {
    let mut registration = Registration::new(now);
    assert_eq!(registration.step(now), RegistrationAction::Create);
    registration.record_sent(now, 0.5);
    registration.record_entry(now, Version::new(version), true);
    registration
}

#[test]
fn an_unanswered_write_is_repeated_after_a_delay() {
    let now = Instant::now();
    let mut registration = Registration::new(now);
    registration.record_sent(now, 1.0);
    assert_eq!(registration.step(now), RegistrationAction::Wait);
    let later = now + Duration::from_millis(700);
    assert_eq!(registration.step(later), RegistrationAction::Create);
}

/// A machine that came back at another address must not stay listed at its old one.
#[test]
fn the_entry_of_an_earlier_process_is_replaced() {
    let now = Instant::now();
    let mut registration = Registration::new(now);
    registration.record_sent(now, 1.0);
    registration.record_entry(now, Version::new(5), false);
    let expected = Version::new(5);
    assert_eq!(
        registration.step(now),
        RegistrationAction::Replace { expected }
    );
    registration.record_sent(now, 1.0);
    registration.record_absent(now);
    assert_eq!(registration.step(now), RegistrationAction::Create);
}

#[test]
fn a_list_from_before_the_write_does_not_show_that_the_entry_is_missing() {
    let now = Instant::now();
    let mut registration = registered(now, 9);
    registration.record_list(now, Version::new(8), false, 6, 0.0);
    assert_eq!(registration.step(now), RegistrationAction::Wait);
}

#[test]
fn a_missing_entry_is_written_again() {
    let now = Instant::now();
    let mut registration = registered(now, 9);
    registration.record_list(now, Version::new(12), true, 6, 0.0);
    assert_eq!(registration.step(now), RegistrationAction::Wait);
    registration.record_list(now, Version::new(13), false, 6, 0.0);
    assert_eq!(registration.step(now), RegistrationAction::Create);
}

/// Guards against a stopped process that stays listed, so that others relay sessions to it: the stop
/// comes while its entry is being written.
#[test]
fn a_process_that_stops_while_its_entry_is_written_removes_it() {
    let now = Instant::now();
    let mut registration = Registration::new(now);
    registration.record_sent(now, 1.0);
    registration.request_removal(now);
    // The result of the write.
    registration.record_removal_result(true);
    assert_eq!(registration.step(now), RegistrationAction::Remove);
}

#[test]
fn a_removal_is_repeated_until_the_store_confirms_it() {
    let now = Instant::now();
    let mut registration = registered(now, 9);
    registration.request_removal(now);
    registration.record_list(now, Version::new(12), false, 6, 0.0);
    assert_eq!(registration.step(now), RegistrationAction::Remove);
    registration.record_sent(now, 1.0);
    assert_eq!(registration.step(now), RegistrationAction::Wait);
    registration.record_removal_result(false);
    let later = now + Duration::from_millis(700);
    assert_eq!(registration.step(later), RegistrationAction::Remove);
    registration.record_sent(later, 1.0);
    registration.record_removal_result(true);
    let much_later = now + Duration::from_secs(5);
    assert_eq!(registration.step(much_later), RegistrationAction::Wait);
}

/// Load: a store returns from a copy, and all proxies write their entries again at the same time.
fn check_rewrites_are_spread(proxy_count: u32) {
    let now = Instant::now();
    let mut due_at = Vec::new();
    for index in 0..proxy_count {
        let mut registration = registered(now, 9);
        let jitter = f64::from(index) / f64::from(proxy_count);
        registration.rewrite(now, proxy_count, jitter);
        let is_due = |at: &Duration| registration.step(now + *at) == RegistrationAction::Create;
        let mut times = (0..30_000).map(Duration::from_millis);
        due_at.push(times.find(is_due).unwrap());
    }
    for second in 0..30 {
        let window = Duration::from_secs(second)..Duration::from_secs(second + 1);
        let writes = due_at.iter().filter(|at| window.contains(at)).count();
        assert!(writes <= WRITES_PER_S_MAX, "{writes} writes in a second");
    }
    let last = due_at.iter().max().unwrap();
    assert!(*last <= Registration::spread(proxy_count), "{last:?}");
}

cases! {
    check_rewrites_are_spread;
    six_proxies_write_again_within_the_rate: 6;
    three_hundred_proxies_write_again_within_the_rate: 295;
    a_fleet_of_the_target_size_writes_again_within_the_rate: 1_800;
}
