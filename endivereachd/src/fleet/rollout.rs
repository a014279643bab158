//! Staged rollout of new versions of the rules: a few candidates apply a version before the rest.

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

/// The interval between two checks when no object changes.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How long a process serves with a new version before it reports to peers that it applied it.
const SOAK_DURATION: Duration = Duration::from_millis(100);

/// How long a process waits for peers to report that a version was applied before it queries the
/// candidates itself. Candidates and relays don't wait; relays send the report to the other
/// processes of their zone.
const CANDIDATE_QUERY_DELAY: Duration = Duration::from_millis(500);

/// The timeout of a query to a candidate.
const CANDIDATE_QUERY_TIMEOUT: Duration = Duration::from_millis(300);

/// The maximum interval between two rounds of queries to the candidates.
const CANDIDATE_QUERY_INTERVAL_MAX: Duration = Duration::from_secs(2);

/// A version that this process may not apply yet.
struct PendingVersion {
    version: Version,
    query_at: Instant,
    query_interval: Duration,
}

/// Applies versions of the rules as they arrive, until the supervisor stops.
pub(crate) fn run(node: &Node, child: &Child) -> anyhow::Result<()> {
    let mut pending: Option<PendingVersion> = None;
    let mut confirmed = false;
    while !child.is_stopping() {
        child.heartbeat();
        if let Some(object) = newer_rules(node) {
            let is_new = pending
                .as_ref()
                .is_none_or(|pending| pending.version != object.version);
            if is_new {
                pending = Some(new_pending_version(node, object.version));
            }
            if may_apply_now(node, pending.as_mut()) {
                apply(node, child, &object);
                pending = None;
            }
        }
        confirmed = record_confirmation_state(node, confirmed);
        node.fleet_state.wait_change(CHECK_INTERVAL);
    }
    Ok(())
}

/// Returns the newest rules if this process has neither applied nor refused them.
fn newer_rules(node: &Node) -> Option<Versioned<super::messages::StoredValue>> {
    let contents = node.fleet_state.lock();
    let object = contents.catalog(Topic::Rules).get(NAME_CURRENT)?;
    let refused = node.rules.refused().map(|refused| refused.version);
    let is_new = object.version > node.rules.version() && refused != Some(object.version);
    is_new.then(|| object.clone())
}

fn new_pending_version(node: &Node, version: Version) -> PendingVersion {
    let now = Instant::now();
    let contents = node.fleet_state.lock();
    let members = contents.members(now);
    let candidates = canary::candidates(version, &members);
    let is_candidate = canary::is_candidate(&contents.own_vm.name, &candidates);
    drop(contents);
    let queries_at_once = is_candidate || relay::is_relay(node);
    let query_at = if queries_at_once {
        now
    } else {
        now + CANDIDATE_QUERY_DELAY
    };
    PendingVersion {
        version,
        query_at,
        query_interval: CHECK_INTERVAL,
    }
}

/// Queries the candidates if a query is due, and returns whether the version may be applied.
fn may_apply_now(node: &Node, pending: Option<&mut PendingVersion>) -> bool {
    let Some(pending) = pending else { return false };
    let now = Instant::now();
    let contents = node.fleet_state.lock();
    if contents.applied() >= pending.version {
        return true;
    }
    if now < pending.query_at {
        return false;
    }
    let members = contents.members(now);
    let own_name = contents.own_vm.name.clone();
    drop(contents);
    let candidates = canary::candidates(pending.version, &members);
    let candidate_states: Vec<Candidate> = candidates
        .iter()
        .map(|vm| {
            if vm.name == own_name {
                Candidate::ThisProcess
            } else {
                query_candidate(node, vm, pending.version)
            }
        })
        .collect();
    pending.query_at = Instant::now() + pending.query_interval;
    pending.query_interval = (pending.query_interval * 2).min(CANDIDATE_QUERY_INTERVAL_MAX);
    canary::may_apply(&candidate_states)
}

/// Queries which version a candidate has applied.
fn query_candidate(node: &Node, candidate: &Vm, version: Version) -> Candidate {
    let report = node.call_peer(candidate, |addr| {
        let http = &node.context.http;
        http.call::<_, RulesReport>(addr, PATH_RULES_VERSION, &(), CANDIDATE_QUERY_TIMEOUT)
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

/// Checks and applies a version, and reports it to peers after [`SOAK_DURATION`].
fn apply(node: &Node, child: &Child, object: &Versioned<super::messages::StoredValue>) {
    let version = object.version;
    match validate(&object.value.value) {
        Ok(rules) => {
            node.rules.apply(version, Arc::new(rules));
            node.counters.rules_applied.increment();
            node.context.events.record(Event::RulesInForce { version });
            node.confirm_rules();
            child.pause(SOAK_DURATION);
            node.fleet_state.record_applied(version);
        }
        Err(reason) => {
            node.counters.rules_refused.increment();
            node.rules.refuse(version, reason.clone());
            let event = Event::RulesRefused { version, reason };
            node.context.events.record(event);
            node.confirm_rules();
        }
    }
}

/// Records an event when the rules become confirmed or unconfirmed, and returns whether they are
/// confirmed.
fn record_confirmation_state(node: &Node, was_confirmed: bool) -> bool {
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
        node.counters.rules_unconfirmed.increment();
        let age = node.evidence(Topic::Rules).map(|latest| latest.age(now));
        let evidence_age_ms = age.unwrap_or_default().as_millis() as u64;
        let event = Event::RulesUnconfirmed {
            version,
            evidence_age_ms,
        };
        node.context.events.record(event);
    }
    is_confirmed
}
