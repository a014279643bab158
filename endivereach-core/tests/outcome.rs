//! At most once, and never falsely "not run": every interleaving of attempts, repeats of the same
//! request through other proxies, lost answers, late commits and tombstones.

use endivereach_core::outcome::ABANDONED;
use endivereach_core::outcome::MarkerKey;
use endivereach_core::outcome::Resolution;
use endivereach_core::outcome::Seen;
use endivereach_core::outcome::Settlement;
use endivereach_core::outcome::Step;
use endivereach_core::outcome::WhenNotRun;
use proptest::prelude::*;
use std::collections::BTreeMap;

/// The markers of the surviving history, and transactions that may still commit.
#[derive(Default)]
struct Database {
    markers: BTreeMap<MarkerKey, Box<str>>,
    late: Vec<MarkerKey>,
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

/// One proxy that was handed the request.
struct Proxy {
    state: State,
    when_not_run: WhenNotRun,
}

enum State {
    Running(MarkerKey),
    Resolving(Resolution),
    Answered(Settlement),
}

impl Proxy {
    fn step(&mut self, database: &mut Database, chance: u8) {
        match &mut self.state {
            State::Answered(_) => {}
            State::Running(key) => {
                let key = key.clone();
                self.state = self.run(key, database, chance);
            }
            State::Resolving(resolution) => {
                let seen = Self::look(resolution.step(), database, chance);
                resolution.observe(seen);
                match resolution.step().clone() {
                    Step::Run(key) => self.state = State::Running(key),
                    Step::Settled(settlement) => self.state = State::Answered(settlement),
                    _ => {}
                }
            }
        }
    }

    /// The attempt commits with or without its answer, stays in flight, or never reaches the server.
    fn run(&self, key: MarkerKey, database: &mut Database, chance: u8) -> State {
        let lost = |key| State::Resolving(Resolution::of_lost_attempt(key, self.when_not_run));
        match chance % 4 {
            0 if database.commit(key.clone()) => State::Answered(Settlement::Done {
                outcome: "done".into(),
            }),
            0 => State::Resolving(Resolution::of_taken_key(key)),
            1 => {
                database.commit(key.clone());
                lost(key)
            }
            2 => {
                database.late.push(key.clone());
                lost(key)
            }
            _ => lost(key),
        }
    }

    fn look(step: &Step, database: &mut Database, chance: u8) -> Seen {
        let answer_lost = chance.is_multiple_of(3);
        let seen = match step {
            Step::Abandon(key) if database.abandon(key) => Seen::TombstoneConfirmed,
            Step::Abandon(_) => Seen::KeyTaken,
            Step::Read(key) => Seen::Marker(database.markers.get(key).cloned()),
            Step::Run(_) | Step::Settled(_) => unreachable!("these steps are not looked at"),
        };
        if answer_lost { Seen::Lost } else { seen }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn a_request_commits_once_at_most_and_its_answers_are_true(
        hold in prop::collection::vec(any::<bool>(), 1..4),
        steps in prop::collection::vec((0..5usize, any::<u8>()), 0..120),
    ) {
        let mut database = Database::default();
        let key = MarkerKey::first("booking".into());
        let mut proxies: Vec<Proxy> = hold
            .iter()
            .map(|&hold| Proxy {
                state: State::Running(key.clone()),
                when_not_run: if hold { WhenNotRun::Retry } else { WhenNotRun::Answer },
            })
            .collect();
        for (who, chance) in steps {
            match proxies.get_mut(who) {
                Some(proxy) => proxy.step(&mut database, chance),
                None => {
                    if let Some(late) = database.late.pop() {
                        database.commit(late);
                    }
                }
            }
        }
        // Whatever is still in flight commits now, if it can.
        while let Some(late) = database.late.pop() {
            database.commit(late);
        }
        prop_assert!(database.commits <= 1);
        let answers: Vec<_> = proxies
            .iter()
            .filter_map(|proxy| match &proxy.state {
                State::Answered(settlement) => Some(settlement.clone()),
                _ => None,
            })
            .collect();
        let done = answers.iter().any(|answer| matches!(answer, Settlement::Done { .. }));
        if done {
            prop_assert_eq!(database.commits, 1);
        }
        // A single proxy's "not run" is true of the whole request.
        if proxies.len() == 1 && answers == [Settlement::NotRun] {
            prop_assert_eq!(database.commits, 0);
        }
    }
}

#[test]
fn a_tombstone_that_was_lost_is_decided_again() {
    let key = MarkerKey::first("booking".into());
    let mut resolution = Resolution::of_lost_attempt(key.clone(), WhenNotRun::Answer);
    resolution.observe(Seen::Lost);
    assert_eq!(resolution.step(), &Step::Abandon(key.clone()));
    resolution.observe(Seen::KeyTaken);
    resolution.observe(Seen::Marker(None));
    assert_eq!(resolution.step(), &Step::Abandon(key));
}

#[test]
fn the_deadline_ends_the_search_as_unknown() {
    let key = MarkerKey::first("booking".into());
    let mut resolution = Resolution::of_lost_attempt(key, WhenNotRun::Retry);
    resolution.observe(Seen::DeadlinePassed);
    assert_eq!(resolution.step(), &Step::Settled(Settlement::Unknown));
}
