//! Connections to targets: opening, release, timeouts, and the effect of a lost connection on its
//! owner.

use super::Effect;
use super::Engine;
use super::caller::Stage;
use super::caller::Transaction;
use super::outstanding::CommandKind;
use super::sessions::is_read;
use super::statement::Answer;
use super::statement::Body;
use super::statement::CallerId;
use super::statement::Command;
use super::statement::ConnectionId;
use super::statement::Failure;
use super::statement::Outcome;
use super::statement::SessionState;
use super::target::Connection;
use super::tenant_connections::IDLE_TIMEOUT_MIN;
use crate::ids::MemberId;
use crate::logfmt::LogValue;
use std::time::Duration;
use std::time::Instant;

/// The delay before the next connection attempt to a target that couldn't be connected to.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// The delay before the next connection attempt to a target that refused a connection, as it does
/// at its connection limit.
const REFUSED_RECONNECT_DELAY: Duration = Duration::from_millis(400);

/// The timeout for opening a connection, after which the target counts as failing.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// The timeout of a command, after which its connection is closed.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// The timeout of a statement whose caller no longer waits for it, after which its connection is
/// closed.
const ABANDONED_ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a connection may be idle before it is closed, so that other processes can use the
/// target's connection slot. The last connection to a target stays open while the group is active.
/// With tenants, the timeout depends on the number of the target's connections, and only the homes of
/// a group keep a last connection: every process that is the home of a tenant would keep one.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_millis(1_500);

impl Engine {
    /// Marks a connection as open after its target accepted it.
    pub fn target_ready(&mut self, now: Instant, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.is_open = true;
        connection.opened_at = now;
        connection.idle_since = now;
        connection.used_at = now;
        let opening_time = now.saturating_duration_since(connection.opening_began_at);
        let group = connection.group.clone();
        if let Some(target) = self.target_of(id) {
            target.record_opening_time(opening_time);
            if target.failing_since.is_some() {
                log::info!(target: "belief", "event=target-reachable target={}", LogValue(&target.entry.id));
            }
            target.record_answer(now);
            target.continuity.record_contact(now);
            target.was_disconnected = false;
        }
        self.changed_groups.insert(group);
    }

    /// Removes a connection that its target refused. The target is running.
    pub fn target_refused(&mut self, now: Instant, id: ConnectionId, failure: &Failure) {
        let has_tenants = self.has_tenants();
        self.counters.connections_refused += 1;
        if let Some(target) = self.target_of(id) {
            log::info!(
                target: "belief",
                "event=connection-refused target={} reason={} held={}",
                LogValue(&target.entry.id),
                LogValue(failure),
                target.connections.len()
            );
            if has_tenants && *failure == Failure::TooManyConnections {
                target.record_refusal(now);
            } else {
                target.reconnect_at = now + REFUSED_RECONNECT_DELAY;
            }
            if *failure != Failure::WrongTarget {
                target.last_answer_at = now;
            }
        }
        let member = self.connections.get(&id).map(|c| c.member.clone());
        self.remove_connection(now, id);
        if *failure == Failure::WrongTarget
            && let Some(member) = member
        {
            self.record_loss_of_contact(&member);
        }
    }

    /// Removes a connection that ended or couldn't be opened.
    pub fn target_disconnected(&mut self, now: Instant, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let was_open = connection.is_open;
        let member = connection.member.clone();
        if let Some(target) = self.target_of(id) {
            target.was_disconnected = true;
            if !was_open {
                if target.failing_since.is_none() {
                    log::info!(target: "belief", "event=target-unreachable target={}", LogValue(&target.entry.id));
                }
                target.failing_since.get_or_insert(now);
                target.reconnect_at = now + RECONNECT_DELAY;
            } else {
                log::info!(target: "belief", "event=connection-lost target={}", LogValue(&target.entry.id));
            }
        }
        self.remove_connection(now, id);
        self.record_loss_of_contact(&member);
    }

    /// Records that a target may have restarted, unless another connection to it is still open. A
    /// single connection also ends at the target's connection limit.
    fn record_loss_of_contact(&mut self, member: &MemberId) {
        let Some(target) = self.targets.get_mut(member) else {
            return;
        };
        let is_open = |id: &ConnectionId| self.connections.get(id).is_some_and(|c| c.is_open);
        if !target.connections.iter().any(is_open) {
            target.continuity.record_loss();
        }
    }

    /// Returns a connection to the pool, and rolls back its transaction if one is open.
    pub(super) fn release_connection(&mut self, now: Instant, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.owner = None;
        connection.idle_since = now;
        let group = connection.group.clone();
        let in_transaction = connection.in_transaction;
        let has_failed = connection.outstanding.has_failed();
        self.record_hold(now, id);
        if has_failed && self.are_answers_repeated(now) {
            self.replace_connection(now, id);
            return;
        }
        if in_transaction {
            self.send(now, id, Command::Rollback, CommandKind::Rollback);
        }
        self.changed_groups.insert(group);
    }

    /// Clears the owner of a connection, without releasing the connection to the pool.
    pub(super) fn clear_owner(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.owner = None;
        }
    }

    /// Clears the owner of a connection whose statement is still running. The statement's answer is
    /// discarded.
    pub(super) fn abandon_statement(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.owner = None;
        connection.outstanding.abandon_statement();
    }

    /// Closes a connection to a target.
    pub(super) fn close_connection(&mut self, now: Instant, id: ConnectionId) {
        if self.connections.contains_key(&id) {
            self.effects.push(Effect::Close { connection: id });
            self.remove_connection(now, id);
        }
    }

    /// Closes a connection on which answers can't be matched any more. Unlike with one that was idle
    /// for long, its target may restart unnoticed before the next one is opened.
    pub(super) fn drop_connection(&mut self, now: Instant, id: ConnectionId) {
        let member = self.connections.get(&id).map(|c| c.member.clone());
        self.close_connection(now, id);
        if let Some(member) = member {
            self.record_loss_of_contact(&member);
        }
    }

    /// Replaces a connection on which a command has failed, because the next failure on it couldn't be
    /// told from a repetition.
    pub(super) fn replace_connection(&mut self, now: Instant, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let (member, tenant) = (connection.member.clone(), connection.tenant.clone());
        self.drop_connection(now, id);
        self.open_if_allowed(now, &member, tenant.as_ref());
    }

    /// Removes a connection, and fails or retries its outstanding commands and its owner's
    /// statement.
    fn remove_connection(&mut self, now: Instant, id: ConnectionId) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        self.changed_groups.insert(connection.group.clone());
        if let Some(target) = self.targets.get_mut(&connection.member) {
            target.connections.retain(|known| *known != id);
            let is_statement = |kind: &CommandKind| {
                matches!(kind, CommandKind::Statement | CommandKind::Abandoned)
            };
            let outstanding = connection.outstanding.iter();
            let statements = outstanding.filter(|command| is_statement(&command.kind));
            target.in_flight = target.in_flight.saturating_sub(statements.count() as u32);
        }
        for outstanding in connection.outstanding.iter() {
            if let CommandKind::Control(call) = outstanding.kind {
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
                in_doubt_answer(state)
            } else {
                let message = "the server's connection ended; nothing of the transaction is kept";
                Answer::failed(Failure::Aborted, message, state)
            };
            self.answer(now, owner, answer);
        } else if is_running && !reads {
            self.answer(now, owner, in_doubt_answer(SessionState::Idle));
        } else if is_running || pending.stage == Stage::Preparing(id) {
            self.retry(now, owner, Some(member.clone()));
        }
    }

    /// Closes connections that timed out or have been idle for too long, and resends the statements
    /// that are to be retried.
    pub(super) fn check_connections(&mut self, now: Instant) {
        let mut timed_out = Vec::new();
        let mut idle_too_long = Vec::new();
        let mut status_needed = Vec::new();
        let has_tenants = self.has_tenants();
        for (id, connection) in &self.connections {
            let waiting_time = connection
                .waiting_since()
                .map(|since| now.saturating_duration_since(since));
            let is_abandoned = connection
                .outstanding
                .oldest()
                .is_some_and(|oldest| oldest.kind == CommandKind::Abandoned);
            let limit = match (connection.is_open, is_abandoned) {
                (false, _) => OPEN_TIMEOUT,
                (true, true) => ABANDONED_ANSWER_TIMEOUT,
                (true, false) => ANSWER_TIMEOUT,
            };
            if waiting_time.is_some_and(|time| time >= limit) {
                timed_out.push(*id);
            } else if !connection.is_idle() {
                continue;
            } else if has_tenants {
                match self.tenant_idle_timeout(now, connection) {
                    Some(timeout) if now >= connection.used_at + timeout => {
                        idle_too_long.push(*id);
                    }
                    None if now >= connection.used_at + IDLE_TIMEOUT_MIN
                        && !self.is_kept(now, connection) =>
                    {
                        status_needed.push(connection.member.clone());
                    }
                    _ => {}
                }
            } else if now >= connection.idle_since + IDLE_CONNECTION_TIMEOUT {
                idle_too_long.push(*id);
            }
        }
        for id in timed_out {
            let Some(connection) = self.connections.get(&id) else {
                continue;
            };
            let (was_open, member) = (connection.is_open, connection.member.clone());
            self.effects.push(Effect::Close { connection: id });
            if was_open {
                self.remove_connection(now, id);
                self.record_loss_of_contact(&member);
            } else {
                self.target_disconnected(now, id);
            }
        }
        for id in idle_too_long {
            let connection = self.connections.get(&id);
            if connection.is_some_and(|connection| !self.is_kept(now, connection)) {
                self.close_connection(now, id);
            }
        }
        for member in status_needed {
            self.probe(now, &member, now);
        }
        self.remove_old_usage(now);
        self.resend_retrying_statements(now);
    }

    /// Returns whether a connection stays open however long it is idle, as the last one to its
    /// target.
    fn is_kept(&self, now: Instant, connection: &Connection) -> bool {
        let target = self.targets.get(&connection.member);
        let is_last = target.is_some_and(|target| target.connections.len() <= 1);
        let group = self.groups.get(&connection.group);
        let is_home = group.is_some_and(|group| group.is_home);
        is_last && self.is_active(now, &connection.group) && (is_home || !self.has_tenants())
    }

    /// Sends again the statements in transactions that their target was too busy to run.
    fn resend_retrying_statements(&mut self, now: Instant) {
        let retrying: Vec<(CallerId, ConnectionId)> = self
            .callers
            .iter()
            .filter_map(|(id, caller)| match caller.pending.as_ref()?.stage {
                Stage::Retrying(connection) => Some((*id, connection)),
                _ => None,
            })
            .collect();
        for (id, connection) in retrying {
            self.send_statement(now, id, connection);
        }
    }
}

fn in_doubt_answer(state: SessionState) -> Answer {
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
