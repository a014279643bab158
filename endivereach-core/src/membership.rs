//! Fleet membership: the platform's list of VMs, corrected by direct contact.
//!
//! The list can be out of date. A listed member that this process can't reach is skipped for a
//! while, and a process that contacted this one counts as a member before the list includes it.

use crate::directory::Vm;
use crate::exchange::Evidence;
use crate::homes;
use crate::ids::Incarnation;
use crate::ids::ProxyId;
use crate::ids::ProxyName;
use crate::ids::RegionName;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// Limits for skipping unreachable members and for keeping unlisted ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipConfig {
    /// Consecutive failed calls after which a member is skipped. Default: 2.
    pub failures_max: u32,
    /// How long an unreachable member is skipped before it is tried again. Default: 5 s.
    pub retry_delay: Duration,
    /// How long an unlisted process stays a member after its last contact. Default: 60 s.
    pub unlisted_timeout: Duration,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            failures_max: 2,
            retry_delay: Duration::from_secs(5),
            unlisted_timeout: Duration::from_secs(60),
        }
    }
}

/// The results of direct contact with one member.
#[derive(Clone, Debug, Default)]
struct Contact {
    failures: u32,
    last_failure_at: Option<Instant>,
    last_report: Option<SelfReport>,
}

/// A process's own description of itself.
#[derive(Clone, Debug)]
struct SelfReport {
    vm: Vm,
    incarnation: Incarnation,
    at: Instant,
}

/// This process's view of the fleet.
#[derive(Clone, Debug)]
pub struct Membership {
    config: MembershipConfig,
    listed: Vec<Vm>,
    evidence: Option<Evidence>,
    contacts: BTreeMap<ProxyName, Contact>,
}

impl Membership {
    /// Creates an empty view.
    pub const fn new(config: MembershipConfig) -> Self {
        Self {
            config,
            listed: Vec::new(),
            evidence: None,
            contacts: BTreeMap::new(),
        }
    }

    /// Replaces the platform's list, unless the evidence for the current one is at least as recent.
    ///
    /// Returns whether the list changed.
    pub fn update_list(&mut self, list: Vec<Vm>, evidence: Evidence) -> bool {
        if self.evidence.is_some_and(|current| current >= evidence) {
            return false;
        }
        self.evidence = Some(evidence);
        let changed = self.listed != list;
        self.listed = list;
        changed
    }

    /// Returns the most recent platform list.
    pub fn listed(&self) -> &[Vm] {
        &self.listed
    }

    /// Returns the evidence that the list was complete, or `None` before the first list.
    pub const fn evidence(&self) -> Option<Evidence> {
        self.evidence
    }

    /// Records a request or a reply of another process, with its description of itself.
    pub fn record_contact(&mut self, vm: Vm, incarnation: Incarnation, now: Instant) {
        let contact = self.contacts.entry(vm.name.clone()).or_default();
        contact.failures = 0;
        contact.last_failure_at = None;
        contact.last_report = Some(SelfReport {
            vm,
            incarnation,
            at: now,
        });
    }

    /// Records that a call to a member was not answered.
    pub fn record_failure(&mut self, name: &ProxyName, now: Instant) {
        let contact = self.contacts.entry(name.clone()).or_default();
        contact.failures = contact.failures.saturating_add(1);
        contact.last_failure_at = Some(now);
    }

    /// Returns whether calls to a member should be attempted.
    pub fn should_call(&self, name: &ProxyName, now: Instant) -> bool {
        let Some(contact) = self.contacts.get(name) else {
            return true;
        };
        let is_due = |at: Instant| now.saturating_duration_since(at) >= self.config.retry_delay;
        contact.failures < self.config.failures_max || contact.last_failure_at.is_none_or(is_due)
    }

    /// Returns whether a member has answered recent calls. A member that was never called counts as
    /// answering.
    pub fn is_answering(&self, name: &ProxyName) -> bool {
        let contact = self.contacts.get(name);
        contact.is_none_or(|contact| contact.failures < self.config.failures_max)
    }

    /// Returns the listed members and the unlisted ones with recent contact, ordered by name.
    ///
    /// The list's addresses take precedence, because the platform knows which ones other VMs can
    /// reach. A process that reports that it is leaving counts as leaving immediately.
    pub fn members(&self, now: Instant) -> Vec<Vm> {
        let listed = self.listed.iter().map(|vm| (vm.name.clone(), vm.clone()));
        let mut members: BTreeMap<ProxyName, Vm> = listed.collect();
        for contact in self.contacts.values() {
            let Some(report) = &contact.last_report else {
                continue;
            };
            if now.saturating_duration_since(report.at) < self.config.unlisted_timeout {
                let member = members.entry(report.vm.name.clone());
                member.or_insert_with(|| report.vm.clone()).leaving |= report.vm.leaving;
            }
        }
        members.into_values().collect()
    }

    /// Returns the members that calls should be attempted to.
    pub fn members_to_call(&self, now: Instant) -> Vec<Vm> {
        let mut members = self.members(now);
        members.retain(|vm| self.should_call(&vm.name, now));
        members
    }

    /// Returns the incarnation that a member last reported.
    pub fn incarnation(&self, name: &ProxyName) -> Option<Incarnation> {
        let report = self.contacts.get(name)?.last_report.as_ref()?;
        Some(report.incarnation)
    }

    /// Returns whether a process is known to have ended.
    ///
    /// This is the case if a process with another incarnation answers under its name, or if its VM
    /// is neither listed nor in recent contact.
    pub fn has_ended(&self, proxy: &ProxyId, now: Instant) -> bool {
        let reported = self.incarnation(&proxy.name);
        if reported.is_some_and(|incarnation| incarnation != proxy.incarnation) {
            return true;
        }
        let is_known = self.members(now).iter().any(|vm| vm.name == proxy.name);
        self.evidence.is_some() && !is_known
    }

    /// Removes the contacts of processes that are neither listed nor in recent contact, so that the
    /// state doesn't grow with churn.
    pub fn remove_departed(&mut self, now: Instant) {
        let unlisted_timeout = self.config.unlisted_timeout;
        let listed: Vec<&ProxyName> = self.listed.iter().map(|vm| &vm.name).collect();
        self.contacts.retain(|name, contact| {
            let report = contact.last_report.as_ref();
            let is_recent = report
                .is_some_and(|report| now.saturating_duration_since(report.at) < unlisted_timeout);
            is_recent || listed.contains(&name)
        });
    }
}

/// Returns the relays of an availability zone: the members that watch the platform for the others.
///
/// `members` must not include unreachable members, so that the next ones by weight replace them.
pub fn relays<'a>(zone: &crate::ids::ZoneName, members: &'a [Vm], count: usize) -> Vec<&'a Vm> {
    let is_of_zone = |vm: &&Vm| &vm.zone == zone;
    best_ranked(&format!("relay/{zone}"), members, is_of_zone, count)
}

/// Returns the relays of a region: the members that watch the platform for the region's zones.
pub fn region_relays<'a>(region: &RegionName, members: &'a [Vm], count: usize) -> Vec<&'a Vm> {
    let is_of_region = |vm: &&Vm| &vm.region == region;
    let key = format!("region-relay/{region}");
    best_ranked(&key, members, is_of_region, count)
}

fn best_ranked<'a>(
    key: &str,
    members: &'a [Vm],
    is_eligible: impl Fn(&&Vm) -> bool,
    count: usize,
) -> Vec<&'a Vm> {
    let is_staying = |vm: &&Vm| !vm.leaving;
    let eligible = members.iter().filter(is_staying).filter(is_eligible);
    let mut ranked: Vec<&Vm> = eligible.collect();
    ranked.sort_by_key(|vm| std::cmp::Reverse(homes::weight(key, &vm.name)));
    ranked.truncate(count);
    ranked
}
