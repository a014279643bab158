//! The control calls of one server of a database group.
//!
//! This module is the only one that knows the shape of the group's interface. The servers also
//! report positions on their database connections: see [`PARAMETER_POSITION`].

use crate::http::CallError;
use crate::http::Client;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::Position;
use endivereach_core::ids::Term;
use std::net::SocketAddr;
use std::time::Duration;

/// The `ParameterStatus` that a server sends on a database connection before the first row of a
/// read (the position its snapshot includes), and before `CommandComplete` of a commit (the
/// position of that commit). Its value is a position as text. It is sent when the value changes.
pub const PARAMETER_POSITION: &str = "group_position";

/// The path of the call that reads a server's status.
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
    /// What a server of a group is doing.
    pub enum MemberRole {
        /// It accepts writes in its term.
        Primary,
        /// It applies the log of a primary.
        Replica,
    }
}

endivereach_core::data! {
    /// How a server of a group stands.
    pub struct MemberStatus {
        /// The server's name.
        pub id: MemberId,
        /// What it is doing.
        pub role: MemberRole,
        /// The term of the primary that it is or follows.
        pub term: Term,
        /// The highest term it was fenced for. It accepts no write and no log entry of a lower one.
        /// It is unfenced in its term when `fenced_term <= term`.
        pub fenced_term: Term,
        /// The end of its durable log.
        pub durable: Position,
        /// The position up to which reads on it see the log. At most `durable`.
        pub applied: Position,
        /// For a replica, how long ago it last heard from its primary, in milliseconds.
        pub primary_silent_ms: u64,
        /// Database connections open now, by the `application_name` that opened them.
        pub connections: Vec<ConnectionCount>,
    }

    /// How many connections one proxy holds.
    pub struct ConnectionCount {
        /// The connections' `application_name`: the proxy's id as text.
        pub holder: Box<str>,
        /// How many there are.
        pub count: u32,
    }

    /// Waits until the server's durable or applied position passes the given ones, or its term or
    /// fence changes, or the wait ends. The answer is `MemberStatus`.
    pub struct WatchPosition {
        /// The durable position already known.
        pub durable: Position,
        /// The applied position already known.
        pub applied: Position,
        /// The term already known.
        pub term: Term,
        /// The fence already known.
        pub fenced_term: Term,
        /// How long to wait at most, in milliseconds.
        pub wait_ms: u64,
    }

    /// Makes the server refuse every term below `term`. Repeating it changes nothing. Refused with
    /// kind `stale_term` when the server is fenced for a higher term, or already follows or leads a
    /// term at or above it. The answer is `MemberStatus`, as of after the fence.
    pub struct Fence {
        /// The lowest term that is still accepted.
        pub term: Term,
    }

    /// Makes the server the primary in `term`. Refused with kind `stale_term` unless the server is
    /// fenced for exactly `term`. Repeating it changes nothing. The answer is `MemberStatus`.
    pub struct Promote {
        /// The term in which the server leads.
        pub term: Term,
    }

    /// Makes the server a replica of the primary named `primary` in `term`: it drops log
    /// entries that the primary doesn't have. Refused with kind `stale_term` when fenced for a
    /// higher term. The answer is `MemberStatus`.
    pub struct Follow {
        /// The primary's term.
        pub term: Term,
        /// The primary's name.
        pub primary: MemberId,
    }
}

impl MemberStatus {
    /// Returns whether the server still takes part in its own term.
    pub fn is_unfenced(&self) -> bool {
        self.fenced_term <= self.term
    }
}

/// The refusal kind of a call that names a term which was overtaken.
pub const REFUSAL_STALE_TERM: &str = "stale_term";

/// A client of one server's control calls.
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
    /// Returns an error when no answer arrives within `timeout`.
    pub fn status(&self, timeout: Duration) -> Result<MemberStatus, CallError> {
        self.client.call(self.addr, PATH_STATUS, &(), timeout)
    }

    /// Waits for a change of the server's status; the answer takes `request.wait_ms` and `timeout`
    /// at most.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer arrives.
    pub fn watch(
        &self,
        request: &WatchPosition,
        timeout: Duration,
    ) -> Result<MemberStatus, CallError> {
        let wait = Duration::from_millis(request.wait_ms);
        self.client
            .call(self.addr, PATH_WATCH_POSITION, request, wait + timeout)
    }

    /// Fences the server.
    ///
    /// # Errors
    ///
    /// Returns a refusal of kind [`REFUSAL_STALE_TERM`] when the term was overtaken.
    pub fn fence(&self, term: Term, timeout: Duration) -> Result<MemberStatus, CallError> {
        self.client
            .call(self.addr, PATH_FENCE, &Fence { term }, timeout)
    }

    /// Promotes the server.
    ///
    /// # Errors
    ///
    /// Returns a refusal of kind [`REFUSAL_STALE_TERM`] when the term was overtaken.
    pub fn promote(&self, term: Term, timeout: Duration) -> Result<MemberStatus, CallError> {
        self.client
            .call(self.addr, PATH_PROMOTE, &Promote { term }, timeout)
    }

    /// Makes the server follow a primary.
    ///
    /// # Errors
    ///
    /// Returns a refusal of kind [`REFUSAL_STALE_TERM`] when the term was overtaken.
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
