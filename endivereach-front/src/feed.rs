//! The format in which a reader passes the platform's objects on to the processes that follow it.
//!
//! A follower polls its reader over HTTP. The request names the version up to which the follower
//! has the objects of each kind. The reader holds the request until one of them changes, and then
//! returns the changed objects, with the age of the evidence that its own copy is complete.

use crate::platform::Object;
use crate::platform::ObjectKind;
use endivereach_core::ids::Era;
use endivereach_core::ids::Version;
use endivereach_core::ids::parse_number;
use std::cmp::Ordering;
use std::time::Duration;

/// The kinds of objects, in the order of the versions in a request.
pub const KINDS: [ObjectKind; 3] = [ObjectKind::Routes, ObjectKind::Targets, ObjectKind::Own];

/// The start of the path of a request.
const PATH_PREFIX: &str = "/feed";

/// A version of the store for each of [`KINDS`].
pub type PollVersions = [Version; KINDS.len()];

endivereach_core::data! {
    /// The changes to the objects of one kind.
    pub struct Section {
        /// The kind of the objects.
        pub kind: ObjectKind,
        /// The version of the store up to which the changes are complete.
        pub store_version: Version,
        /// Whether `objects` are all objects of the kind, instead of those that changed.
        pub is_complete: bool,
        /// The objects.
        pub objects: Vec<Object>,
        /// The names of the objects that were deleted since the requested version.
        pub deleted: Vec<Box<str>>,
    }

    /// The response to a poll.
    pub struct Reply {
        /// The era of the store in which all versions of the reply were assigned.
        #[serde(default)]
        pub era: Era,
        /// The age of the evidence that the reader's copy is complete, when the reader responded.
        pub age: Duration,
        /// One section for each kind.
        pub sections: Vec<Section>,
    }
}

/// A follower's request for changes.
///
/// # Examples
///
/// ```
/// use endivereach_core::ids::{Era, Version};
/// use endivereach_front::feed::Poll;
/// use std::time::Duration;
///
/// let poll = Poll {
///     era: Era::new(2),
///     versions: [Version::new(7), Version::new(9), Version::new(0)],
///     wait: Duration::from_millis(500),
/// };
/// assert_eq!(Poll::parse(&poll.path()), Some(poll));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poll {
    /// The era of the store in which the follower's versions were assigned.
    pub era: Era,
    /// The versions up to which the follower has the objects of each of [`KINDS`]; zero if it has
    /// none.
    pub versions: PollVersions,
    /// How long the reader may hold the request without a change.
    pub wait: Duration,
}

impl Poll {
    /// Returns the path of the HTTP request.
    pub fn path(&self) -> String {
        let [routes, targets, own] = self.versions;
        let wait_ms = self.wait.as_millis();
        format!(
            "{PATH_PREFIX}/{routes}/{targets}/{own}/{wait_ms}/{}",
            self.era
        )
    }

    /// Returns the versions up to which the follower has the objects of the store's era `era`, or
    /// `None` if the follower has seen a newer era.
    pub fn versions_in(&self, era: Era) -> Option<PollVersions> {
        match self.era.cmp(&era) {
            Ordering::Less => Some(PollVersions::default()),
            Ordering::Equal => Some(self.versions),
            Ordering::Greater => None,
        }
    }

    /// Parses the path of an HTTP request. Returns `None` if it isn't a poll.
    pub fn parse(path: &str) -> Option<Self> {
        let numbers: Vec<u64> = path
            .strip_prefix(PATH_PREFIX)?
            .strip_prefix('/')?
            .split('/')
            .map(|number| parse_number(number).ok())
            .collect::<Option<_>>()?;
        let [routes, targets, own, wait_ms, era] = numbers[..] else {
            return None;
        };
        Some(Self {
            era: Era::new(era),
            versions: [routes, targets, own].map(Version::new),
            wait: Duration::from_millis(wait_ms),
        })
    }
}

impl Reply {
    /// Encodes the reply as an HTTP body.
    ///
    /// # Errors
    ///
    /// Returns an error if an object can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, rmp_serde::encode::Error> {
        rmp_serde::to_vec_named(self)
    }

    /// Decodes the body of an HTTP response.
    ///
    /// # Errors
    ///
    /// Returns an error if the body isn't a reply, for example because the reader runs an
    /// incompatible version of this program.
    pub fn decode(body: &[u8]) -> Result<Self, rmp_serde::decode::Error> {
        rmp_serde::from_slice(body)
    }
}
