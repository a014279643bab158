//! When reads use servers of another region, and the measured distance to them.

use endivereach_core::far_reads::FarReads;
use endivereach_core::round_trip::RoundTrip;
use std::time::Duration;
use std::time::Instant;

const FAR: Duration = Duration::from_millis(70);

/// Load: the local queue is about as long as the distance. Without hysteresis, the choice would change
/// with each read.
#[test]
fn a_queue_around_the_distance_changes_the_choice_once() {
    let now = Instant::now();
    let mut far_reads = FarReads::default();
    let near =
        |round: u64| FAR + Duration::from_millis(5) * (round % 3) as u32 - Duration::from_millis(6);
    let choices: Vec<bool> = (0..60)
        .map(|round| far_reads.admit(now + Duration::from_millis(10 * round), near(round), FAR))
        .collect();
    let changes = choices.windows(2).filter(|pair| pair[0] != pair[1]).count();
    assert_eq!(changes, 1, "{choices:?}");
}

#[test]
fn reads_stay_local_again_after_a_while_without_far_ones() {
    let now = Instant::now();
    let mut far_reads = FarReads::default();
    assert!(far_reads.admit(now, FAR * 2, FAR));
    let later = now + Duration::from_secs(1);
    assert!(!far_reads.admit(later, FAR * 9 / 10, FAR));
}

/// Load: a server is overloaded for seconds, so that all of its replies are late.
#[test]
fn late_replies_do_not_count_as_distance_until_they_last() {
    let now = Instant::now();
    let mut round_trip = RoundTrip::default();
    round_trip.record(now, Duration::from_millis(1));
    for step in 1..9 {
        round_trip.record(now + Duration::from_secs(step), Duration::from_millis(80));
        assert_eq!(round_trip.get(), Some(Duration::from_millis(1)));
    }
    for step in 9..31 {
        round_trip.record(now + Duration::from_secs(step), Duration::from_millis(80));
    }
    assert_eq!(round_trip.get(), Some(Duration::from_millis(80)));
}
