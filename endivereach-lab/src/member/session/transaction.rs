//! Transactions of a session.

use super::Session;
use super::StatementResult;
use super::TransactionState;
use super::settings::Settings;
use crate::member::concurrency::locks::LockKey;
use crate::member::errors::IN_FAILED_TRANSACTION;
use crate::member::errors::SqlError;
use crate::member::sql::execute::CommandTag;
use crate::member::sql::execute::StatementOutput;
use crate::member::sql::plan::Plan;
use crate::member::sql::plan::SelectSource;
use crate::member::storage::table::Change;
use crate::member::storage::table::Snapshot;
use crate::member::storage::table::Tables;
use endivereach_core::ids::Position;
use endivereach_core::ids::Term;
use std::sync::Arc;

/// The state of the current transaction, explicit or implicit.
#[derive(Debug, Default)]
pub(super) struct Transaction {
    /// Whether the transaction was opened with `BEGIN`.
    explicit: bool,
    /// Whether a statement of the transaction failed.
    failed: bool,
    /// Whether the transaction is read-only.
    pub(super) read_only: bool,
    /// The term of the first write.
    pub(super) first_write_term: Option<Term>,
    /// The uncommitted changes, in statement order.
    pub(super) changes: Vec<Change>,
    /// The locks to release at the end of the transaction.
    pub(super) locks: Vec<LockKey>,
    /// The names of the settings to restore at the end of the transaction.
    pub(super) local_settings: Vec<Box<str>>,
    /// The snapshot that was last read with uncommitted changes, reused while the base snapshot is
    /// the same.
    pub(super) cached_snapshot: Option<TransactionSnapshot>,
    /// The session state that a rollback restores.
    rollback_state: Option<RollbackState>,
}

#[derive(Debug)]
struct RollbackState {
    settings: Settings,
    temporary_tables: Tables,
}

/// A snapshot that includes a transaction's uncommitted changes.
#[derive(Debug)]
pub(super) struct TransactionSnapshot {
    pub(super) base: Arc<Snapshot>,
    pub(super) snapshot: Arc<Snapshot>,
    /// The number of the transaction's changes that are included.
    applied_changes: usize,
}

impl TransactionSnapshot {
    pub(super) fn new(base: Arc<Snapshot>) -> Self {
        Self {
            snapshot: base.clone(),
            base,
            applied_changes: 0,
        }
    }

    /// Applies those of `changes` that aren't included yet.
    pub(super) fn with_changes(mut self, changes: &[Change]) -> Self {
        if self.applied_changes < changes.len() {
            let snapshot = Arc::make_mut(&mut self.snapshot);
            for change in &changes[self.applied_changes..] {
                snapshot.tables.apply(change);
            }
            self.applied_changes = changes.len();
        }
        self
    }
}

impl Session {
    /// Returns the transaction state.
    pub fn state(&self) -> TransactionState {
        match (self.transaction.explicit, self.transaction.failed) {
            (true, true) => TransactionState::Failed,
            (true, false) => TransactionState::Open,
            (false, _) => TransactionState::Idle,
        }
    }

    /// Ends the implicit transaction of a message: commits it, or rolls it back if it failed.
    /// Returns the position of the commit if the transaction had changes. Does nothing within an
    /// explicit transaction.
    ///
    /// # Errors
    ///
    /// Returns an error when the commit failed. The transaction is then rolled back.
    pub fn end_implicit_transaction(&mut self) -> Result<Option<Position>, SqlError> {
        if self.transaction.explicit {
            return Ok(None);
        }
        if self.transaction.failed {
            self.roll_back();
            return Ok(None);
        }
        self.commit()
    }

    /// Runs a transaction control statement. Returns `None` for any other statement, which the
    /// calling code may then run.
    pub(super) fn run_transaction_control(
        &mut self,
        plan: &Plan,
    ) -> Result<Option<StatementResult>, SqlError> {
        let without_commit = |outcome| {
            Ok(Some(StatementResult {
                outcome,
                commit_position: None,
            }))
        };
        match plan {
            Plan::Rollback => {
                self.roll_back();
                without_commit(StatementOutput::without_rows("ROLLBACK"))
            }
            Plan::Commit if self.transaction.failed => {
                self.roll_back();
                without_commit(StatementOutput::without_rows("ROLLBACK"))
            }
            Plan::Commit => {
                let commit_position = self.commit()?;
                Ok(Some(StatementResult {
                    outcome: StatementOutput::without_rows("COMMIT"),
                    commit_position,
                }))
            }
            _ if self.transaction.failed => Err(SqlError::new(
                IN_FAILED_TRANSACTION,
                "current transaction is aborted, commands ignored until end of transaction block",
            )),
            Plan::Begin { read_only } => {
                self.save_rollback_state();
                self.transaction.explicit = true;
                self.transaction.read_only |= *read_only;
                without_commit(StatementOutput::without_rows("BEGIN"))
            }
            _ => {
                self.save_rollback_state();
                Ok(None)
            }
        }
    }

    /// Saves the session state that a rollback restores, at the first statement of a transaction.
    fn save_rollback_state(&mut self) {
        if self.transaction.rollback_state.is_none() {
            self.transaction.read_only =
                self.settings.get("default_transaction_read_only") == Some("on");
            self.transaction.rollback_state = Some(RollbackState {
                settings: self.settings.clone(),
                temporary_tables: self.temporary_tables.clone(),
            });
        }
    }

    fn commit(&mut self) -> Result<Option<Position>, SqlError> {
        let changes = std::mem::take(&mut self.transaction.changes);
        let commit_position = match self.transaction.first_write_term {
            Some(first_write_term) if !changes.is_empty() => {
                let commit_result = self.server.replication.commit(first_write_term, changes);
                if commit_result.is_err() {
                    self.roll_back();
                }
                Some(commit_result?)
            }
            _ => None,
        };
        if let Some(rollback_state) = self.transaction.rollback_state.take() {
            for name in std::mem::take(&mut self.transaction.local_settings) {
                self.settings.restore(&name, &rollback_state.settings);
            }
        }
        self.end_transaction();
        Ok(commit_position)
    }

    fn roll_back(&mut self) {
        if let Some(rollback_state) = self.transaction.rollback_state.take() {
            self.settings.restore_all_from(rollback_state.settings);
            self.temporary_tables = rollback_state.temporary_tables;
            let name = self.settings.get("application_name").unwrap_or_default();
            self.registration.set_application_name(name);
        }
        self.end_transaction();
    }

    /// Marks the transaction as failed. Its changes are discarded and its locks are released
    /// immediately.
    pub(super) fn fail_transaction(&mut self) {
        self.slot = None;
        self.transaction.failed = true;
        self.transaction.changes.clear();
        self.transaction.cached_snapshot = None;
        self.release_locks();
    }

    fn end_transaction(&mut self) {
        self.release_locks();
        self.transaction = Transaction::default();
    }

    fn release_locks(&mut self) {
        if !self.transaction.locks.is_empty() {
            let locks = std::mem::take(&mut self.transaction.locks);
            self.server
                .locks
                .release_transaction_locks(self.pid(), locks);
        }
    }
}

impl Plan {
    /// Returns whether the statement counts against the limit on running statements.
    pub(super) fn needs_slot(&self) -> bool {
        matches!(
            self,
            Self::Select(_) | Self::Insert(_) | Self::Update(_) | Self::Delete(_)
        )
    }

    /// Returns the name of the table that the statement reads or writes rows of.
    pub fn table_name(&self) -> Option<&str> {
        match self {
            Self::Select(select) => match &select.source {
                SelectSource::Table(name) => Some(name),
                _ => None,
            },
            Self::Insert(insert) => Some(&insert.table),
            Self::Update(update) => Some(&update.table),
            Self::Delete(delete) => Some(&delete.table),
            _ => None,
        }
    }
}

impl CommandTag {
    /// Returns whether the tag is that of a `SELECT`.
    pub fn is_read(&self) -> bool {
        self.command == "SELECT"
    }
}
