//! The messages that proxies exchange.

use endivereach_core::directory::Vm;
use endivereach_core::exchange::Changes;
use endivereach_core::ids::Incarnation;
use endivereach_core::ids::Version;
use endivereach_wire::platform::KIND_GROUP;
use endivereach_wire::platform::KIND_RULES;
use endivereach_wire::platform::KIND_SHARES;
use std::time::Duration;

/// The path of [`ExchangeRequest`] calls.
pub(crate) const PATH_EXCHANGE: &str = "/fleet/exchange";

endivereach_core::value! {
    /// A kind of platform objects that proxies pass on to each other.
    pub enum Topic {
        /// The rules in force.
        Rules,
        /// Database groups.
        Groups,
        /// Connection shares.
        Shares,
    }
}

impl Topic {
    /// Every topic.
    pub const ALL: [Self; 3] = [Self::Rules, Self::Groups, Self::Shares];

    /// Returns the name of this kind of objects in the platform's interface.
    pub const fn kind(self) -> &'static str {
        match self {
            Self::Rules => KIND_RULES,
            Self::Groups => KIND_GROUP,
            Self::Shares => KIND_SHARES,
        }
    }
}

endivereach_core::data! {
    /// An object's value as the platform holds it.
    pub struct StoredValue {
        /// The id of the operation that wrote it.
        pub op_id: Box<str>,
        /// The value, encoded as MessagePack.
        #[serde(with = "serde_bytes")]
        pub value: Vec<u8>,
    }

    /// The revision up to which the sender knows one topic.
    pub struct KnownTopic {
        /// The topic.
        pub topic: Topic,
        /// The revision up to which every change is known.
        pub revision: Version,
    }

    /// Requests newer objects. The peer holds the call until it has some or the wait ends.
    pub struct ExchangeRequest {
        /// The VM of the requesting process.
        pub from: Vm,
        /// The incarnation of the requesting process.
        pub incarnation: Incarnation,
        /// The revision known of each topic.
        pub known: Vec<KnownTopic>,
        /// The hash of the requester's member list.
        pub members_hash: u64,
        /// The highest version of the rules that some process is known to have applied.
        pub applied: Version,
        /// The maximum time to hold the call, in milliseconds.
        pub wait_ms: u64,
    }

    /// The objects that are newer than the requester's.
    pub struct ExchangeAnswer {
        /// The VM of the answering process.
        pub from: Vm,
        /// The incarnation of the answering process.
        pub incarnation: Incarnation,
        /// The changes of each topic above the requester's revision.
        pub topics: Vec<TopicChanges>,
        /// The age of the member list, and the list if its hash differs from the requester's.
        /// `None` if the answering process has no list yet.
        pub members: Option<MemberList>,
        /// The highest version of the rules that some process is known to have applied.
        pub applied: Version,
    }

    /// The changes of one topic, with the age of the evidence that they are complete.
    pub struct TopicChanges {
        /// The topic.
        pub topic: Topic,
        /// The changes.
        pub changes: Changes<StoredValue>,
        /// The age of the evidence in milliseconds, rounded up, or `None` without evidence.
        pub age_ms: Option<u64>,
    }

    /// The platform's list of VMs, with its age.
    pub struct MemberList {
        /// The list, or `None` if the requester has the same one.
        pub vms: Option<Vec<Vm>>,
        /// The age of the evidence for the list in milliseconds, rounded up.
        pub age_ms: u64,
    }
}

/// Returns an age in whole milliseconds, rounded up so that evidence never appears more recent than
/// it is.
pub(crate) fn age_ms(age: Duration) -> u64 {
    u64::try_from(age.as_micros().div_ceil(1000)).unwrap_or(u64::MAX)
}
