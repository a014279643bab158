//! Pulling what is newer from peers, and answering theirs.

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

/// The pause while no peer is known, or after one gave no answer.
const PAUSE_WITHOUT_PEER: Duration = Duration::from_millis(100);

/// The shortest time between two exchanges of one child.
const PAUSE_BETWEEN: Duration = Duration::from_millis(20);

/// One in this many exchanges with any peer goes to another availability zone.
const OTHER_ZONE_PART: u32 = 8;

/// Whom a child pulls from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerChoice {
    /// A relay of this process's own zone: it hears from the platform first.
    Relay,
    /// Any peer, mostly of the own zone: it helps when the relays are cut off.
    Any,
}

/// Pulls from one peer after another until the tree stops.
pub(crate) fn pull(node: &Node, child: &Child, choice: PeerChoice) -> anyhow::Result<()> {
    while !child.is_stopping() {
        child.beat();
        let Some(peer) = pick(node, choice) else {
            exchange_with_named(node);
            child.pause(PAUSE_WITHOUT_PEER);
            continue;
        };
        let pause = if exchange(node, &peer) {
            PAUSE_BETWEEN
        } else {
            PAUSE_WITHOUT_PEER
        };
        child.pause(pause);
    }
    Ok(())
}

/// Chooses a peer that is worth a call.
fn pick(node: &Node, choice: PeerChoice) -> Option<Vm> {
    let contents = node.known.lock();
    let me = contents.me.clone();
    let mut peers = contents.membership.reachable(Instant::now());
    drop(contents);
    peers.retain(|vm| vm.name != me.name);
    let mut rng = rand::rng();
    if choice == PeerChoice::Relay {
        let relays = membership::relays(&me.zone, &peers, node.config.relays_per_zone);
        return relays.choose(&mut rng).map(|vm| (*vm).clone());
    }
    let other_zone = rand::random_ratio(1, OTHER_ZONE_PART);
    let wanted: Vec<&Vm> = peers
        .iter()
        .filter(|vm| (vm.zone == me.zone) != other_zone)
        .collect();
    let chosen = wanted.choose(&mut rng).map(|vm| (*vm).clone());
    chosen.or_else(|| peers.choose(&mut rng).cloned())
}

/// Asks one peer for what is newer. Returns whether it answered.
fn exchange(node: &Node, peer: &Vm) -> bool {
    let request = node.known.request(node.config.exchange_wait);
    let asked_at = Instant::now();
    let answer = node.call_peer(peer, |addr| ask(node, addr, &request));
    take_in_or_log(node, answer, asked_at)
}

/// Asks one of the processes that the settings name, whose VM is not known yet.
fn exchange_with_named(node: &Node) -> bool {
    let named = &node.context.settings.fleet.peers;
    let Some(peer) = named.choose(&mut rand::rng()) else {
        return false;
    };
    // There is nothing to wait for: this process knows nothing yet.
    let request = node.known.request(Duration::ZERO);
    let asked_at = Instant::now();
    let addr = node.context.settings.network.reach(peer.peer_addr);
    take_in_or_log(node, ask(node, addr, &request), asked_at)
}

fn ask(
    node: &Node,
    addr: SocketAddr,
    request: &ExchangeRequest,
) -> Result<ExchangeAnswer, CallError> {
    let bytes = endivereach_wire::http::encode(request).len() as u64;
    node.counters.exchange_bytes_sent.add_many(bytes);
    let timeout = Duration::from_millis(request.wait_ms) + node.config.call_timeout;
    node.context
        .http
        .call(addr, PATH_EXCHANGE, request, timeout)
}

fn take_in_or_log(
    node: &Node,
    answer: Result<ExchangeAnswer, CallError>,
    asked_at: Instant,
) -> bool {
    match answer {
        Ok(answer) => {
            take_in(node, answer, asked_at);
            true
        }
        Err(error) => {
            log::debug!("exchange: {error}");
            false
        }
    }
}

/// Takes in an answer whose question was asked at `asked_at`.
fn take_in(node: &Node, answer: ExchangeAnswer, asked_at: Instant) {
    let mut contents = node.known.lock();
    let now = Instant::now();
    let membership = &mut contents.membership;
    membership.record_contact(answer.from, answer.incarnation, now);
    if let Some(list) = answer.members {
        let age = Duration::from_millis(list.age_ms);
        if let Some(evidence) = Evidence::from_peer(asked_at, age) {
            contents.take_list(list.vms, evidence);
        }
    }
    drop(contents);
    for topic in answer.topics {
        let age = topic.age_ms.map(Duration::from_millis);
        let evidence = age.and_then(|age| Evidence::from_peer(asked_at, age));
        node.merge(topic.topic, topic.changes, evidence);
    }
    node.known.note_applied(answer.applied);
}

/// Answers a peer's question.
pub(crate) fn answer(node: &Node, request: &ExchangeRequest) -> Reply {
    node.counters.exchanges_answered.add();
    let answer = node.known.answer(request, node.config.exchange_wait);
    let bytes = endivereach_wire::http::encode(&answer).len() as u64;
    node.counters.exchange_bytes_sent.add_many(bytes);
    Reply::value(&answer)
}
