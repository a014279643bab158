//! Writes outside a caller's transaction: with a marker where they may run only once.

use super::answer::Gate;
use super::answer::RelayError;
use super::answer::Relayed;
use super::answer::relay;
use super::lease::PrimaryLease;
use super::refusal;
use super::replay::KeptAnswer;
use super::request::BadRequest;
use super::run::End;
use super::run::Run;
use super::seam::ClassifierSource;
use super::seam::GroupDirectory;
use super::seam::GroupState;
use crate::groups::Confirmation;
use crate::targets::Connection;
use crate::targets::ConnectionBudget;
use crate::targets::ConnectionError;
use crate::targets::OwnAnswer;
use crate::targets::put_query;
use endivereach_core::ids::RequestId;
use endivereach_core::outcome::DONE;
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
use std::time::Instant;

/// The SQLSTATE of a key that is taken.
pub(crate) const KEY_TAKEN: &str = "23505";

/// The SQLSTATE of a statement that can't run inside a transaction.
const NOT_IN_TRANSACTION: &str = "25001";

/// The SQLSTATE of a write at a server that accepts none.
const READ_ONLY: &str = "25006";

/// The pause before a write that reached a former primary is sent again.
const NOT_PRIMARY_PAUSE: Duration = Duration::from_millis(10);

/// How an attempt ended.
enum Attempt {
    /// The answer is in the output, and may be shown.
    Answered,
    /// The key of the attempt is taken: a request with this id ran before.
    KeyTaken,
    /// The connection or the primary was lost: the outcome is open. `answer` is what came back.
    Lost { answer: Option<KeptAnswer> },
    /// The deadline passed before the commit was confirmed.
    TimedOut,
    /// The statement can't run inside a transaction, and did not.
    NotInTransaction,
    /// The target no longer accepts writes: it was fenced or became a replica. Nothing was changed.
    NotPrimary,
    /// The request can't be sent.
    Bad(BadRequest),
    /// The marker could not be written, and the transaction was rolled back.
    NoMarker(OwnAnswer),
}

impl From<ConnectionError> for Attempt {
    fn from(_: ConnectionError) -> Self {
        Self::Lost { answer: None }
    }
}

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
            WhenNotRun::RunAgain
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

    /// Runs the request in a transaction of its own, together with its marker.
    ///
    /// The marker comes last, so that a tombstone never waits for a slow statement. Where the
    /// statement's answer is certain beforehand everything is sent at once; otherwise the answer
    /// is stored with the marker.
    fn attempt_with_marker(
        &mut self,
        primary: &mut PrimaryLease,
        key: &MarkerKey,
        patience: Duration,
    ) -> Result<Attempt, End> {
        let statement = self.request.statement.as_ref();
        let certain = statement.and_then(|statement| statement.certain_command.clone());
        let at_once = certain.is_some();
        let connection = primary.lease.connection();
        self.output.buffer.clear();
        self.bytes.clear();
        put_query(self.bytes, "BEGIN");
        if self.has_given_id {
            put_query(self.bytes, &select_marker(key));
        }
        let mut expected = match self.put_request(connection) {
            Ok(expected) => expected,
            Err(bad) => return Ok(Attempt::Bad(bad)),
        };
        if at_once {
            put_query(self.bytes, &insert_marker(key, DONE));
            put_query(self.bytes, "COMMIT");
        }
        let sent = Instant::now();
        if self.send(connection).is_err() || connection.read_own(patience).is_err() {
            return Ok(Attempt::Lost { answer: None });
        }
        let Ok(earlier) = self.read_earlier(connection, patience) else {
            return Ok(Attempt::Lost { answer: None });
        };
        let gate = Gate {
            required: None,
            withhold: true,
            patience,
        };
        let relayed = match relay(connection, &mut self.output, &mut expected, gate, false) {
            Ok(relayed) => relayed,
            Err(RelayError::CallerGone(_)) => return Err(End::CallerGone),
            Err(_) => return Ok(Attempt::Lost { answer: None }),
        };
        if earlier.value.is_some() {
            // The transaction is rolled back: by its marker, or by the end of the lease.
            return Ok(Attempt::KeyTaken);
        }
        let answer = KeptAnswer::of_frames(self.output.buffer);
        let ended = if at_once {
            read_end(connection, patience)
        } else {
            self.end_transaction(connection, &relayed, key, &answer, patience)
        };
        self.record.target_us += sent.elapsed().as_micros() as u32;
        let Ok(ended) = ended else {
            return Ok(Attempt::Lost {
                answer: Some(answer),
            });
        };
        if let Some(code) = relayed.sqlstate {
            return Ok(self.after_error(&code));
        }
        self.after_end(primary, ended, answer)
    }

    /// Reads what an earlier request with the same given id left.
    fn read_earlier(
        &mut self,
        connection: &mut Connection,
        patience: Duration,
    ) -> Result<OwnAnswer, ConnectionError> {
        if self.has_given_id {
            connection.read_own(patience)
        } else {
            Ok(OwnAnswer::default())
        }
    }

    /// Ends the transaction of an attempt whose answer had to be seen first.
    fn end_transaction(
        &mut self,
        connection: &mut Connection,
        relayed: &Relayed,
        key: &MarkerKey,
        answer: &KeptAnswer,
        patience: Duration,
    ) -> Result<Ended, ConnectionError> {
        self.bytes.clear();
        if relayed.sqlstate.is_some() {
            connection.run_own("ROLLBACK", patience)?;
            return Ok(Ended::default());
        }
        put_query(self.bytes, &insert_marker(key, &answer.outcome()));
        put_query(self.bytes, "COMMIT");
        connection.send(self.bytes)?;
        read_end(connection, patience)
    }

    /// The statement failed, and its transaction was rolled back.
    fn after_error(&mut self, code: &str) -> Attempt {
        if code == NOT_IN_TRANSACTION {
            return Attempt::NotInTransaction;
        }
        if code == READ_ONLY {
            return Attempt::NotPrimary;
        }
        self.record.sqlstate = code.into();
        Attempt::Answered
    }

    /// The transaction ended: confirms its commit.
    fn after_end(
        &mut self,
        primary: &mut PrimaryLease,
        ended: Ended,
        answer: KeptAnswer,
    ) -> Result<Attempt, End> {
        if ended.marker.sqlstate.as_deref() == Some(KEY_TAKEN) {
            return Ok(Attempt::KeyTaken);
        }
        let is_fenced = |answer: &OwnAnswer| answer.sqlstate.as_deref() == Some(READ_ONLY);
        if is_fenced(&ended.marker) || is_fenced(&ended.commit) {
            // The former primary refused the end of the transaction; the marker tells for certain.
            return Ok(Attempt::Lost { answer: None });
        }
        if ended.marker.sqlstate.is_some() {
            return Ok(Attempt::NoMarker(ended.marker));
        }
        if ended.commit.sqlstate.is_some() || &*ended.commit.command != "COMMIT" {
            return Ok(Attempt::NoMarker(ended.commit));
        }
        Ok(self.confirm(primary, Some(answer)))
    }

    /// Waits until the last commit on a connection may be acknowledged.
    fn confirm(&mut self, primary: &mut PrimaryLease, answer: Option<KeptAnswer>) -> Attempt {
        let connection = primary.lease.connection();
        let Some(position) = connection.position else {
            return Attempt::Lost { answer };
        };
        let asked = Instant::now();
        let confirmation = self.group().confirm(position.term, position, self.deadline);
        self.record.confirm_us += asked.elapsed().as_micros() as u32;
        match confirmation {
            Confirmation::Confirmed => {
                self.note_commit(position);
                Attempt::Answered
            }
            Confirmation::Replaced => {
                self.server.counters.commits_replaced.add();
                Attempt::Lost { answer }
            }
            Confirmation::TimedOut => Attempt::TimedOut,
        }
    }

    /// Runs the request as it is, without a marker.
    fn attempt_plain(
        &mut self,
        primary: &mut PrimaryLease,
        patience: Duration,
    ) -> Result<Attempt, End> {
        let connection = primary.lease.connection();
        self.output.buffer.clear();
        self.bytes.clear();
        let mut expected = match self.put_request(connection) {
            Ok(expected) => expected,
            Err(bad) => return Ok(Attempt::Bad(bad)),
        };
        let sent = Instant::now();
        if self.send(connection).is_err() {
            return Ok(Attempt::Lost { answer: None });
        }
        let gate = Gate {
            required: None,
            withhold: true,
            patience,
        };
        let relayed = match relay(connection, &mut self.output, &mut expected, gate, false) {
            Ok(relayed) => relayed,
            Err(RelayError::CallerGone(_)) => return Err(End::CallerGone),
            Err(_) => return Ok(Attempt::Lost { answer: None }),
        };
        self.record.target_us += sent.elapsed().as_micros() as u32;
        if let Some(code) = relayed.sqlstate {
            return Ok(self.after_error(&code));
        }
        Ok(self.confirm(primary, None))
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

/// How a transaction of the proxy's own ended.
#[derive(Debug, Default)]
struct Ended {
    marker: OwnAnswer,
    commit: OwnAnswer,
}

fn read_end(connection: &mut Connection, patience: Duration) -> Result<Ended, ConnectionError> {
    Ok(Ended {
        marker: connection.read_own(patience)?,
        commit: connection.read_own(patience)?,
    })
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
