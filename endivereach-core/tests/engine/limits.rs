//! Rate limits of tenants: which statements take a token, and operations that wait for one.

use crate::cluster::Cluster;
use crate::cluster::Health;
use crate::cluster::begin;
use crate::cluster::read;
use crate::cluster::write;
use endivereach_core::allowance::Held;
use endivereach_core::allowance::Message;
use endivereach_core::engine::statement::Access;
use endivereach_core::engine::statement::Answer;
use endivereach_core::engine::statement::Body;
use endivereach_core::engine::statement::CallerId;
use endivereach_core::engine::statement::Failure;
use endivereach_core::engine::statement::PreparedStatement;
use endivereach_core::tenants::CallerKey;
use endivereach_core::tenants::TenantLimits;
use endivereach_core::tenants::Tenants;

/// Returns a tenant that holds one key, which is its name.
fn harbour(rate_per_s: u32, burst: u32) -> Tenants {
    let mut tenants = Tenants::default();
    let limits = TenantLimits { rate_per_s, burst };
    tenants.limits.insert("harbour".into(), limits);
    let key = CallerKey::from("harbour").digest();
    tenants.keys.insert(key, "harbour".into());
    tenants
}

/// Opens a cluster whose process is the only one, with tokens for `burst` operations.
fn limited_cluster(burst: u32) -> (Cluster, CallerId) {
    let mut cluster = Cluster::open();
    cluster.change_tenants(Some(harbour(burst, burst)));
    let now = cluster.now;
    cluster
        .engine
        .set_tenant_rankings(now, |_| vec!["front-1".into()]);
    cluster.advance(2_600);
    let caller = cluster.caller_with_key("session", "harbour");
    (cluster, caller)
}

/// Opens a cluster whose process holds no part of the bucket.
fn remote_cluster() -> (Cluster, CallerId) {
    let mut cluster = Cluster::open();
    cluster.change_tenants(Some(harbour(10, 10)));
    let now = cluster.now;
    cluster
        .engine
        .set_tenant_rankings(now, |_| vec!["front-2".into(), "front-3".into()]);
    let caller = cluster.caller_with_key("session", "harbour");
    (cluster, caller)
}

/// Answers the newest request for tokens.
fn grant(cluster: &mut Cluster, tokens: u32) {
    let (peer, request) = cluster.peer_messages.pop().unwrap();
    let Message::Request { id, tenant, .. } = request else {
        panic!("{request:?}");
    };
    let held = Held::Whole;
    let grant = Message::Grant {
        id,
        tenant,
        tokens,
        held,
        retry_after_ms: 0,
    };
    cluster.engine.peer_message(cluster.now, &peer, grant);
    cluster.process_effects();
}

fn is_busy(answer: &Answer) -> bool {
    answer.failure() == Some(&Failure::Busy)
}

/// One operation is refused although the tenant has a token, or the answer names no delay.
#[test]
fn operations_over_the_limit_are_refused_with_a_retry_delay() {
    let (mut cluster, caller) = limited_cluster(2);
    assert!(!is_busy(&cluster.send_and_wait(caller, read())));
    assert!(!is_busy(&cluster.send_and_wait(caller, write())));
    let answer = cluster.send_and_wait(caller, read());
    assert!(is_busy(&answer));
    assert!(
        format!("{answer:?}").contains("retry after 500 ms"),
        "{answer:?}"
    );
    assert_eq!(cluster.engine.counters().rate_limited, 1);
    cluster.advance(500);
    assert!(!is_busy(&cluster.send_and_wait(caller, read())));
}

/// A transaction that is charged for each statement gets a fraction of its limit.
#[test]
fn a_transaction_takes_one_token() {
    let (mut cluster, caller) = limited_cluster(1);
    let definition = PreparedStatement {
        access: Access::Read,
        text: "READ 1".into(),
    };
    let name: Box<str> = "p".into();
    for local in [
        Body::Set {
            name: "zone".into(),
            value: "CET".into(),
        },
        Body::Prepare {
            name: name.clone(),
            definition,
        },
        begin(),
        write(),
        read(),
        Body::Execute {
            name,
            arguments: "1".into(),
        },
        Body::Commit,
    ] {
        let answer = cluster.send_and_wait(caller, local);
        assert_eq!(answer.failure(), None);
    }
    assert!(is_busy(&cluster.send_and_wait(caller, read())));
}

/// A retry within the proxy is not another operation of the tenant.
#[test]
fn an_internal_retry_takes_no_token() {
    let (mut cluster, caller) = limited_cluster(1);
    for server in ["a", "b", "c"] {
        cluster.server(server).fails_with = vec![Failure::Busy];
    }
    assert_eq!(cluster.send_and_wait(caller, write()).failure(), None);
    assert!(cluster.engine.counters().retried > 0);
}

/// An operation that no server was sent must not use up the limit: the tenant would lose it twice.
#[test]
fn an_operation_that_was_never_sent_returns_its_token() {
    let (mut cluster, caller) = limited_cluster(1);
    for server in ["a", "b", "c"] {
        cluster.server(server).health = Health::Down;
        cluster.disconnect(server);
    }
    assert!(is_busy(&cluster.send_and_wait(caller, write())));
    let disconnecting = cluster.caller_with_key("session", "harbour");
    cluster.send(disconnecting, write());
    let now = cluster.now;
    cluster.engine.caller_disconnected(now, disconnecting);
    cluster.send_and_wait(caller, write());
    assert_eq!(cluster.engine.counters().rate_limited, 0);
}

/// A process without a part of the bucket serves a session by tokens of the holder.
#[test]
fn operations_wait_for_tokens_of_another_proxy() {
    let (mut cluster, caller) = remote_cluster();
    cluster.send(caller, read());
    assert!(cluster.answers.is_empty());
    grant(&mut cluster, 1);
    cluster.advance(20);
    assert_eq!(cluster.answers[0].1.failure(), None);
    assert_eq!(cluster.engine.counters().allowance_waits, 1);
}

/// Waiting for a holder that can't be reached must not take longer than the caller's patience.
#[test]
fn an_operation_waits_at_most_150_ms_for_tokens() {
    let (mut cluster, caller) = remote_cluster();
    cluster.send(caller, read());
    cluster.advance(180);
    assert!(is_busy(&cluster.answers[0].1));
    let asked: Vec<&str> = cluster
        .peer_messages
        .iter()
        .map(|(peer, _)| peer.as_str())
        .collect();
    assert_eq!(asked, ["front-2", "front-3"]);
}

/// A statement that waits for tokens has not run. It must not run after its key was withdrawn, and
/// its caller must get an answer.
#[test]
fn a_waiting_operation_ends_when_its_key_is_withdrawn() {
    let (mut cluster, caller) = remote_cluster();
    cluster.send(caller, read());
    cluster.change_tenants(Some(Tenants::default()));
    cluster.advance(200);
    let answers: Vec<_> = cluster.answers.iter().map(|(_, a)| a.failure()).collect();
    assert_eq!(answers, [Some(&Failure::NotAuthorized)]);
    assert_eq!(cluster.closed, [caller]);
    assert!(cluster.executed.is_empty());
}

/// The tokens of a caller that disconnects while it waits are left to the others.
#[test]
fn a_caller_that_disconnects_does_not_hold_up_the_others() {
    let (mut cluster, caller) = remote_cluster();
    let other = cluster.caller_with_key("session", "harbour");
    cluster.send(caller, read());
    cluster.send(other, read());
    let now = cluster.now;
    cluster.engine.caller_disconnected(now, caller);
    grant(&mut cluster, 1);
    cluster.advance(20);
    assert_eq!(cluster.answers.len(), 1);
    assert_eq!(cluster.answers[0].1.failure(), None);
}

/// A deployment without tenants must not send anything.
#[test]
fn without_tenants_nothing_is_sent_or_limited() {
    let mut cluster = Cluster::open();
    let now = cluster.now;
    cluster
        .engine
        .set_tenant_rankings(now, |_| vec!["front-2".into()]);
    let caller = cluster.caller("session");
    for _ in 0..50 {
        assert_eq!(cluster.send_and_wait(caller, read()).failure(), None);
    }
    cluster.advance(3_000);
    assert!(cluster.peer_messages.is_empty());
}
