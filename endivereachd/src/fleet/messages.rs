//! What proxies say to each other.

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
    /// The kinds of the platform's objects that proxies pass on.
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

    /// Returns the platform's kind.
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
    pub struct Stored {
        /// The operation that wrote it.
        pub op_id: Box<str>,
        /// The value, in MessagePack.
        #[serde(with = "serde_bytes")]
        pub value: Vec<u8>,
    }

    /// How far one topic is known.
    pub struct KnownTopic {
        /// The topic.
        pub topic: Topic,
        /// The revision up to which every change is known.
        pub revision: Version,
    }

    /// Asks a peer for what is newer. The peer holds the call until it has news or the wait ends.
    pub struct ExchangeRequest {
        /// Who asks.
        pub from: Vm,
        /// The asking process.
        pub incarnation: Incarnation,
        /// How far each topic is known.
        pub known: Vec<KnownTopic>,
        /// A hash of the member list held.
        pub members_hash: u64,
        /// The highest version of the rules that some process is known to have applied.
        pub applied: Version,
        /// How long to wait at most, in milliseconds.
        pub wait_ms: u64,
    }

    /// What is newer.
    pub struct ExchangeAnswer {
        /// Who answers.
        pub from: Vm,
        /// The answering process.
        pub incarnation: Incarnation,
        /// The changes of each topic that are above the asker's revision.
        pub topics: Vec<TopicChanges>,
        /// The age of the member list, and the list when its hash differs from the asker's. `None`
        /// before the first list.
        pub members: Option<MemberList>,
        /// The highest version of the rules that some process is known to have applied.
        pub applied: Version,
    }

    /// The changes of one topic, with the age of the evidence that they are complete.
    pub struct TopicChanges {
        /// The topic.
        pub topic: Topic,
        /// The changes.
        pub changes: Changes<Stored>,
        /// How old the evidence is, in milliseconds, rounded up. `None` without evidence.
        pub age_ms: Option<u64>,
    }

    /// The platform's list of VMs, with its age.
    pub struct MemberList {
        /// The list, or `None` when the asker holds the same one.
        pub vms: Option<Vec<Vm>>,
        /// How old it is, in milliseconds, rounded up.
        pub age_ms: u64,
    }
}

/// Returns an age in whole milliseconds, rounded up so that passing it on never makes it younger.
pub(crate) fn age_ms(age: Duration) -> u64 {
    u64::try_from(age.as_micros().div_ceil(1000)).unwrap_or(u64::MAX)
}
