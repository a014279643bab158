//! Failover: a failed primary is replaced exactly once, by the server with the longest log.

use crate::cluster::Cluster;
use crate::cluster::Health;
use crate::cluster::Server;
use crate::cluster::group;
use crate::cluster::read;
use crate::cluster::served_by;
use crate::cluster::write;
use endivereach_core::duty::Duty;
use endivereach_core::duty::DutyAction;
use endivereach_core::duty::HOLD_DURATION;
use endivereach_core::duty::TAKEOVER_DELAY;
use endivereach_core::engine::PromoteResult;
use endivereach_core::engine::statement::Command;
use endivereach_core::ids::Era;
use endivereach_core::ids::Position;
use endivereach_core::ids::ProxyId;
use endivereach_core::ids::Version;
use endivereach_core::store_era::StorePosition;
use std::time::Duration;
use std::time::Instant;

/// Returns a cluster whose primary `a` crashed and whose replica `c` lacks the last commit.
fn cluster_with_crashed_primary() -> Cluster {
    let mut cluster = Cluster::open();
    let writer = cluster.caller("session");
    cluster.send_and_wait(writer, write());
    cluster.server("c").replicates = false;
    cluster.send_and_wait(writer, write());
    cluster.server("a").health = Health::Down;
    cluster.disconnect("a");
    cluster
}

fn was_fenced(cluster: &Cluster, server: &str) -> bool {
    let is_pause = |command: &Command| matches!(command, Command::Pause { .. });
    cluster.servers[server].commands.iter().any(is_pause)
}

#[test]
fn the_replica_with_the_longest_log_is_promoted_after_both_are_fenced() {
    let mut cluster = cluster_with_crashed_primary();
    cluster.advance(800);
    assert!(cluster.duty_requests > 0);
    assert!(
        cluster.promotion_orders.is_empty(),
        "a promotion was ordered without the duty"
    );
    cluster.grant_duty(7);
    cluster.advance(100);
    assert!(was_fenced(&cluster, "b") && was_fenced(&cluster, "c"));
    let ordered: Vec<&str> = cluster
        .promotion_orders
        .iter()
        .map(|(name, _)| name.as_ref())
        .collect();
    assert_eq!(ordered, ["b"]);
    assert_eq!(cluster.promotion_orders[0].1.get(), 7);
}

/// Another process promoted a replica while this process doesn't use the group. The engine learns
/// of the new primary only from the list.
#[test]
fn a_newly_listed_primary_is_probed_at_once() {
    let mut cluster = Cluster::open();
    cluster.advance(20_000);
    cluster.server("b").is_primary = true;
    cluster.server("b").term = 2;
    let probes = |cluster: &Cluster| {
        let is_probe = |command: &&Command| matches!(command, Command::Status);
        cluster.servers["b"]
            .commands
            .iter()
            .filter(is_probe)
            .count()
    };
    let before = probes(&cluster);
    cluster.publish_targets();
    cluster.advance(20);
    assert!(probes(&cluster) > before);
}

/// Returns a cluster in which another process promoted `b`, which has left again. `a` was
/// unreachable in the meantime and still reports that it leads.
fn cluster_with_replaced_primary_and_lost_successor() -> Cluster {
    let mut cluster = Cluster::open();
    cluster.server("a").health = Health::Down;
    cluster.disconnect("a");
    for name in ["b", "c"] {
        cluster.server(name).term = 2;
    }
    cluster.server("b").is_primary = true;
    cluster.publish_targets();
    cluster.advance(300);
    cluster.server("b").health = Health::Down;
    cluster.disconnect("b");
    cluster.listed.retain(|name| name.as_ref() != "b");
    cluster.server("a").health = Health::Good;
    cluster.publish_targets();
    cluster
}

#[test]
fn a_replaced_primary_gets_no_writes() {
    let mut cluster = cluster_with_replaced_primary_and_lost_successor();
    let caller = cluster.caller("session");
    cluster.send(caller, write());
    cluster.advance(1_000);
    let is_run = |command: &Command| matches!(command, Command::Run { .. });
    assert!(
        !cluster.servers["a"].commands.iter().any(is_run),
        "a write went to a primary of a lower term"
    );
}

#[test]
fn a_group_with_only_a_replaced_primary_gets_a_new_one_in_a_new_term() {
    let mut cluster = cluster_with_replaced_primary_and_lost_successor();
    // A third member, which completes the quorum that has the commits of term 2.
    let mut third = cluster.servers["c"].clone();
    third.commands.clear();
    cluster.servers.insert("d".into(), third);
    cluster.listed.push("d".into());
    cluster.publish_targets();
    for _ in 0..4 {
        cluster.advance(800);
        cluster.grant_duty(7);
        cluster.advance(200);
    }
    assert_eq!(cluster.promotion_orders.len(), 1);
    let in_used_term =
        |command: &Command| matches!(command, Command::Pause { term } if term.get() <= 2);
    assert!(!cluster.servers["c"].commands.iter().any(in_used_term));
}

/// The group has been unused for a long time. Its members must still be probed when the primary
/// can't be connected to.
#[test]
fn an_idle_group_gets_a_new_primary() {
    let mut cluster = Cluster::open();
    let writer = cluster.caller("session");
    cluster.send_and_wait(writer, write());
    cluster.advance(20_000);
    cluster.server("a").health = Health::Down;
    cluster.disconnect("a");
    cluster.advance(800);
    cluster.grant_duty(7);
    cluster.advance(200);
    assert_eq!(cluster.promotion_orders.len(), 1);
}

#[test]
fn writes_continue_on_the_new_primary() {
    let mut cluster = cluster_with_crashed_primary();
    cluster.advance(800);
    cluster.grant_duty(7);
    cluster.advance(100);
    cluster
        .engine
        .promotion_finished(cluster.now, &group(), PromoteResult::Accepted);
    cluster.promote("b");
    // `c` receives from the new primary, without which no commit is acknowledged.
    cluster.server("c").replicates = true;
    cluster.advance(300);
    let caller = cluster.caller("session");
    assert_eq!(served_by(&cluster.send_and_wait(caller, write())), "b");
}

#[test]
fn a_promotion_order_whose_answer_is_lost_is_repeated_under_the_same_token() {
    let mut cluster = cluster_with_crashed_primary();
    cluster.advance(800);
    cluster.grant_duty(7);
    cluster.advance(100);
    cluster
        .engine
        .promotion_finished(cluster.now, &group(), PromoteResult::Lost);
    cluster.advance(100);
    assert_eq!(cluster.promotion_orders.len(), 2);
    assert_eq!(cluster.promotion_orders[0], cluster.promotion_orders[1]);
}

#[test]
fn no_promotion_is_ordered_after_the_duty_has_ended() {
    let mut cluster = cluster_with_crashed_primary();
    cluster.advance(800);
    cluster.grant_duty(7);
    cluster.server("b").health = Health::Silent;
    cluster.advance(2_000);
    cluster.server("b").health = Health::Good;
    cluster.advance(1_000);
    assert!(
        cluster.promotion_orders.is_empty(),
        "a promotion was ordered under an expired token"
    );
}

/// One of two replicas may lack an acknowledged commit, so it must not be promoted without the
/// other.
#[test]
fn no_replica_is_promoted_while_another_is_missing() {
    let mut cluster = cluster_with_crashed_primary();
    cluster.server("b").health = Health::Down;
    cluster.disconnect("b");
    cluster.listed.retain(|name| name.as_ref() == "c");
    cluster.publish_targets();
    for _ in 0..8 {
        cluster.grant_duty(7);
        cluster.advance(1_000);
    }
    assert!(cluster.promotion_orders.is_empty());
}

/// Fences are never removed, because the command could arrive when another process already relies
/// on the fence. So a process that finds a fence of a failed attempt must finish the promotion.
#[test]
fn fences_of_an_attempt_that_failed_are_taken_over() {
    let mut cluster = cluster_with_crashed_primary();
    cluster.server("b").health = Health::Silent;
    cluster.advance(900);
    cluster.grant_duty(7);
    cluster.advance(1_600);
    assert!(was_fenced(&cluster, "c"));
    assert!(cluster.promotion_orders.is_empty());
    cluster.server("a").health = Health::Good;
    cluster.server("b").health = Health::Good;
    for _ in 0..40 {
        cluster.grant_duty(9);
        cluster.advance(100);
    }
    assert!(
        !cluster.promotion_orders.is_empty(),
        "no promotion followed the fence of c"
    );
}

#[test]
fn a_leaving_primary_is_replaced_while_it_still_serves() {
    let mut cluster = Cluster::open();
    cluster.leaving = vec!["a".into()];
    cluster.publish_targets();
    cluster.advance(300);
    cluster.grant_duty(7);
    cluster.advance(100);
    let (name, _) = &cluster.promotion_orders[0];
    assert_ne!(name.as_ref(), "a");
}

/// Guards against late writes to a primary that leaves while nothing else is sent to its group
/// (`quiet_drain` of the review): no other member has answered lately.
#[test]
fn a_leaving_primary_of_a_group_that_is_only_written_to_is_replaced() {
    let mut cluster = Cluster::open();
    let writer = cluster.caller("session");
    for _ in 0..30 {
        cluster.send_and_wait(writer, write());
        cluster.advance(100);
    }
    cluster.leaving = vec!["a".into()];
    cluster.publish_targets();
    for _ in 0..10 {
        cluster.send_and_wait(writer, write());
        cluster.advance(50);
    }
    assert!(cluster.duty_requests > 0, "the primary isn't suspected");
    cluster.grant_duty(7);
    cluster.advance(100);
    let ordered = cluster
        .promotion_orders
        .first()
        .map(|(name, _)| name.as_ref());
    assert!(ordered.is_some_and(|name| name != "a"), "{ordered:?}");
}

#[test]
fn a_process_that_was_paused_suspects_no_primary() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("session");
    cluster.server("a").health = Health::Silent;
    cluster.send(caller, write());
    cluster.pause_process(5_000);
    cluster.server("a").health = Health::Good;
    cluster.advance(200);
    assert_eq!(cluster.duty_requests, 0);
}

fn position(version: u64) -> StorePosition {
    StorePosition {
        era: Era::new(0),
        version: Version::new(version),
    }
}

fn proxy(name: &str) -> ProxyId {
    name.parse().unwrap()
}

#[test]
fn the_duty_is_taken_over_only_after_the_last_order_of_its_holder() {
    let start = Instant::now();
    let mut first = Duty::new(proxy("one#1"));
    let mut second = Duty::new(proxy("two#2"));
    for duty in [&mut first, &mut second] {
        duty.record_absent(start - TAKEOVER_DELAY);
    }
    let claim = first.record_write_sent(start);
    // The write takes effect late, and the other process sees it late.
    let carried_out = start + Duration::from_millis(400);
    first.record_holder(position(5), claim.clone(), carried_out);
    second.record_holder(position(5), claim, carried_out);
    let last_order = start + HOLD_DURATION;
    assert!(first.held(last_order).is_none());
    assert!(first.held(last_order - Duration::from_millis(1)).is_some());
    let takeover = carried_out + TAKEOVER_DELAY;
    assert_eq!(
        second.step(takeover - Duration::from_millis(1)),
        DutyAction::Wait
    );
    let expected = Some(Version::new(5));
    assert_eq!(second.step(takeover), DutyAction::Write { expected });
    assert!(takeover > last_order);
}

#[test]
fn a_lost_answer_to_a_duty_write_is_read_back_before_the_duty_is_held() {
    let now = Instant::now();
    let mut duty = Duty::new(proxy("one#1"));
    duty.record_absent(now);
    duty.record_write_sent(now);
    assert_eq!(
        duty.step(now + Duration::from_millis(100)),
        DutyAction::Wait
    );
    assert_eq!(
        duty.step(now + Duration::from_millis(700)),
        DutyAction::Read
    );
    assert!(duty.held(now).is_none());
}

/// When a group starts, its replicas may be listed before the primary. That must not count as the
/// loss of a primary.
#[test]
fn a_group_that_is_still_starting_gets_no_other_primary() {
    let mut starting = Cluster::open_unlisted();
    starting.listed.retain(|name| name.as_ref() != "a");
    starting.publish_targets();
    starting.advance(1_500);
    assert_eq!(starting.duty_requests, 0);
    starting.listed.push("a".into());
    starting.publish_targets();
    starting.advance(300);
    let caller = starting.caller("session");
    assert_eq!(served_by(&starting.send_and_wait(caller, write())), "a");
    assert_eq!(starting.duty_requests, 0);
}

/// A promoter is paused while another process takes the duty over and removes the fences. Answers
/// from before the pause must not count under the new token.
#[test]
fn fences_of_an_earlier_duty_are_not_reused() {
    let mut cluster = cluster_with_crashed_primary();
    cluster.server("b").health = Health::Silent;
    cluster.advance(800);
    cluster.grant_duty(7);
    cluster.advance(100);
    assert!(was_fenced(&cluster, "c"));
    cluster.pause_process(3_000);
    cluster.server("b").health = Health::Good;
    for name in ["b", "c"] {
        cluster.server(name).commands.clear();
    }
    while cluster.promotion_orders.is_empty() {
        cluster.grant_duty(9);
        cluster.advance(5);
    }
    assert!(
        was_fenced(&cluster, "b") && was_fenced(&cluster, "c"),
        "a promotion was ordered on old fences"
    );
    assert_eq!(cluster.promotion_orders[0].1.get(), 9);
}

/// Another process held the duty for a while during an attempt, and may have removed the fences.
/// The attempt must fence all members again.
#[test]
fn an_attempt_restarts_under_a_new_token() {
    let mut cluster = cluster_with_crashed_primary();
    cluster.server("b").health = Health::Silent;
    cluster.advance(800);
    cluster.grant_duty(7);
    cluster.advance(100);
    assert!(was_fenced(&cluster, "c"));
    cluster.server("c").commands.clear();
    cluster.server("b").health = Health::Good;
    while cluster.promotion_orders.is_empty() {
        cluster.grant_duty(9);
        cluster.advance(5);
    }
    assert!(
        was_fenced(&cluster, "c"),
        "a promotion was ordered on a fence of token 7"
    );
}

/// A former primary returned and still reports that it leads. If it were only demoted to a replica,
/// it would receive from the primary to be replaced, and acknowledge commits after its position was
/// read.
#[test]
fn a_former_primary_is_demoted_and_fenced() {
    let mut cluster = Cluster::open();
    cluster.server("c").is_primary = true;
    let server = cluster.server("a");
    server.term = 2;
    server.received = Position::new(2, 11);
    cluster.server("b").received = Position::new(2, 11);
    let writer = cluster.caller("session");
    cluster.send_and_wait(writer, write());
    cluster.server("a").health = Health::Down;
    cluster.disconnect("a");
    cluster.advance(800);
    cluster.grant_duty(7);
    cluster.advance(100);
    let is_step_down = |command: &Command| matches!(command, Command::StepDown { .. });
    assert!(
        cluster.servers["c"].commands.iter().any(is_step_down),
        "c was not known to lead"
    );
    assert!(!cluster.promotion_orders.is_empty());
    assert!(was_fenced(&cluster, "c"), "c was demoted and not fenced");
}

/// A crashed primary returns with its log under another name. A term has only one primary, so it is
/// the same server, and no proof may wait for the old name.
#[test]
fn a_primary_that_returns_under_another_name_counts_as_the_same_server() {
    let mut cluster = cluster_with_crashed_primary();
    cluster.server("b").health = Health::Down;
    cluster.disconnect("b");
    cluster.listed.retain(|name| name.as_ref() == "c");
    cluster.publish_targets();
    cluster.advance(500);
    let returned = Server {
        health: Health::Good,
        commands: Vec::new(),
        ..cluster.servers["a"].clone()
    };
    cluster.servers.insert("d".into(), returned);
    cluster.listed.push("d".into());
    cluster.publish_targets();
    cluster.server("c").replicates = true;
    cluster.advance(1_000);
    let caller = cluster.caller("latest");
    assert_eq!(served_by(&cluster.send_and_wait(caller, read())), "d");
}

/// Returns a cluster in which `b` replaced the primary `a`, and `d` joined as the successor of `a`.
fn cluster_with_replaced_primary() -> Cluster {
    let mut cluster = cluster_with_crashed_primary();
    cluster.server("c").replicates = true;
    cluster.advance(800);
    cluster.grant_duty(7);
    cluster.advance(100);
    cluster
        .engine
        .promotion_finished(cluster.now, &group(), PromoteResult::Accepted);
    cluster.promote("b");
    cluster.advance(300);
    cluster.listed.retain(|name| name.as_ref() != "a");
    let successor = Server {
        is_primary: false,
        commands: Vec::new(),
        ..cluster.servers["b"].clone()
    };
    cluster.servers.insert("d".into(), successor);
    cluster.listed.push("d".into());
    cluster.publish_targets();
    let writer = cluster.caller("session");
    cluster.send_and_wait(writer, write());
    cluster
}

/// Stops the new primary `b`, and grants the duty for a number of seconds.
fn lose_new_primary(cluster: &mut Cluster, seconds: u32) {
    cluster.advance(5_000);
    cluster.server("b").health = Health::Down;
    cluster.disconnect("b");
    for _ in 0..seconds {
        cluster.advance(800);
        cluster.grant_duty(8);
        cluster.advance(200);
    }
}

/// Two primaries fail shortly after one another.
#[test]
fn a_primary_lost_soon_after_a_replacement_is_replaced_too() {
    let mut cluster = cluster_with_replaced_primary();
    lose_new_primary(&mut cluster, 2);
    assert_eq!(
        cluster.promotion_orders.len(),
        2,
        "the second primary was not replaced"
    );
}

/// While a member lacks a part of the new primary's log, a commit may exist only on the primary and
/// on the server that left, so the other members must not count as a quorum.
#[test]
fn a_server_that_left_counts_until_all_others_have_its_log() {
    let mut cluster = cluster_with_replaced_primary();
    cluster.server("c").replicates = false;
    let writer = cluster.caller("session");
    cluster.send_and_wait(writer, write());
    lose_new_primary(&mut cluster, 3);
    assert_eq!(
        cluster.promotion_orders.len(),
        1,
        "a promotion was ordered although the remaining members may lack a commit"
    );
}

/// Makes a server restart empty under its name.
fn restart_empty(cluster: &mut Cluster, name: &str) {
    cluster.disconnect(name);
    let server = cluster.server(name);
    server.incarnation += 1;
    server.fenced_term = 0;
    server.received = Position::default();
    cluster.publish_targets();
}

/// Checks that none of the other servers is promoted after the primary has crashed.
fn check_no_promotion_without_the_primary(cluster: &mut Cluster) {
    cluster.advance(300);
    cluster.server("a").health = Health::Down;
    cluster.disconnect("a");
    for _ in 0..4 {
        cluster.advance(800);
        cluster.grant_duty(7);
        cluster.advance(200);
    }
    assert!(
        cluster.promotion_orders.is_empty(),
        "a server without an acknowledged commit was promoted"
    );
}

/// Guards against the loss of a commit that only the primary and a replica had, when the replica
/// restarts without its log and the primary fails: the restarted replica isn't the one that had it.
#[test]
fn a_replica_that_restarted_empty_does_not_complete_the_quorum() {
    let mut cluster = Cluster::open();
    cluster.server("b").replicates = false;
    let writer = cluster.caller("session");
    cluster.send_and_wait(writer, write());
    cluster.server("c").replicates = false;
    restart_empty(&mut cluster, "c");
    check_no_promotion_without_the_primary(&mut cluster);
}

/// The same for a replica whose entry expires before it restarts, so that no list shows both incarnations
/// (review/7).
#[test]
fn a_replica_that_returned_empty_after_its_entry_expired_does_not_complete_the_quorum() {
    let mut cluster = Cluster::open();
    cluster.server("b").replicates = false;
    let writer = cluster.caller("session");
    cluster.send_and_wait(writer, write());
    cluster.server("c").replicates = false;
    cluster.disconnect("c");
    cluster.listed.retain(|name| name.as_ref() != "c");
    cluster.publish_targets();
    cluster.advance(400);
    cluster.listed.push("c".into());
    restart_empty(&mut cluster, "c");
    check_no_promotion_without_the_primary(&mut cluster);
}

/// Guards against the promotion of a server for the position of a log that it has lost.
#[test]
fn the_position_of_a_server_that_restarted_empty_does_not_count() {
    let mut cluster = cluster_with_crashed_primary();
    cluster.server("c").health = Health::Silent;
    cluster.advance(800);
    cluster.grant_duty(7);
    cluster.advance(100);
    assert!(was_fenced(&cluster, "b"));
    restart_empty(&mut cluster, "b");
    cluster.server("c").health = Health::Good;
    for _ in 0..4 {
        cluster.grant_duty(7);
        cluster.advance(500);
    }
    assert!(
        cluster.promotion_orders.is_empty(),
        "a server was promoted although the only one that had a commit has restarted empty"
    );
}
