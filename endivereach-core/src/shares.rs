//! Connection shares: how the proxies divide the connections that a server accepts.
//!
//! Each group has one object in the platform that lists the holders of shares. A holder's entry
//! states how many connections per server it may have (`granted`) and how many it may still be
//! using (`held`). A share is raised only from connections that no proxy holds. It is lowered in
//! two steps: the grant is reduced immediately, and the holder reduces `held` once it has closed
//! the connections. So the sum of `held` never exceeds the limit, for any order of updates and any
//! age of the views that they are based on.
//!
//! The share of a holder that ended is reclaimed in three steps: its grant is withdrawn, the
//! holder's lease expires, and then the servers' connection counts must show none of its
//! connections. See [`ReclaimEvidence`].

use crate::homes::RESERVED_CONNECTIONS;
use crate::ids::GroupName;
use crate::ids::ProxyName;
use std::time::Duration;
use std::time::Instant;

/// The maximum age of a holder's view at which it may open connections up to its grant.
pub const LEASE_DURATION: Duration = Duration::from_secs(10);

/// The time that other proxies wait beyond [`LEASE_DURATION`] before they count connections.
///
/// Clocks run at slightly different rates, and storing the withdrawal takes time.
pub const LEASE_MARGIN: Duration = Duration::from_secs(2);

/// The number of connections per server that a holder without open connections may open while its
/// view is too old.
///
/// They stay reserved for the holder until its VM is removed from the platform's list.
pub const STALE_VIEW_CONNECTIONS: u32 = 1;

/// How many consecutive counts must show no connection of a holder before its share is reclaimed.
pub const EMPTY_COUNTS_REQUIRED: u32 = 2;

crate::data! {
    /// One proxy's share of the connections to each server of a group.
    pub struct Holder {
        /// The name of the proxy's VM. A restarted process takes over its predecessor's entry.
        pub name: ProxyName,
        /// Connections per server that the holder may have.
        pub granted: u32,
        /// Connections per server that the holder may still be using. At least `granted`.
        pub held: u32,
    }

    /// The shares of one group, stored in the platform under kind `shares`.
    ///
    /// # Invariants
    ///
    /// The sum of `held` is at most the limit minus [`RESERVED_CONNECTIONS`], unless the limit was
    /// lowered.
    pub struct SharesObject {
        /// The group.
        pub group: GroupName,
        /// The number of connections that one server accepts.
        pub connections_per_server: u32,
        /// The holders, ordered by name.
        pub holders: Vec<Holder>,
    }

    /// The number of connections per server that a home could use.
    pub struct Demand {
        /// The name of the home's VM.
        pub name: ProxyName,
        /// Connections per server that the home would use without a limit.
        #[serde(rename = "wanted")]
        pub connections_wanted: u32,
    }
}

impl SharesObject {
    /// Creates the shares of a group without holders.
    pub const fn new(group: GroupName, connections_per_server: u32) -> Self {
        Self {
            group,
            connections_per_server,
            holders: Vec::new(),
        }
    }

    /// Returns how many connections per server can be allocated.
    pub const fn usable(&self) -> u32 {
        self.connections_per_server
            .saturating_sub(RESERVED_CONNECTIONS)
    }

    /// Returns the number of connections per server that all holders together may still be using.
    pub fn held(&self) -> u32 {
        self.holders.iter().map(|holder| holder.held).sum()
    }

    /// Returns the entry of the holder with the given name.
    pub fn holder(&self, name: &ProxyName) -> Option<&Holder> {
        self.holders.iter().find(|holder| &holder.name == name)
    }

    /// Returns the shares adjusted to the homes' demand, or `None` if no change is needed.
    ///
    /// Grants of holders that aren't homes are withdrawn.
    pub fn rebalance(&self, connections_per_server: u32, homes: &[Demand]) -> Option<Self> {
        let mut next = self.clone();
        next.connections_per_server = connections_per_server;
        let target_shares = target_shares(next.usable(), homes);
        if !self.needs_rebalancing(connections_per_server, homes, &target_shares) {
            return None;
        }
        for holder in &mut next.holders {
            let target = target_share_of(homes, &target_shares, &holder.name).unwrap_or(0);
            holder.granted = holder.granted.min(target);
        }
        for (home, target) in homes.iter().zip(&target_shares) {
            next.raise_grant(&home.name, *target);
        }
        (next != *self).then_some(next)
    }

    /// Returns whether a home would gain, the limit changed, or a proxy that isn't a home has a
    /// grant.
    fn needs_rebalancing(&self, limit: u32, homes: &[Demand], target_shares: &[u32]) -> bool {
        let granted = |name: &ProxyName| self.holder(name).map_or(0, |holder| holder.granted);
        let gains = homes.iter().zip(target_shares).any(|(home, target)| {
            let granted = granted(&home.name);
            *target > granted && (home.connections_wanted > granted || granted == 0)
        });
        let is_surplus = |holder: &Holder| {
            let is_home = homes.iter().any(|home| home.name == holder.name);
            !is_home && holder.granted > 0
        };
        gains || self.connections_per_server != limit || self.holders.iter().any(is_surplus)
    }

    /// Raises a grant towards `target`, limited to connections that no other proxy holds.
    fn raise_grant(&mut self, name: &ProxyName, target: u32) {
        let free = self.usable().saturating_sub(self.held());
        let index = self
            .holders
            .binary_search_by(|holder| holder.name.cmp(name));
        let index = index.unwrap_or_else(|index| {
            let holder = Holder {
                name: name.clone(),
                granted: 0,
                held: 0,
            };
            self.holders.insert(index, holder);
            index
        });
        let holder = &mut self.holders[index];
        let possible = target.min(holder.held + free);
        holder.granted = holder.granted.max(possible);
        holder.held = holder.held.max(holder.granted);
    }

    /// Returns the shares after `name` confirmed its current grant and that it has at most `open`
    /// connections per server, or `None` if its `held` stays the same.
    ///
    /// The holder must apply this object's grant before it writes the result.
    pub fn confirm(&self, name: &ProxyName, open: u32) -> Option<Self> {
        let mut next = self.clone();
        let holder = next
            .holders
            .iter_mut()
            .find(|holder| &holder.name == name)?;
        holder.held = holder.held.min(holder.granted.max(open));
        (next != *self).then_some(next)
    }

    /// Returns the shares after the grant of `name` was withdrawn, or `None` if it has none.
    pub fn withdraw(&self, name: &ProxyName) -> Option<Self> {
        let mut next = self.clone();
        let holder = next
            .holders
            .iter_mut()
            .find(|holder| &holder.name == name)?;
        holder.granted = 0;
        (next != *self).then_some(next)
    }

    /// Returns the shares after the connections of `name` were reclaimed, which requires
    /// [`ReclaimEvidence::is_proven`].
    ///
    /// A holder whose VM is listed keeps [`STALE_VIEW_CONNECTIONS`], because it may still open them
    /// based on an old view. Returns `None` if the holder has a grant again or nothing would
    /// change.
    pub fn reclaim(&self, name: &ProxyName, is_listed: bool) -> Option<Self> {
        let mut next = self.clone();
        let keep = if is_listed { STALE_VIEW_CONNECTIONS } else { 0 };
        let holder = next
            .holders
            .iter_mut()
            .find(|holder| &holder.name == name)?;
        if holder.granted > 0 {
            return None;
        }
        holder.held = holder.held.min(keep);
        next.holders.retain(|holder| holder.held > 0);
        (next != *self).then_some(next)
    }

    /// Returns the shares without `name`, which has closed all connections and won't open any.
    pub fn release(&self, name: &ProxyName) -> Option<Self> {
        let mut next = self.clone();
        next.holders.retain(|holder| &holder.name != name);
        (next != *self).then_some(next)
    }
}

fn target_share_of(homes: &[Demand], target_shares: &[u32], name: &ProxyName) -> Option<u32> {
    let index = homes.iter().position(|home| &home.name == name)?;
    target_shares.get(index).copied()
}

fn least_served_index(target_shares: &[u32], wants: impl Fn(usize) -> bool) -> Option<usize> {
    let candidates = (0..target_shares.len()).filter(|index| wants(*index));
    candidates.min_by_key(|index| target_shares[*index])
}

/// Divides `usable` connections among the homes.
///
/// Each home gets one first. Then each further connection goes to the home with the fewest whose
/// demand isn't met. Connections beyond the total demand are split equally.
fn target_shares(usable: u32, homes: &[Demand]) -> Vec<u32> {
    let mut target_shares = vec![0; homes.len()];
    let mut left = usable;
    while left > 0 {
        let underserved = least_served_index(&target_shares, |index| {
            homes[index].connections_wanted.max(1) > target_shares[index]
        });
        let Some(index) = underserved.or_else(|| least_served_index(&target_shares, |_| true))
        else {
            break;
        };
        target_shares[index] += 1;
        left -= 1;
    }
    target_shares
}

/// Returns how many connections per server a holder may have, according to its own view.
///
/// A holder whose view is too old may keep its open connections, because no share is reclaimed
/// while a server counts a connection of its holder. It may not open more: `open` is the highest
/// count of any server. A holder without connections may open [`STALE_VIEW_CONNECTIONS`], which
/// stay reserved for it.
///
/// # Examples
///
/// ```
/// use endivereach_core::shares::{allowed_connections, Holder, LEASE_DURATION};
/// let holder = Holder { name: "entry-1".into(), granted: 4, held: 4 };
/// assert_eq!(allowed_connections(Some(&holder), Some(LEASE_DURATION / 2), 0), 4);
/// assert_eq!(allowed_connections(Some(&holder), Some(LEASE_DURATION * 2), 0), 1);
/// assert_eq!(allowed_connections(Some(&holder), Some(LEASE_DURATION * 2), 3), 3);
/// assert_eq!(allowed_connections(None, None, 0), 0);
/// ```
pub fn allowed_connections(
    holder: Option<&Holder>,
    evidence_age: Option<Duration>,
    open: u32,
) -> u32 {
    let granted = holder.map_or(0, |holder| holder.granted);
    let is_fresh = evidence_age.is_some_and(|age| age < LEASE_DURATION);
    if is_fresh {
        granted
    } else {
        granted.min(open.max(STALE_VIEW_CONNECTIONS))
    }
}

/// The evidence that a holder whose grant was withdrawn no longer uses any of its connections.
///
/// # Invariants
///
/// A holder that still applies the old grant has a view from before the withdrawal, so it stopped
/// opening connections when that view was [`LEASE_DURATION`] old. The servers' connections are
/// counted only after that.
#[derive(Clone, Copy, Debug)]
pub struct ReclaimEvidence {
    withdrawn_at: Instant,
    empty_counts: u32,
    last_counted_at: Option<Instant>,
}

impl ReclaimEvidence {
    /// Starts collecting evidence. `withdrawn_at` is when the withdrawal was known to be stored.
    pub const fn new(withdrawn_at: Instant) -> Self {
        Self {
            withdrawn_at,
            empty_counts: 0,
            last_counted_at: None,
        }
    }

    /// Records the holder's connections as counted by every server of the group, requested no
    /// earlier than `asked_at`. Counts from before the lease expired and repeated counts are
    /// ignored.
    pub fn record_count(&mut self, asked_at: Instant, connections: u32) {
        let lease_ended_at = self.withdrawn_at + LEASE_DURATION + LEASE_MARGIN;
        if asked_at < lease_ended_at || self.last_counted_at.is_some_and(|last| asked_at <= last) {
            return;
        }
        self.last_counted_at = Some(asked_at);
        if connections == 0 {
            self.empty_counts += 1;
        } else {
            self.empty_counts = 0;
        }
    }

    /// Returns whether the share may be reclaimed.
    pub const fn is_proven(&self) -> bool {
        self.empty_counts >= EMPTY_COUNTS_REQUIRED
    }
}
