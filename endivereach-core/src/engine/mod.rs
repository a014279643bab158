//! The session engine: routes callers' statements to targets and tracks the primary of each group.
//!
//! The engine is a state machine without I/O. Its driver passes in each event together with the
//! current time and carries out the [`Effect`]s that the engine returns. A protocol codec decodes
//! messages into [`Statement`](statement::Statement)s and encodes
//! [`Command`](statement::Command)s as messages.

mod answers;
mod caller;
mod commits;
mod connections;
mod contention;
mod dispatch;
mod effect;
mod expiry;
mod failover;
mod group;
mod limits;
mod list_reads;
mod outstanding;
mod overload_counts;
mod pool;
mod primary_health;
mod primary_reach;
mod probes;
pub mod proof;
mod receipts;
mod regions;
mod repeats;
mod replies;
mod sessions;
mod shedding;
pub mod statement;
mod stop;
mod target;
pub mod tenant_connections;
mod tenant_opening;
mod tenant_pool;
pub mod topology;
mod withdrawal;

pub use effect::Effect;
pub use effect::PromoteResult;
pub use overload_counts::OverloadCounts;
pub use overload_counts::RefusalReason;
pub use overload_counts::WaitTotals;
pub use sessions::SessionStart;

use self::caller::Caller;
use self::group::Group;
use self::group::ProbeScope;
use self::statement::CallerId;
use self::statement::ConnectionId;
use self::statement::DatabaseName;
use self::target::Connection;
use self::target::Target;
use self::tenant_connections::Parts;
use self::topology::Routes;
use self::topology::TargetEntry;
use crate::allowance::Allowance;
use crate::commit_safety::Continuity;
use crate::drain::Drain;
use crate::duty::DutyLease;
use crate::ids::GroupName;
use crate::ids::Incarnation;
use crate::ids::MemberId;
use crate::ids::ProxyName;
use crate::ids::RegionName;
use crate::ids::ZoneName;
use crate::logfmt::LogValue;
use crate::retry::RetryBudgets;
use crate::target_list::ListEvidence;
use crate::tenants::TenantName;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;
use std::time::Instant;

/// The interval between two calls of [`Engine::check_timeouts`], which checks timeouts of groups,
/// connections and waiting callers.
pub const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Event counts of the engine since its start, exported as metrics.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Statements that succeeded.
    pub served: u64,
    /// Statements refused before they ran.
    pub refused: u64,
    /// Statements that ran and failed.
    pub failed: u64,
    /// Statements whose outcome is unknown to the caller.
    pub in_doubt: u64,
    /// Statements queued again to run on another target.
    pub retried: u64,
    /// Statements that a target refused because it was busy.
    pub refused_by_targets: u64,
    /// Reads that a replica answered.
    pub replica_reads: u64,
    /// Reads that a primary answered.
    pub primary_reads: u64,
    /// Connections opened to targets.
    pub connections_opened: u64,
    /// Connections closed to open one for another tenant.
    pub connections_replaced: u64,
    /// Connections that a target refused.
    pub connections_refused: u64,
    /// Status probes sent to targets.
    pub probes: u64,
    /// Answers of targets that couldn't be matched to a command before others had arrived.
    pub unmatched_answers: u64,
    /// Answers of targets that belong to another command than the oldest one, so that an earlier
    /// answer was lost.
    pub mismatched_answers: u64,
    /// Answers of targets that came before on the same connection.
    pub repeated_answers: u64,
    /// Failures of statements that were held until a reset showed that they repeat no earlier one.
    pub held_failures: u64,
    /// Answers that may have repeated an earlier one of their connection, which was closed.
    pub unproved_answers: u64,
    /// Acknowledgements of commits that were held until a promotion could no longer lose the commit.
    pub commits_held: u64,
    /// Of these, the ones whose callers were told that the outcome isn't known.
    pub commits_doubted: u64,
    /// Promotion orders sent.
    pub promotions: u64,
    /// Statements refused because this process reached no primary.
    pub refused_without_primary: u64,
    /// Sessions that ended because their key was withdrawn.
    pub withdrawn_sessions: u64,
    /// Refusals by reason and waits by priority.
    pub overload: OverloadCounts,
    /// Operations refused because of their tenant's rate limit.
    pub rate_limited: u64,
    /// Of these, the operations that were refused because no proxy that holds a part of the limit could
    /// be found or reached.
    pub refused_without_holder: u64,
    /// Operations that waited for tokens from another proxy.
    pub allowance_waits: u64,
}

/// Where this process runs.
#[derive(Clone, Debug)]
pub struct Location {
    /// The VM's name.
    pub proxy: ProxyName,
    /// The availability zone.
    pub zone: ZoneName,
    /// The region.
    pub region: RegionName,
}

/// The state of all callers, connections, targets and groups of this process.
#[derive(Debug)]
pub struct Engine {
    location: Location,
    /// The region of each zone that has proxies, or empty if they are all in one region.
    regions: BTreeMap<ZoneName, RegionName>,
    routes: Option<Routes>,
    proxy_count: u32,
    callers: BTreeMap<CallerId, Caller>,
    connections: BTreeMap<ConnectionId, Connection>,
    targets: BTreeMap<MemberId, Target>,
    groups: BTreeMap<GroupName, Group>,
    home_tenants: BTreeSet<TenantName>,
    parts: Parts,
    effects: Vec<Effect>,
    changed_groups: BTreeSet<GroupName>,
    last_connection_id: u64,
    next_check_at: Instant,
    duty: Option<DutyLease>,
    /// The evidence for the list of targets.
    target_list: ListEvidence,
    /// When a write for the duty, by any process, was last observed.
    duty_changed_at: Option<Instant>,
    /// When a target last sent an answer that it had sent before.
    answer_repeated_at: Option<Instant>,
    drain: Option<Drain>,
    /// The time until which keys count as held by their tenants, or `None` without a bound.
    keys_valid_until: Option<Instant>,
    rotation: usize,
    retry_budgets: RetryBudgets,
    allowance: Allowance,
    /// Whether the rate limits apply, because the rankings of the proxies are known.
    are_rankings_known: bool,
    /// Callers in [`Stage::AwaitingAllowance`](caller::Stage), in the order of their arrival. It may
    /// also contain callers that have left that stage.
    awaiting_allowance: VecDeque<CallerId>,
    counters: Counters,
    latencies: Vec<Duration>,
    /// Draws the delays after which refused callers return.
    random: SmallRng,
}

impl Engine {
    /// Creates an engine without routes and targets.
    pub fn new(location: Location, now: Instant) -> Self {
        let mut allowance = Allowance::new(location.proxy.clone(), Incarnation::default());
        allowance.set_started_at(now);
        let mut seed = DefaultHasher::new();
        location.proxy.hash(&mut seed);
        Self {
            allowance,
            are_rankings_known: false,
            awaiting_allowance: VecDeque::new(),
            location,
            regions: BTreeMap::new(),
            routes: None,
            proxy_count: 1,
            callers: BTreeMap::new(),
            connections: BTreeMap::new(),
            targets: BTreeMap::new(),
            groups: BTreeMap::new(),
            home_tenants: BTreeSet::new(),
            parts: Parts::default(),
            effects: Vec::new(),
            changed_groups: BTreeSet::new(),
            last_connection_id: 0,
            next_check_at: now,
            duty: None,
            target_list: ListEvidence::default(),
            duty_changed_at: None,
            answer_repeated_at: None,
            drain: None,
            keys_valid_until: None,
            rotation: 0,
            retry_budgets: RetryBudgets::new(sessions::RETRY_BURST, sessions::TENANT_RETRY_BURST),
            counters: Counters::default(),
            latencies: Vec::new(),
            random: SmallRng::seed_from_u64(seed.finish()),
        }
    }

    /// Seeds the delays after which refused callers return. The default seed is the proxy's name.
    pub fn set_random_seed(&mut self, seed: u64) {
        self.random = SmallRng::seed_from_u64(seed);
    }

    /// Returns the effects produced since the last call, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the event counts since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the latency, from arrival to answer, of each statement that succeeded since the last
    /// call.
    pub fn take_latencies(&mut self) -> Vec<Duration> {
        std::mem::take(&mut self.latencies)
    }

    /// Returns when [`Engine::check_timeouts`] must be called next.
    pub fn next_deadline(&self) -> Instant {
        self.next_check_at
    }

    /// Returns whether the process can serve callers: it has routes and the targets of at least one
    /// routed group, and isn't draining.
    pub fn is_ready(&self) -> bool {
        let Some(routes) = &self.routes else {
            return false;
        };
        let has_targets = |group: &GroupName| {
            let group = self.groups.get(group);
            group.is_some_and(|group| !group.members.is_empty())
        };
        self.drain.is_none() && routes.groups.keys().any(has_targets)
    }

    /// Replaces the routes, unless the current version is the same or newer.
    pub fn set_routes(&mut self, now: Instant, routes: Routes) {
        let current_version = self.routes.as_ref().map(|routes| routes.version);
        if current_version.is_some_and(|current_version| current_version >= routes.version) {
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
        self.parts = routes.tenants.as_ref().map(Parts::new).unwrap_or_default();
        self.routes = Some(routes);
        self.assign_targets_to_groups(now);
        self.withdraw_keys(now);
        self.update_limits(now);
    }

    /// Sets the time until which the tenants' keys are known to be current, or `None` if they are
    /// accepted however old the routes are. After it, statements of callers with a key are refused.
    pub fn set_keys_valid_until(&mut self, until: Option<Instant>) {
        self.keys_valid_until = until;
    }

    /// Sets the number of proxies among which the connections of each target are divided.
    pub fn set_proxy_count(&mut self, proxy_count: u32) {
        let proxy_count = proxy_count.max(1);
        if proxy_count != self.proxy_count {
            log::info!(target: "belief", "event=fleet-size proxies={proxy_count}");
            self.proxy_count = proxy_count;
        }
    }

    /// Replaces the list of servers. Removes the targets that aren't listed any more.
    pub fn set_targets(&mut self, now: Instant, entries: Vec<TargetEntry>) {
        let listed: BTreeSet<MemberId> = entries.iter().map(|entry| entry.id.clone()).collect();
        let removed: Vec<MemberId> = self
            .targets
            .keys()
            .filter(|id| !listed.contains(*id))
            .cloned()
            .collect();
        for id in removed {
            log::info!(target: "belief", "event=target-gone target={}", LogValue(&id));
            self.remove_target(now, &id);
        }
        for entry in entries {
            self.set_target(now, entry);
        }
        self.assign_targets_to_groups(now);
    }

    fn set_target(&mut self, now: Instant, entry: TargetEntry) {
        let is_same = |known: &TargetEntry| {
            known.incarnation == entry.incarnation
                && known.addr == entry.addr
                && known.group == entry.group
        };
        match self.targets.get_mut(&entry.id) {
            Some(target) if is_same(&target.entry) => {
                if target.entry.leaving != entry.leaving
                    || target.entry.is_primary != entry.is_primary
                {
                    log::info!(
                        target: "belief",
                        "event=target-changed target={} leaving={} leads={}",
                        LogValue(&entry.id),
                        entry.leaving,
                        entry.is_primary
                    );
                }
                let is_new_leader = entry.is_primary && !target.entry.is_primary;
                let group = entry.group.clone();
                target.entry = entry;
                if is_new_leader {
                    // The entry only claims that the server leads. A probe returns the term too.
                    self.request_probes(now, &group, ProbeScope::All);
                }
            }
            Some(_) => {
                log::info!(target: "belief", "event=target-restarted target={}", LogValue(&entry.id));
                self.remove_target(now, &entry.id);
                self.targets
                    .insert(entry.id.clone(), Target::new(entry, now));
            }
            None => {
                log::info!(
                    target: "belief",
                    "event=target-new target={} group={} addr={} zone={} leads={}",
                    LogValue(&entry.id),
                    LogValue(&entry.group),
                    entry.addr,
                    LogValue(&entry.zone),
                    entry.is_primary
                );
                self.targets
                    .insert(entry.id.clone(), Target::new(entry, now));
            }
        }
    }

    /// Adds each target to the members of its group.
    fn assign_targets_to_groups(&mut self, now: Instant) {
        let has_no_members = |group: &Group| group.members.is_empty();
        let empty_groups: BTreeSet<GroupName> = self
            .groups
            .iter()
            .filter(|(_, group)| has_no_members(group))
            .map(|(name, _)| name.clone())
            .collect();
        let unknown_groups: BTreeSet<GroupName> = self
            .groups
            .iter()
            .filter(|(_, group)| group.is_unknown())
            .map(|(name, _)| name.clone())
            .collect();
        for (id, target) in &mut self.targets {
            let name = &target.entry.group;
            if let Some(group) = self.groups.get_mut(name) {
                if unknown_groups.contains(name) {
                    target.continuity = Continuity::established(now);
                }
                let incarnation = target.entry.incarnation;
                group.add_member(id, incarnation, now, empty_groups.contains(name));
                self.changed_groups.insert(target.entry.group.clone());
            }
        }
    }

    fn remove_target(&mut self, now: Instant, id: &MemberId) {
        let Some(target) = self.targets.remove(id) else {
            return;
        };
        if let Some(group) = self.groups.get_mut(&target.entry.group) {
            group.remove_member(id, target.entry.incarnation, now);
        }
        self.end_attempt_of(now, &target.entry.group, id);
        for connection in target.connections {
            self.close_connection(now, connection);
        }
    }

    /// Sets whether this process is one of a group's homes.
    pub fn set_home(&mut self, name: &GroupName, is_home: bool) {
        if let Some(group) = self.groups.get_mut(name)
            && group.is_home != is_home
        {
            log::info!(target: "belief", "event=home group={} here={is_home}", LogValue(name));
            group.is_home = is_home;
        }
    }

    /// Returns the names of all groups that any version of the routes has named.
    pub fn group_names(&self) -> Vec<GroupName> {
        self.groups.keys().cloned().collect()
    }

    pub(super) fn is_active(&self, now: Instant, name: &GroupName) -> bool {
        let group = self.groups.get(name);
        group.is_some_and(|group| group.is_active(now))
    }

    /// Returns the group that serves a database.
    pub fn group_of(&self, database: &DatabaseName) -> Option<GroupName> {
        self.route(database).map(|route| route.group.clone())
    }

    /// Returns whether a server of a group runs in a zone and isn't leaving.
    pub fn has_server_in(&self, group: &GroupName, zone: &ZoneName) -> bool {
        let is_there = |target: &Target| {
            &target.entry.group == group && &target.entry.zone == zone && !target.entry.leaving
        };
        self.targets.values().any(is_there)
    }

    /// Returns whether disconnecting a caller loses no statement and no transaction.
    pub fn can_disconnect(&self, id: CallerId) -> bool {
        self.callers.get(&id).is_some_and(Caller::can_disconnect)
    }

    /// Returns the number of connected callers.
    pub fn caller_count(&self) -> usize {
        self.callers.len()
    }

    /// Checks all timeouts and intervals. Must be called at [`Engine::next_deadline`].
    pub fn check_timeouts(&mut self, now: Instant) {
        self.next_check_at = now + TIMEOUT_CHECK_INTERVAL;
        self.check_connections(now);
        self.check_callers(now);
        self.settle_allowances(now);
        let has_work = |group: &Group| group.is_active(now) || group.has_waiting_work();
        let names: Vec<GroupName> = self
            .groups
            .iter()
            .filter(|(_, group)| has_work(group))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &names {
            if self.is_active(now, name) {
                self.request_due_probes(now, name);
                self.advance_failover(now, name);
            }
        }
        self.changed_groups.extend(names);
        self.process_changed_groups(now);
    }

    /// Dispatches the waiting statements of every group whose state changed. Must be called after
    /// each batch of events.
    pub fn process_changed_groups(&mut self, now: Instant) {
        let names = std::mem::take(&mut self.changed_groups);
        for name in &names {
            self.send_control(now, name);
            self.dispatch(now, name);
            self.shed_excess(now, name);
            self.send_probes(now, name);
        }
        // The calls above mark groups as changed again. These marks are dropped, because the
        // changes are complete or wait for a reply.
        self.changed_groups.clear();
    }
}
