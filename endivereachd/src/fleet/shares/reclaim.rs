//! Reclaims the shares of holders that ended, based on the servers' connection counts.

use crate::fleet::node::Node;
use crate::groups::GroupView;
use endivereach_core::ids::GroupName;
use endivereach_core::ids::ProxyName;
use endivereach_core::shares::Holder;
use endivereach_core::shares::ReclaimEvidence;
use endivereach_core::shares::SharesObject;
use std::collections::BTreeMap;
use std::time::Instant;

/// Identifies one holder of one group's shares.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct HolderKey {
    group: GroupName,
    holder: ProxyName,
}

/// Tracks the evidence against each holder whose grant was withdrawn.
#[derive(Debug, Default)]
pub(super) struct ReclaimTracker {
    by_holder: BTreeMap<HolderKey, ReclaimEvidence>,
}

impl ReclaimTracker {
    /// Evaluates the servers' counts, and returns the shares without a holder that provably uses
    /// none of its connections, or `None` if there is no such holder.
    pub(super) fn reclaim(
        &mut self,
        node: &Node,
        view: &GroupView,
        object: &SharesObject,
        now: Instant,
    ) -> Option<SharesObject> {
        self.remove_restored_holders(object);
        let status_requested_at = oldest_status_request_time(view);
        for holder in object.holders.iter().filter(|holder| holder.granted == 0) {
            if holder.name == node.context.id.name {
                continue;
            }
            let key = HolderKey {
                group: object.group.clone(),
                holder: holder.name.clone(),
            };
            let reclaim_evidence = self
                .by_holder
                .entry(key)
                .or_insert(ReclaimEvidence::new(now));
            if let Some(status_requested_at) = status_requested_at {
                reclaim_evidence.record_count(status_requested_at, connections_of(view, holder));
            }
            if reclaim_evidence.is_proven() {
                let listed = node.fleet_state.lock().members(now);
                let is_listed = listed.iter().any(|vm| vm.name == holder.name);
                if let Some(next) = object.reclaim(&holder.name, is_listed) {
                    return Some(next);
                }
            }
        }
        None
    }

    /// Removes the holders whose grant was raised again, which ends the earlier withdrawal.
    fn remove_restored_holders(&mut self, object: &SharesObject) {
        self.by_holder.retain(|key, _| {
            let holder = object.holder(&key.holder);
            key.group != object.group || holder.is_some_and(|holder| holder.granted == 0)
        });
    }
}

/// Returns when the oldest of the servers' last statuses was requested, or `None` if any server has
/// never answered.
fn oldest_status_request_time(view: &GroupView) -> Option<Instant> {
    let mut oldest: Option<Instant> = None;
    for member in &view.members {
        member.status.as_ref()?;
        let status_requested_at = member.status_requested_at?;
        oldest = Some(oldest.map_or(status_requested_at, |oldest| {
            oldest.min(status_requested_at)
        }));
    }
    oldest
}

/// Returns how many connections the servers count for all processes on the holder's VM.
fn connections_of(view: &GroupView, holder: &Holder) -> u32 {
    let prefix = format!("{}#", holder.name);
    let statuses = view
        .members
        .iter()
        .filter_map(|member| member.status.as_ref());
    let counts = statuses.flat_map(|status| &status.connections);
    let of_holder = counts.filter(|count| count.holder.starts_with(&prefix));
    of_holder.map(|count| count.count).sum()
}
