//! The control calls of a server of a database group.
//!
//! Only this module depends on the format of these calls. A server also reports log positions on
//! its database connections: see [`PARAMETER_POSITION`].

use crate::http::CallError;
use crate::http::Client;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::Position;
use endivereach_core::ids::Term;
use std::net::SocketAddr;
use std::time::Duration;

/// The name of the `ParameterStatus` that reports a log position, as text, on a database
/// connection.
///
/// A server sends it before the first row of a read, with the position that the read's snapshot
/// includes, and before the `CommandComplete` of a commit, with the position of the commit. It is
/// sent only when its value changes.
pub const PARAMETER_POSITION: &str = "group_position";

/// The path of the call that reads a server's status. The request is `()` and the response is
/// [`MemberStatus`].
pub const PATH_STATUS: &str = "/status";
/// The path of [`WatchPosition`] calls.
pub const PATH_WATCH_POSITION: &str = "/watch-position";
/// The path of [`Fence`] calls.
pub const PATH_FENCE: &str = "/fence";
/// The path of [`Promote`] calls.
pub const PATH_PROMOTE: &str = "/promote";
/// The path of [`Follow`] calls.
pub const PATH_FOLLOW: &str = "/follow";

endivereach_core::value! {
    /// The replication role of a server.
    pub enum MemberRole {
        /// Accepts writes in its term.
        Primary,
        /// Applies the log of a primary.
        Replica,
    }
}

endivereach_core::data! {
    /// The status of a server of a group.
    pub struct MemberStatus {
        /// The server's name within its group.
        pub id: MemberId,
        /// The replication role.
        pub role: MemberRole,
        /// The term in which the server is the primary or follows one.
        pub term: Term,
        /// The highest term that the server was fenced for. The server rejects writes and log
        /// entries of a lower term. The server is fenced in its own term when `fenced_term > term`.
        pub fenced_term: Term,
        /// The position of the last durable log entry.
        pub durable: Position,
        /// The position up to which the log is applied and visible to reads. At most `durable`.
        pub applied: Position,
        /// For a replica, the time since the last message of its primary, in milliseconds.
        pub primary_silent_ms: u64,
        /// The open database connections, counted by their `application_name`.
        pub connections: Vec<ConnectionCount>,
    }

    /// The number of open connections of one proxy.
    pub struct ConnectionCount {
        /// The `application_name` of the connections, which is the proxy's id as text.
        pub holder: Box<str>,
        /// The number of connections.
        pub count: u32,
    }

    /// Waits until the durable or the applied position is above the given one, the term or the
    /// fenced term changes, or `wait_ms` has passed. The response is [`MemberStatus`].
    pub struct WatchPosition {
        /// The last durable position that the client knows.
        pub durable: Position,
        /// The last applied position that the client knows.
        pub applied: Position,
        /// The last term that the client knows.
        pub term: Term,
        /// The last fenced term that the client knows.
        pub fenced_term: Term,
        /// The maximum wait, in milliseconds.
        pub wait_ms: u64,
    }

    /// Makes the server reject every term below `term`. The call is idempotent. It is refused with
    /// kind `stale_term` when the server is fenced for a higher term, or when it is already the
    /// primary or a replica in `term` or a higher one. The response is the [`MemberStatus`] after
    /// fencing.
    pub struct Fence {
        /// The lowest term that the server accepts afterwards.
        pub term: Term,
    }

    /// Makes the server the primary in `term`. The call is idempotent. It is refused with kind
    /// `stale_term` unless the server is fenced for exactly `term`. The response is
    /// [`MemberStatus`].
    pub struct Promote {
        /// The term in which the server becomes the primary.
        pub term: Term,
    }

    /// Makes the server a replica of the primary named `primary` in `term`. The server drops the
    /// log entries that the primary doesn't have. The call is refused with kind `stale_term` when
    /// the server is fenced for a higher term. The response is [`MemberStatus`].
    pub struct Follow {
        /// The primary's term.
        pub term: Term,
        /// The primary's name within the group.
        pub primary: MemberId,
    }
}

impl MemberStatus {
    /// Returns whether the server accepts writes and log entries of its own term.
    pub fn is_unfenced(&self) -> bool {
        self.fenced_term <= self.term
    }
}

/// The refusal kind of a call whose term is lower than the server accepts.
pub const REFUSAL_STALE_TERM: &str = "stale_term";

/// A client of the control calls of one server.
#[derive(Clone, Debug)]
pub struct MemberClient {
    client: Client,
    addr: SocketAddr,
}

impl MemberClient {
    /// Creates a client of the server whose control address is `addr`.
    pub fn new(client: Client, addr: SocketAddr) -> Self {
        Self { client, addr }
    }

    /// Reads the server's status.
    ///
    /// # Errors
    ///
    /// Returns an error when the call is refused, or when no valid response arrives within
    /// `timeout`.
    pub fn status(&self, timeout: Duration) -> Result<MemberStatus, CallError> {
        self.client.call(self.addr, PATH_STATUS, &(), timeout)
    }

    /// Waits for a change of the server's status. The call returns after at most `request.wait_ms`
    /// plus `timeout`.
    ///
    /// # Errors
    ///
    /// Returns an error when the call is refused, or when no valid response arrives in time.
    pub fn watch(
        &self,
        request: &WatchPosition,
        timeout: Duration,
    ) -> Result<MemberStatus, CallError> {
        let wait = Duration::from_millis(request.wait_ms);
        self.client
            .call(self.addr, PATH_WATCH_POSITION, request, wait + timeout)
    }

    /// Fences the server for `term`: see [`Fence`].
    ///
    /// # Errors
    ///
    /// Returns a refusal of kind [`REFUSAL_STALE_TERM`] when the server rejects the term.
    pub fn fence(&self, term: Term, timeout: Duration) -> Result<MemberStatus, CallError> {
        self.client
            .call(self.addr, PATH_FENCE, &Fence { term }, timeout)
    }

    /// Makes the server the primary in `term`: see [`Promote`].
    ///
    /// # Errors
    ///
    /// Returns a refusal of kind [`REFUSAL_STALE_TERM`] when the server rejects the term.
    pub fn promote(&self, term: Term, timeout: Duration) -> Result<MemberStatus, CallError> {
        self.client
            .call(self.addr, PATH_PROMOTE, &Promote { term }, timeout)
    }

    /// Makes the server a replica of `primary` in `term`: see [`Follow`].
    ///
    /// # Errors
    ///
    /// Returns a refusal of kind [`REFUSAL_STALE_TERM`] when the server rejects the term.
    pub fn follow(
        &self,
        term: Term,
        primary: &MemberId,
        timeout: Duration,
    ) -> Result<MemberStatus, CallError> {
        let request = Follow {
            term,
            primary: primary.clone(),
        };
        self.client.call(self.addr, PATH_FOLLOW, &request, timeout)
    }
}
