//! Sessions share connections and never see one another.

use crate::world::Health;
use crate::world::World;
use crate::world::begin;
use crate::world::read;
use crate::world::served_by;
use crate::world::statements;
use crate::world::write;
use endivereach_core::engine::Engine;
use endivereach_core::engine::Location;
use endivereach_core::engine::SessionStart;
use endivereach_core::engine::statement::Access;
use endivereach_core::engine::statement::Body;
use endivereach_core::engine::statement::CallerId;
use endivereach_core::engine::statement::Command;
use endivereach_core::engine::statement::ConnectionId;
use endivereach_core::engine::statement::Failure;
use endivereach_core::engine::statement::SessionState;
use endivereach_core::engine::statement::Shape;
use std::collections::BTreeSet;
use std::time::Duration;

fn set(name: &str, value: &str) -> Body {
    Body::Set {
        name: name.into(),
        value: value.into(),
    }
}

/// Sessions with different values take turns on the connections that they share.
#[test]
fn each_session_runs_under_its_own_values_alone() {
    let mut world = World::open();
    let sessions: Vec<CallerId> = (0..6).map(|_| world.caller("session")).collect();
    let own = |at: usize| match at % 3 {
        0 => Vec::new(),
        1 => vec![("unit", "tonne")],
        _ => vec![("unit", "bag"), ("zone", "south")],
    };
    for (at, session) in sessions.iter().enumerate() {
        for (name, value) in own(at) {
            world.ask(*session, set(name, value));
        }
    }
    for _ in 0..3 {
        for (at, session) in sessions.iter().enumerate() {
            world.ask(*session, write());
            let expected = own(at).into_iter();
            let expected = expected.map(|(name, value)| (name.into(), value.into()));
            let ran = world.ran.last().unwrap();
            assert_eq!(ran.values, expected.collect());
        }
    }
    let connections: BTreeSet<ConnectionId> = world.ran.iter().map(|ran| ran.connection).collect();
    assert!(connections.len() < sessions.len(), "nothing was shared");
}

#[test]
fn the_same_name_in_two_sessions_runs_each_sessions_own_statement() {
    let mut world = World::open();
    let prepare = |text: &str| Body::Prepare {
        name: "s1".into(),
        shape: Shape {
            access: Access::Write,
            text: text.into(),
        },
    };
    let execute = || Body::Execute {
        name: "s1".into(),
        arguments: "1 x".into(),
    };
    let first = world.caller("session");
    let second = world.caller("session");
    world.ask(first, prepare("one"));
    world.ask(second, prepare("two"));
    for caller in [first, second, first, second] {
        world.ask(caller, execute());
    }
    let mut names = std::collections::BTreeMap::new();
    let mut ran = Vec::new();
    for command in statements(&world.servers["a"]) {
        match command {
            Command::Prepare { name, shape } => {
                names.insert(name.clone(), shape.text.clone());
            }
            Command::Execute { name, .. } => ran.push(names[name].clone()),
            _ => {}
        }
    }
    let ran: Vec<&str> = ran.iter().map(AsRef::as_ref).collect();
    assert_eq!(ran, ["one", "two", "one", "two"]);
}

#[test]
fn an_unknown_prepared_name_is_refused_without_asking_a_server() {
    let mut world = World::open();
    let caller = world.caller("session");
    let execute = Body::Execute {
        name: "s1".into(),
        arguments: "1".into(),
    };
    let answer = world.ask(caller, execute);
    assert_eq!(answer.failure(), Some(&Failure::UnknownPrepared));
}

#[test]
fn a_transaction_keeps_its_connection_and_others_use_others() {
    let mut world = World::open();
    let first = world.caller("session");
    let second = world.caller("session");
    world.ask(first, begin());
    world.ask(first, write());
    served_by(&world.ask(second, write()));
    served_by(&world.ask(first, write()));
    let answer = world.ask(first, Body::Commit);
    assert_eq!(served_by(&answer), "a");
    assert_eq!(answer.state, SessionState::Idle);
}

#[test]
fn a_statement_in_a_failed_transaction_is_malformed_until_it_ends() {
    let mut world = World::open();
    let caller = world.caller("session");
    world.ask(caller, begin());
    world.ask(caller, write());
    world.cut("a");
    let answer = world.ask(caller, read());
    assert_eq!(answer.failure(), Some(&Failure::Malformed));
    assert_eq!(answer.state, SessionState::Failed);
    let answer = world.ask(caller, Body::Commit);
    assert_eq!(answer.failure(), Some(&Failure::Aborted));
    assert_eq!(answer.state, SessionState::Idle);
}

#[test]
fn a_transaction_that_rests_too_long_gives_its_connection_back() {
    let mut world = World::open();
    let caller = world.caller("session");
    world.ask(caller, begin());
    world.ask(caller, write());
    world.server("a").commands.clear();
    world.advance(3_200);
    assert!(world.servers["a"].commands.contains(&Command::Rollback));
    let answer = world.ask(caller, Body::Commit);
    assert_eq!(answer.failure(), Some(&Failure::Aborted));
}

#[test]
fn a_caller_that_leaves_inside_a_transaction_leaves_nothing_open() {
    let mut world = World::open();
    let caller = world.caller("session");
    world.ask(caller, begin());
    world.ask(caller, write());
    world.server("a").commands.clear();
    world.engine.caller_gone(world.now, caller);
    world.pump();
    assert!(world.servers["a"].commands.contains(&Command::Rollback));
    let other = world.caller("session");
    served_by(&world.ask(other, write()));
}

#[test]
fn a_planned_stop_sends_callers_away_at_rest_and_cuts_nobody() {
    let mut world = World::open();
    let resting = world.caller("aged");
    let working = world.caller("session");
    world.ask(working, begin());
    world.engine.begin_drain(world.now);
    world.advance(2_000);
    assert!(
        world.closed.is_empty(),
        "the balancer still sends callers here"
    );
    served_by(&world.ask(working, write()));
    world.advance(500);
    assert_eq!(world.closed, [resting]);
    served_by(&world.ask(working, Body::Commit));
    world.advance(100);
    assert!(world.closed.contains(&working));
}

#[test]
fn what_cannot_be_served_is_refused_before_its_time_is_over() {
    let mut world = World::open();
    let caller = world.caller("session");
    for name in ["a", "b", "c"] {
        world.server(name).health = Health::Down;
        world.cut(name);
    }
    let sent_at = world.now;
    let answer = world.ask(caller, write());
    assert_eq!(answer.failure(), Some(&Failure::Busy));
    assert!(world.now - sent_at < Duration::from_millis(800));
}

/// A process that has learnt no routes yet can't tell whether a database exists.
#[test]
fn no_database_is_denied_before_the_routes_are_known() {
    let now = std::time::Instant::now();
    let location = Location {
        node: "front-1".into(),
        zone: "north".into(),
        region: "coast".into(),
    };
    let mut engine = Engine::new(location, now);
    let id = CallerId::new(1);
    engine.caller_opened(now, id);
    assert_eq!(engine.caller_started(id, "aged".into()), SessionStart::Wait);
    let mut world = World::open();
    world.engine.caller_opened(world.now, CallerId::new(99));
    let unknown = world
        .engine
        .caller_started(CallerId::new(99), "none".into());
    assert_eq!(unknown, SessionStart::NoDatabase);
}
