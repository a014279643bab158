//! The view of the fleet that the groups' duties use.

use super::node::Node;
use endivereach_core::ids::GroupName;
use endivereach_core::ids::ProxyId;
use std::sync::Weak;
use std::time::Instant;

/// Determines which groups this process is a home of, and which processes have ended.
pub(crate) struct HomesView(pub(crate) Weak<Node>);

impl crate::groups::FleetView for HomesView {
    fn home_rank(&self, group: &GroupName) -> Option<u32> {
        let node = self.0.upgrade()?;
        let connections = node.shares.connections_per_server(group)?;
        let homes = node.homes.homes(&node, group, connections);
        let own_name = &node.context.id.name;
        let rank = homes.iter().position(|vm| &vm.name == own_name)?;
        u32::try_from(rank).ok()
    }

    fn has_ended(&self, proxy: &ProxyId) -> bool {
        let Some(node) = self.0.upgrade() else {
            return false;
        };
        let contents = node.fleet_state.lock();
        contents.membership.has_ended(proxy, Instant::now())
    }
}
