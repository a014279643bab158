//! How many connections this process may hold open to a server.

use endivereach_core::ids::GroupName;
use endivereach_core::ids::MemberId;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Decides this process's share of a server's connections.
pub trait ConnectionBudget: Send + Sync + 'static {
    /// Returns how many connections this process may hold open to `member`, out of the
    /// `connections_per_server` that the server accepts. The pool asks before it opens a
    /// connection, and closes idle ones that are over a share that was lowered.
    fn share(&self, group: &GroupName, member: &MemberId, connections_per_server: u32) -> u32;

    /// Tells how many connections would be used now if there were no limit.
    fn report_demand(&self, group: &GroupName, member: &MemberId, wanted: u32) {
        let _ = (group, member, wanted);
    }
}

/// Splits every server's connections equally between the proxies.
///
/// One connection in eight of each server is left to operators.
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

/// The part of a server's connections that is left to operators: one in this many.
const OPERATOR_SHARE_DIVISOR: u32 = 8;

impl EqualSplit {
    /// Creates a split between `proxies` proxies.
    pub const fn new(proxies: u32) -> Self {
        Self {
            proxies: AtomicU32::new(proxies),
        }
    }

    /// Changes the number of proxies.
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
