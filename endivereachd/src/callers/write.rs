//! Writes outside a caller's transaction, with a marker row where they must be executed at most
//! once.

use super::attempt::AttemptResult;
use super::error_replies;
use super::local_reply::StoredReply;
use super::run::RequestExecution;
use super::run::SessionEnd;
use super::traits::ClassifierSource;
use super::traits::GroupDirectory;
use super::traits::GroupState;
use crate::targets::ConnectionBudget;
use crate::targets::InternalReply;
use endivereach_core::ids::RequestId;
use endivereach_core::outcome::MarkerKey;
use endivereach_core::outcome::RequestOutcome;
use endivereach_core::outcome::Resolution;
use endivereach_core::outcome::WhenNotRun;
use endivereach_core::treatment::Repeat;
use endivereach_core::treatment::StatementKind;
use endivereach_wire::pg::reply::ErrorReply;
use endivereach_wire::pg::tag::status;
use std::thread;
use std::time::Duration;

/// The SQLSTATE of an insert whose unique key exists already.
pub(crate) const UNIQUE_VIOLATION: &str = "23505";

/// The delay before a write that reached a former primary is retried.
const NOT_PRIMARY_RETRY_DELAY: Duration = Duration::from_millis(10);

impl<G, S, B> RequestExecution<'_, G, S, B>
where
    G: GroupDirectory,
    S: ClassifierSource,
    B: ConnectionBudget,
{
    /// Executes a write outside any transaction.
    pub(crate) fn run_write(&mut self) -> Result<(), SessionEnd> {
        self.server.counters.writes.increment();
        let mut key = self.first_marker_key();
        let may_wait = self.is_held_through_failover();
        let mut attempt_number = 0;
        loop {
            attempt_number += 1;
            let mut primary = match self.lease_primary(may_wait) {
                Ok(primary) => primary,
                Err(error) => return self.fail(&error, status::IDLE),
            };
            let silence_timeout = self.write_silence_timeout(attempt_number);
            let attempt = match &key {
                Some(key) => self.attempt_with_marker(&mut primary, key, silence_timeout),
                None => self.attempt_without_marker(&mut primary, silence_timeout),
            };
            match attempt {
                Err(SessionEnd::CallerDisconnected) => return Err(SessionEnd::CallerDisconnected),
                Ok(AttemptResult::Replied) => {
                    drop(primary);
                    return self.finish(status::IDLE);
                }
                Ok(AttemptResult::NotInTransaction) => {
                    drop(primary);
                    key = None;
                }
                Ok(AttemptResult::NotPrimary) => {
                    let member = primary.lease.connection().address.member.clone();
                    drop(primary);
                    self.group().report_unresponsive(&member);
                    self.output.buffer.clear();
                    if !may_wait || self.time_left() < NOT_PRIMARY_RETRY_DELAY {
                        return self.fail(&error_replies::no_primary(), status::IDLE);
                    }
                    thread::sleep(NOT_PRIMARY_RETRY_DELAY);
                }
                Ok(AttemptResult::InvalidRequest(request_error)) => {
                    return self.fail_request(request_error, status::IDLE);
                }
                Ok(AttemptResult::RolledBack(reply)) => return self.fail_rolled_back(&reply),
                Ok(AttemptResult::TimedOut) => return self.fail_with_unknown_outcome(),
                Ok(AttemptResult::KeyTaken) => {
                    drop(primary);
                    let Some(existing_key) = key.take() else {
                        return self.fail_with_unknown_outcome();
                    };
                    match self.resolve_outcome(Resolution::of_taken_key(existing_key), None)? {
                        Some(next_key) => key = Some(next_key),
                        None => return Ok(()),
                    }
                }
                Ok(AttemptResult::Lost { reply }) => {
                    let member = primary.lease.connection().address.member.clone();
                    primary.lease.discard();
                    self.group().report_unresponsive(&member);
                    let Some(lost_key) = key.take() else {
                        if self.may_repeat() {
                            continue;
                        }
                        return self.fail_with_unknown_outcome();
                    };
                    let resolution = Resolution::of_lost_attempt(lost_key, self.when_not_run());
                    match self.resolve_outcome(resolution, reply)? {
                        Some(next_key) => key = Some(next_key),
                        None => return Ok(()),
                    }
                }
            }
        }
    }

    /// Returns the marker key of the first attempt, or `None` when the request needs no marker.
    pub(crate) fn first_marker_key(&mut self) -> Option<MarkerKey> {
        let caller_request_id = self.session.proxy_parameters.request_id.take();
        self.has_caller_request_id = caller_request_id.is_some();
        let treatment = self.treatment()?;
        let needs_marker = caller_request_id.is_some()
            || treatment.wait_for_primary
            || treatment.repeat == Repeat::Never;
        if !needs_marker || self.request.kind != StatementKind::Write {
            return None;
        }
        Some(MarkerKey::first(
            caller_request_id.unwrap_or_else(|| self.new_request_id()),
        ))
    }

    /// Returns a request ID that is unique among all proxies.
    pub(crate) fn new_request_id(&self) -> RequestId {
        let id = &self.server.context.id;
        let text = format!("{}/{}/{}", id.name, id.incarnation, self.record.id);
        RequestId::from(&*text)
    }

    fn when_not_run(&self) -> WhenNotRun {
        if self.is_held_through_failover() {
            WhenNotRun::Retry
        } else {
            WhenNotRun::Answer
        }
    }

    /// Returns whether a request without a marker is sent once more: its treatment allows
    /// repetition, no part of a reply was sent, and the deadline and the retry budget permit it.
    fn may_repeat(&mut self) -> bool {
        let allows_repetition = self
            .treatment()
            .is_some_and(|treatment| treatment.repeat == Repeat::Allowed);
        allows_repetition
            && self.request.kind == StatementKind::Write
            && !self.output.is_started
            && !self.time_left().is_zero()
            && self.server.try_withdraw_retry()
    }

    /// Determines the outcome of a request. Returns the marker key with which the request must be
    /// executed again, or `None` when a reply or an error was sent to the caller.
    pub(crate) fn resolve_outcome(
        &mut self,
        resolution: Resolution,
        reply: Option<StoredReply>,
    ) -> Result<Option<MarkerKey>, SessionEnd> {
        if self.output.is_started {
            // A part of the first attempt's reply was sent, so no other reply can be sent.
            self.fail_with_unknown_outcome()?;
            return Ok(None);
        }
        self.output.buffer.clear();
        match self.resolve(resolution) {
            Ok(key) => {
                self.server.counters.requests_replayed.increment();
                Ok(Some(key))
            }
            Err(RequestOutcome::Done { outcome }) => {
                self.server.counters.outcomes_done.increment();
                self.reply_to_completed(&outcome, reply)?;
                Ok(None)
            }
            Err(RequestOutcome::NotRun) => {
                self.server.counters.outcomes_not_run.increment();
                self.fail(&error_replies::primary_failed(), status::IDLE)?;
                Ok(None)
            }
            Err(RequestOutcome::Unknown) => {
                self.fail_with_unknown_outcome()?;
                Ok(None)
            }
        }
    }

    /// Replies to a request that was committed: with the reply that the target sent, the one stored
    /// in the marker, or the one that the statement's text determines.
    fn reply_to_completed(
        &mut self,
        outcome: &str,
        reply: Option<StoredReply>,
    ) -> Result<(), SessionEnd> {
        let known_reply = || {
            let statement = self.request.statement.as_ref()?;
            let command = statement.command_tag_from_text.as_deref()?;
            Some(StoredReply::from_command(command))
        };
        let stored = reply
            .or_else(|| StoredReply::from_outcome(outcome))
            .or_else(known_reply);
        match stored {
            Some(stored) => {
                stored.put_reply(self.output.buffer, self.frames, self.request);
                self.finish(status::IDLE)
            }
            None => self.fail(&error_replies::reply_lost(), status::IDLE),
        }
    }

    pub(crate) fn fail_with_unknown_outcome(&mut self) -> Result<(), SessionEnd> {
        self.server.counters.outcomes_unknown.increment();
        self.fail(&error_replies::outcome_unknown(), status::IDLE)
    }

    /// Replies to a request whose marker insert or commit failed, so that its transaction was
    /// rolled back. The caller receives the target's error.
    fn fail_rolled_back(&mut self, reply: &InternalReply) -> Result<(), SessionEnd> {
        let Some(frame) = &reply.error_frame else {
            let error = ErrorReply::new(
                "40000",
                "the target rolled the transaction back at its commit",
                "Repeat the request.",
            );
            return self.fail(&error, status::IDLE);
        };
        self.output.buffer.clear();
        self.output.buffer.extend_from_slice(frame);
        self.record.sqlstate = reply.sqlstate.clone().unwrap_or_default();
        self.finish(status::IDLE)
    }
}

/// Returns the statement that inserts a marker or a tombstone.
///
/// Neither the key nor the outcome can contain a quote: the key consists of a name and a number,
/// and the outcome of a word and Base64 text.
pub(crate) fn insert_marker(key: &MarkerKey, outcome: &str) -> String {
    format!("INSERT INTO endivereach_requests (request_id, outcome) VALUES ('{key}', '{outcome}')")
}

/// Returns the statement that reads the outcome stored with a marker.
pub(crate) fn select_marker(key: &MarkerKey) -> String {
    format!("SELECT outcome FROM endivereach_requests WHERE request_id = '{key}'")
}
