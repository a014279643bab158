//! A stand-in for one server of a database group: PostgreSQL's protocol over tables in memory, a log
//! of committed transactions, asynchronous replication, and the group's control calls.

mod access;
mod connection;
mod control;
pub mod errors;
pub mod group;
mod server;
mod session;
pub mod sql;
pub mod storage;

pub use access::registry::ConnectionCounts;
pub use access::registry::RESERVED_NAME;
pub use control::Counters;
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

/// The stack of a connection's thread, in bytes.
const CONNECTION_STACK_BYTES: usize = 512 * 1024;

/// How a member behaves.
#[derive(Clone, Debug)]
pub struct Config {
    /// The member's name.
    pub id: MemberId,
    /// Where database connections are accepted. Default: a port of 127.0.0.1 chosen by the kernel.
    pub sql_addr: SocketAddr,
    /// Where control calls are answered. Default: as `sql_addr`.
    pub control_addr: SocketAddr,
    /// Where the other members answer control calls, as seen from this one. Default: none yet; they
    /// can be named later with [`PATH_PEERS`].
    pub peers: BTreeMap<MemberId, SocketAddr>,
    /// The primary of the first term. Default: none; then the member waits for a `follow` or a
    /// fence and a promotion.
    pub first_primary: Option<MemberId>,
    /// Where the log and the term are kept. Default: nowhere, so that they end with the member.
    pub data_dir: Option<PathBuf>,
    /// Statements that the first primary runs while its log is empty. Default: none.
    pub schema: Box<str>,
    /// How many connections are accepted at a time. Default: unlimited.
    pub connections: Option<u32>,
    /// How many statements run at a time. Default: unlimited.
    pub slots: Option<u32>,
    /// How long a statement keeps its slot at least. Default: no longer than it takes.
    pub service: Option<Duration>,
    /// How long a new connection takes at least. Default: no longer than it takes.
    pub connect_delay: Option<Duration>,
    /// The password that clients must know. Default: none is asked for.
    pub password: Option<Box<str>>,
    /// Whether the password is proved by SCRAM-SHA-256 instead of being sent in clear text. Default:
    /// in clear text.
    pub scram: bool,
}

impl Config {
    /// Creates a configuration with defaults.
    pub fn new(id: impl Into<MemberId>) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            id: id.into(),
            sql_addr: any_port,
            control_addr: any_port,
            peers: BTreeMap::new(),
            first_primary: None,
            data_dir: None,
            schema: "".into(),
            connections: None,
            slots: None,
            service: None,
            connect_delay: None,
            password: None,
            scram: false,
        }
    }
}

/// A running member. Dropping the handle ends its connections and stops its servers and threads.
pub struct Member {
    sql_addr: SocketAddr,
    control: HttpServer,
    server: Arc<Server>,
    listener: TcpListener,
}

impl Member {
    /// Opens the member's files, binds its addresses and serves.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error for files and addresses, and the error of the schema.
    ///
    /// # Examples
    ///
    /// ```
    /// use endivereach_lab::member::{Config, Member};
    ///
    /// let config = Config { first_primary: Some("a".into()), ..Config::new("a") };
    /// let member = Member::spawn(config).unwrap();
    /// assert_ne!(member.sql_addr().port(), 0);
    /// ```
    pub fn spawn(config: Config) -> anyhow::Result<Self> {
        if let Some(folder) = &config.data_dir {
            std::fs::create_dir_all(folder)?;
        }
        let bootstrap = Bootstrap {
            id: config.id.clone(),
            primary: config.first_primary.clone(),
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
                control::answer(&server, &peers, &call)
            })?
        };
        spawn("member-apply", {
            let replication = replication.clone();
            move || replication.apply_until_stopped()
        })?;
        spawn("member-pull", move || {
            replication.pull_until_stopped(&peers)
        })?;
        spawn("member-accept", {
            let (server, listener) = (server.clone(), listener.try_clone()?);
            move || accept(&server, &listener)
        })?;
        Ok(Self {
            sql_addr,
            control,
            server,
            listener,
        })
    }

    /// Returns where database connections are accepted.
    pub fn sql_addr(&self) -> SocketAddr {
        self.sql_addr
    }

    /// Returns where control calls are answered.
    pub fn control_addr(&self) -> SocketAddr {
        self.control.addr()
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        use std::os::fd::AsRawFd;
        // SAFETY: The descriptor is open as long as `self.listener` lives. Shutting it down ends the
        // accepting thread, which holds a duplicate of it.
        unsafe { libc::shutdown(self.listener.as_raw_fd(), libc::SHUT_RDWR) };
        self.server.replication.stop();
        self.server.registry.close_all();
    }
}

fn accept(server: &Arc<Server>, listener: &TcpListener) {
    for stream in listener.incoming() {
        let Ok(stream) = stream else { return };
        let server = server.clone();
        let serve = move || {
            if let Err(error) = connection::serve(&server, stream) {
                log::debug!("a database connection ended: {error}");
            }
        };
        let spawned = thread::Builder::new()
            .name("member-session".into())
            .stack_size(CONNECTION_STACK_BYTES)
            .spawn(serve);
        if let Err(error) = spawned {
            log::warn!("no thread for a database connection: {error}; allow more threads");
        }
    }
}

fn spawn<T: Send + 'static>(
    name: &str,
    run: impl FnOnce() -> T + Send + 'static,
) -> io::Result<()> {
    thread::Builder::new().name(name.into()).spawn(run)?;
    Ok(())
}
