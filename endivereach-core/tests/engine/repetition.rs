//! Repeated answers: what several topics share.

use crate::cluster::Cluster;
use crate::cluster::GivenAnswer;
use crate::cluster::served_by;
use crate::cluster::write;
use endivereach_core::engine::statement::Answer;
use endivereach_core::engine::statement::CallerId;
use endivereach_core::engine::statement::Command;
use endivereach_core::engine::statement::Failure;
use proptest::prelude::*;
use std::time::Duration;

/// Creates a group whose primary accepts one connection, which has run a statement.
pub fn cluster_with_one_connection() -> Cluster {
    let mut cluster = Cluster::open();
    cluster.server("a").accepts = 1;
    cluster.disconnect("a");
    cluster.advance(1_000);
    let caller = cluster.caller("session");
    served_by(&cluster.send_and_wait(caller, write()));
    cluster
}

/// Refuses a write of another caller, which then runs on the same connection.
pub fn refuse_one_write(cluster: &mut Cluster) {
    cluster.server("a").fails_with = vec![Failure::Busy];
    let caller = cluster.caller("session");
    served_by(&cluster.send_and_wait(caller, write()));
}

/// Returns the first answer that a caller was given.
pub fn answer_to(cluster: &Cluster, caller: CallerId) -> Option<&Answer> {
    let mut answers = cluster.answers.iter();
    answers
        .find(|(id, _)| *id == caller)
        .map(|(_, answer)| answer)
}

/// Returns whether an answer is that to a caller's statement.
pub fn is_statement(given: &GivenAnswer) -> bool {
    matches!(
        given.command,
        Command::Run { .. } | Command::Execute { .. } | Command::Commit { .. }
    )
}

/// Returns whether an answer refuses a caller's statement as busy.
pub fn is_busy_statement(given: &GivenAnswer) -> bool {
    is_statement(given) && given.answer.failure() == Some(&Failure::Busy)
}

/// Creates a group whose primary accepts two connections and takes 20 ms for a statement.
pub fn contended_cluster(has_seen_repetition: bool) -> Cluster {
    let mut cluster = Cluster::open();
    let server = cluster.server("a");
    server.accepts = 2;
    server.work = Duration::from_millis(20);
    cluster.disconnect("a");
    cluster.advance(600);
    if has_seen_repetition {
        see_repetition(&mut cluster);
    }
    cluster
}

/// Repeats an answer that is recognized by its receipt, and leaves the connections open.
fn see_repetition(cluster: &mut Cluster) {
    let caller = cluster.caller("latest");
    cluster.send_and_wait(caller, write());
    cluster.send(caller, write());
    cluster.repeat_answer("a", |given| matches!(given.command, Command::Run { .. }));
    assert_eq!(cluster.engine.counters().repeated_answers, 1);
    cluster.advance(200);
    cluster.answers.clear();
}

/// Returns the configuration of an exploring test with a fixed seed. `PROPTEST_CASES` overrides the
/// number of lists of events.
pub fn config(cases: u32) -> ProptestConfig {
    let stated = std::env::var("PROPTEST_CASES").ok();
    ProptestConfig {
        cases: stated.and_then(|cases| cases.parse().ok()).unwrap_or(cases),
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(57),
        ..ProptestConfig::default()
    }
}
