//! Reading a member's status and waiting for it to change.

use super::Replication;
use super::State;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::Position;
use endivereach_wire::member::ConnectionCount;
use endivereach_wire::member::MemberRole;
use endivereach_wire::member::MemberStatus;
use endivereach_wire::member::WatchPosition;
use std::time::Duration;

/// The longest time that one watch call waits; longer requests are cut to this.
const WATCH_WAIT_MAX: Duration = Duration::from_secs(60);

impl Replication {
    /// Returns the member's status, which includes the given `connections`.
    pub fn status(&self, connections: Vec<ConnectionCount>) -> MemberStatus {
        self.lock().status(&self.id, connections)
    }

    /// Returns whether the log contains the entry at `position`.
    pub fn contains(&self, position: Position) -> bool {
        let state = self.lock();
        state.log.position_at(position.index.get()) == Some(position)
    }

    /// Waits until the member's log, applied position, term or fence differs from the values in
    /// `watch`, or until the wait times out. Returns the status at that time.
    pub fn watch(
        &self,
        watch: &WatchPosition,
        connections: impl FnOnce() -> Vec<ConnectionCount>,
    ) -> MemberStatus {
        let wait = Duration::from_millis(watch.wait_ms).min(WATCH_WAIT_MAX);
        let has_changed = |state: &State| {
            state.log.last_position() > watch.durable
                || state.applied.position() > watch.applied
                || state.hard_state.term != watch.term
                || state.hard_state.fenced_term != watch.fenced_term
        };
        let read = |state: &State| state.status(&self.id, Vec::new());
        let status = self.wait_until(wait, has_changed, read);
        MemberStatus {
            connections: connections(),
            ..status
        }
    }
}

impl State {
    fn status(&self, id: &MemberId, connections: Vec<ConnectionCount>) -> MemberStatus {
        let primary_silence = match self.hard_state.role {
            MemberRole::Primary => Duration::ZERO,
            MemberRole::Replica => self.last_primary_contact.elapsed(),
        };
        MemberStatus {
            id: id.clone(),
            role: self.hard_state.role,
            term: self.hard_state.term,
            fenced_term: self.hard_state.fenced_term,
            durable: self.log.last_position(),
            applied: self.applied.position(),
            primary_silent_ms: primary_silence.as_millis() as u64,
            connections,
        }
    }
}
