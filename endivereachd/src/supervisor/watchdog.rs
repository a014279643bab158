//! The watchdog: it looks at every child's heartbeat once a tick.

use super::ChildState;
use super::Failure;
use super::Shared;
use super::lock;
use endivereach_core::supervision::Pulse;
use endivereach_core::supervision::StallDetector;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;

/// A child and what the watchdog saw of it so far.
struct Watched {
    state: Arc<ChildState>,
    watch: StallDetector,
}

/// Starts the watchdog of a tree. It ends when the tree stops.
pub(super) fn spawn(shared: Arc<Shared>) -> io::Result<()> {
    let thread = thread::Builder::new()
        .name("watchdog".into())
        .spawn(move || watch(&shared))?;
    // The thread ends by itself with the tree, and holds nothing that must outlive it.
    drop(thread);
    Ok(())
}

fn watch(shared: &Shared) {
    let mut watched = Vec::new();
    while !shared.sleep(shared.config.tick) {
        add_new_children(shared, &mut watched);
        watched.retain(|one: &Watched| one.state.running.load(Ordering::Relaxed));
        for one in &mut watched {
            look(shared, one);
        }
    }
}

/// Adds the children that were started since the last tick; children are only ever appended.
fn add_new_children(shared: &Shared, watched: &mut Vec<Watched>) {
    let children = lock(&shared.children);
    for state in children.iter() {
        let running = state.running.load(Ordering::Relaxed);
        let known = watched.iter().any(|one| Arc::ptr_eq(&one.state, state));
        if running && !known {
            watched.push(Watched {
                state: Arc::clone(state),
                watch: StallDetector::new(shared.config.stall),
            });
        }
    }
}

fn look(shared: &Shared, one: &mut Watched) {
    let name = &one.state.name;
    match one.watch.tick(one.state.beats.load(Ordering::Relaxed)) {
        Pulse::Moving => {}
        Pulse::Stalled => {
            one.state.stalls.fetch_add(1, Ordering::Relaxed);
            log::warn!("{name} shows no heartbeat");
        }
        Pulse::Recovered => log::info!("{name} moves again"),
        Pulse::GiveUp => shared.fail(Failure::Stalled {
            child: name.clone(),
            silent_ticks: shared.config.stall.give_up_after_ticks,
        }),
    }
}
