//! The number of connections that this process may keep open to a server.

use endivereach_core::ids::GroupName;
use endivereach_core::ids::MemberId;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// A policy that determines this process's share of a server's connections.
pub trait ConnectionBudget: Send + Sync + 'static {
    /// Returns how many of the `connections_per_server` connections that the server accepts this
    /// process may keep open to `member`. The pool calls this method before it opens a connection,
    /// and closes idle connections in excess of a share that was lowered.
    fn share(&self, group: &GroupName, member: &MemberId, connections_per_server: u32) -> u32;

    /// Reports how many connections this process would currently use if there were no limit.
    fn report_demand(&self, group: &GroupName, member: &MemberId, connections_wanted: u32) {
        let _ = (group, member, connections_wanted);
    }
}

/// A policy that splits the connections of every server equally between the proxies.
///
/// One in eight connections of each server is reserved for operators.
///
/// # Examples
///
/// ```
/// use endivereachd::targets::{ConnectionBudget, EqualSplit};
/// let budget = EqualSplit::new(7);
/// assert_eq!(budget.share(&"ledger".into(), &"ledger-1".into(), 16), 2);
/// ```
#[derive(Debug)]
pub struct EqualSplit {
    proxies: AtomicU32,
}

/// The divisor that yields the number of a server's connections that are reserved for operators.
const OPERATOR_SHARE_DIVISOR: u32 = 8;

impl EqualSplit {
    /// Creates a policy for a fleet of `proxies` proxies.
    pub const fn new(proxies: u32) -> Self {
        Self {
            proxies: AtomicU32::new(proxies),
        }
    }

    /// Sets the number of proxies in the fleet.
    pub fn set_proxies(&self, proxies: u32) {
        self.proxies.store(proxies, Ordering::Relaxed);
    }
}

impl ConnectionBudget for EqualSplit {
    fn share(&self, _: &GroupName, _: &MemberId, connections_per_server: u32) -> u32 {
        let usable = connections_per_server - connections_per_server / OPERATOR_SHARE_DIVISOR;
        usable / self.proxies.load(Ordering::Relaxed).max(1)
    }
}
