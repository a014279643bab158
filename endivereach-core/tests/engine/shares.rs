//! How many connections one proxy takes.

use crate::world::Health;
use crate::world::World;
use crate::world::begin;
use crate::world::read;
use crate::world::write;

/// Opens as many transactions as the engine gives connections to.
fn press(world: &mut World, database: &str) {
    for _ in 0..12 {
        let caller = world.caller(database);
        world.send(caller, begin());
        world.send(caller, write());
        world.advance(20);
    }
}

#[test]
fn a_busy_primary_gives_each_proxy_its_share() {
    let mut world = World::open();
    world.server("a").connections = 14;
    world.advance(2_000);
    press(&mut world, "session");
    // 16 connections, one of them reserved, among four proxies.
    assert_eq!(world.connections("a"), 3);
}

#[test]
fn a_primary_with_plenty_lends_some() {
    let mut world = World::open();
    press(&mut world, "session");
    assert_eq!(world.connections("a"), 5);
}

/// VMs that lose power leave their connections taken for seconds: replicas keep half of theirs free
/// for the VMs that come back.
#[test]
fn replicas_keep_half_of_their_connections_free() {
    let mut world = World::open();
    for name in ["b", "c"] {
        world.server(name).connections = 8;
    }
    world.advance(2_000);
    let reader = world.caller("aged");
    world.ask(reader, read());
    for name in ["a", "b", "c"] {
        world.server(name).health = Health::Silent;
    }
    for _ in 0..20 {
        let caller = world.caller("aged");
        world.send(caller, read());
        world.advance(2);
    }
    for name in ["b", "c"] {
        assert!(
            world.connections(name) * 4 <= 8,
            "{} at {name}",
            world.connections(name)
        );
    }
}

#[test]
fn connections_that_nobody_needs_are_given_back() {
    let mut world = World::open();
    press(&mut world, "session");
    assert!(world.connections("a") > 1);
    // Transactions that rest end, and then the connections do.
    world.advance(6_000);
    assert_eq!(world.connections("a"), 1);
}
