//! Parsing of one request of a caller: a simple query, or an extended-protocol batch up to `Sync`
//! or `Flush`.

use super::error_replies;
use super::reply_relay::PendingReplies;
use super::reply_relay::ReplyAction;
use super::session::Session;
use super::set::parse_proxy_set;
use super::statement::PreparedStatement;
use super::statement::PreparedStatements;
use super::statement::Statement;
use super::statement::StatementCache;
use super::traits::ClassifierSource;
use crate::targets::Connection;
use endivereach_core::treatment::StatementKind;
use endivereach_wire::pg::frame::HEADER_BYTES;
use endivereach_wire::pg::frame::put_frame;
use endivereach_wire::pg::reply::ErrorReply;
use endivereach_wire::pg::tag::caller;
use endivereach_wire::pg::tag::target;
use std::collections::HashMap;
use std::ops::Range;
use std::sync::Arc;

/// The protocol frames of one request, exactly as the caller sent them.
#[derive(Debug, Default)]
pub(crate) struct Frames {
    bytes: Vec<u8>,
    ranges: Vec<Range<usize>>,
}

impl Frames {
    pub(crate) fn clear(&mut self) {
        self.bytes.clear();
        self.ranges.clear();
        if self.bytes.capacity() > RETAINED_FRAMES_MAX_BYTES {
            self.bytes.shrink_to(RETAINED_FRAMES_MAX_BYTES);
        }
    }

    pub(crate) fn push(&mut self, frame: &[u8]) {
        let start = self.bytes.len();
        self.bytes.extend_from_slice(frame);
        self.ranges.push(start..self.bytes.len());
    }

    /// Returns the total size of the frames.
    pub(crate) fn len_bytes(&self) -> usize {
        self.bytes.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// Returns whether the last frame has the type byte `tag`.
    pub(crate) fn ends_with(&self, tag: u8) -> bool {
        self.iter().last().is_some_and(|(last, _)| last == tag)
    }

    /// Iterates over the frames as pairs of type byte and whole frame, header included.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (u8, &[u8])> {
        let frames = self.ranges.iter().map(|range| &self.bytes[range.clone()]);
        frames.map(|frame| (frame[0], frame))
    }
}

/// The capacity of the frame buffer that a worker retains between requests, in bytes.
const RETAINED_FRAMES_MAX_BYTES: usize = 64 * 1024;

/// The properties of a request that decide how it is routed and executed.
#[derive(Debug)]
pub(crate) struct Request {
    /// The statement kind that selects the route.
    pub(crate) kind: StatementKind,
    /// The statement whose treatment applies, or `None` when the request executes no statement.
    pub(crate) statement: Option<Arc<Statement>>,
    /// Whether the request uses the extended query protocol.
    pub(crate) is_extended: bool,
    /// Whether any statement of the request may leave session state on the connection.
    pub(crate) may_leave_state: bool,
    /// The text of a simple query, or of the statement that selects the treatment of a batch. Empty
    /// for reads that are simple queries.
    pub(crate) sql: Box<str>,
    /// Whether the request only prepares or describes a `SET` that the proxy executes itself.
    pub(crate) only_prepares_proxy_set: bool,
    /// Whether the request is a part of a batch that ends with `Flush`, so that more frames of the
    /// same batch follow.
    pub(crate) is_flushed: bool,
}

impl Request {
    /// Creates a request that sets a parameter of the proxy itself.
    fn proxy_set(sql: &str, is_extended: bool) -> Self {
        Self {
            kind: StatementKind::Set,
            statement: None,
            is_extended,
            may_leave_state: false,
            sql: sql.into(),
            only_prepares_proxy_set: false,
            is_flushed: false,
        }
    }
}

/// The reason why a request can't be executed.
#[derive(Debug)]
pub(crate) enum RequestError {
    /// The caller receives an error and the session continues.
    Refused(ErrorReply),
    /// The caller receives an error and the session ends.
    Fatal(ErrorReply),
}

/// Parses requests and classifies their statements by the rules in force.
pub(crate) struct RequestReader<'a, S: ClassifierSource> {
    pub(crate) statements: &'a StatementCache<S>,
    pub(crate) prepared: &'a PreparedStatements,
    pub(crate) scratch: &'a mut String,
}

impl<S: ClassifierSource> RequestReader<'_, S> {
    /// Parses a simple query.
    ///
    /// # Errors
    ///
    /// Returns the error reply for the caller.
    pub(crate) fn read_simple<G>(
        &mut self,
        session: &Session<G>,
        frame: &[u8],
    ) -> Result<Request, RequestError> {
        let text = frame[HEADER_BYTES..].strip_suffix(&[0]);
        let sql = text
            .and_then(|text| std::str::from_utf8(text).ok())
            .ok_or_else(not_utf8)?;
        if parse_proxy_set(sql).is_some() {
            return Ok(Request::proxy_set(sql, false));
        }
        let statement = self
            .statements
            .get_or_classify(&session.group_name, sql, self.scratch);
        Ok(Request {
            kind: statement.classified.kind,
            is_extended: false,
            may_leave_state: statement.may_leave_state,
            sql: match statement.classified.kind {
                StatementKind::Read => "".into(),
                _ => sql.into(),
            },
            statement: Some(statement),
            only_prepares_proxy_set: false,
            is_flushed: false,
        })
    }

    /// Parses an extended-protocol batch and records in the session which statements it prepares.
    ///
    /// # Errors
    ///
    /// Returns the error reply for the caller.
    pub(crate) fn read_batch<G>(
        &mut self,
        session: &mut Session<G>,
        frames: &Frames,
    ) -> Result<Request, RequestError> {
        let mut portals: HashMap<Box<[u8]>, Arc<PreparedStatement>> = HashMap::new();
        let mut statements_to_run: Vec<Arc<PreparedStatement>> = Vec::new();
        let mut runs_unknown_portal = false;
        let mut prepares_proxy_set = false;
        for (tag, frame) in frames.iter() {
            let body = &frame[HEADER_BYTES..];
            match tag {
                caller::PARSE => {
                    let (name, definition) = split_name(body)?;
                    let prepared = self
                        .prepared
                        .get_or_create(definition)
                        .ok_or_else(not_utf8)?;
                    prepares_proxy_set |= parse_proxy_set(prepared.text()).is_some();
                    session.prepared.insert(name.into(), prepared);
                }
                caller::BIND => {
                    let (portal, rest) = split_name(body)?;
                    let (name, _) = split_name(rest)?;
                    let prepared = find_prepared_statement(session, name)?;
                    portals.insert(portal.into(), prepared);
                }
                caller::EXECUTE => match portals.get(split_name(body)?.0) {
                    Some(prepared) => statements_to_run.push(Arc::clone(prepared)),
                    None => runs_unknown_portal = true,
                },
                caller::DESCRIBE | caller::CLOSE if body.is_empty() => return Err(malformed()),
                _ => {}
            }
        }
        let is_flushed = frames.ends_with(caller::FLUSH);
        if let [only] = &statements_to_run[..]
            && parse_proxy_set(only.text()).is_some()
            && !is_flushed
        {
            return Ok(Request::proxy_set(only.text(), true));
        }
        let mut request = self.combine_statements(session, &statements_to_run, runs_unknown_portal);
        request.is_flushed = is_flushed;
        request.only_prepares_proxy_set =
            statements_to_run.is_empty() && prepares_proxy_set && !request.is_flushed;
        Ok(request)
    }

    /// Determines one kind and one treatment that are valid for every statement of a batch.
    fn combine_statements<G>(
        &mut self,
        session: &Session<G>,
        statements_to_run: &[Arc<PreparedStatement>],
        runs_unknown_portal: bool,
    ) -> Request {
        let mut request = Request {
            kind: StatementKind::Read,
            statement: None,
            is_extended: true,
            may_leave_state: false,
            sql: "".into(),
            only_prepares_proxy_set: false,
            is_flushed: false,
        };
        for prepared in statements_to_run {
            let sql = prepared.text();
            let statement = self
                .statements
                .get_or_classify(&session.group_name, sql, self.scratch);
            let kind = statement.classified.kind;
            request.may_leave_state |= statement.may_leave_state;
            let is_first = request.statement.is_none();
            if is_first || precedence(kind) > precedence(request.kind) {
                request.statement = Some(statement);
                request.sql = sql.into();
            }
            request.kind = if is_first {
                kind
            } else {
                combined_kind(request.kind, kind)
            };
        }
        if runs_unknown_portal && request.kind == StatementKind::Read {
            // The portal was bound by an earlier batch of the open transaction; if it does not
            // exist, the target reports the error.
            request.kind = StatementKind::Write;
        }
        request
    }
}

/// Returns the kind of a batch that contains statements of both kinds.
fn combined_kind(first: StatementKind, second: StatementKind) -> StatementKind {
    use StatementKind::{Commit, PinsConnection, Read, Refused};
    match (first, second) {
        (Refused, _) | (_, Refused) => Refused,
        (PinsConnection, _) | (_, PinsConnection) => PinsConnection,
        (Read, Read) => Read,
        // A batch with a `COMMIT` ends the transaction, so its commit must be confirmed.
        (Commit, _) | (_, Commit) => Commit,
        _ => StatementKind::Write,
    }
}

/// Returns the precedence of a kind: the treatment of a batch is that of its statement with the
/// highest precedence.
fn precedence(kind: StatementKind) -> u8 {
    match kind {
        StatementKind::Refused => 4,
        StatementKind::PinsConnection => 3,
        StatementKind::Write => 2,
        StatementKind::Read => 0,
        _ => 1,
    }
}

fn malformed() -> RequestError {
    RequestError::Fatal(error_replies::protocol_violation("a malformed frame"))
}

fn not_utf8() -> RequestError {
    RequestError::Fatal(error_replies::protocol_violation(
        "a statement that is not UTF-8 text",
    ))
}

/// Splits a zero-terminated name off the front of a frame body. Returns the name without its
/// terminator, and the rest of the body.
fn split_name(body: &[u8]) -> Result<(&[u8], &[u8]), RequestError> {
    let end = body.iter().position(|&byte| byte == 0);
    let end = end.ok_or_else(malformed)?;
    Ok((&body[..end], &body[end + 1..]))
}

fn find_prepared_statement<G>(
    session: &Session<G>,
    name: &[u8],
) -> Result<Arc<PreparedStatement>, RequestError> {
    session.prepared.get(name).cloned().ok_or_else(|| {
        RequestError::Refused(ErrorReply::new(
            "26000",
            format!(
                "prepared statement {:?} does not exist",
                String::from_utf8_lossy(name)
            ),
            "Prepare it on this connection first.",
        ))
    })
}

/// Appends an extended-protocol batch to `bytes`, rewritten for `connection`: adds `Parse` messages
/// for statements that the connection has not prepared yet, and replaces the caller's statement
/// names by the names that all callers share. Appends what to do with each reply to `expected`.
///
/// # Errors
///
/// Returns the error reply for the caller.
pub(crate) fn put_batch<G>(
    session: &mut Session<G>,
    shared: &PreparedStatements,
    frames: &Frames,
    connection: &mut Connection,
    bytes: &mut Vec<u8>,
    expected: &mut PendingReplies,
) -> Result<(), RequestError> {
    for (tag, frame) in frames.iter() {
        let body = &frame[HEADER_BYTES..];
        match tag {
            caller::PARSE => {
                // A batch may prepare the same name more than once, so the session's entry has to
                // follow the position in the batch.
                let (name, definition) = split_name(body)?;
                let prepared = shared.get_or_create(definition).ok_or_else(not_utf8)?;
                session.prepared.insert(name.into(), Arc::clone(&prepared));
                if connection.prepared.insert(prepared.id) {
                    put_parse(bytes, &prepared);
                    expected.push(ReplyAction::Forward);
                } else {
                    expected.push(ReplyAction::Insert(target::PARSE_COMPLETE));
                }
            }
            caller::BIND => {
                let (portal, rest) = split_name(body)?;
                let (name, rest) = split_name(rest)?;
                let prepared = find_prepared_statement(session, name)?;
                put_missing_parse(connection, &prepared, bytes, expected);
                let target_name = prepared.target_name();
                put_frame(bytes, tag, &[portal, &[0], &target_name, rest].concat());
                expected.push(ReplyAction::Forward);
            }
            caller::DESCRIBE if body.first() == Some(&b'S') => {
                let (name, _) = split_name(&body[1..])?;
                let prepared = find_prepared_statement(session, name)?;
                put_missing_parse(connection, &prepared, bytes, expected);
                put_frame(bytes, tag, &[b"S", &prepared.target_name()[..]].concat());
                expected.push(ReplyAction::Forward);
            }
            caller::CLOSE if body.first() == Some(&b'S') => {
                let (name, _) = split_name(&body[1..])?;
                session.prepared.remove(name);
                expected.push(ReplyAction::Insert(target::CLOSE_COMPLETE));
            }
            caller::SYNC | caller::FLUSH => bytes.extend_from_slice(frame),
            _ => {
                bytes.extend_from_slice(frame);
                expected.push(ReplyAction::Forward);
            }
        }
    }
    Ok(())
}

/// Prepares a statement on the connection unless the connection has it already.
fn put_missing_parse(
    connection: &mut Connection,
    prepared: &PreparedStatement,
    bytes: &mut Vec<u8>,
    expected: &mut PendingReplies,
) {
    if connection.prepared.insert(prepared.id) {
        put_parse(bytes, prepared);
        expected.push(ReplyAction::Discard);
    }
}

fn put_parse(bytes: &mut Vec<u8>, prepared: &PreparedStatement) {
    let body = [&prepared.target_name()[..], &prepared.definition].concat();
    put_frame(bytes, caller::PARSE, &body);
}
