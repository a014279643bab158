//! What is kept of one caller between its requests.

use super::counters::Counters;
use super::error_replies;
use super::idle::CallerSocket;
use super::idle::Parkable;
use super::statement::PreparedStatement;
use crate::targets::CancelRegistration;
use crate::targets::GroupPools;
use crate::targets::Lease;
use crate::targets::has_input;
use endivereach_core::ids::GroupName;
use endivereach_core::ids::Position;
use endivereach_core::ids::RequestId;
use endivereach_core::ids::SessionName;
use endivereach_core::session::SessionPosition;
use endivereach_wire::pg::reply::ErrorReply;
use std::collections::HashMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;
use std::time::Duration;

/// The session parameters of the proxy's own begin with this.
pub(crate) const PROXY_PARAMETER_PREFIX: &str = "endivereach.";

/// The parameter that names a session.
const SESSION: &str = "endivereach.session";
/// The parameter that carries a position.
pub(crate) const POSITION: &str = "endivereach.position";
/// The parameter that identifies the next request.
const REQUEST_ID: &str = "endivereach.request_id";
/// The parameter that limits the time of each request.
const DEADLINE_MS: &str = "endivereach.deadline_ms";
/// The parameter that joins requests to the caller's trace.
const TRACEPARENT: &str = "endivereach.traceparent";

/// Session parameters that one caller may set, in number.
const SESSION_PARAMETERS_MAX: usize = 64;

/// One caller's session.
///
/// # Invariants
///
/// A parked session holds no buffer and no thread. It holds a connection only inside a transaction
/// or when a statement left state on it that no other caller may see.
#[derive(Debug)]
pub(crate) struct Session<G> {
    pub(crate) socket: CallerSocket,
    pub(crate) group: Arc<G>,
    pub(crate) group_name: GroupName,
    pub(crate) pools: Arc<GroupPools>,
    pub(crate) cancel: CancelRegistration,
    pub(crate) position: SessionPosition,
    pub(crate) proxy_parameters: ProxyParameters,
    pub(crate) parameters: SessionParameters,
    pub(crate) prepared: HashMap<Box<[u8]>, Arc<PreparedStatement>>,
    pub(crate) dedicated: Option<Box<DedicatedConnection>>,
    /// Whether the caller's transaction was lost: it has to end it before it can go on.
    pub(crate) lost_transaction: bool,
    pub(crate) _caller_gauge: CallerGauge,
}

impl<G: Send + Sync> Parkable for Session<G> {
    fn socket(&mut self) -> &mut CallerSocket {
        &mut self.socket
    }
}

/// Counts a caller for as long as its session lives.
#[derive(Debug)]
pub(crate) struct CallerGauge(Arc<Counters>);

impl CallerGauge {
    pub(crate) fn new(counters: &Arc<Counters>) -> Self {
        counters.callers_accepted.add();
        counters.callers_now.add();
        Self(Arc::clone(counters))
    }
}

impl Drop for CallerGauge {
    fn drop(&mut self) {
        self.0.callers_now.sub();
    }
}

/// A connection that stays with one caller.
#[derive(Debug)]
pub(crate) struct DedicatedConnection {
    pub(crate) lease: Lease,
    /// Whether the open transaction changed something.
    pub(crate) has_written: bool,
    /// Whether the caller declared the open transaction to be read only.
    pub(crate) is_read_only: bool,
    /// Whether it stays until the caller leaves.
    pub(crate) is_pinned: bool,
    /// Whether a batch that was flushed has failed, so that the target skips the rest of it.
    pub(crate) batch_failed: bool,
    /// How many parameters were set when the transaction began.
    pub(crate) parameter_count_at_begin: usize,
}

/// The proxy's own parameters of a session.
#[derive(Debug, Default)]
pub(crate) struct ProxyParameters {
    pub(crate) request_id: Option<RequestId>,
    pub(crate) deadline: Option<Duration>,
    pub(crate) traceparent: Option<Box<str>>,
}

impl<G> Session<G> {
    /// Returns whether the caller sent something that was not read yet.
    pub(crate) fn has_input(&self) -> bool {
        has_input(self.socket.stream())
    }

    /// Sets one of the proxy's own parameters.
    ///
    /// # Errors
    ///
    /// Returns the answer for the caller when the name or value is impossible.
    pub(crate) fn set_proxy_parameter(
        &mut self,
        name: &str,
        value: &str,
    ) -> Result<(), ErrorReply> {
        let fail = |reason: String| error_replies::bad_parameter(name, &reason);
        match name {
            SESSION => {
                let _: SessionName = value.parse().map_err(|e| fail(format!("{e}")))?;
                self.position.observe_name();
            }
            POSITION => {
                let position: Position = value.parse().map_err(|e| fail(format!("{e}")))?;
                self.position.observe_token(position);
            }
            REQUEST_ID if value.is_empty() => self.proxy_parameters.request_id = None,
            REQUEST_ID => {
                let id = value.parse().map_err(|e| fail(format!("{e}")))?;
                self.proxy_parameters.request_id = Some(id);
            }
            DEADLINE_MS => {
                let deadline_ms: u64 = value
                    .parse()
                    .map_err(|_| fail("give whole milliseconds, such as 2000".into()))?;
                self.proxy_parameters.deadline = Some(Duration::from_millis(deadline_ms));
            }
            TRACEPARENT => self.proxy_parameters.traceparent = Some(value.into()),
            _ => {
                return Err(fail(
                    "docs/callers.md lists the parameters there are".into(),
                ));
            }
        }
        Ok(())
    }
}

/// The ordinary session parameters that a caller set, to be set again on each connection it uses.
#[derive(Debug, Default)]
pub(crate) struct SessionParameters {
    statements: Vec<Box<str>>,
    hash: u64,
}

impl SessionParameters {
    /// Returns the `SET` statements, in order.
    pub(crate) fn statements(&self) -> &[Box<str>] {
        &self.statements
    }

    /// Returns a hash of them; zero for none.
    pub(crate) fn hash(&self) -> u64 {
        self.hash
    }

    /// Adds a `SET` statement.
    ///
    /// # Errors
    ///
    /// Returns the answer for the caller when there are too many.
    pub(crate) fn push(&mut self, statement: &str) -> Result<(), ErrorReply> {
        self.statements.retain(|retained| &**retained != statement);
        if self.statements.len() == SESSION_PARAMETERS_MAX {
            return Err(error_replies::unsupported_statement(
                "Set at most 64 session parameters on one connection, or use SET LOCAL inside the \
                 transaction that needs them.",
            ));
        }
        self.statements.push(statement.into());
        self.update_hash();
        Ok(())
    }

    /// Drops the statements after the first `count`.
    pub(crate) fn truncate(&mut self, count: usize) {
        self.statements.truncate(count);
        self.update_hash();
    }

    fn update_hash(&mut self) {
        let mut hasher = DefaultHasher::new();
        self.statements.hash(&mut hasher);
        self.hash = match self.statements.len() {
            0 => 0,
            _ => hasher.finish().max(1),
        };
    }
}
