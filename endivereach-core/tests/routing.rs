//! Tests that reads are routed to replicas that have applied the required position.

use endivereach_core::ids::Position;
use endivereach_core::routing::Candidate;
use endivereach_core::routing::Distance;
use endivereach_core::routing::SERVICE_TIME_DEFAULT;
use endivereach_core::routing::choose_replica;
use proptest::prelude::*;

fn candidate() -> impl Strategy<Value = Candidate> {
    (any::<[bool; 4]>(), 1..4u64, 0..20u64, 0..10u32, 1..4u32).prop_map(
        |([primary, leaving, reachable, near], term, index, in_flight, slots)| Candidate {
            is_primary: primary,
            is_leaving: leaving,
            is_reachable: reachable,
            applied: Position::new(term, index),
            in_flight,
            slots,
            distance: if near {
                Distance::SameZone
            } else {
                Distance::OtherZone
            },
            service_time: SERVICE_TIME_DEFAULT,
        },
    )
}

proptest! {
    #[test]
    fn a_chosen_replica_is_eligible_and_the_fastest(
        candidates in prop::collection::vec(candidate(), 0..6),
        term in 1..4u64,
        index in 0..20u64,
        skipped in 0..6usize,
        rotation in 0..6usize,
    ) {
        let required = Position::new(term, index);
        let is_eligible = |index: usize, candidate: &Candidate| {
            index != skipped
                && !candidate.is_primary
                && !candidate.is_leaving
                && candidate.is_reachable
                && candidate.applied >= required
        };
        let best = candidates
            .iter()
            .enumerate()
            .filter(|(index, candidate)| is_eligible(*index, candidate))
            .map(|(_, candidate)| candidate.expected_completion())
            .min();
        let chosen = choose_replica(&candidates, required, |index| index == skipped, rotation);
        prop_assert_eq!(chosen.map(|index| candidates[index].expected_completion()), best);
        if let Some(index) = chosen {
            prop_assert!(is_eligible(index, &candidates[index]));
        }
    }
}
