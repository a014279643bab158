//! A member's part in its group: log, term, fence, role and what reads see of the log.
//!
//! # Invariants
//!
//! Commits, log entries, fences, promotions and changes of the followed primary are decided under one
//! mutex, and each is on disk before it is answered. A fence therefore finds a commit either in the
//! durable log or not yet decided; in the latter case the commit is refused.

pub mod apply;
pub mod control;
pub mod pull;
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
use apply::Applied;
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

/// The largest transaction, in bytes of its encoded changes, so that it fits into one pull.
const ENTRY_MAX_BYTES: usize = 1_000_000;

/// How a member starts when its folder holds nothing yet.
#[derive(Clone, Debug)]
pub struct Bootstrap {
    /// The member's name.
    pub id: MemberId,
    /// The primary of the first term.
    pub primary: Option<MemberId>,
}

/// A member's part in its group.
#[derive(Debug)]
pub struct Replication {
    id: MemberId,
    state: Mutex<State>,
    changed: Condvar,
    snapshot: RwLock<Arc<Snapshot>>,
}

#[derive(Debug)]
struct State {
    hard: HardState,
    file: HardStateFile,
    log: Log,
    applied: Applied,
    last_heard: Instant,
    /// Whether the member was dropped: its files may belong to a successor.
    stopped: bool,
}

impl Replication {
    /// Opens what `folder` holds, or starts in the first term.
    ///
    /// # Errors
    ///
    /// Returns the error of the folder's files.
    pub fn open(folder: Option<&Path>, bootstrap: Bootstrap) -> io::Result<Self> {
        let (file, hard) = HardStateFile::open(folder)?;
        let log = Log::open(folder)?;
        let hard = hard.unwrap_or_else(|| first_hard_state(&bootstrap));
        file.write(&hard)?;
        let mut state = State {
            hard,
            file,
            log,
            applied: Applied::default(),
            last_heard: Instant::now(),
            stopped: false,
        };
        state.applied.catch_up(&state.log);
        if state.leads() && state.log.end().term < state.hard.term && !state.log.is_empty() {
            state.append(Vec::new())?;
        }
        let snapshot = state.applied.snapshot();
        Ok(Self {
            id: bootstrap.id,
            state: Mutex::new(state),
            changed: Condvar::new(),
            snapshot: RwLock::new(snapshot),
        })
    }

    /// Ends the member's threads and refuses every further write.
    pub fn stop(&self) {
        self.lock().stopped = true;
        self.changed.notify_all();
    }

    /// Returns what reads see now.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        let snapshot = self.snapshot.read();
        snapshot.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the term in which the member accepts writes now.
    ///
    /// # Errors
    ///
    /// Returns an error with [`READ_ONLY`] when it accepts none.
    pub fn writable_term(&self) -> Result<Term, SqlError> {
        let state = self.lock();
        state.check_writable(state.hard.term)?;
        Ok(state.hard.term)
    }

    /// Commits a transaction that began to write in `term`.
    ///
    /// The entry is in the durable log, and visible to reads, when this returns its position.
    ///
    /// # Errors
    ///
    /// Returns an error with [`READ_ONLY`] when the member doesn't accept writes of that term any
    /// more. Then nothing was logged.
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

    /// Runs the statements of `schema`, which only create tables, on a primary whose log is empty.
    ///
    /// # Errors
    ///
    /// Returns the error of the first statement that can't be run.
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

    /// Waits until `condition` holds or `wait` has passed, and then reads the state with `read`.
    fn wait_until<T>(
        &self,
        wait: Duration,
        condition: impl Fn(&State) -> bool,
        read: impl FnOnce(&State) -> T,
    ) -> T {
        let state = self.lock();
        let (state, _) = self
            .changed
            .wait_timeout_while(state, wait, |state| !condition(state))
            .unwrap_or_else(PoisonError::into_inner);
        read(&state)
    }

    /// Makes what was applied visible, and wakes everyone who waits for a change.
    fn publish(&self, state: &mut State) {
        let snapshot = state.applied.snapshot();
        *self
            .snapshot
            .write()
            .unwrap_or_else(PoisonError::into_inner) = snapshot;
        self.changed.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn leads(&self) -> bool {
        let is_unfenced = self.hard.fenced_term <= self.hard.term;
        self.hard.role == MemberRole::Primary && is_unfenced && !self.stopped
    }

    fn check_writable(&self, term: Term) -> Result<(), SqlError> {
        if self.leads() && self.hard.term == term {
            return Ok(());
        }
        let reason = match self.hard.role {
            MemberRole::Replica => "this server is a replica; write to the primary",
            MemberRole::Primary if self.hard.term != term => {
                "this server leads another term by now; run the transaction again"
            }
            MemberRole::Primary => "this server is fenced; write to the new primary",
        };
        Err(SqlError::new(READ_ONLY, reason))
    }

    /// Appends an entry of the present term and applies it. Only a primary does this.
    fn append(&mut self, changes: Vec<Change>) -> io::Result<Position> {
        let position = Position {
            term: self.hard.term,
            index: LogIndex::new(self.log.len() as u64 + 1),
        };
        let entry = Arc::new(Entry { position, changes });
        self.log.append(entry)?;
        self.applied.catch_up(&self.log);
        Ok(position)
    }

    /// Replaces the hard state, on disk first.
    fn set_hard(&mut self, hard: HardState) -> io::Result<()> {
        self.file.write(&hard)?;
        self.hard = hard;
        Ok(())
    }
}

fn first_hard_state(bootstrap: &Bootstrap) -> HardState {
    let leads = bootstrap.primary.as_ref() == Some(&bootstrap.id);
    HardState {
        role: if leads {
            MemberRole::Primary
        } else {
            MemberRole::Replica
        },
        term: Term::new(u64::from(bootstrap.primary.is_some())),
        fenced_term: Term::new(0),
        primary: bootstrap.primary.clone(),
    }
}

/// Returns about how many bytes the changes take when encoded.
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
