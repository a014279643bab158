//! Reads include everything that they must.

use crate::world::Health;
use crate::world::World;
use crate::world::read;
use crate::world::served_by;
use crate::world::write;
use endivereach_core::engine::statement::Command;
use endivereach_core::engine::statement::Failure;
use endivereach_core::ids::Position;

/// The position that the last read sent to a server asked for.
fn last_floor(world: &World, server: &str) -> Option<Position> {
    let runs = world.servers[server].commands.iter().rev();
    let mut floors = runs.filter_map(|command| match command {
        Command::Run { floor, .. } => Some(*floor),
        _ => None,
    });
    floors.next().flatten()
}

#[test]
fn a_session_reads_its_own_write_wherever_it_reads() {
    let mut world = World::open();
    let caller = world.caller("session");
    for _ in 0..5 {
        let written = world.ask(caller, write()).position.unwrap();
        let answer = world.ask(caller, read());
        let server = served_by(&answer).to_owned();
        assert!(
            last_floor(&world, &server) >= Some(written),
            "read at {server}"
        );
    }
}

#[test]
fn an_aged_read_asks_for_what_was_acknowledged_before_its_age() {
    let mut world = World::open();
    let writer = world.caller("session");
    let reader = world.caller("aged");
    world.ask(reader, read());
    let written = world.ask(writer, write()).position.unwrap();
    for _ in 0..20 {
        world.advance(100);
        world.ask(reader, read());
    }
    let answer = world.ask(reader, read());
    let server = served_by(&answer).to_owned();
    assert!(last_floor(&world, &server) >= Some(written));
}

/// The primary and one replica have a commit, the other replica hears nothing. The primary crashes for
/// good and drops off the list: the deaf replica alone proves nothing, however long ago that was.
#[test]
fn a_deaf_replica_proves_nothing_after_the_primary_left_the_list() {
    let mut world = World::open();
    world.server("c").hears = false;
    let writer = world.caller("session");
    let written = world.ask(writer, write()).position.unwrap();
    world.server("a").health = Health::Down;
    world.cut("a");
    world.server("b").health = Health::Silent;
    world.listed.retain(|name| name.as_ref() != "a");
    world.list();
    world.advance(15_000);
    let reader = world.caller("aged");
    world.send(reader, read());
    world.advance(1_500);
    assert!(
        statements(&world, "c").is_empty(),
        "a read ran where {written} is missing"
    );
}

/// Returns the reads that a server was sent.
fn statements<'w>(world: &'w World, server: &str) -> Vec<&'w Command> {
    let is_run = |command: &&Command| matches!(command, Command::Run { .. });
    world.servers[server]
        .commands
        .iter()
        .filter(is_run)
        .collect()
}

#[test]
fn a_latest_read_waits_for_probes_that_began_after_it() {
    let mut world = World::open();
    let caller = world.caller("latest");
    world.server("b").health = Health::Silent;
    world.server("c").health = Health::Silent;
    world.send(caller, read());
    world.advance(100);
    assert!(world.answers.is_empty(), "delivered without proof");
    world.server("c").health = Health::Good;
    world.advance(400);
    assert_eq!(world.answers.len(), 1);
    assert_eq!(served_by(&world.answers[0].1), "a");
}

#[test]
fn a_latest_read_on_a_replaced_primary_is_not_delivered() {
    let mut world = World::open();
    let caller = world.caller("latest");
    // Another process promoted `b`, and `a` was never told.
    let server = world.server("b");
    server.leads = true;
    server.term = 2;
    server.received = Position::new(2, 11);
    world.server("c").received = Position::new(2, 11);
    let answer = world.ask(caller, read());
    assert_eq!(served_by(&answer), "b");
}

#[test]
fn a_replica_that_lacks_the_floor_is_passed_over() {
    let mut world = World::open();
    world.server("b").hears = false;
    world.server("c").hears = false;
    let caller = world.caller("session");
    world.ask(caller, write());
    let answer = world.ask(caller, read());
    assert_eq!(served_by(&answer), "a");
}

#[test]
fn a_refusal_of_every_server_is_told_as_not_run() {
    let mut world = World::open();
    let caller = world.caller("aged");
    for name in ["a", "b", "c"] {
        world.server(name).fails_with = vec![Failure::Busy; 10];
    }
    let answer = world.ask(caller, read());
    assert_eq!(answer.failure(), Some(&Failure::Busy));
}
