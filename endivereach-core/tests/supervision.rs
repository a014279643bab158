//! Tests of the restart limit and of stall detection.

use endivereach_core::supervision::HeartbeatStatus;
use endivereach_core::supervision::RestartConfig;
use endivereach_core::supervision::RestartDecision;
use endivereach_core::supervision::RestartPolicy;
use endivereach_core::supervision::StallConfig;
use endivereach_core::supervision::StallDetector;
use proptest::prelude::*;
use std::time::Duration;
use std::time::Instant;

proptest! {
    #[test]
    fn restarts_within_any_minute_stay_within_the_limit(gaps_ms in prop::collection::vec(0..20_000u64, 1..80)) {
        let config = RestartConfig::default();
        let mut restarts = RestartPolicy::new(config);
        let mut now = Instant::now();
        let mut restarted_at = Vec::new();
        for gap_ms in gaps_ms {
            now += Duration::from_millis(gap_ms);
            if let RestartDecision::Restart { delay } = restarts.after_failure(now) {
                prop_assert!(delay <= config.delay_max);
                restarted_at.push(now);
            }
        }
        for start in &restarted_at {
            let end = *start + Duration::from_secs(60);
            let within = restarted_at.iter().filter(|at| *at >= start && **at < end).count();
            prop_assert!(within <= config.restarts_per_minute_max as usize);
        }
    }
}

#[test]
fn a_stall_is_reported_once_and_its_end_once() {
    let mut detector = StallDetector::new(StallConfig::default());
    let statuses: Vec<HeartbeatStatus> = (0..30).map(|_| detector.tick(0)).collect();
    let reported = statuses
        .iter()
        .filter(|status| **status == HeartbeatStatus::Stalled);
    assert_eq!(reported.count(), 1);
    assert_eq!(detector.tick(1), HeartbeatStatus::Recovered);
    assert_eq!(detector.tick(2), HeartbeatStatus::Alive);
}

#[test]
fn a_stall_beyond_the_bound_ends_the_process() {
    let mut detector = StallDetector::new(StallConfig::default());
    let last = (0..60).map(|_| detector.tick(7)).last();
    // At the first tick, the heartbeat count changes from zero to seven.
    assert_eq!(last, Some(HeartbeatStatus::Alive));
    assert_eq!(detector.tick(7), HeartbeatStatus::TimedOut);
}
