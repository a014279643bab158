//! The routes of databases, and the groups and targets that serve them.

use super::statement::DatabaseName;
use crate::ids::GroupName;
use crate::ids::Incarnation;
use crate::ids::MemberId;
use crate::ids::Version;
use crate::ids::ZoneName;
use crate::tenants::Tenants;
use crate::treatment::Freshness;
use crate::treatment::Priority;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

crate::data! {
    /// How the statements of one database are served.
    pub struct Route {
        /// The group that serves the database.
        pub group: GroupName,
        /// How recent the data that a read returns must be.
        pub freshness: Freshness,
        /// The maximum age of the data that a read with [`Freshness::Session`] may return. The
        /// session's own commits are always included.
        pub max_age: Option<Duration>,
        /// The timeout of one statement.
        pub statement_timeout: Duration,
        /// The duration within which callers expect an operation to finish.
        pub latency_goal: Duration,
        /// The priority when capacity is short.
        #[serde(rename = "worth")]
        pub priority: Priority,
        /// Whether callers need no key.
        #[serde(default)]
        pub is_public: bool,
    }

    /// Limits that apply to every server of a group.
    pub struct GroupLimits {
        /// The maximum number of connections that one server accepts from all proxies together.
        pub connections_per_server: u32,
        /// The number of replicas that must have a commit before it is acknowledged.
        pub sync_replicas: u32,
    }

    /// One version of the routes. A later version replaces all of it.
    pub struct Routes {
        /// The version, which increases with every change.
        pub version: Version,
        /// The route of each database.
        pub databases: BTreeMap<DatabaseName, Route>,
        /// The limits of each group.
        pub groups: BTreeMap<GroupName, GroupLimits>,
        /// The maximum time that a transaction may be idle between two statements.
        #[serde(rename = "transaction_idle")]
        pub transaction_idle_timeout: Duration,
        /// The tenants and their keys, or `None` if callers need no key.
        #[serde(default)]
        pub tenants: Option<Tenants>,
    }

    /// One server, as described by its newest entry in the server list.
    pub struct TargetEntry {
        /// The server's id.
        pub id: MemberId,
        /// The group that the server belongs to.
        pub group: GroupName,
        /// The address on which the server accepts connections.
        pub addr: SocketAddr,
        /// The server's availability zone.
        pub zone: ZoneName,
        /// The number of statements that the server runs concurrently.
        pub slots: u32,
        /// Whether the server is leaving and must not get new work.
        pub leaving: bool,
        /// Whether the server claims to be the primary.
        #[serde(rename = "leads")]
        pub is_primary: bool,
        /// Changes whenever the server restarts under the same id.
        pub incarnation: Incarnation,
    }
}
