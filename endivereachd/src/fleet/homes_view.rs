//! The fleet as the groups' duties ask for it.

use super::node::Node;
use endivereach_core::directory::Vm;
use endivereach_core::homes;
use endivereach_core::ids::GroupName;
use endivereach_core::ids::ProxyId;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::Weak;
use std::time::Duration;
use std::time::Instant;

/// How long computed ranks are kept. Members change far less often than ranks are asked for.
const RANKS_KEPT: Duration = Duration::from_secs(1);

/// The ranks computed from one look at the members.
struct Ranks {
    computed_at: Instant,
    members: Vec<Vm>,
    by_group: BTreeMap<GroupName, Option<u32>>,
}

/// Tells which groups this process is a home of, and which processes have ended.
pub(crate) struct HomesView {
    node: Weak<Node>,
    ranks: Mutex<Option<Ranks>>,
}

impl HomesView {
    pub(crate) fn new(node: Weak<Node>) -> Self {
        Self {
            node,
            ranks: Mutex::default(),
        }
    }

    /// Returns this process's rank among the homes of a group, or `None` when it isn't one.
    fn rank(&self, group: &GroupName) -> Option<u32> {
        let node = self.node.upgrade()?;
        let now = Instant::now();
        let mut ranks = self.ranks.lock().unwrap_or_else(PoisonError::into_inner);
        let is_old = |ranks: &Ranks| now.duration_since(ranks.computed_at) > RANKS_KEPT;
        if ranks.as_ref().is_none_or(is_old) {
            *ranks = Some(Ranks {
                computed_at: now,
                members: node.known.lock().members(now),
                by_group: BTreeMap::new(),
            });
        }
        let ranks = ranks.as_mut()?;
        if let Some(rank) = ranks.by_group.get(group) {
            return *rank;
        }
        let rank = compute(&node, group, &ranks.members);
        ranks.by_group.insert(group.clone(), rank);
        rank
    }

    /// Returns whether a process is known to have ended.
    fn is_gone(&self, proxy: &ProxyId) -> bool {
        let Some(node) = self.node.upgrade() else {
            return false;
        };
        let contents = node.known.lock();
        contents.membership.is_gone(proxy, Instant::now())
    }
}

impl crate::groups::Fleet for HomesView {
    fn home_rank(&self, group: &GroupName) -> Option<u32> {
        self.rank(group)
    }

    fn is_gone(&self, proxy: &ProxyId) -> bool {
        HomesView::is_gone(self, proxy)
    }
}

fn compute(node: &Node, group: &GroupName, members: &[Vm]) -> Option<u32> {
    let connections = node.shares.connections_per_server(group)?;
    let homes = homes::homes(group, members, connections);
    let me = &node.context.id.name;
    let rank = homes.iter().position(|vm| &vm.name == me)?;
    u32::try_from(rank).ok()
}
