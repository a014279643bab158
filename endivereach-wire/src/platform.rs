//! The platform's object API: versions, conditional updates and watches.
//!
//! This module is the only one that knows the shape of the platform's interface.

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
/// The path of the call that lists VMs.
pub const PATH_VMS: &str = "/vms";

endivereach_core::data! {
    /// Reads one object. The answer is `Option<Object>`.
    pub struct Get {
        /// The object's kind.
        pub kind: Box<str>,
        /// The object's name.
        pub name: Box<str>,
    }

    /// Writes one object if its version is still the expected one. The answer is `PutOutcome`.
    pub struct Put {
        /// The object's kind.
        pub kind: Box<str>,
        /// The object's name.
        pub name: Box<str>,
        /// The version that the writer read; zero when the object must not exist yet.
        pub expected: Version,
        /// The operation's identity, kept with the object, by which a writer whose answer was lost
        /// finds out whether its change took effect.
        pub op_id: Box<str>,
        /// The new value, at most one megabyte.
        #[serde(with = "serde_bytes")]
        pub value: Vec<u8>,
    }

    /// What became of a [`Put`].
    pub enum PutOutcome {
        /// The change took effect.
        Stored {
            /// The object's new version.
            version: Version,
        },
        /// The object had another version, and nothing changed.
        Conflict {
            /// The object as it stands, or `None` when it doesn't exist.
            current: Option<Object>,
        },
    }

    /// Reads every object of a kind. The answer is `Vec<Object>`.
    pub struct List {
        /// The kind.
        pub kind: Box<str>,
    }

    /// Waits until an object of `kind` has a revision above `after`. The answer is `WatchAnswer`.
    pub struct Watch {
        /// The kind.
        pub kind: Box<str>,
        /// The highest revision already known.
        pub after: Version,
        /// How long to wait at most, in milliseconds.
        pub wait_ms: u64,
    }

    /// The objects that changed.
    pub struct WatchAnswer {
        /// The revision up to which changes are included.
        pub revision: Version,
        /// The changed objects, empty when the wait ended first.
        pub objects: Vec<Object>,
    }

    /// An object of the platform.
    ///
    /// Versions are drawn from one revision counter, so an object's version is also the revision of
    /// its last change.
    pub struct Object {
        /// The object's kind.
        pub kind: Box<str>,
        /// The object's name.
        pub name: Box<str>,
        /// The object's version, above zero.
        pub version: Version,
        /// The operation that wrote this version.
        pub op_id: Box<str>,
        /// The value.
        #[serde(with = "serde_bytes")]
        pub value: Vec<u8>,
    }
}

impl Object {
    /// Decodes the value.
    ///
    /// # Errors
    ///
    /// Returns the decoder's message.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, Box<str>> {
        crate::http::decode(&self.value)
    }
}

/// A client of the platform.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    client: Client,
    addr: SocketAddr,
    timeout: Duration,
}

impl PlatformClient {
    /// Creates a client of the platform at `addr`; each call waits up to `timeout`.
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
    /// Returns an error when no answer arrives.
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
    /// Returns an error when no answer arrives: the change may have taken effect, and
    /// [`PlatformClient::get`] with a look at `op_id` tells.
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
    /// Returns an error when no answer arrives.
    pub fn list(&self, kind: &str) -> Result<Vec<Object>, CallError> {
        self.call(PATH_LIST, &List { kind: kind.into() })
    }

    /// Waits up to `wait` for changes of a kind after revision `after`.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer arrives.
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

    /// Reads the lagging list of live and leaving VMs.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer arrives.
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
