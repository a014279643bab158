//! One attempt to run a write on the primary, with or without a marker, up to its confirmed commit.

use super::answer::Expected;
use super::answer::Gate;
use super::answer::RelayError;
use super::answer::Relayed;
use super::answer::relay;
use super::lease::PrimaryLease;
use super::replay::KeptAnswer;
use super::request::BadRequest;
use super::run::End;
use super::run::Run;
use super::seam::ClassifierSource;
use super::seam::GroupDirectory;
use super::seam::GroupState;
use super::write::KEY_TAKEN;
use super::write::insert_marker;
use super::write::select_marker;
use crate::groups::Confirmation;
use crate::targets::Connection;
use crate::targets::ConnectionBudget;
use crate::targets::ConnectionError;
use crate::targets::OwnAnswer;
use crate::targets::put_query;
use endivereach_core::outcome::DONE;
use endivereach_core::outcome::MarkerKey;
use std::time::Duration;
use std::time::Instant;

/// The SQLSTATE of a statement that can't run inside a transaction.
const NOT_IN_TRANSACTION: &str = "25001";

/// The SQLSTATE of a write at a server that accepts none.
pub(super) const READ_ONLY: &str = "25006";

/// How an attempt ended.
pub(super) enum Attempt {
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
    /// Runs the request in a transaction of its own, together with its marker.
    ///
    /// The marker comes last, so that a tombstone never waits for a slow statement. Where the
    /// statement's answer is certain beforehand everything is sent at once; otherwise the answer
    /// is stored with the marker.
    pub(super) fn attempt_with_marker(
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
        let Some(relayed) = self.relay_withheld(connection, &mut expected, patience)? else {
            return Ok(Attempt::Lost { answer: None });
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
    pub(super) fn attempt_plain(
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
        let Some(relayed) = self.relay_withheld(connection, &mut expected, patience)? else {
            return Ok(Attempt::Lost { answer: None });
        };
        self.record.target_us += sent.elapsed().as_micros() as u32;
        if let Some(code) = relayed.sqlstate {
            return Ok(self.after_error(&code));
        }
        Ok(self.confirm(primary, None))
    }

    /// Takes the target's answer into the output without showing it. Returns `None` when the
    /// connection was lost first.
    fn relay_withheld(
        &mut self,
        connection: &mut Connection,
        expected: &mut Expected,
        patience: Duration,
    ) -> Result<Option<Relayed>, End> {
        let gate = Gate {
            required: None,
            withhold: true,
            patience,
        };
        match relay(connection, &mut self.output, expected, gate, false) {
            Ok(relayed) => Ok(Some(relayed)),
            Err(RelayError::CallerGone(_)) => Err(End::CallerGone),
            Err(_) => Ok(None),
        }
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
