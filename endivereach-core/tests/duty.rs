//! The promotion duty when the platform's store returns from a copy: random interleavings of
//! processes, lost and late answers, restarts, freezes and restores.
//!
//! Whatever happens, orders arrive with increasing tokens, and no two holders use the same token. Each
//! deliberately introduced bug must be found.

use endivereach_core::cases;
use endivereach_core::duty::Duty;
use endivereach_core::duty::DutyAction;
use endivereach_core::duty::DutyClaim;
use endivereach_core::duty::TAKEOVER_DELAY;
use endivereach_core::duty::WRITE_TIMEOUT;
use endivereach_core::engine::statement::FencingToken;
use endivereach_core::ids::Era;
use endivereach_core::ids::ProxyId;
use endivereach_core::ids::Version;
use endivereach_core::store_era::EraChange;
use endivereach_core::store_era::EraTracker;
use endivereach_core::store_era::StorePosition;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// The time between two steps of a run.
const STEP: Duration = Duration::from_millis(50);

/// The number of steps of a run: 20 s.
const STEPS: usize = 400;

/// The longest delay of a request, an answer or an order.
const DELAY_STEPS_MAX: usize = 8;

/// The oldest copy from which the store returns: 5 s.
const COPY_AGE_STEPS_MAX: usize = 100;

const PROCESSES: usize = 3;

/// A bug that is introduced on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Bug {
    /// The fencing token is the version, without its era.
    TokenWithoutEra,
    /// A holder keeps its lease when it sees a new era.
    LeaseOutlivesEra,
    /// An absent object is taken to show that no process holds the duty.
    AbsentObjectIsFree,
    /// Answers of earlier eras are used.
    OlderAnswersCount,
}

/// The object as the store keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct StoredObject {
    version: u64,
    claim: DutyClaim,
}

#[derive(Clone, Debug)]
struct StoreState {
    version: u64,
    object: Option<StoredObject>,
}

#[derive(Clone, Debug)]
enum Request {
    /// A list by the process's copy of the store, beside its calls for the duty.
    List,
    Read,
    Write {
        expected: Option<u64>,
        claim: DutyClaim,
    },
}

/// A message that arrives at a step.
#[derive(Clone, Debug)]
struct Message<T> {
    arrives_at: usize,
    process: usize,
    holder: ProxyId,
    content: T,
}

#[derive(Clone, Debug)]
struct Answer {
    era: Era,
    store_version: u64,
    object: Option<StoredObject>,
    is_conflict: bool,
    is_list: bool,
}

struct Process {
    id: ProxyId,
    duty: Duty,
    era: EraTracker,
    call_sent_at: Option<usize>,
    /// A process sends its next order after the last one has been answered.
    order_arrives_at: usize,
    frozen_until: usize,
}

impl Process {
    fn start(index: usize, incarnation: u64) -> Self {
        let id: ProxyId = format!("entry-{index}#{incarnation}").parse().unwrap();
        Self {
            duty: Duty::new(id.clone()),
            id,
            era: EraTracker::default(),
            call_sent_at: None,
            order_arrives_at: 0,
            frozen_until: 0,
        }
    }
}

/// An order as the platform receives it.
#[derive(Clone, Debug)]
struct Order {
    token: FencingToken,
    holder: ProxyId,
}

struct Run {
    rng: TestRng,
    bug: Option<Bug>,
    start: Instant,
    step: usize,
    era: u64,
    store: StoreState,
    /// Earlier states of the store, newest first, one for each step.
    copies: VecDeque<StoreState>,
    processes: Vec<Process>,
    incarnations: u64,
    requests: Vec<Message<Request>>,
    answers: Vec<Message<Answer>>,
    orders: Vec<Message<FencingToken>>,
    last_order: Option<Order>,
    violation: Option<String>,
    orders_received: usize,
}

fn below(rng: &mut TestRng, bound: usize) -> usize {
    use proptest::prelude::Rng;
    (rng.next_u64() % bound as u64) as usize
}

/// Removes the messages that arrive at a step.
fn take_due<T: Clone>(messages: &mut Vec<Message<T>>, step: usize) -> Vec<Message<T>> {
    let (due, later) = messages
        .drain(..)
        .partition(|message| message.arrives_at <= step);
    *messages = later;
    due
}

impl Run {
    fn new(seed: u64, bug: Option<Bug>) -> Self {
        let mut bytes = [0; 32];
        bytes[..8].copy_from_slice(&seed.to_le_bytes());
        let store = StoreState {
            version: 10,
            object: None,
        };
        Self {
            rng: TestRng::from_seed(RngAlgorithm::ChaCha, &bytes),
            bug,
            start: Instant::now(),
            step: 0,
            era: 1,
            copies: VecDeque::from([store.clone()]),
            store,
            processes: (0..PROCESSES)
                .map(|index| Process::start(index, 0))
                .collect(),
            incarnations: 0,
            requests: Vec::new(),
            answers: Vec::new(),
            orders: Vec::new(),
            last_order: None,
            violation: None,
            orders_received: 0,
        }
    }

    fn now(&self) -> Instant {
        self.start + STEP * u32::try_from(self.step).unwrap()
    }

    fn one_in(&mut self, bound: usize) -> bool {
        below(&mut self.rng, bound) == 0
    }

    fn delay(&mut self) -> usize {
        1 + below(&mut self.rng, DELAY_STEPS_MAX)
    }

    /// Runs to the end or to the first violation.
    fn run(mut self) -> Self {
        while self.step < STEPS && self.violation.is_none() {
            self.step += 1;
            self.disturb();
            for request in take_due(&mut self.requests, self.step) {
                self.carry_out(request);
            }
            for answer in take_due(&mut self.answers, self.step) {
                self.receive(answer);
            }
            for order in take_due(&mut self.orders, self.step) {
                self.check_order(order);
            }
            for index in 0..PROCESSES {
                self.act(index);
            }
            self.copies.push_front(self.store.clone());
            self.copies.truncate(COPY_AGE_STEPS_MAX);
        }
        self
    }

    fn disturb(&mut self) {
        if self.one_in(60) {
            let age = below(&mut self.rng, self.copies.len());
            self.store = self.copies[age].clone();
            self.era += 1;
            // Other objects are written again, so versions may pass those that were lost.
            self.store.version += below(&mut self.rng, 4) as u64;
        }
        let index = below(&mut self.rng, PROCESSES);
        if self.one_in(80) {
            self.incarnations += 1;
            self.processes[index] = Process::start(index, self.incarnations);
        }
        if self.one_in(80) {
            self.processes[index].frozen_until = self.step + below(&mut self.rng, 40);
        }
    }

    fn carry_out(&mut self, request: Message<Request>) {
        let mut is_conflict = false;
        if let Request::Write { expected, claim } = &request.content {
            let current = self.store.object.as_ref().map(|object| object.version);
            is_conflict = current != *expected;
            if !is_conflict {
                self.store.version += 1;
                self.store.object = Some(StoredObject {
                    version: self.store.version,
                    claim: claim.clone(),
                });
            }
        }
        if self.one_in(6) {
            return;
        }
        let answer = Answer {
            era: Era::new(self.era),
            store_version: self.store.version,
            object: self.store.object.clone(),
            is_conflict,
            is_list: matches!(request.content, Request::List),
        };
        let arrives_at = self.step + self.delay();
        self.answers.push(Message {
            arrives_at,
            process: request.process,
            holder: request.holder,
            content: answer,
        });
    }

    fn receive(&mut self, answer: Message<Answer>) {
        let now = self.now();
        let bug = self.bug;
        let process = &mut self.processes[answer.process];
        let is_open = answer.content.is_list || process.call_sent_at.is_some();
        if !is_open || process.id != answer.holder || self.step < process.frozen_until {
            return;
        }
        let answer = answer.content;
        if !answer.is_list {
            process.call_sent_at = None;
        }
        match process.era.observe(answer.era) {
            EraChange::Unchanged => {}
            EraChange::Older if bug == Some(Bug::OlderAnswersCount) => {}
            EraChange::Older => return,
            EraChange::Newer { .. } if bug == Some(Bug::LeaseOutlivesEra) => {}
            EraChange::Newer { .. } => process.duty.enter_era(),
        }
        let era = match bug {
            Some(Bug::TokenWithoutEra) => Era::default(),
            _ => process.era.current(),
        };
        let position = |version| StorePosition {
            era,
            version: Version::new(version),
        };
        let Some(object) = answer.object else {
            let since = match bug {
                Some(Bug::AbsentObjectIsFree) => now - TAKEOVER_DELAY,
                _ => now,
            };
            if answer.is_list {
                let listed = position(answer.store_version);
                process.duty.record_unlisted(listed, since);
            } else {
                process.duty.record_absent(since);
            }
            return;
        };
        let version = position(object.version);
        if answer.is_conflict {
            process.duty.record_conflict(version, object.claim, now);
        } else {
            process.duty.record_holder(version, object.claim, now);
        }
        if !answer.is_list {
            process.duty.record_write_failed();
        }
    }

    /// Orders under the duty, or does the next step towards it.
    fn act(&mut self, index: usize) {
        let now = self.now();
        let arrives_at = self.step + self.delay();
        let lists = self.one_in(8);
        let process = &mut self.processes[index];
        if self.step < process.frozen_until {
            return;
        }
        if lists {
            self.requests.push(Message {
                arrives_at,
                process: index,
                holder: process.id.clone(),
                content: Request::List,
            });
        }
        if let Some(lease) = process.duty.held(now) {
            if self.step <= process.order_arrives_at {
                return;
            }
            process.order_arrives_at = arrives_at;
            let order = Message {
                arrives_at,
                process: index,
                holder: process.id.clone(),
                content: lease.token,
            };
            self.orders.push(order);
            return;
        }
        let timeout_steps = usize::try_from(WRITE_TIMEOUT.as_millis() / STEP.as_millis()).unwrap();
        if process
            .call_sent_at
            .is_some_and(|sent_at| self.step < sent_at + timeout_steps)
        {
            return;
        }
        let content = match process.duty.step(now) {
            DutyAction::Wait => return,
            DutyAction::Read => Request::Read,
            DutyAction::Write { expected } => Request::Write {
                expected: expected.map(Version::get),
                claim: process.duty.record_write_sent(now),
            },
        };
        process.call_sent_at = Some(self.step);
        self.requests.push(Message {
            arrives_at,
            process: index,
            holder: process.id.clone(),
            content,
        });
    }

    fn check_order(&mut self, order: Message<FencingToken>) {
        self.orders_received += 1;
        let (token, holder) = (order.content, order.holder);
        if let Some(last) = &self.last_order {
            let is_lower = token < last.token;
            let is_shared = token == last.token && holder != last.holder;
            if is_lower || is_shared {
                self.violation = Some(format!("{token} by {holder} after {last:?}"));
            }
        }
        self.last_order = Some(Order { token, holder });
    }
}

/// The number of runs in which every bug is found.
const RUNS: u64 = 400;

#[test]
fn orders_have_increasing_tokens_whatever_the_store_lost() {
    let mut orders = 0;
    for seed in 0..RUNS * 5 {
        let run = Run::new(seed, None).run();
        orders += run.orders_received;
        assert_eq!(run.violation, None, "seed {seed}, era {}", run.era);
    }
    assert!(orders > 10_000, "only {orders} orders were given");
}

fn check_bug_is_found(bug: Bug) {
    let found = (0..RUNS).find(|seed| Run::new(*seed, Some(bug)).run().violation.is_some());
    assert!(found.is_some(), "{bug:?} wasn't found in {RUNS} runs");
}

cases! {
    check_bug_is_found;
    a_token_without_its_era_is_found: Bug::TokenWithoutEra;
    a_lease_that_outlives_its_era_is_found: Bug::LeaseOutlivesEra;
    a_duty_taken_because_the_object_is_absent_is_found: Bug::AbsentObjectIsFree;
    an_answer_of_an_earlier_era_is_found: Bug::OlderAnswersCount;
}

fn position(era: u64, version: u64) -> StorePosition {
    StorePosition {
        era: Era::new(era),
        version: Version::new(version),
    }
}

/// The copy may name this process as the holder although another one took the duty later.
#[test]
fn a_holder_that_the_copy_names_waits_like_every_other_process() {
    let now = Instant::now();
    let own: ProxyId = "entry-1#7".parse().unwrap();
    let mut duty = Duty::new(own);
    duty.record_absent(now - TAKEOVER_DELAY);
    let claim = duty.record_write_sent(now);
    duty.record_holder(position(1, 9), claim.clone(), now);
    assert!(duty.held(now).is_some());
    duty.enter_era();
    assert!(duty.held(now).is_none());
    duty.record_holder(position(2, 9), claim, now);
    assert!(duty.held(now).is_none(), "the lease was of the lost era");
    assert_eq!(duty.step(now), DutyAction::Wait);
    let expected = Some(Version::new(9));
    let later = now + TAKEOVER_DELAY;
    assert_eq!(duty.step(later), DutyAction::Write { expected });
}

/// A write of the lost era may be carried out in the new one, on an object that was given the same
/// version.
#[test]
fn a_write_that_a_restore_overtook_gives_no_lease() {
    let now = Instant::now();
    let own: ProxyId = "entry-1#7".parse().unwrap();
    let mut duty = Duty::new(own);
    duty.record_absent(now - TAKEOVER_DELAY);
    let claim = duty.record_write_sent(now);
    duty.enter_era();
    duty.record_holder(position(2, 9), claim, now);
    assert!(duty.held(now).is_none());
    assert_eq!(duty.step(now), DutyAction::Wait);
}

#[test]
fn a_list_from_before_the_write_does_not_end_the_duty() {
    let now = Instant::now();
    let own: ProxyId = "entry-1#7".parse().unwrap();
    let mut duty = Duty::new(own);
    duty.record_absent(now - TAKEOVER_DELAY);
    let claim = duty.record_write_sent(now);
    duty.record_holder(position(1, 9), claim, now);
    duty.record_unlisted(position(1, 8), now);
    let expected = Some(Version::new(9));
    assert_eq!(duty.step(now), DutyAction::Write { expected }, "a renewal");
}

fn check_token(era: u64, version: u64, expected: Option<u64>) {
    let token = position(era, version).token();
    assert_eq!(token, expected.map(FencingToken::new));
}

cases! {
    check_token;
    a_token_of_the_first_era_is_the_version: 0, 41, Some(41);
    a_token_contains_its_era: 1, 41, Some((1 << 40) + 41);
    the_highest_token_is_an_exact_float: 8_191, (1 << 40) - 1, Some((1 << 53) - 1);
    an_era_out_of_range_gives_no_token: 8_192, 41, None;
    a_version_out_of_range_gives_no_token: 1, 1 << 40, None;
}

/// Hand-over: a write whose answer was lost takes effect late, and another process has waited for
/// the holder that it names. The answer to the next write, which is rejected, must not start a lease
/// that lasts beyond that wait.
#[test]
fn a_write_that_takes_effect_late_gives_no_new_lease() {
    let now = Instant::now();
    let mut first = Duty::new("entry-1#7".parse().unwrap());
    let mut second = Duty::new("entry-2#8".parse().unwrap());
    first.record_absent(now - TAKEOVER_DELAY);
    let late_claim = first.record_write_sent(now);
    let unanswered = now + WRITE_TIMEOUT;
    first.record_absent(unanswered);
    // The late write is carried out, and the second process sees it.
    second.record_holder(position(1, 9), late_claim.clone(), unanswered);
    let takeover = unanswered + TAKEOVER_DELAY;
    let rejected = takeover - STEP;
    first.record_write_sent(rejected);
    first.record_conflict(position(1, 9), late_claim, rejected);
    let expected = Some(Version::new(9));
    assert_eq!(second.step(takeover), DutyAction::Write { expected });
    assert!(first.held(takeover).is_none(), "both would hold the duty");
}

/// The number of calls in a period by processes that the platform refuses.
fn refused_calls(processes: u32, period: Duration) -> u32 {
    let start = Instant::now();
    let id: ProxyId = "entry-1#7".parse().unwrap();
    let mut calls = 0;
    for process in 0..processes {
        let mut duty = Duty::new(id.clone());
        let mut now = start;
        while now < start + period {
            if duty.step(now) != DutyAction::Wait {
                calls += 1;
                duty.record_refused(now, f64::from(process) / f64::from(processes));
            }
            now += STEP;
        }
    }
    calls
}

/// Load: the platform turns some proxies away while a group has no primary. Their calls don't use
/// up the platform's rate, which the other proxies need.
fn check_refused_calls(processes: u32, per_process_max: u32) {
    let calls = refused_calls(processes, Duration::from_secs(4));
    let max = processes * per_process_max;
    assert!(calls <= max, "{calls} calls by {processes} processes");
}

cases! {
    check_refused_calls;
    six_refused_proxies_call_rarely: 6, 8;
    three_hundred_refused_proxies_call_rarely: 300, 8;
}
