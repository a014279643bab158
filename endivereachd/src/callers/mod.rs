//! Connections from callers: the listener, the poller for idle callers, and the workers that
//! execute requests.

mod attempt;
mod counters;
mod dedicated;
mod error_replies;
mod half_closed;
mod idle;
mod lease;
mod local_reply;
mod read;
mod reply_relay;
mod request;
mod request_log;
mod resolve;
mod run;
mod server;
mod session;
mod set;
mod startup;
mod statement;
mod traits;
mod worker;
mod write;

pub use self::counters::Count;
pub use self::counters::Counters;
pub use self::request_log::RequestRecord;
pub use self::traits::ClassifierSource;
pub use self::traits::GroupDirectory;
pub use self::traits::GroupState;

use self::request_log::RequestLog;
use self::server::Parked;
use self::server::Server;
use crate::context::Context;
use crate::targets::ConnectionBudget;
use std::fmt;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// The interval at which idle connections in excess of this proxy's share are closed.
const POOL_TRIM_INTERVAL: Duration = Duration::from_millis(200);

/// The interval at which a drain checks whether every caller has disconnected.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A handle to the running data path. Dropping the handle stops the data path.
pub struct CallerServer {
    addr: SocketAddr,
    counters: Arc<Counters>,
    requests: Arc<RequestLog>,
    control: Arc<dyn DataPathControl>,
}

/// The operations of [`CallerServer`] on the server, independent of the server's type parameters.
trait DataPathControl: Send + Sync {
    /// Stops accepting callers, and disconnects idle callers that are outside transactions.
    fn drain(&self);
    /// Waits until the callers that received the shutdown error have closed their side, up to a
    /// timeout.
    fn wait_for_callers_to_close(&self);
    /// Stops the workers.
    fn stop(&self);
}

impl<G, S, B> DataPathControl for Server<G, S, B>
where
    G: GroupDirectory,
    S: ClassifierSource,
    B: ConnectionBudget,
{
    fn drain(&self) {
        if !self.is_draining.swap(true, Ordering::SeqCst) {
            self.idle.remove_listener(&self.listener);
            let mut started_at = self
                .drain_started_at
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            *started_at = Some(Instant::now());
        }
        let is_outside_transaction = |parked: &mut Parked<G::Group>| match parked {
            Parked::New(_) => true,
            Parked::Session(session) => session.dedicated.is_none() && !session.has_input(),
        };
        for parked in self.idle.take_if(is_outside_transaction) {
            if let Parked::Session(session) = parked {
                self.send_shutdown_notice(session.socket.stream());
            }
        }
    }

    fn wait_for_callers_to_close(&self) {
        self.half_closed_connections.wait_for_disconnects();
    }

    fn stop(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
        self.idle.remove_listener(&self.listener);
        self.idle.stop();
        drop(self.idle.take_if(|_| true));
    }
}

impl CallerServer {
    /// Binds the address `listen.sql_addr` of the settings and serves callers until the handle is
    /// dropped.
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
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let server = Arc::new(Server::new(context, groups, rules, budget, listener)?);
        server.idle.watch_listener(&server.listener, false)?;
        worker::spawn(&server)?;
        spawn_trimmer(&server)?;
        Ok(Self {
            addr,
            counters: Arc::clone(&server.counters),
            requests: Arc::clone(&server.requests),
            control: server,
        })
    }

    /// Returns the local address of the listener for callers.
    pub fn sql_addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the data path's counters, which continue to be updated.
    pub fn counters(&self) -> Arc<Counters> {
        Arc::clone(&self.counters)
    }

    /// Returns the most recent requests, oldest first.
    pub fn recent_requests(&self) -> Vec<RequestRecord> {
        self.requests.recent()
    }

    /// Stops accepting callers, lets requests and transactions in progress end, and disconnects
    /// each caller at a transaction boundary. Returns whether all callers were disconnected before
    /// the deadline.
    pub fn drain(&self, deadline: Instant) -> bool {
        loop {
            self.control.drain();
            if self.counters.callers_now.get() == 0 {
                self.control.wait_for_callers_to_close();
                return true;
            }
            if Instant::now() >= deadline {
                return false;
            }
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
    }
}

impl Drop for CallerServer {
    fn drop(&mut self) {
        self.control.stop();
    }
}

impl fmt::Debug for CallerServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Callers")
            .field("addr", &self.addr)
            .finish_non_exhaustive()
    }
}

/// Starts a thread that closes idle connections in excess of this proxy's share until the server is
/// dropped.
fn spawn_trimmer<G, S, B>(server: &Arc<Server<G, S, B>>) -> std::io::Result<()>
where
    G: GroupDirectory,
    S: ClassifierSource,
    B: ConnectionBudget,
{
    let server = Arc::downgrade(server);
    let trim = move || {
        while let Some(server) = server.upgrade() {
            for pools in server.targets.all() {
                if let Some(group) = server.groups.find(pools.name()) {
                    let limit = group.view().connections_per_server;
                    pools.trim(&server.budget, limit);
                }
            }
            drop(server);
            thread::sleep(POOL_TRIM_INTERVAL);
        }
    };
    let trimmer = thread::Builder::new().name("trim-pools".into());
    trimmer.spawn(trim).map(|_| ())
}
