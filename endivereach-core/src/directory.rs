//! The objects of the platform that describe groups and VMs.

use crate::ids::GroupName;
use crate::ids::MemberId;
use crate::ids::ProxyId;
use crate::ids::ProxyName;
use crate::ids::RegionName;
use crate::ids::Term;
use crate::ids::ZoneName;
use std::net::SocketAddr;

crate::data! {
    /// One server of a database group.
    pub struct Member {
        /// The server's name, unique within its group.
        pub id: MemberId,
        /// The availability zone that it runs in.
        pub zone: ZoneName,
        /// Where it accepts database connections.
        pub sql_addr: SocketAddr,
        /// Where it answers control calls.
        pub control_addr: SocketAddr,
        /// Whether it is leaving and must get no new work.
        #[serde(default)]
        pub leaving: bool,
    }

    /// The right to use one term for a promotion.
    ///
    /// # Invariants
    ///
    /// A term is granted to one process at most, ever. A process uses a granted term for one attempt.
    pub struct TermGrant {
        /// The term that may be used.
        pub term: Term,
        /// The process that may use it.
        pub holder: ProxyId,
    }

    /// A database group, as kept in the platform's object API under kind `group`.
    pub struct GroupObject {
        /// The group's name.
        pub name: GroupName,
        /// The term of the published primary.
        pub term: Term,
        /// The published primary.
        pub primary: MemberId,
        /// Every member, the primary included.
        pub members: Vec<Member>,
        /// Connections that one server accepts.
        pub connections_per_server: u32,
        /// Statements that one server runs at a time.
        pub slots_per_server: u32,
        /// Standing grants for terms above `term`, in ascending order.
        #[serde(default)]
        pub grants: Vec<TermGrant>,
        /// The highest term ever granted. Grants only ever use higher ones.
        #[serde(default)]
        pub granted_up_to: Term,
    }

    /// A VM of the fleet, as the platform's lagging list shows it.
    pub struct Vm {
        /// The VM's name.
        pub name: ProxyName,
        /// The region that it runs in.
        pub region: RegionName,
        /// The availability zone that it runs in.
        pub zone: ZoneName,
        /// Where the process answers its peers.
        pub peer_addr: SocketAddr,
        /// Where the process accepts callers.
        pub sql_addr: SocketAddr,
        /// Whether the VM is leaving.
        #[serde(default)]
        pub leaving: bool,
    }
}

impl GroupObject {
    /// Returns how many members make a majority.
    ///
    /// # Examples
    ///
    /// ```
    /// use endivereach_core::directory::GroupObject;
    /// assert_eq!(GroupObject::majority_of(3), 2);
    /// ```
    pub const fn majority_of(members: usize) -> usize {
        members / 2 + 1
    }

    /// Returns the majority of this group.
    pub fn majority(&self) -> usize {
        Self::majority_of(self.members.len())
    }

    /// Returns the member with the given name.
    pub fn member(&self, id: &MemberId) -> Option<&Member> {
        self.members.iter().find(|member| &member.id == id)
    }
}
