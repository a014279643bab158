//! The session engine: what callers ask, which target runs it, and who leads each group.
//!
//! It does no input or output. Its surroundings tell it what happened, with the present moment, and
//! carry out the [`Effect`]s that it asks for. A protocol's codec turns messages into
//! [`Statement`](statement::Statement)s and [`Command`](statement::Command)s into messages.

mod caller;
mod connections;
mod dispatch;
mod effect;
mod expiry;
mod failover;
mod group;
mod pool;
mod probes;
pub mod proof;
mod replies;
mod sessions;
pub mod statement;
mod suspecting;
mod target;
pub mod topology;

pub use effect::Effect;
pub use effect::PromoteResult;
pub use expiry::DRAIN_CLOSE_DELAY;
pub use expiry::DRAIN_TRANSACTION_TIME;
pub use sessions::Start;

use self::caller::Caller;
use self::group::Group;
use self::group::ProbeScope;
use self::statement::CallerId;
use self::statement::ConnectionId;
use self::statement::DatabaseName;
use self::target::Connection;
use self::target::Target;
use self::topology::Routes;
use self::topology::TargetEntry;
use crate::duty::Held;
use crate::ids::GroupName;
use crate::ids::MemberId;
use crate::ids::ProxyName;
use crate::ids::RegionName;
use crate::ids::ZoneName;
use crate::retry::RetryBudget;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

/// How often groups, connections and waiting callers are looked over.
pub const SWEEP_INTERVAL: Duration = Duration::from_millis(25);

/// Counts of what the engine did, for metrics.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Statements that got a success.
    pub served: u64,
    /// Statements refused without having run.
    pub refused: u64,
    /// Statements that failed otherwise.
    pub failed: u64,
    /// Statements whose outcome was left open.
    pub in_doubt: u64,
    /// Statements sent again to another target.
    pub retried: u64,
    /// Reads that a replica answered.
    pub replica_reads: u64,
    /// Reads that a primary answered.
    pub primary_reads: u64,
    /// Connections opened to targets.
    pub connections_opened: u64,
    /// Probes of targets.
    pub probes: u64,
    /// Promotions ordered.
    pub promotions: u64,
}

/// Where this process runs.
#[derive(Clone, Debug)]
pub struct Location {
    /// The VM's name.
    pub node: ProxyName,
    /// The availability zone.
    pub zone: ZoneName,
    /// The region.
    pub region: RegionName,
}

/// The state of every caller, target and group.
#[derive(Debug)]
pub struct Engine {
    location: Location,
    routes: Option<Routes>,
    fleet_size: u32,
    callers: BTreeMap<CallerId, Caller>,
    connections: BTreeMap<ConnectionId, Connection>,
    targets: BTreeMap<MemberId, Target>,
    groups: BTreeMap<GroupName, Group>,
    effects: Vec<Effect>,
    dirty: BTreeSet<GroupName>,
    next_connection: u64,
    next_sweep_at: Instant,
    duty: Option<Held>,
    draining_since: Option<Instant>,
    turn: usize,
    retry_budget: RetryBudget,
    counters: Counters,
    latencies: Vec<Duration>,
}

impl Engine {
    /// Creates an engine that knows no routes and no targets.
    pub fn new(location: Location, now: Instant) -> Self {
        Self {
            location,
            routes: None,
            fleet_size: 1,
            callers: BTreeMap::new(),
            connections: BTreeMap::new(),
            targets: BTreeMap::new(),
            groups: BTreeMap::new(),
            effects: Vec::new(),
            dirty: BTreeSet::new(),
            next_connection: 0,
            next_sweep_at: now,
            duty: None,
            draining_since: None,
            turn: 0,
            retry_budget: RetryBudget::new(sessions::RETRY_BURST),
            counters: Counters::default(),
            latencies: Vec::new(),
        }
    }

    /// Returns what was asked for since the last call, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the counts so far.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the times from arrival to answer of the statements served since the last call.
    pub fn take_latencies(&mut self) -> Vec<Duration> {
        std::mem::take(&mut self.latencies)
    }

    /// Returns when [`Engine::sweep`] wants to be called next.
    pub fn next_wake(&self) -> Instant {
        self.next_sweep_at
    }

    /// Returns whether routes and the targets of each group are known.
    pub fn is_ready(&self) -> bool {
        let Some(routes) = &self.routes else {
            return false;
        };
        let has_targets = |group: &GroupName| {
            let group = self.groups.get(group);
            group.is_some_and(|group| !group.members.is_empty())
        };
        self.draining_since.is_none() && routes.groups.keys().any(has_targets)
    }

    /// Takes a version of the routes in, unless a newer one is in force.
    pub fn set_routes(&mut self, now: Instant, routes: Routes) {
        let in_force = self.routes.as_ref().map(|routes| routes.version);
        if in_force.is_some_and(|in_force| in_force >= routes.version) {
            return;
        }
        log::info!(
            target: "belief",
            "event=routes-adopted version={} databases={} groups={}",
            routes.version,
            routes.databases.len(),
            routes.groups.len()
        );
        for (name, limits) in &routes.groups {
            let group = self.groups.entry(name.clone());
            let group = group.or_insert_with(|| Group::new(limits.clone(), now));
            group.limits = limits.clone();
        }
        self.routes = Some(routes);
        self.attach_targets(now);
    }

    /// Takes the number of proxies in, among which the targets' connections are shared.
    pub fn set_fleet_size(&mut self, fleet_size: u32) {
        let fleet_size = fleet_size.max(1);
        if fleet_size != self.fleet_size {
            log::info!(target: "belief", "event=fleet-size proxies={fleet_size}");
            self.fleet_size = fleet_size;
        }
    }

    /// Takes the servers' newest descriptions in. Servers that aren't listed are gone.
    pub fn set_targets(&mut self, now: Instant, entries: Vec<TargetEntry>) {
        let listed: BTreeSet<MemberId> = entries.iter().map(|entry| entry.id.clone()).collect();
        let gone: Vec<MemberId> = self
            .targets
            .keys()
            .filter(|id| !listed.contains(*id))
            .cloned()
            .collect();
        for id in gone {
            log::info!(target: "belief", "event=target-gone target={id}");
            self.forget_target(now, &id);
        }
        for entry in entries {
            self.set_target(now, entry);
        }
        self.attach_targets(now);
    }

    fn set_target(&mut self, now: Instant, entry: TargetEntry) {
        let is_same = |known: &TargetEntry| {
            known.incarnation == entry.incarnation
                && known.addr == entry.addr
                && known.group == entry.group
        };
        match self.targets.get_mut(&entry.id) {
            Some(target) if is_same(&target.entry) => {
                if target.entry.leaving != entry.leaving || target.entry.leads != entry.leads {
                    log::info!(
                        target: "belief",
                        "event=target-changed target={} leaving={} leads={}",
                        entry.id,
                        entry.leaving,
                        entry.leads
                    );
                }
                let is_new_leader = entry.leads && !target.entry.leads;
                let group = entry.group.clone();
                target.entry = entry;
                if is_new_leader {
                    // Its own word is a hint; a probe of it tells the term.
                    self.want_probes(now, &group, ProbeScope::All);
                }
            }
            Some(_) => {
                log::info!(target: "belief", "event=target-restarted target={}", entry.id);
                self.forget_target(now, &entry.id);
                self.targets
                    .insert(entry.id.clone(), Target::new(entry, now));
            }
            None => {
                log::info!(
                    target: "belief",
                    "event=target-new target={} group={} addr={} zone={} leads={}",
                    entry.id,
                    entry.group,
                    entry.addr,
                    entry.zone,
                    entry.leads
                );
                self.targets
                    .insert(entry.id.clone(), Target::new(entry, now));
            }
        }
    }

    /// Lists each target with its group.
    fn attach_targets(&mut self, now: Instant) {
        let is_unlisted = |group: &Group| group.members.is_empty();
        let unlisted: BTreeSet<GroupName> = self
            .groups
            .iter()
            .filter(|(_, group)| is_unlisted(group))
            .map(|(name, _)| name.clone())
            .collect();
        for (id, target) in &self.targets {
            let name = &target.entry.group;
            if let Some(group) = self.groups.get_mut(name) {
                group.attach(id, now, unlisted.contains(name));
                self.dirty.insert(target.entry.group.clone());
            }
        }
    }

    fn forget_target(&mut self, now: Instant, id: &MemberId) {
        let Some(target) = self.targets.remove(id) else {
            return;
        };
        if let Some(group) = self.groups.get_mut(&target.entry.group) {
            group.detach(id, now);
        }
        for connection in target.connections {
            self.close_connection(now, connection);
        }
    }

    /// Starts a planned stop: callers at rest are sent away, open work is finished.
    pub fn begin_drain(&mut self, now: Instant) {
        if self.draining_since.is_none() {
            log::info!(target: "belief", "event=drain-begun callers={}", self.callers.len());
            self.draining_since = Some(now);
        }
    }

    /// Takes in whether this process is one of a group's homes.
    pub fn set_home(&mut self, name: &GroupName, is_home: bool) {
        if let Some(group) = self.groups.get_mut(name)
            && group.is_home != is_home
        {
            log::info!(target: "belief", "event=home group={name} here={is_home}");
            group.is_home = is_home;
        }
    }

    /// Returns the groups that the routes name.
    pub fn group_names(&self) -> Vec<GroupName> {
        self.groups.keys().cloned().collect()
    }

    pub(super) fn is_served_here(&self, now: Instant, name: &GroupName) -> bool {
        let group = self.groups.get(name);
        group.is_some_and(|group| group.is_served_here(now))
    }

    /// Returns the group that serves a database.
    pub fn group_of(&self, database: &DatabaseName) -> Option<GroupName> {
        self.route(database).map(|route| route.group.clone())
    }

    /// Returns how many connections one server of a group accepts.
    pub fn connections_per_server(&self, group: &GroupName) -> Option<u32> {
        let group = self.groups.get(group)?;
        Some(group.limits.connections_per_server)
    }

    /// Returns how many callers are connected.
    pub fn caller_count(&self) -> usize {
        self.callers.len()
    }

    /// Looks over everything that time alone changes. Call it at [`Engine::next_wake`].
    pub fn sweep(&mut self, now: Instant) {
        self.next_sweep_at = now + SWEEP_INTERVAL;
        self.sweep_connections(now);
        self.sweep_callers(now);
        let names: Vec<GroupName> = self.groups.keys().cloned().collect();
        for name in &names {
            if self.is_served_here(now, name) {
                self.sweep_probes(now, name);
                self.sweep_failover(now, name);
            }
        }
        self.dirty.extend(names);
        self.settle(now);
    }

    /// Places waiting requests of the groups in which something changed. Call it after each batch of
    /// events.
    pub fn settle(&mut self, now: Instant) {
        let names = std::mem::take(&mut self.dirty);
        for name in &names {
            self.send_control(now, name);
            self.dispatch(now, name);
            self.send_probes(now, name);
        }
        // What these steps asked for themselves is done by now, or has to wait for a reply.
        self.dirty.clear();
    }
}
