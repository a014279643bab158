//! Writes outside a caller's transaction: with a marker where they may run only once.

use super::attempt::Attempt;
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
use endivereach_core::outcome::Resolution;
use endivereach_core::outcome::Settlement;
use endivereach_core::outcome::WhenNotRun;
use endivereach_core::treatment::Repeat;
use endivereach_core::treatment::StatementKind;
use endivereach_wire::pg::reply::ErrorReply;
use endivereach_wire::pg::tag::status;
use std::thread;
use std::time::Duration;

/// The SQLSTATE of a key that is taken.
pub(crate) const UNIQUE_VIOLATION: &str = "23505";

/// The pause before a write that reached a former primary is sent again.
const NOT_PRIMARY_RETRY_DELAY: Duration = Duration::from_millis(10);

impl<G, S, B> RequestExecution<'_, G, S, B>
where
    G: GroupDirectory,
    S: ClassifierSource,
    B: ConnectionBudget,
{
    /// Runs a write outside any transaction.
    pub(crate) fn run_write(&mut self) -> Result<(), SessionEnd> {
        self.server.counters.writes.add();
        let mut key = self.first_key();
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
                Err(SessionEnd::CallerGone) => return Err(SessionEnd::CallerGone),
                Ok(Attempt::Replied) => {
                    drop(primary);
                    return self.finish(status::IDLE);
                }
                Ok(Attempt::NotInTransaction) => {
                    drop(primary);
                    key = None;
                }
                Ok(Attempt::NotPrimary) => {
                    let member = primary.lease.connection().address.member.clone();
                    drop(primary);
                    self.group().report_silent(&member);
                    self.output.buffer.clear();
                    if !may_wait || self.time_left() < NOT_PRIMARY_RETRY_DELAY {
                        return self.fail(&error_replies::no_primary(), status::IDLE);
                    }
                    thread::sleep(NOT_PRIMARY_RETRY_DELAY);
                }
                Ok(Attempt::InvalidRequest(bad)) => return self.fail_request(bad, status::IDLE),
                Ok(Attempt::NoMarker(reply)) => return self.fail_marker_insert(&reply),
                Ok(Attempt::TimedOut) => return self.fail_unknown(),
                Ok(Attempt::KeyTaken) => {
                    drop(primary);
                    let Some(taken) = key.take() else {
                        return self.fail_unknown();
                    };
                    match self.resolve_outcome(Resolution::of_taken_key(taken), None)? {
                        Some(next) => key = Some(next),
                        None => return Ok(()),
                    }
                }
                Ok(Attempt::Lost { reply }) => {
                    let member = primary.lease.connection().address.member.clone();
                    primary.lease.discard();
                    self.group().report_silent(&member);
                    let Some(lost) = key.take() else {
                        if self.may_repeat() {
                            continue;
                        }
                        return self.fail_unknown();
                    };
                    let resolution = Resolution::of_lost_attempt(lost, self.when_not_run());
                    match self.resolve_outcome(resolution, reply)? {
                        Some(next) => key = Some(next),
                        None => return Ok(()),
                    }
                }
            }
        }
    }

    /// Returns the key of the first attempt, or `None` when the request needs no marker.
    pub(crate) fn first_key(&mut self) -> Option<MarkerKey> {
        let given = self.session.proxy_parameters.request_id.take();
        self.has_caller_request_id = given.is_some();
        let treatment = self.treatment()?;
        let needs_marker = given.is_some() || treatment.hold || treatment.repeat == Repeat::Once;
        if !needs_marker || self.request.kind != StatementKind::Write {
            return None;
        }
        Some(MarkerKey::first(
            given.unwrap_or_else(|| self.new_request_id()),
        ))
    }

    /// Returns an id that no other request has.
    pub(crate) fn new_request_id(&self) -> RequestId {
        let id = &self.server.context.id;
        let text = format!("{}/{}/{}", id.name, id.incarnation, self.record.id);
        RequestId::from(&*text)
    }

    fn when_not_run(&self) -> WhenNotRun {
        if self.is_held_through_failover() {
            WhenNotRun::RunAgain
        } else {
            WhenNotRun::Answer
        }
    }

    /// Returns whether a request whose repetition is harmless is sent once more.
    fn may_repeat(&mut self) -> bool {
        let is_harmless = self
            .treatment()
            .is_some_and(|treatment| treatment.repeat == Repeat::Allowed);
        is_harmless
            && self.request.kind == StatementKind::Write
            && !self.output.is_started
            && !self.time_left().is_zero()
            && self.server.try_spend_retry()
    }

    /// Finds an outcome out. Returns the key under which the request has to run again, or `None`
    /// when the caller has its reply.
    pub(crate) fn resolve_outcome(
        &mut self,
        resolution: Resolution,
        reply: Option<StoredReply>,
    ) -> Result<Option<MarkerKey>, SessionEnd> {
        if self.output.is_started {
            // A part of the first answer was shown, so no other can be given.
            self.fail_unknown()?;
            return Ok(None);
        }
        self.output.buffer.clear();
        match self.resolve(resolution) {
            Ok(key) => {
                self.server.counters.requests_replayed.add();
                Ok(Some(key))
            }
            Err(Settlement::Done { outcome }) => {
                self.server.counters.outcomes_done.add();
                self.reply_to_completed(&outcome, reply)?;
                Ok(None)
            }
            Err(Settlement::NotRun) => {
                self.server.counters.outcomes_not_run.add();
                self.fail(&error_replies::primary_failed(), status::IDLE)?;
                Ok(None)
            }
            Err(Settlement::Unknown) => {
                self.fail_unknown()?;
                Ok(None)
            }
        }
    }

    /// Answers a request that was done: with the answer that came back, the one kept with the
    /// marker, or the one that is certain for the statement.
    fn reply_to_completed(
        &mut self,
        outcome: &str,
        reply: Option<StoredReply>,
    ) -> Result<(), SessionEnd> {
        let known_reply = || {
            let statement = self.request.statement.as_ref()?;
            let command = statement.certain_command.as_deref()?;
            Some(StoredReply::of_command(command))
        };
        let stored = reply
            .or_else(|| StoredReply::of_outcome(outcome))
            .or_else(known_reply);
        match stored {
            Some(stored) => {
                stored.put_reply(self.output.buffer, self.frames, self.request);
                self.finish(status::IDLE)
            }
            None => self.fail(&error_replies::reply_lost(), status::IDLE),
        }
    }

    pub(crate) fn fail_unknown(&mut self) -> Result<(), SessionEnd> {
        self.server.counters.outcomes_unknown.add();
        self.fail(&error_replies::outcome_unknown(), status::IDLE)
    }

    /// The marker could not be written: the transaction was rolled back, and the caller gets the
    /// target's own error.
    fn fail_marker_insert(&mut self, reply: &InternalReply) -> Result<(), SessionEnd> {
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
/// Neither the key nor the outcome can hold a quote: the key is a name and a number, and the
/// outcome is a word or Base64.
pub(crate) fn insert_marker(key: &MarkerKey, outcome: &str) -> String {
    format!("INSERT INTO endivereach_requests (request_id, outcome) VALUES ('{key}', '{outcome}')")
}

/// Returns the statement that reads the outcome stored with a marker.
pub(crate) fn select_marker(key: &MarkerKey) -> String {
    format!("SELECT outcome FROM endivereach_requests WHERE request_id = '{key}'")
}
