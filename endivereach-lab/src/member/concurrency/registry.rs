//! The registry of open connections: it enforces the connection limit, counts connections, and
//! delivers cancel and terminate requests.

use super::interrupt::Interrupt;
use endivereach_wire::member::ConnectionCount;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::Shutdown;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// The registry entry of a connection.
#[derive(Debug)]
struct RegisteredConnection {
    secret: i32,
    application_name: Box<str>,
    interrupt: Arc<Interrupt>,
    stream: TcpStream,
    /// Whether the connection counts towards the limit.
    counts_towards_limit: bool,
}

/// The `application_name` of connections that are exempt from the limit. Experiments use them to
/// inspect a member, like the connections that PostgreSQL reserves for superusers.
pub const RESERVED_APPLICATION_NAME: &str = "reserved";

endivereach_core::data! {
    /// Connection counts since the member's start.
    #[derive(Copy, Default)]
    pub struct ConnectionCounts {
        /// Open connections that count towards the limit.
        pub open: u32,
        /// The maximum that `open` has reached.
        pub open_max: u32,
        /// Connections opened, including those that are exempt from the limit.
        pub opened: u64,
        /// Connections refused because the limit was reached.
        pub refused: u64,
        /// Cancel requests with the process ID and secret of an open connection.
        pub cancels: u64,
    }
}

#[derive(Debug, Default)]
struct RegistryState {
    connections: HashMap<u32, RegisteredConnection>,
    counts: ConnectionCounts,
    last_pid: u32,
}

/// The registry of open connections.
#[derive(Debug)]
pub struct Registry {
    limit: Option<u32>,
    state: Mutex<RegistryState>,
}

/// A registered connection. Dropping it removes the connection from the registry.
#[derive(Debug)]
pub struct Registration {
    registry: Arc<Registry>,
    /// The process ID that identifies the connection in cancel requests.
    pub pid: u32,
    /// The secret that a cancel request must carry.
    pub secret: i32,
    /// The cancel and terminate requests for the connection.
    pub interrupt: Arc<Interrupt>,
}

impl Registry {
    /// Creates an empty registry with the given connection limit.
    pub fn new(limit: Option<u32>) -> Self {
        Self {
            limit,
            state: Mutex::default(),
        }
    }

    /// Registers a connection. Returns `None` if the limit is reached.
    pub fn register(
        self: &Arc<Self>,
        application_name: &str,
        stream: TcpStream,
    ) -> Option<Registration> {
        let mut state = self.state();
        let counts_towards_limit = application_name != RESERVED_APPLICATION_NAME;
        let is_full = |limit| state.counts.open >= limit;
        if counts_towards_limit && self.limit.is_some_and(is_full) {
            state.counts.refused += 1;
            return None;
        }
        state.counts.open += u32::from(counts_towards_limit);
        state.counts.opened += 1;
        state.counts.open_max = state.counts.open_max.max(state.counts.open);
        state.last_pid += 1;
        let pid = state.last_pid;
        let secret = rand::random();
        let interrupt = Arc::<Interrupt>::default();
        let connection = RegisteredConnection {
            secret,
            application_name: application_name.into(),
            interrupt: interrupt.clone(),
            stream,
            counts_towards_limit,
        };
        state.connections.insert(pid, connection);
        Some(Registration {
            registry: self.clone(),
            pid,
            secret,
            interrupt,
        })
    }

    /// Cancels the running statement of a connection if `secret` matches.
    pub fn cancel(&self, pid: u32, secret: i32) {
        let mut state = self.state();
        if let Some(connection) = state.connections.get(&pid)
            && connection.secret == secret
        {
            connection.interrupt.cancel();
            state.counts.cancels += 1;
        }
    }

    /// Cancels the running statement of a connection. Returns whether the connection exists.
    pub fn cancel_backend(&self, pid: u32) -> bool {
        let state = self.state();
        let connection = state.connections.get(&pid);
        connection
            .inspect(|registered| registered.interrupt.cancel())
            .is_some()
    }

    /// Terminates a connection. Returns whether the connection exists.
    pub fn terminate_backend(&self, pid: u32) -> bool {
        let state = self.state();
        let Some(connection) = state.connections.get(&pid) else {
            return false;
        };
        connection.interrupt.terminate();
        let _ = connection.stream.shutdown(Shutdown::Read);
        true
    }

    /// Returns the connection counts since the member's start.
    pub fn counts(&self) -> ConnectionCounts {
        self.state().counts
    }

    /// Returns the number of open connections per `application_name`.
    pub fn count_by_application_name(&self) -> Vec<ConnectionCount> {
        let state = self.state();
        let mut counts = BTreeMap::<&str, u32>::new();
        for connection in state.connections.values() {
            *counts.entry(&connection.application_name).or_default() += 1;
        }
        let count = |(holder, count): (&str, u32)| ConnectionCount {
            holder: holder.into(),
            count,
        };
        counts.into_iter().map(count).collect()
    }

    /// Terminates all connections.
    pub fn close_all(&self) {
        for connection in self.state().connections.values() {
            connection.interrupt.terminate();
            let _ = connection.stream.shutdown(Shutdown::Both);
        }
    }

    fn state(&self) -> MutexGuard<'_, RegistryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Registration {
    /// Changes the `application_name` under which the connection is counted.
    pub fn set_application_name(&self, application_name: &str) {
        if let Some(connection) = self.registry.state().connections.get_mut(&self.pid) {
            connection.application_name = application_name.into();
        }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        let mut state = self.registry.state();
        let removed = state.connections.remove(&self.pid);
        let counts_towards_limit =
            removed.is_some_and(|connection| connection.counts_towards_limit);
        state.counts.open -= u32::from(counts_towards_limit);
    }
}
