//! Applying new versions of the rules, one candidate first.

use super::messages::Topic;
use super::node::Node;
use super::relay;
use super::validate::validate;
use crate::supervisor::Child;
use endivereach_core::canary;
use endivereach_core::canary::Candidate;
use endivereach_core::directory::Vm;
use endivereach_core::event::Event;
use endivereach_core::exchange::Versioned;
use endivereach_core::ids::Version;
use endivereach_wire::operator::NAME_CURRENT;
use endivereach_wire::operator::PATH_RULES_VERSION;
use endivereach_wire::operator::RulesReport;
use endivereach_wire::operator::RulesState;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

/// How often the child looks around when nothing changes.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// How long a process serves with a new version before it tells others that it did.
const SETTLE: Duration = Duration::from_millis(100);

/// How long a process waits for news of a version from its peers before it asks candidates itself.
/// Candidates don't wait, nor do relays, from whom the others hear.
const ASK_AFTER: Duration = Duration::from_millis(500);

/// How long a candidate may take to say what it applied.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// The longest pause between two rounds of asking candidates.
const ASK_PAUSE_MAX: Duration = Duration::from_secs(2);

/// A version that waits for its turn.
struct Pending {
    version: Version,
    ask_at: Instant,
    pause: Duration,
}

/// Applies versions of the rules as they arrive, until the tree stops.
pub(crate) fn run(node: &Node, child: &Child) -> anyhow::Result<()> {
    let mut pending: Option<Pending> = None;
    let mut confirmed = false;
    while !child.is_stopping() {
        child.beat();
        if let Some(object) = newer_rules(node) {
            let is_new = pending
                .as_ref()
                .is_none_or(|it| it.version != object.version);
            if is_new {
                pending = Some(start_waiting(node, object.version));
            }
            if is_turn(node, pending.as_mut()) {
                apply(node, child, &object);
                pending = None;
            }
        }
        confirmed = note_state(node, confirmed);
        node.known.wait_change(LOOK_INTERVAL);
    }
    Ok(())
}

/// Returns the newest rules if they are neither applied nor refused.
fn newer_rules(node: &Node) -> Option<Versioned<super::messages::Stored>> {
    let contents = node.known.lock();
    let object = contents.catalog(Topic::Rules).get(NAME_CURRENT)?;
    let refused = node.rules.refused().map(|refused| refused.version);
    let is_new = object.version > node.rules.version() && refused != Some(object.version);
    is_new.then(|| object.clone())
}

fn start_waiting(node: &Node, version: Version) -> Pending {
    let now = Instant::now();
    let contents = node.known.lock();
    let members = contents.members(now);
    let candidates = canary::candidates(version, &members);
    let is_candidate = canary::is_candidate(&contents.me.name, &candidates);
    drop(contents);
    let asks_at_once = is_candidate || relay::is_relay(node);
    let ask_at = if asks_at_once { now } else { now + ASK_AFTER };
    Pending {
        version,
        ask_at,
        pause: LOOK_INTERVAL,
    }
}

/// Returns whether the version may be applied now.
fn is_turn(node: &Node, pending: Option<&mut Pending>) -> bool {
    let Some(pending) = pending else { return false };
    let now = Instant::now();
    let contents = node.known.lock();
    if contents.applied() >= pending.version {
        return true;
    }
    if now < pending.ask_at {
        return false;
    }
    let members = contents.members(now);
    let me = contents.me.name.clone();
    drop(contents);
    let candidates = canary::candidates(pending.version, &members);
    let seen: Vec<Candidate> = candidates
        .iter()
        .map(|vm| {
            if vm.name == me {
                Candidate::ThisProcess
            } else {
                ask(node, vm, pending.version)
            }
        })
        .collect();
    pending.ask_at = Instant::now() + pending.pause;
    pending.pause = (pending.pause * 2).min(ASK_PAUSE_MAX);
    canary::may_apply(&seen)
}

/// Asks a candidate what it applied.
fn ask(node: &Node, candidate: &Vm, version: Version) -> Candidate {
    let report = node.call_peer(candidate, |addr| {
        let http = &node.context.http;
        http.call::<_, RulesReport>(addr, PATH_RULES_VERSION, &(), ASK_TIMEOUT)
    });
    match report {
        Ok(report) if report.version >= version => Candidate::Applied,
        Ok(report) if refused_version(&report) == Some(version) => Candidate::Refused,
        Ok(_) => Candidate::NotApplied,
        Err(error) if error.refusal_kind().is_some() => Candidate::NotApplied,
        Err(_) => Candidate::Unreachable,
    }
}

fn refused_version(report: &RulesReport) -> Option<Version> {
    report.refused.as_ref().map(|refused| refused.version)
}

/// Checks and applies a version, and tells others once this process has served with it for a while.
fn apply(node: &Node, child: &Child, object: &Versioned<super::messages::Stored>) {
    let version = object.version;
    match validate(&object.value.value) {
        Ok(rules) => {
            node.rules.apply(version, Arc::new(rules));
            node.counters.rules_applied.add();
            node.context.events.record(Event::RulesInForce { version });
            node.confirm_rules();
            child.pause(SETTLE);
            node.known.note_applied(version);
        }
        Err(reason) => {
            node.counters.rules_refused.add();
            node.rules.refuse(version, reason.clone());
            let event = Event::RulesRefused { version, reason };
            node.context.events.record(event);
            node.confirm_rules();
        }
    }
}

/// Records when the rules can no longer be shown to be current, and when they can again.
fn note_state(node: &Node, was_confirmed: bool) -> bool {
    let now = Instant::now();
    let is_confirmed = node.rules.state(now) == RulesState::Current;
    if was_confirmed == is_confirmed {
        return is_confirmed;
    }
    let version = node.rules.version();
    if is_confirmed {
        node.context
            .events
            .record(Event::RulesConfirmed { version });
    } else {
        node.counters.rules_unconfirmed.add();
        let age = node.evidence(Topic::Rules).map(|held| held.age(now));
        let evidence_age_ms = age.unwrap_or_default().as_millis() as u64;
        let event = Event::RulesUnconfirmed {
            version,
            evidence_age_ms,
        };
        node.context.events.record(event);
    }
    is_confirmed
}
