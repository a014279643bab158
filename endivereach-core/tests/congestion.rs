//! The limit of statements that one process runs at once on one server.

use endivereach_core::congestion::ConcurrencyLimit;
use std::time::Duration;
use std::time::Instant;

const SERVICE_TIME: Duration = Duration::from_millis(10);

/// Returns a limit of 8, and the time at which its pause is over.
fn limit_of_eight() -> (ConcurrencyLimit, Instant) {
    let now = Instant::now();
    let mut limit = ConcurrencyLimit::default();
    assert!(limit.record_refusal(now, now, 16, SERVICE_TIME));
    (limit, now + SERVICE_TIME)
}

#[test]
fn nothing_is_limited_before_the_first_refusal() {
    let mut limit = ConcurrencyLimit::default();
    limit.record_run();
    assert_eq!(limit.get(), None);
    assert!(limit.admits(Instant::now(), 1_000));
}

#[test]
fn a_refusal_halves_what_was_in_flight() {
    let (limit, later) = limit_of_eight();
    assert_eq!(limit.get(), Some(8));
    assert!(limit.admits(later, 7));
    assert!(!limit.admits(later, 8));
}

#[test]
fn refusals_of_statements_sent_before_the_limit_was_lowered_count_once() {
    let (mut limit, later) = limit_of_eight();
    let sent_at = later - SERVICE_TIME;
    assert!(!limit.record_refusal(later, sent_at, 15, SERVICE_TIME));
    assert_eq!(limit.get(), Some(8));
}

#[test]
fn a_window_of_statements_that_ran_raises_the_limit_by_one() {
    let (mut limit, _) = limit_of_eight();
    for _ in 0..7 {
        limit.record_run();
    }
    assert_eq!(limit.get(), Some(8));
    limit.record_run();
    assert_eq!(limit.get(), Some(9));
}

#[test]
fn the_limit_never_falls_below_one() {
    let now = Instant::now();
    let mut limit = ConcurrencyLimit::default();
    for step in 0..5 {
        let at = now + SERVICE_TIME * step;
        limit.record_refusal(at, at, 1, SERVICE_TIME);
    }
    assert_eq!(limit.get(), Some(1));
    assert!(limit.admits(now + SERVICE_TIME * 6, 0));
}
