//! Asynchronous replication: a replica pulls entries from the primary that it follows.

use super::Replication;
use super::State;
use crate::member::storage::log::Entry;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::Position;
use endivereach_core::ids::Term;
use endivereach_wire::http::Client;
use endivereach_wire::member::MemberRole;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// The path of [`Pull`] calls.
pub const PATH_PULL: &str = "/pull";

/// How long a primary holds a pull when it has nothing new. A replica hears from its primary at
/// least this often.
pub const PULL_WAIT: Duration = Duration::from_millis(100);

/// How long a replica waits for an answer beyond [`PULL_WAIT`].
const PULL_TIMEOUT: Duration = Duration::from_millis(900);

/// How long a replica rests after a failed pull.
const RETRY_WAIT: Duration = Duration::from_millis(50);

/// About how many bytes of entries one answer holds at most.
const ANSWER_MAX_BYTES: usize = 1_200_000;

endivereach_core::data! {
    /// Asks the primary of `term` for the entries after `after`. The answer is a [`PullAnswer`].
    pub struct Pull {
        /// The term in which the replica follows.
        pub term: Term,
        /// The end of the replica's log.
        pub after: Position,
    }

    /// What a primary answers.
    pub enum PullAnswer {
        /// The entries that follow, none when the wait ended first.
        Entries {
            /// The entries in their order.
            entries: Vec<Arc<Entry>>,
        },
        /// The primary doesn't have the entry at the end of the replica's log.
        Diverged {
            /// The last position that both logs may have in common.
            common: Position,
        },
        /// The server doesn't lead that term.
        NotPrimary,
    }
}

/// Where the members of a group answer each other. Replaced while the members run.
#[derive(Debug, Default)]
pub struct Peers {
    addrs: Mutex<BTreeMap<MemberId, SocketAddr>>,
}

impl Peers {
    /// Replaces the addresses.
    pub fn set(&self, addrs: BTreeMap<MemberId, SocketAddr>) {
        *self.addrs.lock().unwrap_or_else(PoisonError::into_inner) = addrs;
    }

    fn get(&self, id: &MemberId) -> Option<SocketAddr> {
        let addrs = self.addrs.lock().unwrap_or_else(PoisonError::into_inner);
        addrs.get(id).copied()
    }
}

/// Whom a replica follows.
#[derive(Clone, Debug)]
struct Source {
    term: Term,
    primary: MemberId,
    after: Position,
}

impl Replication {
    /// Answers a replica's pull, waiting up to `wait` for something new.
    pub fn serve_pull(&self, pull: &Pull, wait: Duration) -> PullAnswer {
        let is_ready = |state: &State| !state.serves(pull.term) || state.log.end() != pull.after;
        self.wait_until(wait, is_ready, |state| state.answer_pull(pull))
    }

    /// Pulls once by `ask`, which is told whom to ask, and returns whether there may be more.
    pub fn pull_once(&self, ask: impl FnOnce(&MemberId, &Pull) -> Option<PullAnswer>) -> bool {
        let Some(source) = self.source() else {
            return false;
        };
        let pull = Pull {
            term: source.term,
            after: source.after,
        };
        let Some(answer) = ask(&source.primary, &pull) else {
            return false;
        };
        // What can't be written isn't taken, and is pulled again.
        self.take_answer(&source, answer).unwrap_or(false)
    }

    /// Pulls from whichever primary is followed until the member stops. Runs on a thread of its own.
    pub(crate) fn pull_until_stopped(&self, peers: &Peers) {
        let client = Client::new();
        while !self.lock().stopped {
            let ask = |primary: &MemberId, pull: &Pull| {
                let addr = peers.get(primary)?;
                client
                    .call(addr, PATH_PULL, pull, PULL_WAIT + PULL_TIMEOUT)
                    .ok()
            };
            if !self.pull_once(ask) {
                thread::sleep(RETRY_WAIT);
            }
        }
    }

    fn source(&self) -> Option<Source> {
        let state = self.lock();
        if state.hard.role == MemberRole::Primary || state.hard.fenced_term > state.hard.term {
            return None;
        }
        let primary = state.hard.primary.clone()?;
        Some(Source {
            term: state.hard.term,
            primary,
            after: state.log.end(),
        })
    }

    /// Takes what the primary answered, and returns whether the replica may ask again at once.
    ///
    /// # Invariants
    ///
    /// Nothing is taken once the replica is fenced for a higher term or follows someone else.
    fn take_answer(&self, source: &Source, answer: PullAnswer) -> io::Result<bool> {
        let mut state = self.lock();
        if !state.still_follows(source) {
            return Ok(false);
        }
        match answer {
            PullAnswer::NotPrimary => return Ok(false),
            PullAnswer::Diverged { common } => state.drop_after(common)?,
            PullAnswer::Entries { entries } => {
                for entry in entries {
                    state.log.append(entry)?;
                    state.applied.note_arrival();
                }
            }
        }
        state.last_heard = Instant::now();
        self.apply_due(&mut state);
        self.publish(&mut state);
        Ok(true)
    }
}

impl State {
    fn serves(&self, term: Term) -> bool {
        self.hard.role == MemberRole::Primary && self.hard.term == term
    }

    fn still_follows(&self, source: &Source) -> bool {
        !self.stopped
            && self.hard.role == MemberRole::Replica
            && self.hard.term == source.term
            && self.hard.fenced_term <= source.term
            && self.hard.primary.as_ref() == Some(&source.primary)
            && self.log.end() == source.after
    }

    fn answer_pull(&self, pull: &Pull) -> PullAnswer {
        if !self.serves(pull.term) {
            return PullAnswer::NotPrimary;
        }
        if self.log.position_at(pull.after.index.get()) != Some(pull.after) {
            let common = self.log.last_common_candidate(pull.after);
            return PullAnswer::Diverged { common };
        }
        let mut size_bytes = 0;
        let following = self.log.after(pull.after.index.get() as usize);
        let entries = following
            .iter()
            .take_while(|entry| {
                let is_first = size_bytes == 0;
                size_bytes += super::approximate_size_bytes(&entry.changes) + 1;
                is_first || size_bytes <= ANSWER_MAX_BYTES
            })
            .cloned()
            .collect();
        PullAnswer::Entries { entries }
    }

    /// Drops the entries that the primary can't have: those after `common`, and the one at `common`
    /// when it differs.
    fn drop_after(&mut self, common: Position) -> io::Result<()> {
        let index = common.index.get();
        let count = if self.log.position_at(index) == Some(common) {
            index
        } else {
            index.saturating_sub(1)
        };
        let count = (count as usize).min(self.log.len());
        self.log.truncate(count)?;
        let log = &self.log;
        self.applied.shorten(log);
        Ok(())
    }
}
