//! Answers of targets as they arrive: matching them to commands, and what follows where that isn't
//! possible.

use super::Engine;
use super::outstanding::CommandKind;
use super::outstanding::Match;
use super::outstanding::MatchContext;
use super::sessions::is_read;
use super::statement::Answer;
use super::statement::Command;
use super::statement::ConnectionId;
use super::statement::TargetStatus;
use crate::ids::MemberId;
use crate::logfmt::LogValue;
use std::time::Duration;
use std::time::Instant;

/// How long after a repeated answer others are expected.
const REPETITION_EXPECTED_FOR: Duration = Duration::from_secs(60);

impl Engine {
    /// Processes a target's answer to one of the outstanding commands of a connection.
    pub fn target_reply(
        &mut self,
        now: Instant,
        id: ConnectionId,
        answer: Answer,
        status: Option<TargetStatus>,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if let Some(target) = self.targets.get_mut(&connection.member) {
            target.record_answer(now);
        }
        let member = connection.member.clone();
        if connection.outstanding.record_answer(now, answer, status) {
            self.process_answers(now, id);
        } else {
            self.record_repeated_answer(now, id, &member);
        }
    }

    /// Processes the answers of a connection that can be matched to their commands.
    fn process_answers(&mut self, now: Instant, id: ConnectionId) {
        loop {
            let are_answers_repeated = self.are_answers_repeated(now);
            let is_write = self.is_write_running(id);
            let Some(connection) = self.connections.get_mut(&id) else {
                return;
            };
            let context = MatchContext {
                are_answers_repeated,
                is_write,
                in_transaction: connection.in_transaction,
            };
            match connection.outstanding.next_match(now, context) {
                Match::Answered(answered) => self.command_answered(now, id, answered),
                Match::Held => {
                    self.counters.held_failures += 1;
                    connection.session_values.clear();
                    connection.prepared.clear();
                    self.send(now, id, Command::Reset, CommandKind::Sync);
                }
                Match::Unproved => {
                    self.counters.unproved_answers += 1;
                    log::info!(
                        target: "belief",
                        "event=answer-unproved target={} connection={id} oldest={:?}",
                        LogValue(&connection.member),
                        connection.outstanding.oldest().map(|oldest| &oldest.kind)
                    );
                    self.drop_connection(now, id);
                    return;
                }
                Match::Incomplete => {
                    if connection.outstanding.has_unmatched_answer() {
                        self.counters.unmatched_answers += 1;
                        log::info!(
                            target: "request",
                            "event=answer-unmatched target={} connection={id} oldest={:?} commands={}",
                            LogValue(&connection.member),
                            connection.outstanding.oldest().map(|oldest| &oldest.kind),
                            connection.outstanding.len()
                        );
                    }
                    return;
                }
                Match::Unexpected => {
                    let member = connection.member.clone();
                    self.record_repeated_answer(now, id, &member);
                    self.drop_connection(now, id);
                    return;
                }
                Match::Mismatch => {
                    self.counters.mismatched_answers += 1;
                    log::warn!(
                        target: "belief",
                        "event=answer-of-another target={} connection={id}",
                        LogValue(&connection.member)
                    );
                    self.drop_connection(now, id);
                    return;
                }
            }
        }
    }

    /// Returns whether a command of a connection hasn't been answered.
    pub fn expects_answer(&self, id: ConnectionId) -> bool {
        let connection = self.connections.get(&id);
        connection.is_some_and(|connection| !connection.outstanding.is_empty())
    }

    /// Closes a connection on which a part of an answer arrived while no command was outstanding. The
    /// answer may be cut off, so its end isn't waited for.
    pub fn unexpected_message(&mut self, now: Instant, id: ConnectionId) {
        if let Some(connection) = self.connections.get(&id) {
            let member = connection.member.clone();
            self.record_repeated_answer(now, id, &member);
            self.drop_connection(now, id);
        }
    }

    fn record_repeated_answer(&mut self, now: Instant, id: ConnectionId, member: &MemberId) {
        self.answer_repeated_at = Some(now);
        self.counters.repeated_answers += 1;
        log::warn!(
            target: "belief",
            "event=answer-repeated target={} connection={id}",
            LogValue(member)
        );
    }

    /// Returns whether a target has repeated an answer lately.
    pub(super) fn are_answers_repeated(&self, now: Instant) -> bool {
        let repeated_at = self.answer_repeated_at;
        repeated_at.is_some_and(|at| now < at + REPETITION_EXPECTED_FOR)
    }

    /// Returns whether the owner of a connection waits for the answer to a write or a commit.
    fn is_write_running(&self, id: ConnectionId) -> bool {
        let owner = self.connections.get(&id).and_then(|c| c.owner);
        let Some(caller) = owner.and_then(|owner| self.callers.get(&owner)) else {
            return false;
        };
        let pending = caller.pending.as_ref();
        pending.is_some_and(|pending| !is_read(caller, &pending.statement.body))
    }
}
