//! Tests of the wait queue and the retry budget.

use endivereach_core::queue::Capacity;
use endivereach_core::queue::WaitLimits;
use endivereach_core::queue::WaitQueue;
use endivereach_core::retry::RetryBudget;
use endivereach_core::retry::RetryBudgets;
use endivereach_core::treatment::Priority;
use proptest::prelude::*;
use std::time::Duration;
use std::time::Instant;

fn any_priority() -> impl Strategy<Value = Priority> {
    prop_oneof![
        Just(Priority::Low),
        Just(Priority::Normal),
        Just(Priority::High),
        Just(Priority::Highest)
    ]
}

/// Returns limits with a deadline and no earlier goal.
fn wait_limits(now: Instant, deadline_ms: u64) -> WaitLimits {
    let deadline = now + Duration::from_millis(deadline_ms);
    WaitLimits {
        deadline,
        goal: deadline,
    }
}

/// Simulates a group whose replicas all lag: for ten seconds, a quarter more requests arrive than
/// its primary can serve. Most of the served requests must meet their goal. In a queue ordered by
/// arrival alone, every request would be late.
#[test]
fn most_requests_served_under_overload_meet_their_goal() {
    const SERVICE_MS: u64 = 10;
    const ARRIVAL_MS: u64 = 8;
    const GOAL_MS: u64 = 75;
    let start = Instant::now();
    let at = |millis: u64| start + Duration::from_millis(millis);
    let capacity = Capacity {
        parallel: 1,
        service_time: Duration::from_millis(SERVICE_MS),
    };
    let mut queue = WaitQueue::default();
    let (mut served, mut in_time) = (0, 0);
    for now_ms in 0..10_000 {
        if now_ms % ARRIVAL_MS == 0 {
            let wait_limits = WaitLimits {
                deadline: at(now_ms + 700),
                goal: at(now_ms + GOAL_MS),
            };
            // A rejected request is not retried in this simulation.
            let _ = queue.push(Priority::Normal, at(now_ms), wait_limits, capacity, now_ms);
        }
        if now_ms % SERVICE_MS == 0
            && let Some((ticket, arrived_ms)) = queue
                .in_order(at(now_ms))
                .first()
                .map(|(ticket, arrived)| (*ticket, **arrived))
        {
            queue.remove(ticket);
            served += 1;
            in_time += u64::from(now_ms - arrived_ms <= GOAL_MS);
        }
    }
    assert!(served >= 990, "{served} served");
    assert!(in_time * 10 >= served * 8, "{in_time} of {served} in time");
}

/// A kind of request in a simulated overload.
#[derive(Clone, Copy, Debug)]
struct Kind {
    arrival_ms: u64,
    service_ms: u64,
    goal_ms: u64,
    deadline_ms: u64,
}

/// Load: both replicas of a group lag for ten seconds, so that the primary gets a fifth more reads
/// than it can run. Session reads alone would fit. Reads of older data take longer, and their
/// callers wait longer. Session reads meet their goal, and some of the others are still served.
#[test]
fn under_overload_requests_that_can_wait_longer_yield() {
    let session_reads = Kind {
        arrival_ms: 20,
        service_ms: 18,
        goal_ms: 150,
        deadline_ms: 400,
    };
    let aged_reads = Kind {
        arrival_ms: 90,
        service_ms: 30,
        goal_ms: 250,
        deadline_ms: 1_000,
    };
    let start = Instant::now();
    let at = |millis: u64| start + Duration::from_millis(millis);
    let capacity = Capacity {
        parallel: 1,
        service_time: Duration::from_millis(session_reads.service_ms),
    };
    let mut queue = WaitQueue::default();
    let mut free_at_ms = 0;
    let (mut sessions_in_goal, mut aged_served) = (0, 0);
    for now_ms in 0..10_000 {
        for kind in [aged_reads, session_reads] {
            if now_ms % kind.arrival_ms == 0 {
                let wait_limits = WaitLimits {
                    deadline: at(now_ms + kind.deadline_ms),
                    goal: at(now_ms + kind.goal_ms),
                };
                // A rejected request is not retried in this simulation.
                let item = (kind, now_ms);
                let _ = queue.push(Priority::Normal, at(now_ms), wait_limits, capacity, item);
            }
        }
        while now_ms >= free_at_ms
            && let Some((ticket, (kind, arrived_ms))) = queue
                .in_order(at(now_ms))
                .first()
                .map(|(t, item)| (*t, **item))
        {
            queue.remove(ticket);
            let waited_ms = now_ms - arrived_ms;
            if waited_ms >= kind.deadline_ms {
                continue;
            }
            free_at_ms = now_ms + kind.service_ms;
            if kind.service_ms == aged_reads.service_ms {
                aged_served += 1;
            } else {
                sessions_in_goal += u64::from(waited_ms <= kind.goal_ms);
            }
        }
    }
    assert!(
        sessions_in_goal >= 490,
        "{sessions_in_goal} of 500 session reads within their goal"
    );
    assert!(aged_served >= 20, "{aged_served} of 111 aged reads served");
}

proptest! {
    #[test]
    fn requests_are_served_by_priority_then_arrival(priorities in prop::collection::vec(any_priority(), 1..30)) {
        let now = Instant::now();
        let capacity = Capacity { parallel: 1, service_time: Duration::from_millis(1) };
        let mut queue = WaitQueue::default();
        for (arrival, &priority) in priorities.iter().enumerate() {
            let wait_limits = wait_limits(now, 60_000);
            queue.push(priority, now, wait_limits, capacity, (priority, arrival)).unwrap();
        }
        let mut served = Vec::new();
        while let Some(ticket) = queue.first() {
            served.push(queue.remove(ticket).unwrap());
        }
        let mut expected: Vec<_> = priorities.iter().copied().zip(0..).collect();
        expected.sort_by_key(|&(priority, arrival)| (std::cmp::Reverse(priority), arrival));
        prop_assert_eq!(served, expected);
    }

    #[test]
    fn a_request_is_admitted_if_it_is_expected_to_meet_its_deadline(
        priorities in prop::collection::vec((any_priority(), 1..200u64), 1..60),
        parallel in 1..5u32,
    ) {
        let now = Instant::now();
        let capacity = Capacity { parallel, service_time: Duration::from_millis(10) };
        let mut queue = WaitQueue::default();
        let mut admitted: Vec<Priority> = Vec::new();
        for (priority, deadline_ms) in priorities {
            let ahead = admitted.iter().filter(|&&other| other >= priority).count();
            let deadline = now + Duration::from_millis(deadline_ms);
            let in_time = now + capacity.expected_wait(ahead + 1) <= deadline;
            let pushed = queue.push(priority, now, wait_limits(now, deadline_ms), capacity, ());
            prop_assert_eq!(pushed.is_ok(), in_time);
            if pushed.is_ok() {
                admitted.push(priority);
            }
        }
        prop_assert_eq!(queue.len(), admitted.len());
    }

    /// The retries of a hot tenant must not use up those of another.
    #[test]
    fn a_tenant_keeps_its_retries_beside_a_hot_one(spent in 0..100u32, burst in 1..20u32) {
        let [hot, small] = ["hot", "small"].map(|name| Some(name.into()));
        let mut budgets = RetryBudgets::new(20, burst);
        let allowed = (0..spent).filter(|_| budgets.try_spend(&hot)).count();
        prop_assert_eq!(allowed, spent.min(burst) as usize);
        prop_assert!((0..burst).all(|_| budgets.try_spend(&small)));
    }

    #[test]
    fn retries_stay_in_proportion_to_requests(
        burst in 0..20u32,
        steps in prop::collection::vec(any::<bool>(), 0..500),
    ) {
        let mut budget = RetryBudget::new(burst);
        let (mut requests, mut retries) = (0, 0);
        for is_request in steps {
            if is_request {
                requests += 1;
                budget.earn();
            } else if budget.try_spend() {
                retries += 1;
            }
            prop_assert!(retries <= burst + requests / 10);
        }
    }
}
