//! Tests that a request commits at most once and is never wrongly answered as "not run", over
//! random interleavings of attempts, repeats of the same request through other proxies, lost
//! answers, delayed commits and tombstones.

use endivereach_core::outcome::ABANDONED;
use endivereach_core::outcome::MarkerKey;
use endivereach_core::outcome::Observation;
use endivereach_core::outcome::RequestOutcome;
use endivereach_core::outcome::Resolution;
use endivereach_core::outcome::Step;
use endivereach_core::outcome::WhenNotRun;
use proptest::prelude::*;
use std::collections::BTreeMap;

/// The committed markers, and the transactions that may still commit.
#[derive(Default)]
struct Database {
    markers: BTreeMap<MarkerKey, Box<str>>,
    in_flight: Vec<MarkerKey>,
    commits: u32,
}

impl Database {
    fn commit(&mut self, key: MarkerKey) -> bool {
        if self.markers.contains_key(&key) {
            return false;
        }
        self.markers.insert(key, "done".into());
        self.commits += 1;
        true
    }

    fn abandon(&mut self, key: &MarkerKey) -> bool {
        if self.markers.contains_key(key) {
            return false;
        }
        self.markers.insert(key.clone(), ABANDONED.into());
        true
    }
}

/// A proxy that received the request.
struct Proxy {
    state: State,
    when_not_run: WhenNotRun,
}

enum State {
    Running(MarkerKey),
    Resolving(Resolution),
    Answered(RequestOutcome),
}

impl Proxy {
    fn step(&mut self, database: &mut Database, choice: u8) {
        match &mut self.state {
            State::Answered(_) => {}
            State::Running(key) => {
                let key = key.clone();
                self.state = self.run(key, database, choice);
            }
            State::Resolving(resolution) => {
                let observation = Self::execute(resolution.step(), database, choice);
                resolution.observe(observation);
                match resolution.step().clone() {
                    Step::Run(key) => self.state = State::Running(key),
                    Step::Resolved(request_outcome) => {
                        self.state = State::Answered(request_outcome)
                    }
                    _ => {}
                }
            }
        }
    }

    /// Runs one attempt, which commits with or without its answer, stays in flight, or never
    /// reaches the server.
    fn run(&self, key: MarkerKey, database: &mut Database, choice: u8) -> State {
        let lost = |key| State::Resolving(Resolution::of_lost_attempt(key, self.when_not_run));
        match choice % 4 {
            0 if database.commit(key.clone()) => State::Answered(RequestOutcome::Done {
                outcome: "done".into(),
            }),
            0 => State::Resolving(Resolution::of_taken_key(key)),
            1 => {
                database.commit(key.clone());
                lost(key)
            }
            2 => {
                database.in_flight.push(key.clone());
                lost(key)
            }
            _ => lost(key),
        }
    }

    fn execute(step: &Step, database: &mut Database, choice: u8) -> Observation {
        let answer_lost = choice.is_multiple_of(3);
        let observation = match step {
            Step::Abandon(key) if database.abandon(key) => Observation::TombstoneConfirmed,
            Step::Abandon(_) => Observation::KeyTaken,
            Step::Read(key) => Observation::Marker(database.markers.get(key).cloned()),
            Step::Run(_) | Step::Resolved(_) => {
                unreachable!("these steps are handled by the caller")
            }
        };
        if answer_lost {
            Observation::Lost
        } else {
            observation
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn a_request_commits_at_most_once_and_its_answers_are_correct(
        may_retry in prop::collection::vec(any::<bool>(), 1..4),
        steps in prop::collection::vec((0..5usize, any::<u8>()), 0..120),
    ) {
        let mut database = Database::default();
        let key = MarkerKey::first("booking".into());
        let mut proxies: Vec<Proxy> = may_retry
            .iter()
            .map(|&may_retry| Proxy {
                state: State::Running(key.clone()),
                when_not_run: if may_retry { WhenNotRun::Retry } else { WhenNotRun::Answer },
            })
            .collect();
        for (index, choice) in steps {
            match proxies.get_mut(index) {
                Some(proxy) => proxy.step(&mut database, choice),
                None => {
                    if let Some(in_flight) = database.in_flight.pop() {
                        database.commit(in_flight);
                    }
                }
            }
        }
        // Transactions that are still in flight commit now, unless their key is taken.
        while let Some(in_flight) = database.in_flight.pop() {
            database.commit(in_flight);
        }
        prop_assert!(database.commits <= 1);
        let answers: Vec<_> = proxies
            .iter()
            .filter_map(|proxy| match &proxy.state {
                State::Answered(request_outcome) => Some(request_outcome.clone()),
                _ => None,
            })
            .collect();
        let done = answers.iter().any(|answer| matches!(answer, RequestOutcome::Done { .. }));
        if done {
            prop_assert_eq!(database.commits, 1);
        }
        // If only one proxy received the request, its "not run" means that nothing was committed.
        if proxies.len() == 1 && answers == [RequestOutcome::NotRun] {
            prop_assert_eq!(database.commits, 0);
        }
    }
}

#[test]
fn a_lost_tombstone_is_inserted_again() {
    let key = MarkerKey::first("booking".into());
    let mut resolution = Resolution::of_lost_attempt(key.clone(), WhenNotRun::Answer);
    resolution.observe(Observation::Lost);
    assert_eq!(resolution.step(), &Step::Abandon(key.clone()));
    resolution.observe(Observation::KeyTaken);
    resolution.observe(Observation::Marker(None));
    assert_eq!(resolution.step(), &Step::Abandon(key));
}

#[test]
fn the_deadline_ends_the_resolution_as_unknown() {
    let key = MarkerKey::first("booking".into());
    let mut resolution = Resolution::of_lost_attempt(key, WhenNotRun::Retry);
    resolution.observe(Observation::DeadlinePassed);
    assert_eq!(resolution.step(), &Step::Resolved(RequestOutcome::Unknown));
}
