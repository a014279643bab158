//! The token bucket: exact amounts over long times, changes of its limits, and the empty start.

use endivereach_core::rate_limit::Share;
use endivereach_core::rate_limit::TokenBucket;
use endivereach_core::tenants::TenantLimits;
use proptest::prelude::*;
use std::time::Duration;
use std::time::Instant;

fn limits(rate_per_s: u32, burst: u32) -> TenantLimits {
    TenantLimits { rate_per_s, burst }
}

/// Rounding in each refill would lose or add tokens at odd rates.
fn check_rate(rate: u32, share: Share, expected: u32) {
    let start = Instant::now();
    // A burst above the tokens of one step, so that none are lost because the bucket is full.
    let mut bucket = TokenBucket::empty(start, limits(rate, rate + 4), share);
    let step = Duration::from_nanos(1_000_003);
    let end = start + Duration::from_secs(100);
    let mut now = start;
    let mut taken = 0;
    while now < end {
        now = (now + step).min(end);
        taken += bucket.take_up_to(now, u32::MAX);
    }
    assert_eq!(taken, expected);
}

endivereach_core::cases! {
    check_rate;
    whole_of_an_odd_rate: 7, Share::Whole, 700;
    half_of_an_odd_rate: 7, Share::Half, 350;
    half_of_one: 1, Share::Half, 50;
    half_of_a_large_rate: 1_001, Share::Half, 50_050;
}

/// A half whose burst rounds down to nothing would never admit an operation.
#[test]
fn half_of_a_burst_of_one_is_one() {
    let now = Instant::now();
    let mut bucket = TokenBucket::empty(now, limits(1, 1), Share::Half);
    assert_eq!(bucket.time_until_token(now), Some(Duration::from_secs(2)));
    assert!(bucket.take(now + Duration::from_secs(2)));
}

#[test]
fn limits_that_allow_nothing_never_admit() {
    let now = Instant::now();
    for none in [limits(0, 5), limits(5, 0)] {
        let mut bucket = TokenBucket::empty(now, none, Share::Whole);
        assert_eq!(bucket.time_until_token(now), None);
        assert!(!bucket.take(now + Duration::from_secs(1_000_000)));
    }
}

/// A lower limit is in force at once, and a higher one doesn't add a burst.
#[test]
fn a_change_of_limits_cuts_the_level_and_adds_nothing() {
    let start = Instant::now();
    let now = start + Duration::from_secs(1);
    let mut bucket = TokenBucket::empty(start, limits(10, 10), Share::Whole);
    bucket.set_limits(now, limits(4, 4), Share::Whole);
    assert_eq!(bucket.take_up_to(now, 100), 4);
    bucket.set_limits(now, limits(50, 50), Share::Whole);
    assert_eq!(bucket.take_up_to(now, 100), 0);
    assert_eq!(bucket.take_up_to(now + Duration::from_secs(1), 100), 50);
}

/// A refund must not raise the level above the burst.
#[test]
fn a_refund_returns_one_token_up_to_the_burst() {
    let start = Instant::now();
    let now = start + Duration::from_secs(1);
    let mut bucket = TokenBucket::empty(start, limits(3, 3), Share::Whole);
    assert!(bucket.take(now));
    bucket.refund(now);
    bucket.refund(now);
    assert_eq!(bucket.take_up_to(now, 100), 3);
}

proptest! {
    /// A clock that goes back, as between two threads, must not refill the bucket twice.
    #[test]
    fn the_rate_and_burst_are_never_exceeded(
        rate in 0_u32..2_000,
        burst in 0_u32..2_000,
        steps in prop::collection::vec((0_u64..500, 0_u64..20, 0_u32..100), 1..100),
    ) {
        let start = Instant::now();
        let mut bucket = TokenBucket::empty(start, limits(rate, burst), Share::Whole);
        let (mut now, mut taken) = (start, 0);
        for (forward, back, wanted) in steps {
            now += Duration::from_millis(forward);
            taken += u64::from(bucket.take_up_to(now, wanted));
            let earlier = now.checked_sub(Duration::from_millis(back)).unwrap();
            taken += u64::from(bucket.take_up_to(earlier.max(start), wanted));
            let produced = (now - start).as_nanos() * u128::from(rate) / 1_000_000_000;
            prop_assert!(u128::from(taken) <= produced);
        }
    }
}
