//! The platform's object API, with versioned objects, conditional updates and watches.
//!
//! Only this module depends on the format of the platform's calls.

use crate::http::CallError;
use crate::http::Client;
use endivereach_core::directory::Vm;
use endivereach_core::ids::Version;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

/// The kind of the objects that describe database groups.
pub const KIND_GROUP: &str = "group";
/// The kind of the objects that hold rules.
pub const KIND_RULES: &str = "rules";
/// The kind of the objects that hold connection shares.
pub const KIND_SHARES: &str = "shares";

/// The path of [`Get`] calls.
pub const PATH_GET: &str = "/get";
/// The path of [`Put`] calls.
pub const PATH_PUT: &str = "/put";
/// The path of [`List`] calls.
pub const PATH_LIST: &str = "/list";
/// The path of [`Watch`] calls.
pub const PATH_WATCH: &str = "/watch";
/// The path of the call that lists VMs. The request is `()` and the response is `Vec<Vm>`.
pub const PATH_VMS: &str = "/vms";

endivereach_core::data! {
    /// Reads one object. The response is `Option<Object>`.
    pub struct Get {
        /// The object's kind.
        pub kind: Box<str>,
        /// The object's name.
        pub name: Box<str>,
    }

    /// Writes one object if its version is still the expected one. The response is [`PutOutcome`].
    pub struct Put {
        /// The object's kind.
        pub kind: Box<str>,
        /// The object's name.
        pub name: Box<str>,
        /// The version that the writer read, or zero when the object must not exist yet.
        pub expected: Version,
        /// The id of the operation, which is stored with the object. A writer that got no response
        /// reads it to determine whether its write took effect.
        pub op_id: Box<str>,
        /// The new value, at most 1,000,000 bytes.
        #[serde(with = "serde_bytes")]
        pub value: Vec<u8>,
    }

    /// The result of a [`Put`].
    pub enum PutOutcome {
        /// The write took effect.
        Stored {
            /// The object's new version.
            version: Version,
        },
        /// The object had another version than expected and was not changed.
        Conflict {
            /// The stored object, or `None` when it doesn't exist.
            current: Option<Object>,
        },
    }

    /// Reads every object of a kind. The response is `Vec<Object>`.
    pub struct List {
        /// The kind of the objects.
        pub kind: Box<str>,
    }

    /// Waits until an object of `kind` has a revision above `after`. The response is
    /// [`WatchAnswer`].
    pub struct Watch {
        /// The kind of the objects.
        pub kind: Box<str>,
        /// The store's revision up to which the client knows all changes.
        pub after: Version,
        /// The maximum wait, in milliseconds.
        pub wait_ms: u64,
    }

    /// The response to [`Watch`].
    pub struct WatchAnswer {
        /// The revision up to which changes are included.
        pub revision: Version,
        /// The changed objects. Empty when `wait_ms` passed without a change.
        pub objects: Vec<Object>,
    }

    /// A stored object.
    ///
    /// All objects take their versions from one revision counter, so the version of an object is
    /// also the revision of its last change.
    pub struct Object {
        /// The object's kind.
        pub kind: Box<str>,
        /// The object's name.
        pub name: Box<str>,
        /// The version of the object, which is above zero.
        pub version: Version,
        /// The id of the operation that wrote this version.
        pub op_id: Box<str>,
        /// The value, encoded by the writer.
        #[serde(with = "serde_bytes")]
        pub value: Vec<u8>,
    }
}

impl Object {
    /// Decodes the value from MessagePack.
    ///
    /// # Errors
    ///
    /// Returns the decoder's error message.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, Box<str>> {
        crate::http::decode(&self.value)
    }
}

/// A client of the platform's object API.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    client: Client,
    addr: SocketAddr,
    timeout: Duration,
}

impl PlatformClient {
    /// Creates a client of the platform at `addr`. Each call times out after `timeout`.
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        Self {
            client: Client::new(),
            addr,
            timeout,
        }
    }

    /// Reads one object.
    ///
    /// # Errors
    ///
    /// Returns an error when no valid response arrives.
    pub fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, CallError> {
        let request = Get {
            kind: kind.into(),
            name: name.into(),
        };
        self.call(PATH_GET, &request)
    }

    /// Writes one object if its version is still `expected`.
    ///
    /// # Errors
    ///
    /// Returns an error when the call is refused, or when no valid response arrives. In the second
    /// case the write may have taken effect: compare the `op_id` of the object that
    /// [`PlatformClient::get`] returns.
    pub fn put(
        &self,
        kind: &str,
        name: &str,
        expected: Version,
        op_id: &str,
        value: &impl Serialize,
    ) -> Result<PutOutcome, CallError> {
        let request = Put {
            kind: kind.into(),
            name: name.into(),
            expected,
            op_id: op_id.into(),
            value: crate::http::encode(value),
        };
        self.call(PATH_PUT, &request)
    }

    /// Reads every object of a kind.
    ///
    /// # Errors
    ///
    /// Returns an error when no valid response arrives.
    pub fn list(&self, kind: &str) -> Result<Vec<Object>, CallError> {
        self.call(PATH_LIST, &List { kind: kind.into() })
    }

    /// Waits up to `wait` for changes of objects of `kind` after revision `after`.
    ///
    /// # Errors
    ///
    /// Returns an error when no valid response arrives.
    pub fn watch(
        &self,
        kind: &str,
        after: Version,
        wait: Duration,
    ) -> Result<WatchAnswer, CallError> {
        let request = Watch {
            kind: kind.into(),
            after,
            wait_ms: wait.as_millis() as u64,
        };
        self.client
            .call(self.addr, PATH_WATCH, &request, wait + self.timeout)
    }

    /// Reads the list of live and leaving VMs, which lags behind their actual state.
    ///
    /// # Errors
    ///
    /// Returns an error when no valid response arrives.
    pub fn vms(&self) -> Result<Vec<Vm>, CallError> {
        self.call(PATH_VMS, &())
    }

    fn call<Q: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        request: &Q,
    ) -> Result<R, CallError> {
        self.client.call(self.addr, path, request, self.timeout)
    }
}
