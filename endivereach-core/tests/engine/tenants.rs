//! Keys of tenants: who may start a session, which connection runs its statements, and what happens
//! when a key is withdrawn.

use crate::cluster::Cluster;
use crate::cluster::begin;
use crate::cluster::read;
use crate::cluster::write;
use endivereach_core::engine::SessionStart;
use endivereach_core::engine::statement::Body;
use endivereach_core::engine::statement::CallerId;
use endivereach_core::engine::statement::Failure;
use endivereach_core::engine::statement::Outcome;
use endivereach_core::engine::statement::Statement;
use endivereach_core::tenants::CallerKey;
use endivereach_core::tenants::TenantLimits;
use endivereach_core::tenants::Tenants;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

const LIMITS: TenantLimits = TenantLimits {
    rate_per_s: 1_000,
    burst: 1_000,
};

/// Returns tenants that hold one key each, named like the tenant.
pub fn tenants(names: &[&str]) -> Tenants {
    let mut tenants = Tenants::default();
    for name in names {
        let key = CallerKey::from(*name).digest();
        tenants.keys.insert(key, (*name).into());
        tenants.limits.insert((*name).into(), LIMITS);
    }
    tenants
}

fn start(cluster: &mut Cluster, number: u64, key: &str) -> SessionStart {
    let id = CallerId::new(number);
    cluster.engine.caller_opened(cluster.now, id);
    let key = Some(CallerKey::from(key).digest());
    cluster.engine.caller_started(id, "session".into(), key)
}

#[test]
fn a_key_that_no_tenant_holds_is_not_accepted() {
    let mut cluster = Cluster::open();
    cluster.change_tenants(Some(tenants(&["harbour"])));
    assert_eq!(start(&mut cluster, 90, "harbour"), SessionStart::Accepted);
    assert_eq!(start(&mut cluster, 91, "pilots"), SessionStart::UnknownKey);
}

/// A connection shared by two tenants would run one tenant's statements under the other's name.
#[test]
fn tenants_never_share_a_connection() {
    let mut cluster = Cluster::open();
    cluster.change_tenants(Some(tenants(&["harbour", "pilots"])));
    let first = cluster.caller_with_key("session", "harbour");
    let second = cluster.caller_with_key("session", "pilots");
    for _ in 0..3 {
        cluster.send_and_wait(first, write());
        cluster.send_and_wait(second, write());
    }
    let mut tenants_by_connection = BTreeMap::new();
    for statement in &cluster.executed {
        let tenant = statement.tenant.clone();
        let known = tenants_by_connection
            .entry(statement.connection)
            .or_insert(tenant.clone());
        assert_eq!(*known, tenant);
    }
    let tenants: BTreeSet<_> = tenants_by_connection.into_values().collect();
    assert_eq!(
        tenants,
        ["harbour", "pilots"].map(|name| Some(name.into())).into()
    );
}

/// A session that stays open after its key was withdrawn would go on running statements.
#[test]
fn an_idle_session_ends_when_its_key_is_withdrawn() {
    let mut cluster = Cluster::open();
    cluster.change_tenants(Some(tenants(&["harbour", "pilots"])));
    let withdrawn = cluster.caller_with_key("session", "harbour");
    let other = cluster.caller_with_key("session", "pilots");
    cluster.change_tenants(Some(tenants(&["pilots"])));
    assert_eq!(cluster.closed, [withdrawn]);
    let answer = cluster.send_and_wait(other, read());
    assert_eq!(answer.failure(), None);
}

/// A transaction whose caller has lost its right must not be committed later.
#[test]
fn an_open_transaction_is_rolled_back_when_its_key_is_withdrawn() {
    let mut cluster = Cluster::open();
    cluster.change_tenants(Some(tenants(&["harbour"])));
    let caller = cluster.caller_with_key("session", "harbour");
    cluster.send_and_wait(caller, begin());
    cluster.send_and_wait(caller, write());
    let executed = cluster.executed.len();
    cluster.change_tenants(Some(tenants(&[])));
    assert_eq!(cluster.closed, [caller]);
    cluster.send(caller, Body::Commit);
    cluster.advance(100);
    assert_eq!(cluster.executed.len(), executed);
}

/// An answer that a target has already produced is delivered, and nothing runs after it.
#[test]
fn a_running_statement_is_answered_before_its_session_ends() {
    let mut cluster = Cluster::open();
    cluster.change_tenants(Some(tenants(&["harbour"])));
    let caller = cluster.caller_with_key("session", "harbour");
    cluster.send_and_wait(caller, write());
    cluster.server("a").hangs_on_writes = true;
    cluster.send(caller, write());
    cluster.change_tenants(Some(tenants(&[])));
    assert!(cluster.closed.is_empty());
    cluster.server("a").hangs_on_writes = false;
    cluster.advance(20);
    let (_, answer) = cluster.answers.last().unwrap();
    assert!(matches!(answer.outcome, Outcome::Done { .. }));
    assert_eq!(cluster.closed, [caller]);
}

/// A statement that waits when its key is withdrawn hasn't run and must not run any more.
#[test]
fn a_waiting_statement_is_refused_when_its_key_is_withdrawn() {
    let mut cluster = Cluster::open();
    cluster.change_tenants(Some(tenants(&["harbour"])));
    let caller = cluster.caller_with_key("session", "harbour");
    // Nothing is dispatched before the effects are processed.
    let statement = Statement {
        request: "w1".into(),
        body: write(),
    };
    cluster
        .engine
        .caller_statement(cluster.now, caller, statement);
    let executed = cluster.executed.len();
    cluster.change_tenants(Some(tenants(&[])));
    cluster.advance(100);
    let (_, answer) = cluster.answers.last().unwrap();
    assert_eq!(answer.failure(), Some(&Failure::NotAuthorized));
    assert_eq!(cluster.executed.len(), executed);
}

/// A proxy whose routes are too old can't know whether a key has been withdrawn. Where keys must not
/// outlive their withdrawal, it runs nothing under them, and says so truthfully.
#[test]
fn statements_are_refused_while_their_key_cannot_be_confirmed() {
    let mut cluster = Cluster::open();
    cluster.change_tenants(Some(tenants(&["harbour"])));
    let caller = cluster.caller_with_key("session", "harbour");
    cluster.send_and_wait(caller, begin());
    cluster.send_and_wait(caller, write());
    let executed = cluster.executed.len();
    cluster.engine.set_keys_valid_until(Some(cluster.now));
    let answer = cluster.send_and_wait(caller, Body::Commit);
    assert_eq!(answer.failure(), Some(&Failure::Busy));
    let answer = cluster.send_and_wait(caller, write());
    assert_eq!(answer.failure(), Some(&Failure::Busy));
    assert_eq!(cluster.executed.len(), executed);

    let later = cluster.now + Duration::from_secs(1);
    cluster.engine.set_keys_valid_until(Some(later));
    let answer = cluster.send_and_wait(caller, write());
    assert_eq!(answer.failure(), None);
}
