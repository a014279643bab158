//! What operators keep in the platform, and the calls that they make to proxies.
//!
//! The rules in force live in one object, kind [`KIND_RULES`] and name [`NAME_CURRENT`], whose
//! version is the rules' version. Before a writer replaces it, the writer archives it under kind
//! [`KIND_RULES_HISTORY`], so every replaced version can be read again.
//!
//! [`KIND_RULES`]: crate::platform::KIND_RULES

use endivereach_core::event::Event;
use endivereach_core::ids::GroupName;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::ProxyId;
use endivereach_core::ids::RegionName;
use endivereach_core::ids::RequestId;
use endivereach_core::ids::Term;
use endivereach_core::ids::Version;
use endivereach_core::ids::ZoneName;

/// The name of the object that holds the rules in force.
pub const NAME_CURRENT: &str = "current";

/// The kind of the objects that hold replaced rules. Their name is the version that they had, and
/// their value is the [`RulesObject`] of that version.
pub const KIND_RULES_HISTORY: &str = "rules-history";

/// How many earlier changes [`RulesObject::previous`] holds at most.
pub const PREVIOUS_CHANGES_MAX: usize = 64;

/// The path of the call that reads which rules a proxy applies. The request is `()` and the answer
/// is [`RulesReport`].
pub const PATH_RULES_VERSION: &str = "/fleet/rules-version";

/// The path of the call that reads how a proxy stands. The request is `()` and the answer is
/// [`ProxyStatus`].
pub const PATH_FLEET_STATUS: &str = "/fleet/status";

/// The path of [`Explain`] calls. The answer is [`Explanation`].
pub const PATH_EXPLAIN: &str = "/fleet/explain";

endivereach_core::data! {
    /// One version of the rules, as kept in the platform.
    ///
    /// # Invariants
    ///
    /// `previous` names the changes just before this one, newest first, so that a writer whose
    /// answer was lost finds its change also when another one came on top.
    pub struct RulesObject {
        /// The rules file.
        pub text: Box<str>,
        /// Who applied this version.
        pub by: Box<str>,
        /// Why, in the operator's words; empty when none was given.
        pub reason: Box<str>,
        /// When, in milliseconds of Unix time by the operator's clock.
        pub at_unix_ms: u64,
        /// Earlier changes, newest first, at most [`PREVIOUS_CHANGES_MAX`].
        pub previous: Vec<RulesChange>,
    }

    /// Who changed the rules and when.
    pub struct RulesChange {
        /// The version that the change produced.
        pub version: Version,
        /// The operation's identity.
        pub op_id: Box<str>,
        /// Who applied it.
        pub by: Box<str>,
        /// Why, in the operator's words.
        pub reason: Box<str>,
        /// When, in milliseconds of Unix time by the operator's clock.
        pub at_unix_ms: u64,
    }

    /// Which rules a proxy applies.
    pub struct RulesReport {
        /// The proxy.
        pub proxy: ProxyId,
        /// The version in force; zero before the first.
        pub version: Version,
        /// Whether the proxy can show that the version is current.
        pub state: RulesState,
        /// How long ago the version was last shown to be current, in milliseconds.
        pub confirmed_ago_ms: u64,
        /// The newest version that the proxy refused, if it is above the one in force.
        pub refused: Option<RefusedRules>,
    }

    /// A version of the rules that a proxy refused to apply.
    pub struct RefusedRules {
        /// The version.
        pub version: Version,
        /// What is wrong with it.
        pub reason: Box<str>,
    }

    /// How a proxy stands.
    pub struct ProxyStatus {
        /// The proxy.
        pub proxy: ProxyId,
        /// Its region.
        pub region: RegionName,
        /// Its availability zone.
        pub zone: ZoneName,
        /// How long the process has run, in milliseconds.
        pub uptime_ms: u64,
        /// Whether it is draining before a stop.
        pub draining: bool,
        /// Whether it read the platform within its bound.
        pub platform_reachable: bool,
        /// The rules that it applies.
        pub rules: RulesReport,
        /// Callers connected now.
        pub callers: u64,
        /// Statements in progress now.
        pub in_flight: u64,
        /// Peers that it knows.
        pub peers: u64,
        /// The groups that it serves.
        pub groups: Vec<GroupStatus>,
        /// Counters since the start of the process, by name.
        pub counters: Vec<Counter>,
    }

    /// A group as one proxy sees it.
    pub struct GroupStatus {
        /// The group.
        pub name: GroupName,
        /// The term of its primary.
        pub term: Term,
        /// Its primary, or `None` while a promotion is under way.
        pub primary: Option<MemberId>,
        /// Its members.
        pub members: Vec<MemberSummary>,
        /// Connections that this proxy may hold at each server.
        pub share: u32,
        /// Requests that wait for a connection.
        pub queued: u64,
    }

    /// A member of a group as one proxy sees it.
    pub struct MemberSummary {
        /// The member.
        pub id: MemberId,
        /// Its availability zone.
        pub zone: ZoneName,
        /// Whether it answers control calls.
        pub reachable: bool,
        /// Whether it is leaving.
        pub leaving: bool,
        /// Whether it gets reads.
        pub in_rotation: bool,
        /// How many log entries it is behind the primary.
        pub lag_entries: u64,
        /// Connections that this proxy holds to it.
        pub connections: u32,
    }

    /// A counter of one process.
    pub struct Counter {
        /// The counter's name, as in the metrics.
        pub name: Box<str>,
        /// Its value.
        pub value: u64,
    }

    /// Asks a proxy why it did something.
    pub enum Explain {
        /// Why a request went where it went.
        Request {
            /// The request's identity.
            id: RequestId,
        },
        /// Why a group's primary changed, or a member was withdrawn.
        Group {
            /// The group.
            name: GroupName,
        },
        /// What a line of the rules decided of late.
        Rule {
            /// The line in the rules file.
            line: u32,
        },
    }

    /// A proxy's answer to [`Explain`]. No steps means that the proxy had no part in it.
    pub struct Explanation {
        /// The proxy that answers.
        pub proxy: ProxyId,
        /// What happened, oldest first.
        pub steps: Vec<ExplainedStep>,
    }

    /// One step of an explanation.
    pub struct ExplainedStep {
        /// When, in milliseconds of Unix time by the proxy's clock.
        pub at_unix_ms: u64,
        /// What happened, in a sentence.
        pub what: Box<str>,
        /// What it was based on.
        pub evidence: Box<str>,
        /// The event, where one was recorded.
        pub event: Option<Event>,
    }
}

endivereach_core::value! {
    /// Whether a proxy can show that its rules are current.
    pub enum RulesState {
        /// Shown to be current within the bound.
        Current,
        /// Not shown within the bound: every request gets the strictest treatment.
        Unconfirmed,
        /// No rules were ever read: every request gets the strictest treatment.
        Missing,
    }
}

impl RulesObject {
    /// Returns this version's own change, given the version and operation of its object.
    pub fn change(&self, version: Version, op_id: &str) -> RulesChange {
        RulesChange {
            version,
            op_id: op_id.into(),
            by: self.by.clone(),
            reason: self.reason.clone(),
            at_unix_ms: self.at_unix_ms,
        }
    }
}
