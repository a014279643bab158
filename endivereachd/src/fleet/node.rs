//! What the fleet's children share.

use super::config::FleetConfig;
use super::counters::FleetCounters;
use super::homes_cache::HomesCache;
use super::known::Known;
use super::messages::Stored;
use super::messages::Topic;
use super::rules::RulesInForce;
use super::shares::Reports;
use super::shares::Shares;
use crate::context::Context;
use crate::groups::Groups;
use endivereach_core::directory::GroupObject;
use endivereach_core::directory::Vm;
use endivereach_core::exchange::Changes;
use endivereach_core::exchange::Evidence;
use endivereach_core::exchange::Versioned;
use endivereach_wire::http::CallError;
use endivereach_wire::platform::PlatformClient;
use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::sync::Arc;
use std::time::Instant;

/// One process of the fleet.
pub(crate) struct Node {
    pub(crate) context: Arc<Context>,
    pub(crate) config: FleetConfig,
    pub(crate) known: Known,
    pub(crate) rules: Arc<RulesInForce>,
    pub(crate) groups: Arc<Groups>,
    pub(crate) shares: Arc<Shares>,
    pub(crate) reports: Reports,
    pub(crate) homes: HomesCache,
    pub(crate) platform: PlatformClient,
    pub(crate) counters: FleetCounters,
}

impl Node {
    /// Takes in changes of a topic and hands what moved to the part that uses it.
    pub(crate) fn merge(&self, topic: Topic, changes: Changes<Stored>, evidence: Option<Evidence>) {
        let moved = self.known.merge(topic, changes, evidence);
        self.counters.objects_moved.add_many(moved.len() as u64);
        for object in moved {
            self.hand_over(topic, &object);
        }
        match topic {
            Topic::Rules => self.confirm_rules(),
            Topic::Shares => self.shares.confirm(self.evidence(Topic::Shares)),
            Topic::Groups => {}
        }
    }

    /// Hands an object over. A broken one is skipped: it must not end the process that reads it.
    fn hand_over(&self, topic: Topic, object: &Versioned<Stored>) {
        let taken = catch_unwind(AssertUnwindSafe(|| match topic {
            // The rules are applied by a child of their own, which waits for its turn.
            Topic::Rules => Ok(()),
            Topic::Groups => self.learn_group(object),
            Topic::Shares => self.shares.learn(object.version, &object.value.value),
        }));
        let broken = match taken {
            Ok(Ok(())) => return,
            Ok(Err(reason)) => reason,
            Err(_) => "reading it panics".into(),
        };
        self.counters.objects_broken.add();
        log::warn!("{}/{} is skipped: {broken}", topic.kind(), object.name);
    }

    fn learn_group(&self, object: &Versioned<Stored>) -> Result<(), Box<str>> {
        let group: GroupObject = endivereach_wire::http::decode(&object.value.value)?;
        if group.members.is_empty() {
            return Err("it has no members".into());
        }
        self.shares
            .note_group(&group.name, group.connections_per_server);
        self.groups.update_object(object.version, group);
        Ok(())
    }

    /// Tells the rules in force how recent the evidence for them is.
    pub(crate) fn confirm_rules(&self) {
        let now = Instant::now();
        let contents = self.known.lock();
        let catalog = contents.catalog(Topic::Rules);
        let current = catalog.get(endivereach_wire::operator::NAME_CURRENT);
        let latest = current.map(|object| object.version);
        let evidence = catalog.evidence();
        drop(contents);
        if let (Some(latest), Some(evidence)) = (latest, evidence) {
            self.rules.confirm(latest, evidence, now);
        }
    }

    /// Returns the evidence for a topic.
    pub(crate) fn evidence(&self, topic: Topic) -> Option<Evidence> {
        self.known.lock().catalog(topic).evidence()
    }

    /// Calls a peer and records whether it answered.
    pub(crate) fn call_peer<R>(
        &self,
        peer: &Vm,
        call: impl FnOnce(std::net::SocketAddr) -> Result<R, CallError>,
    ) -> Result<R, CallError> {
        self.counters.peer_calls.add();
        let addr = self.context.settings.network.reach(peer.peer_addr);
        let answer = call(addr);
        if let Err(CallError::NoAnswer { .. }) = &answer {
            self.counters.peer_calls_failed.add();
            let mut contents = self.known.lock();
            contents.membership.failed(&peer.name, Instant::now());
        }
        answer
    }
}
