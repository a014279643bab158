//! Explores orders in which answers to transactions and to prepared sessions are refused, lost, repeated
//! and late while connections change hands.

use crate::cluster::Cluster;
use crate::cluster::begin;
use crate::cluster::read;
use crate::cluster::write;
use crate::repetition::config;
use crate::repetition::contended_cluster;
use endivereach_core::engine::statement::Body;
use endivereach_core::engine::statement::CallerId;
use endivereach_core::engine::statement::Command;
use endivereach_core::engine::statement::Failure;
use endivereach_core::engine::statement::Outcome;
use endivereach_core::engine::statement::SessionState;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// The number of callers, more than the primary has connections for.
const CALLERS: usize = 4;

/// The number of lists of events in a run, unless `PROPTEST_CASES` states another one.
const CASES: u32 = 512;

#[derive(Clone, Debug)]
enum Event {
    /// A caller without an unanswered statement sends one.
    Send { caller: usize, kind: usize },
    /// The primary refuses its next statement as busy.
    Refuse,
    /// The primary refuses probes, or ceases to.
    RefuseProbes(bool),
    /// The primary sends an answer again, that of so many answers ago.
    Repeat { back: usize },
    /// The primary loses the answers to statements that it gives in the next moment.
    Lose,
    /// Time passes.
    Advance { millis: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (0..CALLERS, 0_usize..7)
            .prop_map(|(caller, kind)| Event::Send { caller, kind }),
        2 => Just(Event::Refuse),
        1 => any::<bool>().prop_map(Event::RefuseProbes),
        4 => (0_usize..8).prop_map(|back| Event::Repeat { back }),
        1 => Just(Event::Lose),
        5 => (1_u64..12).prop_map(|steps| Event::Advance { millis: steps * 5 }),
    ]
}

/// A run of a list of events.
struct Run {
    cluster: Cluster,
    callers: Vec<CallerId>,
    /// The unanswered statement of each caller: its request, and whether it writes.
    sent: BTreeMap<CallerId, (Box<str>, Body)>,
    /// The callers with an open transaction.
    open: BTreeSet<CallerId>,
    values: BTreeMap<CallerId, BTreeMap<Box<str>, Box<str>>>,
    /// The session values that each request must run with.
    expected: BTreeMap<Box<str>, BTreeMap<Box<str>, Box<str>>>,
    answers_seen: usize,
}

impl Run {
    /// Creates a run in which a repeated answer may have been seen before.
    fn new(has_seen_repetition: bool) -> Self {
        let mut cluster = contended_cluster(has_seen_repetition);
        let callers = (0..CALLERS).map(|_| cluster.caller("latest")).collect();
        Self {
            cluster,
            callers,
            sent: BTreeMap::new(),
            open: BTreeSet::new(),
            values: BTreeMap::new(),
            expected: BTreeMap::new(),
            answers_seen: 0,
        }
    }

    fn apply(&mut self, event: &Event) -> Result<(), TestCaseError> {
        match event {
            Event::Send { caller, kind } => {
                let caller = self.callers[*caller];
                if !self.sent.contains_key(&caller) {
                    let body = match kind {
                        0 => read(),
                        1 | 2 => write(),
                        3 => begin(),
                        4 | 5 => Body::Commit,
                        _ => Body::Set {
                            name: "zone".into(),
                            value: format!("v{}", self.cluster.next_request()).into(),
                        },
                    };
                    let in_transaction = self.open.contains(&caller);
                    if body == begin() && in_transaction || body == Body::Commit && !in_transaction
                    {
                        return Ok(());
                    }
                    let next = format!("q{}", self.cluster.next_request());
                    let values = self.values.get(&caller).cloned().unwrap_or_default();
                    self.expected.insert(next.as_str().into(), values);
                    self.sent.insert(caller, (next.into(), body));
                    self.cluster.send(caller, self.sent[&caller].1.clone());
                }
            }
            Event::Refuse => self.cluster.server("a").fails_with.push(Failure::Busy),
            Event::RefuseProbes(refuses) => self.cluster.server("a").refuses_probes = *refuses,
            Event::Repeat { back } => self.cluster.repeat_answer_before("a", *back),
            Event::Lose => {
                self.cluster.server("a").skips_answers = true;
                self.cluster.advance(25);
                self.cluster.server("a").skips_answers = false;
            }
            Event::Advance { millis } => self.cluster.advance(*millis),
        }
        self.check()
    }

    /// Checks the answers that callers were given since the last check.
    fn check(&mut self) -> Result<(), TestCaseError> {
        let answers = self.cluster.answers[self.answers_seen..].to_vec();
        self.answers_seen = self.cluster.answers.len();
        for (caller, answer) in answers {
            let (request, body) = self.sent.remove(&caller).unwrap();
            let was_open = self.open.contains(&caller);
            if answer.state == SessionState::Idle {
                self.open.remove(&caller);
            } else {
                self.open.insert(caller);
            }
            let writes = body == write();
            if let (Body::Set { name, value }, None) = (&body, answer.failure()) {
                let values = self.values.entry(caller).or_default();
                values.insert(name.clone(), value.clone());
            }
            if let Outcome::Done {
                receipt: Some(receipt),
            } = &answer.outcome
            {
                let given = self.cluster.given_answers.iter().find(|given| {
                    matches!(&given.answer.outcome, Outcome::Done { receipt: Some(own) } if own == receipt)
                });
                let command = given.map(|given| &given.command);
                let own = match command {
                    Some(Command::Run { request, .. } | Command::Commit { request }) => {
                        request.as_str()
                    }
                    _ => "none",
                };
                prop_assert_eq!(own, &*request, "the answer to {:?}", command);
            }
            if !was_open && (writes || body == read()) {
                prop_assert_eq!(
                    answer.state,
                    SessionState::Idle,
                    "{} in a transaction",
                    request
                );
            }
            if writes && !was_open {
                let executions = self.cluster.execution_count(&request);
                prop_assert!(executions <= 1, "{} ran {} times", request, executions);
                if answer.failure().is_some_and(Failure::is_not_run) {
                    prop_assert_eq!(executions, 0, "{} ran, but: {:?}", request, answer);
                }
            }
        }
        for executed in &self.cluster.executed {
            if let Some(expected) = self.expected.get(executed.request.as_str()) {
                prop_assert_eq!(
                    &executed.values,
                    expected,
                    "{} ran with other values",
                    executed.request
                );
            }
        }
        Ok(())
    }
}

fn run(events: &[Event], has_seen_repetition: bool) -> Result<(), TestCaseError> {
    let mut run = Run::new(has_seen_repetition);
    for event in events {
        run.apply(event)?;
    }
    run.apply(&Event::Advance { millis: 1_500 })
}

proptest! {
    #![proptest_config(config(CASES))]

    /// Guards against answers of other statements, writes that run twice, and promises that aren't
    /// kept, with servers that are known to repeat answers.
    #[test]
    fn every_answer_belongs_to_its_statement(events in prop::collection::vec(event(), 1..60)) {
        run(&events, true)?;
    }

    /// Guards against the same before a repetition has been recognized.
    #[test]
    fn every_answer_belongs_to_its_statement_from_the_first_repetition(
        events in prop::collection::vec(event(), 1..60)
    ) {
        run(&events, false)?;
    }
}
