//! The daemon: starting its modules, running them, and stopping them as planned.

use crate::callers::CallerServer;
use crate::context::Context;
use crate::control_api::ControlApi;
use crate::events::Events;
use crate::fleet::Fleet;
use crate::fleet::FleetConfig;
use crate::groups::Groups;
use crate::phase::Phase;
use crate::phase::PhaseCell;
use crate::supervisor::Failure;
use crate::supervisor::Supervisor;
use crate::supervisor::SupervisorConfig;
use crate::telemetry::Sources;
use anyhow::Context as _;
use endivereach_core::clock::SystemClock;
use endivereach_core::ids::Incarnation;
use endivereach_core::ids::ProxyId;
use endivereach_core::ids::ProxyName;
use endivereach_core::settings::Settings;
use endivereach_wire::http::Client;
use endivereach_wire::http::Server;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// The interval between two checks for a request to stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The timeout for the daemon's threads to end after the callers have left.
const THREAD_STOP_TIMEOUT: Duration = Duration::from_secs(5);

endivereach_core::data! {
    /// The line that the daemon prints, as JSON, once it serves callers.
    pub struct ReadyLine {
        /// The VM's name.
        pub name: ProxyName,
        /// The address for callers.
        pub sql_addr: SocketAddr,
        /// The address for peers, operators and the load balancer's probe.
        pub peer_addr: SocketAddr,
    }
}

/// The outcome of a run of the daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// A planned stop in which every request in progress ended.
    Drained,
    /// A planned stop that aborted requests still in progress at its deadline.
    DrainTimedOut,
    /// A supervised thread failed permanently.
    Failed(Failure),
}

/// The running daemon.
pub struct Daemon {
    context: Arc<Context>,
    phase: Arc<PhaseCell>,
    supervisor: Supervisor,
    fleet: Arc<Fleet>,
    caller_server: Arc<CallerServer>,
    server: Server,
}

impl Daemon {
    /// Starts every module, and then serves callers.
    ///
    /// # Errors
    ///
    /// Returns an error when an address can't be bound or a thread can't be started.
    pub fn spawn(settings: Settings) -> anyhow::Result<Self> {
        let started_at = Instant::now();
        let context = Arc::new(Context {
            id: generate_id(&settings),
            settings,
            clock: SystemClock,
            http: Client::new(),
            events: Events::default(),
        });
        let supervisor = Supervisor::spawn(SupervisorConfig::default())?;
        let phase = Arc::new(PhaseCell::new());
        let api = Arc::new(ControlApi::new(Arc::clone(&phase)));
        let peer_addr = context.settings.listen.peer_addr;
        let server = Server::bind(peer_addr, {
            let api = Arc::clone(&api);
            move |call| api.answer(&call)
        })
        .with_context(|| format!("binding listen.peer_addr {peer_addr}; choose a free address"))?;

        let groups = Arc::new(Groups::spawn(Arc::clone(&context))?);
        let branch = supervisor.branch("fleet");
        let fleet = Fleet::spawn(
            Arc::clone(&context),
            Arc::clone(&groups),
            &branch,
            FleetConfig::from(&context.settings.fleet),
        )?;
        let sql_addr = context.settings.listen.sql_addr;
        let caller_server = CallerServer::bind(
            Arc::clone(&context),
            Arc::clone(&groups),
            fleet.rules_source(),
            fleet.budget(),
        )
        .with_context(|| format!("binding listen.sql_addr {sql_addr}; choose a free address"))?;
        let caller_server = Arc::new(caller_server);
        fleet.announce(caller_server.sql_addr(), server.addr())?;
        api.open(Sources {
            context: Arc::clone(&context),
            phase: Arc::clone(&phase),
            supervisor: supervisor.clone(),
            fleet: Arc::clone(&fleet),
            caller_server: Arc::clone(&caller_server),
            groups,
            started_at,
        });
        phase.advance(Phase::Serving);
        Ok(Self {
            context,
            phase,
            supervisor,
            fleet,
            caller_server,
            server,
        })
    }

    /// Returns the name and the bound addresses, for the program that started the daemon.
    pub fn ready_line(&self) -> ReadyLine {
        ReadyLine {
            name: self.context.id.name.clone(),
            sql_addr: self.caller_server.sql_addr(),
            peer_addr: self.server.addr(),
        }
    }

    /// Returns the identity, settings and events of the process.
    pub fn context(&self) -> &Arc<Context> {
        &self.context
    }

    /// Runs until `stop` is set and the daemon has drained, or until a supervised thread fails
    /// permanently.
    pub fn run(self, stop: &AtomicBool) -> RunOutcome {
        while !stop.load(Ordering::Relaxed) {
            if let Some(failure) = self.supervisor.wait_for_failure(STOP_POLL_INTERVAL) {
                return RunOutcome::Failed(failure);
            }
        }
        self.drain()
    }

    /// Stops the daemon, and aborts requests in progress only at the deadlines of the settings.
    ///
    /// The health probe fails first while the listener stays open, because the load balancer sends
    /// callers until its next probe. Shares are released last, when no connection needs them.
    pub fn drain(self) -> RunOutcome {
        let drain = &self.context.settings.drain;
        log::info!("draining");
        self.phase.advance(Phase::Leaving);
        self.fleet.announce_leaving();
        std::thread::sleep(Duration::from_millis(drain.balancer_wait_ms));
        self.phase.advance(Phase::Closing);
        let deadline = Instant::now() + Duration::from_millis(drain.in_progress_ms);
        let all_ended = self.caller_server.drain(deadline);
        self.fleet.release_shares();
        if !self.supervisor.stop(THREAD_STOP_TIMEOUT) {
            log::warn!("some threads did not end in time");
        }
        if all_ended {
            RunOutcome::Drained
        } else {
            RunOutcome::DrainTimedOut
        }
    }
}

/// Returns the identity of this process, with a random incarnation.
fn generate_id(settings: &Settings) -> ProxyId {
    ProxyId {
        name: settings.name.clone(),
        incarnation: Incarnation::new(rand::random()),
    }
}
