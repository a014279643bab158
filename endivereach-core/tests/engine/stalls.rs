//! Load on a group whose primary can't get its commits acknowledged.

use crate::world::Health;
use crate::world::World;
use crate::world::read;
use crate::world::served_by;
use crate::world::write;
use endivereach_core::engine::statement::Command;
use endivereach_core::engine::statement::Failure;
use endivereach_core::ids::Position;
use std::time::Duration;

/// Both replicas hear nothing, and a write hangs at the primary.
fn stalled() -> World {
    let mut world = World::open();
    let server = world.server("a");
    server.hangs_on_writes = true;
    server.received = Position::new(1, 12);
    for name in ["b", "c"] {
        world.server(name).hears = false;
    }
    let caller = world.caller("session");
    world.send(caller, write());
    let reader = world.caller("latest");
    for _ in 0..6 {
        world.send(reader, read());
        world.advance(100);
    }
    world
}

#[test]
fn writes_are_refused_at_once_while_no_replica_receives() {
    let mut world = stalled();
    let caller = world.caller("session");
    let sent_at = world.now;
    let answer = world.ask(caller, write());
    assert_eq!(answer.failure(), Some(&Failure::Busy));
    assert!(
        world.now - sent_at < Duration::from_millis(20),
        "held before it was refused"
    );
}

#[test]
fn reads_go_on_while_writes_are_refused() {
    let mut world = stalled();
    let caller = world.caller("aged");
    served_by(&world.ask(caller, read()));
}

#[test]
fn writes_are_taken_again_once_a_replica_receives() {
    let mut world = stalled();
    let server = world.server("a");
    server.hangs_on_writes = false;
    let received = server.received;
    for name in ["b", "c"] {
        let server = world.server(name);
        server.hears = true;
        server.received = received;
    }
    world.advance(300);
    let caller = world.caller("session");
    served_by(&world.ask(caller, write()));
}

/// The primary is away for a moment. The write that came last can still be answered as soon as it should
/// be, and the one that has waited for long can't.
#[test]
fn a_write_past_its_goal_lets_a_newer_one_go_first() {
    let mut world = World::open();
    world.server("a").health = Health::Down;
    world.cut("a");
    let early = world.caller("session");
    let late = world.caller("session");
    let first = world.send(early, write());
    world.advance(200);
    let second = world.send(late, write());
    world.server("a").health = Health::Good;
    world.advance(300);
    let of_order = |request: u64| {
        let name = format!("q{request}");
        let is_it = |command: &Command| matches!(command, Command::Run { request, .. } if request.as_str() == name);
        world.servers["a"].commands.iter().position(is_it).unwrap()
    };
    assert!(of_order(second) < of_order(first));
}
