//! How the tenants use this process's connections, and the limit of each tenant.

use super::Engine;
use super::group::Group;
use super::pool::CONNECTIONS_ABOVE_SHARE_MAX;
use super::pool::CONNECTIONS_OUTSIDE_HOMES;
use super::pool::is_stuck;
use super::statement::CallerId;
use super::statement::ConnectionId;
use super::target::Connection;
use super::target::Target;
use super::tenant_connections;
use super::tenant_connections::Usage;
use crate::homes::RESERVED_CONNECTIONS;
use crate::homes::home_count;
use crate::ids::GroupName;
use crate::ids::MemberId;
use crate::queue::Ticket;
use crate::tenants::TenantName;
use crate::tenants::Tenants;
use crate::treatment::Freshness;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

/// The age up to which a server's reported number of connections is used.
const STATUS_AGE_MAX: Duration = Duration::from_secs(3);

/// The time after its last statement from which a tenant's usage is forgotten.
const USAGE_TIMEOUT: Duration = Duration::from_secs(60);

/// The rate of statements of a group from which floors are kept ready for its reads. Below it, most
/// floors would expire unused, and a read that needs one waits a round trip for it.
const FLOORS_FROM_RATE_PER_S: f64 = 1.0;

/// The time after its last statement for which a tenant counts as using a group.
const RECENT_USE: Duration = Duration::from_secs(5);

impl Engine {
    /// Sets the tenants in whose rankings this process is, which may have their parts of each
    /// server's connections.
    pub fn set_home_tenants(&mut self, tenants: BTreeSet<TenantName>) {
        if tenants != self.home_tenants {
            log::info!(target: "belief", "event=home-tenants count={}", tenants.len());
            self.home_tenants = tenants;
        }
    }

    /// Returns the tenants of the current routes, or `None` if callers need no key.
    pub fn tenants(&self) -> Option<&Tenants> {
        self.routes.as_ref()?.tenants.as_ref()
    }

    /// Returns whether connections are limited by tenant.
    pub(super) fn has_tenants(&self) -> bool {
        self.tenants().is_some()
    }

    /// Records a statement that needs a connection.
    pub(super) fn record_arrival(&mut self, now: Instant, id: CallerId, name: &GroupName) {
        if !self.has_tenants() {
            return;
        }
        let tenant = self.caller_tenant(id).cloned();
        if let Some(group) = self.groups.get_mut(name) {
            let usage = group.usage.entry(tenant);
            usage.or_insert_with(|| Usage::new(now)).record_arrival(now);
        }
    }

    /// Records how long a connection was assigned, after it was released.
    pub(super) fn record_hold(&mut self, now: Instant, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.used_at = now;
        let Some(since) = connection.assigned_at.take() else {
            return;
        };
        let group = self.groups.get_mut(&connection.group);
        if let Some(usage) = group.and_then(|group| group.usage.get_mut(&connection.tenant)) {
            usage.record_hold(now.saturating_duration_since(since));
        }
    }

    /// Removes the usage of tenants that haven't used a group within [`USAGE_TIMEOUT`].
    pub(super) fn remove_old_usage(&mut self, now: Instant) {
        for group in self.groups.values_mut() {
            group
                .usage
                .retain(|_, usage| now < usage.arrived_at() + USAGE_TIMEOUT);
        }
    }

    /// Returns whether floors are kept ready for the next reads of a group. Without tenants, only the
    /// homes of a group have sessions, so this is always so.
    pub(super) fn keeps_floors(&self, now: Instant, group: &Group) -> bool {
        let rates = group.usage.values().map(|usage| usage.rate(now));
        !self.has_tenants() || rates.sum::<f64>() >= FLOORS_FROM_RATE_PER_S
    }

    /// Counts the waiting statements of each tenant, and puts those of tenants without a connection
    /// first: an idle connection of another tenant can be replaced only before it is used again.
    pub(super) fn order_by_tenant(&mut self, name: &GroupName, waiting: &mut [(Ticket, CallerId)]) {
        if !self.has_tenants() {
            return;
        }
        let Some(group) = self.groups.get_mut(name) else {
            return;
        };
        for usage in group.usage.values_mut() {
            usage.waiting = 0;
        }
        for (_, id) in waiting.iter() {
            let tenant = self
                .callers
                .get(id)
                .and_then(|caller| caller.tenant.clone());
            if let Some(usage) = group.usage.get_mut(&tenant) {
                usage.waiting += 1;
            }
        }
        let mut lacking: BTreeMap<(Option<&TenantName>, bool), bool> = BTreeMap::new();
        waiting.sort_by_cached_key(|(_, id)| {
            let needs_primary = self.needs_primary(*id);
            let tenant = self.caller_tenant(*id);
            let lacks = lacking.entry((tenant, needs_primary));
            !*lacks.or_insert_with(|| self.lacks_connection(name, tenant, needs_primary))
        });
    }

    /// Returns whether only the primary can run a caller's statement.
    pub(super) fn needs_primary(&self, id: CallerId) -> bool {
        let pending = self.callers.get(&id).and_then(|c| c.pending.as_ref());
        let is_latest = pending.is_some_and(|p| p.route.freshness == Freshness::Latest);
        is_latest || self.may_write(id)
    }

    /// Returns whether a tenant has no connection to any server that can run a statement.
    fn lacks_connection(
        &self,
        name: &GroupName,
        tenant: Option<&TenantName>,
        needs_primary: bool,
    ) -> bool {
        let Some(group) = self.groups.get(name) else {
            return false;
        };
        let is_usable = |member: &&MemberId| !needs_primary || group.primary_id() == Some(*member);
        let members = group.members.iter().filter(is_usable);
        let mut targets = members.filter_map(|member| self.targets.get(member));
        targets.all(|target| self.tenant_connections(target, tenant).next().is_none())
    }

    /// Returns a tenant's connections to a target, including those that are being opened.
    pub(super) fn tenant_connections<'e>(
        &'e self,
        target: &'e Target,
        tenant: Option<&'e TenantName>,
    ) -> impl Iterator<Item = &'e Connection> {
        let connections = target.connections.iter();
        connections
            .filter_map(|id| self.connections.get(id))
            .filter(move |connection| connection.tenant.as_ref() == tenant)
    }

    /// Returns the number of connections that a target reported recently.
    fn reported_connections(&self, now: Instant, target: &Target) -> Option<u32> {
        let probe = target.probe.as_ref()?;
        (now < probe.probed_at + STATUS_AGE_MAX).then_some(probe.status.connections)
    }

    /// Returns a tenant's part of the connections to each server of a group.
    pub(super) fn tenant_part(&self, group: &Group, tenant: Option<&TenantName>) -> usize {
        let limit = group.limits.connections_per_server;
        let homes = (home_count(limit) as u32).min(self.proxy_count);
        let divided = limit.saturating_sub(RESERVED_CONNECTIONS + homes);
        match tenant {
            Some(tenant) => self.parts.of(tenant, divided),
            None => CONNECTIONS_OUTSIDE_HOMES,
        }
    }

    /// Returns the maximum number of connections to a target that this process may have for a
    /// tenant. A process that isn't in the tenant's ranking serves its sessions only while it
    /// reaches none that is, and many processes may do so at the same time.
    pub(super) fn tenant_limit(
        &self,
        now: Instant,
        target: &Target,
        tenant: Option<&TenantName>,
    ) -> usize {
        let Some(group) = self.groups.get(&target.entry.group) else {
            return 0;
        };
        let part = self.tenant_part(group, tenant);
        let is_ranked = tenant.is_some_and(|tenant| self.home_tenants.contains(tenant));
        let base = if is_ranked {
            part
        } else {
            part.min(CONNECTIONS_OUTSIDE_HOMES)
        };
        let limit = group.limits.connections_per_server;
        let has_spare_connections = self
            .reported_connections(now, target)
            .is_some_and(|used| tenant_connections::has_spare_connections(used, limit));
        let base = if has_spare_connections {
            base + CONNECTIONS_ABOVE_SHARE_MAX
        } else {
            base
        };
        let connections = self.tenant_connections(target, tenant);
        let stuck = connections.filter(|connection| is_stuck(now, connection));
        base + stuck.count().min(base)
    }

    /// Returns whether a tenant is at its limit, which would be higher if the target had spare
    /// connections, and the target hasn't reported its number recently.
    pub(super) fn is_limit_uncertain(
        &self,
        now: Instant,
        target: &Target,
        tenant: Option<&TenantName>,
    ) -> bool {
        let is_reported = self.reported_connections(now, target).is_some();
        let connections = self.tenant_connections(target, tenant).count();
        !is_reported && connections >= self.tenant_limit(now, target, tenant)
    }

    /// Returns the maximum number of connections to a target for all tenants that use its group at
    /// present, and for `tenant`.
    pub(super) fn process_limit(
        &self,
        now: Instant,
        target: &Target,
        tenant: Option<&TenantName>,
    ) -> usize {
        let Some(group) = self.groups.get(&target.entry.group) else {
            return 0;
        };
        let others = group
            .usage
            .iter()
            .filter(|(other, usage)| {
                other.as_ref() != tenant && now < usage.arrived_at() + RECENT_USE
            })
            .map(|(other, _)| self.tenant_limit(now, target, other.as_ref()));
        self.tenant_limit(now, target, tenant) + others.sum::<usize>()
    }

    /// Returns the tenant that used a group last, if it did so recently.
    pub(super) fn recent_tenant(&self, now: Instant, name: &GroupName) -> Option<TenantName> {
        let group = self.groups.get(name)?;
        group.last_tenant(now, RECENT_USE).cloned()
    }

    /// Returns how long a connection may be idle, or `None` if the server's number of connections
    /// has to be requested first.
    pub(super) fn tenant_idle_timeout(
        &self,
        now: Instant,
        connection: &Connection,
    ) -> Option<Duration> {
        let target = self.targets.get(&connection.member)?;
        let group = self.groups.get(&connection.group)?;
        let used = self.reported_connections(now, target)?;
        let limit = group.limits.connections_per_server;
        Some(tenant_connections::idle_timeout(used, limit))
    }
}
