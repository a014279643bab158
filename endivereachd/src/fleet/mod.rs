//! The fleet: peers, rules in force, connection shares and stops.
//!
//! Nobody polls the platform for everybody else. A few relays of each availability zone watch it,
//! and every process pulls what is newer from a few peers. [`Fleet`] starts the threads that do so
//! and answers the peers' calls.

mod adopt;
mod config;
mod counters;
mod exchange;
mod homes_cache;
mod homes_view;
mod known;
mod messages;
mod node;
mod relay;
mod rules;
mod shares;
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
use self::known::Known;
use self::messages::ExchangeRequest;
use self::messages::Topic;
use self::node::Node;
use self::shares::Shares;
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

/// The running part of this process that deals with its peers.
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
        let platform = network.reach(context.settings.platform.addr);
        let node = Arc::new(Node {
            known: Known::new(own_vm(&context), context.id.incarnation),
            rules: Arc::new(RulesInForce::new(config.evidence_max)),
            shares: Arc::new(Shares::new(context.id.name.clone())),
            reports: shares::Reports::default(),
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
        fleet.start_watches()?;
        Ok(Arc::new(fleet))
    }

    fn start_watches(&self) -> io::Result<()> {
        for topic in Topic::ALL {
            let node = Arc::clone(&self.node);
            self.supervisor
                .start(&format!("watch-{}", topic.kind()), move |child| {
                    relay::watch(&node, child, topic)
                })?;
        }
        let node = Arc::clone(&self.node);
        self.supervisor
            .start("members", move |child| relay::read_members(&node, child))?;
        let node = Arc::clone(&self.node);
        self.supervisor
            .start("rules", move |child| adopt::run(&node, child))?;
        let node = Arc::clone(&self.node);
        self.supervisor
            .start("shares", move |child| shares::run(&node, child))
    }

    /// Tells peers where this process answers, and starts to pull from them.
    ///
    /// # Errors
    ///
    /// Returns an error when a thread can't be started.
    pub fn announce(&self, sql_addr: SocketAddr, peer_addr: SocketAddr) -> anyhow::Result<()> {
        {
            let mut contents = self.node.known.lock();
            contents.me.sql_addr = sql_addr;
            contents.me.peer_addr = peer_addr;
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

    /// Returns a source of the rules in force.
    pub fn rules(&self) -> impl Fn() -> Arc<RuleSet> + Send + Sync + 'static + use<> {
        let rules = Arc::clone(&self.node.rules);
        move || rules.current()
    }

    /// Returns this process's share of connections.
    pub fn budget(&self) -> Budget {
        Budget(Arc::clone(&self.node.shares))
    }

    /// Returns what this part of the process did since its start.
    pub fn counters(&self) -> &FleetCounters {
        &self.node.counters
    }

    /// Returns which rules this process applies.
    pub fn rules_report(&self) -> RulesReport {
        status::rules_report(&self.node)
    }

    /// Returns how many connections this process may have to each server of a group.
    pub fn share(&self, group: &GroupName) -> u32 {
        self.node.shares.allowed(group)
    }

    /// Returns whether callers sent here would find connections: every group that this process is a
    /// home of has given it a share. A process that knows no group has nothing to wait for.
    pub fn is_ready(&self) -> bool {
        let groups = self.node.groups.all();
        let views: Vec<_> = groups.iter().map(|group| group.view()).collect();
        let has_share = |view: &Arc<GroupView>| self.node.shares.allowed(&view.name) > 0;
        let is_home = |view: &&Arc<GroupView>| {
            let limit = view.connections_per_server;
            let homes = self.node.homes.homes(&self.node, &view.name, limit);
            homes.iter().any(|vm| vm.name == self.node.context.id.name)
        };
        let all_homes = views.iter().filter(is_home).all(has_share);
        views.is_empty() || (all_homes && views.iter().any(has_share))
    }

    /// Returns how many peers this process knows.
    pub fn peer_count(&self) -> u64 {
        let contents = self.node.known.lock();
        contents.members(Instant::now()).len() as u64 - 1
    }

    /// Returns whether what this process knows of the platform is recent, whether it heard so from
    /// the platform or from peers.
    pub fn is_platform_reachable(&self) -> bool {
        let evidence = self.node.evidence(Topic::Groups);
        let bound = self.node.config.evidence_max;
        evidence.is_some_and(|held| held.age(Instant::now()) < bound)
    }

    /// Tells peers that this process is about to stop.
    pub fn announce_leaving(&self) {
        self.node.known.lock().me.leaving = true;
    }

    /// Hands this process's shares and duties on.
    pub fn hand_on(&self) {
        shares::hand_on(&self.node);
    }

    /// Answers a call that concerns the fleet, or returns `None` for an unknown path.
    pub fn answer(&self, call: &Call) -> Option<Reply> {
        let reply = match &*call.path {
            messages::PATH_EXCHANGE => call
                .decode::<ExchangeRequest>()
                .map(|request| exchange::answer(&self.node, &request)),
            shares::PATH_DEMAND => call
                .decode::<shares::DemandReport>()
                .map(|report| shares::take_report(&self.node, report)),
            PATH_RULES_VERSION => Ok(Reply::value(&status::rules_report(&self.node))),
            _ => return None,
        };
        Some(reply.unwrap_or_else(|refusal| refusal))
    }
}

/// Returns this process's VM as the settings describe it. Its ports are known once they are bound.
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
