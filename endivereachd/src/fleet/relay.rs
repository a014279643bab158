//! Watching the platform on behalf of an availability zone.
//!
//! A few members of each zone are its relays. Everybody else hears from them, and asks the platform
//! itself only while its own evidence grows old, at intervals that double.

use super::messages::Stored;
use super::messages::Topic;
use super::node::Node;
use crate::supervisor::Child;
use endivereach_core::exchange::Changes;
use endivereach_core::exchange::Evidence;
use endivereach_core::exchange::Versioned;
use endivereach_core::membership;
use endivereach_wire::http::CallError;
use endivereach_wire::platform::Object;
use std::time::Duration;
use std::time::Instant;

/// How often a process that need not ask looks whether that changed.
const IDLE_PAUSE: Duration = Duration::from_millis(200);

/// The pause after the first failed call, and between the first calls of a process that isn't a
/// relay. It doubles up to [`PAUSE_MAX`].
const PAUSE_MIN: Duration = Duration::from_millis(100);

/// The longest pause between calls to a platform that doesn't answer.
const PAUSE_MAX: Duration = Duration::from_secs(2);

/// How many of the relays' rounds the list of VMs may be old before a process reads it itself.
const MEMBERS_ROUNDS: u32 = 5;

/// The longest pause between calls of a process that isn't a relay.
const STAND_IN_PAUSE_MAX: Duration = Duration::from_secs(8);

/// How a process may use the platform at this moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Duty {
    /// It watches for its zone.
    Relay,
    /// It asks for itself, because its peers' evidence has grown old.
    StandIn,
    /// It hears from its peers.
    None,
}

/// Watches one topic while it is this process's duty, until the tree stops.
pub(crate) fn watch(node: &Node, child: &Child, topic: Topic) -> anyhow::Result<()> {
    let mut backoff = PAUSE_MIN;
    while !child.is_stopping() {
        child.beat();
        let evidence = node.evidence(topic);
        let duty = duty(node, evidence, node.config.evidence_max * 3 / 4);
        if duty == Duty::None {
            backoff = PAUSE_MIN;
            child.pause(IDLE_PAUSE);
            continue;
        }
        let wait = if duty == Duty::Relay && evidence.is_some() {
            node.config.watch_wait
        } else {
            Duration::ZERO
        };
        let answered = ask(node, topic, wait).is_ok();
        if duty == Duty::Relay && answered {
            backoff = PAUSE_MIN;
            continue;
        }
        child.pause(jittered(backoff));
        let longest = if answered {
            STAND_IN_PAUSE_MAX
        } else {
            PAUSE_MAX
        };
        backoff = (backoff * 2).min(longest);
    }
    Ok(())
}

/// Reads the list of VMs while it is this process's duty, until the tree stops.
pub(crate) fn read_members(node: &Node, child: &Child) -> anyhow::Result<()> {
    loop {
        child.beat();
        let evidence = node.known.lock().membership.evidence();
        let bound = node.config.members_interval * MEMBERS_ROUNDS;
        if duty(node, evidence, bound) != Duty::None {
            ask_members(node);
        }
        let known = node.known.lock().membership.evidence().is_some();
        let pause = if known {
            node.config.members_interval
        } else {
            IDLE_PAUSE
        };
        if !child.pause(jittered(pause)) {
            return Ok(());
        }
    }
}

/// Returns whether this process watches the platform for its zone.
pub(crate) fn is_relay(node: &Node) -> bool {
    duty(node, None, Duration::ZERO) == Duty::Relay
}

fn duty(node: &Node, evidence: Option<Evidence>, bound: Duration) -> Duty {
    let now = Instant::now();
    let contents = node.known.lock();
    let me = &contents.me;
    let mut members = contents.membership.reachable(now);
    if !members.iter().any(|vm| vm.name == me.name) {
        members.push(me.clone());
    }
    let relays = membership::relays(&me.zone, &members, node.config.relays_per_zone);
    if relays.iter().any(|vm| vm.name == me.name) {
        return Duty::Relay;
    }
    let is_old = evidence.is_none_or(|evidence| evidence.age(now) > bound);
    if is_old { Duty::StandIn } else { Duty::None }
}

/// Asks the platform for changes of a topic.
fn ask(node: &Node, topic: Topic, wait: Duration) -> Result<(), CallError> {
    let after = node.known.lock().catalog(topic).revision();
    let asked_at = Instant::now();
    node.counters.platform_reads.add();
    let answer = node.platform.watch(topic.kind(), after, wait);
    let answer = answer.inspect_err(|error| {
        node.counters.platform_calls_failed.add();
        log::debug!("watch of {}: {error}", topic.kind());
    })?;
    let changes = Changes {
        after,
        revision: answer.revision.max(after),
        objects: answer.objects.into_iter().map(versioned).collect(),
    };
    node.merge(topic, changes, Some(Evidence::from_platform(asked_at)));
    Ok(())
}

fn ask_members(node: &Node) {
    let asked_at = Instant::now();
    node.counters.platform_reads.add();
    match node.platform.vms() {
        Ok(list) => {
            let mut contents = node.known.lock();
            let evidence = Evidence::from_platform(asked_at);
            contents.take_list(Some(list), evidence);
            contents.membership.remove_departed(asked_at);
        }
        Err(error) => {
            node.counters.platform_calls_failed.add();
            log::debug!("list of VMs: {error}");
        }
    }
}

fn versioned(object: Object) -> Versioned<Stored> {
    Versioned {
        name: object.name,
        version: object.version,
        value: Stored {
            op_id: object.op_id,
            value: object.value,
        },
    }
}

/// Spreads calls of many processes over time.
fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::random_range(0.75..1.25))
}
