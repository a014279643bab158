//! What callers are told when a server's answer doesn't come.

use crate::world::Health;
use crate::world::World;
use crate::world::begin;
use crate::world::read;
use crate::world::served_by;
use crate::world::write;
use endivereach_core::cases;
use endivereach_core::engine::statement::Answer;
use endivereach_core::engine::statement::Body;
use endivereach_core::engine::statement::Command;
use endivereach_core::engine::statement::Failure;
use endivereach_core::engine::statement::Outcome;
use endivereach_core::engine::statement::SessionState;

#[test]
fn a_write_whose_connection_ends_is_in_doubt_and_never_sent_again() {
    let mut world = World::open();
    let caller = world.caller("session");
    world.server("a").health = Health::Silent;
    world.send(caller, write());
    world.cut("a");
    let (_, answer) = world.answers.pop().unwrap();
    assert_eq!(answer.failure(), Some(&Failure::InDoubt));
    world.server("a").health = Health::Good;
    world.advance(2_000);
    let is_write = |command: &&Command| matches!(command, Command::Run { .. });
    assert_eq!(
        world.servers["a"].commands.iter().filter(is_write).count(),
        1
    );
}

#[test]
fn a_read_whose_connection_ends_runs_elsewhere() {
    let mut world = World::open();
    let caller = world.caller("aged");
    for name in ["a", "b", "c"] {
        world.server(name).loses_answers = true;
    }
    world.send(caller, read());
    let holder = world
        .servers
        .iter()
        .find(|(_, server)| {
            server
                .commands
                .iter()
                .any(|c| matches!(c, Command::Run { .. }))
        })
        .map(|(name, _)| name.clone())
        .unwrap();
    for name in ["a", "b", "c"] {
        world.server(name).loses_answers = false;
    }
    world.cut(&holder);
    world.advance(400);
    let (_, answer) = world.answers.pop().unwrap();
    assert_ne!(served_by(&answer), holder.as_ref());
}

/// Servers lose a share of their answers, and nothing tells: a read is asked of another server long
/// before its time is over.
#[test]
fn a_lost_answer_of_a_read_costs_a_fraction_of_its_time() {
    let mut world = World::open();
    let caller = world.caller("aged");
    for name in ["a", "b", "c"] {
        world.server(name).loses_answers = true;
    }
    world.send(caller, read());
    for name in ["a", "b", "c"] {
        world.server(name).loses_answers = false;
    }
    world.advance(400);
    assert_eq!(
        world.answers.len(),
        1,
        "still waiting after half of the timeout"
    );
    served_by(&world.answers[0].1);
}

#[test]
fn a_lost_answer_inside_a_transaction_ends_it_with_a_promise() {
    let mut world = World::open();
    let caller = world.caller("session");
    world.ask(caller, begin());
    world.server("a").loses_answers = true;
    world.send(caller, write());
    world.server("a").loses_answers = false;
    world.answers.clear();
    world.advance(500);
    let (_, answer) = world.answers.pop().unwrap();
    assert_eq!(answer.failure(), Some(&Failure::Aborted));
    assert_eq!(answer.state, SessionState::Failed);
    let answer = world.ask(caller, Body::Rollback);
    assert_eq!(answer.state, SessionState::Idle);
}

#[test]
fn a_commit_whose_answer_is_lost_is_never_told_as_not_kept() {
    let mut world = World::open();
    let caller = world.caller("session");
    world.ask(caller, begin());
    world.ask(caller, write());
    world.server("a").loses_answers = true;
    let answer = world.ask(caller, Body::Commit);
    let failure = answer.failure().unwrap();
    assert!(
        matches!(failure, Failure::Timeout | Failure::InDoubt),
        "{failure}"
    );
    assert_eq!(answer.state, SessionState::Idle);
}

#[test]
fn a_commit_whose_connection_ends_is_in_doubt() {
    let mut world = World::open();
    let caller = world.caller("session");
    world.ask(caller, begin());
    world.ask(caller, write());
    world.server("a").health = Health::Silent;
    world.send(caller, Body::Commit);
    world.cut("a");
    let (_, answer) = world.answers.last().unwrap();
    assert_eq!(answer.failure(), Some(&Failure::InDoubt));
    assert_eq!(answer.state, SessionState::Idle);
}

/// The answer of the statement was lost, and what comes instead answers a command of this process.
#[test]
fn an_answer_that_belongs_to_something_else_is_not_delivered() {
    let mut world = World::open();
    let caller = world.caller("session");
    world.server("a").health = Health::Silent;
    world.send(caller, write());
    let of_a_command = Answer {
        rows: Vec::new(),
        outcome: Outcome::Done { receipt: None },
        state: SessionState::Idle,
        position: None,
    };
    let connection = world.working("a");
    world
        .engine
        .target_reply(world.now, connection, of_a_command, None);
    world.pump();
    let (_, answer) = world.answers.last().unwrap();
    assert_eq!(answer.failure(), Some(&Failure::InDoubt));
}

/// What is refused as not run is sent to another server, and told when every server refused it.
fn not_run_is_retried(failure: Failure) {
    let mut world = World::open();
    let caller = world.caller("aged");
    for name in ["a", "b", "c"] {
        world.server(name).fails_with = vec![failure.clone()];
    }
    served_by(&world.ask(caller, read()));
}

cases! {
    not_run_is_retried;
    busy: Failure::Busy;
    lagging: Failure::Lagging;
    not_primary: Failure::NotPrimary;
    failed_reads_too: Failure::Failed;
}

#[test]
fn a_failed_write_is_told_and_not_repeated() {
    let mut world = World::open();
    let caller = world.caller("session");
    world.server("a").fails_with = vec![Failure::Failed];
    let answer = world.ask(caller, write());
    assert_eq!(answer.failure(), Some(&Failure::Failed));
    let is_write = |command: &&Command| matches!(command, Command::Run { .. });
    assert_eq!(
        world.servers["a"].commands.iter().filter(is_write).count(),
        1
    );
}

/// A primary loses one answer in five: the connections that wait for them must not keep everybody
/// else from being served.
#[test]
fn lost_answers_of_a_primary_leave_room_for_other_statements() {
    let mut world = World::open();
    world.server("a").loses_answers = true;
    for _ in 0..6 {
        let caller = world.caller("session");
        world.send(caller, write());
        world.advance(30);
    }
    world.server("a").loses_answers = false;
    world.advance(300);
    let caller = world.caller("session");
    world.answers.clear();
    let sent_at = world.now;
    let answer = loop {
        if let Some((_, answer)) = world.answers.iter().find(|(id, _)| *id == caller) {
            break answer.clone();
        }
        if world.now == sent_at {
            world.send(caller, write());
        }
        world.advance(5);
    };
    served_by(&answer);
    let waited = world.now - sent_at;
    assert!(
        waited < std::time::Duration::from_millis(200),
        "waited {waited:?}"
    );
}
