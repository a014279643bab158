//! The daemon as a whole: its parts, their start, and a planned stop.

use crate::callers::Callers;
use crate::context::Context;
use crate::drain::Phase;
use crate::drain::PhaseCell;
use crate::events::Events;
use crate::fleet::Fleet;
use crate::fleet::FleetConfig;
use crate::groups::Groups;
use crate::peers::Peers;
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

/// How often the daemon looks whether it was told to stop.
const STOP_POLL: Duration = Duration::from_millis(50);

/// How long the daemon's own threads may take to end once callers are gone.
const THREADS_END: Duration = Duration::from_secs(5);

endivereach_core::data! {
    /// What the daemon prints once it serves callers.
    pub struct ReadyLine {
        /// The VM's name.
        pub name: ProxyName,
        /// Where callers connect.
        pub sql_addr: SocketAddr,
        /// Where peers, operators and the balancer's probe connect.
        pub peer_addr: SocketAddr,
    }
}

/// How the daemon ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// Every request in progress ended.
    Drained,
    /// Some requests in progress were cut at the bound.
    CutAtBound,
    /// A part failed for good.
    Failed(Failure),
}

/// The running daemon.
pub struct Daemon {
    context: Arc<Context>,
    phase: Arc<PhaseCell>,
    supervisor: Supervisor,
    fleet: Arc<Fleet>,
    callers: Arc<Callers>,
    server: Server,
}

impl Daemon {
    /// Starts every part and serves callers.
    ///
    /// # Errors
    ///
    /// Returns an error when an address can't be bound or a thread can't be started.
    pub fn spawn(settings: Settings) -> anyhow::Result<Self> {
        let started_at = Instant::now();
        let context = Arc::new(Context {
            id: draw_id(&settings),
            settings,
            clock: SystemClock,
            http: Client::new(),
            events: Events::default(),
        });
        let supervisor = Supervisor::spawn(SupervisorConfig::default())?;
        let phase = Arc::new(PhaseCell::new());
        let peers = Arc::new(Peers::new(Arc::clone(&phase)));
        let peer_addr = context.settings.listen.peer_addr;
        let server = Server::bind(peer_addr, {
            let peers = Arc::clone(&peers);
            move |call| peers.answer(&call)
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
        let callers = Callers::bind(
            Arc::clone(&context),
            Arc::clone(&groups),
            fleet.rules(),
            fleet.budget(),
        )
        .with_context(|| format!("binding listen.sql_addr {sql_addr}; choose a free address"))?;
        let callers = Arc::new(callers);
        fleet.announce(callers.sql_addr(), server.addr())?;
        peers.open(Sources {
            context: Arc::clone(&context),
            phase: Arc::clone(&phase),
            supervisor: supervisor.clone(),
            fleet: Arc::clone(&fleet),
            callers: Arc::clone(&callers),
            groups,
            started_at,
        });
        phase.advance(Phase::Serving);
        Ok(Self {
            context,
            phase,
            supervisor,
            fleet,
            callers,
            server,
        })
    }

    /// Returns what a program that started the daemon needs to know.
    pub fn ready_line(&self) -> ReadyLine {
        ReadyLine {
            name: self.context.id.name.clone(),
            sql_addr: self.callers.sql_addr(),
            peer_addr: self.server.addr(),
        }
    }

    /// Returns the identity, settings and events of the process.
    pub fn context(&self) -> &Arc<Context> {
        &self.context
    }

    /// Runs until `stop` is set and the stop is over, or a part fails for good.
    pub fn run(self, stop: &AtomicBool) -> End {
        while !stop.load(Ordering::Relaxed) {
            if let Some(failure) = self.supervisor.wait_failure(STOP_POLL) {
                return End::Failed(failure);
            }
        }
        self.drain()
    }

    /// Stops without cutting a request in progress, as far as the settings' bounds allow.
    ///
    /// The health answer turns first and the listener stays open, because a balancer goes on sending
    /// callers until its next probe. Shares and duties are handed on last, when no connection needs
    /// them any more.
    pub fn drain(self) -> End {
        let drain = &self.context.settings.drain;
        log::info!("draining");
        self.phase.advance(Phase::Leaving);
        self.fleet.announce_leaving();
        std::thread::sleep(Duration::from_millis(drain.balancer_wait_ms));
        self.phase.advance(Phase::Closing);
        let deadline = Instant::now() + Duration::from_millis(drain.in_progress_ms);
        let all_ended = self.callers.drain(deadline);
        self.fleet.release_shares();
        if !self.supervisor.stop(THREADS_END) {
            log::warn!("some threads did not end in time");
        }
        if all_ended {
            End::Drained
        } else {
            End::CutAtBound
        }
    }
}

/// Draws the identity of this run of the process.
fn draw_id(settings: &Settings) -> ProxyId {
    ProxyId {
        name: settings.name.clone(),
        incarnation: Incarnation::new(rand::random()),
    }
}
