//! The state shared by all sessions of a member.

use super::MemberConfig;
use super::concurrency::locks::Locks;
use super::concurrency::registry::Registry;
use super::concurrency::slots::StatementSlots;
use super::group::Replication;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

/// The state shared by all sessions of a member.
#[derive(Debug)]
pub struct Server {
    /// The configuration that the member was started with.
    pub(super) config: MemberConfig,
    /// The member's log, term and role in its group.
    pub(super) replication: Arc<Replication>,
    /// The locks held by transactions and sessions.
    pub(super) locks: Locks,
    /// The limit on concurrently running statements.
    pub(super) slots: Arc<StatementSlots>,
    /// The registry of open connections.
    pub(super) registry: Arc<Registry>,
    /// Statements executed since the start.
    pub(super) statements: AtomicU64,
    /// `SELECT` statements on tables executed while the member was a replica.
    pub(super) reads_as_replica: AtomicU64,
    /// `SELECT` statements on tables executed while the member was the primary.
    pub(super) reads_as_primary: AtomicU64,
    /// The injected delay of commit responses, in milliseconds.
    pub(super) commit_answer_delay_ms: AtomicU64,
}

impl Server {
    pub(super) fn new(config: MemberConfig, replication: Arc<Replication>) -> Self {
        Self {
            replication,
            locks: Locks::default(),
            slots: Arc::new(StatementSlots::new(config.max_running_statements)),
            registry: Arc::new(Registry::new(config.max_connections)),
            statements: AtomicU64::new(0),
            reads_as_replica: AtomicU64::new(0),
            reads_as_primary: AtomicU64::new(0),
            commit_answer_delay_ms: AtomicU64::new(0),
            config,
        }
    }

    /// Counts a `SELECT` on a table under the member's current role.
    pub(super) fn count_read(&self) {
        let count = match self.replication.writable_term() {
            Ok(_) => &self.reads_as_primary,
            Err(_) => &self.reads_as_replica,
        };
        count.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    }

    /// Returns the injected delay of commit responses.
    pub(super) fn commit_answer_delay(&self) -> Duration {
        let delay_ms = &self.commit_answer_delay_ms;
        Duration::from_millis(delay_ms.load(std::sync::atomic::Ordering::Relaxed))
    }
}
