//! The topologies of the customers' deployments, as the lab simulates them.

use endivereach_core::ids::GroupName;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::ProxyName;
use endivereach_core::ids::ZoneName;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

/// The port of all published database addresses.
const SQL_PORT: u16 = 5432;
/// The port of all published control addresses.
const CONTROL_PORT: u16 = 8008;
/// The port of all published peer addresses.
const PEER_PORT: u16 = 8432;

/// The topology of a deployment: zones, groups, proxies, and the network delays between them.
#[derive(Clone, Debug)]
pub struct Topology {
    /// The region's name.
    pub region: Box<str>,
    /// The availability zones.
    pub zones: Vec<ZoneName>,
    /// The number of database groups.
    pub groups: usize,
    /// The prefix of the groups' names.
    pub group_prefix: Box<str>,
    /// The number of servers of each group.
    pub members_per_group: usize,
    /// The number of proxies.
    pub proxies: usize,
    /// The maximum number of connections to each server.
    pub connections_per_server: u32,
    /// The maximum number of statements that each server runs concurrently.
    pub slots_per_server: u32,
    /// The time for which a statement occupies a slot.
    pub service_time: Duration,
    /// The time that a server takes to accept a connection.
    pub connect_delay: Duration,
    /// The network delays.
    pub delays: Delays,
}

/// One-way network delays.
#[derive(Clone, Copy, Debug)]
pub struct Delays {
    /// The delay within a zone.
    pub same_zone: Duration,
    /// The delay between two zones.
    pub between_zones: Duration,
    /// The delay between callers and proxies.
    pub to_callers: Duration,
    /// The delay between proxies and the platform.
    pub to_platform: Duration,
    /// The maximum extra delay of every link.
    pub jitter: Duration,
}

impl Delays {
    /// No delays, for measurements of the processes alone.
    pub const NONE: Self = Self {
        same_zone: Duration::ZERO,
        between_zones: Duration::ZERO,
        to_callers: Duration::ZERO,
        to_platform: Duration::ZERO,
        jitter: Duration::ZERO,
    };
}

impl Topology {
    /// Returns a topology of three zones with the given numbers of groups and proxies.
    pub fn three_zones(groups: usize, proxies: usize) -> Self {
        Self {
            region: "tt-south".into(),
            zones: ["tt-south-a", "tt-south-b", "tt-south-c"]
                .map(ZoneName::from)
                .into(),
            groups,
            group_prefix: "bookings-db".into(),
            members_per_group: 3,
            proxies,
            connections_per_server: 16,
            slots_per_server: 2,
            service_time: Duration::from_micros(300),
            connect_delay: Duration::from_millis(12),
            delays: Delays {
                same_zone: Duration::from_micros(250),
                between_zones: Duration::from_micros(3500),
                to_callers: Duration::from_millis(3),
                to_platform: Duration::from_millis(1),
                jitter: Duration::from_micros(500),
            },
        }
    }

    /// Returns Fællesrør's topology with the given numbers of groups and proxies.
    pub fn faellesroer(groups: usize, proxies: usize) -> Self {
        let mut topology = Self::three_zones(groups, proxies);
        topology.region = "dk-east".into();
        topology.zones = ["roskilde", "koege", "hilleroed"]
            .map(ZoneName::from)
            .into();
        topology.group_prefix = "member-ledger".into();
        topology.connections_per_server = 40;
        topology.slots_per_server = 3;
        topology.delays.between_zones = Duration::from_millis(3);
        topology.delays.to_callers = Duration::from_millis(1);
        topology
    }

    /// Returns the name of the group with the given number.
    pub fn group_name(&self, group: usize) -> GroupName {
        GroupName::from(&*format!("{}-{}", self.group_prefix, group + 1))
    }

    /// Returns the names of all groups.
    pub fn group_names(&self) -> Vec<GroupName> {
        (0..self.groups)
            .map(|group| self.group_name(group))
            .collect()
    }

    /// Returns the name of a server.
    pub fn member_id(&self, group: usize, member: usize) -> MemberId {
        MemberId::from(&*format!(
            "{}-{}-s{}",
            self.group_prefix,
            group + 1,
            member + 1
        ))
    }

    /// Returns the name of a proxy.
    pub fn proxy_name(&self, proxy: usize) -> ProxyName {
        ProxyName::from(&*format!("entry-{}", proxy + 1))
    }

    /// Returns the zone of a server. The servers of a group are spread over the zones.
    pub fn member_zone(&self, group: usize, member: usize) -> &ZoneName {
        &self.zones[(group + member) % self.zones.len()]
    }

    /// Returns the zone of a proxy.
    pub fn proxy_zone(&self, proxy: usize) -> &ZoneName {
        &self.zones[proxy % self.zones.len()]
    }

    /// Returns the one-way delay between two zones.
    pub fn delay(&self, from: &ZoneName, to: &ZoneName) -> Duration {
        match from == to {
            true => self.delays.same_zone,
            false => self.delays.between_zones,
        }
    }

    /// Returns the published database address of a server. No process listens at it: every process
    /// translates it to the address of its own link.
    pub fn member_sql_addr(&self, group: usize, member: usize) -> SocketAddr {
        published_addr(100, group, member, SQL_PORT)
    }

    /// Returns the published control address of a server.
    pub fn member_control_addr(&self, group: usize, member: usize) -> SocketAddr {
        published_addr(100, group, member, CONTROL_PORT)
    }

    /// Returns the published address of a proxy for callers.
    pub fn proxy_sql_addr(&self, proxy: usize) -> SocketAddr {
        published_addr(101, 0, proxy, SQL_PORT)
    }

    /// Returns the published address of a proxy for peers.
    pub fn proxy_peer_addr(&self, proxy: usize) -> SocketAddr {
        published_addr(101, 0, proxy, PEER_PORT)
    }
}

fn published_addr(network: u8, group: usize, index: usize, port: u16) -> SocketAddr {
    SocketAddr::from((
        Ipv4Addr::new(127, network, group as u8, index as u8 + 1),
        port,
    ))
}
