//! How the proxies divide the connections that a server accepts.
//!
//! Each group has one object in the platform that names its holders. A holder's entry says how many
//! connections per server it may have (`granted`) and how many it may still be using (`held`). A
//! share is raised only out of what nobody holds. It is lowered in two steps: the grant falls at
//! once, and the holder writes that it holds less when it does. So the sum of `held` never passes
//! the limit, whoever acts, in whatever order, on however old a view.
//!
//! A holder that ended is taken out on evidence: its grant is withdrawn, then the holder's own lease
//! has time to lapse, and only then do the servers' counts decide. See [`Lapse`].

use crate::homes::RESERVED_CONNECTIONS;
use crate::ids::GroupName;
use crate::ids::ProxyName;
use std::time::Duration;
use std::time::Instant;

/// How old a holder's evidence for its share may be before it stops opening connections.
pub const LEASE: Duration = Duration::from_secs(10);

/// How much longer than [`LEASE`] the others wait, because clocks run at slightly different rates
/// and the withdrawal takes a moment to be stored.
pub const LEASE_MARGIN: Duration = Duration::from_secs(2);

/// Connections per server that a holder without any may open on an old view.
///
/// They stay reserved for it until its VM leaves the platform's list.
pub const FLOOR: u32 = 1;

/// How many looks at the servers' counts must show none of a holder's connections.
pub const EMPTY_LOOKS: u32 = 2;

crate::data! {
    /// One proxy's part of the connections to each server of a group.
    pub struct Holder {
        /// The proxy's VM. A restarted process takes over the entry of the one before it.
        pub name: ProxyName,
        /// Connections per server that it may have.
        pub granted: u32,
        /// Connections per server that it may still be using. At least `granted`.
        pub held: u32,
    }

    /// The shares of one group, as kept in the platform under kind `shares`.
    ///
    /// # Invariants
    ///
    /// The sum of `held` is at most the limit less the reserve, unless the limit itself was lowered.
    pub struct SharesObject {
        /// The group.
        pub group: GroupName,
        /// Connections that one server accepts.
        pub connections_per_server: u32,
        /// The holders, ordered by name.
        pub holders: Vec<Holder>,
    }

    /// How many connections per server a home could use.
    pub struct Demand {
        /// The home.
        pub name: ProxyName,
        /// Connections per server that would be used if there were no limit.
        pub wanted: u32,
    }
}

impl SharesObject {
    /// Creates the shares of a group that nobody holds connections to.
    pub const fn new(group: GroupName, connections_per_server: u32) -> Self {
        Self {
            group,
            connections_per_server,
            holders: Vec::new(),
        }
    }

    /// Returns how many connections per server can be shared out.
    pub const fn usable(&self) -> u32 {
        self.connections_per_server
            .saturating_sub(RESERVED_CONNECTIONS)
    }

    /// Returns the sum of what the holders may still be using.
    pub fn held(&self) -> u32 {
        self.holders.iter().map(|holder| holder.held).sum()
    }

    /// Returns a holder's entry.
    pub fn holder(&self, name: &ProxyName) -> Option<&Holder> {
        self.holders.iter().find(|holder| &holder.name == name)
    }

    /// Returns the shares moved towards what the homes could use, or `None` when nothing is gained.
    ///
    /// Grants of others than the homes are withdrawn.
    pub fn rebalance(&self, connections_per_server: u32, homes: &[Demand]) -> Option<Self> {
        let mut next = self.clone();
        next.connections_per_server = connections_per_server;
        let targets = targets(next.usable(), homes);
        if !self.is_worth_changing(connections_per_server, homes, &targets) {
            return None;
        }
        for holder in &mut next.holders {
            let target = target_of(homes, &targets, &holder.name).unwrap_or(0);
            holder.granted = holder.granted.min(target);
        }
        for (home, target) in homes.iter().zip(&targets) {
            next.raise(&home.name, *target);
        }
        (next != *self).then_some(next)
    }

    /// Returns whether some home gains, or somebody holds what it should not.
    fn is_worth_changing(&self, limit: u32, homes: &[Demand], targets: &[u32]) -> bool {
        let granted = |name: &ProxyName| self.holder(name).map_or(0, |holder| holder.granted);
        let gains = homes.iter().zip(targets).any(|(home, target)| {
            let granted = granted(&home.name);
            *target > granted && (home.wanted > granted || granted == 0)
        });
        let is_stray = |holder: &Holder| {
            let is_home = homes.iter().any(|home| home.name == holder.name);
            !is_home && holder.granted > 0
        };
        gains || self.connections_per_server != limit || self.holders.iter().any(is_stray)
    }

    /// Raises a grant towards `target` as far as nobody else holds the connections.
    fn raise(&mut self, name: &ProxyName, target: u32) {
        let free = self.usable().saturating_sub(self.held());
        let at = self
            .holders
            .binary_search_by(|holder| holder.name.cmp(name));
        let at = at.unwrap_or_else(|at| {
            let holder = Holder {
                name: name.clone(),
                granted: 0,
                held: 0,
            };
            self.holders.insert(at, holder);
            at
        });
        let holder = &mut self.holders[at];
        let possible = target.min(holder.held + free);
        holder.granted = holder.granted.max(possible);
        holder.held = holder.held.max(holder.granted);
    }

    /// Returns the shares after `name` reported that it has `open` connections per server at most
    /// and follows its present grant, or `None` when it held no more before.
    ///
    /// The holder must have taken in this object's grant before it writes the result.
    pub fn confirm(&self, name: &ProxyName, open: u32) -> Option<Self> {
        let mut next = self.clone();
        let holder = next.holders.iter_mut().find(|it| &it.name == name)?;
        holder.held = holder.held.min(holder.granted.max(open));
        (next != *self).then_some(next)
    }

    /// Returns the shares after the grant of `name` was withdrawn, or `None` when it has none.
    pub fn withdraw(&self, name: &ProxyName) -> Option<Self> {
        let mut next = self.clone();
        let holder = next.holders.iter_mut().find(|it| &it.name == name)?;
        holder.granted = 0;
        (next != *self).then_some(next)
    }

    /// Returns the shares after a holder's connections were taken back on the evidence of
    /// [`Lapse::is_proven`].
    ///
    /// While its VM is listed it keeps [`FLOOR`], which it may still open on an old view.
    pub fn reclaim(&self, name: &ProxyName, is_listed: bool) -> Option<Self> {
        let mut next = self.clone();
        let keep = if is_listed { FLOOR } else { 0 };
        let holder = next.holders.iter_mut().find(|it| &it.name == name)?;
        if holder.granted > 0 {
            return None;
        }
        holder.held = holder.held.min(keep);
        next.holders.retain(|holder| holder.held > 0);
        (next != *self).then_some(next)
    }

    /// Returns the shares after `name` closed every connection and will open none.
    pub fn release(&self, name: &ProxyName) -> Option<Self> {
        let mut next = self.clone();
        next.holders.retain(|holder| &holder.name != name);
        (next != *self).then_some(next)
    }
}

fn target_of(homes: &[Demand], targets: &[u32], name: &ProxyName) -> Option<u32> {
    let at = homes.iter().position(|home| &home.name == name)?;
    targets.get(at).copied()
}

fn least_served(targets: &[u32], wants: impl Fn(usize) -> bool) -> Option<usize> {
    let open = (0..targets.len()).filter(|at| wants(*at));
    open.min_by_key(|at| targets[*at])
}

/// Divides `usable` connections: each home gets one first, then the least served home with demand
/// left gets the next, and what nobody asked for is split equally.
fn targets(usable: u32, homes: &[Demand]) -> Vec<u32> {
    let mut targets = vec![0; homes.len()];
    let mut left = usable;
    while left > 0 {
        let hungry = least_served(&targets, |at| homes[at].wanted.max(1) > targets[at]);
        let Some(at) = hungry.or_else(|| least_served(&targets, |_| true)) else {
            break;
        };
        targets[at] += 1;
        left -= 1;
    }
    targets
}

/// Returns how many connections per server a holder may have, on the view that it has.
///
/// On an old view it may keep what it has, because nobody takes a share while a server counts any
/// connection of its holder, but it can't grow again: `open` is the most that any server counts. Once
/// it has none it may open [`FLOOR`], which stays reserved for it.
///
/// # Examples
///
/// ```
/// use endivereach_core::shares::{allowed, Holder, LEASE};
/// let holder = Holder { name: "entry-1".into(), granted: 4, held: 4 };
/// assert_eq!(allowed(Some(&holder), Some(LEASE / 2), 0), 4);
/// assert_eq!(allowed(Some(&holder), Some(LEASE * 2), 0), 1);
/// assert_eq!(allowed(Some(&holder), Some(LEASE * 2), 3), 3);
/// assert_eq!(allowed(None, None, 0), 0);
/// ```
pub fn allowed(holder: Option<&Holder>, evidence_age: Option<Duration>, open: u32) -> u32 {
    let granted = holder.map_or(0, |holder| holder.granted);
    let is_fresh = evidence_age.is_some_and(|age| age < LEASE);
    if is_fresh {
        granted
    } else {
        granted.min(open.max(FLOOR))
    }
}

/// The evidence that a holder whose grant was withdrawn uses none of its connections any more.
///
/// # Invariants
///
/// Whoever still believes in the old grant has evidence from before the withdrawal, so it stopped
/// opening connections when that evidence was [`LEASE`] old. Looks at the servers' counts are taken
/// after that only.
#[derive(Clone, Copy, Debug)]
pub struct Lapse {
    withdrawn_at: Instant,
    empty_looks: u32,
    last_look: Option<Instant>,
}

impl Lapse {
    /// Starts at the moment when the withdrawal was known to be stored.
    pub const fn new(withdrawn_at: Instant) -> Self {
        Self {
            withdrawn_at,
            empty_looks: 0,
            last_look: None,
        }
    }

    /// Records a look at the counts of every server of the group, asked for no earlier than
    /// `asked_at`. Looks before the lease lapsed, and repeated ones, prove nothing.
    pub fn look(&mut self, asked_at: Instant, connections: u32) {
        let lapsed_at = self.withdrawn_at + LEASE + LEASE_MARGIN;
        if asked_at < lapsed_at || self.last_look.is_some_and(|last| asked_at <= last) {
            return;
        }
        self.last_look = Some(asked_at);
        if connections == 0 {
            self.empty_looks += 1;
        } else {
            self.empty_looks = 0;
        }
    }

    /// Returns whether the share may be taken back.
    pub const fn is_proven(&self) -> bool {
        self.empty_looks >= EMPTY_LOOKS
    }
}
