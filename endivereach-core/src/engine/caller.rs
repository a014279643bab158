//! Callers: their sessions and the statement that each of them waits for.

use super::statement::Answer;
use super::statement::ConnectionId;
use super::statement::DatabaseName;
use super::statement::SessionState;
use super::statement::Shape;
use super::statement::Statement;
use super::topology::Route;
use crate::ids::MemberId;
use crate::ids::Position;
use crate::ids::RequestId;
use crate::ids::Term;
use crate::queue::Ticket;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Instant;

/// Where a caller's transaction stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Transaction {
    /// None is open.
    None,
    /// The caller opened one, and no target knows of it yet.
    Declared {
        request: RequestId,
        read_only: bool,
        begun_at: Instant,
    },
    /// It runs on a connection.
    Open {
        connection: ConnectionId,
        request: RequestId,
        read_only: bool,
        begun_at: Instant,
        statements: u32,
        wrote: bool,
    },
    /// It was given up, and the caller has to end it.
    Failed,
}

/// How far a caller's statement got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// It waits for a connection.
    Queued(Ticket),
    /// The connection is being given the session's state.
    Preparing(ConnectionId),
    /// A target works on it.
    Running(ConnectionId),
    /// It is sent again on its transaction's connection later.
    Retrying(ConnectionId),
    /// The answer is there, and the proof that it is recent enough isn't.
    Proving {
        answer: Answer,
        member: MemberId,
        term: Term,
        led_at_begin: bool,
    },
}

/// A statement that its caller waits for.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub(super) statement: Statement,
    pub(super) route: Route,
    pub(super) received_at: Instant,
    pub(super) sent_at: Option<Instant>,
    pub(super) attempts: u32,
    pub(super) avoid: Vec<MemberId>,
    pub(super) stage: Stage,
    pub(super) floor: Option<Position>,
}

/// One caller.
#[derive(Debug)]
pub(super) struct Caller {
    pub(super) database: Option<DatabaseName>,
    pub(super) transaction: Transaction,
    pub(super) transaction_route: Option<Route>,
    pub(super) values: BTreeMap<Box<str>, Box<str>>,
    pub(super) prepared: BTreeMap<Box<str>, Shape>,
    pub(super) own: Position,
    pub(super) pending: Option<Pending>,
    pub(super) inbox: VecDeque<Statement>,
    pub(super) last_active_at: Instant,
    pub(super) served: u64,
}

impl Caller {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            database: None,
            transaction: Transaction::None,
            transaction_route: None,
            values: BTreeMap::new(),
            prepared: BTreeMap::new(),
            own: Position::default(),
            pending: None,
            inbox: VecDeque::new(),
            last_active_at: now,
            served: 0,
        }
    }

    /// Returns the state that the caller is told.
    pub(super) fn state(&self) -> SessionState {
        match self.transaction {
            Transaction::None => SessionState::Idle,
            Transaction::Declared { .. } | Transaction::Open { .. } => SessionState::InTransaction,
            Transaction::Failed => SessionState::Failed,
        }
    }

    /// Returns the connection that the caller's transaction runs on.
    pub(super) fn transaction_connection(&self) -> Option<ConnectionId> {
        match self.transaction {
            Transaction::Open { connection, .. } => Some(connection),
            _ => None,
        }
    }

    /// Returns whether the caller can be disconnected without losing anything.
    pub(super) fn is_at_rest(&self) -> bool {
        self.transaction == Transaction::None && self.pending.is_none() && self.inbox.is_empty()
    }
}
