//! The supervisor tree: restarts, panics, the limit, stalls and stops.

use endivereach_core::supervision::RestartConfig;
use endivereach_core::supervision::StallConfig;
use endivereachd::supervisor::Failure;
use endivereachd::supervisor::Supervisor;
use endivereachd::supervisor::SupervisorConfig;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How long a test waits for something that must happen.
const WAIT: Duration = Duration::from_secs(30);

fn quick() -> SupervisorConfig {
    SupervisorConfig {
        restart: RestartConfig {
            restarts_per_minute_max: 3,
            first_delay: Duration::from_millis(1),
            delay_max: Duration::from_millis(1),
        },
        stall: StallConfig {
            report_after_ticks: 2,
            give_up_after_ticks: 100_000,
        },
        tick: Duration::from_millis(5),
    }
}

#[test]
fn a_child_that_fails_or_panics_is_started_again() {
    let supervisor = Supervisor::spawn(quick()).unwrap();
    let runs = Arc::new(AtomicU32::new(0));
    let (done, is_done) = std::sync::mpsc::channel();
    let counted = Arc::clone(&runs);
    supervisor
        .branch("fleet")
        .start("exchange", move |_| {
            match counted.fetch_add(1, Ordering::SeqCst) {
                0 => anyhow::bail!("no peer"),
                1 => panic!("a fault"),
                _ => Ok(done.send(())?),
            }
        })
        .unwrap();
    is_done.recv_timeout(WAIT).unwrap();
    assert_eq!(runs.load(Ordering::SeqCst), 3);
    let counts = supervisor.counts();
    assert_eq!(&*counts[0].name, "fleet/exchange");
    assert_eq!(counts[0].restarts, 2);
    assert!(supervisor.stop(WAIT));
}

#[test]
fn a_child_that_keeps_failing_ends_the_process() {
    let supervisor = Supervisor::spawn(quick()).unwrap();
    supervisor
        .start("rules", |_| anyhow::bail!("bad object"))
        .unwrap();
    let failure = supervisor.wait_failure(WAIT).unwrap();
    assert_eq!(
        failure,
        Failure::TooManyRestarts {
            child: "rules".into(),
            reason: "bad object".into(),
        }
    );
}

#[test]
fn a_stalled_child_is_counted_once_and_then_ends_the_process() {
    let mut config = quick();
    config.stall.give_up_after_ticks = 20;
    let supervisor = Supervisor::spawn(config).unwrap();
    supervisor
        .start("shares", |child| {
            while !child.is_stopping() {
                std::thread::sleep(Duration::from_millis(1));
            }
            Ok(())
        })
        .unwrap();
    let failure = supervisor.wait_failure(WAIT).unwrap();
    assert!(matches!(failure, Failure::Stalled { .. }));
    assert_eq!(supervisor.counts()[0].stalls, 1);
    assert!(supervisor.stop(WAIT));
}

#[test]
fn a_child_with_a_heartbeat_is_left_alone() {
    let supervisor = Supervisor::spawn(quick()).unwrap();
    let (moved, has_moved) = std::sync::mpsc::channel();
    supervisor
        .start("members", move |child| {
            let mut turns = 0;
            while child.pause(Duration::from_millis(1)) {
                turns += 1;
                if turns == 100 {
                    moved.send(())?;
                }
            }
            Ok(())
        })
        .unwrap();
    has_moved.recv_timeout(WAIT).unwrap();
    assert_eq!(supervisor.wait_failure(Duration::ZERO), None);
    assert!(supervisor.stop(WAIT));
}
