//! Promotions and old lists of servers: the list is a copy, which lacks the servers that were listed
//! since an answer of the store was lost.

use crate::cluster::Cluster;
use crate::cluster::Health;
use crate::cluster::group;
use crate::cluster::write;
use endivereach_core::cases;
use endivereach_core::engine::statement::Command;
use endivereach_core::ids::Position;
use endivereach_core::target_list::FENCING_AGE_MAX;

fn is_fenced(cluster: &Cluster, name: &str) -> bool {
    let is_pause = |command: &Command| matches!(command, Command::Pause { .. });
    cluster.servers[name].commands.iter().any(is_pause)
}

/// Adds a running replica to the store's list. The engine isn't told.
fn list_replica(cluster: &mut Cluster, name: &str) {
    let mut replica = cluster.servers["b"].clone();
    replica.commands.clear();
    cluster.servers.insert(name.into(), replica);
    cluster.listed.push(name.into());
}

fn crash(cluster: &mut Cluster, name: &str) {
    cluster.server(name).health = Health::Down;
    cluster.disconnect(name);
}

/// Advances the time while this process holds the duty to promote.
fn advance_with_duty(cluster: &mut Cluster, millis: u64) {
    for token in 0..millis.div_ceil(1_000) {
        cluster.grant_duty(10 + token);
        cluster.advance(1_000.min(millis - 1_000 * token));
    }
}

/// Returns a cluster in which another process promoted `d`, which this process's list lacks, and the
/// old primary has left.
fn cluster_with_unlisted_primary() -> Cluster {
    let mut cluster = Cluster::open();
    list_replica(&mut cluster, "d");
    for name in ["b", "c", "d"] {
        let server = cluster.server(name);
        server.term = 2;
        server.received = Position::new(2, 20);
    }
    cluster.server("d").is_primary = true;
    cluster.server("a").health = Health::Down;
    cluster.disconnect("a");
    cluster
}

/// Guards against the loss of the commits that a primary acknowledges with a server that the promoter's
/// list lacks.
#[test]
fn a_group_whose_primary_the_old_list_lacks_gets_no_other_one() {
    let mut cluster = cluster_with_unlisted_primary();
    cluster.advance(FENCING_AGE_MAX.as_millis() as u64);
    advance_with_duty(&mut cluster, 6_000);
    assert!(cluster.promotion_orders.is_empty());
    assert!(!is_fenced(&cluster, "b") && !is_fenced(&cluster, "c"));
    let caller = cluster.caller("session");
    let answer = cluster.send_and_wait(caller, write());
    assert_eq!(answer.failure(), None, "the new primary isn't used");
}

/// Guards against the same loss while the list can't be read.
#[test]
fn nothing_is_fenced_by_an_old_list_while_the_store_is_silent() {
    let mut cluster = cluster_with_unlisted_primary();
    cluster.is_store_silent = true;
    cluster.advance(FENCING_AGE_MAX.as_millis() as u64);
    advance_with_duty(&mut cluster, 6_000);
    assert!(cluster.promotion_orders.is_empty());
    assert!(!is_fenced(&cluster, "b") && !is_fenced(&cluster, "c"));
}

/// Returns a cluster whose primary crashed, and whose other servers this process has fenced. The store
/// doesn't answer the read of the list.
fn cluster_with_fenced_servers() -> Cluster {
    let mut cluster = Cluster::open();
    cluster.publish_targets();
    cluster.is_store_silent = true;
    crash(&mut cluster, "a");
    cluster.grant_duty(7);
    cluster.advance(1_000);
    assert!(is_fenced(&cluster, "b") && is_fenced(&cluster, "c"));
    assert!(cluster.promotion_orders.is_empty());
    cluster
}

/// Guards against an order that counts too few servers, because one was listed while others were fenced.
#[test]
fn a_server_that_is_listed_during_an_attempt_is_fenced_before_the_order() {
    let mut cluster = cluster_with_fenced_servers();
    list_replica(&mut cluster, "d");
    cluster.is_store_silent = false;
    cluster.advance(100);
    assert!(is_fenced(&cluster, "d"));
    assert_eq!(cluster.promotion_orders.len(), 1);
}

/// Guards against an order that rests on a list from before the fences: however recent it is, a server
/// may have been listed since.
fn check_silence_prevents_the_order(silence_before_crash_millis: u64) {
    let mut cluster = Cluster::open();
    cluster.publish_targets();
    cluster.is_store_silent = true;
    cluster.advance(silence_before_crash_millis);
    crash(&mut cluster, "a");
    advance_with_duty(&mut cluster, 5_000);
    assert!(cluster.promotion_orders.is_empty());
    cluster.is_store_silent = false;
    advance_with_duty(&mut cluster, 1_000);
    assert_eq!(cluster.promotion_orders.len(), 1);
}

cases! {
    check_silence_prevents_the_order;
    a_store_that_is_silent_from_the_crash_on: 0;
    a_store_that_was_silent_for_1300_ms: 1_300;
    a_store_that_was_silent_for_4_s: 4_000;
    a_store_that_was_silent_for_25_s: 25_000;
}

/// Load: each failover reads the list after its fences, and before them only if the copy is old.
fn check_reads_of_a_failover(list_age_millis: u64, expected_reads: usize) {
    let mut cluster = Cluster::open();
    cluster.publish_targets();
    cluster.advance(list_age_millis);
    crash(&mut cluster, "a");
    cluster.grant_duty(7);
    cluster.advance(1_000);
    assert_eq!(cluster.promotion_orders.len(), 1);
    assert_eq!(cluster.answered_list_reads, expected_reads);
}

cases! {
    check_reads_of_a_failover;
    a_failover_with_a_recent_list_reads_it_once: 0, 1;
    a_failover_with_an_old_list_reads_it_twice: 20_000, 2;
}

/// Other proxies hold the acknowledgements that a promotion may lose, so they must learn of it before the
/// order.
#[test]
fn a_promotion_is_announced_before_its_order() {
    let cluster = cluster_with_fenced_servers();
    assert_eq!(cluster.announced_promotions, [group()]);
}
