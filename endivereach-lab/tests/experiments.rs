//! Experiments with real processes. They run the daemon that was built last, so build the whole
//! workspace first, as `cargo test --workspace` does.
//!
//! A violation in a history fails the test, since it must not occur on any machine. Durations and
//! shares of reads depend on the machine: only the command line checks them, these tests don't.

use endivereach_core::cases;
use endivereach_lab::scenario;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;

/// Invariants with a time limit, which only the command line checks.
const TIMED_INVARIANTS: [&str; 2] = ["I7", "I9"];

/// The maximum number of experiments that run concurrently. Each starts about a dozen processes.
const CONCURRENT_EXPERIMENTS_MAX: usize = 3;

/// The number of experiments that are running.
static RUNNING_EXPERIMENTS: Mutex<usize> = Mutex::new(0);

/// Notified when an experiment ends.
static EXPERIMENT_ENDED: Condvar = Condvar::new();

/// A permit to run one experiment, which is released when it is dropped.
struct ExperimentPermit;

impl ExperimentPermit {
    fn acquire() -> Self {
        let running = RUNNING_EXPERIMENTS
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut running = EXPERIMENT_ENDED
            .wait_while(running, |running| *running >= CONCURRENT_EXPERIMENTS_MAX)
            .unwrap_or_else(PoisonError::into_inner);
        *running += 1;
        Self
    }
}

impl Drop for ExperimentPermit {
    fn drop(&mut self) {
        *RUNNING_EXPERIMENTS
            .lock()
            .unwrap_or_else(PoisonError::into_inner) -= 1;
        EXPERIMENT_ENDED.notify_one();
    }
}

/// Runs an experiment and asserts that its history violates no invariant.
fn check_experiment(name: &str, seed: u64) {
    let _permit = ExperimentPermit::acquire();
    let folder_name = format!("endivereach-test-{name}-{seed}-{}", std::process::id());
    let folder = std::env::temp_dir().join(folder_name);
    let scenario = scenario::find(name).expect("the experiment exists");
    let summary = scenario.run(seed, &folder).expect("the experiment runs");
    let mut untimed_violations = summary.violations.clone();
    untimed_violations.retain(|invariant, _| !TIMED_INVARIANTS.contains(&&**invariant));
    assert!(
        untimed_violations.is_empty(),
        "{untimed_violations:?}\n{:#?}\nlogs are in {}",
        summary.quoted,
        folder.display()
    );
    assert!(summary.done > 0, "no request succeeded: {summary:?}");
    std::fs::remove_dir_all(&folder).expect("the folder can be removed");
}

cases! {
    check_experiment;
    smoke: "smoke", 1;
    failover: "failover", 1;
    partitioned_primary: "partitioned-primary", 1;
    store_down_failover: "store-down-failover", 1;
    silent_connections: "silent-connections", 1;
    proxy_dies: "proxy-dies", 1;
    cancelled_slots: "cancelled-slots", 1;
    planned_stop: "planned-stop", 1;
    share_holder_paused: "share-holder-paused", 1;
    reset: "reset", 1;
    two_faults: "mix", 4;
}
