//! The fleet of proxies: peers, rules in force, connection shares, and leaving the fleet.
//!
//! No single process polls the platform for the whole fleet. A few relays in each availability zone
//! watch it, and every process pulls newer objects from a few peers. [`Fleet`] starts the threads
//! for this and answers the peers' calls.

mod config;
mod counters;
mod exchange;
mod homes_cache;
mod homes_view;
mod messages;
mod node;
mod relay;
mod rollout;
mod rules;
mod shares;
mod state;
mod status;
mod validate;

pub use self::config::FleetConfig;
pub use self::counters::FleetCounters;
pub use self::rules::RulesInForce;
pub use self::shares::Budget;
pub use self::validate::validate;

use self::exchange::PeerChoice;
use self::homes_cache::HomesCache;
use self::homes_view::HomesView;
use self::messages::ExchangeRequest;
use self::messages::Topic;
use self::node::Node;
use self::shares::Shares;
use self::state::FleetState;
use crate::context::Context;
use crate::groups::GroupView;
use crate::groups::Groups;
use crate::supervisor::Supervisor;
use endivereach_core::directory::Vm;
use endivereach_core::ids::GroupName;
use endivereach_core::rules::RuleSet;
use endivereach_wire::http::Call;
use endivereach_wire::http::Reply;
use endivereach_wire::operator::PATH_RULES_VERSION;
use endivereach_wire::operator::RulesReport;
use endivereach_wire::platform::PlatformClient;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

/// This process's membership in the fleet.
pub struct Fleet {
    node: Arc<Node>,
    supervisor: Supervisor,
}

impl Fleet {
    /// Starts the fleet's threads as children of `supervisor`.
    ///
    /// # Errors
    ///
    /// Returns an error when a thread can't be started.
    pub fn spawn(
        context: Arc<Context>,
        groups: Arc<Groups>,
        supervisor: &Supervisor,
        config: FleetConfig,
    ) -> anyhow::Result<Arc<Self>> {
        let network = &context.settings.network;
        let platform = network.translate(context.settings.platform.addr);
        let node = Arc::new(Node {
            fleet_state: FleetState::new(own_vm(&context), context.id.incarnation),
            rules: Arc::new(RulesInForce::new(config.evidence_age_max)),
            shares: Arc::new(Shares::new(context.id.name.clone())),
            demand_reports: shares::DemandReports::default(),
            platform: PlatformClient::new(platform, config.call_timeout),
            homes: HomesCache::default(),
            counters: FleetCounters::default(),
            context,
            config,
            groups,
        });
        node.groups.set_fleet(HomesView(Arc::downgrade(&node)));
        let fleet = Self {
            node,
            supervisor: supervisor.clone(),
        };
        fleet.start_children()?;
        Ok(Arc::new(fleet))
    }

    fn start_children(&self) -> io::Result<()> {
        for topic in Topic::ALL {
            let node = Arc::clone(&self.node);
            self.supervisor
                .start(&format!("watch-{}", topic.kind()), move |child| {
                    relay::watch(&node, child, topic)
                })?;
        }
        let node = Arc::clone(&self.node);
        self.supervisor
            .start("members", move |child| relay::poll_members(&node, child))?;
        let node = Arc::clone(&self.node);
        self.supervisor
            .start("rules", move |child| rollout::run(&node, child))?;
        let node = Arc::clone(&self.node);
        self.supervisor
            .start("shares", move |child| shares::run(&node, child))
    }

    /// Announces the addresses of this process to peers, and starts pulling from them.
    ///
    /// # Errors
    ///
    /// Returns an error when a thread can't be started.
    pub fn announce(&self, sql_addr: SocketAddr, peer_addr: SocketAddr) -> anyhow::Result<()> {
        {
            let mut contents = self.node.fleet_state.lock();
            contents.own_vm.sql_addr = sql_addr;
            contents.own_vm.peer_addr = peer_addr;
        }
        for (name, choice) in [
            ("pull-relay", PeerChoice::Relay),
            ("pull-any", PeerChoice::Any),
        ] {
            let node = Arc::clone(&self.node);
            self.supervisor
                .start(name, move |child| exchange::pull(&node, child, choice))?;
        }
        Ok(())
    }

    /// Returns a function that returns the rules in force when it is called.
    pub fn rules_source(&self) -> impl Fn() -> Arc<RuleSet> + Send + Sync + 'static + use<> {
        let rules = Arc::clone(&self.node.rules);
        move || rules.current()
    }

    /// Returns the budget that limits this process to its shares of connections.
    pub fn budget(&self) -> Budget {
        Budget(Arc::clone(&self.node.shares))
    }

    /// Returns the counters of the fleet's exchange.
    pub fn counters(&self) -> &FleetCounters {
        &self.node.counters
    }

    /// Returns a report on the rules that this process applies.
    pub fn rules_report(&self) -> RulesReport {
        status::rules_report(&self.node)
    }

    /// Returns how many connections this process may have to each server of a group.
    pub fn share(&self, group: &GroupName) -> u32 {
        self.node.shares.allowed_connections(group)
    }

    /// Returns whether this process has connections for its callers: it holds a share of every
    /// group that it is a home of, and of at least one group. A process that knows no group is
    /// ready too.
    pub fn is_ready(&self) -> bool {
        let groups = self.node.groups.all();
        let views: Vec<_> = groups.iter().map(|group| group.view()).collect();
        let has_share =
            |view: &Arc<GroupView>| self.node.shares.allowed_connections(&view.name) > 0;
        let is_home = |view: &&Arc<GroupView>| {
            let limit = view.connections_per_server;
            let homes = self.node.homes.homes(&self.node, &view.name, limit);
            homes.iter().any(|vm| vm.name == self.node.context.id.name)
        };
        let all_homes = views.iter().filter(is_home).all(has_share);
        views.is_empty() || (all_homes && views.iter().any(has_share))
    }

    /// Returns the number of peers known to this process.
    pub fn peer_count(&self) -> u64 {
        let contents = self.node.fleet_state.lock();
        contents.members(Instant::now()).len() as u64 - 1
    }

    /// Returns whether the evidence for the groups, from the platform or from peers, is recent.
    pub fn is_platform_reachable(&self) -> bool {
        let evidence = self.node.evidence(Topic::Groups);
        let age_max = self.node.config.evidence_age_max;
        evidence.is_some_and(|latest| latest.age(Instant::now()) < age_max)
    }

    /// Marks this process as leaving, which peers learn in the next exchange.
    pub fn announce_leaving(&self) {
        self.node.fleet_state.lock().own_vm.leaving = true;
    }

    /// Releases this process's connection shares, so that others can use them.
    pub fn release_shares(&self) {
        shares::release_shares(&self.node);
    }

    /// Answers a call that concerns the fleet, or returns `None` for an unknown path.
    pub fn answer(&self, call: &Call) -> Option<Reply> {
        let reply = match &*call.path {
            messages::PATH_EXCHANGE => call
                .decode::<ExchangeRequest>()
                .map(|request| exchange::answer(&self.node, &request)),
            shares::PATH_DEMAND => call
                .decode::<shares::DemandReport>()
                .map(|report| shares::record_report(&self.node, report)),
            PATH_RULES_VERSION => Ok(Reply::value(&status::rules_report(&self.node))),
            _ => return None,
        };
        Some(reply.unwrap_or_else(|refusal| refusal))
    }
}

/// Returns this process's VM as the settings describe it. The bound addresses are set later.
fn own_vm(context: &Context) -> Vm {
    let settings = &context.settings;
    Vm {
        name: settings.name.clone(),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        peer_addr: settings.listen.peer_addr,
        sql_addr: settings.listen.sql_addr,
        leaving: false,
    }
}
