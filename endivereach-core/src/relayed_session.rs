//! A session that this proxy forwards to a home of its group.
//!
//! The proxy only copies messages. It tracks which statements are unanswered and whether a
//! transaction is open, so that it can report the outcome correctly to the caller when the home is
//! lost.

use crate::engine::statement::Access;
use crate::engine::statement::Answer;
use crate::engine::statement::Body;
use crate::engine::statement::Failure;
use crate::engine::statement::SessionState;
use std::collections::BTreeMap;
use std::collections::VecDeque;

/// The state of a session that a home serves.
///
/// # Examples
///
/// ```
/// use endivereach_core::engine::statement::{Body, Failure, SessionState};
/// use endivereach_core::relayed_session::RelayedSession;
///
/// let mut session = RelayedSession::default();
/// session.note_statement(&Body::Begin { read_only: false });
/// session.note_ready(SessionState::InTransaction);
/// session.note_statement(&Body::Commit);
/// let answer = session.answer_after_loss().unwrap();
/// assert_eq!(answer.failure(), Some(&Failure::InDoubt));
/// ```
#[derive(Clone, Debug)]
pub struct RelayedSession {
    unanswered: VecDeque<StatementEffect>,
    state: SessionState,
    prepared: BTreeMap<Box<str>, Access>,
}

/// The messages of a session that no home has accepted yet.
///
/// A home that accepts a session late may already have run the statements that it received, while
/// the session is being forwarded to another home. So only the session's first message is sent
/// before the home accepts; the others are buffered here.
///
/// # Examples
///
/// ```
/// use endivereach_core::relayed_session::UnsentMessages;
///
/// let mut unsent = UnsentMessages::default();
/// assert!(unsent.send_or_buffer(b"write").is_empty());
/// assert_eq!(unsent.accept(), b"write");
/// assert_eq!(unsent.send_or_buffer(b"read"), b"read");
/// ```
#[derive(Clone, Debug, Default)]
pub struct UnsentMessages {
    messages: Vec<u8>,
    is_accepted: bool,
}

impl UnsentMessages {
    /// Returns the message if it may be sent now; otherwise buffers it and returns an empty slice.
    pub fn send_or_buffer<'m>(&mut self, message: &'m [u8]) -> &'m [u8] {
        if self.is_accepted {
            return message;
        }
        self.messages.extend_from_slice(message);
        &[]
    }

    /// Marks the session as accepted by the home and returns the buffered messages, which are sent
    /// now.
    pub fn accept(&mut self) -> Vec<u8> {
        self.is_accepted = true;
        std::mem::take(&mut self.messages)
    }

    /// Returns whether the home has accepted the session.
    pub fn is_accepted(&self) -> bool {
        self.is_accepted
    }

    /// Returns the buffered messages, which were sent to no home.
    pub fn messages(&self) -> &[u8] {
        &self.messages
    }
}

/// What a statement may have changed if its answer is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StatementEffect {
    /// The statement may have committed a change.
    Commits,
    /// The statement may have committed a change unless a transaction was open.
    Writes,
    /// The statement opened a transaction.
    Begins,
    /// The statement rolled a transaction back.
    RollsBack,
    /// The statement changed nothing.
    Reads,
}

impl Default for RelayedSession {
    fn default() -> Self {
        Self {
            unanswered: VecDeque::new(),
            state: SessionState::Idle,
            prepared: BTreeMap::new(),
        }
    }
}

impl RelayedSession {
    /// Records that a statement was forwarded to the home.
    pub fn note_statement(&mut self, body: &Body) {
        let effect_of_access = |access| match access {
            Access::Read => StatementEffect::Reads,
            Access::Write => StatementEffect::Writes,
        };
        let effect = match body {
            Body::Begin { .. } => StatementEffect::Begins,
            Body::Commit => StatementEffect::Commits,
            Body::Rollback => StatementEffect::RollsBack,
            Body::Run { access, .. } => effect_of_access(*access),
            Body::Execute { name, .. } => {
                let access = self.prepared.get(name).copied();
                effect_of_access(access.unwrap_or(Access::Write))
            }
            Body::Prepare { name, definition } => {
                self.prepared.insert(name.clone(), definition.access);
                StatementEffect::Reads
            }
            _ => StatementEffect::Reads,
        };
        self.unanswered.push_back(effect);
    }

    /// Records that the home completed the answer to the oldest unanswered statement.
    pub fn note_ready(&mut self, state: SessionState) {
        self.unanswered.pop_front();
        self.state = state;
    }

    /// Returns the transaction state after the last answered statement.
    pub fn state(&self) -> SessionState {
        self.state
    }

    /// Returns whether no statement is unanswered and no transaction is open.
    pub fn is_idle(&self) -> bool {
        self.unanswered.is_empty() && self.state == SessionState::Idle
    }

    /// Returns whether any statement is unanswered.
    pub fn is_awaiting_answer(&self) -> bool {
        !self.unanswered.is_empty()
    }

    /// Returns the answer that the caller gets when the home is lost, or `None` if none is
    /// outstanding.
    ///
    /// The home's connections to the servers close, so an open transaction is rolled back. The answer
    /// is the last one of the session, so that it states the outcome of all unanswered statements.
    pub fn answer_after_loss(&self) -> Option<Answer> {
        if self.unanswered.is_empty() {
            return None;
        }
        Some(if self.may_have_committed() {
            let message =
                "the proxy that served the session was lost; look whether the change is there";
            Answer::failed(Failure::InDoubt, message, SessionState::Idle)
        } else {
            let message =
                "the proxy that served the session was lost; nothing is kept, run it again";
            Answer::failed(Failure::Aborted, message, SessionState::Idle)
        })
    }

    /// Returns whether any unanswered statement may have committed a change.
    fn may_have_committed(&self) -> bool {
        let mut in_transaction = self.state != SessionState::Idle;
        for effect in &self.unanswered {
            match effect {
                StatementEffect::Commits => return true,
                StatementEffect::Writes if !in_transaction => return true,
                StatementEffect::Begins => in_transaction = true,
                StatementEffect::RollsBack => in_transaction = false,
                StatementEffect::Writes | StatementEffect::Reads => {}
            }
        }
        false
    }
}
