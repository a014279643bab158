//! A member's status and the waits for its changes.

use super::Replication;
use super::State;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::Position;
use endivereach_wire::member::ConnectionCount;
use endivereach_wire::member::MemberRole;
use endivereach_wire::member::MemberStatus;
use endivereach_wire::member::WatchPosition;
use std::time::Duration;

/// The longest wait of one watch.
const WATCH_WAIT_MAX: Duration = Duration::from_secs(60);

impl Replication {
    /// Returns the member's status; `connections` is added to it.
    pub fn status(&self, connections: Vec<ConnectionCount>) -> MemberStatus {
        self.lock().status(&self.id, connections)
    }

    /// Returns whether the log holds the entry at `position`.
    pub fn holds(&self, position: Position) -> bool {
        let state = self.lock();
        state.log.position_at(position.index.get()) == Some(position)
    }

    /// Waits for a change beyond what `watch` names, and returns the status.
    pub fn watch(
        &self,
        watch: &WatchPosition,
        connections: impl FnOnce() -> Vec<ConnectionCount>,
    ) -> MemberStatus {
        let wait = Duration::from_millis(watch.wait_ms).min(WATCH_WAIT_MAX);
        let has_news = |state: &State| {
            state.log.end() > watch.durable
                || state.applied.position() > watch.applied
                || state.hard.term != watch.term
                || state.hard.fenced_term != watch.fenced_term
        };
        let read = |state: &State| state.status(&self.id, Vec::new());
        let status = self.wait_until(wait, has_news, read);
        MemberStatus {
            connections: connections(),
            ..status
        }
    }
}

impl State {
    fn status(&self, id: &MemberId, connections: Vec<ConnectionCount>) -> MemberStatus {
        let silent = match self.hard.role {
            MemberRole::Primary => Duration::ZERO,
            MemberRole::Replica => self.last_heard.elapsed(),
        };
        MemberStatus {
            id: id.clone(),
            role: self.hard.role,
            term: self.hard.term,
            fenced_term: self.hard.fenced_term,
            durable: self.log.end(),
            applied: self.applied.position(),
            primary_silent_ms: silent.as_millis() as u64,
            connections,
        }
    }
}
