//! Bounded model checking of promotion, acknowledgement and read floors over every interleaving,
//! and longer random runs. Each deliberately introduced bug must be found.

#[path = "support/explore.rs"]
mod explore;
#[path = "support/protocol.rs"]
mod protocol;

use endivereach_core::cases;
use explore::Model;
use explore::explore;
use proptest::prelude::*;
use protocol::Budget;
use protocol::Bug;
use protocol::Protocol;

const PROMOTIONS: Budget = Budget {
    commits: 2,
    losses: 1,
    restarts: 1,
    reads: 0,
};

const READS: Budget = Budget {
    commits: 1,
    losses: 0,
    restarts: 0,
    reads: 1,
};

fn check_invariants(budget: Budget, depth: usize) {
    let search = explore(&Protocol { bug: None, budget }, depth);
    assert!(search.counter_example.is_none(), "{search:#?}");
    println!("{} states to depth {depth}", search.states);
}

cases! {
    check_invariants;
    promotions_keep_every_acknowledged_commit: PROMOTIONS, 10;
    floors_include_every_acknowledged_commit: READS, 11;
}

/// The maximum search depth for a deliberately introduced bug.
const BUG_DEPTH_MAX: usize = 14;

fn check_bug_is_found(bug: Bug, budget: Budget, invariant: &str) {
    let protocol = Protocol {
        bug: Some(bug),
        budget,
    };
    let found = explore(&protocol, BUG_DEPTH_MAX).counter_example;
    let found = found.unwrap_or_else(|| panic!("{bug:?} was not found"));
    println!("{bug:?}: {} steps: {:?}", found.steps.len(), found.steps);
    assert_eq!(found.invariant, invariant);
}

const ONE_PRIMARY: &str = "one primary per term";
const SURVIVES: &str = "an acknowledged commit is in every later primary's log";
const FLOOR: &str = "a floor includes every commit acknowledged before the read";

const ONE_COMMIT: Budget = Budget {
    commits: 1,
    losses: 0,
    restarts: 0,
    reads: 0,
};

const TWO_COMMITS: Budget = Budget {
    commits: 2,
    ..ONE_COMMIT
};

const ONE_LOSS: Budget = Budget {
    commits: 0,
    losses: 1,
    ..ONE_COMMIT
};

const ONE_RESTART: Budget = Budget {
    commits: 0,
    restarts: 1,
    ..ONE_COMMIT
};

cases! {
    check_bug_is_found;
    fenced_minority_is_found: Bug::FenceMinority, ONE_COMMIT, SURVIVES;
    shortest_log_is_found: Bug::PromoteShortestLog, ONE_COMMIT, SURVIVES;
    promotion_elsewhere_is_found: Bug::PromoteElsewhereAfterLoss, ONE_LOSS, ONE_PRIMARY;
    reused_grant_is_found: Bug::ReuseGrantAfterRestart, ONE_RESTART, ONE_PRIMARY;
    confirmation_alone_is_found: Bug::ConfirmAlone, ONE_COMMIT, SURVIVES;
    confirmation_across_terms_is_found: Bug::ConfirmAcrossTerms, TWO_COMMITS, SURVIVES;
    floor_of_a_minority_is_found: Bug::FloorFromMinority, READS, FLOOR;
    floor_from_an_earlier_round_is_found: Bug::FloorFromBefore, READS, FLOOR;
    ignored_fence_is_found: Bug::ServerIgnoresFence, ONE_COMMIT, SURVIVES;
    dropped_fence_is_found: Bug::ServerDropsFence, ONE_COMMIT, SURVIVES;
}

const LONG: Budget = Budget {
    commits: 6,
    losses: 6,
    restarts: 3,
    reads: 4,
};

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    #[test]
    fn long_random_runs_keep_the_invariants(choices in prop::collection::vec(any::<usize>(), 1..120)) {
        let protocol = Protocol { bug: None, budget: LONG };
        let mut state = protocol.initial();
        let mut taken = Vec::new();
        for choice in choices {
            let steps = protocol.steps(&state);
            if steps.is_empty() {
                break;
            }
            let step = steps[choice % steps.len()];
            taken.push(step);
            protocol.apply(&mut state, step);
            prop_assert_eq!(protocol.violated_invariant(&state), None, "{:?}", taken);
        }
    }
}
