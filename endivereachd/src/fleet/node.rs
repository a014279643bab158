//! The state shared by the fleet's threads.

use super::config::FleetConfig;
use super::counters::FleetCounters;
use super::homes_cache::HomesCache;
use super::messages::StoredValue;
use super::messages::Topic;
use super::rules::RulesInForce;
use super::shares::DemandReports;
use super::shares::Shares;
use super::state::FleetState;
use crate::context::Context;
use crate::groups::Groups;
use endivereach_core::directory::GroupObject;
use endivereach_core::directory::Vm;
use endivereach_core::exchange::Changes;
use endivereach_core::exchange::Evidence;
use endivereach_core::exchange::Versioned;
use endivereach_core::logfmt::LogValue;
use endivereach_wire::http::CallError;
use endivereach_wire::platform::PlatformClient;
use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::sync::Arc;
use std::time::Instant;

/// The state that the fleet's threads share.
pub(crate) struct Node {
    pub(crate) context: Arc<Context>,
    pub(crate) config: FleetConfig,
    pub(crate) fleet_state: FleetState,
    pub(crate) rules: Arc<RulesInForce>,
    pub(crate) groups: Arc<Groups>,
    pub(crate) shares: Arc<Shares>,
    pub(crate) demand_reports: DemandReports,
    pub(crate) homes: HomesCache,
    pub(crate) platform: PlatformClient,
    pub(crate) counters: FleetCounters,
}

impl Node {
    /// Merges changes of a topic and passes each changed object to the module that uses it.
    pub(crate) fn merge(
        &self,
        topic: Topic,
        changes: Changes<StoredValue>,
        evidence: Option<Evidence>,
    ) {
        let changed_objects = self.fleet_state.merge(topic, changes, evidence);
        self.counters
            .objects_moved
            .add(changed_objects.len() as u64);
        for object in changed_objects {
            self.dispatch_object(topic, &object);
        }
        match topic {
            Topic::Rules => self.confirm_rules(),
            Topic::Shares => self.shares.update_evidence(self.evidence(Topic::Shares)),
            Topic::Groups => {}
        }
    }

    /// Passes an object to its module. An invalid object is skipped, so that it can't end the
    /// process.
    fn dispatch_object(&self, topic: Topic, object: &Versioned<StoredValue>) {
        let result = catch_unwind(AssertUnwindSafe(|| match topic {
            // The rules are applied by a separate child, which delays them for the staged rollout.
            Topic::Rules => Ok(()),
            Topic::Groups => self.update_group(object),
            Topic::Shares => self
                .shares
                .update_from_bytes(object.version, &object.value.value),
        }));
        let problem = match result {
            Ok(Ok(())) => return,
            Ok(Err(reason)) => reason,
            Err(_) => "processing it panicked".into(),
        };
        self.counters.objects_broken.increment();
        log::warn!(
            "object {}/{} is skipped: {problem}",
            topic.kind(),
            LogValue(&object.name)
        );
    }

    fn update_group(&self, object: &Versioned<StoredValue>) -> Result<(), Box<str>> {
        let group: GroupObject = endivereach_wire::http::decode(&object.value.value)?;
        if group.members.is_empty() {
            return Err("it has no members".into());
        }
        self.shares
            .set_limit(&group.name, group.connections_per_server);
        self.groups.update_object(object.version, group);
        Ok(())
    }

    /// Passes the current evidence for the rules to [`RulesInForce`].
    pub(crate) fn confirm_rules(&self) {
        let now = Instant::now();
        let contents = self.fleet_state.lock();
        let catalog = contents.catalog(Topic::Rules);
        let current = catalog.get(endivereach_wire::operator::NAME_CURRENT);
        let latest = current.map(|object| object.version);
        let evidence = catalog.evidence();
        drop(contents);
        if let (Some(latest), Some(evidence)) = (latest, evidence) {
            self.rules.confirm(latest, evidence, now);
        }
    }

    /// Returns the evidence that this process knows the current state of a topic.
    pub(crate) fn evidence(&self, topic: Topic) -> Option<Evidence> {
        self.fleet_state.lock().catalog(topic).evidence()
    }

    /// Calls a peer and records whether it answered.
    pub(crate) fn call_peer<R>(
        &self,
        peer: &Vm,
        call: impl FnOnce(std::net::SocketAddr) -> Result<R, CallError>,
    ) -> Result<R, CallError> {
        self.counters.peer_calls.increment();
        let addr = self.context.settings.network.translate(peer.peer_addr);
        let answer = call(addr);
        if let Err(CallError::NoAnswer { .. }) = &answer {
            self.counters.peer_calls_failed.increment();
            let mut contents = self.fleet_state.lock();
            contents
                .membership
                .record_failure(&peer.name, Instant::now());
        }
        answer
    }
}
