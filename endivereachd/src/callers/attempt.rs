//! One attempt to run a write on the primary, with or without a marker, up to its confirmed commit.

use super::lease::PrimaryLease;
use super::local_reply::StoredReply;
use super::reply_relay::PendingReplies;
use super::reply_relay::RelayError;
use super::reply_relay::RelayOptions;
use super::reply_relay::RelayedReply;
use super::reply_relay::relay;
use super::request::RequestError;
use super::run::RequestExecution;
use super::run::SessionEnd;
use super::traits::ClassifierSource;
use super::traits::GroupDirectory;
use super::traits::GroupState;
use super::write::UNIQUE_VIOLATION;
use super::write::insert_marker;
use super::write::select_marker;
use crate::groups::Confirmation;
use crate::targets::Connection;
use crate::targets::ConnectionBudget;
use crate::targets::ConnectionError;
use crate::targets::InternalReply;
use crate::targets::put_query;
use endivereach_core::outcome::DONE;
use endivereach_core::outcome::MarkerKey;
use std::time::Duration;
use std::time::Instant;

/// The SQLSTATE of a statement that can't run inside a transaction.
const ACTIVE_SQL_TRANSACTION: &str = "25001";

/// The SQLSTATE of a write at a server that accepts none.
pub(super) const READ_ONLY_SQL_TRANSACTION: &str = "25006";

/// How an attempt ended.
pub(super) enum Attempt {
    /// The answer is in the output, and may be shown.
    Replied,
    /// The key of the attempt is taken: a request with this id ran before.
    KeyTaken,
    /// The connection or the primary was lost: the outcome is open. `reply` is what came back.
    Lost { reply: Option<StoredReply> },
    /// The deadline passed before the commit was confirmed.
    TimedOut,
    /// The statement can't run inside a transaction, and did not.
    NotInTransaction,
    /// The target no longer accepts writes: it was fenced or became a replica. Nothing was changed.
    NotPrimary,
    /// The request can't be sent.
    InvalidRequest(RequestError),
    /// The marker could not be written, and the transaction was rolled back.
    NoMarker(InternalReply),
}

impl From<ConnectionError> for Attempt {
    fn from(_: ConnectionError) -> Self {
        Self::Lost { reply: None }
    }
}

impl<G, S, B> RequestExecution<'_, G, S, B>
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
        silence_timeout: Duration,
    ) -> Result<Attempt, SessionEnd> {
        let statement = self.request.statement.as_ref();
        let certain = statement.and_then(|statement| statement.certain_command.clone());
        let is_pipelined = certain.is_some();
        let connection = primary.lease.connection();
        self.output.buffer.clear();
        self.target_output.clear();
        put_query(self.target_output, "BEGIN");
        if self.has_caller_request_id {
            put_query(self.target_output, &select_marker(key));
        }
        let mut expected = match self.put_request(connection) {
            Ok(expected) => expected,
            Err(bad) => return Ok(Attempt::InvalidRequest(bad)),
        };
        if is_pipelined {
            put_query(self.target_output, &insert_marker(key, DONE));
            put_query(self.target_output, "COMMIT");
        }
        let sent_at = Instant::now();
        if self.send(connection).is_err()
            || connection.read_internal_reply(silence_timeout).is_err()
        {
            return Ok(Attempt::Lost { reply: None });
        }
        let Ok(existing) = self.read_existing_marker(connection, silence_timeout) else {
            return Ok(Attempt::Lost { reply: None });
        };
        let Some(relayed) = self.relay_withheld(connection, &mut expected, silence_timeout)? else {
            return Ok(Attempt::Lost { reply: None });
        };
        if existing.value.is_some() {
            // The transaction is rolled back: by its marker, or by the end of the lease.
            return Ok(Attempt::KeyTaken);
        }
        let reply = StoredReply::of_frames(self.output.buffer);
        let ended = if is_pipelined {
            read_commit_replies(connection, silence_timeout)
        } else {
            self.end_transaction(connection, &relayed, key, &reply, silence_timeout)
        };
        self.record.target_us += sent_at.elapsed().as_micros() as u32;
        let Ok(ended) = ended else {
            return Ok(Attempt::Lost { reply: Some(reply) });
        };
        if let Some(code) = relayed.sqlstate {
            return Ok(self.handle_statement_error(&code));
        }
        self.handle_commit_replies(primary, ended, reply)
    }

    /// Reads what an earlier request with the same given id left.
    fn read_existing_marker(
        &mut self,
        connection: &mut Connection,
        silence_timeout: Duration,
    ) -> Result<InternalReply, ConnectionError> {
        if self.has_caller_request_id {
            connection.read_internal_reply(silence_timeout)
        } else {
            Ok(InternalReply::default())
        }
    }

    /// Ends the transaction of an attempt whose answer had to be seen first.
    fn end_transaction(
        &mut self,
        connection: &mut Connection,
        relayed: &RelayedReply,
        key: &MarkerKey,
        reply: &StoredReply,
        silence_timeout: Duration,
    ) -> Result<CommitReplies, ConnectionError> {
        self.target_output.clear();
        if relayed.sqlstate.is_some() {
            connection.run_internal("ROLLBACK", silence_timeout)?;
            return Ok(CommitReplies::default());
        }
        put_query(self.target_output, &insert_marker(key, &reply.outcome()));
        put_query(self.target_output, "COMMIT");
        connection.send(self.target_output)?;
        read_commit_replies(connection, silence_timeout)
    }

    /// The statement failed, and its transaction was rolled back.
    fn handle_statement_error(&mut self, code: &str) -> Attempt {
        if code == ACTIVE_SQL_TRANSACTION {
            return Attempt::NotInTransaction;
        }
        if code == READ_ONLY_SQL_TRANSACTION {
            return Attempt::NotPrimary;
        }
        self.record.sqlstate = code.into();
        Attempt::Replied
    }

    /// The transaction ended: confirms its commit.
    fn handle_commit_replies(
        &mut self,
        primary: &mut PrimaryLease,
        ended: CommitReplies,
        reply: StoredReply,
    ) -> Result<Attempt, SessionEnd> {
        if ended.marker.sqlstate.as_deref() == Some(UNIQUE_VIOLATION) {
            return Ok(Attempt::KeyTaken);
        }
        let is_fenced =
            |reply: &InternalReply| reply.sqlstate.as_deref() == Some(READ_ONLY_SQL_TRANSACTION);
        if is_fenced(&ended.marker) || is_fenced(&ended.commit) {
            // The former primary refused the end of the transaction; the marker tells for certain.
            return Ok(Attempt::Lost { reply: None });
        }
        if ended.marker.sqlstate.is_some() {
            return Ok(Attempt::NoMarker(ended.marker));
        }
        if ended.commit.sqlstate.is_some() || &*ended.commit.command != "COMMIT" {
            return Ok(Attempt::NoMarker(ended.commit));
        }
        Ok(self.confirm(primary, Some(reply)))
    }

    /// Waits until the last commit on a connection may be acknowledged.
    fn confirm(&mut self, primary: &mut PrimaryLease, reply: Option<StoredReply>) -> Attempt {
        let connection = primary.lease.connection();
        let Some(position) = connection.position else {
            return Attempt::Lost { reply };
        };
        let started_at = Instant::now();
        let confirmation = self.group().confirm(position.term, position, self.deadline);
        self.record.confirm_us += started_at.elapsed().as_micros() as u32;
        match confirmation {
            Confirmation::Confirmed => {
                self.record_commit(position);
                Attempt::Replied
            }
            Confirmation::Replaced => {
                self.server.counters.commits_replaced.add();
                Attempt::Lost { reply }
            }
            Confirmation::TimedOut => Attempt::TimedOut,
        }
    }

    /// Runs the request as it is, without a marker.
    pub(super) fn attempt_without_marker(
        &mut self,
        primary: &mut PrimaryLease,
        silence_timeout: Duration,
    ) -> Result<Attempt, SessionEnd> {
        let connection = primary.lease.connection();
        self.output.buffer.clear();
        self.target_output.clear();
        let mut expected = match self.put_request(connection) {
            Ok(expected) => expected,
            Err(bad) => return Ok(Attempt::InvalidRequest(bad)),
        };
        let sent_at = Instant::now();
        if self.send(connection).is_err() {
            return Ok(Attempt::Lost { reply: None });
        }
        let Some(relayed) = self.relay_withheld(connection, &mut expected, silence_timeout)? else {
            return Ok(Attempt::Lost { reply: None });
        };
        self.record.target_us += sent_at.elapsed().as_micros() as u32;
        if let Some(code) = relayed.sqlstate {
            return Ok(self.handle_statement_error(&code));
        }
        Ok(self.confirm(primary, None))
    }

    /// Takes the target's answer into the output without showing it. Returns `None` when the
    /// connection was lost first.
    fn relay_withheld(
        &mut self,
        connection: &mut Connection,
        expected: &mut PendingReplies,
        silence_timeout: Duration,
    ) -> Result<Option<RelayedReply>, SessionEnd> {
        let options = RelayOptions {
            required: None,
            withhold: true,
            silence_timeout,
        };
        match relay(connection, &mut self.output, expected, options, false) {
            Ok(relayed) => Ok(Some(relayed)),
            Err(RelayError::CallerGone(_)) => Err(SessionEnd::CallerGone),
            Err(_) => Ok(None),
        }
    }
}

/// How a transaction of the proxy's own ended.
#[derive(Debug, Default)]
struct CommitReplies {
    marker: InternalReply,
    commit: InternalReply,
}

fn read_commit_replies(
    connection: &mut Connection,
    silence_timeout: Duration,
) -> Result<CommitReplies, ConnectionError> {
    Ok(CommitReplies {
        marker: connection.read_internal_reply(silence_timeout)?,
        commit: connection.read_internal_reply(silence_timeout)?,
    })
}
