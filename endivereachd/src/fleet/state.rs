//! The state of the fleet and of the platform's objects, as known to this process.

use super::messages::ExchangeAnswer;
use super::messages::ExchangeRequest;
use super::messages::KnownTopic;
use super::messages::MemberList;
use super::messages::StoredValue;
use super::messages::Topic;
use super::messages::TopicChanges;
use super::messages::age_ms;
use endivereach_core::directory::Vm;
use endivereach_core::exchange::Catalog;
use endivereach_core::exchange::Changes;
use endivereach_core::exchange::Evidence;
use endivereach_core::exchange::Versioned;
use endivereach_core::ids::Incarnation;
use endivereach_core::ids::Version;
use endivereach_core::membership::Membership;
use endivereach_core::membership::MembershipConfig;
use std::collections::BTreeMap;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use twox_hash::XxHash64;

/// The data protected by the mutex of [`FleetState`].
pub(crate) struct StateData {
    /// The VM of this process, as sent to peers.
    pub(crate) own_vm: Vm,
    pub(crate) membership: Membership,
    catalogs: BTreeMap<Topic, Catalog<StoredValue>>,
    applied: Version,
    /// The hash of the list in `membership`, cached because lists are large and change rarely.
    members_hash: u64,
}

impl StateData {
    /// Returns the objects of one topic.
    pub(crate) fn catalog(&self, topic: Topic) -> &Catalog<StoredValue> {
        &self.catalogs[&topic]
    }

    /// Returns the highest version of the rules that some process is known to have applied.
    pub(crate) const fn applied(&self) -> Version {
        self.applied
    }

    /// Returns every member, this process included.
    pub(crate) fn members(&self, now: Instant) -> Vec<Vm> {
        let mut members = self.membership.members(now);
        match members.iter_mut().find(|vm| vm.name == self.own_vm.name) {
            Some(listed) => listed.leaving |= self.own_vm.leaving,
            None => members.push(self.own_vm.clone()),
        }
        members
    }

    fn has_newer_objects(&self, request: &ExchangeRequest) -> bool {
        let is_newer = |known: &KnownTopic| {
            let mut objects = self.catalog(known.topic).objects();
            objects.any(|object| object.version > known.revision)
        };
        self.applied > request.applied || request.known.iter().any(is_newer)
    }

    /// Replaces the list of VMs, or confirms the current list if `list` is `None`.
    pub(crate) fn update_member_list(&mut self, list: Option<Vec<Vm>>, evidence: Evidence) {
        let list = list.unwrap_or_else(|| self.membership.listed().to_vec());
        if self.membership.update_list(list, evidence) {
            self.members_hash = hash_members(self.membership.listed());
        }
    }
}

/// The shared state of this process. Objects are replaced as a whole and only by higher versions.
pub(crate) struct FleetState {
    incarnation: Incarnation,
    contents: Mutex<StateData>,
    changed: Condvar,
}

impl FleetState {
    /// Creates the state of a process that knows no other process and no objects.
    pub(crate) fn new(own_vm: Vm, incarnation: Incarnation) -> Self {
        let catalogs = Topic::ALL.map(|topic| (topic, Catalog::new()));
        let contents = StateData {
            own_vm,
            membership: Membership::new(MembershipConfig::default()),
            catalogs: catalogs.into(),
            applied: Version::new(0),
            members_hash: hash_members(&[]),
        };
        Self {
            incarnation,
            contents: Mutex::new(contents),
            changed: Condvar::new(),
        }
    }

    /// Locks the state.
    pub(crate) fn lock(&self) -> MutexGuard<'_, StateData> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Merges changes of a topic, and returns the objects that a higher version replaced.
    pub(crate) fn merge(
        &self,
        topic: Topic,
        changes: Changes<StoredValue>,
        evidence: Option<Evidence>,
    ) -> Vec<Versioned<StoredValue>> {
        let mut contents = self.lock();
        let catalog = contents.catalogs.entry(topic).or_default();
        let changed_objects = catalog.merge(changes, evidence);
        drop(contents);
        if !changed_objects.is_empty() {
            self.changed.notify_all();
        }
        changed_objects
    }

    /// Records that some process has applied a version of the rules and has served with it for the
    /// soak time.
    pub(crate) fn record_applied(&self, version: Version) {
        let mut contents = self.lock();
        if version > contents.applied {
            contents.applied = version;
            drop(contents);
            self.changed.notify_all();
        }
    }

    /// Waits until any object changes, but no longer than `wait`.
    pub(crate) fn wait_change(&self, wait: Duration) {
        let contents = self.lock();
        let waited = self.changed.wait_timeout(contents, wait);
        drop(waited.unwrap_or_else(PoisonError::into_inner));
    }

    /// Builds a request to a peer, which may hold it for up to `wait`.
    pub(crate) fn request(&self, wait: Duration) -> ExchangeRequest {
        let contents = self.lock();
        let known = contents.catalogs.iter().map(|(topic, catalog)| KnownTopic {
            topic: *topic,
            revision: catalog.revision(),
        });
        ExchangeRequest {
            from: contents.own_vm.clone(),
            incarnation: self.incarnation,
            known: known.collect(),
            members_hash: contents.members_hash,
            applied: contents.applied,
            wait_ms: wait.as_millis() as u64,
        }
    }

    /// Answers a peer's request once there are newer objects or its wait ends.
    pub(crate) fn answer(&self, request: &ExchangeRequest, wait_max: Duration) -> ExchangeAnswer {
        let wait = Duration::from_millis(request.wait_ms).min(wait_max);
        // Ages are relative to the request's arrival, because the requester adds the time since
        // sending it.
        let arrived_at = Instant::now();
        let mut contents = self.lock();
        contents
            .membership
            .record_contact(request.from.clone(), request.incarnation, arrived_at);
        let (contents, _) = self
            .changed
            .wait_timeout_while(contents, wait, |contents| {
                !contents.has_newer_objects(request)
            })
            .unwrap_or_else(PoisonError::into_inner);
        ExchangeAnswer {
            from: contents.own_vm.clone(),
            incarnation: self.incarnation,
            topics: topics_after(&contents, &request.known, arrived_at),
            members: member_list(&contents, request.members_hash, arrived_at),
            applied: contents.applied,
        }
    }
}

fn topics_after(contents: &StateData, known: &[KnownTopic], now: Instant) -> Vec<TopicChanges> {
    let changes = known.iter().map(|known| {
        let catalog = contents.catalog(known.topic);
        TopicChanges {
            topic: known.topic,
            changes: catalog.changes_after(known.revision),
            age_ms: catalog.evidence().map(|latest| age_ms(latest.age(now))),
        }
    });
    changes.collect()
}

/// Returns the age of the list, and the list itself only if the requester has another one, because
/// lists are large and change rarely.
fn member_list(contents: &StateData, hash: u64, now: Instant) -> Option<MemberList> {
    let evidence = contents.membership.evidence()?;
    let is_other = contents.members_hash != hash;
    Some(MemberList {
        vms: is_other.then(|| contents.membership.listed().to_vec()),
        age_ms: age_ms(evidence.age(now)),
    })
}

/// Returns a hash with which two processes compare their lists.
pub(crate) fn hash_members(members: &[Vm]) -> u64 {
    let mut hasher = XxHash64::with_seed(0);
    for vm in members {
        vm.name.hash(&mut hasher);
        vm.zone.hash(&mut hasher);
        vm.peer_addr.hash(&mut hasher);
        vm.sql_addr.hash(&mut hasher);
        vm.leaving.hash(&mut hasher);
    }
    hasher.finish()
}
