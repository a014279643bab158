//! Asynchronous replication: a replica pulls log entries from the primary that it follows.

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

/// The path of the control call whose request is a [`Pull`].
pub const PATH_PULL: &str = "/pull";

/// How long a primary delays its response to a pull while it has no new entries. This bounds the
/// interval between two responses that a connected replica receives.
pub const PULL_WAIT: Duration = Duration::from_millis(100);

/// The time beyond [`PULL_WAIT`] after which a replica's pull times out.
const PULL_TIMEOUT_MARGIN: Duration = Duration::from_millis(900);

/// The delay between a failed pull and the next one.
const PULL_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The approximate maximum size of the entries in one response, in bytes. The first entry is
/// always included.
const RESPONSE_MAX_BYTES: usize = 1_200_000;

endivereach_core::data! {
    /// Requests the log entries after `after` from the primary of `term`. The response is a
    /// [`PullResponse`].
    pub struct Pull {
        /// The term in which the replica follows the primary.
        pub term: Term,
        /// The position of the last entry in the replica's log.
        pub after: Position,
    }

    /// The response to a [`Pull`].
    pub enum PullResponse {
        /// The next entries; empty when the primary had none before the wait timed out.
        Entries {
            /// The entries in log order.
            entries: Vec<Arc<Entry>>,
        },
        /// The primary's log doesn't contain the last entry of the replica's log.
        Diverged {
            /// The last position at which both logs can agree.
            common: Position,
        },
        /// The member isn't the primary of the requested term.
        NotPrimary,
    }
}

/// The control addresses of a group's members. They can be replaced while the members run.
#[derive(Debug, Default)]
pub struct Peers {
    addrs: Mutex<BTreeMap<MemberId, SocketAddr>>,
}

impl Peers {
    /// Replaces all addresses.
    pub fn set(&self, addrs: BTreeMap<MemberId, SocketAddr>) {
        *self.addrs.lock().unwrap_or_else(PoisonError::into_inner) = addrs;
    }

    fn get(&self, id: &MemberId) -> Option<SocketAddr> {
        let addrs = self.addrs.lock().unwrap_or_else(PoisonError::into_inner);
        addrs.get(id).copied()
    }
}

/// The primary that a replica follows, and the position from which it pulls.
#[derive(Clone, Debug)]
struct PullSource {
    term: Term,
    primary: MemberId,
    after: Position,
}

impl Replication {
    /// Returns the response to a replica's pull, after waiting up to `wait` for new entries.
    pub fn serve_pull(&self, pull: &Pull, wait: Duration) -> PullResponse {
        let has_response = |state: &State| {
            !state.is_primary_in(pull.term) || state.log.last_position() != pull.after
        };
        self.wait_until(wait, has_response, |state| state.pull_response(pull))
    }

    /// Pulls once. `send` sends the request to the given primary and returns the response, or
    /// `None` if there was none. Returns whether the next pull may follow without a delay.
    pub fn pull_once(&self, send: impl FnOnce(&MemberId, &Pull) -> Option<PullResponse>) -> bool {
        let Some(pull_source) = self.pull_source() else {
            return false;
        };
        let pull = Pull {
            term: pull_source.term,
            after: pull_source.after,
        };
        let Some(response) = send(&pull_source.primary, &pull) else {
            return false;
        };
        // Entries that can't be written to the log aren't appended, so the next pull requests them
        // again.
        self.apply_response(&pull_source, response).unwrap_or(false)
    }

    /// Pulls from the followed primary until the member stops. Runs on a dedicated thread.
    pub(crate) fn pull_until_stopped(&self, peers: &Peers) {
        let client = Client::new();
        while !self.lock().stopped {
            let send = |primary: &MemberId, pull: &Pull| {
                let addr = peers.get(primary)?;
                client
                    .call(addr, PATH_PULL, pull, PULL_WAIT + PULL_TIMEOUT_MARGIN)
                    .ok()
            };
            if !self.pull_once(send) {
                thread::sleep(PULL_RETRY_DELAY);
            }
        }
    }

    fn pull_source(&self) -> Option<PullSource> {
        let state = self.lock();
        if state.hard_state.role == MemberRole::Primary
            || state.hard_state.fenced_term > state.hard_state.term
        {
            return None;
        }
        let primary = state.hard_state.primary.clone()?;
        Some(PullSource {
            term: state.hard_state.term,
            primary,
            after: state.log.last_position(),
        })
    }

    /// Applies the primary's response to the log. Returns whether the next pull may follow without
    /// a delay.
    ///
    /// # Invariants
    ///
    /// The log stays unchanged if, since the request, the replica was fenced for a higher term,
    /// changed its term, role or primary, or its log changed.
    fn apply_response(&self, pull_source: &PullSource, response: PullResponse) -> io::Result<bool> {
        let mut state = self.lock();
        if !state.is_unchanged_since(pull_source) {
            return Ok(false);
        }
        match response {
            PullResponse::NotPrimary => return Ok(false),
            PullResponse::Diverged { common } => state.truncate_after(common)?,
            PullResponse::Entries { entries } => {
                for entry in entries {
                    state.log.append(entry)?;
                    state.applied.record_arrival();
                }
            }
        }
        state.last_primary_contact = Instant::now();
        self.apply_due(&mut state);
        self.publish(&mut state);
        Ok(true)
    }
}

impl State {
    fn is_primary_in(&self, term: Term) -> bool {
        self.hard_state.role == MemberRole::Primary && self.hard_state.term == term
    }

    fn is_unchanged_since(&self, pull_source: &PullSource) -> bool {
        !self.stopped
            && self.hard_state.role == MemberRole::Replica
            && self.hard_state.term == pull_source.term
            && self.hard_state.fenced_term <= pull_source.term
            && self.hard_state.primary.as_ref() == Some(&pull_source.primary)
            && self.log.last_position() == pull_source.after
    }

    fn pull_response(&self, pull: &Pull) -> PullResponse {
        if !self.is_primary_in(pull.term) {
            return PullResponse::NotPrimary;
        }
        if self.log.position_at(pull.after.index.get()) != Some(pull.after) {
            let common = self.log.last_common_candidate(pull.after);
            return PullResponse::Diverged { common };
        }
        let mut size_bytes = 0;
        let following = self.log.entries_after(pull.after.index.get() as usize);
        let entries = following
            .iter()
            .take_while(|entry| {
                let is_first = size_bytes == 0;
                size_bytes += super::approximate_size_bytes(&entry.changes) + 1;
                is_first || size_bytes <= RESPONSE_MAX_BYTES
            })
            .cloned()
            .collect();
        PullResponse::Entries { entries }
    }

    /// Removes the entries that differ from the primary's log: those after `common`, and the entry
    /// at the index of `common` if its term differs.
    fn truncate_after(&mut self, common: Position) -> io::Result<()> {
        let index = common.index.get();
        let count = if self.log.position_at(index) == Some(common) {
            index
        } else {
            index.saturating_sub(1)
        };
        let count = (count as usize).min(self.log.len());
        self.log.truncate(count)?;
        let log = &self.log;
        self.applied.revert_truncated(log);
        Ok(())
    }
}
