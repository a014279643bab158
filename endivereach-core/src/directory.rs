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
    /// A database server, which is a member of one group.
    pub struct Member {
        /// The server's name, unique within its group.
        pub id: MemberId,
        /// The availability zone that the server runs in.
        pub zone: ZoneName,
        /// The address that accepts database connections.
        pub sql_addr: SocketAddr,
        /// The address that accepts control calls.
        pub control_addr: SocketAddr,
        /// Whether the server is leaving the group and must not receive new statements.
        #[serde(default)]
        pub leaving: bool,
    }

    /// The right to use one term for a promotion.
    ///
    /// # Invariants
    ///
    /// A term is granted to at most one process, and never again. A process uses a granted term for
    /// one attempt only.
    pub struct TermGrant {
        /// The granted term.
        pub term: Term,
        /// The process that may use the term.
        pub holder: ProxyId,
    }

    /// A database group, stored in the platform's object API under kind `group`.
    pub struct GroupObject {
        /// The group's name.
        pub name: GroupName,
        /// The term in which the published primary was promoted.
        pub term: Term,
        /// The primary, as published by the last promotion.
        pub primary: MemberId,
        /// All members, including the primary.
        pub members: Vec<Member>,
        /// The number of connections that one server accepts.
        pub connections_per_server: u32,
        /// The number of statements that one server runs in parallel.
        pub slots_per_server: u32,
        /// The grants for terms above `term`, in ascending order.
        #[serde(default)]
        pub grants: Vec<TermGrant>,
        /// The highest term ever granted. New grants use higher terms only.
        #[serde(default)]
        pub granted_up_to: Term,
    }

    /// A VM of the fleet, as listed by the platform. The list can be out of date.
    pub struct Vm {
        /// The VM's name.
        pub name: ProxyName,
        /// The region that the VM runs in.
        pub region: RegionName,
        /// The availability zone that the VM runs in.
        pub zone: ZoneName,
        /// The address that accepts calls from other proxies.
        pub peer_addr: SocketAddr,
        /// The address that accepts callers.
        pub sql_addr: SocketAddr,
        /// Whether the VM is about to be removed from the fleet.
        #[serde(default)]
        pub leaving: bool,
    }
}

impl GroupObject {
    /// Returns how many out of `members` form a majority.
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

    /// Returns how many members of this group form a majority.
    pub fn majority(&self) -> usize {
        Self::majority_of(self.members.len())
    }

    /// Returns the member with the given name.
    pub fn member(&self, id: &MemberId) -> Option<&Member> {
        self.members.iter().find(|member| &member.id == id)
    }
}
