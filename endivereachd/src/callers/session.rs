//! The state of one caller's session, which is retained between its requests.

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
use endivereach_core::ids::check_name;
use endivereach_core::session::SessionPosition;
use endivereach_wire::pg::reply::ErrorReply;
use std::collections::HashMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;
use std::time::Duration;

/// The prefix of the session parameters that the proxy itself interprets.
pub(crate) const PROXY_PARAMETER_PREFIX: &str = "endivereach.";

/// The parameter that names the session.
const SESSION_PARAMETER: &str = "endivereach.session";
/// The parameter that carries the log position that the session's reads must include.
pub(crate) const POSITION_PARAMETER: &str = "endivereach.position";
/// The parameter that sets the request ID of the next request.
const REQUEST_ID_PARAMETER: &str = "endivereach.request_id";
/// The parameter that sets the deadline of each request, in milliseconds.
const DEADLINE_PARAMETER: &str = "endivereach.deadline_ms";
/// The parameter that carries the W3C trace context of the caller.
const TRACEPARENT_PARAMETER: &str = "endivereach.traceparent";

/// The maximum number of session parameters that one caller may set.
const SESSION_PARAMETERS_MAX: usize = 64;

/// The session of one caller.
///
/// # Invariants
///
/// A parked session owns no buffer and no thread. It owns a connection only inside a transaction or
/// when a statement left state on the connection that no other caller may see.
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
    /// Whether the caller's transaction was lost with its connection. The caller must send `COMMIT`
    /// or `ROLLBACK` before it can execute other statements.
    pub(crate) has_lost_transaction: bool,
    pub(crate) _caller_gauge: CallerGauge,
}

impl<G: Send + Sync> Parkable for Session<G> {
    fn socket(&mut self) -> &mut CallerSocket {
        &mut self.socket
    }
}

/// Counts a caller in the `callers_now` gauge until the value is dropped.
#[derive(Debug)]
pub(crate) struct CallerGauge(Arc<Counters>);

impl CallerGauge {
    pub(crate) fn new(counters: &Arc<Counters>) -> Self {
        counters.callers_accepted.increment();
        counters.callers_now.increment();
        Self(Arc::clone(counters))
    }
}

impl Drop for CallerGauge {
    fn drop(&mut self) {
        self.0.callers_now.decrement();
    }
}

/// A connection that is reserved for one caller.
#[derive(Debug)]
pub(crate) struct DedicatedConnection {
    pub(crate) lease: Lease,
    /// Whether the open transaction may have changed data.
    pub(crate) has_written: bool,
    /// Whether the caller declared the open transaction as `READ ONLY`.
    pub(crate) is_read_only: bool,
    /// Whether the connection is reserved until the caller disconnects.
    pub(crate) is_pinned: bool,
    /// Whether an earlier part of the current batch failed, so that the target skips every message
    /// up to `Sync`.
    pub(crate) batch_failed: bool,
    /// The number of session parameters when the transaction began.
    pub(crate) parameter_count_at_begin: usize,
}

/// The values of the parameters that the proxy itself interprets.
#[derive(Debug, Default)]
pub(crate) struct ProxyParameters {
    pub(crate) request_id: Option<RequestId>,
    pub(crate) deadline: Option<Duration>,
    pub(crate) traceparent: Option<Box<str>>,
}

impl<G> Session<G> {
    /// Returns whether the caller's socket has unread data.
    pub(crate) fn has_input(&self) -> bool {
        has_input(self.socket.stream())
    }

    /// Sets a parameter of the proxy itself.
    ///
    /// # Errors
    ///
    /// Returns the error reply for the caller when the name is unknown or the value is invalid.
    pub(crate) fn set_proxy_parameter(
        &mut self,
        name: &str,
        value: &str,
    ) -> Result<(), ErrorReply> {
        let fail = |reason: String| error_replies::bad_parameter(name, &reason);
        match name {
            SESSION_PARAMETER => {
                // The name is only validated; what matters is that the session has one.
                let _: SessionName = value.parse().map_err(|e| fail(format!("{e}")))?;
                self.position.observe_name();
            }
            POSITION_PARAMETER => {
                let position: Position = value.parse().map_err(|e| fail(format!("{e}")))?;
                self.position.observe_token(position);
            }
            REQUEST_ID_PARAMETER if value.is_empty() => self.proxy_parameters.request_id = None,
            REQUEST_ID_PARAMETER => {
                let id = value.parse().map_err(|e| fail(format!("{e}")))?;
                self.proxy_parameters.request_id = Some(id);
            }
            DEADLINE_PARAMETER => {
                let deadline_ms: u64 = value
                    .parse()
                    .map_err(|_| fail("give whole milliseconds, such as 2000".into()))?;
                self.proxy_parameters.deadline = Some(Duration::from_millis(deadline_ms));
            }
            TRACEPARENT_PARAMETER if value.is_empty() => self.proxy_parameters.traceparent = None,
            TRACEPARENT_PARAMETER => {
                check_name(value).map_err(|e| fail(format!("{e}")))?;
                self.proxy_parameters.traceparent = Some(value.into());
            }
            _ => {
                return Err(fail(
                    "docs/callers.md lists the parameters there are".into(),
                ));
            }
        }
        Ok(())
    }
}

/// The PostgreSQL session parameters that a caller set, which the proxy sets again on each
/// connection that the caller uses.
#[derive(Debug, Default)]
pub(crate) struct SessionParameters {
    statements: Vec<Box<str>>,
    hash: u64,
}

impl SessionParameters {
    /// Returns the `SET` statements in the order of their execution.
    pub(crate) fn statements(&self) -> &[Box<str>] {
        &self.statements
    }

    /// Returns a hash of the `SET` statements, or zero if there are none.
    pub(crate) fn hash(&self) -> u64 {
        self.hash
    }

    /// Appends a `SET` statement.
    ///
    /// # Errors
    ///
    /// Returns the error reply for the caller when the maximum number is reached.
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

    /// Removes all statements after the first `count`.
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
