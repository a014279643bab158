//! A session that this proxy passes on to a home of its group.
//!
//! The proxy only copies messages. It keeps what it needs to tell the caller the truth when the home
//! is lost: which statements are unanswered, and whether a transaction is open.

use crate::engine::statement::Access;
use crate::engine::statement::Answer;
use crate::engine::statement::Body;
use crate::engine::statement::Failure;
use crate::engine::statement::SessionState;
use std::collections::BTreeMap;
use std::collections::VecDeque;

/// What is known of a session that a home serves.
///
/// # Examples
///
/// ```
/// use endivereach_core::engine::statement::{Body, Failure, SessionState};
/// use endivereach_core::relayed::RelayedSession;
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
    unanswered: VecDeque<Kind>,
    state: SessionState,
    prepared: BTreeMap<Box<str>, Access>,
}

/// The messages of a session that its home hasn't accepted yet.
///
/// A home that accepts late may have run what it was sent, and another home is tried meanwhile. So
/// nothing but the session's first message is sent before the home has accepted it.
///
/// # Examples
///
/// ```
/// use endivereach_core::relayed::HeldBack;
///
/// let mut held = HeldBack::default();
/// assert!(held.pass(b"write").is_empty());
/// assert_eq!(held.accept(), b"write");
/// assert_eq!(held.pass(b"read"), b"read");
/// ```
#[derive(Clone, Debug, Default)]
pub struct HeldBack {
    messages: Vec<u8>,
    is_accepted: bool,
}

impl HeldBack {
    /// Takes a message, and returns what is sent of it now.
    pub fn pass<'m>(&mut self, message: &'m [u8]) -> &'m [u8] {
        if self.is_accepted {
            return message;
        }
        self.messages.extend_from_slice(message);
        &[]
    }

    /// The home accepted the session: returns what is sent now.
    pub fn accept(&mut self) -> Vec<u8> {
        self.is_accepted = true;
        std::mem::take(&mut self.messages)
    }

    /// Returns whether the home accepted the session.
    pub fn is_accepted(&self) -> bool {
        self.is_accepted
    }

    /// Returns the messages that no home was sent.
    pub fn messages(&self) -> &[u8] {
        &self.messages
    }
}

/// What losing a statement's answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// It may have changed something for good.
    Commits,
    /// It may have changed something if no transaction was open.
    Writes,
    /// It changed nothing.
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
    /// A statement was passed on.
    pub fn note_statement(&mut self, body: &Body) {
        let of_access = |access| match access {
            Access::Read => Kind::Reads,
            Access::Write => Kind::Writes,
        };
        let kind = match body {
            Body::Commit => Kind::Commits,
            Body::Run { access, .. } => of_access(*access),
            Body::Execute { name, .. } => {
                let access = self.prepared.get(name).copied();
                of_access(access.unwrap_or(Access::Write))
            }
            Body::Prepare { name, shape } => {
                self.prepared.insert(name.clone(), shape.access);
                Kind::Reads
            }
            _ => Kind::Reads,
        };
        self.unanswered.push_back(kind);
    }

    /// The home finished an answer.
    pub fn note_ready(&mut self, state: SessionState) {
        self.unanswered.pop_front();
        self.state = state;
    }

    /// Returns whether the session can be ended without losing anything.
    pub fn is_at_rest(&self) -> bool {
        self.unanswered.is_empty() && self.state == SessionState::Idle
    }

    /// Returns whether the caller waits for an answer.
    pub fn is_waited_for(&self) -> bool {
        !self.unanswered.is_empty()
    }

    /// Returns what the caller is told when the home is lost, or `None` when it waits for nothing.
    ///
    /// The home's connections end with it, so that an open transaction is rolled back.
    pub fn answer_after_loss(&self) -> Option<Answer> {
        let first = self.unanswered.front()?;
        let in_transaction = self.state != SessionState::Idle;
        let may_be_kept = match first {
            Kind::Commits => true,
            Kind::Writes => !in_transaction,
            Kind::Reads => false,
        };
        Some(if may_be_kept {
            let message =
                "the proxy that served the session was lost; look whether the change is there";
            Answer::failed(Failure::InDoubt, message, SessionState::Idle)
        } else {
            let message =
                "the proxy that served the session was lost; nothing is kept, run it again";
            Answer::failed(Failure::Aborted, message, SessionState::Idle)
        })
    }
}
