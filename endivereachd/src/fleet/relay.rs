//! Watching of the platform by the relays of an availability zone. A relay passes on the platform's
//! objects, not callers' sessions.
//!
//! A few members of each zone are its relays. The other members get changes from the relays and
//! query the platform themselves only while their evidence is too old, at intervals that double.

use super::messages::StoredValue;
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

/// The interval at which a process that doesn't query the platform checks its role again.
const IDLE_INTERVAL: Duration = Duration::from_millis(200);

/// The delay after the first failed call, and between the first calls of a process that isn't a
/// relay. It doubles up to [`RETRY_DELAY_MAX`] after a failure, and otherwise up to
/// [`FALLBACK_INTERVAL_MAX`].
const RETRY_DELAY_MIN: Duration = Duration::from_millis(100);

/// The maximum delay between calls to a platform that doesn't answer.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(2);

/// The age of the list of VMs, in units of `members_interval`, above which a process that isn't a
/// relay reads the list itself.
const MEMBER_LIST_AGE_MAX_INTERVALS: u32 = 5;

/// The maximum interval between the calls of a process that isn't a relay.
const FALLBACK_INTERVAL_MAX: Duration = Duration::from_secs(8);

/// How a process currently uses the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatchRole {
    /// It watches the platform for its zone.
    Relay,
    /// It queries the platform for itself, because the evidence from its peers is too old.
    Fallback,
    /// It relies on its peers.
    None,
}

/// Watches one topic while the role of this process requires it, until the supervisor stops.
pub(crate) fn watch(node: &Node, child: &Child, topic: Topic) -> anyhow::Result<()> {
    let mut delay = RETRY_DELAY_MIN;
    while !child.is_stopping() {
        child.heartbeat();
        let evidence = node.evidence(topic);
        let role = role(node, evidence, node.config.evidence_age_max * 3 / 4);
        if role == WatchRole::None {
            delay = RETRY_DELAY_MIN;
            child.pause(IDLE_INTERVAL);
            continue;
        }
        let wait = if role == WatchRole::Relay && evidence.is_some() {
            node.config.watch_wait
        } else {
            Duration::ZERO
        };
        let answered = read_changes(node, topic, wait).is_ok();
        if role == WatchRole::Relay && answered {
            delay = RETRY_DELAY_MIN;
            continue;
        }
        child.pause(jittered(delay));
        let delay_max = if answered {
            FALLBACK_INTERVAL_MAX
        } else {
            RETRY_DELAY_MAX
        };
        delay = (delay * 2).min(delay_max);
    }
    Ok(())
}

/// Reads the list of VMs while the role of this process requires it, until the supervisor stops.
pub(crate) fn poll_members(node: &Node, child: &Child) -> anyhow::Result<()> {
    loop {
        child.heartbeat();
        let evidence = node.fleet_state.lock().membership.evidence();
        let evidence_age_max = node.config.members_interval * MEMBER_LIST_AGE_MAX_INTERVALS;
        if role(node, evidence, evidence_age_max) != WatchRole::None {
            read_member_list(node);
        }
        let known = node.fleet_state.lock().membership.evidence().is_some();
        let pause = if known {
            node.config.members_interval
        } else {
            IDLE_INTERVAL
        };
        if !child.pause(jittered(pause)) {
            return Ok(());
        }
    }
}

/// Returns whether this process watches the platform for its zone.
pub(crate) fn is_relay(node: &Node) -> bool {
    role(node, None, Duration::ZERO) == WatchRole::Relay
}

fn role(node: &Node, evidence: Option<Evidence>, evidence_age_max: Duration) -> WatchRole {
    let now = Instant::now();
    let contents = node.fleet_state.lock();
    let own_vm = &contents.own_vm;
    let mut members = contents.membership.members_to_call(now);
    if !members.iter().any(|vm| vm.name == own_vm.name) {
        members.push(own_vm.clone());
    }
    let relays = membership::relays(&own_vm.zone, &members, node.config.relays_per_zone);
    if relays.iter().any(|vm| vm.name == own_vm.name) {
        return WatchRole::Relay;
    }
    let is_old = evidence.is_none_or(|evidence| evidence.age(now) > evidence_age_max);
    if is_old {
        WatchRole::Fallback
    } else {
        WatchRole::None
    }
}

/// Reads changes of a topic from the platform.
fn read_changes(node: &Node, topic: Topic, wait: Duration) -> Result<(), CallError> {
    let after = node.fleet_state.lock().catalog(topic).revision();
    let asked_at = Instant::now();
    node.counters.platform_reads.increment();
    let answer = node.platform.watch(topic.kind(), after, wait);
    let answer = answer.inspect_err(|error| {
        node.counters.platform_calls_failed.increment();
        log::debug!("watch of {} at the platform failed: {error}", topic.kind());
    })?;
    let changes = Changes {
        after,
        revision: answer.revision.max(after),
        objects: answer.objects.into_iter().map(versioned).collect(),
    };
    node.merge(topic, changes, Some(Evidence::from_platform(asked_at)));
    Ok(())
}

fn read_member_list(node: &Node) {
    let asked_at = Instant::now();
    node.counters.platform_reads.increment();
    match node.platform.vms() {
        Ok(list) => {
            let mut contents = node.fleet_state.lock();
            let evidence = Evidence::from_platform(asked_at);
            contents.update_member_list(Some(list), evidence);
            contents.membership.remove_departed(asked_at);
        }
        Err(error) => {
            node.counters.platform_calls_failed.increment();
            log::debug!("reading the list of VMs from the platform failed: {error}");
        }
    }
}

fn versioned(object: Object) -> Versioned<StoredValue> {
    Versioned {
        name: object.name,
        version: object.version,
        value: StoredValue {
            op_id: object.op_id,
            value: object.value,
        },
    }
}

/// Returns `pause` with a random deviation of up to 25 percent, to spread the calls of many
/// processes.
fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::random_range(0.75..1.25))
}
