//! Servers that refuse statements because the processes together send more than they can queue.

use crate::cluster::Cluster;
use crate::cluster::Health;
use crate::cluster::commands_without_probes;
use crate::cluster::read;
use crate::cluster::served_by;
use crate::cluster::write;
use endivereach_core::engine::statement::Failure;
use std::time::Duration;

/// Load: a burst from other processes fills the primary's queue for a moment, so it refuses a write
/// more often than a statement may be attempted. The write waits for room and is served.
#[test]
fn a_refused_write_is_served_once_the_primary_has_room() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("session");
    cluster.server("a").fails_with = vec![Failure::Busy; 8];
    let answer = cluster.send_and_wait(caller, write());
    assert_eq!(served_by(&answer), "a");
}

/// Load: the same burst. The statement isn't sent again until the server can have finished one.
#[test]
fn a_busy_server_is_given_a_pause() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("session");
    cluster.server("a").fails_with = vec![Failure::Busy; 1_000];
    cluster.server("a").commands.clear();
    cluster.send(caller, write());
    cluster.advance(100);
    let sent = commands_without_probes(&cluster.servers["a"]).len();
    assert!((2..=8).contains(&sent), "{sent} statements in 100 ms");
}

/// Load: twelve writes at once on a primary that has room for few. After the first refusals, the
/// rest wait in the proxy and none is refused to its caller.
#[test]
fn a_burst_of_writes_is_spread_over_time() {
    let mut cluster = Cluster::open();
    let callers: Vec<_> = (0..12).map(|_| cluster.caller("session")).collect();
    cluster.server("a").fails_with = vec![Failure::Busy; 10];
    for caller in &callers {
        cluster.send(*caller, write());
    }
    cluster.advance(600);
    assert_eq!(cluster.answers.len(), callers.len());
    for (_, answer) in &cluster.answers {
        served_by(answer);
    }
}

/// Load: one replica sheds part of its load. Reads go to the servers that take them, at once.
#[test]
fn a_read_refused_by_one_replica_runs_on_another_server() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("aged");
    cluster.send_and_wait(caller, read());
    for name in ["b", "c"] {
        cluster.server(name).fails_with = vec![Failure::Busy; 1_000];
    }
    let sent_at = cluster.now;
    let answer = cluster.send_and_wait(caller, read());
    assert_eq!(served_by(&answer), "a");
    assert!(cluster.now - sent_at < Duration::from_millis(60));
}

/// A server that refuses at once must not look faster than one that runs statements.
#[test]
fn a_server_that_always_refuses_is_tried_rarely() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("aged");
    cluster.server("b").fails_with = vec![Failure::Busy; 1_000];
    for _ in 0..100 {
        cluster.send_and_wait(caller, read());
        cluster.advance(5);
    }
    let refused = 1_000 - cluster.server("b").fails_with.len();
    assert!(refused <= 50, "{refused} refusals for 100 reads");
}

/// Load: more writes than a slow primary can run before their deadline, by the limit that its
/// refusals have set. Those that can't be served are refused at once.
#[test]
fn writes_beyond_the_capacity_of_a_busy_primary_are_refused_at_once() {
    let mut cluster = Cluster::open();
    let callers: Vec<_> = (0..40).map(|_| cluster.caller("session")).collect();
    cluster.server("a").fails_with = vec![Failure::Busy; 2];
    cluster.send_and_wait(callers[0], write());
    cluster.server("a").hangs_on_writes = true;
    cluster.send(callers[0], write());
    cluster.advance(300);
    cluster.server("a").hangs_on_writes = false;
    cluster.advance(50);
    cluster.server("a").hangs_on_writes = true;
    let before = cluster.answers.len();
    for caller in &callers {
        cluster.send(*caller, write());
    }
    let refused = cluster.answers[before..].iter();
    let refused = refused.filter(|(_, answer)| answer.failure() == Some(&Failure::Busy));
    assert!(refused.count() > 0, "every write was kept waiting");
}

/// Load: the primary has no room for seconds. A statement is refused while its caller, whose time is
/// little more than the statement's timeout of 800 ms, can still try again.
#[test]
fn a_statement_that_finds_no_room_is_refused_in_time_for_another_attempt() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("session");
    cluster.server("a").fails_with = vec![Failure::Busy; 1_000];
    let sent_at = cluster.now;
    let answer = cluster.send_and_wait(caller, write());
    assert_eq!(answer.failure(), Some(&Failure::Busy));
    assert!(cluster.now - sent_at <= Duration::from_millis(450));
}

/// Load: both replicas lag, and the primary has no room for a moment because it runs all reads. A read
/// waits for the primary, however often the replicas refuse it.
#[test]
fn a_read_that_lagging_replicas_refuse_waits_for_the_primary() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("session");
    served_by(&cluster.send_and_wait(caller, write()));
    for name in ["b", "c"] {
        cluster.server(name).fails_with = vec![Failure::Lagging; 1_000];
    }
    cluster.server("a").fails_with = vec![Failure::Busy; 4];
    let answer = cluster.send_and_wait(caller, read());
    assert_eq!(served_by(&answer), "a");
}

/// Load: writes take every connection to the primary, and the only replica lags for a moment. A read
/// that the replica refused runs there once it has caught up.
#[test]
fn a_read_returns_to_a_replica_that_has_caught_up() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("session");
    served_by(&cluster.send_and_wait(caller, write()));
    cluster.server("c").health = Health::Down;
    cluster.disconnect("c");
    cluster.server("a").hangs_on_writes = true;
    for _ in 0..60 {
        let writer = cluster.caller("session");
        cluster.send(writer, write());
    }
    cluster.advance(50);
    cluster.server("b").fails_with = vec![Failure::Lagging; 3];
    let answer = cluster.send_and_wait(caller, read());
    assert_eq!(served_by(&answer), "b");
}
