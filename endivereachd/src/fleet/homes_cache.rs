//! A cache of the homes of every group, computed once per state of the member list.
//!
//! Homes are looked up many times a second, and computing them reads every member. In a large fleet
//! the member list changes about once a minute.

use super::node::Node;
use super::state::hash_members;
use endivereach_core::directory::Vm;
use endivereach_core::homes;
use endivereach_core::ids::GroupName;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// The interval between two reads of the member list.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// The homes of one group, with the number of connections that they were computed for.
struct CachedHomes {
    connections_per_server: u32,
    homes: Arc<[Vm]>,
}

/// The cached homes for one state of the member list.
struct CacheContents {
    refreshed_at: Instant,
    members_hash: u64,
    members: Arc<[Vm]>,
    by_group: HashMap<GroupName, CachedHomes>,
}

/// A cache of the homes of every group that was looked up.
#[derive(Default)]
pub(crate) struct HomesCache {
    contents: Mutex<Option<CacheContents>>,
}

impl HomesCache {
    /// Returns the homes of a group, ordered by rank.
    pub(crate) fn homes(
        &self,
        node: &Node,
        group: &GroupName,
        connections_per_server: u32,
    ) -> Arc<[Vm]> {
        let mut contents = self.contents.lock().unwrap_or_else(PoisonError::into_inner);
        let contents = refresh_if_due(&mut contents, node);
        if let Some(cached) = contents.by_group.get(group)
            && cached.connections_per_server == connections_per_server
        {
            return Arc::clone(&cached.homes);
        }
        let homes = homes::homes(group, &contents.members, connections_per_server);
        let homes: Arc<[Vm]> = homes.into_iter().cloned().collect();
        let cached = CachedHomes {
            connections_per_server,
            homes: Arc::clone(&homes),
        };
        contents.by_group.insert(group.clone(), cached);
        homes
    }

    /// Returns every member, as of the last refresh.
    pub(crate) fn members(&self, node: &Node) -> Arc<[Vm]> {
        let mut contents = self.contents.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&refresh_if_due(&mut contents, node).members)
    }
}

/// Reads the member list if a refresh is due, and discards the cached homes if the list changed.
fn refresh_if_due<'a>(
    contents: &'a mut Option<CacheContents>,
    node: &Node,
) -> &'a mut CacheContents {
    let now = Instant::now();
    let current = match contents.take() {
        Some(previous) if now.duration_since(previous.refreshed_at) < REFRESH_INTERVAL => previous,
        previous => refresh(previous, node, now),
    };
    contents.insert(current)
}

fn refresh(previous: Option<CacheContents>, node: &Node, now: Instant) -> CacheContents {
    let members: Arc<[Vm]> = node.fleet_state.lock().members(now).into();
    let members_hash = hash_members(&members);
    let kept = previous.filter(|previous| previous.members_hash == members_hash);
    CacheContents {
        refreshed_at: now,
        members_hash,
        members,
        by_group: kept.map(|previous| previous.by_group).unwrap_or_default(),
    }
}
