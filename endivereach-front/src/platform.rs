//! The interface to the platform that stores durable state and performs promotions.

use crate::http::Request;
use crate::http::Response;
use endivereach_core::duty::DutyClaim;
use endivereach_core::engine::statement::FencingToken;
use endivereach_core::engine::topology::Routes;
use endivereach_core::engine::topology::TargetEntry;
use endivereach_core::ids::Era;
use endivereach_core::ids::GroupName;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::ProxyName;
use endivereach_core::ids::Version;
use endivereach_core::restored_list::ProxyEntry;
use std::time::Duration;

endivereach_core::value! {
    /// A kind of object, which is listed and watched as a whole.
    pub enum ObjectKind {
        /// Routes from databases to groups.
        Routes,
        /// Database servers that have registered themselves.
        Targets,
        /// Objects that the proxies themselves write.
        Own,
    }
}

/// How old the objects of a list may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListAge {
    /// As the platform serves the kind at the lowest price.
    MayBeStale,
    /// The list includes every change that was made before the call.
    Current,
}

endivereach_core::data! {
    /// The decoded content of an object.
    pub enum ObjectValue {
        /// The routes currently in force.
        Routes(Routes),
        /// A registered database server.
        Target(TargetEntry),
        /// The promotion duty: the right of one proxy to order promotions.
        Duty(DutyClaim),
        /// A registered proxy.
        Proxy(ProxyEntry),
    }

    /// An object of the platform's store.
    pub struct Object {
        /// The name, unique within the object's kind.
        pub name: Box<str>,
        /// The version of the object's last change.
        pub version: Version,
        /// The content; `None` if it couldn't be decoded, in which case the object counts as
        /// absent.
        pub value: Option<ObjectValue>,
    }
}

/// The name of an object that the proxies themselves write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnObjectName {
    /// The promotion duty.
    Duty,
    /// The registration of a proxy.
    Proxy(ProxyName),
}

/// One page of a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// The objects of this page, in the order of their names.
    pub objects: Vec<Object>,
    /// Whether more pages follow.
    pub has_more: bool,
    /// The version of the store at which the page was read.
    pub store_version: Version,
}

/// A change to one object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The object after the change, or before it was deleted.
    pub object: Object,
    /// Whether the object was deleted.
    pub is_deleted: bool,
}

/// The response to a watch: all changes since the watched version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes {
    /// The changes, in the order in which they were made.
    pub changes: Vec<Change>,
    /// The version of the store up to which the changes are complete.
    pub store_version: Version,
}

/// A response body that doesn't have the expected shape.
#[derive(Debug, thiserror::Error)]
#[error("can't decode the platform's response ({reason}); check whether its interface has changed")]
pub struct DecodeError {
    /// The cause, such as a missing field.
    pub reason: Box<str>,
}

/// Encodes requests to the platform and decodes its responses.
pub trait Platform {
    /// Returns a request that lists the objects of a kind, starting after the name `after`. A list that
    /// may be stale can lack the changes of some seconds.
    fn list(&self, kind: ObjectKind, after: Option<&str>, age: ListAge) -> Request;

    /// Returns a request that waits up to `wait` for changes to the objects of a kind after the
    /// store version `from`.
    fn watch(&self, kind: ObjectKind, from: Version, wait: Duration) -> Request;

    /// Returns a request that reads an object of the proxies.
    fn get(&self, name: &OwnObjectName) -> Request;

    /// Returns a request that writes an object of the proxies if its version is still `expected`.
    /// `None` means that the object must not exist yet.
    fn put(&self, name: &OwnObjectName, expected: Option<Version>, value: &ObjectValue) -> Request;

    /// Returns a request that deletes an object of the proxies.
    fn delete(&self, name: &OwnObjectName) -> Request;

    /// Returns a request that orders the promotion of `member` to the primary of `group`, under the
    /// promotion duty of `holder` and its fencing token.
    fn promote(
        &self,
        holder: &ProxyName,
        token: FencingToken,
        group: &GroupName,
        member: &MemberId,
    ) -> Request;

    /// Decodes the era of the store that gave a response. A response that states none belongs to the
    /// first era.
    ///
    /// # Errors
    ///
    /// Returns an error if the era isn't a number.
    fn decode_era(&self, response: &Response) -> Result<Era, DecodeError>;

    /// Decodes the response to a list request.
    ///
    /// # Errors
    ///
    /// Returns an error if the body isn't a page of objects.
    fn decode_page(&self, kind: ObjectKind, body: &[u8]) -> Result<Page, DecodeError>;

    /// Decodes the response to a watch request.
    ///
    /// # Errors
    ///
    /// Returns an error if the body isn't a list of changes.
    fn decode_changes(&self, kind: ObjectKind, body: &[u8]) -> Result<Changes, DecodeError>;

    /// Decodes the response to a read or write of one object.
    ///
    /// # Errors
    ///
    /// Returns an error if the body isn't an object.
    fn decode_object(&self, kind: ObjectKind, body: &[u8]) -> Result<Object, DecodeError>;
}
