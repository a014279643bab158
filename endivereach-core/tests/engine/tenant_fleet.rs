//! A fleet of 62 proxies and 73 tenants before one group, whose servers accept 70 connections each.

use crate::cluster::Cluster;
use crate::cluster::Health;
use crate::cluster::begin;
use crate::cluster::group;
use crate::cluster::read;
use crate::cluster::write;
use endivereach_core::engine::statement::Body;
use endivereach_core::engine::statement::CallerId;
use endivereach_core::tenants::CallerKey;
use endivereach_core::tenants::TenantLimits;
use endivereach_core::tenants::TenantName;
use endivereach_core::tenants::Tenants;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

const PROXIES: usize = 62;
const TENANTS: usize = 73;
const GROUP_HOMES: usize = 8;
const CONNECTIONS: usize = 70;
const SERVERS: [&str; 3] = ["a", "b", "c"];

/// A session that sends one operation after the other.
struct Session {
    proxy: usize,
    caller: CallerId,
    tenant: TenantName,
    /// The statements of the current operation that aren't sent yet.
    rest: VecDeque<Body>,
    interval: Duration,
    next_at: Instant,
    sent_at: Option<Instant>,
}

/// What the sessions of one fleet have seen.
#[derive(Debug, Default)]
struct Outcome {
    served: usize,
    failed: usize,
    latency_max: Duration,
}

struct Fleet {
    clusters: Vec<Cluster>,
    sessions: Vec<Session>,
    operations: usize,
    /// The connections to each server that lost proxies left open.
    left_open: [usize; 3],
}

/// Returns the rate and the number of sessions of a tenant. The usual rate of a tenant is 5/8 of its
/// limit, over 8 groups.
fn tenant_size(index: usize) -> (u32, usize) {
    match index {
        0 => (375, 40),
        1..=10 => (80, 12),
        _ => (5, 4),
    }
}

impl Fleet {
    /// Creates a fleet whose tenants send `factor` times their usual rate, to servers that take `work`
    /// for a statement.
    fn open(factor: u32, work: Duration) -> Self {
        let mut tenants = Tenants::default();
        for index in 0..TENANTS {
            let name = tenant_name(index);
            let (rate_per_s, _) = tenant_size(index);
            let limits = TenantLimits {
                rate_per_s,
                burst: rate_per_s,
            };
            tenants.limits.insert(name.clone(), limits);
            let key = CallerKey::from(name.as_str()).digest();
            tenants.keys.insert(key, name);
        }
        let mut clusters: Vec<Cluster> = (0..PROXIES).map(|_| Cluster::open()).collect();
        for (index, cluster) in clusters.iter_mut().enumerate() {
            cluster.engine.set_proxy_count(PROXIES as u32);
            cluster.engine.set_home(&group(), index < GROUP_HOMES);
            cluster.change_connections_per_server(CONNECTIONS as u32);
            cluster.change_tenants(Some(tenants.clone()));
            let homes_of = (0..TENANTS).filter(|tenant| home_of(*tenant) == index);
            let names = homes_of.map(tenant_name).collect();
            cluster.engine.set_home_tenants(names);
            for server in cluster.servers.values_mut() {
                server.work = work;
            }
            // The connections from before the tenants were known are closed.
            cluster.advance(16_000);
        }
        let mut sessions = Vec::new();
        for tenant in 0..TENANTS {
            let (rate_per_s, count) = tenant_size(tenant);
            let proxy = home_of(tenant);
            // Sessions times 8 groups times 1.6, over the rate.
            let interval = Duration::from_millis(count as u64 * 12_800 / u64::from(rate_per_s));
            for number in 0..count {
                let cluster = &mut clusters[proxy];
                let offset = interval * ((number * 7_919 + tenant * 104_729) % 997) as u32 / 997;
                sessions.push(Session {
                    proxy,
                    caller: cluster.caller_with_key("session", tenant_name(tenant).as_str()),
                    tenant: tenant_name(tenant),
                    rest: VecDeque::new(),
                    interval: interval / factor,
                    next_at: cluster.now + offset,
                    sent_at: None,
                });
            }
        }
        Self {
            clusters,
            sessions,
            operations: 0,
            left_open: [0; 3],
        }
    }

    /// Ends `count` proxies. Their connections stay in use, and the sessions of their tenants move to
    /// the next proxy.
    fn lose_proxies(&mut self, count: usize) {
        for lost in (0..count).map(|number| number * 3) {
            let next = lost + 1;
            for (name, left_open) in SERVERS.iter().zip(&mut self.left_open) {
                *left_open += self.clusters[lost].connection_count(name);
                self.clusters[lost].server(name).health = Health::Down;
                self.clusters[lost].disconnect(name);
            }
            let is_home = |tenant: &usize| [lost, next].contains(&home_of(*tenant));
            let cluster = &mut self.clusters[next];
            let tenants = (0..TENANTS).filter(is_home).map(tenant_name);
            cluster.engine.set_home_tenants(tenants.collect());
            for session in self.sessions.iter_mut().filter(|s| s.proxy == lost) {
                session.proxy = next;
                session.caller = cluster.caller_with_key("session", session.tenant.as_str());
                session.rest.clear();
                session.sent_at = None;
                session.next_at = cluster.now;
            }
        }
    }

    fn connection_count(&self, server: usize) -> usize {
        let name = SERVERS[server];
        let open: usize = self.clusters.iter().map(|c| c.connection_count(name)).sum();
        self.left_open[server] + open
    }

    /// Passes the servers' numbers of connections to the proxies' servers.
    fn share_connection_counts(&mut self) {
        for (server, name) in SERVERS.iter().enumerate() {
            let total = self.connection_count(server);
            for cluster in &mut self.clusters {
                let own = cluster.connection_count(name);
                let server = cluster.server(name);
                server.connections = total as u32;
                server.accepts = own + CONNECTIONS.saturating_sub(total);
            }
        }
    }

    fn refused(&self) -> u64 {
        let counters = self.clusters.iter().map(|c| c.engine.counters());
        counters.map(|counters| counters.connections_refused).sum()
    }

    /// Returns the statements of the next operation: a third are transactions.
    fn next_operation(&mut self) -> VecDeque<Body> {
        self.operations += 1;
        match self.operations * 7_919 % 997 % 6 {
            0 | 3 => [begin(), write(), read(), write(), Body::Commit].into(),
            1 => [write()].into(),
            _ => [read()].into(),
        }
    }

    fn run(&mut self, duration: Duration) -> Outcome {
        let mut outcome = Outcome::default();
        let mut seen = vec![0; PROXIES];
        let starts: Vec<Instant> = self.clusters.iter().map(|c| c.now).collect();
        let mut elapsed = Duration::ZERO;
        while elapsed < duration {
            elapsed += Duration::from_millis(5);
            self.share_connection_counts();
            for (index, cluster) in self.clusters.iter_mut().enumerate() {
                let left = starts[index] + elapsed - cluster.now;
                cluster.advance(left.as_millis() as u64);
                let answers = cluster.answers[seen[index]..].to_vec();
                seen[index] = cluster.answers.len();
                for (caller, answer) in answers {
                    let is_of = |s: &&mut Session| s.proxy == index && s.caller == caller;
                    let Some(session) = self.sessions.iter_mut().find(is_of) else {
                        continue;
                    };
                    let Some(sent_at) = session.sent_at.take() else {
                        continue;
                    };
                    outcome.latency_max = outcome.latency_max.max(cluster.now - sent_at);
                    if answer.failure().is_none() {
                        outcome.served += 1;
                    } else {
                        outcome.failed += 1;
                        session.rest = [Body::Rollback].into();
                    }
                }
            }
            for index in 0..self.sessions.len() {
                let session = &self.sessions[index];
                let now = self.clusters[session.proxy].now;
                if session.sent_at.is_some() {
                    continue;
                }
                if session.rest.is_empty() {
                    if now < session.next_at {
                        continue;
                    }
                    let operation = self.next_operation();
                    let session = &mut self.sessions[index];
                    session.rest = operation;
                    session.next_at = now + session.interval;
                }
                let session = &mut self.sessions[index];
                if let Some(body) = session.rest.pop_front() {
                    session.sent_at = Some(now);
                    self.clusters[session.proxy].send(session.caller, body);
                }
            }
        }
        outcome
    }
}

/// Returns the index of the proxy that is the home of a tenant.
fn home_of(tenant: usize) -> usize {
    tenant * 5 % PROXIES
}

fn tenant_name(index: usize) -> TenantName {
    format!("tenant-{index}").as_str().into()
}

/// Load: the usual load of the fund price pool on one group.
#[test]
fn the_usual_load_of_73_tenants_fits_the_connections_of_a_server() {
    let mut fleet = Fleet::open(1, Duration::from_millis(18));
    let outcome = fleet.run(Duration::from_secs(10));
    assert_eq!((outcome.failed, fleet.refused()), (0, 0), "{outcome:?}");
    assert!(outcome.served > 1_000, "{outcome:?}");
}

/// Load: all tenants send more than their limits, and the servers take three times as long. Some
/// connections are refused then; a tenant that is refused has to get one before its timeout.
#[test]
fn twice_the_load_on_slow_servers_fails_few_statements() {
    let mut fleet = Fleet::open(2, Duration::from_millis(60));
    let outcome = fleet.run(Duration::from_secs(10));
    assert!(outcome.failed * 500 <= outcome.served, "{outcome:?}");
}

/// Load: a third of the proxies is lost. Their connections stay in use for seconds, while the next
/// proxies of the rankings open those of the tenants that move there.
#[test]
fn the_connections_of_lost_homes_leave_room_for_their_successors() {
    let mut fleet = Fleet::open(2, Duration::from_millis(18));
    fleet.run(Duration::from_secs(4));
    fleet.lose_proxies(20);
    let outcome = fleet.run(Duration::from_secs(5));
    assert!(outcome.failed * 50 <= outcome.served, "{outcome:?}");
    fleet.left_open = [0; 3];
    let outcome = fleet.run(Duration::from_secs(5));
    assert!(outcome.failed * 200 <= outcome.served, "{outcome:?}");
}
