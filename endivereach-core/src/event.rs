//! Typed events: what the proxy did of its own accord, with the evidence for it.

use crate::ids::GroupName;
use crate::ids::MemberId;
use crate::ids::Position;
use crate::ids::Term;
use crate::ids::Version;

crate::data! {
    /// Something the proxy did, and why.
    pub enum Event {
        /// A new primary was published or found.
        PrimaryChanged {
            /// The group.
            group: GroupName,
            /// The new term.
            term: Term,
            /// The new primary.
            primary: MemberId,
            /// What was seen.
            evidence: Box<str>,
        },
        /// A promotion moved on by one phase.
        PromotionPhase {
            /// The group.
            group: GroupName,
            /// The term of the promotion.
            term: Term,
            /// The phase that ended.
            phase: Box<str>,
            /// How long the phase took, in milliseconds.
            took_ms: u64,
        },
        /// A member gets no reads for now.
        MemberWithdrawn {
            /// The group.
            group: GroupName,
            /// The member.
            member: MemberId,
            /// Where the member stands.
            applied: Position,
            /// What was seen.
            evidence: Box<str>,
        },
        /// A set of rules came into force.
        RulesInForce {
            /// Its version.
            version: Version,
        },
        /// A set of rules was refused, and the last good one stays in force.
        RulesRefused {
            /// Its version.
            version: Version,
            /// What is wrong with it.
            reason: Box<str>,
        },
        /// The rules could no longer be shown to be current: every request gets the strictest
        /// treatment.
        RulesUnconfirmed {
            /// The version that was in force.
            version: Version,
            /// How old the last evidence is, in milliseconds.
            evidence_age_ms: u64,
        },
        /// The rules were shown to be current again.
        RulesConfirmed {
            /// The version in force.
            version: Version,
        },
    }
}
