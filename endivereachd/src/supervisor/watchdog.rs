//! The watchdog, which checks every child's heartbeat once per tick.

use super::ChildState;
use super::Failure;
use super::Shared;
use super::lock;
use endivereach_core::supervision::HeartbeatStatus;
use endivereach_core::supervision::StallDetector;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;

/// A child and its heartbeats observed so far.
struct WatchedChild {
    state: Arc<ChildState>,
    stall_detector: StallDetector,
}

/// Starts the watchdog of a tree. It ends when the tree stops.
pub(super) fn spawn(shared: Arc<Shared>) -> io::Result<()> {
    let thread = thread::Builder::new()
        .name("watchdog".into())
        .spawn(move || run_watchdog(&shared))?;
    // The thread ends with the tree and owns no resources that need a join.
    drop(thread);
    Ok(())
}

fn run_watchdog(shared: &Shared) {
    let mut watched = Vec::new();
    while !shared.sleep(shared.config.watchdog_interval) {
        add_new_children(shared, &mut watched);
        watched.retain(|watched_child: &WatchedChild| {
            watched_child.state.running.load(Ordering::Relaxed)
        });
        for watched_child in &mut watched {
            check_heartbeat(shared, watched_child);
        }
    }
}

/// Adds the children started since the last tick. The tree's list of children only grows.
fn add_new_children(shared: &Shared, watched: &mut Vec<WatchedChild>) {
    let children = lock(&shared.children);
    for state in children.iter() {
        let running = state.running.load(Ordering::Relaxed);
        let known = watched
            .iter()
            .any(|watched_child| Arc::ptr_eq(&watched_child.state, state));
        if running && !known {
            watched.push(WatchedChild {
                state: Arc::clone(state),
                stall_detector: StallDetector::new(shared.config.stall),
            });
        }
    }
}

fn check_heartbeat(shared: &Shared, watched_child: &mut WatchedChild) {
    let name = &watched_child.state.name;
    match watched_child
        .stall_detector
        .tick(watched_child.state.heartbeats.load(Ordering::Relaxed))
    {
        HeartbeatStatus::Alive => {}
        HeartbeatStatus::Stalled => {
            watched_child.state.stalls.fetch_add(1, Ordering::Relaxed);
            log::warn!("{name} has stalled: no heartbeat");
        }
        HeartbeatStatus::Recovered => log::info!("{name} has resumed its heartbeat"),
        HeartbeatStatus::TimedOut => shared.record_failure(Failure::Stalled {
            child: name.clone(),
            silent_ticks: shared.config.stall.fail_after_ticks,
        }),
    }
}
