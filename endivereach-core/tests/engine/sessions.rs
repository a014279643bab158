//! Tests that sessions share connections and keep separate state.

use crate::cluster::Cluster;
use crate::cluster::Health;
use crate::cluster::begin;
use crate::cluster::commands_without_probes;
use crate::cluster::read;
use crate::cluster::served_by;
use crate::cluster::write;
use endivereach_core::engine::Engine;
use endivereach_core::engine::Location;
use endivereach_core::engine::SessionStart;
use endivereach_core::engine::statement::Access;
use endivereach_core::engine::statement::Body;
use endivereach_core::engine::statement::CallerId;
use endivereach_core::engine::statement::Command;
use endivereach_core::engine::statement::ConnectionId;
use endivereach_core::engine::statement::Failure;
use endivereach_core::engine::statement::PreparedStatement;
use endivereach_core::engine::statement::SessionState;
use std::collections::BTreeSet;
use std::time::Duration;

fn set(name: &str, value: &str) -> Body {
    Body::Set {
        name: name.into(),
        value: value.into(),
    }
}

/// Sessions with different values use the same connections in turn.
#[test]
fn each_session_runs_under_its_own_values_only() {
    let mut cluster = Cluster::open();
    let sessions: Vec<CallerId> = (0..6).map(|_| cluster.caller("session")).collect();
    let values_of = |at: usize| match at % 3 {
        0 => Vec::new(),
        1 => vec![("unit", "tonne")],
        _ => vec![("unit", "bag"), ("zone", "south")],
    };
    for (at, session) in sessions.iter().enumerate() {
        for (name, value) in values_of(at) {
            cluster.send_and_wait(*session, set(name, value));
        }
    }
    for _ in 0..3 {
        for (at, session) in sessions.iter().enumerate() {
            cluster.send_and_wait(*session, write());
            let expected = values_of(at).into_iter();
            let expected = expected.map(|(name, value)| (name.into(), value.into()));
            let executed = cluster.executed.last().unwrap();
            assert_eq!(executed.values, expected.collect());
        }
    }
    let connections: BTreeSet<ConnectionId> = cluster
        .executed
        .iter()
        .map(|executed| executed.connection)
        .collect();
    assert!(
        connections.len() < sessions.len(),
        "no connection was shared"
    );
}

#[test]
fn the_same_name_in_two_sessions_runs_each_sessions_own_statement() {
    let mut cluster = Cluster::open();
    let prepare = |text: &str| Body::Prepare {
        name: "s1".into(),
        definition: PreparedStatement {
            access: Access::Write,
            text: text.into(),
        },
    };
    let execute = || Body::Execute {
        name: "s1".into(),
        arguments: "1 x".into(),
    };
    let first = cluster.caller("session");
    let second = cluster.caller("session");
    cluster.send_and_wait(first, prepare("one"));
    cluster.send_and_wait(second, prepare("two"));
    for caller in [first, second, first, second] {
        cluster.send_and_wait(caller, execute());
    }
    let mut names = std::collections::BTreeMap::new();
    let mut executed = Vec::new();
    for command in commands_without_probes(&cluster.servers["a"]) {
        match command {
            Command::Prepare { name, definition } => {
                names.insert(name.clone(), definition.text.clone());
            }
            Command::Execute { name, .. } => executed.push(names[name].clone()),
            _ => {}
        }
    }
    let executed: Vec<&str> = executed.iter().map(AsRef::as_ref).collect();
    assert_eq!(executed, ["one", "two", "one", "two"]);
}

#[test]
fn an_unknown_prepared_name_is_refused() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("session");
    let execute = Body::Execute {
        name: "s1".into(),
        arguments: "1".into(),
    };
    let answer = cluster.send_and_wait(caller, execute);
    assert_eq!(answer.failure(), Some(&Failure::UnknownPrepared));
}

#[test]
fn a_transaction_keeps_its_connection_while_other_sessions_run() {
    let mut cluster = Cluster::open();
    let first = cluster.caller("session");
    let second = cluster.caller("session");
    cluster.send_and_wait(first, begin());
    cluster.send_and_wait(first, write());
    served_by(&cluster.send_and_wait(second, write()));
    served_by(&cluster.send_and_wait(first, write()));
    let answer = cluster.send_and_wait(first, Body::Commit);
    assert_eq!(served_by(&answer), "a");
    assert_eq!(answer.state, SessionState::Idle);
}

#[test]
fn a_statement_in_a_failed_transaction_is_malformed_until_it_ends() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("session");
    cluster.send_and_wait(caller, begin());
    cluster.send_and_wait(caller, write());
    cluster.disconnect("a");
    let answer = cluster.send_and_wait(caller, read());
    assert_eq!(answer.failure(), Some(&Failure::Malformed));
    assert_eq!(answer.state, SessionState::Failed);
    let answer = cluster.send_and_wait(caller, Body::Commit);
    assert_eq!(answer.failure(), Some(&Failure::Aborted));
    assert_eq!(answer.state, SessionState::Idle);
}

#[test]
fn an_idle_transaction_is_rolled_back_after_its_timeout() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("session");
    cluster.send_and_wait(caller, begin());
    cluster.send_and_wait(caller, write());
    cluster.server("a").commands.clear();
    cluster.advance(3_200);
    assert!(cluster.servers["a"].commands.contains(&Command::Rollback));
    let answer = cluster.send_and_wait(caller, Body::Commit);
    assert_eq!(answer.failure(), Some(&Failure::Aborted));
}

#[test]
fn the_transaction_of_a_disconnected_caller_is_rolled_back() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("session");
    cluster.send_and_wait(caller, begin());
    cluster.send_and_wait(caller, write());
    cluster.server("a").commands.clear();
    cluster.engine.caller_disconnected(cluster.now, caller);
    cluster.process_effects();
    assert!(cluster.servers["a"].commands.contains(&Command::Rollback));
    let other = cluster.caller("session");
    served_by(&cluster.send_and_wait(other, write()));
}

#[test]
fn a_planned_stop_disconnects_callers_only_once_they_are_idle() {
    let mut cluster = Cluster::open();
    let idle = cluster.caller("aged");
    let active = cluster.caller("session");
    cluster.send_and_wait(active, begin());
    cluster.engine.begin_drain(cluster.now);
    cluster.advance(2_000);
    assert!(
        cluster.closed.is_empty(),
        "callers were disconnected while the load balancer still sends new ones"
    );
    served_by(&cluster.send_and_wait(active, write()));
    cluster.advance(500);
    assert_eq!(cluster.closed, [idle]);
    served_by(&cluster.send_and_wait(active, Body::Commit));
    cluster.advance(100);
    assert!(cluster.closed.contains(&active));
}

#[test]
fn a_statement_that_no_server_can_run_is_refused_before_its_timeout() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("session");
    for name in ["a", "b", "c"] {
        cluster.server(name).health = Health::Down;
        cluster.disconnect(name);
    }
    let sent_at = cluster.now;
    let answer = cluster.send_and_wait(caller, write());
    assert_eq!(answer.failure(), Some(&Failure::Busy));
    assert!(cluster.now - sent_at < Duration::from_millis(800));
}

/// A process without routes doesn't know yet whether a database exists.
#[test]
fn no_database_is_rejected_before_the_routes_are_known() {
    let now = std::time::Instant::now();
    let location = Location {
        proxy: "front-1".into(),
        zone: "north".into(),
        region: "coast".into(),
    };
    let mut engine = Engine::new(location, now);
    let id = CallerId::new(1);
    engine.caller_opened(now, id);
    assert_eq!(
        engine.caller_started(id, "aged".into(), None),
        SessionStart::Wait
    );
    let mut cluster = Cluster::open();
    cluster.engine.caller_opened(cluster.now, CallerId::new(99));
    let unknown = cluster
        .engine
        .caller_started(CallerId::new(99), "none".into(), None);
    assert_eq!(unknown, SessionStart::NoDatabase);
}

/// Load: transactions of prepared statements on a primary in another zone. Each statement costs one
/// round trip, also the first with its definition on a connection.
#[test]
fn a_prepared_statement_is_sent_right_behind_its_preparation() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("session");
    cluster.send_and_wait(caller, begin());
    cluster.send_and_wait(caller, write());
    let definition = PreparedStatement {
        access: Access::Write,
        text: "shape".into(),
    };
    let prepare = Body::Prepare {
        name: "s1".into(),
        definition,
    };
    cluster.send_and_wait(caller, prepare);
    cluster.server("a").commands.clear();
    cluster.server("a").health = Health::Silent;
    let execute = Body::Execute {
        name: "s1".into(),
        arguments: "1 x".into(),
    };
    cluster.send(caller, execute);
    assert!(
        matches!(
            commands_without_probes(&cluster.servers["a"])[..],
            [Command::Prepare { .. }, Command::Execute { .. }]
        ),
        "{:?}",
        cluster.servers["a"].commands
    );
    cluster.server("a").health = Health::Good;
    cluster.advance(10);
    let executes = commands_without_probes(&cluster.servers["a"]);
    let executes = executes
        .iter()
        .filter(|command| matches!(command, Command::Execute { .. }));
    assert_eq!(executes.count(), 1, "the statement was sent twice");
    let (_, answer) = cluster.answers.last().unwrap();
    assert_eq!(served_by(answer), "a");
}

/// A statement behind a change of the session's values would run under the wrong values if the
/// change failed.
#[test]
fn a_statement_waits_until_its_session_values_are_set() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("session");
    cluster.send_and_wait(caller, set("unit", "tonne"));
    cluster.send_and_wait(caller, write());
    let other = cluster.caller("session");
    cluster.send_and_wait(other, set("unit", "bag"));
    cluster.server("a").commands.clear();
    cluster.server("a").health = Health::Silent;
    cluster.send(other, write());
    let is_run = |command: &&&Command| matches!(command, Command::Run { .. });
    let commands = commands_without_probes(&cluster.servers["a"]);
    assert_eq!(commands.iter().filter(is_run).count(), 0, "{commands:?}");
}
