//! Transactions of a session.

use super::Done;
use super::Session;
use super::TransactionState;
use super::settings::Settings;
use crate::member::access::locks::LockKey;
use crate::member::errors::IN_FAILED_TRANSACTION;
use crate::member::errors::SqlError;
use crate::member::sql::execute::Outcome;
use crate::member::sql::execute::Tag;
use crate::member::sql::plan::Plan;
use crate::member::sql::plan::Source;
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
    pub(super) term: Option<Term>,
    /// The uncommitted changes, in statement order.
    pub(super) changes: Vec<Change>,
    /// The locks to release at the end of the transaction.
    pub(super) locks: Vec<LockKey>,
    /// The names of the settings to restore at the end of the transaction.
    pub(super) local_settings: Vec<Box<str>>,
    /// The snapshot of the last statement, reused while the base snapshot is the same.
    pub(super) overlay: Option<Overlay>,
    /// The session state that a rollback restores.
    saved: Option<Saved>,
}

#[derive(Debug)]
struct Saved {
    settings: Settings,
    temporary: Tables,
}

/// A snapshot that includes a transaction's uncommitted changes.
#[derive(Debug)]
pub(super) struct Overlay {
    pub(super) base: Arc<Snapshot>,
    pub(super) snapshot: Arc<Snapshot>,
    /// The number of the transaction's changes that are included.
    included: usize,
}

impl Overlay {
    pub(super) fn new(base: Arc<Snapshot>) -> Self {
        Self {
            snapshot: base.clone(),
            base,
            included: 0,
        }
    }

    /// Applies those of `changes` that aren't included yet.
    pub(super) fn with(mut self, changes: &[Change]) -> Self {
        if self.included < changes.len() {
            let snapshot = Arc::make_mut(&mut self.snapshot);
            for change in &changes[self.included..] {
                snapshot.tables.apply(change);
            }
            self.included = changes.len();
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
    pub fn finish_implicit(&mut self) -> Result<Option<Position>, SqlError> {
        if self.transaction.explicit {
            return Ok(None);
        }
        if self.transaction.failed {
            self.roll_back();
            return Ok(None);
        }
        self.commit()
    }

    /// Runs a transaction control statement. Returns `None` for any other statement, which the caller
    /// may then run.
    pub(super) fn control(&mut self, plan: &Plan) -> Result<Option<Done>, SqlError> {
        let done = |outcome| {
            Ok(Some(Done {
                outcome,
                committed: None,
            }))
        };
        match plan {
            Plan::Rollback => {
                self.roll_back();
                done(Outcome::done("ROLLBACK"))
            }
            Plan::Commit if self.transaction.failed => {
                self.roll_back();
                done(Outcome::done("ROLLBACK"))
            }
            Plan::Commit => {
                let committed = self.commit()?;
                Ok(Some(Done {
                    outcome: Outcome::done("COMMIT"),
                    committed,
                }))
            }
            _ if self.transaction.failed => Err(SqlError::new(
                IN_FAILED_TRANSACTION,
                "current transaction is aborted, commands ignored until end of transaction block",
            )),
            Plan::Begin { read_only } => {
                self.save();
                self.transaction.explicit = true;
                self.transaction.read_only |= *read_only;
                done(Outcome::done("BEGIN"))
            }
            _ => {
                self.save();
                Ok(None)
            }
        }
    }

    /// Saves the session state that a rollback restores, at the first statement of a transaction.
    fn save(&mut self) {
        if self.transaction.saved.is_none() {
            self.transaction.read_only =
                self.settings.get("default_transaction_read_only") == Some("on");
            self.transaction.saved = Some(Saved {
                settings: self.settings.clone(),
                temporary: self.temporary.clone(),
            });
        }
    }

    fn commit(&mut self) -> Result<Option<Position>, SqlError> {
        let changes = std::mem::take(&mut self.transaction.changes);
        let committed = match self.transaction.term {
            Some(term) if !changes.is_empty() => {
                let committed = self.server.replication.commit(term, changes);
                if committed.is_err() {
                    self.roll_back();
                }
                Some(committed?)
            }
            _ => None,
        };
        if let Some(saved) = self.transaction.saved.take() {
            for name in std::mem::take(&mut self.transaction.local_settings) {
                self.settings.restore(&name, &saved.settings);
            }
        }
        self.end();
        Ok(committed)
    }

    fn roll_back(&mut self) {
        if let Some(saved) = self.transaction.saved.take() {
            self.settings.restore_all(saved.settings);
            self.temporary = saved.temporary;
            let name = self.settings.get("application_name").unwrap_or_default();
            self.registration.rename(name);
        }
        self.end();
    }

    /// Marks the transaction as failed. Its changes are discarded and its locks are released
    /// immediately.
    pub(super) fn fail(&mut self) {
        self.slot = None;
        self.transaction.failed = true;
        self.transaction.changes.clear();
        self.transaction.overlay = None;
        self.release_locks();
    }

    fn end(&mut self) {
        self.release_locks();
        self.transaction = Transaction::default();
    }

    fn release_locks(&mut self) {
        if !self.transaction.locks.is_empty() {
            let locks = std::mem::take(&mut self.transaction.locks);
            self.server.locks.release(self.pid(), locks);
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
                Source::Table(name) => Some(name),
                _ => None,
            },
            Self::Insert(insert) => Some(&insert.table),
            Self::Update(update) => Some(&update.table),
            Self::Delete(delete) => Some(&delete.table),
            _ => None,
        }
    }
}

impl Tag {
    /// Returns whether the tag is that of a `SELECT`.
    pub fn is_read(&self) -> bool {
        self.command == "SELECT"
    }
}
