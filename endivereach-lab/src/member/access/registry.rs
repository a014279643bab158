//! The register of open connections: limits, counts, cancels and terminations.

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

/// What is known of one connection.
#[derive(Debug)]
struct Connection {
    secret: i32,
    application_name: Box<str>,
    interrupt: Arc<Interrupt>,
    stream: TcpStream,
    /// Whether the connection counts against the limit.
    counted: bool,
}

/// The `application_name` of connections beyond the limit, which experiments read states with; a
/// database server keeps a few for its own operators too.
pub const RESERVED_NAME: &str = "reserved";

endivereach_core::data! {
    /// Counts of connections since the start.
    #[derive(Copy, Default)]
    pub struct ConnectionCounts {
        /// Connections open now.
        pub open: u32,
        /// The highest number ever open at a time.
        pub open_max: u32,
        /// Connections ever opened.
        pub opened: u64,
        /// Connections refused because of the limit.
        pub refused: u64,
        /// Cancel requests that named an open connection.
        pub cancels: u64,
    }
}

#[derive(Debug, Default)]
struct Register {
    connections: HashMap<u32, Connection>,
    counts: ConnectionCounts,
    last_pid: u32,
}

/// The register of open connections.
#[derive(Debug)]
pub struct Registry {
    limit: Option<u32>,
    register: Mutex<Register>,
}

/// One registered connection. Dropping it removes it from the register.
#[derive(Debug)]
pub struct Registration {
    registry: Arc<Registry>,
    /// The connection's number, by which it is cancelled.
    pub pid: u32,
    /// The secret that a cancel request must carry.
    pub secret: i32,
    /// Where requests to stop arrive.
    pub interrupt: Arc<Interrupt>,
}

impl Registry {
    /// Creates an empty register.
    pub fn new(limit: Option<u32>) -> Self {
        Self {
            limit,
            register: Mutex::default(),
        }
    }

    /// Registers a connection, or returns `None` when the limit is reached.
    pub fn open(
        self: &Arc<Self>,
        application_name: &str,
        stream: TcpStream,
    ) -> Option<Registration> {
        let mut register = self.register();
        let counted = application_name != RESERVED_NAME;
        let full = |limit| register.counts.open >= limit;
        if counted && self.limit.is_some_and(full) {
            register.counts.refused += 1;
            return None;
        }
        register.counts.open += u32::from(counted);
        register.counts.opened += 1;
        register.counts.open_max = register.counts.open_max.max(register.counts.open);
        register.last_pid += 1;
        let pid = register.last_pid;
        let secret = rand::random();
        let interrupt = Arc::<Interrupt>::default();
        let connection = Connection {
            secret,
            application_name: application_name.into(),
            interrupt: interrupt.clone(),
            stream,
            counted,
        };
        register.connections.insert(pid, connection);
        Some(Registration {
            registry: self.clone(),
            pid,
            secret,
            interrupt,
        })
    }

    /// Cancels the statement of a connection if the secret fits.
    pub fn cancel(&self, pid: u32, secret: i32) {
        let mut register = self.register();
        if let Some(connection) = register.connections.get(&pid)
            && connection.secret == secret
        {
            connection.interrupt.cancel();
            register.counts.cancels += 1;
        }
    }

    /// Cancels the statement of a connection, and returns whether it exists.
    pub fn cancel_backend(&self, pid: u32) -> bool {
        let register = self.register();
        let connection = register.connections.get(&pid);
        connection.inspect(|it| it.interrupt.cancel()).is_some()
    }

    /// Ends a connection, and returns whether it exists.
    pub fn terminate_backend(&self, pid: u32) -> bool {
        let register = self.register();
        let Some(connection) = register.connections.get(&pid) else {
            return false;
        };
        connection.interrupt.terminate();
        let _ = connection.stream.shutdown(Shutdown::Read);
        true
    }

    /// Returns the counts since the start.
    pub fn counts(&self) -> ConnectionCounts {
        self.register().counts
    }

    /// Returns how many connections each holder has.
    pub fn by_holder(&self) -> Vec<ConnectionCount> {
        let register = self.register();
        let mut counts = BTreeMap::<&str, u32>::new();
        for connection in register.connections.values() {
            *counts.entry(&connection.application_name).or_default() += 1;
        }
        let count = |(holder, count): (&str, u32)| ConnectionCount {
            holder: holder.into(),
            count,
        };
        counts.into_iter().map(count).collect()
    }

    /// Ends every connection.
    pub fn close_all(&self) {
        for connection in self.register().connections.values() {
            connection.interrupt.terminate();
            let _ = connection.stream.shutdown(Shutdown::Both);
        }
    }

    fn register(&self) -> MutexGuard<'_, Register> {
        self.register.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Registration {
    /// Changes the name by which the connection is counted.
    pub fn rename(&self, application_name: &str) {
        if let Some(connection) = self.registry.register().connections.get_mut(&self.pid) {
            connection.application_name = application_name.into();
        }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        let mut register = self.registry.register();
        let removed = register.connections.remove(&self.pid);
        let counted = removed.is_some_and(|connection| connection.counted);
        register.counts.open -= u32::from(counted);
    }
}
