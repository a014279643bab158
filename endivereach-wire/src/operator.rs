//! The objects that operators store in the platform, and the calls of operators to proxies.
//!
//! The rules in force are stored in one object of kind [`KIND_RULES`] and name [`NAME_CURRENT`].
//! The object's version is the version of the rules. Before a writer replaces the object, it stores
//! a copy under kind [`KIND_RULES_HISTORY`], so that every replaced version can be read later.
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

/// The kind of the objects that hold replaced rules. The name of such an object is the version of
/// the rules, and its value is the [`RulesObject`] of that version.
pub const KIND_RULES_HISTORY: &str = "rules-history";

/// The maximum length of [`RulesObject::previous`].
pub const PREVIOUS_CHANGES_MAX: usize = 64;

/// The path of the call that reads which rules a proxy applies. The request is `()` and the
/// response is [`RulesReport`].
pub const PATH_RULES_VERSION: &str = "/fleet/rules-version";

/// The path of the call that reads the status of a proxy. The request is `()` and the response is
/// [`ProxyStatus`].
pub const PATH_FLEET_STATUS: &str = "/fleet/status";

/// The path of [`Explain`] calls. The response is [`Explanation`].
pub const PATH_EXPLAIN: &str = "/fleet/explain";

endivereach_core::data! {
    /// The value of the object that holds one version of the rules.
    ///
    /// # Invariants
    ///
    /// `previous` lists the changes directly before this one, newest first. A writer that got no
    /// response to its write thus finds its change even after other writers replaced it.
    pub struct RulesObject {
        /// The text of the rules file.
        pub text: Box<str>,
        /// The operator who applied this version.
        pub by: Box<str>,
        /// The reason that the operator gave, or an empty string.
        pub reason: Box<str>,
        /// The time of the change by the operator's clock, in milliseconds since the Unix epoch.
        pub at_unix_ms: u64,
        /// The changes before this one, newest first, at most [`PREVIOUS_CHANGES_MAX`].
        pub previous: Vec<RulesChange>,
    }

    /// The metadata of one change of the rules.
    pub struct RulesChange {
        /// The version of the rules after the change.
        pub version: Version,
        /// The id of the operation that made the change.
        pub op_id: Box<str>,
        /// The operator who applied the change.
        pub by: Box<str>,
        /// The reason that the operator gave, or an empty string.
        pub reason: Box<str>,
        /// The time of the change by the operator's clock, in milliseconds since the Unix epoch.
        pub at_unix_ms: u64,
    }

    /// The version of the rules that a proxy applies.
    pub struct RulesReport {
        /// The id of the proxy.
        pub proxy: ProxyId,
        /// The version in force, or zero before the first version was read.
        pub version: Version,
        /// Whether the proxy has recent evidence that the version is current.
        pub state: RulesState,
        /// The time since the version was last confirmed to be current, in milliseconds.
        pub confirmed_ago_ms: u64,
        /// The newest version that the proxy refused, if it is newer than the one in force.
        pub refused: Option<RefusedRules>,
    }

    /// A version of the rules that a proxy refused to apply.
    pub struct RefusedRules {
        /// The refused version.
        pub version: Version,
        /// The error in its rules.
        pub reason: Box<str>,
    }

    /// The status of a proxy.
    pub struct ProxyStatus {
        /// The id of the proxy.
        pub proxy: ProxyId,
        /// The region of the proxy's VM.
        pub region: RegionName,
        /// The availability zone of the proxy's VM.
        pub zone: ZoneName,
        /// The time since the process started, in milliseconds.
        pub uptime_ms: u64,
        /// Whether the proxy has begun to stop and is draining its connections.
        pub draining: bool,
        /// Whether the last successful read of the platform is recent enough.
        pub platform_reachable: bool,
        /// The rules that the proxy applies.
        pub rules: RulesReport,
        /// The number of connected callers.
        pub callers: u64,
        /// The number of statements in progress.
        pub in_flight: u64,
        /// The number of other proxies that the proxy knows.
        pub peers: u64,
        /// The database groups that the proxy serves.
        pub groups: Vec<GroupStatus>,
        /// The counters of the process since its start, by name.
        pub counters: Vec<Counter>,
    }

    /// The state of a database group in the view of one proxy.
    pub struct GroupStatus {
        /// The name of the group.
        pub name: GroupName,
        /// The term of the primary.
        pub term: Term,
        /// The primary, or `None` during a promotion.
        pub primary: Option<MemberId>,
        /// The servers of the group.
        pub members: Vec<MemberSummary>,
        /// The number of connections that the proxy may open to each server.
        pub share: u32,
        /// The number of requests that wait for a connection.
        pub queued: u64,
    }

    /// The state of a server of a group in the view of one proxy.
    pub struct MemberSummary {
        /// The server's name within its group.
        pub id: MemberId,
        /// The availability zone of the server.
        pub zone: ZoneName,
        /// Whether the server answers control calls.
        pub reachable: bool,
        /// Whether the server is about to leave the group.
        pub leaving: bool,
        /// Whether the proxy sends reads to the server.
        pub in_rotation: bool,
        /// The number of log entries that the server is behind the primary.
        pub lag_entries: u64,
        /// The number of connections that the proxy has open to the server.
        pub connections: u32,
    }

    /// A counter of one process.
    pub struct Counter {
        /// The name of the counter, as in the metrics.
        pub name: Box<str>,
        /// The count since the start of the process.
        pub value: u64,
    }

    /// The subject of an explanation that an operator requests from a proxy.
    pub enum Explain {
        /// How a request was routed and why.
        Request {
            /// The id of the request.
            id: RequestId,
        },
        /// Why the primary of a group changed or a server was taken out of rotation.
        Group {
            /// The name of the group.
            name: GroupName,
        },
        /// The recent decisions of one rule.
        Rule {
            /// The line number of the rule in the rules file.
            line: u32,
        },
    }

    /// The response to [`Explain`]. It has no steps when the proxy has no record of the subject.
    pub struct Explanation {
        /// The proxy that sent the response.
        pub proxy: ProxyId,
        /// The recorded steps, oldest first.
        pub steps: Vec<ExplainedStep>,
    }

    /// One step of an explanation.
    pub struct ExplainedStep {
        /// The time of the step by the proxy's clock, in milliseconds since the Unix epoch.
        pub at_unix_ms: u64,
        /// A description of the step.
        pub what: Box<str>,
        /// The data that the decision was based on.
        pub evidence: Box<str>,
        /// The event of the step, if one was recorded.
        pub event: Option<Event>,
    }
}

endivereach_core::value! {
    /// Whether a proxy has recent evidence that its rules are current.
    pub enum RulesState {
        /// The rules were confirmed to be current within the maximum age of evidence.
        Current,
        /// The last confirmation is too old. Every request gets the strictest treatment.
        Unconfirmed,
        /// The proxy has never read any rules. Every request gets the strictest treatment.
        Missing,
    }
}

impl RulesObject {
    /// Returns the metadata of the change that created this version. `version` and `op_id` are
    /// those of the object that holds it.
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
