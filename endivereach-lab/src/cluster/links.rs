//! The relay links between the processes of a deployment, one for each pair that communicates, and
//! the network faults injected into them.

use crate::relay::Conditions;
use crate::relay::Flow;
use crate::relay::Link;
use crate::relay::Relay;
use crate::topology::Topology;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::ZoneName;
use endivereach_core::settings::AddressTranslation;
use std::net::SocketAddr;
use std::time::Duration;

/// Another server of the same group, as reached through a link.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The server's name.
    pub id: MemberId,
    /// The address of the link to the server's control address.
    pub control_addr: SocketAddr,
}

/// The two processes that a link connects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkEndpoints {
    CallerToProxy { proxy: usize },
    ProxyToPlatform { proxy: usize },
    ProxyToProxy { from: usize, to: usize },
    ProxyToSql { proxy: usize, to: ServerIndex },
    ProxyToControl { proxy: usize, to: ServerIndex },
    ServerToServer { from: ServerIndex, to: ServerIndex },
}

/// A server, identified by the index of its group and its index within the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ServerIndex {
    group: usize,
    member: usize,
}

/// A link with the processes that it connects.
#[derive(Clone, Debug)]
struct LinkEntry {
    endpoints: LinkEndpoints,
    /// The published address that a proxy replaces by the link's address, for links that start at a
    /// proxy.
    published_addr: Option<SocketAddr>,
    /// The conditions without faults.
    base_conditions: Conditions,
    link: Link,
}

/// The links of a deployment.
#[derive(Debug)]
pub struct Links {
    _relay: Relay,
    entries: Vec<LinkEntry>,
}

impl Links {
    /// Creates every link of a deployment, without destinations.
    ///
    /// # Errors
    ///
    /// Returns an error when a port can't be bound.
    pub fn spawn(topology: &Topology, seed: u64) -> anyhow::Result<Self> {
        let mut builder = LinksBuilder {
            relay: Relay::spawn(seed)?,
            topology,
            entries: Vec::new(),
        };
        for proxy in 0..topology.proxies {
            builder.add_proxy(proxy)?;
        }
        for to in servers(topology) {
            builder.add_server(to)?;
        }
        Ok(Self {
            _relay: builder.relay,
            entries: builder.entries,
        })
    }

    /// Returns the address at which callers reach each proxy, in the order of the proxies.
    pub fn caller_addrs(&self) -> Vec<SocketAddr> {
        let callers = self.entries.iter().filter(|entry| entry.is_caller_link());
        callers.map(|entry| entry.link.addr()).collect()
    }

    /// Returns the address at which a proxy reaches the platform.
    ///
    /// # Panics
    ///
    /// Panics when there is no such proxy.
    pub fn platform_addr(&self, proxy: usize) -> SocketAddr {
        let wanted = LinkEndpoints::ProxyToPlatform { proxy };
        let entry = self.entries.iter().find(|entry| entry.endpoints == wanted);
        entry
            .expect("every proxy has a link to the platform")
            .link
            .addr()
    }

    /// Returns the address translations of a proxy: the link address for each published address.
    pub fn proxy_address_translations(&self, proxy: usize) -> Vec<AddressTranslation> {
        let proxy_links = self
            .entries
            .iter()
            .filter(|entry| entry.endpoints.starts_at_proxy(proxy));
        proxy_links
            .filter_map(|entry| {
                Some(AddressTranslation {
                    published: entry.published_addr?,
                    connect_to: entry.link.addr(),
                })
            })
            .collect()
    }

    /// Returns the other servers of a group with the link addresses at which a server reaches them.
    pub fn member_peers(&self, topology: &Topology, group: usize, member: usize) -> Vec<Peer> {
        let server = ServerIndex { group, member };
        let peer = |entry: &LinkEntry| match entry.endpoints {
            LinkEndpoints::ServerToServer { from, to } if from == server => Some(Peer {
                id: topology.member_id(group, to.member),
                control_addr: entry.link.addr(),
            }),
            _ => None,
        };
        self.entries.iter().filter_map(peer).collect()
    }

    /// Sets the address of the platform's process.
    pub fn set_platform(&self, addr: SocketAddr) {
        let all = self.entries.iter();
        for entry in
            all.filter(|entry| matches!(entry.endpoints, LinkEndpoints::ProxyToPlatform { .. }))
        {
            entry.link.set_destination(addr);
        }
    }

    /// Sets the addresses of a proxy's process, and forwards callers to it.
    pub fn set_proxy(&self, proxy: usize, sql_addr: SocketAddr, peer_addr: SocketAddr) {
        for entry in &self.entries {
            match entry.endpoints {
                LinkEndpoints::CallerToProxy { proxy: to } if to == proxy => {
                    entry.link.set_destination(sql_addr);
                }
                LinkEndpoints::ProxyToProxy { to, .. } if to == proxy => {
                    let is_sql = entry
                        .published_addr
                        .is_some_and(|published_addr| published_addr.port() == 5432);
                    entry
                        .link
                        .set_destination(if is_sql { sql_addr } else { peer_addr });
                }
                _ => {}
            }
        }
    }

    /// Redirects new connections of a proxy's callers to `to`, as a load balancer does.
    pub fn redirect_callers(&self, proxy: usize, to: SocketAddr) {
        for entry in &self.entries {
            if entry.endpoints == (LinkEndpoints::CallerToProxy { proxy }) {
                entry.link.set_destination(to);
            }
        }
    }

    /// Sets the addresses of a server's process.
    pub fn set_member(
        &self,
        group: usize,
        member: usize,
        sql_addr: SocketAddr,
        control_addr: SocketAddr,
    ) {
        let server = ServerIndex { group, member };
        for entry in &self.entries {
            match entry.endpoints {
                LinkEndpoints::ProxyToSql { to, .. } if to == server => {
                    entry.link.set_destination(sql_addr)
                }
                LinkEndpoints::ProxyToControl { to, .. }
                | LinkEndpoints::ServerToServer { to, .. }
                    if to == server =>
                {
                    entry.link.set_destination(control_addr);
                }
                _ => {}
            }
        }
    }

    /// Holds all traffic between a server and the rest of its group. Proxies still reach the
    /// server.
    pub fn partition_member(&self, group: usize, member: usize) {
        let server = ServerIndex { group, member };
        self.hold_matching(|endpoints| match endpoints {
            LinkEndpoints::ServerToServer { from, to } => from == server || to == server,
            _ => false,
        });
    }

    /// Holds all traffic between a zone and the other zones, and refuses callers of its proxies, so
    /// that they connect to proxies in other zones.
    pub fn partition_zone(&self, topology: &Topology, zone: &ZoneName) {
        let proxy_in = |proxy: usize| topology.proxy_zone(proxy) == zone;
        let server_in =
            |server: ServerIndex| topology.member_zone(server.group, server.member) == zone;
        self.hold_matching(|endpoints| match endpoints {
            LinkEndpoints::CallerToProxy { .. } => false,
            LinkEndpoints::ProxyToPlatform { proxy } => proxy_in(proxy),
            LinkEndpoints::ProxyToProxy { from, to } => proxy_in(from) != proxy_in(to),
            LinkEndpoints::ProxyToSql { proxy, to }
            | LinkEndpoints::ProxyToControl { proxy, to } => proxy_in(proxy) != server_in(to),
            LinkEndpoints::ServerToServer { from, to } => server_in(from) != server_in(to),
        });
        let refused = self.entries.iter().filter(|entry| match entry.endpoints {
            LinkEndpoints::CallerToProxy { proxy } => proxy_in(proxy),
            _ => false,
        });
        for entry in refused {
            entry.set_flow(Flow::Refused);
        }
    }

    /// Drops all further data on the open database connections to a server. New connections work.
    pub fn silence_open_connections(&self, group: usize, member: usize) {
        let server = ServerIndex { group, member };
        for entry in &self.entries {
            if matches!(entry.endpoints, LinkEndpoints::ProxyToSql { to, .. } if to == server) {
                entry.link.silence_open_connections();
            }
        }
    }

    /// Closes the silenced connections to a server, as an expired TCP keepalive would.
    pub fn reset_silenced_connections(&self, group: usize, member: usize) {
        let server = ServerIndex { group, member };
        for entry in &self.entries {
            if matches!(entry.endpoints, LinkEndpoints::ProxyToSql { to, .. } if to == server) {
                entry.link.reset_silenced_connections();
            }
        }
    }

    /// Sets the loss rate of every link, except those from callers.
    pub fn set_loss(&self, loss: f64) {
        for entry in self.entries.iter().filter(|entry| !entry.is_caller_link()) {
            entry.link.set_conditions(Conditions {
                loss,
                ..entry.base_conditions
            });
        }
    }

    /// Sets the maximum extra delay of every link.
    pub fn set_jitter(&self, jitter: Duration) {
        for entry in &self.entries {
            entry.link.set_conditions(Conditions {
                jitter,
                ..entry.base_conditions
            });
        }
    }

    /// Restores the conditions without faults on every link.
    pub fn restore(&self) {
        for entry in &self.entries {
            entry.link.set_conditions(entry.base_conditions);
        }
    }

    fn hold_matching(&self, should_hold: impl Fn(LinkEndpoints) -> bool) {
        for entry in self
            .entries
            .iter()
            .filter(|entry| should_hold(entry.endpoints))
        {
            entry.set_flow(Flow::Held);
        }
    }
}

impl LinkEndpoints {
    /// Returns whether the link starts at the given proxy.
    fn starts_at_proxy(self, wanted: usize) -> bool {
        match self {
            Self::ProxyToPlatform { proxy }
            | Self::ProxyToSql { proxy, .. }
            | Self::ProxyToControl { proxy, .. } => proxy == wanted,
            Self::ProxyToProxy { from, .. } => from == wanted,
            Self::CallerToProxy { .. } | Self::ServerToServer { .. } => false,
        }
    }
}

impl LinkEntry {
    fn is_caller_link(&self) -> bool {
        matches!(self.endpoints, LinkEndpoints::CallerToProxy { .. })
    }

    fn set_flow(&self, flow: Flow) {
        self.link.set_conditions(Conditions {
            flow,
            ..self.base_conditions
        });
    }
}

fn servers(topology: &Topology) -> Vec<ServerIndex> {
    let of_group =
        |group| (0..topology.members_per_group).map(move |member| ServerIndex { group, member });
    (0..topology.groups).flat_map(of_group).collect()
}

struct LinksBuilder<'a> {
    relay: Relay,
    topology: &'a Topology,
    entries: Vec<LinkEntry>,
}

impl LinksBuilder<'_> {
    fn add_proxy(&mut self, proxy: usize) -> anyhow::Result<()> {
        let topology = self.topology;
        let delays = topology.delays;
        self.add(
            LinkEndpoints::CallerToProxy { proxy },
            None,
            delays.to_callers,
        )?;
        self.add(
            LinkEndpoints::ProxyToPlatform { proxy },
            None,
            delays.to_platform,
        )?;
        for to in (0..topology.proxies).filter(|&to| to != proxy) {
            let delay = topology.delay(topology.proxy_zone(proxy), topology.proxy_zone(to));
            let endpoints = LinkEndpoints::ProxyToProxy { from: proxy, to };
            self.add(endpoints, Some(topology.proxy_sql_addr(to)), delay)?;
            self.add(endpoints, Some(topology.proxy_peer_addr(to)), delay)?;
        }
        Ok(())
    }

    fn add_server(&mut self, to: ServerIndex) -> anyhow::Result<()> {
        let topology = self.topology;
        let zone = topology.member_zone(to.group, to.member);
        for proxy in 0..topology.proxies {
            let delay = topology.delay(topology.proxy_zone(proxy), zone);
            let sql = topology.member_sql_addr(to.group, to.member);
            let control = topology.member_control_addr(to.group, to.member);
            self.add(LinkEndpoints::ProxyToSql { proxy, to }, Some(sql), delay)?;
            self.add(
                LinkEndpoints::ProxyToControl { proxy, to },
                Some(control),
                delay,
            )?;
        }
        for member in (0..topology.members_per_group).filter(|&member| member != to.member) {
            let group = to.group;
            let delay = topology.delay(topology.member_zone(group, member), zone);
            let from = ServerIndex { group, member };
            self.add(LinkEndpoints::ServerToServer { from, to }, None, delay)?;
        }
        Ok(())
    }

    fn add(
        &mut self,
        endpoints: LinkEndpoints,
        published_addr: Option<SocketAddr>,
        delay: Duration,
    ) -> anyhow::Result<()> {
        let jitter = match delay.is_zero() {
            true => Duration::ZERO,
            false => self.topology.delays.jitter,
        };
        let base_conditions = Conditions {
            delay,
            jitter,
            ..Conditions::default()
        };
        let link = self.relay.add_link(base_conditions)?;
        self.entries.push(LinkEntry {
            endpoints,
            published_addr,
            base_conditions,
            link,
        });
        Ok(())
    }
}
