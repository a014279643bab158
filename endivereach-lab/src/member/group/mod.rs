//! The replication state of a member: log, term, fence, role, and the applied part of the log.
//!
//! # Invariants
//!
//! One mutex serializes commits, appended log entries, fences, promotions and changes of the
//! followed primary, and each of these is on disk before its response is sent. When a fence takes
//! effect, any commit is therefore either in the durable log already, or hasn't been decided and
//! will be refused.

pub mod apply;
pub mod pull;
pub mod status;
pub mod transitions;

use super::errors::IO_ERROR;
use super::errors::LIMIT_EXCEEDED;
use super::errors::READ_ONLY;
use super::errors::SqlError;
use super::sql::compile::compile;
use super::sql::plan::Plan;
use super::storage::disk::HardState;
use super::storage::disk::HardStateFile;
use super::storage::log::Entry;
use super::storage::log::Log;
use super::storage::table::Change;
use super::storage::table::Snapshot;
use apply::AppliedState;
use endivereach_core::ids::LogIndex;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::Position;
use endivereach_core::ids::Term;
use endivereach_wire::member::MemberRole;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Duration;
use std::time::Instant;

/// The largest approximate size of a transaction's encoded changes, in bytes. It keeps an entry
/// small enough for one pull response.
const ENTRY_MAX_BYTES: usize = 1_000_000;

/// The initial state of a member whose data directory is empty.
#[derive(Clone, Debug)]
pub struct Bootstrap {
    /// The name by which the group identifies the member.
    pub id: MemberId,
    /// The primary of the first term, if it is known at the start.
    pub primary: Option<MemberId>,
}

/// The replication state of a member, shared by its sessions, control calls and threads.
#[derive(Debug)]
pub struct Replication {
    id: MemberId,
    state: Mutex<State>,
    state_changed: Condvar,
    snapshot: RwLock<Arc<Snapshot>>,
}

#[derive(Debug)]
struct State {
    hard_state: HardState,
    hard_state_file: HardStateFile,
    log: Log,
    applied: AppliedState,
    last_primary_contact: Instant,
    /// Whether the member was stopped. A stopped member must not write to its files, because a
    /// restarted member may have opened them.
    stopped: bool,
}

impl Replication {
    /// Opens the files in `data_dir`, or starts in the first term if there are none.
    ///
    /// # Errors
    ///
    /// Returns an error when a file can't be opened, read or written.
    pub fn open(data_dir: Option<&Path>, bootstrap: Bootstrap) -> io::Result<Self> {
        let (hard_state_file, hard_state) = HardStateFile::open(data_dir)?;
        let log = Log::open(data_dir)?;
        let hard_state = hard_state.unwrap_or_else(|| first_hard_state(&bootstrap));
        hard_state_file.write(&hard_state)?;
        let mut state = State {
            hard_state,
            hard_state_file,
            log,
            applied: AppliedState::default(),
            last_primary_contact: Instant::now(),
            stopped: false,
        };
        state.applied.apply_all(&state.log);
        // The process may have ended after it stored its promotion and before it appended the first
        // entry of the term.
        if state.is_active_primary()
            && state.log.last_position().term < state.hard_state.term
            && !state.log.is_empty()
        {
            state.append(Vec::new())?;
        }
        let snapshot = state.applied.snapshot();
        Ok(Self {
            id: bootstrap.id,
            state: Mutex::new(state),
            state_changed: Condvar::new(),
            snapshot: RwLock::new(snapshot),
        })
    }

    /// Stops the replication threads and refuses all further writes.
    pub fn stop(&self) {
        self.lock().stopped = true;
        self.state_changed.notify_all();
    }

    /// Returns the current snapshot for reads.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        let snapshot = self.snapshot.read();
        snapshot.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the term in which the member currently accepts writes.
    ///
    /// # Errors
    ///
    /// Returns an error with [`READ_ONLY`] when the member doesn't accept writes.
    pub fn writable_term(&self) -> Result<Term, SqlError> {
        let state = self.lock();
        state.check_writable(state.hard_state.term)?;
        Ok(state.hard_state.term)
    }

    /// Commits a transaction whose first write was in `term`.
    ///
    /// When this returns a position, the entry at that position is durable and visible to reads.
    ///
    /// # Errors
    ///
    /// Returns an error with [`READ_ONLY`] when the member no longer accepts writes in that term,
    /// and with [`LIMIT_EXCEEDED`] when the transaction is too large. In both cases nothing is
    /// appended to the log. Returns an error with [`IO_ERROR`] when the log can't be written.
    pub fn commit(&self, term: Term, changes: Vec<Change>) -> Result<Position, SqlError> {
        let mut state = self.lock();
        state.check_writable(term)?;
        let size_bytes = approximate_size_bytes(&changes);
        if size_bytes > ENTRY_MAX_BYTES {
            return Err(SqlError::new(
                LIMIT_EXCEEDED,
                format!(
                    "a transaction of about {size_bytes} bytes; write at most {ENTRY_MAX_BYTES}"
                ),
            ));
        }
        let position = state
            .append(changes)
            .map_err(|error| SqlError::new(IO_ERROR, error.to_string()))?;
        self.publish(&mut state);
        Ok(position)
    }

    /// Runs the `CREATE TABLE` statements in `schema` if the member is a primary with an empty log.
    ///
    /// # Errors
    ///
    /// Returns an error when `schema` contains an invalid or different statement, or when the
    /// commit fails.
    pub fn initialize(&self, schema: &str) -> Result<(), SqlError> {
        if !self.lock().log.is_empty() {
            return Ok(());
        }
        let Ok(term) = self.writable_term() else {
            return Ok(());
        };
        let mut changes = Vec::new();
        for plan in compile(schema)? {
            let Plan::CreateTable { schema, .. } = plan else {
                return Err(SqlError::unsupported("a schema with more than tables"));
            };
            changes.push(Change::CreateTable { schema });
        }
        if !changes.is_empty() {
            self.commit(term, changes)?;
        }
        Ok(())
    }

    /// Waits until `condition` is true or `wait` has passed, and then returns the result of `read`
    /// on the state.
    fn wait_until<T>(
        &self,
        wait: Duration,
        condition: impl Fn(&State) -> bool,
        read: impl FnOnce(&State) -> T,
    ) -> T {
        let state = self.lock();
        let (state, _) = self
            .state_changed
            .wait_timeout_while(state, wait, |state| !condition(state))
            .unwrap_or_else(PoisonError::into_inner);
        read(&state)
    }

    /// Makes the applied entries visible to reads, and wakes all threads that wait for a change.
    fn publish(&self, state: &mut State) {
        let snapshot = state.applied.snapshot();
        *self
            .snapshot
            .write()
            .unwrap_or_else(PoisonError::into_inner) = snapshot;
        self.state_changed.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn is_active_primary(&self) -> bool {
        let is_unfenced = self.hard_state.fenced_term <= self.hard_state.term;
        self.hard_state.role == MemberRole::Primary && is_unfenced && !self.stopped
    }

    fn check_writable(&self, term: Term) -> Result<(), SqlError> {
        if self.is_active_primary() && self.hard_state.term == term {
            return Ok(());
        }
        let reason = match self.hard_state.role {
            MemberRole::Replica => "this server is a replica; write to the primary",
            MemberRole::Primary if self.hard_state.term != term => {
                "this server leads another term by now; run the transaction again"
            }
            MemberRole::Primary => "this server is fenced; write to the new primary",
        };
        Err(SqlError::new(READ_ONLY, reason))
    }

    /// Appends an entry in the current term and applies it. Only a primary may append entries this
    /// way; a replica appends the entries that it pulls.
    fn append(&mut self, changes: Vec<Change>) -> io::Result<Position> {
        let position = Position {
            term: self.hard_state.term,
            index: LogIndex::new(self.log.len() as u64 + 1),
        };
        let entry = Arc::new(Entry { position, changes });
        self.log.append(entry)?;
        self.applied.apply_all(&self.log);
        Ok(position)
    }

    /// Replaces the hard state, first on disk and then in memory.
    fn set_hard_state(&mut self, hard_state: HardState) -> io::Result<()> {
        self.hard_state_file.write(&hard_state)?;
        self.hard_state = hard_state;
        Ok(())
    }
}

fn first_hard_state(bootstrap: &Bootstrap) -> HardState {
    let is_primary = bootstrap.primary.as_ref() == Some(&bootstrap.id);
    HardState {
        role: if is_primary {
            MemberRole::Primary
        } else {
            MemberRole::Replica
        },
        term: Term::new(u64::from(bootstrap.primary.is_some())),
        fenced_term: Term::new(0),
        primary: bootstrap.primary.clone(),
    }
}

/// Returns the approximate size of the encoded changes, in bytes.
fn approximate_size_bytes(changes: &[Change]) -> usize {
    const CHANGE_OVERHEAD_BYTES: usize = 64;
    const VALUE_BYTES: usize = 9;
    let size_of_value = |value: &super::storage::value::Value| match value {
        super::storage::value::Value::Text(text) => VALUE_BYTES + text.len(),
        _ => VALUE_BYTES,
    };
    let size_of_change = |change: &Change| match change {
        Change::Put { row, key, .. } => {
            size_of_value(key) + row.iter().map(size_of_value).sum::<usize>()
        }
        _ => 0,
    };
    changes
        .iter()
        .map(|change| CHANGE_OVERHEAD_BYTES + size_of_change(change))
        .sum()
}
