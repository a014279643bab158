//! Database groups: their state as this proxy knows it, confirmation of commits, and promotion.
//!
//! [`Groups`] keeps watch over every group. The data path asks a [`Group`] three things: who the
//! primary is, whether a commit may be acknowledged, and which position a read must include.

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

/// How often every group's timers are looked at.
const TICK: Duration = Duration::from_millis(25);

/// How often the slow duties of every group are looked at: publication, grants and repair.
const DUTY_TICK: Duration = Duration::from_millis(100);

/// What the fleet tells this module. Both answers may lag.
pub trait Fleet: Send + Sync {
    /// Returns this proxy's rank among the homes of a group, or `None` when it isn't one of them.
    ///
    /// Duties that one home is enough for are done by rank zero, and by others only later.
    fn home_rank(&self, group: &GroupName) -> Option<u32>;

    /// Returns whether a process is known to have ended.
    fn is_gone(&self, proxy: &ProxyId) -> bool;
}

/// A fleet in which every proxy is a home of every group, and nobody is known to be gone.
#[derive(Clone, Debug)]
pub struct EveryoneIsHome {
    rank: u32,
}

impl EveryoneIsHome {
    /// Creates the view of the proxy `me`, with a rank drawn from its identity.
    pub fn new(me: &ProxyId) -> Self {
        let spread = me.incarnation.get() ^ (me.incarnation.get() >> 32);
        Self {
            rank: (spread % 8) as u32,
        }
    }
}

impl Fleet for EveryoneIsHome {
    fn home_rank(&self, _: &GroupName) -> Option<u32> {
        Some(self.rank)
    }

    fn is_gone(&self, _: &ProxyId) -> bool {
        false
    }
}

/// How many control calls this process made to members.
#[derive(Debug, Default)]
struct Calls {
    statuses: AtomicU64,
    watches: AtomicU64,
}

/// How many control calls a process has made to members since its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallCounts {
    /// Reads of a status, for polls and rounds.
    pub statuses: u64,
    /// Position watches.
    pub watches: u64,
}

/// What the groups of one process share.
struct Shared {
    calls: Calls,
    context: Arc<Context>,
    workers: Workers,
    directory: Directory,
    fleet: RwLock<Arc<dyn Fleet>>,
    groups: RwLock<BTreeMap<GroupName, Arc<Group>>>,
    stopped: AtomicBool,
}

impl Shared {
    fn fleet(&self) -> Arc<dyn Fleet> {
        let fleet = self.fleet.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&fleet)
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    fn all(&self) -> Vec<Arc<Group>> {
        let groups = self.groups.read().unwrap_or_else(PoisonError::into_inner);
        groups.values().cloned().collect()
    }

    /// Takes in a group's object, from the platform or from a peer.
    fn learn(self: &Arc<Self>, version: Version, object: GroupObject) {
        let mut groups = self.groups.write().unwrap_or_else(PoisonError::into_inner);
        match groups.get(&object.name) {
            Some(group) => {
                let group = Arc::clone(group);
                drop(groups);
                group.learn(version, object);
            }
            None => {
                let name = object.name.clone();
                let group = Group::new(Arc::clone(self), version, object);
                groups.insert(name, group);
            }
        }
    }
}

/// The running watch over every group. Dropping it stops the watch.
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
    /// Starts watching the groups of the platform.
    ///
    /// # Errors
    ///
    /// Returns an error when a thread can't be started.
    pub fn spawn(context: Arc<Context>) -> anyhow::Result<Self> {
        let fleet: Arc<dyn Fleet> = Arc::new(EveryoneIsHome::new(&context.id));
        let shared = Arc::new(Shared {
            calls: Calls::default(),
            directory: Directory::new(&context),
            workers: Workers::new(),
            context,
            fleet: RwLock::new(fleet),
            groups: RwLock::default(),
            stopped: AtomicBool::new(false),
        });
        let mut groups = Self {
            shared,
            threads: Vec::new(),
        };
        groups.start("groups-watch", |shared| directory::follow(&shared))?;
        groups.start("groups-tick", |shared| {
            every(TICK, &shared, |group| group.tick());
        })?;
        groups.start("groups-duty", |shared| {
            every(DUTY_TICK, &shared, |group| group.do_duties());
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

    /// Takes in a group's object that a peer knows, for instance while the platform is down.
    ///
    /// An object of a lower version than the one known changes nothing.
    pub fn learn(&self, version: Version, object: GroupObject) {
        self.shared.learn(version, object);
    }

    /// Returns every group's object with its version, to be compared with a peer's.
    pub fn objects(&self) -> Vec<(Version, GroupObject)> {
        self.shared
            .all()
            .iter()
            .map(|group| group.object())
            .collect()
    }

    /// Returns how many control calls were made so far.
    pub fn calls(&self) -> CallCounts {
        CallCounts {
            statuses: self.shared.calls.statuses.load(Ordering::Relaxed),
            watches: self.shared.calls.watches.load(Ordering::Relaxed),
        }
    }

    /// Uses `fleet` to decide which groups this proxy is a home of, and which processes have ended.
    pub fn set_fleet(&self, fleet: impl Fleet + 'static) {
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
        self.shared.stopped.store(true, Ordering::Relaxed);
    }
}

/// Runs `body` for every group again and again until the watch stops.
fn every(interval: Duration, shared: &Arc<Shared>, body: impl Fn(&Arc<Group>)) {
    while !shared.is_stopped() {
        for group in shared.all() {
            body(&group);
        }
        thread::sleep(interval);
    }
}
