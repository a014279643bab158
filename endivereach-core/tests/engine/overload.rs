//! Overload of one process: tenants that wait for the same servers.

use crate::cluster::Cluster;
use crate::cluster::Health;
use crate::cluster::read;
use crate::cluster::served_by;
use crate::cluster::write;
use crate::tenants::tenants;
use endivereach_core::engine::RefusalReason;
use endivereach_core::engine::statement::Answer;
use endivereach_core::engine::statement::CallerId;
use endivereach_core::engine::statement::Command;
use endivereach_core::engine::statement::Failure;
use endivereach_core::engine::statement::Outcome;
use endivereach_core::engine::statement::Statement;
use endivereach_core::shedding::Ahead;
use endivereach_core::shedding::GroupRates;
use endivereach_core::shedding::ServerRate;
use endivereach_core::treatment::Priority;
use std::time::Duration;

/// Returns the number of statements that the primary was sent and hasn't answered, of three writes
/// of one tenant, while another tenant's statement waits for its connection or not.
fn writes_in_flight(does_other_wait: bool) -> usize {
    let mut cluster = Cluster::open();
    cluster.change_tenants(Some(tenants(&["harbour", "pilots"])));
    let hot: Vec<_> = (0..3)
        .map(|_| cluster.caller_with_key("session", "harbour"))
        .collect();
    let small = cluster.caller_with_key("session", "pilots");
    // Writes without an answer make the hot tenant open several connections.
    cluster.server("a").hangs_on_writes = true;
    for caller in &hot {
        cluster.send(*caller, write());
    }
    cluster.server("a").hangs_on_writes = false;
    cluster.advance(50);
    assert_eq!(cluster.answers.len(), hot.len());
    cluster.server("a").health = Health::Silent;
    cluster.server("a").commands.clear();
    if does_other_wait {
        cluster.send(small, write());
    }
    for caller in &hot {
        cluster.send(*caller, write());
    }
    let commands = cluster.servers["a"].commands.iter();
    commands
        .filter(|command| matches!(command, Command::Run { .. }))
        .count()
}

/// Load: a hot tenant's backlog beside one statement of another tenant. While the other waits, the
/// hot tenant must not fill the server's slots; alone, it may.
#[test]
fn a_tenant_is_bounded_at_a_server_while_others_wait() {
    assert_eq!(writes_in_flight(true), 1);
    assert!(writes_in_flight(false) > 1);
}

/// Fills the primary with writes of one tenant and lets as many wait. Returns the callers that wait.
fn fill_primary(cluster: &mut Cluster) -> Vec<CallerId> {
    cluster.change_tenants(Some(tenants(&["harbour"])));
    let first = cluster.caller_with_key("session", "harbour");
    cluster.send_and_wait(first, write());
    cluster.server("a").hangs_on_writes = true;
    let callers: Vec<_> = (0..12)
        .map(|_| cluster.caller_with_key("session", "harbour"))
        .collect();
    for caller in &callers {
        cluster.send(*caller, write());
    }
    let running = cluster.connection_count("a");
    cluster.answers.clear();
    callers[running..].to_vec()
}

fn refusals(cluster: &Cluster, callers: &[CallerId]) -> Vec<u64> {
    let answers = cluster.answers.iter();
    answers
        .filter(|(id, answer)| callers.contains(id) && answer.failure() == Some(&Failure::Busy))
        .map(|(_, answer)| retry_after_ms(answer))
        .collect()
}

fn retry_after_ms(answer: &Answer) -> u64 {
    let Outcome::Failed { message, .. } = &answer.outcome else {
        panic!("not refused: {answer:?}");
    };
    let delay = message.rsplit_once("retry after ").unwrap().1;
    delay.strip_suffix(" ms").unwrap().parse().unwrap()
}

/// Load: the primary is lost while statements wait for it. They can't run before their deadline, so
/// they are refused at once, and their callers return when there is a primary again. Otherwise they
/// would wait for 400 ms and use up their repeats before that.
#[test]
fn waiting_writes_are_refused_when_the_primary_is_lost() {
    let mut cluster = Cluster::open();
    let waiting = fill_primary(&mut cluster);
    assert!(waiting.len() >= 4, "{} wait", waiting.len());
    cluster.server("a").health = Health::Down;
    cluster.disconnect("a");
    cluster.advance(50);
    let delays = refusals(&cluster, &waiting);
    assert_eq!(delays.len(), waiting.len());
    assert!(delays.iter().all(|delay| *delay >= 1_000), "{delays:?}");

    let refused = cluster.engine.counters().overload.refusals.clone();
    let is_refusal = |(_, answer): &&(_, Answer)| answer.failure() == Some(&Failure::Busy);
    let answered = cluster.answers.iter().filter(is_refusal).count() as u64;
    assert_eq!(refused[&RefusalReason::Overload], answered);

    // Reads that a replica may serve aren't affected.
    let reader = cluster.caller_with_key("aged", "harbour");
    served_by(&cluster.send_and_wait(reader, read()));
    // A write that arrives during the outage is refused at once too.
    let writer = cluster.caller_with_key("session", "harbour");
    cluster.send(writer, write());
    assert_eq!(refusals(&cluster, &[writer]).len(), 1);
}

/// Without tenants, statements wait for a new primary until their deadline, as before.
#[test]
fn without_tenants_nothing_is_refused_early() {
    let mut cluster = Cluster::open();
    let caller = cluster.caller("session");
    cluster.server("a").health = Health::Down;
    cluster.disconnect("a");
    cluster.advance(50);
    cluster.send(caller, write());
    cluster.advance(300);
    assert_eq!(cluster.answers.len(), 0);
}

/// Response times measured under another load say nothing about the present one: a statement must
/// not be refused by figures that are several seconds old.
#[test]
fn nothing_is_refused_by_old_figures() {
    let rate = |age_s| ServerRate {
        per_s: 10.0,
        age: Duration::from_secs(age_s),
    };
    let ahead = Ahead {
        primary_only: 50,
        others: 0,
        own: 0,
    };
    let expected_wait = |age_s| {
        let rates = GroupRates {
            primary: rate(age_s),
            ..GroupRates::default()
        };
        rates.expected_wait(true, None, ahead)
    };
    assert_eq!(expected_wait(0), Some(Duration::from_millis(5_100)));
    assert_eq!(expected_wait(5), None);
}

/// Load: statements that take longer than a statement may wait, at a server that is idle and runs
/// one at a time. The response time alone would make the process refuse what the server has room
/// for.
#[test]
fn nothing_is_refused_while_a_server_has_room() {
    let mut cluster = Cluster::open();
    cluster.change_tenants(Some(tenants(&["harbour"])));
    let caller = cluster.caller_with_key("session", "harbour");
    for _ in 0..40 {
        cluster.server("a").hangs_on_writes = true;
        cluster.send(caller, write());
        cluster.advance(450);
        cluster.server("a").hangs_on_writes = false;
        cluster.advance(5);
    }
    // A refusal limits the process to one statement at a time.
    cluster.server("a").fails_with = vec![Failure::Busy];
    cluster.send(caller, write());
    cluster.engine.caller_disconnected(cluster.now, caller);
    cluster.advance(100);
    // Its first answer after that raises the limit to two. Two statements of one batch have room.
    let callers = ["first", "second"].map(|_| cluster.caller_with_key("session", "harbour"));
    cluster.server("a").hangs_on_writes = true;
    cluster.send(callers[0], write());
    cluster.advance(450);
    cluster.server("a").hangs_on_writes = false;
    cluster.advance(5);
    cluster.answers.clear();
    for caller in callers {
        let statement = Statement {
            request: "q".into(),
            body: write(),
        };
        let now = cluster.now;
        cluster.engine.caller_statement(now, caller, statement);
    }
    cluster.advance(50);
    assert_eq!(cluster.answers.len(), 2);
    for (_, answer) in &cluster.answers {
        served_by(answer);
    }
}

/// Load: callers repeat what was refused, during a burst. A repeat that is late already must not go
/// before an operation that can still be in time.
#[test]
fn a_late_repeat_yields_to_a_new_operation() {
    let mut cluster = Cluster::open();
    let refused = *fill_primary(&mut cluster).last().unwrap();
    cluster.advance(420);
    assert_eq!(refusals(&cluster, &[refused]).len(), 1);
    cluster.answers.clear();
    let new = cluster.caller_with_key("session", "harbour");
    cluster.send(refused, write());
    cluster.send(new, write());
    assert_eq!(cluster.answers.len(), 0, "both wait");
    cluster.server("a").hangs_on_writes = false;
    cluster.advance(50);
    let order: Vec<_> = cluster.answers.iter().map(|(id, _)| *id).collect();
    let waits = &cluster.engine.counters().overload.waits[&Priority::Normal];
    assert!(waits.longest >= Duration::from_millis(250), "{waits:?}");
    let position = |id| order.iter().position(|other| *other == id).unwrap();
    assert!(position(new) < position(refused), "{order:?}");
}

/// Load: both replicas lag, so that reads of a session's own commits compete for the primary with
/// writes. The primary must run first what no other server can ever run.
#[test]
fn while_replicas_lag_writes_go_first_at_the_primary() {
    let mut cluster = Cluster::open();
    cluster.change_tenants(Some(tenants(&["harbour"])));
    let reader = cluster.caller_with_key("session", "harbour");
    assert_ne!(served_by(&cluster.send_and_wait(reader, read())), "a");
    for name in ["b", "c"] {
        cluster.server(name).replicates = false;
    }
    cluster.send_and_wait(reader, write());
    fill_primary(&mut cluster);
    let writer = cluster.caller_with_key("session", "harbour");
    cluster.send(reader, read());
    cluster.send(writer, write());
    assert_eq!(cluster.answers.len(), 0, "both wait");
    cluster.server("a").hangs_on_writes = false;
    cluster.advance(50);
    let order: Vec<_> = cluster.answers.iter().map(|(id, _)| *id).collect();
    let position = |id| order.iter().position(|other| *other == id).unwrap();
    assert!(position(writer) < position(reader), "{order:?}");
}

/// Load: replicas lagged, and have caught up. Reads must not stay on the primary.
#[test]
fn reads_leave_the_primary_once_a_replica_may_serve_them() {
    let mut cluster = Cluster::open();
    cluster.change_tenants(Some(tenants(&["harbour"])));
    let caller = cluster.caller_with_key("session", "harbour");
    assert_ne!(served_by(&cluster.send_and_wait(caller, read())), "a");
    for name in ["b", "c"] {
        cluster.server(name).replicates = false;
    }
    let answer = cluster.send_and_wait(caller, write());
    assert_eq!(served_by(&cluster.send_and_wait(caller, read())), "a");
    for name in ["b", "c"] {
        cluster.server(name).received = answer.position.unwrap();
    }
    cluster.advance(70);
    assert_ne!(served_by(&cluster.send_and_wait(caller, read())), "a");
}

/// Failure: the home of a tenant is lost, and all its callers come to another proxy at once, which
/// knows nothing of the servers' speed. It must not refuse by assumed figures.
#[test]
fn a_home_without_figures_refuses_nothing_at_once() {
    let mut cluster = Cluster::open();
    cluster.change_tenants(Some(tenants(&["harbour"])));
    cluster.server("a").hangs_on_writes = true;
    for _ in 0..300 {
        let caller = cluster.caller_with_key("session", "harbour");
        cluster.send(caller, write());
    }
    assert_eq!(cluster.answers.len(), 0);
}
