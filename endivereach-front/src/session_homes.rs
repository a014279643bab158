//! The homes of groups and tenants: which home serves a session, and the sessions that this process
//! serves because it could reach none.

use crate::platform::Platform;
use crate::protocol::Protocol;
use crate::proxy::ProxyProcess;
use crate::relays::PendingRelay;
use endivereach_core::directory::Vm;
use endivereach_core::engine::statement::CallerId;
use endivereach_core::homes;
use endivereach_core::ids::GroupName;
use endivereach_core::ids::ProxyName;
use endivereach_core::ids::ZoneName;
use endivereach_core::local_sessions::SessionHomes;
use endivereach_core::tenant_homes::HomeCandidate;
use endivereach_core::tenants::TenantName;
use std::time::Instant;

impl<P: Protocol, A: Platform> ProxyProcess<P, A> {
    /// Returns the home to which a new session is relayed, or `None` if this process serves the
    /// session itself.
    pub(crate) fn select_home(&mut self, now: Instant, pending: &PendingRelay) -> Option<Vm> {
        match &pending.identity.tenant {
            Some(tenant) => self.select_tenant_home(now, tenant),
            None => self.select_group_home(now, &pending.group),
        }
    }

    /// Returns the first proxy of a tenant's ranking that accepts sessions, or `None` if it is this
    /// process or there is none.
    fn select_tenant_home(&self, now: Instant, tenant: &TenantName) -> Option<Vm> {
        let mut ranking = self.tenant_homes.ranking(tenant).iter();
        let home = ranking.find(|home| !self.is_unavailable(now, home))?;
        (home.name != self.proxy_id.name).then(|| home.clone())
    }

    fn is_unavailable(&self, now: Instant, home: &Vm) -> bool {
        let until = self.unavailable_homes.get(&home.name);
        until.is_some_and(|until| now < *until)
    }

    /// Returns a home of a group, or `None` if this process serves the group's sessions itself.
    fn select_group_home(&mut self, now: Instant, group: &GroupName) -> Option<Vm> {
        let limit = self.engine.connections_per_server(group)?;
        let count = homes::home_count(limit);
        if self.home_table.members().len() <= count {
            // Every proxy is a home.
            return None;
        }
        let homes: Vec<&Vm> = self.home_table.homes(group).iter().collect();
        if homes.iter().any(|home| home.name == self.proxy_id.name) {
            return None;
        }
        self.relay_round_robin = self.relay_round_robin.wrapping_add(1);
        let round_robin = self.relay_round_robin;
        let is_unavailable = |home: &Vm| self.is_unavailable(now, home);
        if self.home_table.has_several_regions() {
            let own = self.own_vm();
            let has_server = |zone: &ZoneName| self.engine.has_server_in(group, zone);
            return homes::nearest_in_regions(
                &homes,
                &own,
                has_server,
                round_robin,
                is_unavailable,
            )
            .cloned();
        }
        let zone = &self.settings.location.zone;
        homes::nearest(&homes, zone, round_robin, is_unavailable).cloned()
    }

    /// Updates the homes after the routes changed.
    pub(crate) fn update_home_groups(&mut self) {
        if self.tenant_homes.set_tenants(self.engine.tenants()) {
            self.update_tenant_homes();
        }
        for group in self.engine.group_names() {
            if let Some(limit) = self.engine.connections_per_server(&group)
                && self.home_table.set_group(&group, limit)
            {
                self.update_home(&group);
            }
        }
    }

    /// Updates the homes after the list of proxies changed.
    pub(crate) fn update_home_members(&mut self, proxies: Vec<HomeCandidate>) {
        let vms: Vec<Vm> = proxies.iter().map(|proxy| proxy.vm.clone()).collect();
        let staying = vms.iter().filter(|vm| !vm.leaving);
        let regions = staying.map(|vm| (vm.zone.clone(), vm.region.clone()));
        self.engine.set_regions(regions.collect());
        if self.tenant_homes.set_members(proxies) {
            self.update_tenant_homes();
        }
        for group in self.home_table.set_members(vms) {
            self.update_home(&group);
        }
    }

    /// Tells the engine for which tenants this process may be the home.
    fn update_tenant_homes(&mut self) {
        let is_ranked = |ranking: &[Vm]| ranking.iter().any(|vm| vm.name == self.proxy_id.name);
        let rankings = self.tenant_homes.rankings();
        let tenants = rankings
            .filter(|(_, ranking)| is_ranked(ranking))
            .map(|(tenant, _)| tenant.clone())
            .collect();
        self.engine.set_home_tenants(tenants);
    }

    /// Tells the engine whether this process is a home of a group.
    fn update_home(&mut self, group: &GroupName) {
        let mut homes = self.home_table.homes(group).iter();
        let is_home = homes.any(|home| home.name == self.proxy_id.name);
        self.engine.set_home(group, is_home);
    }

    /// Records a session that this process serves itself, unless this process is its tenant's home.
    pub(crate) fn note_local_session(&mut self, id: CallerId, pending: &PendingRelay) {
        let homes = match &pending.identity.tenant {
            Some(tenant) if self.preferred_homes(tenant).is_empty() => return,
            Some(tenant) => SessionHomes::Tenant(tenant.clone()),
            None => SessionHomes::Group(pending.group.clone()),
        };
        self.local_sessions.insert(id, homes);
    }

    /// Returns the proxies that come before this process in a tenant's ranking, best first.
    fn preferred_homes(&self, tenant: &TenantName) -> &[Vm] {
        preferred_homes(self.tenant_homes.ranking(tenant), &self.proxy_id.name)
    }

    /// Disconnects idle sessions that this process serves itself once a home accepts sessions again, so that their callers connect again and are relayed.
    pub(crate) fn return_local_sessions(&mut self, now: Instant) {
        let home_table = &self.home_table;
        let tenant_homes = &self.tenant_homes;
        let own_name = &self.proxy_id.name;
        let engine = &self.engine;
        let returned = self.local_sessions.next_return(
            now,
            |homes| match homes {
                SessionHomes::Group(group) => home_table.homes(group),
                SessionHomes::Tenant(tenant) => {
                    preferred_homes(tenant_homes.ranking(tenant), own_name)
                }
            },
            |caller| engine.can_disconnect(caller),
        );
        if let Some(id) = returned {
            log::info!(target: "belief", "event=session-returned caller={id}");
            self.close_caller(id);
        }
    }
}

/// Returns the part of a ranking that comes before a proxy.
fn preferred_homes<'r>(ranking: &'r [Vm], name: &ProxyName) -> &'r [Vm] {
    let index = ranking.iter().position(|vm| &vm.name == name);
    &ranking[..index.unwrap_or(ranking.len())]
}
