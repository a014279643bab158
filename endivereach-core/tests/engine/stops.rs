//! Load: callers that go on while the process is stopped as planned.

use crate::cluster::Cluster;
use crate::cluster::Health;
use crate::cluster::begin;
use crate::cluster::read;
use crate::cluster::write;
use endivereach_core::cases;
use endivereach_core::engine::statement::Body;
use endivereach_core::engine::statement::CallerId;
use endivereach_core::engine::statement::Command;
use endivereach_core::engine::statement::Failure;
use std::time::Duration;

/// The time from the start of the stop until the process ends all sessions.
const STOP_MS: u64 = 5_100;

/// The latest time at which a statement is passed on: transactions have ended, and what was sent
/// before is answered.
const LAST_STATEMENT_MS: u64 = 3_000;

/// A caller that sends its statements over and over, each a pause after the answer to the one
/// before.
struct Repeater {
    caller: CallerId,
    script: Vec<(Body, u64)>,
    next: usize,
    wait_ms: u64,
    sent: usize,
}

impl Repeater {
    fn open(cluster: &mut Cluster, script: &[(Body, u64)]) -> Self {
        Self {
            caller: cluster.caller("session"),
            script: script.to_vec(),
            next: 0,
            wait_ms: 0,
            sent: 0,
        }
    }

    fn step(&mut self, cluster: &mut Cluster) {
        let answers = cluster.answers.iter();
        let answered = answers.filter(|(id, _)| *id == self.caller).count();
        if answered < self.sent || cluster.closed.contains(&self.caller) {
            return;
        }
        if self.wait_ms > 0 {
            self.wait_ms -= 1;
            return;
        }
        let (body, pause_ms) = self.script[self.next % self.script.len()].clone();
        self.next += 1;
        self.sent += 1;
        self.wait_ms = pause_ms;
        cluster.send(self.caller, body);
    }
}

fn is_statement(command: &Command) -> bool {
    matches!(
        command,
        Command::Run { .. } | Command::Execute { .. } | Command::Commit { .. }
    )
}

/// Guards against requests that are passed on and never answered: sessions that are never idle when
/// the timers are checked are served until the process exits.
fn check_busy_sessions_end(script: Vec<(Body, u64)>) {
    let mut cluster = Cluster::open();
    for server in cluster.servers.values_mut() {
        server.work = Duration::from_millis(14);
    }
    let mut repeaters: Vec<Repeater> = (0..8)
        .map(|_| Repeater::open(&mut cluster, &script))
        .collect();
    let began_at = cluster.now;
    cluster.engine.begin_drain(began_at);
    let statement_count = |cluster: &Cluster| {
        let commands = cluster.servers.values().flat_map(|s| &s.commands);
        commands.filter(|command| is_statement(command)).count()
    };
    let mut statements_in_time = 0;
    for ms in 0..STOP_MS {
        cluster.advance(1);
        for repeater in &mut repeaters {
            repeater.step(&mut cluster);
        }
        if ms == LAST_STATEMENT_MS {
            statements_in_time = statement_count(&cluster);
        }
    }
    assert!(statements_in_time > 100, "{statements_in_time} statements");
    assert_eq!(
        statement_count(&cluster),
        statements_in_time,
        "statements were passed on shortly before the exit"
    );
    assert_eq!(
        cluster.engine.caller_count(),
        0,
        "sessions are open when the process exits"
    );
    for repeater in &repeaters {
        let answers = cluster.answers.iter();
        let answered = answers.filter(|(id, _)| *id == repeater.caller).count();
        assert_eq!(answered, repeater.sent, "a statement got no answer");
    }
}

/// Returns a transaction that goes on for longer than a stop lets it.
fn long_transaction() -> Vec<(Body, u64)> {
    let writes = std::iter::repeat_n((write(), 0), 1_000);
    std::iter::once((begin(), 0)).chain(writes).collect()
}

cases! {
    check_busy_sessions_end;
    long_transactions: long_transaction();
    transactions_with_a_pause_after_begin: vec![(begin(), 200), (write(), 0), (Body::Commit, 0)];
    transactions_without_a_pause: vec![(begin(), 0), (write(), 0), (Body::Commit, 0)];
    writes: vec![(write(), 0)];
    reads: vec![(read(), 0)];
}

/// A transaction that has begun for its caller but on no server is aborted like the others.
#[test]
fn a_transaction_that_began_on_no_server_is_aborted() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("session");
    cluster.send_and_wait(caller, begin());
    cluster.engine.begin_drain(cluster.now);
    cluster.advance(LAST_STATEMENT_MS + 100);
    for server in cluster.servers.values_mut() {
        server.commands.clear();
    }
    let answer = cluster.send_and_wait(caller, Body::Commit);
    assert_eq!(answer.failure(), Some(&Failure::Aborted));
    let mut commands = cluster.servers.values().flat_map(|s| &s.commands);
    assert!(!commands.any(is_statement));
}

/// Guards against an exit that leaves statements without an answer, or with an untrue one.
fn check_answer_at_exit(statements: Vec<Body>, last: Body, expected: Failure) {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("session");
    for body in statements {
        cluster.send_and_wait(caller, body);
    }
    for server in cluster.servers.values_mut() {
        server.health = Health::Silent;
    }
    cluster.answers.clear();
    cluster.engine.begin_drain(cluster.now);
    cluster.send(caller, last);
    cluster.send(caller, Body::Commit);
    cluster.pause_process(STOP_MS);
    assert_eq!(cluster.engine.end_all_sessions(cluster.now), 1);
    cluster.process_effects();
    let failures: Vec<&Failure> = cluster
        .answers
        .iter()
        .filter_map(|(_, answer)| answer.failure())
        .collect();
    assert_eq!(failures.first(), Some(&&expected));
    assert_eq!(cluster.answers.len(), 2, "the pipelined statement too");
    assert_eq!(cluster.closed, [caller]);
    assert_eq!(cluster.engine.caller_count(), 0);
}

cases! {
    check_answer_at_exit;
    write_under_way: vec![], write(), Failure::InDoubt;
    read_under_way: vec![], read(), Failure::Busy;
    write_in_a_transaction: vec![begin(), write()], write(), Failure::Aborted;
    commit_under_way: vec![begin(), write()], Body::Commit, Failure::InDoubt;
    first_statement_of_a_transaction: vec![begin()], write(), Failure::Busy;
}
