//! The shares as known to this process.

use crate::targets::ConnectionBudget;
use endivereach_core::exchange::Evidence;
use endivereach_core::ids::GroupName;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::ProxyName;
use endivereach_core::ids::Version;
use endivereach_core::shares::SharesObject;
use endivereach_core::shares::allowed_connections;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// How long demand reported by the data path is valid. The greatest one within this period is used.
const DEMAND_AGE_MAX: Duration = Duration::from_secs(3);

/// The shares of one group.
#[derive(Clone, Debug, Default)]
pub(super) struct GroupShares {
    pub(super) connections_per_server: u32,
    pub(super) version: Version,
    pub(super) object: Option<SharesObject>,
    /// The largest number of this process's connections that any server counts.
    pub(super) open_connections: u32,
    is_stopped: bool,
    connections_wanted: u32,
    wanted_at: Option<Instant>,
}

impl GroupShares {
    /// Returns the number of connections per server that this process could use.
    pub(super) fn connections_wanted(&self, now: Instant) -> u32 {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < DEMAND_AGE_MAX;
        if self.wanted_at.is_some_and(is_recent) {
            self.connections_wanted
        } else {
            0
        }
    }

    fn record_demand(&mut self, connections_wanted: u32, now: Instant) {
        if connections_wanted >= self.connections_wanted(now) {
            self.connections_wanted = connections_wanted;
            self.wanted_at = Some(now);
        }
    }
}

/// The shares of every group, and the evidence that they are current.
#[derive(Debug)]
pub(crate) struct Shares {
    own_name: ProxyName,
    groups: Mutex<BTreeMap<GroupName, GroupShares>>,
    evidence: Mutex<Option<Evidence>>,
}

impl Shares {
    pub(crate) fn new(own_name: ProxyName) -> Self {
        Self {
            own_name,
            groups: Mutex::default(),
            evidence: Mutex::default(),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, BTreeMap<GroupName, GroupShares>> {
        self.groups.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the number of connections that each server of a group accepts.
    pub(crate) fn set_limit(&self, group: &GroupName, connections_per_server: u32) {
        let mut groups = self.lock();
        let shares = groups.entry(group.clone()).or_default();
        shares.connections_per_server = connections_per_server;
    }

    /// Sets a group's limit and the largest number of this process's connections that a server
    /// counts.
    pub(super) fn set_limit_and_open(
        &self,
        group: &GroupName,
        connections_per_server: u32,
        open: u32,
    ) {
        let mut groups = self.lock();
        let shares = groups.entry(group.clone()).or_default();
        shares.connections_per_server = connections_per_server;
        shares.open_connections = open;
    }

    /// Returns a copy of a group's shares.
    pub(super) fn group(&self, group: &GroupName) -> GroupShares {
        self.lock().get(group).cloned().unwrap_or_default()
    }

    /// Allows no further connection to a group, regardless of later updates of its shares.
    pub(super) fn stop(&self, group: &GroupName) {
        if let Some(shares) = self.lock().get_mut(group) {
            shares.is_stopped = true;
        }
    }

    /// Returns the number of connections that each server of a group accepts.
    pub(crate) fn connections_per_server(&self, group: &GroupName) -> Option<u32> {
        let groups = self.lock();
        groups
            .get(group)
            .map(|shares| shares.connections_per_server)
    }

    /// Decodes a share object and applies it if its version is above the known one.
    pub(crate) fn update_from_bytes(&self, version: Version, value: &[u8]) -> Result<(), Box<str>> {
        let object: SharesObject = endivereach_wire::http::decode(value)?;
        self.update_object(version, object);
        Ok(())
    }

    pub(super) fn update_object(&self, version: Version, object: SharesObject) {
        let mut groups = self.lock();
        let shares = groups.entry(object.group.clone()).or_default();
        if version > shares.version {
            shares.version = version;
            shares.object = Some(object);
        }
    }

    /// Updates the evidence that the known objects are current, unless `evidence` is older.
    pub(crate) fn update_evidence(&self, evidence: Option<Evidence>) {
        let mut current = self.evidence.lock().unwrap_or_else(PoisonError::into_inner);
        *current = (*current).max(evidence);
    }

    /// Returns the age of the evidence for the known objects.
    pub(super) fn evidence_age(&self, now: Instant) -> Option<Duration> {
        let current = self.evidence.lock().unwrap_or_else(PoisonError::into_inner);
        current.map(|evidence| evidence.age(now))
    }

    /// Returns the number of connections per server that this process may have now.
    pub(crate) fn allowed_connections(&self, group: &GroupName) -> u32 {
        let age = self.evidence_age(Instant::now());
        let groups = self.lock();
        let Some(shares) = groups.get(group) else {
            return 0;
        };
        if shares.is_stopped {
            return 0;
        }
        let object = shares.object.as_ref();
        let holder = object.and_then(|object| object.holder(&self.own_name));
        allowed_connections(holder, age, shares.open_connections)
    }
}

/// The connection budget that the data path uses.
#[derive(Clone, Debug)]
pub struct Budget(pub(crate) Arc<Shares>);

impl ConnectionBudget for Budget {
    fn share(&self, group: &GroupName, _: &MemberId, connections_per_server: u32) -> u32 {
        self.0
            .allowed_connections(group)
            .min(connections_per_server)
    }

    fn report_demand(&self, group: &GroupName, _: &MemberId, connections_wanted: u32) {
        let mut groups = self.0.lock();
        if let Some(shares) = groups.get_mut(group) {
            shares.record_demand(connections_wanted, Instant::now());
        }
    }
}
