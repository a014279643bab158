//! A primary that fails is replaced, once, by the server with the longest log.

use crate::world::Health;
use crate::world::Server;
use crate::world::World;
use crate::world::group;
use crate::world::read;
use crate::world::served_by;
use crate::world::write;
use endivereach_core::duty::Duty;
use endivereach_core::duty::HOLD_DURATION;
use endivereach_core::duty::Step;
use endivereach_core::duty::TAKEOVER_DELAY;
use endivereach_core::engine::PromoteResult;
use endivereach_core::engine::statement::Command;
use endivereach_core::ids::Position;
use endivereach_core::ids::ProxyId;
use endivereach_core::ids::Version;
use std::time::Duration;
use std::time::Instant;

/// A world whose primary crashed, and whose replica `c` lacks the last commit.
fn crashed() -> World {
    let mut world = World::open();
    let writer = world.caller("session");
    world.ask(writer, write());
    world.server("c").hears = false;
    world.ask(writer, write());
    world.server("a").health = Health::Down;
    world.cut("a");
    world
}

fn was_fenced(world: &World, server: &str) -> bool {
    let is_pause = |command: &Command| matches!(command, Command::Pause { .. });
    world.servers[server].commands.iter().any(is_pause)
}

#[test]
fn the_longest_log_leads_after_both_replicas_are_fenced() {
    let mut world = crashed();
    world.advance(800);
    assert!(world.duty_asked > 0);
    assert!(world.orders.is_empty(), "ordered without the duty");
    world.grant_duty(7);
    world.advance(100);
    assert!(was_fenced(&world, "b") && was_fenced(&world, "c"));
    let ordered: Vec<&str> = world.orders.iter().map(|(name, _)| name.as_ref()).collect();
    assert_eq!(ordered, ["b"]);
    assert_eq!(world.orders[0].1.get(), 7);
}

/// Another process promoted a replica. The list tells of it, and nobody here uses the group.
#[test]
fn a_primary_that_the_list_tells_of_is_probed_at_once() {
    let mut world = World::open();
    world.advance(20_000);
    world.server("b").leads = true;
    world.server("b").term = 2;
    let probes = |world: &World| {
        let is_probe = |command: &&Command| matches!(command, Command::Status);
        world.servers["b"].commands.iter().filter(is_probe).count()
    };
    let before = probes(&world);
    world.list();
    world.advance(20);
    assert!(probes(&world) > before);
}

/// Another process promoted `b`, which is gone again. `a` was out of reach and still takes itself for
/// the primary.
fn replaced_and_gone() -> World {
    let mut world = World::open();
    world.server("a").health = Health::Down;
    world.cut("a");
    for name in ["b", "c"] {
        world.server(name).term = 2;
    }
    world.server("b").leads = true;
    world.list();
    world.advance(300);
    world.server("b").health = Health::Down;
    world.cut("b");
    world.listed.retain(|name| name.as_ref() != "b");
    world.server("a").health = Health::Good;
    world.list();
    world
}

#[test]
fn a_primary_that_was_replaced_is_not_taken_back() {
    let mut world = replaced_and_gone();
    let caller = world.caller("session");
    world.send(caller, write());
    world.advance(1_000);
    let is_run = |command: &Command| matches!(command, Command::Run { .. });
    assert!(
        !world.servers["a"].commands.iter().any(is_run),
        "a write went to a primary of a lower term"
    );
}

#[test]
fn a_group_whose_only_primary_was_replaced_gets_another_in_a_new_term() {
    let mut world = replaced_and_gone();
    // A third member that can vouch for the commits of term 2.
    let mut third = world.servers["c"].clone();
    third.commands.clear();
    world.servers.insert("d".into(), third);
    world.listed.push("d".into());
    world.list();
    for _ in 0..4 {
        world.advance(800);
        world.grant_duty(7);
        world.advance(200);
    }
    assert_eq!(world.orders.len(), 1);
    let in_used_term =
        |command: &Command| matches!(command, Command::Pause { term } if term.get() <= 2);
    assert!(!world.servers["c"].commands.iter().any(in_used_term));
}

/// Nobody has used the group for long: its members are asked because the primary can't be reached.
#[test]
fn an_idle_group_is_given_another_primary() {
    let mut world = World::open();
    let writer = world.caller("session");
    world.ask(writer, write());
    world.advance(20_000);
    world.server("a").health = Health::Down;
    world.cut("a");
    world.advance(800);
    world.grant_duty(7);
    world.advance(200);
    assert_eq!(world.orders.len(), 1);
}

#[test]
fn writes_go_on_at_the_new_primary() {
    let mut world = crashed();
    world.advance(800);
    world.grant_duty(7);
    world.advance(100);
    world
        .engine
        .promote_ended(world.now, &group(), PromoteResult::Accepted);
    world.promote("b");
    world.advance(300);
    let caller = world.caller("session");
    assert_eq!(served_by(&world.ask(caller, write())), "b");
}

#[test]
fn a_lost_answer_is_followed_by_the_same_order_under_the_same_token() {
    let mut world = crashed();
    world.advance(800);
    world.grant_duty(7);
    world.advance(100);
    world
        .engine
        .promote_ended(world.now, &group(), PromoteResult::Lost);
    world.advance(100);
    assert_eq!(world.orders.len(), 2);
    assert_eq!(world.orders[0], world.orders[1]);
}

#[test]
fn nothing_is_ordered_after_the_duty_has_ended() {
    let mut world = crashed();
    world.advance(800);
    world.grant_duty(7);
    world.server("b").health = Health::Silent;
    world.advance(2_000);
    world.server("b").health = Health::Good;
    world.advance(1_000);
    assert!(
        world.orders.is_empty(),
        "ordered under a token that has run out"
    );
}

/// One replica of two may lack what was acknowledged: there is no promotion without the other.
#[test]
fn nobody_is_promoted_while_a_replica_is_missing() {
    let mut world = crashed();
    world.server("b").health = Health::Down;
    world.cut("b");
    world.listed.retain(|name| name.as_ref() == "c");
    world.list();
    for _ in 0..8 {
        world.grant_duty(7);
        world.advance(1_000);
    }
    assert!(world.orders.is_empty());
}

/// A command that ended a fence could arrive when another process relies on it, so fences are never
/// ended: whoever finds one that came to nothing finishes the promotion.
#[test]
fn fences_of_an_attempt_that_failed_are_taken_over() {
    let mut world = crashed();
    world.server("b").health = Health::Silent;
    world.advance(900);
    world.grant_duty(7);
    world.advance(1_600);
    assert!(was_fenced(&world, "c"));
    assert!(world.orders.is_empty());
    world.server("a").health = Health::Good;
    world.server("b").health = Health::Good;
    for _ in 0..40 {
        world.grant_duty(9);
        world.advance(100);
    }
    assert!(!world.orders.is_empty(), "the fence of c stands for good");
}

#[test]
fn a_leaving_primary_is_replaced_while_it_still_serves() {
    let mut world = World::open();
    world.leaving = vec!["a".into()];
    world.list();
    world.advance(300);
    world.grant_duty(7);
    world.advance(100);
    let (name, _) = &world.orders[0];
    assert_ne!(name.as_ref(), "a");
}

#[test]
fn a_process_that_stood_still_suspects_nobody_for_it() {
    let mut world = World::open();
    let caller = world.caller("session");
    world.server("a").health = Health::Silent;
    world.send(caller, write());
    world.freeze(5_000);
    world.server("a").health = Health::Good;
    world.advance(200);
    assert_eq!(world.duty_asked, 0);
}

fn proxy(name: &str) -> ProxyId {
    name.parse().unwrap()
}

#[test]
fn the_duty_changes_hands_only_after_every_order_of_its_holder() {
    let start = Instant::now();
    let mut first = Duty::new(proxy("one#1"));
    let mut second = Duty::new(proxy("two#2"));
    for duty in [&mut first, &mut second] {
        duty.observe_absent();
    }
    first.note_write_sent(start);
    // The write is carried out late, and seen late by the other.
    let carried_out = start + Duration::from_millis(400);
    first.observe(Version::new(5), proxy("one#1"), carried_out);
    second.observe(Version::new(5), proxy("one#1"), carried_out);
    let last_order = start + HOLD_DURATION;
    assert!(first.held(last_order).is_none());
    assert!(first.held(last_order - Duration::from_millis(1)).is_some());
    let takeover = carried_out + TAKEOVER_DELAY;
    assert_eq!(second.step(takeover - Duration::from_millis(1)), Step::Wait);
    let expected = Some(Version::new(5));
    assert_eq!(second.step(takeover), Step::Write { expected });
    assert!(takeover > last_order);
}

#[test]
fn a_lost_answer_to_the_duty_is_looked_up_before_anything_is_ordered() {
    let now = Instant::now();
    let mut duty = Duty::new(proxy("one#1"));
    duty.observe_absent();
    duty.note_write_sent(now);
    assert_eq!(duty.step(now + Duration::from_millis(100)), Step::Wait);
    assert_eq!(duty.step(now + Duration::from_millis(700)), Step::Read);
    assert!(duty.held(now).is_none());
}

/// Replicas list themselves before the primary does: that isn't the loss of a primary.
#[test]
fn a_group_that_is_still_starting_is_given_no_other_primary() {
    let mut starting = World::open_unlisted();
    starting.listed.retain(|name| name.as_ref() != "a");
    starting.list();
    starting.advance(1_500);
    assert_eq!(starting.duty_asked, 0);
    starting.listed.push("a".into());
    starting.list();
    starting.advance(300);
    let caller = starting.caller("session");
    assert_eq!(served_by(&starting.ask(caller, write())), "a");
    assert_eq!(starting.duty_asked, 0);
}

/// A promoter that stood still wakes after another process took the duty over and ended the fences:
/// what it learnt before is worth nothing under a new token.
#[test]
fn fences_of_an_earlier_duty_decide_nothing() {
    let mut world = crashed();
    world.server("b").health = Health::Silent;
    world.advance(800);
    world.grant_duty(7);
    world.advance(100);
    assert!(was_fenced(&world, "c"));
    world.freeze(3_000);
    world.server("b").health = Health::Good;
    for name in ["b", "c"] {
        world.server(name).commands.clear();
    }
    while world.orders.is_empty() {
        world.grant_duty(9);
        world.advance(5);
    }
    assert!(
        was_fenced(&world, "b") && was_fenced(&world, "c"),
        "ordered on old fences"
    );
    assert_eq!(world.orders[0].1.get(), 9);
}

/// The duty changed hands and came back while an attempt was under way. Another process may have ended
/// the fences in between.
#[test]
fn an_attempt_starts_anew_under_a_new_token() {
    let mut world = crashed();
    world.server("b").health = Health::Silent;
    world.advance(800);
    world.grant_duty(7);
    world.advance(100);
    assert!(was_fenced(&world, "c"));
    world.server("c").commands.clear();
    world.server("b").health = Health::Good;
    while world.orders.is_empty() {
        world.grant_duty(9);
        world.advance(5);
    }
    assert!(was_fenced(&world, "c"), "ordered on a fence of token 7");
}

/// A server that led before and came back as if it still did: made a replica only, it would receive
/// from the primary to be replaced, and vouch for commits after its position was taken.
#[test]
fn a_former_primary_is_fenced_and_not_only_made_a_replica() {
    let mut world = World::open();
    world.server("c").leads = true;
    let server = world.server("a");
    server.term = 2;
    server.received = Position::new(2, 11);
    world.server("b").received = Position::new(2, 11);
    let writer = world.caller("session");
    world.ask(writer, write());
    world.server("a").health = Health::Down;
    world.cut("a");
    world.advance(800);
    world.grant_duty(7);
    world.advance(100);
    let is_step_down = |command: &Command| matches!(command, Command::StepDown { .. });
    assert!(
        world.servers["c"].commands.iter().any(is_step_down),
        "not known to lead"
    );
    assert!(!world.orders.is_empty());
    assert!(was_fenced(&world, "c"), "only made a replica");
}

/// A primary that crashed comes back with its log and under another name. A term has one primary, so
/// what it holds is known, and nothing waits for the server that it was.
#[test]
fn a_primary_that_comes_back_under_another_name_is_the_same_server() {
    let mut world = crashed();
    world.server("b").health = Health::Down;
    world.cut("b");
    world.listed.retain(|name| name.as_ref() == "c");
    world.list();
    world.advance(500);
    let returned = Server {
        health: Health::Good,
        commands: Vec::new(),
        ..world.servers["a"].clone()
    };
    world.servers.insert("d".into(), returned);
    world.listed.push("d".into());
    world.list();
    world.server("c").hears = true;
    world.advance(1_000);
    let caller = world.caller("latest");
    assert_eq!(served_by(&world.ask(caller, read())), "d");
}

/// A world in which `b` took over from `a`, and `d` is the successor of `a` in the group.
fn replaced() -> World {
    let mut world = crashed();
    world.server("c").hears = true;
    world.advance(800);
    world.grant_duty(7);
    world.advance(100);
    world
        .engine
        .promote_ended(world.now, &group(), PromoteResult::Accepted);
    world.promote("b");
    world.advance(300);
    world.listed.retain(|name| name.as_ref() != "a");
    let successor = Server {
        leads: false,
        commands: Vec::new(),
        ..world.servers["b"].clone()
    };
    world.servers.insert("d".into(), successor);
    world.listed.push("d".into());
    world.list();
    let writer = world.caller("session");
    world.ask(writer, write());
    world
}

/// Loses the new primary, and lets the holder of the duty try for a while.
fn lose_successor(world: &mut World, seconds: u32) {
    world.advance(5_000);
    world.server("b").health = Health::Down;
    world.cut("b");
    for _ in 0..seconds {
        world.advance(800);
        world.grant_duty(8);
        world.advance(200);
    }
}

/// Primaries that are lost one soon after the other.
#[test]
fn a_primary_lost_soon_after_a_replacement_is_replaced_too() {
    let mut world = replaced();
    lose_successor(&mut world, 2);
    assert_eq!(world.orders.len(), 2, "no order for the second one");
}

/// While a member lacks what the new primary holds, a commit may be on the primary and on the server
/// that left, and nowhere else.
#[test]
fn a_server_that_left_counts_until_all_others_have_what_it_held() {
    let mut world = replaced();
    world.server("c").hears = false;
    let writer = world.caller("session");
    world.ask(writer, write());
    lose_successor(&mut world, 3);
    assert_eq!(world.orders.len(), 1, "one of the two may lack a commit");
}
