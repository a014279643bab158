//! The users' places and sizes, as the lab builds them.

use endivereach_core::ids::GroupName;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::ProxyName;
use endivereach_core::ids::ZoneName;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

/// The port of every published database address.
const SQL_PORT: u16 = 5432;
/// The port of every published control address.
const CONTROL_PORT: u16 = 8008;
/// The port of every published peer address.
const PEER_PORT: u16 = 8432;

/// One deployment: zones, groups, proxies, and the delays between them.
#[derive(Clone, Debug)]
pub struct Topology {
    /// The region's name.
    pub region: Box<str>,
    /// The availability zones.
    pub zones: Vec<ZoneName>,
    /// How many database groups there are.
    pub groups: usize,
    /// The prefix of the groups' names.
    pub group_prefix: Box<str>,
    /// How many servers each group has.
    pub members_per_group: usize,
    /// How many proxies there are.
    pub proxies: usize,
    /// Connections that one server accepts.
    pub connections_per_server: u32,
    /// Statements that one server runs at a time.
    pub slots_per_server: u32,
    /// How long one statement occupies a slot.
    pub service: Duration,
    /// How long a server takes to open a connection.
    pub connect: Duration,
    /// The delays of the network.
    pub delays: Delays,
}

/// One-way delays.
#[derive(Clone, Copy, Debug)]
pub struct Delays {
    /// Within a zone.
    pub same_zone: Duration,
    /// Between two zones.
    pub between_zones: Duration,
    /// Between callers and proxies.
    pub to_callers: Duration,
    /// Between proxies and the platform.
    pub to_platform: Duration,
    /// The greatest extra delay of any link.
    pub jitter: Duration,
}

impl Delays {
    /// No delay at all, for measuring the processes alone.
    pub const NONE: Self = Self {
        same_zone: Duration::ZERO,
        between_zones: Duration::ZERO,
        to_callers: Duration::ZERO,
        to_platform: Duration::ZERO,
        jitter: Duration::ZERO,
    };
}

impl Topology {
    /// Returns Caroni's places and sizes with the given numbers of groups and proxies.
    pub fn caroni(groups: usize, proxies: usize) -> Self {
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
            service: Duration::from_micros(300),
            connect: Duration::from_millis(12),
            delays: Delays {
                same_zone: Duration::from_micros(250),
                between_zones: Duration::from_micros(3500),
                to_callers: Duration::from_millis(3),
                to_platform: Duration::from_millis(1),
                jitter: Duration::from_micros(500),
            },
        }
    }

    /// Returns Fællesrør's places and sizes with the given numbers of groups and proxies.
    pub fn faellesroer(groups: usize, proxies: usize) -> Self {
        let mut topology = Self::caroni(groups, proxies);
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

    /// Returns the zone of a server; the servers of a group stand in different zones.
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

    /// Returns a server's published database address. Nothing is bound to it: every process reaches
    /// it through a link of its own.
    pub fn member_sql_addr(&self, group: usize, member: usize) -> SocketAddr {
        published(100, group, member, SQL_PORT)
    }

    /// Returns a server's published control address.
    pub fn member_control_addr(&self, group: usize, member: usize) -> SocketAddr {
        published(100, group, member, CONTROL_PORT)
    }

    /// Returns a proxy's published address for callers.
    pub fn proxy_sql_addr(&self, proxy: usize) -> SocketAddr {
        published(101, 0, proxy, SQL_PORT)
    }

    /// Returns a proxy's published address for peers.
    pub fn proxy_peer_addr(&self, proxy: usize) -> SocketAddr {
        published(101, 0, proxy, PEER_PORT)
    }
}

fn published(network: u8, group: usize, place: usize, port: u16) -> SocketAddr {
    SocketAddr::from((
        Ipv4Addr::new(127, network, group as u8, place as u8 + 1),
        port,
    ))
}
