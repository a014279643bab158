//! Changes of keys and routes around sessions that wait or run.

use crate::cluster::Cluster;
use crate::cluster::begin;
use crate::cluster::write;
use crate::tenants::tenants;
use endivereach_core::engine::SessionStart;
use endivereach_core::engine::statement::CallerId;
use endivereach_core::engine::statement::Command;
use endivereach_core::engine::statement::Failure;
use endivereach_core::engine::statement::Statement;
use endivereach_core::tenants::CallerKey;

/// A start that waits for newer routes would be closed by the routes that bring its key.
#[test]
fn a_waiting_start_outlives_the_routes_that_bring_its_key() {
    let mut cluster = Cluster::open();
    cluster.change_tenants(Some(tenants(&["harbour"])));
    let id = CallerId::new(90);
    cluster.engine.caller_opened(cluster.now, id);
    let key = Some(CallerKey::from("pilots").digest());
    let start = cluster.engine.caller_started(id, "session".into(), key);
    assert_eq!(start, SessionStart::UnknownKey);
    cluster.change_tenants(Some(tenants(&["harbour", "pilots"])));
    assert!(cluster.closed.is_empty());
}

/// A session whose key is still in the routes would end when keys become unnecessary.
#[test]
fn a_session_with_a_current_key_outlives_the_end_of_tenants() {
    let mut cluster = Cluster::open();
    cluster.change_tenants(Some(tenants(&["harbour"])));
    cluster.caller_with_key("session", "harbour");
    cluster.change_tenants(None);
    assert!(cluster.closed.is_empty());
}

/// A statement that a busy server refused would be sent again although its key was withdrawn.
#[test]
fn a_refused_statement_is_not_repeated_under_a_withdrawn_key() {
    let mut cluster = Cluster::open();
    cluster.change_tenants(Some(tenants(&["harbour"])));
    let caller = cluster.caller_with_key("session", "harbour");
    cluster.send_and_wait(caller, begin());
    cluster.send_and_wait(caller, write());
    cluster.server("a").fails_with = vec![Failure::Busy];
    let statement = Statement {
        request: "w1".into(),
        body: write(),
    };
    cluster
        .engine
        .caller_statement(cluster.now, caller, statement);
    cluster.change_tenants(Some(tenants(&[])));
    cluster.advance(400);
    let is_w1 = |command: &&Command| matches!(command, Command::Run { request, .. } if *request == "w1".into());
    let commands = cluster.servers["a"].commands.iter();
    assert_eq!(commands.filter(is_w1).count(), 1);
}
