//! Typed calls over HTTP with MessagePack bodies.
//!
//! Every call is a `POST` request. Its path names the call and its body is the request in
//! MessagePack. The body of a response with status 200 is the result of the call; the body of a
//! response with any other status is a [`Refusal`].

mod server;

pub use server::Server;

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use ureq::config::ConfigBuilder;
use ureq::typestate::RequestScope;
use ureq::typestate::WithBody;

/// The maximum size of a body, in bytes: an object value of the platform and the fields around it.
pub const BODY_MAX_BYTES: u64 = 2 * 1024 * 1024;

/// How long the rest of a large response may take after its first part.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(5);

/// The maximum number of idle connections that a client keeps to one server.
const IDLE_CONNECTIONS_PER_SERVER_MAX: usize = 16;

endivereach_core::data! {
    /// The error that a server returns for a call that it refused. The call had no effect.
    pub struct Refusal {
        /// The machine-readable kind, such as `conflict`. It doesn't change between versions.
        pub kind: Box<str>,
        /// A description of the error and of how to fix it, for people.
        pub message: Box<str>,
    }
}

/// The error of a call that returned no result.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The server refused the call, which had no effect.
    #[error("{}: {}", .0.kind, .0.message)]
    Refused(Refusal),
    /// No response arrived, so the call may have taken effect.
    #[error("no answer from {addr}: {reason}; check that the process runs and is reachable")]
    NoAnswer {
        /// The server's address.
        addr: SocketAddr,
        /// The transport's error message.
        reason: Box<str>,
    },
    /// The response can't be decoded.
    #[error(
        "the answer from {addr} can't be decoded: {reason}; check that both sides run the same version"
    )]
    Malformed {
        /// The server's address.
        addr: SocketAddr,
        /// The decoder's error message.
        reason: Box<str>,
    },
}

impl CallError {
    /// Returns the kind of the refusal, or `None` when the error isn't [`CallError::Refused`].
    pub fn refusal_kind(&self) -> Option<&str> {
        match self {
            Self::Refused(refusal) => Some(&refusal.kind),
            _ => None,
        }
    }
}

/// A client that sends typed calls. It keeps idle connections open for later calls.
#[derive(Clone, Debug)]
pub struct Client {
    agent: ureq::Agent,
}

impl Client {
    /// Creates a client with an empty connection pool.
    pub fn new() -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_idle_connections(1024)
            .max_idle_connections_per_host(IDLE_CONNECTIONS_PER_SERVER_MAX)
            .build();
        Self {
            agent: config.new_agent(),
        }
    }

    /// Sends `request` to `path` at `addr` and waits up to `timeout` for the response.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NoAnswer`] when it is unknown whether the call took effect.
    pub fn call<Q: Serialize, R: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        request: &Q,
        timeout: Duration,
    ) -> Result<R, CallError> {
        send(&self.agent, addr, path, request, |config| {
            config.timeout_global(Some(timeout))
        })
    }

    /// Sends `request` to `path` at `addr` like [`Client::call`], for a response that may be large.
    ///
    /// The call waits up to `timeout` for the connection and for each part of the response, and up to 5 s
    /// longer for all of it.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Client::call`].
    pub fn call_large<Q: Serialize, R: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        request: &Q,
        timeout: Duration,
    ) -> Result<R, CallError> {
        send(&self.agent, addr, path, request, |config| {
            config
                .timeout_connect(Some(timeout))
                .timeout_per_read(Some(timeout))
                .timeout_global(Some(timeout + TRANSFER_TIMEOUT))
        })
    }
}

type RequestConfig = ConfigBuilder<RequestScope<WithBody>>;

fn send<Q: Serialize, R: DeserializeOwned>(
    agent: &ureq::Agent,
    addr: SocketAddr,
    path: &str,
    request: &Q,
    set_timeouts: impl FnOnce(RequestConfig) -> RequestConfig,
) -> Result<R, CallError> {
    let body = encode(request);
    let no_answer = |reason: String| CallError::NoAnswer {
        addr,
        reason: reason.into(),
    };
    let config = agent.post(format!("http://{addr}{path}")).config();
    let mut response = set_timeouts(config)
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

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

/// Encodes a value as MessagePack with named fields.
///
/// # Panics
///
/// Panics when the type's `Serialize` returns an error. No type of the workspace does so.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(value).expect("types of the workspace serialize without errors")
}

/// Decodes a value from MessagePack.
///
/// # Errors
///
/// Returns the decoder's error message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Box<str>> {
    rmp_serde::from_slice(bytes).map_err(|error| error.to_string().into())
}

/// A call that a server received.
#[derive(Clone, Debug)]
pub struct Call {
    /// The path of the HTTP request, which names the call.
    pub path: Box<str>,
    /// The body of the HTTP request, in MessagePack.
    pub body: Vec<u8>,
    /// The client's address.
    pub client_addr: Option<SocketAddr>,
}

impl Call {
    /// Decodes the body.
    ///
    /// # Errors
    ///
    /// Returns a refusal of kind `malformed` with the decoder's error message, to be sent to the
    /// client.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, Reply> {
        decode(&self.body).map_err(|reason| {
            Reply::error_response(
                "malformed",
                format!("{reason}; send the call in MessagePack with named fields"),
            )
        })
    }
}

/// The response to a call.
#[derive(Clone, Debug)]
pub struct Reply {
    status: u16,
    content_type: &'static str,
    body: Vec<u8>,
}

impl Reply {
    /// Builds the response of a successful call.
    pub fn value<T: Serialize>(value: &T) -> Self {
        Self {
            status: 200,
            content_type: "application/msgpack",
            body: encode(value),
        }
    }

    /// Builds a text response, such as for a browser or a health probe.
    pub fn text(status: u16, content_type: &'static str, body: impl Into<String>) -> Self {
        Self {
            status,
            content_type,
            body: body.into().into_bytes(),
        }
    }

    /// Builds the error of a refused call, which had no effect.
    pub fn error_response(kind: &str, message: impl AsRef<str>) -> Self {
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
