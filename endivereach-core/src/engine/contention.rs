//! Load: one tenant keeps many statements waiting while others wait too. Bounds what one tenant has
//! in flight at a server.

use super::Engine;
use super::caller::Stage;
use super::outstanding::CommandKind;
use super::statement::CallerId;
use super::target::Connection;
use super::target::Target;
use crate::ids::GroupName;
use crate::queue::Ticket;
use crate::tenants::TenantName;
use std::collections::BTreeSet;
use std::time::Instant;

/// While others wait, one tenant has at most the slots of a server divided by this number in flight
/// there. Other tenants' statements are then never all behind one tenant's.
const TENANT_SLOTS_DIVISOR: u32 = 2;

/// The tenants for which no further statement can be assigned.
#[derive(Debug, Default)]
pub(super) struct FullTargets {
    /// Those without room at the primary.
    pub(super) primary: BTreeSet<Option<TenantName>>,
    /// Those without room at any target that runs reads.
    pub(super) targets: BTreeSet<Option<TenantName>>,
}

impl Engine {
    /// Assigns the statements that only their tenant's bound held back, if no other tenant's
    /// statement waits for the same targets.
    pub(super) fn dispatch_beyond_share(
        &mut self,
        now: Instant,
        name: &GroupName,
        waiting: &[(Ticket, CallerId)],
        full: &FullTargets,
    ) {
        let [primary, targets] = [&full.primary, &full.targets].map(|tenants| tenants.len() > 1);
        let mut excluded = FullTargets::default();
        for tenant in full.primary.union(&full.targets) {
            let is_other = |other: &&Option<TenantName>| *other != tenant;
            if primary || full.targets.iter().any(|other| is_other(&other)) {
                excluded.primary.insert(tenant.clone());
            }
            if targets {
                excluded.targets.insert(tenant.clone());
            }
        }
        let is_waiting = |id: CallerId| {
            let pending = self.callers.get(&id).and_then(|c| c.pending.as_ref());
            pending.is_some_and(|pending| matches!(pending.stage, Stage::Queued(_)))
        };
        let waiting = waiting.iter().copied();
        let remaining: Vec<_> = waiting.filter(|(_, id)| is_waiting(*id)).collect();
        self.dispatch_waiting(now, name, &remaining, &mut excluded, false);
    }

    /// Returns whether a tenant has as many statements in flight at a target as it may have while
    /// others wait.
    pub(super) fn is_tenant_at_bound(&self, target: &Target, tenant: Option<&TenantName>) -> bool {
        let is_running = |connection: &&Connection| {
            let mut commands = connection.outstanding.iter();
            connection.tenant.as_ref() == tenant
                && commands.any(|command| command.kind != CommandKind::Status)
        };
        let connections = target.connections.iter();
        let connections = connections.filter_map(|id| self.connections.get(id));
        let bound = target.entry.slots.max(1).div_ceil(TENANT_SLOTS_DIVISOR) as usize;
        connections.filter(is_running).count() >= bound
    }
}
