//! What a front needs of the platform that keeps what has to last.

use crate::http::Request;
use endivereach_core::directory::Vm;
use endivereach_core::engine::statement::FencingToken;
use endivereach_core::engine::topology::Routes;
use endivereach_core::engine::topology::TargetEntry;
use endivereach_core::ids::GroupName;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::ProxyId;
use endivereach_core::ids::ProxyName;
use endivereach_core::ids::Version;
use std::time::Duration;

endivereach_core::value! {
    /// A set of objects that is watched as a whole.
    pub enum Kind {
        /// The routes.
        Routes,
        /// The servers that registered themselves.
        Targets,
        /// The objects of the project's own.
        Own,
    }
}

/// What an object says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    /// The routes in force.
    Routes(Routes),
    /// A server.
    Target(TargetEntry),
    /// Who holds the duty to promote.
    Duty {
        /// The holder.
        holder: ProxyId,
        /// Differs between two times that the same process takes the duty.
        turn: u64,
    },
    /// A proxy of the fleet.
    Proxy {
        /// The VM that it runs on.
        vm: Vm,
    },
}

/// The name of an object of the project's own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnName {
    /// The duty to promote.
    Duty,
    /// A proxy.
    Proxy(ProxyName),
}

/// One object of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Its name within its kind.
    pub name: Box<str>,
    /// The version of its last change.
    pub version: Version,
    /// What it says; `None` when it can't be understood and counts as absent.
    pub value: Option<Value>,
}

/// A part of a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// The objects.
    pub objects: Vec<Object>,
    /// Whether more follow.
    pub has_more: bool,
    /// The version of the store when the page was read.
    pub store_version: Version,
}

/// A change of one object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The object after the change, or before it was deleted.
    pub object: Object,
    /// Whether it was deleted.
    pub is_deleted: bool,
}

/// Changes since a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Events {
    /// The changes, in order.
    pub events: Vec<Event>,
    /// The version up to which they are told.
    pub store_version: Version,
}

/// A body that isn't what the platform promises.
#[derive(Debug, thiserror::Error)]
#[error("the platform's answer can't be read ({reason}); probe for a change of its interface")]
pub struct DecodeError {
    /// What is wrong.
    pub reason: Box<str>,
}

/// Writes the platform's calls and reads its answers.
pub trait Platform {
    /// Lists a kind's objects whose names follow `after`.
    fn list(&self, kind: Kind, after: Option<&str>) -> Request;

    /// Waits for changes of a kind's objects after a version.
    fn watch(&self, kind: Kind, from: Version, wait: Duration) -> Request;

    /// Reads one of the project's own objects.
    fn get(&self, name: &OwnName) -> Request;

    /// Writes one of the project's own objects, if its version is still `expected`; `None` means
    /// that it must not exist yet.
    fn put(&self, name: &OwnName, expected: Option<Version>, value: &Value) -> Request;

    /// Deletes one of the project's own objects.
    fn delete(&self, name: &OwnName) -> Request;

    /// Orders a promotion.
    fn promote(
        &self,
        holder: &ProxyName,
        token: FencingToken,
        group: &GroupName,
        member: &MemberId,
    ) -> Request;

    /// Reads the answer to a list.
    ///
    /// # Errors
    ///
    /// Returns an error when the body isn't a list.
    fn decode_page(&self, kind: Kind, body: &[u8]) -> Result<Page, DecodeError>;

    /// Reads the answer to a watch.
    ///
    /// # Errors
    ///
    /// Returns an error when the body isn't a list of changes.
    fn decode_events(&self, kind: Kind, body: &[u8]) -> Result<Events, DecodeError>;

    /// Reads one object.
    ///
    /// # Errors
    ///
    /// Returns an error when the body isn't an object.
    fn decode_object(&self, kind: Kind, body: &[u8]) -> Result<Object, DecodeError>;
}
