//! The homes of every group, computed once for each state of the member list.
//!
//! Homes are asked for many times a second, and computing them looks at every member. Members change
//! about once a minute in a large fleet, so what was computed is kept until they do.

use super::known::hash_members;
use super::node::Node;
use endivereach_core::directory::Vm;
use endivereach_core::homes;
use endivereach_core::ids::GroupName;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// How often the members are looked at.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// The homes of one group, for the number of connections that they were computed with.
struct Computed {
    connections_per_server: u32,
    homes: Arc<[Vm]>,
}

/// What was computed for one state of the members.
struct Contents {
    looked_at: Instant,
    members_hash: u64,
    members: Arc<[Vm]>,
    by_group: HashMap<GroupName, Computed>,
}

/// The homes of every group that was asked for.
#[derive(Default)]
pub(crate) struct HomesCache {
    contents: Mutex<Option<Contents>>,
}

impl HomesCache {
    /// Returns the homes of a group, in their order.
    pub(crate) fn homes(
        &self,
        node: &Node,
        group: &GroupName,
        connections_per_server: u32,
    ) -> Arc<[Vm]> {
        let mut contents = self.contents.lock().unwrap_or_else(PoisonError::into_inner);
        let contents = look(&mut contents, node);
        if let Some(computed) = contents.by_group.get(group)
            && computed.connections_per_server == connections_per_server
        {
            return Arc::clone(&computed.homes);
        }
        let homes = homes::homes(group, &contents.members, connections_per_server);
        let homes: Arc<[Vm]> = homes.into_iter().cloned().collect();
        let computed = Computed {
            connections_per_server,
            homes: Arc::clone(&homes),
        };
        contents.by_group.insert(group.clone(), computed);
        homes
    }

    /// Returns every member, as of the last look.
    pub(crate) fn members(&self, node: &Node) -> Arc<[Vm]> {
        let mut contents = self.contents.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&look(&mut contents, node).members)
    }
}

/// Looks at the members if that is due, and forgets what was computed when they changed.
fn look<'a>(contents: &'a mut Option<Contents>, node: &Node) -> &'a mut Contents {
    let now = Instant::now();
    let held = match contents.take() {
        Some(held) if now.duration_since(held.looked_at) < LOOK_INTERVAL => held,
        held => refresh(held, node, now),
    };
    contents.insert(held)
}

fn refresh(held: Option<Contents>, node: &Node, now: Instant) -> Contents {
    let members: Arc<[Vm]> = node.known.lock().members(now).into();
    let members_hash = hash_members(&members);
    let kept = held.filter(|held| held.members_hash == members_hash);
    Contents {
        looked_at: now,
        members_hash,
        members,
        by_group: kept.map(|held| held.by_group).unwrap_or_default(),
    }
}
