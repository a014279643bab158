//! Checks of the deadlines of large responses.

use endivereach_core::cases;
use endivereach_core::transfer::TransferDeadline;
use endivereach_core::transfer::TransferLimits;
use std::time::Duration;
use std::time::Instant;

const LIMITS: TransferLimits = TransferLimits {
    first_byte: Duration::from_millis(1_700),
    stall: Duration::from_millis(1_500),
    total: Duration::from_millis(6_000),
};

/// Returns when a call times out whose bytes arrive at the given times.
fn timeout_ms(limits: TransferLimits, arrivals_ms: &[u64]) -> u128 {
    let start = Instant::now();
    let mut deadline = TransferDeadline::new(start, limits);
    for arrival in arrivals_ms {
        let now = start + Duration::from_millis(*arrival);
        if now >= deadline.at() {
            break;
        }
        deadline.record_progress(now);
    }
    (deadline.at() - start).as_millis()
}

fn check_timeout(limits: TransferLimits, arrivals_ms: &[u64], expected_ms: u128) {
    assert_eq!(timeout_ms(limits, arrivals_ms), expected_ms);
}

cases! {
    check_timeout;
    no_byte_arrives: LIMITS, &[], 1_700;
    an_early_byte_leaves_the_first_deadline: LIMITS, &[100], 1_700;
    bytes_that_arrive_move_the_deadline: LIMITS, &[1_000, 2_000, 3_000], 4_500;
    a_stalled_response_ends: LIMITS, &[1_000, 2_600], 2_500;
    an_endless_response_ends: LIMITS, &[1_000, 2_000, 3_000, 4_000, 5_000, 5_900, 6_100], 6_000;
    a_fixed_limit_does_not_move: TransferLimits::fixed(Duration::from_millis(700)), &[300, 600], 700;
}

/// Guards against an order that a process sends under a lease that ended while the process was frozen.
fn check_sending(lease_ms: u64, now_ms: u64, expected: bool) {
    let start = Instant::now();
    let lease_end = start + Duration::from_millis(lease_ms);
    let deadline = TransferDeadline::new(start, LIMITS).send_before(lease_end);
    assert_eq!(
        deadline.may_send(start + Duration::from_millis(now_ms)),
        expected
    );
}

cases! {
    check_sending;
    a_request_is_sent_during_its_lease: 1_000, 999, true;
    a_request_is_not_sent_after_its_lease: 1_000, 1_000, false;
    a_request_is_not_sent_after_its_deadline: 9_000, 1_700, false;
}

/// Load: a link is shared by the replies to all followers of a reader. With a fixed deadline no reply
/// arrives, and with one that moves all of them do.
#[test]
fn replies_that_share_a_link_all_arrive() {
    const FOLLOWERS: u64 = 22;
    const REPLY_BYTES: u64 = 200_000;
    const WINDOW_BYTES: u64 = 64 * 1024;
    const LINK_BYTES_PER_MS: u64 = 1_250;
    let round_ms = FOLLOWERS * WINDOW_BYTES / LINK_BYTES_PER_MS;
    let rounds = REPLY_BYTES.div_ceil(WINDOW_BYTES);
    let arrivals_ms: Vec<u64> = (1..=rounds).map(|round| round * round_ms).collect();
    let last = u128::from(arrivals_ms[arrivals_ms.len() - 1]);
    let fixed = TransferLimits::fixed(LIMITS.first_byte);
    assert!(timeout_ms(fixed, &arrivals_ms) < last);
    assert!(timeout_ms(LIMITS, &arrivals_ms) > last);
}
