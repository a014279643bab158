//! One request of a caller: a simple query, or an extended batch up to `Sync`.

use super::answer::Expect;
use super::answer::Expected;
use super::refusal;
use super::seam::ClassifierSource;
use super::session::Session;
use super::set::parse_own;
use super::statement::Prepared;
use super::statement::PreparedStatements;
use super::statement::Statement;
use super::statement::Statements;
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
        if self.bytes.capacity() > FRAMES_KEPT_BYTES {
            self.bytes.shrink_to(FRAMES_KEPT_BYTES);
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
const FRAMES_KEPT_BYTES: usize = 64 * 1024;

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
    fn own_set(sql: &str, is_extended: bool) -> Self {
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
pub(crate) enum BadRequest {
    /// The request is answered with an error, and the session goes on.
    Refused(ErrorReply),
    /// The connection can't go on.
    Fatal(ErrorReply),
}

/// Reads requests: what they run, and under which rule.
pub(crate) struct Reader<'a, S: ClassifierSource> {
    pub(crate) statements: &'a Statements<S>,
    pub(crate) prepared: &'a PreparedStatements,
    pub(crate) scratch: &'a mut String,
}

impl<S: ClassifierSource> Reader<'_, S> {
    /// Reads a simple query.
    ///
    /// # Errors
    ///
    /// Returns the answer for the caller.
    pub(crate) fn simple<G>(
        &mut self,
        session: &Session<G>,
        frame: &[u8],
    ) -> Result<Request, BadRequest> {
        let text = frame[HEADER_BYTES..].strip_suffix(&[0]);
        let sql = text
            .and_then(|text| std::str::from_utf8(text).ok())
            .ok_or_else(not_text)?;
        if parse_own(sql).is_some() {
            return Ok(Request::own_set(sql, false));
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
    pub(crate) fn batch<G>(
        &mut self,
        session: &mut Session<G>,
        frames: &Frames,
    ) -> Result<Request, BadRequest> {
        let mut portals: HashMap<Box<[u8]>, Arc<Prepared>> = HashMap::new();
        let mut run: Vec<Arc<Prepared>> = Vec::new();
        let mut runs_unknown_portal = false;
        let mut prepares_own = false;
        for (tag, frame) in frames.iter() {
            let body = &frame[HEADER_BYTES..];
            match tag {
                caller::PARSE => {
                    let (name, definition) = cut_name(body)?;
                    let prepared = self.prepared.find(definition).ok_or_else(not_text)?;
                    prepares_own |= parse_own(prepared.text()).is_some();
                    session.prepared.insert(name.into(), prepared);
                }
                caller::BIND => {
                    let (portal, rest) = cut_name(body)?;
                    let (name, _) = cut_name(rest)?;
                    let prepared = find_prepared(session, name)?;
                    portals.insert(portal.into(), prepared);
                }
                caller::EXECUTE => match portals.get(cut_name(body)?.0) {
                    Some(prepared) => run.push(Arc::clone(prepared)),
                    None => runs_unknown_portal = true,
                },
                caller::DESCRIBE | caller::CLOSE if body.is_empty() => return Err(malformed()),
                _ => {}
            }
        }
        let is_flushed = frames.ends_with(caller::FLUSH);
        if let [only] = &run[..]
            && parse_own(only.text()).is_some()
            && !is_flushed
        {
            return Ok(Request::own_set(only.text(), true));
        }
        let mut request = self.combine(session, &run, runs_unknown_portal);
        request.is_flushed = is_flushed;
        request.is_local = run.is_empty() && prepares_own && !request.is_flushed;
        Ok(request)
    }

    /// Finds the kind and treatment that fit everything that a batch runs.
    fn combine<G>(
        &mut self,
        session: &Session<G>,
        run: &[Arc<Prepared>],
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
        for prepared in run {
            let sql = prepared.text();
            let statement = self.statements.find(&session.group_name, sql, self.scratch);
            let kind = statement.classified.kind;
            request.may_leave_state |= statement.may_leave_state;
            let is_first = request.statement.is_none();
            if is_first || weight(kind) > weight(request.kind) {
                request.statement = Some(statement);
                request.sql = sql.into();
            }
            request.kind = if is_first {
                kind
            } else {
                combined(request.kind, kind)
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
fn combined(first: StatementKind, second: StatementKind) -> StatementKind {
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
fn weight(kind: StatementKind) -> u8 {
    match kind {
        StatementKind::Refused => 4,
        StatementKind::Pins => 3,
        StatementKind::Write => 2,
        StatementKind::Read => 0,
        _ => 1,
    }
}

fn malformed() -> BadRequest {
    BadRequest::Fatal(refusal::protocol("a malformed frame"))
}

fn not_text() -> BadRequest {
    BadRequest::Fatal(refusal::protocol("a statement that is not UTF-8 text"))
}

/// Cuts a name off the front of a frame's body, without its closing zero byte.
fn cut_name(body: &[u8]) -> Result<(&[u8], &[u8]), BadRequest> {
    let end = body.iter().position(|&byte| byte == 0);
    let end = end.ok_or_else(malformed)?;
    Ok((&body[..end], &body[end + 1..]))
}

fn find_prepared<G>(session: &Session<G>, name: &[u8]) -> Result<Arc<Prepared>, BadRequest> {
    session.prepared.get(name).cloned().ok_or_else(|| {
        BadRequest::Refused(ErrorReply::new(
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
    expected: &mut Expected,
) -> Result<(), BadRequest> {
    for (tag, frame) in frames.iter() {
        let body = &frame[HEADER_BYTES..];
        match tag {
            caller::PARSE => {
                // A batch may prepare several statements under one name in turn.
                let (name, definition) = cut_name(body)?;
                let prepared = shared.find(definition).ok_or_else(not_text)?;
                session.prepared.insert(name.into(), Arc::clone(&prepared));
                if connection.prepared.insert(prepared.id) {
                    put_parse(bytes, &prepared);
                    expected.push(Expect::Forward);
                } else {
                    expected.push(Expect::Insert(target::PARSE_COMPLETE));
                }
            }
            caller::BIND => {
                let (portal, rest) = cut_name(body)?;
                let (name, rest) = cut_name(rest)?;
                let prepared = find_prepared(session, name)?;
                ensure_prepared(connection, &prepared, bytes, expected);
                let target_name = prepared.target_name();
                put_frame(bytes, tag, &[portal, &[0], &target_name, rest].concat());
                expected.push(Expect::Forward);
            }
            caller::DESCRIBE if body.first() == Some(&b'S') => {
                let (name, _) = cut_name(&body[1..])?;
                let prepared = find_prepared(session, name)?;
                ensure_prepared(connection, &prepared, bytes, expected);
                put_frame(bytes, tag, &[b"S", &prepared.target_name()[..]].concat());
                expected.push(Expect::Forward);
            }
            caller::CLOSE if body.first() == Some(&b'S') => {
                let (name, _) = cut_name(&body[1..])?;
                session.prepared.remove(name);
                expected.push(Expect::Insert(target::CLOSE_COMPLETE));
            }
            caller::SYNC | caller::FLUSH => bytes.extend_from_slice(frame),
            _ => {
                bytes.extend_from_slice(frame);
                expected.push(Expect::Forward);
            }
        }
    }
    Ok(())
}

fn ensure_prepared(
    connection: &mut Connection,
    prepared: &Prepared,
    bytes: &mut Vec<u8>,
    expected: &mut Expected,
) {
    if connection.prepared.insert(prepared.id) {
        put_parse(bytes, prepared);
        expected.push(Expect::Swallow);
    }
}

fn put_parse(bytes: &mut Vec<u8>, prepared: &Prepared) {
    let body = [&prepared.target_name()[..], &prepared.definition].concat();
    put_frame(bytes, caller::PARSE, &body);
}
