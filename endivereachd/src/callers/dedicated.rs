//! Requests on a connection that is reserved for one caller: inside a transaction, or pinned.

use super::attempt::READ_ONLY_SQL_TRANSACTION;
use super::error_replies;
use super::reply_relay::RelayError;
use super::reply_relay::RelayOptions;
use super::reply_relay::RelayedReply;
use super::reply_relay::relay;
use super::run::RequestExecution;
use super::run::SessionEnd;
use super::session::DedicatedConnection;
use super::session::Session;
use super::traits::ClassifierSource;
use super::traits::GroupDirectory;
use super::traits::GroupState;
use super::write::UNIQUE_VIOLATION;
use super::write::insert_marker;
use crate::groups::Confirmation;
use crate::targets::Connection;
use crate::targets::ConnectionBudget;
use crate::targets::InternalReply;
use crate::targets::put_query;
use endivereach_core::outcome::DONE;
use endivereach_core::outcome::MarkerKey;
use endivereach_core::outcome::RequestOutcome;
use endivereach_core::outcome::Resolution;
use endivereach_core::outcome::WhenNotRun;
use endivereach_core::treatment::StatementKind;
use endivereach_wire::pg::tag::status;
use std::time::Duration;

/// The maximum time for which a target may send nothing while it rolls back a transaction.
const ROLLBACK_SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Rolls back the caller's transaction after an error that the proxy itself reported, so that the
/// transaction fails as it would after an error of the database. Returns the transaction status to
/// report to the caller.
pub(crate) fn abort_transaction<G>(session: &mut Session<G>) -> u8 {
    let Some(mut dedicated) = session.dedicated.take() else {
        return status::IDLE;
    };
    let connection = dedicated.lease.connection();
    if connection.status == status::IDLE {
        session.dedicated = Some(dedicated);
        return status::IDLE;
    }
    session.has_lost_transaction = true;
    session
        .parameters
        .truncate(dedicated.parameter_count_at_begin);
    let is_rolled_back = connection
        .run_internal("ROLLBACK", ROLLBACK_SILENCE_TIMEOUT)
        .is_ok();
    if dedicated.is_pinned && is_rolled_back {
        session.dedicated = Some(dedicated);
    }
    status::FAILED
}

/// Returns whether a statement declares its transaction as read only.
fn declares_read_only(sql: &str) -> bool {
    sql.to_ascii_uppercase().contains("READ ONLY")
}

/// The result of a request on a dedicated connection.
struct DedicatedReply {
    relayed: RelayedReply,
    marker: InternalReply,
}

impl<G, S, B> RequestExecution<'_, G, S, B>
where
    G: GroupDirectory,
    S: ClassifierSource,
    B: ConnectionBudget,
{
    /// Reserves a connection to the primary for the session, and executes a request that opens a
    /// transaction, pins its connection, or is the first part of a flushed batch.
    pub(crate) fn run_on_new_dedicated_connection(&mut self) -> Result<(), SessionEnd> {
        let is_pinned = self.request.kind == StatementKind::PinsConnection;
        let may_wait = self.is_held_through_failover();
        let mut primary = match self.lease_primary(may_wait) {
            Ok(primary) => primary,
            Err(error) => return self.fail(&error, status::IDLE),
        };
        primary.lease.connection().is_dirty |= is_pinned;
        self.session.dedicated = Some(Box::new(DedicatedConnection {
            lease: primary.lease,
            has_written: is_pinned,
            is_read_only: false,
            is_pinned,
            batch_failed: false,
            parameter_count_at_begin: self.session.parameters.statements().len(),
        }));
        self.run_on_dedicated_connection()
    }

    /// Executes a request on the session's dedicated connection.
    pub(crate) fn run_on_dedicated_connection(&mut self) -> Result<(), SessionEnd> {
        let Some(mut dedicated) = self.session.dedicated.take() else {
            // This method is called only for sessions with a dedicated connection.
            return Err(SessionEnd::CallerDisconnected);
        };
        if self.request.kind == StatementKind::Refused {
            self.session.dedicated = Some(dedicated);
            return self.refuse_on_dedicated_connection();
        }
        self.server.counters.reads_primary_pinned.increment();
        dedicated.has_written |= !matches!(
            self.request.kind,
            StatementKind::Read
                | StatementKind::Begin
                | StatementKind::Commit
                | StatementKind::Rollback
                | StatementKind::Set
        );
        if self.request.kind == StatementKind::PinsConnection {
            dedicated.is_pinned = true;
            dedicated.lease.connection().is_dirty = true;
        }
        let status_before = dedicated.lease.connection().status;
        if status_before == status::IDLE || self.request.kind == StatementKind::Set {
            dedicated.is_read_only |= declares_read_only(&self.request.sql);
        }
        let key = self.commit_key(&dedicated, status_before);
        let batch_failed = dedicated.batch_failed;
        let reply = match self.exchange_on_dedicated_connection(
            dedicated.lease.connection(),
            key.as_ref(),
            batch_failed,
        ) {
            Ok(reply) => reply,
            Err(RelayError::CallerDisconnected(_)) => return Err(SessionEnd::CallerDisconnected),
            Err(RelayError::Target(error)) => {
                self.report_failure(&error, dedicated.lease.connection());
                return self.handle_lost_connection(*dedicated, status_before, key);
            }
            Err(RelayError::TooOld(_)) => {
                return self.handle_lost_connection(*dedicated, status_before, key);
            }
        };
        self.handle_dedicated_reply(dedicated, status_before, reply, key)
    }

    fn refuse_on_dedicated_connection(&mut self) -> Result<(), SessionEnd> {
        let statement = self.request.statement.as_ref();
        let reason = statement.map_or("", |statement| &statement.classified.reason);
        let error = error_replies::unsupported_statement(reason);
        let status = abort_transaction(self.session);
        self.fail(&error, status)
    }

    /// Returns the transaction status of the session's dedicated connection, or `IDLE` if the
    /// session has none.
    pub(crate) fn dedicated_status(&mut self) -> u8 {
        let dedicated = self.session.dedicated.as_mut();
        dedicated.map_or(status::IDLE, |dedicated| {
            dedicated.lease.connection().status
        })
    }

    /// Returns the key of the marker for a `COMMIT`, or `None` when the request is no `COMMIT` or
    /// the transaction has changed no data.
    fn commit_key(
        &mut self,
        dedicated: &DedicatedConnection,
        status_before: u8,
    ) -> Option<MarkerKey> {
        let is_commit = self.request.kind == StatementKind::Commit;
        if !is_commit || !dedicated.has_written || status_before != status::TRANSACTION {
            return None;
        }
        let caller_request_id = self.session.proxy_parameters.request_id.take();
        self.has_caller_request_id = caller_request_id.is_some();
        Some(MarkerKey::first(
            caller_request_id.unwrap_or_else(|| self.new_request_id()),
        ))
    }

    fn exchange_on_dedicated_connection(
        &mut self,
        connection: &mut Connection,
        key: Option<&MarkerKey>,
        batch_failed: bool,
    ) -> Result<DedicatedReply, RelayError> {
        self.target_output.clear();
        self.output.buffer.clear();
        if let Some(key) = key {
            put_query(self.target_output, &insert_marker(key, DONE));
        }
        let Ok(mut expected) = self.put_request(connection) else {
            // `RequestReader` accepted the same frames before, so this error is not expected.
            return Err(RelayError::CallerDisconnected(
                std::io::ErrorKind::InvalidData.into(),
            ));
        };
        self.send(connection)?;
        let silence_timeout = self.time_left() / 2;
        let marker = match key {
            Some(_) => connection.read_internal_reply(silence_timeout)?,
            None => InternalReply::default(),
        };
        let options = RelayOptions {
            required: None,
            withhold: self.request.kind != StatementKind::Read,
            silence_timeout,
        };
        let relayed = if !self.request.is_flushed {
            relay(connection, &mut self.output, &mut expected, options, false)?
        } else if batch_failed {
            // The target skips all messages up to `Sync` and sends no reply.
            RelayedReply::default()
        } else {
            relay(connection, &mut self.output, &mut expected, options, true)?
        };
        Ok(DedicatedReply { relayed, marker })
    }

    fn handle_dedicated_reply(
        &mut self,
        mut dedicated: Box<DedicatedConnection>,
        status_before: u8,
        reply: DedicatedReply,
        key: Option<MarkerKey>,
    ) -> Result<(), SessionEnd> {
        let DedicatedReply { relayed, marker } = reply;
        if self.request.is_flushed {
            return self.handle_flushed_part(dedicated, &relayed);
        }
        dedicated.batch_failed = false;
        let is_refused = relayed.sqlstate.as_deref() == Some(READ_ONLY_SQL_TRANSACTION);
        if is_refused && status_before == status::TRANSACTION && !dedicated.is_read_only {
            // The target is no longer the primary, and the transaction is lost.
            self.output.buffer.clear();
            return self.handle_lost_connection(*dedicated, status_before, key);
        }
        let connection = dedicated.lease.connection();
        let (status_after, position) = (connection.status, connection.position);
        self.record.sqlstate = relayed.sqlstate.clone().unwrap_or_default();
        if let Some(key) = key {
            if marker.sqlstate.as_deref() == Some(UNIQUE_VIOLATION) {
                drop(dedicated);
                return self.reply_to_commit(Resolution::of_taken_key(key));
            }
            let is_committed = relayed.sqlstate.is_none() && &*relayed.command == "COMMIT";
            if is_committed && status_after == status::IDLE {
                return self.confirm_commit(dedicated, key);
            }
        } else if status_before != status::FAILED
            && status_after == status::IDLE
            && relayed.sqlstate.is_none()
        {
            // The transaction changed no data, or it was committed without a marker.
            let position = position.unwrap_or_default();
            let confirmation = self.group().confirm(position.term, position, self.deadline);
            if confirmation != Confirmation::Confirmed && &*relayed.command != "ROLLBACK" {
                return self.handle_lost_connection(*dedicated, status_before, None);
            }
            if dedicated.has_written && &*relayed.command != "ROLLBACK" {
                self.record_commit(position);
            }
        }
        if status_after == status::IDLE {
            dedicated.is_read_only = false;
            dedicated.has_written = dedicated.is_pinned;
            if &*relayed.command == "ROLLBACK" {
                self.session
                    .parameters
                    .truncate(dedicated.parameter_count_at_begin);
            }
        }
        self.keep_or_release(dedicated, status_after);
        self.finish(status_after)
    }

    /// Sends the reply to a part of a batch that ends with `Flush`. The implicit commit of the
    /// batch happens at `Sync`, but a `COMMIT` statement in this part has already taken effect, so
    /// it is confirmed first.
    fn handle_flushed_part(
        &mut self,
        mut dedicated: Box<DedicatedConnection>,
        relayed: &RelayedReply,
    ) -> Result<(), SessionEnd> {
        if self.request.kind == StatementKind::Commit && relayed.sqlstate.is_none() {
            let position = dedicated.lease.connection().position.unwrap_or_default();
            let confirmation = self.group().confirm(position.term, position, self.deadline);
            if confirmation != Confirmation::Confirmed {
                dedicated.lease.discard();
                return self.end_session(error_replies::outcome_unknown());
            }
        }
        dedicated.batch_failed |= relayed.sqlstate.is_some();
        self.session.dedicated = Some(dedicated);
        self.output
            .flush()
            .map_err(|_| SessionEnd::CallerDisconnected)
    }

    fn keep_or_release(&mut self, dedicated: Box<DedicatedConnection>, status_after: u8) {
        if status_after != status::IDLE || dedicated.is_pinned {
            self.session.dedicated = Some(dedicated);
        }
    }

    fn confirm_commit(
        &mut self,
        mut dedicated: Box<DedicatedConnection>,
        key: MarkerKey,
    ) -> Result<(), SessionEnd> {
        let position = dedicated.lease.connection().position.unwrap_or_default();
        let confirmation = self.group().confirm(position.term, position, self.deadline);
        match confirmation {
            Confirmation::Confirmed => {
                self.record_commit(position);
                dedicated.has_written = dedicated.is_pinned;
                self.keep_or_release(dedicated, status::IDLE);
                self.finish(status::IDLE)
            }
            Confirmation::Replaced => {
                self.server.counters.commits_replaced.increment();
                dedicated.lease.discard();
                let resolution = Resolution::of_lost_attempt(key, WhenNotRun::Answer);
                self.reply_to_commit(resolution)
            }
            Confirmation::TimedOut => {
                dedicated.lease.discard();
                self.fail_with_unknown_outcome()
            }
        }
    }

    /// Replies to a request whose connection was lost before the end of the reply.
    fn handle_lost_connection(
        &mut self,
        dedicated: DedicatedConnection,
        status_before: u8,
        key: Option<MarkerKey>,
    ) -> Result<(), SessionEnd> {
        let has_written = dedicated.has_written;
        self.session
            .parameters
            .truncate(dedicated.parameter_count_at_begin);
        dedicated.lease.discard();
        if self.request.is_flushed {
            let may_be_committed = self.request.kind == StatementKind::Commit;
            return self.end_session(match may_be_committed {
                true => error_replies::outcome_unknown(),
                false => error_replies::transaction_lost(),
            });
        }
        if let Some(key) = key {
            let resolution = Resolution::of_lost_attempt(key, WhenNotRun::Answer);
            return self.reply_to_commit(resolution);
        }
        let in_transaction =
            status_before != status::IDLE || self.request.kind == StatementKind::Begin;
        if !in_transaction && has_written {
            return self.fail_with_unknown_outcome();
        }
        let ends_transaction = matches!(
            self.request.kind,
            StatementKind::Commit | StatementKind::Rollback
        );
        let stays_open = status_before != status::IDLE && !ends_transaction;
        self.session.has_lost_transaction = stays_open;
        let status = if stays_open {
            status::FAILED
        } else {
            status::IDLE
        };
        self.fail(&error_replies::transaction_lost(), status)
    }

    /// Determines whether a commit took effect, and replies to the caller accordingly.
    fn reply_to_commit(&mut self, resolution: Resolution) -> Result<(), SessionEnd> {
        self.output.buffer.clear();
        match self.resolve(resolution) {
            Err(RequestOutcome::Done { .. }) => {
                self.server.counters.outcomes_done.increment();
                self.put_local_reply("COMMIT");
                self.finish(status::IDLE)
            }
            Err(RequestOutcome::Unknown) => self.fail_with_unknown_outcome(),
            // The proxy has not kept the statements of the transaction, so only the caller can
            // repeat it.
            Err(RequestOutcome::NotRun) | Ok(_) => {
                self.server.counters.outcomes_not_run.increment();
                self.fail(&error_replies::transaction_lost(), status::IDLE)
            }
        }
    }
}
