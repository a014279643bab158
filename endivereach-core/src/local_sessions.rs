//! Sessions that a process serves itself because it could reach no home of their group or tenant.
//!
//! Such a session holds connections to the group's servers outside of the homes' shares. If many
//! processes keep theirs after a partition, the servers refuse the connections of the homes. So a
//! process returns these sessions once a home accepts sessions again: it disconnects them while they
//! are idle, a few at a time, and their callers connect again and are relayed.

use crate::directory::Vm;
use crate::engine::statement::CallerId;
use crate::ids::GroupName;
use crate::ids::ProxyName;
use crate::tenants::TenantName;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// The age up to which a home's last acceptance of a session shows that the home is reachable.
const ACCEPTANCE_AGE_MAX: Duration = Duration::from_secs(5);

/// The interval between two returns.
const RETURN_INTERVAL: Duration = Duration::from_millis(200);

/// Whose homes serve a session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionHomes {
    /// The homes of a group: the session has no tenant.
    Group(GroupName),
    /// The home of a tenant.
    Tenant(TenantName),
}

/// The sessions of one process that no home serves.
///
/// # Examples
///
/// ```
/// use endivereach_core::directory::Vm;
/// use endivereach_core::engine::statement::CallerId;
/// use endivereach_core::local_sessions::{LocalSessions, SessionHomes};
/// use std::time::Instant;
///
/// let home = Vm {
///     name: "entry-1".into(),
///     region: "north".into(),
///     zone: "koege".into(),
///     peer_addr: "127.0.0.1:1".parse().unwrap(),
///     sql_addr: "127.0.0.1:2".parse().unwrap(),
///     leaving: false,
/// };
/// let now = Instant::now();
/// let caller = CallerId::new(1);
/// let mut sessions = LocalSessions::new(now);
/// sessions.insert(caller, SessionHomes::Group("bookings".into()));
///
/// let homes = [home];
/// assert_eq!(sessions.next_return(now, |_| &homes, |_| true), None);
/// sessions.record_acceptance(now, &homes[0].name);
/// assert_eq!(sessions.next_return(now, |_| &homes, |_| true), Some(caller));
/// ```
#[derive(Clone, Debug)]
pub struct LocalSessions {
    sessions: BTreeMap<CallerId, SessionHomes>,
    /// When each home last accepted a session.
    accepted_at: BTreeMap<ProxyName, Instant>,
    next_return_at: Instant,
}

impl LocalSessions {
    /// Creates the state of a process without such sessions.
    pub fn new(now: Instant) -> Self {
        Self {
            sessions: BTreeMap::new(),
            accepted_at: BTreeMap::new(),
            next_return_at: now,
        }
    }

    /// Adds a session that no home accepted.
    pub fn insert(&mut self, caller: CallerId, homes: SessionHomes) {
        self.sessions.insert(caller, homes);
    }

    /// Removes a session that ended.
    pub fn remove(&mut self, caller: CallerId) {
        self.sessions.remove(&caller);
    }

    /// Records that a home accepted a session.
    pub fn record_acceptance(&mut self, now: Instant, home: &ProxyName) {
        self.accepted_at
            .retain(|_, at| now < *at + ACCEPTANCE_AGE_MAX);
        self.accepted_at.insert(home.clone(), now);
    }

    /// Returns a session to disconnect now: one that `is_idle` and that has a home, among those that
    /// `homes` returns, which accepted another session recently.
    pub fn next_return<'h>(
        &mut self,
        now: Instant,
        homes: impl Fn(&SessionHomes) -> &'h [Vm],
        is_idle: impl Fn(CallerId) -> bool,
    ) -> Option<CallerId> {
        if self.sessions.is_empty() || now < self.next_return_at {
            return None;
        }
        let is_reachable = |home: &Vm| {
            let at = self.accepted_at.get(&home.name);
            at.is_some_and(|at| now < *at + ACCEPTANCE_AGE_MAX)
        };
        let can_return = |(caller, of): &(&CallerId, &SessionHomes)| {
            is_idle(**caller) && homes(of).iter().any(is_reachable)
        };
        let caller = *self.sessions.iter().find(can_return)?.0;
        self.sessions.remove(&caller);
        self.next_return_at = now + RETURN_INTERVAL;
        Some(caller)
    }
}
