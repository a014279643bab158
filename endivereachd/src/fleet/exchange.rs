//! Pulls newer objects from peers, and answers the peers' pulls.

use super::messages::ExchangeAnswer;
use super::messages::ExchangeRequest;
use super::messages::PATH_EXCHANGE;
use super::node::Node;
use crate::supervisor::Child;
use endivereach_core::directory::Vm;
use endivereach_core::exchange::Evidence;
use endivereach_core::membership;
use endivereach_wire::http::CallError;
use endivereach_wire::http::Reply;
use rand::seq::IndexedRandom;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// The delay while no peer is known, or after a peer did not answer.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The minimum interval between two exchanges of one child.
const EXCHANGE_INTERVAL_MIN: Duration = Duration::from_millis(20);

/// With [`PeerChoice::Any`], one in this many exchanges goes to another availability zone.
const OTHER_ZONE_RATIO: u32 = 8;

/// The set of peers that a child pulls from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerChoice {
    /// The relays of this process's own zone, which have the platform's newest objects.
    Relay,
    /// Any peer, mostly of the own zone, in case the relays can't reach the platform.
    Any,
}

/// Pulls from one peer after another until the supervisor stops.
pub(crate) fn pull(node: &Node, child: &Child, choice: PeerChoice) -> anyhow::Result<()> {
    while !child.is_stopping() {
        child.heartbeat();
        let Some(peer) = choose_peer(node, choice) else {
            exchange_with_configured_peer(node);
            child.pause(RETRY_DELAY);
            continue;
        };
        let pause = if exchange(node, &peer) {
            EXCHANGE_INTERVAL_MIN
        } else {
            RETRY_DELAY
        };
        child.pause(pause);
    }
    Ok(())
}

/// Chooses a reachable peer at random, or returns `None` when there is none.
fn choose_peer(node: &Node, choice: PeerChoice) -> Option<Vm> {
    let contents = node.fleet_state.lock();
    let own_vm = contents.own_vm.clone();
    let mut peers = contents.membership.members_to_call(Instant::now());
    drop(contents);
    peers.retain(|vm| vm.name != own_vm.name);
    let mut rng = rand::rng();
    if choice == PeerChoice::Relay {
        let relays = membership::relays(&own_vm.zone, &peers, node.config.relays_per_zone);
        return relays.choose(&mut rng).map(|vm| (*vm).clone());
    }
    let other_zone = rand::random_ratio(1, OTHER_ZONE_RATIO);
    let preferred: Vec<&Vm> = peers
        .iter()
        .filter(|vm| (vm.zone == own_vm.zone) != other_zone)
        .collect();
    let chosen = preferred.choose(&mut rng).map(|vm| (*vm).clone());
    chosen.or_else(|| peers.choose(&mut rng).cloned())
}

/// Pulls newer objects from one peer. Returns whether it answered.
fn exchange(node: &Node, peer: &Vm) -> bool {
    let request = node.fleet_state.request(node.config.exchange_wait);
    let asked_at = Instant::now();
    let answer = node.call_peer(peer, |addr| send_request(node, addr, &request));
    apply_or_log(node, answer, asked_at)
}

/// Pulls from one of the peers in the settings, because no VM is known yet.
fn exchange_with_configured_peer(node: &Node) -> bool {
    let configured = &node.context.settings.fleet.peers;
    let Some(peer) = configured.choose(&mut rand::rng()) else {
        return false;
    };
    // This process knows no objects yet, so the peer's answer need not wait for a change.
    let request = node.fleet_state.request(Duration::ZERO);
    let asked_at = Instant::now();
    let addr = node.context.settings.network.translate(peer.peer_addr);
    apply_or_log(node, send_request(node, addr, &request), asked_at)
}

fn send_request(
    node: &Node,
    addr: SocketAddr,
    request: &ExchangeRequest,
) -> Result<ExchangeAnswer, CallError> {
    let bytes = endivereach_wire::http::encode(request).len() as u64;
    node.counters.exchange_bytes_sent.add(bytes);
    let timeout = Duration::from_millis(request.wait_ms) + node.config.call_timeout;
    node.context
        .http
        .call_large(addr, PATH_EXCHANGE, request, timeout)
}

/// Applies an answer, or logs the error. Returns whether there was an answer.
fn apply_or_log(node: &Node, answer: Result<ExchangeAnswer, CallError>, asked_at: Instant) -> bool {
    match answer {
        Ok(answer) => {
            apply_answer(node, answer, asked_at);
            true
        }
        Err(error) => {
            log::debug!("exchange with a peer failed: {error}");
            false
        }
    }
}

/// Applies an answer to a request that was sent at `asked_at`.
fn apply_answer(node: &Node, answer: ExchangeAnswer, asked_at: Instant) {
    let mut contents = node.fleet_state.lock();
    let now = Instant::now();
    let membership = &mut contents.membership;
    membership.record_contact(answer.from, answer.incarnation, now);
    if let Some(list) = answer.members {
        let age = Duration::from_millis(list.age_ms);
        if let Some(evidence) = Evidence::from_peer(asked_at, age) {
            contents.update_member_list(list.vms, evidence);
        }
    }
    drop(contents);
    for topic in answer.topics {
        let age = topic.age_ms.map(Duration::from_millis);
        let evidence = age.and_then(|age| Evidence::from_peer(asked_at, age));
        node.merge(topic.topic, topic.changes, evidence);
    }
    node.fleet_state.record_applied(answer.applied);
}

/// Answers a peer's request.
pub(crate) fn answer(node: &Node, request: &ExchangeRequest) -> Reply {
    node.counters.exchanges_answered.increment();
    let answer = node.fleet_state.answer(request, node.config.exchange_wait);
    let bytes = endivereach_wire::http::encode(&answer).len() as u64;
    node.counters.exchange_bytes_sent.add(bytes);
    Reply::value(&answer)
}
