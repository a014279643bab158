//! Explores orders of fences, restarts, joins, writes and promotions: no commit that was passed on to
//! its caller is missing from the promoted log. Each guard that is taken out must be found.
//!
//! The model has one group with an old primary that the promoter can't reach, and one proxy that
//! reaches it. The decisions are the program's own: `commit_safety`, `Continuity` and `Promoter`.
//! `PROPTEST_CASES` sets the number of lists of events.

use endivereach_core::cases;
use endivereach_core::commit_safety::Continuity;
use endivereach_core::commit_safety::GroupState;
use endivereach_core::commit_safety::PROMOTION_DURATION_MAX;
use endivereach_core::commit_safety::Replica;
use endivereach_core::commit_safety::Safety;
use endivereach_core::commit_safety::commit_safety;
use endivereach_core::ids::Position;
use endivereach_core::ids::Term;
use endivereach_core::promotion::Action;
use endivereach_core::promotion::Answer;
use endivereach_core::promotion::Call;
use endivereach_core::promotion::Promoter;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestError;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;

/// The number of servers at the start: the old primary `0` and two replicas.
const SERVERS: usize = 3;

/// The timeout of fencing, as in the engine.
const FENCE_TIMEOUT: Duration = Duration::from_millis(800);

/// The time for which a crashed server is down.
const DOWN_TIME: Duration = Duration::from_millis(200);

/// The time from the start of a server until the proxy lists it.
const LISTING_DELAY: Duration = Duration::from_millis(300);

/// The longest list of events.
const STEPS_MAX: usize = 24;

/// A guard that is taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Bug {
    /// A member that restarted counts as one that kept running.
    IgnoreRestarts,
    /// A member that joined counts as one that has been running.
    IgnoreJoins,
    /// A write for the duty isn't a sign of a promotion.
    IgnoreDuty,
    /// The primary's own copy is proof enough.
    CountOneCopyLess,
    /// Members that restarted count as proof.
    CountRestartedCopies,
}

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Write,
    Fence(usize),
    Restart(usize),
    Lag(usize, bool),
    Join,
    TakeEffect,
}

#[derive(Clone, Debug)]
struct Server {
    log_end: u64,
    is_fenced: bool,
    lags: bool,
    up_at: Instant,
    /// When the proxy lists the server after its last start, and whether it has done so.
    listed_at: Instant,
    is_listed: bool,
    continuity: Continuity,
}

struct Model {
    bug: Option<Bug>,
    now: Instant,
    servers: Vec<Server>,
    /// The attempt, with its start and its members.
    promoter: Option<(Promoter<usize>, Instant, Vec<usize>)>,
    candidate: Option<usize>,
    duty_changed_at: Option<Instant>,
    held: Vec<u64>,
    /// The newest commit that was passed on.
    passed_on: u64,
}

impl Model {
    fn new(bug: Option<Bug>) -> Self {
        let now = Instant::now();
        let server = Server {
            log_end: 1,
            is_fenced: false,
            lags: false,
            up_at: now,
            listed_at: now,
            is_listed: true,
            continuity: Continuity::established(now),
        };
        Self {
            bug,
            now,
            servers: vec![server; SERVERS],
            promoter: None,
            candidate: None,
            duty_changed_at: None,
            held: Vec::new(),
            passed_on: 1,
        }
    }

    /// Returns whether the promotion took effect without a commit that was passed on.
    fn apply(&mut self, step: &Step) -> bool {
        match *step {
            Step::Wait(millis) => self.now += Duration::from_millis(millis),
            Step::Write => self.write(),
            Step::Fence(server) => self.fence(server),
            Step::Restart(server) => self.restart(server),
            Step::Lag(server, lags) => {
                if server > 0 && server < self.servers.len() {
                    self.servers[server].lags = lags;
                }
            }
            Step::Join => self.join(),
            Step::TakeEffect => {
                let is_in_time = self
                    .duty_changed_at
                    .is_some_and(|at| self.now < at + PROMOTION_DURATION_MAX);
                if let Some(candidate) = self.candidate.filter(|_| is_in_time) {
                    return self.servers[candidate].log_end < self.passed_on;
                }
            }
        }
        self.update();
        false
    }

    /// The old primary commits, and acknowledges what a replica has.
    fn write(&mut self) {
        self.servers[0].log_end += 1;
    }

    /// The promoter fences a server that it reaches. It has written the duty before.
    fn fence(&mut self, server: usize) {
        if server == 0 || server >= self.servers.len() || self.now < self.servers[server].up_at {
            return;
        }
        let start = self.now;
        // The members of an attempt are those that are listed when it starts.
        let listed = self.servers.iter().enumerate();
        let listed = listed.filter(|(index, server)| *index < SERVERS || server.is_listed);
        let members: Vec<usize> = listed.map(|(index, _)| index).collect();
        let (promoter, started_at, members) = self.promoter.get_or_insert_with(|| {
            let quorum = members.len() - 1;
            let (promoter, _) =
                Promoter::start_with_quorum(Term::new(2), members.clone(), quorum, vec![0]);
            (promoter, start, members)
        });
        if !members.contains(&server) {
            return;
        }
        self.duty_changed_at.get_or_insert(start);
        if self.now >= *started_at + FENCE_TIMEOUT || self.candidate.is_some() {
            return;
        }
        self.servers[server].is_fenced = true;
        let position = Position::new(1, self.servers[server].log_end);
        for action in promoter.step(server, Call::Fence, Answer::Done(position)) {
            if let Action::Call {
                call: Call::Promote,
                member,
            } = action
            {
                self.candidate = Some(member);
            }
        }
    }

    fn restart(&mut self, index: usize) {
        // A promotion of a server that has gone doesn't take effect.
        if index == 0 || index >= self.servers.len() || self.candidate == Some(index) {
            return;
        }
        let up_at = self.now + DOWN_TIME;
        let server = &mut self.servers[index];
        server.is_fenced = false;
        server.up_at = up_at;
        server.listed_at = up_at + LISTING_DELAY;
        server.is_listed = false;
        if self.bug != Some(Bug::IgnoreRestarts) {
            server.continuity.record_loss();
        }
    }

    fn join(&mut self) {
        if self.servers.len() > SERVERS {
            return;
        }
        let joined = Server {
            is_fenced: false,
            lags: false,
            up_at: self.now,
            listed_at: self.now + LISTING_DELAY,
            is_listed: false,
            continuity: Continuity::default(),
            ..self.servers[0].clone()
        };
        self.servers.push(joined);
    }

    /// Replicates, lists servers, and decides on commits that the primary has acknowledged.
    fn update(&mut self) {
        let primary_end = self.servers[0].log_end;
        for (index, server) in self.servers.iter_mut().enumerate() {
            if self.now >= server.up_at && !server.is_fenced && !server.lags {
                server.log_end = primary_end;
            }
            if !server.is_listed && self.now >= server.listed_at {
                server.is_listed = true;
                server.continuity = match self.bug {
                    Some(Bug::IgnoreRestarts) if index < SERVERS => server.continuity,
                    Some(Bug::IgnoreJoins) if index >= SERVERS => Continuity::established(self.now),
                    _ => Continuity::started_at(self.now),
                };
            }
        }
        let acknowledged = self.servers[1..].iter().map(|s| s.log_end).max();
        let acknowledged = acknowledged.unwrap_or_default().min(primary_end);
        let newest = self.held.last().copied().unwrap_or(self.passed_on);
        self.held.extend(newest + 1..=acknowledged);
        let safe = std::mem::take(&mut self.held);
        for commit in safe {
            if self.is_safe(commit) {
                self.passed_on = self.passed_on.max(commit);
            } else {
                self.held.push(commit);
            }
        }
    }

    fn is_safe(&self, commit: u64) -> bool {
        let is_duty_in_use = self
            .duty_changed_at
            .is_some_and(|at| self.now < at + PROMOTION_DURATION_MAX);
        let known = self.servers.iter().enumerate();
        let known = known.filter(|(index, server)| *index < SERVERS || server.is_listed);
        let members: Vec<Replica> = known
            .map(|(index, server)| Replica {
                has_commit: index == 0 || (server.is_listed && server.log_end >= commit),
                keeps_fences: server.continuity.keeps_fences(self.now)
                    || self.bug == Some(Bug::CountRestartedCopies),
            })
            .collect();
        let state = GroupState {
            sync_replicas: u32::from(self.bug != Some(Bug::CountOneCopyLess)),
            highest_term: Term::new(1),
            has_promotion_sign: is_duty_in_use && self.bug != Some(Bug::IgnoreDuty),
            is_complete: true,
        };
        commit_safety(state, Position::new(1, commit), &members) == Safety::Safe
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (1_u64..400).prop_map(Step::Wait),
        4 => Just(Step::Write),
        3 => (1..=SERVERS).prop_map(Step::Fence),
        2 => (1..=SERVERS).prop_map(Step::Restart),
        1 => (1..=SERVERS, any::<bool>()).prop_map(|(server, lags)| Step::Lag(server, lags)),
        1 => Just(Step::Join),
        2 => Just(Step::TakeEffect),
    ];
    vec(step, 1..STEPS_MAX)
}

/// Returns the shortest list of events found after which a commit is lost.
fn search(bug: Option<Bug>) -> Option<Vec<Step>> {
    let config = Config {
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, random);
    let lists = Cell::new(0_u32);
    let result = runner.run(&steps(), |steps| {
        lists.set(lists.get() + 1);
        let mut model = Model::new(bug);
        let is_lost = steps.iter().any(|step| model.apply(step));
        prop_assert!(!is_lost);
        Ok(())
    });
    println!(
        "{bug:?}: {} lists of events, with those that shorten one",
        lists.get()
    );
    match result {
        Ok(()) => None,
        Err(TestError::Fail(_, steps)) => Some(steps),
        Err(TestError::Abort(reason)) => panic!("{reason}"),
    }
}

#[test]
fn no_commit_that_was_passed_on_is_lost() {
    assert!(search(None).is_none_or(|steps| panic!("a commit is lost after {steps:#?}")));
}

fn check_found(bug: Bug) {
    let steps = search(Some(bug)).unwrap_or_else(|| panic!("{bug:?} isn't found"));
    println!("{steps:?}");
}

cases! {
    check_found;
    a_fence_lost_by_a_restart: Bug::IgnoreRestarts;
    a_server_that_joins: Bug::IgnoreJoins;
    an_unlisted_server: Bug::IgnoreDuty;
    a_copy_too_few: Bug::CountOneCopyLess;
    a_copy_without_a_fence: Bug::CountRestartedCopies;
}
