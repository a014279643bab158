//! A database session, independent of the wire protocol: settings, temporary tables and the current
//! transaction.

pub mod settings;
mod transaction;

use super::concurrency::interrupt::WaitLimits;
use super::concurrency::locks::LockKey;
use super::concurrency::locks::LockScope;
use super::concurrency::registry::Registration;
use super::concurrency::slots::StatementSlot;
use super::errors::READ_ONLY;
use super::errors::SqlError;
use super::server::Server;
use super::sql::execute::StatementOutput;
use super::sql::plan::Plan;
use super::storage::table::Change;
use super::storage::table::Snapshot;
use super::storage::table::TableSchema;
use super::storage::table::Tables;
use super::storage::value::Value;
use endivereach_core::ids::Position;
use settings::Settings;
use std::sync::Arc;
use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use transaction::Transaction;
use transaction::TransactionSnapshot;

/// The transaction state of a session between statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionState {
    /// No transaction is open.
    Idle,
    /// An explicit transaction is open.
    Open,
    /// An explicit transaction failed; only its end is accepted.
    Failed,
}

/// The state of one database session.
#[derive(Debug)]
pub struct Session {
    server: Arc<Server>,
    registration: Registration,
    user: Box<str>,
    database: Box<str>,
    settings: Settings,
    temporary_tables: Tables,
    transaction: Transaction,
    statement_deadline: Option<Instant>,
    slot: Option<StatementSlot>,
    /// The log position of the snapshot that was read last.
    read_position: Position,
}

impl Session {
    /// Creates the session of a registered connection.
    pub fn new(
        server: Arc<Server>,
        registration: Registration,
        user: &str,
        database: &str,
        settings: Settings,
    ) -> Self {
        Self {
            server,
            registration,
            user: user.into(),
            database: database.into(),
            settings,
            temporary_tables: Tables::default(),
            transaction: Transaction::default(),
            statement_deadline: None,
            slot: None,
            read_position: Position::default(),
        }
    }

    /// Returns the connection's process ID, cancel secret and interrupt flags.
    pub fn registration(&self) -> &Registration {
        &self.registration
    }

    /// Returns the session's settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the settings to report to the client because they may have changed since the last
    /// call.
    pub fn take_reports(&mut self) -> Vec<settings::ReportedSetting> {
        self.settings.take_reports()
    }

    /// Returns the log position of the snapshot that was read last.
    pub fn read_position(&self) -> Position {
        self.read_position
    }

    /// Runs one statement. Outside an explicit transaction, the statement begins an implicit one,
    /// which [`Session::end_implicit_transaction`] ends.
    ///
    /// # Errors
    ///
    /// Returns the statement's error. The transaction has then failed, or is rolled back if the
    /// statement was a `COMMIT`.
    pub fn run(&mut self, plan: &Plan, parameters: &[Value]) -> Result<StatementResult, SqlError> {
        self.registration.interrupt.begin_statement();
        if let Some(statement_result) = self.run_transaction_control(plan)? {
            return Ok(statement_result);
        }
        let timeout = self.settings.duration("statement_timeout");
        self.statement_deadline = timeout.map(|timeout| Instant::now() + timeout);
        let result = self.run_in_slot(plan, parameters);
        self.slot = None;
        match result {
            Ok(outcome) => Ok(StatementResult {
                outcome,
                commit_position: None,
            }),
            Err(error) => {
                self.fail_transaction();
                Err(error)
            }
        }
    }

    fn run_in_slot(
        &mut self,
        plan: &Plan,
        parameters: &[Value],
    ) -> Result<StatementOutput, SqlError> {
        self.wait_limits().check()?;
        if plan.needs_slot() {
            let server = self.server.clone();
            self.slot = Some(server.slots.acquire(&self.wait_limits())?);
            if let Some(service_time) = server.config.service_time {
                std::thread::sleep(service_time);
            }
        }
        self.execute(plan, parameters)
    }

    /// Marks the transaction as failed after an error in a statement that wasn't run, such as a
    /// syntax error.
    pub fn fail_statement(&mut self) {
        self.fail_transaction();
    }

    /// Returns the conditions that end a wait of the current statement.
    pub(super) fn wait_limits(&self) -> WaitLimits<'_> {
        WaitLimits {
            interrupt: &self.registration.interrupt,
            statement_deadline: self.statement_deadline,
            lock_timeout: self.settings.duration("lock_timeout"),
        }
    }

    /// Returns the snapshot for a new statement: all committed entries that are applied, and the
    /// changes of the current transaction.
    pub(super) fn snapshot(&mut self) -> Arc<Snapshot> {
        let base = self.server.replication.snapshot();
        self.read_position = base.position;
        if self.transaction.changes.is_empty() {
            return base;
        }
        let cached_snapshot = match self.transaction.cached_snapshot.take() {
            Some(cached_snapshot) if Arc::ptr_eq(&cached_snapshot.base, &base) => cached_snapshot,
            _ => TransactionSnapshot::new(base),
        };
        let cached_snapshot = self
            .transaction
            .cached_snapshot
            .insert(cached_snapshot.with_changes(&self.transaction.changes));
        cached_snapshot.snapshot.clone()
    }

    /// Checks that the transaction may write, and records the term of its first write.
    pub(super) fn begin_write(&mut self) -> Result<(), SqlError> {
        if self.transaction.read_only {
            return Err(SqlError::new(
                READ_ONLY,
                "cannot write in a read-only transaction",
            ));
        }
        let term = self.server.replication.writable_term()?;
        let transaction_term = *self.transaction.first_write_term.get_or_insert(term);
        if transaction_term != term {
            return Err(SqlError::new(
                READ_ONLY,
                "this server leads another term by now; run the transaction again",
            ));
        }
        Ok(())
    }

    /// Adds a change to the transaction, or applies it directly to a temporary table.
    pub(super) fn write(&mut self, is_temporary: bool, change: Change) {
        if is_temporary {
            self.temporary_tables.apply(&change);
        } else {
            self.transaction.changes.push(change);
        }
    }

    /// Locks `key`. While it waits for the lock, the statement releases its slot.
    pub(super) fn lock(&mut self, key: LockKey, scope: LockScope) -> Result<(), SqlError> {
        let server = self.server.clone();
        if !server.locks.try_lock(self.pid(), &key, scope) {
            let had_slot = self.slot.take().is_some();
            server
                .locks
                .lock(self.pid(), &key, scope, &self.wait_limits())?;
            if scope == LockScope::Transaction {
                self.transaction.locks.push(key);
            }
            if had_slot {
                self.slot = Some(server.slots.acquire(&self.wait_limits())?);
            }
        } else if scope == LockScope::Transaction {
            self.transaction.locks.push(key);
        }
        Ok(())
    }

    /// Changes a setting of the session, or of the transaction if `local` is set.
    pub(super) fn set(
        &mut self,
        name: &str,
        value: Option<&str>,
        local: bool,
    ) -> Result<(), SqlError> {
        self.settings.set(name, value)?;
        if local {
            self.transaction.local_settings.push(name.into());
        }
        if name == "transaction_read_only" {
            self.transaction.read_only = value == Some("on");
        }
        if name == "application_name" {
            self.registration
                .set_application_name(value.unwrap_or_default());
        }
        Ok(())
    }

    pub(super) fn reset_settings(&mut self) {
        self.settings.reset();
        let name = self.settings.get("application_name").unwrap_or_default();
        self.registration.set_application_name(name);
    }

    pub(super) fn discard_temporary_tables(&mut self) {
        self.temporary_tables = Tables::default();
    }

    pub(super) fn discard_all(&mut self) {
        self.reset_settings();
        self.discard_temporary_tables();
        self.server.locks.release_session_locks(self.pid());
    }

    pub(super) fn server(&self) -> &Server {
        &self.server
    }

    pub(super) fn temporary_tables(&self) -> &Tables {
        &self.temporary_tables
    }

    pub(super) fn pid(&self) -> u32 {
        self.registration.pid
    }

    pub(super) fn user(&self) -> &str {
        &self.user
    }

    pub(super) fn database(&self) -> &str {
        &self.database
    }

    /// Returns the idle timeout of an open transaction, if there is one.
    pub fn idle_timeout(&self) -> Option<Duration> {
        match self.state() {
            TransactionState::Idle => None,
            _ => self
                .settings
                .duration("idle_in_transaction_session_timeout"),
        }
    }

    /// Returns a new unique key for a row of a table without a primary key.
    ///
    /// Keys start at the current time in microseconds, so that the keys from a new primary are
    /// larger than those from its predecessor.
    pub(super) fn next_hidden_key(&self) -> Value {
        static NEXT: AtomicI64 = AtomicI64::new(0);
        let micros = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .map_or(0, |since| since.as_micros() as i64);
        NEXT.fetch_max(micros, Ordering::Relaxed);
        Value::Int(NEXT.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns the schema of the table that `plan` refers to, or `None` if it refers to none.
    ///
    /// # Errors
    ///
    /// Returns an error when the table doesn't exist.
    pub fn table_schema(&mut self, plan: &Plan) -> Result<Option<Arc<TableSchema>>, SqlError> {
        let Some(name) = plan.table_name() else {
            return Ok(None);
        };
        Ok(Some(self.table(name)?.table.schema))
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        self.fail_transaction();
        self.server.locks.release_session_locks(self.pid());
    }
}

/// The result of a successful statement.
#[derive(Clone, Debug)]
pub struct StatementResult {
    /// The command tag and the rows.
    pub outcome: StatementOutput,
    /// The position of the commit, if the statement was a `COMMIT` of a transaction with changes.
    pub commit_position: Option<Position>,
}
