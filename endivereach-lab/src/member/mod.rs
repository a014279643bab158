//! A stand-in for one server of a replicated database: the PostgreSQL wire protocol over in-memory
//! tables, a log of committed transactions, asynchronous replication, and an HTTP control API.

mod concurrency;
mod connection;
mod control;
pub mod errors;
pub mod group;
mod server;
mod session;
pub mod sql;
pub mod storage;

pub use concurrency::registry::ConnectionCounts;
pub use concurrency::registry::RESERVED_APPLICATION_NAME;
pub use control::MemberCounters;
pub use control::MemberFault;
pub use control::PATH_COUNTERS;
pub use control::PATH_FAULT;
pub use control::PATH_PEERS;
pub use control::Peer;
pub use control::PeerList;
pub use group::apply::ApplyFault;

use endivereach_core::ids::MemberId;
use endivereach_wire::http::Server as HttpServer;
use group::Bootstrap;
use group::Replication;
use group::pull::Peers;
use server::Server;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The stack size of each connection's thread, in bytes.
const CONNECTION_STACK_BYTES: usize = 512 * 1024;

/// The configuration of a member.
#[derive(Clone, Debug)]
pub struct MemberConfig {
    /// The name by which the group identifies the member.
    pub id: MemberId,
    /// The listening address for database connections. Default: a port of 127.0.0.1 chosen by the
    /// kernel.
    pub sql_addr: SocketAddr,
    /// The listening address of the control API. Default: as for `sql_addr`.
    pub control_addr: SocketAddr,
    /// The control addresses of the other members, as reachable from this one. Default: none; they
    /// can be set later with a call to [`PATH_PEERS`].
    pub peers: BTreeMap<MemberId, SocketAddr>,
    /// The primary of the first term. Default: none; then the member waits for a `follow` call, or
    /// for a fence followed by a promotion.
    pub initial_primary: Option<MemberId>,
    /// The directory for the log, term, fence and role. Default: none; then they are kept in memory
    /// and lost when the member stops.
    pub data_dir: Option<PathBuf>,
    /// The `CREATE TABLE` statements that a primary runs at startup if its log is empty. Default:
    /// none.
    pub schema: Box<str>,
    /// The maximum number of open connections. Default: unlimited.
    pub max_connections: Option<u32>,
    /// The maximum number of statements that run concurrently. Default: unlimited.
    pub max_running_statements: Option<u32>,
    /// The simulated execution time of each `SELECT`, `INSERT`, `UPDATE` and `DELETE`: a delay
    /// before it, during which the statement occupies its slot. Default: no delay.
    pub service_time: Option<Duration>,
    /// The simulated time to open a connection: a delay before it is authenticated. Default: no
    /// delay.
    pub connect_delay: Option<Duration>,
    /// The password that clients must present. Default: none; clients aren't authenticated.
    pub password: Option<Box<str>>,
    /// Whether clients authenticate with SCRAM-SHA-256 instead of a cleartext password. Default:
    /// cleartext password.
    pub scram: bool,
}

impl MemberConfig {
    /// Creates a configuration with default values.
    pub fn new(id: impl Into<MemberId>) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            id: id.into(),
            sql_addr: any_port,
            control_addr: any_port,
            peers: BTreeMap::new(),
            initial_primary: None,
            data_dir: None,
            schema: "".into(),
            max_connections: None,
            max_running_statements: None,
            service_time: None,
            connect_delay: None,
            password: None,
            scram: false,
        }
    }
}

/// A running member. Dropping the handle closes its connections and stops its servers and threads.
pub struct Member {
    sql_addr: SocketAddr,
    control: HttpServer,
    server: Arc<Server>,
    listener: TcpListener,
}

impl Member {
    /// Opens the member's files, binds its addresses and starts its threads.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if a file can't be opened or an address can't be bound,
    /// and the SQL error if the schema can't be created.
    ///
    /// # Examples
    ///
    /// ```
    /// use endivereach_lab::member::{Member, MemberConfig};
    ///
    /// let config = MemberConfig { initial_primary: Some("a".into()), ..MemberConfig::new("a") };
    /// let member = Member::spawn(config).unwrap();
    /// assert_ne!(member.sql_addr().port(), 0);
    /// ```
    pub fn spawn(config: MemberConfig) -> anyhow::Result<Self> {
        if let Some(directory) = &config.data_dir {
            std::fs::create_dir_all(directory)?;
        }
        let bootstrap = Bootstrap {
            id: config.id.clone(),
            primary: config.initial_primary.clone(),
        };
        let replication = Arc::new(Replication::open(config.data_dir.as_deref(), bootstrap)?);
        replication.initialize(&config.schema)?;
        let listener = TcpListener::bind(config.sql_addr)?;
        let sql_addr = listener.local_addr()?;
        let control_addr = config.control_addr;
        let peers = Arc::<Peers>::default();
        peers.set(config.peers.clone());
        let server = Arc::new(Server::new(config, replication.clone()));
        let control = {
            let (server, peers) = (server.clone(), peers.clone());
            HttpServer::bind(control_addr, move |call| {
                control::handle_call(&server, &peers, &call)
            })?
        };
        spawn_thread("member-apply", {
            let replication = replication.clone();
            move || replication.apply_until_stopped()
        })?;
        spawn_thread("member-pull", move || {
            replication.pull_until_stopped(&peers)
        })?;
        spawn_thread("member-accept", {
            let (server, listener) = (server.clone(), listener.try_clone()?);
            move || accept_connections(&server, &listener)
        })?;
        Ok(Self {
            sql_addr,
            control,
            server,
            listener,
        })
    }

    /// Returns the listening address for database connections.
    pub fn sql_addr(&self) -> SocketAddr {
        self.sql_addr
    }

    /// Returns the listening address of the control API.
    pub fn control_addr(&self) -> SocketAddr {
        self.control.addr()
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        use std::os::fd::AsRawFd;
        // SAFETY: The descriptor stays open as long as `self.listener` exists. Shutting it down
        // makes `accept` fail in the accepting thread, which holds a duplicate of the descriptor,
        // so that the thread ends.
        unsafe { libc::shutdown(self.listener.as_raw_fd(), libc::SHUT_RDWR) };
        self.server.replication.stop();
        self.server.registry.close_all();
    }
}

fn accept_connections(server: &Arc<Server>, listener: &TcpListener) {
    for stream in listener.incoming() {
        let Ok(stream) = stream else { return };
        let server = server.clone();
        let serve = move || {
            if let Err(error) = connection::serve(&server, stream) {
                log::debug!("database connection closed after an I/O error: {error}");
            }
        };
        let spawned = thread::Builder::new()
            .name("member-session".into())
            .stack_size(CONNECTION_STACK_BYTES)
            .spawn(serve);
        if let Err(error) = spawned {
            log::warn!("failed to spawn a connection thread: {error}; raise the thread limit");
        }
    }
}

fn spawn_thread<T: Send + 'static>(
    name: &str,
    run: impl FnOnce() -> T + Send + 'static,
) -> io::Result<()> {
    thread::Builder::new().name(name.into()).spawn(run)?;
    Ok(())
}
