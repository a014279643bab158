//! Connections to targets: opened, given back, lost, and what their end means for their owner.

use super::Effect;
use super::Engine;
use super::caller::Stage;
use super::caller::Transaction;
use super::sessions::is_read;
use super::statement::Answer;
use super::statement::Body;
use super::statement::CallerId;
use super::statement::Command;
use super::statement::ConnectionId;
use super::statement::Failure;
use super::statement::Outcome;
use super::statement::SessionState;
use super::target::Expected;
use crate::ids::MemberId;
use std::time::Duration;
use std::time::Instant;

/// How long a target that couldn't be connected to is left alone.
const OPEN_AGAIN_DELAY: Duration = Duration::from_millis(100);

/// How long a target that has no room for another connection isn't asked for one.
const REFUSED_DELAY: Duration = Duration::from_millis(400);

/// How long a connection may take to open before the target counts as failing.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a connection may leave a command unanswered before it is given up.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a connection may leave a statement unanswered that nobody waits for any more.
const ABANDONED_ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a connection beyond the first may rest before others may have it.
const IDLE_CONNECTION_KEPT: Duration = Duration::from_millis(1_500);

impl Engine {
    /// A connection was accepted by its target.
    pub fn target_ready(&mut self, now: Instant, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.is_open = true;
        connection.idle_since = now;
        let group = connection.group.clone();
        if let Some(target) = self.target_of(id) {
            if target.failing_since.is_some() {
                log::info!(target: "belief", "event=target-reachable target={}", target.entry.id);
            }
            target.note_answer(now);
            target.is_lost = false;
        }
        self.dirty.insert(group);
    }

    /// A connection was refused by its target, which is running.
    pub fn target_refused(&mut self, now: Instant, id: ConnectionId, failure: &Failure) {
        if let Some(target) = self.target_of(id) {
            log::info!(
                target: "belief",
                "event=connection-refused target={} reason={failure} held={}",
                target.entry.id,
                target.connections.len()
            );
            target.open_again_at = now + REFUSED_DELAY;
            if *failure != Failure::WrongTarget {
                target.last_answer_at = now;
            }
        }
        self.lose_connection(now, id);
    }

    /// A connection ended, or could not be opened.
    pub fn target_gone(&mut self, now: Instant, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let was_open = connection.is_open;
        if let Some(target) = self.target_of(id) {
            target.is_lost = true;
            if !was_open {
                if target.failing_since.is_none() {
                    log::info!(target: "belief", "event=target-unreachable target={}", target.entry.id);
                }
                target.failing_since.get_or_insert(now);
                target.open_again_at = now + OPEN_AGAIN_DELAY;
            } else {
                log::info!(target: "belief", "event=connection-lost target={}", target.entry.id);
            }
        }
        self.lose_connection(now, id);
    }

    /// Returns a connection to the pool.
    pub(super) fn give_back(&mut self, now: Instant, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.owner = None;
        connection.idle_since = now;
        let group = connection.group.clone();
        if connection.in_transaction {
            self.send(now, id, Command::Rollback, Expected::Rollback);
        }
        self.dirty.insert(group);
    }

    /// Takes a connection from its owner, without more.
    pub(super) fn disown(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.owner = None;
        }
    }

    /// Leaves a statement to run to its end with nobody waiting.
    pub(super) fn abandon(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.owner = None;
        for outstanding in &mut connection.outstanding {
            if outstanding.expected == Expected::Statement {
                outstanding.expected = Expected::Abandoned;
            }
        }
    }

    /// Closes a connection to a target.
    pub(super) fn close_connection(&mut self, now: Instant, id: ConnectionId) {
        if self.connections.contains_key(&id) {
            self.effects.push(Effect::Close { connection: id });
            self.lose_connection(now, id);
        }
    }

    /// Forgets a connection, and finds out what that means for its owner.
    fn lose_connection(&mut self, now: Instant, id: ConnectionId) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        self.dirty.insert(connection.group.clone());
        if let Some(target) = self.targets.get_mut(&connection.member) {
            target.connections.retain(|known| *known != id);
            for outstanding in &connection.outstanding {
                match outstanding.expected {
                    Expected::Status => {
                        target.probes_outstanding = target.probes_outstanding.saturating_sub(1);
                    }
                    Expected::Statement | Expected::Abandoned => {
                        target.in_flight = target.in_flight.saturating_sub(1);
                    }
                    _ => {}
                }
            }
        }
        for outstanding in &connection.outstanding {
            if let Expected::Control(call) = outstanding.expected {
                self.control_answered(now, &connection.member, call, None);
            }
        }
        if let Some(owner) = connection.owner {
            self.owner_lost_connection(now, owner, id, &connection.member);
        }
    }

    fn owner_lost_connection(
        &mut self,
        now: Instant,
        owner: CallerId,
        id: ConnectionId,
        member: &MemberId,
    ) {
        let Some(caller) = self.callers.get_mut(&owner) else {
            return;
        };
        let in_transaction = caller.transaction_connection() == Some(id);
        let Some(pending) = &caller.pending else {
            if in_transaction {
                caller.transaction = Transaction::Failed;
            }
            return;
        };
        let is_commit = pending.statement.body == Body::Commit;
        let is_running = pending.stage == Stage::Running(id);
        let reads = is_read(caller, &pending.statement.body);
        if in_transaction {
            caller.transaction = if is_commit {
                Transaction::None
            } else {
                Transaction::Failed
            };
            let state = caller.state();
            let answer = if is_commit && is_running {
                in_doubt(state)
            } else {
                let message = "the server's connection ended; nothing of the transaction is kept";
                Answer::failed(Failure::Aborted, message, state)
            };
            self.answer(now, owner, answer);
        } else if is_running && !reads {
            self.answer(now, owner, in_doubt(SessionState::Idle));
        } else if is_running || pending.stage == Stage::Preparing(id) {
            self.retry(now, owner, Some(member.clone()));
        }
    }

    /// Gives up connections that are stuck or no longer needed, and repeats what was held back.
    pub(super) fn sweep_connections(&mut self, now: Instant) {
        let mut stuck = Vec::new();
        let mut spare = Vec::new();
        for (id, connection) in &self.connections {
            let waits_for = connection
                .waiting_since()
                .map(|since| now.saturating_duration_since(since));
            let is_abandoned = connection
                .outstanding
                .front()
                .is_some_and(|first| first.expected == Expected::Abandoned);
            let limit = match (connection.is_open, is_abandoned) {
                (false, _) => OPEN_TIMEOUT,
                (true, true) => ABANDONED_ANSWER_TIMEOUT,
                (true, false) => ANSWER_TIMEOUT,
            };
            if waits_for.is_some_and(|time| time >= limit) {
                stuck.push(*id);
            } else if connection.is_idle() && now >= connection.idle_since + IDLE_CONNECTION_KEPT {
                spare.push(*id);
            }
        }
        for id in stuck {
            let was_open = self.connections.get(&id).is_some_and(|c| c.is_open);
            self.effects.push(Effect::Close { connection: id });
            if was_open {
                self.lose_connection(now, id);
            } else {
                self.target_gone(now, id);
            }
        }
        for id in spare {
            let group = self.connections.get(&id).map(|c| c.group.clone());
            let is_kept = group.is_some_and(|group| self.is_served_here(now, &group));
            let is_last = self
                .target_of(id)
                .is_some_and(|target| target.connections.len() <= 1);
            if !(is_last && is_kept) {
                self.close_connection(now, id);
            }
        }
        self.resend_held_back(now);
    }

    /// Sends statements again that their transaction's target was too busy for.
    fn resend_held_back(&mut self, now: Instant) {
        let held_back: Vec<(CallerId, ConnectionId)> = self
            .callers
            .iter()
            .filter_map(|(id, caller)| match caller.pending.as_ref()?.stage {
                Stage::Retrying(connection) => Some((*id, connection)),
                _ => None,
            })
            .collect();
        for (id, connection) in held_back {
            self.send_statement(now, id, connection);
        }
    }
}

fn in_doubt(state: SessionState) -> Answer {
    Answer {
        rows: Vec::new(),
        outcome: Outcome::Failed {
            failure: Failure::InDoubt,
            message:
                "the server's connection ended before its answer; look whether the change is there"
                    .into(),
        },
        state,
        position: None,
    }
}
