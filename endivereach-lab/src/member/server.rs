//! What every session of a member shares.

use super::Config;
use super::access::locks::Locks;
use super::access::registry::Registry;
use super::access::slots::Slots;
use super::group::Replication;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

/// What every session of a member shares.
#[derive(Debug)]
pub struct Server {
    /// How the member behaves.
    pub(super) config: Config,
    /// The member's part in its group.
    pub(super) replication: Arc<Replication>,
    /// The locks of transactions and sessions.
    pub(super) locks: Locks,
    /// The statements that run.
    pub(super) slots: Arc<Slots>,
    /// The open connections.
    pub(super) registry: Arc<Registry>,
    /// Statements run since the start.
    pub(super) statements: AtomicU64,
    /// Reads of tables run while the member was a replica.
    pub(super) reads_as_replica: AtomicU64,
    /// Reads of tables run while the member was the primary.
    pub(super) reads_as_primary: AtomicU64,
    /// How long the answer to a commit is held back, in milliseconds.
    pub(super) commit_answer_delay_ms: AtomicU64,
}

impl Server {
    pub(super) fn new(config: Config, replication: Arc<Replication>) -> Self {
        Self {
            replication,
            locks: Locks::default(),
            slots: Arc::new(Slots::new(config.slots)),
            registry: Arc::new(Registry::new(config.connections)),
            statements: AtomicU64::new(0),
            reads_as_replica: AtomicU64::new(0),
            reads_as_primary: AtomicU64::new(0),
            commit_answer_delay_ms: AtomicU64::new(0),
            config,
        }
    }

    /// Counts a read of a table.
    pub(super) fn count_read(&self) {
        let count = match self.replication.writable_term() {
            Ok(_) => &self.reads_as_primary,
            Err(_) => &self.reads_as_replica,
        };
        count.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    }

    /// Returns how long the answer to a commit is held back.
    pub(super) fn commit_answer_delay(&self) -> Duration {
        let delay_ms = &self.commit_answer_delay_ms;
        Duration::from_millis(delay_ms.load(std::sync::atomic::Ordering::Relaxed))
    }
}
