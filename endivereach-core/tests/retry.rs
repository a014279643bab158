//! The pace of calls to a service that fails.

use endivereach_core::retry::RetryPace;
use std::time::Duration;
use std::time::Instant;

/// Returns the number of calls within `duration` if each fails after `call_time`.
fn failing_calls(duration: Duration, call_time: Duration) -> u32 {
    let started_at = Instant::now();
    let mut now = started_at;
    let mut pace = RetryPace::default();
    let mut calls = 0;
    while now < started_at + duration {
        if pace.is_due(now) {
            calls += 1;
            now += call_time;
            pace.record_failure(now, 0.5);
        }
        now += Duration::from_millis(25);
    }
    calls
}

/// Load: a partition of 12 s from the platform, whose calls time out after 700 ms.
#[test]
fn a_partitioned_process_calls_less_than_once_a_second() {
    let calls = failing_calls(Duration::from_secs(12), Duration::from_millis(700));
    assert!((6..=10).contains(&calls), "{calls} calls in 12 s");
}

/// Load: a platform that refuses every call at once.
#[test]
fn a_refused_process_backs_off() {
    let calls = failing_calls(Duration::from_secs(10), Duration::from_millis(5));
    assert!((8..=20).contains(&calls), "{calls} calls in 10 s");
}

#[test]
fn a_success_ends_the_delay() {
    let now = Instant::now();
    let mut pace = RetryPace::default();
    for _ in 0..10 {
        pace.record_failure(now, 1.0);
    }
    assert!(pace.record_success());
    assert!(pace.is_due(now));
    assert!(!pace.record_success());
}
