//! Tests the supervisor tree: restarts after errors and panics, the restart limit, stalls
//! and stops.

use endivereach_core::supervision::RestartConfig;
use endivereach_core::supervision::StallConfig;
use endivereachd::supervisor::Failure;
use endivereachd::supervisor::Supervisor;
use endivereachd::supervisor::SupervisorConfig;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The maximum time that a test waits for an expected change.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns a configuration with short delays, so that tests are fast.
fn fast_config() -> SupervisorConfig {
    SupervisorConfig {
        restart: RestartConfig {
            restarts_per_minute_max: 3,
            first_delay: Duration::from_millis(1),
            delay_max: Duration::from_millis(1),
        },
        stall: StallConfig {
            report_after_ticks: 2,
            fail_after_ticks: 100_000,
        },
        watchdog_interval: Duration::from_millis(5),
    }
}

#[test]
fn a_child_that_fails_or_panics_is_restarted() {
    let supervisor = Supervisor::spawn(fast_config()).unwrap();
    let runs = Arc::new(AtomicU32::new(0));
    let (done_sender, done_receiver) = std::sync::mpsc::channel();
    let run_counter = Arc::clone(&runs);
    supervisor
        .branch("fleet")
        .start("exchange", move |_| {
            match run_counter.fetch_add(1, Ordering::SeqCst) {
                0 => anyhow::bail!("no peer"),
                1 => panic!("a fault"),
                _ => Ok(done_sender.send(())?),
            }
        })
        .unwrap();
    done_receiver.recv_timeout(WAIT_TIMEOUT).unwrap();
    assert_eq!(runs.load(Ordering::SeqCst), 3);
    let counts = supervisor.counts();
    assert_eq!(&*counts[0].name, "fleet/exchange");
    assert_eq!(counts[0].restarts, 2);
    assert!(supervisor.stop(WAIT_TIMEOUT));
}

#[test]
fn a_child_that_exceeds_the_restart_limit_is_a_failure() {
    let supervisor = Supervisor::spawn(fast_config()).unwrap();
    supervisor
        .start("rules", |_| anyhow::bail!("bad object"))
        .unwrap();
    let failure = supervisor.wait_for_failure(WAIT_TIMEOUT).unwrap();
    assert_eq!(
        failure,
        Failure::TooManyRestarts {
            child: "rules".into(),
            reason: "bad object".into(),
        }
    );
}

#[test]
fn a_stalled_child_is_counted_once_and_then_is_a_failure() {
    let mut config = fast_config();
    config.stall.fail_after_ticks = 20;
    let supervisor = Supervisor::spawn(config).unwrap();
    supervisor
        .start("shares", |child| {
            while !child.is_stopping() {
                std::thread::sleep(Duration::from_millis(1));
            }
            Ok(())
        })
        .unwrap();
    let failure = supervisor.wait_for_failure(WAIT_TIMEOUT).unwrap();
    assert!(matches!(failure, Failure::Stalled { .. }));
    assert_eq!(supervisor.counts()[0].stalls, 1);
    assert!(supervisor.stop(WAIT_TIMEOUT));
}

#[test]
fn a_child_that_makes_progress_is_not_reported_as_stalled() {
    let supervisor = Supervisor::spawn(fast_config()).unwrap();
    let (progress_sender, progress_receiver) = std::sync::mpsc::channel();
    supervisor
        .start("members", move |child| {
            let mut iterations = 0;
            while child.pause(Duration::from_millis(1)) {
                iterations += 1;
                if iterations == 100 {
                    progress_sender.send(())?;
                }
            }
            Ok(())
        })
        .unwrap();
    progress_receiver.recv_timeout(WAIT_TIMEOUT).unwrap();
    assert_eq!(supervisor.wait_for_failure(Duration::ZERO), None);
    assert!(supervisor.stop(WAIT_TIMEOUT));
}
