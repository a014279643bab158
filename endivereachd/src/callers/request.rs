//! One request of a caller: a simple query, or an extended batch up to `Sync`.

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

/// The frames of one request, as they arrived.
#[derive(Debug, Default)]
pub(crate) struct Frames {
    bytes: Vec<u8>,
    ranges: Vec<Range<usize>>,
}

impl Frames {
    pub(crate) fn clear(&mut self) {
        self.bytes.clear();
        self.ranges.clear();
        if self.bytes.capacity() > RETAINED_FRAMES_BYTES {
            self.bytes.shrink_to(RETAINED_FRAMES_BYTES);
        }
    }

    pub(crate) fn push(&mut self, frame: &[u8]) {
        let start = self.bytes.len();
        self.bytes.extend_from_slice(frame);
        self.ranges.push(start..self.bytes.len());
    }

    /// Returns how many bytes there are.
    pub(crate) fn len_bytes(&self) -> usize {
        self.bytes.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// Returns whether the last frame is of this type.
    pub(crate) fn ends_with(&self, tag: u8) -> bool {
        self.iter().last().is_some_and(|(last, _)| last == tag)
    }

    /// Returns the frames: type byte and whole frame.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (u8, &[u8])> {
        let frames = self.ranges.iter().map(|range| &self.bytes[range.clone()]);
        frames.map(|frame| (frame[0], frame))
    }
}

/// The memory that a worker keeps for frames between requests, in bytes.
const RETAINED_FRAMES_BYTES: usize = 64 * 1024;

/// What a request asks for, as far as routing is concerned.
#[derive(Debug)]
pub(crate) struct Request {
    /// The kind that decides the route.
    pub(crate) kind: StatementKind,
    /// The statement that decides the treatment, or `None` when nothing is run.
    pub(crate) statement: Option<Arc<Statement>>,
    /// Whether it is an extended batch.
    pub(crate) is_extended: bool,
    /// Whether any of it may leave state on the connection.
    pub(crate) may_leave_state: bool,
    /// The text of a simple query, or of the one statement that a batch runs.
    pub(crate) sql: Box<str>,
    /// Whether it only prepares or describes a statement that the proxy itself runs.
    pub(crate) is_local: bool,
    /// Whether it is a part of a batch that ends with `Flush`, and goes on later.
    pub(crate) is_flushed: bool,
}

impl Request {
    /// A request that sets one of the proxy's own parameters.
    fn proxy_set(sql: &str, is_extended: bool) -> Self {
        Self {
            kind: StatementKind::Set,
            statement: None,
            is_extended,
            may_leave_state: false,
            sql: sql.into(),
            is_local: false,
            is_flushed: false,
        }
    }
}

/// Why a request can't be run.
#[derive(Debug)]
pub(crate) enum RequestError {
    /// The request is answered with an error, and the session goes on.
    Refused(ErrorReply),
    /// The connection can't go on.
    Fatal(ErrorReply),
}

/// Reads requests: what they run, and under which rule.
pub(crate) struct RequestReader<'a, S: ClassifierSource> {
    pub(crate) statements: &'a StatementCache<S>,
    pub(crate) prepared: &'a PreparedStatements,
    pub(crate) scratch: &'a mut String,
}

impl<S: ClassifierSource> RequestReader<'_, S> {
    /// Reads a simple query.
    ///
    /// # Errors
    ///
    /// Returns the answer for the caller.
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
        let statement = self.statements.find(&session.group_name, sql, self.scratch);
        Ok(Request {
            kind: statement.classified.kind,
            is_extended: false,
            may_leave_state: statement.may_leave_state,
            sql: match statement.classified.kind {
                StatementKind::Read => "".into(),
                _ => sql.into(),
            },
            statement: Some(statement),
            is_local: false,
            is_flushed: false,
        })
    }

    /// Reads an extended batch, and takes note of the statements that it prepares and closes.
    ///
    /// # Errors
    ///
    /// Returns the answer for the caller.
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
                    let prepared = self.prepared.find(definition).ok_or_else(not_utf8)?;
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
        request.is_local =
            statements_to_run.is_empty() && prepares_proxy_set && !request.is_flushed;
        Ok(request)
    }

    /// Finds the kind and treatment that fit everything that a batch runs.
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
            is_local: false,
            is_flushed: false,
        };
        for prepared in statements_to_run {
            let sql = prepared.text();
            let statement = self.statements.find(&session.group_name, sql, self.scratch);
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
            // The portal belongs to the open transaction, or the target will say that it's unknown.
            request.kind = StatementKind::Write;
        }
        request
    }
}

/// Returns the kind of two statements that run in one batch.
fn combined_kind(first: StatementKind, second: StatementKind) -> StatementKind {
    use StatementKind::{Commit, Pins, Read, Refused};
    match (first, second) {
        (Refused, _) | (_, Refused) => Refused,
        (Pins, _) | (_, Pins) => Pins,
        (Read, Read) => Read,
        (Commit, _) | (_, Commit) => Commit,
        _ => StatementKind::Write,
    }
}

/// Returns which of two statements decides the treatment of their batch.
fn precedence(kind: StatementKind) -> u8 {
    match kind {
        StatementKind::Refused => 4,
        StatementKind::Pins => 3,
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

/// Cuts a name off the front of a frame's body, without its closing zero byte.
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

/// Writes an extended batch as `connection` needs it: statements that it lacks are prepared, and
/// names are replaced by the ones that all callers share.
///
/// # Errors
///
/// Returns the answer for the caller.
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
                // A batch may prepare several statements under one name in turn.
                let (name, definition) = split_name(body)?;
                let prepared = shared.find(definition).ok_or_else(not_utf8)?;
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
