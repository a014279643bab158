//! The fleet: peers, rules in force, connection shares and stops.

mod config;
mod strictest;

pub use self::config::FleetConfig;
pub use self::strictest::Strictest;

use crate::context::Context;
use crate::groups::Groups;
use crate::supervisor::Supervisor;
use crate::targets::EqualSplit;
use endivereach_wire::http::Call;
use endivereach_wire::http::Reply;
use std::net::SocketAddr;
use std::sync::Arc;

/// The running part of this process that deals with its peers.
pub struct Fleet {
    strictest: Arc<Strictest>,
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
        let _ = (context, groups, supervisor, config);
        Ok(Arc::new(Self {
            strictest: Arc::new(Strictest),
        }))
    }

    /// Returns a source of the rules in force.
    pub fn rules(&self) -> impl Fn() -> Arc<Strictest> + Send + Sync + 'static + use<> {
        let strictest = Arc::clone(&self.strictest);
        move || Arc::clone(&strictest)
    }

    /// Returns this process's share of connections.
    pub fn budget(&self) -> EqualSplit {
        EqualSplit::new(1)
    }

    /// Tells peers where this process answers.
    ///
    /// # Errors
    ///
    /// Returns an error when a thread can't be started.
    pub fn announce(&self, sql_addr: SocketAddr, peer_addr: SocketAddr) -> anyhow::Result<()> {
        let _ = (sql_addr, peer_addr);
        Ok(())
    }

    /// Tells peers that this process is about to stop.
    pub fn announce_leaving(&self) {}

    /// Hands this process's shares and duties on.
    pub fn hand_on(&self) {}

    /// Answers a call that concerns the fleet, or returns `None` for an unknown path.
    pub fn answer(&self, call: &Call) -> Option<Reply> {
        let _ = call;
        None
    }
}
