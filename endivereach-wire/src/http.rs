//! Typed calls over HTTP with MessagePack bodies.
//!
//! Every call is a `POST` whose path names the call and whose body is the request in MessagePack. An
//! answer with status 200 carries the response; any other status carries a [`Refusal`].

mod server;

pub use server::Server;

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

/// The largest body accepted, in bytes: a value of the platform and room for its envelope.
pub const BODY_MAX_BYTES: u64 = 2 * 1024 * 1024;

/// How many idle connections a client keeps per peer.
const IDLE_CONNECTIONS_PER_PEER: usize = 16;

endivereach_core::data! {
    /// The reason why a call was refused by the process that it reached.
    pub struct Refusal {
        /// A short stable word for programs, such as `conflict`.
        pub kind: Box<str>,
        /// What is wrong and what to do about it.
        pub message: Box<str>,
    }
}

/// Why a call gave no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The other side refused the call, and it took no effect.
    #[error("{}: {}", .0.kind, .0.message)]
    Refused(Refusal),
    /// No answer arrived: the call may have taken effect.
    #[error("no answer from {addr}: {reason}; check that the process runs and is reachable")]
    NoAnswer {
        /// The address that was called.
        addr: SocketAddr,
        /// What the transport reported.
        reason: Box<str>,
    },
    /// The answer could not be decoded.
    #[error(
        "the answer from {addr} can't be decoded: {reason}; check that both sides run the same version"
    )]
    Malformed {
        /// The address that was called.
        addr: SocketAddr,
        /// What the decoder reported.
        reason: Box<str>,
    },
}

impl CallError {
    /// Returns the refusal's kind, or `None` when no refusal arrived.
    pub fn refusal_kind(&self) -> Option<&str> {
        match self {
            Self::Refused(refusal) => Some(&refusal.kind),
            _ => None,
        }
    }
}

/// Makes typed calls, keeping connections open between them.
#[derive(Clone, Debug)]
pub struct Client {
    agent: ureq::Agent,
}

impl Client {
    /// Creates a client with no open connection.
    pub fn new() -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_idle_connections(1024)
            .max_idle_connections_per_host(IDLE_CONNECTIONS_PER_PEER)
            .build();
        Self {
            agent: config.new_agent(),
        }
    }

    /// Calls `path` at `addr` and waits up to `timeout` for the answer.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NoAnswer`] when the outcome is not known.
    pub fn call<Q: Serialize, R: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        request: &Q,
        timeout: Duration,
    ) -> Result<R, CallError> {
        let body = encode(request);
        let no_answer = |reason: String| CallError::NoAnswer {
            addr,
            reason: reason.into(),
        };
        let mut response = self
            .agent
            .post(format!("http://{addr}{path}"))
            .config()
            .timeout_global(Some(timeout))
            .build()
            .send(&body[..])
            .map_err(|error| no_answer(error.to_string()))?;
        let status = response.status();
        let bytes = response
            .body_mut()
            .with_config()
            .limit(BODY_MAX_BYTES)
            .read_to_vec()
            .map_err(|error| no_answer(error.to_string()))?;
        if status.is_success() {
            return decode(&bytes).map_err(|reason| CallError::Malformed { addr, reason });
        }
        let refusal = decode(&bytes).map_err(|reason| CallError::Malformed { addr, reason })?;
        Err(CallError::Refused(refusal))
    }
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

/// Encodes a value as MessagePack with named fields.
///
/// # Panics
///
/// Panics when the type's own `Serialize` reports an error, which no type of the workspace does.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(value).expect("messages always serialise")
}

/// Decodes a value from MessagePack.
///
/// # Errors
///
/// Returns the decoder's message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Box<str>> {
    rmp_serde::from_slice(bytes).map_err(|error| error.to_string().into())
}

/// A call as the server sees it.
#[derive(Clone, Debug)]
pub struct Call {
    /// The path, which names the call.
    pub path: Box<str>,
    /// The body in MessagePack.
    pub body: Vec<u8>,
    /// Where the call came from.
    pub from: Option<SocketAddr>,
}

impl Call {
    /// Decodes the body.
    ///
    /// # Errors
    ///
    /// Returns a reply that tells the client what can't be decoded.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, Reply> {
        decode(&self.body).map_err(|reason| {
            Reply::refuse(
                "malformed",
                format!("{reason}; send the call in MessagePack with named fields"),
            )
        })
    }
}

/// The answer to a call.
#[derive(Clone, Debug)]
pub struct Reply {
    status: u16,
    content_type: &'static str,
    body: Vec<u8>,
}

impl Reply {
    /// Answers with a value.
    pub fn value<T: Serialize>(value: &T) -> Self {
        Self {
            status: 200,
            content_type: "application/msgpack",
            body: encode(value),
        }
    }

    /// Answers with text for a browser or a probe.
    pub fn text(status: u16, content_type: &'static str, body: impl Into<String>) -> Self {
        Self {
            status,
            content_type,
            body: body.into().into_bytes(),
        }
    }

    /// Refuses the call: it took no effect.
    pub fn refuse(kind: &str, message: impl AsRef<str>) -> Self {
        let refusal = Refusal {
            kind: kind.into(),
            message: message.as_ref().into(),
        };
        Self {
            status: 409,
            content_type: "application/msgpack",
            body: encode(&refusal),
        }
    }
}
