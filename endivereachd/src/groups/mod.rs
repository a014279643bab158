//! Database groups: this proxy's view of their state, confirmation of commits, and promotion.
//!
//! [`Groups`] monitors every group. The data path queries a [`Group`] for three things: the current
//! primary, whether a commit may be acknowledged, and the position that a read must include.

mod attempt;
mod control;
mod directory;
mod duties;
mod group;
mod member;
mod promote;
mod rounds;
mod state;
mod tasks;
mod view;

pub use group::Group;
pub use view::Confirmation;
pub use view::GroupView;
pub use view::MemberView;

use crate::context::Context;
use directory::Directory;
use endivereach_core::directory::GroupObject;
use endivereach_core::ids::GroupName;
use endivereach_core::ids::ProxyId;
use endivereach_core::ids::Version;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use tasks::Workers;

/// The interval between two checks of every group's timers.
const TIMER_INTERVAL: Duration = Duration::from_millis(25);

/// The interval between two checks of every group's periodic duties: publication, grants and
/// repair.
const DUTY_INTERVAL: Duration = Duration::from_millis(100);

/// The information about the fleet that this module needs. Both answers may be out of date.
pub trait FleetView: Send + Sync {
    /// Returns this proxy's rank among the homes of a group, or `None` when it isn't one of them.
    ///
    /// A duty that needs only one home is done by rank zero; higher ranks do it after a longer
    /// delay.
    fn home_rank(&self, group: &GroupName) -> Option<u32>;

    /// Returns whether the process `proxy` is known to have ended.
    fn has_ended(&self, proxy: &ProxyId) -> bool;
}

/// A fleet in which every proxy is a home of every group and no process is known to have ended.
#[derive(Clone, Debug)]
pub struct EveryProxyIsHome {
    rank: u32,
}

impl EveryProxyIsHome {
    /// Creates the view of the proxy `own_id`, with a rank derived from its incarnation.
    pub fn new(own_id: &ProxyId) -> Self {
        let hash = own_id.incarnation.get() ^ (own_id.incarnation.get() >> 32);
        Self {
            rank: (hash % 8) as u32,
        }
    }
}

impl FleetView for EveryProxyIsHome {
    fn home_rank(&self, _: &GroupName) -> Option<u32> {
        Some(self.rank)
    }

    fn has_ended(&self, _: &ProxyId) -> bool {
        false
    }
}

/// The counters behind [`CallCounts`].
#[derive(Debug, Default)]
struct CallCounters {
    statuses: AtomicU64,
    watches: AtomicU64,
}

/// The number of control calls that this process has made to members since its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallCounts {
    /// Status calls, for polls and for rounds.
    pub statuses: u64,
    /// Position watches.
    pub watches: u64,
}

/// The state shared by all groups of one process.
struct Shared {
    calls: CallCounters,
    context: Arc<Context>,
    workers: Workers,
    directory: Directory,
    fleet: RwLock<Arc<dyn FleetView>>,
    groups: RwLock<BTreeMap<GroupName, Arc<Group>>>,
    is_stopped: AtomicBool,
}

impl Shared {
    fn fleet(&self) -> Arc<dyn FleetView> {
        let fleet = self.fleet.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&fleet)
    }

    fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Relaxed)
    }

    fn all(&self) -> Vec<Arc<Group>> {
        let groups = self.groups.read().unwrap_or_else(PoisonError::into_inner);
        groups.values().cloned().collect()
    }

    /// Applies a group's object, received from the platform or from a peer.
    ///
    /// Creates the group if it is not known yet.
    fn update_object(self: &Arc<Self>, version: Version, object: GroupObject) {
        let mut groups = self.groups.write().unwrap_or_else(PoisonError::into_inner);
        match groups.get(&object.name) {
            Some(group) => {
                let group = Arc::clone(group);
                drop(groups);
                group.update_object(version, object);
            }
            None => {
                let name = object.name.clone();
                let group = Group::new(Arc::clone(self), version, object);
                groups.insert(name, group);
            }
        }
    }
}

/// Monitors every group on background threads. Dropping it stops the threads.
pub struct Groups {
    shared: Arc<Shared>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl fmt::Debug for Groups {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Groups").finish_non_exhaustive()
    }
}

impl Groups {
    /// Starts the threads that monitor the platform's groups.
    ///
    /// # Errors
    ///
    /// Returns an error when a thread can't be started.
    pub fn spawn(context: Arc<Context>) -> anyhow::Result<Self> {
        let fleet: Arc<dyn FleetView> = Arc::new(EveryProxyIsHome::new(&context.id));
        let shared = Arc::new(Shared {
            calls: CallCounters::default(),
            directory: Directory::new(&context),
            workers: Workers::new(),
            context,
            fleet: RwLock::new(fleet),
            groups: RwLock::default(),
            is_stopped: AtomicBool::new(false),
        });
        let mut groups = Self {
            shared,
            threads: Vec::new(),
        };
        groups.start("groups-watch", |shared| directory::watch_groups(&shared))?;
        groups.start("groups-tick", |shared| {
            run_periodically(TIMER_INTERVAL, &shared, |group| group.tick());
        })?;
        groups.start("groups-duty", |shared| {
            run_periodically(DUTY_INTERVAL, &shared, |group| group.do_duties());
        })?;
        Ok(groups)
    }

    fn start(
        &mut self,
        name: &str,
        body: impl FnOnce(Arc<Shared>) + Send + 'static,
    ) -> anyhow::Result<()> {
        let shared = Arc::clone(&self.shared);
        let builder = thread::Builder::new().name(name.into());
        self.threads.push(builder.spawn(move || body(shared))?);
        Ok(())
    }

    /// Returns the group with the given name.
    pub fn find(&self, name: &GroupName) -> Option<Arc<Group>> {
        let groups = self.shared.groups.read();
        let groups = groups.unwrap_or_else(PoisonError::into_inner);
        groups.get(name).cloned()
    }

    /// Returns every group.
    pub fn all(&self) -> Vec<Arc<Group>> {
        self.shared.all()
    }

    /// Applies a group's object received from a peer, for instance while the platform is down.
    ///
    /// Ignores an object whose version is not above the known one.
    pub fn update_object(&self, version: Version, object: GroupObject) {
        self.shared.update_object(version, object);
    }

    /// Returns every group's object with its version, for comparison with a peer's objects.
    pub fn objects(&self) -> Vec<(Version, GroupObject)> {
        self.shared
            .all()
            .iter()
            .map(|group| group.object())
            .collect()
    }

    /// Returns the number of control calls made so far.
    pub fn calls(&self) -> CallCounts {
        CallCounts {
            statuses: self.shared.calls.statuses.load(Ordering::Relaxed),
            watches: self.shared.calls.watches.load(Ordering::Relaxed),
        }
    }

    /// Sets the source that decides which groups this proxy is a home of and which processes have
    /// ended.
    pub fn set_fleet(&self, fleet: impl FleetView + 'static) {
        let mut current = self
            .shared
            .fleet
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        *current = Arc::new(fleet);
    }
}

impl Drop for Groups {
    fn drop(&mut self) {
        self.shared.is_stopped.store(true, Ordering::Relaxed);
    }
}

/// Runs `body` for every group at each `interval` until monitoring stops.
fn run_periodically(interval: Duration, shared: &Arc<Shared>, body: impl Fn(&Arc<Group>)) {
    while !shared.is_stopped() {
        for group in shared.all() {
            body(&group);
        }
        thread::sleep(interval);
    }
}
