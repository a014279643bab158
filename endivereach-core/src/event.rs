//! Events: actions that the proxy took on its own, with the evidence that led to them.

use crate::ids::GroupName;
use crate::ids::MemberId;
use crate::ids::Position;
use crate::ids::Term;
use crate::ids::Version;

crate::data! {
    /// An action or observation of the proxy.
    pub enum Event {
        /// A new primary was published or discovered.
        PrimaryChanged {
            /// The group whose primary changed.
            group: GroupName,
            /// The new term.
            term: Term,
            /// The new primary.
            primary: MemberId,
            /// The observation that led to the event.
            evidence: Box<str>,
        },
        /// A promotion completed one phase.
        PromotionPhase {
            /// The group in which the promotion runs.
            group: GroupName,
            /// The term of the promotion.
            term: Term,
            /// The completed phase.
            phase: Box<str>,
            /// The duration of the phase, in milliseconds.
            took_ms: u64,
        },
        /// A member temporarily receives no reads.
        MemberWithdrawn {
            /// The group of the member.
            group: GroupName,
            /// The withdrawn member.
            member: MemberId,
            /// The position that the member has applied.
            applied: Position,
            /// The observation that led to the withdrawal.
            evidence: Box<str>,
        },
        /// A version of the rules came into force.
        RulesInForce {
            /// The version that came into force.
            version: Version,
        },
        /// A version of the rules was rejected, and the last valid one stays in force.
        RulesRefused {
            /// The rejected version.
            version: Version,
            /// The reason for the rejection.
            reason: Box<str>,
        },
        /// The rules could not be confirmed to be current, so every request gets the strictest
        /// treatment.
        RulesUnconfirmed {
            /// The version that was in force.
            version: Version,
            /// The age of the last confirmation, in milliseconds.
            evidence_age_ms: u64,
        },
        /// The rules were confirmed to be current again.
        RulesConfirmed {
            /// The version in force.
            version: Version,
        },
    }
}
