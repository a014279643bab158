//! Callers: their session state and their pending statement.

use super::repeats::RefusedOperation;
use super::statement::Answer;
use super::statement::ConnectionId;
use super::statement::DatabaseName;
use super::statement::PreparedStatement;
use super::statement::SessionState;
use super::statement::Statement;
use super::topology::Route;
use crate::ids::MemberId;
use crate::ids::Position;
use crate::ids::RequestId;
use crate::ids::Term;
use crate::queue::Ticket;
use crate::tenants::KeyDigest;
use crate::tenants::TenantName;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Instant;

/// The state of a caller's transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Transaction {
    /// No transaction is open.
    None,
    /// The caller opened a transaction, which begins on a target with its first statement.
    Deferred {
        request: RequestId,
        read_only: bool,
        begun_at: Instant,
    },
    /// The transaction is open on a connection to a target.
    Open {
        connection: ConnectionId,
        request: RequestId,
        read_only: bool,
        begun_at: Instant,
        statements_sent: u32,
        wrote: bool,
    },
    /// The transaction was aborted, and the caller has to end it.
    Failed,
}

/// The processing stage of a pending statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Waits for tokens of the tenant's rate limit, which another proxy holds.
    AwaitingAllowance,
    /// Waits for a connection.
    Queued(Ticket),
    /// The connection is being set to the session's state.
    Preparing(ConnectionId),
    /// The target is running the statement.
    Running(ConnectionId),
    /// The target was busy. The next check sends the statement again on its transaction's
    /// connection.
    Retrying(ConnectionId),
    /// The target has answered, but no proof exists yet that the answer includes all earlier
    /// commits.
    AwaitingProof {
        answer: Answer,
        member: MemberId,
        term: Term,
        is_leader_known: bool,
    },
    /// The primary has acknowledged the commit, but a promotion may still lose it.
    AwaitingReplicas { answer: Answer, member: MemberId },
}

/// A statement that hasn't been answered yet.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub(super) statement: Statement,
    pub(super) route: Route,
    pub(super) received_at: Instant,
    pub(super) sent_at: Option<Instant>,
    pub(super) attempts: u32,
    /// Whether the operation has taken a token of its tenant's rate limit and nothing of it has been
    /// sent yet.
    pub(super) holds_token: bool,
    /// Members that failed to run the statement.
    pub(super) excluded_members: Vec<MemberId>,
    pub(super) stage: Stage,
    pub(super) floor: Option<Position>,
}

/// The session state of one caller.
#[derive(Debug)]
pub(super) struct Caller {
    pub(super) database: Option<DatabaseName>,
    /// The key that the caller presented, if any.
    pub(super) key: Option<KeyDigest>,
    /// The tenant that the key identifies; `None` on public routes and without tenants.
    pub(super) tenant: Option<TenantName>,
    /// Whether the key has lost its right since the session started. The session ends with its next
    /// answer.
    pub(super) is_withdrawn: bool,
    pub(super) transaction: Transaction,
    pub(super) transaction_route: Option<Route>,
    pub(super) session_values: BTreeMap<Box<str>, Box<str>>,
    pub(super) prepared: BTreeMap<Box<str>, PreparedStatement>,
    pub(super) last_commit_position: Position,
    pub(super) pending: Option<Pending>,
    pub(super) pipelined: VecDeque<Statement>,
    pub(super) last_active_at: Instant,
    pub(super) served_statements: u64,
    /// The refused operation that the caller may repeat.
    pub(super) refused: Option<RefusedOperation>,
}

impl Caller {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            database: None,
            key: None,
            tenant: None,
            is_withdrawn: false,
            transaction: Transaction::None,
            transaction_route: None,
            session_values: BTreeMap::new(),
            prepared: BTreeMap::new(),
            last_commit_position: Position::default(),
            pending: None,
            pipelined: VecDeque::new(),
            last_active_at: now,
            served_statements: 0,
            refused: None,
        }
    }

    /// Returns the session state that is reported to the caller in each answer.
    pub(super) fn state(&self) -> SessionState {
        match self.transaction {
            Transaction::None => SessionState::Idle,
            Transaction::Deferred { .. } | Transaction::Open { .. } => SessionState::InTransaction,
            Transaction::Failed => SessionState::Failed,
        }
    }

    /// Returns the connection on which the caller's transaction is open.
    pub(super) fn transaction_connection(&self) -> Option<ConnectionId> {
        match self.transaction {
            Transaction::Open { connection, .. } => Some(connection),
            _ => None,
        }
    }

    /// Returns whether disconnecting the caller loses no statement and no transaction.
    pub(super) fn can_disconnect(&self) -> bool {
        self.transaction == Transaction::None && self.pending.is_none() && self.pipelined.is_empty()
    }
}
