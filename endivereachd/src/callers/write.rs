//! Writes outside a caller's transaction: with a marker where they may run only once.

use super::attempt::Attempt;
use super::refusal;
use super::replay::KeptAnswer;
use super::run::End;
use super::run::Run;
use super::seam::ClassifierSource;
use super::seam::GroupDirectory;
use super::seam::GroupState;
use crate::targets::ConnectionBudget;
use crate::targets::OwnAnswer;
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
pub(crate) const KEY_TAKEN: &str = "23505";

/// The pause before a write that reached a former primary is sent again.
const NOT_PRIMARY_PAUSE: Duration = Duration::from_millis(10);

impl<G, S, B> Run<'_, G, S, B>
where
    G: GroupDirectory,
    S: ClassifierSource,
    B: ConnectionBudget,
{
    /// Runs a write outside any transaction.
    pub(crate) fn run_write(&mut self) -> Result<(), End> {
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
            let patience = self.write_patience(attempt_number);
            let attempt = match &key {
                Some(key) => self.attempt_with_marker(&mut primary, key, patience),
                None => self.attempt_plain(&mut primary, patience),
            };
            match attempt {
                Err(End::CallerGone) => return Err(End::CallerGone),
                Ok(Attempt::Answered) => {
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
                    if !may_wait || self.time_left() < NOT_PRIMARY_PAUSE {
                        return self.fail(&refusal::no_primary(), status::IDLE);
                    }
                    thread::sleep(NOT_PRIMARY_PAUSE);
                }
                Ok(Attempt::Bad(bad)) => return self.fail_bad(bad, status::IDLE),
                Ok(Attempt::NoMarker(answer)) => return self.fail_marker(&answer),
                Ok(Attempt::TimedOut) => return self.fail_unknown(),
                Ok(Attempt::KeyTaken) => {
                    drop(primary);
                    let Some(taken) = key.take() else {
                        return self.fail_unknown();
                    };
                    match self.settle(Resolution::of_taken_key(taken), None)? {
                        Some(next) => key = Some(next),
                        None => return Ok(()),
                    }
                }
                Ok(Attempt::Lost { answer }) => {
                    let member = primary.lease.connection().address.member.clone();
                    primary.lease.give_up();
                    self.group().report_silent(&member);
                    let Some(lost) = key.take() else {
                        if self.may_run_again() {
                            continue;
                        }
                        return self.fail_unknown();
                    };
                    let resolution = Resolution::of_lost_attempt(lost, self.when_not_run());
                    match self.settle(resolution, answer)? {
                        Some(next) => key = Some(next),
                        None => return Ok(()),
                    }
                }
            }
        }
    }

    /// Returns the key of the first attempt, or `None` when the request needs no marker.
    pub(crate) fn first_key(&mut self) -> Option<MarkerKey> {
        let given = self.session.own.request_id.take();
        self.has_given_id = given.is_some();
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
            WhenNotRun::Retry
        } else {
            WhenNotRun::Answer
        }
    }

    /// Returns whether a request whose repetition is harmless is sent once more.
    fn may_run_again(&mut self) -> bool {
        let is_harmless = self
            .treatment()
            .is_some_and(|treatment| treatment.repeat == Repeat::Allowed);
        is_harmless
            && self.request.kind == StatementKind::Write
            && !self.output.is_started
            && !self.time_left().is_zero()
            && self.server.may_retry()
    }

    /// Finds an outcome out. Returns the key under which the request has to run again, or `None`
    /// when the caller has its answer.
    pub(crate) fn settle(
        &mut self,
        resolution: Resolution,
        answer: Option<KeptAnswer>,
    ) -> Result<Option<MarkerKey>, End> {
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
                self.answer_done(&outcome, answer)?;
                Ok(None)
            }
            Err(Settlement::NotRun) => {
                self.server.counters.outcomes_not_run.add();
                self.fail(&refusal::primary_failed(), status::IDLE)?;
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
    fn answer_done(&mut self, outcome: &str, answer: Option<KeptAnswer>) -> Result<(), End> {
        let certain = || {
            let statement = self.request.statement.as_ref()?;
            let command = statement.certain_command.as_deref()?;
            Some(KeptAnswer::of_command(command))
        };
        let kept = answer
            .or_else(|| KeptAnswer::of_outcome(outcome))
            .or_else(certain);
        match kept {
            Some(kept) => {
                kept.put(self.output.buffer, self.frames, self.request);
                self.finish(status::IDLE)
            }
            None => self.fail(&refusal::done_without_answer(), status::IDLE),
        }
    }

    pub(crate) fn fail_unknown(&mut self) -> Result<(), End> {
        self.server.counters.outcomes_unknown.add();
        self.fail(&refusal::unknown(), status::IDLE)
    }

    /// The marker could not be written: the transaction was rolled back, and the caller gets the
    /// target's own error.
    fn fail_marker(&mut self, answer: &OwnAnswer) -> Result<(), End> {
        let Some(frame) = &answer.error_frame else {
            let error = ErrorReply::new(
                "40000",
                "the target rolled the transaction back at its commit",
                "Repeat the request.",
            );
            return self.fail(&error, status::IDLE);
        };
        self.output.buffer.clear();
        self.output.buffer.extend_from_slice(frame);
        self.record.sqlstate = answer.sqlstate.clone().unwrap_or_default();
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
