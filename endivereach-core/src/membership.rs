//! Who belongs to the fleet: the platform's lagging list, corrected by direct evidence.
//!
//! The list is evidence, not truth. A member that this process can't reach is passed over for a
//! while, and a process that called in is a member before the list shows it.

use crate::directory::Vm;
use crate::exchange::Evidence;
use crate::homes;
use crate::ids::Incarnation;
use crate::ids::ProxyId;
use crate::ids::ProxyName;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// When a member counts as unreachable, and how long a call from it keeps it a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipConfig {
    /// Failures in a row before a member is passed over. Default: 2.
    pub failures_max: u32,
    /// How long a member is passed over before it is tried again. Default: 5 s.
    pub retry_after: Duration,
    /// How long a process that called in stays a member without being listed. Default: 60 s.
    pub heard_for: Duration,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            failures_max: 2,
            retry_after: Duration::from_secs(5),
            heard_for: Duration::from_secs(60),
        }
    }
}

/// What direct contact told of one member.
#[derive(Clone, Debug, Default)]
struct Contact {
    failures: u32,
    failed_at: Option<Instant>,
    heard: Option<Heard>,
}

/// What a process said of itself.
#[derive(Clone, Debug)]
struct Heard {
    vm: Vm,
    incarnation: Incarnation,
    at: Instant,
}

/// The fleet as this process sees it.
#[derive(Clone, Debug)]
pub struct Membership {
    config: MembershipConfig,
    listed: Vec<Vm>,
    evidence: Option<Evidence>,
    contacts: BTreeMap<ProxyName, Contact>,
}

impl Membership {
    /// Creates a fleet of which nothing is known.
    pub const fn new(config: MembershipConfig) -> Self {
        Self {
            config,
            listed: Vec::new(),
            evidence: None,
            contacts: BTreeMap::new(),
        }
    }

    /// Takes in the platform's list, unless the one held has more recent evidence. Returns whether
    /// the list changed.
    pub fn take_list(&mut self, list: Vec<Vm>, evidence: Evidence) -> bool {
        if self.evidence.is_some_and(|held| held >= evidence) {
            return false;
        }
        self.evidence = Some(evidence);
        let changed = self.listed != list;
        self.listed = list;
        changed
    }

    /// Returns the platform's list as last seen.
    pub fn listed(&self) -> &[Vm] {
        &self.listed
    }

    /// Returns the evidence for the list.
    pub const fn evidence(&self) -> Option<Evidence> {
        self.evidence
    }

    /// Records that a process called in or answered, with what it said of itself.
    pub fn heard_from(&mut self, vm: Vm, incarnation: Incarnation, now: Instant) {
        let contact = self.contacts.entry(vm.name.clone()).or_default();
        contact.failures = 0;
        contact.failed_at = None;
        contact.heard = Some(Heard {
            vm,
            incarnation,
            at: now,
        });
    }

    /// Records that a call to a member gave no answer.
    pub fn failed(&mut self, name: &ProxyName, now: Instant) {
        let contact = self.contacts.entry(name.clone()).or_default();
        contact.failures = contact.failures.saturating_add(1);
        contact.failed_at = Some(now);
    }

    /// Returns whether calls to a member are worth a try.
    pub fn is_reachable(&self, name: &ProxyName, now: Instant) -> bool {
        let Some(contact) = self.contacts.get(name) else {
            return true;
        };
        let is_due = |at: Instant| now.saturating_duration_since(at) >= self.config.retry_after;
        contact.failures < self.config.failures_max || contact.failed_at.is_none_or(is_due)
    }

    /// Returns whether a member answered the last calls to it, or none was made.
    pub fn is_answering(&self, name: &ProxyName) -> bool {
        let contact = self.contacts.get(name);
        contact.is_none_or(|contact| contact.failures < self.config.failures_max)
    }

    /// Returns every member: the list, and those that called in of late, ordered by name.
    ///
    /// Addresses are taken from the list where there are any, because the platform knows which ones
    /// others can reach. A process that says it is leaving is believed at once.
    pub fn members(&self, now: Instant) -> Vec<Vm> {
        let listed = self.listed.iter().map(|vm| (vm.name.clone(), vm.clone()));
        let mut members: BTreeMap<ProxyName, Vm> = listed.collect();
        for contact in self.contacts.values() {
            let Some(heard) = &contact.heard else {
                continue;
            };
            if now.saturating_duration_since(heard.at) < self.config.heard_for {
                let member = members.entry(heard.vm.name.clone());
                member.or_insert_with(|| heard.vm.clone()).leaving |= heard.vm.leaving;
            }
        }
        members.into_values().collect()
    }

    /// Returns the members that calls are worth a try to.
    pub fn reachable(&self, now: Instant) -> Vec<Vm> {
        let mut members = self.members(now);
        members.retain(|vm| self.is_reachable(&vm.name, now));
        members
    }

    /// Returns the incarnation of a member as last heard.
    pub fn incarnation(&self, name: &ProxyName) -> Option<Incarnation> {
        let heard = self.contacts.get(name)?.heard.as_ref()?;
        Some(heard.incarnation)
    }

    /// Returns whether a process is known to have ended: another one answers under its name, or its
    /// VM is neither listed nor heard of.
    pub fn is_gone(&self, proxy: &ProxyId, now: Instant) -> bool {
        let heard = self.incarnation(&proxy.name);
        if heard.is_some_and(|incarnation| incarnation != proxy.incarnation) {
            return true;
        }
        let is_known = self.members(now).iter().any(|vm| vm.name == proxy.name);
        self.evidence.is_some() && !is_known
    }

    /// Forgets contacts with processes that are neither listed nor heard of, so that churn doesn't
    /// grow the state.
    pub fn forget_departed(&mut self, now: Instant) {
        let heard_for = self.config.heard_for;
        let listed: Vec<&ProxyName> = self.listed.iter().map(|vm| &vm.name).collect();
        self.contacts.retain(|name, contact| {
            let heard = contact.heard.as_ref();
            let is_heard =
                heard.is_some_and(|heard| now.saturating_duration_since(heard.at) < heard_for);
            is_heard || listed.contains(&name)
        });
    }
}

/// Returns the relays of an availability zone: the members that watch the platform for the others.
///
/// Unreachable members must be left out of `members` by the caller, so that the next ones step in.
pub fn relays<'a>(zone: &crate::ids::ZoneName, members: &'a [Vm], count: usize) -> Vec<&'a Vm> {
    let key = format!("relay/{zone}");
    let mut of_zone: Vec<&Vm> = members
        .iter()
        .filter(|vm| &vm.zone == zone && !vm.leaving)
        .collect();
    of_zone.sort_by_key(|vm| std::cmp::Reverse(homes::weight(&key, &vm.name)));
    of_zone.truncate(count);
    of_zone
}
