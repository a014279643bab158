//! Explores orders in which answers are refused, lost, repeated and late while connections change
//! hands.

use crate::cluster::Cluster;
use crate::cluster::read;
use crate::cluster::write;
use crate::repetition::config;
use crate::repetition::contended_cluster;
use endivereach_core::engine::statement::CallerId;
use endivereach_core::engine::statement::Command;
use endivereach_core::engine::statement::Failure;
use endivereach_core::engine::statement::Outcome;
use proptest::prelude::*;
use std::collections::BTreeMap;

/// The number of callers, more than the primary has connections for.
const CALLERS: usize = 4;

/// The number of lists of events in a run, unless `PROPTEST_CASES` states another one.
const CASES: u32 = 256;

#[derive(Clone, Debug)]
enum Event {
    /// A caller without an unanswered statement sends one.
    Send { caller: usize, writes: bool },
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
        5 => (0..CALLERS, any::<bool>())
            .prop_map(|(caller, writes)| Event::Send { caller, writes }),
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
    sent: BTreeMap<CallerId, (Box<str>, bool)>,
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
            answers_seen: 0,
        }
    }

    fn apply(&mut self, event: &Event) -> Result<(), TestCaseError> {
        match event {
            Event::Send { caller, writes } => {
                let caller = self.callers[*caller];
                if !self.sent.contains_key(&caller) {
                    let body = if *writes { write() } else { read() };
                    let next = format!("q{}", self.cluster.next_request());
                    self.sent.insert(caller, (next.into(), *writes));
                    self.cluster.send(caller, body);
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
            let (request, writes) = self.sent.remove(&caller).unwrap();
            match &answer.outcome {
                Outcome::Done { receipt } => {
                    let given = self.cluster.given_answers.iter().find(|given| {
                        matches!(&given.answer.outcome, Outcome::Done { receipt: own }
                            if own.is_some() && own == receipt)
                    });
                    let command = given.map(|given| &given.command);
                    prop_assert!(
                        matches!(command, Some(Command::Run { request: own, .. })
                            if own.as_str() == &*request),
                        "{request} got the answer to {command:?}"
                    );
                }
                Outcome::Failed { failure, .. } if writes && failure.is_not_run() => {
                    prop_assert_eq!(
                        self.cluster.execution_count(&request),
                        0,
                        "{} ran, but its caller was told {}",
                        request,
                        failure
                    );
                }
                Outcome::Failed { .. } => {}
            }
            if writes {
                let executions = self.cluster.execution_count(&request);
                prop_assert!(executions <= 1, "{request} ran {executions} times");
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
