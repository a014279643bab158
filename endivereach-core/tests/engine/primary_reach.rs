//! Writes while this process reaches no primary.
//!
//! Load: a primary is cut from a part of the proxies and replicas for 5 s.

use crate::cluster::Cluster;
use crate::cluster::Health;
use crate::cluster::read;
use crate::cluster::served_by;
use crate::cluster::write;
use endivereach_core::engine::statement::Answer;
use endivereach_core::engine::statement::CallerId;
use endivereach_core::engine::statement::Failure;
use endivereach_core::ids::Position;
use std::time::Duration;

/// Cuts this process from the primary and one replica. It can't promote the other replica alone.
fn cut(cluster: &mut Cluster) {
    for name in ["a", "b"] {
        cluster.server(name).health = Health::Silent;
        cluster.disconnect(name);
    }
}

/// Sends a write and returns its answer and how long it took.
fn timed_write(cluster: &mut Cluster, caller: CallerId) -> (Answer, Duration) {
    let sent_at = cluster.now;
    let answer = cluster.send_and_wait(caller, write());
    (answer, cluster.now - sent_at)
}

/// Each write was held for half of its timeout, 0.4 s, and then refused.
#[test]
fn writes_are_refused_at_once_in_a_long_outage() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("session");
    cut(&mut cluster);
    cluster.advance(2_500);
    let (answer, took) = timed_write(&mut cluster, caller);
    assert_eq!(answer.failure(), Some(&Failure::Busy));
    assert!(took < Duration::from_millis(20), "{took:?}");
    assert_eq!(cluster.engine.counters().refused_without_primary, 1);
}

#[test]
fn reads_that_a_replica_may_serve_go_on() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("aged");
    served_by(&cluster.send_and_wait(caller, read()));
    cut(&mut cluster);
    // The age of the floor of these reads is 1.5 s; the other replica alone can't prove a new one.
    cluster.advance(600);
    assert_eq!(served_by(&cluster.send_and_wait(caller, read())), "c");
    assert!(cluster.engine.is_ready(), "the process left rotation");
}

/// A promotion takes about a second. Writes that arrive meanwhile wait for it, as long as before.
#[test]
fn writes_wait_for_a_promotion() {
    for lost_for in [300, 700, 900] {
        let mut cluster = Cluster::open();
        cluster.server("a").health = Health::Down;
        cluster.disconnect("a");
        cluster.advance(lost_for);
        let caller = cluster.caller("session");
        let before = cluster.answers.len();
        cluster.send(caller, write());
        cluster.advance(250);
        assert_eq!(cluster.answers.len(), before, "refused after {lost_for} ms");
        cluster.promote("b");
        cluster.server("b").term = 2;
        cluster.advance(145);
        let (_, answer) = &cluster.answers[before];
        assert_eq!(served_by(answer), "b");
    }
}

#[test]
fn a_write_that_may_wait_longer_than_the_expected_outage_waits() {
    let mut cluster = Cluster::open();
    cut(&mut cluster);
    cluster.advance(1_500);
    let caller = cluster.caller("session");
    let before = cluster.answers.len();
    cluster.send(caller, write());
    cluster.advance(200);
    assert_eq!(
        cluster.answers.len(),
        before,
        "refused while a promotion is expected"
    );
}

#[test]
fn writes_run_again_once_the_primary_is_in_reach() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("session");
    cut(&mut cluster);
    cluster.advance(3_000);
    assert_eq!(
        timed_write(&mut cluster, caller).0.failure(),
        Some(&Failure::Busy)
    );
    for name in ["a", "b"] {
        cluster.server(name).health = Health::Good;
    }
    cluster.advance(700);
    assert_eq!(served_by(&timed_write(&mut cluster, caller).0), "a");
}

/// A process that isn't a home stops watching a group without callers. Guards against a refusal of the
/// next caller by what the process knew then.
#[test]
fn an_outage_that_was_not_watched_to_its_end_does_not_count() {
    let mut cluster = Cluster::open();
    cluster.engine.set_home(&crate::cluster::group(), false);
    let caller = cluster.caller("session");
    cut(&mut cluster);
    timed_write(&mut cluster, caller);
    cluster.advance(8_000);
    for name in ["a", "b"] {
        cluster.server(name).health = Health::Good;
    }
    cluster.advance(2_000);
    assert_eq!(served_by(&timed_write(&mut cluster, caller).0), "a");
}

/// Lets the replica `c` receive the commits of other proxies, or not, for a while.
fn receive(cluster: &mut Cluster, commits: bool, steps: u64) {
    for _ in 0..steps {
        let received = cluster.server("c").received;
        if commits {
            cluster.server("c").received = Position::new(1, received.index.get() + 1);
        }
        cluster.advance(100);
    }
}

#[test]
fn sessions_are_passed_on_while_others_reach_the_primary() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("session");
    receive(&mut cluster, true, 5);
    assert!(
        !cluster.engine.passes_session(cluster.now, caller),
        "the primary is in reach"
    );
    cut(&mut cluster);
    receive(&mut cluster, true, 10);
    assert!(
        !cluster.engine.passes_session(cluster.now, caller),
        "a promotion may be running"
    );
    receive(&mut cluster, true, 20);
    assert!(cluster.engine.passes_session(cluster.now, caller));
}

/// If all homes refused sessions while no process reaches a primary, each proxy would open connections
/// of its own, far more than the servers accept.
#[test]
fn sessions_stay_while_no_replica_receives() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("session");
    cut(&mut cluster);
    receive(&mut cluster, false, 30);
    assert!(!cluster.engine.passes_session(cluster.now, caller));
}
