//! One attempt to execute a write on the primary, with or without a marker row, up to the
//! confirmation of its commit.

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

/// The SQLSTATE of a statement that can't be executed inside a transaction block.
const ACTIVE_SQL_TRANSACTION: &str = "25001";

/// The SQLSTATE of a write on a server that accepts no writes.
pub(super) const READ_ONLY_SQL_TRANSACTION: &str = "25006";

/// The result of an attempt to execute a write.
pub(super) enum AttemptResult {
    /// The reply is in the output buffer and may be sent to the caller.
    Replied,
    /// A marker with the key of the attempt exists: an earlier request with this ID was executed.
    KeyTaken,
    /// The connection or the primary was lost, so the outcome is unknown. `reply` is the reply of
    /// the target, if it arrived.
    Lost { reply: Option<StoredReply> },
    /// The deadline passed before the commit was confirmed.
    TimedOut,
    /// The statement can't be executed inside a transaction block and was not executed.
    NotInTransaction,
    /// The target no longer accepts writes because it was fenced or became a replica. No data was
    /// changed.
    NotPrimary,
    /// The request is invalid and was not sent.
    InvalidRequest(RequestError),
    /// The marker insert or the commit failed, and the transaction was rolled back.
    RolledBack(InternalReply),
}

impl From<ConnectionError> for AttemptResult {
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
    /// Executes the request and the insert of its marker in one transaction.
    ///
    /// The marker is inserted last, so that the insert of a tombstone with the same key never waits
    /// for a slow statement. If the statement text determines the command tag, all messages are
    /// pipelined; otherwise the reply is stored in the marker.
    pub(super) fn attempt_with_marker(
        &mut self,
        primary: &mut PrimaryLease,
        key: &MarkerKey,
        silence_timeout: Duration,
    ) -> Result<AttemptResult, SessionEnd> {
        let statement = self.request.statement.as_ref();
        let command_tag = statement.and_then(|statement| statement.command_tag_from_text.clone());
        let is_pipelined = command_tag.is_some();
        let connection = primary.lease.connection();
        self.output.buffer.clear();
        self.target_output.clear();
        put_query(self.target_output, "BEGIN");
        if self.has_caller_request_id {
            put_query(self.target_output, &select_marker(key));
        }
        let mut expected = match self.put_request(connection) {
            Ok(expected) => expected,
            Err(request_error) => return Ok(AttemptResult::InvalidRequest(request_error)),
        };
        if is_pipelined {
            put_query(self.target_output, &insert_marker(key, DONE));
            put_query(self.target_output, "COMMIT");
        }
        let sent_at = Instant::now();
        // The first reply is that to `BEGIN`.
        if self.send(connection).is_err()
            || connection.read_internal_reply(silence_timeout).is_err()
        {
            return Ok(AttemptResult::Lost { reply: None });
        }
        let Ok(existing) = self.read_existing_marker(connection, silence_timeout) else {
            return Ok(AttemptResult::Lost { reply: None });
        };
        let Some(relayed) = self.relay_withheld(connection, &mut expected, silence_timeout)? else {
            return Ok(AttemptResult::Lost { reply: None });
        };
        if existing.value.is_some() {
            // The transaction is rolled back, either because its marker violates the unique key or
            // because the lease ends.
            return Ok(AttemptResult::KeyTaken);
        }
        let reply = StoredReply::from_frames(self.output.buffer);
        let commit_replies = if is_pipelined {
            read_commit_replies(connection, silence_timeout)
        } else {
            self.end_transaction(connection, &relayed, key, &reply, silence_timeout)
        };
        self.record.target_us += sent_at.elapsed().as_micros() as u32;
        let Ok(commit_replies) = commit_replies else {
            return Ok(AttemptResult::Lost { reply: Some(reply) });
        };
        if let Some(code) = relayed.sqlstate {
            return Ok(self.handle_statement_error(&code));
        }
        self.handle_commit_replies(primary, commit_replies, reply)
    }

    /// Reads the marker of an earlier request with the same caller-supplied ID.
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

    /// Ends the transaction of an attempt whose reply is stored in the marker: commits it, or rolls
    /// it back if the statement failed.
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

    /// Returns the result of an attempt whose statement failed and was rolled back.
    fn handle_statement_error(&mut self, code: &str) -> AttemptResult {
        if code == ACTIVE_SQL_TRANSACTION {
            return AttemptResult::NotInTransaction;
        }
        if code == READ_ONLY_SQL_TRANSACTION {
            return AttemptResult::NotPrimary;
        }
        self.record.sqlstate = code.into();
        AttemptResult::Replied
    }

    /// Evaluates the replies to the marker insert and the `COMMIT`, and waits for the confirmation
    /// of the commit.
    fn handle_commit_replies(
        &mut self,
        primary: &mut PrimaryLease,
        commit_replies: CommitReplies,
        reply: StoredReply,
    ) -> Result<AttemptResult, SessionEnd> {
        if commit_replies.marker.sqlstate.as_deref() == Some(UNIQUE_VIOLATION) {
            return Ok(AttemptResult::KeyTaken);
        }
        let is_fenced =
            |reply: &InternalReply| reply.sqlstate.as_deref() == Some(READ_ONLY_SQL_TRANSACTION);
        if is_fenced(&commit_replies.marker) || is_fenced(&commit_replies.commit) {
            // The former primary refused to end the transaction. The marker on the new primary
            // shows whether the transaction was committed.
            return Ok(AttemptResult::Lost { reply: None });
        }
        if commit_replies.marker.sqlstate.is_some() {
            return Ok(AttemptResult::RolledBack(commit_replies.marker));
        }
        if commit_replies.commit.sqlstate.is_some() || &*commit_replies.commit.command != "COMMIT" {
            return Ok(AttemptResult::RolledBack(commit_replies.commit));
        }
        Ok(self.confirm(primary, Some(reply)))
    }

    /// Waits until the last commit on the connection is confirmed, so that it may be acknowledged.
    fn confirm(&mut self, primary: &mut PrimaryLease, reply: Option<StoredReply>) -> AttemptResult {
        let connection = primary.lease.connection();
        let Some(position) = connection.position else {
            return AttemptResult::Lost { reply };
        };
        let started_at = Instant::now();
        let confirmation = self.group().confirm(position.term, position, self.deadline);
        self.record.confirm_us += started_at.elapsed().as_micros() as u32;
        match confirmation {
            Confirmation::Confirmed => {
                self.record_commit(position);
                AttemptResult::Replied
            }
            Confirmation::Replaced => {
                self.server.counters.commits_replaced.increment();
                AttemptResult::Lost { reply }
            }
            Confirmation::TimedOut => AttemptResult::TimedOut,
        }
    }

    /// Executes the request without a marker.
    pub(super) fn attempt_without_marker(
        &mut self,
        primary: &mut PrimaryLease,
        silence_timeout: Duration,
    ) -> Result<AttemptResult, SessionEnd> {
        let connection = primary.lease.connection();
        self.output.buffer.clear();
        self.target_output.clear();
        let mut expected = match self.put_request(connection) {
            Ok(expected) => expected,
            Err(request_error) => return Ok(AttemptResult::InvalidRequest(request_error)),
        };
        let sent_at = Instant::now();
        if self.send(connection).is_err() {
            return Ok(AttemptResult::Lost { reply: None });
        }
        let Some(relayed) = self.relay_withheld(connection, &mut expected, silence_timeout)? else {
            return Ok(AttemptResult::Lost { reply: None });
        };
        self.record.target_us += sent_at.elapsed().as_micros() as u32;
        if let Some(code) = relayed.sqlstate {
            return Ok(self.handle_statement_error(&code));
        }
        Ok(self.confirm(primary, None))
    }

    /// Relays the target's reply into the output buffer and withholds its end from the caller.
    /// Returns `None` when the connection was lost before the end of the reply.
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
            Err(RelayError::CallerDisconnected(_)) => Err(SessionEnd::CallerDisconnected),
            Err(_) => Ok(None),
        }
    }
}

/// The replies to the marker insert and the `COMMIT` of a transaction that the proxy opened.
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
