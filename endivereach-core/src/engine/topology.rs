//! What the process is told about databases and the targets behind them.

use super::statement::DatabaseName;
use crate::ids::GroupName;
use crate::ids::Incarnation;
use crate::ids::MemberId;
use crate::ids::Version;
use crate::ids::ZoneName;
use crate::treatment::Freshness;
use crate::treatment::Worth;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

crate::data! {
    /// How the requests of one database are served.
    pub struct Route {
        /// The group that serves it.
        pub group: GroupName,
        /// How recent the data of a read must be.
        pub freshness: Freshness,
        /// The greatest age of data that a read in a session may see besides its own commits.
        pub max_age: Option<Duration>,
        /// How long one statement may take.
        pub statement_timeout: Duration,
        /// How long callers expect an operation to take.
        pub latency_goal: Duration,
        /// Who goes first when capacity is short.
        pub worth: Worth,
    }

    /// What holds for all servers of a group.
    pub struct GroupLimits {
        /// Connections that one server accepts from all proxies together.
        pub connections_per_server: u32,
        /// Replicas that have a commit before it is acknowledged.
        pub sync_replicas: u32,
    }

    /// One version of the routes. A later version replaces the whole.
    pub struct Routes {
        /// The version.
        pub version: Version,
        /// The databases.
        pub databases: BTreeMap<DatabaseName, Route>,
        /// The groups.
        pub groups: BTreeMap<GroupName, GroupLimits>,
        /// How long a transaction may rest between two statements.
        pub transaction_idle: Duration,
    }

    /// One server, as it last described itself.
    pub struct TargetEntry {
        /// Its name.
        pub id: MemberId,
        /// Its group.
        pub group: GroupName,
        /// Where it accepts connections.
        pub addr: SocketAddr,
        /// Its availability zone.
        pub zone: ZoneName,
        /// Statements that it runs at a time.
        pub slots: u32,
        /// Whether it leaves and must get no new work.
        pub leaving: bool,
        /// Whether it says that it leads.
        pub leads: bool,
        /// Differs when the server started again under its name.
        pub incarnation: Incarnation,
    }
}
