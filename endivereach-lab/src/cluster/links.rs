//! One relay link for every pair of processes that talk, and the faults of the network.

use crate::relay::Conditions;
use crate::relay::Flow;
use crate::relay::Link;
use crate::relay::Relay;
use crate::topology::Topology;
use endivereach_core::ids::MemberId;
use endivereach_core::ids::ZoneName;
use endivereach_core::settings::Via;
use std::net::SocketAddr;
use std::time::Duration;

/// A server as another server of its group reaches it.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The server's name.
    pub id: MemberId,
    /// The address of the link to its control calls.
    pub control_addr: SocketAddr,
}

/// Where a link stands between.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ends {
    CallerToProxy { proxy: usize },
    ProxyToPlatform { proxy: usize },
    ProxyToProxy { from: usize, to: usize },
    ProxyToSql { proxy: usize, to: Server },
    ProxyToControl { proxy: usize, to: Server },
    ServerToServer { from: Server, to: Server },
}

/// A server by its numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Server {
    group: usize,
    member: usize,
}

/// What a link's destination is, as its processes publish it.
#[derive(Clone, Debug)]
struct Wire {
    ends: Ends,
    /// The published address that a proxy translates to the link's, for links of proxies.
    published: Option<SocketAddr>,
    calm: Conditions,
    link: Link,
}

/// The links of a deployment.
#[derive(Debug)]
pub struct Links {
    _relay: Relay,
    wires: Vec<Wire>,
}

impl Links {
    /// Creates every link of a deployment; none has a destination yet.
    ///
    /// # Errors
    ///
    /// Returns an error when a port can't be bound.
    pub fn spawn(topology: &Topology, seed: u64) -> anyhow::Result<Self> {
        let mut builder = Builder {
            relay: Relay::spawn(seed)?,
            topology,
            wires: Vec::new(),
        };
        for proxy in 0..topology.proxies {
            builder.add_proxy(proxy)?;
        }
        for to in servers(topology) {
            builder.add_server(to)?;
        }
        Ok(Self {
            _relay: builder.relay,
            wires: builder.wires,
        })
    }

    /// Returns where callers reach each proxy.
    pub fn caller_addrs(&self) -> Vec<SocketAddr> {
        let callers = self.wires.iter().filter(|wire| wire.is_from_callers());
        callers.map(|wire| wire.link.addr()).collect()
    }

    /// Returns where a proxy reaches the platform.
    ///
    /// # Panics
    ///
    /// Panics when there is no such proxy.
    pub fn platform_addr(&self, proxy: usize) -> SocketAddr {
        let wanted = Ends::ProxyToPlatform { proxy };
        let wire = self.wires.iter().find(|wire| wire.ends == wanted);
        wire.expect("every proxy has a link to the platform")
            .link
            .addr()
    }

    /// Returns how a proxy reaches published addresses.
    pub fn proxy_vias(&self, proxy: usize) -> Vec<Via> {
        let own = self.wires.iter().filter(|wire| wire.ends.is_of(proxy));
        own.filter_map(|wire| {
            Some(Via {
                to: wire.published?,
                through: wire.link.addr(),
            })
        })
        .collect()
    }

    /// Returns how a server reaches the others of its group.
    pub fn member_peers(&self, topology: &Topology, group: usize, member: usize) -> Vec<Peer> {
        let server = Server { group, member };
        let peer = |wire: &Wire| match wire.ends {
            Ends::ServerToServer { from, to } if from == server => Some(Peer {
                id: topology.member_id(group, to.member),
                control_addr: wire.link.addr(),
            }),
            _ => None,
        };
        self.wires.iter().filter_map(peer).collect()
    }

    /// Sets the platform's address.
    pub fn set_platform(&self, addr: SocketAddr) {
        let all = self.wires.iter();
        for wire in all.filter(|wire| matches!(wire.ends, Ends::ProxyToPlatform { .. })) {
            wire.link.set_destination(addr);
        }
    }

    /// Sets a proxy's addresses, and lets callers reach it.
    pub fn set_proxy(&self, proxy: usize, sql_addr: SocketAddr, peer_addr: SocketAddr) {
        for wire in &self.wires {
            match wire.ends {
                Ends::CallerToProxy { proxy: to } if to == proxy => {
                    wire.link.set_destination(sql_addr);
                }
                Ends::ProxyToProxy { to, .. } if to == proxy => {
                    let is_sql = wire
                        .published
                        .is_some_and(|published| published.port() == 5432);
                    wire.link
                        .set_destination(if is_sql { sql_addr } else { peer_addr });
                }
                _ => {}
            }
        }
    }

    /// Sends callers that connect to a leaving proxy to the next one, as the balancer does.
    pub fn redirect_callers(&self, proxy: usize, to: SocketAddr) {
        for wire in &self.wires {
            if wire.ends == (Ends::CallerToProxy { proxy }) {
                wire.link.set_destination(to);
            }
        }
    }

    /// Sets a server's addresses.
    pub fn set_member(
        &self,
        group: usize,
        member: usize,
        sql_addr: SocketAddr,
        control_addr: SocketAddr,
    ) {
        let server = Server { group, member };
        for wire in &self.wires {
            match wire.ends {
                Ends::ProxyToSql { to, .. } if to == server => wire.link.set_destination(sql_addr),
                Ends::ProxyToControl { to, .. } | Ends::ServerToServer { to, .. }
                    if to == server =>
                {
                    wire.link.set_destination(control_addr);
                }
                _ => {}
            }
        }
    }

    /// Holds everything between one server and the others of its group; proxies still reach it.
    pub fn cut_member_off(&self, group: usize, member: usize) {
        let server = Server { group, member };
        self.hold(|ends| match ends {
            Ends::ServerToServer { from, to } => from == server || to == server,
            _ => false,
        });
    }

    /// Holds everything between a zone and the rest. Callers move to proxies elsewhere.
    pub fn cut_zone_off(&self, topology: &Topology, zone: &ZoneName) {
        let proxy_in = |proxy: usize| topology.proxy_zone(proxy) == zone;
        let server_in = |server: Server| topology.member_zone(server.group, server.member) == zone;
        self.hold(|ends| match ends {
            Ends::CallerToProxy { .. } => false,
            Ends::ProxyToPlatform { proxy } => proxy_in(proxy),
            Ends::ProxyToProxy { from, to } => proxy_in(from) != proxy_in(to),
            Ends::ProxyToSql { proxy, to } | Ends::ProxyToControl { proxy, to } => {
                proxy_in(proxy) != server_in(to)
            }
            Ends::ServerToServer { from, to } => server_in(from) != server_in(to),
        });
        let refused = self.wires.iter().filter(|wire| match wire.ends {
            Ends::CallerToProxy { proxy } => proxy_in(proxy),
            _ => false,
        });
        for wire in refused {
            wire.set_flow(Flow::Refused);
        }
    }

    /// Makes the open database connections to a server silent for good; new ones work.
    pub fn silence_open(&self, group: usize, member: usize) {
        let server = Server { group, member };
        for wire in &self.wires {
            if matches!(wire.ends, Ends::ProxyToSql { to, .. } if to == server) {
                wire.link.silence_open();
            }
        }
    }

    /// Closes the silent connections to a server, as keepalives do in time.
    pub fn reset_silenced(&self, group: usize, member: usize) {
        let server = Server { group, member };
        for wire in &self.wires {
            if matches!(wire.ends, Ends::ProxyToSql { to, .. } if to == server) {
                wire.link.reset_silenced();
            }
        }
    }

    /// Sets the share of chunks that every link loses once.
    pub fn set_loss(&self, loss: f64) {
        for wire in self.wires.iter().filter(|wire| !wire.is_from_callers()) {
            wire.link.set_conditions(Conditions { loss, ..wire.calm });
        }
    }

    /// Sets the greatest extra delay of every link.
    pub fn set_jitter(&self, jitter: Duration) {
        for wire in &self.wires {
            wire.link.set_conditions(Conditions {
                jitter,
                ..wire.calm
            });
        }
    }

    /// Puts every link back to its calm conditions.
    pub fn heal(&self) {
        for wire in &self.wires {
            wire.link.set_conditions(wire.calm);
        }
    }

    fn hold(&self, which: impl Fn(Ends) -> bool) {
        for wire in self.wires.iter().filter(|wire| which(wire.ends)) {
            wire.set_flow(Flow::Held);
        }
    }
}

impl Ends {
    /// Returns whether the link starts at the given proxy.
    fn is_of(self, wanted: usize) -> bool {
        match self {
            Self::ProxyToPlatform { proxy }
            | Self::ProxyToSql { proxy, .. }
            | Self::ProxyToControl { proxy, .. } => proxy == wanted,
            Self::ProxyToProxy { from, .. } => from == wanted,
            Self::CallerToProxy { .. } | Self::ServerToServer { .. } => false,
        }
    }
}

impl Wire {
    fn is_from_callers(&self) -> bool {
        matches!(self.ends, Ends::CallerToProxy { .. })
    }

    fn set_flow(&self, flow: Flow) {
        self.link.set_conditions(Conditions { flow, ..self.calm });
    }
}

fn servers(topology: &Topology) -> Vec<Server> {
    let of_group =
        |group| (0..topology.members_per_group).map(move |member| Server { group, member });
    (0..topology.groups).flat_map(of_group).collect()
}

struct Builder<'a> {
    relay: Relay,
    topology: &'a Topology,
    wires: Vec<Wire>,
}

impl Builder<'_> {
    fn add_proxy(&mut self, proxy: usize) -> anyhow::Result<()> {
        let topology = self.topology;
        let delays = topology.delays;
        self.add(Ends::CallerToProxy { proxy }, None, delays.to_callers)?;
        self.add(Ends::ProxyToPlatform { proxy }, None, delays.to_platform)?;
        for to in (0..topology.proxies).filter(|&to| to != proxy) {
            let delay = topology.delay(topology.proxy_zone(proxy), topology.proxy_zone(to));
            let ends = Ends::ProxyToProxy { from: proxy, to };
            self.add(ends, Some(topology.proxy_sql_addr(to)), delay)?;
            self.add(ends, Some(topology.proxy_peer_addr(to)), delay)?;
        }
        Ok(())
    }

    fn add_server(&mut self, to: Server) -> anyhow::Result<()> {
        let topology = self.topology;
        let zone = topology.member_zone(to.group, to.member);
        for proxy in 0..topology.proxies {
            let delay = topology.delay(topology.proxy_zone(proxy), zone);
            let sql = topology.member_sql_addr(to.group, to.member);
            let control = topology.member_control_addr(to.group, to.member);
            self.add(Ends::ProxyToSql { proxy, to }, Some(sql), delay)?;
            self.add(Ends::ProxyToControl { proxy, to }, Some(control), delay)?;
        }
        for member in (0..topology.members_per_group).filter(|&member| member != to.member) {
            let group = to.group;
            let delay = topology.delay(topology.member_zone(group, member), zone);
            let from = Server { group, member };
            self.add(Ends::ServerToServer { from, to }, None, delay)?;
        }
        Ok(())
    }

    fn add(
        &mut self,
        ends: Ends,
        published: Option<SocketAddr>,
        delay: Duration,
    ) -> anyhow::Result<()> {
        let jitter = match delay.is_zero() {
            true => Duration::ZERO,
            false => self.topology.delays.jitter,
        };
        let calm = Conditions {
            delay,
            jitter,
            ..Conditions::default()
        };
        let link = self.relay.add_link(calm)?;
        self.wires.push(Wire {
            ends,
            published,
            calm,
            link,
        });
        Ok(())
    }
}
