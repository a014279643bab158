//! Replication, fencing, promotion and diverged logs, with running members.

mod common;

use common::Group;
use common::TEST_TIMEOUT;
use common::connect;
use common::control;
use common::error_sqlstate;
use common::first_value;
use common::member_name;
use common::primary_config;
use common::status;
use endivereach_core::ids::Position;
use endivereach_core::ids::Term;
use endivereach_lab::member::ApplyFault;
use endivereach_lab::member::Member;
use endivereach_lab::member::MemberFault;
use endivereach_lab::member::PATH_FAULT;
use endivereach_wire::http::CallError;
use endivereach_wire::http::Client as HttpClient;
use endivereach_wire::member::MemberRole;
use endivereach_wire::member::MemberStatus;

const COUNT: &str = "SELECT count(*) FROM registers";

fn insert(member: &Member, key: &str) -> Position {
    let mut client = connect(member);
    let sql = format!("INSERT INTO registers VALUES ('{key}', 1)");
    client.batch_execute(&sql).unwrap();
    status(member).durable
}

fn set_fault(member: &Member, fault: MemberFault) {
    let _: () = HttpClient::new()
        .call(member.control_addr(), PATH_FAULT, &fault, TEST_TIMEOUT)
        .unwrap();
}

#[test]
fn replicas_follow_and_refuse_writes() {
    let group = Group::spawn();
    let position = insert(&group.members[0], "x");
    for index in [1, 2] {
        group.wait_applied(index, position);
        let mut client = connect(&group.members[index]);
        assert_eq!(first_value(&mut client, COUNT).as_deref(), Some("1"));
        let refused = "INSERT INTO registers VALUES ('y', 1)";
        assert_eq!(error_sqlstate(&mut client, refused), "25006");
    }
}

#[test]
fn a_paused_replica_stores_writes_but_does_not_apply_them() {
    let group = Group::spawn();
    let first = insert(&group.members[0], "x");
    group.wait_applied(1, first);
    let paused = ApplyFault {
        paused: true,
        ..ApplyFault::default()
    };
    set_fault(
        &group.members[1],
        MemberFault {
            apply: paused,
            ..MemberFault::default()
        },
    );
    let second = insert(&group.members[0], "y");
    while status(&group.members[1]).durable < second {
        std::thread::yield_now();
    }
    assert_eq!(status(&group.members[1]).applied, first);
    let mut client = connect(&group.members[1]);
    assert_eq!(first_value(&mut client, COUNT).as_deref(), Some("1"));
    set_fault(&group.members[1], MemberFault::default());
    group.wait_applied(1, second);
    assert_eq!(first_value(&mut client, COUNT).as_deref(), Some("2"));
}

#[test]
fn a_promotion_applies_the_whole_log_first() {
    let group = Group::spawn();
    let apply = ApplyFault {
        paused: true,
        ..ApplyFault::default()
    };
    let apply = MemberFault {
        apply,
        ..MemberFault::default()
    };
    set_fault(&group.members[1], apply);
    let position = insert(&group.members[0], "x");
    while status(&group.members[1]).durable < position {
        std::thread::yield_now();
    }
    let client = control(&group.members[1]);
    client.fence(Term::new(2), TEST_TIMEOUT).unwrap();
    let promoted = client.promote(Term::new(2), TEST_TIMEOUT).unwrap();
    assert_eq!(promoted.role, MemberRole::Primary);
    assert_eq!(promoted.durable, Position::new(2, position.index.get() + 1));
    assert_eq!(promoted.applied, promoted.durable);
    let mut client = connect(&group.members[1]);
    assert_eq!(first_value(&mut client, COUNT).as_deref(), Some("1"));
}

#[test]
fn a_fenced_primary_refuses_writes_and_open_transactions() {
    let group = Group::spawn();
    let primary = &group.members[0];
    let mut open = connect(primary);
    open.batch_execute("BEGIN").unwrap();
    open.batch_execute("INSERT INTO registers VALUES ('x', 1)")
        .unwrap();
    let before = status(primary).durable;
    control(primary).fence(Term::new(2), TEST_TIMEOUT).unwrap();
    assert_eq!(error_sqlstate(&mut open, "COMMIT"), "25006");
    let mut client = connect(primary);
    let refused = "INSERT INTO registers VALUES ('y', 1)";
    assert_eq!(error_sqlstate(&mut client, refused), "25006");
    assert_eq!(status(primary).durable, before);
}

#[test]
fn a_diverged_log_tail_is_truncated() {
    let group = Group::spawn();
    let common = insert(&group.members[0], "common");
    for index in [1, 2] {
        group.wait_applied(index, common);
    }
    // Fencing prevents the replicas from pulling further writes of the former primary.
    for index in [1, 2] {
        let client = control(&group.members[index]);
        client.fence(Term::new(2), TEST_TIMEOUT).unwrap();
    }
    for key in ["lost-1", "lost-2"] {
        insert(&group.members[0], key);
    }
    let new = control(&group.members[1]);
    new.promote(Term::new(2), TEST_TIMEOUT).unwrap();
    let kept = insert(&group.members[1], "kept");
    for index in [0, 2] {
        let client = control(&group.members[index]);
        client
            .follow(Term::new(2), &member_name(1), TEST_TIMEOUT)
            .unwrap();
        let seen = group.wait_applied(index, kept);
        assert_eq!(seen.durable, kept);
        let mut client = connect(&group.members[index]);
        assert_eq!(first_value(&mut client, COUNT).as_deref(), Some("2"));
        let lost = "SELECT count(*) FROM registers WHERE key = 'lost-1'";
        assert_eq!(first_value(&mut client, lost).as_deref(), Some("0"));
    }
}

#[test]
fn calls_with_stale_terms_are_refused() {
    let group = Group::spawn();
    let client = control(&group.members[1]);
    let kind = |outcome: Result<MemberStatus, CallError>| {
        let error = outcome.expect_err("the call must be refused");
        error.refusal_kind().map(str::to_owned)
    };
    let stale = Some("stale_term".to_owned());
    assert_eq!(kind(client.promote(Term::new(2), TEST_TIMEOUT)), stale);
    client.fence(Term::new(3), TEST_TIMEOUT).unwrap();
    client.fence(Term::new(3), TEST_TIMEOUT).unwrap();
    assert_eq!(kind(client.fence(Term::new(2), TEST_TIMEOUT)), stale);
    assert_eq!(kind(client.promote(Term::new(2), TEST_TIMEOUT)), stale);
    assert_eq!(kind(client.promote(Term::new(4), TEST_TIMEOUT)), stale);
    assert_eq!(
        kind(client.follow(Term::new(2), &member_name(2), TEST_TIMEOUT)),
        stale
    );
    client.promote(Term::new(3), TEST_TIMEOUT).unwrap();
    client.promote(Term::new(3), TEST_TIMEOUT).unwrap();
    assert_eq!(kind(client.fence(Term::new(3), TEST_TIMEOUT)), stale);
    assert_eq!(
        kind(client.follow(Term::new(3), &member_name(2), TEST_TIMEOUT)),
        stale
    );
}

#[test]
fn a_restarted_member_recovers_its_log_term_and_fence() {
    let folder = std::env::temp_dir().join(format!("endivereach-member-{}", std::process::id()));
    let config = || endivereach_lab::member::MemberConfig {
        data_dir: Some(folder.clone()),
        ..primary_config("a")
    };
    let member = Member::spawn(config()).unwrap();
    insert(&member, "x");
    control(&member).fence(Term::new(5), TEST_TIMEOUT).unwrap();
    let before = status(&member);
    drop(member);
    let member = Member::spawn(config()).unwrap();
    let after = status(&member);
    assert_eq!(after.durable, before.durable);
    assert_eq!(after.applied, before.durable);
    assert_eq!(
        (after.term, after.fenced_term),
        (Term::new(1), Term::new(5))
    );
    let mut client = connect(&member);
    assert_eq!(first_value(&mut client, COUNT).as_deref(), Some("1"));
    let refused = "INSERT INTO registers VALUES ('y', 1)";
    assert_eq!(error_sqlstate(&mut client, refused), "25006");
    control(&member)
        .promote(Term::new(5), TEST_TIMEOUT)
        .unwrap();
    drop(client);
    drop(member);
    let member = Member::spawn(config()).unwrap();
    assert_eq!(status(&member).role, MemberRole::Primary);
    insert(&member, "z");
    drop(member);
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn connections_beyond_the_limit_are_refused_and_counted() {
    let member = Member::spawn(endivereach_lab::member::MemberConfig {
        max_connections: Some(2),
        ..primary_config("a")
    })
    .unwrap();
    let open = [connect(&member), connect(&member)];
    let addr = member.sql_addr();
    let text = format!("host={} port={} user=test", addr.ip(), addr.port());
    let error = postgres::Client::connect(&text, postgres::NoTls).err();
    let error = error.expect("the third connection must be refused");
    assert_eq!(error.code().unwrap().code(), "53300");
    let counters: endivereach_lab::member::MemberCounters = HttpClient::new()
        .call(
            member.control_addr(),
            endivereach_lab::member::PATH_COUNTERS,
            &(),
            TEST_TIMEOUT,
        )
        .unwrap();
    assert_eq!(counters.connections.open_max, 2);
    assert_eq!(counters.connections.refused, 1);
    drop(open);
}
