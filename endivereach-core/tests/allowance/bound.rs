//! The bound of the platform in every sliding window, over random interleavings of failures.

use crate::fleet::Fault;
use crate::fleet::Fleet;
use crate::fleet::tenant;
use endivereach_core::tenants::TenantLimits;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use std::time::Duration;

const PROCESSES: usize = 4;

/// Something that happens to the fleet.
#[derive(Clone, Debug)]
enum Event {
    Cut(usize, usize),
    CutStore(usize),
    Heal,
    Lose(u32),
    Freeze(usize, u64),
    Kill(usize),
    Start(usize),
    Stop(usize),
    /// All processes are gone for a time, in milliseconds.
    LosePower(u64),
}

/// Which failures a scenario contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failures {
    /// Of links and processes.
    Network,
    /// Of the store's links and of processes, with lost datagrams.
    Store,
    /// All of them.
    Both,
}

#[derive(Clone, Debug)]
struct Scenario {
    seed: u64,
    limits: TenantLimits,
    /// Where the tenant sends: at each process or only at the home.
    is_spread: bool,
    events: Vec<(u64, Event)>,
}

fn event(failures: Failures) -> BoxedStrategy<Event> {
    let index = 0..PROCESSES;
    let of_processes = prop_oneof![
        2 => Just(Event::Heal),
        1 => (0_u32..60).prop_map(Event::Lose),
        2 => (index.clone(), 100_u64..4_000).prop_map(|(i, millis)| Event::Freeze(i, millis)),
        2 => index.clone().prop_map(Event::Kill),
        4 => index.clone().prop_map(Event::Start),
        2 => index.clone().prop_map(Event::Stop),
        2 => (1_000_u64..2_500).prop_map(Event::LosePower),
    ];
    let link = (index.clone(), index.clone()).prop_map(|(from, to)| Event::Cut(from, to));
    let store = index.prop_map(Event::CutStore);
    match failures {
        Failures::Network => prop_oneof![2 => of_processes, 1 => link].boxed(),
        Failures::Store => prop_oneof![3 => of_processes, 1 => store].boxed(),
        Failures::Both => prop_oneof![4 => of_processes, 2 => link, 1 => store].boxed(),
    }
}

fn scenario(failures: Failures) -> impl Strategy<Value = Scenario> {
    let rate = prop_oneof![Just(1_u32), Just(20), Just(100), Just(400)];
    let delay = prop_oneof![3 => 0_u64..400, 2 => 400_u64..2_000, 1 => 2_000_u64..12_000];
    let events = prop::collection::vec((delay, event(failures)), 1..14);
    (any::<u64>(), rate, any::<bool>(), events).prop_map(|(seed, rate, is_spread, events)| {
        Scenario {
            seed,
            limits: TenantLimits {
                rate_per_s: rate,
                burst: rate,
            },
            is_spread,
            events,
        }
    })
}

/// Advances the clock while the tenant sends several times its limit.
fn advance(fleet: &mut Fleet, scenario: &Scenario, millis: u64) {
    let end = fleet.now + Duration::from_millis(millis);
    let per_step = (scenario.limits.rate_per_s * 4).div_ceil(100);
    while fleet.now < end {
        fleet.step();
        let home = fleet.ranking(&tenant(0)).first().copied();
        for index in 0..PROCESSES {
            if scenario.is_spread || home == Some(index) {
                fleet.operations(index, &tenant(0), per_step);
            }
        }
    }
}

/// Plays a scenario, and returns the worst excess over the bound.
fn play(scenario: &Scenario, fault: Fault, factor: f64) -> f64 {
    let mut fleet = Fleet::open(scenario.seed, PROCESSES, &[scenario.limits], fault);
    advance(&mut fleet, scenario, 3_000);
    for (delay, event) in &scenario.events {
        match event {
            Event::Cut(from, to) => fleet.cut(*from, *to),
            Event::CutStore(index) => fleet.cut_store(*index),
            Event::Heal => fleet.heal(),
            Event::Lose(percent) => fleet.loss = f64::from(*percent) / 100.0,
            Event::Freeze(index, millis) => fleet.freeze(*index, Duration::from_millis(*millis)),
            Event::Kill(index) => fleet.kill(*index),
            Event::Start(index) => fleet.start_process(*index),
            Event::Stop(index) => fleet.stop(*index),
            Event::LosePower(millis) => {
                (0..PROCESSES).for_each(|index| fleet.kill(index));
                advance(&mut fleet, scenario, *millis);
                (0..PROCESSES).for_each(|index| fleet.start_process(index));
            }
        }
        advance(&mut fleet, scenario, *delay);
    }
    advance(&mut fleet, scenario, 3_000);
    fleet.executed.worst_excess(scenario.limits, factor)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(100))]

    #[test]
    fn the_bound_holds_while_links_and_processes_fail(scenario in scenario(Failures::Network)) {
        prop_assert!(play(&scenario, Fault::None, 1.0) <= 0.0);
    }

    #[test]
    fn the_bound_holds_while_processes_lose_the_store(scenario in scenario(Failures::Store)) {
        prop_assert!(play(&scenario, Fault::None, 1.0) <= 0.0);
    }

    /// Two proxies with different lists that can't reach each other may hold up to 1.5 times the
    /// bucket.
    #[test]
    fn the_excess_is_bounded_while_links_and_the_store_fail(scenario in scenario(Failures::Both)) {
        prop_assert!(play(&scenario, Fault::None, 1.5) <= 0.0);
    }
}

/// A check that finds no planted fault would pass with any rules.
fn check_fault_is_found(fault: Fault) {
    let mut runner = TestRunner::deterministic();
    let strategy = scenario(Failures::Network);
    let found = (0..200).find(|_| {
        let scenario = strategy.new_tree(&mut runner).unwrap().current();
        play(&scenario, fault, 1.0) > 0.0
    });
    assert!(found.is_some(), "not found in 200 scenarios");
}

endivereach_core::cases! {
    check_fault_is_found;
    a_part_kept_past_its_lease_is_found: Fault::KeepsPart;
    a_restart_with_a_full_bucket_is_found: Fault::StartsFull;
    a_lease_without_the_standbys_promise_is_found: Fault::ForgedAcknowledgement;
}
