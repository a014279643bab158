//! Execution of one request, from its arrival to the last byte of its reply.

use super::error_replies;
use super::reply_relay::Output;
use super::reply_relay::PendingReplies;
use super::request::Frames;
use super::request::Request;
use super::request::RequestError;
use super::request::put_batch;
use super::request_log::RequestRecord;
use super::server::Server;
use super::session::POSITION_PARAMETER;
use super::session::Session;
use super::set::parse_proxy_set;
use super::traits::ClassifierSource;
use super::traits::GroupDirectory;
use super::traits::GroupState;
use crate::targets::Connection;
use crate::targets::ConnectionBudget;
use crate::targets::ConnectionError;
use endivereach_core::ids::Position;
use endivereach_core::treatment::StatementKind;
use endivereach_core::treatment::Treatment;
use endivereach_wire::pg::reply::ErrorReply;
use endivereach_wire::pg::reply::Severity;
use endivereach_wire::pg::reply::put_parameter_status;
use endivereach_wire::pg::reply::put_ready_for_query;
use endivereach_wire::pg::tag::caller;
use endivereach_wire::pg::tag::status;
use std::time::Duration;
use std::time::Instant;

/// The time for which a target may send nothing during the first attempt of a request that is held
/// through a failover. After that time the outcome is determined on the current primary. The time
/// doubles with each attempt, so that a slow statement eventually completes.
const HELD_REQUEST_SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// The reason why a session ends.
#[derive(Debug)]
pub(crate) enum SessionEnd {
    /// The caller has disconnected or received a fatal error, or the connection to it can't be used
    /// any further.
    CallerDisconnected,
}

/// The execution of one request.
pub(crate) struct RequestExecution<'a, G: GroupDirectory, S: ClassifierSource, B> {
    pub(crate) server: &'a Server<G, S, B>,
    pub(crate) session: &'a mut Session<G::Group>,
    pub(crate) frames: &'a Frames,
    pub(crate) request: &'a Request,
    pub(crate) output: Output<'a>,
    /// The buffer of messages for the target, reused between requests.
    pub(crate) target_output: &'a mut Vec<u8>,
    pub(crate) deadline: Instant,
    /// Whether the request has a caller-supplied ID.
    pub(crate) has_caller_request_id: bool,
    pub(crate) record: RequestRecord,
}

impl<G, S, B> RequestExecution<'_, G, S, B>
where
    G: GroupDirectory,
    S: ClassifierSource,
    B: ConnectionBudget,
{
    /// Executes the request and sends the reply.
    ///
    /// # Errors
    ///
    /// Returns [`SessionEnd`] when the session can't continue.
    pub(crate) fn run(&mut self) -> Result<(), SessionEnd> {
        if self.session.has_lost_transaction {
            return self.handle_lost_transaction();
        }
        if self.request.only_prepares_proxy_set {
            self.put_local_reply("SET");
            let status = self.dedicated_status();
            return self.finish(status);
        }
        let request = self.request;
        if request.kind == StatementKind::Set
            && let Some(proxy_set) = parse_proxy_set(&request.sql)
        {
            return self.run_proxy_set(proxy_set);
        }
        if self.session.dedicated.is_some() {
            return self.run_on_dedicated_connection();
        }
        if request.is_flushed {
            return self.run_flushed();
        }
        match self.request.kind {
            StatementKind::Refused => self.refuse(),
            StatementKind::Set => self.run_set(),
            StatementKind::Begin | StatementKind::PinsConnection => {
                self.run_on_new_dedicated_connection()
            }
            StatementKind::Read => self.run_read(),
            StatementKind::Write | StatementKind::Commit | StatementKind::Rollback => {
                self.run_write()
            }
        }
    }

    /// Executes the first part of a batch that continues after a `Flush`.
    fn run_flushed(&mut self) -> Result<(), SessionEnd> {
        if self.request.kind == StatementKind::Refused {
            let statement = self.request.statement.as_ref();
            let reason = statement.map_or("", |statement| &statement.classified.reason);
            return self.end_session(error_replies::unsupported_statement(reason));
        }
        self.run_on_new_dedicated_connection()
    }

    fn refuse(&mut self) -> Result<(), SessionEnd> {
        let statement = self.request.statement.as_ref();
        let reason = statement.map_or("", |statement| &statement.classified.reason);
        let error = error_replies::unsupported_statement(reason);
        self.fail(&error, status::IDLE)
    }

    /// Refuses every request until the caller ends the lost transaction.
    fn handle_lost_transaction(&mut self) -> Result<(), SessionEnd> {
        if matches!(
            self.request.kind,
            StatementKind::Commit | StatementKind::Rollback
        ) {
            self.session.has_lost_transaction = false;
            self.put_local_reply("ROLLBACK");
            return self.finish(status::IDLE);
        }
        let error = ErrorReply::new(
            "25P02",
            "the transaction was lost with its connection; commands are ignored until its end",
            "Send ROLLBACK, then repeat the whole transaction.",
        );
        self.fail(&error, status::FAILED)
    }

    /// Returns the treatment that the rules assign to the request, or `None` when the request
    /// executes no statement.
    pub(crate) fn treatment(&self) -> Option<&Treatment> {
        let statement = self.request.statement.as_ref();
        statement.map(|statement| &statement.classified.treatment)
    }

    /// Returns whether the request waits for the new primary during a failover instead of failing.
    pub(crate) fn is_held_through_failover(&self) -> bool {
        self.treatment()
            .is_some_and(|treatment| treatment.wait_for_primary)
    }

    /// Returns the time until the request's deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the maximum time for which a target may send nothing in the given attempt of a
    /// write. The first attempt has the number 1.
    pub(crate) fn write_silence_timeout(&self, attempt: u32) -> Duration {
        let left = self.time_left();
        if self.is_held_through_failover() {
            left.min(
                HELD_REQUEST_SILENCE_TIMEOUT
                    * 2u32.saturating_pow(attempt.saturating_sub(1).min(8)),
            )
        } else {
            left / 2
        }
    }

    /// Appends the caller's frames to `target_output`, rewritten for the connection.
    ///
    /// # Errors
    ///
    /// Returns the error reply for the caller.
    pub(crate) fn put_request(
        &mut self,
        connection: &mut Connection,
    ) -> Result<PendingReplies, RequestError> {
        let mut expected = PendingReplies::default();
        connection.is_dirty |= self.request.may_leave_state;
        if !self.request.is_extended {
            for (_, frame) in self.frames.iter() {
                self.target_output.extend_from_slice(frame);
            }
            return Ok(expected);
        }
        let shared = &self.server.prepared;
        put_batch(
            self.session,
            shared,
            self.frames,
            connection,
            self.target_output,
            &mut expected,
        )?;
        Ok(expected)
    }

    /// Sends the contents of `target_output`.
    ///
    /// # Errors
    ///
    /// Returns the connection's error.
    pub(crate) fn send(&mut self, connection: &mut Connection) -> Result<(), ConnectionError> {
        self.record.attempts += 1;
        if self.record.target.as_ref() != Some(&connection.address.member) {
            self.record.target = Some(connection.address.member.clone());
        }
        connection.send(self.target_output)
    }

    /// Records a confirmed commit, and appends its position to the reply.
    pub(crate) fn record_commit(&mut self, position: Position) {
        self.server.counters.commits_confirmed.increment();
        self.session.position.observe_commit(position);
        put_parameter_status(
            self.output.buffer,
            POSITION_PARAMETER,
            &position.to_string(),
        );
    }

    /// Discards the unsent part of the reply and replies with an error.
    ///
    /// # Errors
    ///
    /// Returns [`SessionEnd`] when the caller has disconnected.
    pub(crate) fn fail(&mut self, error: &ErrorReply, status: u8) -> Result<(), SessionEnd> {
        self.output.buffer.clear();
        error.put(self.output.buffer);
        self.record.sqlstate = error.code.into();
        self.finish(status)
    }

    /// Replies to a request that can't be sent to a target.
    ///
    /// # Errors
    ///
    /// Returns [`SessionEnd`] when the session can't continue.
    pub(crate) fn fail_request(
        &mut self,
        request_error: RequestError,
        status: u8,
    ) -> Result<(), SessionEnd> {
        match request_error {
            RequestError::Refused(error) => self.fail(&error, status),
            RequestError::Fatal(error) => self.end_session(error),
        }
    }

    /// Replies with a fatal error, for example in the middle of a batch, and ends the session.
    ///
    /// # Errors
    ///
    /// Returns [`SessionEnd`] always.
    pub(crate) fn end_session(&mut self, error: ErrorReply) -> Result<(), SessionEnd> {
        let error = ErrorReply {
            severity: Severity::Fatal,
            ..error
        };
        self.output.buffer.clear();
        error.put(self.output.buffer);
        // A write error is ignored because the session ends in any case.
        let _ = self.output.flush();
        Err(SessionEnd::CallerDisconnected)
    }

    /// Appends `ReadyForQuery` with the given transaction status, and sends the rest of the reply.
    ///
    /// # Errors
    ///
    /// Returns [`SessionEnd`] when the caller has disconnected.
    pub(crate) fn finish(&mut self, status: u8) -> Result<(), SessionEnd> {
        put_ready_for_query(self.output.buffer, status);
        self.output
            .flush()
            .map_err(|_| SessionEnd::CallerDisconnected)
    }

    /// Appends a reply to every message of the request, with `command` as the command tag and
    /// without a target.
    pub(crate) fn put_local_reply(&mut self, command: &str) {
        super::local_reply::put_command_reply(
            self.output.buffer,
            self.frames,
            self.request,
            command,
        );
    }

    /// Returns whether the request is a batch that consists of `Sync` only.
    pub(crate) fn is_empty_batch(&self) -> bool {
        self.request.is_extended && self.frames.iter().all(|(tag, _)| tag == caller::SYNC)
    }

    /// Returns the group of the session.
    pub(crate) fn group(&self) -> &G::Group {
        &self.session.group
    }

    /// Reports to the group that a connection to one of its members failed.
    pub(crate) fn report_failure(&self, error: &ConnectionError, connection: &Connection) {
        if matches!(error, ConnectionError::Silent) {
            self.server.counters.connections_silent.increment();
        }
        self.group().report_unresponsive(&connection.address.member);
    }
}
