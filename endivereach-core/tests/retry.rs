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

/// Load: one of several connections to the platform breaks while a watch is held on another one,
/// which says nothing for a long time. The retry doesn't wait for the watch.
#[test]
fn a_retry_does_not_wait_for_calls_that_began_before_the_failure() {
    let now = Instant::now();
    let mut pace = RetryPace::default();
    pace.record_attempt(now, Duration::from_secs(25));
    pace.record_failure(now, 1.0);
    assert!(pace.is_due(now + Duration::from_millis(80)));
}

#[test]
fn one_call_at_a_time_finds_out_whether_a_failing_service_has_recovered() {
    let now = Instant::now();
    let mut pace = RetryPace::default();
    pace.record_failure(now, 1.0);
    let retried_at = now + Duration::from_millis(80);
    let timeout = Duration::from_millis(700);
    pace.record_attempt(retried_at, timeout);
    assert!(!pace.is_due(retried_at + timeout / 2));
    assert!(pace.is_due(retried_at + timeout));
    pace.record_success();
    assert!(pace.is_due(retried_at));
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
